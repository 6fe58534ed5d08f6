"""`lab editions-scale --tier`: how long a revision takes through aggregators, in simulated time, real cores.

Each fleet is played for one condition: aggregators first, then all sidecars, then one revision in a fleet at
rest, then one amid the fault. For the second: the time from its publication until each sidecar acts on it.
The judge of `lab agreement` sees all of it.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path

from brassfall.controlplane.revisions.messages import Publish
from brassfall.controlplane.revisions.timing import CLOCK_DRIFT
from brassfall.lab.agreement.aggregator import Aggregator
from brassfall.lab.agreement.base import KINDS
from brassfall.lab.agreement.command import spread
from brassfall.lab.agreement.defects import REAL
from brassfall.lab.agreement.scale import Link, Timed
from brassfall.lab.agreement.service import Disk, Service
from brassfall.lab.agreement.sidecar import Sidecar
from brassfall.lab.agreement.tier import FIRST_NUMBER, IN_REGION, REGIONS

READY_MS = 6_500.0  # until aggregators have leases
STARTS_MS = 1_000.0  # over which sidecars start
AT_REST_MS = 6_000.0  # from then to the first revision, and from that to the second
FAULT_MS = 16_000.0  # how long a fault lasts, from just before the second is published
RESTART_MS = 1_000.0  # from the end of the service's process to its next one


@dataclass(frozen=True, slots=True)
class Task:
    """One fleet to play."""

    nodes: int
    seed: int
    condition: str


@dataclass(slots=True)
class Row:
    """What came of one fleet; times in ms, of those sidecars that run and can be reached."""

    nodes: int
    seed: int
    condition: str
    reachable: int = 0
    missing: int = 0  # of these, how many never acted on it
    spans: list[float] = field(default_factory=list)


class TierFleet:
    """One service, six aggregators and their sidecars."""

    def __init__(self, task: Task) -> None:
        self.task = task
        self.judge = Timed(REAL.timing.agree_ms, CLOCK_DRIFT)
        self.kernel = kernel = Link(task.seed, REAL, self.judge)
        self.service = Service(kernel, 0, Disk(), kernel.clock())
        self.service.start()
        places = [region for region in REGIONS for _ in range(IN_REGION)]
        self.aggregators = [
            Aggregator(kernel, FIRST_NUMBER + number, f"g{number}", region, [self.service])
            for number, region in enumerate(places)
        ]
        for aggregator in self.aggregators:
            aggregator.start()
        kernel.run(READY_MS)
        self.sidecars = [self._sidecar(number) for number in range(task.nodes)]
        for sidecar in self.sidecars:
            kernel.after(kernel.random.uniform(0.0, STARTS_MS), sidecar.start)

    def _sidecar(self, number: int) -> Sidecar:
        region = REGIONS[number % len(REGIONS)]
        near = [each for each in self.aggregators if each.region == region]
        far = [each for each in self.aggregators if each.region != region]
        self.kernel.random.shuffle(far)
        return Sidecar(self.kernel, f"s{number}", f"p{number}", [*near, *far], near=IN_REGION)

    def play(self) -> Row:
        """Play it; what came of the second revision."""
        kernel = self.kernel
        kernel.run(kernel.now + STARTS_MS + AT_REST_MS)
        self._publish(1)
        kernel.run(kernel.now + AT_REST_MS)
        away = BEGIN[self.task.condition](self)
        kernel.run(kernel.now + kernel.random.uniform(0.0, 100.0))
        at = kernel.now
        number = self._publish(2)
        kernel.run(at + FAULT_MS)
        near = [sidecar.name for sidecar in self.sidecars if sidecar.name not in away]
        spans = [self.judge.began.get((number, name), math.inf) - at for name in near]
        found = sorted(round(span, 1) for span in spans if span < math.inf)
        task = self.task
        return Row(task.nodes, task.seed, task.condition, len(near), len(near) - len(found), found)

    def _publish(self, mark: int) -> int:
        settings = {"PolicyLimits": {"mark": mark}, "caps": {"safe": 1000.0 + mark}}
        self.service.publish(Publish(mark, settings=settings))
        # Numbers are answered when the revision is durable; the next one follows the newest.
        return max(self.service.coordinator.state.newest + 1, self.service.epoch)


def _nobody(fleet: TierFleet) -> set[str]:
    return set()


def _one_stopped(fleet: TierFleet) -> set[str]:
    sidecar = fleet.kernel.random.choice(fleet.sidecars)
    sidecar.stop()
    return {sidecar.name}


def _one_killed(fleet: TierFleet) -> set[str]:
    home = fleet.kernel.random.choice(fleet.aggregators)
    fleet.kernel.after(fleet.kernel.random.uniform(0.0, 300.0), home.crash)
    return set()


def _partition(*kinds: str) -> Callable[[TierFleet], set[str]]:
    def begin(fleet: TierFleet) -> set[str]:
        home = fleet.kernel.random.choice(fleet.aggregators)
        fleet.kernel.net.partitions |= {(home.name, 0, kind) for kind in kinds}
        return set()

    return begin


def _service_killed(fleet: TierFleet) -> set[str]:
    fleet.kernel.after(fleet.kernel.random.uniform(120.0, 250.0), _kill_service, fleet)
    return set()


def _kill_service(fleet: TierFleet) -> None:
    fleet.service.crash()
    fleet.kernel.after(RESTART_MS, fleet.service.start)


def _region_partitioned(fleet: TierFleet) -> set[str]:
    region = fleet.kernel.random.choice(REGIONS)
    inside = [each.name for each in fleet.aggregators if each.region == region]
    outside = [each.number for each in fleet.aggregators if each.region != region]
    away = {s.name for n, s in enumerate(fleet.sidecars) if REGIONS[n % len(REGIONS)] == region}
    rows = {(name, 0, kind) for name in inside for kind in KINDS}
    rows |= {(name, number, kind) for name in away for number in outside for kind in KINDS}
    fleet.kernel.net.partitions |= rows
    return away


BEGIN: dict[str, Callable[[TierFleet], set[str]]] = {
    "healthy": _nobody,
    "one sidecar stopped": _one_stopped,
    "one aggregator killed": _one_killed,
    "one aggregator cut off": _partition(*KINDS),
    "its reports are lost": _partition("report"),
    "its answers are lost": _partition("answer"),
    "its watch is cut": _partition("watch", "open"),
    "a region cut off": _region_partitioned,
    "the service killed": _service_killed,
}


def play(task: Task) -> Row:
    """One fleet."""
    return TierFleet(task).play()


def _at(spans: list[float], part: float) -> float:
    return spans[min(len(spans) - 1, int(part * len(spans)))] if spans else math.inf


def table(rows: list[Row]) -> str:
    """All of it as a table in Markdown, ms."""
    head = "| sidecars | condition | fleets | reachable | p50 | p99 | last | never |"
    lines = [head, "|" + "---|" * 8]
    for nodes in sorted({row.nodes for row in rows}):
        for name in BEGIN:
            some = [row for row in rows if (row.nodes, row.condition) == (nodes, name)]
            spans = sorted(span for row in some for span in row.spans)
            reachable, never = sum(row.reachable for row in some), sum(row.missing for row in some)
            points = " | ".join(f"{_at(spans, part):.0f}" for part in (0.5, 0.99, 1.0))
            lines.append(f"| {nodes} | {name} | {len(some)} | {reachable} | {points} | {never} |")
    return "\n".join(lines)


def run(nodes: list[int], seeds: int, jobs: int, out: Path) -> int:
    """The command: plays all fleets, prints the table, and keeps rows and table in a folder."""
    tasks = [Task(size, seed, name) for size in sorted(nodes) for seed in range(seeds) for name in BEGIN]
    out.mkdir(parents=True, exist_ok=True)
    rows: list[Row] = []
    with (out / "editions-tier.jsonl").open("w") as file:
        for row in spread(play, tasks, jobs):
            rows.append(row)
            file.write(json.dumps(asdict(row)) + "\n")
            file.flush()
    report = table(rows) + "\n"
    (out / "report-tier.md").write_text(report)
    print(report)
    return 1 if any(row.missing for row in rows) else 0
