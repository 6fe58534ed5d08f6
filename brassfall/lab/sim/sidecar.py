"""One sidecar of a simulated fleet: runs the decision module as the real sidecar's driver does.

Events go in, and the actions that come out are scheduled in the world. It owns the timers, the requests,
their attempts and the connections; it decides nothing.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from brassfall.balancer import Balancer, Settings, events, model
from brassfall.balancer.model import (
    ABANDONED,
    CANCELLED,
    OK,
    REJECTED,
    TIMEOUT,
    CancelAttempt,
    CheckServerHealth,
    CloseIdleConnections,
    EndpointEntry,
    FailRequest,
    FetchEndpointList,
    ListForm,
    Outcome,
    RefuseRequest,
    SendAttempt,
    StartTimer,
    TimerToken,
    WatchEndpointList,
    WriteLog,
)
from brassfall.lab.day import Day
from brassfall.lab.ledger import LedgerWriter
from brassfall.lab.models.client import FAILED, REFUSED, SERVED
from brassfall.lab.models.network import Network
from brassfall.lab.sim.parts import Call, Host

Handler = Callable[[float, Any], None]

MARGIN_MS = 8.0  # between the deadline of the real driver and that of its client
PROBE_TIMEOUT_MS = 1000.0


class Request:
    """A request that was received, until its final answer and the outcome of its last attempt."""

    __slots__ = ("number", "call", "give_up_at", "ended", "attempts", "out")

    def __init__(self, number: int, call: Call, give_up_at: float) -> None:
        self.number = number
        self.call = call
        self.give_up_at = give_up_at
        self.ended = False
        self.attempts: list[Attempt] = []
        self.out = 0


class Attempt:
    """One send, until its outcome."""

    __slots__ = ("request", "hop", "server", "sent", "over", "link", "cross", "fresh", "of", "key", "sidecar")

    def __init__(self, sidecar: Sidecar, request: Request, hop: int, server: Host, sent: float) -> None:
        self.sidecar = sidecar
        self.request = request
        self.hop = hop
        self.server = server
        self.sent = sent
        self.over = False
        self.link = -1  # the generation of the server's connections that it uses; -1 before it has one
        self.cross = sidecar.zone != server.zone
        self.fresh = False
        self.of = request.call.id
        self.key = request.call.key


class ProbeResult(NamedTuple):
    """What a health check of a sidecar found."""

    incarnation: int  # of the sidecar
    server: str
    outcome: Outcome
    elapsed: float  # ms


class Pool:
    """The idle connections to one server, by when they were last used."""

    __slots__ = ("link", "idle")

    def __init__(self, link: int) -> None:
        self.link = link
        self.idle: list[float] = []


class Surroundings(ABC):
    """The world of a play, as its sidecars and its list service use it."""

    day: Day
    ledger_writer: LedgerWriter
    network: Network
    servers: dict[str, Host]
    sidecars: list[Sidecar]

    @abstractmethod
    def at(self, when: float, what: Handler, arg: Any) -> None:
        """Schedule a handler with its argument for a time."""

    @abstractmethod
    def unless_over(self, when: float, what: Handler, arg: Any) -> None:
        """Schedule a time limit: the handler is not called if `arg.over` by then."""

    @abstractmethod
    def answered(
        self,
        now: float,
        call: Call,
        status: str,
        retry_after: float = 0.0,
        by: str = "",
        of: str = "",
        *,
        excused: bool = False,
    ) -> None:
        """A client has its answer, or has given up waiting for it."""

    @abstractmethod
    def carry(self, now: float, sidecar: Sidecar, attempt: Attempt) -> None:
        """Bring an attempt to its server, over an idle connection or a new one."""

    @abstractmethod
    def disconnect(self, name: str, pool: Pool, closed: int) -> None:
        """A sidecar has closed so many idle connections."""

    @abstractmethod
    def probe(self, now: float, sidecar: Sidecar, name: str) -> None:
        """Send a health check to a server."""

    @abstractmethod
    def watch(self, now: float, sidecar: Sidecar, ask: int) -> None:
        """A sidecar asks for the list, and for all changes from then on."""

    @abstractmethod
    def begin_host(self, host: Host, now: float, *, warming_up: bool) -> None:
        """Begin an incarnation of a server; the caller has it registered."""


class Sidecar:
    """One sidecar; what belongs to an earlier `incarnation` of it is void."""

    def __init__(
        self, world: Surroundings, number: int, name: str, zone: int, group: int, settings: dict[str, Any]
    ) -> None:
        self.world = world
        self.number = number
        self.name = name
        self.zone = zone
        self.group = group
        self.steer: model.SteeringDirectives | None = None  # what it received last; it survives a restart
        self.settings = Settings.parse(settings)
        self.idle_ms = self.settings.idle_close
        self.max_attempts = self.settings.max_attempts
        self.incarnation = -1
        self.up = False
        self.watching = False
        self.watch_asked = 0  # number of the last request for the list; answers to earlier ones are void
        self.list_index = 0
        self.list_heard = 0.0  # when its list was last known to be true
        self.endpoints: dict[str, EndpointEntry] = {}
        self.requests: dict[int, Request] = {}
        self.pools: dict[str, Pool] = {}
        self._balancer: Balancer
        self._next = 0
        self._acts: dict[type, Callable[[float, Any], None]] = {
            SendAttempt: self.send,
            StartTimer: self._set_timer,
            RefuseRequest: self._refuse,
            FailRequest: self._fail,
            CancelAttempt: self._cancel,
            CloseIdleConnections: self._close_idle,
            WatchEndpointList: self._watch,
            FetchEndpointList: self._fetch,
            CheckServerHealth: self._probe,
            WriteLog: self._log,
        }

    # --- start and end -----------------------------------------------------------------

    def start(self, now: float, seed: int) -> None:
        """Begin an incarnation, with nothing but the list that it had before."""
        self.incarnation += 1
        self.up, self.watching = True, False
        self.watch_asked += 1
        self.requests, self.pools = {}, {}
        self._next = seed % 2**32
        self._balancer = Balancer(now, self.settings, seed)
        known = events.EndpointListReceived(ListForm.CONFIGURED, list(self.endpoints.values()))
        self.do(now, self._balancer.step(now, known))
        if self.steer is not None:
            self.steered(now, self.steer)

    def steered(self, now: float, steer: model.SteeringDirectives) -> None:
        """A plan or overrides have changed."""
        self.steer = steer
        if self.up:
            self.do(now, self._balancer.step(now, events.SteeringChanged(steer)))

    def kill(self) -> list[Call]:
        """Its process dies; the calls that it had not answered."""
        self.up, self.watching = False, False
        open_calls = [request.call for request in self.requests.values() if not request.ended]
        for pool_name, pool in self.pools.items():
            self.world.disconnect(pool_name, pool, len(pool.idle))
        for request in self.requests.values():
            for attempt in request.attempts:
                attempt.over = True
        self.requests, self.pools = {}, {}
        return open_calls

    # --- events ---------------------------------------------------------------

    def arrive(self, now: float, call: Call) -> None:
        """A client's request."""
        number = self._next
        while number in self.requests:
            number = (number + 1) % 2**32
        self._next = (number + 1) % 2**32
        request = Request(number, call, now + call.budget - MARGIN_MS)
        self.requests[number] = request
        call.request = request
        arrived = events.RequestArrived(
            request=number,
            request_class=call.client_request.cls,
            give_up_at=request.give_up_at,
            retried=call.hop > 0,
            mutates=call.has_effect,
        )
        self.do(now, self._balancer.step(now, arrived))

    def client_gone(self, now: float, request: Request) -> None:
        """A client has given up on its call."""
        if self._end(request):
            self.do(now, self._balancer.step(now, events.ClientLeft(request.number)))
            self._forget(request)

    def ended(self, now: float, attempt: Attempt, outcome: Outcome, report: float | None = None) -> None:
        """An attempt has its one outcome; the first OK answers its request."""
        if attempt.over:
            return
        attempt.over = True
        request = attempt.request
        request.out -= 1
        if outcome <= REJECTED:
            self._give_back(now, attempt)
        if outcome is OK and self._end(request):
            self.served(now, request, attempt)
        ended = events.AttemptEnded(
            request=request.number,
            attempt=attempt.hop,
            outcome=outcome,
            elapsed=now - attempt.sent,
            request_ended=request.ended,
            report=None if report is None else {"inflight": report},
        )
        self.do(now, self._balancer.step(now, ended))
        self._forget(request)

    def expire(self, now: float, attempt: Attempt) -> None:
        """An attempt has timed out: its connection is closed."""
        if not attempt.over:
            self._drop_connection(attempt)
            self.ended(now, attempt, TIMEOUT)

    def timer(self, now: float, token: tuple[int, TimerToken]) -> None:
        """A timer of the decision module has expired."""
        if token[0] == self.incarnation and self.up:
            self.do(now, self._balancer.step(now, events.TimerDue(token[1])))

    def list_received(self, now: float, form: str, entries: list[EndpointEntry], index: int) -> None:
        """The complete list, or changes of it, have arrived."""
        if form == "all":
            self.endpoints = {entry.server: entry for entry in entries}
        for entry in entries if form == "changes" else ():
            if entry.state == "left":
                self.endpoints.pop(entry.server, None)
            else:
                self.endpoints[entry.server] = entry
        self.list_index = max(self.list_index, index)
        self.do(now, self._balancer.step(now, events.EndpointListReceived(ListForm(form), entries)))

    def list_refused(self, now: float) -> None:
        """A request for the list has failed, or its watch has broken."""
        self.watching = False
        self.do(now, self._balancer.step(now, events.DiscoveryFailed()))

    def probed(self, now: float, result: ProbeResult) -> None:
        """A health check has its result."""
        incarnation, server, outcome, elapsed = result
        if incarnation == self.incarnation and self.up:
            self.do(now, self._balancer.step(now, events.HealthCheckEnded(server, outcome, elapsed)))

    # --- actions --------------------------------------------------------------

    def do(self, now: float, actions: Iterable[model.Action]) -> None:
        """Carry out what the decision module has decided."""
        acts = self._acts
        for action in actions:
            acts[type(action)](now, action)

    def send(self, now: float, action: SendAttempt) -> None:
        """Begin an attempt."""
        request = self.requests.get(action.request)
        server = self.world.servers.get(action.server)
        if request is None or server is None:
            return
        attempt = Attempt(self, request, len(request.attempts), server, now)
        request.attempts.append(attempt)
        request.out += 1
        left = request.give_up_at - now
        wait = min(action.timeout, left) if action.timeout > 0.0 else left
        abandoned = request.ended or left <= 0.0 or action.timeout < 0.0 or attempt.hop >= self.max_attempts
        if abandoned:
            self.world.at(now, self._abandon, attempt)
            return
        self.world.unless_over(now + wait, self.expire, attempt)
        self.world.carry(now, self, attempt)

    def _abandon(self, now: float, attempt: Attempt) -> None:
        self.ended(now, attempt, ABANDONED)

    def _set_timer(self, now: float, action: StartTimer) -> None:
        self.world.at(now + max(0.0, action.delay), self.timer, (self.incarnation, action.token))

    def _refuse(self, now: float, action: RefuseRequest) -> None:
        request = self.requests.get(action.request)
        if request is not None and self._end(request):
            self.refused(now, request, action.retry_after)
            self._forget(request)

    def _fail(self, now: float, action: FailRequest) -> None:
        request = self.requests.get(action.request)
        if request is not None and self._end(request):
            self.world.answered(now, request.call, FAILED)
            self._forget(request)

    def served(self, now: float, request: Request, attempt: Attempt) -> None:
        """The final answer: a server's."""
        self.world.answered(now, request.call, SERVED, by=attempt.server.name, of=attempt.of)

    def refused(self, now: float, request: Request, retry_after: float) -> None:
        """The final answer: refused."""
        self.world.answered(now, request.call, REFUSED, retry_after)

    def _cancel(self, now: float, action: CancelAttempt) -> None:
        request = self.requests.get(action.request)
        if request is not None and 0 <= action.attempt < len(request.attempts):
            attempt = request.attempts[action.attempt]
            if not attempt.over:
                self.world.at(now, self._cancelled, attempt)

    def _cancelled(self, now: float, attempt: Attempt) -> None:
        if not attempt.over:
            self._drop_connection(attempt)
            self.ended(now, attempt, CANCELLED)

    def _close_idle(self, _now: float, action: CloseIdleConnections) -> None:
        pool = self.pools.pop(action.server, None)
        if pool is not None:
            self.world.disconnect(action.server, pool, len(pool.idle))

    def _watch(self, now: float, action: WatchEndpointList) -> None:
        self.watching = False
        self.watch_asked += 1
        if action.on:
            self.world.watch(now, self, self.watch_asked)

    def _fetch(self, now: float, _action: FetchEndpointList) -> None:
        self.world.watch(now, self, self.watch_asked)

    def _probe(self, now: float, action: CheckServerHealth) -> None:
        self.world.probe(now, self, action.server)

    def _log(self, _now: float, _action: WriteLog) -> None:
        """Logs are for real sidecars."""

    # --- connections ----------------------------------------------------------

    def connection(self, now: float, server: Host) -> bool:
        """Take an idle connection to a server; whether there was one."""
        pool = self.pools.get(server.name)
        if pool is None or pool.link != server.link:
            self.pools[server.name] = Pool(server.link)
            return False
        idle = pool.idle
        while idle and now - idle[0] >= self.idle_ms:  # the server has closed the oldest
            del idle[0]
            self.world.disconnect(server.name, pool, 1)
        if not idle:
            return False
        idle.pop()
        return True

    def _give_back(self, now: float, attempt: Attempt) -> None:
        pool = self.pools.get(attempt.server.name)
        if pool is not None and pool.link == attempt.link == attempt.server.link:
            pool.idle.append(now)
        elif attempt.link == attempt.server.link:
            attempt.server.core.connections -= 1

    def _drop_connection(self, attempt: Attempt) -> None:
        if attempt.link == attempt.server.link:
            attempt.server.core.connections -= 1

    # --- bookkeeping ----------------------------------------------------------

    def _end(self, request: Request) -> bool:
        if request.ended:
            return False
        request.ended = True
        return True

    def _forget(self, request: Request) -> None:
        if request.ended and request.out == 0:
            self.requests.pop(request.number, None)
            # Without cycles the memory is freed at once, without garbage collection.
            request.attempts, request.call.request = [], None
