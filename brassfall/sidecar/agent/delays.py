"""Sketches of the network delay to each region, measured on the sidecar's regular requests.

Each region has two sketches per window. One counts the durations of handshakes. The other counts the times to
the first byte of an answer, less the time that the server spent on the request. If a server does not state
the time that it spent, the measured time is only an upper bound of the delay; readers therefore use low
quantiles. A sketch counts durations in buckets that are 5% wide. A report contains a thinned sketch, a few
points that preserve the low quantiles.

Delays are in milliseconds. The time of a clock is passed in, in seconds: the module reads no clock and uses
no socket. Invalid delays are ignored without an error.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from math import inf, log

# Upper bound of a bucket divided by its lower bound: a counted delay is known to within 2.5% either way.
BUCKET_RATIO = 1.05
# Smallest counted delay, and the limit below which a delay is counted, in milliseconds.
MIN_DELAY_MS, MAX_DELAY_MS = 0.05, 60_000.0
BUCKETS = 1 + int(log(MAX_DELAY_MS / MIN_DELAY_MS) / log(BUCKET_RATIO))  # Number of buckets of a sketch
MAX_REGIONS = 64  # Largest number of regions with sketches
FIRST_SPAN_S = 1.0  # Reported length of a window whose start is unknown, in seconds
MAX_SPAN_MS = 3_600_000  # Largest reported length of a window, in milliseconds
# Largest size of the rows of one report, in bytes of JSON. Further regions wait for the next report, and
# continue to count until then.
REPORT_BYTES = 400
MIN_ROW_INTERVAL_S = 2.5  # Shortest time between two rows of the same region, in seconds
# Upper ranks of the parts of a sketch's counts, each of which is reported as one point. The parts are smaller
# at the low ranks, because readers use low quantiles.
RANKS = (0.1, 0.25, 0.5, 1.0)

# The bucket of a delay is the whole part of log(delay) * _SCALE + _SHIFT.
_SCALE = 1.0 / log(BUCKET_RATIO)
_SHIFT = -log(MIN_DELAY_MS) * _SCALE


def bucket(ms: float) -> int:
    """Return the bucket of a delay from `MIN_DELAY_MS` up to `MAX_DELAY_MS`."""
    return int(log(ms) * _SCALE + _SHIFT)


def thinned(counts: dict[int, int]) -> dict[str, int]:
    """Return a thinned sketch: at most one bucket for each of `RANKS`, with the sum of its part's counts.

    Both `counts` and the result map buckets to counts; the result has the bucket as text, as in JSON.
    """
    if len(counts) <= len(RANKS):
        return {str(bucket_index): counts[bucket_index] for bucket_index in sorted(counts)}
    total, passed, part = sum(counts.values()), 0, 0
    parts: list[list[tuple[int, int]]] = [[] for _ in RANKS]
    for bucket_index in sorted(counts):
        while passed >= RANKS[part] * total:
            part += 1
        parts[part].append((bucket_index, counts[bucket_index]))
        passed += counts[bucket_index]
    points: dict[str, int] = {}
    for rows in parts:
        if rows:
            points[str(_middle(rows))] = sum(count for _, count in rows)
    return points


def _middle(rows: list[tuple[int, int]]) -> int:
    """Return the bucket that contains the median of these (bucket, count) rows."""
    remaining = sum(count for _, count in rows) / 2.0
    for bucket_index, count in rows:
        remaining -= count
        if remaining <= 0.0:
            return bucket_index
    return rows[-1][0]


class _Region:
    """The two sketches of one region in the current window, as counts by bucket."""

    __slots__ = ("first_bytes", "handshakes", "since")

    def __init__(self, since: float | None) -> None:
        self.handshakes: dict[int, int] = {}
        self.first_bytes: dict[int, int] = {}
        # Start of the window in seconds; None if it began before the first report.
        self.since = since


def _window_start(item: tuple[str, _Region]) -> float:
    """Return the start of the window of a (region name, sketches) pair; -inf if it is unknown."""
    since = item[1].since
    return -inf if since is None else since


class DelaySketches:
    """One sidecar's sketches of its delays, by region.

    `group` is the client group that the sidecar belongs to.
    """

    def __init__(self, group: str) -> None:
        self.group = group
        self._regions: dict[str, _Region] = {}
        self._window = 0  # Number of the current window
        # Time at which the current window opened with the last report, in seconds; None before the first one.
        self._window_opened_at: float | None = None

    def count_handshake(self, region: str, ms: float, *, cold: bool) -> None:
        """Count the duration of a handshake, in which a connection was opened.

        The handshake of a `cold` server, which has just started, is not counted: its duration is not that of
        the network path.
        """
        if not cold and MIN_DELAY_MS <= ms < MAX_DELAY_MS:
            sketches = self._regions.get(region) or self._add_region(region)
            if sketches is not None:
                bucket_index = int(log(ms) * _SCALE + _SHIFT)
                sketches.handshakes[bucket_index] = sketches.handshakes.get(bucket_index, 0) + 1

    def count_first_byte(self, region: str, ms: float, spent_ms: float = 0.0) -> None:
        """Count the time to the first byte of an answer, less the time that the server spent.

        `spent_ms` is 0 if the server did not state the time that it spent.
        """
        ms -= spent_ms
        # This is False for NaN, and for a server that states a longer time than the request took.
        if MIN_DELAY_MS <= ms < MAX_DELAY_MS:
            sketches = self._regions.get(region) or self._add_region(region)
            if sketches is not None:
                bucket_index = int(log(ms) * _SCALE + _SHIFT)
                sketches.first_bytes[bucket_index] = sketches.first_bytes.get(bucket_index, 0) + 1

    def take_rows(self, now_s: float) -> list[dict[str, object]]:
        """Return the rows of the next report at `now_s`, and start a new window for their regions.

        The regions that have waited longest come first, until the rows fill `REPORT_BYTES`. The other regions
        continue to count. A sidecar process uses each window number once, so that a receiver can recognize a
        report that arrives twice.
        """
        self._window += 1
        rows: list[dict[str, object]] = []
        bytes_left = REPORT_BYTES - 2  # Bytes left, without the brackets of the list
        for region, row in self._due_rows(now_s):
            size = len(json.dumps(row, separators=(",", ":"))) + 1
            if size > bytes_left and rows:
                break
            bytes_left -= size
            rows.append(row)
            del self._regions[region]
        self._window_opened_at = now_s
        return rows

    def _due_rows(self, now_s: float) -> Iterator[tuple[str, dict[str, object]]]:
        """Yield (region name, row) for each region that is due, the one that has waited longest first."""
        due = [item for item in self._regions.items() if now_s - _window_start(item) >= MIN_ROW_INTERVAL_S]
        for region, sketches in sorted(due, key=_window_start):
            row: dict[str, object] = {"region": region, "window": self._window}
            span_s = FIRST_SPAN_S if sketches.since is None else now_s - sketches.since
            row["span_ms"] = min(MAX_SPAN_MS, max(1, round(span_s * 1000.0)))
            for name, counts in (("shake", sketches.handshakes), ("first", sketches.first_bytes)):
                if counts:
                    row[name] = thinned(counts)
            yield region, row

    def _add_region(self, region: str) -> _Region | None:
        """Create and return the sketches of a region; None if `MAX_REGIONS` regions have sketches."""
        if len(self._regions) >= MAX_REGIONS:
            return None
        sketches = self._regions[region] = _Region(self._window_opened_at)
        return sketches
