"""Writes of HTTP callers to the store: their answers, and the limits on the number of rows and tables."""

from __future__ import annotations

import msgspec
from aiohttp import web

from brassfall.controlplane.registry.calls import TABLE_PATHS, answer
from brassfall.controlplane.registry.http_errors import status_response
from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.records import Result, Status
from brassfall.controlplane.store.store import Store
from brassfall.errors import UnavailableError
from brassfall.settings import RegistryLimits

MORE_ROOM_ACTION = "Delete what is not needed, or raise the limit in the service's configuration."
FULL_RETRY_S = 10.0  # `Retry-After` of a write that would exceed the number of rows or tables
ROWS_FULL, TABLES_FULL = "all rows are taken", "all tables are taken"
HTTP_STATUS = {Status.DONE: 200, Status.MISSING: 404, Status.CONFLICT: 409, Status.STALE: 412}

_encode = msgspec.json.Encoder().encode


class WriteAnswer(msgspec.Struct, frozen=True):
    """The answer to a write; `index` is that of its change, or of the row if nothing changed."""

    index: int


class Writes:
    """Executes callers' commands on the store, and converts the results into HTTP answers."""

    def __init__(self, store: Store, limits: RegistryLimits) -> None:
        self._store = store
        self._limits = limits

    async def execute(self, command: Command) -> web.Response:
        """Execute a command; return the answer once the change is durable.

        Raise `NotWrittenError` if the disk fails or the queue is full. Cancelling does not undo the write.
        """
        return self._answer(await self._store.submit(command, until_settled=False))

    def renew(self, table: str, key: str, fence: int | None) -> web.Response:
        """Renew the lease of a row, which writes nothing to disk; return the answer."""
        return self._answer(self._store.renew(table, key, fence))

    @staticmethod
    def _answer(result: Result) -> web.Response:
        if result.done:
            return answer(_encode(WriteAnswer(result.index)))
        return status_response(HTTP_STATUS[result.status], result.reason)

    def check_room(self, table: str, key: str) -> None:
        """Raise `UnavailableError` if the key would be a row, or a table, beyond the limits."""
        rows, limits = self._store.state, self._limits
        if rows.get(table, key) is None and sum(map(rows.count, rows.names)) >= limits.rows:
            raise UnavailableError(ROWS_FULL, str(limits.rows), MORE_ROOM_ACTION, retry_s=FULL_RETRY_S)
        names = {name for name in rows.names if name not in TABLE_PATHS}
        if table not in names and len(names) >= limits.tables:
            raise UnavailableError(TABLES_FULL, str(limits.tables), MORE_ROOM_ACTION, retry_s=FULL_RETRY_S)
