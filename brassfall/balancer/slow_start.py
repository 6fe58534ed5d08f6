"""Slow start: how many requests a recently started server may receive while it is warming up."""

from __future__ import annotations

import math

from brassfall.balancer.endpoints import Endpoints
from brassfall.balancer.rates import RATE_MS, SendRate
from brassfall.balancer.records import Server
from brassfall.balancer.settings import ZONE, Settings
from brassfall.balancer.steering import Steering
from brassfall.balancer.zones import ZoneSpillover

# Rate that all sidecars together may send to a server that is warming up, as a share of the rate at which the
# server collapses. It is below 1 because the subsets of the sidecars overlap unevenly.
BUDGET_SHARE = 0.5
# Weight of a refused request in the send rate, relative to a sent attempt, since clients retry a refused
# request up to a few times.
REFUSED_WEIGHT = 1.0 / 3.0
MIN_CAPACITY_SHARE = 0.02  # Smallest share of its full capacity that a server is assumed to have
MAX_SPEED = 1.6  # Largest relative speed of a server or machine kind that is taken into account


class SlowStart:
    """Budgets of attempts for the servers that are warming up."""

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
        "refused_requests",
    )

    def __init__(
        self,
        settings: Settings,
        endpoints: Endpoints,
        zones: ZoneSpillover,
        steering: Steering,
        rate: SendRate,
    ) -> None:
        """Create the component without refused requests; the arguments belong to the same balancer."""
        self.refused_requests = 0  # Number of requests refused because no server could take them
        # The value of `refused_requests` about one time constant ago, and when this value was last updated.
        self._refused_before, self._refused_before_at = 0.0, rate.started_at
        self._endpoints = endpoints
        self._zones = zones
        self._steering = steering
        self._rate = rate
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply new settings from now on."""
        self._warm_up_ms = settings.warm_up
        self._start_share = settings.slow_start_from
        self._fall_multiple = settings.fall_multiple
        self._span_ms = settings.overload_for or RATE_MS
        self._warm_keys = settings.warm_keys
        for server in self._endpoints.servers.values():
            # A server that the new settings put into slow start must not be charged for earlier attempts.
            server.budget = max(0.0, server.budget)

    def capacity_share(self, now: float, server: Server) -> float:
        """Return the share of its full capacity that a server has at least at `now`, from 0 to 1."""
        if server.started <= 0.0 or self._warm_up_ms <= 0.0:
            return 1.0
        age_ms = max(0.0, now - server.started)
        if age_ms >= self._warm_up_ms:
            return 1.0
        start_share = self._start_share
        return max(MIN_CAPACITY_SHARE, start_share + (1.0 - start_share) * age_ms / self._warm_up_ms)

    def has_budget(self, now: float, server: Server) -> bool:
        """Update the budget of a server; return whether it allows one more attempt from this sidecar.

        Sampling by the capacity share protects a server only while other servers can be sampled. The budget
        protects it after a mass restart, or if the other servers drain or are ejected. Each sidecar allows
        its own part, which is its send rate divided by the recent number of servers. The price is that some
        requests are refused when a fleet is scaled down on purpose.
        """
        capacity_share = self.capacity_share(now, server)
        if capacity_share >= 1.0:
            return True
        server_share = capacity_share * min(MAX_SPEED, server.kind_pace.speed) * self._warmed_up_share(server)
        per_ms = self._wanted_sends_per_ms(now) * server_share * self._fall_multiple * BUDGET_SHARE
        server.budget = max(0.0, server.budget) + per_ms * (now - server.budget_at)
        server.budget_at = now
        # Attempts that were not used within `_span_ms` expire; otherwise hundreds of sidecars would save up
        # one attempt each. Only whole attempts expire, because dropping fractions would make the sum over all
        # sidecars too small.
        server.budget -= max(0, math.floor(server.budget - per_ms * self._span_ms))
        return server.budget >= 1.0

    def _warmed_up_share(self, server: Server) -> float:
        """Return the share of this sidecar's attempts that the server would get if it were warmed up."""
        endpoints = self._endpoints
        # If the server is in this sidecar's subset, only the sidecars with the server in their subset send to
        # it. If it is not, and with warm keys, all sidecars do.
        steered = self._zones.active or self._steering.is_active
        ring = endpoints.group_members(server.group(ZONE)) if steered else endpoints.ring
        reach = len(endpoints.ring) if self._warm_keys else endpoints.sampling_reach()
        sender_share = min(1.0, reach / max(1, len(endpoints.ring))) if server in ring[:reach] else 1.0
        return max(
            1.0 / (endpoints.recent_max_servers * sender_share),
            self._steering.share_per_server(server.zone),
        )

    def _wanted_sends_per_ms(self, now: float) -> float:
        """Return the attempts per millisecond that this sidecar would send without slow start.

        Requests refused for lack of a server count instead, with `REFUSED_WEIGHT`, if this gives a higher
        rate, because a sidecar that starts while all servers are warming up has sent nothing yet.
        """
        decay = math.exp((self._refused_before_at - now) / RATE_MS)
        self._refused_before = self.refused_requests - (self.refused_requests - self._refused_before) * decay
        self._refused_before_at = now
        return self._rate.sends_per_ms(now, REFUSED_WEIGHT * (self.refused_requests - self._refused_before))
