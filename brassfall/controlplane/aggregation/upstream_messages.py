"""How an aggregator takes in what the service answers and sends. Pure code."""

from __future__ import annotations

from brassfall.controlplane.aggregation.actions import Action, ReportNow
from brassfall.controlplane.aggregation.events import StateReceived, UpstreamAnswered
from brassfall.controlplane.aggregation.messages import REPORT_EVERY_MS, AggregatorLease
from brassfall.controlplane.aggregation.state import AggregatorState
from brassfall.controlplane.aggregation.state_release import StateRelease

LOWER_EPOCH_WAIT_MS = 12_000.0  # more than twice the time that a service needs to count a majority


class UpstreamMessages:
    """Answers to reports, and states of the revisions, of the one epoch that is followed."""

    def __init__(self, state: AggregatorState, release: StateRelease) -> None:
        self.state = state
        self.members = 1  # sidecars in the whole fleet, as the service answered last
        self.report_every_ms = REPORT_EVERY_MS  # as the service asked for last
        self.list_index = 0  # of the service's list, as it answered last
        self.leaving_reported = False  # the service was notified that this process ends, or could not be
        self._release = release
        self._lower_since_ms: float | None = None  # since when none but a lower epoch answers

    def answered(self, now: float, event: UpstreamAnswered) -> list[Action]:
        """Take in the answer to a report; one that is overtaken, or of another epoch, changes nothing."""
        state, answer = self.state, event.lease
        if not self._follows(now, answer.epoch):
            return []
        if not state.answered_seq < answer.seq <= state.last_seq:
            return []
        state.answered_seq = answer.seq
        state.revisions.report_answered(
            answer.revision, answer.pending, answer.seq, state.last_seq + 1, granted=answer.lease_ms > 0.0
        )
        self._take_lease(now, event.asked_ms, answer)
        self._take_rest(now, event.asked_ms, answer)
        state.await_pending()
        actions = [*self._release.due(now), *state.urgent_report(now)]
        if state.revisions.incomplete or answer.pending != state.pending:
            actions += state.fetch(now)
        return actions

    def failed(self, seq: int) -> None:
        """Report `seq` got no good answer."""
        self.leaving_reported = self.leaving_reported or 0 < self.state.leaving_seq <= seq

    def state_received(self, now: float, event: StateReceived) -> list[Action]:
        """Take in a state of the revisions; one that is older than what is known changes nothing."""
        state = self.state
        if not self._follows(now, event.epoch):
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

    def _follows(self, now: float, epoch: int) -> bool:
        """Whether a message of this epoch is to be heeded; a later epoch takes the place of the one before,
        and a lower one where that has been silent for so long that it seems gone for good."""
        state = self.state
        if epoch < state.epoch:
            if self._lower_since_ms is None:
                self._lower_since_ms = now
            waited = now - self._lower_since_ms >= LOWER_EPOCH_WAIT_MS
            if not waited or state.lease.left_ms(now) > 0.0:
                return False
        self._lower_since_ms = None
        if epoch != state.epoch:
            self._begin_epoch(epoch)
        return True

    def _begin_epoch(self, epoch: int) -> None:
        state = self.state
        state.revisions.begin_epoch(epoch)
        state.lease.drop()
        state.override_times.begin_epoch()
        state.claimed = 0
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

    def _take_rest(self, now: float, asked_ms: float, answer: AggregatorLease) -> None:
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
