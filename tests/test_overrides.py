"""Overrides that expire: the pure parts, and both sides together under simulated time."""

from __future__ import annotations

import os

import pytest

from brassfall.lab.sim_overrides import CLASSES, REGIONS, TENANTS, World
from fordtrestle.fleet.overrides import Deadlines, Names, Place, Rules, digest, effective, read_layer

SEEDS = int(os.environ.get("OVERRIDES_SEEDS", "100"))  # 2000 in the nightly run
NAMES = Names(frozenset(REGIONS), classes=frozenset(CLASSES), tenants=frozenset(TENANTS))


class Sidecar:
    """A sidecar's side as it is."""

    def __init__(self, region):
        self.deadlines, self.lines, self.place = Deadlines(), (), Place("", region)

    def told(self, asked_s, answered_s, found):
        self.deadlines.told(asked_s, found, answered_s)

    def layer(self, raw):
        self.lines, wrong = read_layer(raw)
        assert not wrong

    def report(self, now_s):
        return digest(self.decide(now_s).acted), self.deadlines.wants(now_s)

    def timer(self, now_s):
        pass

    def decide(self, now_s):
        return effective(now_s, Rules(), self.lines, self.deadlines, self.place, NAMES)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_seeds(seed):
    nodes, length = (20, 60_000.0) if seed % 20 == 7 else (3, 90_000.0)
    outcome = World(seed, nodes, length, Sidecar).play()
    assert outcome.broken == []
