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
    """Runs health checks of servers and reports the outcome of each to the balancer."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, event_sink: EventSink) -> None:
        self._loop = loop
        self._clock = clock
        self._event_sink = event_sink
        self._upstreams: Upstreams

    def connect(self, upstreams: Upstreams) -> None:
        """Set the server connections that health checks are sent on; required before the first check."""
        self._upstreams = upstreams

    def start(self, server: str) -> None:
        """Start a health check of a server.

        The balancer gets exactly one `HealthCheckEnded` event, in a later turn of the event loop. A check
        that takes longer than `TIMEOUT_MS` ends with the outcome `TIMEOUT`.
        """
        started_at = self._clock.now()

        def report_outcome(result: ExchangeResult) -> None:
            timeout_timer.cancel()
            elapsed = self._clock.now() - started_at
            self._event_sink.notify(
                events.HealthCheckEnded(server, result.outcome, elapsed=elapsed, report=result.report)
            )

        def expire() -> None:
            exchange.abandon()
            report_outcome(ExchangeResult(Outcome.TIMEOUT))

        exchange = self._upstreams.check_health(server, report_outcome)
        timeout_timer = self._loop.call_later(TIMEOUT_MS / 1000.0, expire)
