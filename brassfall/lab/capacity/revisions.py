"""Part `revisions`: from the publication of a revision until all sidecars that can be reached act on it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass

from brassfall.errors import BrassfallError
from brassfall.lab.capacity.figures import Figure
from brassfall.lab.capacity.fleet import Spread, Worker
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.topology import Topology, one_service

ROLE = "agreement, one list service"
LIMIT_S = 30.0  # a revision that took longer is told as not reached
LOOK_S = 1.0
PAUSE_S = 4.0  # between two revisions
FAULT_S = 14.0  # a fault lasts no longer than that, whatever the revision does


@dataclass(slots=True)
class Fleet:
    """A fleet whose last sidecar has a process to itself, so that it can be stopped."""

    topology: Topology
    most: list[Worker]
    single: Worker


Fault = Callable[[Fleet], AbstractAsyncContextManager[list[Worker]]]
Plan = Mapping[str, tuple[Fault, int]]  # of each condition: its fault, and how many revisions


async def start(options: Options, topology: Topology, size: int) -> Fleet:
    """Start a fleet of this size at rest."""
    await topology.publish()
    hollow = topology.hollow
    most = await hollow.start(size - 1, topology.addresses)
    single = (await hollow.start(1, topology.addresses))[0]
    await hollow.leased(LIMIT_S + 60.0)
    await asyncio.sleep(PAUSE_S)
    return Fleet(topology, most, single)


@asynccontextmanager
async def healthy(fleet: Fleet) -> AsyncIterator[list[Worker]]:
    """Nothing fails."""
    yield [*fleet.most, fleet.single]


@asynccontextmanager
async def one_stopped(fleet: Fleet) -> AsyncIterator[list[Worker]]:
    """One sidecar is stopped just before the publication, and goes on later."""
    fleet.single.stop()
    try:
        yield fleet.most
    finally:
        fleet.single.resume()


@asynccontextmanager
async def service_killed(fleet: Fleet) -> AsyncIterator[list[Worker]]:
    """The service that decides is killed as soon as it has answered, and started again at once."""
    service = fleet.topology.service

    async def kill() -> None:
        service.process.kill()
        await service.process.wait()
        await service.start()

    fleet.topology.after_publish = kill
    try:
        yield [*fleet.most, fleet.single]
    finally:
        fleet.topology.after_publish = None


async def revision(options: Options, fleet: Fleet, fault: Fault) -> Spread:
    """Publish one revision under a fault; when those that can be reached acted on it."""
    async with fault(fleet) as reachable:
        begun = time.monotonic()
        number = await fleet.topology.publish()
        if fleet.topology.after_publish is not None:
            await fleet.topology.after_publish()
        found = await _reached(fleet, number, begun, reachable)
    await fleet.topology.hollow.leased(LIMIT_S)
    await asyncio.sleep(PAUSE_S)
    return found


async def _reached(fleet: Fleet, number: int, begun: float, reachable: list[Worker]) -> Spread:
    while True:
        await asyncio.sleep(LOOK_S)
        found = await fleet.topology.hollow.acted(number, begun, reachable)
        if found.reached == found.sidecars or time.monotonic() - begun > LIMIT_S:
            return found


def record(recorder: Recorder, role: str, condition: str, size: int, found: Spread) -> None:
    """The figures of one revision."""
    what = f"publish to acted on by all that can be reached, {condition}"
    recorder.add(role, f"{what}, p50", "s", size, found.p50_s)
    recorder.add(role, f"{what}, p99", "s", size, found.p99_s)
    recorder.add(role, f"{what}, last", "s", size, found.last_s)
    if found.reached < found.sidecars:
        recorder.add(role, f"{what}, not within {LIMIT_S:g} s", "", size, found.sidecars - found.reached)


async def play(
    options: Options,
    recorder: Recorder,
    role: str,
    fleet: Fleet,
    size: int,
    plan: Plan,
) -> None:
    """Each fault as often as the plan says."""
    for condition, (fault, repeats) in plan.items():
        for _ in range(repeats):
            found = await revision(options, fleet, fault)
            record(recorder, role, condition, size, found)
            options.progress(
                f"{role}: {size} sidecars, {condition}: p50 {found.p50_s:.2f} s, p99 {found.p99_s:.2f} s, "
                f"last {found.last_s:.2f} s, {found.reached} of {found.sidecars}"
            )
    recorder.load("revisions", size)


async def measure(options: Options) -> list[Figure]:
    """Each size in turn, with one list service."""
    recorder = Recorder()
    for size in options.sizes:
        async with options.environment() as environment:
            topology = await one_service(environment, options.list_length)
            try:
                fleet = await start(options, topology, size)
                plan = {
                    "healthy": (healthy, options.repeats),
                    "one sidecar stopped": (one_stopped, max(1, options.repeats // 2)),
                    "service killed": (service_killed, 1),
                }
                await play(options, recorder, ROLE, fleet, size, plan)
            except BrassfallError as error:
                options.progress(f"revisions: {size} sidecars are not held: {error.told}")
    return recorder.figures()
