"""The route to discovery at a single address: the address, and the backoff after failures."""

from __future__ import annotations

import random

from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.channel import BACKOFF_S, BACKOFF_SPREAD, NOTIFIED_S
from brassfall.sidecar.discovery.interfaces import WatchEnd

MAX_BACKOFF_S = 0.3  # Longest backoff before its random deviation, in seconds
# Largest number of times that the backoff is doubled, which keeps the computed power within range. The
# longest backoff is reached after far fewer doublings.
MAX_DOUBLINGS = 8


class SingleAddress:
    """Route to discovery at one address, which is called again however often a call fails."""

    def __init__(self, address: Address, rng: random.Random) -> None:
        self._address = address
        self._rng = rng

    @property
    def current(self) -> Address:
        """The address of the next call."""
        return self._address

    def change_address(self, address: Address, addresses: tuple[Address, ...]) -> bool:  # noqa: ARG002 - of the interface
        """Use `address` from now on; return False if it is the same as before."""
        changed = address != self._address
        self._address = address
        return changed

    def record_success(self) -> None:
        """Do nothing: the caller of `backoff` counts the failures."""

    def record_failure(self, retry_after: float) -> None:
        """Do nothing: there is no other address to move to."""

    def backoff(self, failures: int, retry_after: float) -> float:  # noqa: ARG002 - of the interface
        """Return the wait before the next watch, after `failures` failed watches in a row.

        The wait has a random deviation, because all sidecars lose their watches at the same moment.
        Retry-After is ignored, because the time within which a change has to be in force does not stop.
        """
        wait = min(BACKOFF_S * 2.0 ** min(max(0, failures - 1), MAX_DOUBLINGS), MAX_BACKOFF_S)
        return wait * (1.0 - BACKOFF_SPREAD + 2.0 * BACKOFF_SPREAD * self._rng.random())

    def repeat_deadline(self, end: WatchEnd, until: float, now: float) -> float | None:
        """Return the time until which a polled watch is repeated; None once the balancer has to poll.

        The balancer would wait for too long in two cases: after a silent watch, which may have missed a
        change, and after a change of the address.
        """
        if end.silent:
            return max(until, end.last_line_at + NOTIFIED_S)
        return None if end.has_received_line or now >= until else until

    def notification_delay(self, retry_after: float) -> float:  # noqa: ARG002 - of the interface
        """Return 0, because the balancer is notified at once."""
        return 0.0
