"""Rebuilding an endpoint list that was lost with its disk: nothing is sent while servers register again."""

from __future__ import annotations

import time

from brassfall.logs import logger

log = logger("registry")


class ListRebuild:
    """The period in which the endpoint list is known to be incomplete, on the monotonic clock.

    The period lasts `duration_s` from a start with an empty store. The list counts as incomplete in it only
    once a caller has shown an index of an earlier list; without this evidence the list is sent.
    """

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        self._until = 0.0
        self._evidence = False

    def start(self) -> None:
        """Start the period, because the process has started with an empty store."""
        self._until = time.monotonic() + self._duration_s

    @property
    def is_incomplete(self) -> bool:
        """True if the list is known to be incomplete, so that it must not be sent now."""
        return self._evidence and self.left_s > 0.0

    @property
    def left_s(self) -> float:
        """The remaining time of the period, in s; negative after its end."""
        return self._until - time.monotonic()

    def add_evidence(self) -> None:
        """Record that a caller has an index unknown to this store, which shows that a list was lost."""
        if self._until and not self._evidence:
            self._evidence = True
            log.warning(
                "rebuilding lost list",
                reason="callers know a list that this service has lost",
                action="Nothing if servers register again; else check their leases and addresses.",
            )

    def has_ended(self, instances: int) -> bool:
        """Return True once, at the first call after the end of the period.

        `instances` is the present number of instances on the list, for the log.
        """
        if not self._until or self.left_s > 0.0:
            return False
        self._until = 0.0
        log.info("list rebuild ended", instances=instances, needed=self._evidence)
        return True
