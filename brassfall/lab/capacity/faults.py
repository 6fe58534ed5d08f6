"""Faults under which revisions are published: each says which hollow processes can still be reached."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass

from brassfall.lab.capacity.fleet import Worker
from brassfall.lab.capacity.relay import DOWN, UP
from brassfall.lab.capacity.topology import Aggregator, Topology


@dataclass(slots=True)
class Fleet:
    """A fleet whose last sidecar has a process to itself, so that it can be stopped."""

    topology: Topology
    regions: dict[str, list[Worker]]
    single: Worker

    @property
    def all(self) -> list[Worker]:
        """All hollow processes."""
        return [*(worker for workers in self.regions.values() for worker in workers), self.single]


Fault = Callable[[Fleet], AbstractAsyncContextManager[list[Worker]]]


@asynccontextmanager
async def healthy(fleet: Fleet) -> AsyncIterator[list[Worker]]:
    """Nothing fails."""
    yield fleet.all


@asynccontextmanager
async def one_stopped(fleet: Fleet) -> AsyncIterator[list[Worker]]:
    """One sidecar is stopped just before the publication, and goes on later."""
    fleet.single.stop()
    try:
        yield [worker for worker in fleet.all if worker is not fleet.single]
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
        yield fleet.all
    finally:
        fleet.topology.after_publish = None


def last_region(fleet: Fleet) -> str:
    """One whose sidecars have the fewest to do with the one that is stopped."""
    return list(fleet.regions)[-1]


def _aggregators(fleet: Fleet) -> list[Aggregator]:
    region = last_region(fleet)
    return [each for each in fleet.topology.aggregators if each.region == region]


@asynccontextmanager
async def aggregator_killed(fleet: Fleet) -> AsyncIterator[list[Worker]]:
    """One aggregator is killed just before the publication; its children go to the other of the region."""
    aggregator = _aggregators(fleet)[0]
    await aggregator.kill()
    try:
        yield fleet.all
    finally:
        await aggregator.start()


@asynccontextmanager
async def _partition(aggregators: list[Aggregator], directions: tuple[str, ...]) -> AsyncIterator[None]:
    for each in aggregators:
        each.relay.partition(*directions)
    try:
        yield
    finally:
        for each in aggregators:
            each.relay.heal()


@asynccontextmanager
async def aggregator_unheard(fleet: Fleet) -> AsyncIterator[list[Worker]]:
    """Nothing of one aggregator reaches the service; its children can go to the other of the region."""
    async with _partition(_aggregators(fleet)[:1], (UP,)):
        yield fleet.all


@asynccontextmanager
async def aggregator_untold(fleet: Fleet) -> AsyncIterator[list[Worker]]:
    """Nothing of the service reaches one aggregator; its children can go to the other of the region."""
    async with _partition(_aggregators(fleet)[:1], (DOWN,)):
        yield fleet.all


@asynccontextmanager
async def region_partitioned(fleet: Fleet) -> AsyncIterator[list[Worker]]:
    """Nothing passes between a region and the service, either way."""
    async with _partition(_aggregators(fleet), (UP, DOWN)):
        partitioned = fleet.regions[last_region(fleet)]
        yield [worker for worker in fleet.all if worker not in partitioned]
