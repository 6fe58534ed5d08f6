"""The strategy for polled discovery: the balancer starts each watch, and is notified when it has ended."""

from __future__ import annotations

import asyncio
import math

from brassfall.sidecar.discovery.channel import log_failure
from brassfall.sidecar.discovery.interfaces import Route
from brassfall.sidecar.discovery.list_call import ListCalls
from brassfall.sidecar.discovery.notifier import Notifier
from brassfall.sidecar.discovery.watch_call import WatchCall

# Time after a change of the address within which the list at the new address has to be in force, in seconds.
ADDRESS_CHANGE_NOTIFIED_S = 4.0


class PolledWatch:
    """Watches while the balancer requests it, and after a change of the address."""

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
        """Do nothing, because the balancer starts each poll."""

    def watch(self, *, on: bool) -> None:
        """Start a watch unless one is under way, or cancel the watch.

        A watch under way, such as one after a change of the address, is not replaced by a new one. Discovery
        handles calls in the order of their arrival, and a new call would have to wait again.
        """
        if not on:
            self.close()
            self._task = None
        elif self._task is None:
            self._task = self._loop.create_task(self._poll())

    def change_address(self) -> None:
        """Start a watch at the new address at once, even if no watch was under way.

        The list at the new address has to be in force within `ADDRESS_CHANGE_NOTIFIED_S`, and the balancer
        may wait longer before it polls. For the same reason, a call that fails within this time is repeated
        without involving the balancer.
        """
        self.close()
        self._task = self._loop.create_task(self._poll(self._loop.time() + ADDRESS_CHANGE_NOTIFIED_S))

    def reopen_watch(self) -> None:
        """Request the complete list, which has the changes that the watch has missed."""
        self._list_calls.start()

    async def wait_for_first_call(self, limit: float) -> None:
        """Return at once, because readiness does not depend on polls."""

    def close(self) -> None:
        """Cancel the watch."""
        if self._task is not None:
            self._task.cancel()

    async def _poll(self, repeat_until: float = -math.inf) -> None:
        """Watch until the balancer has to poll again, and notify it. `repeat_until` is as in `_watch`."""
        try:
            await self._watch(repeat_until)
        except Exception as error:  # noqa: BLE001 - without a notification the balancer would never poll again
            log_failure(error)
        self._task = None
        self._notifier.notify_failure()

    async def _watch(self, repeat_until: float) -> None:
        """Watch, and repeat the watch as long as `Route.repeat_deadline` allows.

        `repeat_until` is the time until which a failed watch is repeated, in seconds of the loop.
        """
        failures = 0
        end = await self._call.run()
        while (deadline := self._route.repeat_deadline(end, repeat_until, self._loop.time())) is not None:
            repeat_until, failures = deadline, end.failures_in_a_row(failures)
            await asyncio.sleep(self._route.backoff(failures, end.retry_after))
            end = await self._call.run()
        if (wait := self._route.notification_delay(end.retry_after)) > 0.0:
            await asyncio.sleep(wait)
