"""The known servers and those that this sidecar sends to: its ring, its subset and the groups of servers."""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from hashlib import blake2b

from brassfall.balancer.model import EndpointEntry, SteeringDirectives
from brassfall.balancer.pace import PaceTracker
from brassfall.balancer.records import Group, Server
from brassfall.balancer.settings import Settings

# Number of servers in the subset that a sidecar sends to. A small subset needs few connections and gives
# enough observations of each server.
SUBSET_SIZE = 8
MIN_PRICED_SUBSET_SIZE = 4  # Number of servers in the subset if open connections have a price
SERVERS_PER_REQUEST_IN_FLIGHT = 2  # Number of servers by which each request in flight widens the subset
GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0  # Factor that spreads the sidecars' start positions over the ring
FORGET_MS = 600000.0  # Time in milliseconds after which the record of a server that left the list is dropped
MAX_SERVERS_MEMORY = 0.98  # Factor by which the recent maximum number of servers decays with each list


class Endpoints:
    """All known servers, and their order on the ring of this sidecar."""

    __slots__ = (
        "_excluded",
        "_groups",
        "_locality",
        "_sidecar",
        "subset_size",
        "remote_servers",
        "in_flight",
        "recent_max_servers",
        "local_servers",
        "ring",
        "servers",
        "max_weight",
    )

    def __init__(self, settings: Settings) -> None:
        """Create the collection without any server."""
        self.servers: dict[str, Server] = {}
        self.ring: list[Server] = []  # The usable servers, beginning at this sidecar's start position
        self.local_servers: list[Server] = []  # Servers on the ring in this sidecar's own zone
        self.remote_servers: list[Server] = []  # Servers on the ring in other zones
        self.max_weight = 1.0  # Largest weight of a server on the ring
        self.recent_max_servers = 1.0  # Decaying maximum of the number of servers on the ring
        self.in_flight = 0  # Number of this sidecar's own attempts in flight at all servers
        self._groups: dict[Group, list[Server]] = {}
        self._excluded: dict[Server, None] = {}
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply new settings from now on."""
        self._sidecar = settings.me
        self._locality = settings.locality
        self.subset_size = MIN_PRICED_SUBSET_SIZE if settings.prices.get("Connection") else SUBSET_SIZE

    def sampling_reach(self, attempts: int = 0) -> int:
        """Return from how many servers of the ring a request is sampled after `attempts` earlier attempts."""
        reach = self.subset_size * (1 + attempts)
        if self.subset_size > MIN_PRICED_SUBSET_SIZE:
            return reach + SERVERS_PER_REQUEST_IN_FLIGHT * self.in_flight
        # Each request in flight needs a connection anyway, and a busy sidecar must not overload a few
        # servers.
        return max(reach, self.in_flight)

    @property
    def known_groups(self) -> Collection[Group]:
        """The groups whose members have been computed since the ring was last rebuilt."""
        return self._groups.keys()

    def group_members(self, group: Group) -> list[Server]:
        """Return the servers of a group on the ring, or its excluded servers if none is on the ring."""
        if group not in self._groups:
            scope, _ = group
            ring = [server for server in self.ring if server.group(scope) == group]
            self._groups[group] = ring or [s for s in self._excluded if s.group(scope) == group]
        return self._groups[group]

    def update_entry(
        self, now: float, entry: EndpointEntry, paces: PaceTracker, rng: random.Random
    ) -> Server:
        """Create or update the server of an entry of the endpoint list, and return the server."""
        server = self.servers.get(entry.server)
        if server is None:
            salt = int.from_bytes(blake2b(entry.server.encode(), digest_size=8).digest())
            server = Server(entry.server, salt, paces.kind_pace(entry.kind), now)
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

    def mark_others_gone(self, now: float, names: Collection[str]) -> list[Server]:
        """Mark all servers except those in `names` as gone; return those that were usable until now."""
        removed = [server for name, server in self.servers.items() if name not in names and server.usable]
        for server in removed:
            server.usable = False
            server.gone_at = now
        return removed

    def forget_gone(self, now: float) -> list[str]:
        """Drop the records of servers that left the list more than `FORGET_MS` ago; return their names."""
        gone = [name for name, server in self.servers.items() if self._may_forget(now, server)]
        for name in gone:
            del self.servers[name]
        return gone

    @staticmethod
    def _may_forget(now: float, server: Server) -> bool:
        return not server.usable and not server.in_flight and now - server.gone_at > FORGET_MS

    def rebuild_ring(self, steer: SteeringDirectives) -> None:
        """Rebuild the ring: the usable servers ordered by name, beginning at this sidecar's start position.

        Servers that have left the list keep their positions, so that a crash changes few subsets. The ring
        mixes the zones, because the traffic of one zone may exceed the capacity of its servers.
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
        # Excluded servers are used if all servers are excluded, or all of the group that a request has to go
        # to.
        self.ring = [server for server in usable if server not in self._excluded] or usable
        self.local_servers = [server for server in self.ring if server.zone == self._locality]
        self.remote_servers = [server for server in self.ring if server.zone != self._locality]
        self._groups = {}
        self.max_weight = max((server.weight for server in self.ring), default=1.0)
        self.recent_max_servers = max(1.0, len(self.ring), MAX_SERVERS_MEMORY * self.recent_max_servers)
