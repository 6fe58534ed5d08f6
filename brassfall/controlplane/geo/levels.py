"""One level for each pair: the logarithm of its delay, how certain it is, and how old. Pure code.

What a node reports may be nonsense, so the level of a pair is where most of its nodes agree, and each node
has one vote at most. Levels are natural logarithms of ms, their standard deviations (`sd`) relative parts.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from brassfall.controlplane.geo.evidence import PairName, WindowSample
from brassfall.controlplane.geo.sketches import (
    LOW_QUANTILE,
    Measure,
    PairWindows,
    Trust,
    WeightedPoints,
    pooled,
    quantile,
    total,
    weighted_median,
)

# The spread of one delay around the low quantile, as a relative part, and the least error of a whole sketch.
HANDSHAKE_SD, FIRST_BYTE_SD, MIN_SD = 0.12, 0.2, 0.02
UPPER_BOUND_SD = 0.7  # of first bytes without an estimate of the time that servers spend
MIN_NETWORK_PART = 0.2  # of first bytes, which counts as the network's delay at least
MAX_VOTE = 20.0  # delays; more of them give a node no more weight
MIN_VOTE = 1e-3
MIN_OFFSET_VOTE = 0.5  # handshakes with first bytes to compare, for a node to say what servers spend
FIRST_BYTES_PER_HANDSHAKE = 4.0  # as many first bytes say as much
AGREEMENT = 0.08  # nodes of a group agree when their levels differ by about this part
DISAGREEMENT_SD = 0.5  # of a level that only one of several nodes supports
CENTRE_ROUNDS = 3
PRIOR_VOTE = 0.5
MINUTE_S = 60.0


@dataclass(frozen=True, slots=True)
class NodeLevel:
    """What one node's windows say of one pair."""

    log_ms: float
    sd: float
    weight: float  # of its vote, at most 1
    received_s: float


@dataclass(frozen=True, slots=True)
class PairLevel:
    """What all nodes of a group together say of one region."""

    log_ms: float
    sd: float
    received_s: float
    nodes: int
    support: float  # the part of the votes that agree


NodeLevels = Mapping[str, NodeLevel]  # by node


@dataclass(frozen=True, slots=True)
class ServerTimes:
    """The unstated time that servers spend, in ms: by how much first bytes take longer than handshakes."""

    by_region: Mapping[str, float]
    overall: float | None  # None: no estimate

    def of(self, region: str) -> float | None:
        """Return a region's own time, or else that of all."""
        return self.by_region.get(region, self.overall)


def server_times(windows: PairWindows) -> ServerTimes:
    """From the nodes that have both measures of a pair."""
    by_region: dict[str, list[tuple[float, float]]] = {}
    for (_, region), nodes in windows.items():
        for samples in nodes.values():
            newest_s = samples[-1].received_s
            handshakes = pooled(samples, Measure.HANDSHAKE, newest_s)
            first_bytes = pooled(samples, Measure.FIRST_BYTE, newest_s)
            weight = min(
                total(handshakes),
                total(first_bytes) / FIRST_BYTES_PER_HANDSHAKE,
                MAX_VOTE / FIRST_BYTES_PER_HANDSHAKE,
            )
            if weight >= MIN_OFFSET_VOTE:
                excess_ms = quantile(first_bytes, LOW_QUANTILE) - quantile(handshakes, LOW_QUANTILE)
                by_region.setdefault(region, []).append((max(0.0, excess_ms), weight))
    medians = {region: weighted_median(values) for region, values in by_region.items()}
    every = [value for values in by_region.values() for value in values]
    return ServerTimes(medians, weighted_median(every) if by_region else None)


def node_level(samples: Sequence[WindowSample], server_ms: float | None) -> NodeLevel | None:
    """Return one node's level: handshakes and corrected first bytes, weighted by their certainty.

    `server_ms` is the time that servers of the region spend, None without an estimate. Return None if there
    are no delays.
    """
    newest_s = samples[-1].received_s
    handshakes = pooled(samples, Measure.HANDSHAKE, newest_s)
    first_bytes = pooled(samples, Measure.FIRST_BYTE, newest_s)
    values: list[tuple[float, float]] = []  # (log ms, variance)
    if handshakes:
        variance = HANDSHAKE_SD**2 / total(handshakes) + MIN_SD**2
        values.append((math.log(quantile(handshakes, LOW_QUANTILE)), variance))
    if first_bytes:
        values.append(_corrected(first_bytes, server_ms))
    if not values:
        return None
    precision = sum(1.0 / variance for _, variance in values)
    log_ms = sum(value / variance for value, variance in values) / precision
    weight = min(1.0, (total(handshakes) + total(first_bytes)) / MAX_VOTE)
    return NodeLevel(log_ms, math.sqrt(1.0 / precision), weight, newest_s)


def _corrected(first_bytes: WeightedPoints, server_ms: float | None) -> tuple[float, float]:
    """First bytes without what the server spent: log ms, and variance."""
    low = quantile(first_bytes, LOW_QUANTILE)
    network = max(low - (server_ms or 0.0), MIN_NETWORK_PART * low)
    if server_ms is None:
        return math.log(network), UPPER_BOUND_SD**2
    variance = (FIRST_BYTE_SD * low / network) ** 2 / total(first_bytes) + (2.0 * MIN_SD * low / network) ** 2
    return math.log(network), variance


def node_levels(windows: PairWindows) -> dict[PairName, dict[str, NodeLevel]]:
    """Return the levels of all pairs that have any, by node."""
    times = server_times(windows)
    found: dict[PairName, dict[str, NodeLevel]] = {}
    for pair, nodes in windows.items():
        server_ms = times.of(pair[1])
        levels = {
            node: level
            for node, samples in nodes.items()
            if (level := node_level(samples, server_ms)) is not None
        }
        if levels:
            found[pair] = levels
    return found


@dataclass(frozen=True, slots=True)
class Prior:
    """A level known without the nodes of the pair."""

    log_ms: float
    sd: float


def pair_level(levels: NodeLevels, trust: Trust, prior: Prior | None) -> PairLevel:
    """Where most nodes agree; a prior has half a vote as well, which decides between equals."""
    votes = [(level, max(MIN_VOTE, level.weight * trust.get(node, 1.0))) for node, level in levels.items()]

    def score(centre: float) -> float:
        near = sum(weight * _agreement(level, centre) for level, weight in votes)
        return near + (
            PRIOR_VOTE * math.exp(-0.5 * ((prior.log_ms - centre) / prior.sd) ** 2) if prior else 0.0
        )

    centre = max((level.log_ms for level, _ in votes), key=score)
    for _ in range(CENTRE_ROUNDS):
        parts = [(level, weight * _agreement(level, centre) / level.sd**2) for level, weight in votes]
        mass = sum(part for _, part in parts)
        centre = sum(level.log_ms * part for level, part in parts) / mass
    near = sum(weight * _agreement(level, centre) for level, weight in votes)
    support = near / sum(weight for _, weight in votes)
    variance = _variance(parts, centre)
    if len(votes) > 1 and support < 0.5:
        variance += (DISAGREEMENT_SD * (1.0 - 2.0 * support)) ** 2
    received_s = max(level.received_s for level, _ in votes)
    return PairLevel(centre, math.sqrt(variance), received_s, len(votes), support)


def _variance(parts: Sequence[tuple[NodeLevel, float]], centre: float) -> float:
    """Of a weighted mean of levels: by their own errors or their scatter, whichever is larger."""
    mass = sum(part for _, part in parts)
    scatter = sum(part * (level.log_ms - centre) ** 2 for level, part in parts) / mass
    own = sum(part * level.sd**2 for level, part in parts) / mass
    effective_nodes = mass**2 / sum(part**2 for _, part in parts)
    return max(own, scatter) / effective_nodes + MIN_SD**2


def _agreement(level: NodeLevel, centre: float) -> float:
    """From 0 to 1: how far a level agrees with a centre."""
    return math.exp(-0.5 * (level.log_ms - centre) ** 2 / (AGREEMENT**2 + level.sd**2))


def node_trust(
    levels: Mapping[PairName, NodeLevels], centres: Mapping[PairName, PairLevel]
) -> dict[str, float]:
    """How near each node's levels are to those of its pairs, over all of them: 1 where they are the same."""
    errors: dict[str, list[tuple[float, float]]] = {}
    for pair, nodes in levels.items():
        centre = centres[pair]
        for node, level in nodes.items():
            error = abs(level.log_ms - centre.log_ms) / math.hypot(centre.sd, level.sd, AGREEMENT)
            errors.setdefault(node, []).append((error, level.weight))
    return {node: 1.0 / (1.0 + (weighted_median(values) / 2.0) ** 2) for node, values in errors.items()}


def with_age(level: PairLevel, now_s: float, drift: float) -> PairLevel:
    """Return a level with the error that its age adds; `drift` is the relative sd after a minute."""
    age_s = max(0.0, now_s - level.received_s)
    return replace(level, sd=math.hypot(level.sd, drift * math.sqrt(age_s / MINUTE_S)))
