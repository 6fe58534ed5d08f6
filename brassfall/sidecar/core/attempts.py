"""The records of requests and their attempts, with the states of each.

Times are in milliseconds of the sidecar's clock.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol, cast

from brassfall.balancer.model import Outcome
from brassfall.sidecar.core.interfaces import Answer, Call, Exchange, ExchangeResult, FlowControl


class _State(Enum):
    """A state, hashed by identity: `Enum.__hash__` would cost a call of Python code for each transition."""

    __hash__ = object.__hash__


class RequestState(_State):
    """How far the final answer of a request is."""

    AWAITING_ANSWER = auto()
    STREAMING_ANSWER = auto()  # a server's answer is passed to the client while it arrives
    ENDED = auto()  # answered completely, or its client has left


class AttemptState(_State):
    """How far an attempt is."""

    STARTING = auto()  # not yet handed to the pool
    UPLOADING = auto()  # of a large request, which is not written completely: its time limit is not running
    AWAITING_ANSWER = auto()
    STREAMING_ANSWER = auto()
    STOPPED = auto()  # by this process; the outcome follows in a later turn of the loop
    ENDED = auto()  # the outcome is known


class StateTransitionError(Exception):
    """A change of state that a request or an attempt can't make: a defect of the driver."""

    action = "report it with the traceback"

    def __init__(self, before: Enum, after: Enum) -> None:
        super().__init__(f"{before.name} can't become {after.name}")


REQUEST_TRANSITIONS = {
    RequestState.AWAITING_ANSWER: (RequestState.STREAMING_ANSWER, RequestState.ENDED),
    RequestState.STREAMING_ANSWER: (RequestState.ENDED,),
    RequestState.ENDED: (),
}

# Members as names of this module: a look-up on the enumeration costs more than a comparison.
_AWAITING_ANSWER = RequestState.AWAITING_ANSWER
_UPLOADING, _ENDED = AttemptState.UPLOADING, AttemptState.ENDED
_ABANDONED = Outcome.ABANDONED

# States in which the attempt has an exchange, but no answer yet.
UNANSWERED = (AttemptState.UPLOADING, AttemptState.AWAITING_ANSWER)
IN_EXCHANGE = (*UNANSWERED, AttemptState.STREAMING_ANSWER)

ATTEMPT_TRANSITIONS = {
    AttemptState.STARTING: (*UNANSWERED, AttemptState.STOPPED),
    AttemptState.UPLOADING: (
        AttemptState.AWAITING_ANSWER,
        AttemptState.STREAMING_ANSWER,
        AttemptState.STOPPED,
        AttemptState.ENDED,
    ),
    AttemptState.AWAITING_ANSWER: (AttemptState.STREAMING_ANSWER, AttemptState.STOPPED, AttemptState.ENDED),
    AttemptState.STREAMING_ANSWER: (AttemptState.STOPPED, AttemptState.ENDED),
    AttemptState.STOPPED: (AttemptState.ENDED,),
    AttemptState.ENDED: (),
}


class AttemptOwner(Protocol):
    """The part of the driver that follows attempts; see `ExchangeObserver` for the events."""

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt whose bytes are due is still wanted."""

    def uploaded(self, attempt: Attempt) -> None:
        """Take note that a request has been written completely."""

    def answer_begun(self, attempt: Attempt, answer: Answer, flow: FlowControl) -> Callable[[bytes], None]:
        """Begin to pass a large answer on; return what takes the rest of it."""

    def withdrawn(self, attempt: Attempt) -> None:
        """Take note that the pool abandoned an attempt before it was sent."""

    def ended(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Take the outcome of an attempt; later ones are ignored."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, from the balancer's `Send` to its outcome; it watches its exchange."""

    owner: AttemptOwner
    request: Request
    number: int  # among the request's attempts, from 0
    started_at: float
    time_limit: float  # for an answer, from when the request is written completely
    revision_header: bytes = b""  # of the revision under which the server was selected; empty: none
    write_by: float = math.inf  # end of the idempotency key's window, less a margin
    state: AttemptState = AttemptState.STARTING
    exchange: Exchange | None = None
    timeout: asyncio.TimerHandle | None = None
    window: asyncio.TimerHandle | None = None  # for `write_by`
    answer_began_at: float | None = None  # when its answer began to be passed on

    def enter(self, state: AttemptState) -> None:
        """Change the state; raise `StateTransitionError` if the present one doesn't allow it."""
        if state not in ATTEMPT_TRANSITIONS[self.state]:
            raise StateTransitionError(self.state, state)
        self.state = state

    def may_write(self) -> bool:
        """Return whether the attempt is still wanted, now that its bytes can be written."""
        return self.owner.may_write(self)

    def request_written(self) -> None:
        """Take note that the request has been written completely."""
        if self.state is _UPLOADING:
            self.owner.uploaded(self)

    def answer_started(self, answer: Answer, flow: FlowControl) -> Callable[[bytes], None]:
        """Begin to pass a large answer on; return what takes the rest of it."""
        return self.owner.answer_begun(self, answer, flow)

    def exchange_ended(self, result: ExchangeResult) -> None:
        """Take the outcome that the pool gives."""
        if result.outcome == _ABANDONED and self.state is not _ENDED:
            self.owner.withdrawn(self)
        self.owner.ended(self, result)


@dataclass(slots=True, eq=False)
class Request:
    """One request, from its arrival until it has its final answer and every attempt its outcome."""

    id: int
    call: Call
    give_up_at: float  # infinite while its body is being read
    max_attempts: int  # by the settings at its arrival, and one more for each withdrawn attempt
    read_at: float  # when its last byte was read; before that, when it arrived
    state: RequestState = RequestState.AWAITING_ANSWER
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0  # without an outcome
    deadline_guard: asyncio.TimerHandle | None = None

    @property
    def answered(self) -> bool:
        """True if the final answer is complete or has begun, or none is owed any more."""
        return self.state is not _AWAITING_ANSWER

    def enter(self, state: RequestState) -> None:
        """Change the state; raise `StateTransitionError` if the present one doesn't allow it."""
        if state not in REQUEST_TRANSITIONS[self.state]:
            raise StateTransitionError(self.state, state)
        self.state = state


# Takes the place of a released request in the attempts that named it, which breaks the reference cycle.
RELEASED = Request(
    id=-1,
    call=cast(Call, None),
    give_up_at=-math.inf,
    max_attempts=0,
    read_at=-math.inf,
    state=RequestState.ENDED,
)
