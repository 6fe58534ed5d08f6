"""Delays measured by all children of an aggregator, merged by client group and region.

Children report windows of delays in the form that `sidecar.agent.delays` writes. A merged row has the same
form, and also names its client group. It counts at most `MAX_CHILD_SAMPLES` samples of one child and window,
so that no child outweighs the others.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from brassfall.controlplane.geo.evidence import MAX_COUNT, DelayRow, Points, sample_count, validate_rows

DELAYS = "delays"  # key of the delay rows in the `measures` of a report
EVERY_MS = 5000.0  # the minimum time between two merged rows of a pair of client group and region
MAX_ROWS = 48  # the maximum number of rows in one report; further pairs stay for later reports
MAX_PAIRS = 4096  # the maximum number of pairs of client group and region
MAX_CHILD_SAMPLES = 200  # the maximum number of samples counted per window of a child
# The ranks at which the parts of a merged histogram end; one bucket is reported for each part. The number of
# ranks is the maximum number of buckets that a reader of the rows accepts for one histogram.
RANKS = (0.02, 0.04, 0.07, 0.1, 0.13, 0.16, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5, 0.6, 0.75, 0.9, 1.0)

Histogram = dict[int, int]  # number of samples by number of the bucket


class Pair(NamedTuple):
    """Client group that measured a delay, and region of the server."""

    group: str
    region: str


class MergedDelayRow(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"handshakes": "shake", "first_bytes": "first"}
):
    """Merged delays of one pair in one window; the histograms map bucket numbers to sample counts."""

    group: str
    region: str
    window: int
    span_ms: int
    children: int
    answers: int  # answers of servers in this window, also those that the histograms omit
    handshakes: dict[str, int] = {}
    first_bytes: dict[str, int] = {}


@dataclass(slots=True)
class _Counts:
    """Sample counts of one pair since its last merged row."""

    since_ms: float
    handshakes: Histogram = field(default_factory=dict)
    first_bytes: Histogram = field(default_factory=dict)
    children: set[str] = field(default_factory=set)
    answers: int = 0


@dataclass(slots=True)
class MergedDelays:
    """Histograms of the delays of all children, by pair; times are ms of one monotonic clock."""

    rejected: int = 0  # number of rows rejected as malformed or because of `MAX_PAIRS`
    _pairs: dict[Pair, _Counts] = field(default_factory=dict)  # the pair that waits longest is first
    _window: int = 0  # number of the window reported last

    def add(self, now: float, child: str, group: str, measures: Mapping[str, Any]) -> None:
        """Add the delay rows in the `measures` of one report of a child."""
        rows = measures.get(DELAYS)
        if not rows:
            return
        validated = validate_rows(rows)
        self.rejected += sum(validated.rejected.values())
        for row in validated.rows:
            self._add_row(now, child, group, row)

    def _add_row(self, now: float, child: str, group: str, row: DelayRow) -> None:
        pair = Pair(group, row.region)
        pair_counts = self._pairs.get(pair)
        if pair_counts is None:
            if len(self._pairs) >= MAX_PAIRS:
                self.rejected += 1
                return
            pair_counts = self._pairs[pair] = _Counts(now)
        _add_points(pair_counts.handshakes, row.handshakes)
        _add_points(pair_counts.first_bytes, row.first_bytes)
        pair_counts.answers += sample_count(row.first_bytes)
        pair_counts.children.add(child)

    def take(self, now: float) -> dict[str, Any]:
        """Return the delay rows for the next report, as JSON values, and reset the counts of their pairs."""
        due = [pair for pair, pair_counts in self._pairs.items() if now - pair_counts.since_ms >= EVERY_MS]
        if not due:
            return {}
        self._window += 1
        return {DELAYS: [msgspec.to_builtins(self._row(now, pair)) for pair in due[:MAX_ROWS]]}

    def _row(self, now: float, pair: Pair) -> MergedDelayRow:
        pair_counts = self._pairs.pop(pair)
        return MergedDelayRow(
            group=pair.group,
            region=pair.region,
            window=self._window,
            span_ms=max(1, round(now - pair_counts.since_ms)),
            children=len(pair_counts.children),
            answers=pair_counts.answers,
            handshakes=_thinned_json(pair_counts.handshakes),
            first_bytes=_thinned_json(pair_counts.first_bytes),
        )


def _thinned_json(counts: Histogram) -> dict[str, int]:
    return {str(bucket): count for bucket, count in thinned(counts).items()}


def _add_points(counts: Histogram, points: Points) -> None:
    total = max(MAX_CHILD_SAMPLES, sample_count(points))
    for bucket, count in points:
        counts[bucket] = counts.get(bucket, 0) + max(1, count * MAX_CHILD_SAMPLES // total)


def thinned(counts: Mapping[int, int]) -> Histogram:
    """Reduce a histogram to at most one bucket for each of `RANKS`, with the sum of the part's counts."""
    points = sorted(counts.items())
    if len(points) > len(RANKS):
        points = [(_median_bucket(part), sample_count(part)) for part in _split_by_rank(points) if part]
    return {bucket: min(count, MAX_COUNT) for bucket, count in points}


def _split_by_rank(points: list[tuple[int, int]]) -> list[list[tuple[int, int]]]:
    """Return the points of a histogram in one part for each of `RANKS`, by the rank of their first sample."""
    total, samples_before, rank = sample_count(points), 0, 0
    parts: list[list[tuple[int, int]]] = [[] for _ in RANKS]
    for bucket, count in points:
        while samples_before >= RANKS[rank] * total:
            rank += 1
        parts[rank].append((bucket, count))
        samples_before += count
    return parts


def _median_bucket(points: list[tuple[int, int]]) -> int:
    """Return the bucket of the median sample of these points."""
    samples_left = sample_count(points) / 2.0
    for bucket, count in points:
        samples_left -= count
        if samples_left <= 0.0:
            return bucket
    return points[-1][0]
