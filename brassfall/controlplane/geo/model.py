"""The delay of every client group to every region, with an interval and an age, tried or not. Pure code.

In three steps: what the edges of each pair agree on (`levels`), the shape that all pairs have together
(`positions`), and again with the shape's vote and with less trust in edges that are off everywhere. A tried
pair's figure is its own and the shape's, each by how sure it is; an untried pair's is the shape's.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from brassfall.controlplane.geo import levels, positions
from brassfall.controlplane.geo.evidence import State, by_pair

NORMAL_90 = 1.645
DRIFT = 0.06  # what a delay that nobody measures may move in a minute, as a part (sd); by the root of time
WIDEST = math.log(1e6)  # no interval is wider either way than all that can be measured at all
SURPRISE = 3.0  # a figure so many sds off the shape that one edge alone is not believed


@dataclass(frozen=True, slots=True)
class Pair:
    """One pair, as `GET /geo` tells it. Times in ms; nine in ten delays lie in `low_ms` to `high_ms`.

    `age_ms` is None where nothing was ever measured; `edges` is how many measured it."""

    group: str
    region: str
    delay_ms: float
    low_ms: float
    high_ms: float
    age_ms: float | None
    edges: int
    tried: bool


Levels = Mapping[tuple[str, str], levels.Level]


@dataclass(frozen=True, slots=True)
class Estimate:
    """All pairs, and what the next estimate goes on from: cheaper, and a change once seen stays seen."""

    pairs: tuple[Pair, ...]
    warm: positions.Warm | None = None
    since: Mapping[tuple[str, str], float] = field(default_factory=dict)  # when a pair changed last


def estimate(
    state: State, now_s: float, groups: Iterable[str] = (), regions: Iterable[str] = ()
) -> list[Pair]:
    """As `follow`, from the evidence alone."""
    return list(follow(state, now_s, groups, regions).pairs)


def follow(
    state: State,
    now_s: float,
    groups: Iterable[str] = (),
    regions: Iterable[str] = (),
    before: Estimate | None = None,
) -> Estimate:
    """All pairs of these groups and regions, by name; of those in the evidence where none are named.

    Name those that are listed: else a name that an edge made up is guessed like any other. Empty where
    nothing at all was measured: there is nothing to guess from."""
    before = before or Estimate(())
    named_groups, named_regions = set(groups), set(regions)
    rows = {
        (group, region): told
        for (group, region), told in by_pair(state).items()
        if group in (named_groups or (group,)) and region in (named_regions or (region,))
    }
    by_edge = levels.edge_levels(levels.fresh(rows, now_s, since=before.since)[0])
    if not by_edge:
        return Estimate(())
    all_groups = sorted(named_groups or {group for group, _ in by_edge})
    all_regions = sorted(named_regions or {region for _, region in by_edge})
    known: Levels = _aged({pair: levels.agreed(told, {}, None) for pair, told in by_edge.items()}, now_s)
    shape = positions.fit(_plain(known), all_groups, all_regions, before.warm)
    trust = levels.trusts(by_edge, {pair: (level.log_ms, level.sd) for pair, level in known.items()})
    left, since = levels.fresh(rows, now_s, trust, before.since)
    by_edge = levels.edge_levels(left)
    priors = {pair: (guess.log_ms, max(0.2, guess.sd)) for pair, guess in shape.guesses.items()}
    known = _aged({pair: levels.agreed(told, trust, priors[pair]) for pair, told in by_edge.items()}, now_s)
    shape = positions.fit(_plain(known), all_groups, all_regions, shape.warm)
    pairs = [
        _pair((group, region), known.get((group, region)), shape.guesses[group, region], now_s)
        for group in all_groups
        for region in all_regions
    ]
    return Estimate(tuple(pairs), shape.warm, since)


def _aged(known: Levels, now_s: float) -> Levels:
    return {pair: levels.aged(level, now_s, DRIFT) for pair, level in known.items()}


def _plain(known: Levels) -> dict[tuple[str, str], tuple[float, float]]:
    return {pair: (level.log_ms, level.sd) for pair, level in known.items()}


def _pair(names: tuple[str, str], level: levels.Level | None, guess: positions.Guess, now_s: float) -> Pair:
    log_ms, sd = guess.log_ms, guess.sd
    if level is not None:
        own = level.sd
        off = abs(level.log_ms - log_ms)
        if level.edges * level.support < 1.5 and off > SURPRISE * math.hypot(own, sd):
            own = off / SURPRISE  # one edge against all siblings
        log_ms = (level.log_ms / own**2 + log_ms / sd**2) / (own**-2 + sd**-2)
        sd = (own**-2 + sd**-2) ** -0.5
    reach = min(NORMAL_90 * sd, WIDEST)
    return Pair(
        group=names[0],
        region=names[1],
        delay_ms=math.exp(log_ms),
        low_ms=math.exp(log_ms - reach),
        high_ms=math.exp(log_ms + reach),
        age_ms=None if level is None else max(0.0, now_s - level.heard_s) * 1000.0,
        edges=0 if level is None else level.edges,
        tried=level is not None,
    )
