"""The addresses of the list service and its aggregators: which one is called, and the waits between calls.

The module is used only if the configuration has the key `fleet`.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence

from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.interfaces import WatchEnd

FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.25, 1.0  # First and longest backoff before its random factor, in seconds
# Largest number of times that the backoff is doubled, which keeps the computed power within range. The
# longest backoff is reached after far fewer doublings.
MAX_DOUBLINGS = 16
MAX_RETRY_AFTER_S = 30.0  # Longest Retry-After that is kept, in seconds
RETRY_SPREAD = 0.25  # Largest random extension of a Retry-After, as a part of it
# Once each address has redirected this sidecar, only one of this number of redirecting answers changes the
# address.
REDIRECTS_PER_ADDRESS_CHANGE = 4


class ServiceAddresses:
    """The addresses of the list service or its aggregators, of which one is called at a time.

    A working address is kept. After a failure, or if an answer redirects this sidecar, the next address is
    called.
    """

    def __init__(self, addresses: Sequence[Address], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        # Index of the current address. It starts at random, so that a fleet spreads over all addresses.
        self._current_index = rng.randrange(len(addresses))
        self._failures = 0  # Number of failures in a row that were followed by a change of the address
        self._redirects_in_a_row = 0  # Number of redirecting answers in a row

    @property
    def current(self) -> Address:
        """The address of the next call."""
        return self._addresses[self._current_index]

    @property
    def others(self) -> Sequence[Address]:
        """The other addresses, in the order in which they would be called."""
        return [*self._addresses[self._current_index + 1 :], *self._addresses[: self._current_index]]

    def record_failure(self, retry_after: float = 0.0, longest_wait: float = math.inf) -> float:
        """Record that a call failed or a watch has ended; return the wait before the next call.

        Times are in seconds. The next call goes to the next address, unless the answer had a Retry-After,
        which is `retry_after`: each address asks its own callers to return at different times. If
        `retry_after` is longer than `longest_wait`, each of the other addresses is called before the
        Retry-After is kept. All waits are random, because all sidecars lose their watches at the same moment.
        """
        random_part = self._rng.random()
        if retry_after and (retry_after <= longest_wait or self._failures >= len(self._addresses) - 1):
            return min(retry_after, MAX_RETRY_AFTER_S) * (1.0 + RETRY_SPREAD * random_part)
        self._use_next_address()
        rounds = self._failures // len(self._addresses)
        self._failures += 1
        return min(FIRST_BACKOFF_S * 2.0 ** min(rounds, MAX_DOUBLINGS), MAX_BACKOFF_S) * (
            0.2 + 1.3 * random_part
        )

    def record_success(self) -> None:
        """Record that a list, a part of a list, or an answer has come from the current address."""
        self._failures = 0

    def record_redirect(self) -> None:
        """Record an answer that redirects this sidecar to another address, which may grant a lease.

        The address changes with each such answer until each address was called once. After that no address
        seems to grant a lease, and the address changes more rarely.
        """
        self._redirects_in_a_row += 1
        if (
            self._redirects_in_a_row <= len(self._addresses)
            or self._redirects_in_a_row % REDIRECTS_PER_ADDRESS_CHANGE == 0
        ):
            self._use_next_address()

    def record_no_redirect(self) -> None:
        """Record an answer that does not redirect this sidecar."""
        self._redirects_in_a_row = 0

    def _use_next_address(self) -> None:
        self._current_index = (self._current_index + 1) % len(self._addresses)


class FleetRoute:
    """Route to discovery in a fleet: one of several addresses, with failover."""

    def __init__(self, addresses: tuple[Address, ...], rng: random.Random) -> None:
        self._addresses = addresses
        self._rng = rng
        self._service_addresses = ServiceAddresses(addresses, rng)

    @property
    def current(self) -> Address:
        """The address of the next call."""
        return self._service_addresses.current

    def change_address(self, address: Address, addresses: tuple[Address, ...]) -> bool:  # noqa: ARG002 - of the interface
        """Use `addresses` from now on; return False if they are the same as before."""
        if addresses == self._addresses:
            return False
        self._addresses = addresses
        self._service_addresses = ServiceAddresses(addresses, self._rng)
        return True

    def record_success(self) -> None:
        """Record that a list or changes of a list came from the current address."""
        self._service_addresses.record_success()

    def record_failure(self, retry_after: float) -> None:
        """Move to the next address, unless the answer had a Retry-After."""
        self._service_addresses.record_failure(retry_after)

    def backoff(self, failures: int, retry_after: float) -> float:  # noqa: ARG002 - of the interface
        """Record a failed watch; return the wait before the next watch, which may be at another address."""
        return self._service_addresses.record_failure(retry_after)

    def repeat_deadline(self, end: WatchEnd, until: float, now: float) -> float | None:  # noqa: ARG002
        """Return None, because the balancer starts each watch."""
        return None

    def notification_delay(self, retry_after: float) -> float:
        """Record the end of a watch; return the Retry-After of the answer with a random extension, or 0.

        The balancer's own backoff begins when it is notified, so it has to be notified after that time.
        """
        wait = self._service_addresses.record_failure(retry_after)
        return wait if retry_after else 0.0
