"""The requests that this process has accepted: their numbers, states and counts."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from brassfall.sidecar.core.attempts import RELEASED, Request, RequestState
from brassfall.sidecar.core.interfaces import Call

REQUEST_NUMBERS = 2**32  # numbers wrap around here


class RequestTable:
    """All requests that are not answered, or of which an attempt is in flight.

    `on_release` is called with the number of each request that is released.
    """

    def __init__(self, first_number: int, on_release: Callable[[int], None]) -> None:
        self.awaiting = 0  # requests without a final answer
        self.streaming = 0  # requests whose answer is being passed on
        self._requests: dict[int, Request] = {}
        self._next_number = first_number % REQUEST_NUMBERS
        self._on_release = on_release

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[Request]:
        return iter(self._requests.values())

    @property
    def incomplete(self) -> int:
        """The number of requests without a complete answer."""
        return self.awaiting + self.streaming

    def get(self, number: int) -> Request | None:
        """Return a request by its number; None if it was released."""
        return self._requests.get(number)

    def add(self, call: Call, now: float, give_up_at: float, max_attempts: int) -> Request:
        """Add a request that arrived at `now`; it has no deadline before its last byte is read."""
        request = Request(
            id=self._new_number(),
            call=call,
            give_up_at=math.inf if call.reading else give_up_at,
            max_attempts=max_attempts,
            read_at=now,
        )
        self._requests[request.id] = request
        self.awaiting += 1
        return request

    def start_answer(self, request: Request) -> None:
        """Take note that the final answer has begun and is passed on."""
        request.enter(RequestState.STREAMING_ANSWER)
        self.awaiting -= 1
        self.streaming += 1

    def end(self, request: Request) -> None:
        """Take note that no more answer is owed."""
        streaming = request.state is RequestState.STREAMING_ANSWER
        request.enter(RequestState.ENDED)
        if streaming:
            self.streaming -= 1
        else:
            self.awaiting -= 1

    def release_if_over(self, request: Request) -> None:
        """Release a request that has ended and has no attempt in flight; without effect otherwise."""
        if request.state is not RequestState.ENDED or request.attempts_in_flight:
            return
        if self._requests.pop(request.id, None) is not None:
            self._on_release(request.id)
            for attempt in request.attempts:
                attempt.request = RELEASED

    def _new_number(self) -> int:
        while self._next_number in self._requests:
            self._next_number = (self._next_number + 1) % REQUEST_NUMBERS
        number = self._next_number
        self._next_number = (number + 1) % REQUEST_NUMBERS
        return number
