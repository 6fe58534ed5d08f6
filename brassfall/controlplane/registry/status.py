"""The status of a list service: `/status`, and its own part of `/metrics`."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

import msgspec

from brassfall.controlplane.registry.aggregators import Aggregators, AggregatorsStatus
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.fleet import Fleet, RevisionStatus
from brassfall.controlplane.registry.front import Front
from brassfall.controlplane.registry.geo import Geo
from brassfall.controlplane.registry.metrics import ProcessMetrics, Value, Values
from brassfall.controlplane.registry.overrides import Overrides
from brassfall.controlplane.registry.revision_service import CHANNEL
from brassfall.controlplane.store.store import Store


class Parts(Protocol):
    """The parts of a list service with a status."""

    store: Store
    front: Front
    fleet: Fleet
    overrides: Overrides
    geo: Geo
    aggregators: Aggregators

    @property
    def gathering(self) -> bool:
        """True if a lost list is being rebuilt from its servers' registrations."""

    @property
    def uptime_s(self) -> float:
        """Time since the start, in s."""


class ServiceStatus(msgspec.Struct, frozen=True):
    """The answer to `/status`."""

    index: int
    uptime_s: float
    gathering: bool
    disk: str  # "ok", or why the last commit failed
    rows: dict[str, int]  # by table
    instances: dict[str, int]  # by status
    suspects: list[str]
    watches: dict[str, int]  # by table
    watches_behind: int
    connections: int
    writes_waiting: int
    rejected: int = msgspec.field(name="turned_away")
    rules: RevisionStatus
    aggregators: AggregatorsStatus


def status(parts: Parts) -> ServiceStatus:
    """Return the answer to `/status`."""
    store, front = parts.store, parts.front
    channels = front.channels
    return ServiceStatus(
        index=store.state.index,
        uptime_s=round(parts.uptime_s, 1),
        gathering=parts.gathering,
        disk=store.statistics.disk_error or "ok",
        rows={name: store.state.count(name) for name in store.state.names},
        instances=dict(Counter(row.value["status"] for row in store.state.rows(INSTANCES))),
        suspects=store.suspects(INSTANCES),
        watches={
            name: channel.count for name, channel in channels.items() if name != CHANNEL or channel.count
        },
        watches_behind=sum(channel.behind for channel in channels.values()),
        connections=len(front.callers),
        writes_waiting=store.queued_writes,
        rejected=front.rejected,
        rules=parts.fleet.status(),
        aggregators=parts.aggregators.status(),
    )


def process_metrics(parts: Parts) -> ProcessMetrics:
    """Gauges and counters of configuration revisions, aggregators, overrides and delays."""
    rules, tier = parts.fleet.status(), parts.aggregators.status()
    return ProcessMetrics(_gauges(parts, rules, tier), _counters(parts, rules, tier))


def _gauges(parts: Parts, rules: RevisionStatus, tier: AggregatorsStatus) -> Values:
    overrides = parts.overrides
    return {
        "edition": Value("The configuration revision in force", rules.revision),
        "edition_prepared": Value("The revision that is prepared; 0 is none", rules.prepared),
        "permits": Value("1 while sidecars can get leases", float(rules.granting == "yes")),
        "edges": Value("Sidecars in the membership", rules.members),
        "edges_permitted": Value("Sidecars that hold a lease on a revision", rules.leased),
        "sidecars": Value("Sidecars in the whole fleet, each counted once", rules.sidecars),
        "aggregators": Value("Aggregators that are known", tier.known),
        "aggregators_live": Value("Aggregators that have reported of late", tier.live),
        "children": Value("Sidecars that report to aggregators", tier.children),
        "overrides": Value("Overrides in force", len(overrides.store.active(overrides.now()))),
        "findings": Value("Sidecars that act on other overrides than are due", len(overrides.findings())),
    }


def _counters(parts: Parts, rules: RevisionStatus, tier: AggregatorsStatus) -> Values:
    return {
        "reports": Value("Reports answered", rules.reports),
        "reports_refused": Value("Malformed or stale reports", rules.reports_refused),
        "editions_harmful": Value("Revisions refused as harmful", rules.harmful),
        "editions_forced": Value("Harmful revisions that were forced", rules.forced),
        "aggregator_reports": Value("Reports of aggregators answered", tier.reports),
        "aggregator_reports_malformed": Value("Malformed reports of aggregators", tier.reports_malformed),
        "aggregator_name_conflicts": Value(
            "Reports of aggregators whose name is another's", tier.name_conflicts
        ),
        "aggregator_reports_superseded": Value(
            "Reports of aggregator processes that another of their name has followed",
            tier.reports_superseded,
        ),
        "children_unplaced": Value("Arrivals of children that found no place", tier.children_unplaced),
        "delays_refused": Value("Malformed rows of delays", parts.geo.rejected_rows),
    }
