"""The rows of the listing of aggregators, by their newest reports. Pure code."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from brassfall.controlplane.aggregation.directory import AggregatorProcess
from brassfall.controlplane.aggregation.messages import ChildCounts
from brassfall.controlplane.registry.sidecar_rows import LIST_OLD_MS, Expected


class AggregatorRow(msgspec.Struct, rename={"process_id": "life", "newest_revision": "held"}):
    """One aggregator in `GET /aggregators`; ages are in ms, `members` is the number of its children here."""

    name: str
    region: str
    listen: str
    age_ms: int
    process_id: str
    epoch: int | None
    newest_revision: int
    acknowledged: int
    prepared: int
    list_index: int
    list_age_ms: float | None
    children: ChildCounts
    members: int
    lagging: list[str]
    objections: dict[str, str]
    behind: str


class AggregatorListing(msgspec.Struct, frozen=True):
    """The answer to `GET /aggregators`."""

    aggregators: list[AggregatorRow]


def aggregator_row(
    name: str,
    process: AggregatorProcess,
    former: Sequence[AggregatorProcess],
    now: float,
    expected: Expected,
) -> AggregatorRow:
    """Return the row of a name's current process; `former` are superseded ones, `now` is monotonic ms."""
    report = process.report
    return AggregatorRow(
        name=name,
        region=report.region,
        listen=report.listen,
        age_ms=round(now - process.reported_ms),
        process_id=report.process_id,
        epoch=report.epoch,
        newest_revision=report.newest_revision,
        acknowledged=report.acknowledged,
        prepared=report.prepared,
        list_index=report.list_index,
        list_age_ms=report.list_age_ms,
        children=report.children,
        members=len(process.children),
        lagging=report.lagging,
        objections=report.objections,
        behind=_behind(process, former, now, expected),
    )


def _behind(
    process: AggregatorProcess, former: Sequence[AggregatorProcess], now: float, expected: Expected
) -> str:
    """Return in which way an aggregator lags, as a line that docs/operations.md explains; empty if not."""
    report = process.report
    if now - process.reported_ms > expected.silent_ms:
        return "silent: its children act on safe rules, or have moved"
    older = sum(now - each.reported_ms <= expected.silent_ms for each in former)
    if older:
        return f"{older} older processes of its name still report; they get no lease"
    if report.epoch not in (None, 0, expected.epoch):
        return f"follows another epoch of the service, {report.epoch}"
    if report.newest_revision < expected.committed:
        return f"does not hold revision {expected.committed}"
    if report.list_age_ms is not None and report.list_age_ms > LIST_OLD_MS:
        return f"its list may be {report.list_age_ms / 1000.0:.1f} s old: it keeps it, and asks on"
    if report.children.lagging:
        return f"{report.children.lagging} children have not acknowledged revision {report.acknowledged}"
    return ""
