"""HTTP calls under `/registry/instances`: servers register, renew and leave, and clients list them."""

from __future__ import annotations

from functools import partial

import msgspec
from aiohttp import web

from brassfall.controlplane.registry import calls, entries
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.front import HttpServer
from brassfall.controlplane.registry.http_errors import status_response
from brassfall.controlplane.registry.lists import TableReads
from brassfall.controlplane.registry.writes import Writes
from brassfall.controlplane.store.store import Store
from brassfall.settings import LeaseSettings

PATH = "/registry/instances"

_encode = msgspec.json.Encoder().encode


class InstanceCalls:
    """Answers the HTTP calls on instances; `leases` has the limits of their times to live."""

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
        """Return the HTTP routes under `/registry/instances`."""
        one = PATH + "/{name}"
        return [
            web.get(PATH, partial(self._table_reads.read, table=INSTANCES)),
            web.get(one, self._get),
            web.put(one, self._register),
            web.post(one + "/renew", self._renew),
            web.patch(one, self._alter),
            web.delete(one, self._leave),
        ]

    async def _get(self, request: web.Request) -> web.Response:
        row = self._store.state.get(INSTANCES, _name(request))
        if row is None:
            return status_response(404, "no such instance")
        return answer(_encode(self._table_reads.row_view(INSTANCES, row)))

    async def _register(self, request: web.Request) -> web.Response:
        key = _name(request)
        wanted, ttl_ms = entries.parse_registration(key, await self._http_server.body(request), self._leases)
        self._writes.check_room(INSTANCES, key)
        command = entries.register_command(
            key, wanted, ttl_ms, calls.if_match_version(request), calls.request_id(request)
        )
        return await self._writes.execute(command)

    async def _renew(self, request: web.Request) -> web.Response:
        key = _name(request)
        return self._writes.renew(
            INSTANCES, key, entries.parse_incarnation(await self._http_server.body(request))
        )

    async def _alter(self, request: web.Request) -> web.Response:
        key, body = _name(request), await self._http_server.body(request)
        return await self._writes.execute(
            entries.update_command(key, body, calls.if_match_version(request), calls.request_id(request))
        )

    async def _leave(self, request: web.Request) -> web.Response:
        key = _name(request)
        fence = entries.parse_incarnation(await self._http_server.body(request))
        return await self._writes.execute(
            entries.remove_command(key, fence, calls.if_match_version(request), calls.request_id(request))
        )


def _name(request: web.Request) -> str:
    return entries.check_name(request.match_info["name"])
