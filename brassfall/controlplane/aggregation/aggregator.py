"""State machine of an aggregator: `step(now, event) -> actions`, with no clock, socket or random source.

An aggregator holds a lease from the service, which counts from when it sent its report. The leases that it
grants to its children never end after its own lease. It reports a revision as prepared once that revision was
acknowledged by each child whose lease may still run. `now` is in milliseconds of the aggregator's monotonic
clock.
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

SWEEP_MS = 250.0  # the minimum time between two removals of silent children


class Aggregator:
    """State machine of one aggregator process.

    Only `step` changes its state. The other public methods and the properties are for the process around it,
    which shows their values or puts them into answers.
    """

    # Types of the parts of the state machine; the lab replaces them to inject defects.
    state_type: ClassVar[type[AggregatorState]] = AggregatorState
    child_reports_type: ClassVar[type[ChildReports]] = ChildReports
    upstream_type: ClassVar[type[UpstreamMessages]] = UpstreamMessages
    builder_type: ClassVar[type[ReportBuilder]] = ReportBuilder

    def __init__(self, timing: AggregatorTiming, identity: Identity, started_ms: float) -> None:
        """Initialize the state machine at `started_ms`, in ms of the clock that `step` uses."""
        self.timing = timing
        self.identity = identity
        self._state = self.state_type(timing, started_ms)
        self._release = StateRelease(self._state)
        self._child_reports = self.child_reports_type(self._state)
        self._upstream = self.upstream_type(self._state, self._release)
        self._builder = self.builder_type(self._state, identity)
        self._last_sweep_ms = -math.inf

    def step(self, now: float, event: Event) -> list[Action]:
        """Apply an event at `now`, and return the actions to carry out, in the order returned."""
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
        if now - self._last_sweep_ms >= SWEEP_MS:
            self._last_sweep_ms = now
            for key in self.membership.silent(now, self.timing.expiry_bound_ms):
                self.membership.depart(key)
                self._state.exceptions.remove(key)
        return [*self._release.due(now), *self._state.urgent_report(now)]

    # --- values for the process around the state machine -----------------------------------------

    @property
    def name(self) -> str:
        """The configured name of the aggregator."""
        return self.identity.name

    @property
    def epoch(self) -> int:
        """The epoch of the service whose messages this aggregator accepts; 0 before the first message."""
        return self._state.epoch

    @property
    def committed(self) -> int:
        """The newest revision known to be committed."""
        return self._state.committed

    @property
    def pending(self) -> int:
        """The revision known to be pending; 0 if no revision is pending."""
        return self._state.pending

    @property
    def membership(self) -> ChildMembership:
        """The children of this aggregator, with their newest reports."""
        return self._state.membership

    @property
    def members(self) -> int:
        """The number of sidecars in the whole fleet; children get it as `edges` in their answers."""
        return self._upstream.members

    @property
    def report_every_ms(self) -> float:
        """The interval between reports to the service that its newest answer requests, in ms."""
        return self._upstream.report_every_ms

    @property
    def lease_until_ms(self) -> float:
        """The time at which the lease from the service ends; -inf if there was no lease."""
        return self._state.lease.until_ms

    @property
    def child_leases_until_ms(self) -> float:
        """An upper bound on the time at which the last child lease ends; -inf without child leases."""
        return self._state.child_leases.latest_end_ms

    def lease_left_ms(self, now: float) -> float:
        """Return how many ms the lease from the service still runs; 0 if it has ended."""
        return self._state.lease.left_ms(now)

    def unready_reason(self, now: float) -> str:
        """Return why no child can get a lease at `now`; the text is empty if leases can be granted."""
        return self._state.unready_reason(now)

    def every_ms(self) -> float:
        """Return the interval between the reports of a child, which gets it as `every_ms` in its answer."""
        return pace.report_interval_ms(len(self.membership.children))

    def spread_ms(self) -> float:
        """Return the time in ms over which children spread urgent reports.

        Children get it as `spread_ms` in their answers.
        """
        return pace.urgent_report_spread_ms(len(self.membership.children))

    def children(self, now: float) -> list[ChildRow]:
        """Return the rows for `GET /edges`, sorted by the sidecar's name and process id."""
        return [child.row(now) for _, child in sorted(self.membership.children.items())]

    def counts(self, now: float) -> ChildCounts:
        """Return the numbers of children in each condition, by their newest reports and their leases."""
        return self.membership.counts(now, self._state.child_leases)

    def may_end(self) -> bool:
        """Return whether the process may exit after a `Leave` event.

        This is so once all child leases have ended and the report that says so was answered or has failed.
        """
        return self._upstream.leaving_reported
