"""The service's time for overrides: Unix milliseconds that no jump of the wall clock moves. Pure code."""

from __future__ import annotations

MARK_EVERY_MS = 1000.0  # how often the mark is to be made durable while the service runs


class SteadyClock:
    """Unix time that is read from the wall clock once, and from then on runs by the monotonic clock.

    `mark_ms` is the newest time that an earlier incarnation made durable: time never begins before it, so
    that a wall clock that went back over a restart prolongs an override by no more than the time since the
    mark. `marked_at_ms` is what the monotonic clock said then, where the machine has not been started
    since (its boot id is the same): time then goes on from the mark, whatever the wall clock says.

    The first mark of an incarnation has to be durable before it answers anything: were it killed before, the
    next one would have to believe the wall clock again.
    """

    def __init__(
        self,
        wall_ms_at_start: float,
        monotonic_ms: float,
        mark_ms: float = 0.0,
        marked_at_ms: float | None = None,
    ) -> None:
        self._start = monotonic_ms
        went_on = marked_at_ms is not None and marked_at_ms <= monotonic_ms and mark_ms > 0.0
        if went_on and marked_at_ms is not None:
            self._base = mark_ms + monotonic_ms - marked_at_ms
        else:
            self._base = max(wall_ms_at_start, mark_ms)
        self.ahead_ms = self._base - wall_ms_at_start  # of the wall clock at the start, for people
        self._marked = -MARK_EVERY_MS

    def now(self, monotonic_ms: float) -> int:
        """Unix time in whole milliseconds; it never goes back."""
        return int(self._base + max(0.0, monotonic_ms - self._start))

    def mark(self, monotonic_ms: float) -> int | None:
        """The mark to make durable now, together with this monotonic time; None while none is due."""
        passed = monotonic_ms - self._start
        if passed - self._marked < MARK_EVERY_MS:
            return None
        self._marked = passed
        return self.now(monotonic_ms)
