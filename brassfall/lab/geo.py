"""Measures geo steering against true delays, over seeds: beside simpler guesses, and in a closed loop."""

from __future__ import annotations

import importlib
import multiprocessing
import os
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from brassfall.controlplane.geo import evidence, model, plan, planner
from brassfall.lab.models import delays, guesses, steered

WARM_S, WATCH_S = 20, 12  # seconds of requests before the estimate; after a change
SOON_S = 10.0
CHANGED, WITHIN = 8, 0.15  # pairs that change; seen means that near to the new delay
EDITIONS, LATE = 50, 20
FLOOR, MOST_MOVED, LOOK = 0.05, 0.1, 0.01
EDITION_S = 3.0

Way = Callable[[], dict[tuple[str, str], float]]


class Change(msgspec.Struct):
    """A pair that got half as long again."""

    seen_s: float | None  # until the estimate was first near the new delay
    kept: float  # the part of the seconds after that in which it was
    honest: bool  # most edges of the group report what they saw


class Guess(msgspec.Struct):
    """One way to guess, on one seed."""

    seed: int
    way: str
    nonsense: float
    tried: float  # median error, as a part
    untried: float
    tried_held: float | None = None  # the part of intervals of 90% that hold the truth
    untried_held: float | None = None
    changes: list[Change] = []


class Steered(msgspec.Struct):
    """One event in the closed loop, on one seed."""

    seed: int
    event: str
    leak: float
    most_load: float  # of any region, in any edition after the event
    late_moved: float  # of all requests, over the last editions together
    largest_move: float  # of an edition, what a lost region gives up aside
    mean_ms: float
    even_ms: float  # by capacity alone, with the same queues


def _sketch() -> Callable[[str], delays.Sketch]:
    """The sidecar's own sketch. By name, as nothing of the house is built on a sidecar's files."""
    found: Callable[[str], delays.Sketch] = importlib.import_module("brassfall.sidecar.agent.delays").Delays
    return found


def _heard(world: delays.World, state: evidence.State, start: int, until: int) -> evidence.State:
    for second in range(start, until):
        delays.requests(world, world.tried, 1.0)
        for edge, life, group, rows in delays.reports(world, second + 1.0):
            state = evidence.merge(state, edge, life, group, rows, second + 1.0)
    return state


def _errors(world: delays.World, told: dict[tuple[str, str], float]) -> tuple[float, float]:
    tried = set(world.tried)
    off = {pair: abs(ms / world.true_ms[pair] - 1.0) for pair, ms in told.items()}
    return (
        float(np.median([each for pair, each in off.items() if pair in tried])),
        float(np.median([each for pair, each in off.items() if pair not in tried])),
    )


def guess(seed: int, nonsense: float) -> list[Guess]:
    """One seed: the model, its time to see changes, and the simpler ways."""
    world = delays.draw(seed, delays.Terms(nonsense=nonsense), _sketch())
    state = _heard(world, evidence.State(), 0, WARM_S)
    made = model.update_estimate(state, float(WARM_S), world.groups, world.regions)
    own = {(p.group, p.region): p for p in made.pairs}
    told = guesses.figures(state)
    pairs = list(world.true_ms)
    ways: dict[str, Way] = {
        "this model": lambda: {pair: each.delay_ms for pair, each in own.items()},
        "average by pair": lambda: guesses.by_average(told, pairs),
        "one figure by zone": lambda: guesses.by_zone(told, pairs, world.zones),
        "network coordinates": lambda: guesses.by_coordinates(told, pairs, np.random.default_rng(seed)),
    }
    rows = [Guess(seed, way, nonsense, *_errors(world, found())) for way, found in ways.items()]
    held = {pair: p.low_ms <= world.true_ms[pair] <= p.high_ms for pair, p in own.items()}
    rows[0].tried_held = float(np.mean([held[pair] for pair in world.tried]))
    rows[0].untried_held = float(np.mean([held[pair] for pair in set(pairs) - set(world.tried)]))
    rows[0].changes = _changes(world, state, made)
    return rows


def _changes(world: delays.World, state: evidence.State, made: model.Estimate) -> list[Change]:
    """Some tried pairs get half as long again, all at once; an estimate a second."""
    picks = [world.tried[i] for i in world.rng.permutation(len(world.tried))[:CHANGED]]
    for pair in picks:
        world.true_ms[pair] *= 1.5
    near: dict[tuple[str, str], list[bool]] = {pair: [] for pair in picks}
    for second in range(WARM_S, WARM_S + WATCH_S):
        state = _heard(world, state, second, second + 1)
        made = model.update_estimate(state, second + 1.0, world.groups, world.regions, made)
        for p in made.pairs:
            pair = p.group, p.region
            if pair in near:
                near[pair].append(abs(p.delay_ms / world.true_ms[pair] - 1.0) <= WITHIN)
    return [_change(world, pair[0], told) for pair, told in near.items()]


def _change(world: delays.World, group: str, near: list[bool]) -> Change:
    edges = world.edges[group]
    honest = 2 * sum(edge in world.lies for edge in edges) < len(edges)
    if True not in near:
        return Change(None, 0.0, honest)
    first = near.index(True)
    return Change(first + 1.0, sum(near[first:]) / len(near[first:]), honest)


# --- the closed loop ---------------------------------------------------------------------------------------


def _calm(loop: steered.Loop) -> None:
    pass


def _lost(loop: steered.Loop) -> None:
    loop.down.add("r0")


def _route(loop: steered.Loop) -> None:
    for pair in loop.way_ms:
        if pair[1] == "r0":
            loop.way_ms[pair] *= 1.5


def _new(loop: steered.Loop) -> None:
    loop.unmeasured.add("r0")


EVENTS = {
    "calm": _calm,
    "region lost": _lost,
    "region back, cold": _calm,
    "route change": _route,
    "new region": _new,
}


def steer(seed: int, event: str, leak: float) -> Steered:
    """One event at half load; it strikes a loop that has settled."""
    loop = steered.draw(seed, regions=4)
    loop.leak = leak
    before: plan.Plan | None = None
    if event == "region back, cold":
        loop.down.add("r0")
    for _ in range(EDITIONS):
        before = _next(loop, before, 1.0)
    loop.down.clear()
    EVENTS[event](loop)
    made = []
    for turn in range(EDITIONS):
        eased = plan.capacity_ramp(turn * EDITION_S) if event == "region back, cold" else 1.0
        before = _next(loop, before, eased)
        made.append((before, eased))
    real = loop.open_capacity()
    even = plan.Plan({g: {r: each / sum(real.values()) for r, each in real.items()} for g in loop.demand})
    return Steered(
        seed=seed,
        event=event,
        leak=leak,
        most_load=max(_most_load(loop, each, eased) for each, eased in made),
        late_moved=sum(each.shift for each, _ in made[-LATE:]),
        largest_move=max(each.shift for each, _ in made[1 if event == "region lost" else 0 :]),
        mean_ms=loop.delay_ms(made[-1][0]),
        even_ms=loop.delay_ms(even),
    )


def _next(loop: steered.Loop, before: plan.Plan | None, eased: float) -> plan.Plan:
    capacity = loop.open_capacity()
    capacity["r0"] *= eased
    pairs = loop.observe(before)
    inputs = planner.PlanInputs(pairs, loop.demand, capacity)
    return planner.make_plan(inputs, planner.PlanPolicy(FLOOR, MOST_MOVED, LOOK, loop.work_ms), before)


def _most_load(loop: steered.Loop, made: plan.Plan, eased: float) -> float:
    loads = loop.load(made.shares)
    return max(load / (eased if region == "r0" else 1.0) for region, load in loads.items())


# --- the report --------------------------------------------------------------------------------------------


def _spread(values: list[float], part: bool = True) -> str:
    """Median and range over the seeds."""
    middle, low, high = float(np.median(values)), min(values), max(values)
    return f"{middle:.1%} ({low:.1%} to {high:.1%})" if part else f"{middle:.1f} ({low:.1f} to {high:.1f})"


def _seen(changes: list[Change]) -> str:
    """In how many seconds; those where most edges lie are counted by themselves."""
    told = []
    for name, honest in (("", True), ("where half or more of the group lie: ", False)):
        mine = [each for each in changes if each.honest == honest]
        if mine:
            times = sorted(each.seen_s if each.seen_s is not None else float("inf") for each in mine)
            kept = float(np.mean([each.kept for each in mine]))
            soon = sum(each <= SOON_S for each in times)
            middle = times[len(times) // 2]
            told.append(
                f"{name}{soon} of {len(times)} in {SOON_S:.0f} s, median {middle:.0f} s, kept {kept:.0%}"
            )
    return "; ".join(told)


def table(rows: list[Guess]) -> str:
    """Of the ways to guess, in Markdown."""
    lines = [
        "| | nonsense | tried | untried | 90% held, tried | untried | a change seen |",
        "| " + "--- | " * 7,
    ]
    for nonsense in sorted({row.nonsense for row in rows}):
        for way in dict.fromkeys(row.way for row in rows):
            mine = [row for row in rows if (row.way, row.nonsense) == (way, nonsense)]
            cells = [_spread([r.tried for r in mine]), _spread([r.untried for r in mine]), "", "", ""]
            if mine[0].tried_held is not None:
                cells[2] = _spread([r.tried_held or 0.0 for r in mine])
                cells[3] = _spread([r.untried_held or 0.0 for r in mine])
                cells[4] = _seen([each for r in mine for each in r.changes])
            lines.append(f"| {way} | {nonsense:.0%} | {' | '.join(cells)} |")
    return "\n".join(lines)


def loop_table(rows: list[Steered]) -> str:
    """Of the closed loop, in Markdown."""
    head = "| event | queue seen as delay | most load of a region | largest move | last 20 editions move |"
    lines = [head + " mean, ms | by capacity alone |", "| " + "--- | " * 7]
    for leak in sorted({row.leak for row in rows}):
        for event in EVENTS:
            mine = [row for row in rows if (row.event, row.leak) == (event, leak)]
            cells = [f"{max(r.most_load for r in mine):.0%}", f"{max(r.largest_move for r in mine):.1%}"]
            cells += [f"{max(r.late_moved for r in mine):.1%}"]
            cells += [
                _spread([r.mean_ms for r in mine], part=False),
                _spread([r.even_ms for r in mine], part=False),
            ]
            lines.append(f"| {event} | {leak:.0%} | {' | '.join(cells)} |")
    return "\n".join(lines)


def measure(seeds: int, out: Path, workers: int, tell: Callable[[str], None]) -> None:
    """All of it, into a folder: `geo.jsonl` and `report.md`."""
    out.mkdir(parents=True, exist_ok=True)
    told: list[Any] = []
    span = range(1, seeds + 1)
    os.environ |= {"OMP_NUM_THREADS": "1", "OPENBLAS_NUM_THREADS": "1"}  # a seed is one core's work
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        plays = [pool.submit(guess, seed, nonsense) for nonsense in (0.0, 1.0 / 3.0) for seed in span]
        loops = [
            pool.submit(steer, seed, event, leak) for leak in (0.0, 1.0) for event in EVENTS for seed in span
        ]
        for number, play in enumerate(plays):
            told += play.result()
            tell(f"{number + 1} of {len(plays)} worlds")
        told += [loop.result() for loop in loops]
    (out / "geo.jsonl").write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in told))
    report = table([row for row in told if isinstance(row, Guess)])
    report += "\n\n" + loop_table([row for row in told if isinstance(row, Steered)]) + "\n"
    (out / "report.md").write_text(report)
