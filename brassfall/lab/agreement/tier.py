"""A world with aggregators between sidecars and the service: six, two in each of three regions."""

from __future__ import annotations

from collections.abc import Sequence

from brassfall.lab.agreement import schedule
from brassfall.lab.agreement.aggregator import Aggregator, Process
from brassfall.lab.agreement.base import KINDS
from brassfall.lab.agreement.schedule import Catalogue, later, restart_service
from brassfall.lab.agreement.sidecar import Address, Sidecar
from brassfall.lab.agreement.world import LIVE_MS, World

REGIONS = ("ra", "rb", "rc")
IN_REGION = 2
FIRST_NUMBER = 10  # of an aggregator's address; services have those below
STOPPED_MS = 10_000.0
LOOK_MS, STAYS_MS = 500.0, 3000.0
OLDER_PART = 0.2  # of the sidecars are of a version that knows no `elsewhere`


class TierWorld(World):
    """Everything of one seed; sidecars know the aggregators of their region first, then all others."""

    def _prepare(self) -> None:
        self.aggregators = [
            Aggregator(self.kernel, FIRST_NUMBER + number, f"g{number}", region, self.services)
            for number, region in enumerate(region for region in REGIONS for _ in range(IN_REGION))
        ]
        for aggregator in self.aggregators:
            aggregator.start()
        self.region_of: dict[str, str] = {}  # by sidecar
        # Sidecars of one region alone are many at each aggregator, and the others' are there for the quorum.
        self._homes = REGIONS[: self.kernel.random.choice((1, len(REGIONS)))]

    @property
    def addresses(self) -> Sequence[Address]:
        """Where sidecars report and watch."""
        return self.aggregators

    @property
    def members(self) -> list[str]:
        """Names of those that report to the services themselves."""
        return [aggregator.name for aggregator in self.aggregators]

    def _sidecar(self, name: str, process_id: str, newer: bool) -> Sidecar:
        chance = self.kernel.random
        region = self.region_of.setdefault(name, self._homes[len(self.region_of) % len(self._homes)])
        near = [each for each in self.aggregators if each.region == region]
        far = [each for each in self.aggregators if each.region != region]
        chance.shuffle(far)
        made = Sidecar(self.kernel, name, process_id, [*near, *far], newer, near=IN_REGION)
        made.follows = chance.random() >= OLDER_PART
        return made

    def _heal(self) -> None:
        for aggregator in self.aggregators:
            for process in list(aggregator.processes):
                process.resume()
            for process in aggregator.processes[:-1]:
                process.end()
            if not aggregator.up:
                aggregator.start()
        for sidecar in self.sidecars:
            sidecar.restless = False
        super()._heal()

    def _settle(self) -> None:
        """Let come together what has to, and see whether it stays."""
        kernel, due = self.kernel, self.kernel.now + LIVE_MS
        since = kernel.now
        while kernel.now < due and kernel.now - since < STAYS_MS:
            kernel.run(kernel.now + LOOK_MS)
            since = since if self._together() else kernel.now

    def _together(self) -> bool:
        newest = self.survivor.coordinator.state.newest
        profiles = [sidecar.profile for sidecar in self.sidecars]
        return all(p is not None and not p.safe and p.number == newest for p in profiles)

    def some_aggregators(self) -> list[Aggregator]:
        """One or two that run: fewer than a majority needs."""
        running = [each for each in self.aggregators if each.up and not each.newest.stopped]
        return self.fault_random.sample(running, min(len(running), self.fault_random.choice((1, 1, 2))))


# --- aggregators ------------------------------------------------------------------------------------


def killed(world: TierWorld) -> None:
    """Killed, and started again, or not before the end of all faults."""
    for aggregator in world.some_aggregators():
        _kill(world, aggregator)


def killed_in_prepare(world: TierWorld) -> None:
    """Killed within some ms after a revision was published: between what children acknowledge and its report,
    or between a grant and its answer; often with children that do not hear of the revision."""
    if world.fault_random.random() < 0.7:
        _deafen(world)
    world.publish()
    for aggregator in world.some_aggregators():
        later(world, world.fault_random.uniform(0.0, 400.0), _kill, world, aggregator)


def _kill(world: TierWorld, aggregator: Aggregator) -> None:
    aggregator.crash()
    if world.fault_random.random() < 0.8:
        later(world, world.fault_random.choice((20.0, 500.0, 3000.0)), _start, aggregator)


def _start(aggregator: Aggregator) -> None:
    if not aggregator.up:
        aggregator.start()


def stopped(world: TierWorld) -> None:
    """Stopped for ten seconds, across whatever comes, some amid a grant; and continued."""
    for aggregator in world.some_aggregators():
        span = world.fault_random.choice((STOPPED_MS, world.fault_random.uniform(500.0, STOPPED_MS)))
        if world.fault_random.random() < 0.5:
            aggregator.newest.stops_in_grant = span
        else:
            _stop(world, aggregator.newest, span)


def _stop(world: TierWorld, process: Process, span: float) -> None:
    process.stop()
    later(world, span, process.resume)


def stopped_in_prepare(world: TierWorld) -> None:
    """Stopped across a commit, and continued with what it had begun."""
    world.publish()
    for aggregator in world.some_aggregators():
        later(world, world.fault_random.uniform(0.0, 300.0), _stop, world, aggregator.newest, STOPPED_MS)


def beside(world: TierWorld) -> None:
    """An old process, stopped for a while or not at all, beside its successor of the same name."""
    for aggregator in world.some_aggregators():
        old = aggregator.newest
        if world.fault_random.random() < 0.7:
            _stop(world, old, world.fault_random.uniform(500.0, 6000.0))
        later(world, world.fault_random.uniform(0.0, 2000.0), aggregator.start)
        later(world, world.fault_random.uniform(6000.0, 9000.0), old.end)


def leaves(world: TierWorld) -> None:
    """Ended gently, amid a publish, and followed by another process."""
    world.publish()
    for aggregator in world.some_aggregators():
        process = aggregator.newest
        later(world, world.fault_random.uniform(0.0, 300.0), process.leave)
        later(world, world.fault_random.uniform(3000.0, 5000.0), _start, aggregator)


def region_lost(world: TierWorld) -> None:
    """Both aggregators of a region are killed, at once or one after the other."""
    region = world.fault_random.choice(REGIONS)
    for aggregator in [each for each in world.aggregators if each.region == region]:
        later(world, world.fault_random.choice((0.0, 700.0)), _kill, world, aggregator)


def partitioned(world: TierWorld) -> None:
    """One or two are cut off from the service, one way or another."""
    directions = (KINDS, ("report",), ("answer",), ("watch",), ("watch", "open"), ("report", "watch", "open"))
    kinds = world.fault_random.choice(directions)
    names = [aggregator.name for aggregator in world.some_aggregators()]
    _partition(world, _rows(names, kinds))


def region_partitioned(world: TierWorld) -> None:
    """A region is cut off from the service and from all others; within it everything goes on."""
    region = world.fault_random.choice(REGIONS)
    names = [each.name for each in world.aggregators if each.region == region]
    numbers = [each.number for each in world.aggregators if each.region != region]
    inside = [s.name for s in world.sidecars if world.region_of[s.name] == region]
    rows = _rows(names, KINDS)
    _partition(
        world, rows | {(name, number, kind) for name in inside for number in numbers for kind in KINDS}
    )


def _partition(world: TierWorld, rows: set[tuple[str, int, str]]) -> None:
    world.kernel.net.partitions |= rows
    later(
        world, world.fault_random.uniform(500.0, 9000.0), world.kernel.net.partitions.difference_update, rows
    )


# --- children ---------------------------------------------------------------------------------------


def moves(world: TierWorld) -> None:
    """Some children come to another aggregator while a revision is prepared."""
    world.publish()
    for sidecar in schedule.some_of(world, 0.7):
        later(world, world.fault_random.uniform(0.0, 500.0), sidecar.move)


def heard_by_two(world: TierWorld) -> None:
    """Some children report to another aggregator each time."""
    for sidecar in schedule.some_of(world, 0.7):
        sidecar.restless = True
        later(world, world.fault_random.uniform(2000.0, 9000.0), setattr, sidecar, "restless", False)


def far_behind(world: TierWorld) -> None:
    """An aggregator hears of nothing while its children hear it from another: its watch is cut, for a while
    also the answers to its reports, and children report to it by turns."""
    names = [aggregator.name for aggregator in world.some_aggregators()]
    _partition(world, _rows(names, ("watch", "open")))
    answers = _rows(names, ("answer",))
    world.kernel.net.partitions |= answers
    later(
        world,
        world.fault_random.uniform(300.0, 2000.0),
        world.kernel.net.partitions.difference_update,
        answers,
    )
    heard_by_two(world)
    world.publish()


def _rows(names: list[str], kinds: tuple[str, ...]) -> set[tuple[str, int, str]]:
    return {(name, number, kind) for name in names for number in (0, 1) for kind in kinds}


def deaf(world: TierWorld) -> None:
    """Some children are heard, now by this aggregator and now by that, and hear nothing."""
    _deafen(world)
    later(world, world.fault_random.uniform(0.0, 1000.0), world.publish)


def _deafen(world: TierWorld) -> None:
    names = [sidecar.name for sidecar in schedule.some_of(world, 0.5)]
    kinds = ("answer", "watch", "open")
    _partition(world, {(name, number, kind) for name in names for number in world.numbers for kind in kinds})


def restored(world: TierWorld) -> None:
    """The service above comes back from an older copy, while aggregators hold what came after it."""
    if world.snapshots:
        world.publish()
        restart_service(world, world.fault_random.choice(world.snapshots[-3:]).copy())


def drift(world: TierWorld) -> None:
    """Clocks as far apart as may be at all three levels, while directions are cut one by one."""
    now = world.kernel.now
    world.services[0].clock.turn(now, 1.01)
    slow = world.fault_random.choice((0.99, 1.01))
    for clock in [each.clock for each in world.aggregators]:
        clock.turn(now, slow)
    for sidecar in world.sidecars:
        sidecar.clock.turn(now, 0.99)
    for number in range(4):
        later(world, 4000.0 * number, _partition_one, world)


def _partition_one(world: TierWorld) -> None:
    """An aggregator, or one of its children, is cut off amid a publish."""
    world.publish()
    names = [
        world.fault_random.choice(world.aggregators).name,
        world.fault_random.choice(world.sidecars).name,
    ]
    name = world.fault_random.choice(names)
    rows = {(name, number, kind) for number in (0, 1, *world.numbers) for kind in KINDS}
    world.kernel.net.partitions |= rows
    later(world, 3800.0, world.kernel.net.partitions.difference_update, rows)


_DIRECT = schedule.THEMES
_COMMON = (
    *("crash", "lost disk", "disk", "twin", "wall clock", "stop", "beside", "restart", "rolling", "join"),
    *("liar", "cut", "rough", "replay", "burst"),
)
_AWAY = frozenset(
    (
        *("aggregator killed", "aggregator killed in prepare", "aggregator stopped", "aggregator cut"),
        *(
            "aggregator leaves",
            "aggregator stopped in prepare",
            "aggregator beside",
            "region lost",
            "region cut",
            "far behind",
        ),
    )
)
TIER = Catalogue(
    {
        **{name: _DIRECT[name] for name in _COMMON},
        "aggregator killed": (killed, (1, 2)),
        "aggregator killed in prepare": (killed_in_prepare, (1, 2)),
        "aggregator stopped": (stopped, (1, 2)),
        "aggregator stopped in prepare": (stopped_in_prepare, (1, 2)),
        "aggregator beside": (beside, (1, 2)),
        "aggregator leaves": (leaves, (1, 2)),
        "aggregator cut": (partitioned, (1, 2)),
        "region lost": (region_lost, (1,)),
        "region cut": (region_partitioned, (1,)),
        "moves": (moves, (1, 2, 4)),
        "heard by two": (heard_by_two, (1, 2)),
        "deaf": (deaf, (1, 2)),
        "far behind": (far_behind, (1, 2)),
        "older copy": (restored, (1, 2)),
        "drift": (drift, (1,)),
    },
    calm=_AWAY | {"stop", "beside", "restart", "join", "cut", "burst", "moves", "heard by two", "deaf"},
    away=_AWAY,
    split=frozenset(("twin",)),
    confusing=frozenset(("liar", "aggregator beside", "lost disk")),
    in_turn=True,
)
