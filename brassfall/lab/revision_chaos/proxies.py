"""Proxies between the processes of a play: links with a delay, and a partitionable way to the list service.

A partition delays bytes as a network does, rather than closing connections: they arrive after it heals if
the connection is still open.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

READ = 65_536
LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.IGNORECASE)
GONE = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


class CallKind(enum.Enum):
    """What a call of a sidecar or an aggregator is about."""

    REPORT = enum.auto()
    REVISIONS = enum.auto()
    LISTS = enum.auto()
    OTHER = enum.auto()


class Direction(enum.Enum):
    """Which way bytes pass through a proxy."""

    REQUEST = enum.auto()
    ANSWER = enum.auto()


class Partition(NamedTuple):
    """One kind of call that does not pass, in one direction."""

    kind: CallKind
    direction: Direction


class Address(NamedTuple):
    """Where a process listens."""

    host: str
    port: int


@dataclass(slots=True)
class _Connection:
    """A connection through a control proxy: the kind of the latest call on it."""

    kind: CallKind = CallKind.OTHER


def kind_of(head: bytes) -> CallKind:
    """Return what a call is about, by its request line."""
    method, _, rest = head.partition(b" ")
    if method == b"POST" and rest.startswith((b"/edges/", b"/aggregators/")):
        return CallKind.REPORT
    if method == b"GET" and rest.startswith(b"/rules"):
        return CallKind.REVISIONS
    return CallKind.LISTS if rest.startswith(b"/registry/") else CallKind.OTHER


class ControlProxy:
    """The way of a sidecar, or of an aggregator, to the list service; or of a sidecar to an aggregator."""

    def __init__(self, upstream: Address) -> None:
        self.upstream = upstream
        self._partitions: set[Partition] = set()
        self._open = asyncio.Event()  # set, and another in its place, whenever something heals
        self._server: asyncio.Server
        self._tasks: set[asyncio.Task[None]] = set()
        self.late_s = 0.0  # for each answer
        self.delayed = 0  # messages that met a partition
        self.address = ""

    async def start(self, host: str) -> None:
        """Begin to listen."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def partition(self, partition: Partition) -> None:
        """Let nothing of a kind pass in one direction."""
        self._partitions.add(partition)

    def heal(self, partition: Partition) -> None:
        """End a partition; what it delayed passes."""
        self._partitions.discard(partition)
        self._open.set()
        self._open = asyncio.Event()

    def redirect(self, upstream: Address) -> None:
        """Lead to another upstream, and break the open connections."""
        self.upstream = upstream
        for task in self._tasks:
            task.cancel()

    def close(self) -> None:
        """Stop listening and close the open connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            with contextlib.suppress(*GONE, asyncio.CancelledError):
                await self._serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        up_reader, up_writer = await asyncio.open_connection(*self.upstream)
        connection = _Connection()
        back = asyncio.create_task(self._back(up_reader, writer, connection))
        asks = asyncio.create_task(self._asks(reader, up_writer, connection))
        try:
            await asyncio.wait((back, asks), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (back, asks):
                task.cancel()
            await asyncio.gather(back, asks, return_exceptions=True)
            up_writer.close()

    async def _asks(
        self, reader: asyncio.StreamReader, up_writer: asyncio.StreamWriter, connection: _Connection
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = LENGTH.search(head)
            body = await reader.readexactly(int(length[1])) if length else b""
            connection.kind = kind_of(head)
            await self._pass(Partition(connection.kind, Direction.REQUEST))
            up_writer.write(head + body)
            await up_writer.drain()

    async def _back(
        self, up_reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: _Connection
    ) -> None:
        while data := await up_reader.read(READ):
            await self._pass(Partition(connection.kind, Direction.ANSWER))
            if self.late_s:
                await asyncio.sleep(self.late_s)
            writer.write(data)
            await writer.drain()

    async def _pass(self, partition: Partition) -> None:
        if partition in self._partitions:
            self.delayed += 1
        while partition in self._partitions:
            await self._open.wait()


class Link(asyncio.Protocol):
    """One end of a connection through a link; each byte comes out at the other end after the delay."""

    def __init__(self, delay: Callable[[], float], loses: Callable[[], bool]) -> None:
        self._delay = delay
        self._loses = loses
        self._loop = asyncio.get_running_loop()
        self._due = 0.0
        self._early: list[bytes] = []
        self._over = False
        self.other: Link | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the bytes that arrived before the connection was made."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        for data in self._early:
            transport.write(data)
        if self._over:
            transport.close()

    def data_received(self, data: bytes) -> None:
        """Pass it on, later; or lose it, and the connection."""
        if self._loses():
            if self.transport is not None:
                self.transport.abort()
            return
        self._due = max(self._due, self._loop.time() + self._delay())
        if self.other is not None:
            self._loop.call_at(self._due, self.other.put, data)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Close the other end after the delay."""
        due = max(self._due, self._loop.time() + self._delay())
        if self.other is not None:
            self._loop.call_at(due, self.other.end)

    def put(self, data: bytes) -> None:
        """Write bytes from the other end."""
        if self.transport is None:
            self._early.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def end(self) -> None:
        """Close this end, since the other end is closed."""
        self._over = True
        if self.transport is not None:
            self.transport.close()


class ServerProxy:
    """A proxy in front of one server, with a delay that can be changed."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.more_s = 0.0
        self.loses = False  # each third answer: the server has done what it was asked
        self.lost = 0
        self._answers = 0
        self.upstream: Address | None = None  # once it is known
        self.address = ""
        self._server: asyncio.Server
        self._ends: set[Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> None:
        """Begin to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accepted, host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and close the open connections."""
        self._server.close()
        for end in self._ends:
            end.end()

    def _delay(self) -> float:
        return self.delay_s + self.more_s

    def _lose(self) -> bool:
        self._answers += 1
        lost = self.loses and self._answers % 3 == 0
        self.lost += lost
        return lost

    def _accepted(self) -> Link:
        near, far = Link(self._delay, lambda: False), Link(self._delay, self._lose)
        near.other, far.other = far, near
        self._ends |= {near, far}
        task = asyncio.get_running_loop().create_task(self._connect(near, far))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return near

    async def _connect(self, near: Link, far: Link) -> None:
        try:
            if self.upstream is None:
                raise ConnectionError
            await asyncio.get_running_loop().create_connection(lambda: far, *self.upstream)
        except OSError:
            near.end()
