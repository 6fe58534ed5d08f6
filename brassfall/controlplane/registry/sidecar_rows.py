"""The rows of the listing of sidecars, by their newest reports. Pure code."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import msgspec
from msgspec import UNSET, UnsetType

from brassfall.controlplane.revisions.membership import Node
from brassfall.controlplane.revisions.reports import FALLBACK, Objection

LIST_OLD_MS = 10_000.0  # more than a watch takes to be opened anew and confirm the list
NEVER = "has not reported since the service began"


class SidecarRow(msgspec.Struct, kw_only=True, rename={"newest_revision": "held"}):
    """One sidecar in `GET /edges`; ages are in ms, and None stands for a field that it has not reported.

    `via` names the aggregator that it reports to, `behind` says in which way it lags.
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
    """The versions and ages of the sidecars' lists, and the index of the service's own."""

    index: int
    oldest: int
    newest: int
    oldest_age_ms: float | None


@dataclass(frozen=True, slots=True)
class Expected:
    """The values that rows are compared with: the committed revision, the epoch, and the longest silence."""

    committed: int
    epoch: int
    silent_ms: float


def reported_row(node: Node, now: float, expected: Expected) -> SidecarRow:
    """Return the row of a sidecar that reports to the service itself."""
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
    row.behind = behind(row, expected, report.objection, report.epoch)
    return row


def behind(
    row: SidecarRow, expected: Expected, objection: Objection | None = None, follows: int | None = None
) -> str:
    """Return in which way a sidecar lags, as a line that docs/operations.md explains; empty if it does not.

    `follows` is the epoch that it follows, if that is known.
    """
    if row.age_ms is None:
        return NEVER
    if row.age_ms > expected.silent_ms:
        return "silent: it acts on safe rules, or is gone"
    if objection is not None and objection.revision >= expected.committed:
        return f"objects to edition {objection.revision}: {objection.reason}"
    if (row.newest_revision or 0) < expected.committed:
        return f"does not hold edition {expected.committed}"
    if follows not in (None, 0, expected.epoch):
        return f"takes the word of another life of the service, {follows}"
    if row.list_age_ms is not None and row.list_age_ms > LIST_OLD_MS:
        return f"its list may be {row.list_age_ms / 1000.0:.1f} s old: it keeps it, and asks on"
    if row.acting != expected.committed:
        return "acts on safe rules" if row.acting == FALLBACK else f"acts on edition {row.acting}"
    return ""


def add_findings(rows: Iterable[SidecarRow], found: Iterable[Mapping[str, list[str]]]) -> None:
    """Add the findings of report extensions to the rows of their sidecars."""
    findings = list(found)
    for row in rows:
        lines = [line for each in findings for line in each.get(row.name, ())]
        row.behind = "; ".join([*([row.behind] if row.behind else []), *lines])


def spread(rows: Iterable[SidecarRow], index: int, silent_ms: float) -> Spread:
    """Return the spread of the lists of the sidecars that have reported within `silent_ms`."""
    fresh = [row for row in rows if row.age_ms is not None and row.age_ms <= silent_ms]
    lists = [row.list_index for row in fresh if row.list_index is not None]
    ages = [row.list_age_ms for row in fresh if row.list_age_ms is not None]
    return Spread(index, min(lists, default=index), max(lists, default=index), max(ages, default=None))
