"""Reads of tables over HTTP: complete lists, and watches on their changes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec
from aiohttp import web

from brassfall.controlplane.registry import calls, entries
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.channels import AGE_MARGIN_S, ListFormat, TableChannel
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.front import HttpServer, WatchRequest
from brassfall.controlplane.registry.gathering import ListRebuild
from brassfall.controlplane.registry.watches import Channel
from brassfall.controlplane.store.records import Change, Row
from brassfall.controlplane.store.store import Store

KNOWN_INDEX_HEADER = "X-Held-Index"  # request header with the index of the caller's own list
LIST_INCOMPLETE = "servers are coming back to a list that was lost"


class RowView(msgspec.Struct, frozen=True):
    """A row of a table in an answer.

    `age_ms` is an upper bound on the time since the row was confirmed; None: not since the start.
    """

    key: str
    version: int
    value: Any
    age_ms: int | None


class TableReads:
    """Answers reads of, and watches on, all tables of a store."""

    def __init__(self, store: Store, http_server: HttpServer, list_rebuild: ListRebuild) -> None:
        self._store = store
        self._http_server = http_server
        self._list_rebuild = list_rebuild

    def row_view(self, table: str, row: Row) -> RowView:
        """Return a row in the form in which it is sent, with its age."""
        age_ms = self._store.since_confirmed_ms(table, row.key)
        bound_ms = None if age_ms is None else round(age_ms + AGE_MARGIN_S * 1000.0)
        return RowView(row.key, row.version, row.value, bound_ms)

    def channel(self, table: str) -> Channel:
        """Return the watch channel of a table, or another channel of that name; create a missing one."""
        channels = self._http_server.channels
        if table not in channels:
            limits = self._http_server.limits
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

        def rows(rows_found: Iterable[Row]) -> list[RowView]:
            return [self.row_view(table, row) for row in rows_found]

        def changes(changes_found: Iterable[Change]) -> list[RowView]:
            return [
                RowView(change.row.key, change.index, None, 0)
                if change.deleted
                else self.row_view(table, change.row)
                for change in changes_found
            ]

        return ListFormat("rows", rows, changes, has_ages=True)

    def notify_watches(self, table: str, change: Change) -> None:
        """Send a durable change of a row to the watches on its table."""
        channel = self._http_server.channels.get(table)
        if isinstance(channel, TableChannel):
            channel.queue_change(change)

    async def read(self, request: web.Request, table: str) -> web.StreamResponse:
        """Answer `GET` of a table: its complete list, or a watch on it if the query asks for one."""
        if calls.is_watch(request):
            return await self.watch(request, table)
        if table == INSTANCES:
            self._check_index(
                calls.parse_whole_number(request.headers.get(KNOWN_INDEX_HEADER, "0"), KNOWN_INDEX_HEADER)
            )
        return self._complete_list(table)

    def _complete_list(self, table: str) -> web.Response:
        if self._list_rebuild.is_incomplete:
            return self._http_server.reject(
                LIST_INCOMPLETE, self._list_rebuild.left_s + 0.5 * self._http_server.rng.random()
            )
        rejection = self._http_server.admit_join("too many ask for the whole list at once")
        if rejection is not None:
            return rejection
        response = answer(self.channel(table).snapshot())
        self._drop_unused(table)
        return response

    async def watch(self, request: web.Request, name: str) -> web.StreamResponse:
        """Serve a watch on the table or other channel `name` until it ends; cancelling ends it."""
        index = calls.parse_whole_number(request.query.get("from", "0"), "from")
        wanted = WatchRequest(index, lambda: self.channel(name), lambda: self._is_deferred(name, index))
        try:
            return await self._http_server.watch(request, wanted)
        finally:
            self._drop_unused(name)

    def _is_deferred(self, name: str, index: int) -> bool:
        """Return whether the first line of a watch has to wait until a lost list has been rebuilt."""
        if not isinstance(self.channel(name), TableChannel):
            return False
        self._check_index(index)
        return self._list_rebuild.is_incomplete

    def _check_index(self, index: int) -> None:
        """Record an unknown index of the endpoint list, which is evidence that a list was lost."""
        if index and self._store.state.changes_since(INSTANCES, index) is None:
            self._list_rebuild.add_evidence()

    def _drop_unused(self, name: str) -> None:
        """Remove the channel of a table that does not exist, if it has no watch left."""
        channel = self.channel(name)
        if isinstance(channel, TableChannel) and not channel.count and name not in self._store.state.names:
            del self._http_server.channels[name]
