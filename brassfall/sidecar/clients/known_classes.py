"""The names of request classes that clients may use: the present ones, and for a while earlier ones."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque

from brassfall.sidecar.clients.client_request import ClientRequest
from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage
from brassfall.sidecar.config_values import Names

LEARNED_S = 1.2  # from a reload, until clients know the new classes
EARLIER_CLASSES_KEPT_S = 4.0  # from a reload, in which earlier names are known at least: clients may retry


class KnownClasses:
    """The present and the recent names, against which requests are checked."""

    def __init__(self, loop: asyncio.AbstractEventLoop, names: Names) -> None:
        """Start with these names."""
        self._loop = loop
        self._names = names
        self._earlier: deque[Names] = deque()  # newest first
        self._timers: list[asyncio.TimerHandle] = []

    def replace(self, names: Names, deadline_ms: float) -> None:
        """Replace the present names, and keep the earlier ones for a while.

        Clients learn of a reload later, and may retry a request with earlier names until its deadline of at
        most `deadline_ms` is over. Each replacement has a time of its own.
        """
        if names == self._names:
            return
        earlier, self._names = self._names, names
        self._earlier.appendleft(earlier)
        keep_s = max(EARLIER_CLASSES_KEPT_S, LEARNED_S + deadline_ms / 1000.0)
        self._timers.append(self._loop.call_later(keep_s, self.forget, earlier))

    def forget(self, names: Names) -> None:
        """Forget earlier names whose time is over."""
        self._earlier.remove(names)
        self._timers = [timer for timer in self._timers if timer.when() > self._loop.time()]

    @property
    def known(self) -> list[Names]:
        """The names that clients may use, newest first."""
        return [self._names, *self._earlier]

    @property
    def slots(self) -> set[int]:
        """The slots in the settings of the classes that clients may name."""
        return {found.slot for names in self.known for found in names.classes.values()}

    def read(self, request: ClientRequest, message: RequestMessage, not_forwarded: frozenset[bytes]) -> None:
        """Check a request and read its properties.

        Raises the `BadRequestError` of the present names if no names that are known fit.
        """
        try:
            request.read(message, self._names, not_forwarded)
        except BadRequestError:
            for names in self._earlier:
                with contextlib.suppress(BadRequestError):
                    request.read(message, names, not_forwarded)
                    return
            raise

    def close(self) -> None:
        """Cancel the timers."""
        for timer in self._timers:
            timer.cancel()
