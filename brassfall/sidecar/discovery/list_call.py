"""Calls for the complete list, made on demand."""

from __future__ import annotations

import asyncio
import json

from brassfall.balancer.model import MAX_POLL_BACKOFF_MS, ListForm
from brassfall.sidecar.config_values import MALFORMED
from brassfall.sidecar.discovery.channel import (
    CALL_S,
    NOTIFIED_S,
    SPARE_S,
    Channel,
    End,
    log_failure,
    open_channel,
)
from brassfall.sidecar.discovery.current_list import CurrentList
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.discovery.interfaces import Route
from brassfall.sidecar.discovery.notifier import Notifier
from brassfall.sidecar.discovery.watch_call import PATH

# Time limit of a call; the balancer's backoff, up to twice, and one more call have to follow in time.
LIST_CALL_S = NOTIFIED_S - SPARE_S - 2.0 * MAX_POLL_BACKOFF_MS / 1000.0 - CALL_S


class ListCalls:
    """The calls for the complete list that are under way; each ends in one notification."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, route: Route, current: CurrentList, notifier: Notifier
    ) -> None:
        self._loop = loop
        self._route = route
        self._current = current
        self._notifier = notifier
        self._calls: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Call once."""
        task = self._loop.create_task(self._call())
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def change_address(self) -> None:
        """Make the calls under way again, as one at the new address; late answers of the old are not read."""
        if self._calls:
            self.close()
            self.start()

    def close(self) -> None:
        """Cancel the calls under way."""
        for task in tuple(self._calls):
            task.cancel()

    async def _call(self) -> None:
        channel, objects = await self._receive()
        try:
            update = self._read(channel, objects)
        except MALFORMED as error:
            if channel is None or channel.end is not End.REJECTED:
                log_failure(error)
            self._route.failed(channel.retry_after if channel is not None else 0.0)
            self._notifier.failed()
            return
        if channel is not None:
            channel.confirm(self._current.age, channel.heard_at)
        self._notifier.listed(ListForm.COMPLETE, update, on_watch=False)

    async def _receive(self) -> tuple[Channel | None, list[bytes]]:
        """Call; return the connection, if one came up, and the objects that came."""
        objects: list[bytes] = []

        def on_line(line: bytes) -> float | None:
            if objects:
                message = "more than one list"
                raise ValueError(message)
            objects.append(line)
            return None

        until = self._loop.time() + LIST_CALL_S
        channel = await open_channel(
            self._route.current, PATH, on_line, headers=self._current.request_headers
        )
        if channel is not None:
            try:
                await asyncio.wait((channel.ended,), timeout=max(0.0, until - self._loop.time()))
            finally:
                channel.close()
        return channel, objects

    def _read(self, channel: Channel | None, objects: list[bytes]) -> ServerList:
        """Return the list; raise one of `MALFORMED` if the call failed or the list is invalid."""
        if channel is None or channel.end is not End.COMPLETE:
            message = "the call failed"
            raise ValueError(message)
        return self._current.read_complete(json.loads(b"".join(objects)))
