"""The table of the requests in this process: their numbers, states and counts."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from brassfall.sidecar.core.attempts import RELEASED, Request, RequestState
from brassfall.sidecar.core.interfaces import Call

REQUEST_NUMBERS = 2**32  # Number of different request numbers, after which they wrap around to 0

# Enum members as module names: looking a member up on the enum class costs more than a comparison.
_, STREAMING_ANSWER, ENDED = RequestState


class RequestTable:
    """All requests that lack a complete answer or still have an attempt in flight.

    `by_number` maps request numbers to requests. `on_release` is called with the number of each request that
    is released.
    """

    def __init__(self, first_number: int, on_release: Callable[[int], None]) -> None:
        self.awaiting = 0  # Number of requests whose final answer has not begun
        self.streaming = 0  # Number of requests whose answer is being streamed to the client
        self.by_number: dict[int, Request] = {}
        self._next_number = first_number % REQUEST_NUMBERS
        self._on_release = on_release

    def __len__(self) -> int:
        return len(self.by_number)

    def __iter__(self) -> Iterator[Request]:
        return iter(self.by_number.values())

    @property
    def incomplete(self) -> int:
        """The number of requests without a complete answer."""
        return self.awaiting + self.streaming

    def add(self, call: Call, now: float, give_up_at: float, max_attempts: int) -> Request:
        """Add a request that arrived at `now`, and return its record.

        `give_up_at` is the deadline of the request; it is not applied yet while the body is being read.
        """
        number = self._new_number()
        request = Request(number, call, math.inf if call.reading else give_up_at, max_attempts, now)
        self.by_number[number] = request
        self.awaiting += 1
        return request

    def start_answer(self, request: Request) -> None:
        """Record that the request's final answer has begun and is being streamed to the client."""
        request.enter(STREAMING_ANSWER)
        self.awaiting -= 1
        self.streaming += 1

    def end(self, request: Request) -> None:
        """Record that the request needs no further answer."""
        streaming = request.state is STREAMING_ANSWER
        request.enter(ENDED)
        if streaming:
            self.streaming -= 1
        else:
            self.awaiting -= 1

    def release_if_over(self, request: Request) -> None:
        """Release a request that has ended and has no attempt in flight; do nothing otherwise."""
        if request.state is not ENDED or request.attempts_in_flight:
            return
        if self.by_number.pop(request.id, None) is not None:
            self._on_release(request.id)
            for attempt in request.attempts:
                attempt.request = RELEASED

    def _new_number(self) -> int:
        while self._next_number in self.by_number:
            self._next_number = (self._next_number + 1) % REQUEST_NUMBERS
        number = self._next_number
        self._next_number = (number + 1) % REQUEST_NUMBERS
        return number
