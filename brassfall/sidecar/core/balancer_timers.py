"""The timers that the balancer asks for."""

from __future__ import annotations

import asyncio

from brassfall.balancer import events, model
from brassfall.sidecar.core.event_sink import EventSink


class BalancerTimers:
    """Arms the balancer's timers; those about a request are cancelled when it is released."""

    def __init__(self, loop: asyncio.AbstractEventLoop, events_to: EventSink) -> None:
        self._loop = loop
        self._events = events_to
        self._of_requests: dict[int, list[asyncio.TimerHandle]] = {}  # some may have run

    @property
    def armed(self) -> int:
        """The number of timers about requests that have not come due."""
        now = self._loop.time()
        return sum(timer.when() > now for timers in self._of_requests.values() for timer in timers)

    def arm(self, timer: model.StartTimer, *, is_tracked: bool) -> None:
        """Give the balancer a `TimerDue` after the delay of `timer`.

        `is_tracked` tells whether the request that it is about is still in the table, and will cancel it.
        """
        handle = self._loop.call_later(max(0.0, timer.delay) / 1000.0, self._due, timer)
        if timer.request is not None and is_tracked:
            self._of_requests.setdefault(timer.request, []).append(handle)

    def cancel(self, request: int) -> None:
        """Cancel the timers about a request: each would wake the process for nothing."""
        for handle in self._of_requests.pop(request, ()):
            handle.cancel()

    def _due(self, timer: model.StartTimer) -> None:
        self._events.notify(events.TimerDue(timer.token))
