"""The aggregator as a state machine: `step(now, event) -> actions`, with no clock, socket or random source.

It holds a lease from the deciding service, counted from its own asking, and grants leases to its children
that never end after it. It claims a revision as prepared once every child that may still act has acknowledged
it.
`now` is milliseconds of the aggregator's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from brassfall.aggregation.messages import AggregatorLease, AggregatorReport, ChildOrder
from brassfall.aggregation.timing import AggregatorTiming
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
    """A decision waits for what this aggregator knows: report at once, or, where a report is under way, as
    soon as that is answered or has failed."""


@dataclass(frozen=True, slots=True)
class FetchState:
    """An answer named a revision that is not held here: ask for `GET /rules`, and hand in what comes as
    `StateReceived`. The watch may be broken."""


@dataclass(frozen=True, slots=True)
class AnswerChild:
    """The answer to a child's report. `lease_ms` of 0 is none, and `why` says why; `elsewhere` says that
    another aggregator may have one to give (also beside a lease that is not going to be renewed).
    `pending` and `revision` are to be passed on as they are. `left` is the field of that name, with `slack_ms`
    in its rows."""

    ticket: int
    epoch: int
    revision: int
    lease_ms: float
    pending: int
    why: str = ""
    elsewhere: bool = False
    order: ChildOrder | None = None
    left: dict[str, dict[str, int]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TurnAway:
    """No room for this child now: it may come again after `retry_ms`."""

    ticket: int
    retry_ms: float
    why: str


@dataclass(frozen=True, slots=True)
class TellChildren:
    """Tell all watches on the rules this line; those that are opened later begin with it, too."""

    line: bytes


Action = SendReport | Hurry | FetchState | AnswerChild | TurnAway | TellChildren


class Aggregator:
    """One process of an aggregator.

    `settings` are its times and bounds, `life` the id of its process, `name`, `region` and `listen` are as
    configured, `started` is when it began, on the clock that `step` is given. Public attributes are for
    the shell to read."""

    def __init__(
        self, settings: AggregatorTiming, life: str, name: str, region: str, listen: str, started: float
    ) -> None:
        self.settings = settings
        self.life, self.name, self.region, self.listen = life, name, region, listen
        self.started = started
        self.members = 1  # sidecars in the whole fleet: the field `edges` of children's answers
        self.report_every_ms = 250.0  # what the deciding service asked for last
        self.list_index_above = 0  # of the list, as the deciding service told last

    def step(self, now: float, event: Event) -> list[Action]:
        """Take in what happened; what to do about it."""
        raise NotImplementedError

    @property
    def epoch(self) -> int:
        """Of the deciding service whose messages count; 0 before the first."""
        return 0

    @property
    def committed(self) -> int:
        """The newest revision known to be in force."""
        return 0

    @property
    def pending(self) -> int:
        """The revision known to be pending; 0 where none is."""
        return 0

    def lease_left_ms(self, now: float) -> float:
        """How long the lease from above still runs."""
        return 0.0

    def unready(self, now: float) -> str:
        """Why no lease can be granted just now; empty where one can."""
        return "it has no lease"

    def every_ms(self) -> float:
        """How far apart a child's reports are to be: `every_ms` of its answer."""
        return 750.0

    def spread_ms(self) -> float:
        """Over what span hurried reports of children are spread: `spread_ms` of their answers."""
        return 100.0

    def children(self, now: float) -> list[dict[str, Any]]:
        """Rows for `GET /edges`: `name`, `life`, `age_ms` and what each child reported last."""
        return []

    def may_end(self, now: float) -> bool:
        """Whether, after `Leave`, nothing that was granted runs any more, and the service was told so."""
        return True
