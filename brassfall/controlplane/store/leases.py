"""Leases by time to live, with a guard against ending them in a network partition. Pure code.

Times are ms of running time, which advances by at most `MAX_STEP_MS` from one call to the next: in a process
that was stopped, or on a machine that was suspended, all leases have the time left that they had before.
Owners that waited for an answer meanwhile have to be able to retry: after a stall no lease ends for
`STALL_GRACE_MS`.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

MAX_STEP_MS = 500.0
STALL_MS = 1000.0  # a longer step is a stall
STALL_GRACE_MS = 5000.0  # a call that times out, a pause, and a second call
# An owner renews at a third of its time to live: after two thirds without one, a renewal was missed.
SILENT_PART = 2.0 / 3.0


@dataclass(frozen=True, slots=True)
class ExpiryGuard:
    """When missing renewals of many leases count as a network fault, and not as the end of their owners."""

    share: float = 0.25  # of all guarded leases
    least: int = 2  # a single one always ends
    window_ms: float = 10_000.0  # for which an expired lease is counted
    keep_ms: float = 60_000.0  # from the end of a suspect's lease until it expires


@dataclass(slots=True)
class Lease:
    """One lease, in running time."""

    length_ms: float
    renewed_ms: float
    ends_ms: float
    guarded: bool
    serial: int = 0  # of its newest entry in the heap; others are out of date
    suspect: bool = False


@dataclass(slots=True)
class Check:
    """The keys of leases that have ended: expired ones are removed, suspected ones stay for now."""

    expired: list[str] = field(default_factory=list)
    suspected: list[str] = field(default_factory=list)


class Leases:
    """The leases of one table. `now` is monotonic time in ms."""

    def __init__(self, guard: ExpiryGuard) -> None:
        self._guard = guard
        self._leases: dict[str, Lease] = {}
        self._ends: list[tuple[float, int, str]] = []  # heap of (check at, serial, key)
        self._serial = 0
        self._expired_guarded: deque[float] = deque()  # when guarded leases expired, within the window
        self._running_ms = 0.0
        self._stall_grace_until = 0.0
        self._last_now: float | None = None

    def __len__(self) -> int:
        return len(self._leases)

    def __contains__(self, key: str) -> bool:
        return key in self._leases

    @property
    def suspects(self) -> list[str]:
        """The keys that stay although their leases have ended."""
        return sorted(key for key, lease in self._leases.items() if lease.suspect)

    def grant(self, now: float, key: str, length_ms: float, *, guarded: bool, grace_ms: float = 0.0) -> None:
        """Begin a lease, or replace one; its first term lasts for at least `grace_ms`."""
        ends = self._time(now) + max(length_ms, grace_ms)
        lease = Lease(length_ms, ends - length_ms, ends, guarded)
        self._leases[key] = lease
        self._schedule(key, lease, ends)

    def renew(self, now: float, key: str) -> bool:
        """Renew a lease; return False if there is none."""
        running = self._time(now)
        lease = self._leases.get(key)
        if lease is None:
            return False
        lease.renewed_ms, lease.ends_ms = running, running + lease.length_ms
        if lease.suspect:
            lease.suspect = False
            self._schedule(key, lease, lease.ends_ms)  # sooner than the check of a suspect
        return True

    def set_guarded(self, key: str, *, guarded: bool) -> None:
        """Set whether the guard applies to a lease."""
        lease = self._leases.get(key)
        if lease is not None:
            lease.guarded = guarded

    def drop(self, key: str) -> None:
        """Remove a lease."""
        self._leases.pop(key, None)

    def since_renewal_ms(self, now: float, key: str) -> float | None:
        """Return the running time since a lease was renewed; None if there is none."""
        lease = self._leases.get(key)
        return None if lease is None else self._time(now) - lease.renewed_ms

    def check(self, now: float) -> Check:
        """Find leases that have ended; they expire, or become suspects if too many are silent at once."""
        running = self._time(now)
        due = self._due(running)
        found = Check()
        if not due:
            return found
        mass = self._mass_silence(running)
        for key in due:
            lease = self._leases[key]
            if lease.guarded and mass and running < lease.ends_ms + self._guard.keep_ms:
                self._schedule(key, lease, lease.ends_ms + self._guard.keep_ms)
                if not lease.suspect:
                    lease.suspect = True
                    found.suspected.append(key)
                continue
            del self._leases[key]
            found.expired.append(key)
            if lease.guarded and not lease.suspect:
                self._expired_guarded.append(running)
        return found

    def _due(self, running: float) -> list[str]:
        due = []
        while self._ends and self._ends[0][0] <= running:
            _, serial, key = heapq.heappop(self._ends)
            lease = self._leases.get(key)
            if lease is None or lease.serial != serial:
                continue
            if lease.ends_ms > running or self._stall_grace_until > running:
                self._schedule(key, lease, max(lease.ends_ms, self._stall_grace_until))
            else:
                due.append(key)
        return due

    def _schedule(self, key: str, lease: Lease, at_ms: float) -> None:
        """Check a lease at this time and no other."""
        self._serial += 1
        lease.serial = self._serial
        heapq.heappush(self._ends, (at_ms, self._serial, key))

    def _mass_silence(self, running: float) -> bool:
        """Return whether so many are silent, or have just expired, that a network fault is likely."""
        expired = self._expired_guarded
        while expired and expired[0] < running - self._guard.window_ms:
            expired.popleft()
        guarded = [lease for lease in self._leases.values() if lease.guarded]
        silent = sum(running - lease.renewed_ms > lease.length_ms * SILENT_PART for lease in guarded)
        missing = silent + len(expired)
        return missing >= self._guard.least and missing > self._guard.share * (len(guarded) + len(expired))

    def _time(self, now: float) -> float:
        """Return the running time, which never goes back."""
        if self._last_now is None:
            self._last_now = now
            return self._running_ms
        step = now - self._last_now
        if step > STALL_MS:
            self._stall_grace_until = self._running_ms + MAX_STEP_MS + STALL_GRACE_MS
        self._running_ms += min(max(0.0, step), MAX_STEP_MS)
        self._last_now = max(now, self._last_now)
        return self._running_ms
