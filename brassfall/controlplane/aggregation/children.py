"""The children of an aggregator: who they are, who may act until when, who has come and gone. Pure code.

A child is one process of a sidecar, by its name and process id: two processes of one name are two children,
and their leases are two leases. Leases are kept apart from children: who falls silent, or is heard by another
aggregator, may act until its lease is over all the same.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from brassfall.controlplane.aggregation.messages import ChildCounts, Member
from brassfall.controlplane.revisions.reports import Report

FALLBACK = "safe"  # as a report says that its process acts on the fallback configuration


class ChildKey(NamedTuple):
    """One process of a sidecar."""

    name: str
    life: str


@dataclass(slots=True)
class ChildLease:
    """What one child may do: act on something until a time that is at the latest."""

    until_ms: float
    seq: int  # the newest report of its process
    prepared: int  # the revision that it has promised to act with, and goes on promising


@dataclass(slots=True)
class ChildLeases:
    """All leases that were granted and may still run; times are upper bounds, on the aggregator's clock."""

    pending: int = 0
    _leases: dict[ChildKey, ChildLease] = field(default_factory=dict)
    _lagging: dict[ChildKey, None] = field(default_factory=dict)  # may act, and have not acknowledged

    def await_all(self, pending: int) -> None:
        """From now on it matters who has acknowledged this revision; 0: none."""
        self.pending = pending
        lagging = (key for key, lease in self._leases.items() if lease.prepared != pending)
        self._lagging = dict.fromkeys(lagging) if pending else {}

    def grant(self, key: ChildKey, until_ms: float, seq: int, prepared: int) -> None:
        """A child may act until then. Of two leases of one process the later end counts."""
        held = self._leases.get(key)
        if held is not None:
            until_ms = max(until_ms, held.until_ms)
        self._leases[key] = ChildLease(until_ms, seq, 0)
        self.heard(key, seq, prepared)

    def heard(self, key: ChildKey, seq: int, prepared: int) -> None:
        """A child reported what it has acknowledged last, if the answer does not end that promise; its lease
        stays as it is."""
        lease = self._leases.get(key)
        if lease is None:
            return
        lease.seq = seq
        lease.prepared = prepared
        if self.pending and prepared != self.pending:
            self._lagging[key] = None
        else:
            self._lagging.pop(key, None)

    def newest_seq(self, key: ChildKey) -> int:
        """The newest report known of a process that may act."""
        lease = self._leases.get(key)
        return lease.seq if lease is not None else -1

    def release(self, key: ChildKey) -> None:
        """A child said that it acts on nothing more."""
        self._leases.pop(key, None)
        self._lagging.pop(key, None)

    def all_acknowledged(self, now: float) -> bool:
        """Whether every child that may still act has acknowledged what is pending."""
        while self._lagging:
            key = next(iter(self._lagging))
            if self._leases[key].until_ms > now:
                return False
            self.release(key)
        return True

    def lagging(self, now: float) -> Iterator[str]:
        """Names of children that may act and have not acknowledged what is pending."""
        return (key.name for key in self._lagging if self._leases[key].until_ms > now)

    def sweep(self, now: float) -> None:
        """Forget what is over."""
        for key in [key for key, lease in self._leases.items() if lease.until_ms <= now]:
            self.release(key)

    def names(self, now: float) -> set[str]:
        """Names of those that may still act."""
        return {key.name for key, lease in self._leases.items() if lease.until_ms > now}

    def any(self, now: float) -> bool:
        """Whether any child may still act."""
        return any(lease.until_ms > now for lease in self._leases.values())


@dataclass(slots=True)
class Child:
    """One child by its newest report."""

    key: ChildKey
    heard_ms: float
    report: Report
    differs_since_ms: float | None = None  # since when it acts on other overrides than are due


@dataclass(slots=True)
class Membership:
    """Who is a child here, and which arrivals and departures the service has not confirmed yet."""

    children: dict[ChildKey, Child] = field(default_factory=dict)
    stale: int = 0  # reports that were repeated or overtaken
    _arrivals: dict[ChildKey, int] = field(default_factory=dict)  # to the report that carried it last, or 0
    _departures: dict[ChildKey, int] = field(default_factory=dict)

    def fresh(self, key: ChildKey, report: Report, leases: ChildLeases) -> bool:
        """Whether a report is the newest of its process, as far as it is known here."""
        child = self.children.get(key)
        newest = max(leases.newest_seq(key), child.report.seq if child is not None else -1)
        if key.life and report.seq <= newest:
            self.stale += 1
            return False
        return True

    def heard(self, now: float, key: ChildKey, report: Report) -> Child:
        """Take in a fresh report."""
        child = self.children.get(key)
        if child is None:
            child = self.children[key] = Child(key, now, report)
            self._departures.pop(key, None)
            self._arrivals[key] = 0
        child.heard_ms, child.report = now, report
        return child

    def depart(self, key: ChildKey) -> Child | None:
        """A child is one no longer, which the service is to be told."""
        child = self.children.pop(key, None)
        if child is not None:
            self._arrivals.pop(key, None)
            self._departures[key] = 0
        return child

    def silent(self, now: float, longest_ms: float) -> list[ChildKey]:
        """Children that were not heard for too long."""
        return [key for key, child in self.children.items() if now - child.heard_ms > longest_ms]

    def moved(self, members: Iterable[Member], asked: float) -> list[ChildKey]:
        """Drop children that another aggregator has heard since, without reporting it; those dropped.

        One that was heard here after the report was begun that got this answer has come back."""
        dropped = []
        for member in members:
            key = ChildKey(member.name, member.life)
            child = self.children.get(key)
            if child is None:
                self._departures.pop(key, None)
            elif child.heard_ms > asked:
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

    def answered(self, seq: int) -> None:
        """Report `seq` was answered: what it carried is known above."""
        for changes in (self._arrivals, self._departures):
            for key in [key for key, carried in changes.items() if carried == seq]:
                del changes[key]

    def counts(self, now: float, leases: ChildLeases) -> ChildCounts:
        """Children by what they reported last."""
        leased, lagging = leases.names(now), set(leases.lagging(now))
        indexes = [child.report.list_index for child in self.children.values()]
        ages = [
            child.report.list_age_ms + now - child.heard_ms
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
        members.append(Member(key.name, key.life))
    return members
