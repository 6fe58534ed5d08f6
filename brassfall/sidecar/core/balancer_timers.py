"""The timers that the balancer asks for."""

from __future__ import annotations

import asyncio

from brassfall.balancer import events, model
from brassfall.sidecar.core.event_sink import EventSink


class BalancerTimers:
    """Arms the balancer's timers, and cancels the timers of a request when the request is released."""

    def __init__(self, loop: asyncio.AbstractEventLoop, event_sink: EventSink) -> None:
        self._loop = loop
        self._event_sink = event_sink
        # Timer handles by request number; handles of timers that have already fired stay in the lists.
        self._handles_by_request: dict[int, list[asyncio.TimerHandle]] = {}

    @property
    def armed(self) -> int:
        """The number of request timers that have not come due yet."""
        now = self._loop.time()
        return sum(handle.when() > now for handles in self._handles_by_request.values() for handle in handles)

    def arm(self, timer: model.StartTimer, *, is_tracked: bool) -> None:
        """Arm a timer: the balancer gets a `TimerDue` event after the delay of `timer`.

        `is_tracked` is True if the timer's request is in the request table; the timer is then cancelled when
        that request is released.
        """
        handle = self._loop.call_later(max(0.0, timer.delay) / 1000.0, self._report_due, timer)
        if timer.request is not None and is_tracked:
            self._handles_by_request.setdefault(timer.request, []).append(handle)

    def cancel(self, request: int) -> None:
        """Cancel the timers of a request, which would wake the process without effect."""
        for handle in self._handles_by_request.pop(request, ()):
            handle.cancel()

    def _report_due(self, timer: model.StartTimer) -> None:
        self._event_sink.notify(events.TimerDue(timer.token))
