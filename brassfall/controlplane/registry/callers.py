"""The connections of callers, with limits of their number and idle time."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from brassfall.controlplane.registry.http_errors import status_response
from brassfall.controlplane.registry.limits import CallerQuotas
from brassfall.settings import CallerLimits

HEAD_BYTES = 4096  # a line of a request's head
# aiohttp logs every malformed request with its traceback; here they are counted.
QUIET = logging.getLogger("brassfall.http")
QUIET.addHandler(logging.NullHandler())
QUIET.propagate = False


@dataclass(frozen=True, slots=True)
class LastReport:
    """The last report of a sidecar on a connection, to which the next one may be a delta."""

    name: str = ""
    fields: dict[str, Any] = field(default_factory=dict)


class Connection(web.RequestHandler):
    """One connection, idle from its start or its last answer until its next call."""

    __slots__ = ("_callers", "busy", "caller", "idle_since", "last_report", "reports_after_redirect")

    def __init__(self, callers: Callers, manager: web.Server, **options: Any) -> None:  # noqa: ANN401 - as the library has it
        super().__init__(manager, **options)
        self._callers = callers
        self.busy = False
        self.caller = ""  # its address
        self.idle_since = 0.0  # loop time, s
        self.last_report = LastReport()
        self.reports_after_redirect = 0  # reports on it since its sidecar was sent to another address

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.caller = str(peer[0]) if peer else "?"
        self._callers.connected(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the connection's place."""
        super().connection_lost(exc)
        self._callers.disconnected(self)

    def handle_error(
        self,
        request: Any,  # noqa: ANN401 - as the library has it
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed request, or a defect here, in JSON, and close the connection."""
        self._callers.malformed += 1
        if request.writer.output_size > 0:
            message = "a part of the answer has been sent"
            raise ConnectionError(message)
        reason = "a fault in the service" if status >= 500 else str(message or exc or "").split("\n")[0]
        answer = status_response(status, reason)
        answer.force_close()
        return answer


class Callers:
    """All connections; a new one beyond the limits replaces the one that has been idle for longest."""

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._quotas = CallerQuotas(limits.connections, limits.caller_share)
        self._idle: dict[Connection, None] = {}  # longest idle first
        self._open: set[Connection] = set()
        self.rejected = 0
        self.malformed = 0
        self.idle_closed = 0

    def __len__(self) -> int:
        return len(self._open)

    def connected(self, connection: Connection) -> None:
        """Give a new connection a place, if need be that of an idle one; otherwise abort it."""
        if self._quotas.take(connection.caller):
            if not self._close_idle(connection.caller):
                self.rejected += 1
                _abort(connection)
                return
            self._quotas.take(connection.caller)
        self._open.add(connection)
        self.idle(connection)

    def disconnected(self, connection: Connection) -> None:
        """Release the place of a connection."""
        self._idle.pop(connection, None)
        if connection in self._open:
            self._open.discard(connection)
            self._quotas.give_back(connection.caller)

    def busy(self, connection: Connection) -> None:
        """Note that a connection has a call."""
        connection.busy = True
        self._idle.pop(connection, None)

    def idle(self, connection: Connection) -> None:
        """Note that a connection has no call, or was answered."""
        connection.busy = False
        if connection in self._open:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle[connection] = None

    def sweep(self) -> None:
        """Close connections that have been idle for too long, also within an incomplete head."""
        until = asyncio.get_running_loop().time() - self._limits.idle_ms / 1000.0
        for connection in list(self._idle):
            if connection.idle_since > until:
                return
            self.idle_closed += 1
            self._close(connection)

    def _close_idle(self, caller: str) -> bool:
        """Close the longest idle connection, of the caller itself if its quota is used up."""
        full = self._quotas.total >= self._limits.connections
        for connection in self._idle:
            if full or connection.caller == caller:
                self._close(connection)
                return True
        return False

    def _close(self, connection: Connection) -> None:
        self.disconnected(connection)
        _abort(connection)


def _abort(connection: Connection) -> None:
    if connection.transport is not None:
        connection.transport.abort()
