"""What the lab's own processes share: commands on standard input, reports on standard output.

A process exits when its standard input ends, because its controller has ended. It measures how late its
event loop runs: a play in which the lab was late does not count.
"""

from __future__ import annotations

import asyncio
import os
import resource
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Mapping
from typing import Generic, TypeVar

import msgspec
import uvloop

from brassfall.lab.real.messages import Done

PROBE_INTERVAL_S = 0.02
MAX_LINE = 2**24  # bytes
LATE_MS = 50.0

Order = TypeVar("Order")
CommandT = TypeVar("CommandT")


def clock() -> float:
    """Return the monotonic time in ms; all processes of a machine have the same clock."""
    return time.monotonic() * 1000.0


def report(event: str, message: Mapping[str, object] | msgspec.Struct | None = None) -> None:
    """Write a report to standard output for the process that started this one."""
    fields = {} if message is None else msgspec.to_builtins(message)
    sys.stdout.buffer.write(msgspec.json.encode({"event": event, **fields}) + b"\n")
    sys.stdout.buffer.flush()


class Lateness:
    """Statistics of how late due things came: the most in ms, and how many were late."""

    def __init__(self) -> None:
        self.most = 0.0
        self.late = 0
        self.due = 0

    def note(self, behind: float) -> None:
        """Count one due thing that came `behind` ms after its time."""
        self.due += 1
        self.most = max(self.most, behind)
        self.late += behind > LATE_MS

    async def measure(self) -> None:
        """Measure the delay of the event loop at a fixed interval until cancelled."""
        while True:
            due = clock() + PROBE_INTERVAL_S * 1000.0
            await asyncio.sleep(PROBE_INTERVAL_S)
            self.note(clock() - due)

    def done(self) -> Done:
        """Return the report with which a process finishes."""
        return Done(late_ms=self.most, late=self.late, due=self.due)


class Commands(Generic[CommandT]):
    """The commands on standard input; at its end the process exits with status 1."""

    def __init__(self, decoder: msgspec.json.Decoder[CommandT]) -> None:
        self._decoder = decoder
        self._reader = asyncio.StreamReader(limit=MAX_LINE)

    async def open(self) -> None:
        """Begin to read standard input."""
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(self._reader), sys.stdin)

    async def order(self, order_type: type[Order]) -> Order:
        """Return the order, which is the first line."""
        return msgspec.json.decode(await self._line(), type=order_type)

    async def next(self) -> CommandT:
        """Return the next command."""
        return self._decoder.decode(await self._line())

    async def _line(self) -> bytes:
        line = await self._reader.readline()
        if not line:
            os._exit(1)
        return line

    async def __aiter__(self) -> AsyncIterator[CommandT]:
        while True:
            yield await self.next()


def raise_descriptors() -> int:
    """Raise the limit of descriptors to what the system allows; return it."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def main(
    work: Callable[[Order, Commands[CommandT], Lateness], Coroutine[None, None, None]],
    order_type: type[Order],
    decoder: msgspec.json.Decoder[CommandT],
    loop_factory: Callable[[], asyncio.AbstractEventLoop] = uvloop.new_event_loop,
) -> None:
    """Run a process of the lab: read its order, then do its work until it returns."""

    async def run() -> None:
        commands, lateness = Commands(decoder), Lateness()
        await commands.open()
        order = await commands.order(order_type)
        measuring = asyncio.get_running_loop().create_task(lateness.measure())
        await work(order, commands, lateness)
        measuring.cancel()

    raise_descriptors()
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())
