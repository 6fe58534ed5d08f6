"""The clock of the service for overrides: Unix time in ms, without the jumps of the wall clock. Pure code."""

from __future__ import annotations

MARK_INTERVAL_MS = 1000.0  # Time between two durable marks while the service runs, in ms


class SteadyClock:
    """Unix time that is read from the wall clock once, and then follows the monotonic clock.

    `mark_ms` is the newest time that an earlier incarnation of the service made durable. The clock never
    starts before it: if the wall clock is set back during a restart, an override is extended by at most the
    time since the mark. `marked_at_ms` is the monotonic time at which the mark was made, or None if the
    machine has booted since (its boot id differs). With it the clock continues from the mark, and the wall
    clock is ignored.

    The first mark of an incarnation has to be durable before the service answers anything. Without it the
    clock would start from the wall clock again after a kill.
    """

    def __init__(
        self,
        wall_ms_at_start: float,
        monotonic_ms: float,
        mark_ms: float = 0.0,
        marked_at_ms: float | None = None,
    ) -> None:
        self._start_ms = monotonic_ms
        same_boot = marked_at_ms is not None and marked_at_ms <= monotonic_ms and mark_ms > 0.0
        if same_boot and marked_at_ms is not None:
            self._unix_start_ms = mark_ms + monotonic_ms - marked_at_ms
        else:
            self._unix_start_ms = max(wall_ms_at_start, mark_ms)
        # Time by which this clock is ahead of the wall clock at the start, in ms, for the log.
        self.ahead_ms = self._unix_start_ms - wall_ms_at_start
        self._last_mark_ms = -MARK_INTERVAL_MS  # Time from the start of the clock to its last mark, in ms

    def now(self, monotonic_ms: float) -> int:
        """Return Unix time in integer milliseconds; it never goes back."""
        return int(self._unix_start_ms + max(0.0, monotonic_ms - self._start_ms))

    def mark(self, monotonic_ms: float) -> int | None:
        """Return the time to make durable together with `monotonic_ms`; None while no mark is due."""
        passed_ms = monotonic_ms - self._start_ms
        if passed_ms - self._last_mark_ms < MARK_INTERVAL_MS:
            return None
        self._last_mark_ms = passed_ms
        return self.now(monotonic_ms)
