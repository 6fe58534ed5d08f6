"""Part `reports`: one list service under the reports and watches of a fleet at rest."""

from __future__ import annotations

from brassfall.errors import BrassfallError
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.steady import at_rest, fan_out, steady
from brassfall.lab.capacity.topology import one_service


async def measure(options: Options, recorder: Recorder, size: int) -> None:
    """One size."""
    async with options.environment() as environment:
        topology = await one_service(environment, options.list_length)
        revision = await topology.publish()
        options.progress(f"reports: {size} sidecars start, revision {revision}")
        await topology.start(size)
        if not await at_rest(options, recorder, topology, size):
            return
        try:
            await steady(options, recorder, topology, size)
            await fan_out(options, recorder, topology, size)
        except BrassfallError as error:
            options.progress(f"reports: {size} sidecars: {error.summary}")
