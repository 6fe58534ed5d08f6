"""One watch on the endpoint list: the call to discovery, and the JSON objects that arrive on it."""

from __future__ import annotations

import json

from brassfall.balancer.model import ListForm
from brassfall.sidecar.config_values import MALFORMED_ERRORS
from brassfall.sidecar.discovery.channel import AnswerEnd, ImplausibleListError, open_channel
from brassfall.sidecar.discovery.current_list import CurrentList
from brassfall.sidecar.discovery.interfaces import Route, WatchEnd
from brassfall.sidecar.discovery.notifier import Notifier

PATH = "/registry/instances"  # Path of the endpoint list at discovery


class WatchCall:
    """Makes one watch at a time for changes since the current version, and passes them to the notifier."""

    def __init__(self, route: Route, current: CurrentList, notifier: Notifier) -> None:
        self._route = route
        self._current = current
        self._notifier = notifier

    async def run(self) -> WatchEnd:
        """Watch until the connection ends or has been silent for too long; return how the watch ended.

        Cancelling closes the connection.
        """
        target = f"{PATH}?watch=1&from={self._current.watch_from_version}"
        channel = await open_channel(
            self._route.current, target, self._receive, headers=self._current.request_headers
        )
        if channel is None:
            return WatchEnd()
        channel.age_bound = self._current.age
        self._notifier.watch_opened(channel)
        try:
            await channel.wait_for_end()
        finally:
            channel.close()
            self._notifier.watch_closed()
        return WatchEnd(
            has_received_line=channel.has_received_line,
            silent=channel.end is AnswerEnd.SILENT,
            last_line_at=channel.last_line_at,
            retry_after=channel.retry_after,
        )

    def _receive(self, line: bytes) -> float | None:
        """Process one JSON object of the watch; return the age of the list that it states, in seconds.

        Return None if the object states no age. Raise `ValueError` if it is no valid list, which ends the
        watch. The next watch then begins with the complete list, unless this list was rejected as
        implausible.
        """
        try:
            update, stated_age = self._current.read_event(json.loads(line))
        except ImplausibleListError:
            raise
        except MALFORMED_ERRORS as error:
            self._current.request_complete_list()
            message = f"not a list: {error}"
            raise ValueError(message) from error
        if update is not None and update.complete:
            self._notifier.accept_update(ListForm.COMPLETE, update, on_watch=True)
        elif update is not None and self._current.accepts_changes(update):
            self._notifier.accept_update(ListForm.CHANGES, update, on_watch=True)
        return stated_age
