"""The upper bound on the age of the current endpoint list, and the ages that are logged."""

from __future__ import annotations

# Interval of the heartbeats of a watch, in seconds: the k-th heartbeat is sent at least k intervals after the
# call.
HEARTBEAT_S = 2.0
CLOCK_RATE = 0.99  # Lowest rate of another machine's clock relative to the clock of this machine
LOGGED_AGES_S = (5.0, 30.0, 300.0)  # Ages in seconds; a log line is written when the list becomes older
FRESH_AGAIN = 0.0  # Result of `passed_age_to_log` when the list is no longer older than any logged age


class ListAge:
    """Upper bound on the age of the list, which is the time since the list was last known to be the newest.

    Times are passed in, in seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        # Time at which the list was last known to be the newest; None before the first confirmation.
        self._confirmed_at: float | None = None
        self._ages_passed = 0  # Number of logged ages that the list was older than at the last check

    def record_confirmation(
        self, called_at: float, received_at: float, heartbeats: int, stated_age: float = 0.0
    ) -> None:
        """Record a list or a heartbeat, whose sender had no newer list when it sent that.

        The time of sending is not known, because a line may take any time to arrive. A list was sent at the
        earliest at the call, which was made at `called_at`. The k-th heartbeat was sent at least k heartbeat
        intervals later. The line arrived at `received_at`. An aggregator that states an age last had contact
        with the list service at most `stated_age` seconds before it sent the line.
        """
        confirmed_at = min(received_at, called_at + HEARTBEAT_S * CLOCK_RATE * heartbeats) - stated_age
        self._confirmed_at = (
            confirmed_at if self._confirmed_at is None else max(self._confirmed_at, confirmed_at)
        )

    def upper_bound(self, now: float) -> float | None:
        """Return the upper bound at `now`, in seconds; None if no list was received since the start."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def passed_age_to_log(self, now: float) -> float | None:
        """Return the logged age in seconds that the list has passed since the previous call of this method.

        Return `FRESH_AGAIN` if the list was older than a logged age and no longer is, and None if there is
        nothing to log.
        """
        age = self.upper_bound(now)
        passed = sum(age > limit for limit in LOGGED_AGES_S) if age is not None else 0
        passed_before, self._ages_passed = self._ages_passed, passed
        if passed > passed_before:
            return LOGGED_AGES_S[passed - 1]
        return FRESH_AGAIN if passed_before and not passed else None
