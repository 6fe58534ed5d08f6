"""One watch on discovery: the call, and the objects that come on it."""

from __future__ import annotations

import json

from brassfall.balancer.model import ListForm
from brassfall.sidecar.config_values import MALFORMED_ERRORS
from brassfall.sidecar.discovery.channel import End, ImplausibleListError, open_channel
from brassfall.sidecar.discovery.current_list import CurrentList
from brassfall.sidecar.discovery.interfaces import Route, WatchEnd
from brassfall.sidecar.discovery.notifier import Notifier

PATH = "/registry/instances"


class WatchCall:
    """Watches once, from the current version on, and notifies of what comes."""

    def __init__(self, route: Route, current: CurrentList, notifier: Notifier) -> None:
        self._route = route
        self._current = current
        self._notifier = notifier

    async def run(self) -> WatchEnd:
        """Watch until the connection ends or falls silent; return how that went.

        Cancelling closes the connection.
        """
        target = f"{PATH}?watch=1&from={self._current.requested_from}"
        channel = await open_channel(
            self._route.current, target, self._receive, headers=self._current.request_headers
        )
        if channel is None:
            return WatchEnd()
        channel.age = self._current.age
        self._notifier.watch_opened(channel)
        try:
            await channel.wait_for_end()
        finally:
            channel.close()
            self._notifier.watch_closed()
        return WatchEnd(
            heard=channel.heard,
            silent=channel.end is End.SILENT,
            heard_at=channel.heard_at,
            retry_after=channel.retry_after,
        )

    def _receive(self, line: bytes) -> float | None:
        """Take one object; return the age that it states in the place of a heartbeat, in seconds.

        A `ValueError` ends the watch; after an invalid list the next one begins with the complete list.
        """
        try:
            update, stated_age = self._current.read_event(json.loads(line))
        except ImplausibleListError:
            raise
        except MALFORMED_ERRORS as error:
            self._current.request_complete()
            message = f"not a list: {error}"
            raise ValueError(message) from error
        if update is not None and update.complete:
            self._notifier.listed(ListForm.COMPLETE, update, on_watch=True)
        elif update is not None and self._current.accepts_changes(update):
            self._notifier.listed(ListForm.CHANGES, update, on_watch=True)
        return stated_age
