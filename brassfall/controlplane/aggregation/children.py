"""Children of an aggregator, with the arrivals and departures that it reports to the service.

A child is one process of a sidecar. The leases of children are in `child_leases`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from brassfall.controlplane.aggregation.child_leases import ChildKey, ChildLeases
from brassfall.controlplane.aggregation.messages import ChildCounts, Member
from brassfall.controlplane.revisions.reports import FALLBACK, Objection, Report


class ChildRow(msgspec.Struct, frozen=True, rename={"process_id": "life", "newest_revision": "held"}):
    """Row of one child in the answer to `GET /edges` of an aggregator, by the child's newest report.

    Ages are in ms.
    """

    name: str
    process_id: str
    newest_revision: int
    prepared: int
    acting: int | str
    age_ms: int
    list_index: int
    list_age_ms: float | None
    overrides: list[str]
    group: str
    region: str
    objection: Objection | None


@dataclass(slots=True)
class Child:
    """One child with its newest report; times are ms of the aggregator's clock."""

    key: ChildKey
    reported_ms: float
    report: Report
    # Since when the overrides of this child differ from the expected ones; None if they do not differ.
    differs_since_ms: float | None = None

    def row(self, now: float) -> ChildRow:
        """Return the row of this child in `GET /edges`."""
        report = self.report
        return ChildRow(
            name=self.key.name,
            process_id=self.key.process_id,
            newest_revision=report.newest_revision,
            prepared=report.prepared,
            acting=report.acting,
            age_ms=round(now - self.reported_ms),
            list_index=report.list_index,
            list_age_ms=report.list_age_ms,
            overrides=report.overrides or [],
            group=report.group,
            region=report.region,
            objection=report.objection,
        )


@dataclass(slots=True)
class ChildMembership:
    """The children of an aggregator, with arrivals and departures that the service has not confirmed."""

    children: dict[ChildKey, Child] = field(default_factory=dict)
    stale: int = 0  # number of ignored reports, which were repeated or late
    # Unconfirmed arrivals and departures, each with the number of the newest report that has it, or 0.
    _arrivals: dict[ChildKey, int] = field(default_factory=dict)
    _departures: dict[ChildKey, int] = field(default_factory=dict)

    def is_newest(self, key: ChildKey, report: Report, leases: ChildLeases) -> bool:
        """Return whether a report is newer than the others of its process; count it as stale if not."""
        child = self.children.get(key)
        newest = max(leases.newest_seq(key), child.report.seq if child is not None else -1)
        if key.process_id and report.seq <= newest:
            self.stale += 1
            return False
        return True

    def report_received(self, now: float, key: ChildKey, report: Report) -> Child:
        """Store the newest report of a process; return the child, which is added if it is not known."""
        child = self.children.get(key)
        if child is None:
            child = self.children[key] = Child(key, now, report)
            self._departures.pop(key, None)
            self._arrivals[key] = 0
        child.reported_ms, child.report = now, report
        return child

    def depart(self, key: ChildKey) -> Child | None:
        """Remove and return a child, and report its departure to the service; return None if not known."""
        child = self.children.pop(key, None)
        if child is not None:
            self._arrivals.pop(key, None)
            self._departures[key] = 0
        return child

    def silent(self, now: float, longest_ms: float) -> list[ChildKey]:
        """Return the children whose newest report is more than `longest_ms` old."""
        return [key for key, child in self.children.items() if now - child.reported_ms > longest_ms]

    def migrate(self, members: Iterable[Member], asked_ms: float) -> list[ChildKey]:
        """Remove the children in `members`, which migrated to other aggregators; return those removed.

        `members` is from an answer of the service, and the report that it answers was begun at `asked_ms`.
        Departures of migrated children are not reported. A child that has reported to this aggregator after
        `asked_ms` has returned: it stays, and its arrival is reported anew.
        """
        removed = []
        for member in members:
            key = ChildKey(member.name, member.process_id)
            child = self.children.get(key)
            if child is None:
                self._departures.pop(key, None)
            elif child.reported_ms > asked_ms:
                self._arrivals[key] = 0
            else:
                del self.children[key]
                self._arrivals.pop(key, None)
                removed.append(key)
        return removed

    def resync(self) -> None:
        """Report the arrivals of all children anew, since the service does not know this process."""
        self._arrivals = dict.fromkeys(self.children, 0)

    def arrivals(self, seq: int, max_members: int) -> list[Member]:
        """Return at most `max_members` arrivals for report `seq` to the service."""
        return _changes_for_report(self._arrivals, seq, max_members)

    def departures(self, seq: int, max_members: int) -> list[Member]:
        """Return at most `max_members` departures for report `seq` to the service."""
        return _changes_for_report(self._departures, seq, max_members)

    def report_answered(self, seq: int) -> None:
        """Remove the arrivals and departures that were in report `seq`, which the service has answered."""
        for changes in (self._arrivals, self._departures):
            for key in [key for key, report_seq in changes.items() if report_seq == seq]:
                del changes[key]

    def counts(self, now: float, leases: ChildLeases) -> ChildCounts:
        """Return the numbers of children in each condition, by their newest reports and `leases`."""
        leased, lagging = leases.names(now), set(leases.lagging(now))
        indexes = [child.report.list_index for child in self.children.values()]
        ages = [
            child.report.list_age_ms + now - child.reported_ms
            for child in self.children.values()
            if child.report.list_age_ms is not None
        ]
        return ChildCounts(
            known=len({key.name for key in self.children}),
            leased=len(leased),
            lagging=len(lagging),
            fallback=sum(child.report.acting == FALLBACK for child in self.children.values()),
            oldest_list_index=min(indexes, default=0),
            oldest_list_age_ms=round(max(ages)) if ages else None,
        )


def _changes_for_report(changes: dict[ChildKey, int], seq: int, max_members: int) -> list[Member]:
    """Return at most `max_members` changes for report `seq`, and store `seq` as the newest report with them.

    A change in an earlier report that was not answered is reported again.
    """
    members: list[Member] = []
    for key in changes:
        if len(members) == max_members:
            break
        changes[key] = seq
        members.append(Member(key.name, key.process_id))
    return members
