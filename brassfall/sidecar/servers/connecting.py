"""Opening connections to servers, and telling this machine's failures from the servers'."""

from __future__ import annotations

import asyncio
import errno
from typing import Protocol

from brassfall.balancer.model import Outcome
from brassfall.sidecar.core.interfaces import ExchangeResult
from brassfall.sidecar.servers.exchange import Exchange
from brassfall.sidecar.servers.server_connection import ServerConnection, ServerIncarnation

# The loop reports an established connection some turns later; all of them are due after a hold-up.
TURNS_TO_REPORT = 4

# Failures to connect that lie in this machine: no descriptor, memory, port or route is free. They say
# nothing of a server. All else (refused, unreachable, timed out, reset) is the server's or the network's.
OUT_OF_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE))  # of this process, of the system
LOCAL_FAILURES = OUT_OF_DESCRIPTORS | frozenset(
    (
        errno.ENOBUFS,  # no memory for the socket
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,  # no local port is free
        errno.ENETUNREACH,  # no route, or the interface is down
        errno.ENETDOWN,
        errno.ENOSPC,  # too many descriptors are watched (epoll_ctl)
    )
)
# Backoff between such a failure and the end of its attempt, after which the balancer decides anew: without
# it, a machine that can open nothing would decide without a pause. Decisions count as this process's rate,
# of which a server in slow start gets its share: few should be made that send nothing.
LOCAL_PAUSE_S = 0.005
LOCAL_PAUSE_MOST_S = 0.16


class ConnectionUser(Protocol):
    """The pool, as the connector sees it."""

    loop: asyncio.AbstractEventLoop

    def make_connection(self, server: ServerIncarnation) -> ServerConnection:
        """Return a connection to a server that is not established yet."""

    def opened(self, connection: ServerConnection, exchange: Exchange, took_s: float) -> None:
        """Take an established connection, for an exchange that may have ended meanwhile."""

    def close_oldest_idle(self) -> bool:
        """Free a descriptor; return False if no connection is idle."""


class Connector:
    """Opens connections, each for an exchange, and ends the exchange if that fails."""

    def __init__(self, pool: ConnectionUser) -> None:
        self.timeout_s = 0.0  # for a connection to be established
        self._pool = pool
        self._loop = pool.loop
        self._opening: dict[asyncio.Task[None], Exchange] = {}
        self._local_pause_s = LOCAL_PAUSE_S  # after the next failure of this machine

    @property
    def opening_count(self) -> int:
        """The number of connections that are being opened."""
        return len(self._opening)

    def open(self, server: ServerIncarnation, exchange: Exchange) -> None:
        """Begin to open a connection; abandoning the exchange stops that."""
        task = self._loop.create_task(self._connect(server, exchange))
        self._opening[task] = exchange
        task.add_done_callback(self._done)
        exchange.failed_locally = self._local_pause_s > LOCAL_PAUSE_S  # as the last one did, until it is up
        exchange.await_connection(task)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._opening.pop(task, None)

    def cancel_unwanted(self) -> bool:
        """Stop opening a connection whose exchange has ended; return False if there is none."""
        for task, exchange in self._opening.items():
            if exchange.ended:
                task.cancel()
                del self._opening[task]
                return True
        return False

    async def _connect(self, server: ServerIncarnation, exchange: Exchange) -> None:
        """Open a connection and hand it to the pool; cancelling closes its socket."""
        started = self._loop.time()
        limit = _TimeLimit(self._loop, self.timeout_s)
        try:
            async with limit.timeout:
                _, connection = await self._loop.create_connection(
                    lambda: self._pool.make_connection(server), server.address.host, server.address.port
                )
        except (OSError, ValueError) as error:  # a time-out is an OSError, an impossible name a ValueError
            self._failed(error, exchange)
            return
        finally:
            limit.cancel()
        self._local_pause_s = LOCAL_PAUSE_S
        self._pool.opened(connection, exchange, self._loop.time() - started)

    def _failed(self, error: OSError | ValueError, exchange: Exchange) -> None:
        """End the exchange: at once for a failure of the server, after a pause for one of this machine."""
        if not isinstance(error, OSError) or error.errno not in LOCAL_FAILURES:
            exchange.end(ExchangeResult(Outcome.CONNECT_FAILED))
            return
        if error.errno in OUT_OF_DESCRIPTORS:
            self._pool.close_oldest_idle()  # the next attempt finds a descriptor
        exchange.failed_locally = True
        self._loop.call_later(self._local_pause_s, exchange.end, ExchangeResult(Outcome.ABANDONED))
        self._local_pause_s = min(2.0 * self._local_pause_s, LOCAL_PAUSE_MOST_S)


class _TimeLimit:
    """A time limit that doesn't take a hold-up of this process for the server's.

    A connection that is established when the time is over has some turns of the loop to be reported.
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
        """Lift the limit."""
        self._timer.cancel()
