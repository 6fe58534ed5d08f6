"""Who is taken on as a child: those that hold a lease at once, newcomers at a bounded rate. Pure code.

A newcomer costs a whole list and a connection or two. It is given a place in time, told as `Retry-After`, and
admitted when it comes back at that time or later; so a flood is spread over its number by the rate, and none
of it is starved by another's retries.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.timing import AggregatorTiming

FULL_RETRY_MS = 2000.0
EARLY_MS = 20.0  # a newcomer whose clock is fast, or whose wait was rounded down, may come so early
RESERVED_MOST = 8192
RESERVED_FOR_MS = 10_000.0  # a place in time that nobody takes is given up after this


@dataclass(slots=True)
class Admission:
    """Places in time for newcomers; `started` and all times in ms of one clock."""

    timing: AggregatorTiming
    turned_away: int = 0
    _next_ms: float = 0.0  # the next place in time that nobody has
    _reserved: dict[str, float] = field(default_factory=dict)  # by name of the sidecar; in order of time

    def retry_ms(self, now: float, name: str, holds_lease: bool, known: int) -> float:
        """How long until this process may come again; 0: it is admitted now. `known`: children there are."""
        if known >= self.timing.children_most:
            self.turned_away += 1
            return FULL_RETRY_MS
        if holds_lease:
            return 0.0
        wait = self._wait_ms(now, name)
        self.turned_away += wait > 0.0
        return wait

    def _wait_ms(self, now: float, name: str) -> float:
        self._forget(now)
        due = self._reserved.get(name)
        if due is None:
            return self._reserve(now, name)
        if due > now + EARLY_MS:
            return due - now
        del self._reserved[name]
        return 0.0

    def _reserve(self, now: float, name: str) -> float:
        step = 1000.0 / self.timing.newcomers_per_s
        # After a quiet time, places that nobody took are there for a burst.
        self._next_ms = max(self._next_ms, now - self.timing.newcomers_burst * step) + step
        wait = max(0.0, self._next_ms - now)
        if wait and len(self._reserved) < RESERVED_MOST:
            self._reserved[name] = self._next_ms
        return wait

    def _forget(self, now: float) -> None:
        while self._reserved:
            name = next(iter(self._reserved))
            if self._reserved[name] > now - RESERVED_FOR_MS:
                return
            del self._reserved[name]
