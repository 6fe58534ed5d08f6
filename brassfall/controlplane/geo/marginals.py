"""Where one client group may lie, as a whole: over a grid of places and accesses, not at the best one only.

Few figures often leave two places or a ring of them. A best fit takes one and is sure of it; weighing all
of a grid says what each region's delay would be over all of them, and how far that spreads. Pure code.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

Array = npt.NDArray[np.float64]
Index = npt.NDArray[np.intp]

REACH, STEPS = 2.2, 56  # of the grid either way, in sds of the prior of a place, and its lines
ACCESS_STEPS = np.array([-1.5, -0.9, -0.3, 0.3, 0.9, 1.5])  # in sds of the prior of an access
TAILS = 4.0  # degrees of freedom: a single figure that is far off does not rule a place out


@dataclass(frozen=True, slots=True)
class Grid:
    """All candidates: the logarithm of the prior, and of the delay to each region (candidates by regions)."""

    prior: Array
    log_delay: Array
    access: Array  # logarithms
    place: Array  # by candidate, two columns


def grid(
    access: float, access_sd: float, place_sd: float, region_access: Array, places: Array, soft: float
) -> Grid:
    """The candidates, for regions that lie at `places` with these accesses (logarithms), in scales."""
    line = np.linspace(-REACH, REACH, STEPS) * place_sd
    across, up = (each.ravel() for each in np.meshgrid(line, line))
    distance = np.hypot(np.hypot(across[:, None] - places[:, 0], up[:, None] - places[:, 1]), soft)
    far = distance + np.exp(region_access)
    near = np.exp(access + access_sd * ACCESS_STEPS)
    delay = (far[None, :, :] + near[:, None, None]).reshape(-1, len(places))
    place = -0.5 * (across**2 + up**2) / place_sd**2
    prior = (place[None, :] - 0.5 * ACCESS_STEPS[:, None] ** 2).ravel()
    own = np.repeat(np.log(near), len(across))
    return Grid(prior, np.log(delay), own, np.tile(np.column_stack([across, up]), (len(near), 1)))


@dataclass(frozen=True, slots=True)
class Marginal:
    """Means and sds of log delays to the regions asked for."""

    mean: Array
    sd: Array


def marginal(candidates: Grid, regions: Index, log_ms: Array, sds: Array, asked: Index) -> Marginal:
    """What figures of some regions say of a group's delays to the regions asked for."""
    weight = _log_weight(candidates, regions, log_ms, sds)
    top = float(weight.max())
    kept = weight > top - 12.0  # the others weigh nothing, and are most of the grid
    part = np.exp(weight[kept] - top)
    part /= part.sum()
    values = candidates.log_delay[np.ix_(kept, asked)]
    mean = part @ values
    return Marginal(np.asarray(mean), np.asarray(np.sqrt(part @ (values - mean) ** 2)))


def best(candidates: Grid, others: Index, log_ms: Array, sds: Array) -> int:
    """The likeliest candidate."""
    return int(np.argmax(_log_weight(candidates, others, log_ms, sds)))


def _log_weight(candidates: Grid, others: Index, log_ms: Array, sds: Array) -> Array:
    z2 = ((candidates.log_delay[:, others] - log_ms) / sds) ** 2
    return np.asarray(candidates.prior - 0.5 * (TAILS + 1.0) * np.log1p(z2 / TAILS).sum(axis=1))
