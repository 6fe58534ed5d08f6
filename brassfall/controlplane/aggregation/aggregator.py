"""The aggregator as a state machine: `step(now, event) -> actions`, with no clock, socket or random source.

It has a lease from the service, counted from when it sent its report, and grants leases to its children that
never end after it. It reports a revision as prepared once each child that may still act has acknowledged it.
`now` is milliseconds of the aggregator's monotonic clock.
"""

from __future__ import annotations

import math
from typing import ClassVar

from brassfall.controlplane.aggregation.actions import Action, ReportNow, SendReport
from brassfall.controlplane.aggregation.child_reports import ChildReports
from brassfall.controlplane.aggregation.children import ChildMembership, ChildRow
from brassfall.controlplane.aggregation.events import (
    ChildReported,
    Event,
    Leave,
    ListReceived,
    ReportDue,
    StateReceived,
    Tick,
    UpstreamAnswered,
    UpstreamFailed,
)
from brassfall.controlplane.aggregation.messages import ChildCounts
from brassfall.controlplane.aggregation.report_builder import Identity, ReportBuilder
from brassfall.controlplane.aggregation.state import AggregatorState
from brassfall.controlplane.aggregation.state_release import StateRelease
from brassfall.controlplane.aggregation.timing import AggregatorTiming
from brassfall.controlplane.aggregation.upstream_messages import UpstreamMessages
from brassfall.controlplane.revisions import pace

SWEEP_MS = 250.0


class Aggregator:
    """One process of an aggregator.

    The public properties and methods other than `step` are for the host to read.
    """

    # The types of the parts, which the lab replaces to inject defects.
    state_type: ClassVar[type[AggregatorState]] = AggregatorState
    child_reports_type: ClassVar[type[ChildReports]] = ChildReports
    upstream_type: ClassVar[type[UpstreamMessages]] = UpstreamMessages
    builder_type: ClassVar[type[ReportBuilder]] = ReportBuilder

    def __init__(self, timing: AggregatorTiming, identity: Identity, started_ms: float) -> None:
        """Begin at `started_ms`, on the clock that `step` is given."""
        self.timing = timing
        self.identity = identity
        self._state = self.state_type(timing, started_ms)
        self._release = StateRelease(self._state)
        self._child_reports = self.child_reports_type(self._state)
        self._upstream = self.upstream_type(self._state, self._release)
        self._builder = self.builder_type(self._state, identity)
        self._swept_ms = -math.inf

    def step(self, now: float, event: Event) -> list[Action]:
        """Apply an event; return the actions to carry out, in this order."""
        match event:
            case ChildReported():
                return self._child_reports.receive(now, event)
            case UpstreamAnswered():
                return self._upstream.report_answered(now, event)
            case UpstreamFailed(seq):
                self._upstream.report_failed(seq)
                return []
            case StateReceived():
                return self._upstream.state_received(now, event)
            case ListReceived():
                self._state.list = event
                return []
            case ReportDue():
                return [SendReport(self._builder.build(now))]
            case Tick():
                return self._tick(now)
            case Leave():
                self._state.leaving = True
                return [ReportNow()]

    def _tick(self, now: float) -> list[Action]:
        if now - self._swept_ms >= SWEEP_MS:
            self._swept_ms = now
            for key in self.membership.silent(now, self.timing.expiry_bound_ms):
                self.membership.depart(key)
                self._state.exceptions.remove(key)
        return [*self._release.due(now), *self._state.urgent_report(now)]

    # --- what the host reads ----------------------------------------------------------------

    @property
    def name(self) -> str:
        """The configured name."""
        return self.identity.name

    @property
    def epoch(self) -> int:
        """The epoch of the service that is followed; 0 before the first."""
        return self._state.epoch

    @property
    def committed(self) -> int:
        """The newest revision known to be committed."""
        return self._state.committed

    @property
    def pending(self) -> int:
        """The revision known to be pending; 0 if there is none."""
        return self._state.pending

    @property
    def membership(self) -> ChildMembership:
        """The children."""
        return self._state.membership

    @property
    def members(self) -> int:
        """The sidecars in the whole fleet: the field `edges` of children's answers."""
        return self._upstream.members

    @property
    def report_every_ms(self) -> float:
        """The interval between reports that the service asked for last."""
        return self._upstream.report_every_ms

    @property
    def lease_until_ms(self) -> float:
        """The end of the lease from the service; -inf without one."""
        return self._state.lease.until_ms

    @property
    def child_leases_until_ms(self) -> float:
        """An upper bound on the end of the last child lease; -inf if there is none."""
        return self._state.child_leases.latest_end_ms

    def lease_left_ms(self, now: float) -> float:
        """Return how long the lease from the service still runs."""
        return self._state.lease.left_ms(now)

    def unready_reason(self, now: float) -> str:
        """Return why no child can get a lease at this time; empty if leases can be granted."""
        return self._state.unready_reason(now)

    def every_ms(self) -> float:
        """Return the interval between a child's reports: `every_ms` of its answer."""
        return pace.every_ms(len(self.membership.children))

    def spread_ms(self) -> float:
        """Return the time over which urgent reports are spread: `spread_ms` of children's answers."""
        return pace.spread_ms(len(self.membership.children))

    def children(self, now: float) -> list[ChildRow]:
        """Return the rows for `GET /edges`, by name and process."""
        return [child.row(now) for _, child in sorted(self.membership.children.items())]

    def counts(self, now: float) -> ChildCounts:
        """Return the number of children by their last reports."""
        return self.membership.counts(now, self._state.child_leases)

    def may_end(self) -> bool:
        """Return whether the process may end after `Leave`.

        Then no child lease runs any more, and the service was notified or could not be reached.
        """
        return self._upstream.leaving_reported
