"""The endpoint list and what this sidecar sends to: its ring and subset, the zones and groups of servers."""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from hashlib import blake2b

from brassfall.balancer.model import EndpointEntry, SteeringDirectives
from brassfall.balancer.pace import PaceTracker
from brassfall.balancer.records import Group, Server
from brassfall.balancer.settings import Settings

# A sidecar sends to a few servers: it needs few connections and learns something of each.
SUBSET_SIZE = 8
MIN_PRICED_SUBSET_SIZE = 4  # where open connections have a price
SERVERS_PER_REQUEST_IN_FLIGHT = 2  # by which the subset of a busy sidecar widens
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0  # spreads the sidecars' starting points evenly over the ring
FORGET_MS = 600000.0  # the records of servers that left the list are dropped after this time
MOST_SERVERS_MEMORY = 0.98  # with each list, the largest number of servers fades by this factor


class Endpoints:
    """All known servers, and their order on the ring of this sidecar."""

    __slots__ = (
        "_excluded",
        "_groups",
        "_locality",
        "_sidecar",
        "subset_size",
        "far",
        "in_flight",
        "most_servers",
        "near",
        "ring",
        "servers",
        "top_weight",
    )

    def __init__(self, settings: Settings) -> None:
        """Begin with an empty list."""
        self.servers: dict[str, Server] = {}
        self.ring: list[Server] = []  # the usable servers, from this sidecar's starting point on
        self.near: list[Server] = []  # those of the ring in this sidecar's zone
        self.far: list[Server] = []
        self.top_weight = 1.0  # the largest weight on the ring
        self.most_servers = 1.0  # that were on the ring lately; fades
        self.in_flight = 0  # this sidecar's own attempts, at all servers
        self._groups: dict[Group, list[Server]] = {}
        self._excluded: dict[Server, None] = {}
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply other settings from now on."""
        self._sidecar = settings.me
        self._locality = settings.locality
        self.subset_size = MIN_PRICED_SUBSET_SIZE if settings.prices.get("Connection") else SUBSET_SIZE

    def reach(self, attempts: int = 0) -> int:
        """Return how many servers of the ring a request is sampled from after so many attempts."""
        reach = self.subset_size * (1 + attempts)
        if self.subset_size > MIN_PRICED_SUBSET_SIZE:
            return reach + SERVERS_PER_REQUEST_IN_FLIGHT * self.in_flight
        # Each request in flight has a connection anyway, and a busy sidecar must not overload a few servers.
        return max(reach, self.in_flight)

    @property
    def known_groups(self) -> Collection[Group]:
        """The groups whose members were asked for since the ring was last made."""
        return self._groups.keys()

    def members(self, group: Group) -> list[Server]:
        """Return the servers of a group that are on the ring, or its excluded ones if there are no others."""
        if group not in self._groups:
            scope, _ = group
            ring = [server for server in self.ring if server.group(scope) == group]
            self._groups[group] = ring or [s for s in self._excluded if s.group(scope) == group]
        return self._groups[group]

    def update(self, now: float, entry: EndpointEntry, paces: PaceTracker, rng: random.Random) -> Server:
        """Take over one entry of the list; return its server."""
        server = self.servers.get(entry.server)
        if server is None:
            salt = int.from_bytes(blake2b(entry.server.encode(), digest_size=8).digest())
            server = Server(entry.server, salt, paces.of_kind(entry.kind), now)
            self.servers[entry.server] = server
            server.budget, server.budget_at = rng.random(), now
        elif entry.started != server.started:
            server.consecutive_failures = server.idle_connections = 0
            server.fault_share = server.ejected_until = 0.0
            server.budget, server.budget_at = rng.random(), now
        if server.usable and entry.state != "active":
            server.gone_at = now
        server.update(entry)
        return server

    def remove_others(self, now: float, names: Collection[str]) -> list[Server]:
        """Mark all servers but those named as gone; return the ones that were usable until now."""
        removed = [server for name, server in self.servers.items() if name not in names and server.usable]
        for server in removed:
            server.usable = False
            server.gone_at = now
        return removed

    def forget_gone(self, now: float) -> list[str]:
        """Drop the records of servers that left long ago; return their names."""
        gone = [name for name, server in self.servers.items() if self._forgettable(now, server)]
        for name in gone:
            del self.servers[name]
        return gone

    @staticmethod
    def _forgettable(now: float, server: Server) -> bool:
        return not server.usable and not server.in_flight and now - server.gone_at > FORGET_MS

    def rebuild(self, steer: SteeringDirectives) -> None:
        """Make the ring anew: the usable servers by name, from this sidecar's starting point on.

        Servers that have left keep their places, so a crash changes few subsets. The ring mixes the zones:
        the traffic of one zone may exceed the capacity of its servers.
        """
        ring = [self.servers[name] for name in sorted(self.servers)]
        start = int((self._sidecar * GOLDEN_RATIO) % 1.0 * len(ring))
        usable = [server for server in ring[start:] + ring[:start] if server.usable]
        may_exclude = usable if steer.excludes else []
        self._excluded = {
            server: None
            for server in may_exclude
            if server.zone in steer.excluded_zones or server.name in steer.excluded_servers
        }
        # Excluded servers are used where all are excluded, or all of the group that a request is bound to.
        self.ring = [server for server in usable if server not in self._excluded] or usable
        self.near = [server for server in self.ring if server.zone == self._locality]
        self.far = [server for server in self.ring if server.zone != self._locality]
        self._groups = {}
        self.top_weight = max((server.weight for server in self.ring), default=1.0)
        self.most_servers = max(1.0, len(self.ring), MOST_SERVERS_MEMORY * self.most_servers)
