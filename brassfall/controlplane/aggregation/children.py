"""The children of an aggregator, and the arrivals and departures to report. Pure code.

A child is one process of a sidecar; its lease is in `child_leases`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from brassfall.controlplane.aggregation.child_leases import ChildKey, ChildLeases
from brassfall.controlplane.aggregation.messages import ChildCounts, Member
from brassfall.controlplane.revisions.reports import FALLBACK, Objection, Report


class ChildRow(msgspec.Struct, frozen=True, rename={"process_id": "life", "newest_revision": "held"}):
    """One child in an aggregator's `GET /edges`, by its newest report; ages in ms."""

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
    """One child by its newest report."""

    key: ChildKey
    reported_ms: float
    report: Report
    differs_since_ms: float | None = None  # since when its overrides differ from those due

    def row(self, now: float) -> ChildRow:
        """Return its row in a listing."""
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
    """The children, and the arrivals and departures that the service has not confirmed yet."""

    children: dict[ChildKey, Child] = field(default_factory=dict)
    stale: int = 0  # reports that were repeated or late
    _arrivals: dict[ChildKey, int] = field(default_factory=dict)  # the last report with it; 0: none
    _departures: dict[ChildKey, int] = field(default_factory=dict)

    def is_newest(self, key: ChildKey, report: Report, leases: ChildLeases) -> bool:
        """Return whether a report is the newest known of its process; count it if not."""
        child = self.children.get(key)
        newest = max(leases.newest_seq(key), child.report.seq if child is not None else -1)
        if key.process_id and report.seq <= newest:
            self.stale += 1
            return False
        return True

    def report_received(self, now: float, key: ChildKey, report: Report) -> Child:
        """Store the newest report of a process; return its child, which may be new."""
        child = self.children.get(key)
        if child is None:
            child = self.children[key] = Child(key, now, report)
            self._departures.pop(key, None)
            self._arrivals[key] = 0
        child.reported_ms, child.report = now, report
        return child

    def depart(self, key: ChildKey) -> Child | None:
        """Remove a child and report its departure; return None if there is no such child."""
        child = self.children.pop(key, None)
        if child is not None:
            self._arrivals.pop(key, None)
            self._departures[key] = 0
        return child

    def silent(self, now: float, longest_ms: float) -> list[ChildKey]:
        """Return the children that have not reported for longer than `longest_ms`."""
        return [key for key, child in self.children.items() if now - child.reported_ms > longest_ms]

    def migrate(self, members: Iterable[Member], asked_ms: float) -> list[ChildKey]:
        """Remove children that have since reported to another aggregator; return those removed.

        Their departures are not reported. A child that reported here after `asked_ms`, when the report was
        begun that got this answer, has come back.
        """
        dropped = []
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
                dropped.append(key)
        return dropped

    def resync(self) -> None:
        """Report all children anew: the service does not know this process."""
        self._arrivals = dict.fromkeys(self.children, 0)

    def arrivals(self, seq: int, most: int) -> list[Member]:
        """Return the arrivals for report `seq`."""
        return _to_report(self._arrivals, seq, most)

    def departures(self, seq: int, most: int) -> list[Member]:
        """Return the departures for report `seq`."""
        return _to_report(self._departures, seq, most)

    def report_answered(self, seq: int) -> None:
        """Forget the arrivals and departures in report `seq`, which was answered."""
        for changes in (self._arrivals, self._departures):
            for key in [key for key, carried in changes.items() if carried == seq]:
                del changes[key]

    def counts(self, now: float, leases: ChildLeases) -> ChildCounts:
        """Return the number of children by their last reports."""
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


def _to_report(changes: dict[ChildKey, int], seq: int, most: int) -> list[Member]:
    """Return the first changes, and mark them with the report that has them.

    A change in an earlier report that was not answered is reported again.
    """
    members: list[Member] = []
    for key in changes:
        if len(members) == most:
            break
        changes[key] = seq
        members.append(Member(key.name, key.process_id))
    return members
