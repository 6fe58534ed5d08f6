"""A straight line through what was measured at several sizes, and how far it can be trusted. Pure code."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from brassfall.lab.capacity.measurements import Measurement

TARGET = 5400  # sidecars for which the design is made
PERCENT = 100.0
SIGNIFICANT_DIGITS = 12  # of a figure that a line gives


@dataclass(frozen=True, slots=True)
class Line:
    """`at_zero + slope * size`, by least squares; `error` is the root mean square of the residuals.

    Without a second size there is no slope: the value measured is taken to hold at each size. With two sizes
    nothing is left over to judge the line by, and `error` is not a number."""

    sizes: tuple[int, ...]
    slope: float
    at_zero: float
    error: float

    def at(self, size: int) -> float:
        """The value that the line gives at a size."""
        return without_rounding_errors(self.at_zero + self.slope * size)

    @property
    def error_percent(self) -> float:
        """The error as a part of the value at the largest size that was measured."""
        largest = abs(self.at(self.sizes[-1]))
        return PERCENT * self.error / largest if largest else math.nan


def line(rows: list[Measurement]) -> Line:
    """The line through the rows of one quantity."""
    ordered = sorted(rows, key=lambda row: row.size)
    sizes = tuple(row.size for row in ordered)
    values = [row.value for row in ordered]
    mean = _mean(values)
    if len(set(sizes)) < 2:
        return Line(sizes[:1], 0.0, mean, math.nan)
    mean_size = _mean(sizes)
    distances = [size - mean_size for size in sizes]
    products = (distance * (value - mean) for distance, value in zip(distances, values, strict=True))
    slope = math.fsum(products) / math.fsum(distance**2 for distance in distances)
    at_zero = mean - slope * mean_size
    residuals = [value - (at_zero + slope * size) for size, value in zip(sizes, values, strict=True)]
    freedom = len(sizes) - 2
    error = math.sqrt(math.fsum(each**2 for each in residuals) / freedom) if freedom > 0 else math.nan
    return Line(sizes, slope, at_zero, error)


def _mean(values: Sequence[float]) -> float:
    """The mean, from an exactly rounded sum: the page must not depend on the order of a library's sums."""
    return math.fsum(values) / len(values)


def without_rounding_errors(value: float) -> float:
    """The value to `SIGNIFICANT_DIGITS`, so that one that ends in a half is printed the same everywhere."""
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")


@dataclass(frozen=True, slots=True)
class AtTarget:
    """A value at the size aimed at; `times` is that size by the largest measured (1: within those)."""

    value: float
    times: float


def value_at_target(rows: list[Measurement], target: int = TARGET) -> AtTarget:
    """The value measured at a size, or else what the line gives there.

    What falls with the size is taken to stay as it is at the largest size that was measured: no line makes a
    cost smaller than any that was seen."""
    largest = max(rows, key=lambda row: row.size)
    for row in rows:
        if row.size == target:
            return AtTarget(row.value, 1.0)
    times = target / largest.size
    if times < 1.0:
        return AtTarget(line(rows).at(target), 1.0)
    return AtTarget(max(largest.value, line(rows).at(target)), times)
