"""Leases by time to live, with a guard against ending them in a network partition. Pure code.

Times are ms of *running time*, which advances by at most `MAX_STEP_MS` from one call to the next. After a
stall, when the process was stopped or the machine suspended, all leases therefore have the time left that
they had before. In addition no lease ends for `STALL_GRACE_MS` after a stall, so that owners that waited for
an answer meanwhile can retry.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field

MAX_STEP_MS = 500.0  # Largest advance of the running time from one call of `Leases` to the next, in ms
STALL_MS = 1000.0  # Time between two calls of `Leases` above which the process counts as stalled, in ms
# Time after a stall in which no lease ends, in ms: a call that times out, a pause, and a second call fit in.
STALL_GRACE_MS = 5000.0
# Fraction of its lease after which an owner without a renewal counts as silent. An owner renews after a third
# of the lease, so it has missed a renewal by then.
SILENT_PART = 2.0 / 3.0


@dataclass(frozen=True, slots=True)
class ExpiryGuard:
    """The limits above which missing renewals count as a network fault, not as the end of the owners."""

    share: float = 0.25  # Fraction of all guarded leases above which missing ones count as a network fault
    least: int = 2  # Least number of missing leases that counts as a network fault: a single one always ends
    window_ms: float = 10_000.0  # Time for which an expired lease counts as missing, in ms
    keep_ms: float = 60_000.0  # Time from the end of a suspect lease until it expires nevertheless, in ms


@dataclass(slots=True)
class Lease:
    """One lease; its times are in running time."""

    length_ms: float
    renewed_ms: float
    ends_ms: float
    guarded: bool
    serial: int = 0  # Serial number of the newest heap entry for this lease; older entries are ignored
    suspect: bool = False  # True if the lease has ended but is kept because of the guard


@dataclass(slots=True)
class EndedLeases:
    """The keys of leases that have ended: expired ones are removed, suspected ones are kept for now."""

    expired: list[str] = field(default_factory=list)
    suspected: list[str] = field(default_factory=list)


class Leases:
    """The leases of one table; `now` is monotonic time in ms."""

    def __init__(self, guard: ExpiryGuard) -> None:
        self._guard = guard
        self._leases: dict[str, Lease] = {}
        self._checks: list[tuple[float, int, str]] = []  # Heap of due checks: (running time, serial, key)
        self._last_serial = 0
        # Running times at which guarded leases expired, within the window of the guard.
        self._expired_guarded: deque[float] = deque()
        self._running_ms = 0.0
        self._stall_grace_until = 0.0
        self._last_now: float | None = None

    def __len__(self) -> int:
        return len(self._leases)

    def __contains__(self, key: str) -> bool:
        return key in self._leases

    @property
    def suspects(self) -> list[str]:
        """The sorted keys of leases that have ended but are kept because of the guard."""
        return sorted(key for key, lease in self._leases.items() if lease.suspect)

    def grant(self, now: float, key: str, length_ms: float, *, guarded: bool, grace_ms: float = 0.0) -> None:
        """Begin a lease, or replace one; until its first renewal it lasts for at least `grace_ms`."""
        ends = self._time(now) + max(length_ms, grace_ms)
        lease = Lease(length_ms, ends - length_ms, ends, guarded)
        self._leases[key] = lease
        self._schedule(key, lease, ends)

    def renew(self, now: float, key: str) -> bool:
        """Renew the lease with this key; return False if there is none."""
        running = self._time(now)
        lease = self._leases.get(key)
        if lease is None:
            return False
        lease.renewed_ms, lease.ends_ms = running, running + lease.length_ms
        if lease.suspect:
            lease.suspect = False
            # The next check of a suspect lease is after `keep_ms`; a renewed lease is checked at its end.
            self._schedule(key, lease, lease.ends_ms)
        return True

    def set_guarded(self, key: str, *, guarded: bool) -> None:
        """Set whether the guard applies to the lease with this key; do nothing if there is none."""
        lease = self._leases.get(key)
        if lease is not None:
            lease.guarded = guarded

    def drop(self, key: str) -> None:
        """Remove the lease with this key, if there is one."""
        self._leases.pop(key, None)

    def since_renewal_ms(self, now: float, key: str) -> float | None:
        """Return the running time since the last renewal of a lease; None if there is no such lease."""
        lease = self._leases.get(key)
        return None if lease is None else self._time(now) - lease.renewed_ms

    def check(self, now: float) -> EndedLeases:
        """Return the leases that have ended since the last check.

        They expire; but if too many are silent at once, guarded leases become suspects and are kept.
        """
        running = self._time(now)
        due = self._due(running)
        ended = EndedLeases()
        if not due:
            return ended
        mass_silence = self._mass_silence(running)
        for key in due:
            lease = self._leases[key]
            if lease.guarded and mass_silence and running < lease.ends_ms + self._guard.keep_ms:
                self._schedule(key, lease, lease.ends_ms + self._guard.keep_ms)
                if not lease.suspect:
                    lease.suspect = True
                    ended.suspected.append(key)
                continue
            del self._leases[key]
            ended.expired.append(key)
            if lease.guarded and not lease.suspect:
                self._expired_guarded.append(running)
        return ended

    def _due(self, running: float) -> list[str]:
        due = []
        while self._checks and self._checks[0][0] <= running:
            _, serial, key = heapq.heappop(self._checks)
            lease = self._leases.get(key)
            if lease is None or lease.serial != serial:
                continue
            if lease.ends_ms > running or self._stall_grace_until > running:
                self._schedule(key, lease, max(lease.ends_ms, self._stall_grace_until))
            else:
                due.append(key)
        return due

    def _schedule(self, key: str, lease: Lease, at_ms: float) -> None:
        """Schedule the next check of a lease at `at_ms`, in place of the one scheduled before."""
        self._last_serial += 1
        lease.serial = self._last_serial
        heapq.heappush(self._checks, (at_ms, self._last_serial, key))

    def _mass_silence(self, running: float) -> bool:
        """Return whether so many owners are silent, or have just expired, that a network fault is likely."""
        expired = self._expired_guarded
        while expired and expired[0] < running - self._guard.window_ms:
            expired.popleft()
        guarded = [lease for lease in self._leases.values() if lease.guarded]
        silent = sum(running - lease.renewed_ms > lease.length_ms * SILENT_PART for lease in guarded)
        missing = silent + len(expired)
        return missing >= self._guard.least and missing > self._guard.share * (len(guarded) + len(expired))

    def _time(self, now: float) -> float:
        """Return the running time at `now`; it never goes back."""
        if self._last_now is None:
            self._last_now = now
            return self._running_ms
        step = now - self._last_now
        if step > STALL_MS:
            self._stall_grace_until = self._running_ms + MAX_STEP_MS + STALL_GRACE_MS
        self._running_ms += min(max(0.0, step), MAX_STEP_MS)
        self._last_now = max(now, self._last_now)
        return self._running_ms
