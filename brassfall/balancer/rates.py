"""Rate of the attempts that this sidecar sends."""

from __future__ import annotations

import math

RATE_MS = 10000.0  # Time constant in milliseconds with which the count of attempts decays


class SendRate:
    """Exponentially decaying count of the attempts that this sidecar sent."""

    __slots__ = ("_counted_at", "_sends", "started_at")

    def __init__(self, now: float) -> None:
        """Start counting at `now`, in milliseconds of the events' clock."""
        self.started_at = now
        self._sends = 0.0
        self._counted_at = now

    def count_send(self, now: float) -> None:
        """Count one attempt that is sent."""
        self._sends = self._sends * math.exp((self._counted_at - now) / RATE_MS) + 1.0
        self._counted_at = now

    def sends_per_ms(self, now: float, min_sends: float = 0.0) -> float:
        """Return the attempts per millisecond; a decaying count below `min_sends` is raised to `min_sends`.

        The count decays with time, and the rate allows for the shorter time in which a recently started
        sidecar has counted.
        """
        covered_ms = RATE_MS * (1.0 - math.exp((self.started_at - now - 1.0) / RATE_MS))
        return max(min_sends, self._sends * math.exp((self._counted_at - now) / RATE_MS)) / covered_ms
