"""A bare HTTP/1.1 caller with a connection pool: what measures the sidecar has to cost little itself.

One request at a time on a connection, answers with a `Content-Length`, no redirects, no retries.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

import httptools

BROKEN = 0  # in place of a status: no answer came
UNSENT = -1  # likewise: the caller had no connection for it
CONNECTIONS_MOST = 400  # of one pool; `select` in the client knows descriptors below 1,024

Answered = Callable[[int], None]


class Connection(asyncio.Protocol):
    """One connection to a server or sidecar."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._answered: Answered | None = None

    def ask(self, message: bytes, answered: Answered) -> None:
        """Write a request; `answered` is called once, with its status or `BROKEN`."""
        if self._transport is None or self._transport.is_closing():
            answered(BROKEN)
            return
        self._answered = answered
        self._transport.write(message)

    def close(self) -> None:
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    # --- called by the loop ---------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up."""
        self._transport = cast(asyncio.Transport, transport)  # of uvloop: it has the methods, not the class

    def data_received(self, data: bytes) -> None:
        """A part of an answer."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone."""
        self._pool.lost(self)
        self._end(BROKEN)

    # --- called by the parser -------------------------------------------------

    def on_message_complete(self) -> None:
        """An answer is whole."""
        status, reusable = self._parser.get_status_code(), self._parser.should_keep_alive()
        self._parser = httptools.HttpResponseParser(self)
        if reusable:
            self._pool.free(self)
        else:
            self.close()
        self._end(status)

    def _end(self, status: int) -> None:
        answered, self._answered = self._answered, None
        if answered is not None:
            answered(status)


class Pool:
    """The connections to one address; the one that was used last is used next."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._idle: list[Connection] = []
        self._opening: set[asyncio.Task[None]] = set()
        self._count = 0
        self.opened = 0  # connections, since the start

    def ask(self, message: bytes, answered: Answered) -> None:
        """Send a request on an idle connection, or on a new one; beyond the bound it is `UNSENT` at once."""
        if self._idle:
            self._idle.pop().ask(message, answered)
            return
        if self._count >= CONNECTIONS_MOST:
            answered(UNSENT)
            return
        task = asyncio.get_running_loop().create_task(self._ask_on_new(message, answered))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def warm(self, count: int) -> None:
        """Have so many idle connections."""
        while len(self._idle) < count:
            self._idle.append(await self._open())

    def free(self, connection: Connection) -> None:
        """A connection carries nothing now."""
        self._idle.append(connection)

    def lost(self, connection: Connection) -> None:
        """A connection is closed."""
        self._count -= 1
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close what is idle."""
        for connection in list(self._idle):
            connection.close()

    async def _ask_on_new(self, message: bytes, answered: Answered) -> None:
        try:
            connection = await self._open()
        except OSError:
            answered(BROKEN)
        else:
            connection.ask(message, answered)

    async def _open(self) -> Connection:
        loop = asyncio.get_running_loop()
        self._count += 1
        self.opened += 1
        try:
            _, connection = await loop.create_connection(lambda: Connection(self), self._host, self._port)
        except OSError:
            self._count -= 1
            raise
        return connection
