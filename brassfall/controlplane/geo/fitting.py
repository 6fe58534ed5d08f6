"""Fitting of the embedding's parameters to measured pairs, from fixed starts. Pure code.

Least squares of logarithms, robust by reweighting. Small steps alone leave a group or region on the wrong
side of the others, so each is also set to its most likely place on a grid, for as long as that makes the
fit better.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy.optimize import least_squares

from brassfall.controlplane.geo.arrays import Array, Index
from brassfall.controlplane.geo.embedding import GROUP_PRIOR, REGION_PRIOR, SOFT, Problem
from brassfall.controlplane.geo.linear_algebra import gram_matrix, inverse, matrix_product
from brassfall.controlplane.geo.marginals import Grid, Measured, candidate_grid, most_likely

STARTS = 6
MAX_RELOCATIONS = 6  # for one start
MIN_IMPROVEMENT = 0.98  # of the cost, for another relocation
ITERATIONS, FINAL_ITERATIONS = 20, 40
TOLERANCE = 1e-4
FIRST_DETOUR = 0.15  # before any is estimated
MIN_DETOUR = 0.05  # how much a pair differs from the model at least, as a relative part
DETOUR_ROUNDS = 3
ROBUST = 2.5  # residuals of more sds count less
MAD_TO_SD = 1.483  # the sd of a normal distribution over its median absolute deviation
MIN_FREEDOM = 0.2
MAX_LEVERAGE = 0.98


@dataclass(frozen=True, slots=True)
class Fit:
    """Parameters, and how badly they fit."""

    parameters: Array
    cost: float


def best_fit(problem: Problem, errors: Array, starts: Sequence[Array]) -> tuple[Array, float]:
    """Return the best parameters from these starts, and the detour: the sd of pairs from the model.

    `errors` (P,) are the sds of the measured pairs themselves.
    """
    detour = FIRST_DETOUR
    sds = np.hypot(errors, detour)
    ranked = sorted((refine(problem, start, sds) for start in starts), key=lambda fit: fit.cost)
    parameters = min((_relocated(problem, fit, sds) for fit in ranked), key=lambda fit: fit.cost).parameters
    for _ in range(DETOUR_ROUNDS):
        predicted, jacobian = problem.predict(parameters)
        residuals = problem.log_delay - predicted
        leverage = _leverage(problem, jacobian, np.hypot(errors, detour))
        # The part of a pair's freedom that the fit has left.
        freedom = max(MIN_FREEDOM, 1.0 - float(leverage.mean()))
        spread = MAD_TO_SD * float(np.median(np.abs(residuals))) / math.sqrt(freedom)
        detour = math.sqrt(max(MIN_DETOUR**2, spread**2 - float(np.median(errors)) ** 2))
        sds = _robust(residuals, np.hypot(errors, detour))
        parameters = _solve(problem, parameters, sds, FINAL_ITERATIONS)
    return parameters, detour


def refine(problem: Problem, start: Array, sds: Array) -> Fit:
    """Solved from a start twice, the second time with less weight on what the first left far off."""
    parameters = _solve(problem, start, sds, ITERATIONS)
    residuals = problem.log_delay - problem.predict(parameters)[0]
    parameters = _solve(problem, parameters, _robust(residuals, sds), ITERATIONS)
    return Fit(parameters, _cost(problem, parameters, sds))


def _solve(problem: Problem, start: Array, sds: Array, iterations: int) -> Array:
    """Return the best parameters near a start, by least squares with these sds (P,) and the prior."""
    mean, spread = problem.prior()

    def residuals(parameters: Array) -> Array:
        predicted, _ = problem.predict(parameters)
        return np.concatenate([(predicted - problem.log_delay) / sds, (parameters - mean) / spread])

    def jacobian(parameters: Array) -> Array:
        _, derivatives = problem.predict(parameters)
        return np.vstack([derivatives / sds[:, None], np.diag(1.0 / spread)])

    found = least_squares(
        residuals, start, jacobian, method="lm", max_nfev=iterations, ftol=TOLERANCE, xtol=TOLERANCE
    )
    return np.asarray(found.x, dtype=np.float64)


def _cost(problem: Problem, parameters: Array, sds: Array) -> float:
    """How badly parameters fit; a pair that is very far off costs little more than one that is far off."""
    mean, spread = problem.prior()
    z2 = ((problem.predict(parameters)[0] - problem.log_delay) / sds) ** 2
    likelihood = 0.5 * ROBUST**2 * np.log1p(z2 / ROBUST**2)
    return float(likelihood.sum() + 0.5 * (((parameters - mean) / spread) ** 2).sum())


def _robust(residuals: Array, sds: Array) -> Array:
    """Larger sds for pairs that are far off."""
    return np.asarray(sds * np.sqrt(1.0 + (residuals / (ROBUST * sds)) ** 2))


def _leverage(problem: Problem, jacobian: Array, sds: Array) -> Array:
    """(P,) how much each measured pair pulls its own prediction: the diagonal of the hat matrix."""
    _, spread = problem.prior()
    scaled = jacobian / sds[:, None]
    covariance = inverse(gram_matrix(scaled) + np.diag(spread**-2.0))
    return np.asarray(np.minimum(MAX_LEVERAGE, np.einsum("ij,jk,ik->i", scaled, covariance, scaled)))


# --- relocation --------------------------------------------------------------------------------------------


def _relocated(problem: Problem, fit: Fit, sds: Array) -> Fit:
    """Relocate and refine for as long as the fit gets better."""
    for _ in range(MAX_RELOCATIONS):
        relocated = refine(problem, _relocate_all(problem, fit.parameters, sds), sds)
        if relocated.cost > MIN_IMPROVEMENT * fit.cost:
            break
        fit = relocated
    return fit


def _relocate_all(problem: Problem, parameters: Array, sds: Array) -> Array:
    """Each group set to its most likely place, the regions fixed; then each region likewise."""
    relocated = parameters.copy()
    parts = problem.parts(relocated)
    grid = candidate_grid(GROUP_PRIOR, parts.region_access, parts.region_places, SOFT)
    _relocate(grid, parts.group_access, parts.group_places, problem, (problem.group, problem.region), sds)
    grid = candidate_grid(REGION_PRIOR, parts.group_access, parts.group_places, SOFT)
    _relocate(grid, parts.region_access, parts.region_places, problem, (problem.region, problem.group), sds)
    return relocated


def _relocate(  # noqa: PLR0913 - one array each
    grid: Grid, access: Array, places: Array, problem: Problem, ends: tuple[Index, Index], sds: Array
) -> None:
    """Write the most likely accesses and places of one end of the pairs, given the other end's."""
    own, other = ends
    for i in range(len(access)):
        mine = np.flatnonzero(own == i)
        best = most_likely(grid, Measured(other[mine], problem.log_delay[mine], sds[mine]))
        access[i], places[i] = grid.access[best], grid.place[best]


# --- starts ------------------------------------------------------------------------------------------------


def fixed_starts(problem: Problem) -> list[Array]:
    """Parameters to start from: regions on rings in varying order, groups near the regions close to them."""
    return [_start(problem, turn) for turn in range(STARTS)]


def _start(problem: Problem, turn: int) -> Array:
    n, m = problem.groups, problem.regions
    region_places = _ring(m, turn)
    weight = np.zeros((n, m))
    weight[problem.group, problem.region] = np.exp(-2.0 * np.exp(problem.log_delay))
    group_places = matrix_product(weight, region_places) / np.maximum(weight.sum(axis=1), 1e-9)[:, None]
    parameters, _ = problem.prior()
    parts = problem.parts(parameters)
    parts.group_places[:], parts.region_places[:] = group_places, region_places
    return parameters


def _ring(count: int, turn: int) -> Array:
    """(count, 2) places on two circles, each turn in another order and at another angle."""
    indices, stride = np.arange(count), 2 * turn + 1
    order = (indices * stride + turn) % count if math.gcd(stride, count) == 1 else indices ^ 1
    angle = 2.0 * np.pi * (order + 0.37 * turn) / count + turn
    radius = 0.6 + 0.3 * ((indices + turn) % 2)
    return np.asarray(radius[:, None] * np.column_stack([np.cos(angle), np.sin(angle)]))
