"""Answers of an aggregator to the reports of its children, and the leases granted with them."""

from __future__ import annotations

from brassfall.controlplane.aggregation.actions import Action, AnswerChild, RejectChild
from brassfall.controlplane.aggregation.admission import Admission
from brassfall.controlplane.aggregation.child_leases import ChildKey
from brassfall.controlplane.aggregation.events import ChildReported
from brassfall.controlplane.aggregation.state import AggregatorState
from brassfall.controlplane.revisions.refusals import LeaseRefusal, RefusalReason
from brassfall.controlplane.revisions.reports import FALLBACK, Report
from brassfall.controlplane.revisions.timing import expiry_bound_ms

# How long an aggregator may lack a revision that a child knows until children are redirected.
BEHIND_MS = 500.0


class ChildReports:
    """Handler of children's reports; grants leases that never end after the aggregator's own."""

    def __init__(self, state: AggregatorState) -> None:
        self.state = state
        self._admission = Admission(state.timing)

    def receive(self, now: float, event: ChildReported) -> list[Action]:
        """Apply a report of a child, and return its answer and the other actions that are due.

        `now` is in ms of the aggregator's clock.
        """
        state, report = self.state, event.report
        key = ChildKey(event.name, report.process_id)
        if report.leaving:
            self._remove(key)
            return [self._answer(now, event, LeaseRefusal(RefusalReason.LEAVING)), *state.urgent_report(now)]
        if not state.membership.is_newest(key, report, state.child_leases):
            return [self._answer(now, event, LeaseRefusal(RefusalReason.OVERTAKEN))]
        retry_ms = self._admission_wait_ms(now, key, report)
        if retry_ms:
            return [RejectChild(event.ticket, retry_ms, "too many sidecars come at once")]
        self._store_report(now, key, report)
        refusal = self._refusal(now, event.name, report)
        if refusal is None:
            self._grant(now, key, report)
        fetch = self._fetch_unknown(now, report)
        return [self._answer(now, event, refusal), *fetch, *state.urgent_report(now)]

    def _admission_wait_ms(self, now: float, key: ChildKey, report: Report) -> float:
        children = self.state.membership.children
        if key in children:
            return 0.0
        holds_lease = report.acting != FALLBACK
        return self._admission.retry_ms(now, key.name, holds_lease=holds_lease, known=len(children))

    def _remove(self, key: ChildKey) -> None:
        self.state.child_leases.release(key)
        self.state.membership.depart(key)
        self.state.exceptions.remove(key)
        self.state.objections.withdraw(key.name)

    def _store_report(self, now: float, key: ChildKey, report: Report) -> None:
        state = self.state
        child = state.membership.report_received(now, key, report)
        state.child_leases.report_received(key, report.seq, self._promised_revision(report))
        state.delays.add(now, key.name, report.group, report.measures)
        state.exceptions.report_received(now, child)
        objection = report.objection
        if objection is not None and objection.revision == state.pending != 0:
            state.objections.add(key.name, objection)

    # --- leases ------------------------------------------------------------------------------

    def _refusal(self, now: float, name: str, report: Report) -> LeaseRefusal | None:
        """Return the reason for which a child gets no lease at `now`; None if it gets one."""
        state = self.state
        unready = state.unready_reason(now)
        if unready:
            return LeaseRefusal(RefusalReason.AGGREGATOR_UNREADY, unready)
        if self._is_ahead(report):
            return LeaseRefusal(RefusalReason.AHEAD_OF_AGGREGATOR)
        order = state.exceptions.order(name)
        if order is not None and order.blocked:
            return LeaseRefusal(RefusalReason.BLOCKED, order.blocked)
        objection = report.objection
        if objection is not None and objection.revision == state.committed:
            return LeaseRefusal(RefusalReason.OBJECTS, objection.reason)
        if state.pending and report.prepared != state.pending:
            return LeaseRefusal(RefusalReason.NOT_ACKNOWLEDGED)
        return None

    def _grant(self, now: float, key: ChildKey, report: Report) -> None:
        state = self.state
        until_ms = now + expiry_bound_ms(state.lease.child_lease_ms(now), state.timing.drift)
        state.child_leases.grant(key, until_ms, report.seq, self._promised_revision(report))

    # --- revisions known to a child ------------------------------------------------------------------

    def _is_ahead(self, report: Report) -> bool:
        """Return whether a child knows an epoch or a revision that this aggregator does not know yet.

        A lease could then end the child's promise of a revision that is still pending.
        """
        state = self.state
        if (report.epoch or 0) > state.epoch or self._promises_unknown(report):
            return True
        same_epoch = report.epoch == state.epoch
        return same_epoch and isinstance(report.acting, int) and report.acting > state.committed

    def _promised_revision(self, report: Report) -> int:
        """Return the revision that a child still promises to act on after the answer to its report.

        This is its acknowledged revision if that is pending or unknown at this aggregator; else 0.
        """
        still_promised = report.prepared == self.state.pending or self._promises_unknown(report)
        return report.prepared if still_promised else 0

    def _promises_unknown(self, report: Report) -> bool:
        """Return whether a child has acknowledged a revision that this aggregator does not know yet.

        The revisions of an epoch have numbers from the epoch's number up. A lower number is of an earlier
        epoch, and known: the first message of an epoch has all revisions taken over from earlier ones.
        """
        return report.prepared > self.state.revisions.newest and report.prepared >= self.state.epoch

    def _fetch_unknown(self, now: float, report: Report) -> list[Action]:
        """Return a `FetchState` if a child of this epoch knows a revision that this aggregator lacks."""
        if not self._is_ahead(report) or (report.epoch or 0) > self.state.epoch:
            return []
        return self.state.fetch(now)

    # --- answers -----------------------------------------------------------------------------

    def _answer(self, now: float, event: ChildReported, refusal: LeaseRefusal | None) -> AnswerChild:
        state, report = self.state, event.report
        order = state.exceptions.order(event.name)
        refresh = report.refresh_times or (order is not None and order.refresh_times)
        known = 0 if refresh else report.known_override_revision
        answer = AnswerChild(
            ticket=event.ticket,
            epoch=state.epoch,
            revision=state.committed,
            lease_ms=state.lease.child_lease_ms(now) if refusal is None else 0.0,
            # The child keeps its promise of a revision unknown to this aggregator, which may be pending.
            pending=report.prepared if self._promises_unknown(report) else state.pending,
            refusal=refusal,
            elsewhere=self._elsewhere(now, report),
            order=order,
            times_left=state.override_times.for_child(now, known),
        )
        state.exceptions.carry_out(event.name, listed=report.acted_overrides is not None)
        return answer

    def _elsewhere(self, now: float, report: Report) -> bool:
        """Return whether the answer to a child redirects it to another aggregator."""
        state = self.state
        if state.leaving or state.lease.stale(now) or (report.epoch or 0) > state.epoch:
            return True
        if state.caught_up() and not self._is_ahead(report):
            return state.lease.left_ms(now) <= 0.0
        # An aggregator usually receives a missing revision within a few ms, so children are redirected
        # only after `BEHIND_MS`.
        if state.behind_since_ms is None:
            state.behind_since_ms = now
        return state.lease.left_ms(now) <= 0.0 or now - state.behind_since_ms > BEHIND_MS
