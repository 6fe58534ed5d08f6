"""The clock that all parts of a sidecar share."""

from __future__ import annotations

import asyncio
import time

# Longest pause of this process, in milliseconds, that the sidecar allows for between reading its clock and
# writing to a socket.
MAX_PROCESS_PAUSE_MS = 150.0


class Clock:
    """A monotonic clock in milliseconds of Unix time, for comparisons with the `since_ms` of servers.

    The clock adds a fixed offset to the event loop's monotonic time. The wall clock is read only once, at the
    start: if it is stepped later, measured time spans don't change. `start_times` bounds the effect that a
    wrong wall clock has on the start times of servers.

    `offset_ms` is the offset from the event loop's time, in milliseconds; the default gives Unix time.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, offset_ms: float | None = None) -> None:
        self._loop = loop
        self.offset_ms = time.time() * 1000.0 - loop.time() * 1000.0 if offset_ms is None else offset_ms

    def now(self) -> float:
        """Return the current time in milliseconds; it never decreases."""
        return self._loop.time() * 1000.0 + self.offset_ms

    def to_loop_time_s(self, at_ms: float) -> float:
        """Convert a time of this clock, in milliseconds, to the event loop's time in seconds."""
        return (at_ms - self.offset_ms) / 1000.0

    def from_loop_time_s(self, at_s: float) -> float:
        """Convert a time of the event loop, in seconds, to the time of this clock in milliseconds."""
        return at_s * 1000.0 + self.offset_ms
