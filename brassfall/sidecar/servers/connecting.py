"""Opening of connections to servers, with a distinction between local failures and failures of servers."""

from __future__ import annotations

import asyncio
import errno
from typing import Protocol

from brassfall.balancer.model import Outcome
from brassfall.sidecar.core.interfaces import ExchangeResult
from brassfall.sidecar.servers.exchange import Exchange
from brassfall.sidecar.servers.server_connection import ServerConnection, ServerIncarnation

# Number of event loop turns that the loop may need to report an established connection. After a pause of the
# process, the time limit is due in the first of these turns and expires only after the last one.
TURNS_TO_REPORT = 4

# Errors that mean that the process (EMFILE) or the system (ENFILE) has no free descriptor.
OUT_OF_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE))
# Errors of a connect that have their cause on this machine (no free descriptor, memory, port or route) and
# say nothing about the server. Any other error (refused, unreachable, timed out, reset) is due to the server
# or the network.
LOCAL_FAILURES = OUT_OF_DESCRIPTORS | frozenset(
    (
        errno.ENOBUFS,  # The system has no memory for the socket
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,  # No local port is free
        errno.ENETUNREACH,  # There is no route, or the network interface is down
        errno.ENETDOWN,
        errno.ENOSPC,  # The limit of descriptors watched by epoll (epoll_ctl) is reached
    )
)
# Backoff between a local failure and the end of its attempt, in seconds; it doubles with each failure up to
# the maximum. After the end of an attempt the balancer decides again: without the backoff, a machine that
# can't open connections would make decisions without a pause. All decisions count towards this process's
# request rate, and a server in slow start gets a share of that rate, so that decisions without a sent request
# must be few.
LOCAL_BACKOFF_S = 0.005
MAX_LOCAL_BACKOFF_S = 0.16


class ConnectionUser(Protocol):
    """The part of the connection pool that the connector uses."""

    loop: asyncio.AbstractEventLoop

    def make_connection(self, server: ServerIncarnation) -> ServerConnection:
        """Return a new connection object for a server, which is not connected yet."""

    def connection_opened(self, connection: ServerConnection, exchange: Exchange, took_s: float) -> None:
        """Handle an established connection; the exchange that it was opened for may have ended meanwhile.

        `took_s` is the duration of the handshake in seconds.
        """

    def close_oldest_idle(self) -> bool:
        """Close the longest idle connection to free a descriptor; return False if there is none."""


class Connector:
    """Opens a connection for an exchange, and ends the exchange if the connection can't be opened."""

    def __init__(self, pool: ConnectionUser) -> None:
        self.timeout_s = 0.0  # Time limit for establishing a connection, in seconds
        self._pool = pool
        self._loop = pool.loop
        self._opening: dict[asyncio.Task[None], Exchange] = {}
        self._local_backoff_s = LOCAL_BACKOFF_S  # Backoff after the next local failure, in seconds

    @property
    def opening_count(self) -> int:
        """The number of connections that are being opened."""
        return len(self._opening)

    def open(self, server: ServerIncarnation, exchange: Exchange) -> None:
        """Start to open a connection for an exchange; if the exchange is abandoned, opening is cancelled."""
        task = self._loop.create_task(self._connect(server, exchange))
        self._opening[task] = exchange
        task.add_done_callback(self._done)
        # Until the connection opens, the exchange counts as failed locally if the previous connect did so.
        exchange.failed_locally = self._local_backoff_s > LOCAL_BACKOFF_S
        exchange.await_connection(task)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._opening.pop(task, None)

    def cancel_unwanted(self) -> bool:
        """Cancel the opening of one connection whose exchange has ended; return False if there is none."""
        for task, exchange in self._opening.items():
            if exchange.ended:
                task.cancel()
                del self._opening[task]
                return True
        return False

    async def _connect(self, server: ServerIncarnation, exchange: Exchange) -> None:
        """Open a connection and pass it to the pool; if this task is cancelled, the socket is closed."""
        started = self._loop.time()
        limit = _TimeLimit(self._loop, self.timeout_s)
        try:
            async with limit.timeout:
                _, connection = await self._loop.create_connection(
                    lambda: self._pool.make_connection(server), server.address.host, server.address.port
                )
        except (OSError, ValueError) as error:  # A time-out is an OSError, an invalid host name a ValueError
            self._failed(error, exchange)
            return
        finally:
            limit.cancel()
        self._local_backoff_s = LOCAL_BACKOFF_S
        self._pool.connection_opened(connection, exchange, self._loop.time() - started)

    def _failed(self, error: OSError | ValueError, exchange: Exchange) -> None:
        """End the exchange: at once after a failure of the server, after a backoff for a local failure."""
        if not isinstance(error, OSError) or error.errno not in LOCAL_FAILURES:
            exchange.end(ExchangeResult(Outcome.CONNECT_FAILED))
            return
        if error.errno in OUT_OF_DESCRIPTORS:
            self._pool.close_oldest_idle()  # This frees a descriptor for the next attempt
        exchange.failed_locally = True
        self._loop.call_later(self._local_backoff_s, exchange.end, ExchangeResult(Outcome.ABANDONED))
        self._local_backoff_s = min(2.0 * self._local_backoff_s, MAX_LOCAL_BACKOFF_S)


class _TimeLimit:
    """A time limit for connecting that does not count a pause of this process as a time-out of the server.

    When the time is over, the event loop gets `TURNS_TO_REPORT` more turns to report a connection that is
    already established.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, seconds: float) -> None:
        self.timeout = asyncio.timeout(None)
        self._loop = loop
        self._timer: asyncio.Handle = loop.call_later(seconds, self._expire, TURNS_TO_REPORT)

    def _expire(self, turns_left: int) -> None:
        if turns_left:
            self._timer = self._loop.call_soon(self._expire, turns_left - 1)
        else:
            self.timeout.reschedule(self._loop.time())

    def cancel(self) -> None:
        """Cancel the time limit."""
        self._timer.cancel()
