"""Delays that nodes reported, merged so that neither order nor repetition matters. Pure code.

A node is a sidecar, or the part of a client group that reports through one aggregator. A node numbers its
windows; a row (one window of the delays to one region) is stored under node, incarnation, client group,
region and window, so the same row again changes nothing except that the earlier time of receipt is taken.
For each region a node has its newest `MAX_WINDOWS` windows: a node that reports often has no more
influence, and one that reports seldom has its rows used for longer. Ages are counted from the receipt of a
row, on the monotonic clock of the process that merges (seconds).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple, TypeGuard
from zlib import crc32

# Buckets of a sketch are geometric: bucket k holds delays from MIN_DELAY_MS * BUCKET_WIDTH**k upwards. The
# sidecar's `agent.delays` has the same values; a test compares them.
BUCKET_WIDTH = 1.05
MIN_DELAY_MS = 0.05
BUCKETS = 287

MAX_WINDOWS = 16  # stored for one region of a node
MAX_INCARNATIONS = 3  # stored for one node, by the time of the last receipt
MAX_NODES = 5000
MAX_NODES_PER_PAIR = 16  # used: enough for an honest majority where a third of the nodes report nonsense
SILENT_S = 10.0  # a node this much older than the newest of its pair is used last
MAX_ROWS = 64  # of one report, and regions of one incarnation
MAX_POINTS = 16  # of one sketch
MAX_COUNT = 100_000  # of one point
MAX_SPAN_MS = 3_600_000.0
MAX_NAME_LENGTH = 128
MAX_WINDOW_NUMBER = 2**53
EXPIRY_S = 3600.0  # a node that is silent for so long is removed
BUCKET_BY_KEY = {str(bucket): bucket for bucket in range(BUCKETS)}

Points = tuple[tuple[int, int], ...]  # (bucket, count), by bucket
PairName = tuple[str, str]  # (client group, region)


class DelayRow(NamedTuple):
    """One window of one node's delays to one region, as reported."""

    region: str
    window: int
    handshakes: Points
    first_bytes: Points


class NodeReport(NamedTuple):
    """The valid rows of one report, its sender, and when it was received."""

    node: str
    incarnation: str
    group: str
    rows: tuple[DelayRow, ...]
    received_s: float


class Source(NamedTuple):
    """One incarnation of a node, and the client group that it reports for."""

    incarnation: str
    group: str


@dataclass(frozen=True, slots=True, order=True)
class WindowSample:
    """The sketches of one window, and when they were merged first."""

    received_s: float
    handshakes: Points
    first_bytes: Points


WindowSamples = Mapping[int, WindowSample]  # by window number
RegionSamples = Mapping[str, WindowSamples]
NodeSamples = Mapping[Source, RegionSamples]


@dataclass(frozen=True, slots=True)
class State:
    """All evidence, by node, source, region and window. Never changed in place."""

    nodes: Mapping[str, NodeSamples] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ValidatedRows:
    """The valid rows of a report, and how many others were rejected, by reason."""

    rows: tuple[DelayRow, ...]
    rejected: Mapping[str, int]


def bucket_middle_ms(bucket: float) -> float:
    """Return the (geometric) middle of a bucket, in ms."""
    return float(MIN_DELAY_MS * BUCKET_WIDTH ** (bucket + 0.5))


def sample_count(points: Iterable[tuple[int, int]]) -> int:
    """Return the number of delays in a sketch."""
    return sum(number for _, number in points)


# --- validation --------------------------------------------------------------------------------------------


def validate_rows(rows: object) -> ValidatedRows:
    """Check the rows of a report, decoded from JSON; never raises."""
    if not isinstance(rows, Sequence) or isinstance(rows, str | bytes):
        return ValidatedRows((), {"rows": 1})
    rejected: Counter[str] = Counter()
    valid: list[DelayRow] = []
    for row in rows[:MAX_ROWS]:
        checked = _validated(row)
        if isinstance(checked, str):
            rejected[checked] += 1
        else:
            valid.append(checked)
    if len(rows) > MAX_ROWS:
        rejected["too many"] += len(rows) - MAX_ROWS
    return ValidatedRows(tuple(valid), dict(rejected))


def _validated(row: object) -> DelayRow | str:
    """Return the row, or the reason why it is rejected: the name of its first bad field."""
    if not isinstance(row, Mapping):
        return "row"
    region, window = row.get("region"), row.get("window")
    if not is_name(region):
        return "region"
    if not isinstance(window, int) or isinstance(window, bool) or not 0 <= window < MAX_WINDOW_NUMBER:
        return "window"
    if not _is_span(row.get("span_ms")):
        return "span_ms"
    handshakes, first_bytes = _points(row.get("shake", {})), _points(row.get("first", {}))
    if handshakes is None:
        return "shake"
    if first_bytes is None:
        return "first"
    return DelayRow(region, window, handshakes, first_bytes) if handshakes or first_bytes else "empty"


def is_name(text: object) -> TypeGuard[str]:
    """Return whether this can be the name of a node, group, region or incarnation."""
    return isinstance(text, str) and 0 < len(text) <= MAX_NAME_LENGTH


def _is_span(span_ms: object) -> bool:
    return isinstance(span_ms, int | float) and not isinstance(span_ms, bool) and 0.0 < span_ms <= MAX_SPAN_MS


def _points(counts: object) -> Points | None:
    """Return a sketch of its wire form (counts by the bucket's decimal number); None if it is malformed."""
    if not isinstance(counts, Mapping) or len(counts) > MAX_POINTS:
        return None
    by_bucket: dict[int, int] = {}
    for key, number in counts.items():
        bucket = BUCKET_BY_KEY.get(key) if isinstance(key, str) else None
        if bucket is None or type(number) is not int or not 0 < number <= MAX_COUNT:
            return None
        by_bucket[bucket] = number
    return tuple(sorted(by_bucket.items()))


# --- merging -----------------------------------------------------------------------------------------------


def merge(state: State, node: str, incarnation: str, group: str, rows: object, now_s: float) -> State:  # noqa: PLR0913 - one array each
    """Return the state with one report validated and merged; the same object if nothing is usable."""
    return merge_reports(state, [NodeReport(node, incarnation, group, validate_rows(rows).rows, now_s)])


def merge_reports(state: State, reports: Iterable[NodeReport]) -> State:
    """Return the state with reports merged in their order; the table of nodes is copied once."""
    nodes = dict(state.nodes)
    changes = sum(_merge_into(nodes, report) for report in reports)
    return replace(state, nodes=nodes) if changes else state


def _merge_into(nodes: dict[str, NodeSamples], report: NodeReport) -> bool:
    """Merge a report into the table of nodes; return whether there was anything usable in it."""
    if not _is_usable(report):
        return False
    source = Source(report.incarnation, report.group)
    by_source = dict(nodes.get(report.node, {}))
    by_region = dict(by_source.get(source, {}))
    for region, window, handshakes, first_bytes in report.rows:
        sample = WindowSample(report.received_s, handshakes, first_bytes)
        by_region[region] = _with_window(by_region.get(region, {}), window, sample)
    by_source[source] = _newest_regions(by_region)
    nodes[report.node] = _newest_sources(by_source)
    if len(nodes) > MAX_NODES:
        del nodes[min(nodes, key=lambda name: (last_received_s(nodes[name]), name))]
    return True


def _is_usable(report: NodeReport) -> bool:
    names = (report.node, report.incarnation, report.group)
    return bool(report.rows) and all(map(is_name, names)) and math.isfinite(report.received_s)


def _with_window(samples: WindowSamples, window: int, sample: WindowSample) -> WindowSamples:
    """Return the samples with one more window, and without the oldest if there are too many.

    Of a window that comes twice, the content that sorts first is taken (an honest node sends the same), and
    the earlier time of receipt: so the order does not matter.
    """
    before = samples.get(window)
    if before is not None:
        handshakes, first_bytes = min(
            (before.handshakes, before.first_bytes), (sample.handshakes, sample.first_bytes)
        )
        sample = WindowSample(min(before.received_s, sample.received_s), handshakes, first_bytes)
    merged = {**samples, window: sample}
    if len(merged) > MAX_WINDOWS:
        del merged[min(merged)]
    return merged


def _newest_regions(by_region: RegionSamples) -> RegionSamples:
    if len(by_region) <= MAX_ROWS:
        return by_region
    by_age = sorted(by_region, key=lambda region: (_newest_s(by_region[region]), region))
    return {region: by_region[region] for region in by_age[-MAX_ROWS:]}


def _newest_sources(by_source: NodeSamples) -> NodeSamples:
    if len(by_source) <= MAX_INCARNATIONS:
        return by_source
    by_age = sorted(by_source, key=lambda source: (last_received_s({source: by_source[source]}), source))
    return {source: by_source[source] for source in by_age[-MAX_INCARNATIONS:]}


def _newest_s(samples: WindowSamples) -> float:
    return max(sample.received_s for sample in samples.values())


def last_received_s(samples: NodeSamples) -> float:
    """Return when a node's newest row was received, in seconds; minus infinity if it has none."""
    times = (_newest_s(track) for by_region in samples.values() for track in by_region.values())
    return max(times, default=-math.inf)


def expire_nodes(state: State, now_s: float, after_s: float = EXPIRY_S) -> State:
    """Return the state without nodes that have been silent for `after_s` seconds."""
    remaining = {
        node: samples for node, samples in state.nodes.items() if last_received_s(samples) > now_s - after_s
    }
    return state if len(remaining) == len(state.nodes) else replace(state, nodes=remaining)


# --- reading -----------------------------------------------------------------------------------------------


def by_pair(
    state: State, max_nodes: int = MAX_NODES_PER_PAIR
) -> dict[PairName, dict[str, list[WindowSample]]]:
    """Return samples by (client group, region) and node, oldest first; incarnations count as one node.

    Of a pair with more than `max_nodes` nodes, a fixed selection is used, and silent nodes last of all.
    """
    found: dict[PairName, dict[str, list[WindowSample]]] = {}
    for node, by_source in state.nodes.items():
        for (_, group), by_region in by_source.items():
            for region, samples in by_region.items():
                found.setdefault((group, region), {}).setdefault(node, []).extend(samples.values())
    return {pair: _selected_nodes(nodes, max_nodes) for pair, nodes in found.items()}


def _selected_nodes(nodes: dict[str, list[WindowSample]], most: int) -> dict[str, list[WindowSample]]:
    newest = {node: sorted(samples)[-MAX_WINDOWS:] for node, samples in nodes.items()}
    if len(newest) <= most:
        return newest
    silent_before_s = max(samples[-1].received_s for samples in newest.values()) - SILENT_S

    def rank(node: str) -> tuple[bool, int, str]:
        return newest[node][-1].received_s < silent_before_s, crc32(node.encode()), node

    return {node: newest[node] for node in sorted(newest, key=rank)[:most]}
