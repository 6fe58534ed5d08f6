"""A durable versioned store: commands are decided in batches, committed, and only then answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.leases import ExpiryGuard
from brassfall.controlplane.store.log import Log
from brassfall.controlplane.store.outcomes import DecidedWrite
from brassfall.controlplane.store.records import Change, Result, Row
from brassfall.controlplane.store.row_leases import IsGuarded, RowLeases
from brassfall.controlplane.store.state import HISTORY_LENGTH, State
from brassfall.controlplane.store.statistics import Statistics
from brassfall.controlplane.store.writer import Writer
from brassfall.logs import logger

Notify = Callable[[str, Change], None]

log = logger("table")


def unguarded(_table: str, _row: Row) -> bool:
    """Return False: the guard applies to no row."""
    return False


@dataclass(slots=True)
class StoreOptions:
    """The options of a store; times are in ms."""

    batch: int = 1024  # Largest number of writes in one commit
    queue: int = 4096  # Largest number of writes that wait for a commit
    history_length: int = HISTORY_LENGTH  # Number of changes of each table that are kept for watchers
    restart_grace_ms: float = 5000.0  # Least time that a lease has left after a start of the service
    guard: ExpiryGuard = field(default_factory=ExpiryGuard)
    # Returns whether the guard applies to a row: its lease does not end while too many would end at once.
    guarded: IsGuarded = unguarded


class Store:
    """One durable store within a running event loop.

    `notify` is called with the name of the table and the change, for each change that is durable.
    """

    def __init__(self, durable_log: Log, options: StoreOptions, notify: Notify) -> None:
        self._options = options
        self._notify = notify
        self.statistics = Statistics()
        self._writer = Writer(durable_log, options.batch, options.queue, self.statistics, self._applied)
        self._leases = RowLeases(self._writer, options.guard, options.guarded, self.statistics)
        self._lease_checks: asyncio.Task[None] | None = None
        self.started_empty = False  # True if no table had a row at the start of the service
        self.incarnation = 0  # Index at which the present incarnation began, above all earlier indexes

    @property
    def state(self) -> State:
        """The durable state of all tables."""
        return self._writer.state

    async def start(self) -> None:
        """Read the log and begin an incarnation; after a failure, `start` may be called again.

        Raise `LogUnavailableError` or `LogOutcomeUnknownError` while the disk fails, and another `LogError`
        if only an operator can help.
        """
        loaded = await self._writer.load(self._options.history_length)
        state = self.state
        self.started_empty = not state.row_count
        self.incarnation = state.index
        self._leases.restart(self._options.restart_grace_ms)
        log.info(
            "table log loaded",
            rows=state.row_count,
            index=state.index,
            replayed=loaded.records,
            fresh=self.started_empty,
        )
        self._writer.start()
        self._lease_checks = asyncio.get_running_loop().create_task(self._leases.run())

    async def close(self) -> None:
        """Stop the store: the batch that is being written is answered, waiting writes are refused."""
        if self._lease_checks is not None:
            self._lease_checks.cancel()
            await asyncio.gather(self._lease_checks, return_exceptions=True)
        await self._writer.close()

    def submit(self, command: Command, *, until_settled: bool = True) -> asyncio.Future[Result]:
        """Queue a command; return the future of its result, which is set once the result is durable.

        Raise `NotWrittenError` if the queue is full or the store stops. If the disk fails, the future fails
        with `NotWrittenError`. While the outcome of a failed commit is unknown, the future waits until the
        disk works again; without `until_settled` it fails with `OutcomeUnknownError` after `UNKNOWN_AFTER_S`.
        Cancelling the future does not undo the command.
        """
        return self._writer.submit(command, until_settled=until_settled)

    def renew(self, table: str, key: str, fence: int | None) -> Result:
        """Renew the lease of a row for the owner with the fencing token `fence`; nothing is written."""
        return self._leases.renew(table, key, fence)

    def since_confirmed_ms(self, table: str, key: str) -> float | None:
        """Return an upper bound on the time since a row was last written or renewed, in ms.

        Return None if the row was neither written nor renewed since the start of the service.
        """
        return self._leases.since_confirmed_ms(table, key)

    def suspects(self, table: str) -> list[str]:
        """Return the keys of rows that are kept although their leases have ended."""
        return self._leases.suspects(table)

    @property
    def queued_writes(self) -> int:
        """The number of writes that wait for a commit."""
        return self._writer.queued_writes

    @property
    def outcome_unknown(self) -> bool:
        """Whether the outcome of a failed commit is unknown; while it is, nothing is written."""
        return self._writer.outcome_unknown

    def _applied(self, changes: list[tuple[str, Change]], decided: list[DecidedWrite]) -> None:
        for table, change in changes:
            self._notify(table, change)
        self._leases.apply(decided)
