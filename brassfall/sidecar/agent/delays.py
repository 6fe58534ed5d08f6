"""Delays to each region, sketched from the requests that pass anyway. No clock, no socket.

Each region has two sketches per window: times of handshakes, and first-byte times less what the server spent
(where it does not say, only an upper bound: readers use low quantiles). A sketch counts times in buckets 5%
wide; a report has it thinned to points that keep its low quantiles. Times are in ms, clocks are passed in, in
seconds. Invalid times are left out, and raise nothing.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from math import inf, log

BUCKET_RATIO = 1.05  # ratio of a bucket's bounds: a time is known to 2.5% either way
MIN_DELAY_MS, MAX_DELAY_MS = 0.05, 60_000.0
BUCKETS = 1 + int(log(MAX_DELAY_MS / MIN_DELAY_MS) / log(BUCKET_RATIO))
MAX_REGIONS = 64
FIRST_SPAN_S = 1.0  # of a window whose start is not known
MAX_SPAN_MS = 3_600_000  # reported
REPORT_BYTES = 400  # further rows wait for the next report, and go on counting
MIN_ROW_INTERVAL_S = 2.5  # the least time between two rows of a region
# A sketch is reported as one point for each of these parts of its counts: fine where readers look.
RANKS = (0.1, 0.25, 0.5, 1.0)

_SCALE = 1.0 / log(BUCKET_RATIO)
_SHIFT = -log(MIN_DELAY_MS) * _SCALE


def bucket(ms: float) -> int:
    """Return the bucket of a time between `MIN_DELAY_MS` and `MAX_DELAY_MS`."""
    return int(log(ms) * _SCALE + _SHIFT)


def thinned(counts: dict[int, int]) -> dict[str, int]:
    """Return at most one bucket for each of `RANKS`, with the counts of its part."""
    if len(counts) <= len(RANKS):
        return {str(k): counts[k] for k in sorted(counts)}
    total, passed, part = sum(counts.values()), 0, 0
    parts: list[list[tuple[int, int]]] = [[] for _ in RANKS]
    for k in sorted(counts):
        while passed >= RANKS[part] * total:
            part += 1
        parts[part].append((k, counts[k]))
        passed += counts[k]
    points: dict[str, int] = {}
    for rows in parts:
        if rows:
            points[str(_middle(rows))] = sum(count for _, count in rows)
    return points


def _middle(rows: list[tuple[int, int]]) -> int:
    """Return the bucket with the median of these counts."""
    left = sum(count for _, count in rows) / 2.0
    for k, count in rows:
        left -= count
        if left <= 0.0:
            return k
    return rows[-1][0]


class _Region:
    """The sketches of one region since its last row: counts by bucket."""

    __slots__ = ("first_bytes", "handshakes", "since")

    def __init__(self, since: float | None) -> None:
        self.handshakes: dict[int, int] = {}
        self.first_bytes: dict[int, int] = {}
        self.since = since  # None: before the first report


def _counting_since(item: tuple[str, _Region]) -> float:
    since = item[1].since
    return -inf if since is None else since


class DelaySketches:
    """One sidecar's sketches of its delays, by region. `group` is the client group that it belongs to."""

    def __init__(self, group: str) -> None:
        self.group = group
        self._regions: dict[str, _Region] = {}
        self._window = 0
        self._opened: float | None = None  # when the last report was made

    def count_handshake(self, region: str, ms: float, *, cold: bool) -> None:
        """Count the time in which a connection was opened.

        A `cold` server has just started: its time says nothing of the path, and is left out.
        """
        if not cold and MIN_DELAY_MS <= ms < MAX_DELAY_MS:
            sketches = self._regions.get(region) or self._begin(region)
            if sketches is not None:
                k = int(log(ms) * _SCALE + _SHIFT)
                sketches.handshakes[k] = sketches.handshakes.get(k, 0) + 1

    def count_first_byte(self, region: str, ms: float, spent_ms: float = 0.0) -> None:
        """Count the time to an answer's first byte, less the time that the server spent (0: not stated)."""
        ms -= spent_ms
        if MIN_DELAY_MS <= ms < MAX_DELAY_MS:  # False for NaN, and if the server spent longer than that
            sketches = self._regions.get(region) or self._begin(region)
            if sketches is not None:
                k = int(log(ms) * _SCALE + _SHIFT)
                sketches.first_bytes[k] = sketches.first_bytes.get(k, 0) + 1

    def take_rows(self, now_s: float) -> list[dict[str, object]]:
        """Return the rows of the next report, and start a new window for their regions.

        Regions that have waited longest come first, up to `REPORT_BYTES`; the others go on counting. No
        window's number is used twice in a sidecar's run, so that a report may be received twice.
        """
        self._window += 1
        rows: list[dict[str, object]] = []
        room = REPORT_BYTES - 2
        for region, row in self._rows(now_s):
            size = len(json.dumps(row, separators=(",", ":"))) + 1
            if size > room and rows:
                break
            room -= size
            rows.append(row)
            del self._regions[region]
        self._opened = now_s
        return rows

    def _rows(self, now_s: float) -> Iterator[tuple[str, dict[str, object]]]:
        due = [item for item in self._regions.items() if now_s - _counting_since(item) >= MIN_ROW_INTERVAL_S]
        for region, sketches in sorted(due, key=_counting_since):
            row: dict[str, object] = {"region": region, "window": self._window}
            span_s = FIRST_SPAN_S if sketches.since is None else now_s - sketches.since
            row["span_ms"] = min(MAX_SPAN_MS, max(1, round(span_s * 1000.0)))
            for name, counts in (("shake", sketches.handshakes), ("first", sketches.first_bytes)):
                if counts:
                    row[name] = thinned(counts)
            yield region, row

    def _begin(self, region: str) -> _Region | None:
        if len(self._regions) >= MAX_REGIONS:
            return None
        sketches = self._regions[region] = _Region(self._opened)
        return sketches
