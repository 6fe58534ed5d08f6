"""A simulated geography with true delays, and what nodes measure of them. Pure code.

It is the reference that the geo model is tested against. The true delay of a pair, in ms, is the access
delay of the group, the access delay of the region, and their distance in a plane times a detour of the
pair's own. Nodes measure it with jitter, and with a server's work and queue where the server does not say
what it spent; a part of the nodes reports nonsense. All chance comes from the generator of the world.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

import numpy as np

PairName = tuple[str, str]  # (client group, region)

PLANE = np.array([100.0, 60.0])  # ms, the width and height in which groups and regions lie
GROUP_ACCESS_MS, REGION_ACCESS_MS, ACCESS_SD = 4.0, 1.0, 0.5  # medians, and the sd of the logarithm
NONSENSE = ("any", "times", "same")  # kinds: random delays, true ones scaled, or one constant
LOG_SCALE = 1.6  # of a scaled or constant delay, either way
ANY_MS = (0.1, 10_000.0)
CONSTANT_MS = 20.0
MIN_IDLE = 0.02  # of a region's servers, at any load
INCARNATION = "1"  # of every node


class Sketch(Protocol):
    """Where a sidecar collects what it measures."""

    def count_handshake(self, region: str, ms: float, *, cold: bool) -> None:
        """A connection was opened in `ms`; `cold` if the server has just started."""

    def count_first_byte(self, region: str, ms: float, spent_ms: float, /) -> None:
        """An answer began after `ms`, of which the server says it spent `spent_ms`."""

    def take_rows(self, now_s: float) -> list[dict[str, object]]:
        """The rows of the next report."""


class Report(NamedTuple):
    """What one node reports."""

    node: str
    incarnation: str
    group: str
    rows: list[Any]


@dataclass(frozen=True, slots=True)
class WorldTerms:
    """How a world is sampled."""

    groups: int = 40
    regions: int = 12
    nodes: tuple[int, int] = (3, 8)  # of a group
    measured: float = 1.0 / 3.0  # of all pairs
    nonsense: float = 1.0 / 3.0  # of all nodes
    rate: float = 5.0  # requests/s of a measured pair, over all nodes of its group
    handshakes: float = 0.1  # of requests open a connection
    detour: float = 0.12  # sd of its logarithm
    jitter: float = 0.06  # mean, as a part of the delay
    work_ms: float = 5.0
    load: tuple[float, float] = (0.2, 0.8)  # of a region's servers
    reporting: float = 0.5  # of regions say what they spent


@dataclass(slots=True)
class World:
    """The true delays, and the nodes that measure them."""

    rng: np.random.Generator
    terms: WorldTerms
    groups: list[str]
    regions: list[str]
    true_ms: dict[PairName, float]
    zones: dict[str, str]  # of groups and regions: the nearest of four corners, as operators would name it
    load: dict[str, float]  # by region
    reports_work: dict[str, bool]  # by region
    measured: list[PairName]
    nodes: dict[str, list[str]]  # by group
    nonsense: dict[str, tuple[str, float]]  # kind and size, by node that reports it
    sketches: dict[str, Sketch] = field(default_factory=dict)  # by node


def sample_world(seed: int, terms: WorldTerms, sketch: Callable[[str], Sketch]) -> World:
    """The world of a seed; `sketch` makes the sketch of a node from its group."""
    rng = np.random.default_rng(seed)
    groups = [f"g{i}" for i in range(terms.groups)]
    regions = [f"r{i}" for i in range(terms.regions)]
    place = {name: rng.random(2) * PLANE for name in groups + regions}
    access = {name: float(rng.lognormal(math.log(GROUP_ACCESS_MS), ACCESS_SD)) for name in groups}
    access |= {name: float(rng.lognormal(math.log(REGION_ACCESS_MS), ACCESS_SD)) for name in regions}
    true_ms: dict[PairName, float] = {}
    for group in groups:
        for region in regions:
            detour = math.exp(rng.normal(0.0, terms.detour))
            distance = math.hypot(*(place[group] - place[region])) * detour
            true_ms[group, region] = access[group] + access[region] + distance
    pairs = list(true_ms)
    measured = rng.permutation(len(pairs))[: max(1, round(terms.measured * len(pairs)))]
    low, high = terms.nodes
    nodes = {group: [f"{group}-e{i}" for i in range(rng.integers(low, high + 1))] for group in groups}
    names = [node for each in nodes.values() for node in each]
    faulty = [names[i] for i in rng.permutation(len(names))[: round(terms.nonsense * len(names))]]
    return World(
        rng=rng,
        terms=terms,
        groups=groups,
        regions=regions,
        true_ms=true_ms,
        zones={name: f"{int(2 * x / PLANE[0])}{int(2 * y / PLANE[1])}" for name, (x, y) in place.items()},
        load={region: float(rng.uniform(*terms.load)) for region in regions},
        reports_work={region: bool(rng.random() < terms.reporting) for region in regions},
        measured=sorted(pairs[i] for i in measured),
        nodes=nodes,
        nonsense={node: _nonsense(rng) for node in faulty},
        sketches={node: sketch(group) for group, each in nodes.items() for node in each},
    )


def _nonsense(rng: np.random.Generator) -> tuple[str, float]:
    """The kind and size of what a faulty node reports."""
    return NONSENSE[int(rng.integers(len(NONSENSE)))], math.exp(rng.uniform(-LOG_SCALE, LOG_SCALE))


def send_requests(world: World, pairs: Sequence[PairName], span_s: float) -> None:
    """Requests of so many seconds over these pairs, measured by their nodes."""
    for group, region in pairs:
        for _ in range(int(world.rng.poisson(world.terms.rate * span_s))):
            node = world.nodes[group][int(world.rng.integers(len(world.nodes[group])))]
            _send_request(world, node, group, region)


def _send_request(world: World, node: str, group: str, region: str) -> None:
    terms, rng = world.terms, world.rng
    true_ms = world.true_ms[group, region]
    delay_ms = true_ms + rng.exponential(terms.jitter * true_ms)
    load = world.load[region]
    spent_ms = rng.exponential(terms.work_ms)
    if rng.random() < load:
        spent_ms += rng.exponential(terms.work_ms / max(MIN_IDLE, 1.0 - load))
    handshake_ms = true_ms + rng.exponential(terms.jitter * true_ms)
    if node in world.nonsense:
        kind, size = world.nonsense[node]
        any_ms = math.exp(rng.uniform(math.log(ANY_MS[0]), math.log(ANY_MS[1])))
        delay_ms, handshake_ms = {
            "any": (any_ms, any_ms),
            "times": (delay_ms * size, handshake_ms * size),
            "same": (CONSTANT_MS * size, CONSTANT_MS * size),
        }[kind]
    sketch = world.sketches[node]
    if rng.random() < terms.handshakes:
        sketch.count_handshake(region, float(handshake_ms), cold=False)
    reported_ms = float(spent_ms) if world.reports_work[region] else 0.0
    sketch.count_first_byte(region, float(delay_ms + spent_ms), reported_ms)


def reports(world: World, now_s: float) -> list[Report]:
    """What the nodes report now, those that have anything to report."""
    found = []
    for group, nodes in world.nodes.items():
        for node in nodes:
            rows: list[Any] = list(world.sketches[node].take_rows(now_s))
            if rows:
                found.append(Report(node, INCARNATION, group, rows))
    return found
