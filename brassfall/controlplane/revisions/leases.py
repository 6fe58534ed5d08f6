"""The leases that the service has granted, each with an upper bound on its end. Pure code.

A node counts its lease from when it sent its report, on a clock whose rate may differ from the service's. The
end that is stored here is an upper bound, in ms of the service's monotonic clock: a lease that has ended here
has ended at the node, too.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from brassfall.controlplane.revisions.reports import Report


class ProcessKey(NamedTuple):
    """The key of one process of a node: the node's name and the id of the process."""

    name: str
    process_id: str


@dataclass(slots=True)
class NodeLease:
    """The lease of one process."""

    revision: int  # Number of the revision that the process may act on
    until_ms: float  # Upper bound on the end of the lease, on the service's monotonic clock
    prepared: int  # Number of the revision that the process had acknowledged when it got the lease


@dataclass(slots=True)
class NodeLeases:
    """The newest lease of each process that reports."""

    _leases: dict[ProcessKey, NodeLease] = field(default_factory=dict)

    def grant(self, name: str, report: Report, revision: int, until_ms: float) -> None:
        """Store a lease on `revision` that ends at `until_ms` at the latest.

        The revision that the process acknowledges in `report` is stored with it.
        """
        key = ProcessKey(name, report.process_id)
        self._leases[key] = NodeLease(revision, until_ms, report.prepared)

    def release(self, name: str, process_id: str) -> None:
        """Remove the lease of a process that is leaving."""
        self._leases.pop(ProcessKey(name, process_id), None)

    def active(self, now: float) -> dict[ProcessKey, NodeLease]:
        """Return the leases that may not have ended at `now`, by process; remove the others."""
        self._leases = {key: lease for key, lease in self._leases.items() if lease.until_ms > now}
        return self._leases
