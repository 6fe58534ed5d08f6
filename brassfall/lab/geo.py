"""Measures geo steering over seeds: estimates against true delays, and plans in a closed loop."""

from __future__ import annotations

import importlib
import multiprocessing
import os
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from brassfall.controlplane.geo import evidence, model, plan, planner
from brassfall.lab.models import delays, guesses, steered

PairName = tuple[str, str]  # (client group, region)
Estimates = dict[PairName, float]  # ms

OBSERVED_S = 20  # of requests before the estimate
WATCHED_S = 12  # of requests after a change
SOON_S = 10.0
CHANGED_PAIRS = 8
CHANGE = 1.5  # new delay over old
NEAR = 0.15  # a change is seen by an estimate so near to the new delay, as a relative part
NONSENSE = (0.0, 1.0 / 3.0)  # parts of the nodes that report nonsense
THIS_MODEL = "this model"

PLANS, LATE_PLANS = 50, 20  # before and after an event; the last of them
PLAN_INTERVAL_S = 3.0
POLICY = planner.PlanPolicy(min_spread=0.05, max_move=0.1, exploration=0.01)
LEAKS = (0.0, 1.0)  # parts of a queue that are seen as delay
LOST_REGION = "r0"
LOST, RETURN = "region lost", "region back, cold"

# The threads that numpy's library would start only slow down a process for each core.
ONE_THREAD = {"OMP_NUM_THREADS": "1", "OPENBLAS_NUM_THREADS": "1"}


class Change(msgspec.Struct):
    """What became of a pair whose delay grew by half."""

    seen_s: float | None  # until the estimate was first near the new delay
    stable: float = msgspec.field(name="kept")  # the part of the seconds after that in which it was
    honest: bool  # most nodes of the group report what they measured


class Accuracy(msgspec.Struct):
    """One way to estimate, on one seed."""

    seed: int
    method: str = msgspec.field(name="way")
    nonsense: float
    measured: float = msgspec.field(name="tried")  # median relative error of measured pairs
    unmeasured: float = msgspec.field(name="untried")
    measured_covered: float | None = msgspec.field(name="tried_held", default=None)  # of intervals of 90%
    unmeasured_covered: float | None = msgspec.field(name="untried_held", default=None)
    changes: list[Change] = []


class Steered(msgspec.Struct):
    """One event in the closed loop, on one seed."""

    seed: int
    event: str
    leak: float
    most_load: float  # of any region, under any plan after the event
    late_shift: float = msgspec.field(name="late_moved")  # of all requests, over the last plans together
    largest_move: float  # of a plan, without what a lost region gives up
    mean_ms: float
    even_ms: float  # by capacity alone, with the same queues


# --- estimates ---------------------------------------------------------------------------------------------


def _sketch() -> Callable[[str], delays.Sketch]:
    """The sidecar's own sketch. By name, as nothing of the lab is built on a sidecar's files."""
    found: Callable[[str], delays.Sketch] = importlib.import_module(
        "brassfall.sidecar.agent.delays"
    ).DelaySketches
    return found


def _observed(world: delays.World, state: evidence.State, start_s: int, until_s: int) -> evidence.State:
    """The evidence after requests over the measured pairs, with a report of every node each second."""
    for second in range(start_s, until_s):
        delays.send_requests(world, world.measured, 1.0)
        now_s = second + 1.0
        for report in delays.reports(world, now_s):
            state = evidence.merge(state, report.node, report.incarnation, report.group, report.rows, now_s)
    return state


def _errors(world: delays.World, estimates: Estimates) -> tuple[float, float]:
    """Median relative errors of measured and of unmeasured pairs."""
    measured = set(world.measured)
    errors = {pair: abs(ms / world.true_ms[pair] - 1.0) for pair, ms in estimates.items()}
    return (
        float(np.median([error for pair, error in errors.items() if pair in measured])),
        float(np.median([error for pair, error in errors.items() if pair not in measured])),
    )


def measure_accuracy(seed: int, nonsense: float) -> list[Accuracy]:
    """One seed: the model and its time to see changes, and the simpler ways to estimate."""
    world = delays.sample_world(seed, delays.WorldTerms(nonsense=nonsense), _sketch())
    state = _observed(world, evidence.State(), 0, OBSERVED_S)
    estimate = model.update_estimate(state, float(OBSERVED_S), world.groups, world.regions)
    own = {(pair.group, pair.region): pair for pair in estimate.pairs}
    samples = guesses.samples_by_pair(state)
    pairs = list(world.true_ms)
    estimates: dict[str, Estimates] = {
        THIS_MODEL: {name: pair.delay_ms for name, pair in own.items()},
        "average by pair": guesses.by_average(samples, pairs),
        "one figure by zone": guesses.by_zone(samples, pairs, world.zones),
        "network coordinates": guesses.by_coordinates(samples, pairs, np.random.default_rng(seed)),
    }
    rows = [Accuracy(seed, method, nonsense, *_errors(world, found)) for method, found in estimates.items()]
    covered = {name: pair.low_ms <= world.true_ms[name] <= pair.high_ms for name, pair in own.items()}
    unmeasured = set(pairs) - set(world.measured)
    rows[0].measured_covered = float(np.mean([covered[pair] for pair in world.measured]))
    rows[0].unmeasured_covered = float(np.mean([covered[pair] for pair in unmeasured]))
    rows[0].changes = _changes(world, state, estimate)
    return rows


def _changes(world: delays.World, state: evidence.State, estimate: model.Estimate) -> list[Change]:
    """The delays of some measured pairs grow by half, all at once; there is an estimate each second."""
    changed = [world.measured[i] for i in world.rng.permutation(len(world.measured))[:CHANGED_PAIRS]]
    for pair in changed:
        world.true_ms[pair] *= CHANGE
    near: dict[PairName, list[bool]] = {pair: [] for pair in changed}
    for second in range(OBSERVED_S, OBSERVED_S + WATCHED_S):
        state = _observed(world, state, second, second + 1)
        estimate = model.update_estimate(state, second + 1.0, world.groups, world.regions, estimate)
        for pair in estimate.pairs:
            name = pair.group, pair.region
            if name in near:
                near[name].append(abs(pair.delay_ms / world.true_ms[name] - 1.0) <= NEAR)
    return [_change(world, name[0], is_near) for name, is_near in near.items()]


def _change(world: delays.World, group: str, is_near: list[bool]) -> Change:
    nodes = world.nodes[group]
    honest = 2 * sum(node in world.nonsense for node in nodes) < len(nodes)
    if True not in is_near:
        return Change(None, 0.0, honest)
    first = is_near.index(True)
    return Change(first + 1.0, sum(is_near[first:]) / len(is_near[first:]), honest)


# --- the closed loop ---------------------------------------------------------------------------------------


def _calm(loop: steered.Loop) -> None:
    """Nothing happens."""


def _lose_region(loop: steered.Loop) -> None:
    loop.down.add(LOST_REGION)


def _change_route(loop: steered.Loop) -> None:
    for pair in loop.network_ms:
        if pair[1] == LOST_REGION:
            loop.network_ms[pair] *= CHANGE


def _add_region(loop: steered.Loop) -> None:
    loop.unmeasured.add(LOST_REGION)


EVENTS: dict[str, Callable[[steered.Loop], None]] = {
    "calm": _calm,
    LOST: _lose_region,
    RETURN: _calm,  # it is down before
    "route change": _change_route,
    "new region": _add_region,
}


@dataclass(frozen=True, slots=True)
class _Step:
    """One plan, and the part of the lost region's capacity that it was made for."""

    plan: plan.Plan
    ramp: float


def measure_steering(seed: int, event: str, leak: float) -> Steered:
    """One event at half load, in a loop that has settled."""
    loop = steered.sample_loop(seed, regions=4)
    loop.leak = leak
    before: plan.Plan | None = None
    if event == RETURN:
        loop.down.add(LOST_REGION)
    for _ in range(PLANS):
        before = _next_plan(loop, before, 1.0)
    loop.down.clear()
    EVENTS[event](loop)
    steps: list[_Step] = []
    for number in range(PLANS):
        ramp = plan.capacity_ramp(number * PLAN_INTERVAL_S) if event == RETURN else 1.0
        before = _next_plan(loop, before, ramp)
        steps.append(_Step(before, ramp))
    capacity = loop.open_capacity()
    total = sum(capacity.values())
    even = {group: {region: rate / total for region, rate in capacity.items()} for group in loop.demand}
    return Steered(
        seed=seed,
        event=event,
        leak=leak,
        most_load=max(_most_load(loop, step) for step in steps),
        late_shift=sum(step.plan.shift for step in steps[-LATE_PLANS:]),
        largest_move=max(step.plan.shift for step in steps[1 if event == LOST else 0 :]),
        mean_ms=loop.delay_ms(steps[-1].plan),
        even_ms=loop.delay_ms(plan.Plan(even)),
    )


def _next_plan(loop: steered.Loop, before: plan.Plan | None, ramp: float) -> plan.Plan:
    capacity = loop.open_capacity()
    capacity[LOST_REGION] *= ramp
    policy = planner.PlanPolicy(POLICY.min_spread, POLICY.max_move, POLICY.exploration, loop.work_ms)
    return planner.make_plan(planner.PlanInputs(loop.observe(before), loop.demand, capacity), policy, before)


def _most_load(loop: steered.Loop, step: _Step) -> float:
    loads = loop.load(step.plan.shares)
    return max(load / (step.ramp if region == LOST_REGION else 1.0) for region, load in loads.items())


# --- the report --------------------------------------------------------------------------------------------


def _percentages(values: Sequence[float]) -> str:
    """Median and range over the seeds."""
    return f"{float(np.median(values)):.1%} ({min(values):.1%} to {max(values):.1%})"


def _numbers(values: Sequence[float]) -> str:
    """Median and range over the seeds."""
    return f"{float(np.median(values)):.1f} ({min(values):.1f} to {max(values):.1f})"


def _seen(changes: Sequence[Change]) -> str:
    """How soon changes were seen; groups in which most nodes report nonsense are counted by themselves."""
    parts = []
    for name, honest in (("", True), ("where half or more of the group lie: ", False)):
        chosen = [change for change in changes if change.honest == honest]
        if chosen:
            times = sorted(float("inf") if change.seen_s is None else change.seen_s for change in chosen)
            stable = float(np.mean([change.stable for change in chosen]))
            soon = sum(time <= SOON_S for time in times)
            median = times[len(times) // 2]
            counts = f"{soon} of {len(times)} in {SOON_S:.0f} s"
            parts.append(f"{name}{counts}, median {median:.0f} s, kept {stable:.0%}")
    return "; ".join(parts)


def accuracy_table(rows: Sequence[Accuracy]) -> str:
    """The ways to estimate, in Markdown."""
    lines = [
        "| | nonsense | tried | untried | 90% held, tried | untried | a change seen |",
        "| " + "--- | " * 7,
    ]
    for nonsense in sorted({row.nonsense for row in rows}):
        for method in dict.fromkeys(row.method for row in rows):
            chosen = [row for row in rows if (row.method, row.nonsense) == (method, nonsense)]
            cells = [_percentages([row.measured for row in chosen])]
            cells += [_percentages([row.unmeasured for row in chosen]), "", "", ""]
            if chosen[0].measured_covered is not None:
                cells[2] = _percentages([row.measured_covered or 0.0 for row in chosen])
                cells[3] = _percentages([row.unmeasured_covered or 0.0 for row in chosen])
                cells[4] = _seen([change for row in chosen for change in row.changes])
            lines.append(f"| {method} | {nonsense:.0%} | {' | '.join(cells)} |")
    return "\n".join(lines)


def steering_table(rows: Sequence[Steered]) -> str:
    """The closed loop, in Markdown."""
    head = "| event | queue seen as delay | most load of a region | largest move | last 20 editions move |"
    lines = [head + " mean, ms | by capacity alone |", "| " + "--- | " * 7]
    for leak in sorted({row.leak for row in rows}):
        for event in EVENTS:
            chosen = [row for row in rows if (row.event, row.leak) == (event, leak)]
            cells = [
                f"{max(row.most_load for row in chosen):.0%}",
                f"{max(row.largest_move for row in chosen):.1%}",
                f"{max(row.late_shift for row in chosen):.1%}",
                _numbers([row.mean_ms for row in chosen]),
                _numbers([row.even_ms for row in chosen]),
            ]
            lines.append(f"| {event} | {leak:.0%} | {' | '.join(cells)} |")
    return "\n".join(lines)


def measure(seeds: int, out: Path, workers: int, say: Callable[[str], None]) -> None:
    """Measure everything, into `geo.jsonl` and `report.md` in a folder; `say` is given the progress."""
    out.mkdir(parents=True, exist_ok=True)
    accuracies: list[Accuracy] = []
    span = range(1, seeds + 1)
    os.environ |= ONE_THREAD
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        worlds = [pool.submit(measure_accuracy, seed, nonsense) for nonsense in NONSENSE for seed in span]
        loops = [
            pool.submit(measure_steering, seed, event, leak)
            for leak in LEAKS
            for event in EVENTS
            for seed in span
        ]
        for number, world in enumerate(worlds, start=1):
            accuracies += world.result()
            say(f"{number} of {len(worlds)} worlds")
        steerings = [loop.result() for loop in loops]
    rows = [*accuracies, *steerings]
    (out / "geo.jsonl").write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in rows))
    report = f"{accuracy_table(accuracies)}\n\n{steering_table(steerings)}\n"
    (out / "report.md").write_text(report)
