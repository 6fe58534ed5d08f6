"""Calls that each request the complete list once."""

from __future__ import annotations

import asyncio
import json

from brassfall.balancer.model import MAX_DISCOVERY_BACKOFF_MS, ListForm
from brassfall.sidecar.config_values import MALFORMED_ERRORS
from brassfall.sidecar.discovery.channel import (
    CALL_TIMEOUT_S,
    NOTIFIED_S,
    SPARE_S,
    AnswerEnd,
    Channel,
    log_failure,
    open_channel,
)
from brassfall.sidecar.discovery.current_list import CurrentList
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.discovery.interfaces import Route
from brassfall.sidecar.discovery.notifier import Notifier
from brassfall.sidecar.discovery.watch_call import PATH

# Time limit of a call, in seconds. If the call fails, the balancer's backoff, which jitter at most doubles,
# and one more call have to fit into the time after which a change of the list has to be in force.
LIST_CALL_TIMEOUT_S = NOTIFIED_S - SPARE_S - 2.0 * MAX_DISCOVERY_BACKOFF_MS / 1000.0 - CALL_TIMEOUT_S


class ListCalls:
    """The calls for the complete list that are under way.

    The listener is notified once of the result of each call.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, route: Route, current: CurrentList, notifier: Notifier
    ) -> None:
        self._loop = loop
        self._route = route
        self._current = current
        self._notifier = notifier
        self._calls: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start one call."""
        task = self._loop.create_task(self._call())
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def change_address(self) -> None:
        """Replace all calls under way by one call at the new address.

        Late answers from the old address are not read.
        """
        if self._calls:
            self.close()
            self.start()

    def close(self) -> None:
        """Cancel all calls under way."""
        for task in tuple(self._calls):
            task.cancel()

    async def _call(self) -> None:
        """Request the complete list, and notify the listener of the list or of the failure."""
        channel, objects = await self._receive()
        try:
            update = self._read(channel, objects)
        except MALFORMED_ERRORS as error:
            if channel is None or channel.end is not AnswerEnd.REJECTED:
                log_failure(error)
            self._route.record_failure(channel.retry_after if channel is not None else 0.0)
            self._notifier.notify_failure()
            return
        if channel is not None:
            channel.confirm(self._current.age, channel.last_line_at)
        self._notifier.accept_update(ListForm.COMPLETE, update, on_watch=False)

    async def _receive(self) -> tuple[Channel | None, list[bytes]]:
        """Make a call; return its connection, or None if none opened, and the received JSON objects."""
        objects: list[bytes] = []

        def on_line(line: bytes) -> float | None:
            if objects:
                message = "the answer has more than one list"
                raise ValueError(message)
            objects.append(line)
            return None

        deadline = self._loop.time() + LIST_CALL_TIMEOUT_S
        channel = await open_channel(
            self._route.current, PATH, on_line, headers=self._current.request_headers
        )
        if channel is not None:
            try:
                await asyncio.wait((channel.ended,), timeout=max(0.0, deadline - self._loop.time()))
            finally:
                channel.close()
        return channel, objects

    def _read(self, channel: Channel | None, objects: list[bytes]) -> ServerList:
        """Return the list; raise one of `MALFORMED_ERRORS` if the call failed or the list is invalid."""
        if channel is None or channel.end is not AnswerEnd.COMPLETE:
            message = "the call for the complete list failed"
            raise ValueError(message)
        return self._current.read_complete(json.loads(b"".join(objects)))
