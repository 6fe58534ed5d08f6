"""Schedule of the calls to discovery: spread out after a start, with exponential backoff after failures."""

from __future__ import annotations

import random

from brassfall.balancer.model import MAX_DISCOVERY_BACKOFF_MS
from brassfall.balancer.settings import DiscoveryMode, Settings

FIRST_CALL_SPREAD_MS = 2500.0  # Time span over which sidecars that start together spread their first calls
# Largest spread of the first calls, as a share of the longest time without a call (`Settings.ask_within`).
FIRST_CALL_SPREAD_SHARE = 1.0 / 4.0
FIRST_BACKOFF_MS = 500.0  # Backoff after the first failure in milliseconds, doubled by each further failure
# Largest backoff, as a share of the longest time without a call (`Settings.ask_within`).
MAX_BACKOFF_SHARE = 0.2


class DiscoveryBackoff:
    """Scheduler of the calls to discovery; at most one call is scheduled at a time."""

    __slots__ = ("_backoff_ms", "_is_scheduled", "_max_backoff_ms", "_rng", "_spread_ms", "_subscribes")

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Create the schedule without a call; `rng` is the random number generator of the balancer."""
        self._rng = rng
        self._is_scheduled = False
        self._backoff_ms = FIRST_BACKOFF_MS
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply new settings from now on."""
        self._subscribes = settings.discovery == DiscoveryMode.SUBSCRIBE
        self._spread_ms = min(FIRST_CALL_SPREAD_MS, settings.ask_within * FIRST_CALL_SPREAD_SHARE)
        self._max_backoff_ms = min(MAX_DISCOVERY_BACKOFF_MS, MAX_BACKOFF_SHARE * settings.ask_within)

    def schedule_first_call(self) -> float | None:
        """Schedule the first call; return its delay in milliseconds, or None if endpoint lists are pushed."""
        if not self._subscribes:
            return None
        return self._schedule(self._rng.random() * self._spread_ms)

    def reset(self) -> None:
        """Start again with the shortest backoff, because discovery has answered."""
        self._backoff_ms = FIRST_BACKOFF_MS

    def schedule_retry(self) -> float | None:
        """Schedule a retry; return its delay in milliseconds, or None if a call is already scheduled."""
        delay_ms = self._backoff_ms * (1.0 + self._rng.random())
        self._backoff_ms = min(2.0 * self._backoff_ms, self._max_backoff_ms)
        return self._schedule(delay_ms)

    def take_scheduled_call(self) -> bool:
        """Return whether a call was scheduled and clear it; the caller makes the call now."""
        is_due, self._is_scheduled = self._is_scheduled, False
        return is_due

    def _schedule(self, delay_ms: float) -> float | None:
        if self._is_scheduled:
            return None
        self._is_scheduled = True
        return delay_ms
