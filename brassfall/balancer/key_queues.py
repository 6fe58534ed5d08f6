"""Order per idempotency key: the requests of one key run one at a time, in the order of their arrival."""

from __future__ import annotations

from collections.abc import Callable

from brassfall.balancer.records import KeyQueue, Request


class KeyQueues:
    """The queue of each idempotency key that has requests, or that pauses."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        """Begin without queues."""
        self._queues: dict[int, KeyQueue] = {}

    def __len__(self) -> int:
        """Return the number of keys with a queue."""
        return len(self._queues)

    def length(self, key: int) -> int:
        """Return how many requests of a key are queued, the one that runs included."""
        queue = self._queues.get(key)
        return len(queue.requests) if queue else 0

    def join(self, now: float, request: Request, key: int, usual_ms: float) -> float | None:
        """Add a request to its key's queue; return the milliseconds within which it has to start.

        None, and the request is not added, if those before it leave it no time. `usual_ms` is the time that
        an answer usually takes.
        """
        queue = request.queue = self._queues.setdefault(key, KeyQueue())
        remaining_ms = request.useful_until() - usual_ms - now
        if queue.requests and remaining_ms < usual_ms * len(queue.requests):
            return None
        queue.requests.append(request)
        return max(remaining_ms, 0.0)

    def advance(self, now: float, key: int, start: Callable[[float, Request], None]) -> float | None:
        """Start the request whose turn it is; return the milliseconds until the key's pause ends.

        None if the key does not pause. `start` either sends the request or answers it; a request that it
        answers leaves the turn to the next one.
        """
        queue = self._queues.get(key)
        if queue is None or queue.advancing:
            return None
        queue.advancing = True  # the end of a request that `start` answers calls this again
        while (request := queue.next_ready(now)) is not None:
            start(now, request)
            if not request.ended:
                break
        queue.advancing = False
        if queue.requests and not queue.waits:
            return None
        if now < queue.paused_until:
            return queue.paused_until - now
        if not queue.requests:
            del self._queues[key]
        return None
