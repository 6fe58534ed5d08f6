"""The current endpoint list of a sidecar outside of a fleet: its version, and which updates are accepted.

`FleetList` is the counterpart for a sidecar whose configuration has the key `fleet`. It also stores the
entries of the list.
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
    """Parsed content of one JSON object of a watch."""

    # The list or the changes; None if the object only states that the current version is the newest.
    update: ServerList | None
    # Age of the list in seconds, if the object states one and so counts as a heartbeat; None otherwise.
    stated_age: float | None = None


class CurrentList:
    """The version of the current list, and the version from which a watch requests changes.

    `configured_list` is the list in the configuration file, and `names` are the names in the settings.
    """

    def __init__(self, configured_list: ServerList, names: WireNames) -> None:
        self._names = names
        self.version = configured_list.version
        # Version from which a watch requests changes; 0 requests the complete list.
        self.watch_from_version = configured_list.version

    @property
    def request_headers(self) -> str:
        """The additional header lines of each call, which each end with CRLF."""
        return ""

    @property
    def age(self) -> AgeBound | None:
        """The upper bound on the age of the list; None if none is kept."""
        return None

    @property
    def endpoints(self) -> EndpointList | None:
        """The entries of the list; None if they are not stored."""
        return None

    @property
    def size(self) -> int:
        """The number of stored entries."""
        return 0

    def age_at(self, now: float) -> float | None:  # noqa: ARG002 - of the interface
        """Return the upper bound on the age of the list at `now`, in seconds; None if none is known."""
        return None

    def start(self, loop: asyncio.AbstractEventLoop, state: Callable[[], str]) -> None:
        """Start to log when the list becomes too old, if its age is known.

        `state` returns a text about the current list for the log lines.
        """

    def close(self) -> None:
        """Stop logging the age of the list."""

    def read_event(self, raw: object) -> WatchEvent:
        """Return the content of one JSON object of a watch.

        Raise one of `MALFORMED_ERRORS` if the object is no list.
        """
        return WatchEvent(parse_list(raw, self._names))

    def read_complete(self, raw: object) -> ServerList:
        """Return a complete list that was requested.

        Raise one of `MALFORMED_ERRORS` if `raw` is no list or is older than the current list.
        """
        update = parse_list(raw, self._names)
        if update.version < self.watch_from_version:
            message = "the received list is older than the current list"
            raise ValueError(message)
        return update

    def accepts_changes(self, update: ServerList) -> bool:
        """Return whether changes are newer than the current list, or of the same version.

        Older changes are already part of the current list, which may have come from another address. Changes
        of the current version without entries answer a new watch.
        """
        return update.version >= self.watch_from_version

    def request_complete_list(self) -> None:
        """Let the next watch request the complete list instead of changes."""
        self.watch_from_version = 0

    def apply(self, update: ServerList) -> None:
        """Apply a complete list or changes to the current list."""
        self.version = self.watch_from_version = update.version
