"""What the balancer remembers of servers, attempts and requests: plain records without decisions."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from brassfall.balancer.model import CONNECT_FAILED, ERROR, REJECTED, OK, RESET, TIMEOUT, EndpointEntry
from brassfall.balancer.pace import Pace
from brassfall.balancer.settings import ZONE, KeyScope, Profile, Settings

HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2^64 over the golden ratio: spreads bits upwards
HASH_MASK = 0xFFFFFFFFFFFFFFFF

# Outcomes that say something of a server or of the service; a cancelled or unsent attempt says nothing.
EVIDENCE = frozenset((OK, ERROR, REJECTED, TIMEOUT, CONNECT_FAILED, RESET))

Group = tuple[KeyScope, int]  # the servers of a zone or a cell, by its number


@dataclass(slots=True, eq=False)
class Server:
    """What this balancer knows of one server. Times are of the clock of the events, in milliseconds."""

    name: str
    salt: int  # a hash of the name
    kind_pace: Pace  # of all servers on this kind of machine
    gone_at: float  # when it was last seen to leave the list
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started: float = 0.0  # 0: long ago
    usable: bool = True
    in_flight: int = 0  # this sidecar's own attempts
    outstanding: dict[Attempt, None] = field(default_factory=dict)  # those that may stall, oldest first
    consecutive_failures: int = 0
    consecutive_rejections: int = 0
    answered_at: float = -math.inf
    fault_share: float = 0.0  # fading
    ejected_until: float = 0.0
    reported_load: float = 0.0  # requests in flight there, by the newest load report
    mean_reported_load: float = 0.0
    reported_at: float = -math.inf
    pace: Pace = field(default_factory=Pace)
    closings_left: int = 0  # how often its idle connections are still to be closed while it drains
    idle_connections: int = 0  # thought to be open and unused
    used_at: float = 0.0  # last send or outcome there; 0 before the first
    budget: float = 0.0  # sends that it may have while in slow start
    budget_at: float = 0.0  # when the budget was last brought up to date

    def update(self, entry: EndpointEntry) -> None:
        """Take over what the endpoint list says of it."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.weight = entry.weight if 0.0 < entry.weight < math.inf else 1.0
        self.started = entry.started if math.isfinite(entry.started) else 0.0
        self.usable = entry.state == "active"

    def rank(self, mixed: int) -> float:
        """Return its place in a key's rendezvous order, lowest first, weighted by size and kind."""
        uniform = ((mixed ^ self.salt) * HASH_MULTIPLIER & HASH_MASK | 1) / HASH_MASK
        return -math.log(uniform) / (self.weight * self.kind_pace.speed)

    def group(self, scope: KeyScope) -> Group:
        """Return the zone or the cell that it is in now."""
        return scope, self.zone if scope is ZONE else self.cell


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request."""

    server: Server
    sent_at: float
    stalls_at: float  # from then on its server may be hung
    idle_for: float  # how long the server was unused before it, in milliseconds; 0 for its first attempt
    group: Group  # of the server at the time of the send; the server may come back in another one
    outstanding: bool = True  # in flight, its outcome is not known yet
    may_have_run: bool = True
    new_connection: bool = False  # True if it had to open one
    excused: bool = False  # its server is not at fault: a dropped connection, or never sent
    blamed: bool = False  # True if its server was blamed already, at its objective
    answering: bool = False  # True if its answer has begun


@dataclass(slots=True, eq=False)
class KeyQueue:
    """The requests of one idempotency key that run one at a time, in the order of their arrival."""

    requests: deque[Request] = field(default_factory=deque)
    paused_until: float = -math.inf  # an attempt with this key may still be running
    advancing: bool = False  # True while its next request is being started

    def next_ready(self, now: float) -> Request | None:
        """Return the request whose turn it is, if it may start now; drop finished ones before it."""
        requests = self.requests
        while requests and requests[0].ended and requests[0].outstanding == 0:
            requests.popleft()
        return requests[0] if self.waits and now >= self.paused_until else None

    @property
    def waits(self) -> bool:
        """True if the first request has not started yet."""
        return bool(self.requests) and not (self.requests[0].ended or self.requests[0].attempts)

    def may_start(self, now: float, request: Request) -> bool:
        """Return whether it is this request's turn."""
        return self.requests[0] is request and now >= self.paused_until

    def pause(self, until: float) -> None:
        """Hold back the next request: an attempt with this key may still be running."""
        self.paused_until = until


@dataclass(slots=True, eq=False)
class Request:
    """A client's request from its arrival until its last outcome."""

    id: int
    request_class: int
    key: int | None
    profile: Profile
    limits: Settings  # those in force at its arrival
    arrived_at: float
    give_up_at: float
    tenant: int = 0
    work: float = 1.0
    work_known: bool = False  # True if the client named it
    over_quota: bool = False
    queue: KeyQueue | None = None  # where requests of its key run one at a time
    large: bool = False  # its body is still arriving after the send
    body_forwarded: bool = False  # more of its body was forwarded than is buffered
    attempts: list[Attempt] = field(default_factory=list)
    outstanding: int = 0  # attempts in flight
    ended: bool = False

    def useful_until(self) -> float:
        """Return the time after which an answer earns nothing."""
        if self.profile.late_weight > 0.0:
            return self.give_up_at
        return min(self.give_up_at, self.arrived_at + self.profile.objective)

    def bound(self) -> Attempt | None:
        """Return the first attempt that may have run: it binds all that follow."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None

    def attempt(self, number: int) -> Attempt | None:
        """Return an attempt by its place among the attempts, or None if there is none."""
        return self.attempts[number] if 0 <= number < len(self.attempts) else None
