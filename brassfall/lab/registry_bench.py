"""`brassfall registry bench`: the throughput and latency of one list service on this machine.

The service runs as a process of its own, and so does each load generator. Each value is of one round; the
table has the median of all rounds, the least and the most.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

import aiohttp
import psutil

from brassfall.controlplane.registry import client
from brassfall.errors import BrassfallError

CONFIG = """[registry]
listen = "127.0.0.1:0"
data = "{data}"
batch = {batch}
[registry.limits]
caller_calls_per_s = 0
caller_share = 1.0
joins_per_s = 2000
connections = 12000
rows = 200000
"""
LOADERS = 4  # processes that write
VALUE = {"address": "127.0.0.1:7001", "zone": "a", "type": "m2", "group": 3, "ttl_ms": 0}


class BenchError(BrassfallError):
    """The measurement came to nothing."""

    action = "End what else loads this machine, see that its limit of descriptors is high, and run it again."


@dataclass(slots=True)
class Row:
    """One line of the table."""

    what: str
    unit: str
    values: list[float]


def shown(rows: Sequence[Row]) -> str:
    """The table, as Markdown."""
    lines = ["| measured | median | least | most | unit |", "| --- | ---: | ---: | ---: | --- |"]
    for row in rows:
        statistics = (median(row.values), min(row.values), max(row.values))
        lines.append(f"| {row.what} | " + " | ".join(f"{s:,.4g}" for s in statistics) + f" | {row.unit} |")
    return "\n".join(lines)


def percentile(values: Sequence[float], part: float) -> float:
    """The value that a part of all do not exceed."""
    return sorted(values)[min(len(values) - 1, int(part * len(values)))]


@contextlib.asynccontextmanager
async def service(folder: Path, batch: int = 1024) -> AsyncIterator[tuple[str, psutil.Process, float]]:
    """A service: where it listens, its process, and the seconds from its start until it was ready."""
    config = folder / "bench.toml"
    config.write_text(CONFIG.format(data=folder / "data", batch=batch))
    begun = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "brassfall", "registry", "serve", "--config", str(config),
        stderr=asyncio.subprocess.PIPE,
    )  # fmt: skip
    assert process.stderr is not None
    try:
        async for line in process.stderr:
            logged = json.loads(line)
            if logged["event"] == "ready":
                break
        else:
            raise BenchError("the service did not start")
        draining = asyncio.create_task(process.stderr.read())
        yield logged["listen"], psutil.Process(process.pid), time.monotonic() - begun
        draining.cancel()
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
            await process.wait()


async def write_load(listen: str, writers: int, seconds: float, seed: int) -> tuple[int, list[float]]:
    """Closed loops of writes on plain sockets: how many were acknowledged, and how long each took."""
    host, port = listen.split(":")
    body = json.dumps({"x": "y" * 100}).encode()
    until = time.monotonic() + seconds
    took: list[float] = []

    async def one(which: int) -> None:
        reader, writer = await asyncio.open_connection(host, int(port))
        request = b"PUT /tables/bench/k%d-%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b" % (
            seed,
            which,
            len(body),
            body,
        )
        while (begun := time.monotonic()) < until:
            writer.write(request)
            head = await reader.readuntil(b"\r\n\r\n")
            if b" 200 " not in head[:20]:
                raise BenchError(head.split(b"\r\n")[0].decode())
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r")[0])
            await reader.readexactly(length)
            took.append(time.monotonic() - begun)
        writer.close()

    await asyncio.gather(*(one(which) for which in range(writers)))
    return len(took), took


async def in_processes(kind: str, calls: Sequence[Sequence[Any]]) -> list[Any]:
    """Run a load of this file in processes of their own, side by side; what each printed."""

    async def one(arguments: Sequence[Any]) -> Any:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "brassfall.lab.registry_bench",
            kind,
            *map(str, arguments),
            stdout=asyncio.subprocess.PIPE,
        )
        try:
            out, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if process.returncode:
            raise BenchError(f"the load {kind} failed")
        return json.loads(out)

    return await asyncio.gather(*(one(arguments) for arguments in calls))


async def writes(folder: Path, writers: int, batch: int, seconds: float) -> dict[str, float]:
    """Acknowledged writes a second, and their times."""
    async with service(folder, batch) as (listen, process, _):
        loaders = min(LOADERS, writers)
        calls = [(listen, writers // loaders, seconds, number) for number in range(loaders)]
        before, begun = process.cpu_times(), time.monotonic()
        results = await in_processes("write", calls)
        spent = sum(process.cpu_times()[:2]) - sum(before[:2])
        took = [value for _, values in results for value in values]
        return {
            "per_s": sum(count for count, _ in results) / seconds,
            "p50_ms": percentile(took, 0.5) * 1000.0,
            "p99_ms": percentile(took, 0.99) * 1000.0,
            "cpu": spent / (time.monotonic() - begun),
        }


def syncs(folder: Path, seconds: float) -> float:
    """Appends of 4 KiB with a sync each, a second: what the disk itself gives to one writer."""
    page, count, until = b"x" * 4096, 0, time.monotonic() + seconds
    with open(folder / "syncs", "wb", buffering=0) as file:
        while time.monotonic() < until:
            file.write(page)
            os.fdatasync(file.fileno())
            count += 1
    return count / seconds


async def listen_in(listen: str, watches: int, changes: int) -> list[float]:
    """Open watches, say so, and give for each change the time at which each watch had it."""
    host, port = listen.split(":")
    _raise_descriptors()
    opened = asyncio.Semaphore(200)
    heard: list[float] = []

    async def one() -> None:
        while True:
            async with opened:
                reader, writer = await asyncio.open_connection(host, int(port), limit=2**22)
                writer.write(b"GET /registry/instances?watch=1&from=0 HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                if b" 200 " in head[:20]:
                    await reader.readuntil(b"}\n\r\n")
                    break
                writer.close()
            await asyncio.sleep(float(head.lower().split(b"retry-after: ")[1].split(b"\r")[0]))
        left = changes
        while left:
            line = await reader.readuntil(b"\n")
            if b'"weight":' in line:
                # The line holds the moment of its writing, as the weight's last digits can't.
                at = float(line.split(b'"zone":"')[1].split(b'"')[0])
                heard.append((time.monotonic() - at) * 1000.0)
                left -= 1
        writer.close()

    await asyncio.gather(*(one() for _ in range(watches)))
    return heard


async def _write_until_all_watch(listen: str, watches: int, loads: asyncio.Task[list[Any]]) -> list[float]:
    """Write one row after the other while the watches open; how long each write took, ms."""
    took = []
    async with aiohttp.ClientSession() as session:
        while True:
            begun = time.monotonic()
            async with session.put(f"http://{listen}/tables/bench/probe", json=1) as answer:
                await answer.read()
            took.append((time.monotonic() - begun) * 1000.0)
            async with session.get(f"http://{listen}/status") as answer:
                status = await answer.json()
            if status["watches"].get("instances", 0) >= watches:
                return took
            if loads.done():
                loads.result()  # raises: they end only after all watches have opened


async def watching(folder: Path, watches: int, changes: int) -> dict[str, float]:
    """Time from a write to all watchers, memory of each watch, and writes meanwhile."""
    async with service(folder) as (listen, process, _):
        loaders = min(LOADERS, max(1, watches // 100))
        empty = process.memory_info().rss
        calls = [(listen, watches // loaders, changes)] * loaders
        loads = asyncio.create_task(in_processes("watch", calls))
        slowest = await _write_until_all_watch(listen, loaders * (watches // loaders), loads)
        each = (process.memory_info().rss - empty) / watches
        for number in range(changes):
            await asyncio.sleep(0.3)
            body = {**VALUE, "zone": f"{time.monotonic():.6f}", "weight": 1.0 + number / 1000.0}
            await client.call(listen, "PUT", "/registry/instances/s1", body)
        heard = [value for values in await loads for value in values]
        return {
            "p50_ms": percentile(heard, 0.5),
            "p99_ms": percentile(heard, 0.99),
            "most_ms": max(heard),
            "kb": each / 1024.0,
            "herd_p99_ms": percentile(slowest, 0.99),
        }


async def restart(folder: Path, entries: int) -> dict[str, float]:
    """Seconds from the start of the process until it is ready, with so many entries."""
    async with service(folder) as (listen, _, empty_s):
        gate = asyncio.Semaphore(64)

        async def put(number: int) -> None:
            async with (
                gate,
                session.put(f"http://{listen}/registry/instances/s{number}", json=VALUE) as answer,
            ):
                await answer.read()
                if answer.status != 200:
                    raise BenchError(f"status {answer.status}")

        async with aiohttp.ClientSession() as session:
            await asyncio.gather(*(put(number) for number in range(entries)))
    async with service(folder) as (listen, _, ready_s):
        listed = await client.call(listen, "GET", "/registry/instances")
        if len(listed["endpoints"]) != entries:
            raise BenchError("entries are missing")
    return {"s": ready_s, "empty_s": empty_s}


class Table:
    """The rows of the table, in the order of their first values."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}

    def add(self, what: str, unit: str, value: float) -> None:
        """One more value of a row."""
        self._rows.setdefault(what, Row(what, unit, [])).values.append(value)

    def __str__(self) -> str:
        return shown(list(self._rows.values()))


async def _measure_writes(table: Table, seconds: float) -> None:
    for writers in (1, 16, 64):
        for batch in (1024, 1):
            with _folder() as folder:
                measured = await writes(folder, writers, batch, seconds)
            name = f"{writers} writers" + ("" if batch > 1 else ", a sync for each write")
            table.add(f"acknowledged writes, {name}", "1/s", measured["per_s"])
            table.add(f"p99 of a write, {name}", "ms", measured["p99_ms"])
            if batch > 1:
                table.add(f"processor time of the service, {name}", "cores", measured["cpu"])
    with _folder() as folder:
        per_s = await asyncio.to_thread(syncs, folder, seconds)
        table.add("syncs of 4 KiB on this disk, one after the other", "1/s", per_s)


async def _measure_watches(table: Table) -> None:
    for watches in (100, 1000, 5000):
        with _folder() as folder:
            measured = await watching(folder, watches, 10)
        for key, unit, text in (
            ("p50_ms", "ms", "from write to watcher, p50"),
            ("p99_ms", "ms", "from write to watcher, p99"),
            ("most_ms", "ms", "from write to the last watcher"),
            ("kb", "KiB", "memory of each watch"),
            ("herd_p99_ms", "ms", "a write while all watches open, p99"),
        ):
            table.add(f"{text}, {watches} watches", unit, measured[key])


async def _measure_starts(table: Table) -> None:
    measured: dict[str, float] = {}
    for entries in (1000, 20_000):
        with _folder() as folder:
            measured = await restart(folder, entries)
        table.add(f"start with {entries} entries", "s", measured["s"])
    table.add("start with none", "s", measured["empty_s"])


async def run(rounds: int, seconds: float, say: Callable[[str], None]) -> str:
    """Measure everything so many times; the table. `seconds` is the length of a load of writes.

    Cancelling ends the processes that it has started."""
    table = Table()
    for number in range(rounds):
        await _measure_writes(table, seconds)
        say(f"round {number + 1} of {rounds}: writes done")
        await _measure_watches(table)
        say(f"round {number + 1} of {rounds}: watches done")
        await _measure_starts(table)
        say(f"round {number + 1} of {rounds}: starts done")
    memory_gib = psutil.virtual_memory().total / 2**30
    machine = f"{os.cpu_count()} cores, {memory_gib:.0f} GiB, Python {sys.version.split()[0]}"
    return f"{machine}; {rounds} rounds of {seconds:g} s\n\n{table}"


@contextlib.contextmanager
def _folder() -> Any:
    folder = Path(tempfile.mkdtemp(prefix="brassfall-bench-", dir="."))
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def _raise_descriptors() -> None:
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def main(arguments: Sequence[str]) -> None:
    """One load, in a process of its own: what it measured goes to standard output as JSON."""
    kind, listen, *rest = arguments
    if kind == "write":
        measured: Any = asyncio.run(write_load(listen, int(rest[0]), float(rest[1]), int(rest[2])))
    else:
        measured = asyncio.run(listen_in(listen, int(rest[0]), int(rest[1])))
    print(json.dumps(measured))


if __name__ == "__main__":
    main(sys.argv[1:])
