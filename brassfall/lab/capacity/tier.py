"""Parts `tier` and `region`: a fleet with two aggregators in each region, and sidecars in one region alone.

One region shows what an aggregator takes with as many children as it has in a whole fleet, where this machine
can't hold a whole one. The aggregators of the others are there all the same: more than half must be heard.
"""

from __future__ import annotations

import asyncio
import time

from brassfall.errors import BrassfallError
from brassfall.lab.capacity import faults
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.revisions import LIMIT_S, Plan, described, play, reached, start
from brassfall.lab.capacity.steady import aggregators, at_rest, fan_out, steady
from brassfall.lab.capacity.topology import with_aggregators

REGION = "events, one region"
START_PER_S = 150.0  # to two aggregators
SETTLED_S = 5.0  # after all have moved


def plan(options: Options) -> Plan:
    """What can be played with aggregators."""
    some = max(1, options.repeats // 2)
    return {
        "healthy": (faults.healthy, options.repeats),
        "one sidecar stopped": (faults.one_stopped, some),
        "one aggregator killed": (faults.aggregator_killed, some),
        "one aggregator not heard": (faults.aggregator_unheard, 1),
        "one aggregator not told": (faults.aggregator_untold, 1),
        "a region cut off": (faults.region_partitioned, 1),
        "service killed": (faults.service_killed, 1),
    }


async def measure(options: Options, recorder: Recorder, size: int) -> None:
    """One size."""
    async with options.environment() as environment:
        topology = await with_aggregators(environment, options.list_length)
        options.progress(f"tier: {size} sidecars start at {len(topology.aggregators)} aggregators")
        fleet = await start(options, recorder, topology, size)
        if fleet is None:
            return
        try:
            await steady(options, recorder, topology, size)
            await fan_out(options, recorder, topology, size)
            await play(options, recorder, fleet, size, plan(options))
        except BrassfallError as error:
            options.progress(f"tier: {size} sidecars: {error.summary}")


async def measure_region(options: Options, recorder: Recorder, size: int) -> None:
    """One region alone: its sidecars at two aggregators, and then all of them at one."""
    async with options.environment() as environment:
        topology = await with_aggregators(environment, options.list_length)
        await topology.publish()
        region, addresses = next(iter(topology.regions.items()))
        await topology.hollow.start(size, addresses, region, START_PER_S)
        if not await at_rest(options, recorder, topology, size):
            return
        await aggregators(options, recorder, topology)
        begun = time.monotonic()
        await topology.aggregators.pop(0).kill()
        revision = await topology.publish()
        found = await reached(topology, revision, begun, topology.hollow.workers)
        what = f"{size:,} sidecars of a region, half of them move, acted on by all after"
        recorder.add(REGION, what, "s", size, LIMIT_S if found.reached < found.sidecars else found.last_s)
        options.progress(f"{REGION}: {what}: {described(found)}")
        await asyncio.sleep(SETTLED_S)
        await aggregators(options, recorder, topology)
