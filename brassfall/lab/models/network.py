"""The network between zones, and what can be wrong with it. Pure code."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from brassfall.lab.day import NetworkDelays


@dataclass(slots=True)
class Network:
    """Delays one way, in ms; None where packets are lost without a reset or an error."""

    delays: NetworkDelays
    chance: Callable[[], float]
    partitioned: set[int] = field(default_factory=set)  # zones cut off from all others
    unreachable: set[str] = field(default_factory=set)  # servers behind a black hole
    answers_lost: set[str] = field(default_factory=set)  # servers whose answers are lost
    slow: dict[str, float] = field(default_factory=dict)  # ms more, by server

    def _delay_ms(self, group: int, there: int) -> float | None:
        if not self.reaches(self.delays.homes[group], there):
            return None
        return self.delays.between[group][there] * (1.0 + self.delays.jitter * self.chance())

    def to_server(self, group: int, server: str, there: int) -> float | None:
        """From a sidecar of a group to a server in a zone."""
        if server in self.unreachable:
            return None
        delay_ms = self._delay_ms(group, there)
        return delay_ms if delay_ms is None or not self.slow else delay_ms + self.slow.get(server, 0.0)

    def to_sidecar(self, server: str, there: int, group: int) -> float | None:
        """From a server in a zone back to a sidecar of a group."""
        if server in self.answers_lost:
            return None
        return self.to_server(group, server, there)

    def reaches(self, here: int, there: int) -> bool:
        """Whether two zones can reach each other."""
        return here == there or not (here in self.partitioned or there in self.partitioned)
