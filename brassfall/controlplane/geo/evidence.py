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
from typing import Any, NamedTuple, TypeGuard
from zlib import crc32

WIDTH, LEAST_MS, BUCKETS = (
    1.05,
    0.05,
    287,
)  # as sidecar.agent.delays has them; a test holds them together
WINDOWS = 16  # of one region that are kept of an edge
LIVES = 3  # of one edge that are kept, the last heard
EDGES_MOST = 5000
EDGES_HEARD = 16  # of one pair: enough for most of them to be honest when a third is not
SILENT_S = 10.0
ROWS_MOST = 64  # of one report
POINTS_MOST = 16  # of one sketch
COUNT_MOST = 100_000  # of one point
SPAN_MOST_MS = 3_600_000.0
NAME_MOST = 128
FORGET_S = 3600.0
BUCKET_OF = {str(bucket): bucket for bucket in range(BUCKETS)}

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


class Heard(NamedTuple):
    """What can be used of one report."""

    edge: str
    life: str
    group: str
    rows: tuple[tuple[str, int, Points, Points], ...]
    now_s: float


def sift(rows: object) -> Sifted:
    """What of a report can be used; never raises, whatever was sent."""
    if not isinstance(rows, Sequence) or isinstance(rows, str | bytes):
        return Sifted((), {"rows": 1})
    refused: Counter[str] = Counter()
    good = []
    for row in rows[:ROWS_MOST]:
        told = _sifted(row)
        if isinstance(told, str):
            refused[told] += 1
        else:
            good.append(told)
    if len(rows) > ROWS_MOST:
        refused["too many"] += len(rows) - ROWS_MOST
    return Sifted(tuple(good), dict(refused))


def _sifted(row: object) -> tuple[str, int, Points, Points] | str:
    """The row as it is kept, or what is wrong with it."""
    if not isinstance(row, Mapping):
        return "row"
    region, window, span = row.get("region"), row.get("window"), row.get("span_ms")
    if not _is_name(region):
        return "region"
    if not isinstance(window, int) or isinstance(window, bool) or not 0 <= window < 2**53:
        return "window"
    if not isinstance(span, int | float) or isinstance(span, bool) or not 0.0 < span <= SPAN_MOST_MS:
        return "span_ms"
    shake, first = _points(row.get("shake", {})), _points(row.get("first", {}))
    if shake is None or first is None:
        return "shake" if shake is None else "first"
    return (region, window, shake, first) if shake or first else "empty"


def _is_name(text: object) -> TypeGuard[str]:
    return isinstance(text, str) and 0 < len(text) <= NAME_MOST


def _points(counts: object) -> Points | None:
    """A sketch as it is kept; None if it is none."""
    if not isinstance(counts, Mapping) or len(counts) > POINTS_MOST:
        return None
    together: dict[int, int] = {}
    for key, number in counts.items():
        bucket = BUCKET_OF.get(key) if isinstance(key, str) else None
        if bucket is None or type(number) is not int or not 0 < number <= COUNT_MOST:
            return None
        together[bucket] = number
    return tuple(sorted(together.items()))


def merge(state: State, edge: str, life: str, group: str, rows: object, now_s: float) -> State:
    """The state with a report added; the same state where it holds nothing new or nothing usable."""
    return gathered(state, [Heard(edge, life, group, sift(rows).rows, now_s)])


def gathered(state: State, many: Iterable[Heard]) -> State:
    """The state with reports added in their order, as by `merge`: what there is of edges is copied once."""
    edges = dict(state.edges)
    good = [heard for heard in many if _add(edges, heard)]
    return replace(state, edges=edges) if good else state


def _add(edges: dict[str, Any], heard: Heard) -> bool:
    edge, life, group, rows, now_s = heard
    if not (rows and _is_name(edge) and _is_name(life) and _is_name(group) and math.isfinite(now_s)):
        return False
    lives = dict(edges.get(edge, {}))
    tracks = dict(lives.get((life, group), {}))
    for region, window, shake, first in rows:
        tracks[region] = _with(tracks.get(region, {}), window, Row(now_s, shake, first))
    lives[life, group] = _newest(tracks, ROWS_MOST)
    edges[edge] = _newest_lives(lives)
    if len(edges) > EDGES_MOST:
        del edges[min(edges, key=lambda name: (last_heard(edges[name]), name))]
    return True


def _with(track: Track, window: int, row: Row) -> Track:
    """A window twice: the content that sorts first (an honest edge has one), and the earlier hearing."""
    before = track.get(window)
    if before is not None:
        shake, first = min((before.shake, before.first), (row.shake, row.first))
        row = Row(min(before.heard_s, row.heard_s), shake, first)
    made = {**track, window: row}
    if len(made) > WINDOWS:
        del made[min(made)]
    return made


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


def by_pair(state: State, edges_most: int = EDGES_HEARD) -> dict[tuple[str, str], dict[str, list[Row]]]:
    """Rows by (group, region) and edge, oldest first; an edge's lives together count as one edge.

    Of a pair with very many edges some speak for all: the same ones each time, those that are silent last."""
    found: dict[tuple[str, str], dict[str, list[Row]]] = {}
    for edge, lives in state.edges.items():
        for (_, group), tracks in lives.items():
            for region, track in tracks.items():
                found.setdefault((group, region), {}).setdefault(edge, []).extend(track.values())
    return {pair: _speakers(edges, edges_most) for pair, edges in found.items()}


def _speakers(edges: dict[str, list[Row]], most: int) -> dict[str, list[Row]]:
    made = {edge: sorted(rows)[-WINDOWS:] for edge, rows in edges.items()}
    if len(made) <= most:
        return made
    newest = max(rows[-1].heard_s for rows in made.values())
    order = sorted(
        made, key=lambda edge: (made[edge][-1].heard_s < newest - SILENT_S, crc32(edge.encode()), edge)
    )
    return {edge: made[edge] for edge in order[:most]}


def count(points: Iterable[tuple[int, int]]) -> int:
    """How many figures a sketch holds."""
    return sum(number for _, number in points)
