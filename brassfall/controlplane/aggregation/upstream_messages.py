"""Handling of the messages that an aggregator receives from the service."""

from __future__ import annotations

from brassfall.controlplane.aggregation.actions import Action, ReportNow
from brassfall.controlplane.aggregation.events import StateReceived, UpstreamAnswered
from brassfall.controlplane.aggregation.messages import REPORT_EVERY_MS, AggregatorLease
from brassfall.controlplane.aggregation.state import AggregatorState
from brassfall.controlplane.aggregation.state_release import StateRelease

# How long only a lower epoch must have answered until it is accepted. This is more than twice the time that a
# service needs to count a majority.
LOWER_EPOCH_WAIT_MS = 12_000.0


class UpstreamMessages:
    """Handler of the service's answers to reports, and of the states of its revisions."""

    def __init__(self, state: AggregatorState, release: StateRelease) -> None:
        self.state = state
        self.members = 1  # number of sidecars in the whole fleet, from the newest answer
        self.report_every_ms = REPORT_EVERY_MS  # ms between reports, from the newest answer
        self.list_index = 0  # index of the service's endpoint list, from the newest answer
        # True once the report that this process shuts down was answered or has failed.
        self.leaving_reported = False
        self._release = release
        # Since when the service has answered only with an epoch lower than the accepted one; None: not so.
        self._lower_epoch_since_ms: float | None = None

    def report_answered(self, now: float, event: UpstreamAnswered) -> list[Action]:
        """Apply the answer to a report; ignore a late answer, or one of an epoch that is not accepted."""
        state, answer = self.state, event.lease
        if not self._accepts_epoch(now, answer.epoch):
            return []
        if not state.answered_seq < answer.seq <= state.last_seq:
            return []
        state.answered_seq = answer.seq
        state.revisions.report_answered(
            answer.revision, answer.pending, answer.seq, state.last_seq + 1, granted=answer.lease_ms > 0.0
        )
        self._take_lease(now, event.asked_ms, answer)
        self._apply_other_fields(now, event.asked_ms, answer)
        state.await_pending()
        actions = [*self._release.due(now), *state.urgent_report(now)]
        if state.revisions.incomplete or answer.pending != state.pending:
            actions += state.fetch(now)
        return actions

    def report_failed(self, seq: int) -> None:
        """Handle the failure of report `seq`, to which the service sent no usable answer."""
        self.leaving_reported = self.leaving_reported or 0 < self.state.leaving_seq <= seq

    def state_received(self, now: float, event: StateReceived) -> list[Action]:
        """Apply a state of the revisions; ignore a state older than the known one, or of another epoch."""
        state = self.state
        if not self._accepts_epoch(now, event.epoch):
            return []
        if not state.revisions.state_received(
            event.revision, event.state, event.committed, state.last_seq + 1
        ):
            return []
        state.behind_since_ms = None
        state.await_pending()
        self._release.hold(now, event.line)
        actions = [*self._release.due(now), *state.urgent_report(now)]
        return [*actions, ReportNow()] if self._release.waiting else actions

    def _accepts_epoch(self, now: float, epoch: int) -> bool:
        """Return whether a message of the given epoch is accepted.

        A later epoch replaces the accepted one. A lower epoch replaces it if no other epoch has answered for
        `LOWER_EPOCH_WAIT_MS` and there is no lease any more, since the service with the accepted epoch then
        seems to have been lost permanently.
        """
        state = self.state
        if epoch < state.epoch:
            if self._lower_epoch_since_ms is None:
                self._lower_epoch_since_ms = now
            waited_enough = now - self._lower_epoch_since_ms >= LOWER_EPOCH_WAIT_MS
            if not waited_enough or state.lease.left_ms(now) > 0.0:
                return False
        self._lower_epoch_since_ms = None
        if epoch != state.epoch:
            self._begin_epoch(epoch)
        return True

    def _begin_epoch(self, epoch: int) -> None:
        state = self.state
        state.revisions.begin_epoch(epoch)
        state.lease.drop()
        state.override_times.begin_epoch()
        state.urgently_reported = 0
        state.await_pending()

    def _take_lease(self, now: float, asked_ms: float, answer: AggregatorLease) -> None:
        state = self.state
        state.why_no_lease = answer.why
        if answer.lease_ms <= 0.0 or answer.revision < state.committed:
            return
        if state.lease.left_ms(now) <= 0.0:
            state.list_index_due = answer.list_index
        if answer.revision != state.lease.revision:
            state.behind_since_ms = None
        state.lease.renew(asked_ms, answer.revision, answer.lease_ms)

    def _apply_other_fields(self, now: float, asked_ms: float, answer: AggregatorLease) -> None:
        state = self.state
        self.members, self.list_index = max(1, answer.members), answer.list_index
        self.report_every_ms = max(REPORT_EVERY_MS, answer.every_ms)
        state.membership.report_answered(answer.seq)
        for key in state.membership.migrate(answer.migrated, asked_ms):
            state.exceptions.remove(key)
        if answer.resync:
            state.membership.resync()
        state.override_times.receive(asked_ms, now, answer.times_left)
        state.exceptions.receive_digests(answer.digests)
        state.exceptions.receive_orders(answer.orders)
        self.leaving_reported = 0 < state.leaving_seq <= answer.seq
