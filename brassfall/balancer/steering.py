"""What a plan and overrides make of the picks. A plan is one more piece of evidence for what is drawn: own
fresh evidence wins over it, and nothing is refused for its sake. Changes are eased in: a zone may be cold."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from brassfall.balancer.model import Steer

EASE_MS = 5000.0  # a change of shares, and the return of what was held off, are spread over this
STAGES = 8.0  # changes that come faster than so many in that time are eased in together

MISS_MEMORY = 0.7  # a zone that misses more than the best other one is left to the present picks
MISS_FADE_MS = 10000.0
MISS_IDLE, MISS_LEAST, MISS_SPAN = 0.01, 0.1, 0.3  # a lone miss brings 0.3: two thirds stay away

CAP_BURST_MS = 250.0  # of a cap's requests may come at once, or one
LOOK_BELOW = 0.05  # a zone with less of the first attempts is looked at now and then


@dataclass(slots=True)
class Zone:  # what this sidecar sees of one itself
    servers: int = 0
    most: int = 0  # servers since the plan came: its share is of so many
    misses: float = 0.0  # fading share
    at: float = 0.0

    def missed(self, now: float) -> float:
        return self.misses * math.exp((self.at - now) / MISS_FADE_MS)


def _weighted(told: Mapping[int, float], weight: float) -> dict[int, float]:
    kept = {zone: share for zone, share in told.items() if 0.0 < share < math.inf}  # others are none
    whole = max(1.0, sum(kept.values()))
    return {zone: share * weight / whole for zone, share in kept.items()}


class Steering:
    """What one sidecar was told, and how far it may follow that now."""

    def __init__(self, rng: random.Random) -> None:
        self.on = False  # whether it was ever told anything
        self.steer = Steer()
        self.capped = 0  # requests refused for a cap
        self._rng = rng
        self._stages = [(-math.inf, self.steer)]  # plans, and when each began to take the others' place
        self._zones: dict[int, Zone] = {}
        self._back: dict[int | str, float] = {}  # zones and servers that are held off no more, since when
        self._budgets: dict[int, tuple[float, float]] = {}

    def take(self, now: float, steer: Steer) -> bool:
        """Act on this from now on; whether other servers are held off than before."""
        weight, (since, last) = min(1.0, max(0.0, steer.weight)), self._stages[-1]
        shares = _weighted(steer.shares, weight)
        classes = {band: _weighted(told, weight) for band, told in steer.class_shares.items()}
        tenants = {tenant: _weighted(told, weight) for tenant, told in steer.tenant_shares.items()}
        self.on, self.steer = True, Steer(shares, classes, tenants, *steer[3:])
        before, held = last.held_zones | last.held_servers, steer.held_zones | steer.held_servers
        back = self._back | dict.fromkeys(before - held, now)
        self._back = {name: at for name, at in back.items() if name not in held}
        if self.steer[:3] == last[:3] or now - since < EASE_MS / STAGES:
            self._stages[-1] = (since, self.steer)
        else:
            self._stages.append((now, self.steer))
            for zone in self._zones.values():
                zone.most = zone.servers
        return held != before

    def listed(self, zones: list[int]) -> None:
        """The zones of the servers that may be drawn, one entry a server."""
        for number in {*zones, *self._zones}:
            zone = self._zones.setdefault(number, Zone())
            zone.servers = zones.count(number)
            zone.most = max(zone.most, zone.servers)

    def usual(self, number: int) -> float:
        """The part of this sidecar's requests that the plan brings to each server of a zone."""
        zone = self._zones.get(number)
        return self.steer.shares.get(number, 0.0) / zone.servers if zone and zone.servers else 0.0

    def learn(self, now: float, number: int, missed: float) -> None:
        """An outcome at a zone's server: missed if not served in time."""
        if (zone := self._zones.get(number)) and (missed or zone.misses > MISS_IDLE):
            zone.misses, zone.at = MISS_MEMORY * zone.missed(now) + (1.0 - MISS_MEMORY) * missed, now

    def settle(self, now: float) -> float:
        """Forget what has been eased in; a request's luck if something is still on its way back, else 0."""
        while len(self._stages) > 1 and now - self._stages[1][0] >= EASE_MS:
            del self._stages[0]
        self._back = self._back and {name: at for name, at in self._back.items() if now - at < EASE_MS}
        return 1.0 - self._rng.random() if self._back else 0.0

    def back(self, now: float, luck: float, server: str, zone: int) -> bool:
        """Whether a request of such luck may go there: ever more may where a hold-off has ended."""
        return now - max(self._back.get(server, -math.inf), self._back.get(zone, -math.inf)) >= luck * EASE_MS

    def zone(self, now: float, band: int, tenant: int, look: bool, resting: list[int]) -> int | None:
        """The zone to draw from for a first attempt, or None for the present picks; `look` has one of
        low share looked at, and `resting` is the zone of each ejected server."""
        shares, chosen = self._shares(now, band, tenant), -1
        if not shares:
            return None
        if look:
            low = [n for n, zone in self._zones.items() if zone.servers and shares.get(n, 0.0) < LOOK_BELOW]
            chosen = low[int(self._rng.random() * len(low))] if low else -1
        luck = self._rng.random() if chosen < 0 else math.inf
        for number, share in shares.items():
            if luck < share:
                chosen, luck = number, math.inf
            luck -= share
        zone = self._zones.get(chosen)
        if zone is None or not zone.servers:
            return None
        keep = (zone.servers - resting.count(chosen)) / zone.most
        if zone.misses > MISS_LEAST:
            others = [z.missed(now) for z in self._zones.values() if z.servers and z is not zone]
            over = (zone.missed(now) - min(others, default=1.0) - MISS_LEAST) / MISS_SPAN
            keep *= 1.0 - max(0.0, min(1.0, over))
        return chosen if keep >= 1.0 or self._rng.random() < keep else None

    def _shares(self, now: float, band: int, tenant: int) -> Mapping[int, float]:
        """The zones' shares of such requests now; what they leave of 1 is the present picks'."""
        old: Mapping[int, float] = {}
        for since, steer in self._stages:
            new = steer.tenant_shares.get(tenant, steer.class_shares.get(band, steer.shares))
            if (part := (now - since) / EASE_MS) < 1.0:
                new = {n: old.get(n, 0.0) * (1.0 - part) + new.get(n, 0.0) * part for n in {**old, **new}}
            old = new
        return old

    def over_cap(self, now: float, band: int) -> bool:
        """Whether a request is one more than its class's cap lets through; if not, it counts."""
        cap = self.steer.caps.get(band, math.inf)
        if not 0.0 <= cap < math.inf:
            return False
        left, at = self._budgets.get(band, (math.inf, now))
        left = min(max(1.0, cap * CAP_BURST_MS / 1000.0) if cap else 0.0, left + cap * (now - at) / 1000.0)
        self._budgets[band] = (left - (left >= 1.0), now)
        self.capped += left < 1.0
        return left < 1.0
