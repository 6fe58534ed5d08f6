"""Steering: how a steering plan and overrides change the choice of a server.

A plan is only one piece of evidence for the choice: this sidecar's own recent observations outweigh it, and
no request is refused because of it. Changes take effect gradually, because servers may have to warm up.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from brassfall.balancer.model import SteeringDirectives

# Time in milliseconds over which a change of shares, or the return of excluded zones and servers, is spread.
RAMP_MS = 5000.0
MAX_STAGES = 8.0  # Largest number of plans in one ramp; plans that follow each other faster are ramped as one

# A zone that misses more latency objectives than the best other zone loses a part of its share, up to all of
# it.
MISS_MEMORY = 0.7  # Weight of the past in a zone's share of missed objectives
MISS_FADE_MS = 10000.0  # Time constant in milliseconds with which a zone's share of missed objectives decays
MIN_MISSES = 0.01  # Share of missed objectives below which further successes no longer update a zone's share
MISS_MARGIN = 0.1  # Excess of missed objectives over the best other zone that has no effect
MISS_SPAN = 0.3  # Excess of missed objectives above `MISS_MARGIN` at which a zone loses its whole share

# Length of a burst in milliseconds: as many requests as a cap allows in this time may arrive at once, and at
# least one request.
CAP_BURST_MS = 250.0
MAX_EXPLORED_SHARE = 0.05  # Largest share of first attempts with which a zone is explored
MS_PER_S = 1000.0  # Milliseconds per second

Shares = Mapping[int, float]  # Share of the first attempts by zone


@dataclass(slots=True)
class Zone:
    """State of one zone, as this sidecar has observed it."""

    servers: int = 0  # Number of servers that may be sent to
    # Largest number of servers since the plan arrived, to which the plan's share applies.
    max_servers: int = 0
    miss_share: float = 0.0  # Share of missed objectives at `updated_at`
    updated_at: float = 0.0  # When `miss_share` was last updated

    def missed_share(self, now: float) -> float:
        """Return the share of outcomes in the zone that missed their objective, decayed until `now`."""
        return self.miss_share * math.exp((self.updated_at - now) / MISS_FADE_MS)


def _scaled_shares(shares: Shares, weight: float) -> dict[int, float]:
    """Return the valid shares multiplied by `weight`, after scaling down sums above 1 to 1."""
    valid = {zone: share for zone, share in shares.items() if 0.0 < share < math.inf}
    total = max(1.0, sum(valid.values()))
    return {zone: share * weight / total for zone, share in valid.items()}


class Steering:
    """The steering plan and the overrides in force, together with the progress of their ramps."""

    __slots__ = ("_budgets", "_readmitted", "_rng", "_stages", "_zones", "capped", "is_active", "steer")

    def __init__(self, rng: random.Random) -> None:
        """Create the component without directives; `rng` is the random number generator of the balancer."""
        self.is_active = False  # True once any directives have been received
        self.steer = SteeringDirectives()
        self.capped = 0  # Number of requests refused because of a cap
        self._rng = rng
        # Directives that still have an effect, each with the time when it began to replace the one before.
        self._stages = [(-math.inf, self.steer)]
        self._zones: dict[int, Zone] = {}
        # Zones and servers whose exclusion has ended, with the time when it ended.
        self._readmitted: dict[int | str, float] = {}
        # Number of requests that the cap of each class still allows, with the time when the number was
        # computed.
        self._budgets: dict[int, tuple[float, float]] = {}

    @property
    def stages(self) -> int:
        """The number of directives that still have an effect."""
        return len(self._stages)

    def apply(self, now: float, steer: SteeringDirectives) -> bool:
        """Apply new directives; return whether they exclude other zones or servers than before."""
        weight, (since, last) = min(1.0, max(0.0, steer.weight)), self._stages[-1]
        self.is_active = True
        self.steer = steer._replace(
            shares=_scaled_shares(steer.shares, weight),
            class_shares={
                index: _scaled_shares(shares, weight) for index, shares in steer.class_shares.items()
            },
            tenant_shares={
                tenant: _scaled_shares(shares, weight) for tenant, shares in steer.tenant_shares.items()
            },
        )
        before = last.excluded_zones | last.excluded_servers
        excluded = steer.excluded_zones | steer.excluded_servers
        readmitted = self._readmitted | dict.fromkeys(before - excluded, now)
        self._readmitted = {name: at for name, at in readmitted.items() if name not in excluded}
        if self.steer[:3] == last[:3] or now - since < RAMP_MS / MAX_STAGES:
            self._stages[-1] = (since, self.steer)
        else:
            self._stages.append((now, self.steer))
            for zone in self._zones.values():
                zone.max_servers = zone.servers
        return excluded != before

    def update_zones(self, zones: list[int]) -> None:
        """Update the number of servers per zone; `zones` has the zone of each server that may be sent to."""
        for zone_number in {*zones, *self._zones}:
            zone = self._zones.setdefault(zone_number, Zone())
            zone.servers = zones.count(zone_number)
            zone.max_servers = max(zone.max_servers, zone.servers)

    def share_per_server(self, zone_number: int) -> float:
        """Return the share of this sidecar's requests that the plan gives to each server of a zone."""
        zone = self._zones.get(zone_number)
        return self.steer.shares.get(zone_number, 0.0) / zone.servers if zone and zone.servers else 0.0

    def count_outcome(self, now: float, zone_number: int, missed: float) -> None:
        """Count an outcome in a zone; `missed` is 1 if the request missed its latency objective, else 0."""
        if (zone := self._zones.get(zone_number)) and (missed or zone.miss_share > MIN_MISSES):
            zone.miss_share, zone.updated_at = (
                MISS_MEMORY * zone.missed_share(now) + (1.0 - MISS_MEMORY) * missed,
                now,
            )

    def draw_readmission_chance(self, now: float) -> float:
        """Drop finished ramps; draw the random number (above 0, up to 1) of one request for `is_readmitted`.

        Return 0 if no zone or server is ramping up after an exclusion.
        """
        while len(self._stages) > 1 and now - self._stages[1][0] >= RAMP_MS:
            del self._stages[0]
        readmitted = self._readmitted
        self._readmitted = readmitted and {name: at for name, at in readmitted.items() if now - at < RAMP_MS}
        return 1.0 - self._rng.random() if self._readmitted else 0.0

    def is_readmitted(self, now: float, chance: float, server: str, zone: int) -> bool:
        """Return whether a request with this random `chance` may go to a server, which may be ramping up."""
        readmitted = self._readmitted
        since = max(readmitted.get(server, -math.inf), readmitted.get(zone, -math.inf))
        return now - since >= chance * RAMP_MS

    def sample_zone(
        self, now: float, request_class: int, tenant: int, ejected: list[int], *, explore: bool
    ) -> int | None:
        """Return the zone to sample servers from for a first attempt, or None to sample without a plan.

        If `explore` is true, zones with a low share are preferred. `ejected` has the zone of each ejected
        server.
        """
        shares = self._current_shares(now, request_class, tenant)
        if not shares:
            return None
        chosen = self._zone_by_share(shares, explore=explore)
        zone = self._zones.get(chosen)
        if zone is None or not zone.servers:
            return None
        kept_share = (zone.servers - ejected.count(chosen)) / zone.max_servers
        if zone.miss_share > MISS_MARGIN:
            others = [
                other.missed_share(now)
                for other in self._zones.values()
                if other.servers and other is not zone
            ]
            excess = (zone.missed_share(now) - min(others, default=1.0) - MISS_MARGIN) / MISS_SPAN
            kept_share *= 1.0 - max(0.0, min(1.0, excess))
        return chosen if kept_share >= 1.0 or self._rng.random() < kept_share else None

    def _zone_by_share(self, shares: Shares, *, explore: bool) -> int:
        """Return a zone sampled by its share, or one with a low share if `explore`; -1 if there is none."""
        if explore:
            low_share_zones = [
                zone_number
                for zone_number, zone in self._zones.items()
                if zone.servers and shares.get(zone_number, 0.0) < MAX_EXPLORED_SHARE
            ]
            if low_share_zones:
                return low_share_zones[int(self._rng.random() * len(low_share_zones))]
        chance = self._rng.random()
        for zone_number, share in shares.items():
            if chance < share:
                return zone_number
            chance -= share
        return -1

    def _current_shares(self, now: float, request_class: int, tenant: int) -> Shares:
        """Return the share of each zone for requests of a class and tenant, at the current ramp positions."""
        before: Shares = {}
        for since, steer in self._stages:
            class_shares = steer.class_shares.get(request_class, steer.shares)
            shares = steer.tenant_shares.get(tenant, class_shares)
            if (progress := (now - since) / RAMP_MS) < 1.0:
                shares = {
                    zone: before.get(zone, 0.0) * (1.0 - progress) + shares.get(zone, 0.0) * progress
                    for zone in {**before, **shares}
                }
            before = shares
        return before

    def exceeds_cap(self, now: float, request_class: int) -> bool:
        """Return whether a request exceeds the cap of its class; if it does not, count it against the cap."""
        cap = self.steer.caps.get(request_class, math.inf)
        if not 0.0 <= cap < math.inf:
            return False
        allowed, updated_at = self._budgets.get(request_class, (math.inf, now))
        burst = max(1.0, cap * CAP_BURST_MS / MS_PER_S) if cap else 0.0
        allowed = min(burst, allowed + cap * (now - updated_at) / MS_PER_S)
        self._budgets[request_class] = (allowed - (allowed >= 1.0), now)
        self.capped += allowed < 1.0
        return allowed < 1.0
