"""Simpler ways to guess delays, to hold the geo model against. Pure code; the same evidence for all.

Each takes the middle of every figure that edges reported, first bytes and handshakes alike, as most
monitoring does, and gives ms for every pair.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import numpy as np

from brassfall.controlplane.geo.evidence import State, bucket_middle_ms, by_pair

Pair = tuple[str, str]
Figures = Mapping[Pair, Sequence[tuple[float, int]]]  # (ms, count)


def figures(state: State) -> dict[Pair, list[tuple[float, int]]]:
    """All figures by pair."""
    found: dict[Pair, list[tuple[float, int]]] = {}
    for pair, edges in by_pair(state).items():
        for rows in edges.values():
            for row in rows:
                found.setdefault(pair, []).extend(
                    (bucket_middle_ms(b), n) for b, n in (*row.handshakes, *row.first_bytes)
                )
    return found


def _mean(told: Iterable[tuple[float, int]]) -> float:
    values = list(told)
    return sum(ms * n for ms, n in values) / sum(n for _, n in values)


def by_average(told: Figures, pairs: Iterable[Pair]) -> dict[Pair, float]:
    """The mean of a pair; of all figures, where it was never tried."""
    over_all = _mean(each for values in told.values() for each in values)
    return {pair: _mean(told[pair]) if pair in told else over_all for pair in pairs}


def by_zone(told: Figures, pairs: Iterable[Pair], zones: Mapping[str, str]) -> dict[Pair, float]:
    """One figure for each zone of groups and zone of regions: the mean of their tried pairs."""
    over_all = _mean(each for values in told.values() for each in values)
    between: dict[tuple[str, str], list[tuple[float, int]]] = {}
    for (group, region), values in told.items():
        between.setdefault((zones[group], zones[region]), []).extend(values)
    means = {names: _mean(values) for names, values in between.items()}
    return {(g, r): means.get((zones[g], zones[r]), over_all) for g, r in pairs}


def by_coordinates(
    told: Figures, pairs: Iterable[Pair], rng: np.random.Generator, rounds: int = 60
) -> dict[Pair, float]:
    """Network coordinates with heights, by springs: each figure pulls its two ends by a part of its error."""
    wanted = list(pairs)
    names = sorted({name for pair in (*told, *wanted) for name in pair})
    index = {name: i for i, name in enumerate(names)}
    place, height, error = (
        rng.normal(0.0, 1.0, (len(names), 2)),
        np.full(len(names), 1.0),
        np.ones(len(names)),
    )
    middles = [(index[g], index[r], _median(values)) for (g, r), values in told.items()]
    for _ in range(rounds):
        for k in rng.permutation(len(middles)):
            i, j, ms = middles[k]
            for a, b in ((i, j), (j, i)):
                apart = place[a] - place[b]
                far = float(np.hypot(*apart))
                off = ms - (far + height[a] + height[b])
                trust = error[a] / (error[a] + error[b])
                part = abs(off) / ms
                error[a] = min(1.0, part * 0.25 * trust + error[a] * (1.0 - 0.25 * trust))
                pull = 0.25 * trust * off
                place[a] += pull * apart / max(far, 1e-6)
                height[a] = max(0.1, height[a] + pull * height[a] / max(far + height[a], 1e-6))
    found = {}
    for g, r in wanted:
        a, b = index[g], index[r]
        found[g, r] = float(np.hypot(*(place[a] - place[b])) + height[a] + height[b])
    return found


def _median(told: Sequence[tuple[float, int]]) -> float:
    ordered = sorted(told)
    counts = np.cumsum([n for _, n in ordered])
    return ordered[int(np.searchsorted(counts, counts[-1] / 2.0))][0]
