"""Who is taken on as a child: processes that hold a lease at once, newcomers at a bounded rate. Pure code.

A newcomer costs a complete list and a connection or two. It is given a slot, named by `Retry-After`, and
admitted when it comes back in its slot or later; so a flood is spread over its number by the rate, and no
newcomer is starved by another's retries.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.timing import AggregatorTiming

FULL_RETRY_MS = 2000.0
EARLY_MS = 20.0  # a newcomer whose clock is fast, or whose wait was rounded down, may come so early
RESERVED_MOST = 8192
RESERVED_FOR_MS = 10_000.0  # a slot that nobody takes is given up after this


@dataclass(slots=True)
class Admission:
    """Slots for newcomers; all times in ms of one clock."""

    timing: AggregatorTiming
    _next_ms: float = 0.0  # the next slot that nobody has
    _reserved: dict[str, float] = field(default_factory=dict)  # by name of the sidecar; in order of time

    def retry_ms(self, now: float, name: str, *, holds_lease: bool, known: int) -> float:
        """How long until this process may come again; 0: it is admitted now. `known`: children there are."""
        if known >= self.timing.children_most:
            return FULL_RETRY_MS
        return 0.0 if holds_lease else self._wait_ms(now, name)

    def _wait_ms(self, now: float, name: str) -> float:
        self._forget(now)
        due_ms = self._reserved.get(name)
        if due_ms is None:
            return self._reserve(now, name)
        if due_ms > now + EARLY_MS:
            return due_ms - now
        del self._reserved[name]
        return 0.0

    def _reserve(self, now: float, name: str) -> float:
        step_ms = 1000.0 / self.timing.newcomers_per_s
        # After a quiet time, slots that nobody took are there for a burst.
        earliest_ms = now - self.timing.newcomers_burst * step_ms
        self._next_ms = max(self._next_ms, earliest_ms) + step_ms
        wait_ms = max(0.0, self._next_ms - now)
        if wait_ms and len(self._reserved) < RESERVED_MOST:
            self._reserved[name] = self._next_ms
        return wait_ms

    def _forget(self, now: float) -> None:
        while self._reserved:
            name = next(iter(self._reserved))
            if self._reserved[name] > now - RESERVED_FOR_MS:
                return
            del self._reserved[name]
