"""Actions returned by `Aggregator.step`, which its caller carries out in the order returned."""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.messages import AggregatorReport, ChildOrder, TimesLeft
from brassfall.controlplane.revisions.refusals import LeaseRefusal, refusal_text


@dataclass(frozen=True, slots=True)
class SendReport:
    """Order to send a report to the service and to pass its outcome to `Aggregator.step`.

    The outcome is an `UpstreamAnswered` or `UpstreamFailed` event.
    """

    report: AggregatorReport


@dataclass(frozen=True, slots=True)
class ReportNow:
    """Order to report to the service at once: a decision, a commit or a shutdown waits for the report.

    If a report is under way, the next one follows once that one was answered or has failed.
    """


@dataclass(frozen=True, slots=True)
class FetchState:
    """Order to fetch `GET /rules` from the service and to pass its answer to `step` as `StateReceived`.

    It is given if a report or an answer names a revision that this aggregator has not received, because the
    watch on the service may be broken.
    """


@dataclass(frozen=True, slots=True)
class AnswerChild:
    """Order to answer a child's report; `revision` and `pending` are sent without change.

    `ticket` is that of the `ChildReported` event. `lease_ms` counts from when the child sent its report; it
    is 0 if the lease is refused. With `elsewhere` the child should report to another aggregator; this can
    also accompany a lease, which will then not be renewed.
    """

    ticket: int
    epoch: int
    revision: int
    lease_ms: float
    pending: int
    refusal: LeaseRefusal | None = None
    elsewhere: bool = False
    order: ChildOrder | None = None
    times_left: TimesLeft = field(default_factory=dict)  # remaining times of overrides

    @property
    def why(self) -> str:
        """The text sent to the child as the reason for the refusal; empty if a lease was granted."""
        return refusal_text(self.refusal)


@dataclass(frozen=True, slots=True)
class RejectChild:
    """Order to reject a child's report for lack of capacity; the child may retry after `retry_ms`."""

    ticket: int
    retry_ms: float
    why: str


@dataclass(frozen=True, slots=True)
class NotifyChildren:
    """Order to send `line` to all watches on the configuration.

    It is also the first line of each watch that is opened later, until the next `NotifyChildren`.
    """

    line: bytes


Action = SendReport | ReportNow | FetchState | AnswerChild | RejectChild | NotifyChildren
