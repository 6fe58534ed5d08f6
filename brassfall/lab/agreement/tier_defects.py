"""Injected defects of aggregators: programs that break one rule each, which the judge has to find."""

from __future__ import annotations

import math
from dataclasses import replace
from typing import Any

import msgspec

from brassfall.controlplane.aggregation import core
from brassfall.controlplane.aggregation.children import Child, ChildKey, ChildLeases, Membership
from brassfall.controlplane.aggregation.core import Aggregator
from brassfall.controlplane.aggregation.lease import UpstreamLease
from brassfall.controlplane.aggregation.messages import AggregatorLease, AggregatorReport, ChildCounts
from brassfall.controlplane.aggregation.timing import AggregatorTiming
from brassfall.controlplane.revisions.reports import Report
from brassfall.lab.agreement.defects import DURABLE, REAL, S1, S2, S3, S4, InjectedDefect
from brassfall.lab.agreement.program import Program

CHAIN = "S3 chain"


# --- the lease ---------------------------------------------------------------------------------------


class _FullLease(UpstreamLease):
    def child_lease_ms(self, now: float) -> float:
        """As long as a lease can be, whatever is left of this one."""
        return self.timing.lease_ms if self.left_ms(now) > 0.0 else 0.0


class OutlastsLease(Aggregator):
    """Grants a whole lease as long as its own one runs."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.lease = _FullLease(self.settings)


class CountsFromAnswer(Aggregator):
    """Counts its lease from when the answer came."""

    def _take_lease(self, now: float, asked: float, answer: AggregatorLease) -> None:
        super()._take_lease(now, now, answer)


class TakesOvertaken(Aggregator):
    """Takes any answer for the one to its newest report."""

    _begun = -math.inf

    def _report(self, now: float) -> AggregatorReport:
        self._begun = now
        return super()._report(now)

    def _answered(self, now: float, event: core.UpstreamAnswered) -> list[core.Action]:
        self._answered_seq = min(self._answered_seq, self._seq - 1)
        answer = msgspec.structs.replace(event.lease, seq=self._seq)
        return super()._answered(now, core.UpstreamAnswered(max(self._begun, event.asked), answer))


class KeepsLeaseOverEpochs(Aggregator):
    """Goes on under its lease when another epoch of the service begins."""

    def _epoch_counts(self, now: float, epoch: int) -> bool:
        lease = (self.lease.revision, self.lease.until_ms, self.lease.renewed_ms)
        counts = super()._epoch_counts(now, epoch)
        self.lease.revision, self.lease.until_ms, self.lease.renewed_ms = lease
        return counts

    def _caught_up(self) -> bool:
        return True


# --- what children have acknowledged --------------------------------------------------------------------


class ClaimsAtOnce(Aggregator):
    """Claims a revision for all children as soon as it hears of it."""

    def _report(self, now: float) -> AggregatorReport:
        made = super()._report(now)
        return msgspec.structs.replace(made, prepared=self.pending)


class _CountedLeases(ChildLeases):
    """Counts acknowledgements, whoever made them, against the number of children there are."""

    def __init__(self, membership: Membership) -> None:
        super().__init__()
        self.membership = membership
        self.acknowledged: set[ChildKey] = set()

    def await_all(self, pending: int) -> None:
        """From now on it matters how many acknowledge this one."""
        super().await_all(pending)
        self.acknowledged = set()

    def noted(self, key: ChildKey, prepared: int) -> None:
        """A child reported."""
        if self.pending and prepared == self.pending:
            self.acknowledged.add(key)

    def all_acknowledged(self, now: float) -> bool:
        """Whether as many have acknowledged as there are."""
        enough = len(self.acknowledged) >= len(self.membership.children)
        return enough or super().all_acknowledged(now)


class CountsNotNames(Aggregator):
    """Goes by how many acknowledged, so that one that has moved on stands for one that was silent."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.leases: _CountedLeases = _CountedLeases(self.membership)

    def _take_in(self, now: float, key: ChildKey, report: Report) -> None:
        super()._take_in(now, key, report)
        self.leases.noted(key, report.prepared)


class IgnoresPendingForNewcomers(Aggregator):
    """Once all have acknowledged a revision, goes on saying so, and grants to whoever comes."""

    def _refusal(self, now: float, name: str, report: Report) -> str:
        why = super()._refusal(now, name, report)
        return "" if why.startswith("it has not acknowledged") and self._hurried_for == self.pending else why

    def _report(self, now: float) -> AggregatorReport:
        made = super()._report(now)
        reached = self.pending and self._hurried_for == self.pending
        return msgspec.structs.replace(made, prepared=self.pending) if reached else made


class _ForgetfulMembership(Membership):
    leases: ChildLeases

    def _forget(self, key: ChildKey) -> None:
        self.leases.release(key)

    def depart(self, key: ChildKey) -> Child | None:
        """A child is one no longer, and its lease is forgotten with it."""
        self._forget(key)
        return super().depart(key)

    def moved(self, members: Any, asked: float) -> list[ChildKey]:
        """Children that another one has heard, whose leases are forgotten."""
        dropped = super().moved(members, asked)
        for key in dropped:
            self._forget(key)
        return dropped


class ForgetsDeparted(Aggregator):
    """Forgets the lease of a child that has gone silent for a while, or moved."""

    def __init__(self, settings: AggregatorTiming, *args: Any) -> None:
        super().__init__(settings, *args)
        self.membership = _ForgetfulMembership()
        self.membership.leases = self.leases


class SharesChildEntries(Aggregator):
    """One entry for a child's name: a second process of it hides the first."""

    def _child_reported(self, now: float, event: core.ChildReported) -> list[core.Action]:
        report = msgspec.structs.replace(event.report, process_id="")
        return super()._child_reported(now, core.ChildReported(event.ticket, event.name, report))


class BoundWithoutDrift(Aggregator):
    """Takes a child's lease for over when it would be on its own clock."""

    def _grant(self, now: float, key: ChildKey, report: Report) -> None:
        until = now + self.lease.child_lease_ms(now)
        self.leases.grant(key, until, report.seq, report.prepared)


# --- what is told and granted ------------------------------------------------------------------------------


class GrantsPrepared(Aggregator):
    """Grants what it was told last, though it is only prepared."""

    def _answer(self, now: float, event: core.ChildReported, why: str) -> core.AnswerChild:
        made = super()._answer(now, event, why)
        return replace(made, revision=self.pending, pending=0) if self.pending else made


class GrantsBeforeCommit(Aggregator):
    """Goes on granting the revision of its lease when it knows that a later one is in force."""

    def _caught_up(self) -> bool:
        return True

    def _answer(self, now: float, event: core.ChildReported, why: str) -> core.AnswerChild:
        return replace(super()._answer(now, event, why), revision=self.lease.revision)


class EndsPromises(Aggregator):
    """Answers a child that knows later revisions as any other: so it forgets what it has acknowledged."""

    def _promised(self, report: Report) -> int:
        return report.prepared

    def _ahead(self, report: Report) -> bool:
        return False

    def _promises_unknown(self, report: Report) -> bool:
        return False


# --- its own end, and its successor's begin -----------------------------------------------------------------


class SharesIdentity(Aggregator):
    """A successor goes on under the id of its predecessor, whose leases it knows nothing of."""

    def __init__(
        self, settings: AggregatorTiming, life: str, name: str, region: str, listen: str, started: float
    ) -> None:
        super().__init__(settings, name, name, region, listen, started)
        self._seq = int(started)


class LeavesEarly(Aggregator):
    """Says that it leaves, and that nobody may act, while its children still may."""

    def _report(self, now: float) -> AggregatorReport:
        made = super()._report(now)
        if self._leaving and not self._leaving_seq:
            self._leaving_seq = self._seq
        counts = ChildCounts() if self._leaving else made.children
        return msgspec.structs.replace(made, leaving=self._leaving, children=counts)


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
