"""HTTP calls under `/tables`: rows of any table, with preconditions and leases."""

from __future__ import annotations

import msgspec
from aiohttp import web

from brassfall.controlplane.registry import calls, entries
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.front import HttpServer
from brassfall.controlplane.registry.http_errors import status_response
from brassfall.controlplane.registry.lists import TableReads
from brassfall.controlplane.registry.writes import Writes
from brassfall.controlplane.store.commands import Delete, Put
from brassfall.controlplane.store.store import Store
from brassfall.errors import RequestError
from brassfall.settings import LeaseSettings

LEASE = "X-Lease"  # request header with the time to live of a row, in ms

_encode = msgspec.json.Encoder().encode


class TableCalls:
    """Answers the HTTP calls on tables; `leases` has the limits of the rows' times to live."""

    def __init__(
        self,
        store: Store,
        http_server: HttpServer,
        table_reads: TableReads,
        writes: Writes,
        leases: LeaseSettings,
    ) -> None:
        self._store = store
        self._http_server = http_server
        self._table_reads = table_reads
        self._writes = writes
        self._leases = leases

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes under `/tables`."""
        one = "/tables/{table}/{key}"
        return [
            web.get("/tables/{table}", self._list),
            web.get(one, self._get),
            web.put(one, self._put),
            web.delete(one, self._delete),
            web.post(one + "/renew", self._renew),
        ]

    async def _list(self, request: web.Request) -> web.StreamResponse:
        return await self._table_reads.read(request, entries.check_name(request.match_info["table"]))

    async def _get(self, request: web.Request) -> web.Response:
        table, key = calls.row_address(request)
        row = self._store.state.get(table, key)
        if row is None:
            return status_response(404, f"{key} is not there")
        return answer(_encode(self._table_reads.row_view(table, row)))

    async def _put(self, request: web.Request) -> web.Response:
        table, key = calls.writable_row_address(request)
        try:
            value = msgspec.json.decode(await self._http_server.body(request))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
            message = f"the value is no JSON: {error}"
            raise RequestError(message) from error
        self._writes.check_room(table, key)
        command = Put(
            table=table,
            key=key,
            value=value,
            lease_ms=self._lease_ms(request),
            if_match=calls.if_match_version(request),
            request_id=calls.request_id(request),
        )
        return await self._writes.execute(command)

    def _lease_ms(self, request: web.Request) -> int:
        lease = request.headers.get(LEASE)
        return 0 if lease is None else entries.check_ttl(calls.parse_whole_number(lease, LEASE), self._leases)

    async def _delete(self, request: web.Request) -> web.Response:
        table, key = calls.writable_row_address(request)
        command = Delete(
            table=table,
            key=key,
            if_match=calls.if_match_version(request),
            request_id=calls.request_id(request),
        )
        return await self._writes.execute(command)

    async def _renew(self, request: web.Request) -> web.Response:
        table, key = calls.writable_row_address(request)
        version = calls.if_match_version(request)
        row = self._store.state.get(table, key)
        if row is not None and version is not None and row.version != version:
            return status_response(412, f"{key} has version {row.version}, not version {version}")
        return self._writes.renew(table, key, None)
