"""State shared by the parts of an aggregator's state machine."""

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

FETCH_EVERY_MS = 250.0  # the minimum time between two fetches of the state of the revisions


class AggregatorState:
    """State of one aggregator process; times are ms of its monotonic clock."""

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
        self.list_index_due = 0  # index of the endpoint list that is required before leases are granted
        self.last_seq = 0  # number of the newest report that was built
        self.answered_seq = 0  # number of the newest report that was answered
        self.leaving = False  # True once the aggregator shuts down
        self.leaving_seq = 0  # number of the first report that stated the shutdown; 0: none
        # Why the service has granted no lease, from its newest answer; empty with a lease.
        self.why_no_lease = "it has not been answered yet"
        # Since when children know later revisions than this aggregator, or its lease is on an older revision
        # than the committed one; None if neither was seen.
        self.behind_since_ms: float | None = None
        # The pending revision that an urgent report stated to be acknowledged by all children; 0: none.
        self.urgently_reported = 0
        self._fetched_ms = -math.inf  # when a fetch of the state of the revisions was ordered last

    @property
    def epoch(self) -> int:
        """The epoch of the service whose messages are accepted; 0 before the first message."""
        return self.revisions.epoch

    @property
    def committed(self) -> int:
        """The newest revision known to be committed."""
        return self.revisions.committed

    @property
    def pending(self) -> int:
        """The revision known to be pending; 0 if no revision is pending."""
        return self.revisions.pending

    def caught_up(self) -> bool:
        """Return whether this aggregator has the newest state of the service.

        That is the document of the committed revision, a lease on this revision, and the endpoint list with
        the required index.
        """
        has_newest_revision = self.revisions.has_committed and self.lease.revision == self.committed
        return has_newest_revision and self.list.index >= self.list_index_due

    def unready_reason(self, now: float) -> str:
        """Return why no child can get a lease at `now`; the text is empty if leases can be granted."""
        if self.leaving:
            return "this aggregator ends"
        if self.lease.left_ms(now) <= 0.0:
            return f"this aggregator has no lease: {self.why_no_lease or 'nobody answers it'}"
        if not self.caught_up():
            return "this aggregator is catching up"
        return ""

    def await_pending(self) -> None:
        """Track the children's acknowledgements of the pending revision, if it has changed."""
        if self.child_leases.pending != self.pending:
            self.behind_since_ms = None
            self.child_leases.await_all(self.pending)

    def fetch(self, now: float) -> list[Action]:
        """Return a `FetchState`, unless the last one was given less than `FETCH_EVERY_MS` ago."""
        if now - self._fetched_ms < FETCH_EVERY_MS:
            return []
        self._fetched_ms = now
        return [FetchState()]

    def urgent_report(self, now: float) -> list[Action]:
        """Return a `ReportNow` if an urgent report is due.

        It is due once for the first objection to the pending revision, and once when all children with a
        lease have acknowledged that revision.
        """
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
