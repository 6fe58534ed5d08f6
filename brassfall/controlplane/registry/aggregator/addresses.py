"""Choice among several addresses of one service, with a backoff between failed calls. No I/O, no clock."""

from __future__ import annotations

import random
from collections.abc import Sequence

FIRST_WAIT_S, MAX_WAIT_S = 0.1, 1.0  # mean backoff after a first failure, and its maximum
MIN_JITTER, JITTER_SPAN = 0.5, 1.0  # a backoff is a random time from 0.5 to 1.5 times its mean
MAX_RETRY_S = 30.0  # maximum wait for a `Retry-After`; a longer one is cut to it


class Addresses:
    """Several addresses of one service: each failure moves on to the next address."""

    def __init__(self, addresses: Sequence[str], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._index = rng.randrange(len(addresses))
        self._failures = 0

    @property
    def current(self) -> str:
        """The address to use for the next call."""
        return self._addresses[self._index]

    def record_success(self) -> None:
        """Record a good answer from the current address, which resets the backoff."""
        self._failures = 0

    def record_failure(self, retry_after_s: float = 0.0) -> float:
        """Record a failed call; return the wait before the next call, in s.

        After an answer with `Retry-After` the address stays the same, and the wait is no shorter than that.
        """
        chance = self._rng.random()
        if retry_after_s:
            return min(retry_after_s, MAX_RETRY_S) * (1.0 + 0.25 * chance)
        self._index = (self._index + 1) % len(self._addresses)
        rounds = self._failures // len(self._addresses)
        self._failures += 1
        return min(FIRST_WAIT_S * 2.0 ** min(rounds, 16), MAX_WAIT_S) * (MIN_JITTER + JITTER_SPAN * chance)
