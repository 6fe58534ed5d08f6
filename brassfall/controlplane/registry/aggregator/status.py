"""The status of an aggregator: `/status` and `/edges`, and its own part of `/metrics`."""

from __future__ import annotations

from typing import Any, Protocol

import msgspec

from brassfall.controlplane.aggregation.aggregator import Aggregator
from brassfall.controlplane.registry.aggregator.children import Children
from brassfall.controlplane.registry.aggregator.clock import now_ms
from brassfall.controlplane.registry.aggregator.configuration import Configuration
from brassfall.controlplane.registry.aggregator.forwarding import Forwarding
from brassfall.controlplane.registry.aggregator.list_feed import ListFeed
from brassfall.controlplane.registry.aggregator.reporter import Reporter
from brassfall.controlplane.registry.front import Front
from brassfall.controlplane.registry.metrics import ProcessMetrics, Value, Values
from brassfall.settings import AggregatorSettings


class Parts(Protocol):
    """The parts of an aggregator with a status."""

    settings: AggregatorSettings
    core: Aggregator
    front: Front
    children: Children
    reporter: Reporter
    forwarding: Forwarding
    list_feed: ListFeed
    configuration: Configuration

    @property
    def uptime_s(self) -> float:
        """Time since the start, in s."""

    def unready(self) -> str:
        """Return why it can't serve sidecars; empty if it can."""


class ListView(msgspec.Struct, frozen=True):
    """The mirrored list; its age is an upper bound, None without a list."""

    index: int
    age_ms: int | None


class CountedListView(ListView, frozen=True):
    """The mirrored list with its number of servers."""

    servers: int


class ChildrenView(msgspec.Struct, frozen=True):
    """The answer to `/edges`: the children here, by their newest reports."""

    aggregator: str
    region: str
    children: list[Any] = msgspec.field(name="edges")
    revision: int = msgspec.field(name="edition")
    permits: str
    mirrored: ListView = msgspec.field(name="list")


class UpstreamStatus(msgspec.Struct, frozen=True):
    """How the calls to the list service stand."""

    at: str
    reports: int
    reports_failed: int
    failing: str
    list_watch: str = msgspec.field(name="list")
    configuration_watch: str = msgspec.field(name="rules")
    passed_up: int
    not_passed_up: int


class AggregatorStatus(msgspec.Struct, frozen=True):
    """The answer to `/status`."""

    aggregator: str
    region: str
    uptime_s: float
    ready: str  # "yes", or why not
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


def children(parts: Parts) -> ChildrenView:
    """Return the answer to `GET /edges`."""
    at, core, feed = now_ms(), parts.core, parts.list_feed
    return ChildrenView(
        aggregator=parts.settings.name,
        region=parts.settings.region,
        children=core.children(at),
        revision=core.committed,
        permits=core.unready_reason(at) or "yes",
        mirrored=ListView(feed.mirror.index, feed.age_ms),
    )


def status(parts: Parts) -> AggregatorStatus:
    """Return the answer to `/status`."""
    core, statistics, at = parts.core, parts.children.statistics, now_ms()
    front, feed = parts.front, parts.list_feed
    return AggregatorStatus(
        aggregator=parts.settings.name,
        region=parts.settings.region,
        uptime_s=round(parts.uptime_s, 1),
        ready=parts.unready() or "yes",
        upstream=_upstream(parts),
        epoch=core.epoch,
        revision=core.committed,
        prepared=core.pending,
        lease_left_ms=round(core.lease_left_ms(at)),
        mirrored=CountedListView(feed.mirror.index, feed.age_ms, feed.mirror.count),
        children=msgspec.to_builtins(core.counts(at)),
        members=core.members,
        reports=statistics.reports,
        reports_refused=statistics.refused + core.membership.stale,
        rejected=front.rejected,
        connections=len(front.callers),
        watches={name: channel.count for name, channel in front.channels.items()},
    )


def _upstream(parts: Parts) -> UpstreamStatus:
    reporter, forwarding = parts.reporter, parts.forwarding
    return UpstreamStatus(
        at=reporter.at,
        reports=reporter.sent,
        reports_failed=reporter.failed,
        failing=reporter.failing,
        list_watch=parts.list_feed.watch_state.failing or "ok",
        configuration_watch=parts.configuration.watch_state.failing or "ok",
        passed_up=forwarding.forwarded,
        not_passed_up=forwarding.rejected,
    )


def process_metrics(parts: Parts) -> ProcessMetrics:
    """Gauges and counters of the tier."""
    return ProcessMetrics(_gauges(parts), _counters(parts))


def _gauges(parts: Parts) -> Values:
    core, feed, at = parts.core, parts.list_feed, now_ms()
    counts = core.counts(at)
    return {
        "children": Value("Sidecars that report here", counts.known),
        "children_permitted": Value("Those that hold a lease on a revision", counts.leased),
        "children_lagging": Value("Those that have not acknowledged the prepared revision", counts.lagging),
        "children_fallback": Value("Those that act on the fallback configuration", counts.fallback),
        "ready": Value("1 while leases can be granted", float(not parts.unready())),
        "edition": Value("The configuration revision in force", core.committed),
        "edition_prepared": Value("The revision that is prepared; 0 is none", core.pending),
        "lease_left_ms": Value("How long the lease from the list service still runs", core.lease_left_ms(at)),
        "list_index": Value("The index of the list held", feed.mirror.index),
        "list_age_ms": Value("An upper bound on its age", feed.age_ms or 0),
    }


def _counters(parts: Parts) -> Values:
    core, statistics, reporter = parts.core, parts.children.statistics, parts.reporter
    refused_lines = parts.list_feed.watch_state.refused_lines + parts.configuration.watch_state.refused_lines
    return {
        "reports": Value("Reports of children answered", statistics.reports),
        "reports_refused": Value("Malformed or stale reports", statistics.refused + core.membership.stale),
        "reports_granted": Value("Reports that were answered with a lease", statistics.granted),
        "children_turned_away": Value("Reports of children rejected with Retry-After", statistics.rejected),
        "upstream_reports": Value("Reports sent to the list service", reporter.sent),
        "upstream_failures": Value("Reports without a good answer", reporter.failed),
        "passed_up": Value("Calls forwarded to the list service", parts.forwarding.forwarded),
        "not_passed_up": Value("Calls that were not forwarded, or got no answer", parts.forwarding.rejected),
        "lines_refused": Value("Lines from the list service that were not believed", refused_lines),
    }
