"""The addresses of the list service and its aggregators: which one is asked, and how long to wait.

Used where the configuration has the key `fleet`, and only there.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.interfaces import WatchEnd

FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.25, 1.0
MAX_DOUBLINGS = 16  # of the backoff; the maximum is reached far earlier
MAX_RETRY_AFTER_S = 30.0
RETRY_SPREAD = 0.25  # a `Retry-After` is kept for up to so much longer, as a part of it
FORWARDED_EVERY = 4  # answers that name another address, once each address has given one


class Sources:
    """The addresses of the list service or its aggregators.

    One that works is kept; after a failure, or where an answer says so, the next is asked.
    """

    def __init__(self, addresses: Sequence[Address], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._at = rng.randrange(len(addresses))  # a fleet spreads over all of them
        self._failures = 0
        self._forwarded = 0  # answers in a row that named another address

    @property
    def current(self) -> Address:
        """The address to ask."""
        return self._addresses[self._at]

    @property
    def others(self) -> Sequence[Address]:
        """The other addresses, in the order in which they would be asked."""
        return [*self._addresses[self._at + 1 :], *self._addresses[: self._at]]

    def failed(self, retry_after: float = 0.0, bearable: float = math.inf) -> float:
        """Take note that a call was rejected or its watch has ended; return the wait before the next.

        Times are in seconds. With `retry_after` the address stays: each address has callers of its own that
        come back. If that is longer than `bearable`, each of the others is asked first. All waits are spread,
        since all sidecars lose their watches in one moment.
        """
        chance = self._rng.random()
        if retry_after and (retry_after <= bearable or self._failures >= len(self._addresses) - 1):
            return min(retry_after, MAX_RETRY_AFTER_S) * (1.0 + RETRY_SPREAD * chance)
        self._move()
        rounds = self._failures // len(self._addresses)
        self._failures += 1
        return min(FIRST_BACKOFF_S * 2.0 ** min(rounds, MAX_DOUBLINGS), MAX_BACKOFF_S) * (0.2 + 1.3 * chance)

    def worked(self) -> None:
        """Take note that a list, a part of one, or an answer has come from the current address."""
        self._failures = 0

    def sent_on(self) -> None:
        """Take note of an answer that names another address, which may have a lease to grant.

        Each is asked once; then, since none seems to have a lease, the address changes more rarely.
        """
        self._forwarded += 1
        if self._forwarded <= len(self._addresses) or self._forwarded % FORWARDED_EVERY == 0:
            self._move()

    def settled(self) -> None:
        """Take note of an answer that names no other address."""
        self._forwarded = 0

    def _move(self) -> None:
        self._at = (self._at + 1) % len(self._addresses)


class FleetRoute:
    """The route to discovery in a fleet: one of several addresses, with failover."""

    def __init__(self, addresses: tuple[Address, ...], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._sources = Sources(addresses, rng)

    @property
    def current(self) -> Address:
        """The address of the next call."""
        return self._sources.current

    def change_address(self, address: Address, addresses: tuple[Address, ...]) -> bool:  # noqa: ARG002 - of the interface
        """Call at one of `addresses` from now on; return False if they are the same."""
        if addresses == self._addresses:
            return False
        self._addresses = addresses
        self._sources = Sources(addresses, self._rng)
        return True

    def worked(self) -> None:
        """Take note that a list, or changes of one, came from the current address."""
        self._sources.worked()

    def failed(self, retry_after: float) -> None:
        """Call the next address, unless this one named when to come back."""
        self._sources.failed(retry_after)

    def backoff(self, failures: int, retry_after: float) -> float:  # noqa: ARG002 - of the interface
        """Return the wait before the next watch, which may be at the next address."""
        return self._sources.failed(retry_after)

    def repeat_until(self, end: WatchEnd, until: float, now: float) -> float | None:  # noqa: ARG002
        """Return None: the balancer polls each time."""
        return None

    def hold_back(self, retry_after: float) -> float:
        """Return the wait that the answer named: the balancer counts its own wait from the notification."""
        wait = self._sources.failed(retry_after)
        return wait if retry_after else 0.0
