"""The load generators of a benchmark, each in a process of its own.

A generator reads its load as JSON from its argument, and prints the measured times, in ms, as JSON.
"""

from __future__ import annotations

import asyncio
import json
import resource
import subprocess
import sys
import time
from collections.abc import Sequence

import msgspec

from brassfall.lab.registry_benchmark.service import BenchError

VALUE_CHARACTERS = 100  # of a written value
CONNECTING_WATCHES = 200  # at a time in one generator
LINE_LIMIT_BYTES = 2**22
HEAD_END = b"\r\n\r\n"
STATUS_OK = b" 200 "
STATUS_LINE_BYTES = 20  # of a head: they hold the status


class WriteLoad(msgspec.Struct, frozen=True, tag="write"):
    """Closed loops of writes: each writer sends the next when the last one is acknowledged."""

    listen: str
    writers: int
    seconds: float
    seed: int  # distinguishes the keys of generators

    async def measure(self) -> list[float]:
        """Return the time of each acknowledged write, in ms."""
        took_ms: list[float] = []
        until = time.monotonic() + self.seconds
        await asyncio.gather(*(self._write(number, until, took_ms) for number in range(self.writers)))
        return took_ms

    async def _write(self, number: int, until: float, took_ms: list[float]) -> None:
        reader, writer = await _connect(self.listen)
        body = json.dumps({"x": "y" * VALUE_CHARACTERS}).encode()
        path = b"/tables/bench/k%d-%d" % (self.seed, number)
        request = b"PUT %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (path, len(body), body)
        while (begun := time.monotonic()) < until:
            writer.write(request)
            head = await reader.readuntil(HEAD_END)
            if STATUS_OK not in head[:STATUS_LINE_BYTES]:
                raise BenchError(head.split(b"\r\n")[0].decode())
            await reader.readexactly(int(_header(head, b"content-length")))
            took_ms.append((time.monotonic() - begun) * 1000.0)
        writer.close()


class WatchLoad(msgspec.Struct, frozen=True, tag="watch"):
    """Watches of the list, each until it has received a number of changes."""

    listen: str
    watches: int
    changes: int

    async def measure(self) -> list[float]:
        """Return the time from each change until each watch received it, in ms."""
        _raise_descriptor_limit()
        connecting = asyncio.Semaphore(CONNECTING_WATCHES)
        delays_ms: list[float] = []
        await asyncio.gather(*(self._watch(connecting, delays_ms) for _ in range(self.watches)))
        return delays_ms

    async def _watch(self, connecting: asyncio.Semaphore, delays_ms: list[float]) -> None:
        reader, writer = await self._open(connecting)
        left = self.changes
        while left:
            line = await reader.readuntil(b"\n")
            if b'"weight":' in line:
                # The zone of the changed instance is the time of its write.
                written = float(line.split(b'"zone":"')[1].split(b'"')[0])
                delays_ms.append((time.monotonic() - written) * 1000.0)
                left -= 1
        writer.close()

    async def _open(self, connecting: asyncio.Semaphore) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a watch and read its first list; wait as the service says while it sheds load."""
        while True:
            async with connecting:
                reader, writer = await _connect(self.listen)
                writer.write(b"GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(HEAD_END)
                if STATUS_OK in head[:STATUS_LINE_BYTES]:
                    await reader.readuntil(b"}\n\r\n")
                    return reader, writer
                writer.close()
            await asyncio.sleep(float(_header(head, b"retry-after")))


Load = WriteLoad | WatchLoad


async def in_processes(loads: Sequence[Load]) -> list[float]:
    """Run each load in a process of its own, all at a time; return the times of all, in ms.

    Raises `BenchError` if one fails. Cancelling kills the processes.
    """
    measured = await asyncio.gather(*(_in_process(load) for load in loads))
    return [value for values in measured for value in values]


async def _in_process(load: Load) -> list[float]:
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", __name__, msgspec.json.encode(load).decode()),
        stdout=subprocess.PIPE,
    )
    try:
        out, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        message = f"the load generator failed: {load}"
        raise BenchError(message)
    return msgspec.json.decode(out, type=list[float])


async def _connect(listen: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, port = listen.split(":")
    return await asyncio.open_connection(host, int(port), limit=LINE_LIMIT_BYTES)


def _header(head: bytes, name: bytes) -> bytes:
    return head.lower().split(name + b": ")[1].split(b"\r")[0]


def _raise_descriptor_limit() -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def main(argument: str) -> None:
    """Generate one load; print the measured times."""
    load = msgspec.json.decode(argument, type=Load)
    print(msgspec.json.encode(asyncio.run(load.measure())).decode())


if __name__ == "__main__":
    main(sys.argv[1])
