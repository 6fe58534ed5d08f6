"""Delays of all pairs from those that were measured, by the places of groups and regions. Pure code.

`embedding` is the model, `fitting` finds its parameters, `predictions` says what follows for each pair.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np

from brassfall.controlplane.geo.arrays import Array
from brassfall.controlplane.geo.embedding import Problem
from brassfall.controlplane.geo.evidence import PairName
from brassfall.controlplane.geo.fitting import best_fit, fixed_starts
from brassfall.controlplane.geo.predictions import FittedPairs, Prediction, add_unmeasured, predict_all


@dataclass(frozen=True, slots=True)
class WarmStart:
    """The parameters of a fit, for the next fit of the same names to start from; it costs less."""

    groups: tuple[str, ...]
    regions: tuple[str, ...]
    parameters: Array


@dataclass(frozen=True, slots=True)
class Positions:
    """Predictions of all pairs; those of measured pairs leave the pair's own measurement out."""

    predictions: Mapping[PairName, Prediction]
    warm_start: WarmStart | None


def fit_positions(
    levels: Mapping[PairName, tuple[float, float]],
    groups: Sequence[str],
    regions: Sequence[str],
    warm_start: WarmStart | None = None,
) -> Positions:
    """Fit the embedding to the levels (log ms, sd) of measured pairs; predict all pairs of these names."""
    pairs = sorted(levels)
    if not pairs:
        return Positions({}, None)
    measured_groups = [group for group in groups if any(pair[0] == group for pair in pairs)]
    measured_regions = [region for region in regions if any(pair[1] == region for pair in pairs)]
    log_ms = np.array([levels[pair][0] for pair in pairs])
    errors = np.array([levels[pair][1] for pair in pairs])
    log_scale = float(np.median(log_ms))
    problem = Problem(
        groups=len(measured_groups),
        regions=len(measured_regions),
        group=np.array([measured_groups.index(pair[0]) for pair in pairs]),
        region=np.array([measured_regions.index(pair[1]) for pair in pairs]),
        log_delay=log_ms - log_scale,
        log_scale=log_scale,
    )
    names = tuple(measured_groups), tuple(measured_regions)
    is_same = warm_start is not None and (warm_start.groups, warm_start.regions) == names
    starts = [warm_start.parameters] if warm_start is not None and is_same else fixed_starts(problem)
    parameters, detour = best_fit(problem, errors, starts)
    fitted = FittedPairs(problem, parameters, errors, detour, pairs, measured_groups, measured_regions)
    predictions = predict_all(fitted)
    add_unmeasured(predictions, fitted, groups, regions)
    return Positions(predictions, WarmStart(*names, parameters))
