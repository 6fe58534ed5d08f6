"""Candidates for a request: a few servers sampled at random by their capacity, and the load of each."""

from __future__ import annotations

from dataclasses import dataclass

from brassfall.balancer.components import Components
from brassfall.balancer.records import HASH_MASK, HASH_MULTIPLIER, Attempt, Request, Server
from brassfall.balancer.retries import may_attempt, may_have, repeatable
from brassfall.balancer.settings import ALL, KEYED, ZONE, Settings
from brassfall.balancer.slow_start import MAX_SPEED

CANDIDATES = 3
SAMPLES = 16  # at most, for one request
WIDE_SAMPLES = 4  # the last of them are from all servers and not from the subset alone

# Loads are in requests in flight at a server.
OWN_WEIGHT = 4.0  # of an own request in flight against a reported one: other sidecars decide in the same way
FAULT_LOAD = 8.0  # of a server that always fails; it decides between servers without requests in flight
STALL_LOAD = 8.0  # of an attempt that may hang

# Where new connections fail, servers without an idle connection count as more loaded.
MIN_CONNECT_FAILURES = 0.3  # share of new connections that fail; a single crash causes as much
CONNECT_LOAD = 30.0  # if all of them fail
CONNECT_CANDIDATES = 12  # additional candidates if all of them fail

MIN_EXPLORE_ANSWERS = (
    4.0  # a request explores a zone of low share if it has the time of this many usual answers
)


@dataclass(slots=True)
class Search:
    """One search for the candidates of a request."""

    now: float
    request: Request
    bound: Attempt | None  # the first attempt that may have run
    sendable: bool  # True if any server may have the request
    tried: list[Server]  # the servers of earlier attempts, without those that were not at fault
    wanted: float  # number of candidates
    chance: float = 0.0  # for `Steering.readmits`, while servers ramp up after an exclusion


class Selector:
    """The choice of candidates for a request, and of the least loaded among them."""

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
        """Use the parts of one balancer."""
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
        """Apply other settings from now on."""
        self._warm_keys = settings.warm_keys

    # --- load ----------------------------------------------------------------

    def least_loaded(self, now: float, candidates: list[Server]) -> Server:
        """Return the least loaded candidate, the first of equals; there has to be one."""
        if len(candidates) == 1:
            return candidates[0]
        return min(candidates, key=lambda server: self.load(now, server))

    def load(self, now: float, server: Server) -> float:
        """Return a server's load: own requests in flight, reported ones and faults, per capacity."""
        load = server.in_flight * OWN_WEIGHT + server.fault_share * FAULT_LOAD
        overload = self._overload
        if overload.reports:
            load += overload.assumed_load(server)
            load += overload.reported_load(now, server)
        if server.outstanding and now >= next(iter(server.outstanding)).stalls_at:
            load += STALL_LOAD
        if not server.idle_connections:
            load += CONNECT_LOAD * max(0.0, self._ejector.connect_failures - MIN_CONNECT_FAILURES)
        # Sampling and the budget allow for slow start. Counted here as well it would leave such servers idle.
        return load / (server.weight * min(server.kind_pace.speed * server.pace.speed, MAX_SPEED))

    # --- candidates ----------------------------------------------------------

    def candidates(self, now: float, request: Request) -> list[Server]:
        """Return servers that may each have the request; none if no server can take it."""
        search = self._search(now, request)
        return self._steered(search) if self._steering.on else self._sampled(search)

    def _search(self, now: float, request: Request) -> Search:
        bound = request.bound()
        failing = max(0.0, self._ejector.connect_failures - MIN_CONNECT_FAILURES)
        wanted = CANDIDATES + CONNECT_CANDIDATES * failing
        sendable = may_attempt(now, request, bound)
        tried = [attempt.server for attempt in request.attempts if not attempt.excused]
        return Search(now, request, bound, sendable, tried, wanted)

    def _steered(self, search: Search) -> list[Server]:
        """Return candidates from the zone that the plan samples, or from all if that has none."""
        now, request = search.now, search.request
        found: list[Server] = []
        search.chance = self._steering.settle(now)
        if not request.attempts and not (self._warm_keys and request.key is not None):
            zone = self._steered_zone(search)
            found = [] if zone is None else self._sampled(search, zone)
        if search.chance and not (found := found or self._sampled(search)):
            found = self._readmitted(search)
        search.chance = 0.0
        return found or self._sampled(search)

    def _steered_zone(self, search: Search) -> int | None:
        """Return the zone that the plan samples for a first attempt, or None to sample without a plan."""
        now, request, steer = search.now, search.request, self._steering.steer
        explore = (
            steer.explore > 0.0
            and self._rng.random() < steer.explore * steer.weight
            and not request.large
            and repeatable(request.profile)
            and self._has_time_to_explore(search)
        )
        return self._steering.zone(
            now, request.request_class, request.tenant, self._ejector.zones(now), explore=explore
        )

    def _has_time_to_explore(self, search: Search) -> bool:
        return search.request.useful_until() - search.now > MIN_EXPLORE_ANSWERS * self._paces.usual_ms()

    def _readmitted(self, search: Search) -> list[Server]:
        """Return candidates from all servers: the whole subset may be ramping up after an exclusion."""
        now, request = search.now, search.request
        tried = [attempt.server for attempt in request.attempts]
        able = [
            server
            for server in self._endpoints.ring
            if server not in tried
            and self._steering.readmits(now, search.chance, server.name, server.zone)
            and self._is_fit(now, server)
            and self._may_have(search, server)
        ]
        return self._rng.sample(able, min(CANDIDATES, len(able)))

    def _sampled(self, search: Search, zone: int | None = None) -> list[Server]:
        """Return a few random servers, of one zone if given, each as likely as its share of the capacity."""
        request = search.request
        if self._warm_keys and request.key is not None and (found := self._for_key(search, request.key)):
            return found
        found = []
        declined: dict[Server, None] = {}
        if ring := self._ring(search, zone):
            found, declined = self._sample(search, ring, anywhere=zone is None)
        if not found and zone is None and not search.chance:
            # A low share alone must not refuse a request: after slow answers all servers may seem slow.
            now = search.now
            warm = (server for server in declined if self._slow_start.warmth(now, server) >= 1.0)
            found = [server for server in warm if self._can_take(search, server, search.tried)][:CANDIDATES]
        return found

    def _ring(self, search: Search, zone: int | None) -> list[Server]:
        """Return the servers to sample from."""
        profile, endpoints, bound = search.request.profile, self._endpoints, search.bound
        if bound is not None and profile.semantics is KEYED and profile.group is not ALL:
            return endpoints.members(bound.group)  # no other group may have a retry
        if zone is not None:
            return endpoints.members((ZONE, zone))
        if self._zones.active and endpoints.near and endpoints.far:
            crosses = self._rng.random() < self._zones.spill_shares[search.request.request_class]
            return endpoints.far if crosses else endpoints.near
        return endpoints.ring

    def _sample(
        self, search: Search, ring: list[Server], *, anywhere: bool
    ) -> tuple[list[Server], dict[Server, None]]:
        """Return candidates from the subset of a ring, and the servers passed over for their share alone.

        The last samples are from all servers if the request may go `anywhere`.
        """
        now, random_, warmth = search.now, self._rng.random, self._slow_start.warmth
        found: list[Server] = []
        declined: dict[Server, None] = {}
        most = self._endpoints.top_weight * MAX_SPEED
        reach = min(self._endpoints.reach(len(search.request.attempts)), len(ring))
        for sample in range(SAMPLES):
            if sample == SAMPLES - WIDE_SAMPLES and search.bound is None:
                if found or not anywhere:
                    break
                ring, reach = self._endpoints.ring, len(self._endpoints.ring)
            server = ring[int(random_() * reach)]
            speed = server.kind_pace.speed * server.pace.speed
            share = server.weight * min(speed, MAX_SPEED) * warmth(now, server) / most
            if share < 1.0 and random_() >= share:
                declined[server] = None
                continue
            if server in found or not self._can_take(search, server, search.tried):
                continue
            found.append(server)
            if len(found) >= search.wanted:
                break
        return found, declined

    def _for_key(self, search: Search, key: int) -> list[Server]:
        """Return the first servers in a key's rendezvous order, more of them for a popular key.

        All sidecars get the same few candidates for a key. A server that is slow or warming up leaves a part
        of its keys to the next ones: hashing alone would send an overloaded server as much as the others.
        """
        now, ring = search.now, self._endpoints.ring
        width = self._affinity.width(key, len(ring))
        mixed = key * HASH_MULTIPLIER & HASH_MASK
        tried = [attempt.server for attempt in search.request.attempts]
        found: list[Server] = []
        for server in sorted(ring, key=lambda server: server.rank(mixed)):
            warmth = self._slow_start.warmth(now, server)
            if warmth < 1.0 and search.request.attempts:
                continue
            fitness = warmth * server.pace.speed
            if fitness < 1.0 and self._rng.random() >= fitness:
                continue
            if not self._can_take(search, server, tried):
                continue
            found.append(server)
            if len(found) >= width:
                break
        # Mostly no own requests are in flight, and the first of equally loaded servers is chosen.
        self._rng.shuffle(found)
        return found

    # --- one server ----------------------------------------------------------

    def _can_take(self, search: Search, server: Server, tried: list[Server]) -> bool:
        """Return whether a sampled server can take the request; those `tried` may not."""
        if server in tried:
            return False
        chance, now = search.chance, search.now
        if chance and not self._steering.readmits(now, chance, server.name, server.zone):
            return False
        return self._is_fit(now, server) and self._may_have(search, server)

    def _is_fit(self, now: float, server: Server) -> bool:
        """Return whether a server may be sent to; one that has failed gets one request at a time."""
        if now < server.ejected_until or not self._slow_start.has_budget(now, server):
            return False
        return server.consecutive_failures == 0 or server.in_flight == 0

    def _may_have(self, search: Search, server: Server) -> bool:
        """Return whether the rules for retries and the overrides allow a server to have the request."""
        if not search.sendable:
            return False
        pins = self._steering.steer.pins  # only one zone may serve a pinned tenant
        if pins and pins.get(search.request.tenant, server.zone) != server.zone:
            return False
        return may_have(search.request, search.bound, server)
