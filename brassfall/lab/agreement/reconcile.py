"""How long overrides take to be the same everywhere after a third of the sidecars were cut off for 10 s.

The world of `brassfall.lab.overrides`, without its drawn faults and its slow messages: the real book and
reconciler, the real deadlines of the sidecar. While a third is cut off, one override is ended, one changed,
two are new, and one expires. From the moment at which the ways are open again, it is looked every 20 ms
whether what a sidecar acts on is what is due.
"""

from __future__ import annotations

import importlib
from dataclasses import dataclass
from typing import Any

from brassfall.controlplane.overrides import document as doc
from brassfall.lab.overrides.node import Direction, Node
from brassfall.lab.overrides.parts import Parts, SidecarState
from brassfall.lab.overrides.timeline import MESSAGE_MS
from brassfall.lab.overrides.workload import CLASSES, REGIONS, TENANTS
from brassfall.lab.overrides.world import World

PARTITION_MS, HEALED_MS, END_MS, LOOK_MS = 8_000.0, 18_000.0, 30_000.0, 20.0

# By name, as the program under test: nothing of the house is built on a sidecar's files.
deadlines: Any = importlib.import_module("brassfall.sidecar.agent.deadlines")
override_layer: Any = importlib.import_module("brassfall.sidecar.agent.override_layer")
overrides: Any = importlib.import_module("brassfall.sidecar.agent.overrides")
NAMES = overrides.KnownNames(frozenset(REGIONS), classes=frozenset(CLASSES), tenants=frozenset(TENANTS))


class Sidecar:
    """A sidecar's side as it is."""

    def __init__(self, region: str) -> None:
        self.deadlines, self.lines = deadlines.Deadlines(), ()
        self.place = override_layer.Place("", region)

    def receive_times(self, asked_s: float, answered_s: float, found: Any) -> None:
        """Times left."""
        self.deadlines.receive(asked_s, found, answered_s)

    def receive_layer(self, raw: list[dict[str, Any]]) -> None:
        """The overrides of a revision."""
        self.lines, _ = override_layer.read_layer(raw)

    def report(self, now_s: float) -> SidecarState:
        """As in a report."""
        acted = deadlines.digest(self.decide(now_s).acted)
        return SidecarState(acted, self.deadlines.refresh_due(now_s), self.deadlines.newest_revision)

    def timer(self, now_s: float) -> None:
        """Nothing is done by time."""

    def decide(self, now_s: float) -> Any:
        """What is in force."""
        view = overrides.LocalView(self.place, NAMES)
        return overrides.effective_rules(now_s, overrides.SteeringRules(), self.lines, self.deadlines, view)


class Quiet(World):
    """No faults but the one, and no slow messages."""

    def operate(self) -> None:
        """Nothing is drawn."""

    def inject_fault(self) -> None:
        """Nothing is drawn."""

    def message_ms(self) -> float:
        """How long a message takes."""
        return self.random_ms(MESSAGE_MS)

    def put_cap(self, key: str, rate: float, left_ms: float = 600_000.0) -> None:
        """Call the service for a cap."""
        until = int(self.service.unix() + left_ms)
        cap = doc.Action(cap=doc.Cap(rate))
        match = doc.Match(cls=CLASSES[len(key) % 2])
        made = doc.Document(action=cap, match=match, by="op", why="measured", until_ms=until)
        self.put(key, made)

    def good(self, node: Node) -> bool:
        """Whether it acts on what is due."""
        due = sorted((each.id, each.rev) for each in self.service.store.active(self.service.unix()))
        return sorted(node.sidecar.decide(node.clock()).acted) == due


@dataclass(frozen=True, slots=True)
class Reconciled:
    """Times in ms from when the ways were open again; None where it did not come about."""

    nodes: int
    seed: int
    times: tuple[float, ...]
    missing: int


def play(nodes: int, seed: int) -> Reconciled:
    """One fleet."""
    world = Quiet(seed, nodes, END_MS, Sidecar, Parts(write_failure_share=0.0))
    world.run_until(3_000.0)
    for number in range(4):
        world.put_cap(f"o{number}", 50.0 + number, 9_000.0 if number == 3 else 600_000.0)
    world.run_until(PARTITION_MS)
    away = world.rng.sample(world.nodes, nodes // 3)
    for node in away:
        node.partitioned_until = dict.fromkeys(Direction, HEALED_MS)
    world.run_until(PARTITION_MS + 2_000.0)
    world.end("o0")
    world.put_cap("o1", 70.0)
    for key in ("o4", "o5"):
        world.put_cap(key, 80.0)
    world.run_until(HEALED_MS)
    times: list[float] = []
    left = [node for node in away if not world.good(node)]
    while left and world.now < END_MS:
        world.run_until(world.now + LOOK_MS)
        still = [node for node in left if not world.good(node)]
        times += [world.now - HEALED_MS] * (len(left) - len(still))
        left = still
    return Reconciled(nodes, seed, tuple(times), len(left))
