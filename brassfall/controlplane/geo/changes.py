"""Finds pairs whose delay has changed (another route), and tells them from queues. Pure code.

First bytes show a change early, handshakes confirm or contradict it. What was measured before a change no
longer counts for the pair.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from brassfall.controlplane.geo.evidence import PairName, WindowSample
from brassfall.controlplane.geo.sketches import (
    FULL_TRUST,
    LOW_QUANTILE,
    Measure,
    NodeWindows,
    PairWindows,
    Trust,
    pooled,
    quantile,
    total,
    weighted_median,
)

# What was received within one of these spans is compared with what is older. They are close enough together
# that one of them ends soon after the change, for as long as there is anything older.
SPANS_S = (3.0, 5.0, 8.0, 12.0, 18.0, 27.0, 40.0, 60.0)
ACTIVE_S = 5.0  # a pair with first bytes received within this span is being measured
MIN_RECENT = 8.0  # delays received within the span
MIN_OLDER = 2.0
MIN_RECENT_HANDSHAKES = 2.0  # that may contradict first bytes
MAX_VOTE = 20.0  # delays; more of them give a node no more weight
UNSTEADY = 0.7  # the logarithm of median over low quantile at which a node's older delays count half
USUAL_QUANTILE = 0.6  # of the older delays: a rise lies above it
RISE, FALL = 1.2, 0.85  # new delay over old
HANDSHAKE_RISE = 1.15  # handshakes that rose by less contradict a rise of first bytes
MIN_QUEUE_GROUPS = 3  # a region that fewer groups measure gives no proof of a queue

NO_CHANGES: Mapping[PairName, float] = {}


@dataclass(frozen=True, slots=True)
class RouteChange:
    """A pair whose delay has changed; what was received before `since_s` no longer counts."""

    since_s: float
    increased: bool
    confirmed: bool  # by handshakes; a decrease needs no confirmation


@dataclass(frozen=True, slots=True)
class _NodeShift:
    """How one node's delays of a pair differ between the span and before."""

    recent: float  # weighted number of delays in the span
    older: float
    steadiness: float  # 1 where the older delays lie together, less where they are scattered
    rise: float  # new delay over old; 1 where there is none
    fall: float


@dataclass(frozen=True, slots=True)
class _PairShift:
    """The same over all nodes of a pair: medians of their votes."""

    recent: float
    rise: float
    fall: float


UNKNOWN_SHIFT = _PairShift(0.0, 1.0, 1.0)  # too few delays on either side


def _node_shift(
    recent: Sequence[WindowSample], older: Sequence[WindowSample], measure: Measure
) -> _NodeShift | None:
    """Return the shift of one node; None if one side has no delays of this measure."""
    now = pooled(recent, measure, recent[0].received_s)
    before = pooled(older, measure, older[0].received_s)
    if not now or not before:
        return None
    low, low_before = quantile(now, LOW_QUANTILE), quantile(before, LOW_QUANTILE)
    steadiness = 1.0 / (1.0 + (math.log(quantile(before, 0.5) / low_before) / UNSTEADY) ** 2)
    # Up only if nearly all new delays lie above what was usual; down if half of them lie under the old low.
    rise = low / low_before if low > quantile(before, USUAL_QUANTILE) else 1.0
    fall = min(1.0, quantile(now, 0.5) / low_before)
    return _NodeShift(total(now), total(before), steadiness, rise, fall)


def _pair_shift(
    nodes: NodeWindows, now_s: float, span_s: float, measure: Measure, trust: Trust
) -> _PairShift:
    rises: list[tuple[float, float]] = []
    falls: list[tuple[float, float]] = []
    recent_total, older_total = 0.0, 0.0
    for node, samples in nodes.items():
        recent = [sample for sample in samples if sample.received_s > now_s - span_s]
        older = [sample for sample in samples if sample.received_s <= now_s - span_s]
        shift = _node_shift(recent, older, measure) if recent and older else None
        if shift is None:
            continue
        weight = min(shift.recent, shift.older, MAX_VOTE) * shift.steadiness * trust.get(node, 1.0)
        rises.append((shift.rise, weight))
        falls.append((shift.fall, weight))
        recent_total += shift.recent
        older_total += shift.older
    min_recent = MIN_RECENT if measure is Measure.FIRST_BYTE else MIN_RECENT_HANDSHAKES
    if recent_total < min_recent or older_total < MIN_OLDER:
        return UNKNOWN_SHIFT
    return _PairShift(recent_total, weighted_median(rises), weighted_median(falls))


def route_change(nodes: NodeWindows, now_s: float, trust: Trust = FULL_TRUST) -> RouteChange | None:
    """Return the change of one pair's delay; None if there is none.

    It is dated by the shortest span that shows it: a longer one may begin before it.
    """
    for span_s in SPANS_S:
        first_bytes = _pair_shift(nodes, now_s, span_s, Measure.FIRST_BYTE, trust)
        handshakes = _pair_shift(nodes, now_s, span_s, Measure.HANDSHAKE, trust)
        change = _judged(now_s - span_s, first_bytes, handshakes)
        if change is not None:
            return change
    return None


def _judged(since_s: float, first_bytes: _PairShift, handshakes: _PairShift) -> RouteChange | None:
    """Return the change that the shifts of both measures within one span show; None if there is none."""
    many_handshakes = handshakes.recent >= MIN_RECENT
    if many_handshakes and handshakes.rise > RISE:
        return RouteChange(since_s, increased=True, confirmed=True)
    contradicted = handshakes.recent > 0.0 and handshakes.rise < HANDSHAKE_RISE
    if first_bytes.recent and first_bytes.rise > RISE and not contradicted:
        return RouteChange(since_s, increased=True, confirmed=handshakes.recent > 0.0)
    if (first_bytes.recent and first_bytes.fall < FALL) or (many_handshakes and handshakes.fall < FALL):
        return RouteChange(since_s, increased=False, confirmed=True)
    return None


def route_changes(
    windows: PairWindows, now_s: float, trust: Trust = FULL_TRUST
) -> dict[PairName, RouteChange]:
    """Return the changes of all pairs.

    Where first bytes of most groups of a region rise at once and no handshake says why, it is a queue of that
    region and not a change.
    """
    found: dict[PairName, RouteChange] = {}
    for pair, nodes in windows.items():
        change = route_change(nodes, now_s, trust)
        if change is not None:
            found[pair] = change
    queues = _regions_with_queues(windows, found, now_s)
    return {pair: change for pair, change in found.items() if change.confirmed or pair[1] not in queues}


def _regions_with_queues(
    windows: PairWindows, changes: Mapping[PairName, RouteChange], now_s: float
) -> set[str]:
    measured = Counter(region for (_, region), nodes in windows.items() if _is_active(nodes, now_s))
    unconfirmed = Counter(region for (_, region), change in changes.items() if not change.confirmed)
    return {
        region
        for region, count in unconfirmed.items()
        if measured[region] >= MIN_QUEUE_GROUPS and 2 * count > measured[region]
    }


def _is_active(nodes: NodeWindows, now_s: float) -> bool:
    since_s = now_s - ACTIVE_S
    return any(
        sample.first_bytes and sample.received_s > since_s for samples in nodes.values() for sample in samples
    )


def received_after(
    windows: PairWindows, since: Mapping[PairName, float]
) -> dict[PairName, dict[str, Sequence[WindowSample]]]:
    """Return the windows of each pair that were received after its last change (seconds, by pair)."""
    found: dict[PairName, dict[str, Sequence[WindowSample]]] = {}
    for pair, nodes in windows.items():
        start_s = since.get(pair, -math.inf)
        later = {node: [s for s in samples if s.received_s > start_s] for node, samples in nodes.items()}
        if any(later.values()):
            found[pair] = {node: samples for node, samples in later.items() if samples}
    return found


def current_windows(
    windows: PairWindows,
    now_s: float,
    trust: Trust = FULL_TRUST,
    since: Mapping[PairName, float] = NO_CHANGES,
) -> tuple[PairWindows, dict[PairName, float]]:
    """Return the windows that still count, and when each pair changed last: as known, or as found now."""
    current = received_after(windows, since)
    seen = {pair: change.since_s for pair, change in route_changes(current, now_s, trust).items()}
    known = {pair: start_s for pair, start_s in since.items() if pair in windows}
    return received_after(current, seen), known | seen
