"""Rebuilding a list that was lost with its disk: it is not sent while servers register again."""

from __future__ import annotations

import time

from brassfall.logs import logger

log = logger("registry")


class Gathering:
    """The time in which the list is known to be incomplete, on the monotonic clock.

    It is `duration_s` from a start with an empty store, once a caller has shown that there was a list before:
    without such evidence the list is sent.
    """

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        self._until = 0.0
        self._evidence = False

    def begin(self) -> None:
        """Begin: the process has started with an empty store."""
        self._until = time.monotonic() + self._duration_s

    @property
    def active(self) -> bool:
        """True if the list must not be sent now."""
        return self._evidence and self.left_s > 0.0

    @property
    def left_s(self) -> float:
        """The time left, in s."""
        return self._until - time.monotonic()

    def add_evidence(self) -> None:
        """Note that a caller knows an index of an earlier incarnation that this store does not know."""
        if self._until and not self._evidence:
            self._evidence = True
            log.warning(
                "gathering",
                reason="callers know a list that this service has lost",
                action="Nothing if servers register again; else check their leases and addresses.",
            )

    def has_ended(self, instances: int) -> bool:
        """Whether it has ended since the last call; `instances` are listed by now, for the log."""
        if not self._until or self.left_s > 0.0:
            return False
        self._until = 0.0
        log.info("gathered", instances=instances, needed=self._evidence)
        return True
