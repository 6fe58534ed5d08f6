"""Records that the balancer keeps of servers, attempts, requests and queues of idempotency keys."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from brassfall.balancer.model import CONNECT_FAILED, ERROR, OK, REJECTED, RESET, TIMEOUT, EndpointEntry
from brassfall.balancer.pace import Pace
from brassfall.balancer.settings import ZONE, KeyScope, Profile, Settings

HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2^64 divided by the golden ratio: spreads low bits to higher ones
HASH_MASK = 0xFFFFFFFFFFFFFFFF  # Mask of the lowest 64 bits, to which hashes are limited

# Outcomes that tell something about a server or the service; a cancelled or unsent attempt tells nothing.
EVIDENCE = frozenset((OK, ERROR, REJECTED, TIMEOUT, CONNECT_FAILED, RESET))

Group = tuple[KeyScope, int]  # Identifies the servers of one zone or one cell, by its number


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows about one server; times are in milliseconds of the events' clock."""

    name: str
    salt: int  # Hash of the server's name, which makes `rank` differ between servers
    kind_pace: Pace  # Pace of all servers on this kind of machine
    gone_at: float  # When the server last became unusable; before that, when it was first listed
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started: float = 0.0  # Start time of the server; 0 means long ago
    usable: bool = True  # True if the endpoint list has the server as active
    in_flight: int = 0  # Number of this sidecar's own attempts in flight at the server
    outstanding: dict[Attempt, None] = field(default_factory=dict)  # Attempts that may stall, oldest first
    consecutive_failures: int = 0
    consecutive_rejections: int = 0
    answered_at: float = -math.inf
    fault_share: float = 0.0  # Moving average of the share of attempts that were faults of the server
    ejected_until: float = 0.0
    reported_load: float = 0.0  # Requests in flight at the server, according to its newest load report
    mean_reported_load: float = 0.0  # Moving average of `reported_load`
    reported_at: float = -math.inf
    pace: Pace = field(default_factory=Pace)
    closings_left: int = 0  # How many more times the idle connections are closed while the server drains
    idle_connections: int = 0  # Estimated number of open connections without a request
    used_at: float = 0.0  # Time of the last send to the server or outcome from it; 0 before the first
    budget: float = 0.0  # Number of sends that the server may receive during slow start
    budget_at: float = 0.0  # When `budget` was last updated

    def update(self, entry: EndpointEntry) -> None:
        """Copy the properties of the server from its entry in the endpoint list."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.weight = entry.weight if 0.0 < entry.weight < math.inf else 1.0
        self.started = entry.started if math.isfinite(entry.started) else 0.0
        self.usable = entry.state == "active"

    def rank(self, key_hash: int) -> float:
        """Return the rank of the server in the rendezvous order of an idempotency key, lowest first.

        Servers with a larger weight or on faster machines get low ranks more often.
        """
        uniform = ((key_hash ^ self.salt) * HASH_MULTIPLIER & HASH_MASK | 1) / HASH_MASK
        return -math.log(uniform) / (self.weight * self.kind_pace.speed)

    def group(self, scope: KeyScope) -> Group:
        """Return the zone or the cell, depending on `scope`, that the server currently belongs to."""
        return scope, self.zone if scope is ZONE else self.cell


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to serve a request, which was sent to one server."""

    server: Server
    sent_at: float
    stalls_at: float  # Time from which the server counts as possibly hung
    idle_for: float  # Milliseconds since the server was last used; 0 if it was in use or never used before
    group: Group  # Zone or cell of the server at the send; it may come back in another one
    outstanding: bool = True  # True while the attempt is in flight and its outcome is unknown
    may_have_run: bool = True
    new_connection: bool = False  # True if the attempt had to open a connection
    # True if the server is not at fault: its connection was dropped while idle, or nothing was sent to it.
    excused: bool = False
    blamed: bool = False  # True if a fault was counted when the attempt reached its latency objective
    answering: bool = False  # True if the answer has started to arrive


@dataclass(slots=True, eq=False)
class KeyQueue:
    """Queue of the requests with one idempotency key, which run one at a time in order of arrival."""

    requests: deque[Request] = field(default_factory=deque)
    paused_until: float = -math.inf  # Time until which an earlier attempt with this key may still be running
    advancing: bool = False  # True while the next request is being started

    def next_ready(self, now: float) -> Request | None:
        """Drop finished requests at the head of the queue; return the first one left if it may start now."""
        requests = self.requests
        while requests and requests[0].ended and requests[0].outstanding == 0:
            requests.popleft()
        return requests[0] if self.first_not_started and now >= self.paused_until else None

    @property
    def first_not_started(self) -> bool:
        """True if there is a first request and it has not started yet."""
        return bool(self.requests) and not (self.requests[0].ended or self.requests[0].attempts)

    def may_start(self, now: float, request: Request) -> bool:
        """Return whether this request is the first of the queue and the queue is not paused."""
        return self.requests[0] is request and now >= self.paused_until

    def pause(self, until: float) -> None:
        """Start no request before the time `until`, because an attempt with this key may still be running."""
        self.paused_until = until


@dataclass(slots=True, eq=False)
class Request:
    """A client's request, from its arrival until the outcome of its last attempt."""

    id: int
    request_class: int
    key: int | None
    profile: Profile
    limits: Settings  # The settings in force when the request arrived
    arrived_at: float
    give_up_at: float
    tenant: int = 0
    work: float = 1.0
    work_known: bool = False  # True if the client stated the work
    over_quota: bool = False  # True if the request counts as exceeding the quota of its tenant
    queue: KeyQueue | None = None  # Queue of the idempotency key; None if the class is not ordered
    large: bool = False  # True if the body still arrives after the request was sent
    body_forwarded: bool = False  # True if more of the body was forwarded than is buffered
    attempts: list[Attempt] = field(default_factory=list)
    outstanding: int = 0  # Number of attempts in flight
    ended: bool = False

    def useful_until(self) -> float:
        """Return the time after which an answer is of no use to the client."""
        if self.profile.late_weight > 0.0:
            return self.give_up_at
        return min(self.give_up_at, self.arrived_at + self.profile.objective)

    def binding_attempt(self) -> Attempt | None:
        """Return the first attempt that may have run, or None; later attempts have to go to its group."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None

    def attempt(self, index: int) -> Attempt | None:
        """Return the attempt with this index, or None if there is none."""
        return self.attempts[index] if 0 <= index < len(self.attempts) else None
