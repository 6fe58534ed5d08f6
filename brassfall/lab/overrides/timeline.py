"""Simulated time: an event queue and the random numbers of one run."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from itertools import count

MESSAGE_MS = (1.0, 60.0)
SLOW_SHARE, SLOW_MS = 0.06, (60.0, 6000.0)  # of messages, and how long these take


class Timeline:
    """An event queue over simulated ms, with the run's source of random numbers."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now = random.Random(seed), 0.0
        self._order = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, wait_ms: float, event: Callable[[], None]) -> None:
        """Schedule an event after `wait_ms`; events of the same time run in the order of scheduling."""
        heapq.heappush(self._events, (self.now + max(0.0, wait_ms), next(self._order), event))

    def run_until(self, end_ms: float) -> None:
        """Run all events up to and including `end_ms`, and set the time to it."""
        while self._events and self._events[0][0] <= end_ms:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end_ms

    def random_ms(self, span: tuple[float, float]) -> float:
        """Return a random duration within a span."""
        return self.rng.uniform(*span)

    def message_ms(self) -> float:
        """Return how long the next message takes; messages can overtake each other."""
        return self.random_ms(SLOW_MS if self.rng.random() < SLOW_SHARE else MESSAGE_MS)
