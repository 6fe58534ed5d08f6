"""Sketches of delays: pooled over windows, their quantiles, and weighted medians. Pure code.

What disturbs a measurement (queues, jitter, a server's work) only ever adds to it, so the undisturbed delay
is read at a low quantile.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence

from brassfall.controlplane.geo.evidence import PairName, Points, WindowSample, bucket_middle_ms

LOW_QUANTILE = 0.1  # stands for the undisturbed delay
HALF_LIFE_S = 30.0  # a window counts half as much as one that is younger by this

WeightedPoints = list[tuple[int, float]]  # (bucket, weighted count), by bucket
NodeWindows = Mapping[str, Sequence[WindowSample]]  # by node, oldest first
PairWindows = Mapping[PairName, NodeWindows]
Trust = Mapping[str, float]  # from 0 to 1, by node; 1 where a node is not named
FULL_TRUST: Trust = {}


class Measure(enum.Enum):
    """What was timed."""

    HANDSHAKE = "handshake"
    FIRST_BYTE = "first byte"

    def points(self, sample: WindowSample) -> Points:
        """Its sketch in one window."""
        return sample.handshakes if self is Measure.HANDSHAKE else sample.first_bytes


def pooled(samples: Sequence[WindowSample], measure: Measure, newest_s: float) -> WeightedPoints:
    """One sketch of several windows; a window's weight halves with each `HALF_LIFE_S` before `newest_s`."""
    found: dict[int, float] = {}
    for sample in samples:
        weight = 0.5 ** ((newest_s - sample.received_s) / HALF_LIFE_S)
        for bucket, count in measure.points(sample):
            found[bucket] = found.get(bucket, 0.0) + weight * count
    return sorted(found.items())


def total(points: WeightedPoints) -> float:
    """Return the weighted number of delays in a sketch."""
    return sum(count for _, count in points)


def quantile(points: WeightedPoints, part: float) -> float:
    """Return the delay in ms below which this part of a sketch lies; raise IndexError if it is empty."""
    left = part * total(points)
    for bucket, count in points:
        left -= count
        if left <= 0.0:
            return bucket_middle_ms(bucket)
    return bucket_middle_ms(points[-1][0])


def weighted_median(values: Sequence[tuple[float, float]]) -> float:
    """Return the median of (value, weight); 1 if there are none."""
    left = 0.5 * sum(weight for _, weight in values)
    for value, weight in sorted(values):
        left -= weight
        if left <= 0.0:
            return value
    return 1.0
