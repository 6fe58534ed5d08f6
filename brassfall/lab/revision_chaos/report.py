"""What an experiment on revisions found, as lines of JSON and a page."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import NamedTuple

import msgspec

from brassfall.lab.revision_chaos.judge import Verdict
from brassfall.lab.revision_chaos.play import Result
from brassfall.lab.revision_chaos.spec import Experiment


def write(experiment: Experiment, results: list[Result], failed: dict[int, str], out: Path) -> None:
    """Write `schedules.jsonl` and `report.md`."""
    lines = [msgspec.json.encode(result) for result in sorted(results, key=lambda row: row.seed)]
    (out / "schedules.jsonl").write_bytes(b"".join(line + b"\n" for line in lines))
    (out / "report.md").write_text(page(experiment, results, failed), encoding="utf-8")


def page(experiment: Experiment, results: list[Result], failed: dict[int, str]) -> str:
    """Return the report in Markdown."""
    counted = [result for result in results if result.verdict.counts]
    parts = [
        "# Editions among real processes\n",
        f"{len(results)} schedules of {experiment.seconds:g} s, each with {experiment.sidecars} sidecars,"
        f" one list service, {experiment.aggregators} aggregators and {experiment.servers} servers"
        f" in {len(experiment.regions)} regions;"
        f" {len(results) - len(counted)} do not count, since the observer was late.\n",
        _bounds(experiment, counted),
        _faults(counted),
        _findings(results),
    ]
    parts += [f"- seed {seed} was not played: {why}" for seed, why in sorted(failed.items())]
    return "\n".join(parts) + "\n"


class Row(NamedTuple):
    """A row of the table of bounds."""

    measure: str
    seen: str
    bound: str


def _bounds(experiment: Experiment, results: list[Result]) -> str:
    verdicts = [result.verdict for result in results]
    late = max((result.late_ms for result in results), default=0.0)
    rows = [
        *_rule_rows(experiment, verdicts),
        *_send_rows(verdicts),
        Row("the observer was late by at most", f"{late:.0f} ms", ""),
    ]
    lines = ["| | seen | bound |", "| --- | --- | --- |"]
    lines += [f"| {row.measure} | {row.seen} | {row.bound} |" for row in rows]
    return "\n".join(lines) + "\n"


def _rule_rows(experiment: Experiment, verdicts: list[Verdict]) -> list[Row]:
    """Return the rows of what the rules bound."""
    broken: Counter[str] = Counter()
    for verdict in verdicts:
        broken.update(verdict.broken)
    worst = max((verdict.contradiction_ms for verdict in verdicts), default=0.0)
    held = max((verdict.held_ms for verdict in verdicts), default=0.0)
    override = max((v.override_ms for v in verdicts if v.override_ms is not None), default=None)
    return [
        Row(
            "two editions acted on side by side, longest", f"{worst:.0f} ms", f"{experiment.agree_ms:.0f} ms"
        ),
        Row(
            "a send to a region after others acted on an edition that holds it, latest",
            f"{held:.0f} ms",
            "0 ms, and the way" if experiment.exclusive else "not judged",
        ),
        Row("sends under an edition that holds their region", str(broken["held-by-own"]), "0"),
        Row("an override acted on after its end, latest", _ms(override), "500 ms"),
        Row("sends that an override decided", str(sum(v.sticky for v in verdicts)), ""),
        Row("sends of a pinned tenant elsewhere", str(broken["astray"]), "0"),
        Row("a pinned tenant served by two regions at once", str(broken["two-regions"]), "0"),
        Row("unsafe requests run twice", str(broken["run-twice"]), "0"),
        Row("keyed requests run again past their key", str(broken["key-outlived"]), "0"),
        Row("requests lost", str(broken["lost"]), "0"),
        Row("sends without a stamp", str(broken["no-stamp"]), "0"),
    ]


def _send_rows(verdicts: list[Verdict]) -> list[Row]:
    """Return the rows of sends, revisions and requests."""
    answers: Counter[str] = Counter()
    for verdict in verdicts:
        answers.update(verdict.answers)
    sends, fallback = sum(v.sends for v in verdicts), sum(v.fallback for v in verdicts)
    return [
        Row("sends in all", str(sends), ""),
        Row("of them under safe rules", f"{fallback / max(1, sends):.1%}", ""),
        Row(
            "safe sends into a region that others hold",
            str(sum(v.fallback_into_held for v in verdicts)),
            "not judged",
        ),
        Row("publish to acted on by the first, median and most", _spans(verdicts, "first_ms"), ""),
        Row("by half of the sidecars", _spans(verdicts, "half_ms"), ""),
        Row("by all of them", _spans(verdicts, "all_ms"), "where all can be reached"),
        Row("editions that some had not reached at the end", str(sum(v.unreached for v in verdicts)), ""),
        Row("editions acted on", str(sum(v.revisions for v in verdicts)), ""),
        Row("of them with content never heard", str(sum(v.unknown for v in verdicts)), ""),
        Row("requests asked", str(sum(v.asked for v in verdicts)), ""),
        Row("their ends", ", ".join(f"{how} {count}" for how, count in sorted(answers.items())), ""),
    ]


def _spans(verdicts: list[Verdict], name: str) -> str:
    spans = sorted(span for verdict in verdicts for span in getattr(verdict, name))
    if not spans:
        return "none"
    part = spans[int(0.95 * (len(spans) - 1))]
    return f"{spans[len(spans) // 2]:.0f} ms, 95 in 100 {part:.0f} ms, {spans[-1]:.0f} ms of {len(spans)}"


def _ms(span: float | None) -> str:
    return "never" if span is None else f"{span:.0f} ms"


def _faults(results: list[Result]) -> str:
    times: Counter[str] = Counter()
    met: Counter[str] = Counter()
    spans: dict[str, float] = {}
    for result in results:
        for event in result.events:
            times[event.action] += 1
            met[event.action] += event.prepared
            spans[event.action] = max(spans.get(event.action, 0.0), result.verdict.contradiction_ms)
    lines = [
        "| fault | times | began while an edition was prepared | longest span in its schedules |",
        "| --- | --- | --- | --- |",
        *(f"| {do} | {times[do]} | {met[do]} | {spans[do]:.0f} ms |" for do in sorted(times)),
    ]
    return "\n".join(lines) + "\n"


def _findings(results: list[Result]) -> str:
    lines = []
    for result in sorted(results, key=lambda row: row.seed):
        does = "" if result.verdict.counts else " (does not count)"
        lines += [f"- seed {result.seed}{does}: {f.rule}: {f.text}" for f in result.verdict.findings]
        lines += [f"- seed {result.seed}: {crash}" for crash in result.crashes]
    return "\n".join(["## Findings\n", *(lines or ["None."])]) + "\n"
