"""The interfaces of discovery: who is notified of lists, and what a list is received by."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from brassfall.balancer.model import ListForm
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.endpoint_list import ServerList


class ListListener(Protocol):
    """Is notified of each endpoint list, and of failed polls."""

    def endpoints_listed(self, form: ListForm, update: ServerList) -> None:
        """Take in an endpoint list, or the changes of one."""

    def discovery_failed(self) -> None:
        """Take note that a poll failed or was rejected, or that its watch has ended."""


class WatchEnd(NamedTuple):
    """How a watch ended. Without a connection nothing was heard."""

    heard: bool = False  # a complete line came: what discovery had then is notified
    silent: bool = False  # it was given up since nothing more came
    heard_at: float = 0.0  # when the last complete line came, or the call was made; seconds of the loop
    retry_after: float = 0.0  # seconds, where the answer named them

    def failures_in_a_row(self, before: int) -> int:
        """Return how many watches have failed in a row, this one included, after `before` others.

        A silent one does not count: by its silence alone enough time has passed.
        """
        return 0 if self.heard or self.silent else before + 1


class Route(Protocol):
    """Where discovery is called, and how long to wait between calls. Times are in seconds."""

    @property
    def current(self) -> Address:
        """The address of the next call."""

    def change_address(self, address: Address, addresses: tuple[Address, ...]) -> bool:
        """Call elsewhere from now on; return False if nothing differs."""

    def worked(self) -> None:
        """Take note that a list, or changes of one, came from the current address."""

    def failed(self, retry_after: float) -> None:
        """Take note that a call failed, or that the watch has fallen behind."""

    def backoff(self, failures: int, retry_after: float) -> float:
        """Return the wait before the next watch, after `failures` in a row."""

    def repeat_until(self, end: WatchEnd, until: float, now: float) -> float | None:
        """Return until when a polled watch is repeated without the balancer; None if it is not.

        `until` is what the call before returned, or the limit that the poll began with.
        """

    def hold_back(self, retry_after: float) -> float:
        """Return how long the balancer is not yet notified that a polled watch has ended."""


class WatchStrategy(Protocol):
    """When discovery is watched."""

    def start(self) -> None:
        """Begin, once the remembered list is passed on."""

    def watch(self, *, on: bool) -> None:
        """Watch from now on, or stop, as the balancer decides."""

    def change_address(self) -> None:
        """Give up the watch at the old address, and open one at the new address at once."""

    def reopen_watch(self) -> None:
        """Get what the watch, which has fallen behind, has missed."""

    async def wait_for_first_call(self, limit: float) -> None:
        """Wait for the first call of a process, where readiness depends on it, at most `limit` seconds."""

    def close(self) -> None:
        """Cancel the watch."""
