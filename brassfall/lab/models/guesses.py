"""Simpler ways to estimate delays, to compare the geo model with. Pure code; the same evidence for all.

Each takes the median or mean of every delay that nodes reported, first bytes and handshakes alike, as most
monitoring does, and gives ms for every pair.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import numpy as np

from brassfall.controlplane.geo.evidence import State, bucket_middle_ms, by_pair

PairName = tuple[str, str]  # (client group, region)
Counted = tuple[float, int]  # (ms, how often)
Samples = Mapping[PairName, Sequence[Counted]]

PULL = 0.25  # of a spring, and of a new error in the mean of errors
ROUNDS = 60
MIN_HEIGHT_MS = 0.1


def samples_by_pair(state: State) -> dict[PairName, list[Counted]]:
    """All reported delays by pair."""
    found: dict[PairName, list[Counted]] = {}
    for pair, nodes in by_pair(state).items():
        for windows in nodes.values():
            for window in windows:
                points = (*window.handshakes, *window.first_bytes)
                found.setdefault(pair, []).extend((bucket_middle_ms(bucket), n) for bucket, n in points)
    return found


def _mean(samples: Iterable[Counted]) -> float:
    values = list(samples)
    return sum(ms * n for ms, n in values) / sum(n for _, n in values)


def by_average(samples: Samples, pairs: Iterable[PairName]) -> dict[PairName, float]:
    """The mean of a pair; that of all delays, where the pair was never measured."""
    overall = _mean(each for values in samples.values() for each in values)
    return {pair: _mean(samples[pair]) if pair in samples else overall for pair in pairs}


def by_zone(samples: Samples, pairs: Iterable[PairName], zones: Mapping[str, str]) -> dict[PairName, float]:
    """One delay for each zone of groups and zone of regions: the mean of their measured pairs."""
    overall = _mean(each for values in samples.values() for each in values)
    between: dict[tuple[str, str], list[Counted]] = {}
    for (group, region), values in samples.items():
        between.setdefault((zones[group], zones[region]), []).extend(values)
    means = {names: _mean(values) for names, values in between.items()}
    return {(group, region): means.get((zones[group], zones[region]), overall) for group, region in pairs}


def by_coordinates(
    samples: Samples, pairs: Iterable[PairName], rng: np.random.Generator, rounds: int = ROUNDS
) -> dict[PairName, float]:
    """Network coordinates with heights, by springs (Vivaldi).

    Each measured delay pulls its two ends by a part of its error; the less certain end moves further."""
    wanted = list(pairs)
    names = sorted({name for pair in (*samples, *wanted) for name in pair})
    index = {name: i for i, name in enumerate(names)}
    coordinates = _Coordinates(len(names), rng)
    medians = [(index[group], index[region], _median(values)) for (group, region), values in samples.items()]
    for _ in range(rounds):
        for k in rng.permutation(len(medians)):
            i, j, ms = medians[k]
            coordinates.pull(i, j, ms)
            coordinates.pull(j, i, ms)
    return {(group, region): coordinates.delay_ms(index[group], index[region]) for group, region in wanted}


class _Coordinates:
    """Places in a plane, heights above it, and how wrong each is."""

    def __init__(self, count: int, rng: np.random.Generator) -> None:
        self.place = rng.normal(0.0, 1.0, (count, 2))
        self.height = np.full(count, 1.0)
        self.error = np.ones(count)

    def delay_ms(self, one: int, other: int) -> float:
        """The delay by the coordinates."""
        distance = float(np.hypot(*(self.place[one] - self.place[other])))
        return float(distance + self.height[one] + self.height[other])

    def pull(self, moving: int, other: int, ms: float) -> None:
        """Move one end of a measured delay."""
        apart = self.place[moving] - self.place[other]
        distance = float(np.hypot(*apart))
        off = ms - (distance + self.height[moving] + self.height[other])
        trust = self.error[moving] / (self.error[moving] + self.error[other])
        relative = abs(off) / ms
        remaining = self.error[moving] * (1.0 - PULL * trust)
        self.error[moving] = min(1.0, relative * PULL * trust + remaining)
        pull = PULL * trust * off
        self.place[moving] += pull * apart / max(distance, 1e-6)
        height = self.height[moving]
        self.height[moving] = max(MIN_HEIGHT_MS, height + pull * height / max(distance + height, 1e-6))


def _median(samples: Sequence[Counted]) -> float:
    ordered = sorted(samples)
    counts = np.cumsum([n for _, n in ordered])
    return ordered[int(np.searchsorted(counts, counts[-1] / 2.0))][0]
