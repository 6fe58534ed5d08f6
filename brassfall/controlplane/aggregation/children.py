"""The children of an aggregator: who they are, and which arrivals and departures are to be reported.

Pure code. A child is one process of a sidecar; what it may act on, and until when, is in `child_leases`.
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
    differs_since_ms: float | None = None  # since when it acts on other overrides than are due

    def row(self, now: float) -> ChildRow:
        """Its row in a listing."""
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
    """Who is a child here, and which arrivals and departures the service has not confirmed yet."""

    children: dict[ChildKey, Child] = field(default_factory=dict)
    stale: int = 0  # reports that were repeated or overtaken
    _arrivals: dict[ChildKey, int] = field(default_factory=dict)  # to the report that carried it last, or 0
    _departures: dict[ChildKey, int] = field(default_factory=dict)

    def is_newest(self, key: ChildKey, report: Report, leases: ChildLeases) -> bool:
        """Whether a report is the newest of its process, as far as is known here; others are counted."""
        child = self.children.get(key)
        newest = max(leases.newest_seq(key), child.report.seq if child is not None else -1)
        if key.process_id and report.seq <= newest:
            self.stale += 1
            return False
        return True

    def report_received(self, now: float, key: ChildKey, report: Report) -> Child:
        """Take in a report that is the newest of its process; the child, which may be new."""
        child = self.children.get(key)
        if child is None:
            child = self.children[key] = Child(key, now, report)
            self._departures.pop(key, None)
            self._arrivals[key] = 0
        child.reported_ms, child.report = now, report
        return child

    def depart(self, key: ChildKey) -> Child | None:
        """A child is one no longer, which the next report says; None where it was none."""
        child = self.children.pop(key, None)
        if child is not None:
            self._arrivals.pop(key, None)
            self._departures[key] = 0
        return child

    def silent(self, now: float, longest_ms: float) -> list[ChildKey]:
        """Children that have not reported for longer than that."""
        return [key for key, child in self.children.items() if now - child.reported_ms > longest_ms]

    def migrate(self, members: Iterable[Member], asked_ms: float) -> list[ChildKey]:
        """Drop children that another aggregator has heard since, without reporting it; those dropped.

        One that reported here after the report was begun that got this answer (`asked_ms`) has come back."""
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
        """The service knows nothing of this process: report all children anew."""
        self._arrivals = dict.fromkeys(self.children, 0)

    def arrivals(self, seq: int, most: int) -> list[Member]:
        """Arrivals that report `seq` carries."""
        return _carried(self._arrivals, seq, most)

    def departures(self, seq: int, most: int) -> list[Member]:
        """Departures that report `seq` carries."""
        return _carried(self._departures, seq, most)

    def report_answered(self, seq: int) -> None:
        """Report `seq` was answered: the service knows what it carried."""
        for changes in (self._arrivals, self._departures):
            for key in [key for key, carried in changes.items() if carried == seq]:
                del changes[key]

    def counts(self, now: float, leases: ChildLeases) -> ChildCounts:
        """Children by what they reported last."""
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


def _carried(changes: dict[ChildKey, int], seq: int, most: int) -> list[Member]:
    """The first of these changes, marked with the report that carries them.

    A change that an earlier report carried without an answer is carried again."""
    members: list[Member] = []
    for key in changes:
        if len(members) == most:
            break
        changes[key] = seq
        members.append(Member(key.name, key.process_id))
    return members
