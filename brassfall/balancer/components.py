"""Components of one balancer, created from its settings in the order in which they depend on each other."""

from __future__ import annotations

import random
from collections.abc import Collection

from brassfall.balancer.affinity import KeyAffinity
from brassfall.balancer.connections import IdleConnections
from brassfall.balancer.ejection import OutlierEjector
from brassfall.balancer.endpoints import Endpoints
from brassfall.balancer.load_shedding import LoadShedder
from brassfall.balancer.overload import OverloadEstimator
from brassfall.balancer.pace import PaceTracker
from brassfall.balancer.rates import SendRate
from brassfall.balancer.settings import Settings
from brassfall.balancer.slow_start import SlowStart
from brassfall.balancer.steering import Steering
from brassfall.balancer.throttle import Throttle
from brassfall.balancer.zones import ZoneSpillover


class Components:
    """The components that hold the state of one balancer; all share one random number generator."""

    __slots__ = (
        "affinity",
        "connections",
        "ejector",
        "endpoints",
        "overload",
        "pace_tracker",
        "send_rate",
        "rng",
        "shedder",
        "slow_start",
        "steering",
        "throttle",
        "zone_spillover",
    )

    def __init__(self, now: float, settings: Settings, seed: int) -> None:
        """Create all components in their initial state; `seed` is the seed of the random number generator."""
        self.rng = random.Random(seed)
        self.throttle = Throttle()
        self.shedder = LoadShedder(settings)
        self.send_rate = SendRate(now)
        self.pace_tracker = PaceTracker()
        self.affinity = KeyAffinity()
        self.connections = IdleConnections(now, settings)
        self.overload = OverloadEstimator(settings, self.send_rate)
        self.endpoints = Endpoints(settings)
        self.zone_spillover = ZoneSpillover(settings)
        self.steering = Steering(self.rng)
        self.ejector = OutlierEjector(self.endpoints, self.shedder, self.rng)
        self.slow_start = SlowStart(
            settings, self.endpoints, self.zone_spillover, self.steering, self.send_rate
        )

    def reload(self, settings: Settings, retained: Collection[int]) -> None:
        """Apply new settings and forget what was learned about request classes that are not `retained`."""
        self.pace_tracker.retain_classes(retained)
        self.shedder.reload(settings, retained)
        self.zone_spillover.reload(settings, retained)
        self.connections.reload(settings)
        self.overload.reload(settings)
        self.endpoints.reload(settings)
        self.slow_start.reload(settings)
