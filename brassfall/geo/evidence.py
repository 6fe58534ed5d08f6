"""What edges reported of their delays: merged so that order and repetition do not matter. Pure code.

A row is kept under its edge, life, group, region and window; the same window again changes nothing but that
the earlier time of hearing holds. Of each region an edge has its newest `WINDOWS` windows, so no edge
outweighs others by telling more, and one that tells little keeps what it told for longer. Ages are
counted from when a row was heard, on the clock of whoever merges (seconds).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

WIDTH, LEAST_MS, BUCKETS = 1.05, 0.05, 287  # as fordtrestle.fleet.delays has them; a test holds them together
WINDOWS = 16  # of one region that are kept of an edge
LIVES = 3  # of one edge that are kept, the last heard
EDGES_MOST = 5000
ROWS_MOST = 64  # of one report
POINTS_MOST = 16  # of one sketch
COUNT_MOST = 100_000  # of one point
SPAN_MOST_MS = 3_600_000.0
NAME_MOST = 128
FORGET_S = 3600.0

Points = tuple[tuple[int, int], ...]  # (bucket, count), by bucket
Life = tuple[str, str]  # of an edge: its life, and the group it said it is of


@dataclass(frozen=True, slots=True, order=True)
class Row:
    """One window of one edge's delays to one region; `heard_s` is when it was merged first."""

    heard_s: float
    shake: Points
    first: Points


Track = Mapping[int, Row]  # by window


@dataclass(frozen=True, slots=True)
class State:
    """All evidence: edge, then life and group, then region, then window. Never changed in place."""

    edges: Mapping[str, Mapping[Life, Mapping[str, Track]]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Sifted:
    """The good rows of a report, as (region, window, shake, first), and why others were refused."""

    rows: tuple[tuple[str, int, Points, Points], ...]
    refused: Mapping[str, int]


def value_ms(bucket: float) -> float:
    """The middle of a bucket, in ms."""
    return float(LEAST_MS * WIDTH ** (bucket + 0.5))


def sift(rows: object) -> Sifted:
    """What of a report can be used; never raises, whatever was sent."""
    if not isinstance(rows, Sequence) or isinstance(rows, str | bytes):
        return Sifted((), {"rows": 1})
    refused: Counter[str] = Counter()
    good = []
    for row in rows[:ROWS_MOST]:
        reason = _wrong(row)
        if reason:
            refused[reason] += 1
            continue
        good.append((row["region"], row["window"], _points(row["shake"]), _points(row["first"])))
    if len(rows) > ROWS_MOST:
        refused["too many"] += len(rows) - ROWS_MOST
    return Sifted(tuple(good), dict(refused))


def _wrong(row: object) -> str:
    if not isinstance(row, Mapping):
        return "row"
    if not _is_name(row.get("region")):
        return "region"
    window, span = row.get("window"), row.get("span_ms")
    if not isinstance(window, int) or isinstance(window, bool) or not 0 <= window < 2**53:
        return "window"
    if not isinstance(span, int | float) or isinstance(span, bool) or not 0.0 < span <= SPAN_MOST_MS:
        return "span_ms"
    for name in ("shake", "first"):
        if not _is_sketch(row.get(name)):
            return name
    return "" if row["shake"] or row["first"] else "empty"


def _is_name(text: object) -> bool:
    return isinstance(text, str) and 0 < len(text) <= NAME_MOST


def _is_sketch(counts: object) -> bool:
    if not isinstance(counts, Mapping) or len(counts) > POINTS_MOST:
        return False
    for key, count in counts.items():
        if not (isinstance(key, str) and key.isascii() and key.isdigit() and len(key) <= 3):
            return False
        if int(key) >= BUCKETS or type(count) is not int or not 0 < count <= COUNT_MOST:
            return False
    return True


def _points(counts: Mapping[str, int]) -> Points:
    together: Counter[int] = Counter()
    for key, count in counts.items():
        together[int(key)] += count  # "7" and "07" are one bucket
    return tuple(sorted(together.items()))


def merge(state: State, edge: str, life: str, group: str, rows: object, now_s: float) -> State:
    """The state with a report added; the same state where it holds nothing new or nothing usable."""
    if not (_is_name(edge) and _is_name(life) and _is_name(group) and math.isfinite(now_s)):
        return state
    good = sift(rows).rows
    if not good:
        return state
    lives = dict(state.edges.get(edge, {}))
    tracks = dict(lives.get((life, group), {}))
    for region, window, shake, first in good:
        tracks[region] = _with(tracks.get(region, {}), window, Row(now_s, shake, first))
    lives[life, group] = _newest(tracks, ROWS_MOST)
    edges = dict(state.edges)
    edges[edge] = _newest_lives(lives)
    if len(edges) > EDGES_MOST:
        del edges[min(edges, key=lambda name: (last_heard(edges[name]), name))]
    return replace(state, edges=edges)


def _with(track: Track, window: int, row: Row) -> Track:
    """A window twice: the content that sorts first (an honest edge has one), and the earlier hearing."""
    before = track.get(window)
    if before is not None:
        shake, first = min((before.shake, before.first), (row.shake, row.first))
        row = Row(min(before.heard_s, row.heard_s), shake, first)
    made = {**track, window: row}
    return {number: made[number] for number in sorted(made)[-WINDOWS:]}


def _newest(tracks: Mapping[str, Track], most: int) -> Mapping[str, Track]:
    if len(tracks) <= most:
        return tracks
    by_age = sorted(tracks, key=lambda region: (_heard(tracks[region]), region))
    return {region: tracks[region] for region in by_age[-most:]}


def _newest_lives(lives: Mapping[Life, Mapping[str, Track]]) -> Mapping[Life, Mapping[str, Track]]:
    if len(lives) <= LIVES:
        return lives
    by_age = sorted(lives, key=lambda life: (last_heard({life: lives[life]}), life))
    return {life: lives[life] for life in by_age[-LIVES:]}


def _heard(track: Track) -> float:
    return max(row.heard_s for row in track.values())


def last_heard(lives: Mapping[Life, Mapping[str, Track]]) -> float:
    """When an edge's newest row was heard."""
    return max((_heard(track) for tracks in lives.values() for track in tracks.values()), default=-math.inf)


def forget(state: State, now_s: float, after_s: float = FORGET_S) -> State:
    """Without edges that have been silent for so long; to be called now and then."""
    kept = {edge: lives for edge, lives in state.edges.items() if last_heard(lives) > now_s - after_s}
    return state if len(kept) == len(state.edges) else replace(state, edges=kept)


def by_pair(state: State) -> dict[tuple[str, str], dict[str, list[Row]]]:
    """All rows by (group, region) and edge, oldest first; an edge's lives together count as one edge."""
    found: dict[tuple[str, str], dict[str, list[Row]]] = {}
    for edge, lives in state.edges.items():
        for (_, group), tracks in lives.items():
            for region, track in tracks.items():
                found.setdefault((group, region), {}).setdefault(edge, []).extend(track.values())
    for edges in found.values():
        for edge, rows in edges.items():
            edges[edge] = sorted(rows)[-WINDOWS:]
    return found


def count(points: Iterable[tuple[int, int]]) -> int:
    """How many figures a sketch holds."""
    return sum(number for _, number in points)
