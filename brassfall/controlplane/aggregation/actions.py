"""The actions that an aggregator's host has to carry out, in the order in which `step` returns them."""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.aggregation.messages import AggregatorReport, ChildOrder, TimesLeft
from brassfall.controlplane.revisions.refusals import LeaseRefusal, refusal_text


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to the service; `UpstreamAnswered` or `UpstreamFailed` has to follow."""

    report: AggregatorReport


@dataclass(frozen=True, slots=True)
class ReportNow:
    """Report at once, or once a report under way was answered or has failed: a decision waits for it."""


@dataclass(frozen=True, slots=True)
class FetchState:
    """Fetch `GET /rules`, and pass the answer on as `StateReceived`.

    An answer named a revision that was not received: the watch may be broken.
    """


@dataclass(frozen=True, slots=True)
class AnswerChild:
    """The answer to a child's report; `revision` and `pending` are to be sent as they are.

    `lease_ms` counts from when the child sent its report; it is 0 with a refusal. `elsewhere` says that
    another aggregator may grant a lease (also beside a lease that will not be renewed).
    """

    ticket: int
    epoch: int
    revision: int
    lease_ms: float
    pending: int
    refusal: LeaseRefusal | None = None
    elsewhere: bool = False
    order: ChildOrder | None = None
    times_left: TimesLeft = field(default_factory=dict)  # of overrides, with `slack_ms` in the rows

    @property
    def why(self) -> str:
        """The refusal's text on the wire; empty with a lease."""
        return refusal_text(self.refusal)


@dataclass(frozen=True, slots=True)
class RejectChild:
    """Reject a child for lack of capacity; it may come again after `retry_ms`."""

    ticket: int
    retry_ms: float
    why: str


@dataclass(frozen=True, slots=True)
class NotifyChildren:
    """Send a line to all watches on the configuration; those opened later begin with it."""

    line: bytes


Action = SendReport | ReportNow | FetchState | AnswerChild | RejectChild | NotifyChildren
