"""The world of a simulated play: one heap of events, and everything that happens between the parts.

Everything follows from the day and its seed, and events of the same time happen in the order in which they
were scheduled: the same day gives the same rows, byte for byte.
"""

from __future__ import annotations

import gc
import heapq
import math
import random
from collections import defaultdict
from collections.abc import Callable, Sequence
from dataclasses import replace
from itertools import count
from typing import Any, NamedTuple

from brassfall.balancer.model import CONNECT_FAILED, ERROR, OK, REJECTED, RESET, TIMEOUT, Outcome
from brassfall.controlplane.registry.membership import ServerRegistration
from brassfall.lab import ledger
from brassfall.lab.day import Day
from brassfall.lab.geography import Delays
from brassfall.lab.ledger import LedgerWriter
from brassfall.lab.models import client
from brassfall.lab.models.client import BROKEN, SILENT, UNREACHED
from brassfall.lab.models.network import Network
from brassfall.lab.models.server import ACCEPTED, Job, Server
from brassfall.lab.models.server import BROKEN as ERROR_AT_ONCE
from brassfall.lab.models.server import FULL as ROOM_FULL
from brassfall.lab.sim.lists import Lists, MemberSession
from brassfall.lab.sim.parts import Call, ClientRequest, Host
from brassfall.lab.sim.sidecar import (
    PROBE_TIMEOUT_MS,
    Attempt,
    Handler,
    Pool,
    ProbeResult,
    Sidecar,
    Surroundings,
)
from brassfall.lab.steering import SteeringEvent

ANSWER_SLACK_MS = 20.0  # how long after its budget a client still reads an answer
AFTER_MS = 1500.0  # how long a play continues after the last deadline
BIN_MS = 50.0  # of time limits, see `unless_over`
SCRAMBLE = 0x9E3779B97F4A7C15  # so that ids do not show their order
MASK = 0xFFFFFFFFFFFFFFFF
PROGRESS_MS = 1000.0


class _Wake(NamedTuple):
    """When the next request of a server is finished."""

    host: Host
    incarnation: int
    due: float


class _Outcome(NamedTuple):
    """The outcome of an attempt, on its way to the sidecar."""

    attempt: Attempt
    outcome: Outcome
    report: float | None  # the load that the server reports


class World(Surroundings):
    """One play."""

    def __init__(
        self,
        day: Day,
        settings: Callable[[int], dict[str, Any]],
        ledger_writer: LedgerWriter,
        sidecar: type[Sidecar] = Sidecar,
        steering: Sequence[SteeringEvent] = (),
    ) -> None:
        self.day = day
        self.ledger_writer = ledger_writer
        self.events = 0
        self._steering = steering
        self._heap: list[tuple[float, int, Handler, Any]] = []
        self._count = count().__next__
        self._ids = count(1)
        self.rng = random.Random(day.seed * 7919 + 1)  # the network's and the servers'
        self._client_rng = random.Random(day.seed * 7919 + 2)
        self.lists = Lists(self, day.seed * 7919 + 3)
        self.network = Network(day.delays, self.rng.random)
        self.servers = {m.name: Host(m.name, m) for m in day.servers}
        self.sidecars = [
            sidecar(self, number, app.name, app.zone, app.group, settings(number))
            for number, app in enumerate(day.apps)
        ]
        self._unread: defaultdict[str, list[Attempt]] = defaultdict(list)  # by a suspended server
        self._parked: dict[int, list[tuple[float, int, Handler, Any]]] = {}
        self._end = day.lasts + max(row.deadline for row in day.classes) + AFTER_MS
        self._works: list[tuple[float, float]] = [
            (-s * s / 2.0, s) for s in (math.sqrt(math.log1p(cv * cv)) for cv in day.noise)
        ]

    # --- time -----------------------------------------------------------------

    def at(self, when: float, what: Handler, arg: Any) -> None:
        """Schedule a handler with its argument for a time."""
        heapq.heappush(self._heap, (when, self._count(), what, arg))

    def unless_over(self, when: float, what: Handler, arg: Any) -> None:
        """Schedule a time limit: the handler is not called if `arg.over` by then.

        Nearly all limits are never reached. They wait in coarse bins, and only what is still open when its
        bin is due goes onto the heap, with its place in the order of scheduling."""
        bin_ = int(when / BIN_MS)
        parked = self._parked.get(bin_)
        if parked is None:
            parked = self._parked[bin_] = []
            self.at(max(bin_ * BIN_MS, 0.0), self._unpark, bin_)
        parked.append((when, self._count(), what, arg))

    def _unpark(self, _now: float, bin_: int) -> None:
        for entry in self._parked.pop(bin_):
            if not entry[3].over:
                heapq.heappush(self._heap, entry)

    def run(self, progress: Callable[[float], None] = lambda _now: None) -> None:
        """Play the complete day, after `begin`; `progress` is given the time each simulated second."""
        # There are few cycles, and they end with the play; collecting them costs a tenth of the time.
        gc.disable()
        try:
            self._loop(progress)
        finally:
            gc.freeze()  # the objects of the play need no collection either
            gc.enable()
        self._close()

    def _loop(self, progress: Callable[[float], None]) -> None:
        arrivals = self.day.arrivals
        times = [*arrivals.at.tolist(), math.inf]
        columns = arrivals.app.tolist(), arrivals.cls.tolist(), arrivals.work.tolist()
        rows = [*zip(*columns, strict=True)]
        heap, pop, arrive = self._heap, heapq.heappop, self._arrive
        end, next_at, report_at, events = self._end, 0, PROGRESS_MS, 0
        while True:
            due = times[next_at]
            if due <= heap[0][0]:
                now = due
                if now > end:
                    break
                arrive(now, rows[next_at])
                next_at += 1
            else:
                now, _, what, arg = pop(heap)
                if now > end:
                    break
                what(now, arg)
            events += 1
            if now >= report_at:
                report_at += PROGRESS_MS
                progress(now)
        self.events = events

    def begin(self) -> None:
        """Start the servers, the list service and the sidecars, each with the complete list."""
        self.lists.begin()
        for at, between in self.day.routes[1:]:
            self.at(at, self._reroute, between)
        for event in self._steering:
            self.at(event.at, self._steer, event)

    def _reroute(self, _now: float, between: Delays) -> None:
        self.network.delays = replace(self.network.delays, between=between)

    def _steer(self, now: float, event: SteeringEvent) -> None:
        for sidecar in self.sidecars:
            if sidecar.group == event.group:
                sidecar.steered(now, event.steer)

    def _close(self) -> None:
        for host in self.servers.values():
            if host.up:
                for job in host.core.take_unfinished():
                    self._note(host, job.data, self._end, "unfinished", job.work)
                self._note_incarnation(host, -1.0, "")

    # --- clients --------------------------------------------------------------

    def _id(self) -> str:
        return f"{next(self._ids) * SCRAMBLE & MASK:016x}"

    def _arrive(self, now: float, row: tuple[int, int, float]) -> None:
        app, cls, work = row
        client_request = ClientRequest("", cls, app, now, work)
        self._begin_call(now, client_request)

    def _begin_call(self, now: float, client_request: ClientRequest) -> None:
        row = self.day.classes[client_request.cls]
        budget = client.call_budget(self.day.client_behaviour, row, client_request.due + row.deadline - now)
        id_ = self._id()
        if not client_request.calls:
            client_request.first = id_
        key = f"k{client_request.first}" if row.effect == "keyed" else ""
        call = Call(id_, client_request, now, budget, key, has_effect=row.effect != "safe")
        client_request.calls += 1
        sidecar = self.sidecars[client_request.app]
        if not sidecar.up:
            self.answered(now, call, UNREACHED, excused=True)
            return
        call.incarnation = sidecar.incarnation
        self.unless_over(now + budget + ANSWER_SLACK_MS, self._give_up, call)
        sidecar.arrive(now, call)

    def _give_up(self, now: float, call: Call) -> None:
        if call.over:
            return
        self.answered(now, call, SILENT)
        sidecar = self.sidecars[call.client_request.app]
        if sidecar.up and sidecar.incarnation == call.incarnation and call.request is not None:
            sidecar.client_gone(now, call.request)

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
        if call.over:
            return
        call.over = True
        client_request = call.client_request
        app = self.day.apps[client_request.app]
        self.ledger_writer.add(
            ledger.Answer(
                call.id,
                self.day.classes[client_request.cls].name,
                app.name,
                client_request.first,
                call.hop,
                ledger.ms(client_request.due),
                ledger.ms(call.sent),
                ledger.ms(call.budget),
                ledger.ms(now + 2.0 * app.client_ms),
                status,
                call.key,
                by,
                of,
                excused,
            )
        )
        if status == client.SERVED:
            return
        row = self.day.classes[client_request.cls]
        since_due = now - client_request.due
        outcome = client.CallOutcome(status, client_request.calls, since_due, since_due, retry_after)
        wait = client.retry_delay(self.day.client_behaviour, row, outcome, self._client_rng.random())
        if wait is not None:
            self.at(now + wait, self._begin_call, client_request)

    # --- attempts -------------------------------------------------------------

    def carry(self, now: float, sidecar: Sidecar, attempt: Attempt) -> None:
        """Bring an attempt to its server, over an idle connection or a new one."""
        host = attempt.server
        delay_ms = self.network.to_server(sidecar.group, host.name, host.zone)
        if sidecar.connection(now, host):
            attempt.link = host.link
            if delay_ms is not None:
                self.at(now + delay_ms, self._reach, attempt)
            return
        if delay_ms is None:
            self.at(now + sidecar.settings.connect_timeout, self._no_connection, attempt)
        elif not host.up or host.core.connections >= host.machine.connections:
            self.at(now + 2.0 * delay_ms, self._no_connection, attempt)
        else:
            attempt.fresh = True
            attempt.link = host.link
            host.core.connections += 1
            trips = 1.0 + 2.0 * host.machine.round_trips
            self.at(now + delay_ms * trips, self._reach, attempt)

    def _no_connection(self, now: float, attempt: Attempt) -> None:
        attempt.sidecar.ended(now, attempt, CONNECT_FAILED)

    def _reach(self, now: float, attempt: Attempt) -> None:
        """The last byte of an attempt has arrived at its server."""
        host = attempt.server
        if attempt.link != host.link or not host.up:
            self._outcome_later(now, attempt, RESET, None)
        elif host.core.is_stopped:
            self._unread[host.name].append(attempt)
        else:
            self.offer(now, host, attempt)

    def offer(self, now: float, host: Host, attempt: Attempt) -> None:
        """A server reads a request."""
        core = host.core
        client_request = attempt.request.call.client_request
        mu, sigma = self._works[client_request.cls]
        job = Job(client_request.work * self.rng.lognormvariate(mu, sigma), (attempt, now))
        self.settle(now, host)
        reason = core.offer(now, job, new_connection=attempt.fresh)
        if core.collapsed:
            self._note(host, job.data, now, "lost", job.work)
            self.die(now, host, "fallen")
        elif reason == ACCEPTED:
            self.wake(host)
        else:
            at_once = reason == ERROR_AT_ONCE
            named = "error" if at_once else "full" if reason == ROOM_FULL else "draining"
            self._note(host, job.data, now, named, job.work)
            self._outcome_later(now, attempt, ERROR if at_once else REJECTED, core.report(now))

    def wake(self, host: Host) -> None:
        """Schedule the time at which the next request of a server is finished."""
        due = host.core.due
        if due < host.wakes_at:
            host.wakes_at = due
            self.at(due, self._wake_due, _Wake(host, host.incarnation, due))

    def _wake_due(self, now: float, wake: _Wake) -> None:
        host, incarnation, due = wake
        if host.incarnation != incarnation or host.wakes_at != due or not host.up:
            return
        host.wakes_at = math.inf
        self.settle(now, host)
        self.wake(host)

    def _finish(self, now: float, host: Host, job: Job) -> None:
        attempt = job.data[0]
        self._note(host, job.data, now, "error" if job.failed else "ok", job.work)
        self._outcome_later(now, attempt, ERROR if job.failed else OK, host.core.report(now))

    def _outcome_later(self, now: float, attempt: Attempt, outcome: Outcome, report: float | None) -> None:
        host = attempt.server
        if outcome is not RESET and attempt.link != host.link:
            return
        delay_ms = self.network.to_sidecar(host.name, host.zone, attempt.sidecar.group)
        if delay_ms is not None and not attempt.over:
            self.at(now + delay_ms, self._outcome, _Outcome(attempt, outcome, report))

    def _outcome(self, now: float, outcome: _Outcome) -> None:
        attempt, end, report = outcome
        attempt.sidecar.ended(now, attempt, end, report)

    def disconnect(self, name: str, pool: Pool, closed: int) -> None:
        """A sidecar has closed so many idle connections."""
        host = self.servers[name]
        if pool.link == host.link and host.up:
            host.core.connections -= closed

    def probe(self, now: float, sidecar: Sidecar, name: str) -> None:
        """Send a health check to a server."""
        host = self.servers[name]
        delay_ms = self.network.to_server(sidecar.group, name, host.zone)
        if delay_ms is None or (host.up and host.core.is_stopped):
            result = ProbeResult(sidecar.incarnation, name, TIMEOUT, PROBE_TIMEOUT_MS)
        else:
            found = OK if host.up else CONNECT_FAILED
            result = ProbeResult(sidecar.incarnation, name, found, 2.0 * delay_ms)
        self.at(now + result.elapsed, sidecar.probed, result)

    def watch(self, now: float, sidecar: Sidecar, ask: int) -> None:
        """A sidecar asks for the list, and for all changes from then on."""
        self.lists.watch(now, sidecar, ask)

    # --- servers --------------------------------------------------------------

    def begin_host(self, host: Host, now: float, *, warming_up: bool) -> None:
        """Begin an incarnation of a server; the caller has it registered."""
        host.incarnation += 1
        host.link += 1
        host.up, host.leaving = True, False
        host.wakes_at = math.inf
        host.core = Server(host.machine, now, self.rng.random, warming_up=warming_up)
        since = math.ceil(now)
        self.lists.incarnations[host.name, since] = host.incarnation
        entry = {
            "name": host.name,
            "address": f"127.0.0.1:{10_000 + len(self.lists.incarnations) % 50_000}",
            "zone": str(host.zone),
            "type": str(host.machine.kind),
            "group": 0,
            "weight": 1.0,
            "since_ms": since,
        }
        host.member = ServerRegistration(entry, int(self.day.ttl))
        host.member.due_ms = now
        host.session += 1

    def start(self, now: float, host: Host) -> None:
        """A server starts, warming up, and registers itself."""
        self.begin_host(host, now, warming_up=True)
        self.lists.speak(now, MemberSession(host, host.session))

    def successor(self, now: float, host: Host) -> None:
        """A server of another name starts on the machine of one that has ended."""
        base, _, number = host.name.partition(".")
        made = Host(f"{base}.{int(number or 0) + 1}", host.machine)
        self.servers[made.name] = made
        self.start(now, made)

    def die(self, now: float, host: Host, why: str) -> None:
        """A server's process ends; its requests are lost, and its connections are reset."""
        for job in host.core.take_unfinished():
            self._note(host, job.data, now, "lost", job.work)
            self._outcome_later(now, job.data[0], RESET, None)
        for attempt in self._unread.pop(host.name, ()):
            self._outcome_later(now, attempt, RESET, None)
        self._note_incarnation(host, now, why)
        host.up = False
        host.link += 1
        host.session += 1

    def drain(self, now: float, host: Host) -> None:
        """A server is to end: it tells the list service, and finishes its requests."""
        host.leaving = True
        host.core.drain(now)
        self._wish(now, host, "leaving")

    def leave(self, now: float, host: Host) -> None:
        """A server that has drained leaves the list, and ends."""
        self._wish(now, host, "left")
        self.die(now, host, "left")
        host.session -= 1  # its last call is still made

    def _wish(self, now: float, host: Host, status: str) -> None:
        host.member.request_status(now, status)
        host.session += 1
        self.lists.speak(now, MemberSession(host, host.session))

    def reset(self, now: float, host: Host) -> None:
        """All connections of a server break; it continues with its requests."""
        waiting = host.core.unfinished()
        host.link += 1
        host.core.connections = 0
        for job in waiting:
            self._outcome_later(now, job.data[0], RESET, None)

    def settle(self, now: float, host: Host) -> None:
        """Let a server work until now, before its speed or its requests change."""
        for job in host.core.advance(now):
            self._finish(now, host, job)

    def suspend(self, now: float, host: Host, *, is_stopped: bool) -> None:
        """A server's process is suspended, or resumed: it then reads what has arrived meanwhile."""
        self.settle(now, host)
        host.core.suspend(is_stopped=is_stopped)
        if is_stopped:
            return
        for attempt in self._unread.pop(host.name, ()):
            if host.up:
                self._reach(now, attempt)
        if host.up:
            self.wake(host)
            host.session += 1
            self.lists.speak(now, MemberSession(host, host.session))

    def _note(self, host: Host, data: tuple[Attempt, float], end: float, outcome: str, work: float) -> None:
        attempt, at = data
        call = attempt.request.call
        self.ledger_writer.add(
            ledger.Attempt(
                attempt.of,
                host.name,
                host.incarnation,
                ledger.ms(attempt.sent),
                ledger.ms(at),
                ledger.ms(end),
                outcome,
                self.day.classes[call.client_request.cls].name,
                attempt.key,
                ledger.ms(work),
                attempt.cross,
            )
        )

    def _note_incarnation(self, host: Host, end: float, why: str) -> None:
        machine, core = host.machine, host.core
        warming_up = core.warm_at > 0.0
        self.ledger_writer.add(
            ledger.Incarnation(
                host.name,
                host.incarnation,
                ledger.ms(core.began),
                round(machine.capacity, 4),
                round(machine.warmup_start, 4) if warming_up else 1.0,
                ledger.ms(machine.warmup_ms) if warming_up else 0.0,
                ledger.ms(end),
                why,
            )
        )

    def kill_sidecar(self, now: float, sidecar: Sidecar) -> None:
        """A sidecar's process dies: the connections of its clients are reset."""
        self.lists.leave(sidecar)
        for call in sidecar.kill():
            self.answered(now, call, BROKEN, excused=True)

    def start_sidecar(self, now: float, sidecar: Sidecar, seed: int) -> None:
        """A sidecar's process starts again, with the list that it had."""
        sidecar.start(now, seed)
