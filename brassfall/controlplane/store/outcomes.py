"""Writes that wait for the disk, the futures of their results, and the errors of a failing disk."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.records import Record, Result
from brassfall.errors import UnavailableError

# First and longest pause between two attempts to find out the outcome of a failed commit, in seconds.
SETTLE_PAUSE_S, MAX_SETTLE_PAUSE_S = 0.05, 1.0


class NotWrittenError(UnavailableError):
    """A write that was not made because of a failing disk, a full queue or a stop of the service."""

    action = "Send it again after Retry-After; if it fails again, look at the disk of the list service."


class OutcomeUnknownError(UnavailableError):
    """A write of which it is not known whether it was made (status 503)."""

    action = (
        "It may have happened. Repeat it with the same X-Request-Id, which never carries it out twice, or "
        "read what is there when the disk of the list service is back."
    )
    slug = "outcome unknown"


@dataclass(slots=True)
class Write:
    """A command that is queued or being written, and the future of its result.

    With `until_settled` the caller waits for an unknown outcome without a time limit.
    """

    command: Command
    future: asyncio.Future[Result]
    until_settled: bool

    def answer(self, result: Result) -> None:
        """Set the result of the future, unless the caller was answered before or has cancelled it."""
        if not self.future.done():
            self.future.set_result(result)

    def fail(self, error: UnavailableError) -> None:
        """Set the error of the future, unless the caller was answered before or has cancelled it."""
        if not self.future.done():
            self.future.set_exception(error)


@dataclass(slots=True)
class DecidedWrite:
    """A write with the result that a transaction has decided; the result need not be durable yet."""

    write: Write
    result: Result


@dataclass(slots=True)
class UnsettledBatch:
    """A batch whose commit failed, but whose records may be in the file; `retry_at` is in the loop's time."""

    records: list[Record]
    decided: list[DecidedWrite]
    reason: str
    retry_at: float
    pause_s: float = SETTLE_PAUSE_S

    def retry_later(self, now_s: float) -> None:
        """Schedule the next attempt to find out the outcome after a pause, which doubles each time."""
        self.retry_at = now_s + self.pause_s
        self.pause_s = min(MAX_SETTLE_PAUSE_S, 2.0 * self.pause_s)

    def result_of_repeat(self, command: Command) -> Result | None:
        """Return the result of the write in this batch that `command` repeats; None if there is none."""
        if not command.request_id:
            return None
        for earlier in self.decided:
            if earlier.write.command.request_id == command.request_id:
                return earlier.result
        return None
