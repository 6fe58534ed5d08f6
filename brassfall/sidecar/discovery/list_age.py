"""How old the current endpoint list can be, and the log lines about that."""

from __future__ import annotations

# The k-th empty line of a watch is sent no sooner than so many seconds times k after the call.
HEARTBEAT_S = 2.0
CLOCK_RATE = 0.99  # of another machine's clock to this one's, at the least
LOGGED_AGES_S = (5.0, 30.0, 300.0)  # each is logged when the list grows older
FRESH_AGAIN = 0.0  # the list has passed none of them any more


class ListAge:
    """An upper bound on the age of the list: how long ago it can last have been the newest.

    Times are in seconds of one monotonic clock, and are handed in.
    """

    def __init__(self) -> None:
        self._confirmed: float | None = None
        self._ages_passed = 0

    def confirmed(self, called: float, received: float, heartbeats: int, stated: float = 0.0) -> None:
        """Take note of a list or a heartbeat: its sender had nothing newer when it sent it.

        It was sent after the call at `called`, and the k-th heartbeat k intervals after that; however long it
        was on its way, nothing more is known. An aggregator had last been in touch with the service at most
        `stated` seconds before.
        """
        sent = min(received, called + HEARTBEAT_S * CLOCK_RATE * heartbeats) - stated
        self._confirmed = sent if self._confirmed is None else max(self._confirmed, sent)

    def bound(self, now: float) -> float | None:
        """Return the bound in seconds; None if nothing was received since the start."""
        return None if self._confirmed is None else now - self._confirmed

    def change_to_log(self, now: float) -> float | None:
        """Return the logged age in seconds that the list has passed since the last call.

        `FRESH_AGAIN` if it has passed none any more; None if there is nothing to log.
        """
        age = self.bound(now)
        passed = sum(age > limit for limit in LOGGED_AGES_S) if age is not None else 0
        before, self._ages_passed = self._ages_passed, passed
        if passed > before:
            return LOGGED_AGES_S[passed - 1]
        return FRESH_AGAIN if before and not passed else None
