"""The messages between an aggregator and the service. Pure code.

An aggregator reports with `POST /aggregators/NAME` (body `AggregatorReport`, answer `AggregatorLease`) every
`REPORT_EVERY_MS`, and sooner when a decision waits for it. The size of a report depends on its children with
something to report (arrivals, departures, lags, objections), not on their number: each list is limited, and
the rest follows with the next report.

All durations are milliseconds. Fields with another name on the wire are mapped by `rename`; the paths
`/rules` and `/edges` call revisions and epochs `edition` and `life`.
"""

from __future__ import annotations

import math
from typing import Any

import msgspec

from brassfall.errors import RequestError

REPORT_EVERY_MS = 250.0
MEMBERS_MOST = 256  # arrivals, and departures, in one report
LAGGING_MOST = 32
OBJECTIONS_MOST = 16
EXCEPTIONS_MOST = 32
PLACES_MOST = 64
TEXT_MOST = 200  # characters
NUMBER_MOST = 2**53  # above it JSON readers lose precision
AGE_MOST_MS = 1e12
# The integers of a report, by their names on the wire.
NUMBER_FIELDS = ("seq", "epoch", "held", "acknowledged", "prepared", "list_index", "told")
UNREADABLE = "no report of an aggregator"  # in errors

TimesLeft = dict[str, dict[str, int]]  # by override id: `rev`, `same_from`, `left_ms`; children: `slack_ms`


class AggregatorReportError(RequestError):
    """A malformed or contradictory report of an aggregator."""

    action = "See which version of the aggregator runs there; its lease runs out, its children move on."


class Member(msgspec.Struct, frozen=True, rename={"process_id": "life"}):
    """One child process: the name of its sidecar, and its process id."""

    name: str
    process_id: str


class ChildCounts(msgspec.Struct, frozen=True):
    """The number of children by their last reports; those that were silent for too long are left out."""

    known: int = 0
    leased: int = 0  # may still act on a revision
    lagging: int = 0  # leased, and have not acknowledged the pending revision
    fallback: int = 0  # reported that they act on the fallback configuration
    oldest_list_index: int = 0
    oldest_list_age_ms: float | None = None


class Place(msgspec.Struct, frozen=True, order=True):
    """The place of sidecars: their client group and their region."""

    group: str = ""
    region: str = ""


class ChildException(msgspec.Struct, frozen=True, rename={"process_id": "life", "acted_overrides": "acted"}):
    """A child whose overrides differ from those due at its place, or did so in the previous report."""

    name: str
    process_id: str
    place: Place = Place()
    digest: str | None = None  # None: from a version without overrides
    acted_overrides: dict[str, int] | None = None  # id to revision, if they were requested


class AggregatorReport(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={"process_id": "life", "newest_revision": "held", "known_override_revision": "told"},
):
    """The report of one aggregator process on itself and all its children."""

    process_id: str
    seq: int  # grows with each report of that process
    region: str
    listen: str = ""  # where its children reach it; `GET /edges` of the service asks there for details
    epoch: int | None = None  # of the service that it follows; None before the first answer
    newest_revision: int = 0  # the newest revision known there
    acknowledged: int = 0  # the pending revision, which children have to acknowledge to get a lease
    prepared: int = 0  # the revision that each child that may still act has acknowledged
    list_index: int = 0
    list_age_ms: float | None = None
    children: ChildCounts = ChildCounts()
    joined: list[Member] = []
    departed: list[Member] = []
    lagging: list[str] = []
    objections: dict[str, str] = {}  # to the pending revision, by child
    exceptions: list[ChildException] = []
    places: list[Place] = []  # for which it asks for the expected digest
    measures: dict[str, Any] = {}  # merged over children
    known_override_revision: int = 0  # the newest revision of overrides whose time left is known there
    leaving: bool = False


class PlaceDigest(msgspec.Struct, frozen=True):
    """The expected digest of overrides at a place."""

    place: Place
    digest: str


class ChildOrder(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"refresh_times": "retell", "blocked": "barred"}
):
    """The service's order about one child, valid until the next one."""

    name: str
    list_overrides: bool = False  # have it list the overrides that it acts on
    refresh_times: bool = False  # send it all times left anew
    blocked: str = ""  # grant it no lease, and why


class AggregatorLease(
    msgspec.Struct, frozen=True, omit_defaults=True, rename={"migrated": "moved", "times_left": "left"}
):
    """The answer to a report: the lease, which counts from when the report was sent, and orders."""

    epoch: int
    revision: int  # committed
    lease_ms: float = 0.0  # 0: none, for the reason `why`
    pending: int = 0
    why: str = ""
    seq: int = 0  # the report that it answers
    list_index: int = 0
    every_ms: float = REPORT_EVERY_MS
    members: int = 1  # sidecars in the whole fleet, each counted once
    migrated: list[Member] = []  # children that have since reported to another aggregator
    resync: bool = False  # the service does not know this process: all members are to be reported anew
    times_left: TimesLeft = {}  # of overrides
    digests: list[PlaceDigest] = []
    orders: list[ChildOrder] = []


def parse_report(body: bytes) -> AggregatorReport:
    """Return a report, without unknown fields; raise `AggregatorReportError` if it is malformed."""
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
