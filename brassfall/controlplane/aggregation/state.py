"""The state that the parts of an aggregator's state machine share. Pure code."""

from __future__ import annotations

import math

from brassfall.controlplane.aggregation.actions import Action, FetchState, ReportNow
from brassfall.controlplane.aggregation.child_leases import ChildLeases
from brassfall.controlplane.aggregation.children import ChildMembership
from brassfall.controlplane.aggregation.events import ListReceived
from brassfall.controlplane.aggregation.merged_delays import MergedDelays
from brassfall.controlplane.aggregation.objections import ChildObjections
from brassfall.controlplane.aggregation.override_exceptions import OverrideExceptions
from brassfall.controlplane.aggregation.override_times import OverrideTimes
from brassfall.controlplane.aggregation.revision_view import RevisionView
from brassfall.controlplane.aggregation.timing import AggregatorTiming
from brassfall.controlplane.aggregation.upstream_lease import UpstreamLease

FETCH_EVERY_MS = 250.0


class AggregatorState:
    """The state of one aggregator process; times in ms of its monotonic clock."""

    def __init__(self, timing: AggregatorTiming, started_ms: float) -> None:
        self.timing = timing
        self.lease = UpstreamLease(timing)
        self.revisions = RevisionView()
        self.membership = ChildMembership()
        self.child_leases = ChildLeases()
        self.objections = ChildObjections()
        self.delays = MergedDelays()
        self.override_times = OverrideTimes()
        self.exceptions = OverrideExceptions(timing.late_ms)
        self.list = ListReceived(0, started_ms)
        self.list_index_due = 0  # required before the first grant after a time without a lease
        self.last_seq = 0  # of the newest report that was begun
        self.answered_seq = 0  # of the newest report that was answered
        self.leaving = False
        self.leaving_seq = 0  # of the first report that said so; 0: none
        self.why_no_lease = "it has not been answered yet"  # as the service stated last
        self.behind_since_ms: float | None = None  # since when children know later revisions, or the lease
        # is on an older one
        # The pending revision that an urgent report stated to be acknowledged by all children; 0: none.
        self.urgently_reported = 0
        self._fetched_ms = -math.inf

    @property
    def epoch(self) -> int:
        """The epoch of the service that is followed; 0 before the first."""
        return self.revisions.epoch

    @property
    def committed(self) -> int:
        """The newest revision known to be committed."""
        return self.revisions.committed

    @property
    def pending(self) -> int:
        """The revision known to be pending; 0 if there is none."""
        return self.revisions.pending

    def caught_up(self) -> bool:
        """Return whether the newest state and list were received."""
        current = self.revisions.has_committed and self.lease.revision == self.committed
        return current and self.list.index >= self.list_index_due

    def unready_reason(self, now: float) -> str:
        """Return why no child can get a lease at this time; empty if leases can be granted."""
        if self.leaving:
            return "this aggregator ends"
        if self.lease.left_ms(now) <= 0.0:
            return f"this aggregator has no lease: {self.why_no_lease or 'nobody answers it'}"
        if not self.caught_up():
            return "this aggregator is catching up"
        return ""

    def await_pending(self) -> None:
        """Track the acknowledgements of the pending revision."""
        if self.child_leases.pending != self.pending:
            self.behind_since_ms = None
            self.child_leases.await_all(self.pending)

    def fetch(self, now: float) -> list[Action]:
        """Fetch the state, unless that was done within `FETCH_EVERY_MS`."""
        if now - self._fetched_ms < FETCH_EVERY_MS:
            return []
        self._fetched_ms = now
        return [FetchState()]

    def urgent_report(self, now: float) -> list[Action]:
        """Report at once if the pending revision has a first objection, or all children acknowledged it."""
        if self.objections.take_unreported():
            return [ReportNow()]
        if (
            not self.pending
            or self.urgently_reported == self.pending
            or not self.child_leases.all_acknowledged(now)
        ):
            return []
        self.urgently_reported = self.pending
        return [ReportNow()]
