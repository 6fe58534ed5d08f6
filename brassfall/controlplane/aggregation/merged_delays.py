"""The delays of all children, merged by client group and region. Pure code.

Children report windows of delays as `sidecar.agent.delays` makes them. A merged row has the same form and
names its group. It counts at most `MAX_CHILD_SAMPLES` of one child and window, so that no child outweighs
the others.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from brassfall.controlplane.geo.evidence import MAX_COUNT, DelayRow, Points, sample_count, validate_rows

DELAYS = "delays"  # the field of a report's measures
EVERY_MS = 5000.0  # the least time between two rows of a pair
MAX_ROWS = 48  # of one report; the other pairs go on counting
MAX_PAIRS = 4096
MAX_CHILD_SAMPLES = 200  # of one child and window
# One point is reported for each of these parts of a merged histogram's counts: as many as a reader takes.
RANKS = (0.02, 0.04, 0.07, 0.1, 0.13, 0.16, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5, 0.6, 0.75, 0.9, 1.0)

Histogram = dict[int, int]  # counts by bucket


class Pair(NamedTuple):
    """The client group and the region of a delay."""

    group: str
    region: str


class MergedDelayRow(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"handshakes": "shake", "first_bytes": "first"}
):
    """One window of one pair; counts by the number of the bucket."""

    group: str
    region: str
    window: int
    span_ms: int
    children: int
    answers: int  # also those that the histograms leave out
    handshakes: dict[str, int] = {}
    first_bytes: dict[str, int] = {}


@dataclass(slots=True)
class _Counts:
    """The counts of one pair since its last row."""

    since_ms: float
    handshakes: Histogram = field(default_factory=dict)
    first_bytes: Histogram = field(default_factory=dict)
    children: set[str] = field(default_factory=set)
    answers: int = 0


@dataclass(slots=True)
class MergedDelays:
    """The histograms of delays of all children, by pair; times are ms of one monotonic clock."""

    rejected: int = 0  # rows of children that are malformed, or of too many pairs
    _pairs: dict[Pair, _Counts] = field(default_factory=dict)  # longest waiting first
    _window: int = 0

    def add(self, now: float, child: str, group: str, measures: Mapping[str, Any]) -> None:
        """Add the measures of one report."""
        rows = measures.get(DELAYS)
        if not rows:
            return
        validated = validate_rows(rows)
        self.rejected += sum(validated.rejected.values())
        for row in validated.rows:
            self._add_row(now, child, group, row)

    def _add_row(self, now: float, child: str, group: str, row: DelayRow) -> None:
        pair = Pair(group, row.region)
        gathered = self._pairs.get(pair)
        if gathered is None:
            if len(self._pairs) >= MAX_PAIRS:
                self.rejected += 1
                return
            gathered = self._pairs[pair] = _Counts(now)
        _add_points(gathered.handshakes, row.handshakes)
        _add_points(gathered.first_bytes, row.first_bytes)
        gathered.answers += sample_count(row.first_bytes)
        gathered.children.add(child)

    def take(self, now: float) -> dict[str, Any]:
        """Return the measures of the next report, in their JSON form, and begin their pairs anew."""
        due = [pair for pair, gathered in self._pairs.items() if now - gathered.since_ms >= EVERY_MS]
        if not due:
            return {}
        self._window += 1
        return {DELAYS: [msgspec.to_builtins(self._row(now, pair)) for pair in due[:MAX_ROWS]]}

    def _row(self, now: float, pair: Pair) -> MergedDelayRow:
        gathered = self._pairs.pop(pair)
        return MergedDelayRow(
            group=pair.group,
            region=pair.region,
            window=self._window,
            span_ms=max(1, round(now - gathered.since_ms)),
            children=len(gathered.children),
            answers=gathered.answers,
            handshakes=_keyed(gathered.handshakes),
            first_bytes=_keyed(gathered.first_bytes),
        )


def _keyed(counts: Histogram) -> dict[str, int]:
    return {str(bucket): count for bucket, count in thinned(counts).items()}


def _add_points(counts: Histogram, points: Points) -> None:
    total = max(MAX_CHILD_SAMPLES, sample_count(points))
    for bucket, count in points:
        counts[bucket] = counts.get(bucket, 0) + max(1, count * MAX_CHILD_SAMPLES // total)


def thinned(counts: Mapping[int, int]) -> Histogram:
    """Return at most one bucket for each of `RANKS`, with the counts of its part."""
    points = sorted(counts.items())
    if len(points) > len(RANKS):
        points = [(_middle(part), sample_count(part)) for part in _parts(points) if part]
    return {bucket: min(count, MAX_COUNT) for bucket, count in points}


def _parts(points: list[tuple[int, int]]) -> list[list[tuple[int, int]]]:
    """Return the points by the rank of their first sample."""
    total, passed, rank = sample_count(points), 0, 0
    parts: list[list[tuple[int, int]]] = [[] for _ in RANKS]
    for bucket, count in points:
        while passed >= RANKS[rank] * total:
            rank += 1
        parts[rank].append((bucket, count))
        passed += count
    return parts


def _middle(points: list[tuple[int, int]]) -> int:
    """Return the bucket with the median of these samples."""
    left = sample_count(points) / 2.0
    for bucket, count in points:
        left -= count
        if left <= 0.0:
            return bucket
    return points[-1][0]
