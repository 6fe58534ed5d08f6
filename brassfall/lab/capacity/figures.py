"""Rows of measured figures, as `figures.json` holds them."""

from __future__ import annotations

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """One measured quantity of one role at one size of the fleet: the median of `repeats` measurements."""

    role: str
    quantity: str
    unit: str
    size: int
    value: float
    repeats: int
