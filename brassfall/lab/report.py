"""The results of an experiment: `plays.jsonl`, a summary in Markdown, and plots."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from pathlib import Path

import msgspec

from brassfall.lab import plots, spec
from brassfall.lab.play import Result
from brassfall.lab.rules import Finding

STATISTICS = ("service", "worst_window", "worst_class", "goal")


def write(experiment: spec.Experiment, results: Sequence[Result], out: Path) -> None:
    """Write everything into the folder of an experiment."""
    rows = [msgspec.structs.replace(result, cost={}) for result in results]
    (out / "plays.jsonl").write_bytes(msgspec.json.Encoder().encode_lines(rows))
    pictures = plots.write(experiment, results, out)
    (out / "report.md").write_text(summary(experiment, results, pictures), encoding="utf-8")


def summary(experiment: spec.Experiment, results: Sequence[Result], pictures: Sequence[str] = ()) -> str:
    """The report as Markdown."""
    head = experiment.head
    lines = [f"# {head.name}", ""]
    sidecars, servers = experiment.fleet.sidecars, experiment.fleet.servers
    lines += [
        f"{head.mode.capitalize()}, {head.lasts / 1000.0:g} s a play, {sidecars} sidecars and "
        f"{servers} servers, {head.repeats} seeds from {head.first_seed} on."
    ]
    bad = [result for result in results if not result.valid]
    lines += ["", *(_does_not_count(result) for result in bad)] if bad else []
    lines += ["", "## Service", "", *_service(experiment, results)]
    if experiment.measure:
        lines += ["", "## Spans", "", *_spans(experiment, results)]
    lines += ["", "## Classes", "", *_classes(experiment, results)]
    lines += [
        "",
        "## Latency of served requests from when they were due, ms",
        "",
        *_latency(experiment, results),
    ]
    lines += ["", "## Rules", "", *_rules(experiment, results)]
    lines += ["", "## What went wrong", "", *_events(results)]
    for picture in pictures:
        lines += ["", f"![{picture}]({picture})"]
    return "\n".join(lines) + "\n"


def _does_not_count(result: Result) -> str:
    return f"- {result.version}, seed {result.seed}, does not count: {result.why}"


def valid(results: Sequence[Result], version: str) -> list[Result]:
    """The plays of a version that count."""
    return [result for result in results if result.version == version and result.valid]


def spread(values: Sequence[float], form: str = ".3f") -> str:
    """Mean and range of some values."""
    if not values:
        return "-"
    mean = statistics.fmean(values)
    if len(values) == 1:
        return f"{mean:{form}}"
    return f"{mean:{form}} ({min(values):{form}} to {max(values):{form}})"


def _service(experiment: spec.Experiment, results: Sequence[Result]) -> list[str]:
    lines = ["| version | plays | requests | service | worst 10 s | worst class | goal |"]
    lines += ["| --- | --- | --- | --- | --- | --- | --- |"]
    for version in experiment.versions:
        statistics = [r.judgement.statistics for r in valid(results, version.name) if r.judgement]
        cells = [spread([getattr(f, name) for f in statistics]) for name in STATISTICS]
        asked = spread([float(f.requests) for f in statistics], ".0f")
        lines.append(f"| {version.name} | {len(statistics)} | {asked} | {' | '.join(cells)} |")
    return lines


def _classes(experiment: spec.Experiment, results: Sequence[Result]) -> list[str]:
    names = [row.name for row in experiment.classes]
    lines = [f"| version | {' | '.join(names)} |", f"| --- |{' --- |' * len(names)}"]
    for version in experiment.versions:
        statistics = [r.judgement.statistics for r in valid(results, version.name) if r.judgement]
        cells = [spread([f.classes[name] for f in statistics if name in f.classes]) for name in names]
        lines.append(f"| {version.name} | {' | '.join(cells)} |")
    return lines


def _spans(experiment: spec.Experiment, results: Sequence[Result]) -> list[str]:
    lines = ["| version | span | service |", "| --- | --- | --- |"]
    for version in experiment.versions:
        statistics = [r.judgement.statistics for r in valid(results, version.name) if r.judgement]
        for measure in experiment.measure:
            which = f"{measure.name}, {measure.begin / 1000.0:g} to {measure.end / 1000.0:g} s"
            which += f", {measure.cls}" if measure.cls else ""
            lines.append(
                f"| {version.name} | {which} | {spread([f.spans[measure.name] for f in statistics])} |"
            )
    return lines


def _latency(experiment: spec.Experiment, results: Sequence[Result]) -> list[str]:
    names = ["p50", "p90", "p99", "p99.9"]
    lines = [f"| version | {' | '.join(names)} |", f"| --- |{' --- |' * len(names)}"]
    for version in experiment.versions:
        statistics = [r.judgement.statistics for r in valid(results, version.name) if r.judgement]
        cells = [spread([f.latency_ms[name] for f in statistics], ".0f") for name in names]
        lines.append(f"| {version.name} | {' | '.join(cells)} |")
    return lines


def _rules(experiment: spec.Experiment, results: Sequence[Result]) -> list[str]:
    lines = []
    for version in experiment.versions:
        for result in valid(results, version.name):
            findings = result.judgement.findings if result.judgement else ()
            lines += [_finding(result, finding) for finding in findings]
    counted = any(result.valid for result in results)
    return lines or ["All kept, by the ledger." if counted else "No play counts."]


def _finding(result: Result, finding: Finding) -> str:
    case = f"{finding.count} times; first: {finding.first}"
    return f"- {result.version}, seed {result.seed}: **{finding.rule}**, {case}"


def _events(results: Sequence[Result]) -> list[str]:
    lines = []
    first = {result.seed: result for result in results if result.valid}
    for seed, result in sorted(first.items()):
        descriptions = [
            f"{event.kind} {event.at / 1000.0:.1f} to {event.until / 1000.0:.1f} s"
            + (f" ({len(event.targets)})" if event.targets else "")
            for event in result.events
        ]
        lines.append(f"- seed {seed}: {'; '.join(descriptions) or 'nothing'}")
    return lines
