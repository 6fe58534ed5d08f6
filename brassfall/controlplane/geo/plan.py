"""The steering plan: which share of each group's requests goes to which region. Pure code.

A linear programme (HiGHS): least expected delay and price, under capacity, with a floor of spread. It is
damped: a group moves at most a stated share an edition, only for a gain beyond `STICK`, and half as far each
time it would move back. What a closed region must give up moves at once. Delays are in ms, demand and
capacity in requests/s.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

import numpy as np
import numpy.typing as npt
from scipy.optimize import linprog
from scipy.sparse import coo_array

from brassfall.controlplane.geo.model import Pair
from brassfall.errors import Refused

Array = npt.NDArray[np.float64]
Shares = Mapping[str, Mapping[str, float]]

AGE_LIMIT_MS = 15_000.0
# Steps of a region's load; beyond the last is what the plan leaves for all that it doesn't know.
FILL = np.array([0.2, 0.35, 0.5, 0.6, 0.7, 0.775, 0.85])
WORK_MS = 5.0  # of a request, where nobody says
STICK = 0.1  # of a group's least delay: gains of less are no reason to move
STEP_LEAST = 0.005  # the share that a group may always move
GROWTH = 2.0  # of a group's step, an edition that goes on the same way
EASE_S = 30.0  # in which a region that comes back is filled
EASE_FROM = 0.1  # of its capacity at first
UNSURE = 1.5  # high over low; a pair wider than that is looked at again
LOOK_AGE_MS = 60_000.0  # so is one that was measured longer ago
SPARE_DEMAND = 0.01  # of the mean demand: a group without requests has a plan all the same


class PlanError(Refused):
    """A plan layer that cannot be used; `what` names the key."""

    action = "Publish a plan of the form in docs/geo.md; the plan that was published before stays."
    slug = "bad plan"


@dataclass(frozen=True, slots=True)
class Plan:
    """Shares by group and region, which add up to 1 or are all 0, and what the next plan needs to know."""

    shares: Shares
    look: float = 0.0  # of requests that bear it may try a region that has no share
    age_limit_ms: float = AGE_LIMIT_MS
    moved: float = 0.0  # of all requests, against the plan before
    steps: Mapping[str, float] = field(default_factory=dict)  # what each group may move next
    ways: Shares = field(default_factory=dict)  # where it last moved

    def as_json(self) -> dict[str, Any]:
        """The plan layer of an edition."""
        shares = {
            group: {r: round(share, 4) for r, share in each.items()} for group, each in self.shares.items()
        }
        return {"shares": shares, "look": self.look, "age_limit_ms": round(self.age_limit_ms)}


def from_json(layer: object) -> Plan:
    """A plan layer, checked; `PlanError` if it is none."""
    if not isinstance(layer, Mapping) or set(layer) != {"shares", "look", "age_limit_ms"}:
        raise PlanError("plan", "needs exactly shares, look and age_limit_ms")
    look, limit, shares = layer["look"], layer["age_limit_ms"], layer["shares"]
    if not _is_share(look):
        raise PlanError("plan.look", "must be a number from 0 to 1")
    if not (_is_number(limit) and 1_000.0 <= limit <= 600_000.0):
        raise PlanError("plan.age_limit_ms", "must be a number from 1,000 to 600,000")
    if not isinstance(shares, Mapping):
        raise PlanError("plan.shares", "must be an object by group")
    for group, each in shares.items():
        if not isinstance(each, Mapping) or not all(_is_share(share) for share in each.values()):
            raise PlanError(f"plan.shares.{group}", "must be shares from 0 to 1 by region")
        if each and not (abs(sum(each.values()) - 1.0) < 0.01 or not any(each.values())):
            raise PlanError(f"plan.shares.{group}", "must add up to 1, or be all 0")
    return Plan({group: dict(each) for group, each in shares.items()}, float(look), float(limit))


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _is_share(value: Any) -> bool:
    return _is_number(value) and 0.0 <= value <= 1.0


def weight(age_ms: float, limit_ms: float = AGE_LIMIT_MS) -> float:
    """How much a plan of this age counts: 1 up to its limit, then falling evenly to 0 at twice the limit."""
    return min(1.0, max(0.0, 2.0 - age_ms / limit_ms)) if age_ms >= 0.0 else 0.0


def ease(back_s: float) -> float:
    """The part of a region's capacity that may be planned for, so long after it came back."""
    return min(1.0, EASE_FROM + (1.0 - EASE_FROM) * max(0.0, back_s) / EASE_S)


def opened(before: Mapping[str, float], capacity: Mapping[str, float], now_s: float) -> dict[str, float]:
    """Since when each region has had capacity, by what was known before; for ever, where nothing was."""
    is_open = [region for region, each in capacity.items() if each > 0.0]
    return {region: before.get(region, now_s if before else -math.inf) for region in is_open}


@dataclass(frozen=True, slots=True)
class _Task:
    """All as arrays: groups by regions."""

    cost: Array
    demand: Array
    capacity: Array
    before: Array | None
    allowed: Array  # what each group may move
    floor: float
    work_ms: float


def plan(
    pairs: Iterable[Pair],
    demand: Mapping[str, float],
    capacity: Mapping[str, float],
    before: Plan | None,
    price: Mapping[tuple[str, str], float],
    floor: float,
    most_moved: float,
    look_share: float,
    held: Collection[str] = (),
    work_ms: float = WORK_MS,
) -> Plan:
    """The next plan.

    `price` is ms more for a pair (what crossing costs). No region has more than 1 - `floor` of a group while
    another is open. A group moves at most `most_moved` besides what closed regions give up; closed are those
    in `held`, and those without capacity. Where none is open, all shares are 0. `work_ms` is what a
    request keeps a server busy: it says how dear a queue is."""
    by_names = {(pair.group, pair.region): pair for pair in pairs}
    groups = sorted({group for group, _ in by_names})
    regions = sorted({region for _, region in by_names})
    is_open = [r for r in regions if capacity.get(r, 0.0) > 0.0 and r not in held]
    if not groups or not is_open:
        return Plan({group: dict.fromkeys(regions, 0.0) for group in groups})
    old = None if before is None else _old(before, groups, is_open)
    forced = np.zeros(len(groups)) if old is None else 1.0 - old.sum(axis=1)
    steps = {
        group: min(most_moved, before.steps.get(group, most_moved)) if before else 1.0 for group in groups
    }
    task = _Task(
        cost=np.array([[_cost(by_names[g, r], price.get((g, r), 0.0)) for r in is_open] for g in groups]),
        demand=_demand(demand, groups),
        capacity=np.array([capacity[r] for r in is_open]),
        before=old,
        allowed=np.array([steps[group] for group in groups]) + forced,
        floor=floor if len(is_open) > 1 else 0.0,
        work_ms=work_ms,
    )
    shares = _solved(task)
    unsure = any(_unsure(by_names[g, r]) for g in groups for r in is_open)
    made = Plan(
        {g: _row(shares[i], is_open, regions) for i, g in enumerate(groups)}, look_share if unsure else 0.0
    )
    if old is None or before is None:
        return replace(made, moved=1.0, steps=dict.fromkeys(groups, most_moved))
    return _damped(made, before, old, shares, task, groups, is_open, regions, forced, most_moved)


def _old(before: Plan, groups: list[str], regions: list[str]) -> Array:
    """The shares before; a group that is new is taken to be spread evenly."""
    even = {region: 1.0 / len(regions) for region in regions}
    rows = [before.shares.get(g) or even for g in groups]
    return np.array([[row.get(r, 0.0) for r in regions] for row in rows])


def _demand(demand: Mapping[str, float], groups: list[str]) -> Array:
    told = np.array([max(0.0, demand.get(group, 0.0)) for group in groups])
    return np.asarray(np.maximum(told, max(1e-6, SPARE_DEMAND * float(told.mean()))))


def _cost(pair: Pair, price: float) -> float:
    """The expected delay: the mean of what the interval says, which is above its middle."""
    sd = math.log(pair.high_ms / pair.low_ms) / 3.29
    return pair.delay_ms * math.exp(0.5 * min(sd, 1.5) ** 2) + price


def _unsure(pair: Pair) -> bool:
    return pair.high_ms > UNSURE * pair.low_ms or pair.age_ms is None or pair.age_ms > LOOK_AGE_MS


def _row(shares: Array, is_open: list[str], regions: list[str]) -> dict[str, float]:
    told = dict(zip(is_open, map(float, shares), strict=True))
    return {region: told.get(region, 0.0) for region in regions}


def _solved(task: _Task) -> Array:
    """The linear programme. Columns: shares, moved up, moved down, load by step, overflow, worst overflow.

    Load is filled in steps, each dearer than the one before by what the queue behind it costs. Overflow is
    allowed at a price far above any delay, so that there is always an answer; it is spread in parts of
    capacity, not heaped on one region."""
    n, m = task.cost.shape
    size, parts = n * m, len(FILL)
    over = 3 * size + m * parts
    demand = task.demand.sum()
    part = task.demand / demand
    dear = 100.0 * float(task.cost.max() + task.work_ms)
    stick = (
        np.repeat(0.5 * part * STICK * task.cost.min(axis=1), m)
        if task.before is not None
        else np.zeros(size)
    )
    queues = np.tile(task.work_ms * _queue_slopes(), m)
    ways = (part[:, None] * task.cost).ravel()
    cost = np.concatenate([ways, stick, stick, queues, np.full(m, dear), [10.0 * dear]])
    most = np.full(len(cost), np.inf)
    most[:size] = 1.0 - task.floor
    rows = _Rows(len(cost))
    for j in range(m):
        most[3 * size + j * parts : 3 * size + (j + 1) * parts] = (
            np.diff(FILL, prepend=0.0) * task.capacity[j] / demand
        )
        steps = [(3 * size + j * parts + k, -1.0) for k in range(parts)]
        rows.below([(i * m + j, part[i]) for i in range(n)] + steps + [(over + j, -1.0)], 0.0)
        rows.below([(over + j, 1.0), (over + m, -FILL[-1] * task.capacity[j] / demand)], 0.0)
    for i in range(n):
        rows.equal([(i * m + j, 1.0) for j in range(m)], 1.0)
    if task.before is not None:
        # What lies above the floor's bound comes down by steps, too.
        most[:size] = np.maximum(most[:size], task.before.ravel() - task.allowed.repeat(m))
        for i in range(n):
            rows.below([(size + i * m + j, 1.0) for j in range(m)], float(task.allowed[i]))
        for k, share in enumerate(task.before.ravel()):
            rows.equal([(k, 1.0), (size + k, -1.0), (2 * size + k, 1.0)], float(share))
    below, limits = rows.upper()
    same, values = rows.same()
    bounds: Any = np.column_stack([np.zeros(len(cost)), most])
    found = linprog(cost, below, limits, same, values, bounds, method="highs")
    if found.x is None:  # by the overflow there is an answer; should the solver fail, nothing moves
        return np.full((n, m), 1.0 / m) if task.before is None else task.before
    shares = np.clip(found.x[:size].reshape(n, m), 0.0, 1.0)
    return np.asarray(shares / shares.sum(axis=1, keepdims=True))


def _queue_slopes() -> Array:
    """What one more request costs all of a region's, by step of its load, in times of work (as M/M/1)."""
    ends = np.concatenate([[0.0], FILL])
    return np.asarray(np.diff(ends**2 / (1.0 - ends)) / np.diff(ends))


class _Rows:
    """Rows of the programme, sparse."""

    def __init__(self, columns: int) -> None:
        self._columns = columns
        self._below: list[tuple[list[tuple[int, float]], float]] = []
        self._equal: list[tuple[list[tuple[int, float]], float]] = []

    def below(self, terms: list[tuple[int, float]], limit: float) -> None:
        self._below.append((terms, limit))

    def equal(self, terms: list[tuple[int, float]], value: float) -> None:
        self._equal.append((terms, value))

    def upper(self) -> tuple[Any, Array]:
        return self._made(self._below)

    def same(self) -> tuple[Any, Array]:
        return self._made(self._equal)

    def _made(self, rows: list[tuple[list[tuple[int, float]], float]]) -> tuple[Any, Array]:
        at = [(i, column, value) for i, (terms, _) in enumerate(rows) for column, value in terms]
        i, j, values = zip(*at, strict=True)
        return coo_array((values, (i, j)), shape=(len(rows), self._columns)), np.array(
            [end for _, end in rows]
        )


def _damped(
    made: Plan,
    before: Plan,
    old: Array,
    shares: Array,
    task: _Task,
    groups: list[str],
    is_open: list[str],
    regions: list[str],
    forced: Array,
    most_moved: float,
) -> Plan:
    """A group that would go back where it came from goes half as far, and less the next time."""
    rows, steps, ways, moved = {}, {}, {}, 0.0
    for i, group in enumerate(groups):
        step = float(task.allowed[i] - forced[i])
        way = shares[i] - old[i]
        far = 0.5 * float(np.abs(way).sum())
        last = np.array([before.ways.get(group, {}).get(r, 0.0) for r in is_open])
        back = forced[i] < 1e-6 and float(way @ last) < -1e-9
        if back:
            step = max(STEP_LEAST, 0.5 * step)
            way = way * min(1.0, step / max(far, 1e-9))
        elif far > 0.9 * step:
            step = min(most_moved, GROWTH * step)
        rows[group] = _row(old[i] + way, is_open, regions)
        steps[group] = step
        told = dict(zip(is_open, map(float, way), strict=True))
        ways[group] = told if float(np.abs(way).sum()) > 1e-6 else dict(before.ways.get(group, {}))
        moved += float(task.demand[i] / task.demand.sum()) * 0.5 * float(np.abs(way).sum() + forced[i])
    return replace(made, shares=rows, steps=steps, ways=ways, moved=moved)
