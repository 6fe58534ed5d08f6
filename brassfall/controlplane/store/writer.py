"""The writer of a store: commands are queued, decided in batches, committed together, and then applied.

If a commit fails and the file can't be read, nothing is written until it is known whether the batch is in the
file: then the batch is applied and answered, or refused for good.
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
from brassfall.controlplane.store.log import Loaded, Log, LogError, LogOutcomeUnknownError
from brassfall.controlplane.store.outcomes import (
    Decided,
    NotWrittenError,
    OutcomeUnknownError,
    UnsettledBatch,
    Write,
)
from brassfall.controlplane.store.records import Change, Record, Result
from brassfall.controlplane.store.state import State
from brassfall.controlplane.store.statistics import Statistics
from brassfall.logs import logger

COMPACT_RETRY_MS = 10_000.0  # after a snapshot that failed
UNKNOWN_AFTER_S = 1.0  # for which a caller waits before it is answered that the outcome is unknown
STOPPING = "the service is stopping"
Applied = Callable[[list[tuple[str, Change]], list[Decided]], None]

log = logger("table")


def monotonic_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0


class Writer:
    """Owns the state, its log, and the thread in which the log is written.

    `applied` is called with the changes of each durable batch and its decided writes, before these are
    answered. At most `batch` writes go into one commit, and at most `queue` wait.
    """

    def __init__(
        self, durable_log: Log, batch: int, queue: int, statistics: Statistics, applied: Applied
    ) -> None:
        self.state = State()
        self.statistics = statistics
        self._log = durable_log
        self._batch = batch
        self._queue_most = queue
        self._applied = applied
        self._queue: list[Write] = []
        self._unsettled: UnsettledBatch | None = None
        self._work = asyncio.Event()
        self._thread = ThreadPoolExecutor(1, "table-log")
        self._task: asyncio.Task[None] | None = None
        self._stopping = False
        self._compact_at_ms = 0.0  # no earlier snapshot, in monotonic ms
        self._base_ms = 0.0  # from monotonic ms to the time of the state

    async def load(self, history_length: int) -> Loaded:
        """Read the log and begin an incarnation; it may be called again after a failure.

        Raise `LogUnavailableError` or `LogOutcomeUnknownError` while the disk fails, another `LogError` if
        only an operator can help.
        """
        loop = asyncio.get_running_loop()
        loaded = await loop.run_in_executor(self._thread, self._log.load, history_length)
        state = loaded.state
        self._base_ms = state.time_ms - monotonic_ms()
        least = first_index(time.time(), state.index, secrets.randbits(RANDOM_BITS))
        incarnation = state.begin_incarnation(least, self._time_ms())
        try:
            await loop.run_in_executor(self._thread, self._log.append, [incarnation])
        except LogError:
            self._log.close()  # the next call reads the file anew
            raise
        state.apply([incarnation])
        self.state = state
        return loaded

    def start(self) -> None:
        """Start to write submitted commands."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def close(self) -> None:
        """Stop: the batch that is being written is answered, waiting writes are refused."""
        self._stopping = True
        self._work.set()
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
        """Queue a command; raise `NotWrittenError` if the queue is full. See `Store.submit`."""
        if self._stopping or len(self._queue) >= self._queue_most:
            self.statistics.refused_writes += 1
            raise NotWrittenError(STOPPING if self._stopping else "too many writes wait for the disk")
        future: asyncio.Future[Result] = asyncio.get_running_loop().create_future()
        self._queue.append(Write(command, future, until_settled))
        self._work.set()
        return future

    @property
    def queued_writes(self) -> int:
        """The number of writes that wait for the disk."""
        return len(self._queue)

    @property
    def outcome_unknown(self) -> bool:
        """True if it is not known whether a failed commit is in the file; nothing is written then."""
        return self._unsettled is not None

    def _time_ms(self) -> int:
        return int(monotonic_ms() + self._base_ms)

    async def _run(self) -> None:
        while not self._stopping:
            await self._wait_for_work()
            self._work.clear()
            if self._unsettled is not None:
                await self._settle(self._unsettled)
            while self._queue and not self._stopping:
                batch = self._queue[: self._batch]
                del self._queue[: self._batch]
                await self._write(batch)

    async def _wait_for_work(self) -> None:
        """Wait until a write is queued, or an unknown outcome is due to be settled."""
        if self._unsettled is None:
            await self._work.wait()
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._unsettled.retry_at):
                await self._work.wait()

    # --- one batch ------------------------------------------------------------

    async def _write(self, batch: list[Write]) -> None:
        """Decide a batch, commit it, then apply and answer it; or refuse it."""
        if self._unsettled is not None:
            await self._settle(self._unsettled)
        if self._unsettled is not None:
            self._refuse_until_settled(batch, self._unsettled)
            return
        transaction = self.state.begin(self._time_ms())
        decided = [Decided(write, transaction.run(write.command)) for write in batch]
        if transaction.records and not await self._commit(transaction.records, decided):
            return
        self._apply(transaction.records, decided)
        await self._compact()

    async def _commit(self, records: list[Record], decided: list[Decided]) -> bool:
        """Make records durable; on failure refuse their writes, or let them wait for the outcome."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        try:
            await loop.run_in_executor(self._thread, self._log.append, records)
        except LogOutcomeUnknownError as error:
            self._disk_failed(error)
            self._wait_for_outcome(UnsettledBatch(records, decided, error.summary, 0.0))
            return False
        except LogError as error:
            self._disk_failed(error)
            for one in decided:
                self._refuse(one.write, error.summary)
            return False
        self.statistics.commit_s += loop.time() - begun
        self._disk_works()
        return True

    def _apply(self, records: list[Record], decided: list[Decided]) -> None:
        """Apply durable records, notify of their changes, and answer their writes."""
        if records:
            self.statistics.commits += 1
            self.statistics.writes += len(records)
        self._applied(self.state.apply(records), decided)
        for one in decided:
            one.write.answer(one.result)

    def _refuse(self, write: Write, reason: str) -> None:
        """Refuse a write; a repeat of an earlier one gets the earlier answer."""
        request_id = write.command.request_id
        first = self.state.answer(request_id) if request_id else None
        if first is not None:
            write.answer(first)
        else:
            write.fail(NotWrittenError(reason))

    def _disk_failed(self, error: LogError) -> None:
        self.statistics.failed_commits += 1
        if not self.statistics.disk_error:
            log.error("disk", reason=error.summary, action=error.action)
        self.statistics.disk_error = error.summary

    def _disk_works(self) -> None:
        if self.statistics.disk_error:
            log.info("disk is back")
            self.statistics.disk_error = ""

    async def _compact(self) -> None:
        if not self._log.due(self.state.row_count) or monotonic_ms() < self._compact_at_ms:
            return
        snapshot = self.state.snapshot()
        try:
            await asyncio.get_running_loop().run_in_executor(self._thread, self._log.compact, snapshot)
        except LogError as error:
            self._compact_at_ms = monotonic_ms() + COMPACT_RETRY_MS
            log.warning("no snapshot", reason=error.summary, action=error.action)
        else:
            self.statistics.snapshots += 1

    # --- outcomes that are unknown --------------------------------------------

    def _wait_for_outcome(self, batch: UnsettledBatch) -> None:
        log.error(
            "outcome unknown",
            reason=batch.reason,
            records=len(batch.records),
            action=LogOutcomeUnknownError.action,
        )
        self._unsettled = batch
        batch.retry_later(asyncio.get_running_loop().time())
        for one in batch.decided:
            self._bound(one.write)

    def _bound(self, write: Write) -> None:
        """Answer a caller with a bounded wait that the outcome is unknown, once that has passed."""
        if not write.until_settled:
            error = OutcomeUnknownError("the write may have happened", self.statistics.disk_error)
            asyncio.get_running_loop().call_later(UNKNOWN_AFTER_S, write.fail, error)

    def _refuse_until_settled(self, batch: list[Write], unsettled: UnsettledBatch) -> None:
        """Refuse a batch while an outcome is unknown; a repeat of one of its writes waits with it."""
        for write in batch:
            result = unsettled.result_of_repeat(write.command)
            if result is None:
                self._refuse(write, unsettled.reason)
            else:
                unsettled.decided.append(Decided(write, result))
                self._bound(write)

    async def _settle(self, batch: UnsettledBatch) -> None:
        """Find out, if it is time, whether a batch is in the file; then apply or refuse it."""
        loop = asyncio.get_running_loop()
        if loop.time() < batch.retry_at:
            return
        try:
            there = await loop.run_in_executor(self._thread, self._log.settle)
        except LogError as error:
            batch.reason = self.statistics.disk_error = error.summary
            batch.retry_later(loop.time())
            return
        self._unsettled = None
        self._disk_works()
        log.info("outcome known", written=there, records=len(batch.records))
        if there:
            self._apply(batch.records, batch.decided)
            return
        for one in batch.decided:
            self._refuse(one.write, batch.reason)
