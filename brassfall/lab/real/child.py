"""What the lab's own processes have in common: orders on standard input, reports on standard output.

A child ends when its standard input does: whoever started it is gone. It measures how late its loop
runs, because a lab that is late tells lies about others.
"""

from __future__ import annotations

import asyncio
import os
import resource
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import msgspec
import uvloop

BEAT_S = 0.02
BUFFER = 2**24
LATE_MS = 50.0


def clock() -> float:
    """Monotonic ms: one clock for all processes of a machine."""
    return time.monotonic() * 1000.0


def say(event: str, **message: Any) -> None:
    """Report to whoever started this process."""
    sys.stdout.buffer.write(msgspec.json.encode({"event": event, **message}) + b"\n")
    sys.stdout.buffer.flush()


class Lateness:
    """How late things are that were due, in ms: the most, and how many were late at all."""

    def __init__(self) -> None:
        self.most = 0.0
        self.late = 0
        self.due = 0

    def note(self, behind: float) -> None:
        """Something that was due came so much later."""
        self.due += 1
        self.most = max(self.most, behind)
        self.late += behind > LATE_MS

    async def measure(self) -> None:
        """Beat until cancelled, and note how late the loop is."""
        while True:
            due = clock() + BEAT_S * 1000.0
            await asyncio.sleep(BEAT_S)
            self.note(clock() - due)

    def say(self, **more: Any) -> None:
        """Report it: this process is done."""
        say("done", late_ms=self.most, late=self.late, due=self.due, **more)


class Commands:
    """The lines on standard input; at their end the process ends."""

    def __init__(self) -> None:
        self._reader = asyncio.StreamReader(limit=BUFFER)

    async def open(self) -> None:
        """Begin to read."""
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(self._reader), sys.stdin)

    async def next(self) -> dict[str, Any]:
        """One command."""
        line = await self._reader.readline()
        if not line:
            os._exit(1)
        message: dict[str, Any] = msgspec.json.decode(line)
        return message

    async def __aiter__(self) -> AsyncIterator[dict[str, Any]]:
        while True:
            yield await self.next()


def raise_descriptors() -> int:
    """Take as many descriptors as the system gives; how many there are."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


def main(
    work: Callable[[dict[str, Any], Commands, Lateness], Coroutine[Any, Any, None]],
    loop_factory: Callable[[], asyncio.AbstractEventLoop] = uvloop.new_event_loop,
) -> None:
    """Run a child whose first command is its order."""

    async def run() -> None:
        commands, lateness = Commands(), Lateness()
        await commands.open()
        order = await commands.next()
        measuring = asyncio.get_running_loop().create_task(lateness.measure())
        await work(order, commands, lateness)
        measuring.cancel()

    raise_descriptors()
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())
