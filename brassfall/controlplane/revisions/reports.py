"""The reports of nodes, and their parser. Pure code."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from brassfall.errors import RequestError

MAX_NUMBER = 2**53  # Bound on numbers in reports: JSON readers keep smaller integers exact
MAX_AGE_MS = 1e12
MAX_TEXT = 64  # Longest id, group or region in a report, in characters
MAX_REASON = 2000  # Longest reason of an objection, in characters
MAX_OVERRIDES = 1000  # Largest number of overrides that one report lists
UNREADABLE = "no report"  # Summary of the error for a report that can't be read
FALLBACK = "safe"  # Value of `acting` for a node that acts on the fallback configuration
# Wire names of the fields that a delta takes from the previous report on its connection.
CARRIED_FIELDS = frozenset(
    (
        *("life", "of", "held", "prepared", "acting", "list_index", "list_age_ms"),
        *("overrides", "digest", "told", "group", "region"),
    )
)

NUMBER_FIELDS = ("seq", "of", "held", "prepared", "list_index", "told")  # Wire names of the integer fields

RawReport = dict[str, Any]  # The fields of a report by their wire names


class ReportError(RequestError):
    """A malformed report of a node."""

    action = "See which version of the program the node runs; the report is dropped, and its lease expires."


class Objection(msgspec.Struct, frozen=True, rename={"revision": "edition"}):
    """The reason why a sidecar can't act on a revision."""

    revision: int
    reason: str


class Report(
    msgspec.Struct,
    frozen=True,
    rename={
        "process_id": "life",
        "epoch": "of",
        "newest_revision": "held",
        "known_override_revision": "told",
        "refresh_times": "retell",
        "acted_overrides": "acted",
    },
):
    """The state of one node in its own report; a node leaves out fields that it does not know."""

    process_id: str = ""  # Distinguishes the processes of one node
    seq: int = 0  # Sequence number, which grows with each report of the process
    epoch: int | None = None  # Epoch of the service that the node follows; 0 before its first answer
    newest_revision: int = 0  # Number of the newest revision that the node has received
    # Number of the revision that the node has acknowledged: for exclusive keys it acts only on what that
    # revision and the committed one have in common.
    prepared: int = 0
    # Number of the revision that the children of an aggregator have to acknowledge before they get a lease.
    # `prepared` has the same number once no child acts without having acknowledged that revision. A sidecar
    # leaves this field out (None), since it has no children.
    acknowledged: int | None = None
    acting: int | str = 0  # Number of the revision that the node acts on, or `FALLBACK`
    objection: Objection | None = None
    list_index: int = 0  # Index of the node's list of servers
    list_age_ms: float | None = None
    overrides: list[str] | None = None  # Ids of the overrides acted on; None: the version has no overrides
    digest: str = ""  # Digest of the ids and revisions of the overrides acted on
    known_override_revision: int = 0  # Newest override revision whose time left the node knows
    refresh_times: bool = False  # True if the node requests the times left of all overrides
    acted_overrides: dict[str, int] | None = (
        None  # Revisions of overrides acted on, by id; None: not requested
    )
    group: str = ""
    region: str = ""
    leaving: bool = False  # True in the last report of a process, which acts on nothing any more
    measures: dict[str, Any] = {}


def parse_report(body: bytes) -> Report:
    """Return the report in a body that is not a delta; raise `ReportError` if it is malformed."""
    return parse_delta(body, None)[0]


def parse_delta(body: bytes, previous: RawReport | None) -> tuple[Report, RawReport]:
    """Return a report that may be a delta to `previous`, and its complete fields for the next delta.

    A delta states in `after` the sequence number of the report that it refers to, which has to be that of
    `previous`: otherwise the acknowledgement of one process would count for another. Raise `ReportError` if
    the report is malformed.
    """
    try:
        raw = msgspec.json.decode(body or b"{}", type=RawReport)
        after = raw.pop("after", None)
        if after is not None:
            raw = _carried(after, previous) | raw
        # Only aggregators may state `acknowledged`: a sidecar with it would get leases without acknowledging
        # a revision, and delay commits.
        raw.pop("acknowledged", None)
        report = msgspec.convert(raw, Report)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ReportError(UNREADABLE, str(error)) from error
    _check(report)
    return report, raw


def _carried(after: object, previous: RawReport | None) -> RawReport:
    if previous is None or after != previous.get("seq"):
        raise ReportError(UNREADABLE, "after: names a report that was not received on its connection")
    return {name: value for name, value in previous.items() if name in CARRIED_FIELDS}


def _check(report: Report) -> None:
    _check_numbers(report)
    reason = report.objection.reason if report.objection is not None else ""
    texts = (report.process_id, report.digest, report.group, report.region)
    if max(map(len, texts)) > MAX_TEXT or len(reason) > MAX_REASON:
        raise ReportError(UNREADABLE, "a text is too long")
    if len(report.overrides or ()) > MAX_OVERRIDES:
        raise ReportError(UNREADABLE, f"overrides: more than {MAX_OVERRIDES}")


def _check_numbers(report: Report) -> None:
    numbers = (
        report.seq,
        report.epoch or 0,
        report.newest_revision,
        report.prepared,
        report.list_index,
        report.known_override_revision,
    )
    if min(numbers) < 0 or max(numbers) >= MAX_NUMBER:
        field = next(
            name for name, number in zip(NUMBER_FIELDS, numbers, strict=True) if not _in_range(number)
        )
        raise ReportError(UNREADABLE, f"{field} is out of range")
    if report.acting != FALLBACK and not (isinstance(report.acting, int) and _in_range(report.acting)):
        raise ReportError(UNREADABLE, 'acting: expected an edition or "safe"')
    age = report.list_age_ms
    if age is not None and not (math.isfinite(age) and 0.0 <= age <= MAX_AGE_MS):
        raise ReportError(UNREADABLE, "list_age_ms is out of range")


def _in_range(number: int) -> bool:
    return 0 <= number < MAX_NUMBER
