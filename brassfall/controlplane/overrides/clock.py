"""The service's time for overrides: Unix milliseconds without the jumps of the wall clock. Pure code."""

from __future__ import annotations

MARK_INTERVAL_MS = 1000.0  # between two durable marks while the service runs


class SteadyClock:
    """Unix time that is read from the wall clock once, and then follows the monotonic clock.

    `mark_ms` is the newest time that an earlier incarnation made durable. Time never begins before it, so
    that a wall clock that was set back over a restart extends an override by at most the time since the
    mark. `marked_at_ms` is the monotonic time of the mark, if the machine was not restarted since (its boot
    id is the same): time then continues from the mark, and the wall clock is ignored.

    The first mark of an incarnation has to be durable before any answer: if it was killed before, the next
    one would depend on the wall clock again.
    """

    def __init__(
        self,
        wall_ms_at_start: float,
        monotonic_ms: float,
        mark_ms: float = 0.0,
        marked_at_ms: float | None = None,
    ) -> None:
        self._start = monotonic_ms
        same_boot = marked_at_ms is not None and marked_at_ms <= monotonic_ms and mark_ms > 0.0
        if same_boot and marked_at_ms is not None:
            self._base = mark_ms + monotonic_ms - marked_at_ms
        else:
            self._base = max(wall_ms_at_start, mark_ms)
        self.ahead_ms = self._base - wall_ms_at_start  # of the wall clock at the start, for the log
        self._marked = -MARK_INTERVAL_MS

    def now(self, monotonic_ms: float) -> int:
        """Return Unix time in integer milliseconds; it never goes back."""
        return int(self._base + max(0.0, monotonic_ms - self._start))

    def mark(self, monotonic_ms: float) -> int | None:
        """Return the mark to make durable together with this monotonic time; None while none is due."""
        passed = monotonic_ms - self._start
        if passed - self._marked < MARK_INTERVAL_MS:
            return None
        self._marked = passed
        return self.now(monotonic_ms)
