"""Which of several addresses is asked next, and when. Pure code; times in s."""

from __future__ import annotations

import random
from collections.abc import Sequence

FIRST_WAIT_S, WAIT_MOST_S = 0.1, 1.0
SPREAD_LEAST, SPREAD = 0.5, 1.0  # a wait is from 0.5 to 1.5 times as long as it is on average
RETRY_MOST_S = 30.0


class Addresses:
    """One that works is kept; after a failure the next is asked."""

    def __init__(self, addresses: Sequence[str], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._at = rng.randrange(len(addresses))
        self._failures = 0

    @property
    def current(self) -> str:
        """Where to ask."""
        return self._addresses[self._at]

    def worked(self) -> None:
        """A good answer has come from there."""
        self._failures = 0

    def failed(self, retry_after_s: float = 0.0) -> float:
        """No good answer came; how long to wait before the next call. After a `Retry-After` the address stays
        the same, and the wait is no shorter than that."""
        chance = self._rng.random()
        if retry_after_s:
            return min(retry_after_s, RETRY_MOST_S) * (1.0 + 0.25 * chance)
        self._at = (self._at + 1) % len(self._addresses)
        rounds = self._failures // len(self._addresses)
        self._failures += 1
        return min(FIRST_WAIT_S * 2.0 ** min(rounds, 16), WAIT_MOST_S) * (SPREAD_LEAST + SPREAD * chance)
