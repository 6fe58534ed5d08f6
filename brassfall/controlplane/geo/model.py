"""The delay of every client group to every region, measured or not, with an interval and an age. Pure code.

In three steps: the level of each measured pair, where its nodes agree (`levels`); the positions of groups
and regions that all levels together give (`positions`); and both once more, with the positions as the prior
of the levels and with less trust in nodes that are off in all their pairs. The estimate of a measured pair
is its own level and the prediction from the positions, each weighted by its certainty; that of another pair
is the prediction alone.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from brassfall.controlplane.geo.changes import current_windows
from brassfall.controlplane.geo.evidence import PairName, State, by_pair
from brassfall.controlplane.geo.levels import (
    NodeLevels,
    PairLevel,
    Prior,
    node_levels,
    node_trust,
    pair_level,
    with_age,
)
from brassfall.controlplane.geo.positions import WarmStart, fit_positions
from brassfall.controlplane.geo.predictions import NORMAL_90, Prediction
from brassfall.controlplane.geo.sketches import PairWindows, Trust

DRIFT = 0.06  # what an unmeasured delay may change in a minute, as a relative part (sd); by the root of time
MAX_REACH = math.log(1e6)  # of an interval either way: all that can be measured at all
SURPRISE = 3.0  # sds off the prediction from which one node alone is not enough evidence of a level
LONE_SUPPORT = 1.5  # nodes in support; fewer are one node alone
MIN_PRIOR_SD = 0.2


class Pair(msgspec.Struct, frozen=True):
    """The estimate of one pair, as `GET /geo` gives it; nine in ten delays lie in `low_ms` to `high_ms`."""

    group: str
    region: str
    delay_ms: float
    low_ms: float
    high_ms: float
    age_ms: float | None  # None where nothing was ever measured
    nodes: int = msgspec.field(name="edges")  # that measured it
    measured: bool = msgspec.field(name="tried")


Levels = Mapping[PairName, PairLevel]


@dataclass(frozen=True, slots=True)
class Estimate:
    """All pairs, and what the next estimate starts from: it is cheaper then, and a change once seen stays."""

    pairs: tuple[Pair, ...]
    warm_start: WarmStart | None = None
    since: Mapping[PairName, float] = field(default_factory=dict)  # when a pair changed last, in seconds


def estimate(
    state: State, now_s: float, groups: Iterable[str] = (), regions: Iterable[str] = ()
) -> list[Pair]:
    """As `update_estimate`, from the evidence alone."""
    return list(update_estimate(state, now_s, groups, regions).pairs)


def update_estimate(
    state: State,
    now_s: float,
    groups: Iterable[str] = (),
    regions: Iterable[str] = (),
    before: Estimate | None = None,
) -> Estimate:
    """All pairs of these groups and regions, by name; of those in the evidence where none are named.

    `now_s` is on the clock of the evidence's times of receipt. Name the groups and regions that are listed:
    else a name that a node made up is estimated like any other. Empty where nothing at all was measured.
    """
    before = before or Estimate(())
    named_groups, named_regions = set(groups), set(regions)
    windows = _named(by_pair(state), named_groups, named_regions)
    by_node = node_levels(current_windows(windows, now_s, since=before.since)[0])
    if not by_node:
        return Estimate(())
    all_groups = sorted(named_groups or {group for group, _ in by_node})
    all_regions = sorted(named_regions or {region for _, region in by_node})

    levels = _pair_levels(by_node, {}, {}, now_s)
    positions = fit_positions(_plain(levels), all_groups, all_regions, before.warm_start)

    trust = node_trust(by_node, levels)
    current, since = current_windows(windows, now_s, trust, before.since)
    levels = _pair_levels(node_levels(current), trust, positions.predictions, now_s)
    positions = fit_positions(_plain(levels), all_groups, all_regions, positions.warm_start)

    pairs = [
        _pair((group, region), levels.get((group, region)), positions.predictions[group, region], now_s)
        for group in all_groups
        for region in all_regions
    ]
    return Estimate(tuple(pairs), positions.warm_start, since)


def _named(windows: PairWindows, groups: set[str], regions: set[str]) -> PairWindows:
    """Return the pairs of these groups and regions; an empty set names all."""
    return {
        (group, region): nodes
        for (group, region), nodes in windows.items()
        if (not groups or group in groups) and (not regions or region in regions)
    }


def _pair_levels(
    by_node: Mapping[PairName, NodeLevels],
    trust: Trust,
    predictions: Mapping[PairName, Prediction],
    now_s: float,
) -> Levels:
    """Return the levels of all pairs with their present age; predictions, if any, are their priors."""
    priors = {pair: Prior(each.log_ms, max(MIN_PRIOR_SD, each.sd)) for pair, each in predictions.items()}
    levels = {
        pair: pair_level(nodes, trust, priors[pair] if predictions else None)
        for pair, nodes in by_node.items()
    }
    return {pair: with_age(level, now_s, DRIFT) for pair, level in levels.items()}


def _plain(levels: Levels) -> dict[PairName, tuple[float, float]]:
    return {pair: (level.log_ms, level.sd) for pair, level in levels.items()}


def _pair(names: PairName, level: PairLevel | None, prediction: Prediction, now_s: float) -> Pair:
    """Return the estimate of one pair from its level, where it has one, and the prediction."""
    log_ms, sd = _combined(level, prediction)
    reach = min(NORMAL_90 * sd, MAX_REACH)
    return Pair(
        group=names[0],
        region=names[1],
        delay_ms=math.exp(log_ms),
        low_ms=math.exp(log_ms - reach),
        high_ms=math.exp(log_ms + reach),
        age_ms=None if level is None else max(0.0, now_s - level.received_s) * 1000.0,
        nodes=0 if level is None else level.nodes,
        measured=level is not None,
    )


def _combined(level: PairLevel | None, prediction: Prediction) -> tuple[float, float]:
    """Log ms and sd: the mean of level and prediction, weighted by precision."""
    log_ms, sd = prediction.log_ms, prediction.sd
    if level is None:
        return log_ms, sd
    level_sd = level.sd
    distance = abs(level.log_ms - log_ms)
    if level.nodes * level.support < LONE_SUPPORT and distance > SURPRISE * math.hypot(level_sd, sd):
        level_sd = distance / SURPRISE  # one node against all other pairs
    precision = level_sd**-2 + sd**-2
    return (level.log_ms / level_sd**2 + log_ms / sd**2) / precision, precision**-0.5
