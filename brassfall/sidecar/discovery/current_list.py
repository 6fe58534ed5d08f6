"""The current endpoint list of a sidecar outside of a fleet: its version, and which updates are accepted.

`FleetList` is the same for a sidecar with the key `fleet`, which keeps the entries as well.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from brassfall.sidecar.config_values import WireNames
from brassfall.sidecar.discovery.channel import AgeBound
from brassfall.sidecar.discovery.endpoint_list import ServerList, parse_list

if TYPE_CHECKING:
    from brassfall.sidecar.discovery.endpoint_index import EndpointList


class WatchEvent(NamedTuple):
    """One object of a watch, read."""

    update: ServerList | None  # None: the version is current, and nothing changed
    stated_age: float | None = None  # seconds, of an object that stands in the place of a heartbeat


class CurrentList:
    """The version of the current list, and from which one changes are requested."""

    def __init__(self, known: ServerList, names: WireNames) -> None:
        self._names = names
        self.version = known.version
        self.requested_from = known.version

    @property
    def request_headers(self) -> str:
        """The header lines of each call, each with its CRLF."""
        return ""

    @property
    def age(self) -> AgeBound | None:
        """What keeps a bound on the age of the list; None if nothing does."""
        return None

    @property
    def endpoints(self) -> EndpointList | None:
        """The entries of the list; None if they are not kept."""
        return None

    @property
    def size(self) -> int:
        """How many entries are kept."""
        return 0

    def age_at(self, now: float) -> float | None:  # noqa: ARG002 - of the interface
        """Return an upper bound on the age of the list in seconds; None if there is none."""
        return None

    def start(self, loop: asyncio.AbstractEventLoop, state: Callable[[], str]) -> None:
        """Begin to log how old the list is, where that is known; `state` is a part of each line."""

    def close(self) -> None:
        """Stop logging that."""

    def read_event(self, raw: object) -> WatchEvent:
        """Return what an object of a watch contains.

        Raise one of `MALFORMED_ERRORS` if it is no list.
        """
        return WatchEvent(parse_list(raw, self._names))

    def read_complete(self, raw: object) -> ServerList:
        """Return a complete list that was requested; raise one of `MALFORMED_ERRORS` if invalid or old."""
        update = parse_list(raw, self._names)
        if update.version < self.requested_from:
            message = "the list is older than the current one"
            raise ValueError(message)
        return update

    def accepts_changes(self, update: ServerList) -> bool:
        """Return whether changes are new; older ones came before in a list, or from another address.

        The current version may come again, with no entries: it answers a new watch.
        """
        return update.version >= self.requested_from

    def request_complete(self) -> None:
        """Have the next watch begin with the complete list."""
        self.requested_from = 0

    def take(self, update: ServerList) -> None:
        """Make an update the current list, or a part of it."""
        self.version = self.requested_from = update.version
