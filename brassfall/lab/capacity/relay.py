"""A way between an aggregator and the deciding service that can be cut, and that counts bytes.

A cut holds back what comes, as a network that loses packets does; what was held comes late once it is healed.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

READ_BYTES = 65_536
UP, DOWN = "up", "down"  # to the service, from the service
GONE = (OSError, asyncio.IncompleteReadError)


@dataclass(slots=True)
class Relay:
    """One way to a service, for all connections of one caller."""

    host: str
    port: int
    address: str = ""
    passed: dict[str, int] = field(default_factory=lambda: {UP: 0, DOWN: 0})  # bytes so far
    _open: dict[str, asyncio.Event] = field(
        default_factory=lambda: {UP: asyncio.Event(), DOWN: asyncio.Event()}
    )
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self.heal()
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def partition(self, *directions: str) -> None:
        """Let nothing pass these ways."""
        for direction in directions:
            self._open[direction].clear()

    def heal(self) -> None:
        """Let all pass again."""
        for event in self._open.values():
            event.set()

    async def close(self) -> None:
        """End, with all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(*GONE):
            try:
                await self._serve(reader, writer)
            finally:
                self._tasks.discard(task)
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._open[UP].wait()  # a connection can't come up through a cut
        up_reader, up_writer = await asyncio.open_connection(self.host, self.port)
        try:
            async with asyncio.TaskGroup() as group:
                directions = (
                    group.create_task(self._pump(reader, up_writer, UP)),
                    group.create_task(self._pump(up_reader, writer, DOWN)),
                )
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
                for direction in directions:
                    direction.cancel()
        finally:
            up_writer.close()

    async def _pump(self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, direction: str) -> None:
        with contextlib.suppress(*GONE):
            while data := await source.read(READ_BYTES):
                await self._open[direction].wait()
                self.passed[direction] += len(data)
                sink.write(data)
                await sink.drain()
