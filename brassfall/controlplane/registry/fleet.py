"""The number of sidecars in the fleet, and the rows of those that report to the list service directly."""

from __future__ import annotations

import math

import msgspec

from brassfall.controlplane.registry.revision_service import RevisionService
from brassfall.controlplane.registry.sidecar_rows import (
    NEVER_REPORTED,
    ExpectedState,
    SidecarRow,
    reported_row,
)
from brassfall.controlplane.revisions.refusals import refusal_text

COUNT_VALID_MS = 100.0  # time for which a count of all sidecars is cached


class RevisionStatus(
    msgspec.Struct,
    frozen=True,
    rename={
        "revision": "edition",
        "granting": "permits",
        "members": "edges",
        "leased": "may_act",
        "harmful": "harmful_refused",
        "forced": "harmful_forced",
    },
):
    """The part of `/status` about configuration revisions; counts run since the start of the process."""

    revision: int  # number of the committed revision
    prepared: int  # number of the pending revision; 0: none
    granting: str  # "yes", or why no lease can be granted
    members: int
    sidecars: int  # number of sidecars in the whole fleet, including the children of aggregators
    leased: int  # number of processes that hold a lease on a revision
    reports: int
    reports_refused: int
    harmful: int
    forced: int


class Fleet:
    """Read-only views of all nodes that report to the list service."""

    def __init__(self, service: RevisionService) -> None:
        self._service = service
        self._counted_ms, self._count = -math.inf, 0

    def count(self) -> int:
        """Return the number of sidecars in the whole fleet: members, and the children of aggregators.

        Each sidecar is counted once. If there are aggregators, the count may be `COUNT_VALID_MS` old.
        """
        now, directory = self._service.now(), self._service.directory
        members = self._service.coordinator.membership.names
        if not directory.aggregators:
            return len(members)
        if now - self._counted_ms > COUNT_VALID_MS:
            direct = sum(self._is_direct(name) for name in members)
            self._counted_ms, self._count = now, direct + directory.count()
        return self._count

    def _is_direct(self, name: str) -> bool:
        """Return whether a node is a sidecar that reports to the list service directly."""
        directory = self._service.directory
        return name not in directory and not directory.knows(name)

    def expected(self) -> ExpectedState:
        """Return the state that an up-to-date sidecar or aggregator has, to compare its row with."""
        coordinator = self._service.coordinator
        return ExpectedState(
            coordinator.state.committed.number, coordinator.epoch, coordinator.timing.expiry_bound_ms
        )

    def rows(self) -> list[SidecarRow]:
        """Return the rows of direct sidecars by name, including members that have not reported yet."""
        now, expected = self._service.now(), self.expected()
        membership = self._service.coordinator.membership
        rows = []
        for name in sorted(membership.nodes.keys() | membership.names):
            if self._is_direct(name):
                node = membership.nodes.get(name)
                rows.append(
                    reported_row(node, now, expected)
                    if node is not None
                    else SidecarRow(name=name, behind=NEVER_REPORTED)
                )
        return rows

    def status(self) -> RevisionStatus:
        """Return the part of `/status` about configuration revisions."""
        coordinator, statistics = self._service.coordinator, self._service.statistics
        now = self._service.now()
        return RevisionStatus(
            revision=coordinator.state.committed.number,
            prepared=coordinator.state.pending_number,
            granting=refusal_text(coordinator.grant_refusal(now)) or "yes",
            members=len(coordinator.membership.names),
            sidecars=self.count(),
            leased=len(coordinator.leases.active(now)),
            reports=statistics.reports,
            reports_refused=statistics.refused_reports + coordinator.membership.stale_reports,
            harmful=statistics.harmful,
            forced=statistics.forced,
        )
