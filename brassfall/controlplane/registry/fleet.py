"""Views of the whole fleet: the number of sidecars, and the rows of those that report to the service."""

from __future__ import annotations

import math

import msgspec

from brassfall.controlplane.registry.revision_service import RevisionService
from brassfall.controlplane.registry.sidecar_rows import NEVER, Expected, SidecarRow, reported_row
from brassfall.controlplane.revisions.refusals import refusal_text

COUNT_VALID_MS = 100.0  # for which a count of all sidecars is used


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
    """The part of `/status` on the revisions."""

    revision: int  # committed
    prepared: int  # pending; 0: none
    granting: str  # "yes", or why no lease can be granted
    members: int
    sidecars: int  # in the whole fleet
    leased: int  # processes that may act on a revision
    reports: int
    reports_refused: int
    harmful: int
    forced: int


class Fleet:
    """Views of all nodes, which change nothing."""

    def __init__(self, service: RevisionService) -> None:
        self._service = service
        self._counted_ms, self._count = -math.inf, 0

    def count(self) -> int:
        """Return the number of sidecars in the whole fleet, each counted once.

        These are members and the children of aggregators. With aggregators, the count may be `COUNT_VALID_MS`
        old.
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
        """Return whether a node is a sidecar that reports to the service itself."""
        directory = self._service.directory
        return name not in directory and not directory.knows(name)

    def expected(self) -> Expected:
        """Return the values that rows are compared with."""
        coordinator = self._service.coordinator
        return Expected(
            coordinator.state.committed.number, coordinator.epoch, coordinator.timing.expiry_bound_ms
        )

    def rows(self) -> list[SidecarRow]:
        """Return the rows of all sidecars that report here themselves, or did, in the order of names."""
        now, expected = self._service.now(), self.expected()
        membership = self._service.coordinator.membership
        rows = []
        for name in sorted(membership.nodes.keys() | membership.names):
            if self._is_direct(name):
                node = membership.nodes.get(name)
                rows.append(
                    reported_row(node, now, expected)
                    if node is not None
                    else SidecarRow(name=name, behind=NEVER)
                )
        return rows

    def status(self) -> RevisionStatus:
        """Return the part of `/status` on the revisions."""
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
