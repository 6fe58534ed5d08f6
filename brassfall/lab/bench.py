"""`brassfall lab bench`: the cost of simulated plays on this machine, as a table in Markdown."""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from brassfall.lab import runner
from brassfall.lab.play import Result
from brassfall.lab.report import spread

EXPERIMENT = """[experiment]
name = "cost"
mode = "simulated"
for = "{size.seconds} s"
repeats = {batch.repeats}
workers = {batch.workers}
compiled = {compiled}

[fleet]
sidecars = {size.sidecars}
servers = {size.servers}

[load]
share = 0.6
"""
COLUMNS = (
    "sidecars",
    "servers",
    "plays at a time",
    "requests",
    "start, s",
    "requests a second and core",
    "requests a second in all",
    "memory, MB",
)


class Size(NamedTuple):
    """A simulated fleet, and the simulated seconds of a play with it."""

    sidecars: int
    servers: int
    seconds: int


class Batch(NamedTuple):
    """One row of the table: plays of one size, `workers` of them at a time."""

    size: Size
    repeats: int
    workers: int


# The same load for each server, and about as many requests.
SMALL = Size(sidecars=20, servers=10, seconds=100)
MIDDLE = Size(sidecars=200, servers=100, seconds=20)
LARGE = Size(sidecars=2000, servers=1000, seconds=4)


async def run(rounds: int, say: Callable[[str], None], *, compiled: bool) -> str:
    """Return the table: `rounds` plays of each size, one at a time, and of the middle one on all cores.

    `compiled` tells whether the plays use the compiled decision module; `say` is given the progress.
    """
    cores = os.cpu_count() or 1
    batches = [Batch(size, repeats=rounds, workers=1) for size in (SMALL, MIDDLE, LARGE)]
    batches.append(Batch(MIDDLE, repeats=cores * rounds, workers=cores))
    lines = [_table_line(COLUMNS), _table_line(["---"] * len(COLUMNS))]
    with tempfile.TemporaryDirectory(prefix="brassfall-bench-") as folder:
        for number, batch in enumerate(batches):
            experiment = _write_experiment(Path(folder) / str(number), batch, compiled=compiled)
            lines.append(await _measure(batch, experiment, say))
    return "\n".join(lines)


def _write_experiment(folder: Path, batch: Batch, *, compiled: bool) -> Path:
    folder.mkdir()
    file = folder / "cost.toml"
    file.write_text(EXPERIMENT.format(size=batch.size, batch=batch, compiled=str(compiled).lower()))
    return file


async def _measure(batch: Batch, experiment: Path, say: Callable[[str], None]) -> str:
    """Play an experiment; return its row of the table."""
    say(f"{batch.size.sidecars} sidecars, {batch.size.servers} servers, {batch.workers} at a time")
    prepared = runner.prepare(experiment, experiment.parent / "out", say)
    begun = time.monotonic()
    results = await prepared.go()
    took_s = time.monotonic() - begun
    return _row(batch, [result for result in results if result.valid], took_s)


def _row(batch: Batch, results: Sequence[Result], took_s: float) -> str:
    judged = [(result.judgement, result.cost) for result in results if result.judgement]
    requests = [float(judgement.statistics.requests) for judgement, _ in judged]
    costs = [cost for _, cost in judged]
    rates = [count / cost["play_s"] for count, cost in zip(requests, costs, strict=True)]
    return _table_line(
        [
            f"{batch.size.sidecars}",
            f"{batch.size.servers}",
            f"{batch.workers}",
            spread(requests, ".0f"),
            spread([cost["start_s"] for cost in costs], ".1f"),
            spread(rates, ".0f"),
            f"{sum(requests) / took_s:.0f}",
            spread([cost["memory_mb"] for cost in costs], ".0f"),
        ]
    )


def _table_line(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"
