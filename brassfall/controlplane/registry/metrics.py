"""Metrics of a control-plane process in Prometheus' text format, read from plain counters at each scrape."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from brassfall.controlplane.registry.front import HttpServer
from brassfall.controlplane.store.store import Store

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)


@dataclass(frozen=True, slots=True)
class Value:
    """The help text of a metric, and its value at a scrape."""

    text: str
    value: float


Values = dict[str, Value]  # by metric name, without the prefix `brassfall_` and a counter's suffix `_total`


@dataclass(frozen=True, slots=True)
class ProcessMetrics:
    """The metrics of one process, apart from those of its HTTP server."""

    gauges: Values = field(default_factory=dict)
    counters: Values = field(default_factory=dict)


class HttpProcess(Protocol):
    """A process with an HTTP server and its own metrics."""

    http_server: HttpServer

    def process_metrics(self) -> ProcessMetrics:
        """Return the gauges and counters that are not those of the HTTP server."""


class ListService(HttpProcess, Protocol):
    """The parts of a list service that its metrics are read from."""

    store: Store

    @property
    def is_rebuilding_list(self) -> bool:
        """True if a lost list is being rebuilt from its servers' registrations."""


class HttpMetrics:
    """Collects the metrics of one process: those of its HTTP server, and its own."""

    def __init__(self, process: HttpProcess) -> None:
        self._process = process
        self._registry = CollectorRegistry()
        self._registry.register(self)
        self._calls: Counter[tuple[str, int]] = Counter()
        self._seconds = Histogram(
            "brassfall_write_seconds",
            "Time from a write's arrival to its answer",
            registry=self._registry,
            buckets=SECONDS,
        )

    def called(self, method: str, status: int, seconds: float) -> None:
        """Count an answered call, and record the duration of a write."""
        self._calls[method, status] += 1
        if method != "GET":
            self._seconds.observe(seconds)

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self._registry)

    def gauges(self) -> Values:
        """Return the present values."""
        http_server = self._process.http_server
        channels = http_server.channels.values()
        return {
            "watches": Value("Open watches", sum(channel.count for channel in channels)),
            "watches_behind": Value(
                "Watches that read too slowly", sum(channel.behind for channel in channels)
            ),
            "connections": Value("Open connections", len(http_server.callers)),
            **self._process.process_metrics().gauges,
        }

    def counters(self) -> Values:
        """Return the counts since the start."""
        http_server = self._process.http_server
        statistics = [channel.statistics for channel in http_server.channels.values()]
        return {
            "lists_built": Value("Whole lists encoded", sum(each.lists_encoded for each in statistics)),
            "lines_built": Value("Lines of watches encoded", sum(each.lines_encoded for each in statistics)),
            "lines_sent": Value("Lines written to watches", sum(each.lines_sent for each in statistics)),
            "watches_merged": Value(
                "Slow watches sent in one line what they had missed", sum(each.merged for each in statistics)
            ),
            "watches_cut": Value("Slow watches that were aborted", sum(each.aborted for each in statistics)),
            "turned_away": Value("Calls rejected with Retry-After", http_server.rejected),
            "connections_refused": Value("Connections rejected at the limit", http_server.callers.rejected),
            "connections_idled": Value("Connections closed for idling", http_server.callers.idle_closed),
            "malformed": Value("Calls that were no HTTP", http_server.callers.malformed),
            **self._process.process_metrics().counters,
        }

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics; the client library calls this at each scrape."""
        calls = CounterMetricFamily("brassfall_calls", "Calls answered", labels=["method", "status"])
        for (method, status), number in self._calls.items():
            calls.add_metric([method, str(status)], number)
        yield calls
        for name, gauge in self.gauges().items():
            yield GaugeMetricFamily(f"brassfall_{name}", gauge.text, gauge.value)
        for name, counter in self.counters().items():
            yield CounterMetricFamily(f"brassfall_{name}", counter.text, counter.value)


class ListServiceMetrics(HttpMetrics):
    """Collects the metrics of one list service, including those of its store."""

    def __init__(self, service: ListService) -> None:
        self._service = service
        self.changes = 0
        super().__init__(service)

    def gauges(self) -> Values:
        """Return the present values."""
        service, store = self._service, self._service.store
        return {
            "index": Value("The newest index", store.state.index),
            "rows": Value("Rows in all tables", sum(map(store.state.count, store.state.names))),
            "suspects": Value(
                "Instances kept though their leases are over", len(store.suspects("instances"))
            ),
            "writes_waiting": Value("Writes that wait for the disk", store.queued_writes),
            "disk_failing": Value("1 while commits fail", float(bool(store.statistics.disk_error))),
            "gathering": Value("1 while a lost list is being gathered", float(service.is_rebuilding_list)),
            **super().gauges(),
        }

    def counters(self) -> Values:
        """Return the counts since the start."""
        store = self._service.store.statistics
        return {
            "changes": Value("Changes published to watches", self.changes),
            "writes": Value("Records put on the disk", store.writes),
            "commits": Value("Syncs of the disk", store.commits),
            "commit_seconds": Value("Time spent in them", store.commit_s),
            "commit_failures": Value("Commits that failed", store.failed_commits),
            "snapshots": Value("Snapshots stored", store.snapshots),
            "expired": Value("Leases that ended", store.expired_leases),
            "suspected": Value("Leases whose end was doubted", store.suspected_leases),
            **super().counters(),
        }
