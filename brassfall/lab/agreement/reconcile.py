"""How long overrides take to be the same everywhere after a third of the sidecars were cut off for 10 s.

The world of `brassfall.lab.overrides`, without its drawn faults and its slow messages: the real book and
reconciler, the real deadlines of the sidecar. While a third is cut off, one override is ended, one changed,
two are new, and one expires. From the moment at which the ways are open again, it is looked every 20 ms
whether what a sidecar acts on is what is due.
"""

from __future__ import annotations

import heapq
import importlib
from dataclasses import dataclass
from typing import Any

from brassfall.controlplane.overrides import document as doc
from brassfall.controlplane.overrides import events
from brassfall.lab.overrides.world import CLASSES, REGIONS, TENANTS, WAY_MS, Node, World

PARTITION_MS, HEALED_MS, END_MS, LOOK_MS = 8_000.0, 18_000.0, 30_000.0, 20.0

# By name, as the program under test: nothing of the house is built on a sidecar's files.
deadlines: Any = importlib.import_module("brassfall.sidecar.agent.deadlines")
override_layer: Any = importlib.import_module("brassfall.sidecar.agent.override_layer")
overrides: Any = importlib.import_module("brassfall.sidecar.agent.overrides")
NAMES = overrides.Names(frozenset(REGIONS), classes=frozenset(CLASSES), tenants=frozenset(TENANTS))


class Sidecar:
    """A sidecar's side as it is."""

    def __init__(self, region: str) -> None:
        self.deadlines, self.lines = deadlines.Deadlines(), ()
        self.place = override_layer.Place("", region)

    def told(self, asked_s: float, answered_s: float, found: Any) -> None:
        """Times left."""
        self.deadlines.receive(asked_s, found, answered_s)

    def layer(self, raw: list[dict[str, Any]]) -> None:
        """The overrides of a revision."""
        self.lines, _ = override_layer.read_layer(raw)

    def report(self, now_s: float) -> tuple[str, bool, int]:
        """As in a report."""
        acted = deadlines.digest(self.decide(now_s).acted)
        return acted, self.deadlines.refresh_due(now_s), self.deadlines.newest

    def timer(self, now_s: float) -> None:
        """Nothing is done by time."""

    def decide(self, now_s: float) -> Any:
        """What is in force."""
        view = overrides.LocalView(self.place, NAMES)
        return overrides.effective(now_s, overrides.Rules(), self.lines, self.deadlines, view)


class Quiet(World):
    """No faults but the one, and no slow messages."""

    def operate(self) -> None:
        """Nothing is drawn."""

    def fault(self) -> None:
        """Nothing is drawn."""

    def way(self) -> float:
        """How long a message takes."""
        return self.draw(WAY_MS)

    def until(self, when: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= when:
            self.now, _, what, args = heapq.heappop(self._events)
            what(*args)
        self.now = when

    def put(self, key: str, rate: float, left_ms: float = 600_000.0) -> None:
        """An operator's cap."""
        self._call += 1
        until = int(self.service.unix() + left_ms)
        cap = doc.Action(cap=doc.Cap(rate))
        match = doc.Match(cls=CLASSES[len(key) % 2])
        made = doc.Document(action=cap, match=match, by="op", why="measured", until_ms=until)
        self._calls[self._call] = (key, made)
        self.service.call(events.Put(self._call, key, made))

    def end(self, key: str) -> None:
        """An operator ends one."""
        self._call += 1
        self._calls[self._call] = (key, None)
        self.service.call(events.End(self._call, key, "op", "enough"))

    def good(self, node: Node) -> bool:
        """Whether it acts on what is due."""
        due = sorted((each.id, each.rev) for each in self.service.store.active(self.service.unix()))
        return sorted(node.edge.decide(node.clock()).acted) == due


@dataclass(frozen=True, slots=True)
class Reconciled:
    """Times in ms from when the ways were open again; None where it did not come about."""

    nodes: int
    seed: int
    times: tuple[float, ...]
    missing: int


def play(nodes: int, seed: int) -> Reconciled:
    """One fleet."""
    world = Quiet(seed, nodes, END_MS, Sidecar, bad_disk=0.0)
    world.until(3_000.0)
    for number in range(4):
        world.put(f"o{number}", 50.0 + number, 9_000.0 if number == 3 else 600_000.0)
    world.until(PARTITION_MS)
    away = world.rng.sample(world.nodes, nodes // 3)
    for node in away:
        node.cuts = {"up": HEALED_MS, "down": HEALED_MS}
    world.until(PARTITION_MS + 2_000.0)
    world.end("o0")
    world.put("o1", 70.0)
    for key in ("o4", "o5"):
        world.put(key, 80.0)
    world.until(HEALED_MS)
    times: list[float] = []
    left = [node for node in away if not world.good(node)]
    while left and world.now < END_MS:
        world.until(world.now + LOOK_MS)
        still = [node for node in left if not world.good(node)]
        times += [world.now - HEALED_MS] * (len(left) - len(still))
        left = still
    return Reconciled(nodes, seed, tuple(times), len(left))
