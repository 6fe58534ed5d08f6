"""The interfaces of discovery: the listener for lists, the route to discovery, and the watch strategy."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from brassfall.balancer.model import ListForm
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.endpoint_list import ServerList


class ListListener(Protocol):
    """Listener that is notified of each endpoint list and of failed polls."""

    def endpoints_listed(self, form: ListForm, update: ServerList) -> None:
        """Apply a complete endpoint list, or changes of the current one."""

    def discovery_failed(self) -> None:
        """Record that a poll failed, was rejected, or was a watch that has ended."""


class WatchEnd(NamedTuple):
    """How a watch ended; the default values are those of a watch without a connection."""

    # True if a complete line arrived; everything that discovery had then has been received.
    has_received_line: bool = False
    silent: bool = False  # True if the watch was given up because no line arrived within the silence limit
    # Time at which the last complete line arrived, or at which the call was made, in seconds of the loop.
    last_line_at: float = 0.0
    retry_after: float = 0.0  # Retry-After of the answer in seconds; 0 if the answer has none

    def failures_in_a_row(self, before: int) -> int:
        """Return the number of watches that have failed in a row, including this one.

        `before` is the number before this watch. A silent watch is not a failure that needs a longer backoff:
        the silence itself has taken enough time.
        """
        return 0 if self.has_received_line or self.silent else before + 1


class Route(Protocol):
    """The address at which discovery is called, and the waits between calls. Times are in seconds."""

    @property
    def current(self) -> Address:
        """The address of the next call."""

    def change_address(self, address: Address, addresses: tuple[Address, ...]) -> bool:
        """Use other addresses from now on; return False if they are the same as before.

        `address` is used outside of a fleet, and `addresses` in a fleet.
        """

    def record_success(self) -> None:
        """Record that a list or changes of a list came from the current address."""

    def record_failure(self, retry_after: float) -> None:
        """Record that a call failed, or that the watch has fallen behind.

        `retry_after` is the Retry-After of the answer, or 0 if there is none.
        """

    def backoff(self, failures: int, retry_after: float) -> float:
        """Return the wait before the next watch, after `failures` failed watches in a row."""

    def repeat_deadline(self, end: WatchEnd, until: float, now: float) -> float | None:
        """Return the time until which a polled watch is repeated without involving the balancer.

        Return None if the watch is not repeated, so that the balancer polls next. `until` is the result of
        the previous call, or for the first call the deadline that the poll began with.
        """

    def notification_delay(self, retry_after: float) -> float:
        """Return the wait before the balancer is notified that a polled watch has ended."""


class WatchStrategy(Protocol):
    """Decides when a watch on the endpoint list is open."""

    def start(self) -> None:
        """Start, after the listener was notified of the list in the configuration."""

    def watch(self, *, on: bool) -> None:
        """Start or stop a watch, as the balancer decides."""

    def change_address(self) -> None:
        """Cancel the watch at the old address, and open one at the new address at once."""

    def reopen_watch(self) -> None:
        """Request the changes that a watch which has fallen behind has missed."""

    async def wait_for_first_call(self, limit: float) -> None:
        """Wait until the first call of a process has ended, for at most `limit` seconds.

        A strategy for which readiness does not depend on the first call returns at once.
        """

    def close(self) -> None:
        """Cancel the watch."""
