"""Events that are passed to the state machine of an aggregator, `Aggregator.step`.

The time of an event is the argument `now` of `step`. Times in events are ms of the aggregator's monotonic
clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassfall.controlplane.aggregation.messages import AggregatorLease
from brassfall.controlplane.revisions.reports import Report


@dataclass(frozen=True, slots=True)
class ChildReported:
    """A child has reported, which requests a lease; the answer to it has the same `ticket`."""

    ticket: int
    name: str
    report: Report


@dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """The service has answered the report that was begun at `asked_ms`."""

    asked_ms: float
    lease: AggregatorLease


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """The report with number `seq` failed: the service sent no usable answer to it."""

    seq: int


@dataclass(frozen=True, slots=True)
class StateReceived:
    """The service has sent the state of its revisions; `line` is sent on to children's watches unchanged.

    `state` is the state of `revision`, a value of `RevisionState`, and `committed` is the committed revision.
    Each of the two numbers is 0 if there is no such revision.
    """

    epoch: int
    revision: int
    state: str
    committed: int
    line: bytes


@dataclass(frozen=True, slots=True)
class ListReceived:
    """The mirrored endpoint list has a new index, or the service confirmed that it is the newest one.

    The confirmation came at `confirmed_ms`.
    """

    index: int
    confirmed_ms: float


@dataclass(frozen=True, slots=True)
class ReportDue:
    """The next report to the service is due.

    The previous report was answered or has failed, and the wait after it has ended.
    """


@dataclass(frozen=True, slots=True)
class Tick:
    """Some time has passed, so actions may be due."""


@dataclass(frozen=True, slots=True)
class Leave:
    """The aggregator shuts down gracefully, and grants no more leases."""


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
