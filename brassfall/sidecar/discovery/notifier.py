"""The notifier: applies each accepted update to the current list, and notifies the listener of it."""

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
    """Applies accepted updates to the current list, and notifies the listener of them and of failed polls.

    The notifier adds to each update the time at which the previous list was last known to be the newest.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, current: CurrentList, route: Route, listener: ListListener
    ) -> None:
        self._loop = loop
        self._current = current
        self._route = route
        self._listener = listener
        self._open_watch: Channel | None = None  # The connection of the open watch
        # Time at which the current list was last known to be the newest, in seconds of the loop. Later lines
        # of the open watch are not included.
        self._list_fresh_at = -math.inf
        self._first_list = asyncio.Event()
        self._first_call_ended = asyncio.Event()

    async def wait_for_first_list(self, limit: float) -> None:
        """Wait until discovery has sent a list, for at most `limit` seconds."""
        await _wait_for_event(self._first_list, limit)

    async def wait_for_first_call(self, limit: float) -> None:
        """Wait until the first call was answered or has failed, for at most `limit` seconds."""
        await _wait_for_event(self._first_call_ended, limit)

    def record_call_end(self) -> None:
        """Record that a call was answered or has failed."""
        self._first_call_ended.set()

    def watch_opened(self, channel: Channel) -> None:
        """Record the connection of the open watch; each line on it confirms that the list is the newest."""
        self._open_watch = channel

    def watch_closed(self) -> None:
        """Record that no watch is open."""
        self._list_fresh_at, self._open_watch = self._last_fresh_at(), None

    def notify_configured_list(self, known: ServerList) -> None:
        """Notify the listener of the list in the configuration."""
        self._listener.endpoints_listed(ListForm.CONFIGURED, known)

    def accept_update(self, form: ListForm, update: ServerList, *, on_watch: bool) -> None:
        """Apply an update to the current list, and notify the listener of it.

        `on_watch` is True if the update came on the open watch. On a watch, each update after the first one
        arrives as soon as it happens.
        """
        watch, now = self._open_watch, self._loop.time()
        is_live = on_watch and watch is not None and watch.has_received_object
        update = replace(update, previous_list_fresh_at=now if is_live else self._last_fresh_at())
        self._list_fresh_at = now
        self._route.record_success()
        self._current.apply(update)
        self._first_list.set()
        self._first_call_ended.set()
        self._listener.endpoints_listed(form, update)

    def notify_failure(self) -> None:
        """Notify the listener that a poll failed or has ended."""
        self._listener.discovery_failed()

    def _last_fresh_at(self) -> float:
        """Return the time at which the current list was last known to be the newest; -inf without a list."""
        watch = self._open_watch
        return (
            max(self._list_fresh_at, watch.last_line_at)
            if watch is not None and watch.has_received_object
            else self._list_fresh_at
        )


async def _wait_for_event(event: asyncio.Event, limit: float) -> None:
    """Wait until an event is set, for at most `limit` seconds."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(event.wait(), limit)
