"""The nodes that report, and which of them count towards this service's majority. Pure code.

Times are ms of the service's monotonic clock. A node is *following* when its reports name this service's
epoch, *stranded* while it reports here although it follows a later epoch.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.revisions.reports import Report

# Epochs are Unix ms by wall clocks that may be an hour wrong, shifted by 10 bits: one further ahead than this
# is not believed.
MAX_EPOCH_LEAD = 3 * 3_600_000 << 10


@dataclass(slots=True)
class Node:
    """One process of a node, by its newest report."""

    name: str
    reported_ms: float
    report: Report
    following_since_ms: float | None  # None: it is not known to follow this epoch
    stranded_since_ms: float | None = None  # None: it follows no later epoch


@dataclass(slots=True)
class Membership:
    """All nodes known to one epoch of the service."""

    epoch: int
    names: set[str] = field(default_factory=set)  # the durable members, whose majority counts
    nodes: dict[str, Node] = field(default_factory=dict)  # by name, members or not
    stale_reports: int = 0  # repeated or overtaken

    def receive_report(self, now: float, name: str, report: Report, gap_ms: float = 0.0) -> bool:
        """Store a report; return False, and change nothing, if it is not the newest of its process.

        A repeated or late report may have an acknowledgement that a newer process of the name knows nothing
        of. A process that reports within `gap_ms` after another of its name counts as following since that
        one did: no other service can have come to count the name in less than the epoch wait. So a rolling
        restart costs no majority.
        """
        before = self.nodes.get(name)
        same = before is not None and before.report.process_id == report.process_id
        if before is not None and same and report.process_id and report.seq <= before.report.seq:
            self.stale_reports += 1
            return False
        recent = before is not None and now - before.reported_ms <= gap_ms
        following = self._following_since(now, report, before if same or recent else None)
        stranded = self._stranded_since(now, report, before if recent else None)
        self.nodes[name] = Node(name, now, report, following, stranded)
        return True

    def _following_since(self, now: float, report: Report, before: Node | None) -> float | None:
        since = before.following_since_ms if before is not None else None
        if report.epoch not in (None, 0, self.epoch):
            return None
        # A node that had no answer yet follows no service, and may report to two.
        return now if since is None and report.epoch != 0 else since

    def _stranded_since(self, now: float, report: Report, before: Node | None) -> float | None:
        if (report.epoch or 0) <= self.epoch:
            return None
        if before is not None and before.stranded_since_ms is not None:
            return before.stranded_since_ms
        return now

    def later_epoch_of_majority(self, now: float, span_ms: float, fresh_ms: float) -> int:
        """Return the highest epoch or revision known to stranded nodes, if these are more than half; else 0.

        Only nodes count that have been stranded for `span_ms` and have reported within `fresh_ms`.
        """
        known_to = [
            max(node.report.epoch or 0, node.report.newest_revision)
            for node in self.nodes.values()
            if node.stranded_since_ms is not None
            and now - node.stranded_since_ms >= span_ms
            and now - node.reported_ms <= fresh_ms
        ]
        # Of the members, or of all that report if these are more: a lost disk has no members.
        total = max(len(self.names), len(self.nodes))
        believed = [epoch for epoch in known_to if epoch <= self.epoch + MAX_EPOCH_LEAD]
        return max(believed, default=0) if total and 2 * len(believed) > total else 0

    def count_ahead(self, newest: int) -> int:
        """Return how many nodes have a revision later than `newest`, the newest of this service."""
        return sum(node.report.newest_revision > newest for node in self.nodes.values())

    def count_following(self, now: float, wait_ms: float, fresh_ms: float) -> int:
        """Return how many members have followed this epoch for `wait_ms`, and reported within `fresh_ms`."""
        return sum(
            node.following_since_ms is not None
            and node.report.epoch in (None, self.epoch)  # a version without epochs follows any service
            and node.name in self.names
            and now - node.following_since_ms >= wait_ms
            and now - node.reported_ms <= fresh_ms
            for node in self.nodes.values()
        )
