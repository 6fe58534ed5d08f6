"""The health checks that the balancer asks for."""

from __future__ import annotations

import asyncio

from brassfall.balancer import events
from brassfall.balancer.model import Outcome
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.event_sink import EventSink
from brassfall.sidecar.core.interfaces import ExchangeResult, Upstreams

TIMEOUT_MS = 1000.0


class HealthChecks:
    """Runs health checks and reports the outcome of each to the balancer."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, events_to: EventSink) -> None:
        self._loop = loop
        self._clock = clock
        self._events = events_to
        self._upstreams: Upstreams

    def connect(self, upstreams: Upstreams) -> None:
        """Send health checks through these connections from now on."""
        self._upstreams = upstreams

    def start(self, server: str) -> None:
        """Check the health of a server; the outcome is reported once, later."""
        started_at = self._clock.now()

        def done(result: ExchangeResult) -> None:
            limit.cancel()
            elapsed = self._clock.now() - started_at
            self._events.notify(
                events.HealthCheckEnded(server, result.outcome, elapsed=elapsed, report=result.report)
            )

        def expire() -> None:
            exchange.abandon()
            done(ExchangeResult(Outcome.TIMEOUT))

        exchange = self._upstreams.check_health(server, done)
        limit = self._loop.call_later(TIMEOUT_MS / 1000.0, expire)
