"""The strategy for pushed lists: the watch is always kept up."""

from __future__ import annotations

import asyncio

from brassfall.sidecar.discovery.channel import log_failure
from brassfall.sidecar.discovery.interfaces import Route, WatchEnd
from brassfall.sidecar.discovery.notifier import Notifier
from brassfall.sidecar.discovery.watch_call import WatchCall


class PushedWatch:
    """Watches for as long as the process runs; the balancer has no part in it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, call: WatchCall, route: Route, notifier: Notifier
    ) -> None:
        self._loop = loop
        self._call = call
        self._route = route
        self._notifier = notifier
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to watch."""
        self._restart()

    def watch(self, *, on: bool) -> None:
        """Ignore what the balancer asks for: the watch is kept up anyway."""

    def change_address(self) -> None:
        """Watch at the new address from now on."""
        self._restart()

    def reopen_watch(self) -> None:
        """Open the watch anew, which begins with what it has missed."""
        self._restart()

    async def wait_for_first_call(self, limit: float) -> None:
        """Wait until the first call is answered or has failed, at most `limit` seconds.

        What the agent has counts as notified from the first moment of a process.
        """
        await self._notifier.wait_for_first_call(limit)

    def close(self) -> None:
        """Cancel the watch."""
        if self._task is not None:
            self._task.cancel()

    def _restart(self) -> None:
        self.close()
        self._task = self._loop.create_task(self._keep_up())

    async def _keep_up(self) -> None:
        failures = 0
        while True:
            end = WatchEnd()
            try:
                end = await self._call.run()
            except Exception as error:  # noqa: BLE001 - without a watch, draining servers would get requests
                log_failure(error)
            self._notifier.call_ended()
            failures = end.failures_in_a_row(failures)
            await asyncio.sleep(self._route.backoff(failures, end.retry_after))
