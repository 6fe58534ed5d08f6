"""The plots of a report: service by second with the faults, latency, load by server, age of lists."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import numpy as np

from brassfall.lab import ledger, spec
from brassfall.lab.play import Result

SIZE = (9.0, 3.6)
SAMPLE_MS = 500.0


def write(experiment: spec.Experiment, results: Sequence[Result], out: Path) -> list[str]:
    """Write all plots into a folder; the names of the files."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    written = []
    for name, plot in (("service", _service), ("latency", _latency), ("load", _load), ("ages", _ages)):
        figure, axes = pyplot.subplots(figsize=SIZE, layout="constrained")
        if plot(axes, experiment, results, out):
            figure.savefig(out / f"{name}.png", dpi=110)
            written.append(f"{name}.png")
        pyplot.close(figure)
    return written


def _of(results: Sequence[Result], version: str) -> list[Result]:
    return [result for result in results if result.version == version and result.valid and result.judgement]


def _mark(axes: Any, result: Result) -> None:
    """Shade the times of the faults of a play."""
    for number, event in enumerate(result.events):
        begin, end = event.at / 1000.0, max(event.until, event.at + 200.0) / 1000.0
        axes.axvspan(begin, end, alpha=0.12, color=f"C{number % 10}")
        axes.text(begin, 0.02, event.kind, rotation=90, fontsize=7, transform=axes.get_xaxis_transform())


def _service(axes: Any, experiment: spec.Experiment, results: Sequence[Result], _out: Path) -> bool:
    shown = False
    for number, version in enumerate(experiment.versions):
        mine = _of(results, version.name)
        if not mine:
            continue
        rows = np.array([r.judgement.statistics.by_second for r in mine if r.judgement])
        at = np.arange(rows.shape[1]) + 0.5
        axes.plot(at, rows.mean(axis=0), color=f"C{number}", label=version.name)
        axes.fill_between(at, rows.min(axis=0), rows.max(axis=0), color=f"C{number}", alpha=0.15, linewidth=0)
        if not shown:
            _mark(axes, mine[0])
        shown = True
    axes.set(xlabel="s", ylabel="service", ylim=(0.0, 1.02), title="worth in time by second: mean and range")
    if shown:
        axes.legend(fontsize=8)
    return shown


def _latency(axes: Any, experiment: spec.Experiment, results: Sequence[Result], _out: Path) -> bool:
    names = ["p50", "p90", "p99", "p99.9"]
    shown = False
    for version in experiment.versions:
        rows = [
            [r.judgement.statistics.latency_ms[n] for n in names]
            for r in _of(results, version.name)
            if r.judgement
        ]
        if rows:
            axes.plot(names, np.array(rows).mean(axis=0), marker="o", label=version.name)
            shown = True
    axes.set(ylabel="ms", ylim=(0.0, None), title="latency of served requests, from when they were due")
    if shown:
        axes.legend(fontsize=8)
    return shown


def _first_folder(
    experiment: spec.Experiment, results: Sequence[Result], out: Path
) -> tuple[Result, Path] | None:
    for version in experiment.versions:
        for result in _of(results, version.name):
            return result, out / "plays" / f"{result.version}-{result.seed}"
    return None


def _load(axes: Any, experiment: spec.Experiment, results: Sequence[Result], out: Path) -> bool:
    found = _first_folder(experiment, results, out)
    if found is None:
        return False
    in_flight = _in_flight(found[1], experiment.head.lasts)
    most, end = len(in_flight), experiment.head.lasts / 1000.0
    if not most:
        return False
    shown = axes.imshow(
        in_flight, aspect="auto", origin="lower", extent=(0.0, end, 0.0, most), interpolation="nearest"
    )
    axes.figure.colorbar(shown, label="requests held")
    axes.set(xlabel="s", ylabel="server", title=f"load by server: {found[0].version}, seed {found[0].seed}")
    return True


def _in_flight(folder: Path, lasts: float) -> np.ndarray[Any, np.dtype[np.float64]]:
    """Requests in flight by server and half second (servers, samples); nan while a server did not run."""
    incarnations = list(ledger.read(folder, ledger.Incarnation))
    names = list(
        dict.fromkeys(
            incarnation.server
            for incarnation in sorted(incarnations, key=lambda incarnation: incarnation.begun)
        )
    )
    at = np.arange(0.0, lasts, SAMPLE_MS)
    in_flight = np.full((len(names), len(at)), np.nan)
    for incarnation in incarnations:
        end = incarnation.end if incarnation.end >= 0.0 else np.inf
        in_flight[names.index(incarnation.server), (at >= incarnation.begun) & (at < end)] = 0.0
    for attempt in ledger.read(folder, ledger.Attempt):
        if attempt.ran and attempt.server in names:
            end = attempt.end if attempt.end >= 0.0 else lasts
            first, last = np.searchsorted(at, (attempt.at, end))
            in_flight[names.index(attempt.server), first:last] += 1.0
    return in_flight


def _ages(axes: Any, experiment: spec.Experiment, results: Sequence[Result], out: Path) -> bool:
    found = _first_folder(experiment, results, out)
    rows = list(ledger.read(found[1], ledger.Age)) if found else []
    if found is None or not rows:
        return False
    at = [row.at / 1000.0 for row in rows]
    axes.plot(at, [row.median / 1000.0 for row in rows], label="median age")
    axes.plot(at, [row.most / 1000.0 for row in rows], label="oldest")
    axes.plot(at, [row.wrong for row in rows], label="share of entries that are wrong", linestyle=":")
    _mark(axes, found[0])
    axes.set(xlabel="s", ylabel="s", title=f"lists held: {found[0].version}, seed {found[0].seed}")
    axes.legend(fontsize=8)
    return True
