"""The leases that an aggregator has granted to children, and their acknowledgements. Pure code.

A child is one process of a sidecar, by its name and process id: two processes of one name are two children
with two leases. Leases are kept apart from children: a child that falls silent, or reports to another
aggregator, may act until its lease has ended.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple


class ChildKey(NamedTuple):
    """One process of a sidecar."""

    name: str
    process_id: str


@dataclass(slots=True)
class ChildLease:
    """The lease of one child."""

    until_ms: float  # an upper bound
    seq: int  # of the newest report of its process
    prepared: int  # the revision that it has acknowledged and still promises to act with


@dataclass(slots=True)
class ChildLeases:
    """The leases that may still run; times are upper bounds, in ms of the aggregator's clock."""

    pending: int = 0
    _leases: dict[ChildKey, ChildLease] = field(default_factory=dict)
    _lagging: dict[ChildKey, None] = field(default_factory=dict)  # those without an acknowledgement

    def await_all(self, pending: int) -> None:
        """Track the acknowledgements of this revision; 0: of none."""
        self.pending = pending
        lagging = (key for key, lease in self._leases.items() if lease.prepared != pending)
        self._lagging = dict.fromkeys(lagging) if pending else {}

    def grant(self, key: ChildKey, until_ms: float, seq: int, prepared: int) -> None:
        """Store a lease; of two leases of one process the later end counts."""
        lease = self._leases.get(key)
        if lease is not None:
            until_ms = max(until_ms, lease.until_ms)
        self._leases[key] = ChildLease(until_ms, seq, 0)
        self.report_received(key, seq, prepared)

    def report_received(self, key: ChildKey, seq: int, prepared: int) -> None:
        """Store the revision that a child still promises after its report; the end of its lease stays."""
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
        """Return the number of the newest report of a process that may act; -1 if there is none."""
        lease = self._leases.get(key)
        return lease.seq if lease is not None else -1

    def release(self, key: ChildKey) -> None:
        """Remove the lease of a child."""
        self._leases.pop(key, None)
        self._lagging.pop(key, None)

    def all_acknowledged(self, now: float) -> bool:
        """Return whether each child that may still act has acknowledged the pending revision."""
        while self._lagging:
            key = next(iter(self._lagging))
            if self._leases[key].until_ms > now:
                return False
            self.release(key)
        return True

    def lagging(self, now: float) -> Iterator[str]:
        """Return the names of children that may act and have not acknowledged the pending revision."""
        return (key.name for key in self._lagging if self._leases[key].until_ms > now)

    def sweep(self, now: float) -> None:
        """Forget the leases that have ended."""
        for key in [key for key, lease in self._leases.items() if lease.until_ms <= now]:
            self.release(key)

    def names(self, now: float) -> set[str]:
        """Return the names of the children that may still act."""
        return {key.name for key, lease in self._leases.items() if lease.until_ms > now}

    def any(self, now: float) -> bool:
        """Return whether any child may still act."""
        return self.latest_end_ms > now

    @property
    def latest_end_ms(self) -> float:
        """An upper bound on the end of the last lease; -inf if there is none."""
        return max((lease.until_ms for lease in self._leases.values()), default=-math.inf)
