"""Compares versions: their plays paired by seed, and which differences are beyond noise."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import msgspec
import numpy as np

from brassfall.lab.play import Result
from brassfall.settings import SettingsError, read_toml

STATISTICS = ("service", "worst_window", "worst_class", "goal")
RESAMPLES = 10_000
CONFIDENCE = 95.0
PAIRS_LEAST = 3
FINISH = "Name folders in which `lab run` has played one experiment to its end, with two versions in all."
# What may differ between two experiments that play the same days.
FREE = ("versions",)
FREE_HEAD = ("name", "mode", "repeats", "first_seed", "workers", "compiled")


class Difference(msgspec.Struct):
    """One statistic of one version compared with the first one, over the seeds that both have played."""

    figure: str
    first: float
    mean: float
    difference: float
    low: float | None  # of the interval; None where there are too few pairs
    high: float | None
    pairs: int
    beyond_noise: bool


class Comparison(msgspec.Struct):
    """One version compared with the first one."""

    base: str
    version: str
    differences: list[Difference]
    rules: dict[str, int]  # plays in which a rule was broken, by rule


@dataclass(frozen=True, slots=True)
class Side:
    """The plays of one version in one folder."""

    name: str
    results: dict[int, Result]


def interval(differences: Sequence[float], seed: int = 1) -> tuple[float, float]:
    """The bootstrap interval of the mean of paired differences (percentiles of resampled means)."""
    values = np.array(differences)
    picks = np.random.default_rng(seed).integers(0, len(values), (RESAMPLES, len(values)))
    tail = (100.0 - CONFIDENCE) / 2.0
    low, high = np.percentile(values[picks].mean(axis=1), [tail, 100.0 - tail])
    return float(low), float(high)


def difference(figure: str, base: Side, other: Side) -> Difference:
    """One statistic of two sides."""
    seeds = sorted(base.results.keys() & other.results.keys())
    pairs = [
        (_statistic(base.results[seed], figure), _statistic(other.results[seed], figure)) for seed in seeds
    ]
    apart = [theirs - ours for ours, theirs in pairs]
    low = high = None
    if len(apart) >= PAIRS_LEAST:
        low, high = interval(apart)
    return Difference(
        figure=figure,
        first=float(np.mean([ours for ours, _ in pairs])),
        mean=float(np.mean([theirs for _, theirs in pairs])),
        difference=float(np.mean(apart)),
        low=low,
        high=high,
        pairs=len(pairs),
        beyond_noise=low is not None and high is not None and (low > 0.0 or high < 0.0),
    )


def _statistic(result: Result, figure: str) -> float:
    assert result.judgement is not None
    statistics = result.judgement.statistics
    return statistics.spans[figure] if figure in statistics.spans else float(getattr(statistics, figure))


def sides(folders: Sequence[Path]) -> list[Side]:
    """Every version in every folder, as they stand there; `SettingsError` if they can't be compared."""
    found: list[Side] = []
    first: dict[str, object] | None = None
    for folder in folders:
        try:
            experiment = read_toml(folder / "experiment.toml")
            lines = (folder / "plays.jsonl").read_bytes().splitlines()
            results = [msgspec.json.decode(line, type=Result) for line in lines]
        except SettingsError as error:
            raise SettingsError(error.what, error.why, FINISH) from error
        except OSError as error:
            raise SettingsError(str(error.filename), error.strerror or "", FINISH) from error
        except (msgspec.MsgspecError, ValueError) as error:
            raise SettingsError(str(folder / "plays.jsonl"), str(error), FINISH) from error
        day = _day(experiment)
        first = day if first is None else first
        differ = sorted(key for key in first.keys() | day.keys() if first.get(key) != day.get(key))
        if differ:
            why = f"{differ[0]} is not as in {folders[0]}: other days are played there"
            raise SettingsError(str(folder), why, FINISH)
        prefix = f"{folder.name}/" if len(folders) > 1 else ""
        for version in dict.fromkeys(result.version for result in results):
            plays = {r.seed: r for r in results if r.version == version and r.valid and r.judgement}
            found.append(Side(f"{prefix}{version}", plays))
    if len(found) < 2:
        raise SettingsError(str(folders[0]), "holds one version only, which is nothing to compare", FINISH)
    return found


def _day(experiment: dict[str, object]) -> dict[str, object]:
    """The part of an experiment that its days depend on."""
    head_table = experiment.get("experiment")
    head = (
        {key: value for key, value in head_table.items() if key not in FREE_HEAD}
        if isinstance(head_table, dict)
        else {}
    )
    return {**{key: value for key, value in experiment.items() if key not in FREE}, "experiment": head}


def compare(folders: Sequence[Path]) -> list[Comparison]:
    """Every version compared with the first one."""
    base, *others = sides(folders)
    made = []
    for other in others:
        if not base.results.keys() & other.results.keys():
            raise SettingsError(f"{other.name} and {base.name} have no seed in common", action=FINISH)
        rules: dict[str, int] = {}
        for result in other.results.values():
            for finding in result.judgement.findings if result.judgement else ():
                rules[finding.rule] = rules.get(finding.rule, 0) + 1
        spans = next(iter(base.results.values())).judgement
        names = [*STATISTICS, *(spans.statistics.spans if spans is not None else ())]
        differences = [difference(figure, base, other) for figure in names]
        made.append(Comparison(base.name, other.name, differences, rules))
    return made


def table(comparisons: Sequence[Comparison]) -> str:
    """As Markdown."""
    lines = [
        "| figure | version | first | mean | difference | 95 % interval | pairs | |",
        "| --- |" + " --- |" * 7,
    ]
    for made in comparisons:
        for row in made.differences:
            between = "too few pairs" if row.low is None else f"{row.low:+.3f} to {row.high:+.3f}"
            verdict = "beyond noise" if row.beyond_noise else "within noise"
            lines.append(
                f"| {row.figure} | {made.version} against {made.base} | {row.first:.3f} | {row.mean:.3f} | "
                f"{row.difference:+.3f} | {between} | {row.pairs} | {verdict} |"
            )
        for rule, plays in made.rules.items():
            lines.append(f"| rule | {made.version} | | | {rule}: broken in {plays} plays | | | |")
    return "\n".join(lines)
