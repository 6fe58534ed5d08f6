"""The one clock of a sidecar."""

from __future__ import annotations

import asyncio
import time

# The longest time that this process may be held up between reading its clock and writing.
MAX_PROCESS_PAUSE_MS = 150.0


class Clock:
    """Monotonic milliseconds plus one fixed offset to Unix time, so that `since_ms` compares.

    The wall clock is read once, at the start: where it is stepped later, no span changes. What a wrong one
    means for the starts of servers is bounded in `start_times`.

    `offset_ms` is what is added to the loop's time; by default, what makes Unix time of it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, offset_ms: float | None = None) -> None:
        self._loop = loop
        self.offset_ms = time.time() * 1000.0 - loop.time() * 1000.0 if offset_ms is None else offset_ms

    def now(self) -> float:
        """Return the time in milliseconds; it never steps back."""
        return self._loop.time() * 1000.0 + self.offset_ms

    def to_loop_time_s(self, at_ms: float) -> float:
        """Return the loop's own time, in seconds, for a time of this clock."""
        return (at_ms - self.offset_ms) / 1000.0

    def from_loop_time_s(self, at_s: float) -> float:
        """Return this clock's time for a time of the loop in seconds."""
        return at_s * 1000.0 + self.offset_ms
