"""The linear programme behind a plan: least expected delay and price under capacity and damping. Pure code.

Its variables are, for N groups and M regions: the share of each group at each region; how far each share is
moved up, and down, from the plan before; the load of each region by steps, each step dearer than the one
below it by what the queue at that load costs; the overflow of each region beyond the last step; and the
worst overflow. Overflow is allowed at a price far above any delay, so that there is always a solution; it
is spread in proportion to capacity and not heaped on one region. Loads are parts of all demand.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array

from brassfall.controlplane.geo.arrays import Array

# Ends of the steps of a region's load, as parts of its capacity; what lies beyond the last is reserve.
LOAD_STEPS = np.array([0.2, 0.35, 0.5, 0.6, 0.7, 0.775, 0.85])
MAX_LOAD = LOAD_STEPS[-1]
INERTIA = 0.1  # of a group's least delay: smaller gains are no reason to move
OVERFLOW_PRICE = 100.0  # times the dearest pair
WORST_OVERFLOW_PRICE = 10.0  # times that of overflow

Terms = list[tuple[int, float]]  # (column, factor)


@dataclass(frozen=True, slots=True)
class Allocation:
    """One programme; N groups and M open regions."""

    cost: Array  # (N, M) ms
    demand: Array  # (N,) requests/s, above 0
    capacity: Array  # (M,) requests/s, above 0
    before: Array | None  # (N, M) shares; None where there is no plan yet
    movable: Array  # (N,) the share that each group may move
    min_spread: float  # no region has more than 1 less this of a group
    work_ms: float  # for which a request keeps a server busy: the price of a queue goes by it


@dataclass(frozen=True, slots=True)
class _Columns:
    """Where each variable stands."""

    groups: int
    regions: int

    @property
    def shares(self) -> int:
        """Number of shares."""
        return self.groups * self.regions

    @property
    def total(self) -> int:
        return self.overflow(self.regions) + 1

    def share(self, group: int, region: int) -> int:
        return group * self.regions + region

    def up(self, share: int) -> int:
        return self.shares + share

    def down(self, share: int) -> int:
        return 2 * self.shares + share

    def load(self, region: int, step: int) -> int:
        return 3 * self.shares + region * len(LOAD_STEPS) + step

    def overflow(self, region: int) -> int:
        return 3 * self.shares + self.regions * len(LOAD_STEPS) + region

    @property
    def worst_overflow(self) -> int:
        return self.overflow(self.regions)


class _Constraints:
    """Rows of the programme, sparse."""

    def __init__(self, columns: int) -> None:
        self._columns = columns
        self._rows: list[tuple[Terms, float]] = []

    def add(self, terms: Terms, bound: float) -> None:
        self._rows.append((terms, bound))

    def matrix(self) -> tuple[Any, Array]:
        """Return the matrix (rows, columns) and the bounds (rows,)."""
        entries = [(i, column, factor) for i, (terms, _) in enumerate(self._rows) for column, factor in terms]
        rows, columns, factors = zip(*entries, strict=True)
        shape = (len(self._rows), self._columns)
        return coo_array((factors, (rows, columns)), shape=shape), np.array(
            [bound for _, bound in self._rows]
        )


def allocate(problem: Allocation) -> Array:
    """Return the shares (N, M) of the best allocation; those of the plan before if there is none."""
    n, m = problem.cost.shape
    columns = _Columns(n, m)
    below, limits = _upper_rows(problem, columns).matrix()
    equal, values = _equality_rows(problem, columns).matrix()
    costs = _costs(problem, columns)
    bounds: Any = np.column_stack([np.zeros(len(costs)), _upper_bounds(problem, columns)])
    found = linprog(costs, below, limits, equal, values, bounds, method="highs")
    if found.x is None:
        return np.full((n, m), 1.0 / m) if problem.before is None else problem.before
    shares = np.clip(found.x[: columns.shares].reshape(n, m), 0.0, 1.0)
    return np.asarray(shares / shares.sum(axis=1, keepdims=True))


def _costs(problem: Allocation, columns: _Columns) -> Array:
    """(columns,) what one unit of each variable costs, in ms of a mean request."""
    m = columns.regions
    part = problem.demand / problem.demand.sum()
    overflow = OVERFLOW_PRICE * float(problem.cost.max() + problem.work_ms)
    if problem.before is not None:
        inertia = np.repeat(0.5 * part * INERTIA * problem.cost.min(axis=1), m)
    else:
        inertia = np.zeros(columns.shares)
    queues = np.tile(problem.work_ms * _queue_slopes(), m)
    delays = (part[:, None] * problem.cost).ravel()
    worst = [WORST_OVERFLOW_PRICE * overflow]
    return np.concatenate([delays, inertia, inertia, queues, np.full(m, overflow), worst])


def _queue_slopes() -> Array:
    """Return (steps,) the cost of one more request for all of a region, in times of work (M/M/1 queue)."""
    ends = np.concatenate([[0.0], LOAD_STEPS])
    return np.asarray(np.diff(ends**2 / (1.0 - ends)) / np.diff(ends))


def _upper_bounds(problem: Allocation, columns: _Columns) -> Array:
    """(columns,) of each variable; the lower bounds are 0."""
    m = columns.regions
    demand = problem.demand.sum()
    bounds = np.full(columns.total, np.inf)
    bounds[: columns.shares] = 1.0 - problem.min_spread
    for region in range(m):
        steps = np.diff(LOAD_STEPS, prepend=0.0) * problem.capacity[region] / demand
        bounds[columns.load(region, 0) : columns.load(region + 1, 0)] = steps
    if problem.before is not None:
        # A share above the bound of the spread comes down by steps, too.
        least = problem.before.ravel() - problem.movable.repeat(m)
        bounds[: columns.shares] = np.maximum(bounds[: columns.shares], least)
    return bounds


def _upper_rows(problem: Allocation, columns: _Columns) -> _Constraints:
    """Rows whose sum is at most the bound: loads, overflows and movements."""
    n, m = problem.cost.shape
    demand = problem.demand.sum()
    part = problem.demand / demand
    rows = _Constraints(columns.total)
    for region in range(m):
        requests = [(columns.share(group, region), part[group]) for group in range(n)]
        steps = [(columns.load(region, step), -1.0) for step in range(len(LOAD_STEPS))]
        overflow = columns.overflow(region)
        rows.add([*requests, *steps, (overflow, -1.0)], 0.0)
        worst = (columns.worst_overflow, -MAX_LOAD * problem.capacity[region] / demand)
        rows.add([(overflow, 1.0), worst], 0.0)
    if problem.before is not None:
        for group in range(n):
            ups = [(columns.up(columns.share(group, region)), 1.0) for region in range(m)]
            rows.add(ups, float(problem.movable[group]))
    return rows


def _equality_rows(problem: Allocation, columns: _Columns) -> _Constraints:
    """Rows whose sum is the bound: the shares of a group, and each share's movement."""
    n, m = problem.cost.shape
    rows = _Constraints(columns.total)
    for group in range(n):
        rows.add([(columns.share(group, region), 1.0) for region in range(m)], 1.0)
    if problem.before is not None:
        for share, before in enumerate(problem.before.ravel()):
            rows.add([(share, 1.0), (columns.up(share), -1.0), (columns.down(share), 1.0)], float(before))
    return rows
