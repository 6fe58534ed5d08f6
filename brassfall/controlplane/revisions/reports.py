"""What a node reports to the service, as it is read from the wire."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from brassfall.errors import RequestError

NUMBER_MOST = 2**53  # what JSON readers keep exact
AGE_MOST_MS = 1e12
TEXT_MOST = 64  # characters of ids and places
REASON_MOST = 2000
OVERRIDES_MOST = 1000
UNREADABLE = "no report"  # what happened, as errors say it
FALLBACK = "safe"  # `acting` of a node that acts on the fallback configuration
# Wire fields that a report may leave out which goes on from the one before it on its connection.
CARRIED_FIELDS = frozenset(
    (
        *("life", "of", "held", "prepared", "acting", "list_index", "list_age_ms"),
        *("overrides", "digest", "told", "group", "region"),
    )
)

NUMBER_FIELDS = ("seq", "of", "held", "prepared", "list_index", "told")  # by their names on the wire

RawReport = dict[str, Any]  # by wire field


class ReportError(RequestError):
    """A report that says nothing usable."""

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
    """What one node says of itself; what it does not know, it leaves out."""

    process_id: str = ""  # tells the runs of one node apart
    seq: int = 0  # grows with each report of that process
    epoch: int | None = None  # of the service that it follows; 0 before the first answer
    newest_revision: int = 0  # the newest revision that it has
    prepared: int = 0  # acknowledged: it acts on what this one and the one in force have in common
    # Of an aggregator: the revision without whose acknowledgement none of its children gets a lease any more,
    # while `prepared` waits for those that they hold. None from a sidecar, for which the two are one.
    acknowledged: int | None = None
    acting: int | str = 0  # a revision, or `FALLBACK`
    objection: Objection | None = None
    list_index: int = 0
    list_age_ms: float | None = None
    overrides: list[str] | None = None  # ids acted on; None from a version without them
    digest: str = ""  # of the ids and revisions of overrides acted on
    known_override_revision: int = 0  # the newest revision of overrides whose time left is known
    refresh_times: bool = False  # whether all times left are to be sent anew
    acted_overrides: dict[str, int] | None = None  # id to revision, where the service asked for it
    group: str = ""
    region: str = ""
    leaving: bool = False  # its process ends: it will act on nothing more
    measures: dict[str, Any] = {}


def parse_report(body: bytes) -> Report:
    """Read a complete report; `ReportError` says what is wrong with it."""
    return parse_delta(body, None)[0]


def parse_delta(body: bytes, previous: RawReport | None) -> tuple[Report, RawReport]:
    """Read a report that may leave out what is as in `previous`; also returns what a next one goes on from.

    A report that names another by `after` goes on from that one, which has to be `previous`: with any other,
    what one process acknowledged would be taken for what another did. `ReportError` says what is wrong."""
    try:
        raw = msgspec.json.decode(body or b"{}", type=RawReport)
        after = raw.pop("after", None)
        if after is not None:
            raw = _carried(after, previous) | raw
        raw.pop("acknowledged", None)  # not a sidecar's to say: it would get leases, and hold up commits
        report = msgspec.convert(raw, Report)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise ReportError(UNREADABLE, str(error)) from error
    _check(report)
    return report, raw


def _carried(after: Any, previous: RawReport | None) -> RawReport:
    if previous is None or after != previous.get("seq"):
        raise ReportError(UNREADABLE, "it goes on from one that did not come on its connection")
    return {name: value for name, value in previous.items() if name in CARRIED_FIELDS}


def _check(report: Report) -> None:
    _check_numbers(report)
    reason = report.objection.reason if report.objection is not None else ""
    texts = (report.process_id, report.digest, report.group, report.region)
    if max(map(len, texts)) > TEXT_MOST or len(reason) > REASON_MOST:
        raise ReportError(UNREADABLE, "a text is too long")
    if len(report.overrides or ()) > OVERRIDES_MOST:
        raise ReportError(UNREADABLE, f"overrides: more than {OVERRIDES_MOST}")


def _check_numbers(report: Report) -> None:
    numbers = (
        report.seq,
        report.epoch or 0,
        report.newest_revision,
        report.prepared,
        report.list_index,
        report.known_override_revision,
    )
    if min(numbers) < 0 or max(numbers) >= NUMBER_MOST:
        field = next(
            name for name, number in zip(NUMBER_FIELDS, numbers, strict=True) if not _in_range(number)
        )
        raise ReportError(UNREADABLE, f"{field} is out of range")
    if report.acting != FALLBACK and not (isinstance(report.acting, int) and _in_range(report.acting)):
        raise ReportError(UNREADABLE, 'acting: an edition or "safe" is wanted')
    age = report.list_age_ms
    if age is not None and not (math.isfinite(age) and 0.0 <= age <= AGE_MOST_MS):
        raise ReportError(UNREADABLE, "list_age_ms is out of range")


def _in_range(number: int) -> bool:
    return 0 <= number < NUMBER_MOST
