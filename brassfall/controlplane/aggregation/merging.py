"""Measures of all children, merged: histograms of delays add up by client group and region. Pure code.

Children tell windows of delays as `sidecar.agent.delays` makes them. A merged row has the same form and
names its group; it counts at most a stated number of figures of one child, so that none outweighs others.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from brassfall.controlplane.geo.evidence import MAX_COUNT, Points, validate_rows

DELAYS = "delays"
EVERY_MS = 5000.0  # a pair's row comes no sooner after the one before
ROWS_MOST = 48  # of one report; the others gather on
PAIRS_MOST = 4096
CHILD_FIGURES_MOST = 200  # of one child and window
# A merged histogram is told as one point for each of these parts of its counts: as many as a reader takes.
RANKS = (0.02, 0.04, 0.07, 0.1, 0.13, 0.16, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5, 0.6, 0.75, 0.9, 1.0)


@dataclass(slots=True)
class _Gathered:
    """What was gathered of one pair since its last row."""

    since_ms: float
    shake: dict[int, int] = field(default_factory=dict)
    first: dict[int, int] = field(default_factory=dict)
    children: set[str] = field(default_factory=set)
    answers: int = 0  # all of them, also those that the histograms leave out


@dataclass(slots=True)
class MergedDelays:
    """Histograms of delays over all children, by (group, region)."""

    refused: int = 0  # rows of children that say nothing usable, or found no place
    _pairs: dict[tuple[str, str], _Gathered] = field(default_factory=dict)  # longest waiting first
    _window: int = 0

    def add(self, now: float, child: str, group: str, measures: Mapping[str, Any]) -> None:
        """Take in the measures of one report."""
        rows = measures.get(DELAYS)
        if not rows:
            return
        validated = validate_rows(rows)
        self.refused += sum(validated.rejected.values())
        for region, _, shake, first in validated.rows:
            pair = self._pairs.get((group, region))
            if pair is None:
                if len(self._pairs) >= PAIRS_MOST:
                    self.refused += 1
                    continue
                pair = self._pairs[group, region] = _Gathered(now)
            _add(pair.shake, shake)
            _add(pair.first, first)
            pair.answers += sum(count for _, count in first)
            pair.children.add(child)

    def take(self, now: float) -> dict[str, Any]:
        """The measures of the next report; their pairs begin anew."""
        due = [key for key, pair in self._pairs.items() if now - pair.since_ms >= EVERY_MS][:ROWS_MOST]
        if not due:
            return {}
        self._window += 1
        return {DELAYS: [self._row(now, key) for key in due]}

    def _row(self, now: float, key: tuple[str, str]) -> dict[str, Any]:
        pair = self._pairs.pop(key)
        group, region = key
        row: dict[str, Any] = {"group": group, "region": region, "window": self._window}
        row["span_ms"] = max(1, round(now - pair.since_ms))
        row["children"], row["answers"] = len(pair.children), pair.answers
        for name, counts in (("shake", pair.shake), ("first", pair.first)):
            if counts:
                row[name] = {str(bucket): count for bucket, count in thinned(counts).items()}
        return row


def _add(counts: dict[int, int], points: Points) -> None:
    total = max(CHILD_FIGURES_MOST, sum(count for _, count in points))
    for bucket, count in points:
        counts[bucket] = counts.get(bucket, 0) + max(1, count * CHILD_FIGURES_MOST // total)


def thinned(counts: Mapping[int, int]) -> dict[int, int]:
    """At most one bucket for each of `RANKS`, with the counts of its part; low quantiles stay fine."""
    rows = sorted(counts.items())
    if len(rows) <= len(RANKS):
        return {bucket: min(count, MAX_COUNT) for bucket, count in rows}
    total, passed, part = sum(count for _, count in rows), 0, 0
    parts: list[list[tuple[int, int]]] = [[] for _ in RANKS]
    for bucket, count in rows:
        while passed >= RANKS[part] * total:
            part += 1
        parts[part].append((bucket, count))
        passed += count
    joined = [(_middle(some), sum(count for _, count in some)) for some in parts if some]
    return {bucket: min(count, MAX_COUNT) for bucket, count in joined}


def _middle(rows: list[tuple[int, int]]) -> int:
    """The bucket that holds the middle one of these counts."""
    left = sum(count for _, count in rows) / 2.0
    for bucket, count in rows:
        left -= count
        if left <= 0.0:
            return bucket
    return rows[-1][0]
