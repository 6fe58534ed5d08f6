"""A durable versioned store: commands are decided, committed together, and only then answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.leases import ExpiryGuard
from brassfall.controlplane.store.log import Log
from brassfall.controlplane.store.outcomes import Decided
from brassfall.controlplane.store.records import Change, Result, Row
from brassfall.controlplane.store.row_leases import Guarded, RowLeases
from brassfall.controlplane.store.state import HISTORY_LENGTH, State
from brassfall.controlplane.store.statistics import Statistics
from brassfall.controlplane.store.writer import Writer
from brassfall.logs import logger

Notify = Callable[[str, Change], None]

log = logger("table")


def unguarded(_table: str, _row: Row) -> bool:
    """Return False: the end of no lease is doubted."""
    return False


@dataclass(slots=True)
class StoreOptions:
    """The options of a store; times in ms."""

    batch: int = 1024  # most writes in one commit
    queue: int = 4096  # most writes that wait
    history_length: int = HISTORY_LENGTH  # changes of each table that are kept for watchers
    restart_grace_ms: float = 5000.0  # least time that a lease has left after a start
    guard: ExpiryGuard = field(default_factory=ExpiryGuard)
    # The rows whose leases don't end while too many of them would end at once.
    guarded: Guarded = unguarded


class Store:
    """One durable store within a running loop. `notify` is called with each durable change and its table."""

    def __init__(self, durable_log: Log, options: StoreOptions, notify: Notify) -> None:
        self._options = options
        self._notify = notify
        self.statistics = Statistics()
        self._writer = Writer(durable_log, options.batch, options.queue, self.statistics, self._applied)
        self._leases = RowLeases(self._writer, options.guard, options.guarded, self.statistics)
        self._lease_checks: asyncio.Task[None] | None = None
        self.started_empty = False  # True if there was no row at the start
        self.incarnation = 0  # the index at which it began, above those of earlier ones

    @property
    def state(self) -> State:
        """The durable state."""
        return self._writer.state

    async def start(self) -> None:
        """Read the log and begin an incarnation; it may be called again after a failure.

        Raise `LogUnavailableError` or `LogOutcomeUnknownError` while the disk fails, another `LogError` if
        only an operator can help.
        """
        loaded = await self._writer.load(self._options.history_length)
        state = self.state
        self.started_empty = not state.row_count
        self.incarnation = state.index
        self._leases.restart(self._options.restart_grace_ms)
        log.info(
            "loaded",
            rows=state.row_count,
            index=state.index,
            replayed=loaded.records,
            fresh=self.started_empty,
        )
        self._writer.start()
        self._lease_checks = asyncio.get_running_loop().create_task(self._leases.run())

    async def close(self) -> None:
        """Stop: the batch that is being written is answered, waiting writes are refused."""
        if self._lease_checks is not None:
            self._lease_checks.cancel()
            await asyncio.gather(self._lease_checks, return_exceptions=True)
        await self._writer.close()

    def submit(self, command: Command, *, until_settled: bool = True) -> asyncio.Future[Result]:
        """Queue a command; return a future of its result, which is set once the result is durable.

        Raise `NotWrittenError` if the queue is full; the future fails with it if the disk fails. While the
        outcome of a failed commit is unknown, the future waits until the disk is back; without
        `until_settled` it fails with `OutcomeUnknownError` after `UNKNOWN_AFTER_S`. Cancelling it does not
        undo the command.
        """
        return self._writer.submit(command, until_settled=until_settled)

    def renew(self, table: str, key: str, fence: int | None) -> Result:
        """Renew the lease of a row; nothing is written."""
        return self._leases.renew(table, key, fence)

    def since_confirmed_ms(self, table: str, key: str) -> float | None:
        """Return an upper bound on the time since a row was confirmed; None if that was before the start."""
        return self._leases.since_confirmed_ms(table, key)

    def suspects(self, table: str) -> list[str]:
        """Return the rows that stay although their leases have ended."""
        return self._leases.suspects(table)

    @property
    def queued_writes(self) -> int:
        """The number of writes that wait for the disk."""
        return self._writer.queued_writes

    @property
    def outcome_unknown(self) -> bool:
        """True if it is not known whether a failed commit is in the file; nothing is written then."""
        return self._writer.outcome_unknown

    def _applied(self, changes: list[tuple[str, Change]], decided: list[Decided]) -> None:
        for table, change in changes:
            self._notify(table, change)
        self._leases.applied(decided)
