"""Overrides that expire: the pure parts, and both sides together under simulated time."""

from __future__ import annotations

import os
from dataclasses import replace

import pytest

from brassfall.lab.overrides.defects import DEFECTS
from brassfall.lab.overrides.parts import SidecarState
from brassfall.lab.overrides.workload import CLASSES, REGIONS, TENANTS
from brassfall.lab.overrides.world import World
from brassfall.sidecar.agent.deadlines import Deadlines, Phase, digest
from brassfall.sidecar.agent.override_layer import Place, read_layer
from brassfall.sidecar.agent.overrides import KnownNames, LocalView, SteeringRules, effective_rules

SEEDS = int(os.environ.get("OVERRIDES_SEEDS", "100"))  # 2000 in the nightly run
NAMES = KnownNames(frozenset(REGIONS), classes=frozenset(CLASSES), tenants=frozenset(TENANTS))


class Sidecar:
    """The override logic of a sidecar, without defects."""

    def __init__(self, region):
        self.deadlines, self.lines, self.place = Deadlines(), (), Place("", region)

    def receive_times(self, asked_s, answered_s, times):
        self.deadlines.receive(asked_s, times, answered_s)

    def receive_layer(self, raw):
        self.lines, wrong = read_layer(raw)
        assert not wrong

    def report(self, now_s):
        acted = digest(self.decide(now_s).acted)
        return SidecarState(acted, self.deadlines.refresh_due(now_s), self.deadlines.newest_revision)

    def timer(self, now_s):
        pass

    def decide(self, now_s):
        return effective_rules(
            now_s, SteeringRules(), self.lines, self.deadlines, LocalView(self.place, NAMES)
        )


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_seeds_break_no_rule(seed):
    nodes, length = (20, 60_000.0) if seed % 20 == 7 else (3, 90_000.0)
    if seed % 100 == 57 and seed > 100:
        nodes = 200
    outcome = World(seed, nodes, length, Sidecar).run()
    assert outcome.broken == []
    assert outcome.acted and outcome.starts


# --- injected defects: the judge has to find each by a rule that it breaks ------------------------------


class CountsFromAnswer(Sidecar):
    """Counts the time left from when the answer was received."""

    def receive_times(self, asked_s, answered_s, times):
        super().receive_times(answered_s, answered_s, times)


class ReplacedDeadlines:
    """Separate deadlines for each override, so that received times can replace earlier ones."""

    def __init__(self, *, older_accepted):
        self.older_accepted = older_accepted  # and times apply to any revision of the override
        self.by_id, self.revisions, self.newest_revision = {}, {}, 0

    def receive(self, asked_s, times, answered_s):
        for key, row in times.items():
            if self.older_accepted or self.revisions.get(key) == row["rev"]:
                self.by_id.pop(key, None)
            deadlines = self.by_id.setdefault(key, Deadlines())
            deadlines.receive(asked_s, {key: row}, answered_s)
            self.newest_revision = max(self.newest_revision, row["rev"])
            newest = row["rev"] if self.older_accepted else max(row["rev"], self.revisions.get(key, 0))
            self.revisions[key] = newest

    def phase(self, key, rev, now_s):
        if key not in self.by_id:
            return Phase.OVER
        return self.by_id[key].phase(key, self.revisions[key] if self.older_accepted else rev, now_s)

    def exclusive_phase(self, key, rev, now_s):
        if key not in self.by_id:
            return Phase.OVER
        if self.older_accepted and rev >= self.revisions[key]:
            return self.phase(key, rev, now_s)
        if self.older_accepted:
            return min(self.phase(key, rev, now_s), Phase.DOUBTFUL)
        return self.by_id[key].exclusive_phase(key, rev, now_s)

    def refresh_due(self, now_s):
        return any(deadlines.refresh_due(now_s) for deadlines in self.by_id.values())


class ProlongsSameRevision(Sidecar):
    """Replaces the end of a revision with each new time left."""

    def __init__(self, region):
        super().__init__(region)
        self.deadlines = ReplacedDeadlines(older_accepted=False)


class AcceptsLowerRevision(Sidecar):
    """Accepts times of an older revision that arrive late, and applies times of any revision."""

    def __init__(self, region):
        super().__init__(region)
        self.deadlines = ReplacedDeadlines(older_accepted=True)


class NoDriftMargin(Sidecar):
    """Assumes that its clock and the service's have the same rate."""

    def __init__(self, region):
        super().__init__(region)
        self.deadlines = Deadlines(drift=0.0)


class ExpiresByTimer(Sidecar):
    """Checks ends at each timer and not at each decision."""

    checked_s = 0.0

    def timer(self, now_s):
        self.checked_s = now_s

    def decide(self, now_s):
        return super().decide(self.checked_s or now_s)


class RestoresPreviousState(Sidecar):
    """Restores the state before an override when it ends."""

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


class DropsPinOfOtherOverride(Sidecar):
    """Drops a tenant's pin when another override of the tenant ends, until the next change."""

    tenants = frozenset()

    def decide(self, now_s):
        found = super().decide(now_s)
        acted = dict(found.acted)
        mine = frozenset((line.id, line.tenant) for line in self.lines if line.id in acted and line.tenant)
        lost = {tenant for _, tenant in self.tenants - mine}
        self.tenants = mine
        return replace(found, tenant_pins={t: r for t, r in found.tenant_pins.items() if t not in lost})


class ReleasesPinEarly(Sidecar):
    """Serves a tenant in any region as soon as its pin is over by this clock."""

    def decide(self, now_s):
        found = super().decide(now_s)
        return replace(found, tenant_pins={t: r for t, r in found.tenant_pins.items() if r})


PAST_END, WRONG_RULES = "acted on past its end", "not what settings and overrides say"
SIDECAR_DEFECTS = {
    "deadline from the answer": (CountsFromAnswer, {PAST_END}),
    "the same revision prolongs": (ProlongsSameRevision, {PAST_END}),
    "a lower revision is taken": (AcceptsLowerRevision, {PAST_END, "an old revision is acted on"}),
    "clocks taken for equal": (NoDriftMargin, {PAST_END}),
    "expiry by a timer": (ExpiresByTimer, {PAST_END}),
    "undo to the previous state": (RestoresPreviousState, {WRONG_RULES}),
    "an inner end drops the pin": (DropsPinOfOtherOverride, {WRONG_RULES}),
    "a pin gives way too soon": (ReleasesPinEarly, {"a pin gave way before its end"}),
}


def found_by(make, parts, wanted, seeds):
    """Return the first seed at which one of the wanted rules is broken; None if there is none."""
    for seed in seeds:
        if World(seed, 3, 90_000.0, make, parts).run().rules() & wanted:
            return seed
    return None


@pytest.mark.parametrize("name", [*SIDECAR_DEFECTS, *DEFECTS])
def test_seeded_defects_are_found(name):
    make, parts = (SIDECAR_DEFECTS[name][0], None) if name in SIDECAR_DEFECTS else (Sidecar, DEFECTS[name][0])
    wanted = SIDECAR_DEFECTS[name][1] if name in SIDECAR_DEFECTS else DEFECTS[name][1]
    assert found_by(make, parts, wanted, range(200)) is not None
