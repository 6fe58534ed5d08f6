"""The right of this service to grant leases and decide on revisions. Pure code.

A second service may run on a copy of the disk. A service grants only while more than half of the members
follow it, each member follows one service at a time, and a majority counts only after the epoch wait: by then
all leases that another service granted have ended.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from brassfall.controlplane.revisions.membership import Membership
from brassfall.controlplane.revisions.refusals import LeaseRefusal, RefusalReason
from brassfall.controlplane.revisions.state import DurableState
from brassfall.controlplane.revisions.timing import LeaseTiming

COUNT_VALID_MS = 100.0  # for which a count of the members is used; its cost grows with the nodes


class _Count(NamedTuple):
    """A refusal, or None, as of a count of the members."""

    counted_ms: float
    refusal: LeaseRefusal | None


_NEVER = _Count(-math.inf, None)


class GrantAuthority:
    """The right of one epoch to grant; None in place of a refusal means that it may."""

    def __init__(self, timing: LeaseTiming, started_ms: float, membership: Membership) -> None:
        """Begin an epoch at `started_ms`, on the monotonic clock of all times here."""
        self.timing = timing
        self.started_ms = started_ms
        self.membership = membership
        self._refusal = _NEVER
        self._rival = _NEVER

    def refusal(self, now: float, state: DurableState) -> LeaseRefusal | None:
        """Return why no node can get a lease, as of the last count."""
        if now - self._refusal.counted_ms > COUNT_VALID_MS:
            self._refusal = _Count(now, self._current_refusal(now, state))
        return self._refusal.refusal

    def recount(self) -> None:
        """Count anew at the next `refusal`, since the state has changed."""
        self._refusal = _NEVER

    def cached_rival_refusal(self, now: float) -> LeaseRefusal | None:
        """Return `rival_refusal` as of the last count."""
        if now - self._rival.counted_ms > COUNT_VALID_MS:
            self._rival = _Count(now, self.rival_refusal(now))
        return self._rival.refusal

    def _current_refusal(self, now: float, state: DurableState) -> LeaseRefusal | None:
        ahead, known = self.membership.count_ahead(state.newest), len(self.membership.nodes)
        if 2 * ahead > known:
            return LeaseRefusal(RefusalReason.DISK_BEHIND, f"{ahead} of {known}")
        return self.rival_refusal(now)

    def rival_refusal(self, now: float) -> LeaseRefusal | None:
        """Return why another service, or an earlier epoch of this one, may be the one that grants."""
        if now - self.started_ms < self.timing.expiry_bound_ms:
            return LeaseRefusal(RefusalReason.EARLIER_EPOCH)
        wait, fresh = self.timing.epoch_wait_ms + COUNT_VALID_MS, self.timing.expiry_bound_ms
        following, members = self.membership.count_following(now, wait, fresh), len(self.membership.names)
        if members and 2 * following <= members:
            return LeaseRefusal(RefusalReason.NO_MAJORITY, f"{following} of {members}")
        return None
