"""Open connections of HTTP callers, with limits on their number and on their idle time."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from brassfall.controlplane.registry.http_errors import status_response
from brassfall.controlplane.registry.limits import CallerQuotas
from brassfall.settings import CallerLimits

HEAD_BYTES = 4096  # maximum length of a line in the head of a request, in bytes
# aiohttp logs every malformed request with its traceback. This logger drops these records; malformed
# requests are counted in `CallerConnections.malformed` instead.
SILENCED_LOGGER = logging.getLogger("brassfall.http")
SILENCED_LOGGER.addHandler(logging.NullHandler())
SILENCED_LOGGER.propagate = False


@dataclass(frozen=True, slots=True)
class LastReport:
    """The last report of a sidecar on a connection; the next report there may be a delta to it."""

    name: str = ""
    fields: dict[str, Any] = field(default_factory=dict)


class Connection(web.RequestHandler):
    """One connection of a caller; it is idle from its start, or its last answer, until the next request."""

    __slots__ = ("_callers", "busy", "caller", "idle_since", "last_report", "reports_after_redirect")

    def __init__(self, callers: CallerConnections, manager: web.Server, **options: Any) -> None:  # noqa: ANN401 - aiohttp's signature
        super().__init__(manager, **options)
        self._callers = callers
        self.busy = False
        self.caller = ""  # IP address of the caller
        self.idle_since = 0.0  # loop time at which the connection became idle, in s
        self.last_report = LastReport()
        self.reports_after_redirect = 0  # reports received here since the sidecar was told to go elsewhere

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register a new connection, which is aborted if the limits leave no place for it."""
        super().connection_made(transport)
        peer = transport.get_extra_info("peername")
        self.caller = str(peer[0]) if peer else "?"
        self._callers.admit(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release the place of a closed connection."""
        super().connection_lost(exc)
        self._callers.release(self)

    def handle_error(
        self,
        request: Any,  # noqa: ANN401 - aiohttp's signature
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer a malformed request (4xx) or an internal error (500) in JSON, and close the connection."""
        self._callers.malformed += 1
        if request.writer.output_size > 0:
            message = "a part of the answer has been sent"
            raise ConnectionError(message)
        reason = "a fault in the service" if status >= 500 else str(message or exc or "").split("\n")[0]
        answer = status_response(status, reason)
        answer.force_close()
        return answer


class CallerConnections:
    """All open connections; beyond the limits a new connection replaces the one idle for longest."""

    def __init__(self, limits: CallerLimits) -> None:
        self._limits = limits
        self._quotas = CallerQuotas(limits.connections, limits.caller_share)
        self._idle: dict[Connection, None] = {}  # idle connections, the one idle for longest first
        self._open: set[Connection] = set()
        self.rejected = 0
        self.malformed = 0
        self.idle_closed = 0

    def __len__(self) -> int:
        return len(self._open)

    def admit(self, connection: Connection) -> None:
        """Give a new connection a place.

        If there is none, close an idle connection for it; without an idle one abort the new connection.
        """
        if self._quotas.acquire(connection.caller):
            if not self._close_longest_idle(connection.caller):
                self.rejected += 1
                _abort(connection)
                return
            self._quotas.acquire(connection.caller)
        self._open.add(connection)
        self.mark_idle(connection)

    def release(self, connection: Connection) -> None:
        """Release the place of a connection."""
        self._idle.pop(connection, None)
        if connection in self._open:
            self._open.discard(connection)
            self._quotas.release(connection.caller)

    def mark_busy(self, connection: Connection) -> None:
        """Mark a connection as busy when a request has arrived on it."""
        connection.busy = True
        self._idle.pop(connection, None)

    def mark_idle(self, connection: Connection) -> None:
        """Mark a connection as idle when it is new or its request was answered."""
        connection.busy = False
        if connection in self._open:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle[connection] = None

    def sweep(self) -> None:
        """Close connections idle for more than the limit, including those with an incomplete request head."""
        until = asyncio.get_running_loop().time() - self._limits.idle_ms / 1000.0
        for connection in list(self._idle):
            if connection.idle_since > until:
                return
            self.idle_closed += 1
            self._close(connection)

    def _close_longest_idle(self, caller: str) -> bool:
        """Close the connection that has been idle for longest; return False if none could be closed.

        If all places are taken, any idle connection may be closed. Otherwise the caller's quota is used up,
        and only its own connections may be closed.
        """
        full = self._quotas.total >= self._limits.connections
        for connection in self._idle:
            if full or connection.caller == caller:
                self._close(connection)
                return True
        return False

    def _close(self, connection: Connection) -> None:
        self.release(connection)
        _abort(connection)


def _abort(connection: Connection) -> None:
    if connection.transport is not None:
        connection.transport.abort()
