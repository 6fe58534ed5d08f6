"""Names of request classes that clients may use: the current names and, for some time, earlier names."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque

from brassfall.sidecar.clients.client_request import ClientRequest
from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage
from brassfall.sidecar.config_values import WireNames

CLIENTS_LEARN_CLASSES_S = 1.2  # time after a reload until all clients know the new classes, in seconds
# Shortest time after a reload for which the earlier names stay valid, in seconds: clients may retry requests
# that use them.
EARLIER_CLASSES_KEPT_S = 4.0


class KnownClasses:
    """Current and earlier names of request classes, against which requests are checked."""

    def __init__(self, loop: asyncio.AbstractEventLoop, names: WireNames) -> None:
        """Start with `names` as the current names, and without earlier ones."""
        self._loop = loop
        self._names = names
        self._earlier_names: deque[WireNames] = deque()  # names of before the last reloads, newest first
        self._forget_timers: list[asyncio.TimerHandle] = []

    def replace(self, names: WireNames, deadline_ms: float) -> None:
        """Replace the current names, and keep them as earlier names for some time.

        Clients learn of a reload later, and may retry a request with earlier names until its deadline, of at
        most `deadline_ms`, is over. Each replacement has its own timer.
        """
        if names == self._names:
            return
        earlier, self._names = self._names, names
        self._earlier_names.appendleft(earlier)
        keep_s = max(EARLIER_CLASSES_KEPT_S, CLIENTS_LEARN_CLASSES_S + deadline_ms / 1000.0)
        self._forget_timers.append(self._loop.call_later(keep_s, self.forget, earlier))

    def forget(self, names: WireNames) -> None:
        """Remove earlier names that no client uses any more."""
        self._earlier_names.remove(names)
        self._forget_timers = [timer for timer in self._forget_timers if timer.when() > self._loop.time()]

    @property
    def known(self) -> list[WireNames]:
        """Names that clients may use, newest first."""
        return [self._names, *self._earlier_names]

    @property
    def slots(self) -> set[int]:
        """Slots in the settings of all classes that clients may name."""
        return {request_class.slot for names in self.known for request_class in names.classes.values()}

    def check_request(
        self, request: ClientRequest, message: RequestMessage, not_forwarded: frozenset[bytes]
    ) -> None:
        """Check a request against the current names, then against earlier ones, and read its properties.

        Headers in `not_forwarded` are not forwarded to servers. If the request fits none of the names, raises
        the `BadRequestError` of the check against the current names.
        """
        try:
            request.read_properties(message, self._names, not_forwarded)
        except BadRequestError:
            for names in self._earlier_names:
                with contextlib.suppress(BadRequestError):
                    request.read_properties(message, names, not_forwarded)
                    return
            raise

    def close(self) -> None:
        """Cancel the timers that remove earlier names."""
        for timer in self._forget_timers:
            timer.cancel()
