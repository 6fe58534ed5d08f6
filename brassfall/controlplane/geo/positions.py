"""The shape of the delays: a part of the client group, one of the region, and one of the pair. Pure code.

    delay(g, r) = access(g) + access(r) + scale * |x(g) - y(r)|

The pair's part is of low rank: the square of a distance in a plane is a product of four columns. Positions
and accesses have priors with the scale of what was measured, so that few figures give a plain answer, not a
wild one. Fitted to logarithms (errors are parts, not ms), robust by reweighting. A group's guesses are then
taken over all places it may have (`marginals`), and their errors set right by the errors of leaving each pair
out. Nothing is drawn at random: starts are fixed.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt
from scipy.optimize import least_squares

from brassfall.controlplane.geo import marginals

Array = npt.NDArray[np.float64]
Index = npt.NDArray[np.intp]
Flags = npt.NDArray[np.bool_]
Pair = tuple[str, str]

ACCESS, ACCESS_SD = math.log(0.15), 0.8  # of the scale; a factor of 2.2 either way
PLACE_SD = 1.0  # of a position, in scales
SOFT = 0.03  # scales; a distance is rounded off at nought
STARTS = 6
KEPT, RESEATS = 6, 6  # starts that are followed up, and how often each may be set anew
FOLDS, BLIND_SD = 5, 1e3  # to guess each pair from others; the sd of a figure that is not to be seen
DETOUR_LEAST = 0.05  # what a pair differs from the shape, at least, as a part
ROBUST = 2.5  # residuals beyond so many sds count less
PRIOR_PAIRS = 20.0  # so many pairs' worth of belief that errors are normal
NORMAL_90 = 1.645


@dataclass(frozen=True, slots=True)
class Guess:
    """What the shape says of a pair without its own figures: logarithm of ms, and sd."""

    log_ms: float
    sd: float


@dataclass(frozen=True, slots=True)
class Warm:
    """The parts of a fit, for the next one to start from: that costs less than starting anew."""

    groups: tuple[str, ...]
    regions: tuple[str, ...]
    parts: Array


@dataclass(frozen=True, slots=True)
class Shape:
    """Guesses for all pairs; those of tried pairs leave the pair's own figures out."""

    guesses: Mapping[Pair, Guess]
    warm: Warm | None  # where the next fit may start


@dataclass(frozen=True, slots=True)
class _Problem:
    groups: int
    regions: int
    g: Index
    r: Index
    log_ms: Array
    scale: float

    def split(self, p: Array) -> tuple[Array, Array, Array, Array]:
        """Accesses of groups and regions, positions of groups and regions."""
        n, m = self.groups, self.regions
        return p[:n], p[n : n + m], p[n + m : 3 * n + m].reshape(n, 2), p[3 * n + m :].reshape(m, 2)

    def predict(self, p: Array, g: Index, r: Index) -> tuple[Array, Array]:
        """Logarithms of the delays, in scales, and their derivatives by the parameters."""
        n, m = self.groups, self.regions
        a, b, x, y = self.split(p)
        apart = x[g] - y[r]
        distance = np.hypot(np.hypot(apart[:, 0], apart[:, 1]), SOFT)
        own, other = np.exp(a[g]), np.exp(b[r])
        delay = own + other + distance
        rows = np.arange(len(g))
        jac = np.zeros((len(g), len(p)))
        jac[rows, g] = own / delay
        jac[rows, n + r] = other / delay
        for axis in (0, 1):
            slope = apart[:, axis] / distance / delay
            jac[rows, n + m + 2 * g + axis] = slope
            jac[rows, 3 * n + m + 2 * r + axis] = -slope
        return np.asarray(np.log(delay)), jac

    def prior(self) -> tuple[Array, Array]:
        """Mean and sd of each parameter."""
        n, m = self.groups, self.regions
        mean = np.concatenate([np.full(n, ACCESS), np.full(m, ACCESS - 1.0), np.zeros(2 * (n + m))])
        return mean, np.concatenate([np.full(n + m, ACCESS_SD), np.full(2 * (n + m), PLACE_SD)])


def _solve(problem: _Problem, start: Array, sds: Array, most: int) -> Array:
    """The parameters nearest to a start that fit best, all figures believed as far as their sds say."""
    mean, spread = problem.prior()

    def residuals(p: Array) -> Array:
        told, _ = problem.predict(p, problem.g, problem.r)
        return np.concatenate([(told - problem.log_ms) / sds, (p - mean) / spread])

    def jacobian(p: Array) -> Array:
        _, jac = problem.predict(p, problem.g, problem.r)
        return np.vstack([jac / sds[:, None], np.diag(1.0 / spread)])

    found = least_squares(residuals, start, jacobian, method="lm", max_nfev=most, ftol=1e-4, xtol=1e-4)
    return np.asarray(found.x, dtype=np.float64)


def _cost(problem: _Problem, p: Array, sds: Array) -> float:
    """How badly parameters fit; one figure that is far off costs little more than one that is off."""
    mean, spread = problem.prior()
    z2 = ((problem.predict(p, problem.g, problem.r)[0] - problem.log_ms) / sds) ** 2
    far = 0.5 * ROBUST**2 * np.log1p(z2 / ROBUST**2)
    return float(far.sum() + 0.5 * (((p - mean) / spread) ** 2).sum())


def _followed(problem: _Problem, start: Array, sds: Array) -> tuple[Array, float]:
    """Solved from a start twice, the second time without what the first found far off; and its cost."""
    p = _solve(problem, start, sds, 20)
    off = problem.log_ms - problem.predict(p, problem.g, problem.r)[0]
    p = _solve(problem, p, _robust(off, sds), 20)
    return p, _cost(problem, p, sds)


def _reseated(problem: _Problem, p: Array, sds: Array) -> Array:
    """Each group where it fits best of all places, the regions staying; then each region likewise.

    A fit that moves all at once by small steps is stuck where one lies on the wrong side of the others."""
    p = p.copy()
    group_access, region_access, x, y = problem.split(p)
    candidates = marginals.grid(ACCESS, ACCESS_SD, PLACE_SD, region_access, y, SOFT)
    for i in range(problem.groups):
        mine = np.flatnonzero(problem.g == i)
        seat = marginals.best(candidates, problem.r[mine], problem.log_ms[mine], sds[mine])
        group_access[i], x[i] = candidates.access[seat], candidates.place[seat]
    candidates = marginals.grid(ACCESS - 1.0, ACCESS_SD, PLACE_SD, group_access, x, SOFT)
    for j in range(problem.regions):
        mine = np.flatnonzero(problem.r == j)
        seat = marginals.best(candidates, problem.g[mine], problem.log_ms[mine], sds[mine])
        region_access[j], y[j] = candidates.access[seat], candidates.place[seat]
    return p


def _starts(problem: _Problem) -> list[Array]:
    """Regions evenly on circles, in turned orders; groups near the regions that are near to them."""
    n, m = problem.groups, problem.regions
    mean, _ = problem.prior()
    made = []
    for turn in range(STARTS):
        order = (
            (np.arange(m) * (2 * turn + 1) + turn) % m if math.gcd(2 * turn + 1, m) == 1 else np.arange(m) ^ 1
        )
        angle = 2.0 * np.pi * (order + 0.37 * turn) / m + turn
        y = (0.6 + 0.3 * ((np.arange(m) + turn) % 2))[:, None] * np.column_stack(
            [np.cos(angle), np.sin(angle)]
        )
        weight = np.zeros((n, m))
        weight[problem.g, problem.r] = np.exp(-2.0 * np.exp(problem.log_ms))
        x = weight @ y / np.maximum(weight.sum(axis=1), 1e-9)[:, None]
        p = mean.copy()
        p[n + m : 3 * n + m], p[3 * n + m :] = x.ravel(), y.ravel()
        made.append(p)
    return made


def _settled(problem: _Problem, found: tuple[Array, float], sds: Array) -> tuple[Array, float]:
    """Reseat and solve for as long as it gets better."""
    for _ in range(RESEATS):
        again = _followed(problem, _reseated(problem, found[0], sds), sds)
        if again[1] > 0.98 * found[1]:
            break
        found = again
    return found


def _robust(residuals: Array, sds: Array) -> Array:
    """Larger sds for pairs that lie far off."""
    return np.asarray(sds * np.sqrt(1.0 + (residuals / (ROBUST * sds)) ** 2))


def fit(
    levels: Mapping[Pair, tuple[float, float]],
    groups: Sequence[str],
    regions: Sequence[str],
    warm: Warm | None = None,
) -> Shape:
    """Fit the shape to levels (log ms, sd) of tried pairs; guesses for all pairs of these names."""
    pairs = sorted(levels)
    tried_groups = [g for g in groups if any(pair[0] == g for pair in pairs)]
    tried_regions = [r for r in regions if any(pair[1] == r for pair in pairs)]
    if not pairs:
        return Shape({}, None)
    g = np.array([tried_groups.index(pair[0]) for pair in pairs])
    r = np.array([tried_regions.index(pair[1]) for pair in pairs])
    log_ms = np.array([levels[pair][0] for pair in pairs])
    errors = np.array([levels[pair][1] for pair in pairs])
    scale = float(np.median(log_ms))
    problem = _Problem(len(tried_groups), len(tried_regions), g, r, log_ms - scale, scale)
    known = warm is not None and (warm.groups, warm.regions) == (tuple(tried_groups), tuple(tried_regions))
    starts = [warm.parts] if warm is not None and known else _starts(problem)
    p, detour = _best(problem, errors, starts)
    guesses = _named(problem, p, errors, detour, pairs, tried_groups, tried_regions)
    _fill(guesses, groups, regions, tried_groups, tried_regions)
    return Shape(guesses, Warm(tuple(tried_groups), tuple(tried_regions), p))


def _named(
    problem: _Problem,
    p: Array,
    errors: Array,
    detour: float,
    pairs: Sequence[Pair],
    groups: Sequence[str],
    regions: Sequence[str],
) -> dict[Pair, Guess]:
    sds = np.hypot(errors, detour)
    alone, alone_sd = _held_out(problem, p, sds, detour)
    wide = _calibrated(np.abs(problem.log_ms - alone) / np.hypot(alone_sd, errors))
    mean, sd = _guesses(problem, p, sds, detour)
    made = {
        (group, region): Guess(float(mean[i, j]) + problem.scale, wide * float(sd[i, j]))
        for i, group in enumerate(groups)
        for j, region in enumerate(regions)
    }
    for pair, value, spread in zip(pairs, alone, alone_sd, strict=True):
        made[pair] = Guess(float(value) + problem.scale, wide * float(spread))
    return made


def _best(problem: _Problem, errors: Array, starts: Sequence[Array]) -> tuple[Array, float]:
    """The parameters that fit best, and how far pairs differ from the shape."""
    detour = 0.15
    sds = np.hypot(errors, detour)
    ranked = sorted((_followed(problem, start, sds) for start in starts), key=lambda found: found[1])
    p, _ = min((_settled(problem, found, sds) for found in ranked[:KEPT]), key=lambda found: found[1])
    for _ in range(3):
        told, jac = problem.predict(p, problem.g, problem.r)
        off = problem.log_ms - told
        hat = _hat(problem, jac, np.hypot(errors, detour))
        free = max(0.2, 1.0 - float(hat.mean()))  # degrees of freedom that the fit has left, of each pair
        spread = 1.483 * float(np.median(np.abs(off))) / math.sqrt(free)
        detour = math.sqrt(max(DETOUR_LEAST**2, spread**2 - float(np.median(errors)) ** 2))
        p = _solve(problem, p, _robust(off, np.hypot(errors, detour)), 40)
    return p, detour


def _hat(problem: _Problem, jac: Array, sds: Array) -> Array:
    """How much each pair's figure pulls its own guess."""
    _, spread = problem.prior()
    scaled = jac / sds[:, None]
    covariance = np.linalg.inv(scaled.T @ scaled + np.diag(spread**-2.0))
    return np.asarray(np.minimum(0.98, np.einsum("ij,jk,ik->i", scaled, covariance, scaled)))


def _guesses(problem: _Problem, p: Array, sds: Array, detour: float) -> tuple[Array, Array]:
    """Means and sds of all pairs (groups by regions), each pair's own figure taken with the others."""
    everywhere = [np.arange(problem.regions)] * problem.groups
    return _spread_out(problem, p, sds, detour, np.ones(len(sds), dtype=bool), everywhere)


def _held_out(problem: _Problem, p: Array, sds: Array, detour: float) -> tuple[Array, Array]:
    """Means and sds of the tried pairs, each guessed from a fit that did not see it (nor its fold)."""
    mean, sd = np.zeros(len(sds)), np.ones(len(sds))
    fold = (problem.g + problem.r + np.arange(len(sds))) % FOLDS
    for each in range(FOLDS):
        out = fold == each
        if out.any():
            again, _ = _followed(problem, p, np.where(out, BLIND_SD, sds))
            asked = [problem.r[out & (problem.g == i)] for i in range(problem.groups)]
            all_mean, all_sd = _spread_out(problem, again, sds, detour, ~out, asked)
            mean[out], sd[out] = (
                all_mean[problem.g[out], problem.r[out]],
                all_sd[problem.g[out], problem.r[out]],
            )
    return mean, sd


def _spread_out(
    problem: _Problem, p: Array, sds: Array, detour: float, seen: Flags, asked: Sequence[Index]
) -> tuple[Array, Array]:
    """Each group's guesses over all places it may have, given where the fit put the regions.

    From the pairs that are `seen`, for the regions `asked` of each group; means and sds, group by region."""
    _, region_access, _, region_places = problem.split(p)
    candidates = marginals.grid(ACCESS, ACCESS_SD, PLACE_SD, region_access, region_places, SOFT)
    of_region = _region_sds(problem, p, np.where(seen, sds, BLIND_SD))
    mean, sd = np.zeros((2, problem.groups, problem.regions))
    for i, regions in enumerate(asked):
        if len(regions):
            mine = np.flatnonzero((problem.g == i) & seen)
            found = marginals.marginal(candidates, problem.r[mine], problem.log_ms[mine], sds[mine], regions)
            mean[i, regions] = found.mean
            sd[i, regions] = np.sqrt(found.sd**2 + of_region[regions] ** 2 + detour**2)
    return mean, sd


def _region_sds(problem: _Problem, p: Array, sds: Array) -> Array:
    """How unsure a region's own parts leave a guess, where the groups are known."""
    _, jac = problem.predict(p, problem.g, problem.r)
    n, m = problem.groups, problem.regions
    _, spread = problem.prior()
    found = np.zeros(m)
    for j in range(m):
        columns = [n + j, 3 * n + m + 2 * j, 3 * n + m + 2 * j + 1]
        mine = problem.r == j
        block = jac[np.ix_(mine, columns)]
        scaled = block / sds[mine, None]
        covariance = np.linalg.inv(scaled.T @ scaled + np.diag(spread[columns] ** -2.0))
        found[j] = math.sqrt(float(np.mean(np.einsum("ij,jk,ik->i", block, covariance, block))))
    return found


def _calibrated(scores: Array) -> float:
    """By how much to widen, so that nine in ten of the left-out pairs lie within 90%."""
    seen = float(np.quantile(scores, 0.9)) / NORMAL_90
    part = len(scores) / (len(scores) + PRIOR_PAIRS)
    return max(0.5, part * seen + 1.0 - part)


def _fill(
    guesses: dict[Pair, Guess],
    groups: Sequence[str],
    regions: Sequence[str],
    tried_groups: Sequence[str],
    tried_regions: Sequence[str],
) -> None:
    """Groups and regions with no figure at all are guessed like their siblings, with the siblings' spread."""

    def like(siblings: list[Guess]) -> Guess:
        mean = sum(each.log_ms for each in siblings) / len(siblings)
        spread = sum((each.log_ms - mean) ** 2 + each.sd**2 for each in siblings) / len(siblings)
        return Guess(mean, math.sqrt(spread + (0.5 if len(siblings) == 1 else 0.0)))

    new_regions = [region for region in regions if region not in tried_regions]
    for group in tried_groups:
        known = like([guesses[group, region] for region in tried_regions])
        guesses.update({(group, region): known for region in new_regions})
    for group in (each for each in groups if each not in tried_groups):
        for region in regions:
            guesses[group, region] = like([guesses[other, region] for other in tried_groups])
