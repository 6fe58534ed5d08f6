"""The tables of the capacity page, made of figures alone. Pure code.

In a page each table stands between `<!-- table NAME -->` and `<!-- end -->`; what stands there is replaced.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable

from brassfall.errors import UsageError
from brassfall.lab.capacity.budgets import BUDGETS, Budget
from brassfall.lab.capacity.fit import TARGET, line, value_at_target, without_rounding_errors
from brassfall.lab.capacity.measurements import Measurement
from brassfall.lab.capacity.roles import MACHINE, TARGETS

MARKED = re.compile(r"(<!-- table (?P<name>[a-z ,'-]+) -->\n).*?(<!-- end -->)", re.DOTALL)
BUDGET_TABLE = "budgets"
THOUSAND = 1000
FAR = 1.05  # times the largest size measured: beyond, a value counts as extrapolated


class PageError(UsageError):
    """A page whose tables can't be written."""

    action = "Name one of the tables in the marker, or measure the part that gives it."


def number(value: float) -> str:
    """A figure with three digits that count."""
    if math.isnan(value):
        return "-"
    if math.isinf(value):
        return "never"
    value = without_rounding_errors(value)
    if not value:
        return "0"  # also where a fit gives a negative one
    if abs(value) >= THOUSAND:
        return f"{value:,.0f}"
    text = f"{value:.3g}"
    if "e" in text:
        text = f"{value:.6f}".rstrip("0").rstrip(".")
    return "0" if text == "-0" else text


def with_unit(value: float, unit: str) -> str:
    """A figure and its unit."""
    return f"{number(value)} {unit}".rstrip()


def by_quantity(measurements: Iterable[Measurement]) -> dict[tuple[str, str], list[Measurement]]:
    """Rows of each quantity of each role, by size."""
    found: dict[tuple[str, str], list[Measurement]] = {}
    for measurement in measurements:
        found.setdefault((measurement.role, measurement.quantity), []).append(measurement)
    return {key: sorted(rows, key=lambda row: row.size) for key, rows in found.items()}


def roles(measurements: Iterable[Measurement]) -> list[str]:
    """The roles, in the order in which they come first."""
    return list(dict.fromkeys(measurement.role for measurement in measurements))


def table(head: list[str], rows: list[list[str]]) -> str:
    """A table in Markdown."""
    lines = [f"| {' | '.join(head)} |", f"|{'---|' * len(head)}"]
    return "\n".join([*lines, *(f"| {' | '.join(row)} |" for row in rows)]) + "\n"


def measured(rows: list[Measurement]) -> str:
    """What was measured at each size."""
    return "; ".join(f"{number(row.value)} at {row.size:,}" for row in rows)


def slope(rows: list[Measurement]) -> str:
    """What a thousand more add, and the fit's error."""
    fitted = line(rows)
    if len(fitted.sizes) < 2:
        return "-"
    error = fitted.error_percent
    text = "two sizes: no error" if math.isnan(error) else f"error {error:.0f}%"
    return f"{number(THOUSAND * fitted.slope)} ({text})"


def at_target(rows: list[Measurement], target: int) -> str:
    """The value at the size aimed at, and how far that is extrapolated."""
    found = value_at_target(rows, target)
    if len(rows) == 1 and found.times > FAR:
        return f"not measured beyond {rows[0].size:,}"
    text = with_unit(found.value, rows[0].unit)
    return f"{text} (x{found.times:.1f} beyond what was measured)" if found.times > FAR else text


def role_table(measurements: list[Measurement], role: str) -> str:
    """All quantities of a role. What tells of the machine has no size that is aimed at."""
    if role == MACHINE:
        found = by_quantity(measurements).items()
        return table(
            ["quantity", "measured"], [[name, measured(rows)] for (of, name), rows in found if of == role]
        )
    target = TARGETS.get(role, TARGET)
    rows = [
        [quantity, measured(rows), rows[0].unit, slope(rows), at_target(rows, target), _repeats(rows)]
        for (of, quantity), rows in by_quantity(measurements).items()
        if of == role
    ]
    return table(["quantity", "measured", "unit", "slope, per 1,000", f"at {target:,}", "repeats"], rows)


def _repeats(rows: list[Measurement]) -> str:
    least, most = min(row.repeats for row in rows), max(row.repeats for row in rows)
    return str(least) if least == most else f"{least} to {most}"


def budget_table(measurements: list[Measurement]) -> str:
    """Each budget, and how much of it is used at the target size. What is over says so."""
    measured_rows = by_quantity(measurements)
    rows = [_budget_row(budget, measured_rows.get((budget.role, budget.quantity), [])) for budget in BUDGETS]
    head = ["role", "quantity", "measured", "slope, per 1,000", "at full size", "budget", "part of it used"]
    return table([*head, "what carries it"], rows)


def _budget_row(budget: Budget, rows: list[Measurement]) -> list[str]:
    if not rows:
        none = ["not measured", "-", "-"]
        return [budget.role, budget.quantity, *none, f"{budget.of}", "not known", budget.mechanism]
    target = budget.at or TARGETS.get(budget.role, TARGET)
    allowed = f"{with_unit(budget.limit, rows[0].unit)} ({budget.of})"
    return [
        budget.role,
        budget.quantity,
        measured(rows),
        slope(rows),
        f"{at_target(rows, target)}, at {target:,}",
        allowed,
        used(rows, target, budget.limit),
        budget.mechanism,
    ]


def used(rows: list[Measurement], target: int, limit: float) -> str:
    """How much of a budget is used at the size aimed at; where there is no slope, at the one measured."""
    if len(rows) == 1 and rows[0].size < target / FAR:
        return f"{verdict(rows[0].value / limit)} at {rows[0].size:,}; not known at {target:,}"
    return verdict(value_at_target(rows, target).value / limit)


def verdict(part: float) -> str:
    """How much of a budget is used, in words where that is more than all."""
    if math.isinf(part):
        return "**over budget: it is never reached**"
    if part > 1.0:
        return f"**over budget: {part:.1f} times what is allowed**"
    return f"{100.0 * part:.1f}%"


def tables(measurements: list[Measurement]) -> dict[str, str]:
    """Each table by its name."""
    made = {BUDGET_TABLE: budget_table(measurements)}
    return made | {role: role_table(measurements, role) for role in roles(measurements)}


def document(measurements: list[Measurement]) -> str:
    """All tables, as a page of their own."""
    made = tables(measurements)
    first = f"# Capacity, from figures.json\n\n## Budgets at {TARGET:,} sidecars\n\n{made[BUDGET_TABLE]}"
    return first + "".join(f"\n## {role}\n\n{made[role]}" for role in roles(measurements))


def filled(text: str, measurements: list[Measurement]) -> str:
    """A page with its tables written anew; `PageError` names a table that there is none of."""
    made = tables(measurements)

    def put(found: re.Match[str]) -> str:
        name = found["name"]
        if name not in made:
            raise PageError(f"table {name!r}", f"there are {', '.join(made)}")
        return f"{found[1]}{made[name]}{found[3]}"

    return MARKED.sub(put, text)
