"""The model of all delays: client groups and regions in a plane, each with an access delay. Pure code.

    delay(g, r) = access(g) + access(r) + scale * |x(g) - y(r)|

The pair's part is of low rank: the square of a distance in a plane is a product of four columns. Places and
accesses have priors whose scale is the median of what was measured, so that few measurements give a plain
answer and not a wild one. The model is of logarithms: errors are relative.

A vector of parameters has, for N groups and M regions, N + M accesses (logarithms, in scales), and then the
places of groups and of regions, two coordinates each (in scales): 3 (N + M) in all.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

import numpy as np

from brassfall.controlplane.geo.arrays import Array, Index
from brassfall.controlplane.geo.marginals import GridPrior

ACCESS_SD = 0.8  # a factor of 2.2 either way
PLACE_SD = 1.0  # of a coordinate, in scales
GROUP_PRIOR = GridPrior(math.log(0.15), ACCESS_SD, PLACE_SD)
REGION_PRIOR = GridPrior(GROUP_PRIOR.access - 1.0, ACCESS_SD, PLACE_SD)
SOFT = 0.03  # scales; a distance is rounded off towards zero
PLANE = (0, 1)  # its axes


@dataclass(frozen=True, slots=True)
class Parts:
    """Views of a vector of parameters: writing to them writes to the vector."""

    group_access: Array  # (N,)
    region_access: Array  # (M,)
    group_places: Array  # (N, 2)
    region_places: Array  # (M, 2)


@dataclass(frozen=True, slots=True)
class Problem:
    """P measured pairs of N groups and M regions; `group` and `region` are their indices."""

    groups: int  # N
    regions: int  # M
    group: Index  # (P,)
    region: Index  # (P,)
    log_delay: Array  # (P,) in scales
    log_scale: float  # the logarithm of the scale in ms

    def parts(self, parameters: Array) -> Parts:
        """Return the parts of a vector of parameters."""
        n, m = self.groups, self.regions
        return Parts(
            parameters[:n],
            parameters[n : n + m],
            parameters[n + m : 3 * n + m].reshape(n, 2),
            parameters[3 * n + m :].reshape(m, 2),
        )

    def predict(self, parameters: Array) -> tuple[Array, Array]:
        """Log delays (P,) in scales of the measured pairs, and their derivatives (P, 3 (N + M))."""
        n, m = self.groups, self.regions
        g, r = self.group, self.region
        parts = self.parts(parameters)
        apart = parts.group_places[g] - parts.region_places[r]
        distance = np.hypot(np.hypot(apart[:, 0], apart[:, 1]), SOFT)
        group_access, region_access = np.exp(parts.group_access[g]), np.exp(parts.region_access[r])
        delay = group_access + region_access + distance
        rows = np.arange(len(g))
        jacobian = np.zeros((len(g), len(parameters)))
        jacobian[rows, g] = group_access / delay
        jacobian[rows, n + r] = region_access / delay
        for axis in PLANE:
            slope = apart[:, axis] / distance / delay
            jacobian[rows, n + m + 2 * g + axis] = slope
            jacobian[rows, 3 * n + m + 2 * r + axis] = -slope
        return np.asarray(np.log(delay)), jacobian

    def prior(self) -> tuple[Array, Array]:
        """Mean and sd of each parameter."""
        n, m = self.groups, self.regions
        access = [np.full(n, GROUP_PRIOR.access), np.full(m, REGION_PRIOR.access)]
        mean = np.concatenate([*access, np.zeros(2 * (n + m))])
        return mean, np.concatenate([np.full(n + m, ACCESS_SD), np.full(2 * (n + m), PLACE_SD)])

    def region_columns(self, region: int) -> list[int]:
        """Return the parameters of one region."""
        n, m = self.groups, self.regions
        place = 3 * n + m + 2 * region
        return [n + region, place, place + 1]
