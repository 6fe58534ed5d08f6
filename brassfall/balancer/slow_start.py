"""Slow start: how much may be sent to a server that has just started."""

from __future__ import annotations

import math

from brassfall.balancer.endpoints import Endpoints
from brassfall.balancer.rates import RATE_MS, SendRate
from brassfall.balancer.records import Server
from brassfall.balancer.settings import ZONE, Settings
from brassfall.balancer.steering import Steering
from brassfall.balancer.zones import ZoneSpillover

BUDGET_SHARE = 0.5  # of the rate that makes a server collapse: subsets overlap unevenly
REFUSED_WEIGHT = 1.0 / 3.0  # of a send: a refused request comes again up to a few times
MIN_WARMTH = 0.02
MAX_SPEED = 1.6  # how much faster than its kind a server may count


class SlowStart:
    """The budgets of sends for servers that are warming up."""

    __slots__ = (
        "_endpoints",
        "_fall_multiple",
        "_rate",
        "_refused_before",
        "_refused_before_at",
        "_span_ms",
        "_start_share",
        "_steering",
        "_warm_keys",
        "_warm_up_ms",
        "_zones",
        "refused",
    )

    def __init__(
        self,
        settings: Settings,
        endpoints: Endpoints,
        zones: ZoneSpillover,
        steering: Steering,
        rate: SendRate,
    ) -> None:
        """Begin without refused requests; the arguments are parts of the same balancer."""
        self.refused = 0  # requests refused since no server could take them
        # The value of `refused` about one time constant ago, and when it was brought up to date.
        self._refused_before, self._refused_before_at = 0.0, rate.started_at
        self._endpoints = endpoints
        self._zones = zones
        self._steering = steering
        self._rate = rate
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply other settings from now on."""
        self._warm_up_ms = settings.warm_up
        self._start_share = settings.slow_start_from
        self._fall_multiple = settings.fall_multiple
        self._span_ms = settings.overload_for or RATE_MS
        self._warm_keys = settings.warm_keys
        for server in self._endpoints.servers.values():
            server.budget = max(0.0, server.budget)  # a longer warm-up must not charge it for earlier sends

    def warmth(self, now: float, server: Server) -> float:
        """Return the share of its capacity, 0 to 1, that a server has at least."""
        if server.started <= 0.0 or self._warm_up_ms <= 0.0:
            return 1.0
        age = max(0.0, now - server.started)
        if age >= self._warm_up_ms:
            return 1.0
        start = self._start_share
        return max(MIN_WARMTH, start + (1.0 - start) * age / self._warm_up_ms)

    def has_budget(self, now: float, server: Server) -> bool:
        """Return whether a server may have one more send from this sidecar; bring its budget up to date.

        Sampling by warmth protects a server only while there are others to sample. The budget protects it
        after a mass restart, or if the others drain or are ejected. Each of many sidecars allows its own
        part: its rate over the number of servers that there were lately. A fleet that is scaled down on
        purpose has some requests refused for it.
        """
        warmth = self.warmth(now, server)
        if warmth >= 1.0:
            return True
        part = warmth * min(MAX_SPEED, server.kind_pace.speed) * self._usual_part(server)
        per_ms = self._wanted_per_ms(now) * part * self._fall_multiple * BUDGET_SHARE
        server.budget = max(0.0, server.budget) + per_ms * (now - server.budget_at)
        server.budget_at = now
        # Sends that were not used within the span lapse, or hundreds of sidecars would save up one each. Only
        # whole sends lapse: dropping fractions would make the sum over all sidecars too small.
        server.budget -= max(0, math.floor(server.budget - per_ms * self._span_ms))
        return server.budget >= 1.0

    def _usual_part(self, server: Server) -> float:
        """Return the part of this sidecar's sends that a warm server in place of this one would have."""
        endpoints = self._endpoints
        # Sidecars whose subset contains the server send to it; otherwise, and with warm keys, all do.
        steered = self._zones.active or self._steering.on
        ring = endpoints.members(server.group(ZONE)) if steered else endpoints.ring
        reach = len(endpoints.ring) if self._warm_keys else endpoints.reach()
        seen = min(1.0, reach / max(1, len(endpoints.ring))) if server in ring[:reach] else 1.0
        return max(1.0 / (endpoints.most_servers * seen), self._steering.part_per_server(server.zone))

    def _wanted_per_ms(self, now: float) -> float:
        """Return the sends per millisecond that this sidecar wants to make.

        A part of the requests refused for lack of a server counts if that is more: a sidecar that starts
        while all servers are warming up has sent nothing yet.
        """
        fade = math.exp((self._refused_before_at - now) / RATE_MS)
        self._refused_before = self.refused - (self.refused - self._refused_before) * fade
        self._refused_before_at = now
        return self._rate.per_ms(now, REFUSED_WEIGHT * (self.refused - self._refused_before))
