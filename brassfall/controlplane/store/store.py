"""A table that lasts: commands are decided, put on the disk together, and only then answered and told.

Owns the leases: their lengths last with the rows, the time they have left does not, and is counted
anew from each start.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from brassfall.controlplane.store.core import (
    Change,
    Command,
    Delete,
    Put,
    Record,
    Result,
    Row,
    Snapshot,
    Status,
    Table,
)
from brassfall.controlplane.store.leases import Guard, Leases
from brassfall.controlplane.store.log import Log, LogError
from brassfall.errors import Unavailable
from brassfall.logs import logger

LOOK_S = 0.1
Told = Callable[[str, Change], None]

log = logger("table")


class NotWritten(Unavailable):
    """A write can't be taken just now; it has not happened."""

    action = "Send it again after the time told; where that goes on, look at the disk of the list service."


@dataclass(slots=True)
class Figures:
    """What the store has done since its start."""

    writes: int = 0
    commits: int = 0
    refused: int = 0
    failures: int = 0
    snapshots: int = 0
    expired: int = 0
    suspected: int = 0
    commit_s: float = 0.0
    disk: str = ""  # why the last commit failed, while none has succeeded since


@dataclass(slots=True)
class Options:
    """How a store works; times in ms."""

    batch: int = 1024
    queue: int = 4096
    ring: int = 8192
    restart_grace_ms: float = 5000.0
    guard: Guard = field(default_factory=Guard)
    # Where the mass of endings is doubted; a lease in any other table ends when it ends.
    guarded: Callable[[str, Row], bool] = lambda table, row: False


def unix_floor(unix_s: float) -> int:
    """The least index of a life that begins at a time: above whatever an earlier life can have told,
    if that made fewer than 1,024 changes a millisecond; below 2^53 for some two hundred years."""
    return int(unix_s * 1000.0) << 10


def life_floor(unix_s: float, last: int, drawn: int) -> int:
    """The least index of a life that begins at a time, on a table whose last index is `last`; `drawn` are
    30 random bits.

    Where the clock is behind the table, the next index would do for this table alone: a second service that
    is started on a copy of it by mistake would begin with an index that the first one tells for something
    else. Some 2^30 are left out there, on an average half: as many as a clock passes in 9 minutes."""
    floor = unix_floor(unix_s) + drawn % 1024
    return floor if floor > last else last + 1 + drawn


class Store:
    """One durable table within a running loop."""

    def __init__(self, journal: Log, options: Options, told: Told) -> None:
        self._log = journal
        self._options = options
        self._told = told
        self._queue: list[tuple[Command, asyncio.Future[Result]]] = []
        self._work = asyncio.Event()
        self._thread = ThreadPoolExecutor(1, "table-log")
        self._tasks: list[asyncio.Task[None]] = []
        self._leases: dict[str, Leases] = {}
        self._ending: dict[tuple[str, str], int] = {}  # expired, and not yet decided: their versions
        self._heard: dict[tuple[str, str], float] = {}  # when a row was last confirmed, monotonic ms
        self._base_ms = 0.0
        self.figures = Figures()
        self.table = Table()
        self.fresh = False
        self.life = 0  # the index at which this life began: above all that earlier ones told

    @staticmethod
    def now() -> float:
        """Monotonic milliseconds."""
        return time.monotonic() * 1000.0

    async def start(self) -> None:
        """Read the log and begin a life; `LogError` if that can't be done."""
        loop = asyncio.get_running_loop()
        loaded = await loop.run_in_executor(self._thread, self._log.load, self._options.ring)
        self.table = loaded.table
        self.fresh = not any(map(self.table.count, self.table.names))
        self._base_ms = self.table.at - self.now()
        floor = life_floor(time.time(), self.table.index, secrets.randbits(30))
        life = self.table.life(floor, self._at())
        await loop.run_in_executor(self._thread, self._log.append, [life])
        self.table.absorb([life])
        self.life = life.index
        grace = self._options.restart_grace_ms
        for name in self.table.names:
            for row in self.table.rows(name):
                self._lease(name, row, grace)
        log.info("loaded", rows=sum(map(self.table.count, self.table.names)), index=self.table.index,
                 replayed=loaded.records, fresh=self.fresh)  # fmt: skip
        self._tasks = [loop.create_task(self._write()), loop.create_task(self._look())]

    async def close(self) -> None:
        """Stop; writes that wait are refused."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for _, future in self._queue:
            if not future.done():
                future.set_exception(NotWritten("the service is stopping"))
        self._queue = []
        self._thread.shutdown()
        self._log.close()

    def submit(self, command: Command) -> asyncio.Future[Result]:
        """Have a command carried out; `NotWritten` where the disk or the queue is full.

        The answer comes when what was decided is durable. A caller that no longer waits for it does
        not undo it."""
        if len(self._queue) >= self._options.queue:
            self.figures.refused += 1
            raise NotWritten("too many writes wait for the disk")
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._queue.append((command, future))
        self._work.set()
        return future

    def renew(self, table: str, key: str, fence: int | None) -> Result:
        """A holder is there: its lease is counted anew. Nothing is written."""
        row = self.table.get(table, key)
        if row is None:
            return Result(Status.MISSING, 0, f"{key} is not there")
        if fence is not None and fence > row.fence:
            # What that holder wrote is gone, with a disk: it has to write anew, and will be let.
            return Result(Status.MISSING, 0, f"{key} belongs to an older holder, {row.fence}")
        if fence is not None and fence < row.fence:
            return Result(Status.CONFLICT, row.version, f"{key} belongs to a newer holder, {row.fence}")
        place = (table, key)
        self._heard[place] = self.now()
        if row.lease_ms and not self._of(table).renew(self.now(), key):
            # Its end was found, and is not decided yet: it is taken back.
            self._ending.pop(place, None)
            self._lease(table, row)
        return Result(Status.DONE, row.version)

    def age_ms(self, table: str, key: str) -> float | None:
        """An upper bound on how long ago a row was last confirmed; None where no one did since the start."""
        heard = self._heard.get((table, key))
        return None if heard is None else self.now() - heard

    def suspects(self, table: str) -> list[str]:
        """The rows that are kept although their leases are over."""
        return self._of(table).suspects if table in self._leases else []

    @property
    def waiting(self) -> int:
        """How many writes wait for the disk."""
        return len(self._queue)

    def _at(self) -> int:
        return int(self.now() + self._base_ms)

    def _of(self, table: str) -> Leases:
        if table not in self._leases:
            self._leases[table] = Leases(self._options.guard)
        return self._leases[table]

    def _lease(self, table: str, row: Row, grace: float = 0.0) -> None:
        if row.lease_ms:
            guarded = self._options.guarded(table, row)
            self._of(table).grant(self.now(), row.key, row.lease_ms, guarded, grace)
        elif table in self._leases:
            self._leases[table].drop(row.key)

    # --- the disk -----------------------------------------------------------

    async def _write(self) -> None:
        while True:
            await self._work.wait()
            self._work.clear()
            while self._queue:
                batch = self._queue[: self._options.batch]
                del self._queue[: self._options.batch]
                await self._commit(batch)

    async def _commit(self, batch: list[tuple[Command, asyncio.Future[Result]]]) -> None:
        """Decide a batch, put it on the disk, then take it in, tell of it and answer."""
        stage = self.table.stage(self._at())
        answers = [(command, future, stage.run(command)) for command, future in batch]
        if stage.records:
            try:
                await self._put_down(stage.records)
            except LogError as error:
                self._failed(error, answers)
                return
            for table, change in self.table.absorb(stage.records):
                self._told(table, change)
        for command, future, result in answers:
            if result.done:
                self._settle(command, result)
            if not future.done():
                future.set_result(result)
        await self._compact()

    async def _put_down(self, records: list[Record]) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await loop.run_in_executor(self._thread, self._log.append, records)
        self.figures.commit_s += loop.time() - begun
        self.figures.commits += 1
        self.figures.writes += len(records)
        if self.figures.disk:
            log.info("disk is back")
            self.figures.disk = ""

    def _failed(
        self, error: LogError, answers: Iterable[tuple[Command, asyncio.Future[Result], Result]]
    ) -> None:
        self.figures.failures += 1
        if not self.figures.disk:
            log.error("disk", reason=error.told, action=error.action)
        self.figures.disk = error.told
        for _, future, _ in answers:
            if not future.done():
                future.set_exception(NotWritten(error.told))

    def _settle(self, command: Command, result: Result) -> None:
        """What a command that was carried out means for the lease of its row."""
        place = (command.table, command.key)
        row = self.table.get(*place)
        if row is None:
            self._heard.pop(place, None)
            if command.table in self._leases:
                self._leases[command.table].drop(command.key)
            return
        self._heard[place] = self.now()
        # Only its holder keeps a row alive: what an operator changes on it is no sign of life.
        if row.version == result.index and (isinstance(command, Put) or command.fence is not None):
            self._lease(command.table, row)
        elif command.table in self._leases:
            self._leases[command.table].mark(command.key, self._options.guarded(command.table, row))

    async def _compact(self) -> None:
        rows = sum(map(self.table.count, self.table.names))
        if not self._log.due(rows):
            return
        snapshot: Snapshot = self.table.dump()
        try:
            await asyncio.get_running_loop().run_in_executor(self._thread, self._log.compact, snapshot)
            self.figures.snapshots += 1
        except LogError as error:
            log.warning("no snapshot", reason=error.told, action=error.action)

    # --- leases ---------------------------------------------------------------

    async def _look(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            for table, leases in self._leases.items():
                verdict = leases.look(self.now())
                if verdict.suspected:
                    self.figures.suspected += len(verdict.suspected)
                    log.warning("suspect", table=table, keys=verdict.suspected)
                for key in verdict.expired:
                    self._expire(table, key)

    def _expire(self, table: str, key: str) -> None:
        row = self.table.get(table, key)
        if row is None or (table, key) in self._ending:
            return
        self._ending[table, key] = row.version
        asyncio.get_running_loop().create_task(self._end(table, row))

    async def _end(self, table: str, row: Row) -> None:
        """The end of a lease, as a write like any other; after a failure the lease runs once more."""
        place = (table, row.key)
        try:
            command = Delete(table=table, key=row.key, if_match=row.version)
            if place not in self._ending:
                return
            if (await self.submit(command)).done:
                self.figures.expired += 1
                log.info("expired", table=table, key=row.key)
        except NotWritten:
            if self.table.get(table, row.key) is row:
                self._lease(table, row)
        finally:
            self._ending.pop(place, None)
