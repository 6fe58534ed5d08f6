"""An aggregator as a member of the agreement: what its leases and a commit need."""

from __future__ import annotations

import json

import pytest

from brassfall.controlplane.revisions.core import (
    Agreement,
    Durable,
    Granted,
    Kept,
    Persist,
    Publish,
    Reported,
    Timing,
)
from brassfall.controlplane.revisions.document import Edition
from brassfall.controlplane.revisions.edges import Fleet, Objection, Report, parse

EPOCH = 1 << 50
START = 1e6
NEXT = EPOCH  # the number of the first revision of this epoch


class World:
    """A service that grants, with revision 1 in force, and revision `NEXT` pending from `now` on."""

    def __init__(self, names):
        self.now = START
        self.seq = 0
        self.core = Agreement(Timing(), START, Kept(committed=Edition(1), newest=1), Fleet(EPOCH, set(names)))
        for _ in range(20):
            for name in names:
                self.report(name, 1, None)
            self.now += 500.0
        self.core.step(self.now, Publish(1, settings={}))
        self.core.step(self.now, Durable())
        assert self.core.kept.pending.number == NEXT and len(self.core.fleet.holding(self.now)) == len(names)

    def report(self, name, prepared, acknowledged, objections=None):
        self.seq += 1
        self.now += 1.0  # reports at one moment are looked at together
        held = self.core.kept.newest
        report = Report("p", self.seq, EPOCH, held=held, prepared=prepared, acknowledged=acknowledged)
        actions = self.core.step(self.now, Reported(0, name, report, objections or {}))
        if any(isinstance(action, Persist) for action in actions):
            self.core.step(self.now, Durable())
        return next(action for action in actions if isinstance(action, Granted))


@pytest.mark.parametrize(
    ("prepared", "acknowledged", "granted"),
    [(1, None, False), (NEXT, None, True), (1, NEXT, True), (1, 1, False), (NEXT, 0, False)],
)
def test_a_lease_needs_what_is_acknowledged_or_else_prepared(prepared, acknowledged, granted):
    world = World(["a", "b"])
    assert bool(world.report("a", prepared, acknowledged).permission_ms) is granted


def test_a_commit_waits_for_all_that_may_act_while_the_aggregator_is_renewed():
    world = World(["a", "b"])
    world.report("a", NEXT, NEXT)
    for _ in range(8):  # longer than any lease lasts: one child of b is stopped
        world.now += 500.0
        world.report("a", NEXT, NEXT)
        assert world.report("b", 1, NEXT).permission_ms > 0.0
        assert world.core.kept.committed.number == 1
    world.report("b", NEXT, NEXT)
    assert world.core.kept.committed.number == NEXT


def test_one_that_never_claims_what_it_acknowledged_holds_a_commit_up_for_a_bounded_time():
    world, reasons = World(["a", "b"]), set()
    began, over_ms = world.now, world.core.timing.over_ms
    while world.core.kept.committed.number == 1:
        world.now += 250.0
        world.report("a", NEXT, NEXT)
        reasons.add(world.report("b", 1, NEXT).why)
    assert any("longer than what it granted" in why for why in reasons)
    assert 3.0 * over_ms < world.now - began < 3.0 * over_ms + 1000.0


def test_a_child_objects_by_its_own_name_and_to_what_is_pending_alone():
    world = World(["a", "b"])
    world.report("a", 1, NEXT, {"c": Objection(1, "to what is in force")})
    assert world.core.kept.halted is None and world.core.kept.pending.number == NEXT
    assert world.report("a", 1, NEXT, {"c": Objection(NEXT, "why")}).permission_ms > 0.0
    assert world.core.kept.halted.objections == {"c": "why"} and world.core.kept.pending is None


def test_a_sidecar_has_no_say_in_what_only_an_aggregator_acknowledges():
    assert parse(json.dumps({"prepared": 1, "acknowledged": NEXT}).encode()).acknowledged is None
