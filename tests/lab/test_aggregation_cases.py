"""The hard cases of the tier, each brought about on purpose in a simulated world that the judge watches."""

from __future__ import annotations

import random

import pytest

from brassfall.controlplane.revisions.messages import Publish
from brassfall.lab.agreement import schedule
from brassfall.lab.agreement.aggregator import Aggregator
from brassfall.lab.agreement.program import Program
from brassfall.lab.agreement.schedule import Fault
from brassfall.lab.agreement.sidecar import NOVEL
from brassfall.lab.agreement.tier import TIER, TierWorld, deaf, region_lost, region_partitioned

NODES = 6
DENSE = 1  # a seed whose sidecars are all of one region
AT = 10_000.0


def world(*faults: str, seed: int = DENSE, nodes: int = NODES) -> TierWorld:
    """A world with these faults alone, begun at `AT`, and what else a test puts into it."""
    made = TierWorld(seed, nodes, Program())
    schedule.arrange(made, [Fault(AT, name, 7 * seed + n) for n, name in enumerate(faults)], TIER)
    made.fault_random = random.Random(seed)
    return made


def play(made: TierWorld, until: float = 0.0) -> None:
    """Let it run until then, or to its end: `RuleError` names a rule that does not hold."""
    if until:
        made.kernel.run(until)
        return
    made.run()
    assert len(made.judge.committed) > 5


def fullest(made: TierWorld) -> Aggregator:
    """The aggregator that has the most children just now."""
    return max(made.aggregators, key=lambda each: len(each.newest.core.membership.children))


def acting(made: TierWorld) -> int:
    """How many sidecars act on the revision in force."""
    number = made.services[0].coordinator.state.committed.number
    profiles = [sidecar.profile for sidecar in made.sidecars]
    return sum(p is not None and not p.safe and p.number == number for p in profiles)


def decided_within(made: TierWorld, span: float) -> None:
    judge = made.judge
    late = {n: judge.decided_at.get(n, AT * 9) - at for n, at in judge.prepared_at.items() if at > 7000.0}
    assert late and max(late.values()) <= span


@pytest.mark.parametrize("hook", ["_hurry", "_send", "_answer"])
def test_killed_before_its_report_after_its_children_acknowledged_or_between_grant_and_answer(hook):
    made = world()
    killed = []

    def kill(*_: object) -> None:
        # Nothing of what the core has just decided gets out: neither the report nor the answer.
        if home.up:
            killed.append(home)
            home.crash()

    play(made, AT)
    home = fullest(made)
    setattr(home.newest, hook, kill)
    made.publish()
    made.kernel.at(AT + 4000.0, home.start)
    play(made, AT + 3900.0)
    assert killed and acting(made) == NODES  # all have moved to the other one
    play(made)
    decided_within(made, 3500.0)


def test_stopped_amid_a_grant_for_ten_seconds_across_a_commit():
    made = world()
    for sidecar in made.sidecars:
        sidecar.lax = True  # takes the answer that comes ten seconds late

    play(made, AT)
    fullest(made).newest.stops_in_grant = 10_000.0
    made.kernel.at(AT + 300.0, made.publish)
    play(made)
    assert made.kernel.met["aggregators stopped amid a grant"] == 1
    decided_within(made, 3500.0)


class First(random.Random):
    """Draws the first region, and the longest time."""

    def choice(self, among):
        return among[0]

    def uniform(self, low, high):
        return high


@pytest.mark.parametrize(("lose", "left"), [(region_lost, NODES), (region_partitioned, 0)])
def test_both_aggregators_of_a_region_are_lost_or_partitioned(lose, left):
    made = world()
    assert set(made.region_of.values()) == {"ra"}
    play(made, AT)
    made.fault_random = First()
    lose(made)
    # Lost: its sidecars are taken on elsewhere. Cut off with them: they act on the fallback configuration.
    play(made, AT + 3500.0)
    assert acting(made) == left
    play(made)
    decided_within(made, 3500.0)


def test_a_child_heard_by_two_at_once_is_counted_once_and_acts_on():
    made = world()
    play(made, AT)
    for sidecar in made.sidecars:
        sidecar.restless = True
    for at in range(11_000, 20_000, 1000):
        play(made, float(at))
        counted = {process.core.members for each in made.aggregators for process in each.processes}
        assert counted == {NODES}
    play(made)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_an_old_process_beside_its_successor(seed):
    made = world("aggregator beside", "burst", seed=seed)
    play(made, AT + 3000.0)
    assert max(len(each.processes) for each in made.aggregators) == 2
    play(made)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_clocks_a_hundredth_apart_at_all_levels(seed):
    made = world("drift", "deaf", "burst", seed=seed)
    play(made)


def test_upward_reports_lost_repeated_and_overtaken():
    made = world()
    names, net = {each.name for each in made.aggregators}, made.kernel.net
    lost = made.kernel.lost

    def lossy(kind: str, name: str, number: int) -> bool:
        return lost(kind, name, number) or (
            name in names and net.slow > 0.0 and made.kernel.random.random() < 0.2
        )

    made.kernel.lost = lossy
    made.kernel.at(AT, setattr, net, "replay", 0.7)
    made.kernel.at(AT, setattr, net, "slow", 0.2)
    made.kernel.at(AT, setattr, net, "slow_ms", 3500.0)
    play(made)
    assert made.kernel.met["replayed reports of aggregators"] > 100
    assert made.services[0].coordinator.membership.stale_reports > 50


def test_the_service_comes_back_from_an_older_copy():
    made = world()

    def restore() -> None:
        service = made.services[0]
        copies.append((service.coordinator.state.committed.number, service.epoch))
        service.crash()
        service.disk = made.snapshots[0].copy()
        service.start()
        copies.append((service.coordinator.state.committed.number, service.epoch))

    made.calm = False  # a service that has come back permits nothing for a season: that is no rule broken
    copies: list[tuple[int, int]] = []
    made.kernel.at(AT + 3000.0, restore)
    play(made)
    (committed, epoch), (older, newer) = copies
    assert older < committed and newer > epoch
    assert {each.epoch for each in made.aggregators} == {made.services[0].epoch}


def test_an_objection_of_a_child_halts_by_its_name():
    made = world()
    old = made.sidecars[2]
    for sidecar in made.sidecars:
        sidecar.newer = sidecar is not old
    service = made.services[0]

    def publish() -> None:
        service.publish(Publish(1, settings={NOVEL: 1, "PolicyLimits": {"mark": 10**6}}))

    made.kernel.at(AT, publish)
    play(made, AT + 600.0)
    halted = service.coordinator.state.halted
    assert halted is not None and halted.revision.settings[NOVEL] == 1
    assert old.name in str(halted.objections)
    play(made)


def test_children_of_an_older_version_that_do_not_go_where_they_are_sent():
    made = world("aggregator cut", "deaf", "aggregator stopped")
    for sidecar in made.sidecars:
        sidecar.follows = False
    play(made)


def test_children_that_receive_nothing_hold_up_a_revision_for_no_longer_than_their_lease():
    made = world()
    made.kernel.at(AT, deaf, made)
    made.kernel.at(AT + 10.0, made.publish)
    play(made)
    decided_within(made, 3500.0)
