"""Leases by time to live, and the guard against taking a cut network for a mass death. Pure code.

Time here is time served: it goes on by at most `STEP_MOST_MS` from one call to the next, so that
a process that was stopped, or a machine that slept, finds all leases as long as it left them. Holders
that waited for an answer meanwhile have to try again first: no lease ends for a while after a stall.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

STEP_MOST_MS = 500.0
STALL_MS = 1000.0  # a longer step is a stall
MERCY_MS = 5000.0  # after one: a call that waits in vain, a pause, and a second one
# A holder renews at a third of its time to live: two thirds without a word is a renewal missed.
SILENT_PART = 2.0 / 3.0


@dataclass(frozen=True, slots=True)
class Guard:
    """When silence of many is held to be a fault between them and us, not their death."""

    share: float = 0.25  # of all guarded leases
    least: int = 2  # one alone is always taken to be dead
    window_ms: float = 10_000.0  # how long one that has expired is counted
    keep_ms: float = 60_000.0  # how long a suspect is kept past the end of its lease


@dataclass(slots=True)
class Lease:
    """One lease; times are of time served, in ms."""

    length: float
    heard: float
    ends: float
    guarded: bool
    serial: int  # of its place among the ends; a place with another is out of date
    suspect: bool = False


@dataclass(slots=True)
class Verdict:
    """What a look at the leases found."""

    expired: list[str] = field(default_factory=list)
    suspected: list[str] = field(default_factory=list)


class Leases:
    """The leases of one table."""

    def __init__(self, guard: Guard) -> None:
        self._guard = guard
        self._leases: dict[str, Lease] = {}
        self._ends: list[tuple[float, int, str]] = []  # a heap; the end itself may have moved on
        self._serial = 0
        self._recent: deque[float] = deque()  # when guarded ones expired
        self._served = 0.0
        self._mercy = 0.0  # until then no lease ends
        self._seen: float | None = None

    def __len__(self) -> int:
        return len(self._leases)

    @property
    def suspects(self) -> list[str]:
        """Keys that are kept although their leases are over."""
        return sorted(key for key, lease in self._leases.items() if lease.suspect)

    def grant(self, now: float, key: str, length: float, guarded: bool, grace: float = 0.0) -> None:
        """Begin a lease, or begin it anew; it lasts for `grace` ms at least, this first time."""
        ends = self._time(now) + max(length, grace)
        lease = Lease(length, ends - length, ends, guarded, 0)
        self._leases[key] = lease
        self._place(key, lease, ends)

    def renew(self, now: float, key: str) -> bool:
        """The holder is there; whether it has a lease."""
        served = self._time(now)
        lease = self._leases.get(key)
        if lease is None:
            return False
        lease.heard, lease.ends = served, served + lease.length
        if lease.suspect:
            lease.suspect = False
            self._place(key, lease, lease.ends)  # sooner than the end of its time as a suspect
        return True

    def mark(self, key: str, guarded: bool) -> None:
        """Whether the end of a lease may be doubted from now on."""
        lease = self._leases.get(key)
        if lease is not None:
            lease.guarded = guarded

    def drop(self, key: str) -> None:
        """The lease is over for another reason."""
        self._leases.pop(key, None)

    def silence(self, now: float, key: str) -> float | None:
        """Milliseconds since a holder was heard of, in time served."""
        lease = self._leases.get(key)
        return None if lease is None else self._time(now) - lease.heard

    def look(self, now: float) -> Verdict:
        """Which leases are over, and which of those are kept as suspect."""
        served = self._time(now)
        due = self._due(served)
        verdict = Verdict()
        if not due:
            return verdict
        mass = self._mass(served)
        for key in due:
            lease = self._leases[key]
            if lease.guarded and mass and served < lease.ends + self._guard.keep_ms:
                self._place(key, lease, lease.ends + self._guard.keep_ms)
                if not lease.suspect:
                    lease.suspect = True
                    verdict.suspected.append(key)
                continue
            del self._leases[key]
            verdict.expired.append(key)
            if lease.guarded and not lease.suspect:
                self._recent.append(served)
        return verdict

    def _due(self, served: float) -> list[str]:
        due = []
        while self._ends and self._ends[0][0] <= served:
            _, serial, key = heapq.heappop(self._ends)
            lease = self._leases.get(key)
            if lease is None or lease.serial != serial:
                continue
            if lease.ends > served or self._mercy > served:
                self._place(key, lease, max(lease.ends, self._mercy))
            else:
                due.append(key)
        return due

    def _place(self, key: str, lease: Lease, at: float) -> None:
        """Look at a lease then, and at no other time."""
        self._serial += 1
        lease.serial = self._serial
        heapq.heappush(self._ends, (at, self._serial, key))

    def _mass(self, served: float) -> bool:
        """Whether too many are silent, or have just expired, for it to be their death."""
        while self._recent and self._recent[0] < served - self._guard.window_ms:
            self._recent.popleft()
        guarded = [lease for lease in self._leases.values() if lease.guarded]
        silent = sum(served - lease.heard > lease.length * SILENT_PART for lease in guarded)
        missing = silent + len(self._recent)
        return missing >= self._guard.least and missing > self._guard.share * (
            len(guarded) + len(self._recent)
        )

    def _time(self, now: float) -> float:
        if self._seen is not None:
            if now - self._seen > STALL_MS:
                self._mercy = self._served + STEP_MOST_MS + MERCY_MS
            self._served += min(max(0.0, now - self._seen), STEP_MOST_MS)
        self._seen = now if self._seen is None else max(now, self._seen)
        return self._served
