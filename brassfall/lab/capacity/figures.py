"""One row of the measurements behind the capacity page."""

from __future__ import annotations

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """What one role needs of one quantity at one size."""

    role: str
    quantity: str
    unit: str
    size: int
    value: float
    repeats: int
