"""What each part of `lab capacity` is given, and what it hands back."""

from __future__ import annotations

import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median

from brassfall.lab.capacity import machine
from brassfall.lab.capacity.environment import Environment
from brassfall.lab.capacity.measurements import Measurement
from brassfall.lab.capacity.roles import MACHINE


@dataclass(slots=True)
class Options:
    """What the command was asked for, and how its parts tell of progress."""

    sizes: list[int]  # sidecars
    out: Path
    say: Callable[[str], None]
    window_s: float = 15.0  # of a steady rate
    repeats: int = 4
    list_length: int = 60  # servers listed where the length of the list is not what is measured
    started: float = field(default_factory=time.monotonic)

    def progress(self, text: str) -> None:
        """A line on how far it is, with the load of the machine."""
        self.say(f"{time.monotonic() - self.started:6.0f} s, load {machine.load_average():5.1f}: {text}")

    @asynccontextmanager
    async def environment(self) -> AsyncIterator[Environment]:
        """A folder and processes for one measurement."""
        with tempfile.TemporaryDirectory(prefix="brassfall-capacity-") as folder:
            async with Environment(Path(folder)) as made:
                yield made


class Recorder:
    """Gathers measurements, and makes figures of their medians."""

    def __init__(self) -> None:
        self._values: dict[tuple[str, str, str, int], list[float]] = {}
        self._worst: set[tuple[str, str, str, int]] = set()
        self._made: list[Measurement] = []

    def add(self, role: str, quantity: str, unit: str, size: int, value: float) -> None:
        """One measurement."""
        self._values.setdefault((role, quantity, unit, size), []).append(value)

    def count(self, role: str, quantity: str, size: int, value: float) -> None:
        """One count of what should not be: the most of several stands, not their median."""
        self._worst.add((role, quantity, "", size))
        self.add(role, quantity, "", size, value)

    def take(self, made: list[Measurement]) -> None:
        """Figures that are medians already."""
        self._made += made

    def load(self, part: str, size: int) -> None:
        """The load average of the machine at this moment of a part."""
        self.add(MACHINE, f"load average, {part}", "", size, machine.load_average())

    def measurements(self) -> list[Measurement]:
        """All of them."""
        return self._made + [
            Measurement(*key, float(f"{(max if key in self._worst else median)(values):.4g}"), len(values))
            for key, values in self._values.items()
        ]


Part = Callable[[Options, Recorder, int], Awaitable[None]]  # measures at one size
