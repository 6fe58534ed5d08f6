"""Queues of idempotency keys: the requests with one key run one at a time, in order of arrival."""

from __future__ import annotations

from collections.abc import Callable

from brassfall.balancer.records import KeyQueue, Request


class KeyQueues:
    """The queues of all idempotency keys that have requests or are paused."""

    __slots__ = ("_queues",)

    def __init__(self) -> None:
        """Create the collection without any queue."""
        self._queues: dict[int, KeyQueue] = {}

    def __len__(self) -> int:
        """Return the number of keys with a queue."""
        return len(self._queues)

    def length(self, key: int) -> int:
        """Return the number of requests in the queue of a key, including the one that is running."""
        queue = self._queues.get(key)
        return len(queue.requests) if queue else 0

    def enqueue(self, now: float, request: Request, key: int, usual_ms: float) -> float | None:
        """Add a request to the queue of its key; return the milliseconds within which it has to start.

        Return None without adding the request if the requests before it in the queue leave it no time.
        `usual_ms` is the average time that an answer takes, in milliseconds.
        """
        queue = request.queue = self._queues.setdefault(key, KeyQueue())
        remaining_ms = request.useful_until() - usual_ms - now
        if queue.requests and remaining_ms < usual_ms * len(queue.requests):
            return None
        queue.requests.append(request)
        return max(remaining_ms, 0.0)

    def start_next(self, now: float, key: int, start: Callable[[float, Request], None]) -> float | None:
        """Start the next request of a key if possible; return the milliseconds until the key's pause ends.

        Return None if the key is not paused. `start` either sends the request or answers it without a server.
        If it answers the request, the request after it is started as well.
        """
        queue = self._queues.get(key)
        if queue is None or queue.advancing:
            return None
        # If `start` answers the request, the end of that request calls this method again.
        queue.advancing = True
        while (request := queue.next_ready(now)) is not None:
            start(now, request)
            if not request.ended:
                break
        queue.advancing = False
        if queue.requests and not queue.first_not_started:
            return None
        if now < queue.paused_until:
            return queue.paused_until - now
        if not queue.requests:
            del self._queues[key]
        return None
