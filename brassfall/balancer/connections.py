"""Idle connections: which may have been dropped unnoticed, and which are closed as their server drains."""

from __future__ import annotations

import math

from brassfall.balancer.model import RESET, CloseIdleConnections, IdleCloseTimer, Outcome, StartTimer
from brassfall.balancer.records import Attempt, Server
from brassfall.balancer.settings import Settings

# Middle boxes and servers drop idle connections without a word. Once one was met, connections that were idle
# for this part of its idle time are closed in place of being used; that is forgotten again.
TRUSTED_IDLE_SHARE = 0.7
MIN_LEARNED_IDLE_MS = 200.0
MAX_RESET_SHARE = 0.2  # of the idle time: a dropped connection fails at once
TRUST_REGAIN_MS = 30000.0  # the trusted time grows by a factor of e in this time

CLOSINGS = 2  # after the last notice or outcome: a connection may become idle late
CLOSING_INTERVAL_SHARE = 0.4  # of the time limit for closing idle connections to a draining server


class IdleConnections:
    """How long an idle connection may be trusted, and when those to a draining server are closed."""

    __slots__ = ("_idle_close_ms", "_learned_at", "_learned_ms", "_release_within_ms")

    def __init__(self, now: float, settings: Settings) -> None:
        """Begin without having met a dropped connection."""
        self._learned_ms = math.inf  # idle time of a dropped connection, once one was met
        self._learned_at = now
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply other settings from now on."""
        self._idle_close_ms = settings.idle_close
        self._release_within_ms = settings.release_within

    def safe_ms(self, now: float) -> float:
        """Return how long, in milliseconds, a connection may be idle and still be used."""
        regained = math.exp(min(10.0, (now - self._learned_at) / TRUST_REGAIN_MS))
        return min(self._idle_close_ms, self._learned_ms * regained)

    def was_dropped(self, now: float, attempt: Attempt, outcome: Outcome, elapsed_ms: float) -> bool:
        """Return whether an attempt met a connection that was dropped while idle: no fault of its server.

        A server that dies just before the send looks the same; it is blamed at the next attempt.
        """
        idle_for = attempt.idle_for
        if outcome is not RESET or idle_for < MIN_LEARNED_IDLE_MS:
            return False
        if elapsed_ms > MAX_RESET_SHARE * idle_for:
            return False
        attempt.excused = True
        if idle_for <= self.safe_ms(now):
            self._learned_ms, self._learned_at = max(MIN_LEARNED_IDLE_MS, TRUSTED_IDLE_SHARE * idle_for), now
        return True

    def close_if_draining(self, server: Server, closings: int = CLOSINGS) -> list[CloseIdleConnections | StartTimer]:
        """Return the actions that close idle connections to a draining server, now and again later.

        A connection may become idle later without an event, so they are closed again before the time limit,
        `closings` times in all. No timer is asked for if one is running already.
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
        """Return the actions for a timer of `close_if_draining` that has come due."""
        if not server.closings_left:
            return []
        closings, server.closings_left = server.closings_left - 1, 0
        return self.close_if_draining(server, closings)
