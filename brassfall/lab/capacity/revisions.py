"""Part `revisions`: from the publication of a revision until all sidecars that can be reached act on it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping

from brassfall.errors import BrassfallError
from brassfall.lab.capacity import faults
from brassfall.lab.capacity.faults import Fault, Fleet
from brassfall.lab.capacity.fleet import Spread, Worker
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.steady import at_rest, roles
from brassfall.lab.capacity.topology import Topology, one_service

LIMIT_S = 20.0  # a revision that took longer is told as not reached
LOOK_S = 1.0
PAUSE_S = 4.0  # between two revisions
BACK_S = 60.0  # for all to hold a lease again after a fault

Plan = Mapping[str, tuple[Fault, int]]  # of each condition: its fault, and how many revisions


async def start(options: Options, recorder: Recorder, topology: Topology, size: int) -> Fleet | None:
    """Start a fleet of this size; None where it does not come to rest."""
    await topology.publish()
    regions = await topology.start(size - 1)
    region, addresses = next(iter(topology.regions.items()))
    [single] = await topology.hollow.start(1, addresses, region)
    if not await at_rest(options, recorder, topology, size):
        return None
    return Fleet(topology, regions, single)


async def revision(fleet: Fleet, fault: Fault) -> tuple[Spread, float]:
    """Publish one under a fault: when those that can be reached acted on it, and then how long until all
    hold a lease again, in s."""
    async with fault(fleet) as reachable:
        begun = time.monotonic()
        number = await fleet.topology.publish()
        if fleet.topology.after_publish is not None:
            await fleet.topology.after_publish()
        found = await reached(fleet.topology, number, begun, reachable)
    back_s = await fleet.topology.hollow.leased(BACK_S)
    await asyncio.sleep(PAUSE_S)
    return found, back_s


async def reached(topology: Topology, number: int, begun: float, reachable: list[Worker]) -> Spread:
    """Wait until all these act on a revision, or for `LIMIT_S`."""
    while True:
        await asyncio.sleep(LOOK_S)
        found = await topology.hollow.acted(number, begun, reachable)
        if found.reached == found.sidecars or time.monotonic() - begun > LIMIT_S:
            return found


def record(recorder: Recorder, role: str, condition: str, size: int, found: Spread) -> None:
    """The figures of one revision."""
    what = f"publish to acted on by all that can be reached, {condition}"
    late = found.sidecars - found.reached
    # Those that are later than that, or never came, are counted below.
    recorder.add(role, f"{what}, p50", "s", size, min(LIMIT_S, found.p50_s))
    recorder.add(role, f"{what}, p99", "s", size, min(LIMIT_S, found.p99_s))
    recorder.add(role, f"{what}, last", "s", size, LIMIT_S if late else found.last_s)
    recorder.count(role, f"{what}, sidecars later than {LIMIT_S:g} s", size, late)


def described(found: Spread) -> str:
    """One revision in a few words."""
    times = f"p50 {found.p50_s:.2f} s, p99 {found.p99_s:.2f} s, last {found.last_s:.2f} s"
    return f"{times}, {found.reached} of {found.sidecars}"


async def play(options: Options, recorder: Recorder, fleet: Fleet, size: int, plan: Plan) -> None:
    """Each fault as often as the plan says. One that the fleet does not come back from ends the play."""
    role = roles(fleet.topology).agreement
    for condition, (fault, repeats) in plan.items():
        for _ in range(repeats):
            found, back_s = await revision(fleet, fault)
            record(recorder, role, condition, size, found)
            options.progress(
                f"{role}: {size} sidecars, {condition}: {described(found)}; leased {back_s:.1f} s after"
            )
    recorder.load("revisions", size)


def plan(options: Options) -> Plan:
    """What can be played with one list service."""
    return {
        "healthy": (faults.healthy, options.repeats),
        "one sidecar stopped": (faults.one_stopped, max(1, options.repeats // 2)),
        "service killed": (faults.service_killed, 1),
    }


async def measure(options: Options, recorder: Recorder, size: int) -> None:
    """One size, with one list service."""
    async with options.environment() as environment:
        topology = await one_service(environment, options.list_length)
        fleet = await start(options, recorder, topology, size)
        if fleet is None:
            return
        try:
            await play(options, recorder, fleet, size, plan(options))
        except BrassfallError as error:
            options.progress(f"revisions: {size} sidecars: {error.summary}")
