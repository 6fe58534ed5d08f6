"""The leases of the rows of a store: a write grants them, a renewal needs no write, the end deletes the row.

The length of a lease is durable with its row. The time left is not durable: it starts again with the service.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from brassfall.controlplane.store.commands import Command, Delete, Put
from brassfall.controlplane.store.leases import ExpiryGuard, Leases
from brassfall.controlplane.store.outcomes import DecidedWrite
from brassfall.controlplane.store.records import Result, Row, Status
from brassfall.controlplane.store.state import State
from brassfall.controlplane.store.statistics import Statistics
from brassfall.controlplane.store.transaction import newer_owner, older_owner
from brassfall.controlplane.store.writer import Writer, monotonic_ms
from brassfall.errors import UnavailableError
from brassfall.logs import logger

CHECK_S = 0.1  # Time between two checks of all leases, in seconds
IsGuarded = Callable[[str, Row], bool]

SUSPECT_ACTION = "Look at the network between them and this service; if they are dead, `registry leave` each."

log = logger("table")


class RowLeases:
    """The leases of all tables of one writer; `is_guarded` returns whether the guard applies to a row."""

    def __init__(
        self, writer: Writer, guard: ExpiryGuard, is_guarded: IsGuarded, statistics: Statistics
    ) -> None:
        self._writer = writer
        self._guard = guard
        self._is_guarded = is_guarded
        self._statistics = statistics
        self._tables: dict[str, Leases] = {}
        # (table, key) of rows whose lease has expired and whose deletion is not decided yet.
        self._ending: set[tuple[str, str]] = set()
        # Monotonic times in ms at which rows were last written or renewed by their owners, by (table, key).
        self._confirmed_ms: dict[tuple[str, str], float] = {}
        self._deletion_tasks: set[asyncio.Task[None]] = set()

    @property
    def _state(self) -> State:
        return self._writer.state

    def restart(self, grace_ms: float) -> None:
        """Begin the leases of all rows that were loaded; each lasts for at least `grace_ms`."""
        for table in self._state.names:
            for row in self._state.rows(table):
                self._grant(table, row, grace_ms)

    def renew(self, table: str, key: str, fence: int | None) -> Result:
        """Renew the lease of a row for the owner with the fencing token `fence`; nothing is written."""
        row = self._state.get(table, key)
        if row is None:
            return Result(Status.MISSING, 0, f"{key} is not there")
        if fence is not None and fence > row.fence:
            return older_owner(row)
        if fence is not None and fence < row.fence:
            return Result(Status.CONFLICT, row.version, newer_owner(row))
        place = (table, key)
        self._confirmed_ms[place] = monotonic_ms()
        if row.lease_ms and not self._leases(table).renew(monotonic_ms(), key):
            # The lease has expired, but the deletion of the row is not decided yet: cancel the deletion.
            self._ending.discard(place)
            self._grant(table, row)
        return Result(Status.DONE, row.version)

    def since_confirmed_ms(self, table: str, key: str) -> float | None:
        """Return an upper bound on the time since a row was last written or renewed, in ms.

        Return None if the row was neither written nor renewed since the start of the service.
        """
        confirmed = self._confirmed_ms.get((table, key))
        return None if confirmed is None else monotonic_ms() - confirmed

    def suspects(self, table: str) -> list[str]:
        """Return the keys of rows that are kept although their leases have ended."""
        return self._leases(table).suspects if table in self._tables else []

    def apply(self, decided: list[DecidedWrite]) -> None:
        """Grant, renew or end the leases of the rows that durable commands have written or deleted."""
        for decided_write in decided:
            if decided_write.result.done:
                self._apply(decided_write.write.command, decided_write.result)

    async def run(self) -> None:
        """Check all leases every `CHECK_S` until cancelled."""
        while True:
            await asyncio.sleep(CHECK_S)
            for table, leases in self._tables.items():
                ended = leases.check(monotonic_ms())
                if ended.suspected:
                    self._statistics.suspected_leases += len(ended.suspected)
                    log.warning(
                        "several leases not renewed together, their rows are kept as suspect",
                        table=table,
                        keys=ended.suspected,
                        action=SUSPECT_ACTION,
                    )
                for key in ended.expired:
                    self._start_deletion(table, key)

    def _leases(self, table: str) -> Leases:
        if table not in self._tables:
            self._tables[table] = Leases(self._guard)
        return self._tables[table]

    def _grant(self, table: str, row: Row, grace_ms: float = 0.0) -> None:
        if row.lease_ms:
            guarded = self._is_guarded(table, row)
            leases = self._leases(table)
            leases.grant(monotonic_ms(), row.key, row.lease_ms, guarded=guarded, grace_ms=grace_ms)
        elif table in self._tables:
            self._tables[table].drop(row.key)

    def _apply(self, command: Command, result: Result) -> None:
        place = (command.table, command.key)
        row = self._state.get(*place)
        if row is None:
            self._confirmed_ms.pop(place, None)
            if command.table in self._tables:
                self._tables[command.table].drop(command.key)
            return
        self._confirmed_ms[place] = monotonic_ms()
        # Only a write by the owner renews the lease of a row: a change by an operator does not.
        by_owner = isinstance(command, Put) or command.fence is not None
        if row.version == result.index and by_owner:
            self._grant(command.table, row)
        elif command.table in self._tables:
            guarded = self._is_guarded(command.table, row)
            self._tables[command.table].set_guarded(command.key, guarded=guarded)

    def _start_deletion(self, table: str, key: str) -> None:
        row = self._state.get(table, key)
        if row is None or (table, key) in self._ending:
            return
        self._ending.add((table, key))
        task = asyncio.get_running_loop().create_task(self._delete_expired_row(table, row))
        self._deletion_tasks.add(task)
        task.add_done_callback(self._deletion_tasks.discard)

    async def _delete_expired_row(self, table: str, row: Row) -> None:
        """Delete the row of an expired lease by a command; if that fails, grant the lease again."""
        place = (table, row.key)
        try:
            if place not in self._ending:
                return  # The lease was renewed meanwhile
            command = Delete(table=table, key=row.key, if_match=row.version)
            if (await self._writer.submit(command, until_settled=True)).done:
                self._statistics.expired_leases += 1
                log.info("lease expired, row deleted", table=table, key=row.key)
        except UnavailableError:
            if self._state.get(table, row.key) is row:
                self._grant(table, row)
        finally:
            self._ending.discard(place)
