"""The route to discovery at one address: its backoff after failures."""

from __future__ import annotations

import random

from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.channel import BACKOFF_S, NOTIFIED_S, SPREAD
from brassfall.sidecar.discovery.interfaces import WatchEnd

MAX_BACKOFF_S = 0.3
MAX_DOUBLINGS = 8  # of the backoff; the maximum is reached far earlier


class SingleAddress:
    """One address, which is called again however often a call fails."""

    def __init__(self, address: Address, rng: random.Random) -> None:
        self._address = address
        self._rng = rng

    @property
    def current(self) -> Address:
        """The address of the next call."""
        return self._address

    def change_address(self, address: Address, addresses: tuple[Address, ...]) -> bool:  # noqa: ARG002 - of the interface
        """Call at `address` from now on; return False if it is the same."""
        moved = address != self._address
        self._address = address
        return moved

    def worked(self) -> None:
        """Take note of nothing: the backoff counts the failures of one watch only."""

    def failed(self, retry_after: float) -> None:
        """Take note of nothing: there is no other address."""

    def backoff(self, failures: int, retry_after: float) -> float:  # noqa: ARG002 - of the interface
        """Return the wait before the next watch; spread, since all sidecars lose theirs in one moment.

        `Retry-After` does not count: the time after which a change counts as notified goes on.
        """
        wait = min(BACKOFF_S * 2.0 ** min(max(0, failures - 1), MAX_DOUBLINGS), MAX_BACKOFF_S)
        return wait * (1.0 - SPREAD + 2.0 * SPREAD * self._rng.random())

    def repeat_until(self, end: WatchEnd, until: float, now: float) -> float | None:
        """Return until when a polled watch is repeated; None once the balancer has to poll.

        The balancer waits for longer than what a silent watch missed may take, or what a move notifies.
        """
        if end.silent:
            return max(until, end.heard_at + NOTIFIED_S)
        return None if end.heard or now >= until else until

    def hold_back(self, retry_after: float) -> float:  # noqa: ARG002 - of the interface
        """Return 0: the balancer is notified at once."""
        return 0.0
