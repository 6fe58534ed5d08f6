"""Writes on their way to the disk, their futures, and the errors of a disk that fails."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.records import Record, Result
from brassfall.errors import UnavailableError

SETTLE_PAUSE_S, MAX_SETTLE_PAUSE_S = 0.05, 1.0  # backoff of settling an outcome


class NotWrittenError(UnavailableError):
    """A write can't be made for now; it has not happened."""

    action = "Send it again after Retry-After; if it fails again, look at the disk of the list service."


class OutcomeUnknownError(UnavailableError):
    """It is not known whether a write has happened (503)."""

    action = (
        "It may have happened. Repeat it with the same X-Request-Id, which never carries it out twice, or "
        "read what is there when the disk of the list service is back."
    )
    slug = "outcome unknown"


@dataclass(slots=True)
class Write:
    """A command on its way, and the future of its result.

    With `until_settled` its caller waits for an unknown outcome without a bound.
    """

    command: Command
    future: asyncio.Future[Result]
    until_settled: bool

    def answer(self, result: Result) -> None:
        """Set the result, unless the caller was answered or has left."""
        if not self.future.done():
            self.future.set_result(result)

    def fail(self, error: UnavailableError) -> None:
        """Set an error, unless the caller was answered or has left."""
        if not self.future.done():
            self.future.set_exception(error)


@dataclass(slots=True)
class Decided:
    """A write with its result, once it is decided."""

    write: Write
    result: Result


@dataclass(slots=True)
class UnsettledBatch:
    """A batch whose commit failed and may be in the file nevertheless; `retry_at` is in the loop's time."""

    records: list[Record]
    decided: list[Decided]
    reason: str
    retry_at: float
    pause_s: float = SETTLE_PAUSE_S

    def retry_later(self, now_s: float) -> None:
        """Schedule the next try after a pause, which grows."""
        self.retry_at = now_s + self.pause_s
        self.pause_s = min(MAX_SETTLE_PAUSE_S, 2.0 * self.pause_s)

    def result_of_repeat(self, command: Command) -> Result | None:
        """Return the result of the write that this one repeats; None if it repeats none of the batch."""
        if not command.request_id:
            return None
        for earlier in self.decided:
            if earlier.write.command.request_id == command.request_id:
                return earlier.result
        return None
