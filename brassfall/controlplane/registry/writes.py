"""Writes of callers: what is decided on them, and whether the store has room for one more row."""

from __future__ import annotations

import msgspec
from aiohttp import web

from brassfall.controlplane.registry.calls import OWNED, answer
from brassfall.controlplane.registry.http_errors import status_response
from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.records import Result, Status
from brassfall.controlplane.store.store import Store
from brassfall.errors import UnavailableError
from brassfall.settings import Limits

MORE_ROOM = "Delete what is not needed, or raise the limit in the service's configuration."
FULL_RETRY_S = 10.0
HTTP_STATUS = {Status.DONE: 200, Status.MISSING: 404, Status.CONFLICT: 409, Status.STALE: 412}

_encode = msgspec.json.Encoder().encode


class WriteAnswer(msgspec.Struct, frozen=True):
    """The answer to a write: the index of its change, or of the row as it stands."""

    index: int


class Writes:
    """Carries out commands on a store, and answers as its results say."""

    def __init__(self, store: Store, limits: Limits) -> None:
        self._store = store
        self._limits = limits

    async def run(self, command: Command) -> web.Response:
        """Carry a command out; the answer comes when it is durable.

        `NotWrittenError` where the disk fails or the queue is full. Cancelling does not undo the write."""
        return self._answer(await self._store.submit(command, until_settled=False))

    def renew(self, table: str, key: str, fence: int | None) -> web.Response:
        """Count the lease of a row anew; nothing is written."""
        return self._answer(self._store.renew(table, key, fence))

    @staticmethod
    def _answer(result: Result) -> web.Response:
        if result.done:
            return answer(_encode(WriteAnswer(result.index)))
        return status_response(HTTP_STATUS[result.status], result.reason)

    def check_room(self, table: str, key: str) -> None:
        """`UnavailableError` where a new row, or a new table, would exceed the limits."""
        rows, limits = self._store.state, self._limits
        if rows.get(table, key) is None and sum(map(rows.count, rows.names)) >= limits.rows:
            raise UnavailableError("all rows are taken", str(limits.rows), MORE_ROOM, retry_s=FULL_RETRY_S)
        names = {name for name in rows.names if name not in OWNED}
        if table not in names and len(names) >= limits.tables:
            raise UnavailableError(
                "all tables are taken", str(limits.tables), MORE_ROOM, retry_s=FULL_RETRY_S
            )
