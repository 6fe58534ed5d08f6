"""Part `tier`: a fleet at rest and revisions under faults, with two aggregators in each region."""

from __future__ import annotations

from brassfall.errors import BrassfallError
from brassfall.lab.capacity import faults
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.revisions import Plan, play, start
from brassfall.lab.capacity.steady import fan_out, steady
from brassfall.lab.capacity.topology import with_aggregators


def plan(options: Options) -> Plan:
    """What can be played with aggregators."""
    some = max(1, options.repeats // 2)
    return {
        "healthy": (faults.healthy, options.repeats),
        "one sidecar stopped": (faults.one_stopped, some),
        "one aggregator killed": (faults.aggregator_killed, some),
        "one aggregator not heard": (faults.aggregator_unheard, 1),
        "one aggregator not told": (faults.aggregator_untold, 1),
        "a region cut off": (faults.region_cut_off, 1),
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
            options.progress(f"tier: {size} sidecars: {error.told}")
