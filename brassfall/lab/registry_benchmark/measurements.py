"""The measurements of a benchmark: writes, syncs, watches and starts, each on a service of its own."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import aiohttp
import msgspec

from brassfall.controlplane.registry import client
from brassfall.controlplane.registry.entries import InstanceList
from brassfall.lab.registry_benchmark.loads import WatchLoad, WriteLoad, in_processes
from brassfall.lab.registry_benchmark.service import BenchError, measured_service
from brassfall.lab.registry_benchmark.table import percentile

GENERATORS = 4  # processes, at most
WATCHES_OF_A_GENERATOR = 100  # at least, where there is more than one
INSTANCE = {"address": "127.0.0.1:7001", "zone": "a", "type": "m2", "group": 3, "ttl_ms": 0}
CHANGE_INTERVAL_S = 0.3
PAGE = b"x" * 4096
CONCURRENT_REGISTRATIONS = 64


class Writes(msgspec.Struct, frozen=True):
    """Acknowledged writes a second, their times, and the cores that the service used."""

    per_s: float
    p99_ms: float
    cores: float


class Watches(msgspec.Struct, frozen=True):
    """Delays from a write to the watches, memory of a watch, and writes while all watches open."""

    p50_ms: float
    p99_ms: float
    most_ms: float
    kib: float
    opening_write_p99_ms: float


class Starts(msgspec.Struct, frozen=True):
    """Seconds from the start of the process until it is ready, without entries and with them."""

    empty_s: float
    full_s: float


class _Status(msgspec.Struct, frozen=True):
    watches: dict[str, int]


async def measure_writes(folder: Path, writers: int, batch: int, seconds: float) -> Writes:
    """Measure closed loops of writes."""
    async with measured_service(folder, batch) as service:
        generators = min(GENERATORS, writers)
        each = writers // generators
        loads = [WriteLoad(service.listen, each, seconds, seed) for seed in range(generators)]
        cpu_s, begun = service.cpu_s(), time.monotonic()
        took_ms = await in_processes(loads)
        cores = (service.cpu_s() - cpu_s) / (time.monotonic() - begun)
        return Writes(len(took_ms) / seconds, percentile(took_ms, 0.99), cores)


def syncs_per_s(folder: Path, seconds: float) -> float:
    """Return the rate of appends of 4 KiB with a sync each that the disk allows one writer."""
    count, until = 0, time.monotonic() + seconds
    with (folder / "syncs").open("wb", buffering=0) as file:
        while time.monotonic() < until:
            file.write(PAGE)
            os.fdatasync(file.fileno())
            count += 1
    return count / seconds


async def measure_watches(folder: Path, watches: int, changes: int) -> Watches:
    """Open watches while one writer writes, then change the list and measure when each watch has it."""
    async with measured_service(folder) as service:
        generators = min(GENERATORS, max(1, watches // WATCHES_OF_A_GENERATOR))
        load = WatchLoad(service.listen, watches // generators, changes)
        empty_bytes = service.resident_bytes()
        delays = asyncio.create_task(in_processes([load] * generators))
        writes_ms = await _write_until_open(service.listen, generators * load.watches, delays)
        watch_bytes = (service.resident_bytes() - empty_bytes) / watches
        await _change_list(service.listen, changes)
        delays_ms = await delays
        return Watches(
            p50_ms=percentile(delays_ms, 0.5),
            p99_ms=percentile(delays_ms, 0.99),
            most_ms=max(delays_ms),
            kib=watch_bytes / 1024.0,
            opening_write_p99_ms=percentile(writes_ms, 0.99),
        )


async def _write_until_open(listen: str, watches: int, delays: asyncio.Task[list[float]]) -> list[float]:
    """Write one row after the other until all watches are open; return the time of each write, in ms."""
    took_ms = []
    async with aiohttp.ClientSession() as session:
        while True:
            begun = time.monotonic()
            async with session.put(f"http://{listen}/tables/bench/probe", json=1) as answer:
                await answer.read()
            took_ms.append((time.monotonic() - begun) * 1000.0)
            async with session.get(f"http://{listen}/status") as answer:
                status = msgspec.json.decode(await answer.read(), type=_Status)
            if status.watches.get("instances", 0) >= watches:
                return took_ms
            if delays.done():
                delays.result()  # raises: they end only after all watches have opened


async def _change_list(listen: str, changes: int) -> None:
    """Change an instance at intervals; its zone is the time of the write, for the watches to read."""
    for number in range(changes):
        await asyncio.sleep(CHANGE_INTERVAL_S)
        instance = {**INSTANCE, "zone": f"{time.monotonic():.6f}", "weight": 1.0 + number / 1000.0}
        await client.call(listen, "PUT", "/registry/instances/s1", instance)


async def measure_starts(folder: Path, entries: int) -> Starts:
    """Start a service without entries, register some, and start it again with them."""
    async with measured_service(folder) as service:
        empty_s = service.start_s
        await _register(service.listen, entries)
    async with measured_service(folder) as service:
        raw = await client.call(service.listen, "GET", "/registry/instances")
        if len(client.decode_answer(service.listen, InstanceList, raw).endpoints) != entries:
            message = "entries are missing"
            raise BenchError(message)
        return Starts(empty_s, service.start_s)


async def _register(listen: str, entries: int) -> None:
    concurrent = asyncio.Semaphore(CONCURRENT_REGISTRATIONS)
    async with aiohttp.ClientSession() as session:

        async def put(number: int) -> None:
            path = f"/registry/instances/s{number}"
            async with concurrent, session.put(f"http://{listen}{path}", json=INSTANCE) as answer:
                await answer.read()
                if answer.status != 200:
                    message = f"status {answer.status}"
                    raise BenchError(message)

        await asyncio.gather(*(put(number) for number in range(entries)))
