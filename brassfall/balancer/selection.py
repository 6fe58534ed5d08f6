"""Selection of a server: a few candidates are sampled by their capacity, and the least loaded is chosen."""

from __future__ import annotations

from dataclasses import dataclass

from brassfall.balancer.components import Components
from brassfall.balancer.records import HASH_MASK, HASH_MULTIPLIER, Attempt, Request, Server
from brassfall.balancer.retries import is_repeatable, may_attempt, may_receive
from brassfall.balancer.settings import ALL, KEYED, ZONE, Settings
from brassfall.balancer.slow_start import MAX_SPEED

CANDIDATES = 3  # Number of candidates for one request
SAMPLES = 16  # Largest number of servers sampled for one request
WIDE_SAMPLES = 4  # Number of the last samples, which are taken from all servers instead of the subset

# The unit of all loads is one request in flight at a server.

# Load of one of this sidecar's own attempts in flight, relative to one reported request. It is above 1
# because the other sidecars decide in the same way.
OWN_WEIGHT = 4.0
# Load of a server that always fails, which decides between servers without requests in flight.
FAULT_LOAD = 8.0
STALL_LOAD = 8.0  # Load of a server with an attempt that may hang

# While new connections fail, servers without an idle connection count as more loaded than others.

# Share of failing new connections without effect; a single crash can cause as much.
MIN_CONNECT_FAILURES = 0.3
CONNECT_LOAD = 30.0  # Load of a server without an idle connection if all new connections fail
CONNECT_CANDIDATES = 12  # Number of additional candidates if all new connections fail

# Smallest remaining time with which a request explores a zone with a low share, in multiples of the average
# time of an answer.
MIN_EXPLORE_ANSWERS = 4.0


@dataclass(slots=True)
class Search:
    """State of one search for the candidates of a request."""

    now: float
    request: Request
    binding: Attempt | None  # First attempt of the request that may have run, or None
    may_send: bool  # True if the request may be sent to any server now
    # Servers of earlier attempts, except attempts that failed without their fault.
    tried_servers: list[Server]
    max_candidates: float  # Number of candidates after which the search ends
    # Random number for `Steering.is_readmitted`; 0 if no server is ramping up after an exclusion.
    readmission_chance: float = 0.0


class Selector:
    """Chooser of the candidates for a request, and of the least loaded one among them."""

    __slots__ = (
        "_affinity",
        "_ejector",
        "_endpoints",
        "_overload",
        "_paces",
        "_rng",
        "_slow_start",
        "_steering",
        "_warm_keys",
        "_zones",
    )

    def __init__(self, settings: Settings, components: Components) -> None:
        """Create the selector for the components of one balancer."""
        self._rng = components.rng
        self._endpoints = components.endpoints
        self._zones = components.zone_spillover
        self._steering = components.steering
        self._slow_start = components.slow_start
        self._ejector = components.ejector
        self._overload = components.overload
        self._paces = components.pace_tracker
        self._affinity = components.affinity
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply new settings from now on."""
        self._warm_keys = settings.warm_keys

    # --- load ----------------------------------------------------------------

    def least_loaded(self, now: float, candidates: list[Server]) -> Server:
        """Return the least loaded candidate, or the first of several; `candidates` must not be empty."""
        if len(candidates) == 1:
            return candidates[0]
        return min(candidates, key=lambda server: self.load(now, server))

    def load(self, now: float, server: Server) -> float:
        """Return the load of a server relative to its capacity.

        The load consists of this sidecar's attempts in flight, the reported requests, faults, stalled
        attempts and failing connections.
        """
        load = server.in_flight * OWN_WEIGHT + server.fault_share * FAULT_LOAD
        overload = self._overload
        if overload.has_load_reports:
            load += overload.assumed_load(server)
            load += overload.reported_load(now, server)
        if server.outstanding and now >= next(iter(server.outstanding)).stalls_at:
            load += STALL_LOAD
        if not server.idle_connections:
            load += CONNECT_LOAD * max(0.0, self._ejector.connect_failure_share - MIN_CONNECT_FAILURES)
        # Sampling and the budget already allow for slow start. If the load did as well, servers in slow start
        # would stay idle.
        return load / (server.weight * min(server.kind_pace.speed * server.pace.speed, MAX_SPEED))

    # --- candidates ----------------------------------------------------------

    def candidates(self, now: float, request: Request) -> list[Server]:
        """Return servers that may receive the request, or an empty list if no server can take it."""
        search = self._new_search(now, request)
        return self._plan_candidates(search) if self._steering.is_active else self._sample_candidates(search)

    def _new_search(self, now: float, request: Request) -> Search:
        binding = request.binding_attempt()
        failing = max(0.0, self._ejector.connect_failure_share - MIN_CONNECT_FAILURES)
        max_candidates = CANDIDATES + CONNECT_CANDIDATES * failing
        may_send = may_attempt(now, request, binding)
        tried = [attempt.server for attempt in request.attempts if not attempt.excused]
        return Search(now, request, binding, may_send, tried, max_candidates)

    def _plan_candidates(self, search: Search) -> list[Server]:
        """Return candidates from the zone that the plan selects, or from all zones if that zone has none."""
        now, request = search.now, search.request
        found: list[Server] = []
        search.readmission_chance = self._steering.draw_readmission_chance(now)
        if not request.attempts and not (self._warm_keys and request.key is not None):
            zone = self._plan_zone(search)
            found = [] if zone is None else self._sample_candidates(search, zone)
        if search.readmission_chance and not (found := found or self._sample_candidates(search)):
            found = self._readmitted_candidates(search)
        search.readmission_chance = 0.0
        return found or self._sample_candidates(search)

    def _plan_zone(self, search: Search) -> int | None:
        """Return the zone that the plan selects for a first attempt, or None to sample without the plan."""
        now, request, steer = search.now, search.request, self._steering.steer
        explore = (
            steer.explore > 0.0
            and self._rng.random() < steer.explore * steer.weight
            and not request.large
            and is_repeatable(request.profile)
            and self._has_time_to_explore(search)
        )
        return self._steering.sample_zone(
            now, request.request_class, request.tenant, self._ejector.ejected_zones(now), explore=explore
        )

    def _has_time_to_explore(self, search: Search) -> bool:
        return search.request.useful_until() - search.now > MIN_EXPLORE_ANSWERS * self._paces.usual_ms()

    def _readmitted_candidates(self, search: Search) -> list[Server]:
        """Return candidates from all servers, since the whole subset may be ramping up after an exclusion."""
        now, request = search.now, search.request
        tried = [attempt.server for attempt in request.attempts]
        readmitted = [
            server
            for server in self._endpoints.ring
            if server not in tried
            and self._steering.is_readmitted(now, search.readmission_chance, server.name, server.zone)
            and self._accepts_sends(now, server)
            and self._may_receive(search, server)
        ]
        return self._rng.sample(readmitted, min(CANDIDATES, len(readmitted)))

    def _sample_candidates(self, search: Search, zone: int | None = None) -> list[Server]:
        """Return a few random servers, of one zone if given, sampled in proportion to their capacity."""
        request = search.request
        if (
            self._warm_keys
            and request.key is not None
            and (found := self._key_candidates(search, request.key))
        ):
            return found
        found = []
        declined: dict[Server, None] = {}
        if ring := self._sampling_ring(search, zone):
            found, declined = self._sample_ring(search, ring, anywhere=zone is None)
        if not found and zone is None and not search.readmission_chance:
            # A request must not be refused only because servers were declined for their low share of the
            # capacity: after slow answers, all servers may seem slow.
            now = search.now
            warm = (server for server in declined if self._slow_start.capacity_share(now, server) >= 1.0)
            found = [server for server in warm if self._can_take(search, server, search.tried_servers)][
                :CANDIDATES
            ]
        return found

    def _sampling_ring(self, search: Search, zone: int | None) -> list[Server]:
        """Return the servers that the candidates are sampled from, in ring order."""
        profile, endpoints, binding = search.request.profile, self._endpoints, search.binding
        if binding is not None and profile.semantics is KEYED and profile.key_scope is not ALL:
            # Only the group of the first attempt may receive a retry.
            return endpoints.group_members(binding.group)
        if zone is not None:
            return endpoints.group_members((ZONE, zone))
        if self._zones.active and endpoints.local_servers and endpoints.remote_servers:
            crosses = self._rng.random() < self._zones.spill_shares[search.request.request_class]
            return endpoints.remote_servers if crosses else endpoints.local_servers
        return endpoints.ring

    def _sample_ring(
        self, search: Search, ring: list[Server], *, anywhere: bool
    ) -> tuple[list[Server], dict[Server, None]]:
        """Return candidates from the subset of a ring, and the servers declined only for their low share.

        The last `WIDE_SAMPLES` samples are taken from all servers if the request may go `anywhere`.
        """
        now, random_, capacity_share = search.now, self._rng.random, self._slow_start.capacity_share
        found: list[Server] = []
        declined: dict[Server, None] = {}
        max_capacity = self._endpoints.max_weight * MAX_SPEED
        reach = min(self._endpoints.sampling_reach(len(search.request.attempts)), len(ring))
        for sample in range(SAMPLES):
            if sample == SAMPLES - WIDE_SAMPLES and search.binding is None:
                if found or not anywhere:
                    break
                ring, reach = self._endpoints.ring, len(self._endpoints.ring)
            server = ring[int(random_() * reach)]
            speed = server.kind_pace.speed * server.pace.speed
            share = server.weight * min(speed, MAX_SPEED) * capacity_share(now, server) / max_capacity
            if share < 1.0 and random_() >= share:
                declined[server] = None
                continue
            if server in found or not self._can_take(search, server, search.tried_servers):
                continue
            found.append(server)
            if len(found) >= search.max_candidates:
                break
        return found, declined

    def _key_candidates(self, search: Search, key: int) -> list[Server]:
        """Return the first servers in the rendezvous order of a key; a popular key gets more servers.

        All sidecars choose the same few candidates for a key. A server that is slow or warming up leaves a
        part of its keys to the next servers in the order, because hashing alone would send an overloaded
        server as many requests as the others.
        """
        now, ring = search.now, self._endpoints.ring
        max_servers = self._affinity.server_count(key, len(ring))
        key_hash = key * HASH_MULTIPLIER & HASH_MASK
        tried = [attempt.server for attempt in search.request.attempts]
        found: list[Server] = []
        for server in sorted(ring, key=lambda server: server.rank(key_hash)):
            capacity_share = self._slow_start.capacity_share(now, server)
            if capacity_share < 1.0 and search.request.attempts:
                continue
            fitness = capacity_share * server.pace.speed
            if fitness < 1.0 and self._rng.random() >= fitness:
                continue
            if not self._can_take(search, server, tried):
                continue
            found.append(server)
            if len(found) >= max_servers:
                break
        # The order is random because the first of equally loaded servers is chosen, and usually this sidecar
        # has no attempts in flight at any of these servers.
        self._rng.shuffle(found)
        return found

    # --- one server ----------------------------------------------------------

    def _can_take(self, search: Search, server: Server, tried: list[Server]) -> bool:
        """Return whether a sampled server can take the request; the servers in `tried` cannot."""
        if server in tried:
            return False
        chance, now = search.readmission_chance, search.now
        if chance and not self._steering.is_readmitted(now, chance, server.name, server.zone):
            return False
        return self._accepts_sends(now, server) and self._may_receive(search, server)

    def _accepts_sends(self, now: float, server: Server) -> bool:
        """Return whether a server may receive any request; one that has failed gets one request at a time."""
        if now < server.ejected_until or not self._slow_start.has_budget(now, server):
            return False
        return server.consecutive_failures == 0 or server.in_flight == 0

    def _may_receive(self, search: Search, server: Server) -> bool:
        """Return whether the rules for retries and the overrides allow a server to receive the request."""
        if not search.may_send:
            return False
        pins = self._steering.steer.pins  # Only one zone may serve the requests of a pinned tenant
        if pins and pins.get(search.request.tenant, server.zone) != server.zone:
            return False
        return may_receive(search.request, search.binding, server)
