"""Writes on their way to the disk: who waits for them, and what their callers are told where it fails."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from brassfall.controlplane.store.commands import Command
from brassfall.controlplane.store.records import Record, Result
from brassfall.errors import UnavailableError

SETTLE_PAUSE_S, SETTLE_PAUSE_MOST_S = 0.05, 1.0  # between two tries to learn an outcome; doubled each time


class NotWrittenError(UnavailableError):
    """A write can't be taken just now; it has not happened."""

    action = "Send it again after the time told; where that goes on, look at the disk of the list service."


class OutcomeUnknownError(UnavailableError):
    """Whether a write has happened isn't known yet (503); repeat it with the same X-Request-Id."""

    action = (
        "It may have happened. Repeat it with the same X-Request-Id, which never carries it out twice, or "
        "read what is there when the disk of the list service is back."
    )
    slug = "outcome unknown"


@dataclass(slots=True)
class Write:
    """A command on its way, and the future of its result.

    `until_settled`: where the outcome is unknown, its caller waits for it without a bound."""

    command: Command
    future: asyncio.Future[Result]
    until_settled: bool

    def answer(self, result: Result) -> None:
        """Give the result to whoever still waits."""
        if not self.future.done():
            self.future.set_result(result)

    def fail(self, error: UnavailableError) -> None:
        """Give an error to whoever still waits."""
        if not self.future.done():
            self.future.set_exception(error)


@dataclass(slots=True)
class Decided:
    """A write and what was decided on it."""

    write: Write
    result: Result


@dataclass(slots=True)
class UnsettledBatch:
    """A batch whose commit failed and may be in the file all the same; `retry_at` is in the loop's time."""

    records: list[Record]
    decided: list[Decided]
    reason: str
    retry_at: float
    pause_s: float = SETTLE_PAUSE_S

    def retry_later(self, now_s: float) -> None:
        """Look for it once more after a pause, which grows."""
        self.retry_at = now_s + self.pause_s
        self.pause_s = min(SETTLE_PAUSE_MOST_S, 2.0 * self.pause_s)

    def result_of_repeat(self, command: Command) -> Result | None:
        """What was decided on the write that this one repeats; None where it repeats none of the batch."""
        if not command.request_id:
            return None
        for earlier in self.decided:
            if earlier.write.command.request_id == command.request_id:
                return earlier.result
        return None
