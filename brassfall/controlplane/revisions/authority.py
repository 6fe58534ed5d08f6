"""The right of this service to grant leases and to decide on revisions. Pure code.

A second service may run by mistake on a copy of the disk. A service therefore grants leases only while more
than half of the members follow it, and each member follows one service at a time. A majority counts only
after the epoch wait (`LeaseTiming.epoch_wait_ms`): by then all leases of another service have ended.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from brassfall.controlplane.revisions.membership import Membership
from brassfall.controlplane.revisions.refusals import LeaseRefusal, RefusalReason
from brassfall.controlplane.revisions.state import DurableState
from brassfall.controlplane.revisions.timing import LeaseTiming

# Time for which a count of the members is reused: the cost of a count grows with the number of nodes.
COUNT_VALID_MS = 100.0


class _CountedRefusal(NamedTuple):
    """The refusal that a count of the members at `counted_ms` led to; None if leases may be granted."""

    counted_ms: float
    refusal: LeaseRefusal | None


_NOT_COUNTED = _CountedRefusal(-math.inf, None)


class GrantAuthority:
    """The right of one epoch of the service to grant leases.

    Its methods return the reason against it as a `LeaseRefusal`, or None if the service may grant. All times
    are ms of one monotonic clock.
    """

    def __init__(self, timing: LeaseTiming, started_ms: float, membership: Membership) -> None:
        """Begin an epoch at `started_ms`."""
        self.timing = timing
        self.started_ms = started_ms
        self.membership = membership
        self._cached_refusal = _NOT_COUNTED
        self._cached_rival = _NOT_COUNTED

    def refusal(self, now: float, state: DurableState) -> LeaseRefusal | None:
        """Return why no node can get a lease; the result may be up to `COUNT_VALID_MS` old."""
        if now - self._cached_refusal.counted_ms > COUNT_VALID_MS:
            self._cached_refusal = _CountedRefusal(now, self._current_refusal(now, state))
        return self._cached_refusal.refusal

    def discard_count(self) -> None:
        """Make the next call of `refusal` count again, because the durable state has changed."""
        self._cached_refusal = _NOT_COUNTED

    def cached_rival_refusal(self, now: float) -> LeaseRefusal | None:
        """Return the result of `rival_refusal`, which may be up to `COUNT_VALID_MS` old."""
        if now - self._cached_rival.counted_ms > COUNT_VALID_MS:
            self._cached_rival = _CountedRefusal(now, self.rival_refusal(now))
        return self._cached_rival.refusal

    def _current_refusal(self, now: float, state: DurableState) -> LeaseRefusal | None:
        nodes_ahead, known_nodes = self.membership.count_ahead(state.newest), len(self.membership.nodes)
        if 2 * nodes_ahead > known_nodes:
            return LeaseRefusal(RefusalReason.DISK_BEHIND, f"{nodes_ahead} of {known_nodes}")
        return self.rival_refusal(now)

    def rival_refusal(self, now: float) -> LeaseRefusal | None:
        """Return a refusal while leases of another service, or of an earlier epoch, may not have ended."""
        if now - self.started_ms < self.timing.expiry_bound_ms:
            return LeaseRefusal(RefusalReason.EARLIER_EPOCH)
        wait_ms, max_report_age_ms = self.timing.epoch_wait_ms + COUNT_VALID_MS, self.timing.expiry_bound_ms
        following, members = (
            self.membership.count_following(now, wait_ms, max_report_age_ms),
            len(self.membership.names),
        )
        if members and 2 * following <= members:
            return LeaseRefusal(RefusalReason.NO_MAJORITY, f"{following} of {members}")
        return None
