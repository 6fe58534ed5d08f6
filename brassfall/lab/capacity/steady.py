"""What a fleet at rest costs each process, with one list service and with aggregators alike."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass

from brassfall.errors import BrassfallError
from brassfall.lab.capacity import control, machine
from brassfall.lab.capacity.fleet import Rates, rates, servers
from brassfall.lab.capacity.lists import alter
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.relay import DOWN, UP
from brassfall.lab.capacity.roles import AGGREGATOR, ONE, TIER, Roles
from brassfall.lab.capacity.topology import Aggregator, Topology

SETTLE_S = 4.0  # after all act on a revision, before it counts
CONNECTIONS_EACH = 3  # of a sidecar, to one server
CHANGES, CHANGE_S = 5, 2.0  # of the list, and the time that each is given to reach all
LEASED_S = 90.0  # a fleet that does not come to rest in this time is told as such
UNLEASED = f"sidecars without a lease, {LEASED_S:g} s after the start"


def roles(topology: Topology) -> Roles:
    """Those of a topology."""
    return TIER if topology.aggregators else ONE


async def at_rest(options: Options, recorder: Recorder, topology: Topology, size: int) -> bool:
    """Wait until all sidecars act on a revision; where they do not, say how many, and False."""
    role = roles(topology).service
    try:
        took_s = await topology.hollow.leased(LEASED_S)
    except BrassfallError as error:
        options.progress(f"{role}: {size} sidecars are not held: {error.summary}")
        await _not_sustained(options, recorder, topology, size)
        return False
    recorder.add(role, "all sidecars act on a revision after the last start", "s", size, took_s)
    recorder.count(role, UNLEASED, size, 0.0)
    await asyncio.sleep(SETTLE_S)
    return True


async def _not_sustained(options: Options, recorder: Recorder, topology: Topology, size: int) -> None:
    role, begun = roles(topology).service, time.monotonic()
    before = machine.cpu_s(topology.service.pid)
    found = await topology.hollow.snapshots()
    await asyncio.sleep(SETTLE_S)
    seconds = time.monotonic() - begun
    core = (machine.cpu_s(topology.service.pid) - before) / seconds
    after = await topology.hollow.snapshots()
    recorder.count(role, UNLEASED, size, size - sum(each.leased for each in found))
    recorder.add(role, "processor time, where some get no lease", "core", size, core)
    recorder.load("at rest", size)
    reasons: Counter[str] = Counter()
    for each in after:
        reasons.update(each.failing)
    answered = sum(each.reports for each in after) - sum(each.reports for each in found)
    options.progress(f"{role}: {core:.2f} core, {answered / seconds:.0f} reports/s answered; {dict(reasons)}")


@dataclass(frozen=True, slots=True)
class Looked:
    """All processes at one moment."""

    sidecars: list[control.Snapshot]
    service_cpu_s: float
    aggregator_cpu_s: list[float]
    passed: list[dict[str, int]]  # bytes on each aggregator's way to the service


async def _look(topology: Topology) -> Looked:
    return Looked(
        await topology.hollow.snapshots(),
        machine.cpu_s(topology.service.pid),
        [machine.cpu_s(each.pid) for each in topology.aggregators],
        [dict(each.relay.passed) for each in topology.aggregators],
    )


async def steady(options: Options, recorder: Recorder, topology: Topology, size: int) -> None:
    """Rates over some seconds of a fleet at rest."""
    before = await _look(topology)
    await asyncio.sleep(options.window_s)
    after = await _look(topology)
    found = rates(before.sidecars, after.sidecars)
    core = (after.service_cpu_s - before.service_cpu_s) / found.seconds
    _service(recorder, topology, size, found, core)
    _sidecar(recorder, topology, size, found, sum(each.uss_bytes for each in after.sidecars) / size)
    for index, each in enumerate(topology.aggregators):
        _aggregator(recorder, each, index, before, after, found.seconds)
    if topology.aggregators:
        _upward(recorder, size, before, after, found.seconds)
    recorder.load("at rest", size)
    options.progress(
        f"{roles(topology).service}: {size} sidecars, {found.reports * size:.0f} reports/s, {core:.2f} core"
    )


async def aggregators(options: Options, recorder: Recorder, topology: Topology) -> None:
    """What each aggregator takes by its children, and nothing else."""
    before = await _look(topology)
    await asyncio.sleep(options.window_s)
    after = await _look(topology)
    seconds = rates(before.sidecars, after.sidecars).seconds
    for index, each in enumerate(topology.aggregators):
        if not _children(each, after):
            continue
        _aggregator(recorder, each, index, before, after, seconds)
        core = (after.aggregator_cpu_s[index] - before.aggregator_cpu_s[index]) / seconds
        options.progress(f"{AGGREGATOR}: {_children(each, after)} children, {core:.2f} core")


def _children(each: Aggregator, looked: Looked) -> int:
    """How many it has; to two digits, so that aggregators with about as many are one size."""
    found = servers(looked.sidecars)[each.address] // CONNECTIONS_EACH
    return round(found, 1 - len(str(found))) if found < 100 else round(found, -2)


def _service(recorder: Recorder, topology: Topology, size: int, found: Rates, core: float) -> None:
    role, reports = roles(topology).service, found.reports * size
    recorder.add(role, "processor time", "core", size, core)
    recorder.add(role, "memory (USS)", "MiB", size, machine.uss_mib(topology.service.pid))
    if topology.aggregators:
        return
    recorder.add(role, "reports", "1/s", size, reports)
    recorder.add(role, "processor time a report, all else included", "ms", size, 1000.0 * core / reports)
    recorder.add(role, "bytes in", "KB/s", size, found.sent_bytes * size / 1000.0)
    recorder.add(role, "bytes out", "KB/s", size, found.received_bytes * size / 1000.0)


def _sidecar(recorder: Recorder, topology: Topology, size: int, found: Rates, uss_bytes: float) -> None:
    role = roles(topology).sidecar
    recorder.add(role, "reports", "1/s", size, found.reports)
    recorder.add(role, "processor time", "% of a core", size, 100.0 * found.core)
    recorder.add(role, "bytes out", "KB/s", size, found.sent_bytes / 1000.0)
    recorder.add(role, "bytes in", "KB/s", size, found.received_bytes / 1000.0)
    recorder.add(role, "memory of a hollow one, its part of a process", "MiB", size, uss_bytes / 2**20)


def _aggregator(
    recorder: Recorder, each: Aggregator, index: int, before: Looked, after: Looked, seconds: float
) -> None:
    children = _children(each, after)
    core = (after.aggregator_cpu_s[index] - before.aggregator_cpu_s[index]) / seconds
    recorder.add(AGGREGATOR, "processor time", "core", children, core)
    recorder.add(AGGREGATOR, "memory (USS)", "MiB", children, machine.uss_mib(each.pid))
    for direction, name in ((UP, "bytes to the deciding service"), (DOWN, "bytes from the deciding service")):
        passed = after.passed[index][direction] - before.passed[index][direction]
        recorder.add(AGGREGATOR, name, "KB/s", children, passed / seconds / 1000.0)


def _upward(recorder: Recorder, size: int, before: Looked, after: Looked, seconds: float) -> None:
    for direction, name in ((UP, "bytes in"), (DOWN, "bytes out")):
        passed = sum(each[direction] for each in after.passed) - sum(
            each[direction] for each in before.passed
        )
        recorder.add(TIER.service, name, "KB/s", size, passed / seconds / 1000.0)


async def fan_out(options: Options, recorder: Recorder, topology: Topology, size: int) -> None:
    """Change one entry of the list at a time: how long until all sidecars hold it."""
    role = roles(topology).fan_out
    for number in range(CHANGES):
        begun = time.monotonic()
        version = await alter(topology.service.address, 0, 0.5 + 0.01 * number)
        await asyncio.sleep(CHANGE_S)
        found = await topology.hollow.listed(version, begun)
        recorder.add(role, "one changed entry to all sidecars, p50", "s", size, found.p50_s)
        recorder.add(role, "one changed entry to all sidecars, p99", "s", size, found.p99_s)
        missing = found.sidecars - found.reached
        recorder.count(role, f"sidecars without it after {CHANGE_S:g} s", size, missing)
    options.progress(f"{role}: {size} sidecars, p50 {found.p50_s:.3f} s, p99 {found.p99_s:.3f} s")
