"""Admission of children: processes with a lease at once, newcomers at a limited rate. Pure code.

A newcomer costs a complete list and a connection or two. It gets a slot, stated by `Retry-After`, and is
admitted when it comes back in its slot or later. So a flood of newcomers is spread at the rate, and none is
starved by the retries of others.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.timing import AggregatorTiming

FULL_RETRY_MS = 2000.0
EARLY_MS = 20.0  # by which a newcomer may come early: its clock is fast, or its wait was rounded down
MAX_RESERVED = 8192
RESERVED_FOR_MS = 10_000.0  # until a slot that was not used is released


@dataclass(slots=True)
class Admission:
    """Slots for newcomers; all times in ms of one clock."""

    timing: AggregatorTiming
    _next_ms: float = 0.0  # the next free slot
    _reserved: dict[str, float] = field(default_factory=dict)  # by name of the sidecar, in order of time

    def retry_ms(self, now: float, name: str, *, holds_lease: bool, known: int) -> float:
        """Return the wait until a process may come again; 0: admitted. `known` is the number of children."""
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
        # Slots that were not used before allow a burst.
        earliest_ms = now - self.timing.newcomers_burst * step_ms
        self._next_ms = max(self._next_ms, earliest_ms) + step_ms
        wait_ms = max(0.0, self._next_ms - now)
        if wait_ms and len(self._reserved) < MAX_RESERVED:
            self._reserved[name] = self._next_ms
        return wait_ms

    def _forget(self, now: float) -> None:
        while self._reserved:
            name = next(iter(self._reserved))
            if self._reserved[name] > now - RESERVED_FOR_MS:
                return
            del self._reserved[name]
