"""Groups and regions in a closed loop: plans move load, load makes queues, queues look like delay. Pure code.

The worst case for steering: all of a queue is taken for distance (`leak`), late and with noise. What a plan
must not do then is swing.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import numpy as np

from brassfall.controlplane.geo.model import Pair
from brassfall.controlplane.geo.plan import Plan

OVERLOAD_MS = 300.0  # the queue at capacity; it grows on from there


@dataclass(slots=True)
class Loop:
    """Figures in ms and requests/s."""

    rng: np.random.Generator
    way_ms: dict[tuple[str, str], float]
    demand: dict[str, float]
    capacity: dict[str, float]
    work_ms: float = 10.0
    leak: float = 1.0  # the part of a queue that is seen as delay
    lag: float = 0.5  # the part of a change that an estimate has not taken in after an edition
    noise: float = 0.03
    down: set[str] = field(default_factory=set)
    unmeasured: set[str] = field(default_factory=set)  # regions of which only a wide guess is known
    seen: dict[tuple[str, str], float] = field(default_factory=dict)

    def load(self, shares: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
        """What each region is asked for, as a part of its capacity."""
        asked = dict.fromkeys(self.capacity, 0.0)
        for group, row in shares.items():
            for region, share in row.items():
                asked[region] += self.demand[group] * share
        return {region: asked[region] / self.capacity[region] for region in asked}

    def queue_ms(self, load: float) -> float:
        """The time that a request waits at a region loaded so."""
        if load >= 1.0:
            return OVERLOAD_MS * (1.0 + 10.0 * (load - 1.0))
        return min(OVERLOAD_MS, self.work_ms * load / (1.0 - load))

    def open_capacity(self) -> dict[str, float]:
        """As the list of servers would tell it: a lost region has none."""
        return {r: 0.0 if r in self.down else each for r, each in self.capacity.items()}

    def observe(self, plan: Plan | None) -> list[Pair]:
        """The estimate after an edition: late, noisy, and with a part of the queue in it."""
        loads = self.load(plan.shares) if plan else dict.fromkeys(self.capacity, 0.5)
        told = []
        for (group, region), way in self.way_ms.items():
            now = (way + self.leak * self.queue_ms(loads[region])) * (
                1.0 + self.noise * float(self.rng.normal())
            )
            before = self.seen.get((group, region), now)
            delay = self.seen[group, region] = before + (1.0 - self.lag) * (now - before)
            if region in self.unmeasured:
                told.append(Pair(group, region, 50.0, 10.0, 250.0, None, 0, False))
            else:
                told.append(Pair(group, region, delay, 0.9 * delay, 1.1 * delay, 500.0, 4, True))
        return told

    def delay_ms(self, plan: Plan) -> float:
        """What requests meet in the mean: the way, and the queue at its end."""
        loads = self.load(plan.shares)
        met = 0.0
        for group, row in plan.shares.items():
            for region, share in row.items():
                if share:
                    met += (
                        self.demand[group]
                        * share
                        * (self.way_ms[group, region] + self.queue_ms(loads[region]))
                    )
        return met / sum(self.demand.values())


def draw(seed: int, groups: int = 6, regions: int = 3, load: float = 0.5) -> Loop:
    """A loop by its seed; `load` is all demand as a part of all capacity."""
    rng = np.random.default_rng(seed)
    place = rng.random((groups + regions, 2)) * 60.0
    ways = {
        (f"g{i}", f"r{j}"): 2.0 + float(np.hypot(*(place[i] - place[groups + j])))
        for i in range(groups)
        for j in range(regions)
    }
    demand = {f"g{i}": float(rng.uniform(50.0, 150.0)) for i in range(groups)}
    each = sum(demand.values()) / load / regions
    return Loop(rng, ways, demand, {f"r{j}": each * float(rng.uniform(0.8, 1.2)) for j in range(regions)})
