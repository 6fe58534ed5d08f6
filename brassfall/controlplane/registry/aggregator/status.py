"""The answers to `/status` and `/edges` of an aggregator, and the metrics of its parts."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from brassfall.controlplane.aggregation.aggregator import Aggregator
from brassfall.controlplane.registry.aggregator.children import ChildReports
from brassfall.controlplane.registry.aggregator.clock import now_ms
from brassfall.controlplane.registry.aggregator.configuration import Configuration
from brassfall.controlplane.registry.aggregator.forwarding import Forwarding
from brassfall.controlplane.registry.aggregator.list_feed import ListFeed
from brassfall.controlplane.registry.aggregator.reporter import Reporter
from brassfall.controlplane.registry.front import HttpServer
from brassfall.controlplane.registry.metrics import ProcessMetrics, Value, Values
from brassfall.settings import AggregatorSettings


class StatusSource(Protocol):
    """The parts of an aggregator that its status and metrics are read from."""

    settings: AggregatorSettings
    core: Aggregator
    http_server: HttpServer
    children: ChildReports
    reporter: Reporter
    forwarding: Forwarding
    list_feed: ListFeed
    configuration: Configuration

    @property
    def uptime_s(self) -> float:
        """The time since the aggregator was created, in s."""

    def unready(self) -> str:
        """Return the reason why the aggregator can't serve sidecars; empty if it can."""


class ListView(msgspec.Struct, frozen=True):
    """The mirrored list; `age_ms` is an upper bound on its age, None without a list."""

    index: int
    age_ms: int | None


class CountedListView(ListView, frozen=True):
    """The mirrored list, with the number of servers on it."""

    servers: int


class ChildrenView(msgspec.Struct, frozen=True):
    """The answer to `GET /edges`: the children of this aggregator, by their newest reports."""

    aggregator: str
    region: str
    children: list[Any] = msgspec.field(name="edges")
    revision: int = msgspec.field(name="edition")
    permits: str
    mirrored: ListView = msgspec.field(name="list")


class UpstreamStatus(msgspec.Struct, frozen=True):
    """The state of the reports, watches and forwarded calls to the list service."""

    at: str
    reports: int
    reports_failed: int
    failing: str
    list_watch: str = msgspec.field(name="list")
    configuration_watch: str = msgspec.field(name="rules")
    passed_up: int
    not_passed_up: int


class AggregatorStatus(msgspec.Struct, frozen=True):
    """The answer to `GET /status` of an aggregator."""

    aggregator: str
    region: str
    uptime_s: float
    ready: str  # "yes", or the reason why the aggregator can't serve sidecars
    upstream: UpstreamStatus
    epoch: int
    revision: int = msgspec.field(name="edition")
    prepared: int
    lease_left_ms: int
    mirrored: CountedListView = msgspec.field(name="list")
    children: dict[str, Any]
    members: int
    reports: int
    reports_refused: int
    rejected: int = msgspec.field(name="turned_away")
    connections: int
    watches: dict[str, int]


def children(source: StatusSource) -> ChildrenView:
    """Return the answer to `GET /edges`."""
    time_ms, core, feed = now_ms(), source.core, source.list_feed
    return ChildrenView(
        aggregator=source.settings.name,
        region=source.settings.region,
        children=core.children(time_ms),
        revision=core.committed,
        permits=core.unready_reason(time_ms) or "yes",
        mirrored=ListView(feed.mirror.index, feed.age_ms),
    )


def status(source: StatusSource) -> AggregatorStatus:
    """Return the answer to `GET /status`."""
    core, statistics, time_ms = source.core, source.children.statistics, now_ms()
    http_server, feed = source.http_server, source.list_feed
    return AggregatorStatus(
        aggregator=source.settings.name,
        region=source.settings.region,
        uptime_s=round(source.uptime_s, 1),
        ready=source.unready() or "yes",
        upstream=_upstream(source),
        epoch=core.epoch,
        revision=core.committed,
        prepared=core.pending,
        lease_left_ms=round(core.lease_left_ms(time_ms)),
        mirrored=CountedListView(feed.mirror.index, feed.age_ms, feed.mirror.count),
        children=msgspec.to_builtins(core.counts(time_ms)),
        members=core.members,
        reports=statistics.reports,
        reports_refused=statistics.refused + core.membership.stale,
        rejected=http_server.rejected,
        connections=len(http_server.callers),
        watches={name: channel.count for name, channel in http_server.channels.items()},
    )


def _upstream(source: StatusSource) -> UpstreamStatus:
    reporter, forwarding = source.reporter, source.forwarding
    return UpstreamStatus(
        at=reporter.address,
        reports=reporter.sent,
        reports_failed=reporter.failed,
        failing=reporter.failing,
        list_watch=source.list_feed.watch_state.failing or "ok",
        configuration_watch=source.configuration.watch_state.failing or "ok",
        passed_up=forwarding.forwarded,
        not_passed_up=forwarding.rejected,
    )


def process_metrics(source: StatusSource) -> ProcessMetrics:
    """Return the gauges and counters of an aggregator."""
    return ProcessMetrics(_gauges(source), _counters(source))


def _gauges(source: StatusSource) -> Values:
    core, feed, time_ms = source.core, source.list_feed, now_ms()
    counts = core.counts(time_ms)
    return {
        "children": Value("Sidecars that report here", counts.known),
        "children_permitted": Value("Those that hold a lease on a revision", counts.leased),
        "children_lagging": Value("Those that have not acknowledged the prepared revision", counts.lagging),
        "children_fallback": Value("Those that act on the fallback configuration", counts.fallback),
        "ready": Value("1 while leases can be granted", float(not source.unready())),
        "edition": Value("The configuration revision in force", core.committed),
        "edition_prepared": Value("The revision that is prepared; 0 is none", core.pending),
        "lease_left_ms": Value(
            "How long the lease from the list service still runs", core.lease_left_ms(time_ms)
        ),
        "list_index": Value("The index of the list held", feed.mirror.index),
        "list_age_ms": Value("An upper bound on its age", feed.age_ms or 0),
    }


def _counters(source: StatusSource) -> Values:
    core, statistics, reporter = source.core, source.children.statistics, source.reporter
    refused_lines = (
        source.list_feed.watch_state.refused_lines + source.configuration.watch_state.refused_lines
    )
    return {
        "reports": Value("Reports of children answered", statistics.reports),
        "reports_refused": Value("Malformed or stale reports", statistics.refused + core.membership.stale),
        "reports_granted": Value("Reports that were answered with a lease", statistics.granted),
        "children_turned_away": Value("Reports of children rejected with Retry-After", statistics.rejected),
        "upstream_reports": Value("Reports sent to the list service", reporter.sent),
        "upstream_failures": Value("Reports without a good answer", reporter.failed),
        "passed_up": Value("Calls forwarded to the list service", source.forwarding.forwarded),
        "not_passed_up": Value("Calls that were not forwarded, or got no answer", source.forwarding.rejected),
        "lines_refused": Value("Lines from the list service that were not believed", refused_lines),
    }
