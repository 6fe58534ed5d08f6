"""The table of a benchmark: for each measured quantity the values of all rounds."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import median

import msgspec


class Row(msgspec.Struct):
    """One measured quantity, with a value of each round."""

    quantity: str
    unit: str
    values: list[float]

    def markdown(self) -> str:
        """Return the line of the table: median, least and most of the values."""
        statistics = (median(self.values), min(self.values), max(self.values))
        cells = [self.quantity, *(f"{statistic:,.4g}" for statistic in statistics), self.unit]
        return f"| {' | '.join(cells)} |"


class Table:
    """The rows of the table, in the order of their first values."""

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}

    def add(self, quantity: str, unit: str, value: float) -> None:
        """Add a value to the row of a quantity."""
        self._rows.setdefault(quantity, Row(quantity, unit, [])).values.append(value)

    def markdown(self) -> str:
        """Return the table."""
        head = ["| measured | median | least | most | unit |", "| --- | ---: | ---: | ---: | --- |"]
        return "\n".join([*head, *(row.markdown() for row in self._rows.values())])


def percentile(values: Sequence[float], fraction: float) -> float:
    """Return the value that a fraction of all values do not exceed."""
    return sorted(values)[min(len(values) - 1, int(fraction * len(values)))]
