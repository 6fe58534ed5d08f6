"""How many requests this sidecar sends."""

from __future__ import annotations

import math

RATE_MS = 10000.0  # time constant with which counted sends fade


class SendRate:
    """A fading count of this sidecar's own sends."""

    __slots__ = ("_counted_at", "_sends", "started_at")

    def __init__(self, now: float) -> None:
        """Begin at `now`, in milliseconds of the clock of the events."""
        self.started_at = now
        self._sends = 0.0
        self._counted_at = now

    def count(self, now: float) -> None:
        """Count one send."""
        self._sends = self._sends * math.exp((self._counted_at - now) / RATE_MS) + 1.0
        self._counted_at = now

    def per_ms(self, now: float, least: float = 0.0) -> float:
        """Return the sends per millisecond; `least` is the smallest count that is assumed.

        The count fades, and that of a young sidecar has had less time to grow.
        """
        covered_ms = RATE_MS * (1.0 - math.exp((self.started_at - now - 1.0) / RATE_MS))
        return max(least, self._sends * math.exp((self._counted_at - now) / RATE_MS)) / covered_ms
