"""The aggregator as a state machine: `step(now, event) -> actions`, with no clock, socket or random source.

It holds a lease from the deciding service, counted from its own asking, and grants leases to its children
that never end after it. It claims a revision as prepared once every child that may still act has acknowledged
it.
`now` is milliseconds of the aggregator's monotonic clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from itertools import islice
from typing import Any

import msgspec

from brassfall.controlplane.aggregation.admission import Admission
from brassfall.controlplane.aggregation.children import FALLBACK, Child, ChildKey, ChildLeases, Membership
from brassfall.controlplane.aggregation.endings import Endings
from brassfall.controlplane.aggregation.exceptions import OverrideExceptions
from brassfall.controlplane.aggregation.lease import UpstreamLease
from brassfall.controlplane.aggregation.merging import MergedDelays
from brassfall.controlplane.aggregation.messages import (
    LAGGING_MOST,
    MEMBERS_MOST,
    OBJECTIONS_MOST,
    REPORT_EVERY_MS,
    TEXT_MOST,
    AggregatorLease,
    AggregatorReport,
    ChildOrder,
)
from brassfall.controlplane.aggregation.revisions import RevisionView
from brassfall.controlplane.aggregation.timing import AggregatorTiming
from brassfall.controlplane.revisions import pace
from brassfall.controlplane.revisions.reports import Objection, Report
from brassfall.controlplane.revisions.timing import expiry_bound_ms

EPOCH_GONE_MS = 12_000.0  # more than twice the time that a service needs to count a majority
FETCH_EVERY_MS = 250.0
BEHIND_MS = 500.0  # how long children that know more are kept waiting before they are sent on
SWEEP_MS = 250.0


@dataclass(frozen=True, slots=True)
class ChildReported:
    """A child reports, and asks for a lease; `ticket` comes back with the answer."""

    ticket: int
    name: str
    report: Report


@dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """The deciding service answered the report that was begun at `asked`."""

    asked: float
    lease: AggregatorLease


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """A report got no good answer."""

    seq: int


@dataclass(frozen=True, slots=True)
class StateReceived:
    """The deciding service told the state of its revisions; `line` is what children's watches are told.

    Numbers are 0 where there is none. `state` is `prepared`, `committed` or `halted`, of `revision`."""

    epoch: int
    revision: int
    state: str
    committed: int
    line: bytes


@dataclass(frozen=True, slots=True)
class ListReceived:
    """The mirrored list of servers has moved on, or was confirmed: its index, and since when it is known."""

    index: int
    confirmed: float


@dataclass(frozen=True, slots=True)
class ReportDue:
    """The shell can send a report now: the last one was answered or has failed, and its wait is over."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Leave:
    """This process ends: it grants nothing more."""


Event = (
    ChildReported
    | UpstreamAnswered
    | UpstreamFailed
    | StateReceived
    | ListReceived
    | ReportDue
    | Tick
    | Leave
)


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send this to the deciding service; its answer is counted from the moment at which it is written."""

    report: AggregatorReport


@dataclass(frozen=True, slots=True)
class Hurry:
    """A decision waits for what this aggregator knows: report at once, or, where a report is under way, as
    soon as that is answered or has failed."""


@dataclass(frozen=True, slots=True)
class FetchState:
    """An answer named a revision that is not held here: ask for `GET /rules`, and hand in what comes as
    `StateReceived`. The watch may be broken."""


@dataclass(frozen=True, slots=True)
class AnswerChild:
    """The answer to a child's report. `lease_ms` of 0 is none, and `why` says why; `elsewhere` says that
    another aggregator may have one to give (also beside a lease that is not going to be renewed).
    `pending` and `revision` are to be passed on as they are. `left` is the field of that name, with
    `slack_ms` in its rows."""

    ticket: int
    epoch: int
    revision: int
    lease_ms: float
    pending: int
    why: str = ""
    elsewhere: bool = False
    order: ChildOrder | None = None
    left: dict[str, dict[str, int]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TurnAway:
    """No room for this child now: it may come again after `retry_ms`."""

    ticket: int
    retry_ms: float
    why: str


@dataclass(frozen=True, slots=True)
class TellChildren:
    """Tell all watches on the rules this line; those that are opened later begin with it, too."""

    line: bytes


Action = SendReport | Hurry | FetchState | AnswerChild | TurnAway | TellChildren


class Aggregator:
    """One process of an aggregator.

    `settings` are its times and bounds, `life` the id of its process, `name`, `region` and `listen` are as
    configured, `started` is when it began, on the clock that `step` is given. Public attributes and methods
    other than `step` are for the shell to read."""

    def __init__(
        self, settings: AggregatorTiming, life: str, name: str, region: str, listen: str, started: float
    ) -> None:
        self.settings = settings
        self.life, self.name, self.region, self.listen = life, name, region, listen
        self.started = started
        self.members = 1  # sidecars in the whole fleet: the field `edges` of children's answers
        self.report_every_ms = REPORT_EVERY_MS  # as the deciding service asked for last
        self.list_index_above = 0  # of the list, as the deciding service told last
        self.why_no_lease = "it has not been answered yet"  # as the deciding service told last
        self.lease = UpstreamLease(settings)
        self.revisions = RevisionView()
        self.membership = Membership()
        self.leases = ChildLeases()
        self.admission = Admission(settings)
        self.delays = MergedDelays()
        self.endings = Endings()
        self.exceptions = OverrideExceptions(settings.late_ms)
        self._list = ListReceived(0, started)
        self._list_index_due = 0  # of the list, to be held before the first grant after a gap
        self._seq = self._answered_seq = 0
        self._objected = 0  # the revision that children objected to last
        self._objections: dict[str, str] = {}  # and why, by child
        self._objects_untold = False
        self._withheld: tuple[float, int, bytes] | None = None  # since when, and the revision it waits for
        self._line = b""  # what children were told last
        self._hurried_for = 0  # the pending revision that all were said to have acknowledged
        self._behind_since: float | None = None  # since when it lacks what children know, or what is in force
        self._lower_since: float | None = None  # since when none but a lower epoch answers
        self._fetched_ms = self._swept_ms = -math.inf
        self._leaving = self._ended = False
        self._leaving_seq = 0  # the first report that said so

    def step(self, now: float, event: Event) -> list[Action]:
        """Take in what happened; what to do about it."""
        match event:
            case ChildReported():
                return self._child_reported(now, event)
            case UpstreamAnswered():
                return self._answered(now, event)
            case UpstreamFailed(seq):
                self._ended = self._ended or 0 < self._leaving_seq <= seq
                return []
            case StateReceived():
                return self._state_received(now, event)
            case ListReceived():
                self._list = event
                return []
            case ReportDue():
                return [SendReport(self._report(now))]
            case Tick():
                return self._tick(now)
            case Leave():
                self._leaving = True
                return [Hurry()]

    # --- what the shell reads ---------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """Of the deciding service whose messages count; 0 before the first."""
        return self.revisions.epoch

    @property
    def committed(self) -> int:
        """The newest revision known to be in force."""
        return self.revisions.committed

    @property
    def pending(self) -> int:
        """The revision known to be pending; 0 where none is."""
        return self.revisions.pending

    def lease_left_ms(self, now: float) -> float:
        """How long the lease from above still runs."""
        return self.lease.left_ms(now)

    def unready(self, now: float) -> str:
        """Why no lease can be granted to anybody just now; empty where one can."""
        if self._leaving:
            return "this aggregator ends"
        if self.lease.left_ms(now) <= 0.0:
            return f"this aggregator has no lease: {self.why_no_lease or 'nobody answers it'}"
        if not self._caught_up():
            return "this aggregator is catching up"
        return ""

    def every_ms(self) -> float:
        """How far apart a child's reports are to be: `every_ms` of its answer."""
        return pace.every_ms(len(self.membership.children))

    def spread_ms(self) -> float:
        """Over what span hurried reports of children are spread: `spread_ms` of their answers."""
        return pace.spread_ms(len(self.membership.children))

    def children(self, now: float) -> list[dict[str, Any]]:
        """Rows for `GET /edges`: `name`, `life`, `age_ms` and what each child reported last."""
        return [_row(now, child) for _, child in sorted(self.membership.children.items())]

    def may_end(self, now: float) -> bool:
        """Whether, after `Leave`, nothing that was granted runs any more, and the service was told so or
        could not be."""
        return self._ended

    # --- children ---------------------------------------------------------------------------

    def _child_reported(self, now: float, event: ChildReported) -> list[Action]:
        key, report = ChildKey(event.name, event.report.process_id), event.report
        if report.leaving:
            self._child_leaves(key)
            return [self._answer(now, event, "it is leaving"), *self._decided(now)]
        if not self.membership.fresh(key, report, self.leases):
            return [self._answer(now, event, "a later report of this process came before")]
        if key not in self.membership.children:
            retry_ms = self._admission_wait_ms(now, event)
            if retry_ms:
                return [TurnAway(event.ticket, retry_ms, "too many sidecars come at once")]
        self._take_in(now, key, report)
        why = self._refusal(now, event.name, report)
        if not why:
            self._grant(now, key, report)
        lag = self._notice_lag(now, report)
        return [self._answer(now, event, why), *lag, *self._decided(now)]

    def _admission_wait_ms(self, now: float, event: ChildReported) -> float:
        holds_lease = event.report.acting != FALLBACK
        return self.admission.retry_ms(now, event.name, holds_lease, len(self.membership.children))

    def _child_leaves(self, key: ChildKey) -> None:
        self.leases.release(key)
        self.membership.depart(key)
        self.exceptions.gone(key)
        self._objections.pop(key.name, None)

    def _take_in(self, now: float, key: ChildKey, report: Report) -> None:
        child = self.membership.heard(now, key, report)
        self.leases.heard(key, report.seq, self._promised(report))
        self.delays.add(now, key.name, report.group, report.measures)
        self.exceptions.heard(now, child)
        objection = report.objection
        if objection is not None and objection.revision == self.pending != 0:
            self._object(key.name, objection)

    def _object(self, name: str, objection: Objection) -> None:
        """Keep an objection to what is pending, also where the service is another one meanwhile."""
        if self._objected != objection.revision:
            self._objected, self._objections = objection.revision, {}
        self._objects_untold |= not self._objections
        self._objections[name] = objection.reason[:TEXT_MOST]

    def _refusal(self, now: float, name: str, report: Report) -> str:
        """Why a child gets no lease now; empty where it does."""
        unready = self.unready(now)
        if unready:
            return unready
        if self._ahead(report):
            return "it knows later revisions than this aggregator"
        order = self.exceptions.order(name)
        if order is not None and order.barred:
            return order.barred
        objection = report.objection
        if objection is not None and objection.revision == self.committed:
            return f"it objects to this edition: {objection.reason}"
        if self.pending and report.prepared != self.pending:
            return "it has not acknowledged the edition that is prepared"
        return ""

    def _ahead(self, report: Report) -> bool:
        """Whether a child knows of what is not known here yet: an answer could make it forget that."""
        if (report.epoch or 0) > self.epoch or self._promises_unknown(report):
            return True
        return (
            report.epoch == self.epoch and isinstance(report.acting, int) and report.acting > self.committed
        )

    def _promised(self, report: Report) -> int:
        """The revision that a child has acknowledged and goes on promising after its answer: that is what is
        pending here, or is not known here yet; 0 where it is another."""
        goes_on = report.prepared == self.pending or self._promises_unknown(report)
        return report.prepared if goes_on else 0

    def _promises_unknown(self, report: Report) -> bool:
        """Whether a child has acknowledged a revision that is not known here yet.

        One whose number is below the epoch's is of an epoch that is over: this one numbers from itself up,
        and tells what it took over from the one before with its first message."""
        return report.prepared > self.revisions.newest and report.prepared >= self.epoch

    def _sends_on(self, now: float, report: Report) -> bool:
        """Whether a child had better ask another aggregator."""
        if self._leaving or self.lease.stale(now) or (report.epoch or 0) > self.epoch:
            return True
        if self._caught_up() and not self._ahead(report):
            return self.lease.left_ms(now) <= 0.0
        # Most often this aggregator has what it lacks within some ms.
        if self._behind_since is None:
            self._behind_since = now
        return self.lease.left_ms(now) <= 0.0 or now - self._behind_since > BEHIND_MS

    def _notice_lag(self, now: float, report: Report) -> list[Action]:
        """Ask for the state, where a child knows what this aggregator has missed."""
        if not self._ahead(report) or (report.epoch or 0) > self.epoch:
            return []
        return self._fetch(now)

    def _grant(self, now: float, key: ChildKey, report: Report) -> None:
        length = self.lease.child_lease_ms(now)
        until = now + expiry_bound_ms(length, self.settings.drift)
        self.leases.grant(key, until, report.seq, self._promised(report))

    def _answer(self, now: float, event: ChildReported, why: str) -> AnswerChild:
        report, pending = event.report, self.pending
        if self._promises_unknown(report):
            pending = report.prepared  # its promise goes on: nothing is known here that ended it
        order = self.exceptions.order(event.name)
        anew = report.refresh_times or (order is not None and order.retell)
        made = AnswerChild(
            event.ticket,
            self.epoch,
            self.committed,
            0.0 if why else self.lease.child_lease_ms(now),
            pending,
            why,
            elsewhere=self._sends_on(now, report),
            order=order,
            left=self.endings.for_child(now, 0 if anew else report.known_override_revision),
        )
        self.exceptions.carried_out(event.name, report.acted_overrides is not None)
        return made

    # --- the deciding service -----------------------------------------------------------------

    def _answered(self, now: float, event: UpstreamAnswered) -> list[Action]:
        answer = event.lease
        if not self._epoch_counts(now, answer.epoch) or not self._answered_seq < answer.seq <= self._seq:
            return []
        self._answered_seq = answer.seq
        granted = answer.lease_ms > 0.0
        self.revisions.answered(answer.revision, answer.pending, answer.seq, self._seq + 1, granted)
        self._take_lease(now, event.asked, answer)
        self._take_rest(now, event.asked, answer)
        self._follow_pending()
        actions = [*self._release_line(now), *self._decided(now)]
        if self.revisions.lacks or answer.pending != self.pending:
            actions += self._fetch(now)
        return actions

    def _epoch_counts(self, now: float, epoch: int) -> bool:
        """Whether what has this epoch is to be heeded; a later one takes the place of the one before."""
        if epoch < self.epoch:
            if self._lower_since is None:
                self._lower_since = now
            if now - self._lower_since < EPOCH_GONE_MS or self.lease.left_ms(now) > 0.0:
                return False
            # The later one is gone for good, it seems, and a service with a clock behind is there.
        elif epoch == self.epoch:
            self._lower_since = None
            return True
        self._lower_since = None
        self.revisions.adopt(epoch)
        self.lease.drop()
        self.endings.begin_anew()
        self._hurried_for = 0
        self._follow_pending()
        return True

    def _take_lease(self, now: float, asked: float, answer: AggregatorLease) -> None:
        self.why_no_lease = answer.why
        if answer.lease_ms <= 0.0 or answer.revision < self.committed:
            return
        if self.lease.left_ms(now) <= 0.0:
            self._list_index_due = answer.list_index
        if answer.revision != self.lease.revision:
            self._behind_since = None
        self.lease.take(asked, answer.revision, answer.lease_ms)

    def _take_rest(self, now: float, asked: float, answer: AggregatorLease) -> None:
        self.members, self.list_index_above = max(1, answer.members), answer.list_index
        self.report_every_ms = max(REPORT_EVERY_MS, answer.every_ms)
        self.membership.answered(answer.seq)
        for key in self.membership.moved(answer.moved, asked):
            self.exceptions.gone(key)
        if answer.resync:
            self.membership.resync()
        self.endings.told(asked, now, answer.left)
        self.exceptions.digests(answer.digests)
        self.exceptions.ordered(answer.orders)
        self._ended = 0 < self._leaving_seq <= answer.seq

    def _state_received(self, now: float, event: StateReceived) -> list[Action]:
        if not self._epoch_counts(now, event.epoch):
            return []
        if not self.revisions.received(event.revision, event.state, event.committed, self._seq + 1):
            return []
        self._behind_since = None
        self._follow_pending()
        if event.line != self._line:
            since = self._withheld[0] if self._withheld is not None else now
            self._withheld = (since, self.committed, event.line)
        actions = [*self._release_line(now), *self._decided(now)]
        return actions if self._withheld is None else [*actions, Hurry()]

    def _follow_pending(self) -> None:
        """Wait for the acknowledgements of what is pending now."""
        if self.leases.pending != self.pending:
            self._behind_since = None
            self.leases.await_all(self.pending)

    def _release_line(self, now: float) -> list[Action]:
        """Tell children the newest state, but a commit not before a lease on it can be granted: they ask for
        one at once."""
        if self._withheld is None:
            return []
        since, revision, line = self._withheld
        holds = self.lease.left_ms(now) > 0.0 and self.lease.revision >= revision
        if not holds and now - since < self.settings.commit_message_wait_ms:
            return []
        self._withheld, self._line = None, line
        return [TellChildren(line)]

    def _decided(self, now: float) -> list[Action]:
        """Report at once, if a child objects to what is pending, or from now on all children that may act
        have acknowledged it."""
        if self._objects_untold:
            self._objects_untold = False
            return [Hurry()]
        if not self.pending or self._hurried_for == self.pending or not self.leases.all_acknowledged(now):
            return []
        self._hurried_for = self.pending
        return [Hurry()]

    def _caught_up(self) -> bool:
        """Whether the newest state and list are held here."""
        current = self.revisions.in_hand and self.lease.revision == self.committed
        return current and self._list.index >= self._list_index_due

    def _fetch(self, now: float) -> list[Action]:
        if now - self._fetched_ms < FETCH_EVERY_MS:
            return []
        self._fetched_ms = now
        return [FetchState()]

    # --- reports and time -----------------------------------------------------------------------

    def _report(self, now: float) -> AggregatorReport:
        self._seq += 1
        self.leases.sweep(now)
        leaving = self._leaving and not self.leases.any(now)
        if leaving and not self._leaving_seq:
            self._leaving_seq = self._seq
        objections = self._objections if self.pending and self._objected == self.pending else {}
        prepared = self.pending if self.pending and self.leases.all_acknowledged(now) else 0
        return AggregatorReport(
            life=self.life,
            seq=self._seq,
            region=self.region,
            listen=self.listen,
            epoch=self.epoch,
            held=self.revisions.newest,
            acknowledged=self.pending,
            prepared=prepared,
            list_index=self._list.index,
            list_age_ms=max(0.0, now - self._list.confirmed),
            children=self.membership.counts(now, self.leases),
            joined=self.membership.arrivals(self._seq, MEMBERS_MOST),
            departed=self.membership.departures(self._seq, MEMBERS_MOST),
            lagging=list(islice(self.leases.lagging(now), LAGGING_MOST)),
            objections=dict(islice(objections.items(), OBJECTIONS_MOST)),
            exceptions=self.exceptions.rows(now, self.membership.children),
            places=self.exceptions.places(),
            measures=self.delays.take(now),
            told=self.endings.told_for_report(now),
            leaving=leaving,
        )

    def _tick(self, now: float) -> list[Action]:
        if now - self._swept_ms >= SWEEP_MS:
            self._swept_ms = now
            for key in self.membership.silent(now, self.settings.expiry_bound_ms):
                self.membership.depart(key)
                self.exceptions.gone(key)
        return [*self._release_line(now), *self._decided(now)]


def _row(now: float, child: Child) -> dict[str, Any]:
    report = child.report
    return {
        "name": child.key.name,
        "life": child.key.life,
        "held": report.held,
        "prepared": report.prepared,
        "acting": report.acting,
        "age_ms": round(now - child.heard_ms),
        "list_index": report.list_index,
        "list_age_ms": report.list_age_ms,
        "overrides": report.overrides or [],
        "group": report.group,
        "region": report.region,
        "objection": msgspec.to_builtins(report.objection),
    }
