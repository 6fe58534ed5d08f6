"""An aggregator's shell as a model: reports upward, one watch, children; killed, stopped and cut off."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from brassfall.controlplane.aggregation import actions, events
from brassfall.controlplane.aggregation.messages import AggregatorLease, AggregatorReport
from brassfall.controlplane.aggregation.report_builder import Identity
from brassfall.controlplane.revisions.reports import ReportError, parse_report
from brassfall.lab.agreement.base import Clock, Kernel
from brassfall.lab.agreement.rules import SLACK_MS, RuleError
from brassfall.lab.agreement.service import TICK_MS, Service
from brassfall.lab.agreement.watching import SILENT_MS, Watch

TIMEOUT_MS = 1000.0
LIST_EVERY_MS = 200.0
Answer = Callable[[dict[str, Any]], None]


class Aggregator:
    """One address, with one process after the other, or an old one beside its successor."""

    def __init__(
        self, kernel: Kernel, number: int, name: str, region: str, services: Sequence[Service]
    ) -> None:
        self.kernel = kernel
        self.number, self.name, self.region = number, name, region
        self.services = services
        self.clock: Clock = kernel.clock()
        self.processes: list[Process] = []  # those that run or are stopped, newest last
        self._started = 0

    @property
    def up(self) -> bool:
        """Whether anybody is there."""
        return bool(self.processes)

    @property
    def newest(self) -> Process:
        """The newest process that is there."""
        return self.processes[-1]

    @property
    def epoch(self) -> int:
        """Of the service that it follows."""
        return self.newest.core.epoch if self.processes else 0

    @property
    def pending(self) -> int:
        """The revision that is pending, as is known there."""
        return self.newest.core.pending if self.processes else 0

    def start(self) -> None:
        """A process begins; one that is there is left beside it."""
        self._started += 1
        self.processes.append(Process(self, f"{self.name}-{self._started}"))
        self.newest.start()

    def crash(self) -> None:
        """All processes end at once."""
        for process in list(self.processes):
            process.end()

    # --- for children -------------------------------------------------------------------------

    def watch(self, connection: int, watcher: Any) -> bool:
        """A child opens its watch; whether anybody was there."""
        if not self.processes:
            return False
        self.newest.watched(connection, watcher)
        return True

    def closed(self, connection: int) -> None:
        """A child's watch is gone."""
        for process in self.processes:
            process.watchers.pop(connection, None)

    def report(self, name: str, body: bytes, answer: Answer) -> bool:
        """A child's report arrives; whether anybody was there. One that keeps its connection may reach an old
        process."""
        if not self.processes:
            return False
        several = len(self.processes) > 1
        process = self.kernel.random.choice(self.processes) if several else self.newest
        process.do("child", process.child_reported, name, body, answer)
        return True

    def state(self) -> dict[str, Any] | None:
        """What children that ask now are answered."""
        return self.newest.line if self.processes and not self.newest.stopped else None


class Process:
    """One process of an aggregator: the real core, and a shell around it."""

    def __init__(self, home: Aggregator, process_id: str) -> None:
        self.home, self.kernel, self.clock = home, home.kernel, home.clock
        self.name, self.process_id = home.name, process_id
        program = self.kernel.program
        now = self.now()
        identity = Identity(process_id, home.name, home.region, f"{home.name}:1")
        self.core = program.aggregator(program.aggregator_timing, identity, now)
        self.dead = self.stopped = False
        self.stops_in_grant = 0.0  # with the next grant made and not yet sent, it is stopped for so long
        self.line: dict[str, Any] | None = None
        self.watchers: dict[int, tuple[Any, float]] = {}
        self._watch = Watch(self.kernel, self.name, home.services, self.do, self._line)
        self._service_at = self.kernel.random.randrange(len(home.services))
        self._tickets = self._timer = self._flight = 0
        self._called = False
        self._answers: dict[int, Answer] = {}
        self._asked_true: dict[int, float] = {}  # when each report was begun, true time
        self._lease_over = -1e9  # true time at which the lease from above is over at the latest
        self._list_at = -1e9
        self._backlog: list[tuple[str, Callable[..., None], tuple[Any, ...]]] = []

    def now(self) -> float:
        """Its clock, ms."""
        return self.clock.mono(self.kernel.now)

    def start(self) -> None:
        """Begin to report, to watch and to serve."""
        self._wait(self.kernel.random.uniform(0.0, 50.0))
        self.kernel.after(self.kernel.random.uniform(0.0, 50.0), self.do, "timer", self._watch.open)
        self._tick()

    # --- stops and ends --------------------------------------------------------------------------

    def do(self, stream: str, run: Callable[..., None], *args: Any) -> None:
        """Have something done by this process: once it runs again, if it is stopped."""
        if self.dead:
            return
        if self.stopped:
            self._backlog.append((stream, run, args))
        else:
            run(*args)

    def stop(self) -> None:
        """SIGSTOP: nothing runs, the clock does; children see their watches fall silent."""
        self.stopped = True
        self.kernel.after(SILENT_MS[0], self._silent, list(self.watchers))

    def _silent(self, connections: list[int]) -> None:
        if self.stopped or self.dead:
            for connection in connections:
                self._break(connection)

    def _break(self, connection: int) -> None:
        row = self.watchers.pop(connection, None)
        if row is not None:
            self.kernel.after(self.kernel.delay(), row[0].broken, connection, False)

    def resume(self) -> None:
        """SIGCONT: what has waited runs, in any order of its streams."""
        if self.dead or not self.stopped:
            return
        self.stopped = False
        waiting, self._backlog = self._backlog, []
        streams = sorted({row[0] for row in waiting})
        self.kernel.random.shuffle(streams)
        for stream in streams:
            for name, run, args in waiting:
                if name == stream:
                    self.do(stream, run, *args)

    def leave(self) -> None:
        """SIGTERM: it grants nothing more, and ends when nothing that it granted runs."""
        self.do("timer", self.step, events.Leave())
        self._ends()

    def _ends(self) -> None:
        if self.core.may_end():
            self.end()
        elif not self.dead:
            self.kernel.after(TICK_MS, self._ends)

    def end(self) -> None:
        """Killed."""
        if self.dead:
            return
        self.dead = True
        self.home.processes.remove(self)
        self._watch.close()
        for connection in list(self.watchers):
            self._break(connection)

    # --- the core -----------------------------------------------------------------------------------

    def step(self, event: events.Event) -> None:
        """One step of the core, and what it asks for."""
        for action in self.core.step(self.now(), event):
            match action:
                case actions.SendReport(report):
                    self._send(report)
                case actions.ReportNow():
                    self._hurry()
                case actions.FetchState():
                    self._fetch()
                case actions.AnswerChild():
                    self._answer(action)
                case actions.RejectChild(ticket, retry_ms):
                    self._answers.pop(ticket)({"retry_ms": retry_ms})
                case actions.NotifyChildren(line):
                    self._tell(json.loads(line))

    def _tick(self) -> None:
        if self.dead:
            return
        self.do("timer", self.step, events.Tick())
        if self._watch.live and not self.stopped and self.kernel.now - self._list_at > LIST_EVERY_MS:
            # The list comes by a watch of the same kind; its index grows by one in a second.
            self._list_at = self.kernel.now
            self.step(events.ListReceived(int(self.kernel.now // 1000.0), self.now()))
        self.kernel.after(TICK_MS / self.clock.rate, self._tick)

    # --- children -----------------------------------------------------------------------------------

    def child_reported(self, name: str, body: bytes, answer: Answer) -> None:
        """A child's report."""
        try:
            report = parse_report(body)
        except ReportError:
            self.kernel.met["malformed reports"] += 1
            return
        self._tickets += 1
        self._answers[self._tickets] = answer
        self.step(events.ChildReported(self._tickets, name, report))

    def _answer(self, made: actions.AnswerChild) -> None:
        raw = {
            "edition": made.revision,
            "permission_ms": made.lease_ms,
            "pending": made.pending,
            "life": made.epoch,
            "every_ms": self.core.every_ms(),
            "spread_ms": self.core.spread_ms(),
        }
        if made.elsewhere:
            raw["elsewhere"] = True
        self._judged(made.lease_ms)
        answer = self._answers.pop(made.ticket)
        if made.lease_ms and self.stops_in_grant:
            span, self.stops_in_grant = self.stops_in_grant, 0.0
            self.kernel.met["aggregators stopped amid a grant"] += 1
            self.stop()
            self.kernel.after(span, self.resume)
        self.do("answers", answer, raw)

    def _judged(self, length: float) -> None:
        """A child counts from its asking, which was before now, on a clock that may be slow: its lease has to
        be over when this process's own would be over at the latest."""
        kernel = self.kernel
        over = kernel.now + length / (1.0 - kernel.judge.drift)
        if length and over > self._lease_over + SLACK_MS:
            late = over - self._lease_over
            what = f"{self.process_id} grants a lease that may end {late:.1f} ms after its own"
            raise RuleError("S3 chain", kernel.now, what)

    def watched(self, connection: int, watcher: Any) -> None:
        """A child opens a watch."""
        self.watchers[connection] = (watcher, 0.0)
        if self.stopped:
            self.kernel.after(SILENT_MS[0], self._silent, [connection])
        elif self.line is not None:
            self._send_line(connection, self.line)

    def _tell(self, raw: dict[str, Any]) -> None:
        self.line = raw
        for connection in list(self.watchers):
            self._send_line(connection, raw)

    def _send_line(self, connection: int, raw: dict[str, Any]) -> None:
        watcher, last = self.watchers[connection]
        kernel = self.kernel
        if kernel.lost("watch", watcher.name, self.home.number):
            del self.watchers[connection]
            watcher.broken(connection, True)
            return
        when = max(last, kernel.now + kernel.delay())
        self.watchers[connection] = (watcher, when)
        kernel.at(when, watcher.line, connection, raw)

    # --- upward ---------------------------------------------------------------------------------------

    def _wait(self, span: float) -> None:
        self._timer += 1
        self.kernel.after(span, self.do, "timer", self._due, self._timer)

    def _due(self, timer: int) -> None:
        if timer == self._timer and not self._flight:
            self._called = False
            self.step(events.ReportDue())

    def _hurry(self) -> None:
        if self._flight:
            self._called = True
        else:
            self._wait(0.0)

    def _next(self, span: float) -> None:
        self._flight = 0
        self._wait(0.0 if self._called else span)

    def _send(self, report: AggregatorReport) -> None:
        kernel, service, seq = self.kernel, self.home.services[self._service_at], report.seq
        self._flight = seq
        asked = self.now()
        self._asked_true[seq] = kernel.now
        self._asked_true.pop(seq - 100, None)
        kernel.after(TIMEOUT_MS / self.clock.rate, self.do, "timer", self._gave_up, seq)
        if kernel.lost("report", self.name, service.number):
            return
        body = msgspec.json.encode(report)
        kernel.after(kernel.delay(), self._arrives, service, seq, asked, body)
        while kernel.net.replay and kernel.random.random() < kernel.net.replay:
            kernel.met["replayed reports of aggregators"] += 1
            span = kernel.random.uniform(1.0, 10_000.0)
            kernel.after(span, service.aggregator_report, self.name, body, lambda lease: None)

    def _arrives(self, service: Service, seq: int, asked: float, body: bytes) -> None:
        kernel = self.kernel

        def answer(lease: AggregatorLease) -> None:
            if not kernel.lost("answer", self.name, service.number):
                kernel.after(kernel.delay(), self.do, "answer", self._answered, seq, asked, lease)

        if not service.aggregator_report(self.name, body, answer):
            kernel.after(kernel.delay(), self.do, "answer", self._gave_up, seq)

    def _gave_up(self, seq: int) -> None:
        if self._flight == seq:
            self._service_at = (self._service_at + 1) % len(self.home.services)
            self.step(events.UpstreamFailed(seq))
            self._next(self.kernel.random.uniform(20.0, 200.0))

    def _answered(self, seq: int, asked: float, lease: AggregatorLease) -> None:
        lease = msgspec.json.decode(msgspec.json.encode(lease), type=AggregatorLease)
        if lease.lease_ms and seq in self._asked_true:
            length = self.kernel.program.timing.lease_ms
            over = self._asked_true[seq] + length / (1.0 - self.kernel.judge.drift)
            self._lease_over = max(self._lease_over, over)
        lower = lease.epoch < self.core.epoch
        self.step(events.UpstreamAnswered(asked, lease))
        if self._flight != seq:
            return
        if lower:
            self._service_at = (self._service_at + 1) % len(self.home.services)
        jitter = self.kernel.random.uniform(0.9, 1.1)
        self._next(self.core.report_every_ms * jitter / self.clock.rate)

    def _fetch(self) -> None:
        kernel, service = self.kernel, self.home.services[self._service_at]

        def arrives() -> None:
            if service.up and not kernel.lost("answer", self.name, service.number):
                kernel.after(kernel.delay(), self.do, "answer", self._line, service.state())

        if not kernel.lost("report", self.name, service.number):
            kernel.after(kernel.delay(), arrives)

    def _line(self, raw: dict[str, Any]) -> None:
        committed = raw.get("committed", raw)["edition"]
        line = json.dumps(raw).encode()
        self.step(events.StateReceived(raw["life"], raw["edition"], raw["state"], committed, line))
