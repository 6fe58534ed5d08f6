"""The answer to `/status` of a list service, and the metrics of its parts."""

from __future__ import annotations

from collections import Counter
from typing import Protocol

import msgspec

from brassfall.controlplane.registry.aggregators import Aggregators, AggregatorsStatus
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.fleet import Fleet, RevisionStatus
from brassfall.controlplane.registry.front import HttpServer
from brassfall.controlplane.registry.geo import Geo
from brassfall.controlplane.registry.metrics import ProcessMetrics, Value, Values
from brassfall.controlplane.registry.overrides import Overrides
from brassfall.controlplane.registry.revision_service import CHANNEL
from brassfall.controlplane.store.store import Store


class StatusSource(Protocol):
    """The parts of a list service that its status and metrics are read from."""

    store: Store
    http_server: HttpServer
    fleet: Fleet
    overrides: Overrides
    geo: Geo
    aggregators: Aggregators

    @property
    def is_rebuilding_list(self) -> bool:
        """True if a lost list is being rebuilt from its servers' registrations."""

    @property
    def uptime_s(self) -> float:
        """The time since the service was created, in s."""


class ServiceStatus(msgspec.Struct, frozen=True):
    """The answer to `GET /status`; `instances` counts them by status, `watches` by channel."""

    index: int
    uptime_s: float
    gathering: bool
    disk: str  # "ok", or the reason why the last commit failed
    rows: dict[str, int]  # number of rows by table
    instances: dict[str, int]  # number of instances by their status
    suspects: list[str]  # names of instances that are kept though their leases have ended
    watches: dict[str, int]  # number of open watches by channel
    watches_behind: int
    connections: int
    writes_waiting: int
    rejected: int = msgspec.field(name="turned_away")
    rules: RevisionStatus
    aggregators: AggregatorsStatus


def status(source: StatusSource) -> ServiceStatus:
    """Return the answer to `GET /status`."""
    store, http_server = source.store, source.http_server
    channels = http_server.channels
    return ServiceStatus(
        index=store.state.index,
        uptime_s=round(source.uptime_s, 1),
        gathering=source.is_rebuilding_list,
        disk=store.statistics.disk_error or "ok",
        rows={name: store.state.count(name) for name in store.state.names},
        instances=dict(Counter(row.value["status"] for row in store.state.rows(INSTANCES))),
        suspects=store.suspects(INSTANCES),
        watches={
            name: channel.count for name, channel in channels.items() if name != CHANNEL or channel.count
        },
        watches_behind=sum(channel.behind for channel in channels.values()),
        connections=len(http_server.callers),
        writes_waiting=store.queued_writes,
        rejected=http_server.rejected,
        rules=source.fleet.status(),
        aggregators=source.aggregators.status(),
    )


def process_metrics(source: StatusSource) -> ProcessMetrics:
    """Return the gauges and counters of configuration revisions, aggregators, overrides and delays."""
    rules, aggregators = source.fleet.status(), source.aggregators.status()
    return ProcessMetrics(_gauges(source, rules, aggregators), _counters(source, rules, aggregators))


def _gauges(source: StatusSource, rules: RevisionStatus, aggregators: AggregatorsStatus) -> Values:
    overrides = source.overrides
    return {
        "edition": Value("The configuration revision in force", rules.revision),
        "edition_prepared": Value("The revision that is prepared; 0 is none", rules.prepared),
        "permits": Value("1 while sidecars can get leases", float(rules.granting == "yes")),
        "edges": Value("Sidecars in the membership", rules.members),
        "edges_permitted": Value("Sidecars that hold a lease on a revision", rules.leased),
        "sidecars": Value("Sidecars in the whole fleet, each counted once", rules.sidecars),
        "aggregators": Value("Aggregators that are known", aggregators.known),
        "aggregators_live": Value("Aggregators that have reported of late", aggregators.live),
        "children": Value("Sidecars that report to aggregators", aggregators.children),
        "overrides": Value("Overrides in force", len(overrides.store.active(overrides.now()))),
        "findings": Value("Sidecars that act on other overrides than are due", len(overrides.findings())),
    }


def _counters(source: StatusSource, rules: RevisionStatus, aggregators: AggregatorsStatus) -> Values:
    return {
        "reports": Value("Reports answered", rules.reports),
        "reports_refused": Value("Malformed or stale reports", rules.reports_refused),
        "editions_harmful": Value("Revisions refused as harmful", rules.harmful),
        "editions_forced": Value("Harmful revisions that were forced", rules.forced),
        "aggregator_reports": Value("Reports of aggregators answered", aggregators.reports),
        "aggregator_reports_malformed": Value(
            "Malformed reports of aggregators", aggregators.reports_malformed
        ),
        "aggregator_name_conflicts": Value(
            "Reports of aggregators whose name is another's", aggregators.name_conflicts
        ),
        "aggregator_reports_superseded": Value(
            "Reports of aggregator processes that another of their name has followed",
            aggregators.reports_superseded,
        ),
        "children_unplaced": Value("Arrivals of children that found no place", aggregators.children_unplaced),
        "delays_refused": Value("Malformed rows of delays", source.geo.rejected_rows),
    }
