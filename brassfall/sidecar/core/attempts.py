"""Records of requests and of their attempts, with their states and state transitions.

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
    """Base class of states; hashes by identity, since `Enum.__hash__` costs a Python call per transition."""

    __hash__ = object.__hash__


class RequestState(_State):
    """The state of a request's final answer."""

    AWAITING_ANSWER = auto()
    STREAMING_ANSWER = auto()  # A server's answer is streamed to the client while it arrives
    ENDED = auto()  # The request is answered completely, or its client has disconnected


class AttemptState(_State):
    """The state of an attempt."""

    STARTING = auto()  # The attempt has not been passed to the connection pool yet
    # The attempt's large request is not written completely yet, so that the attempt's time limit does not
    # run.
    UPLOADING = auto()
    AWAITING_ANSWER = auto()
    STREAMING_ANSWER = auto()
    # This process stopped the attempt; the outcome follows in a later turn of the event loop.
    STOPPED = auto()
    ENDED = auto()  # The outcome of the attempt is known


class StateTransitionError(Exception):
    """A state change that is not allowed for a request or an attempt, which is a defect of the driver."""

    action = "report it as a defect, with the traceback"

    def __init__(self, before: Enum, after: Enum) -> None:
        super().__init__(f"{before.name} can't become {after.name}")


REQUEST_TRANSITIONS = {
    RequestState.AWAITING_ANSWER: (RequestState.STREAMING_ANSWER, RequestState.ENDED),
    RequestState.STREAMING_ANSWER: (RequestState.ENDED,),
    RequestState.ENDED: (),
}

# Enum members as module names: looking a member up on the enum class costs more than a comparison.
_AWAITING_ANSWER = RequestState.AWAITING_ANSWER
_UPLOADING, _ENDED = AttemptState.UPLOADING, AttemptState.ENDED
_ABANDONED = Outcome.ABANDONED

# States of an attempt that has an exchange but no answer yet.
UNANSWERED = (AttemptState.UPLOADING, AttemptState.AWAITING_ANSWER)
# States of an attempt that has an exchange.
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
    """The component that handles the events of attempts (`ExchangeObserver` describes the events)."""

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt's request should still be sent, just before it is written."""

    def uploaded(self, attempt: Attempt) -> None:
        """Handle that an attempt's large request has been written completely."""

    def answer_begun(self, attempt: Attempt, answer: Answer, flow: FlowControl) -> Callable[[bytes], None]:
        """Start to stream a large answer; return the function that takes the remaining parts of its body."""

    def withdrawn(self, attempt: Attempt) -> None:
        """Handle that the connection pool abandoned an attempt before its request was sent."""

    def ended(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Handle the result of an attempt; ignore a second result of the same attempt."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, from the balancer's `Send` action to its outcome.

    The attempt is the observer of its own exchange.
    """

    owner: AttemptOwner
    request: Request
    number: int  # Index of the attempt among the attempts of its request
    started_at: float
    time_limit: float  # Milliseconds for an answer, counted from when the request is written completely
    # Header line of the configuration revision under which the server was selected; empty without one.
    revision_header: bytes = b""
    server: str = ""  # Name of the server that the balancer selected
    write_by: float = math.inf  # Latest time to write the request: end of the key's window minus a margin
    state: AttemptState = AttemptState.STARTING
    exchange: Exchange | None = None
    timeout: asyncio.TimerHandle | None = None
    key_window_timer: asyncio.TimerHandle | None = None  # Timer that drops an unwritten attempt at `write_by`
    answer_began_at: float | None = None  # Time at which the streaming of the answer to the client began

    def enter(self, state: AttemptState) -> None:
        """Change to `state`; raise `StateTransitionError` if the current state does not allow it."""
        if state not in ATTEMPT_TRANSITIONS[self.state]:
            raise StateTransitionError(self.state, state)
        self.state = state

    def may_write(self) -> bool:
        """Return whether the request should still be sent, just before it is written."""
        return self.owner.may_write(self)

    def request_written(self) -> None:
        """Handle that the request has been written completely."""
        if self.state is _UPLOADING:
            self.owner.uploaded(self)

    def answer_started(self, answer: Answer, flow: FlowControl) -> Callable[[bytes], None]:
        """Start to stream a large answer; return the function that takes the remaining parts of its body."""
        return self.owner.answer_begun(self, answer, flow)

    def exchange_ended(self, result: ExchangeResult) -> None:
        """Handle the result that the connection pool reports for this attempt."""
        if result.outcome == _ABANDONED and self.state is not _ENDED:
            self.owner.withdrawn(self)
        self.owner.ended(self, result)


@dataclass(slots=True, eq=False)
class Request:
    """One request, from its arrival until it has its final answer and all its attempts have outcomes."""

    id: int
    call: Call
    give_up_at: float  # Deadline; infinite while the body is read and the client may still be writing it
    max_attempts: int  # Limit from the settings at the request's arrival, plus one for each withdrawn attempt
    read_at: float  # Time at which the request's last byte was read; until then, time of its arrival
    state: RequestState = RequestState.AWAITING_ANSWER
    attempts: list[Attempt] = field(default_factory=list)
    attempts_in_flight: int = 0  # Number of attempts without an outcome
    # Timer that ends the reading of a body that takes too long, or that fails an overdue request.
    deadline_guard: asyncio.TimerHandle | None = None

    @property
    def answered(self) -> bool:
        """True if the final answer has begun or is complete, or if the request needs no answer any more."""
        return self.state is not _AWAITING_ANSWER

    def enter(self, state: RequestState) -> None:
        """Change to `state`; raise `StateTransitionError` if the current state does not allow it."""
        if state not in REQUEST_TRANSITIONS[self.state]:
            raise StateTransitionError(self.state, state)
        self.state = state


# Placeholder that replaces a released request in its attempts, which breaks the reference cycle.
RELEASED = Request(
    id=-1,
    call=cast(Call, None),
    give_up_at=-math.inf,
    max_attempts=0,
    read_at=-math.inf,
    state=RequestState.ENDED,
)
