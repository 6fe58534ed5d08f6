"""A durable versioned store: commands are decided, committed together, and only then answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.leases import Guard
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
    """Doubt no ending."""
    return False


@dataclass(slots=True)
class Options:
    """How a store works; times in ms."""

    batch: int = 1024  # most writes in one commit
    queue: int = 4096  # most writes that wait
    history_length: int = HISTORY_LENGTH  # changes of each table that are remembered for watchers
    restart_grace_ms: float = 5000.0  # least time that a lease has left after a start
    guard: Guard = field(default_factory=Guard)
    # Where the mass of endings is doubted; a lease of any other row ends when it ends.
    guarded: Guarded = unguarded


class Store:
    """One durable store within a running loop. `notify` is called with each durable change and its table."""

    def __init__(self, durable_log: Log, options: Options, notify: Notify) -> None:
        self._options = options
        self._notify = notify
        self.statistics = Statistics()
        self._writer = Writer(durable_log, options.batch, options.queue, self.statistics, self._applied)
        self._leases = RowLeases(self._writer, options.guard, options.guarded, self.statistics)
        self._lease_checks: asyncio.Task[None] | None = None
        self.fresh = False  # whether there was no row at the start
        self.incarnation = 0  # the index at which it began: above all that earlier ones gave out

    @property
    def state(self) -> State:
        """What is durable."""
        return self._writer.state

    async def start(self) -> None:
        """Read the log and begin an incarnation.

        `LogUnavailableError` or `LogOutcomeUnknownError` while the disk fails: it may be called again, and
        then reads all anew. Another `LogError` where only an operator can help."""
        loaded = await self._writer.load(self._options.history_length)
        state = self.state
        self.fresh = not state.row_count
        self.incarnation = state.index
        self._leases.restart(self._options.restart_grace_ms)
        log.info("loaded", rows=state.row_count, index=state.index, replayed=loaded.records, fresh=self.fresh)
        self._writer.start()
        self._lease_checks = asyncio.get_running_loop().create_task(self._leases.run())

    async def close(self) -> None:
        """Stop: the batch that is being written is answered, writes that wait are refused."""
        if self._lease_checks is not None:
            self._lease_checks.cancel()
            await asyncio.gather(self._lease_checks, return_exceptions=True)
        await self._writer.close()

    def submit(self, command: Command, *, until_settled: bool = True) -> asyncio.Future[Result]:
        """Have a command carried out; `NotWrittenError` where the disk fails or the queue is full.

        The answer comes when what was decided is durable. A caller that no longer waits for it does not
        undo it. Where a commit fails and can't be looked for in the file, the answer waits until the disk
        is back; without `until_settled` it is `OutcomeUnknownError` after a second."""
        return self._writer.submit(command, until_settled=until_settled)

    def renew(self, table: str, key: str, fence: int | None) -> Result:
        """The owner of a row is there: its lease is counted anew. Nothing is written."""
        return self._leases.renew(table, key, fence)

    def since_confirmed_ms(self, table: str, key: str) -> float | None:
        """An upper bound on how long ago a row was last confirmed; None where that was before the start."""
        return self._leases.since_confirmed_ms(table, key)

    def suspects(self, table: str) -> list[str]:
        """The rows that stay although their leases are over."""
        return self._leases.suspects(table)

    @property
    def waiting(self) -> int:
        """How many writes wait for the disk."""
        return self._writer.waiting

    @property
    def outcome_unknown(self) -> bool:
        """Whether a commit failed and isn't known yet to be in the file or not; nothing is written then."""
        return self._writer.outcome_unknown

    def _applied(self, changes: list[tuple[str, Change]], decided: list[Decided]) -> None:
        for table, change in changes:
            self._notify(table, change)
        self._leases.applied(decided)
