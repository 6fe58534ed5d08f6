"""The strategy for polled discovery: the balancer decides when to watch, and is notified of each end."""

from __future__ import annotations

import asyncio
import math

from brassfall.sidecar.discovery.channel import log_failure
from brassfall.sidecar.discovery.interfaces import Route
from brassfall.sidecar.discovery.list_call import ListCalls
from brassfall.sidecar.discovery.notifier import Notifier
from brassfall.sidecar.discovery.watch_call import WatchCall

MOVED_S = 4.0  # so long after a move, what the new address has counts as notified


class PolledWatch:
    """Watches while the balancer wants changes, and after a move."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        call: WatchCall,
        route: Route,
        notifier: Notifier,
        list_calls: ListCalls,
    ) -> None:
        self._loop = loop
        self._call = call
        self._route = route
        self._notifier = notifier
        self._list_calls = list_calls
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Do nothing: the balancer polls."""

    def watch(self, *, on: bool) -> None:
        """Watch, or stop.

        A watch under way, such as one after a move, is not given up for another: discovery handles calls in
        turn, and the new one would wait for its turn again.
        """
        if not on:
            self.close()
            self._task = None
        elif self._task is None:
            self._task = self._loop.create_task(self._poll())

    def change_address(self) -> None:
        """Watch at the new address at once, also where no watch is open.

        The list counts as notified some seconds after the move, and the balancer may wait for longer before
        it polls; for the same reason a call that fails until then is repeated without the balancer.
        """
        self.close()
        self._task = self._loop.create_task(self._poll(self._loop.time() + MOVED_S))

    def reopen_watch(self) -> None:
        """Call for the complete list."""
        self._list_calls.start()

    async def wait_for_first_call(self, limit: float) -> None:
        """Return at once: the balancer polls in its own time."""

    def close(self) -> None:
        """Cancel the watch."""
        if self._task is not None:
            self._task.cancel()

    async def _poll(self, until: float = -math.inf) -> None:
        """Watch until the balancer has to decide anew, and notify it."""
        try:
            await self._watch(until)
        except Exception as error:  # noqa: BLE001 - without a notification the balancer would never poll again
            log_failure(error)
        self._task = None
        self._notifier.failed()

    async def _watch(self, until: float) -> None:
        failures = 0
        end = await self._call.run()
        while (limit := self._route.repeat_until(end, until, self._loop.time())) is not None:
            until, failures = limit, end.failures_in_a_row(failures)
            await asyncio.sleep(self._route.backoff(failures, end.retry_after))
            end = await self._call.run()
        if (wait := self._route.hold_back(end.retry_after)) > 0.0:
            await asyncio.sleep(wait)
