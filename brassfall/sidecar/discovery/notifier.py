"""What the listener is notified of, with when the list before was last known to be the newest."""

from __future__ import annotations

import asyncio
import contextlib
import math
from dataclasses import replace

from brassfall.balancer.model import ListForm
from brassfall.sidecar.discovery.channel import Channel
from brassfall.sidecar.discovery.current_list import CurrentList
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.discovery.interfaces import ListListener, Route


class Notifier:
    """Makes each accepted update a part of the current list, and passes it on to the listener."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, current: CurrentList, route: Route, listener: ListListener
    ) -> None:
        self._loop = loop
        self._current = current
        self._route = route
        self._listener = listener
        self._open_watch: Channel | None = None
        # When the current list was last known to be the newest, apart from what the open watch knows.
        self._fresh_at = -math.inf
        self._first_list = asyncio.Event()
        self._first_call_ended = asyncio.Event()

    async def wait_for_first_list(self, limit: float) -> None:
        """Wait until discovery has sent a list, at most `limit` seconds."""
        await _wait(self._first_list, limit)

    async def wait_for_first_call(self, limit: float) -> None:
        """Wait until the first call is answered or has failed, at most `limit` seconds."""
        await _wait(self._first_call_ended, limit)

    def call_ended(self) -> None:
        """Take note that a call was answered or has failed."""
        self._first_call_ended.set()

    def watch_opened(self, channel: Channel) -> None:
        """Take note of the open watch, which keeps the list fresh while lines come."""
        self._open_watch = channel

    def watch_closed(self) -> None:
        """Take note that no watch is open."""
        self._fresh_at, self._open_watch = self._last_fresh(), None

    def remembered(self, known: ServerList) -> None:
        """Pass on the list that the configuration had."""
        self._listener.endpoints_listed(ListForm.REMEMBERED, known)

    def listed(self, form: ListForm, update: ServerList, *, on_watch: bool) -> None:
        """Take in and pass on an update; `on_watch` if it came on the open watch.

        There each update after the first comes as it happens.
        """
        watch, now = self._open_watch, self._loop.time()
        live = on_watch and watch is not None and watch.updated
        update = replace(update, previous_list_fresh_at=now if live else self._last_fresh())
        self._fresh_at = now
        self._route.worked()
        self._current.take(update)
        self._first_list.set()
        self._first_call_ended.set()
        self._listener.endpoints_listed(form, update)

    def failed(self) -> None:
        """Pass on that a poll failed or has ended."""
        self._listener.discovery_failed()

    def _last_fresh(self) -> float:
        """Return when the current list was last known to be the newest; -inf if none has come yet."""
        watch = self._open_watch
        return max(self._fresh_at, watch.heard_at) if watch is not None and watch.updated else self._fresh_at


async def _wait(event: asyncio.Event, limit: float) -> None:
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(event.wait(), limit)
