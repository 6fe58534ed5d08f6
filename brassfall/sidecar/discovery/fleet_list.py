"""The current endpoint list of a sidecar in a fleet: its entries, its age, and what is rejected.

Used where the configuration has the key `fleet`, and only there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from brassfall.sidecar import log
from brassfall.sidecar.config_values import WireNames
from brassfall.sidecar.discovery.channel import AgeBound, ImplausibleListError, age_in_seconds
from brassfall.sidecar.discovery.current_list import CurrentList, WatchEvent
from brassfall.sidecar.discovery.endpoint_index import EndpointList
from brassfall.sidecar.discovery.endpoint_list import ServerList, parse_list
from brassfall.sidecar.discovery.list_age import FRESH_AGAIN, ListAge

DOUBT_S = 30.0  # how long an implausible list is rejected
AGE_CHECK_S = 1.0  # between checks of the age
CHECK_SERVICE = "check that the list service runs and is reachable; the current list is used meanwhile"
VERSION_HEADER = "X-Held-Index"  # states the current version to the list service; a name of the wire


class ListDoubt:
    """Rejects implausible complete lists, for as long as they may be a fault of the list service."""

    def __init__(self) -> None:
        self._since: float | None = None  # when the first implausible list of a row came

    def check(self, update: ServerList, version: int, size: int, now: float) -> None:
        """Raise `ImplausibleListError` if a list is rejected while the current one has that version and size.

        A list is believed once such lists have come for too long to be a fault; `now` is in seconds.
        """
        if update.complete and size and not update.entries:
            why = f"a list without servers, while {size} are known"
        elif update.complete and update.version < version:
            why = f"version {update.version} is older than {version}"
        else:
            self._since = None
            return
        first = self._since is None
        since = self._since = now if self._since is None else self._since
        if now - since < DOUBT_S:
            raise ImplausibleListError(why, first=first)


class FleetList(CurrentList):
    """The entries of the current list, and an upper bound on its age."""

    def __init__(self, known: ServerList, names: WireNames, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(known, names)
        if not known.entries:
            # Without a cached list there is nothing to go stale, so any version is accepted.
            self.version = self.requested_from = 0
        self._now = loop.time
        self._endpoints = EndpointList(known)
        self._age = ListAge()
        self._doubt = ListDoubt()
        self._age_check: asyncio.TimerHandle | None = None

    @property
    def request_headers(self) -> str:
        """The line that states the current version."""
        return f"{VERSION_HEADER}: {self.requested_from}\r\n"

    @property
    def age(self) -> AgeBound:
        """What keeps a bound on the age of the list."""
        return self._age

    @property
    def endpoints(self) -> EndpointList:
        """The entries of the list."""
        return self._endpoints

    @property
    def size(self) -> int:
        """How many entries the list has."""
        return len(self._endpoints)

    def age_at(self, now: float) -> float | None:
        """Return an upper bound on the age of the list in seconds; None if nothing came since the start."""
        return self._age.bound(now)

    def start(self, loop: asyncio.AbstractEventLoop, state: Callable[[], str]) -> None:
        """Log from now on when the list grows too old, and when it is fresh again."""
        passed_s = self._age.change_to_log(loop.time())
        if passed_s == FRESH_AGAIN:
            log.info("discovery: endpoint list is fresh again", current=state())
        elif passed_s is not None:
            log.warning(
                "discovery: endpoint list is old", over_s=passed_s, current=state(), action=CHECK_SERVICE
            )
        self._age_check = loop.call_later(AGE_CHECK_S, self.start, loop, state)

    def close(self) -> None:
        """Stop logging that."""
        if self._age_check is not None:
            self._age_check.cancel()

    def read_event(self, raw: object) -> WatchEvent:
        """Return what an object of a watch contains; raise `ImplausibleListError` if it is rejected.

        An object without entries that states an age, of the current version, stands in the place of a
        heartbeat.
        """
        stated = None
        if isinstance(raw, Mapping) and "age_ms" in raw and not raw["endpoints"] and not raw["snapshot"]:
            stated = age_in_seconds(raw["age_ms"])
            if raw["index"] <= self.version:
                return WatchEvent(None, stated)
        return WatchEvent(self.read_complete(raw), stated)

    def read_complete(self, raw: object) -> ServerList:
        """Return a list; raise `ImplausibleListError` if it is rejected.

        Invalid entries are logged, and the last valid ones stay.
        """
        invalid: dict[str, str] = {}
        update = parse_list(raw, self._names, invalid)
        self._doubt.check(update, self.version, self.size, self._now())
        if not invalid:
            return update
        log.warning(
            "discovery: invalid entries, the last valid ones stay",
            entries=invalid,
            action="register those servers anew, in valid form",
        )
        return self._endpoints.repaired(update, invalid)

    def accepts_changes(self, update: ServerList) -> bool:
        """Return whether changes are newer than the current list, or of the same version."""
        return update.version >= self.version

    def take(self, update: ServerList) -> None:
        """Apply an update to the current list."""
        super().take(update)
        self._endpoints.apply(update)
