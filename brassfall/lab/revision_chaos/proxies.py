"""What stands between the processes of a play: links with a delay, and a door to the list service that fails.

A cut holds bytes back as a network does, rather than closing connections: what was held comes late, if
whoever waits for it still does.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import Callable

READ = 65_536
LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.IGNORECASE)
REPORT, REVISIONS, LISTS, OTHER = "reports", "editions", "lists", "other"
ASK, ANSWER = "ask", "answer"
GONE = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


def kind_of(head: bytes) -> str:
    """What a call of a sidecar, or of an aggregator, is about, by its first line."""
    method, _, rest = head.partition(b" ")
    if method == b"POST" and rest.startswith((b"/edges/", b"/aggregators/")):
        return REPORT
    if method == b"GET" and rest.startswith(b"/rules"):
        return REVISIONS
    return LISTS if rest.startswith(b"/registry/") else OTHER


class ControlProxy:
    """The way of a sidecar, or of an aggregator, to the list service; or of a sidecar to an aggregator."""

    def __init__(self, upstream: tuple[str, int]) -> None:
        self.upstream = upstream
        self._partitions: set[tuple[str, str]] = set()
        self._open = asyncio.Event()  # set, and another in its place, whenever something heals
        self._server: asyncio.Server
        self._tasks: set[asyncio.Task[None]] = set()
        self.late_s = 0.0  # for each answer
        self.delayed = 0  # how often something met a cut
        self.address = ""

    async def start(self, host: str) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._accept, host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def partition(self, kind: str, direction: str) -> None:
        """Let nothing of a kind pass, one way."""
        self._partitions.add((kind, direction))

    def heal(self, kind: str, direction: str) -> None:
        """Let it pass again, with what was held."""
        self._partitions.discard((kind, direction))
        self._open.set()
        self._open = asyncio.Event()

    def turn(self, upstream: tuple[str, int]) -> None:
        """Lead elsewhere from now on; what was open is broken."""
        self.upstream = upstream
        for task in self._tasks:
            task.cancel()

    def close(self) -> None:
        """End."""
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
        kind = [OTHER]
        back = asyncio.create_task(self._back(up_reader, writer, kind))
        asks = asyncio.create_task(self._asks(reader, up_writer, kind))
        try:
            await asyncio.wait((back, asks), return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in (back, asks):
                task.cancel()
            await asyncio.gather(back, asks, return_exceptions=True)
            up_writer.close()

    async def _asks(
        self, reader: asyncio.StreamReader, up_writer: asyncio.StreamWriter, kind: list[str]
    ) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            length = LENGTH.search(head)
            body = await reader.readexactly(int(length[1])) if length else b""
            kind[0] = kind_of(head)
            await self._pass(kind[0], ASK)
            up_writer.write(head + body)
            await up_writer.drain()

    async def _back(
        self, up_reader: asyncio.StreamReader, writer: asyncio.StreamWriter, kind: list[str]
    ) -> None:
        while data := await up_reader.read(READ):
            await self._pass(kind[0], ANSWER)
            if self.late_s:
                await asyncio.sleep(self.late_s)
            writer.write(data)
            await writer.drain()

    async def _pass(self, kind: str, direction: str) -> None:
        if (kind, direction) in self._partitions:
            self.delayed += 1
        while (kind, direction) in self._partitions:
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
        """Whatever came for this end meanwhile goes out."""
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

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass that on, too."""
        due = max(self._due, self._loop.time() + self._delay())
        if self.other is not None:
            self._loop.call_at(due, self.other.end)

    def put(self, data: bytes) -> None:
        """Bytes from the other end."""
        if self.transport is None:
            self._early.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def end(self) -> None:
        """The other end is closed."""
        self._over = True
        if self.transport is not None:
            self.transport.close()


class ServerProxy:
    """The link to one server: a door on a port of its own, with a delay that can be changed."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.more_s = 0.0
        self.loses = False  # each third answer: the server has done what it was asked
        self.lost = 0
        self._answers = 0
        self.upstream: tuple[str, int] | None = None  # once it is known
        self.address = ""
        self._server: asyncio.Server
        self._ends: set[Link] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._accepted, host, 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """End."""
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
