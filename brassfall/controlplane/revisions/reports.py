"""The reports of nodes, as they are read from the wire. Pure code."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from brassfall.errors import RequestError

MAX_NUMBER = 2**53  # what JSON readers keep exact
MAX_AGE_MS = 1e12
MAX_TEXT = 64  # characters of ids and places
MAX_REASON = 2000  # characters of an objection
MAX_OVERRIDES = 1000
UNREADABLE = "no report"  # in errors
FALLBACK = "safe"  # `acting` of a node that acts on the fallback configuration
# Wire fields that a delta to the last report on its connection may leave out.
CARRIED_FIELDS = frozenset(
    (
        *("life", "of", "held", "prepared", "acting", "list_index", "list_age_ms"),
        *("overrides", "digest", "told", "group", "region"),
    )
)

NUMBER_FIELDS = ("seq", "of", "held", "prepared", "list_index", "told")  # by their names on the wire

RawReport = dict[str, Any]  # by wire field


class ReportError(RequestError):
    """A malformed report."""

    action = "See which version of the program runs there; the report is dropped, its lease runs out."


class Objection(msgspec.Struct, frozen=True, rename={"revision": "edition"}):
    """Why a sidecar can't act on a revision."""

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
    """The state of one node, as it reports it; it leaves out what it does not know."""

    process_id: str = ""  # distinguishes the processes of one node
    seq: int = 0  # grows with each report of that process
    epoch: int | None = None  # of the service that it follows; 0 before the first answer
    newest_revision: int = 0  # the newest one received
    prepared: int = 0  # acknowledged: it acts on what this one and the one in force have in common
    # Of an aggregator: the revision that its children have to acknowledge before they get a lease, while
    # `prepared` follows once no child acts without having done so. None from a sidecar: the two are one.
    acknowledged: int | None = None
    acting: int | str = 0  # a revision, or `FALLBACK`
    objection: Objection | None = None
    list_index: int = 0
    list_age_ms: float | None = None
    overrides: list[str] | None = None  # ids acted on; None from a version without them
    digest: str = ""  # of the ids and revisions of overrides acted on
    known_override_revision: int = 0  # the newest revision of overrides whose time left is known
    refresh_times: bool = False  # requests all times left
    acted_overrides: dict[str, int] | None = None  # id to revision, if the service asked for it
    group: str = ""
    region: str = ""
    leaving: bool = False  # its process ends, and acts on nothing any more
    measures: dict[str, Any] = {}


def parse_report(body: bytes) -> Report:
    """Return a complete report; raise `ReportError` if it is malformed."""
    return parse_delta(body, None)[0]


def parse_delta(body: bytes, previous: RawReport | None) -> tuple[Report, RawReport]:
    """Return a report that may be a delta to `previous`, and its complete fields for the next delta.

    A delta names the report that it refers to by `after`, which has to be `previous`: otherwise the
    acknowledgement of one process would count for another. Raise `ReportError` if it is malformed.
    """
    try:
        raw = msgspec.json.decode(body or b"{}", type=RawReport)
        after = raw.pop("after", None)
        if after is not None:
            raw = _carried(after, previous) | raw
        raw.pop(
            "acknowledged", None
        )  # of aggregators alone: a sidecar would get leases by it, and delay commits
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
