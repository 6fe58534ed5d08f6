"""Rows of measured figures, as `figures.json` holds them."""

from __future__ import annotations

from pathlib import Path

import msgspec

from brassfall.errors import UsageError


class Measurement(msgspec.Struct, frozen=True):
    """One measured quantity of one role at one size of the fleet: the median of `repeats` measurements.

    Of what should not be at all (sidecars that came too late), the most of them."""

    role: str
    quantity: str
    unit: str
    size: int
    value: float
    repeats: int


class MeasurementsError(UsageError):
    """A file of figures that can't be read."""

    action = "Name a figures.json that `lab capacity` has written, or measure anew."


def read(path: Path) -> list[Measurement]:
    """The rows of a file; `FiguresError` says what is wrong with it."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=list[Measurement])
    except OSError as error:
        raise MeasurementsError(str(path), error.strerror or str(error)) from error
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MeasurementsError(str(path), str(error)) from error


def write(path: Path, measurements: list[Measurement]) -> None:
    """Write a file, a row a line, in the order of roles as they first come."""
    lines = ",\n".join(msgspec.json.encode(measurement).decode() for measurement in measurements)
    path.write_text(f"[\n{lines}\n]\n")


def merged(stored: list[Measurement], new: list[Measurement]) -> list[Measurement]:
    """Rows held before with newer ones in place of those of the same role, quantity and size."""
    rows = {(each.role, each.quantity, each.size): each for each in stored}
    rows |= {(each.role, each.quantity, each.size): each for each in new}
    order: dict[str, int] = {}
    for each in (*stored, *new):
        order.setdefault(each.role, len(order))
    quantities: dict[tuple[str, str], int] = {}
    for each in (*stored, *new):
        quantities.setdefault((each.role, each.quantity), len(quantities))
    return sorted(
        rows.values(), key=lambda row: (order[row.role], quantities[row.role, row.quantity], row.size)
    )
