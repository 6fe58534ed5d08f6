"""Rows of `GET /edges`, built from the newest report of each sidecar. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from msgspec import UNSET, UnsetType

from brassfall.controlplane.revisions.membership import Node
from brassfall.controlplane.revisions.reports import FALLBACK, Objection

OLD_LIST_AGE_MS = 10_000.0  # age above which a sidecar's list counts as old; a watch is reopened in less time
NEVER_REPORTED = "has not reported since the service began"


class SidecarRow(msgspec.Struct, kw_only=True, rename={"newest_revision": "held"}):
    """One sidecar in the answer to `GET /edges`.

    Ages are in ms, and None stands for a field that the sidecar has not reported. `via` names the aggregator
    that it reports to, and `behind` says in which way it lags.
    """

    name: str
    newest_revision: int | None = None
    prepared: int | None = None
    acting: int | str | None = None
    age_ms: float | None = None
    list_index: int | None = None
    list_age_ms: float | None = None
    overrides: list[str] = []
    group: str | UnsetType = UNSET
    region: str | UnsetType = UNSET
    behind: str = ""
    via: str | UnsetType = UNSET


class Spread(msgspec.Struct, frozen=True):
    """The range of indices of the sidecars' endpoint lists, their maximum age, and the service's index."""

    index: int
    oldest: int
    newest: int
    oldest_age_ms: float | None


@dataclass(frozen=True, slots=True)
class ExpectedState:
    """The state that an up-to-date node has.

    `committed` is the committed revision, `epoch` that of the list service, and `silent_ms` the time without
    a report after which a node counts as silent.
    """

    committed: int
    epoch: int
    silent_ms: float


def reported_row(node: Node, now: float, expected: ExpectedState) -> SidecarRow:
    """Return the row of a sidecar that reports to the list service directly; `now` is monotonic ms."""
    report = node.report
    row = SidecarRow(
        name=node.name,
        newest_revision=report.newest_revision,
        prepared=report.prepared,
        acting=report.acting,
        age_ms=round(now - node.reported_ms),
        list_index=report.list_index,
        list_age_ms=report.list_age_ms,
        overrides=report.overrides or [],
        group=report.group,
        region=report.region,
    )
    row.behind = describe_lag(row, expected, report.objection, report.epoch)
    return row


def describe_lag(
    row: SidecarRow, expected: ExpectedState, objection: Objection | None = None, follows: int | None = None
) -> str:
    """Return in which way a sidecar lags, as one of the lines of docs/operations.md; empty if it doesn't.

    `follows` is the epoch of the list service that the sidecar follows, if that is known.
    """
    if row.age_ms is None:
        return NEVER_REPORTED
    if row.age_ms > expected.silent_ms:
        return "silent: it acts on safe rules, or is gone"
    if objection is not None and objection.revision >= expected.committed:
        return f"objects to edition {objection.revision}: {objection.reason}"
    if (row.newest_revision or 0) < expected.committed:
        return f"does not hold edition {expected.committed}"
    if follows not in (None, 0, expected.epoch):
        return f"takes the word of another life of the service, {follows}"
    if row.list_age_ms is not None and row.list_age_ms > OLD_LIST_AGE_MS:
        return f"its list may be {row.list_age_ms / 1000.0:.1f} s old: it keeps it, and asks on"
    if row.acting != expected.committed:
        return "acts on safe rules" if row.acting == FALLBACK else f"acts on edition {row.acting}"
    return ""


def add_findings(rows: Iterable[SidecarRow], found: Iterable[Mapping[str, list[str]]]) -> None:
    """Append findings to the field `behind` of the rows; each mapping has findings by sidecar."""
    findings = list(found)
    for row in rows:
        lines = [line for each in findings for line in each.get(row.name, ())]
        row.behind = "; ".join([*([row.behind] if row.behind else []), *lines])


def list_spread(rows: Iterable[SidecarRow], index: int, silent_ms: float) -> Spread:
    """Return the range of the endpoint lists of the sidecars that have reported within `silent_ms`.

    `index` is the index of the service's own list.
    """
    fresh = [row for row in rows if row.age_ms is not None and row.age_ms <= silent_ms]
    lists = [row.list_index for row in fresh if row.list_index is not None]
    ages = [row.list_age_ms for row in fresh if row.list_age_ms is not None]
    return Spread(index, min(lists, default=index), max(lists, default=index), max(ages, default=None))
