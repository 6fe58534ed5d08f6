"""The leases that the service has granted, each with an upper bound on its end. Pure code.

A node counts its lease from when it sent its report, on a clock whose rate may differ. The end here is an
upper bound on the service's monotonic clock, in ms: a lease that has ended here has ended at the node.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from brassfall.controlplane.revisions.reports import Report


class ProcessKey(NamedTuple):
    """One process of a node."""

    name: str
    process_id: str


@dataclass(slots=True)
class NodeLease:
    """The revision that one process may act on, the latest end, and the revision it had acknowledged."""

    revision: int
    until_ms: float
    prepared: int


@dataclass(slots=True)
class NodeLeases:
    """The newest lease of each process."""

    _leases: dict[ProcessKey, NodeLease] = field(default_factory=dict)

    def grant(self, name: str, report: Report, revision: int, until_ms: float) -> None:
        """Store a lease that ends at `until_ms` at the latest, with the acknowledgement in the report."""
        key = ProcessKey(name, report.process_id)
        self._leases[key] = NodeLease(revision, until_ms, report.prepared)

    def release(self, name: str, process_id: str) -> None:
        """Remove the lease of a process that is leaving."""
        self._leases.pop(ProcessKey(name, process_id), None)

    def active(self, now: float) -> dict[ProcessKey, NodeLease]:
        """Return the leases that may still run, by process; forget the others."""
        self._leases = {key: lease for key, lease in self._leases.items() if lease.until_ms > now}
        return self._leases
