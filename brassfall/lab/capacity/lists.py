"""Part `lists`: what the length of the list of servers costs, on the wire and each sidecar.

The sizes are entries on the list here: one for each transcriber. Measured on a few hollow sidecars (the
control part alone) and on a whole one (`python -m brassfall.sidecar`, with the module that picks servers).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

import aiohttp

from brassfall.controlplane.registry import client
from brassfall.lab.capacity import machine
from brassfall.lab.capacity.environment import MeasurementError, Service, register
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.sidecar import start_sidecar
from brassfall.lab.capacity.topology import Topology, one_service

LIST = "list, by its entries"
HOLLOW, SIDECAR = "sidecar's control path, by entries", "whole sidecar, by entries"
HOLLOWS = 20
CHANGES, CHANGES_PER_S = 40, 5.0
SETTLE_S = 6.0  # for the whole list to be taken in, and the start to be over


async def measure(options: Options, recorder: Recorder, entries: int) -> None:
    """One length."""
    async with options.environment() as environment:
        topology = await one_service(environment, 0)
        version = await register(topology.service.address, entries)
        await topology.publish()
        await _wire(recorder, topology.service, entries, version)
        await topology.hollow.start(HOLLOWS, [topology.service.address], alone=True)
        await topology.hollow.leased()
        _, sidecar = await start_sidecar(environment, "whole", [topology.service.address])
        await asyncio.sleep(SETTLE_S)
        await _memory(recorder, topology, sidecar.pid, entries)
        await _changes(options, recorder, topology, sidecar.pid, entries)
        recorder.load("lists", entries)


async def _wire(recorder: Recorder, service: Service, entries: int, version: int) -> None:
    """Bytes of the whole list, and of the line that tells of one changed entry."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{service.address}/registry/instances") as answer,
    ):
        list_bytes = len(await answer.read())
    recorder.add(LIST, "whole list on the wire", "KB", entries, list_bytes / 1000.0)
    recorder.add(LIST, "whole list at 14 KB/s", "s", entries, list_bytes / 14_000.0)
    lines = client.watch(service.address, "/registry/instances", version)
    async with aclosing(_watch_events(lines)) as events:
        await anext(events)  # the answer to who asks for a watch
        await alter(service.address, 0, 0.5)
        recorder.add(LIST, "one changed entry on the wire", "B", entries, len(await anext(events)))


async def _watch_events(lines: AsyncIterator[bytes]) -> AsyncGenerator[bytes, None]:
    async for line in lines:
        if line:
            yield line


async def alter(address: str, index: int, weight: float) -> int:
    """Change the weight of one server; the version of the list with it."""
    answer = await client.call(address, "PATCH", f"/registry/instances/s{index}", body={"weight": weight})
    return int(answer["index"])


async def _memory(recorder: Recorder, topology: Topology, pid: int, entries: int) -> None:
    [snapshot] = await topology.hollow.snapshots()
    recorder.add(
        HOLLOW, "memory of a hollow one, its part", "MiB", entries, snapshot.uss_bytes / HOLLOWS / 2**20
    )
    recorder.add(SIDECAR, "memory (USS)", "MiB", entries, machine.uss_mib(pid))


async def _changes(options: Options, recorder: Recorder, topology: Topology, pid: int, entries: int) -> None:
    """Processor time for one changed entry: what changes at a steady rate add to a time without any."""
    idle = await _spent(topology, pid, 0)
    busy = await _spent(topology, pid, CHANGES)
    for role, before, after in ((HOLLOW, idle[0], busy[0]), (SIDECAR, idle[1], busy[1])):
        each_ms = 1000.0 * max(0.0, after - before) / CHANGES
        recorder.add(role, "processor time for one changed entry", "ms", entries, each_ms)
        recorder.add(
            role, "processor time at 20 changed entries a second", "% of a core", entries, 2.0 * each_ms
        )
        options.progress(f"{role}: {entries} entries, {each_ms:.2f} ms for one changed entry")
    recorder.add(LIST, "one changed entry to a hollow sidecar, p50", "ms", entries, busy[2])


async def _spent(topology: Topology, pid: int, changes: int) -> tuple[float, float, float]:
    """Processor time in s of a hollow sidecar and of the whole one, and the median delay in ms."""
    [before] = await topology.hollow.snapshots()
    cpu_before_s, delays = machine.cpu_s(pid), []
    for number in range(CHANGES):
        begun = time.monotonic()
        if number < changes:
            version = await alter(topology.service.address, number, 0.5 + 0.001 * number)
        await asyncio.sleep(1.0 / CHANGES_PER_S - min(0.15, time.monotonic() - begun))
        if number < changes:
            found = await topology.hollow.listed(version, begun)
            delays.append(1000.0 * found.p50_s)
    await asyncio.sleep(1.0)
    [after] = await topology.hollow.snapshots()
    if changes and set(after.list_versions) != {version}:
        raise MeasurementError("a hollow sidecar does not hold the newest list", str(after.list_versions))
    middle = sorted(delays)[len(delays) // 2] if delays else 0.0
    return (after.cpu_s - before.cpu_s) / HOLLOWS, machine.cpu_s(pid) - cpu_before_s, middle
