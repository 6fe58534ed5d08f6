"""The aggregator as a state machine: `step(now, event) -> actions`, with no clock, socket or random source.

It holds a lease from the deciding service, counted from its own asking, and grants leases to its children
that never end after it. It claims a revision as prepared once every child that may still act has acknowledged
it.
`now` is milliseconds of the aggregator's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassfall.aggregation.messages import AggregatorLease, AggregatorReport, ChildOrder
from brassfall.agreement.edges import Report


@dataclass(frozen=True, slots=True)
class ChildReported:
    """A child reports, and asks for a lease; `ticket` comes back with the answer."""

    ticket: int
    name: str
    report: Report


@dataclass(frozen=True, slots=True)
class UpstreamAnswered:
    """The deciding service answered the report that was begun at `asked`."""

    asked: float
    lease: AggregatorLease


@dataclass(frozen=True, slots=True)
class UpstreamFailed:
    """A report got no good answer."""

    seq: int


@dataclass(frozen=True, slots=True)
class StateReceived:
    """The deciding service told the state of its revisions; `line` is what children's watches are told.

    Numbers are 0 where there is none. `state` is `prepared`, `committed` or `halted`, of `revision`."""

    epoch: int
    revision: int
    state: str
    committed: int
    line: bytes


@dataclass(frozen=True, slots=True)
class ListReceived:
    """The mirrored list of servers has moved on, or was confirmed: its index, and since when it is known."""

    index: int
    confirmed: float


@dataclass(frozen=True, slots=True)
class ReportDue:
    """The shell can send a report now: the last one was answered or has failed, and its wait is over."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Leave:
    """This process ends: it grants nothing more."""


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


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send this to the deciding service; its answer is counted from the moment at which it is written."""

    report: AggregatorReport


@dataclass(frozen=True, slots=True)
class Hurry:
    """A decision waits for what this aggregator knows: report at once."""


@dataclass(frozen=True, slots=True)
class AnswerChild:
    """The answer to a child's report. `lease_ms` of 0 is none, and `why` says why; `elsewhere` says that
    another aggregator may have one to give."""

    ticket: int
    epoch: int
    revision: int
    lease_ms: float
    pending: int
    why: str = ""
    elsewhere: bool = False
    order: ChildOrder | None = None


@dataclass(frozen=True, slots=True)
class TurnAway:
    """No room for this child now: it may come again after `retry_ms`."""

    ticket: int
    retry_ms: float
    why: str


@dataclass(frozen=True, slots=True)
class TellChildren:
    """Tell all watches on the rules this line."""

    line: bytes


Action = SendReport | Hurry | AnswerChild | TurnAway | TellChildren
