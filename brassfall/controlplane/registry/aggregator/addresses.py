"""The next of several addresses to call, and when. Pure code; times are in s."""

from __future__ import annotations

import random
from collections.abc import Sequence

FIRST_WAIT_S, MAX_WAIT_S = 0.1, 1.0
MIN_SPREAD, SPREAD = 0.5, 1.0  # a wait is from 0.5 to 1.5 times its mean
MAX_RETRY_S = 30.0


class Addresses:
    """Several addresses: one that works is used on; after a failure the next one is."""

    def __init__(self, addresses: Sequence[str], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._at = rng.randrange(len(addresses))
        self._failures = 0

    @property
    def current(self) -> str:
        """The address to call."""
        return self._addresses[self._at]

    def worked(self) -> None:
        """Note a good answer from the current address."""
        self._failures = 0

    def failed(self, retry_after_s: float = 0.0) -> float:
        """Note a failed call; return the wait before the next one.

        After a `Retry-After` the address stays the same, and the wait is no shorter than that.
        """
        chance = self._rng.random()
        if retry_after_s:
            return min(retry_after_s, MAX_RETRY_S) * (1.0 + 0.25 * chance)
        self._at = (self._at + 1) % len(self._addresses)
        rounds = self._failures // len(self._addresses)
        self._failures += 1
        return min(FIRST_WAIT_S * 2.0 ** min(rounds, 16), MAX_WAIT_S) * (MIN_SPREAD + SPREAD * chance)
