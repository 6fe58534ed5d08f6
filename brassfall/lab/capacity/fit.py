"""A straight line through what was measured at several sizes, and how far it can be trusted. Pure code."""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy

from brassfall.lab.capacity.measurements import Measurement

TARGET = 5400  # sidecars for which the design is made
PERCENT = 100.0


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
        return self.at_zero + self.slope * size

    @property
    def error_percent(self) -> float:
        """The error as a part of the value at the largest size that was measured."""
        largest = abs(self.at(self.sizes[-1]))
        return PERCENT * self.error / largest if largest else math.nan


def line(rows: list[Measurement]) -> Line:
    """The line through the rows of one quantity."""
    ordered = sorted(rows, key=lambda row: row.size)
    sizes = tuple(row.size for row in ordered)
    values = numpy.array([row.value for row in ordered], dtype=float)
    if len(set(sizes)) < 2:
        return Line(sizes[:1], 0.0, float(values.mean()), math.nan)
    slope, at_zero = numpy.polyfit(numpy.array(sizes, dtype=float), values, 1)
    residuals = values - (at_zero + slope * numpy.array(sizes))
    freedom = len(sizes) - 2
    error = math.sqrt(float((residuals**2).sum()) / freedom) if freedom > 0 else math.nan
    return Line(sizes, float(slope), float(at_zero), error)


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
