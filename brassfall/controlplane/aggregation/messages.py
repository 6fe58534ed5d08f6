"""Messages between an aggregator and the control-plane service.

An aggregator reports with `POST /aggregators/NAME` (body `AggregatorReport`, answer `AggregatorLease`) every
`REPORT_EVERY_MS`, and sooner if a decision waits for the report. The size of a report depends on the number
of children with something to report (arrivals, departures, missing acknowledgements, objections), not on the
number of all children. Each list in a report is limited, and the rest follows in the next reports.

All durations are in milliseconds. Fields that have another name on the wire are mapped by `rename`. In the
answers of the paths `/rules` and `/edges`, revisions are called `edition`; epochs and process ids are called
`life`.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from brassfall.errors import RequestError

REPORT_EVERY_MS = 250.0
MEMBERS_MOST = 256  # the maximum number of arrivals in one report, and of departures
LAGGING_MOST = 32  # the maximum number of lagging children named in one report
OBJECTIONS_MOST = 16  # the maximum number of objections in one report
EXCEPTIONS_MOST = 32  # the maximum number of override exceptions in one report
PLACES_MOST = 64  # the maximum number of places in one report
TEXT_MOST = 200  # the maximum length of a text in a report or an order, in characters
NUMBER_MOST = 2**53  # exclusive limit of integers; JSON readers lose precision above it
AGE_MOST_MS = 1e12  # the maximum age of an endpoint list in a report
# The names on the wire of the integer fields of a report, in the order in which they are checked.
NUMBER_FIELDS = ("seq", "epoch", "held", "acknowledged", "prepared", "list_index", "told")
UNREADABLE = "no report of an aggregator"  # summary in errors about malformed reports

# The remaining times of overrides: a row with `rev`, `same_from` and `left_ms` by override id. Rows that are
# sent to children also have `slack_ms`.
TimesLeft = dict[str, dict[str, int]]


class AggregatorReportError(RequestError):
    """The report of an aggregator is malformed or contradictory."""

    action = "See which version of the aggregator runs there; its lease runs out, its children move on."


class Member(msgspec.Struct, frozen=True, rename={"process_id": "life"}):
    """Child of an aggregator: the name of a sidecar and the id of one of its processes."""

    name: str
    process_id: str


class ChildCounts(msgspec.Struct, frozen=True):
    """Numbers of children of an aggregator in each condition, without those silent for too long."""

    known: int = 0  # number of sidecars among the children, each counted once
    leased: int = 0  # number of sidecars whose leases may still run
    lagging: int = 0  # sidecars with a lease that have not acknowledged the pending revision
    fallback: int = 0  # children that acted on the fallback configuration when they reported
    oldest_list_index: int = 0
    oldest_list_age_ms: float | None = None


class Place(msgspec.Struct, frozen=True, order=True):
    """Place of sidecars, given by their client group and their region."""

    group: str = ""
    region: str = ""


class ChildException(msgspec.Struct, frozen=True, rename={"process_id": "life", "acted_overrides": "acted"}):
    """Child whose overrides differ from those expected at its place, or did so in an earlier report."""

    name: str
    process_id: str
    place: Place = Place()
    digest: str | None = None  # digest of its overrides; None from versions without overrides
    acted_overrides: dict[str, int] | None = None  # acted-on revision by override id; None: not requested


class AggregatorReport(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={"process_id": "life", "newest_revision": "held", "known_override_revision": "told"},
):
    """Report of one aggregator process about itself and all its children."""

    process_id: str
    seq: int  # number of the report; grows with each report of the process
    region: str
    # Address at which children reach the aggregator, and the service the details for its `GET /edges`.
    listen: str = ""
    epoch: int | None = None  # epoch of the service that it accepts; None before the first answer
    newest_revision: int = 0  # the newest revision that the aggregator knows
    acknowledged: int = 0  # pending revision that children must acknowledge for a lease; 0: none
    prepared: int = 0  # pending revision acknowledged by all children with leases; 0: none
    list_index: int = 0
    list_age_ms: float | None = None
    children: ChildCounts = ChildCounts()
    joined: list[Member] = []
    departed: list[Member] = []
    lagging: list[str] = []
    objections: dict[str, str] = {}  # reasons of objections to the pending revision, by child
    exceptions: list[ChildException] = []
    places: list[Place] = []  # places whose expected digests are requested
    measures: dict[str, Any] = {}  # measured values, merged over all children
    # The newest revision of overrides whose remaining times the aggregator knows; 0 requests all times.
    known_override_revision: int = 0
    leaving: bool = False  # True if the process shuts down and no child has a lease any more


class PlaceDigest(msgspec.Struct, frozen=True):
    """Digest of the overrides that are expected at a place."""

    place: Place
    digest: str


class ChildOrder(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"refresh_times": "retell", "blocked": "barred"}
):
    """Order of the service about one child, valid until its next order about the same child."""

    name: str
    list_overrides: bool = False  # the child has to list the overrides that it acts on
    refresh_times: bool = False  # the child is sent the remaining times of all overrides anew
    blocked: str = ""  # why the child must get no lease; empty: it may get one


class AggregatorLease(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"migrated": "moved", "times_left": "left"}
):
    """Answer of the service to a report, with a lease that counts from when the report was sent."""

    epoch: int
    revision: int  # the committed revision, to which the lease applies
    lease_ms: float = 0.0  # length of the lease; 0: no lease is granted, for the reason in `why`
    pending: int = 0  # the pending revision; 0: none
    why: str = ""  # why no lease is granted; empty with a lease
    seq: int = 0  # number of the report that is answered
    list_index: int = 0  # index of the newest endpoint list
    every_ms: float = REPORT_EVERY_MS  # requested interval between reports
    members: int = 1  # number of sidecars in the whole fleet, each counted once
    migrated: list[Member] = []  # children that have since reported to another aggregator
    resync: bool = False  # True if the process has to report all its children anew
    times_left: TimesLeft = {}  # remaining times of overrides
    digests: list[PlaceDigest] = []
    orders: list[ChildOrder] = []


def parse_report(body: bytes) -> AggregatorReport:
    """Parse the body of a report, and ignore unknown fields.

    Raise `AggregatorReportError` if the report is malformed or a value is out of range.
    """
    try:
        report = msgspec.json.decode(body or b"{}", type=AggregatorReport)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise AggregatorReportError(UNREADABLE, str(error)) from error
    _check_numbers(report)
    _check_lengths(report)
    return report


def _check_numbers(report: AggregatorReport) -> None:
    numbers = (
        report.seq,
        report.epoch or 0,
        report.newest_revision,
        report.acknowledged,
        report.prepared,
        report.list_index,
        report.known_override_revision,
    )
    for field, number in zip(NUMBER_FIELDS, numbers, strict=True):
        if not 0 <= number < NUMBER_MOST:
            raise AggregatorReportError(UNREADABLE, f"{field} is out of range")
    age = report.list_age_ms
    if age is not None and not (math.isfinite(age) and 0.0 <= age <= AGE_MOST_MS):
        raise AggregatorReportError(UNREADABLE, "list_age_ms is out of range")


def _check_lengths(report: AggregatorReport) -> None:
    bounds = {
        "joined": MEMBERS_MOST,
        "departed": MEMBERS_MOST,
        "lagging": LAGGING_MOST,
        "objections": OBJECTIONS_MOST,
        "exceptions": EXCEPTIONS_MOST,
        "places": PLACES_MOST,
    }
    for field, most in bounds.items():
        if len(getattr(report, field)) > most:
            raise AggregatorReportError(UNREADABLE, f"{field}: more than {most}")
    texts = (report.process_id, report.region, report.listen)
    if not report.process_id or max(map(len, texts)) > TEXT_MOST:
        raise AggregatorReportError(UNREADABLE, "life, region or listen: expected a short text")
