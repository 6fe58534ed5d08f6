"""Part `reports`: a list service under a fleet at rest, and what control costs a sidecar."""

from __future__ import annotations

import asyncio

from brassfall.errors import BrassfallError
from brassfall.lab.capacity import machine
from brassfall.lab.capacity.figures import Figure
from brassfall.lab.capacity.fleet import Rates, rates
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.topology import Topology, one_service

SERVICE = "list service, one for all sidecars"
SIDECAR = "sidecar's control path"
SETTLE_S = 4.0  # after all act on a revision, before it counts
FAILED_S = 90.0  # a fleet that did not come to rest in this time is told as such


async def measure(options: Options) -> list[Figure]:
    """Each size in turn."""
    recorder = Recorder()
    for size in options.sizes:
        await _size(options, recorder, size)
    return recorder.figures()


async def _size(options: Options, recorder: Recorder, size: int) -> None:
    async with options.environment() as environment:
        topology = await one_service(environment, options.list_length)
        revision = await topology.publish()
        options.progress(f"reports: {size} sidecars start, revision {revision}")
        try:
            await topology.hollow.start(size, topology.addresses)
            took_s = await topology.hollow.leased(FAILED_S)
        except BrassfallError as error:
            options.progress(f"reports: {size} sidecars are not held: {error.told}")
            await _not_held(recorder, topology, size)
            return
        recorder.add(SERVICE, "all sidecars act on a revision after the last start", "s", size, took_s)
        await asyncio.sleep(SETTLE_S)
        await _steady(options, recorder, topology, size)


async def _not_held(recorder: Recorder, topology: Topology, size: int) -> None:
    """The service does not keep a fleet of this size: how many sidecars hold a lease, and what it uses."""
    before = machine.cpu_s(topology.service.pid)
    found = await topology.hollow.snapshots()
    begun = asyncio.get_running_loop().time()
    await asyncio.sleep(SETTLE_S)
    seconds = asyncio.get_running_loop().time() - begun
    leased = sum(each.leased for each in found)
    core = (machine.cpu_s(topology.service.pid) - before) / seconds
    recorder.add(SERVICE, "sidecars without a lease, a minute after the start", "", size, size - leased)
    recorder.add(SERVICE, "processor time", "core", size, core)
    recorder.load("reports", size)


async def _steady(options: Options, recorder: Recorder, topology: Topology, size: int) -> None:
    before = await topology.hollow.snapshots()
    cpu_before = machine.cpu_s(topology.service.pid)
    await asyncio.sleep(options.window_s)
    after = await topology.hollow.snapshots()
    found = rates(before, after)
    core = (machine.cpu_s(topology.service.pid) - cpu_before) / found.seconds
    service(recorder, SERVICE, size, found, core, size)
    leased = sum(each.leased for each in after)
    recorder.add(SERVICE, "sidecars without a lease, a minute after the start", "", size, size - leased)
    recorder.add(SERVICE, "memory (USS)", "MiB", size, machine.uss_mib(topology.service.pid))
    sidecar(recorder, size, found, sum(each.uss_bytes for each in after) / size)
    recorder.load("reports", size)
    options.progress(f"reports: {size} sidecars, {found.reports * size:.0f} reports/s, {core:.2f} core")


def service(recorder: Recorder, role: str, size: int, found: Rates, core: float, sidecars: int) -> None:
    """What a service or an aggregator does for so many sidecars."""
    reports = found.reports * sidecars
    recorder.add(role, "reports", "1/s", size, reports)
    recorder.add(role, "processor time", "core", size, core)
    recorder.add(role, "processor time a report, all else included", "ms", size, 1000.0 * core / reports)
    recorder.add(role, "bytes in", "KB/s", size, found.sent_bytes * sidecars / 1000.0)
    recorder.add(role, "bytes out", "KB/s", size, found.received_bytes * sidecars / 1000.0)


def sidecar(recorder: Recorder, size: int, found: Rates, uss_bytes: float) -> None:
    """What control costs one hollow sidecar."""
    recorder.add(SIDECAR, "reports", "1/s", size, found.reports)
    recorder.add(SIDECAR, "processor time", "% of a core", size, 100.0 * found.core)
    recorder.add(SIDECAR, "bytes out", "KB/s", size, found.sent_bytes / 1000.0)
    recorder.add(SIDECAR, "bytes in", "KB/s", size, found.received_bytes / 1000.0)
    recorder.add(SIDECAR, "memory of a hollow one, its part of a process", "MiB", size, uss_bytes / 2**20)
