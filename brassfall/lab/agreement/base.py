"""Simulated true time, clocks that run at their own rates, and a network that delays, loses and repeats."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from brassfall.lab.agreement.program import Program
from brassfall.lab.agreement.rules import Judge

HOUR_MS = 3_600_000.0
EPOCH_MS = 1_700_000_000_000.0
KINDS = ("report", "answer", "watch", "open")  # what can be cut by itself: two ways, two connections


@dataclass(slots=True)
class Clock:
    """One machine's clocks: monotonic at a rate of its own, and a wall clock that may jump."""

    rate: float
    offset: float
    wall: float

    def mono(self, true_ms: float) -> float:
        """Monotonic ms at a true time."""
        return self.offset + true_ms * self.rate

    def unix(self, true_ms: float) -> float:
        """Wall clock, Unix ms."""
        return EPOCH_MS + self.wall + true_ms * self.rate

    def turn(self, true_ms: float, rate: float) -> None:
        """Go on at another rate."""
        self.offset += true_ms * (self.rate - rate)
        self.wall += true_ms * (self.rate - rate)
        self.rate = rate


@dataclass(slots=True)
class Net:
    """How the network is just now."""

    partitions: set[tuple[str, int, str]] = field(default_factory=set)  # sidecar, service, kind
    loss: float = 0.0
    slow: float = 0.0  # part of the messages that take up to `slow_ms`
    slow_ms: float = 900.0
    replay: float = 0.0


class Kernel:
    """Events in the order of true time; all random numbers come from one seed."""

    def __init__(self, seed: int, program: Program, judge: Judge) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.program = program
        self.judge = judge
        self.net = Net()
        self.met: Counter[str] = Counter()
        self.events = self.watches = 0
        self._heap: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self._count = 0

    def at(self, when: float, run: Callable[..., object], *args: Any) -> None:
        """Have something happen at a true time, at the earliest now."""
        self._count += 1
        heapq.heappush(self._heap, (max(when, self.now), self._count, run, args))

    def after(self, span: float, run: Callable[..., object], *args: Any) -> None:
        """Have something happen some true ms from now."""
        self.at(self.now + span, run, *args)

    def run(self, until: float) -> None:
        """Let time pass."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, run, args = heapq.heappop(heap)
            run(*args)
            self.events += 1
        self.now = until

    def clock(self) -> Clock:
        """A machine's clocks, with rates to the ends of what is allowed."""
        chance = self.random
        rate = chance.choice((0.99, 1.01, 1.0, chance.uniform(0.99, 1.01)))
        wall = chance.choice((0.0, HOUR_MS, -HOUR_MS, chance.uniform(-HOUR_MS, HOUR_MS)))
        return Clock(rate, chance.uniform(1e3, 1e9), wall)

    def delay(self) -> float:
        """How long a message takes, ms."""
        chance = self.random
        if self.net.slow and chance.random() < self.net.slow:
            return chance.uniform(5.0, self.net.slow_ms)
        return chance.uniform(0.2, 4.0)

    def lost(self, kind: str, sidecar: str, service: int) -> bool:
        """Whether a message of one kind gets nowhere."""
        if (sidecar, service, kind) in self.net.partitions:
            return True
        return bool(self.net.loss) and self.random.random() < self.net.loss
