"""When discovery is called again: spread out after a start, with growing delays after failures."""

from __future__ import annotations

import random

from brassfall.balancer.model import MAX_DISCOVERY_BACKOFF_MS
from brassfall.balancer.settings import DiscoveryMode, Settings

FIRST_CALL_SPREAD_MS = 2500.0  # sidecars that start together call at different times within this
FIRST_CALL_SPREAD_SHARE = 1.0 / 4.0  # of the time that may pass without a call, at most
FIRST_BACKOFF_MS = 500.0  # doubles with each failure
MAX_BACKOFF_SHARE = 0.2  # of the time that may pass without a call


class DiscoveryBackoff:
    """The delay before the next call to discovery; at most one call is scheduled at a time."""

    __slots__ = ("_backoff_ms", "_is_scheduled", "_max_backoff_ms", "_rng", "_spread_ms", "_subscribes")

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        """Schedule no call yet; `rng` is that of the same balancer."""
        self._rng = rng
        self._is_scheduled = False
        self._backoff_ms = FIRST_BACKOFF_MS
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply other settings from now on."""
        self._subscribes = settings.discovery == DiscoveryMode.SUBSCRIBE
        self._spread_ms = min(FIRST_CALL_SPREAD_MS, settings.ask_within * FIRST_CALL_SPREAD_SHARE)
        self._max_backoff_ms = min(MAX_DISCOVERY_BACKOFF_MS, MAX_BACKOFF_SHARE * settings.ask_within)

    def started(self) -> float | None:
        """Schedule the first call; return the milliseconds until then, or None if no call is to be made."""
        if not self._subscribes:
            return None
        return self._schedule(self._rng.random() * self._spread_ms)

    def succeeded(self) -> None:
        """Begin again with the shortest delay: discovery has answered."""
        self._backoff_ms = FIRST_BACKOFF_MS

    def failed(self) -> float | None:
        """Schedule another call; return the milliseconds until then, or None if one is scheduled already."""
        delay_ms = self._backoff_ms * (1.0 + self._rng.random())
        self._backoff_ms = min(2.0 * self._backoff_ms, self._max_backoff_ms)
        return self._schedule(delay_ms)

    def take_due(self) -> bool:
        """Return True if a call was scheduled; the caller makes it now."""
        is_due, self._is_scheduled = self._is_scheduled, False
        return is_due

    def _schedule(self, delay_ms: float) -> float | None:
        if self._is_scheduled:
            return None
        self._is_scheduled = True
        return delay_ms
