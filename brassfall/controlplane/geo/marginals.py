"""The delays of one client group, averaged over all places where it may lie. Pure code.

Few measurements often leave two places, or a ring of them, equally likely. A best fit takes one of them and
is sure of it; weighting a whole grid of candidates (a place in the plane and an access delay each) gives
the mean of each region's delay over all of them, and its spread.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from brassfall.controlplane.geo.arrays import Array, Index
from brassfall.controlplane.geo.linear_algebra import weighted_sum

GRID_REACH = 2.2  # of the grid either way, in sds of the prior of a place
GRID_STEPS = 56  # its lines in each direction
ACCESS_STEPS = np.array([-1.5, -0.9, -0.3, 0.3, 0.9, 1.5])  # in sds of the prior of an access delay
DEGREES_OF_FREEDOM = 4.0  # of Student's t: a single delay that is far off does not rule a place out
NEGLIGIBLE = 12.0  # a candidate whose log weight is so far under the highest is left out


@dataclass(frozen=True, slots=True)
class GridPrior:
    """The prior of a group's (or a region's) own parts."""

    access: float  # mean of the logarithm of the access delay, in scales
    access_sd: float
    place_sd: float  # of each coordinate, in scales


@dataclass(frozen=True, slots=True)
class Grid:
    """All candidates, C of them, for R regions; delays and places are in scales."""

    prior: Array  # (C,) the logarithm of the prior, without its constant
    log_delay: Array  # (C, R)
    access: Array  # (C,) logarithms
    place: Array  # (C, 2)


def candidate_grid(prior: GridPrior, region_access: Array, places: Array, soft: float) -> Grid:
    """Return the candidates for one group.

    Regions have accesses `region_access` (R,), as logarithms, and lie at `places` (R, 2). `soft` is the
    distance at which distances are rounded off towards zero.
    """
    line = np.linspace(-GRID_REACH, GRID_REACH, GRID_STEPS) * prior.place_sd
    across, up = (each.ravel() for each in np.meshgrid(line, line))
    distance = np.hypot(np.hypot(across[:, None] - places[:, 0], up[:, None] - places[:, 1]), soft)
    far = distance + np.exp(region_access)
    near = np.exp(prior.access + prior.access_sd * ACCESS_STEPS)
    delay = (far[None, :, :] + near[:, None, None]).reshape(-1, len(places))
    place_prior = -0.5 * (across**2 + up**2) / prior.place_sd**2
    log_prior = (place_prior[None, :] - 0.5 * ACCESS_STEPS[:, None] ** 2).ravel()
    access = np.repeat(np.log(near), len(across))
    return Grid(log_prior, np.log(delay), access, np.tile(np.column_stack([across, up]), (len(near), 1)))


@dataclass(frozen=True, slots=True)
class Measured:
    """Measured delays of one group to some regions, M of them."""

    regions: Index  # (M,) columns of `Grid.log_delay`
    log_delay: Array  # (M,) in scales
    sds: Array  # (M,)


@dataclass(frozen=True, slots=True)
class Marginal:
    """Means and sds of the log delays to Q regions, each (Q,)."""

    mean: Array
    sd: Array


def marginal(candidates: Grid, measured: Measured, regions: Index) -> Marginal:
    """Return the delays to `regions` (Q,) that a group's measured delays imply, over all candidates."""
    log_weight = _log_weight(candidates, measured)
    highest = float(log_weight.max())
    likely = log_weight > highest - NEGLIGIBLE  # few of the whole grid
    weight = np.exp(log_weight[likely] - highest)
    weight /= weight.sum()
    values = candidates.log_delay[np.ix_(likely, regions)]
    mean = weighted_sum(weight, values)
    return Marginal(mean, np.asarray(np.sqrt(weighted_sum(weight, (values - mean) ** 2))))


def most_likely(candidates: Grid, measured: Measured) -> int:
    """Return the index of the most likely candidate."""
    return int(np.argmax(_log_weight(candidates, measured)))


def _log_weight(candidates: Grid, measured: Measured) -> Array:
    """(C,) the logarithm of each candidate's posterior, without its constant."""
    z2 = ((candidates.log_delay[:, measured.regions] - measured.log_delay) / measured.sds) ** 2
    likelihood = 0.5 * (DEGREES_OF_FREEDOM + 1.0) * np.log1p(z2 / DEGREES_OF_FREEDOM).sum(axis=1)
    return np.asarray(candidates.prior - likelihood)
