"""Writes of callers: their answers, and the limits of rows and tables."""

from __future__ import annotations

import msgspec
from aiohttp import web

from brassfall.controlplane.registry.calls import OWNED, answer
from brassfall.controlplane.registry.http_errors import status_response
from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.records import Result, Status
from brassfall.controlplane.store.store import Store
from brassfall.errors import UnavailableError
from brassfall.settings import RegistryLimits

MORE_ROOM = "Delete what is not needed, or raise the limit in the service's configuration."
FULL_RETRY_S = 10.0
ROWS_FULL, TABLES_FULL = "all rows are taken", "all tables are taken"
HTTP_STATUS = {Status.DONE: 200, Status.MISSING: 404, Status.CONFLICT: 409, Status.STALE: 412}

_encode = msgspec.json.Encoder().encode


class WriteAnswer(msgspec.Struct, frozen=True):
    """The answer to a write: the index of its change, or of the row as it stands."""

    index: int


class Writes:
    """Carries out commands on a store, and answers their results."""

    def __init__(self, store: Store, limits: RegistryLimits) -> None:
        self._store = store
        self._limits = limits

    async def run(self, command: Command) -> web.Response:
        """Carry a command out; return the answer once it is durable.

        Raise `NotWrittenError` if the disk fails or the queue is full. Cancelling does not undo the write.
        """
        return self._answer(await self._store.submit(command, until_settled=False))

    def renew(self, table: str, key: str, fence: int | None) -> web.Response:
        """Renew the lease of a row; nothing is written."""
        return self._answer(self._store.renew(table, key, fence))

    @staticmethod
    def _answer(result: Result) -> web.Response:
        if result.done:
            return answer(_encode(WriteAnswer(result.index)))
        return status_response(HTTP_STATUS[result.status], result.reason)

    def check_room(self, table: str, key: str) -> None:
        """Raise `UnavailableError` if a new row, or a new table, would exceed the limits."""
        rows, limits = self._store.state, self._limits
        if rows.get(table, key) is None and sum(map(rows.count, rows.names)) >= limits.rows:
            raise UnavailableError(ROWS_FULL, str(limits.rows), MORE_ROOM, retry_s=FULL_RETRY_S)
        names = {name for name in rows.names if name not in OWNED}
        if table not in names and len(names) >= limits.tables:
            raise UnavailableError(TABLES_FULL, str(limits.tables), MORE_ROOM, retry_s=FULL_RETRY_S)
