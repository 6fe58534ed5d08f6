"""From evidence to one level for each pair: the logarithm of its delay, how sure, and how old. Pure code.

What disturbs only ever adds (queues, jitter, a server's work), so a level is a low quantile. What an edge
says may be nonsense, so a pair's level is where most of its edges agree, each with one vote at most.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from brassfall.controlplane.geo.evidence import Row, value_ms

LOW = 0.1  # the quantile that stands for the undisturbed way
HALF_S = 30.0  # a row counts half as much as one that is younger by this
# A change: what was heard within one of these spans, against what is older. They are close enough that one of
# them ends soon after the change, for as long as there is anything older.
SPANS_S = (3.0, 5.0, 8.0, 12.0, 18.0, 27.0, 40.0, 60.0)
ACTIVE_S = 5.0  # a pair that was heard within it is measured
RECENT_LEAST, OLDER_LEAST = 8.0, 2.0  # figures on each side
SHAKES_LEAST = 2.0  # recent handshakes that may contradict
UNSTEADY = 0.7  # the logarithm of middle over low, at which an edge's figures are held for noise by half
RISE, FALL = 1.2, 0.85
HELD_UP = 1.15  # handshakes that rose by less contradict a rise of first bytes
# Spread of one figure around the low level, as parts of it, and the least error of a whole sketch.
SHAKE_SD, FIRST_SD, LEAST_SD = 0.12, 0.2, 0.02
ENOUGH = 20.0  # figures; more of them give an edge no more weight
AGREE = 0.08  # edges of one group agree when their levels differ by about this part
LONELY_SD = 0.5  # of a level that only one of several edges supports
UPPER_SD = 0.7  # of a first byte of which nobody knows how much the server spent


@dataclass(frozen=True, slots=True)
class EdgeLevel:
    """What one edge's rows say of one pair."""

    log_ms: float
    sd: float
    weight: float  # of its vote, at most 1
    heard_s: float


@dataclass(frozen=True, slots=True)
class Level:
    """What all edges of a group together say of one region."""

    log_ms: float
    sd: float
    heard_s: float
    edges: int
    support: float  # the part of the votes that agree


Pair = tuple[str, str]
Edges = Mapping[str, Sequence[Row]]
Rows = Mapping[Pair, Edges]
Trust = Mapping[str, float]  # from 0 to 1, by edge; 1 where it is not named
NO_DOUBT: Trust = {}
NEVER: Mapping[Pair, float] = {}
Weighted = list[tuple[int, float]]


def pooled(rows: Sequence[Row], kind: str, newest_s: float) -> Weighted:
    """Buckets of several windows as one sketch; older windows count less."""
    found: dict[int, float] = {}
    for row in rows:
        fade = 0.5 ** ((newest_s - row.heard_s) / HALF_S)
        for bucket, count in row.shake if kind == "shake" else row.first:
            found[bucket] = found.get(bucket, 0.0) + fade * count
    return sorted(found.items())


def total(points: Weighted) -> float:
    """Figures in a sketch, faded."""
    return sum(count for _, count in points)


def quantile(points: Weighted, part: float) -> float:
    """In ms; the sketch is not empty."""
    left = part * total(points)
    for bucket, count in points:
        left -= count
        if left <= 0.0:
            return value_ms(bucket)
    return value_ms(points[-1][0])


# --- changes -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class _Move:
    """How an edge's figures of one pair moved; `rise` and `fall` are 1 at rest."""

    recent: float  # figures
    older: float
    steady: float  # 1 where the older ones lie together, less where they are all over the place
    rise: float
    fall: float


def _move(recent: Sequence[Row], older: Sequence[Row], kind: str) -> _Move | None:
    now, before = pooled(recent, kind, recent[0].heard_s), pooled(older, kind, older[0].heard_s)
    if not now or not before:
        return None
    low, floor = quantile(now, LOW), quantile(before, LOW)
    steady = 1.0 / (1.0 + (math.log(quantile(before, 0.5) / floor) / UNSTEADY) ** 2)
    # Up only if nearly all that came lies above what was usual; down if half of it lies under the old floor.
    rise = low / floor if low > quantile(before, 0.6) else 1.0
    return _Move(total(now), total(before), steady, rise, min(1.0, quantile(now, 0.5) / floor))


def _median(values: Sequence[tuple[float, float]]) -> float:
    """Of (value, weight)."""
    left = 0.5 * sum(weight for _, weight in values)
    for value, weight in sorted(values):
        left -= weight
        if left <= 0.0:
            return value
    return 1.0


def _moved(edges: Edges, now_s: float, span_s: float, kind: str, trust: Trust) -> tuple[float, float, float]:
    """Over the edges of a pair: figures in the span, and how far they rose and fell (medians of votes)."""
    rises, falls, recent_n, older_n = [], [], 0.0, 0.0
    for edge, rows in edges.items():
        recent = [row for row in rows if row.heard_s > now_s - span_s]
        older = [row for row in rows if row.heard_s <= now_s - span_s]
        told = _move(recent, older, kind) if recent and older else None
        if told is not None:
            weight = min(told.recent, told.older, ENOUGH) * told.steady * trust.get(edge, 1.0)
            rises.append((told.rise, weight))
            falls.append((told.fall, weight))
            recent_n, older_n = recent_n + told.recent, older_n + told.older
    if recent_n < (RECENT_LEAST if kind == "first" else SHAKES_LEAST) or older_n < OLDER_LEAST:
        return 0.0, 1.0, 1.0
    return recent_n, _median(rises), _median(falls)


@dataclass(frozen=True, slots=True)
class Change:
    """A pair whose delay has moved; what was heard before `since_s` no longer counts."""

    since_s: float
    up: bool
    sure: bool  # handshakes say so too


def change(edges: Edges, now_s: float, trust: Trust = NO_DOUBT) -> Change | None:
    """Has a pair's delay moved? First bytes see it early; handshakes confirm or contradict.

    Dated by the shortest span that shows it: a longer one may reach back before it."""
    for span_s in SPANS_S:
        firsts, rise, fall = _moved(edges, now_s, span_s, "first", trust)
        shakes, shake_rise, shake_fall = _moved(edges, now_s, span_s, "shake", trust)
        if shakes >= RECENT_LEAST and shake_rise > RISE:
            return Change(now_s - span_s, True, True)
        if firsts and rise > RISE and not (shakes and shake_rise < HELD_UP):
            return Change(now_s - span_s, True, shakes > 0.0)
        if (firsts and fall < FALL) or (shakes >= RECENT_LEAST and shake_fall < FALL):
            return Change(now_s - span_s, False, True)
    return None


def changes(rows: Rows, now_s: float, trust: Trust = NO_DOUBT) -> dict[Pair, Change]:
    """All pairs that moved. Where most groups of a region rise at once, and no handshake, it is a queue."""
    told = ((pair, change(edges, now_s, trust)) for pair, edges in rows.items())
    found = {pair: moved for pair, moved in told if moved is not None}
    measured: dict[str, int] = {}
    doubtful: dict[str, int] = {}
    for pair, edges in rows.items():
        if any(row.first and row.heard_s > now_s - ACTIVE_S for each in edges.values() for row in each):
            measured[pair[1]] = measured.get(pair[1], 0) + 1
        moved = found.get(pair)
        if moved is not None and moved.up and not moved.sure:
            doubtful[pair[1]] = doubtful.get(pair[1], 0) + 1
    queues = {
        region
        for region, count in doubtful.items()
        if measured.get(region, 0) >= 3 and 2 * count > measured[region]
    }
    return {pair: moved for pair, moved in found.items() if moved.sure or pair[1] not in queues}


# --- levels ------------------------------------------------------------------------------------------------


def after(rows: Rows, since: Mapping[Pair, float]) -> dict[Pair, dict[str, Sequence[Row]]]:
    """The rows of each pair that were heard after its last change."""
    kept: dict[Pair, dict[str, Sequence[Row]]] = {}
    for pair, edges in rows.items():
        start = since.get(pair, -math.inf)
        left = {edge: [row for row in told if row.heard_s > start] for edge, told in edges.items()}
        if any(left.values()):
            kept[pair] = {edge: told for edge, told in left.items() if told}
    return kept


def fresh(
    rows: Rows, now_s: float, trust: Trust = NO_DOUBT, since: Mapping[Pair, float] = NEVER
) -> tuple[Rows, dict[Pair, float]]:
    """The rows that still count, and when each pair changed last, as far as known (`since`) or seen now."""
    kept = after(rows, since)
    seen = {pair: moved.since_s for pair, moved in changes(kept, now_s, trust).items()}
    return after(kept, seen), {pair: start for pair, start in since.items() if pair in rows} | seen


def offsets(rows: Rows) -> tuple[dict[str, float], float | None]:
    """What first bytes have more than handshakes, in ms: by region, and over all (None: nobody knows)."""
    by_region: dict[str, list[tuple[float, float]]] = {}
    for (_, region), edges in rows.items():
        for told in edges.values():
            newest = told[-1].heard_s
            shake, first = pooled(told, "shake", newest), pooled(told, "first", newest)
            weight = min(total(shake), total(first) / 4.0, ENOUGH / 4.0)
            if weight >= 0.5:
                apart = quantile(first, LOW) - quantile(shake, LOW)
                by_region.setdefault(region, []).append((max(0.0, apart), weight))
    found = {region: _median(values) for region, values in by_region.items()}
    return found, _median([pair for values in by_region.values() for pair in values]) if by_region else None


def edge_level(rows: Sequence[Row], offset_ms: float | None) -> EdgeLevel | None:
    """One edge's level: handshakes and corrected first bytes, each by how sure it is."""
    newest = rows[-1].heard_s
    shake, first = pooled(rows, "shake", newest), pooled(rows, "first", newest)
    told: list[tuple[float, float]] = []
    if shake:
        told.append((math.log(quantile(shake, LOW)), SHAKE_SD**2 / total(shake) + LEAST_SD**2))
    if first:
        low = quantile(first, LOW)
        way = max(low - (offset_ms or 0.0), 0.2 * low)
        variance = (FIRST_SD * low / way) ** 2 / total(first) + (2.0 * LEAST_SD * low / way) ** 2
        told.append((math.log(way), variance if offset_ms is not None else UPPER_SD**2))
    if not told:
        return None
    precision = sum(1.0 / variance for _, variance in told)
    log_ms = sum(value / variance for value, variance in told) / precision
    weight = min(1.0, (total(shake) + total(first)) / ENOUGH)
    return EdgeLevel(log_ms, math.sqrt(1.0 / precision), weight, newest)


def edge_levels(rows: Rows) -> dict[Pair, dict[str, EdgeLevel]]:
    """Of all pairs, by edge."""
    by_region, over_all = offsets(rows)
    found: dict[Pair, dict[str, EdgeLevel]] = {}
    for pair, edges in rows.items():
        offset = by_region.get(pair[1], over_all)
        levels = {
            edge: made for edge, told in edges.items() if (made := edge_level(told, offset)) is not None
        }
        if levels:
            found[pair] = levels
    return found


def agreed(
    levels: Mapping[str, EdgeLevel], trust: Mapping[str, float], prior: tuple[float, float] | None
) -> Level:
    """Where most edges agree; `prior` (log ms, sd) has a vote as well, which decides between equals."""
    votes = [(level, max(1e-3, level.weight * trust.get(edge, 1.0))) for edge, level in levels.items()]

    def score(centre: float) -> float:
        near = sum(weight * _near(level, centre) for level, weight in votes)
        return near + (0.5 * math.exp(-0.5 * ((prior[0] - centre) / prior[1]) ** 2) if prior else 0.0)

    centre = max((level.log_ms for level, _ in votes), key=score)
    for _ in range(3):
        parts = [(level, weight * _near(level, centre) / level.sd**2) for level, weight in votes]
        mass = sum(part for _, part in parts)
        centre = sum(level.log_ms * part for level, part in parts) / mass
    near = sum(weight * _near(level, centre) for level, weight in votes)
    support = near / sum(weight for _, weight in votes)
    scatter = sum(part * (level.log_ms - centre) ** 2 for level, part in parts) / mass
    own = sum(part * level.sd**2 for level, part in parts) / mass
    heads = mass**2 / sum(part**2 for _, part in parts)
    variance = max(own, scatter) / heads + LEAST_SD**2
    if len(votes) > 1 and support < 0.5:
        variance += (LONELY_SD * (1.0 - 2.0 * support)) ** 2
    return Level(centre, math.sqrt(variance), max(level.heard_s for level, _ in votes), len(votes), support)


def _near(level: EdgeLevel, centre: float) -> float:
    return math.exp(-0.5 * (level.log_ms - centre) ** 2 / (AGREE**2 + level.sd**2))


def trusts(
    levels: Mapping[Pair, Mapping[str, EdgeLevel]], centres: Mapping[Pair, tuple[float, float]]
) -> dict[str, float]:
    """How near each edge's levels are to the centres of its pairs (log ms, sd), over all; 1 is at them."""
    off: dict[str, list[tuple[float, float]]] = {}
    for pair, edges in levels.items():
        log_ms, sd = centres[pair]
        for edge, level in edges.items():
            off.setdefault(edge, []).append(
                (abs(level.log_ms - log_ms) / math.hypot(sd, level.sd, AGREE), level.weight)
            )
    return {edge: 1.0 / (1.0 + (_median(values) / 2.0) ** 2) for edge, values in off.items()}


def aged(level: Level, now_s: float, drift: float) -> Level:
    """A level grows uncertain with its age: `drift` is the sd, in parts, after a minute."""
    age = max(0.0, now_s - level.heard_s)
    return replace(level, sd=math.hypot(level.sd, drift * math.sqrt(age / 60.0)))
