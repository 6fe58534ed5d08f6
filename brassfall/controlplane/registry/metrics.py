"""What the processes of this package tell Prometheus. The hot path counts in plain numbers, read at each
scrape."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Protocol

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from brassfall.controlplane.registry.front import Front
from brassfall.controlplane.store.store import Store

SECONDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)

Told = Mapping[str, tuple[str, float]]  # by name: what it is, and its value


class Fronted(Protocol):
    """A process with an HTTP side, and what it measures beside."""

    front: Front

    def figures(self) -> tuple[Told, Told]:
        """Gauges and counters of its own, each with what it tells."""


class Measured(Fronted, Protocol):
    """What of a list service is measured."""

    store: Store

    @property
    def gathering(self) -> bool:
        """Whether a lost list is coming back."""


class HttpMetrics:
    """The metrics of one process: of its calls and watches, and what it adds."""

    def __init__(self, process: Fronted) -> None:
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
        """A call was answered."""
        self._calls[method, status] += 1
        if method != "GET":
            self._seconds.observe(seconds)

    def text(self) -> bytes:
        """All of them, in Prometheus text form."""
        return generate_latest(self._registry)

    def gauges(self) -> Told:
        """What stands now."""
        front = self._process.front
        channels = front.channels.values()
        return {
            "watches": ("Open watches", sum(channel.count for channel in channels)),
            "watches_behind": ("Watches that read too slowly", sum(channel.behind for channel in channels)),
            "connections": ("Open connections", len(front.callers)),
            **self._process.figures()[0],
        }

    def counters(self) -> Told:
        """What has happened since the start."""
        front = self._process.front
        channels = front.channels.values()
        return {
            "lists_built": ("Whole lists encoded", sum(c.figures.lists_built for c in channels)),
            "lines_built": ("Lines of watches encoded", sum(c.figures.lines_built for c in channels)),
            "lines_sent": ("Lines written to watches", sum(c.figures.lines_sent for c in channels)),
            "watches_merged": ("Slow watches told all at once", sum(c.figures.merged for c in channels)),
            "watches_cut": ("Slow watches cut off", sum(c.figures.cut for c in channels)),
            "turned_away": ("Calls told to come again", front.turned_away),
            "connections_refused": ("Connections without a place", front.callers.refused),
            "connections_idled": ("Connections closed for idling", front.callers.idled),
            "malformed": ("Calls that were no HTTP", front.callers.malformed),
            **self._process.figures()[1],
        }

    def collect(self) -> Iterable[Metric]:
        """Called at each scrape."""
        calls = CounterMetricFamily("brassfall_calls", "Calls answered", labels=["method", "status"])
        for (method, status), number in self._calls.items():
            calls.add_metric([method, str(status)], number)
        yield calls
        for name, (text, value) in self.gauges().items():
            yield GaugeMetricFamily(f"brassfall_{name}", text, value)
        for name, (text, value) in self.counters().items():
            yield CounterMetricFamily(f"brassfall_{name}", text, value)


class Metrics(HttpMetrics):
    """The metrics of one list service."""

    def __init__(self, service: Measured) -> None:
        self._service = service
        self.changes = 0
        super().__init__(service)

    def gauges(self) -> Told:
        """What stands now."""
        service, store = self._service, self._service.store
        return {
            "index": ("The newest index", store.state.index),
            "rows": ("Rows in all tables", sum(map(store.state.count, store.state.names))),
            "suspects": ("Instances kept though their leases are over", len(store.suspects("instances"))),
            "writes_waiting": ("Writes that wait for the disk", store.waiting),
            "disk_failing": ("1 while commits fail", float(bool(store.statistics.disk))),
            "gathering": ("1 while a lost list is being gathered", float(service.gathering)),
            **super().gauges(),
        }

    def counters(self) -> Told:
        """What has happened since the start."""
        figures = self._service.store.statistics
        return {
            "changes": ("Changes told", self.changes),
            "writes": ("Records put on the disk", figures.writes),
            "commits": ("Syncs of the disk", figures.commits),
            "commit_seconds": ("Time spent in them", figures.commit_s),
            "commit_failures": ("Commits that failed", figures.failures),
            "snapshots": ("Snapshots stored", figures.snapshots),
            "expired": ("Leases that ended", figures.expired),
            "suspected": ("Leases whose end was doubted", figures.suspected),
            **super().counters(),
        }
