"""A simulated sidecar: its clock, its process and its connection to the service."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import StrEnum
from functools import partial
from typing import Protocol

from brassfall.lab.overrides.judge import Judge
from brassfall.lab.overrides.parts import Answer, Report, Row, Sidecar
from brassfall.lab.overrides.timeline import Timeline
from brassfall.lab.overrides.workload import REGIONS

CLOCK_RATES = (0.99, 1.01, 1.0)  # of monotonic clocks: the allowed extremes, and an exact one
TIMER_MS = 100.0
DECISION_MS = 300.0  # on average, from one decision to the next
REPORT_MS = (500.0, 1000.0)  # on the node's clock
COPY_ANSWERS_SHARE = 0.5  # of the answers, while a second service runs


class Direction(StrEnum):
    """A direction of messages between a node and the service."""

    UP = "up"
    DOWN = "down"


class ReportReceiver(Protocol):
    """The service, as a node reaches it."""

    up: bool
    incarnation: int

    def receive_report(self, incarnation: int, node: Node, run: int, asked_s: float, report: Report) -> None:
        """Answer a report that was sent at `asked_s` on the node's clock."""


class Node:
    """A sidecar's machine; `run` numbers its processes."""

    def __init__(
        self,
        timeline: Timeline,
        judge: Judge,
        service: ReportReceiver,
        number: int,
        make: Callable[[str], Sidecar],
    ) -> None:
        self._timeline, self._judge, self._service, self._make = timeline, judge, service, make
        self.number = number
        rng = timeline.rng
        self.rate, self._zero_ms = rng.choice(CLOCK_RATES), rng.uniform(0.0, 1e6)
        self.region: str = rng.choice(REGIONS)
        self.run, self.stopped_until = 0, 0.0
        self.details_wanted = False  # by the reconciler, with the next answer
        self.resend = False  # True if the next answer has to have all times left
        self.partitioned_until = dict.fromkeys(Direction, 0.0)
        self.copy_until = 0.0
        self.well_since, self.faulted = 0.0, False
        self.start()

    def clock(self) -> float:
        """Return its monotonic clock, in seconds."""
        return (self._zero_ms + self._timeline.now * self.rate) / 1000.0

    def partitioned(self, direction: Direction) -> bool:
        """Return whether messages in a direction are lost."""
        return self._timeline.now < self.partitioned_until[direction]

    def answered_by_copy(self) -> bool:
        """Return whether a second service, on a copy of the disk, answers the current report."""
        return self._timeline.now < self.copy_until and self._timeline.rng.random() < COPY_ANSWERS_SHARE

    def start(self) -> None:
        """Start a new process, which has no state."""
        self.run += 1
        self.sidecar, self._revision = self._make(self.region), 0
        self.layer: Mapping[str, Row] = {}
        self.received: dict[str, int] = {}
        self._details_due = False
        for task in (self.decide, self._timer, self._report):
            self._timeline.at(self._timeline.rng.uniform(0.0, 300.0), partial(task, self.run))

    def disturb(self, until: float) -> None:
        """Record a fault that lasts until then."""
        self.well_since, self.faulted = max(self.well_since, until), True

    def _runs(self, run: int, retry: Callable[[], None]) -> bool:
        """Return whether a process runs; while it is stopped, schedule `retry` for when it continues."""
        if run != self.run:
            return False
        if self._timeline.now < self.stopped_until:
            self._timeline.at(self.stopped_until - self._timeline.now, retry)
            return False
        return True

    def decide(self, run: int) -> None:
        """Make the decision of one request, and have it judged."""
        next_run = partial(self.decide, run)
        if self._runs(run, next_run):
            self._judge.decided(self._timeline.now, self, self.sidecar.decide(self.clock()))
            self._timeline.at(self._timeline.rng.expovariate(1.0 / DECISION_MS), next_run)

    def _timer(self, run: int) -> None:
        next_run = partial(self._timer, run)
        if self._runs(run, next_run):
            self.sidecar.timer(self.clock())
            self._timeline.at(TIMER_MS, next_run)

    def _report(self, run: int) -> None:
        next_run = partial(self._report, run)
        if not self._runs(run, next_run):
            return
        now_s, service = self.clock(), self._service
        state = self.sidecar.report(now_s)
        acted = dict(self.sidecar.decide(now_s).acted) if self._details_due else None
        self._details_due = False
        report = Report(state, self._revision, acted)
        if not self.partitioned(Direction.UP) and service.up:
            receive = partial(service.receive_report, service.incarnation, self, run, now_s, report)
            self._timeline.at(self._timeline.message_ms(), receive)
        self._timeline.at(self._timeline.rng.uniform(*REPORT_MS) / self.rate, next_run)

    def receive_answer(self, run: int, asked_s: float, answer: Answer) -> None:
        """Use the answer to a report that was sent at `asked_s`."""
        if not self._runs(run, partial(self.receive_answer, run, asked_s, answer)):
            return
        self._details_due = self._details_due or answer.details_requested
        if answer.times:
            self.received |= {key: row["rev"] for key, row in answer.times.items()}
            self.sidecar.receive_times(asked_s, self.clock(), answer.times)
        if answer.revision is not None and answer.revision.number > self._revision:
            self._revision, rows = answer.revision
            self.layer = {row["id"]: row for row in rows}
            self.sidecar.receive_layer(rows)
