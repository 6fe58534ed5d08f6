"""Admission of children to an aggregator: at once with a lease, otherwise at a limited rate.

A newcomer is a sidecar process without a lease. It costs the aggregator a complete endpoint list and one or
two connections, so each newcomer gets a time slot, which it learns as `Retry-After`. It is admitted when it
reports again in its slot or later. This spreads many newcomers over time, and the retries of some cannot
starve the others.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.timing import AggregatorTiming

FULL_RETRY_MS = 2000.0  # the wait stated to a child that is rejected since there are too many children
# Newcomers are admitted this much before their slots, since their clocks may be fast or their waits may have
# been rounded down.
EARLY_MS = 20.0
MAX_RESERVED = 8192  # the maximum number of reserved slots
RESERVED_FOR_MS = 10_000.0  # how long after its time an unused slot stays reserved


@dataclass(slots=True)
class Admission:
    """Time slots reserved for newcomers; all times are ms of one monotonic clock."""

    timing: AggregatorTiming
    _last_slot_ms: float = 0.0  # time of the slot that was assigned last
    _reserved: dict[str, float] = field(default_factory=dict)  # slot times by sidecar name, earliest first

    def retry_ms(self, now: float, name: str, *, holds_lease: bool, known: int) -> float:
        """Return how many ms a process has to wait before its next report, or 0 if it is admitted now.

        `known` is the number of children that the aggregator has.
        """
        if known >= self.timing.children_most:
            return FULL_RETRY_MS
        return 0.0 if holds_lease else self._newcomer_wait_ms(now, name)

    def _newcomer_wait_ms(self, now: float, name: str) -> float:
        self._release_unused_slots(now)
        due_ms = self._reserved.get(name)
        if due_ms is None:
            return self._reserve_slot(now, name)
        if due_ms > now + EARLY_MS:
            return due_ms - now
        del self._reserved[name]
        return 0.0

    def _reserve_slot(self, now: float, name: str) -> float:
        slot_interval_ms = 1000.0 / self.timing.newcomers_per_s
        # Slots not used in the past may be used now, up to `newcomers_burst` of them at once.
        earliest_ms = now - self.timing.newcomers_burst * slot_interval_ms
        self._last_slot_ms = max(self._last_slot_ms, earliest_ms) + slot_interval_ms
        wait_ms = max(0.0, self._last_slot_ms - now)
        if wait_ms and len(self._reserved) < MAX_RESERVED:
            self._reserved[name] = self._last_slot_ms
        return wait_ms

    def _release_unused_slots(self, now: float) -> None:
        while self._reserved:
            name = next(iter(self._reserved))
            if self._reserved[name] > now - RESERVED_FOR_MS:
                return
            del self._reserved[name]
