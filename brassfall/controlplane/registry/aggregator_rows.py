"""Rows of `GET /aggregators`, built from the newest report of each aggregator. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from brassfall.controlplane.aggregation.directory import AggregatorProcess
from brassfall.controlplane.aggregation.messages import ChildCounts
from brassfall.controlplane.registry.sidecar_rows import OLD_LIST_AGE_MS, ExpectedState


class AggregatorRow(msgspec.Struct, rename={"process_id": "life", "newest_revision": "held"}):
    """One aggregator in the answer to `GET /aggregators`.

    Ages are in ms. `children` has the counts that the aggregator reported, `members` is the number of
    children that the list service assigns to it, and `behind` says in which way it lags.
    """

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
    superseded: Sequence[AggregatorProcess],
    now: float,
    expected: ExpectedState,
) -> AggregatorRow:
    """Return the row of the aggregator `name`, whose current process is `process`.

    `superseded` holds earlier processes of the same name; `now` is monotonic ms.
    """
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
        behind=_describe_lag(process, superseded, now, expected),
    )


def _describe_lag(
    process: AggregatorProcess, superseded: Sequence[AggregatorProcess], now: float, expected: ExpectedState
) -> str:
    """Return in which way an aggregator lags, as a line explained in docs/operations.md; empty if not."""
    report = process.report
    if now - process.reported_ms > expected.silent_ms:
        return "silent: its children act on safe rules, or have moved"
    older = sum(now - each.reported_ms <= expected.silent_ms for each in superseded)
    if older:
        return f"{older} older processes of its name still report; they get no lease"
    if report.epoch not in (None, 0, expected.epoch):
        return f"follows another epoch of the service, {report.epoch}"
    if report.newest_revision < expected.committed:
        return f"does not hold revision {expected.committed}"
    if report.list_age_ms is not None and report.list_age_ms > OLD_LIST_AGE_MS:
        return f"its list may be {report.list_age_ms / 1000.0:.1f} s old: it keeps it, and asks on"
    if report.children.lagging:
        return f"{report.children.lagging} children have not acknowledged revision {report.acknowledged}"
    return ""
