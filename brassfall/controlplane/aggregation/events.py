"""The events of an aggregator's state machine.

The time of an event is the `now` of `step`; times in events are ms of the aggregator's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassfall.controlplane.aggregation.messages import AggregatorLease
from brassfall.controlplane.revisions.reports import Report


@dataclass(frozen=True, slots=True)
class ChildReported:
    """A child reports and requests a lease; `ticket` comes back with the answer."""

    ticket: int
    name: str
    report: Report


@dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """The service answered a report that was begun at `asked_ms`."""

    asked_ms: float
    lease: AggregatorLease


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """Report `seq` had no good answer."""

    seq: int


@dataclass(frozen=True, slots=True)
class StateReceived:
    """The service sent the state of its revisions; children's watches get `line` unchanged.

    A number is 0 if there is no such revision. `state` is that of `revision`, a value of `RevisionState`.
    """

    epoch: int
    revision: int
    state: str
    committed: int
    line: bytes


@dataclass(frozen=True, slots=True)
class ListReceived:
    """The mirrored endpoint list has a new index, or was confirmed at `confirmed_ms` as the newest."""

    index: int
    confirmed_ms: float


@dataclass(frozen=True, slots=True)
class ReportDue:
    """The next report is due: the last one was answered or has failed, and the wait after it has ended."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Leave:
    """Shut down gracefully: grant no more leases."""


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
