"""A table that lasts: commands are decided, put on the disk together, and only then answered and told.

Owns the leases: their lengths last with the rows, the time they have left does not, and is counted
anew from each start.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from collections.abc import Callable
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
from brassfall.controlplane.store.log import Log, LogError, LogOutcomeUnknownError
from brassfall.errors import Unavailable
from brassfall.logs import logger

LOOK_S = 0.1
SETTLE_LEAST_S, SETTLE_MOST_S = 0.05, 1.0  # between two tries to learn an outcome; doubled each time
UNKNOWN_AFTER_S = 1.0  # so long a caller waits for an outcome before it is told that it is unknown
COMPACT_AGAIN_S = 10.0  # after a snapshot that failed
STOPPING = "the service is stopping"
Told = Callable[[str, Change], None]

log = logger("table")


class NotWritten(Unavailable):
    """A write can't be taken just now; it has not happened."""

    action = "Send it again after the time told; where that goes on, look at the disk of the list service."


class OutcomeUnknownError(Unavailable):
    """Whether a write has happened isn't known yet (503); repeat it with the same X-Request-Id."""

    action = (
        "It may have happened. Repeat it with the same X-Request-Id, which never carries it out twice, or "
        "read what is there when the disk of the list service is back."
    )
    slug = "outcome unknown"


@dataclass(slots=True)
class Write:
    """A command on its way, and who waits for its result."""

    command: Command
    future: asyncio.Future[Result]
    until_settled: bool


@dataclass(slots=True)
class Unsettled:
    """A batch whose commit failed, and may be in the file all the same; `again_at` in loop time."""

    records: list[Record]
    decided: list[tuple[Write, Result]]
    reason: str
    pause_s: float = SETTLE_LEAST_S
    again_at: float = 0.0

    def same(self, write: Write) -> Result | None:
        """What was decided on the write that this one repeats."""
        wanted = write.command.request_id
        for earlier, result in self.decided:
            if wanted and earlier.command.request_id == wanted:
                return result
        return None


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
        self._queue: list[Write] = []
        self._unsettled: Unsettled | None = None
        self._stopping = False
        self._compact_at = 0.0  # no snapshot before, in monotonic ms
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
        """Read the log and begin a life.

        `LogUnavailableError` or `LogOutcomeUnknownError` while the disk fails: it may be called again, and
        then reads all anew. Another `LogError` where only an operator can help."""
        loop = asyncio.get_running_loop()
        loaded = await loop.run_in_executor(self._thread, self._log.load, self._options.ring)
        self.table = loaded.table
        self.fresh = not any(map(self.table.count, self.table.names))
        self._base_ms = self.table.at - self.now()
        floor = life_floor(time.time(), self.table.index, secrets.randbits(30))
        life = self.table.life(floor, self._at())
        try:
            await loop.run_in_executor(self._thread, self._log.append, [life])
        except LogError:
            self._log.close()  # what is in the file is read anew by the next try
            raise
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
        """Stop: the batch that is being written is answered, writes that wait are refused."""
        self._stopping = True
        self._work.set()
        if self._tasks:
            writer, looker = self._tasks
            looker.cancel()
            await asyncio.gather(writer, looker, return_exceptions=True)
        for write in self._queue:
            self._refuse(write, STOPPING)
        self._queue = []
        if self._unsettled is not None:
            for write, _ in self._unsettled.decided:
                _fail(write, OutcomeUnknownError(STOPPING, self._unsettled.reason))
        self._thread.shutdown()
        self._log.close()

    def submit(self, command: Command, *, until_settled: bool = True) -> asyncio.Future[Result]:
        """Have a command carried out; `NotWritten` where the disk or the queue is full.

        The answer comes when what was decided is durable. A caller that no longer waits for it does
        not undo it. Where a commit fails and can't be looked for in the file, the answer waits until the
        disk is back; without `until_settled` it is `OutcomeUnknownError` after a second."""
        if self._stopping or len(self._queue) >= self._options.queue:
            self.figures.refused += 1
            raise NotWritten(STOPPING if self._stopping else "too many writes wait for the disk")
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._queue.append(Write(command, future, until_settled))
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
    def outcome_unknown(self) -> bool:
        """Whether a commit failed and isn't known yet to be in the file or not; nothing is written then."""
        return self._unsettled is not None

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
        while not self._stopping:
            await self._wait_for_work()
            self._work.clear()
            if self._unsettled is not None:
                await self._learn_outcome()
            while self._queue and not self._stopping:
                batch = self._queue[: self._options.batch]
                del self._queue[: self._options.batch]
                await self._commit(batch)

    async def _wait_for_work(self) -> None:
        """Until something is to be written, or an outcome is to be asked for once more."""
        if self._unsettled is None:
            await self._work.wait()
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._unsettled.again_at):
                await self._work.wait()

    async def _commit(self, batch: list[Write]) -> None:
        """Decide a batch, put it on the disk, then take it in, tell of it and answer."""
        if self._unsettled is not None:
            await self._learn_outcome()
        if self._unsettled is not None:
            self._put_off(batch, self._unsettled)
            return
        stage = self.table.stage(self._at())
        decided = [(write, stage.run(write.command)) for write in batch]
        if stage.records:
            try:
                await self._put_down(stage.records)
            except LogOutcomeUnknownError as error:
                self._outcome_unknown(error, Unsettled(stage.records, decided, error.told))
                return
            except LogError as error:
                self._failed(error)
                for write, _ in decided:
                    self._refuse(write, error.told)
                return
        self._take_in(stage.records, decided)
        await self._compact()

    def _take_in(self, records: list[Record], decided: list[tuple[Write, Result]]) -> None:
        """Records are durable: absorb them, tell of them, and answer their writers."""
        for table, change in self.table.absorb(records):
            self._told(table, change)
        for write, result in decided:
            if result.done:
                self._settle(write.command, result)
            if not write.future.done():
                write.future.set_result(result)

    async def _put_down(self, records: list[Record]) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        await loop.run_in_executor(self._thread, self._log.append, records)
        self.figures.commit_s += loop.time() - begun
        self.figures.commits += 1
        self.figures.writes += len(records)
        self._disk_is_back()

    def _disk_is_back(self) -> None:
        if self.figures.disk:
            log.info("disk is back")
            self.figures.disk = ""

    def _failed(self, error: LogError) -> None:
        self.figures.failures += 1
        if not self.figures.disk:
            log.error("disk", reason=error.told, action=error.action)
        self.figures.disk = error.told

    # --- outcomes that are unknown --------------------------------------------

    def _outcome_unknown(self, error: LogError, unsettled: Unsettled) -> None:
        self._failed(error)
        log.error("outcome unknown", reason=error.told, action=error.action, records=len(unsettled.records))
        self._unsettled = unsettled
        self._ask_again_later(unsettled)
        for write, _ in unsettled.decided:
            self._bound(write)

    def _bound(self, write: Write) -> None:
        """A caller that does not wait until the outcome is known is told so after a while."""
        if not write.until_settled:
            error = OutcomeUnknownError("the write may have happened", self.figures.disk)
            asyncio.get_running_loop().call_later(UNKNOWN_AFTER_S, _fail, write, error)

    @staticmethod
    def _ask_again_later(unsettled: Unsettled) -> None:
        unsettled.again_at = asyncio.get_running_loop().time() + unsettled.pause_s
        unsettled.pause_s = min(SETTLE_MOST_S, 2.0 * unsettled.pause_s)

    def _put_off(self, batch: list[Write], unsettled: Unsettled) -> None:
        """Nothing is written while an outcome is unknown. Who repeats a write of that batch waits with it."""
        for write in batch:
            result = unsettled.same(write)
            if result is not None:
                unsettled.decided.append((write, result))
                self._bound(write)
            else:
                self._refuse(write, unsettled.reason)

    def _refuse(self, write: Write, reason: str) -> None:
        """Nothing is written; but who repeats what was done before gets that answer, also now."""
        first = self.table.answer(write.command.request_id) if write.command.request_id else None
        if first is None:
            _fail(write, NotWritten(reason))
        elif not write.future.done():
            write.future.set_result(first)

    async def _learn_outcome(self) -> None:
        """Ask the file, not too often, whether the batch is in it; then it is taken in, or refused."""
        loop = asyncio.get_running_loop()
        unsettled = self._unsettled
        if unsettled is None or loop.time() < unsettled.again_at:
            return
        try:
            there = await loop.run_in_executor(self._thread, self._log.settle)
        except LogError as error:
            unsettled.reason = self.figures.disk = error.told
            self._ask_again_later(unsettled)
            return
        self._unsettled = None
        self._disk_is_back()
        log.info("outcome known", written=there, records=len(unsettled.records))
        if there:
            self.figures.commits += 1
            self.figures.writes += len(unsettled.records)
            self._take_in(unsettled.records, unsettled.decided)
            return
        for write, _ in unsettled.decided:
            self._refuse(write, unsettled.reason)

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
        if not self._log.due(rows) or self.now() < self._compact_at:
            return
        snapshot: Snapshot = self.table.dump()
        try:
            await asyncio.get_running_loop().run_in_executor(self._thread, self._log.compact, snapshot)
            self.figures.snapshots += 1
        except LogError as error:
            self._compact_at = self.now() + COMPACT_AGAIN_S * 1000.0
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
        except Unavailable:
            if self.table.get(table, row.key) is row:
                self._lease(table, row)
        finally:
            self._ending.pop(place, None)


def _fail(write: Write, error: Unavailable) -> None:
    if not write.future.done():
        write.future.set_exception(error)
