"""Overrides that expire: the pure parts, and both sides together under simulated time."""

from __future__ import annotations

import os
from dataclasses import replace

import pytest

from brassfall.lab.overrides.flaws import FLAWS
from brassfall.lab.overrides.world import CLASSES, REGIONS, TENANTS, World
from brassfall.sidecar.agent.deadlines import Deadlines, digest
from brassfall.sidecar.agent.override_layer import Place, read_layer
from brassfall.sidecar.agent.overrides import LocalView, Names, Rules, effective

SEEDS = int(os.environ.get("OVERRIDES_SEEDS", "100"))  # 2000 in the nightly run
NAMES = Names(frozenset(REGIONS), classes=frozenset(CLASSES), tenants=frozenset(TENANTS))


class Sidecar:
    """A sidecar's side as it is."""

    def __init__(self, region):
        self.deadlines, self.lines, self.place = Deadlines(), (), Place("", region)

    def told(self, asked_s, answered_s, found):
        self.deadlines.receive(asked_s, found, answered_s)

    def layer(self, raw):
        self.lines, wrong = read_layer(raw)
        assert not wrong

    def report(self, now_s):
        acted = digest(self.decide(now_s).acted)
        return acted, self.deadlines.refresh_due(now_s), self.deadlines.newest

    def timer(self, now_s):
        pass

    def decide(self, now_s):
        return effective(now_s, Rules(), self.lines, self.deadlines, LocalView(self.place, NAMES))


@pytest.mark.parametrize("seed", range(SEEDS))
def test_seeds(seed):
    nodes, length = (20, 60_000.0) if seed % 20 == 7 else (3, 90_000.0)
    if seed % 100 == 57 and seed > 100:
        nodes = 200
    outcome = World(seed, nodes, length, Sidecar).play()
    assert outcome.broken == []
    assert outcome.acted and outcome.starts


# --- seeded defects: each has to be found, by the rule that it breaks ------------------------------


class FromTheAnswer(Sidecar):
    """Counts the time left from when the answer came."""

    def told(self, asked_s, answered_s, found):
        super().told(answered_s, answered_s, found)


class Prolongs(Sidecar):
    """Believes each new time left of the same revision."""

    def told(self, asked_s, answered_s, found):
        for key, row in found.items():
            if (
                self.deadlines._bounds.get(key, [None])[0]
                and self.deadlines._bounds[key][0].rev == row["rev"]
            ):
                self.deadlines._bounds.pop(key)
        super().told(asked_s, answered_s, found)


class TakesLower(Sidecar):
    """Believes an older revision that comes late."""

    def told(self, asked_s, answered_s, found):
        for key in found:
            self.deadlines._bounds.pop(key, None)
        super().told(asked_s, answered_s, found)

    def decide(self, now_s):
        for line in self.lines:  # and acts on what it has, at whichever revision
            for told in self.deadlines._bounds.get(line.id, ()):
                told.same_from = min(told.same_from, line.revision)
                told.rev = max(told.rev, line.revision)
        return super().decide(now_s)


class NoMargin(Sidecar):
    """Takes its own clock for as quick as the service's."""

    def __init__(self, region):
        super().__init__(region)
        self.deadlines = Deadlines(drift=0.0)


class ByTimer(Sidecar):
    """Looks for what is over when a timer comes round, not when it decides."""

    looked_s = 0.0

    def timer(self, now_s):
        self.looked_s = now_s

    def decide(self, now_s):
        return super().decide(self.looked_s or now_s)


class Undoes(Sidecar):
    """Puts back what was before an override, when it ends."""

    def __init__(self, region):
        super().__init__(region)
        self.before, self.now, self.on = {}, {}, set()

    def decide(self, now_s):
        found = super().decide(now_s)
        on = {key for key, _ in found.acted}
        for key in on - self.on:
            self.before[key] = dict(self.now)
        for key in self.on - on:
            self.now = self.before.pop(key)
        if on - self.on or not on:
            self.now = dict(found.tenant_pins)
        self.on = on
        return replace(found, tenant_pins=self.now)


class DropsPin(Sidecar):
    """Forgets a tenant's pin when another override of the same tenant ends, until something else changes."""

    tenants = frozenset()

    def decide(self, now_s):
        found = super().decide(now_s)
        acted = dict(found.acted)
        mine = frozenset((line.id, line.tenant) for line in self.lines if line.id in acted and line.tenant)
        lost = {tenant for _, tenant in self.tenants - mine}
        self.tenants = mine
        return replace(found, tenant_pins={t: r for t, r in found.tenant_pins.items() if t not in lost})


class GivesWay(Sidecar):
    """Serves a tenant anywhere as soon as its pin is over by this clock."""

    def decide(self, now_s):
        found = super().decide(now_s)
        return replace(found, tenant_pins={t: r for t, r in found.tenant_pins.items() if r})


PAST, SAYS = "acted on past its end", "not what settings and overrides say"
OURS = {
    "deadline from the answer": (FromTheAnswer, {PAST}),
    "the same revision prolongs": (Prolongs, {PAST}),
    "a lower revision is taken": (TakesLower, {PAST, "an old revision is acted on"}),
    "clocks taken for equal": (NoMargin, {PAST}),
    "expiry by a timer": (ByTimer, {PAST}),
    "undo to the previous state": (Undoes, {SAYS}),
    "an inner end drops the pin": (DropsPin, {SAYS}),
    "a pin gives way too soon": (GivesWay, {"a pin gave way before its end"}),
}


def found_by(make, parts, wanted, seeds):
    """The first seed at which a rule that the flaw breaks is broken."""
    for seed in seeds:
        if World(seed, 3, 90_000.0, make, parts).play().rules() & wanted:
            return seed
    return None


@pytest.mark.parametrize("name", [*OURS, *FLAWS])
def test_seeded_defects_are_found(name):
    make, parts = (OURS[name][0], None) if name in OURS else (Sidecar, FLAWS[name][0])
    wanted = OURS[name][1] if name in OURS else FLAWS[name][1]
    assert found_by(make, parts, wanted, range(200)) is not None
