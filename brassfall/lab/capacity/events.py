"""Parts `events` and `tier-events`: ordinary and bad days, in seconds to normal and peak load.

*Normal* is when every sidecar that runs and can be reached acts on a revision published at the event. A
region is cut off for `CUT_S`, not for three minutes: once all leases are over, nothing more changes.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

from brassfall.errors import BrassfallError
from brassfall.lab.capacity import control, machine
from brassfall.lab.capacity.faults import Fleet, region_partitioned
from brassfall.lab.capacity.fleet import Spread, Worker, rates
from brassfall.lab.capacity.lists import alter
from brassfall.lab.capacity.part import Options, Recorder
from brassfall.lab.capacity.revisions import LIMIT_S, reached, start
from brassfall.lab.capacity.topology import Topology, one_service, with_aggregators

RACK, ZONE = 40, 490  # sidecars
SAMPLE_S = 0.5
PARTITION_S = 15.0
BACK_S = 60.0  # for all to hold a lease again
PAUSE_S = 4.0
AT_ONCE = 20  # changes in a second
A_DAY = 6100  # changes
PRICED, PRICED_S = 5, 3.0  # revisions whose cost is measured, and seconds from one to the next


def role(topology: Topology) -> str:
    """What the events of a topology are called."""
    return "events, with aggregators" if topology.aggregators else "events, one list service"


@dataclass(slots=True)
class Peak:
    """The most that processes took of a core, over any `SAMPLE_S`."""

    service: float = 0.0
    aggregator: float = 0.0
    pids: list[int] = field(default_factory=list)

    async def sample(self, topology: Topology) -> None:
        """Look again and again, until cancelled."""
        before: dict[int, tuple[float, float]] = {}
        while True:
            for pid in (topology.service.pid, *(each.pid for each in topology.aggregators)):
                at, spent = time.monotonic(), machine.cpu_s(pid)
                if pid in before:
                    core = (spent - before[pid][1]) / (at - before[pid][0])
                    self._take(topology, pid, core)
                before[pid] = (at, spent)
            await asyncio.sleep(SAMPLE_S)

    def _take(self, topology: Topology, pid: int, core: float) -> None:
        if pid == topology.service.pid:
            self.service = max(self.service, core)
        else:
            self.aggregator = max(self.aggregator, core)


@dataclass(slots=True)
class Stand:
    """A fleet at rest, and where what happens to it is written down."""

    options: Options
    recorder: Recorder
    fleet: Fleet
    size: int

    @property
    def topology(self) -> Topology:
        """Service, aggregators and hollow fleet."""
        return self.fleet.topology

    def add(self, quantity: str, unit: str, value: float) -> None:
        """One figure."""
        self.recorder.add(role(self.topology), quantity, unit, self.size, value)

    @asynccontextmanager
    async def event(self, name: str) -> AsyncIterator[None]:
        """Sample the load while something happens, and wait until all hold a lease again."""
        peak = Peak()
        sampling = asyncio.create_task(peak.sample(self.topology))
        try:
            yield
        finally:
            sampling.cancel()
            await asyncio.gather(sampling, return_exceptions=True)
        self.add(f"{name}: peak of the service", "core", peak.service)
        if self.topology.aggregators:
            self.add(f"{name}: peak of an aggregator", "core", peak.aggregator)
        await self.topology.hollow.leased(BACK_S)
        await asyncio.sleep(PAUSE_S)

    async def normal(self, name: str, among: list[Worker] | None = None) -> Spread:
        """Publish a revision, and tell how long until those that can be reached act on it."""
        begun = time.monotonic()
        number = await self.topology.publish()
        found = await reached(self.topology, number, begun, self.fleet.all if among is None else among)
        late = found.sidecars - found.reached
        self.add(f"{name}: to normal", "s", LIMIT_S if late else found.last_s)
        late_role = role(self.topology)
        self.recorder.count(
            late_role, f"{name}: sidecars not back to normal after {LIMIT_S:g} s", self.size, late
        )
        self.options.progress(
            f"{role(self.topology)}: {self.size} sidecars, {name}: {found.last_s:.2f} s, {late} late"
        )
        return found


Event = Callable[[Stand], Awaitable[None]]


async def _lost(stand: Stand, name: str, number: int) -> None:
    """So many sidecars end without a word; then as many start at once under their names."""
    workers, left = [], number
    for worker in stand.fleet.all:
        taken = min(left, worker.number)
        if taken:
            workers.append((worker, taken))
        left -= taken
    async with stand.event(f"{name} lost"):
        await asyncio.gather(
            *(worker.ask(control.Stop(worker.first, taken, farewell=False)) for worker, taken in workers)
        )
        await stand.normal(f"{name} lost")
    async with stand.event(f"{name} started at once"):
        begun = time.monotonic()
        await asyncio.gather(*(_restart(stand, worker, taken) for worker, taken in workers))
        await stand.topology.hollow.leased(BACK_S)
        stand.add(f"{name} started at once: all act on a revision", "s", time.monotonic() - begun)


async def _restart(stand: Stand, worker: Worker, number: int) -> None:
    region = next((name for name, workers in stand.fleet.regions.items() if worker in workers), "")
    region = region or next(iter(stand.topology.regions))
    addresses = stand.topology.regions[region]
    await worker.ask(control.Start(worker.first, number, addresses, region, over_s=0.0))


async def one_machine(stand: Stand) -> None:
    """One machine."""
    await _lost(stand, "one machine", 1)


async def rack(stand: Stand) -> None:
    """A rack."""
    await _lost(stand, f"a rack of {RACK}", RACK)


async def zone(stand: Stand) -> None:
    """A zone."""
    await _lost(stand, f"a zone of {ZONE}", ZONE)


async def service_restarted(stand: Stand) -> None:
    """The service that decides is killed and started again at once."""
    name, service = "the deciding service restarted", stand.topology.service
    async with stand.event(name):
        service.process.kill()
        await service.process.wait()
        await service.start()
        await stand.normal(name)


async def aggregator_restarted(stand: Stand) -> None:
    """An aggregator is killed and started again at once."""
    name, aggregator = "an aggregator restarted", stand.topology.aggregators[0]
    async with stand.event(name):
        await aggregator.kill()
        await asyncio.gather(aggregator.start(), stand.normal(name))


async def all_move(stand: Stand) -> None:
    """An aggregator is lost for good; later the other of its region, which has all of it, is lost too."""
    first, second = stand.topology.aggregators[:2]
    async with stand.event("an aggregator lost for good"):
        await first.kill()
        await stand.normal("an aggregator lost for good")
    await first.start()
    name = "all sidecars of a region move to another aggregator"
    async with stand.event(name):
        await second.kill()
        await stand.normal(name)
    await second.start()


async def region_partition(stand: Stand) -> None:
    """A region is cut off from the service, and comes back."""
    name = f"a region cut off for {PARTITION_S:g} s"
    async with stand.event(name):
        async with region_partitioned(stand.fleet) as reachable:
            begun = time.monotonic()
            await stand.normal(name, reachable)
            await asyncio.sleep(max(0.0, PARTITION_S - (time.monotonic() - begun)))
        begun = time.monotonic()
        await stand.topology.hollow.leased(BACK_S)
        stand.add(f"{name}, its return: all act on a revision", "s", time.monotonic() - begun)


async def many_changes(stand: Stand) -> None:
    """Twenty revisions and twenty changed entries in a second."""
    name, version = f"{AT_ONCE} changes in a second", 0
    async with stand.event(name):
        begun = time.monotonic()
        for number in range(AT_ONCE):
            version = await alter(stand.topology.service.address, number % 20, 0.3 + 0.001 * number)
            if number < AT_ONCE - 1:
                await stand.topology.publish()
            await asyncio.sleep(max(0.0, begun + (number + 1) / AT_ONCE - time.monotonic()))
        changed = time.monotonic()
        await stand.normal(name)
        found = await stand.topology.hollow.listed(version, changed)
        stand.add(
            f"{name}: the list at all", "s", found.last_s if found.reached == found.sidecars else LIMIT_S
        )


async def priced(stand: Stand) -> None:
    """What a revision costs beside a time without one, and a day of them by that."""
    idle, busy = await _spent(stand, 0), await _spent(stand, PRICED)
    for name, before, after in (("the service", idle[0], busy[0]), ("a sidecar", idle[1], busy[1])):
        each_ms = 1000.0 * max(0.0, after - before) / PRICED
        stand.add(f"a revision: processor time of {name}", "ms", each_ms)
        stand.add(f"a day of {A_DAY:,} revisions: processor time of {name}", "s", A_DAY * each_ms / 1e3)
    each = max(0.0, busy[2] - idle[2]) / PRICED
    stand.add("a revision: bytes in and out of a sidecar", "B", each)
    stand.add(f"a day of {A_DAY:,} revisions: bytes in and out of a sidecar", "MB", A_DAY * each / 1e6)


async def _spent(stand: Stand, revisions: int) -> tuple[float, float, float]:
    """Processor time in s of the service and of a sidecar, and a sidecar's bytes, over the same time."""
    before, spent = await stand.topology.hollow.snapshots(), machine.cpu_s(stand.topology.service.pid)
    for number in range(PRICED):
        if number < revisions:
            await stand.topology.publish()
        await asyncio.sleep(PRICED_S)
    found = rates(before, await stand.topology.hollow.snapshots())
    core = machine.cpu_s(stand.topology.service.pid) - spent
    each = found.core * found.seconds
    return core, each, (found.sent_bytes + found.received_bytes) * found.seconds


ALWAYS: tuple[Event, ...] = (priced, many_changes, one_machine, rack, zone)
ONE_EVENTS: tuple[Event, ...] = (*ALWAYS, service_restarted)
TIER_EVENTS: tuple[Event, ...] = (
    *ALWAYS,
    aggregator_restarted,
    all_move,
    region_partition,
    service_restarted,
)


async def _play(
    options: Options, recorder: Recorder, topology: Topology, size: int, events: tuple[Event, ...]
) -> None:
    fleet = await start(options, recorder, topology, size)
    if fleet is None:
        return
    stand = Stand(options, recorder, fleet, size)
    for event in events:
        if event is zone and size // 2 < ZONE:
            continue  # more than half of the roster at once is another event
        try:
            await event(stand)
        except BrassfallError as error:
            options.progress(f"{role(topology)}: {size} sidecars, {event.__name__}: {error.summary}")
            with contextlib.suppress(BrassfallError):
                await topology.hollow.leased(BACK_S)
    recorder.load("events", size)


async def measure(options: Options, recorder: Recorder, size: int) -> None:
    """One size, with one list service."""
    async with options.environment() as environment:
        topology = await one_service(environment, options.list_length)
        await _play(options, recorder, topology, size, ONE_EVENTS)


async def measure_tier(options: Options, recorder: Recorder, size: int) -> None:
    """One size, with aggregators."""
    async with options.environment() as environment:
        topology = await with_aggregators(environment, options.list_length)
        await _play(options, recorder, topology, size, TIER_EVENTS)
