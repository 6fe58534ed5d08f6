"""Interfaces, messages and durable state of the simulated service and sidecars. Pure code."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from brassfall.controlplane.overrides.clock import SteadyClock
from brassfall.controlplane.overrides.history import HistoryRing
from brassfall.controlplane.overrides.store import OverrideStore

Row = Mapping[str, Any]  # an override as JSON: a row of a layer, of the times left, or of the store
StoredRows = Iterable[tuple[str, Any]]


class Decision(Protocol):
    """The rules that a sidecar applies at one moment."""

    acted: tuple[tuple[str, int], ...]  # id and revision of each override in force
    tenant_pins: Mapping[str, str]
    tenant_shares: Mapping[str, Mapping[str, float]]
    excluded_regions: frozenset[str]
    caps: Mapping[str, float]
    frozen: bool


class SidecarState(NamedTuple):
    """What a sidecar states in each report."""

    digest: str  # of the overrides in force
    refresh: bool  # True if all times left are requested anew
    newest: int  # the newest override revision received


class Sidecar(Protocol):
    """A sidecar's override logic; times are in seconds of its own monotonic clock."""

    def receive_times(self, asked_s: float, answered_s: float, times: Mapping[str, Any]) -> None:
        """Use the times left in an answer."""

    def receive_layer(self, rows: list[dict[str, Any]]) -> None:
        """Use the overrides of a new configuration revision."""

    def report(self, now_s: float) -> SidecarState:
        """Return the state to report."""

    def timer(self, now_s: float) -> None:
        """Run periodic work; called every 100 ms while the process runs."""

    def decide(self, now_s: float) -> Decision:
        """Return the rules in force."""


class Clock(Protocol):
    """The interface of `SteadyClock`."""

    def now(self, monotonic_ms: float, /) -> int:
        """Return Unix ms."""

    def mark(self, monotonic_ms: float, /) -> int | None:
        """Return the mark to store; None if none is due."""


class ClockStart(NamedTuple):
    """What a clock has at a start of the service."""

    wall: Callable[[], float]  # Unix ms
    monotonic_ms: float
    mark_ms: float  # the stored mark, in Unix ms
    marked_at_ms: float | None  # on the monotonic clock; None after a reboot


def steady_clock(start: ClockStart) -> Clock:
    """Return the service's own clock."""
    return SteadyClock(start.wall(), start.monotonic_ms, start.mark_ms, start.marked_at_ms)


def rows_as_stored(rows: StoredRows, _now_ms: int) -> StoredRows:
    """Return the rows unchanged."""
    return list(rows)


@dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """The replaceable parts of the service; an injected defect replaces one."""

    clock: Callable[[ClockStart], Clock] = steady_clock
    store: Callable[[HistoryRing], OverrideStore] = OverrideStore
    loaded: Callable[[StoredRows, int], StoredRows] = rows_as_stored
    write_failure_share: float = 0.01  # of the commits


class Mark(NamedTuple):
    """A stored mark of the service's clock."""

    unix_ms: float
    monotonic_ms: float
    boot: int


@dataclass(slots=True)
class Disk:
    """The service's durable state."""

    rows: dict[str, Any] = field(default_factory=dict)
    history: dict[str, Any] = field(default_factory=dict)
    mark: Mark = field(default_factory=lambda: Mark(0.0, 0.0, -1))
    marked_true_ms: float = 0.0  # simulated time of the mark


class Revision(NamedTuple):
    """A configuration revision, as far as overrides go."""

    number: int
    rows: list[dict[str, Any]]


class Report(NamedTuple):
    """A sidecar's report."""

    state: SidecarState
    revision: int  # number of the configuration revision in use; 0 for none
    acted: dict[str, int] | None  # id and revision of overrides in force, if details were requested


class Answer(NamedTuple):
    """The service's answer to a report."""

    details_requested: bool
    times: Mapping[str, Row]  # times left by id; empty if the answer has none
    revision: Revision | None  # a configuration revision that the sidecar doesn't have


class ServiceView(Protocol):
    """What the judge reads of the service."""

    disk: Disk
    store: OverrideStore
    rate: float

    def unix(self) -> int:
        """Return the service's time in Unix ms."""


class NodeView(Protocol):
    """What the judge reads of a node."""

    number: int
    region: str
    layer: Mapping[str, Row]  # rows of the configuration revision in use, by id
    received: dict[str, int]  # the revision of the times received last, by id
    well_since: float  # simulated ms; no fault is active from then on
    faulted: bool  # True if it ever had a fault
