"""Reading tables: complete lists, and watches on their changes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from aiohttp import web

from brassfall.controlplane.registry import calls, entries
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.channels import AGE_MARGIN_S, ListFormat, TableChannel
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.front import Front, WatchRequest
from brassfall.controlplane.registry.gathering import Gathering
from brassfall.controlplane.registry.watches import Channel
from brassfall.controlplane.store.records import Change, Row
from brassfall.controlplane.store.store import Store

KNOWN_INDEX = "X-Held-Index"  # the header with the index of the list that the caller has
INCOMPLETE = "servers are coming back to a list that was lost"


class RowView(msgspec.Struct, frozen=True):
    """A row as it is sent; `age_ms` is an upper bound, None if it was not confirmed since the start."""

    key: str
    version: int
    value: Any
    age_ms: int | None


class Lists:
    """The reads of, and watches on, all tables of a store."""

    def __init__(self, store: Store, front: Front, gathering: Gathering) -> None:
        self._store = store
        self._front = front
        self._gathering = gathering

    def view(self, table: str, row: Row) -> RowView:
        """Return a row with its age."""
        age_ms = self._store.since_confirmed_ms(table, row.key)
        bound_ms = None if age_ms is None else round(age_ms + AGE_MARGIN_S * 1000.0)
        return RowView(row.key, row.version, row.value, bound_ms)

    def channel(self, table: str) -> Channel:
        """Return the channel of a table, which is created at the first call."""
        channels = self._front.channels
        if table not in channels:
            limits = self._front.limits
            channels[table] = TableChannel(
                lambda: self._store.state,
                table,
                self._format(table),
                limits.watch_bytes,
                limits.watch_stuck_ms / 1000.0,
            )
        return channels[table]

    def _format(self, table: str) -> ListFormat:
        if table == INSTANCES:
            return ListFormat("endpoints", entries.list_entries, entries.change_entries)

        def rows(found: Iterable[Row]) -> list[RowView]:
            return [self.view(table, row) for row in found]

        def changes(found: Iterable[Change]) -> list[RowView]:
            return [
                RowView(change.row.key, change.index, None, 0)
                if change.gone
                else self.view(table, change.row)
                for change in found
            ]

        return ListFormat("rows", rows, changes, has_ages=True)

    def changed(self, table: str, change: Change) -> None:
        """Send a durable change to the watches on its table."""
        channel = self._front.channels.get(table)
        if isinstance(channel, TableChannel):
            channel.changed(change)

    async def read(self, request: web.Request, table: str) -> web.StreamResponse:
        """Return the answer to `GET`: the complete table, or a watch on it if the query asks for one."""
        if calls.is_watch(request):
            return await self.watch(request, table)
        if table == INSTANCES:
            self._check_index(calls.number(request.headers.get(KNOWN_INDEX, "0"), KNOWN_INDEX))
        return self._complete_list(table)

    def _complete_list(self, table: str) -> web.Response:
        if self._gathering.active:
            return self._front.reject(INCOMPLETE, self._gathering.left_s + 0.5 * self._front.rng.random())
        rejection = self._front.admit_join("too many ask for the whole list at once")
        if rejection is not None:
            return rejection
        response = answer(self.channel(table).snapshot())
        self._drop_unused(table)
        return response

    async def watch(self, request: web.Request, name: str) -> web.StreamResponse:
        """Serve a watch on a table, or on another channel, until it ends; cancelling ends it."""
        index = calls.number(request.query.get("from", "0"), "from")
        wanted = WatchRequest(index, lambda: self.channel(name), lambda: self._is_deferred(name, index))
        try:
            return await self._front.watch(request, wanted)
        finally:
            self._drop_unused(name)

    def _is_deferred(self, name: str, index: int) -> bool:
        """Return whether the first line of a watch waits for servers to come back to a list that was lost."""
        if not isinstance(self.channel(name), TableChannel):
            return False
        self._check_index(index)
        return self._gathering.active

    def _check_index(self, index: int) -> None:
        """Note an unknown index of the instances, which is evidence of a list that was lost."""
        if index and self._store.state.changes_since(INSTANCES, index) is None:
            self._gathering.add_evidence()

    def _drop_unused(self, name: str) -> None:
        """Remove the channel of a table that does not exist, once it has no watch."""
        channel = self.channel(name)
        if isinstance(channel, TableChannel) and not channel.count and name not in self._store.state.names:
            del self._front.channels[name]
