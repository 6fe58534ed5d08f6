"""Part `geo`: time of the delay estimate and of the plan by the number of sidecars, as pure code."""

from __future__ import annotations

import asyncio
import importlib
import random
import time
from collections.abc import Callable
from functools import partial
from statistics import median
from typing import Any, TypeVar

import psutil

from brassfall.controlplane.geo import evidence, model, plan, planner
from brassfall.lab.capacity.part import Options, Recorder

delays: Any = importlib.import_module("brassfall.sidecar.agent.delays")

ROLE = "geo estimate and plan"
REGIONS, GROUPS = 3, 11  # client groups: one for each zone
ROUNDS = 4  # of reports of each sidecar, before the estimate is timed
PERIOD_S = 2.5  # from one to the next
TOGETHER = 256  # reports that are added at once
SAMPLES = 30  # delays in one row
PER_WEIGHT = 200.0
Result = TypeVar("Result")


async def measure(options: Options, recorder: Recorder, size: int) -> None:
    """One size, in a thread."""
    await asyncio.to_thread(_size, options, recorder, size)


def _timed(work: Callable[[], Result]) -> tuple[float, Result]:
    begun = time.thread_time()
    found = work()
    return 1000.0 * (time.thread_time() - begun), found


def _size(options: Options, recorder: Recorder, size: int) -> None:
    before = psutil.Process().memory_full_info().uss
    add_ms, state, now = _evidence(size)
    memory = psutil.Process().memory_full_info().uss - before
    first_ms, found = _timed(lambda: model.update_estimate(state, now))
    warm = [
        _timed(lambda: model.update_estimate(state, now + 1.0, before=found)) for _ in range(options.repeats)
    ]
    plans = [_timed(lambda: _planned(found)) for _ in range(options.repeats)]
    recorder.add(ROLE, "adding one report's rows", "ms", size, add_ms)
    recorder.add(ROLE, "evidence held", "MiB", size, memory / 2**20)
    recorder.add(ROLE, "first estimate", "ms", size, first_ms)
    for took_ms, _ in warm:
        recorder.add(ROLE, "estimate that goes on from the last", "ms", size, took_ms)
    for took_ms, _ in plans:
        recorder.add(ROLE, f"plan for {GROUPS} groups and {REGIONS} regions", "ms", size, took_ms)
    recorder.load("geo", size)
    middle = median(took_ms for took_ms, _ in warm)
    options.progress(f"geo: {size} sidecars, estimate {first_ms:.0f} ms, then {middle:.0f} ms")


def _evidence(size: int) -> tuple[float, evidence.State, float]:
    """Time in ms to add one report, the evidence of a fleet, and when it was heard."""
    rng = random.Random(size)
    made = [delays.DelaySketches(f"g{number % GROUPS}") for number in range(size)]
    state, now, spent_ms, reports = evidence.State(), 0.0, 0.0, 0
    for _ in range(ROUNDS):
        now += PERIOD_S
        heard = []
        for number, sketch in enumerate(made):
            for _ in range(SAMPLES):
                region = rng.randrange(REGIONS)
                sketch.count_first_byte(f"r{region}", 1.0 + 4.0 * region + rng.expovariate(1.0))
            took_ms, validated = _timed(partial(evidence.validate_rows, sketch.take_rows(now)))
            spent_ms += took_ms
            heard.append(
                evidence.NodeReport(f"n{number}", "life", f"g{number % GROUPS}", validated.rows, now)
            )
        for begin in range(0, size, TOGETHER):  # as the list service adds them
            took_ms, state = _timed(partial(evidence.merge_reports, state, heard[begin : begin + TOGETHER]))
            spent_ms += took_ms
        reports += size
    return spent_ms / reports, state, now


def _planned(found: model.Estimate) -> plan.Plan:
    groups = sorted({pair.group for pair in found.pairs})
    regions = sorted({pair.region for pair in found.pairs})
    demand = dict.fromkeys(groups, 100.0)
    capacity = dict.fromkeys(regions, PER_WEIGHT * len(groups))
    inputs = planner.PlanInputs(found.pairs, demand, capacity)
    return planner.make_plan(inputs, planner.PlanPolicy(0.05, 0.2, 0.01), None)
