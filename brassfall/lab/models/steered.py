"""Groups and regions in a closed loop: plans move load, load makes queues, queues look like delay. Pure code.

The worst case for steering is that all of a queue is taken for distance (`leak` 1), late and with noise. Even
then the plans must not oscillate.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import numpy as np

from brassfall.controlplane.geo.model import Pair
from brassfall.controlplane.geo.plan import Plan

OVERLOAD_MS = 300.0  # the queue at capacity; it grows on from there
WIDE_GUESS_MS = (10.0, 50.0, 250.0)  # low, middle and high of a region that nobody measured
FIRST_LOAD = 0.5  # of every region, before there is a plan
PLANE_MS = 60.0  # the width in which groups and regions lie
MIN_DELAY_MS = 2.0
DEMAND = (50.0, 150.0)  # requests/s of a group, least and most
UNEVENNESS = (0.8, 1.2)  # of the regions' capacities


@dataclass(slots=True)
class Loop:
    """One closed loop; delays in ms, demand and capacity in requests/s."""

    rng: np.random.Generator
    network_ms: dict[tuple[str, str], float]  # by group and region
    demand: dict[str, float]
    capacity: dict[str, float]
    work_ms: float = 10.0
    leak: float = 1.0  # the part of a queue that is seen as delay
    lag: float = 0.5  # the part of a change that an estimate has not followed by the next plan
    noise: float = 0.03
    down: set[str] = field(default_factory=set)
    unmeasured: set[str] = field(default_factory=set)  # regions of which there is only a wide guess
    estimated_ms: dict[tuple[str, str], float] = field(default_factory=dict)

    def load(self, shares: Mapping[str, Mapping[str, float]]) -> dict[str, float]:
        """What each region is asked for, as a part of its capacity."""
        asked = dict.fromkeys(self.capacity, 0.0)
        for group, row in shares.items():
            for region, share in row.items():
                asked[region] += self.demand[group] * share
        return {region: asked[region] / self.capacity[region] for region in asked}

    def queue_ms(self, load: float) -> float:
        """The time that a request waits at a region with this load."""
        if load >= 1.0:
            return OVERLOAD_MS * (1.0 + 10.0 * (load - 1.0))
        return min(OVERLOAD_MS, self.work_ms * load / (1.0 - load))

    def open_capacity(self) -> dict[str, float]:
        """As the endpoint list gives it: a lost region has none."""
        return {region: 0.0 if region in self.down else rate for region, rate in self.capacity.items()}

    def observe(self, plan: Plan | None) -> list[Pair]:
        """The estimate while a plan acts: late, noisy, and with a part of the queue in it."""
        loads = self.load(plan.shares) if plan else dict.fromkeys(self.capacity, FIRST_LOAD)
        return [self._pair(group, region, loads[region]) for group, region in self.network_ms]

    def _pair(self, group: str, region: str, load: float) -> Pair:
        true_ms = self.network_ms[group, region] + self.leak * self.queue_ms(load)
        measured_ms = true_ms * (1.0 + self.noise * float(self.rng.normal()))
        before_ms = self.estimated_ms.get((group, region), measured_ms)
        delay_ms = before_ms + (1.0 - self.lag) * (measured_ms - before_ms)
        self.estimated_ms[group, region] = delay_ms
        if region in self.unmeasured:
            low_ms, middle_ms, high_ms = WIDE_GUESS_MS
            return Pair(group, region, middle_ms, low_ms, high_ms, age_ms=None, nodes=0, measured=False)
        interval = 0.9 * delay_ms, 1.1 * delay_ms
        return Pair(group, region, delay_ms, *interval, age_ms=500.0, nodes=4, measured=True)

    def delay_ms(self, plan: Plan) -> float:
        """What requests meet in the mean: the network, and the queue at its end."""
        loads = self.load(plan.shares)
        total = 0.0
        for group, row in plan.shares.items():
            for region, share in row.items():
                if share:
                    delay_ms = self.network_ms[group, region] + self.queue_ms(loads[region])
                    total += self.demand[group] * share * delay_ms
        return total / sum(self.demand.values())


def sample_loop(seed: int, groups: int = 6, regions: int = 3, load: float = 0.5) -> Loop:
    """The loop of a seed; `load` is all demand as a part of all capacity."""
    rng = np.random.default_rng(seed)
    place = rng.random((groups + regions, 2)) * PLANE_MS
    network_ms = {
        (f"g{i}", f"r{j}"): MIN_DELAY_MS + float(np.hypot(*(place[i] - place[groups + j])))
        for i in range(groups)
        for j in range(regions)
    }
    demand = {f"g{i}": float(rng.uniform(*DEMAND)) for i in range(groups)}
    each = sum(demand.values()) / load / regions
    capacity = {f"r{j}": each * float(rng.uniform(*UNEVENNESS)) for j in range(regions)}
    return Loop(rng, network_ms, demand, capacity)
