"""The writer of a store: commands are queued, decided in batches, committed together, and then applied.

If a commit fails and the file can't be read, nothing is written until it is known whether the batch is in the
file. Then the batch is applied and answered, or else refused.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.incarnations import RANDOM_BITS, first_index
from brassfall.controlplane.store.log import LoadedLog, Log, LogError, LogOutcomeUnknownError
from brassfall.controlplane.store.outcomes import (
    DecidedWrite,
    NotWrittenError,
    OutcomeUnknownError,
    UnsettledBatch,
    Write,
)
from brassfall.controlplane.store.records import Change, Record, Result
from brassfall.controlplane.store.state import State
from brassfall.controlplane.store.statistics import Statistics
from brassfall.logs import logger

COMPACT_RETRY_MS = 10_000.0  # Time from a snapshot that failed to the next attempt, in ms
# Time after which a caller is told that the outcome of its write is unknown, in seconds.
UNKNOWN_AFTER_S = 1.0
STOPPING = "the service is stopping"
Applied = Callable[[list[tuple[str, Change]], list[DecidedWrite]], None]

log = logger("table")


def monotonic_ms() -> float:
    """Return the monotonic time of this process in ms."""
    return time.monotonic() * 1000.0


class Writer:
    """The owner of the state, of its log, and of the thread that writes the log.

    For each durable batch, `applied` is called with the changes and the decided writes, before these are
    answered. One commit has at most `batch` writes, and at most `queue` writes wait.
    """

    def __init__(
        self, durable_log: Log, batch: int, queue: int, statistics: Statistics, applied: Applied
    ) -> None:
        self.state = State()
        self.statistics = statistics
        self._log = durable_log
        self._max_batch = batch
        self._max_queue = queue
        self._applied = applied
        self._queue: list[Write] = []
        self._unsettled: UnsettledBatch | None = None
        self._work_queued = asyncio.Event()
        self._thread = ThreadPoolExecutor(1, "table-log")
        self._task: asyncio.Task[None] | None = None
        self._stopping = False
        self._compact_at_ms = 0.0  # Earliest monotonic time of the next snapshot, in ms
        self._time_offset_ms = 0.0  # Time of the state minus the monotonic time, in ms

    async def load(self, history_length: int) -> LoadedLog:
        """Read the log and begin an incarnation; after a failure, `load` may be called again.

        Raise `LogUnavailableError` or `LogOutcomeUnknownError` while the disk fails, and another `LogError`
        if only an operator can help.
        """
        loop = asyncio.get_running_loop()
        loaded = await loop.run_in_executor(self._thread, self._log.load, history_length)
        state = loaded.state
        self._time_offset_ms = state.time_ms - monotonic_ms()
        least = first_index(time.time(), state.index, secrets.randbits(RANDOM_BITS))
        incarnation = state.begin_incarnation(least, self._time_ms())
        try:
            await loop.run_in_executor(self._thread, self._log.append, [incarnation])
        except LogError:
            self._log.close()  # The next call of `load` reads the whole file again
            raise
        state.apply([incarnation])
        self.state = state
        return loaded

    def start(self) -> None:
        """Start the task that writes submitted commands."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop the writer: the batch that is being written is answered, waiting writes are refused."""
        self._stopping = True
        self._work_queued.set()
        if self._task is not None:
            await asyncio.gather(self._task, return_exceptions=True)
        for write in self._queue:
            self._refuse(write, STOPPING)
        self._queue = []
        if self._unsettled is not None:
            for decided in self._unsettled.decided:
                decided.write.fail(OutcomeUnknownError(STOPPING, self._unsettled.reason))
        self._thread.shutdown()
        self._log.close()

    def submit(self, command: Command, *, until_settled: bool) -> asyncio.Future[Result]:
        """Queue a command; return the future of its result as `Store.submit` describes.

        Raise `NotWrittenError` if the queue is full or the writer stops.
        """
        if self._stopping or len(self._queue) >= self._max_queue:
            self.statistics.refused_writes += 1
            raise NotWrittenError(STOPPING if self._stopping else "too many writes wait for the disk")
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._queue.append(Write(command, future, until_settled))
        self._work_queued.set()
        return future

    @property
    def queued_writes(self) -> int:
        """The number of writes that wait for a commit."""
        return len(self._queue)

    @property
    def outcome_unknown(self) -> bool:
        """Whether the outcome of a failed commit is unknown; while it is, nothing is written."""
        return self._unsettled is not None

    def _time_ms(self) -> int:
        return int(monotonic_ms() + self._time_offset_ms)

    async def _run(self) -> None:
        while not self._stopping:
            await self._wait_for_work()
            self._work_queued.clear()
            if self._unsettled is not None:
                await self._settle(self._unsettled)
            while self._queue and not self._stopping:
                batch = self._queue[: self._max_batch]
                del self._queue[: self._max_batch]
                await self._write(batch)

    async def _wait_for_work(self) -> None:
        """Wait until a write is queued, or until it is time to find out an unknown outcome."""
        if self._unsettled is None:
            await self._work_queued.wait()
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._unsettled.retry_at):
                await self._work_queued.wait()

    # --- one batch ------------------------------------------------------------

    async def _write(self, batch: list[Write]) -> None:
        """Decide a batch, commit it, then apply and answer it; on failure refuse it."""
        if self._unsettled is not None:
            await self._settle(self._unsettled)
        if self._unsettled is not None:
            self._refuse_until_settled(batch, self._unsettled)
            return
        transaction = self.state.begin(self._time_ms())
        decided = [DecidedWrite(write, transaction.run(write.command)) for write in batch]
        if transaction.records and not await self._commit(transaction.records, decided):
            return
        self._apply(transaction.records, decided)
        await self._compact()

    async def _commit(self, records: list[Record], decided: list[DecidedWrite]) -> bool:
        """Make records durable and return whether that succeeded.

        On failure their writes are refused, or wait for the outcome if it is unknown.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            await loop.run_in_executor(self._thread, self._log.append, records)
        except LogOutcomeUnknownError as error:
            self._disk_failed(error)
            self._wait_for_outcome(UnsettledBatch(records, decided, error.summary, 0.0))
            return False
        except LogError as error:
            self._disk_failed(error)
            for decided_write in decided:
                self._refuse(decided_write.write, error.summary)
            return False
        self.statistics.commit_s += loop.time() - started_s
        self._disk_works()
        return True

    def _apply(self, records: list[Record], decided: list[DecidedWrite]) -> None:
        """Apply durable records, pass on their changes, and answer their writes."""
        if records:
            self.statistics.commits += 1
            self.statistics.writes += len(records)
        self._applied(self.state.apply(records), decided)
        for decided_write in decided:
            decided_write.write.answer(decided_write.result)

    def _refuse(self, write: Write, reason: str) -> None:
        """Refuse a write; but if it repeats an earlier request id, give it the earlier answer."""
        request_id = write.command.request_id
        first = self.state.remembered_answer(request_id) if request_id else None
        if first is not None:
            write.answer(first)
        else:
            write.fail(NotWrittenError(reason))

    def _disk_failed(self, error: LogError) -> None:
        self.statistics.failed_commits += 1
        if not self.statistics.disk_error:
            log.error("commits to disk fail, writes get 503", reason=error.summary, action=error.action)
        self.statistics.disk_error = error.summary

    def _disk_works(self) -> None:
        if self.statistics.disk_error:
            log.info("commits to disk succeed again")
            self.statistics.disk_error = ""

    async def _compact(self) -> None:
        """Store a snapshot, if one is due."""
        if not self._log.snapshot_due(self.state.row_count) or monotonic_ms() < self._compact_at_ms:
            return
        snapshot = self.state.snapshot()
        try:
            await asyncio.get_running_loop().run_in_executor(self._thread, self._log.compact, snapshot)
        except LogError as error:
            self._compact_at_ms = monotonic_ms() + COMPACT_RETRY_MS
            log.warning(
                "snapshot of the tables failed, the log file grows", reason=error.summary, action=error.action
            )
        else:
            self.statistics.snapshots += 1

    # --- outcomes that are unknown --------------------------------------------

    def _wait_for_outcome(self, batch: UnsettledBatch) -> None:
        log.error(
            "commit failed, unknown whether its records are in the log file",
            reason=batch.reason,
            records=len(batch.records),
            action=LogOutcomeUnknownError.action,
        )
        self._unsettled = batch
        batch.retry_later(asyncio.get_running_loop().time())
        for decided_write in batch.decided:
            self._limit_wait(decided_write.write)

    def _limit_wait(self, write: Write) -> None:
        """Tell the caller of a write after `UNKNOWN_AFTER_S` that its outcome is unknown.

        A caller of a write with `until_settled` waits until the outcome is known.
        """
        if not write.until_settled:
            error = OutcomeUnknownError("the write may have happened", self.statistics.disk_error)
            asyncio.get_running_loop().call_later(UNKNOWN_AFTER_S, write.fail, error)

    def _refuse_until_settled(self, batch: list[Write], unsettled: UnsettledBatch) -> None:
        """Refuse a batch while the outcome of `unsettled` is unknown; repeats of its writes wait with it."""
        for write in batch:
            result = unsettled.result_of_repeat(write.command)
            if result is None:
                self._refuse(write, unsettled.reason)
            else:
                unsettled.decided.append(DecidedWrite(write, result))
                self._limit_wait(write)

    async def _settle(self, batch: UnsettledBatch) -> None:
        """Find out whether a batch is in the file, then apply or refuse it; do nothing before `retry_at`."""
        loop = asyncio.get_running_loop()
        if loop.time() < batch.retry_at:
            return
        try:
            written = await loop.run_in_executor(self._thread, self._log.settle)
        except LogError as error:
            batch.reason = self.statistics.disk_error = error.summary
            batch.retry_later(loop.time())
            return
        self._unsettled = None
        self._disk_works()
        log.info("outcome of the failed commit known", written=written, records=len(batch.records))
        if written:
            self._apply(batch.records, batch.decided)
            return
        for decided_write in batch.decided:
            self._refuse(decided_write.write, batch.reason)
