"""`lab editions-scale`: how long a revision takes with the size of the fleet, in simulated time, real cores.

Revisions are published one at a time, ten seconds apart, into a fleet that is at rest, each in one condition.
For each: the time from publication until every sidecar that runs and can be reached acts on it; the time at
which the last of all did, those that were stopped or cut off included; and the spread of news, which is how
long after the first sidecar the last had heard the line of a watch (of those that can be reached; of all).
Lists come by watches of the same kind, so that is the spread of lists, too. The judge of `lab agreement` sees
all of it.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import quantiles
from typing import Any

from brassfall.controlplane.revisions.messages import Publish
from brassfall.controlplane.revisions.timing import CLOCK_DRIFT
from brassfall.lab.agreement import reconcile
from brassfall.lab.agreement.base import KINDS, Kernel
from brassfall.lab.agreement.command import spread
from brassfall.lab.agreement.defects import REAL
from brassfall.lab.agreement.rules import Judge, Profile
from brassfall.lab.agreement.service import Disk, Service
from brassfall.lab.agreement.sidecar import Sidecar

WARM_MS, GAP_MS = 12_000.0, 10_000.0
ENROL_MS = 12.0  # and so long for each sidecar: the roster is written one by one
FAULT_MS = 6_000.0  # how long a fault of a revision lasts, from just before it is published
CONDITIONS = ("healthy", "one stopped", "a third cut", "service killed", "slow link", "slow disk")


@dataclass(slots=True)
class Timed(Judge):
    """The judge, which also notes when each sidecar began to act on each revision."""

    began: dict[tuple[int, str], float] = field(default_factory=dict)

    def changed(self, now: float, who: Any, new: Profile | None, until_ms: float) -> None:
        """As the judge's."""
        Judge.changed(self, now, who, new, until_ms)
        if new is not None and not new.safe:
            self.began.setdefault((new.number, who.name), now)


class Watched(Sidecar):
    """A sidecar that notes when it first heard of each revision."""

    def start(self) -> None:
        """As a sidecar's."""
        self.heard: dict[int, float] = {}
        super().start()

    def _line(self, raw: dict[str, Any]) -> None:
        super()._line(raw)
        self.heard.setdefault(raw["edition"], self.kernel.now)


class Link(Kernel):
    """A network all of whose ways may take a stated time more."""

    extra_ms = 0.0

    def delay(self) -> float:
        """As a kernel's."""
        return Kernel.delay(self) + self.extra_ms


@dataclass(frozen=True, slots=True)
class Task:
    """One fleet to play."""

    nodes: int
    seed: int
    rounds: int


@dataclass(slots=True)
class Row:
    """What came of one revision; times in ms, None where it did not come about."""

    nodes: int
    seed: int
    condition: str
    reached_ms: float | None = None
    all_ms: float | None = None
    received_ms: float | None = None
    received_all_ms: float | None = None
    taken: bool = True  # not so where the service was killed before the publication was durable


class Fleet:
    """One service and its sidecars, at rest but for what is played."""

    def __init__(self, task: Task) -> None:
        self.task = task
        self.judge = Timed(REAL.timing.agree_ms, CLOCK_DRIFT)
        self.kernel = kernel = Link(task.seed, REAL, self.judge)
        self.service = Service(kernel, 0, Disk(), kernel.clock())
        self.service.start()
        self.sidecars = [Watched(kernel, f"s{n}", f"p{n}", [self.service]) for n in range(task.nodes)]
        for sidecar in self.sidecars:
            sidecar.start()
        self._drafts = 0

    def play(self) -> list[Row]:
        """Every condition in turn, as often as the task says; what came of each revision."""
        self.kernel.run(WARM_MS + ENROL_MS * self.task.nodes)
        self._publish("warm")
        return [self._publish(name) for _ in range(self.task.rounds) for name in CONDITIONS]

    def _publish(self, condition: str) -> Row:
        kernel, service = self.kernel, self.service
        away = BEGIN.get(condition, _nobody)(self)
        kernel.run(kernel.now + kernel.random.uniform(0.0, 100.0))
        at, newest = kernel.now, service.coordinator.state.newest
        self._drafts += 1
        caps = {"safe": 1000.0 + self._drafts}
        settings = {"PolicyLimits": {"mark": self._drafts}, "caps": caps}
        service.publish(Publish(self._drafts, settings=settings, if_match=newest))
        if condition == "service killed":
            kernel.after(kernel.random.uniform(0.0, 150.0), self._kill)
        kernel.run(at + FAULT_MS)
        self._heal()
        kernel.run(at + FAULT_MS + GAP_MS)
        return self._measured(condition, at, away, newest)

    def _kill(self) -> None:
        self.service.crash()
        self.kernel.after(1000.0, self.service.start)

    def _heal(self) -> None:
        self.kernel.net.partitions.clear()
        self.kernel.extra_ms = 0.0
        self.service.faults.slow = 0.0
        for sidecar in self.sidecars:
            sidecar.resume()

    def _measured(self, condition: str, at: float, away: set[str], before: int) -> Row:
        number = self.service.coordinator.state.committed.number
        if self.service.coordinator.state.newest == before:
            return Row(self.task.nodes, self.task.seed, condition, taken=False)
        began = {s.name: self.judge.began.get((number, s.name), math.inf) - at for s in self.sidecars}
        heard = {s.name: s.heard.get(number, math.inf) - at for s in self.sidecars}
        first = min(heard.values())
        near = max(span for name, span in heard.items() if name not in away)
        reached = max(span for name, span in began.items() if name not in away)
        row = Row(self.task.nodes, self.task.seed, condition, _finite(reached), _finite(max(began.values())))
        row.received_ms, row.received_all_ms = _finite(near - first), _finite(max(heard.values()) - first)
        return row


def _finite(span: float) -> float | None:
    return span if 0.0 <= span < math.inf else None


def _nobody(fleet: Fleet) -> set[str]:
    return set()


def _stopped(fleet: Fleet) -> set[str]:
    sidecar = fleet.kernel.random.choice(fleet.sidecars)
    sidecar.stop()
    return {sidecar.name}


def _partition(fleet: Fleet) -> set[str]:
    away = {s.name for s in fleet.kernel.random.sample(fleet.sidecars, len(fleet.sidecars) // 3)}
    fleet.kernel.net.partitions |= {(name, 0, kind) for name in away for kind in KINDS}
    return away


def _slow_link(fleet: Fleet) -> set[str]:
    fleet.kernel.extra_ms = 300.0
    return set()


def _slow_disk(fleet: Fleet) -> set[str]:
    fleet.service.faults.slow = 1.0
    return set()


BEGIN: dict[str, Callable[[Fleet], set[str]]] = {
    "one stopped": _stopped,
    "a third cut": _partition,
    "slow link": _slow_link,
    "slow disk": _slow_disk,
}


def play(task: Task) -> list[Row]:
    """One fleet."""
    return Fleet(task).play()


def _points(values: list[float | None]) -> str:
    found = sorted(value for value in values if value is not None)
    if len(found) < 2:
        return "- | - | -"
    points = quantiles(found, n=100, method="inclusive")
    return " | ".join(f"{span:.0f}" for span in (points[49], points[98], found[-1]))


def table(rows: list[Row]) -> str:
    """All of it as a table in Markdown, ms."""
    head = "| sidecars | condition | editions | reached p50 | p99 | max | all p50 | p99 | max | news | all |"
    lines = [head, "|" + "---|" * 11]
    for nodes in sorted({row.nodes for row in rows}):
        for name in CONDITIONS:
            some = [row for row in rows if row.taken and (row.nodes, row.condition) == (nodes, name)]
            received = max(row.received_ms or math.inf for row in some)
            received_all = max(row.received_all_ms or math.inf for row in some)
            reached, late = _points([row.reached_ms for row in some]), _points([row.all_ms for row in some])
            lines.append(
                f"| {nodes} | {name} | {len(some)} | {reached} | {late} | {received:.0f}"
                f" | {received_all:.0f} |"
            )
    return "\n".join(lines)


def _mended(task: Task) -> reconcile.Reconciled:
    return reconcile.play(task.nodes, task.seed)


def mended_table(some: list[reconcile.Reconciled]) -> str:
    """How long overrides took to be reconciled, as a table in Markdown, ms."""
    lines = ["| sidecars | were cut off | fleets | reconciled p50 | p99 | max | never |", "|" + "---|" * 7]
    for nodes in sorted({one.nodes for one in some}):
        mine = [one for one in some if one.nodes == nodes]
        times: list[float | None] = [span for one in mine for span in one.times]
        missing = sum(one.missing for one in mine)
        lines.append(f"| {nodes} | {nodes // 3} | {len(mine)} | {_points(times)} | {missing} |")
    return "\n".join(lines)


def run(nodes: list[int], seeds: int, jobs: int, out: Path) -> int:
    """The command: plays all fleets, prints the table, and keeps rows and table in a folder."""
    tasks = [
        Task(size, seed, max(1, min(10, 1000 // size)))
        for size in sorted(nodes, reverse=True)
        for seed in range(seeds)
    ]
    out.mkdir(parents=True, exist_ok=True)
    rows: list[Row] = []
    with (out / "editions.jsonl").open("w") as file:
        for some in spread(play, tasks, jobs):
            rows += some
            file.writelines(json.dumps(asdict(row)) + "\n" for row in some)
            file.flush()
    mended = list(spread(_mended, tasks, jobs))
    report = f"{table(rows)}\n\n{mended_table(mended)}\n"
    (out / "report.md").write_text(report)
    print(report)
    late = [one for one in mended if one.missing]
    return 0 if all(row.all_ms is not None for row in rows if row.taken) and not late else 1
