"""The nodes that report, and which of them count towards the majority of this service. Pure code.

Times are ms of the service's monotonic clock. A node is *following* while its reports name the epoch of this
service. It is *stranded* while it reports to this service although it follows a later epoch.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.revisions.reports import Report

# An epoch is a Unix time in ms, shifted left by 10 bits, from a wall clock that may be an hour wrong. One
# that is more than three hours ahead of this service's epoch is ignored as an error.
MAX_EPOCH_LEAD = 3 * 3_600_000 << 10


@dataclass(slots=True)
class Node:
    """The newest report of a node, and since when the node follows this epoch or is stranded."""

    name: str
    reported_ms: float
    report: Report
    following_since_ms: float | None  # None if the node is not known to follow this epoch
    stranded_since_ms: float | None = None  # None if the node follows no later epoch


@dataclass(slots=True)
class Membership:
    """All nodes known to one epoch of the service."""

    epoch: int
    # Names of the durable members. The service may grant leases only if a majority of them follows it.
    names: set[str] = field(default_factory=set)
    nodes: dict[str, Node] = field(default_factory=dict)  # All nodes that have reported, by name
    stale_reports: int = 0  # Number of reports that were repeated, or arrived after a newer one

    def receive_report(self, now: float, name: str, report: Report, gap_ms: float = 0.0) -> bool:
        """Store a report; return False, and change nothing, if it is not the newest of its process.

        A repeated or late report is refused because it may have an acknowledgement that a newer process of
        this name knows nothing of.

        If another process of this name reported at most `gap_ms` before, the new one counts as following
        since that one did: in less than the epoch wait no other service can count the name as its own. A
        rolling restart of all nodes therefore does not cost the service its majority.
        """
        previous = self.nodes.get(name)
        same_process = previous is not None and previous.report.process_id == report.process_id
        if previous is not None and same_process and report.process_id and report.seq <= previous.report.seq:
            self.stale_reports += 1
            return False
        recent = previous is not None and now - previous.reported_ms <= gap_ms
        following_since = self._following_since(now, report, previous if same_process or recent else None)
        stranded_since = self._stranded_since(now, report, previous if recent else None)
        self.nodes[name] = Node(name, now, report, following_since, stranded_since)
        return True

    def _following_since(self, now: float, report: Report, previous: Node | None) -> float | None:
        since = previous.following_since_ms if previous is not None else None
        if report.epoch not in (None, 0, self.epoch):
            return None
        # A node reports epoch 0 before its first answer: it follows no service yet, and may report to two.
        return now if since is None and report.epoch != 0 else since

    def _stranded_since(self, now: float, report: Report, previous: Node | None) -> float | None:
        if (report.epoch or 0) <= self.epoch:
            return None
        if previous is not None and previous.stranded_since_ms is not None:
            return previous.stranded_since_ms
        return now

    def later_epoch_of_majority(self, now: float, span_ms: float, fresh_ms: float) -> int:
        """Return the highest epoch or revision known to stranded nodes, if these are more than half; else 0.

        A node counts only if it has been stranded for `span_ms` and has reported within the last `fresh_ms`.
        """
        known_epochs = [
            max(node.report.epoch or 0, node.report.newest_revision)
            for node in self.nodes.values()
            if node.stranded_since_ms is not None
            and now - node.stranded_since_ms >= span_ms
            and now - node.reported_ms <= fresh_ms
        ]
        # All nodes that report are counted if they outnumber the members: a new disk has no members.
        total = max(len(self.names), len(self.nodes))
        plausible = [epoch for epoch in known_epochs if epoch <= self.epoch + MAX_EPOCH_LEAD]
        return max(plausible, default=0) if total and 2 * len(plausible) > total else 0

    def count_ahead(self, newest: int) -> int:
        """Return how many nodes have received a revision later than `newest`, the newest of this service."""
        return sum(node.report.newest_revision > newest for node in self.nodes.values())

    def count_following(self, now: float, wait_ms: float, fresh_ms: float) -> int:
        """Return how many members followed this epoch for `wait_ms` and reported in the last `fresh_ms`."""
        return sum(
            node.following_since_ms is not None
            and node.report.epoch in (None, self.epoch)  # None: a program version that reports no epoch
            and node.name in self.names
            and now - node.following_since_ms >= wait_ms
            and now - node.reported_ms <= fresh_ms
            for node in self.nodes.values()
        )
