"""What a play of overrides is put together from: both sides' seams, and what lasts over a kill. Pure code."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from brassfall.controlplane.overrides.clock import SteadyClock
from brassfall.controlplane.overrides.history import HistoryRing
from brassfall.controlplane.overrides.store import OverrideStore


class Decided(Protocol):
    """What a sidecar's side says is to be done now."""

    acted: tuple[tuple[str, int], ...]
    tenant_pins: Mapping[str, str]
    tenant_shares: Mapping[str, Mapping[str, float]]
    excluded_regions: frozenset[str]
    caps: Mapping[str, float]
    frozen: bool


class Edge(Protocol):
    """A sidecar's side; times in s of its own monotonic clock."""

    def told(self, asked_s: float, answered_s: float, found: Mapping[str, Any]) -> None:
        """The times left, out of an answer."""

    def layer(self, raw: list[dict[str, Any]]) -> None:
        """The overrides of a new edition."""

    def report(self, now_s: float) -> tuple[str, bool, int]:
        """The digest of what is acted on, whether times are asked for, and the newest revision told."""

    def timer(self, now_s: float) -> None:
        """Called every 100 ms while the process runs."""

    def decide(self, now_s: float) -> Decided:
        """What is to be done."""


class Clock(Protocol):
    """`SteadyClock`, or one with a flaw."""

    def now(self, monotonic_ms: float) -> int:
        """Unix ms."""

    def mark(self, monotonic_ms: float) -> int | None:
        """The mark to write."""


def steady(wall: Callable[[], float], mono: float, mark: float, marked_at: float | None) -> Clock:
    """The clock as it is."""
    return SteadyClock(wall(), mono, mark, marked_at)


def as_stored(rows: Iterable[tuple[str, Any]], now: int) -> list[tuple[str, Any]]:
    """Rows as they are read after a start."""
    return list(rows)


@dataclass(frozen=True, slots=True)
class Parts:
    """The service's side; flaws replace some of it."""

    clock: Callable[[Callable[[], float], float, float, float | None], Clock] = steady
    store: Callable[[HistoryRing], OverrideStore] = OverrideStore
    loaded: Callable[[Iterable[tuple[str, Any]], int], list[tuple[str, Any]]] = as_stored


@dataclass(slots=True)
class Disk:
    """What lasts over a kill of the service."""

    rows: dict[str, Any] = field(default_factory=dict)
    history: dict[str, Any] = field(default_factory=dict)
    mark: tuple[float, float, int] = (0.0, 0.0, -1)  # Unix ms, monotonic ms, which boot
    marked_true: float = 0.0
