"""Idle connections: how long they may be reused, and when those to draining servers are closed."""

from __future__ import annotations

import math

from brassfall.balancer.model import RESET, CloseIdleConnections, IdleCloseTimer, Outcome, StartTimer
from brassfall.balancer.records import Attempt, Server
from brassfall.balancer.settings import Settings

# Middleboxes and servers drop idle connections without notice. Once a dropped connection is detected, idle
# connections are reused only up to this share of the time for which the dropped connection was idle. The
# limit grows again over time.
TRUSTED_IDLE_SHARE = 0.7
# Shortest idle time, in milliseconds, after which a reset counts as a connection dropped while idle.
MIN_LEARNED_IDLE_MS = 200.0
# Largest time until a reset that is attributed to a dropped connection, as a share of the connection's idle
# time; an attempt on a dropped connection fails almost immediately.
MAX_RESET_SHARE = 0.2
TRUST_REGAIN_MS = 30000.0  # Time in milliseconds in which the allowed idle time grows by a factor of e

# Number of times that the idle connections to a draining server are closed again after the last list update
# or outcome, because a connection may become idle later.
CLOSINGS = 2
# Interval between two closings, as a share of the time limit for closing idle connections to a draining
# server.
CLOSING_INTERVAL_SHARE = 0.4


class IdleConnections:
    """Limit on the reuse of idle connections, and schedule for closing those to draining servers."""

    __slots__ = ("_idle_close_ms", "_learned_at", "_learned_ms", "_release_within_ms")

    def __init__(self, now: float, settings: Settings) -> None:
        """Create the component as if no dropped connection had been detected yet."""
        self._learned_ms = math.inf  # Idle time considered safe since a dropped connection was last detected
        self._learned_at = now
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply new settings from now on."""
        self._idle_close_ms = settings.idle_close
        self._release_within_ms = settings.release_within

    def max_idle_ms(self, now: float) -> float:
        """Return the idle time in milliseconds up to which a connection may be reused."""
        regained = math.exp(min(10.0, (now - self._learned_at) / TRUST_REGAIN_MS))
        return min(self._idle_close_ms, self._learned_ms * regained)

    def excuse_if_dropped(self, now: float, attempt: Attempt, outcome: Outcome, elapsed_ms: float) -> bool:
        """Return whether an attempt failed because its connection had been dropped while idle.

        Such an attempt is marked as excused, since its server is not at fault, and idle connections are
        trusted for a shorter time. A server that fails just before the send looks the same; the fault is
        attributed to it at the next attempt.
        """
        idle_for = attempt.idle_for
        if outcome is not RESET or idle_for < MIN_LEARNED_IDLE_MS:
            return False
        if elapsed_ms > MAX_RESET_SHARE * idle_for:
            return False
        attempt.excused = True
        if idle_for <= self.max_idle_ms(now):
            self._learned_ms, self._learned_at = max(MIN_LEARNED_IDLE_MS, TRUSTED_IDLE_SHARE * idle_for), now
        return True

    def close_if_draining(
        self, server: Server, closings: int = CLOSINGS
    ) -> list[CloseIdleConnections | StartTimer]:
        """Return the actions that close the idle connections to a draining server now and again later.

        A connection may become idle later without an event, so idle connections are closed `closings` more
        times before the time limit. No timer is started if one is already running.
        """
        if self._release_within_ms <= 0.0 or server.usable:
            return []
        actions: list[CloseIdleConnections | StartTimer] = [CloseIdleConnections(server.name)]
        if closings and (closings < CLOSINGS or not server.closings_left):
            delay_ms = self._release_within_ms * CLOSING_INTERVAL_SHARE
            actions.append(StartTimer(delay_ms, IdleCloseTimer(server.name)))
        server.closings_left = closings
        return actions

    def close_again(self, server: Server) -> list[CloseIdleConnections | StartTimer]:
        """Return the actions for an expired timer that `close_if_draining` started."""
        if not server.closings_left:
            return []
        closings, server.closings_left = server.closings_left - 1, 0
        return self.close_if_draining(server, closings)
