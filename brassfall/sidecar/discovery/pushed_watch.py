"""The strategy for pushed lists: a watch is always kept open."""

from __future__ import annotations

import asyncio

from brassfall.sidecar.discovery.channel import log_failure
from brassfall.sidecar.discovery.interfaces import Route, WatchEnd
from brassfall.sidecar.discovery.notifier import Notifier
from brassfall.sidecar.discovery.watch_call import WatchCall


class PushedWatch:
    """Keeps a watch open while the process runs, without involving the balancer."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, call: WatchCall, route: Route, notifier: Notifier
    ) -> None:
        self._loop = loop
        self._call = call
        self._route = route
        self._notifier = notifier
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the watch."""
        self._restart()

    def watch(self, *, on: bool) -> None:
        """Ignore the request of the balancer, because the watch is always kept open."""

    def change_address(self) -> None:
        """Cancel the watch at the old address, and open one at the new address."""
        self._restart()

    def reopen_watch(self) -> None:
        """Open the watch again; the new watch begins with the changes that the old one has missed."""
        self._restart()

    async def wait_for_first_call(self, limit: float) -> None:
        """Wait until the first call was answered or has failed, for at most `limit` seconds.

        A pushed list has to be in force as soon as discovery has it, so a process should not serve requests
        before it has the list.
        """
        await self._notifier.wait_for_first_call(limit)

    def close(self) -> None:
        """Cancel the watch."""
        if self._task is not None:
            self._task.cancel()

    def _restart(self) -> None:
        """Replace the watch by a new one."""
        self.close()
        self._task = self._loop.create_task(self._keep_watch_open())

    async def _keep_watch_open(self) -> None:
        """Watch until cancelled, and open the watch again after a backoff whenever it ends."""
        failures = 0
        while True:
            end = WatchEnd()
            try:
                end = await self._call.run()
            except Exception as error:  # noqa: BLE001 - without a watch, draining servers would get requests
                log_failure(error)
            self._notifier.record_call_end()
            failures = end.failures_in_a_row(failures)
            await asyncio.sleep(self._route.backoff(failures, end.retry_after))
