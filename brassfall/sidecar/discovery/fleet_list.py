"""The current endpoint list of a sidecar in a fleet: its entries, its age, and which lists are rejected.

The module is used only if the configuration has the key `fleet`.
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

MAX_REJECTION_S = 30.0  # Time for which implausible lists are rejected, in seconds after the first one
AGE_CHECK_S = 1.0  # Time between two checks of the age of the list, in seconds
CHECK_SERVICE = "check that the list service runs and is reachable; the current list stays in use until then"
VERSION_HEADER = "X-Held-Index"  # Request header that states the current version to the list service


class ImplausibleListFilter:
    """Rejects implausible complete lists while they may be the result of a fault of the list service.

    A complete list is implausible if it has no servers, or if it is older than the current list.
    """

    def __init__(self) -> None:
        # Time of the first of the implausible lists received in a row; None if the last list was plausible.
        self._first_rejected_at: float | None = None

    def check(self, update: ServerList, version: int, size: int, now: float) -> None:
        """Raise `ImplausibleListError` if a received list is rejected at `now`, in seconds.

        `version` and `size` are those of the current list. Implausible lists are accepted once they have been
        received for `MAX_REJECTION_S`, because they are then no longer assumed to be a fault.
        """
        if update.complete and size and not update.entries:
            why = f"a list without servers, while the current list has {size} servers"
        elif update.complete and update.version < version:
            why = f"version {update.version} of the list is older than the current version {version}"
        else:
            self._first_rejected_at = None
            return
        first = self._first_rejected_at is None
        since = self._first_rejected_at = now if self._first_rejected_at is None else self._first_rejected_at
        if now - since < MAX_REJECTION_S:
            raise ImplausibleListError(why, first=first)


class FleetList(CurrentList):
    """The entries of the current list, and an upper bound on its age."""

    def __init__(
        self, configured_list: ServerList, names: WireNames, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(configured_list, names)
        if not configured_list.entries:
            # Without servers in the configured list no list can be a step back, so any version is accepted.
            self.version = self.watch_from_version = 0
        self._now = loop.time
        self._endpoints = EndpointList(configured_list)
        self._age = ListAge()
        self._implausible_lists = ImplausibleListFilter()
        self._age_check: asyncio.TimerHandle | None = None

    @property
    def request_headers(self) -> str:
        """The additional header line of each call, which states the version of the current list."""
        return f"{VERSION_HEADER}: {self.watch_from_version}\r\n"

    @property
    def age(self) -> AgeBound:
        """The upper bound on the age of the list."""
        return self._age

    @property
    def endpoints(self) -> EndpointList:
        """The entries of the list."""
        return self._endpoints

    @property
    def size(self) -> int:
        """The number of entries of the list."""
        return len(self._endpoints)

    def age_at(self, now: float) -> float | None:
        """Return the upper bound on the age of the list at `now`, in seconds.

        It is None if no list was received since the start of the process.
        """
        return self._age.upper_bound(now)

    def start(self, loop: asyncio.AbstractEventLoop, state: Callable[[], str]) -> None:
        """Start to log when the list becomes too old, and when it is fresh again.

        `state` returns a text about the current list for the log lines. The method calls itself again every
        `AGE_CHECK_S`.
        """
        passed_s = self._age.passed_age_to_log(loop.time())
        if passed_s == FRESH_AGAIN:
            log.info("discovery: endpoint list is fresh again", current=state())
        elif passed_s is not None:
            log.warning(
                "discovery: endpoint list is old", over_s=passed_s, current=state(), action=CHECK_SERVICE
            )
        self._age_check = loop.call_later(AGE_CHECK_S, self.start, loop, state)

    def close(self) -> None:
        """Stop logging the age of the list."""
        if self._age_check is not None:
            self._age_check.cancel()

    def read_event(self, raw: object) -> WatchEvent:
        """Return the content of one JSON object of a watch.

        An object of the current version that has no entries and states an age counts as a heartbeat. Raise
        `ImplausibleListError` if a list is rejected, and one of `MALFORMED` if the object is no list.
        """
        stated_age = None
        if isinstance(raw, Mapping) and "age_ms" in raw and not raw["endpoints"] and not raw["snapshot"]:
            stated_age = age_in_seconds(raw["age_ms"])
            if raw["index"] <= self.version:
                return WatchEvent(None, stated_age)
        return WatchEvent(self.read_complete(raw), stated_age)

    def read_complete(self, raw: object) -> ServerList:
        """Return a parsed list; raise `ImplausibleListError` if it is rejected.

        Invalid entries are logged and replaced by the last valid entries of the same servers. Raise one of
        `MALFORMED` if `raw` is no list.
        """
        invalid: dict[str, str] = {}
        update = parse_list(raw, self._names, invalid)
        self._implausible_lists.check(update, self.version, self.size, self._now())
        if not invalid:
            return update
        log.warning(
            "discovery: invalid entries, the last valid ones stay",
            entries=invalid,
            action="register those servers anew, in valid form",
        )
        return self._endpoints.with_last_valid_entries(update, invalid)

    def accepts_changes(self, update: ServerList) -> bool:
        """Return whether changes are newer than the current list, or of the same version."""
        return update.version >= self.version

    def apply(self, update: ServerList) -> None:
        """Apply a complete list or changes to the current list."""
        super().apply(update)
        self._endpoints.apply(update)
