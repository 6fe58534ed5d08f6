"""Steering: what a plan and overrides change in the choice of a server.

A plan is one more piece of evidence for where to send: this sidecar's own recent evidence outweighs it, and
no request is refused because of it. Changes take effect gradually, since servers may be warming up.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from brassfall.balancer.model import SteeringDirectives

RAMP_MS = 5000.0  # a change of shares, and the return of what was excluded, are spread over this time
MAX_STAGES = 8.0  # changes that come faster than this many in a ramp are ramped as one

# A zone that misses more objectives than the best other one loses a part of its share, up to all of it.
MISS_MEMORY = 0.7  # weight of the past in a zone's misses
MISS_FADE_MS = 10000.0
MIN_MISSES = 0.01  # below this a zone's misses are not updated by further successes
MISS_MARGIN = 0.1  # misses above the best other zone that change nothing
MISS_SPAN = 0.3  # misses above the margin that take the whole share

CAP_BURST_MS = 250.0  # the requests of this time may come at once under a cap, and one at least
MAX_EXPLORED_SHARE = 0.05  # a zone with a smaller share of the first attempts is explored now and then
MS_PER_S = 1000.0

Shares = Mapping[int, float]  # zone -> share of the first attempts


@dataclass(slots=True)
class Zone:
    """What this sidecar knows of one zone."""

    servers: int = 0
    most: int = 0  # servers that there were since the plan came: its share is for all of them
    misses: float = 0.0  # fading share
    at: float = 0.0  # when the misses were last brought up to date

    def missed(self, now: float) -> float:
        """Return the share of its outcomes that were not served in time."""
        return self.misses * math.exp((self.at - now) / MISS_FADE_MS)


def _weighted(shares: Shares, weight: float) -> dict[int, float]:
    """Return the valid shares, scaled to a sum of `weight` at most."""
    valid = {zone: share for zone, share in shares.items() if 0.0 < share < math.inf}
    total = max(1.0, sum(valid.values()))
    return {zone: share * weight / total for zone, share in valid.items()}


class Steering:
    """The plan and the overrides in force, and how far they have taken effect."""

    __slots__ = ("_budgets", "_readmitted", "_rng", "_stages", "_zones", "capped", "on", "steer")

    def __init__(self, rng: random.Random) -> None:
        """Begin without a plan and without overrides; `rng` is that of the same balancer."""
        self.on = False  # True once there were any
        self.steer = SteeringDirectives()
        self.capped = 0  # requests refused for a cap
        self._rng = rng
        self._stages = [(-math.inf, self.steer)]  # plans, and when each began to replace the one before
        self._zones: dict[int, Zone] = {}
        self._readmitted: dict[int | str, float] = {}  # zones and servers whose exclusion ended, and when
        self._budgets: dict[int, tuple[float, float]] = {}  # by class: requests left under its cap, and when

    @property
    def stages(self) -> int:
        """The number of plans that still have an effect."""
        return len(self._stages)

    def replace(self, now: float, steer: SteeringDirectives) -> bool:
        """Apply another plan and other overrides; return whether they exclude others than before."""
        weight, (since, last) = min(1.0, max(0.0, steer.weight)), self._stages[-1]
        self.on = True
        self.steer = steer._replace(
            shares=_weighted(steer.shares, weight),
            class_shares={number: _weighted(own, weight) for number, own in steer.class_shares.items()},
            tenant_shares={tenant: _weighted(own, weight) for tenant, own in steer.tenant_shares.items()},
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
                zone.most = zone.servers
        return excluded != before

    def listed(self, zones: list[int]) -> None:
        """Take in the zones of the servers that may be sent to, one entry for each server."""
        for number in {*zones, *self._zones}:
            zone = self._zones.setdefault(number, Zone())
            zone.servers = zones.count(number)
            zone.most = max(zone.most, zone.servers)

    def part_per_server(self, number: int) -> float:
        """Return the part of this sidecar's requests that the plan gives each server of a zone."""
        zone = self._zones.get(number)
        return self.steer.shares.get(number, 0.0) / zone.servers if zone and zone.servers else 0.0

    def learn(self, now: float, number: int, missed: float) -> None:
        """Count an outcome in a zone: `missed` is 1 if it was not served in time, else 0."""
        if (zone := self._zones.get(number)) and (missed or zone.misses > MIN_MISSES):
            zone.misses, zone.at = MISS_MEMORY * zone.missed(now) + (1.0 - MISS_MEMORY) * missed, now

    def settle(self, now: float) -> float:
        """Forget the ramps that are over; return a random chance, above 0, for one request.

        Return 0 if nothing is ramping up after an exclusion. `readmits` takes the chance.
        """
        while len(self._stages) > 1 and now - self._stages[1][0] >= RAMP_MS:
            del self._stages[0]
        readmitted = self._readmitted
        self._readmitted = readmitted and {name: at for name, at in readmitted.items() if now - at < RAMP_MS}
        return 1.0 - self._rng.random() if self._readmitted else 0.0

    def readmits(self, now: float, chance: float, server: str, zone: int) -> bool:
        """Return whether a request with this chance may go to a server that may have been excluded."""
        readmitted = self._readmitted
        since = max(readmitted.get(server, -math.inf), readmitted.get(zone, -math.inf))
        return now - since >= chance * RAMP_MS

    def zone(
        self, now: float, request_class: int, tenant: int, ejected: list[int], *, explore: bool
    ) -> int | None:
        """Return the zone to sample from for a first attempt, or None to sample without a plan.

        `explore` prefers a zone with a low share; `ejected` is the zone of each ejected server.
        """
        shares = self._shares(now, request_class, tenant)
        if not shares:
            return None
        chosen = self._sample_zone(shares, explore=explore)
        zone = self._zones.get(chosen)
        if zone is None or not zone.servers:
            return None
        remaining = (zone.servers - ejected.count(chosen)) / zone.most
        if zone.misses > MISS_MARGIN:
            others = [z.missed(now) for z in self._zones.values() if z.servers and z is not zone]
            over = (zone.missed(now) - min(others, default=1.0) - MISS_MARGIN) / MISS_SPAN
            remaining *= 1.0 - max(0.0, min(1.0, over))
        return chosen if remaining >= 1.0 or self._rng.random() < remaining else None

    def _sample_zone(self, shares: Shares, *, explore: bool) -> int:
        """Return a zone sampled by its share, or one of low share to explore; -1 for none."""
        if explore:
            low = [
                number
                for number, zone in self._zones.items()
                if zone.servers and shares.get(number, 0.0) < MAX_EXPLORED_SHARE
            ]
            if low:
                return low[int(self._rng.random() * len(low))]
        chance = self._rng.random()
        for number, share in shares.items():
            if chance < share:
                return number
            chance -= share
        return -1

    def _shares(self, now: float, request_class: int, tenant: int) -> Shares:
        """Return the zones' shares of such requests at this point of the ramps."""
        old: Shares = {}
        for since, steer in self._stages:
            of_class = steer.class_shares.get(request_class, steer.shares)
            new = steer.tenant_shares.get(tenant, of_class)
            if (part := (now - since) / RAMP_MS) < 1.0:
                new = {n: old.get(n, 0.0) * (1.0 - part) + new.get(n, 0.0) * part for n in {**old, **new}}
            old = new
        return old

    def over_cap(self, now: float, request_class: int) -> bool:
        """Return whether a request exceeds the cap of its class; count it against the cap if not."""
        cap = self.steer.caps.get(request_class, math.inf)
        if not 0.0 <= cap < math.inf:
            return False
        left, at = self._budgets.get(request_class, (math.inf, now))
        burst = max(1.0, cap * CAP_BURST_MS / MS_PER_S) if cap else 0.0
        left = min(burst, left + cap * (now - at) / MS_PER_S)
        self._budgets[request_class] = (left - (left >= 1.0), now)
        self.capped += left < 1.0
        return left < 1.0
