"""Leases that an aggregator has granted to children, and the revisions acknowledged under them.

A child is one process of a sidecar, identified by its name and process id: two processes of one name are two
children with two leases. The leases are not part of the list of children, since a child that falls silent or
reports to another aggregator may act on its configuration until its lease has ended.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple


class ChildKey(NamedTuple):
    """Key of a child: the name of a sidecar and the id of one of its processes."""

    name: str
    process_id: str


@dataclass(slots=True)
class ChildLease:
    """Lease of one child, with values of its newest report; times are ms of the aggregator's clock."""

    until_ms: float  # upper bound on the end of the child lease
    seq: int  # number of the newest report of the child
    prepared: int  # the revision that the child has acknowledged and promises to act on; 0: none


@dataclass(slots=True)
class ChildLeases:
    """Child leases that may still run; times are upper bounds, in ms of the aggregator's clock."""

    pending: int = 0  # the revision whose acknowledgements are tracked; 0: none
    _leases: dict[ChildKey, ChildLease] = field(default_factory=dict)
    # Children with a lease that have not acknowledged `pending`.
    _lagging: dict[ChildKey, None] = field(default_factory=dict)

    def await_all(self, pending: int) -> None:
        """Track the acknowledgements of the revision `pending`; track none if it is 0."""
        self.pending = pending
        lagging = (key for key, lease in self._leases.items() if lease.prepared != pending)
        self._lagging = dict.fromkeys(lagging) if pending else {}

    def grant(self, key: ChildKey, until_ms: float, seq: int, prepared: int) -> None:
        """Store a lease of a child; if it had a lease already, the later of the two ends is kept."""
        lease = self._leases.get(key)
        if lease is not None:
            until_ms = max(until_ms, lease.until_ms)
        self._leases[key] = ChildLease(until_ms, seq, 0)
        self.report_received(key, seq, prepared)

    def report_received(self, key: ChildKey, seq: int, prepared: int) -> None:
        """Store the number of a child's report and its acknowledged revision, if the child has a lease.

        The end of the lease does not change.
        """
        lease = self._leases.get(key)
        if lease is None:
            return
        lease.seq = seq
        lease.prepared = prepared
        if self.pending and prepared != self.pending:
            self._lagging[key] = None
        else:
            self._lagging.pop(key, None)

    def newest_seq(self, key: ChildKey) -> int:
        """Return the number of the newest report of a child with a lease; -1 if it has no lease."""
        lease = self._leases.get(key)
        return lease.seq if lease is not None else -1

    def release(self, key: ChildKey) -> None:
        """Remove the lease of a child."""
        self._leases.pop(key, None)
        self._lagging.pop(key, None)

    def all_acknowledged(self, now: float) -> bool:
        """Return whether each child whose lease may still run has acknowledged the pending revision."""
        while self._lagging:
            key = next(iter(self._lagging))
            if self._leases[key].until_ms > now:
                return False
            self.release(key)
        return True

    def lagging(self, now: float) -> Iterator[str]:
        """Return the names of children with a lease that have not acknowledged the pending revision."""
        return (key.name for key in self._lagging if self._leases[key].until_ms > now)

    def sweep(self, now: float) -> None:
        """Remove the leases that have ended by `now`."""
        for key in [key for key, lease in self._leases.items() if lease.until_ms <= now]:
            self.release(key)

    def names(self, now: float) -> set[str]:
        """Return the names of the sidecars with a lease that may still run at `now`."""
        return {key.name for key, lease in self._leases.items() if lease.until_ms > now}

    def any(self, now: float) -> bool:
        """Return whether the lease of any child may still run at `now`."""
        return self.latest_end_ms > now

    @property
    def latest_end_ms(self) -> float:
        """An upper bound on the time at which the last lease ends; -inf without leases."""
        return max((lease.until_ms for lease in self._leases.values()), default=-math.inf)
