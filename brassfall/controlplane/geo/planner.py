"""Makes the next steering plan from estimated delays, demand and capacity. Pure code.

`allocation` finds the best shares; this module prepares its inputs and damps what comes out: a group moves at
most a stated share from one plan to the next, and a group that would move back moves half as far each time.
What a closed region must give up moves at once. Delays are in ms, demand and capacity in requests/s.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np

from brassfall.controlplane.geo.allocation import Allocation, allocate
from brassfall.controlplane.geo.arrays import Array
from brassfall.controlplane.geo.evidence import PairName
from brassfall.controlplane.geo.model import Pair
from brassfall.controlplane.geo.plan import Plan

WORK_MS = 5.0  # of a request, by default
MIN_STEP = 0.005  # the share that a group may always move
STEP_GROWTH = 2.0  # of a group's step while it moves on the same way
STEP_USED = 0.9  # a group that moved this part of its step used it up
UNCERTAIN_RATIO = 1.5  # high over low of the interval; a wider pair is to be explored
UNCERTAIN_AGE_MS = 60_000.0  # so is one that was measured longer ago
MIN_DEMAND = 0.01  # of the mean demand: a group without requests has a plan, too
MIN_DEMAND_PER_S = 1e-6
INTERVAL_SDS = 3.29  # sds from low to high of an interval of 90%
MAX_COST_SD = 1.5
NO_MOVE = 1e-6


@dataclass(frozen=True, slots=True)
class PlanPolicy:
    """The limits of plans."""

    min_spread: float  # no region has more than 1 less this of a group while another is open
    max_move: float  # the share that a group moves in one plan at most, besides what closed regions give up
    exploration: float  # see `Plan`; only while a pair is uncertain
    work_ms: float = WORK_MS  # for which a request keeps a server busy: the price of a queue goes by it


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """The present conditions, for which a plan is made."""

    pairs: Iterable[Pair]
    demand: Mapping[str, float]  # requests/s by group
    capacity: Mapping[str, float]  # requests/s by region; a region without is closed
    prices: Mapping[PairName, float] = field(default_factory=dict)  # ms that a pair costs more than its delay
    closed: Collection[str] = ()  # regions that are to have no share


@dataclass(frozen=True, slots=True)
class _Names:
    """The names behind the axes of the arrays."""

    groups: Sequence[str]  # N
    regions: Sequence[str]
    is_open: Sequence[str]  # M, those of the regions that may have shares

    def row(self, shares: Array) -> dict[str, float]:
        """Shares (M,) by region, 0 for closed ones."""
        by_region = dict(zip(self.is_open, map(float, shares), strict=True))
        return {region: by_region.get(region, 0.0) for region in self.regions}


def make_plan(inputs: PlanInputs, policy: PlanPolicy, before: Plan | None) -> Plan:
    """Return the plan that follows `before`. Where no region is open, all shares are 0."""
    by_name = {(pair.group, pair.region): pair for pair in inputs.pairs}
    names = _names(by_name, inputs)
    if not names.groups or not names.is_open:
        return Plan({group: dict.fromkeys(names.regions, 0.0) for group in names.groups})
    old = None if before is None else _old_shares(before, names)
    forced = np.zeros(len(names.groups)) if old is None else 1.0 - old.sum(axis=1)
    problem = _allocation(by_name, inputs, policy, names, old, _steps(before, names, policy) + forced)
    shares = allocate(problem)
    uncertain = any(
        _is_uncertain(by_name[group, region]) for group in names.groups for region in names.is_open
    )
    exploration = policy.exploration if uncertain else 0.0
    if before is None or old is None:
        rows = {group: names.row(shares[i]) for i, group in enumerate(names.groups)}
        return Plan(rows, exploration, shift=1.0, steps=dict.fromkeys(names.groups, policy.max_move))
    moves = [
        _damped(shares[i] - old[i], float(problem.movable[i] - forced[i]), forced[i], last, policy.max_move)
        for i, last in enumerate(_last_directions(before, names))
    ]
    return _damped_plan(before, old, moves, forced, problem, names, exploration)


def _names(by_name: Mapping[PairName, Pair], inputs: PlanInputs) -> _Names:
    groups = sorted({group for group, _ in by_name})
    regions = sorted({region for _, region in by_name})
    is_open = [r for r in regions if inputs.capacity.get(r, 0.0) > 0.0 and r not in inputs.closed]
    return _Names(groups, regions, is_open)


def _allocation(  # noqa: PLR0913 - one array each
    by_name: Mapping[PairName, Pair],
    inputs: PlanInputs,
    policy: PlanPolicy,
    names: _Names,
    old: Array | None,
    movable: Array,
) -> Allocation:
    cost = [
        [_cost(by_name[group, region], inputs.prices.get((group, region), 0.0)) for region in names.is_open]
        for group in names.groups
    ]
    return Allocation(
        cost=np.array(cost),
        demand=_demand(inputs.demand, names.groups),
        capacity=np.array([inputs.capacity[region] for region in names.is_open]),
        before=old,
        movable=movable,
        min_spread=policy.min_spread if len(names.is_open) > 1 else 0.0,
        work_ms=policy.work_ms,
    )


def _old_shares(before: Plan, names: _Names) -> Array:
    """(N, M) the shares before; a group that is new is taken to be spread evenly."""
    even = {region: 1.0 / len(names.is_open) for region in names.is_open}
    rows = [before.shares.get(group) or even for group in names.groups]
    return np.array([[row.get(region, 0.0) for region in names.is_open] for row in rows])


def _last_directions(before: Plan, names: _Names) -> list[Array]:
    """(M,) for each group, where it moved last."""
    rows = [before.directions.get(group, {}) for group in names.groups]
    return [np.array([row.get(region, 0.0) for region in names.is_open]) for row in rows]


def _steps(before: Plan | None, names: _Names, policy: PlanPolicy) -> Array:
    """(N,) the share that each group may move by itself; all of it where there is no plan yet."""
    if before is None:
        return np.ones(len(names.groups))
    steps = [min(policy.max_move, before.steps.get(group, policy.max_move)) for group in names.groups]
    return np.array(steps)


def _demand(demand: Mapping[str, float], groups: Sequence[str]) -> Array:
    """(N,) requests/s, a little for groups without any."""
    rates = np.array([max(0.0, demand.get(group, 0.0)) for group in groups])
    return np.asarray(np.maximum(rates, max(MIN_DEMAND_PER_S, MIN_DEMAND * float(rates.mean()))))


def _cost(pair: Pair, price: float) -> float:
    """Return the expected delay in ms, the mean over the interval, with the price."""
    sd = math.log(pair.high_ms / pair.low_ms) / INTERVAL_SDS
    return pair.delay_ms * math.exp(0.5 * min(sd, MAX_COST_SD) ** 2) + price


def _is_uncertain(pair: Pair) -> bool:
    is_wide = pair.high_ms > UNCERTAIN_RATIO * pair.low_ms
    return is_wide or pair.age_ms is None or pair.age_ms > UNCERTAIN_AGE_MS


# --- damping -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class _Move:
    """What one group does in this plan."""

    change: Array  # (M,) of its shares
    step: float  # that it has the next time


def _damped(change: Array, step: float, forced: float, last: Array, max_move: float) -> _Move:
    """Return a group's move: one back to where it came from is half as far, and less the next time.

    `change` (M,) is what the allocation wants, `step` what the group may move by itself, `forced` what closed
    regions give up, `last` (M,) the direction of its last move.
    """
    distance = 0.5 * float(np.abs(change).sum())
    moves_back = forced < NO_MOVE and math.fsum(change * last) < -1e-9
    if moves_back:
        step = max(MIN_STEP, 0.5 * step)
        return _Move(change * min(1.0, step / max(distance, 1e-9)), step)
    if distance > STEP_USED * step:
        step = min(max_move, STEP_GROWTH * step)
    return _Move(change, step)


def _damped_plan(  # noqa: PLR0913 - one array each
    before: Plan,
    old: Array,
    moves: Sequence[_Move],
    forced: Array,
    problem: Allocation,
    names: _Names,
    exploration: float,
) -> Plan:
    """Return the plan of the groups' moves, with what the next one needs."""
    rows: dict[str, dict[str, float]] = {}
    directions: dict[str, dict[str, float]] = {}
    shift = 0.0
    for i, (group, move) in enumerate(zip(names.groups, moves, strict=True)):
        distance = np.abs(move.change).sum()
        rows[group] = names.row(old[i] + move.change)
        if float(distance) > NO_MOVE:
            directions[group] = dict(zip(names.is_open, map(float, move.change), strict=True))
        else:
            directions[group] = dict(before.directions.get(group, {}))
        shift += float(problem.demand[i] / problem.demand.sum()) * 0.5 * float(distance + forced[i])
    steps = {group: move.step for group, move in zip(names.groups, moves, strict=True)}
    return Plan(rows, exploration, shift=shift, steps=steps, directions=directions)
