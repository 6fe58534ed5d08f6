"""Connections of callers: how many there may be, and how long they may stand without a call."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

from aiohttp import web

from brassfall.controlplane.registry.limits import Shares
from brassfall.errors import Conflict, Missing, Refused, Stale, TooLarge, TooOften, Unavailable
from brassfall.settings import CallerLimits

HEAD_BYTES = 4096  # a line of a request's head
# aiohttp tells of every malformed request with its traceback; what callers get wrong is counted instead.
QUIET = logging.getLogger("brassfall.http")
QUIET.addHandler(logging.NullHandler())
QUIET.propagate = False


class NoSuchPath(Missing):
    """The service has no such path."""

    action = "See docs/registry.md for the paths; a service of an earlier version lacks the newer ones."


class WrongMethod(Refused):
    """The path has no such method (405)."""

    action = "See docs/registry.md for the methods of the path."
    status = 405
    slug = "method not allowed"


class TooSlow(Refused):
    """The body of a call did not come in time (408)."""

    action = "Send the whole body at once; look at the network between the two."
    status = 408
    slug = "too slow"


class Fault(Refused):
    """A defect of the service (500)."""

    action = "Report it with the traceback that the service's log has under `fault`."
    status = 500
    slug = "internal error"


class Elsewhere(Refused):
    """Not here: another address has what is asked for (503, without a time to come back here)."""

    action = "Ask another aggregator, or the list service; /health/ready here says what is missing."
    status = 503
    slug = "unavailable"


KINDS: dict[int, type[Refused]] = {
    kind.status: kind
    for kind in (
        Refused,
        Missing,
        WrongMethod,
        TooSlow,
        Conflict,
        Stale,
        TooLarge,
        TooOften,
        Fault,
        Unavailable,
    )
}


def error(status: int, reason: str, retry_s: float | None = None) -> web.Response:
    """An answer that says what is wrong, and by its status what can be done."""
    return refusal(KINDS.get(status, Refused)(reason), retry_s, status)


def refusal(told: Refused, retry_s: float | None = None, status: int | None = None) -> web.Response:
    """The answer for an error; `retry_s` where another time than its own is told."""
    status = told.status if status is None else status
    body = told.wire() if status in KINDS else {**told.wire(), "error": "error"}
    wait = told.retry_s if retry_s is None and isinstance(told, Unavailable) else retry_s
    headers = {} if wait is None else {"Retry-After": f"{max(wait, 0.05):.2f}"}
    return web.json_response(body, status=status, headers=headers)


class Connection(web.RequestHandler):
    """One connection; it stands idle from its start, or from its last answer, to its next call."""

    __slots__ = ("_callers", "busy", "caller", "idle_since", "report", "stayed")

    def __init__(self, callers: Callers, manager: web.Server, **options: Any) -> None:
        super().__init__(manager, **options)
        self._callers = callers
        self.busy = False
        self.caller = ""
        self.idle_since = 0.0
        self.stayed = 0  # reports on it since its sidecar was told to ask elsewhere
        self.report: tuple[str, dict[str, Any]] = ("", {})  # the last on it, and of whom: a next one goes on

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has come."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.caller = str(peer[0]) if peer else "?"
        self._callers.came(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """The caller is gone."""
        super().connection_lost(exc)
        self._callers.left(self)

    def handle_error(
        self,
        request: Any,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """What is no HTTP, or a fault here: said in JSON, and the connection ends."""
        self._callers.malformed += 1
        if request.writer.output_size > 0:
            raise ConnectionError("a part of the answer has been sent")
        reason = "a fault in the service" if status >= 500 else str(message or exc or "").split("\n")[0]
        answer = error(status, reason)
        answer.force_close()
        return answer


class Callers:
    """All connections. Where there is no place for a newcomer, the one idle for longest makes it."""

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._shares = Shares(limits.connections, limits.caller_share)
        self._idle: dict[Connection, None] = {}  # longest idle first
        self._known: set[Connection] = set()
        self.refused = 0
        self.malformed = 0
        self.idled = 0

    def __len__(self) -> int:
        return len(self._known)

    def came(self, connection: Connection) -> None:
        """A newcomer gets a place, the place of an idle one, or none."""
        why = self._shares.take(connection.caller)
        if why:
            if not self._make_room(connection.caller):
                self.refused += 1
                transport = connection.transport
                if transport is not None:
                    transport.abort()
                return
            self._shares.take(connection.caller)
        self._known.add(connection)
        self.free(connection)

    def left(self, connection: Connection) -> None:
        """A connection is gone."""
        self._idle.pop(connection, None)
        if connection in self._known:
            self._known.discard(connection)
            self._shares.give(connection.caller)

    def busy(self, connection: Connection) -> None:
        """It has a call."""
        connection.busy = True
        self._idle.pop(connection, None)

    def free(self, connection: Connection) -> None:
        """Its call is answered."""
        connection.busy = False
        if connection in self._known:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle[connection] = None

    def sweep(self) -> None:
        """Close what has stood idle for too long, also amid a head that never ends."""
        until = asyncio.get_running_loop().time() - self._limits.idle_ms / 1000.0
        for connection in list(self._idle):
            if connection.idle_since > until:
                return
            self.idled += 1
            self._end(connection)

    def _make_room(self, caller: str) -> bool:
        """End the connection that is idle for longest: the caller's own where its share is full."""
        full = self._shares.total >= self._limits.connections
        for connection in self._idle:
            if full or connection.caller == caller:
                self._end(connection)
                return True
        return False

    def _end(self, connection: Connection) -> None:
        self.left(connection)
        if connection.transport is not None:
            connection.transport.abort()
