"""Who reports, who may still act on what: the service's knowledge of sidecars, as pure code.

Times are milliseconds of the service's monotonic clock. A permission is counted by the sidecar from the
time of asking, on a clock whose rate may differ; here its end is an upper bound, so that it is never over
at the sidecar later than here.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

import msgspec

from brassfall.errors import RequestError

TEXT_MOST = 200
# What a report may leave out that goes on from the one before it on its connection: it is as it was there.
KEPT = {"life", "of", "held", "prepared", "acting", "list_index", "list_age_ms"}
KEPT |= {"overrides", "digest", "told", "group", "region"}
OVERRIDES_MOST = 1000
APART = 3 * 3_600_000 << 10  # of lives numbered by wall clocks that are an hour wrong, either way, and some


class ReportError(RequestError):
    """A report that says nothing usable."""

    action = "See which version of the program runs there; the report is dropped, its permission runs out."


class Objection(msgspec.Struct, frozen=True):
    """Why a sidecar can't act on an edition."""

    edition: int
    reason: str


class Report(msgspec.Struct, frozen=True):
    """What one sidecar says of itself; what it does not know, it leaves out."""

    life: str = ""  # of its process
    seq: int = 0  # grows with each report of that life
    of: int | None = None  # the life of the service whose word it takes; 0 before the first answer
    held: int = 0
    prepared: int = 0  # acknowledged: from then on it acts on what is common to that one and the one before
    # Of an aggregator: the edition without whose acknowledgement none of its children gets a permission any
    # more, while `prepared` waits for those that they hold. None from a sidecar, for which the two are one.
    acknowledged: int | None = None
    acting: int | str = 0  # an edition or "safe"
    objection: Objection | None = None
    list_index: int = 0
    list_age_ms: float | None = None
    overrides: list[str] | None = None  # acted on; None from a version without them
    digest: str = ""  # of the ids and revisions of overrides acted on
    told: int = 0  # the newest revision of overrides whose time left is known
    retell: bool = False  # whether all times left are wanted anew
    acted: dict[str, int] | None = None  # id to revision, as asked for
    group: str = ""
    region: str = ""
    leaving: bool = False  # its process ends: it will act on nothing more
    measures: dict[str, Any] = {}


Raw = dict[str, Any]  # a report as it came


def parse(body: bytes) -> Report:
    """Read a whole report; `ReportError` says what is wrong with it."""
    return read(body, None)[0]


def read(body: bytes, before: Raw | None) -> tuple[Report, Raw]:
    """Read a report, and what a next one may go on from; `ReportError` says what is wrong with it.

    One that names another by `after` goes on from that, which has to be the one `before`: never from a
    guess, or what a process acknowledged would be taken for what another did."""
    try:
        raw = msgspec.json.decode(body or b"{}", type=Raw)
        after = raw.pop("after", None)
        if after is not None:
            if before is None or after != before.get("seq"):
                raise ReportError("no report", "it goes on from one that did not come on its connection")
            raw = {name: value for name, value in before.items() if name in KEPT} | raw
        raw.pop("acknowledged", None)  # not a sidecar's to say: it would get permissions, and hold up commits
        report = msgspec.convert(raw, Report)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as wrong:
        raise ReportError("no report", str(wrong)) from wrong
    _sound(report)
    return report, raw


def _sound(report: Report) -> None:
    for name in ("seq", "of", "held", "prepared", "list_index", "told"):
        if not 0 <= (getattr(report, name) or 0) < 2**53:
            raise ReportError("no report", f"{name} is out of range")
    if report.acting != "safe" and not (isinstance(report.acting, int) and 0 <= report.acting < 2**53):
        raise ReportError("no report", 'acting: an edition or "safe" is wanted')
    age = report.list_age_ms
    if age is not None and not (math.isfinite(age) and 0.0 <= age <= 1e12):
        raise ReportError("no report", "list_age_ms is out of range")
    reason = report.objection.reason if report.objection is not None else ""
    if max(map(len, (report.life, report.digest, report.group, report.region))) > 64 or len(reason) > 2000:
        raise ReportError("no report", "a text is too long")
    if len(report.overrides or ()) > OVERRIDES_MOST:
        raise ReportError("no report", f"overrides: more than {OVERRIDES_MOST}")


@dataclass(slots=True)
class Edge:
    """One process of a sidecar, by its newest report."""

    name: str
    last_ms: float
    report: Report
    allied_ms: float | None  # since when its name has taken this life's word without another's between
    lost_ms: float | None = None  # since when it has asked here although it takes a later life's word


@dataclass(slots=True)
class Holder:
    """A process that may act on an edition, until a time that is at the latest."""

    edition: int
    until_ms: float
    prepared: int


@dataclass(slots=True)
class Fleet:
    """All sidecars known to one life of the service."""

    life: int
    names: set[str] = field(default_factory=set)  # the durable roster
    edges: dict[str, Edge] = field(default_factory=dict)
    holders: dict[tuple[str, str], Holder] = field(default_factory=dict)
    stale: int = 0  # reports that were repeated or overtaken

    def heard(self, now: float, name: str, report: Report, brief: float = 0.0) -> bool:
        """Take in a report; whether it is the newest of its process. `brief`: how soon (ms) after another
        process of its name one counts as going on where that was.

        One that is repeated, or comes after a later one, says nothing: an acknowledgement in it may
        have been followed by a process that knows nothing of it."""
        edge = self.edges.get(name)
        same = edge is not None and edge.report.life == report.life
        if edge is not None and same and report.life and report.seq <= edge.report.seq:
            self.stale += 1
            return False
        # In a time shorter than a season no other service can have come to count the name: so a rolling
        # restart costs no majority.
        goes_on = edge is not None and (same or now - edge.last_ms <= brief)
        allied = edge.allied_ms if edge is not None and goes_on else None
        if report.of not in (None, 0, self.life):
            allied = None
        elif allied is None and report.of != 0:
            # Who has had no answer yet has taken nobody's word, and may report to two.
            allied = now
        lost = None
        if (report.of or 0) > self.life:
            asks_on = edge is not None and now - edge.last_ms <= brief and edge.lost_ms is not None
            lost = edge.lost_ms if edge is not None and asks_on else now
        self.edges[name] = Edge(name, now, report, allied, lost)
        return True

    def outlived(self, now: float, span: float, fresh: float) -> int:
        """The latest life and edition known to those who take no word of this life, where they are more than
        half and have asked here for `span` ms all the same; else 0. What is absurd is not believed."""
        lost = [
            max(edge.report.of or 0, edge.report.held)
            for edge in self.edges.values()
            if edge.lost_ms is not None and now - edge.lost_ms >= span and now - edge.last_ms <= fresh
        ]
        # Of the roster, or of all that ask where that is longer: an empty disk has no roster.
        known = max(len(self.names), len(self.edges))
        believed = [life for life in lost if life <= self.life + APART]
        return max(believed, default=0) if known and 2 * len(believed) > known else 0

    def ahead(self, newest: int) -> int:
        """How many hold an edition later than the newest that this service knows."""
        return sum(edge.report.held > newest for edge in self.edges.values())

    def grant(self, name: str, report: Report, edition: int, until: float) -> None:
        """A process may act on an edition."""
        self.holders[name, report.life] = Holder(edition, until, report.prepared)

    def release(self, name: str, life: str) -> None:
        """A process has said that it acts on nothing more."""
        self.holders.pop((name, life), None)

    def holding(self, now: float) -> dict[tuple[str, str], Holder]:
        """Who may still act on something; the rest is forgotten."""
        self.holders = {key: holder for key, holder in self.holders.items() if holder.until_ms > now}
        return self.holders

    def counted(self, now: float, season: float, fresh: float) -> int:
        """How many of the roster have taken this service's word for `season`, and last within `fresh`."""
        return sum(
            edge.allied_ms is not None
            and edge.report.of in (None, self.life)  # who knows no lives takes whoever answers
            and edge.name in self.names
            and now - edge.allied_ms >= season
            and now - edge.last_ms <= fresh
            for edge in self.edges.values()
        )
