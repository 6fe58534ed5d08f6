"""Quantities as people write them, with units: durations, rates, and ranges to sample from. Pure code."""

from __future__ import annotations

import math
import re
from typing import Any, Self

UNITS_MS = {"us": 0.001, "ms": 1.0, "s": 1000.0, "min": 60_000.0}
WRITTEN = re.compile(r"(-?[0-9.]+(?:e-?[0-9]+)?) ?(/?[a-z]+)")


def _written(text: Any, units: dict[str, float], example: str) -> float:
    found = WRITTEN.fullmatch(text) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"{text!r} is not a number with a unit, as in {example!r}")
    number, unit = found.groups()
    if unit not in units:
        raise ValueError(f"{text!r}: the unit {unit!r} is none of {', '.join(units)}")
    value = float(number) * units[unit]
    if value < 0.0:
        raise ValueError(f"{text!r} is negative")
    if not math.isfinite(value):
        raise ValueError(f"{text!r} is out of range")
    return value


class Ms(float):
    """A duration in milliseconds, written as `"250 ms"` or `"12 s"`."""

    @classmethod
    def read(cls, text: Any) -> Self:
        """The value of an experiment file; `ValueError` says what is wrong with it."""
        return cls(_written(text, UNITS_MS, "250 ms"))


class Rate(float):
    """A number of events each second, written as `"260 /s"`."""

    @classmethod
    def read(cls, text: Any) -> Self:
        """The value of an experiment file; `ValueError` says what is wrong with it."""
        return cls(_written(text, {"/s": 1.0, "/min": 1.0 / 60.0}, "260 /s"))


class Spread(tuple[float, float]):
    """A range of plain numbers that a day samples from: one number, or the least and the most."""

    @classmethod
    def read(cls, text: Any) -> Self:
        """The value of an experiment file; `ValueError` says what is wrong with it."""
        ends = text if isinstance(text, list) else [text, text]
        if len(ends) != 2 or not all(_plain(end) for end in ends):
            raise ValueError(f"{text!r} is neither a number of 0 or more nor a pair of them")
        return cls((float(ends[0]), float(ends[1])))

    def __new__(cls, ends: tuple[float, float]) -> Self:
        """Of the least and the most; `ValueError` if they are the other way round."""
        if ends[0] > ends[1]:
            raise ValueError(f"{ends[0]:g} to {ends[1]:g}: the least comes first")
        return super().__new__(cls, ends)

    def at(self, chance: float) -> float:
        """The value at a position from 0 to 1 in the range."""
        return self[0] + (self[1] - self[0]) * chance


class Span(Spread):
    """A range of durations in milliseconds."""

    @classmethod
    def read(cls, text: Any) -> Self:
        """The value of an experiment file; `ValueError` says what is wrong with it."""
        ends = text if isinstance(text, list) else [text, text]
        if len(ends) != 2:
            raise ValueError(f"{text!r} is neither a duration nor a pair of them")
        return cls((Ms.read(ends[0]), Ms.read(ends[1])))


def _plain(value: Any) -> bool:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    return number and math.isfinite(value) and value >= 0.0


def read(kind: type, text: Any) -> Any:
    """The hook by which msgspec reads these types."""
    if issubclass(kind, Ms | Rate | Spread):
        return kind.read(text)
    raise NotImplementedError(f"no quantity of type {kind}")
