"""What the embedding says of every pair, and how certain that is. Pure code.

A group's predictions are taken over all places that it may have (`marginals`), given the fitted regions. The
prediction of a measured pair leaves that pair's own measurement out; the errors of these held-out predictions
calibrate all others.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np

from brassfall.controlplane.geo.arrays import Array, Flags, Index
from brassfall.controlplane.geo.embedding import GROUP_PRIOR, SOFT, Problem
from brassfall.controlplane.geo.evidence import PairName
from brassfall.controlplane.geo.fitting import refine
from brassfall.controlplane.geo.linear_algebra import gram_matrix, inverse
from brassfall.controlplane.geo.marginals import Measured, candidate_grid, marginal

FOLDS = 5
HIDDEN_SD = 1e3  # of a pair that a fit is not to see
PRIOR_PAIRS = 20.0  # so many pairs' worth of belief that errors are normal
NORMAL_90 = 1.645  # nine in ten of a normal distribution lie within so many sds
MIN_WIDENING = 0.5
LONE_SIBLING_VARIANCE = 0.5  # added where there is only one sibling to go by


@dataclass(frozen=True, slots=True)
class Prediction:
    """The logarithm of a pair's delay in ms, and its sd, without the pair's own measurement."""

    log_ms: float
    sd: float


Predictions = dict[PairName, Prediction]


@dataclass(frozen=True, slots=True)
class FittedPairs:
    """A fitted problem with the names of its pairs, groups and regions, in the order of its indices."""

    problem: Problem
    parameters: Array
    errors: Array  # (P,) sds of the measurements
    detour: float  # how much pairs differ from the model (sd)
    pairs: Sequence[PairName]  # P
    groups: Sequence[str]  # N
    regions: Sequence[str]  # M

    @property
    def sds(self) -> Array:
        """(P,) of measurements and detours together."""
        return np.asarray(np.hypot(self.errors, self.detour))


def predict_all(fitted: FittedPairs) -> Predictions:
    """Predictions of all pairs of the fitted groups and regions."""
    problem = fitted.problem
    held_out, held_out_sd = _held_out(fitted)
    residuals = np.abs(problem.log_delay - held_out) / np.hypot(held_out_sd, fitted.errors)
    widening = _widening(residuals)
    everywhere = [np.arange(problem.regions)] * problem.groups
    every_pair = np.ones(len(fitted.pairs), dtype=bool)
    mean, sd = _marginals(fitted, fitted.parameters, every_pair, everywhere)
    predictions = {
        (group, region): Prediction(float(mean[i, j]) + problem.log_scale, widening * float(sd[i, j]))
        for i, group in enumerate(fitted.groups)
        for j, region in enumerate(fitted.regions)
    }
    for pair, value, spread in zip(fitted.pairs, held_out, held_out_sd, strict=True):
        predictions[pair] = Prediction(float(value) + problem.log_scale, widening * float(spread))
    return predictions


def _held_out(fitted: FittedPairs) -> tuple[Array, Array]:
    """Means and sds (P,) of the measured pairs, each from a fit that did not see it (nor its fold)."""
    problem, sds = fitted.problem, fitted.sds
    mean, sd = np.zeros(len(sds)), np.ones(len(sds))
    fold = (problem.group + problem.region + np.arange(len(sds))) % FOLDS
    for number in range(FOLDS):
        hidden = fold == number
        if not hidden.any():
            continue
        parameters = refine(problem, fitted.parameters, np.where(hidden, HIDDEN_SD, sds)).parameters
        wanted = [problem.region[hidden & (problem.group == i)] for i in range(problem.groups)]
        all_mean, all_sd = _marginals(fitted, parameters, ~hidden, wanted)
        at = problem.group[hidden], problem.region[hidden]
        mean[hidden], sd[hidden] = all_mean[at], all_sd[at]
    return mean, sd


def _marginals(
    fitted: FittedPairs, parameters: Array, seen: Flags, wanted: Sequence[Index]
) -> tuple[Array, Array]:
    """Means and sds (N, M) over all places of each group, from the measured pairs that are `seen` (P,).

    Only at the regions `wanted` of each group; zero elsewhere.
    """
    problem, sds = fitted.problem, fitted.sds
    parts = problem.parts(parameters)
    candidates = candidate_grid(GROUP_PRIOR, parts.region_access, parts.region_places, SOFT)
    region_sds = _region_sds(problem, parameters, np.where(seen, sds, HIDDEN_SD))
    mean, sd = np.zeros((2, problem.groups, problem.regions))
    for i, regions in enumerate(wanted):
        if len(regions):
            mine = np.flatnonzero((problem.group == i) & seen)
            measured = Measured(problem.region[mine], problem.log_delay[mine], sds[mine])
            found = marginal(candidates, measured, regions)
            mean[i, regions] = found.mean
            sd[i, regions] = np.sqrt(found.sd**2 + region_sds[regions] ** 2 + fitted.detour**2)
    return mean, sd


def _region_sds(problem: Problem, parameters: Array, sds: Array) -> Array:
    """(M,) the error that a region's own parameters add to its predictions, the groups being known."""
    _, jacobian = problem.predict(parameters)
    _, spread = problem.prior()
    found = np.zeros(problem.regions)
    for j in range(problem.regions):
        columns = problem.region_columns(j)
        mine = problem.region == j
        block = jacobian[np.ix_(mine, columns)]
        scaled = block / sds[mine, None]
        covariance = inverse(gram_matrix(scaled) + np.diag(spread[columns] ** -2.0))
        found[j] = math.sqrt(float(np.mean(np.einsum("ij,jk,ik->i", block, covariance, block))))
    return found


def _widening(scores: Array) -> float:
    """Return the factor of all sds that puts nine in ten held-out pairs within their 90% intervals."""
    seen = float(np.quantile(scores, 0.9)) / NORMAL_90
    part = len(scores) / (len(scores) + PRIOR_PAIRS)
    return max(MIN_WIDENING, part * seen + 1.0 - part)


# --- what was never measured -------------------------------------------------------------------------------


def add_unmeasured(
    predictions: Predictions, fitted: FittedPairs, groups: Sequence[str], regions: Sequence[str]
) -> None:
    """Add the groups and regions without any measurement: like their siblings, with the siblings' spread."""
    new_regions = [region for region in regions if region not in fitted.regions]
    for group in fitted.groups:
        like_others = _like([predictions[group, region] for region in fitted.regions])
        predictions.update({(group, region): like_others for region in new_regions})
    for group in (each for each in groups if each not in fitted.groups):
        for region in regions:
            predictions[group, region] = _like([predictions[other, region] for other in fitted.groups])


def _like(siblings: Sequence[Prediction]) -> Prediction:
    mean = sum(each.log_ms for each in siblings) / len(siblings)
    spread = sum((each.log_ms - mean) ** 2 + each.sd**2 for each in siblings) / len(siblings)
    return Prediction(mean, math.sqrt(spread + (LONE_SIBLING_VARIANCE if len(siblings) == 1 else 0.0)))
