"""Injected defects of aggregators: programs that break one rule each, which the judge has to find."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import replace

import msgspec

from brassfall.controlplane.aggregation.actions import Action, AnswerChild
from brassfall.controlplane.aggregation.aggregator import Aggregator
from brassfall.controlplane.aggregation.child_leases import ChildKey, ChildLeases
from brassfall.controlplane.aggregation.child_reports import ChildReports
from brassfall.controlplane.aggregation.children import Child, ChildMembership
from brassfall.controlplane.aggregation.events import ChildReported, UpstreamAnswered
from brassfall.controlplane.aggregation.messages import AggregatorLease, AggregatorReport, ChildCounts, Member
from brassfall.controlplane.aggregation.report_builder import Identity, ReportBuilder
from brassfall.controlplane.aggregation.state import AggregatorState
from brassfall.controlplane.aggregation.timing import AggregatorTiming
from brassfall.controlplane.aggregation.upstream_lease import UpstreamLease
from brassfall.controlplane.aggregation.upstream_messages import UpstreamMessages
from brassfall.controlplane.revisions.refusals import LeaseRefusal, RefusalReason
from brassfall.controlplane.revisions.reports import Report
from brassfall.lab.agreement.defects import DURABLE, REAL, S1, S2, S3, S4, InjectedDefect
from brassfall.lab.agreement.program import Program

CHAIN = "S3 chain"


# --- the lease ---------------------------------------------------------------------------------------


class _FullLease(UpstreamLease):
    def child_lease_ms(self, now: float) -> float:
        """As long as a lease can be, whatever is left of this one."""
        return self.timing.lease_ms if self.left_ms(now) > 0.0 else 0.0


class _WithFullLease(AggregatorState):
    def __init__(self, timing: AggregatorTiming, started_ms: float) -> None:
        super().__init__(timing, started_ms)
        self.lease = _FullLease(timing)


class OutlastsLease(Aggregator):
    """Grants a full lease as long as its own one runs."""

    state_type = _WithFullLease


class _CountsFromAnswer(UpstreamMessages):
    def _take_lease(self, now: float, asked_ms: float, answer: AggregatorLease) -> None:
        super()._take_lease(now, now, answer)


class CountsFromAnswer(Aggregator):
    """Counts its lease from when the answer came."""

    upstream_type = _CountsFromAnswer


class _BegunState(AggregatorState):
    begun_ms = -math.inf  # when the newest report was begun


class _BegunBuilder(ReportBuilder):
    state: _BegunState

    def build(self, now: float) -> AggregatorReport:
        """The next report, whose beginning is noted."""
        self.state.begun_ms = now
        return super().build(now)


class _TakesOvertaken(UpstreamMessages):
    state: _BegunState

    def report_answered(self, now: float, event: UpstreamAnswered) -> list[Action]:
        """Take in an answer as if it were to the newest report."""
        state = self.state
        state.answered_seq = min(state.answered_seq, state.last_seq - 1)
        answer = msgspec.structs.replace(event.lease, seq=state.last_seq)
        return super().report_answered(now, UpstreamAnswered(max(state.begun_ms, event.asked_ms), answer))


class TakesOvertaken(Aggregator):
    """Takes any answer for the one to its newest report."""

    state_type = _BegunState
    builder_type = _BegunBuilder
    upstream_type = _TakesOvertaken


class _AlwaysCaughtUp(AggregatorState):
    def caught_up(self) -> bool:
        """Whatever is missing."""
        return True


class _KeepsLease(UpstreamMessages):
    def _accepts_epoch(self, now: float, epoch: int) -> bool:
        lease = self.state.lease
        before = (lease.revision, lease.until_ms, lease.renewed_ms)
        follows = super()._accepts_epoch(now, epoch)
        lease.revision, lease.until_ms, lease.renewed_ms = before
        return follows


class KeepsLeaseOverEpochs(Aggregator):
    """Goes on under its lease when another epoch of the service begins."""

    state_type = _AlwaysCaughtUp
    upstream_type = _KeepsLease


# --- what children have acknowledged --------------------------------------------------------------------


class _ClaimsPending(ReportBuilder):
    def _prepared(self, now: float) -> int:
        super()._prepared(now)
        return self.state.pending


class ClaimsAtOnce(Aggregator):
    """Claims a revision for all children as soon as it hears of it."""

    builder_type = _ClaimsPending


class _CountedLeases(ChildLeases):
    """Counts acknowledgements, whoever made them, against the number of children there are."""

    def __init__(self, membership: ChildMembership) -> None:
        super().__init__()
        self.membership = membership
        self.acknowledged: set[ChildKey] = set()

    def await_all(self, pending: int) -> None:
        """From now on it matters how many acknowledge this one."""
        super().await_all(pending)
        self.acknowledged = set()

    def note(self, key: ChildKey, prepared: int) -> None:
        """A child reported."""
        if self.pending and prepared == self.pending:
            self.acknowledged.add(key)

    def all_acknowledged(self, now: float) -> bool:
        """Whether as many have acknowledged as there are."""
        enough = len(self.acknowledged) >= len(self.membership.children)
        return enough or super().all_acknowledged(now)


class _CountingState(AggregatorState):
    def __init__(self, timing: AggregatorTiming, started_ms: float) -> None:
        super().__init__(timing, started_ms)
        self.child_leases: _CountedLeases = _CountedLeases(self.membership)


class _CountingReports(ChildReports):
    state: _CountingState

    def _store_report(self, now: float, key: ChildKey, report: Report) -> None:
        super()._store_report(now, key, report)
        self.state.child_leases.note(key, report.prepared)


class CountsNotNames(Aggregator):
    """Goes by how many acknowledged, so that one that has moved on stands for one that was silent."""

    state_type = _CountingState
    child_reports_type = _CountingReports


class _GrantsOnceClaimed(ChildReports):
    def _refusal(self, now: float, name: str, report: Report) -> LeaseRefusal | None:
        refusal = super()._refusal(now, name, report)
        claimed = self.state.urgently_reported == self.state.pending
        return None if refusal == (RefusalReason.NOT_ACKNOWLEDGED, "") and claimed else refusal


class _ClaimsOn(ReportBuilder):
    def _prepared(self, now: float) -> int:
        prepared = super()._prepared(now)
        claimed = self.state.pending and self.state.urgently_reported == self.state.pending
        return self.state.pending if claimed else prepared


class IgnoresPendingForNewcomers(Aggregator):
    """Once all have acknowledged a revision, goes on saying so, and grants to whoever comes."""

    child_reports_type = _GrantsOnceClaimed
    builder_type = _ClaimsOn


class _ForgetfulMembership(ChildMembership):
    def __init__(self, leases: ChildLeases) -> None:
        super().__init__()
        self.leases = leases

    def depart(self, key: ChildKey) -> Child | None:
        """A child is one no longer, and its lease is forgotten with it."""
        self.leases.release(key)
        return super().depart(key)

    def migrate(self, members: Iterable[Member], asked_ms: float) -> list[ChildKey]:
        """Children that another one has heard, whose leases are forgotten."""
        dropped = super().migrate(members, asked_ms)
        for key in dropped:
            self.leases.release(key)
        return dropped


class _ForgetfulState(AggregatorState):
    def __init__(self, timing: AggregatorTiming, started_ms: float) -> None:
        super().__init__(timing, started_ms)
        self.membership = _ForgetfulMembership(self.child_leases)


class ForgetsDeparted(Aggregator):
    """Forgets the lease of a child that has gone silent for a while, or has migrated."""

    state_type = _ForgetfulState


class _SharedEntries(ChildReports):
    def receive(self, now: float, event: ChildReported) -> list[Action]:
        """Take in a report without the id of its process."""
        report = msgspec.structs.replace(event.report, process_id="")
        return super().receive(now, ChildReported(event.ticket, event.name, report))


class SharesChildEntries(Aggregator):
    """One entry for a child's name: a second process of it hides the first."""

    child_reports_type = _SharedEntries


class _BoundWithoutDrift(ChildReports):
    def _grant(self, now: float, key: ChildKey, report: Report) -> None:
        until_ms = now + self.state.lease.child_lease_ms(now)
        self.state.child_leases.grant(key, until_ms, report.seq, report.prepared)


class BoundWithoutDrift(Aggregator):
    """Takes a child's lease for over when it would be on its own clock."""

    child_reports_type = _BoundWithoutDrift


# --- what is sent and granted ------------------------------------------------------------------------------


class _GrantsPending(ChildReports):
    def _answer(self, now: float, event: ChildReported, refusal: LeaseRefusal | None) -> AnswerChild:
        answer, pending = super()._answer(now, event, refusal), self.state.pending
        return replace(answer, revision=pending, pending=0) if pending else answer


class GrantsPrepared(Aggregator):
    """Grants what it received last, though it is only prepared."""

    child_reports_type = _GrantsPending


class _GrantsOwnRevision(ChildReports):
    def _answer(self, now: float, event: ChildReported, refusal: LeaseRefusal | None) -> AnswerChild:
        return replace(super()._answer(now, event, refusal), revision=self.state.lease.revision)


class GrantsBeforeCommit(Aggregator):
    """Goes on granting the revision of its lease when it knows that a later one is in force."""

    state_type = _AlwaysCaughtUp
    child_reports_type = _GrantsOwnRevision


class _EndsPromises(ChildReports):
    def _promised_revision(self, report: Report) -> int:
        return report.prepared

    def _is_ahead(self, report: Report) -> bool:
        return False

    def _promises_unknown(self, report: Report) -> bool:
        return False


class EndsPromises(Aggregator):
    """Answers a child that knows later revisions as any other: so it forgets what it has acknowledged."""

    child_reports_type = _EndsPromises


# --- its own end, and its successor's begin -----------------------------------------------------------------


class SharesIdentity(Aggregator):
    """A successor goes on under the id of its predecessor, whose leases it knows nothing of."""

    def __init__(self, timing: AggregatorTiming, identity: Identity, started_ms: float) -> None:
        super().__init__(timing, replace(identity, process_id=identity.name), started_ms)
        self._state.last_seq = int(started_ms)


class _LeavesEarly(ReportBuilder):
    def build(self, now: float) -> AggregatorReport:
        """The next report, without children once this process is to end."""
        report, state = super().build(now), self.state
        if state.leaving and not state.leaving_seq:
            state.leaving_seq = state.last_seq
        counts = ChildCounts() if state.leaving else report.children
        return msgspec.structs.replace(report, leaving=state.leaving, children=counts)


class LeavesEarly(Aggregator):
    """Says that it leaves, and that nobody may act, while its children still may."""

    builder_type = _LeavesEarly


def _with(aggregator: type[Aggregator]) -> Program:
    return replace(REAL, aggregator=aggregator)


TIER_DEFECTS: dict[str, InjectedDefect] = {
    "outlasts-lease": InjectedDefect(
        "a child's lease outlasts the lease above", _with(OutlastsLease), ("aggregator cut",), (CHAIN, S1, S2)
    ),
    "lease-from-answer": InjectedDefect(
        "the lease above is counted from the answer", _with(CountsFromAnswer), ("rough",), (CHAIN,)
    ),
    "overtaken-answer": InjectedDefect(
        "an overtaken answer taken for the newest", _with(TakesOvertaken), ("rough", "burst"), (CHAIN, S1)
    ),
    "lease-over-epochs": InjectedDefect(
        "a lease kept over a change of epoch",
        _with(KeepsLeaseOverEpochs),
        ("twin", "older copy"),
        (S1, S2, S3, DURABLE),
    ),
    "claimed-at-once": InjectedDefect(
        "acknowledged for children that have not", _with(ClaimsAtOnce), ("deaf",), (S1, S2)
    ),
    "count-not-names": InjectedDefect(
        "acknowledgements counted, not named", _with(CountsNotNames), ("moves", "deaf"), (S1, S2)
    ),
    "newcomers-unasked": InjectedDefect(
        "a newcomer granted what it has not acknowledged the successor of",
        _with(IgnoresPendingForNewcomers),
        ("stop", "rolling", "rough"),
        (S1, S2),
    ),
    "departed-forgotten": InjectedDefect(
        "the lease of a child that went is forgotten", _with(ForgetsDeparted), ("deaf",), (S1, S2)
    ),
    "shared-child-entry": InjectedDefect(
        "two processes of one child share an entry",
        _with(SharesChildEntries),
        ("beside", "beside", "burst"),
        (S1, S2),
    ),
    "bound-without-drift": InjectedDefect(
        "a child's lease is over by this clock", _with(BoundWithoutDrift), ("drift",), (S1, S2)
    ),
    "grants-prepared": InjectedDefect(
        "a revision granted that is only prepared", _with(GrantsPrepared), (), (S1, S2, DURABLE)
    ),
    "grants-before-commit": InjectedDefect(
        "a revision granted that another has followed", _with(GrantsBeforeCommit), (), (S1, S2)
    ),
    "promise-ended": InjectedDefect(
        "a child's promise ended by one that lags", _with(EndsPromises), ("far behind",), (S1, S2)
    ),
    "identity-shared": InjectedDefect(
        "a successor goes on under its predecessor's id",
        _with(SharesIdentity),
        ("aggregator killed in prepare",),
        (S1, S2, S4),
    ),
    "leaves-early": InjectedDefect(
        "leaves while its children may act", _with(LeavesEarly), ("aggregator leaves", "cut"), (S1, S2)
    ),
}
