"""Whether two revisions estimate and plan the same, to the last bit. A script, not a test:

    python tests/compare_geo.py BEFORE [AFTER]

Each revision is unpacked into a folder of its own (AFTER is the working tree where it isn't named). Seeded
evidence is merged there, estimated again and again, and planned for, with a route that changes, a region
that is closed and one that loses its capacity. All floats are compared by their exact value. Exit status 1
where anything differs.
"""

from __future__ import annotations

import json
import os
import random
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from math import log
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SEEDS = (1, 2, 3)
GROUPS = [f"g{i}" for i in range(6)]
REGIONS = [f"r{i}" for i in range(4)]
ESTIMATES = 8
WINDOWS_PER_ESTIMATE = 3


def exact(value: Any) -> Any:
    """The value for JSON: floats in their exact hexadecimal form, records as their fields in order."""
    if isinstance(value, float):
        return value.hex()
    if is_dataclass(value):
        return [exact(getattr(value, field.name)) for field in fields(value)]
    if hasattr(value, "__struct_fields__"):
        return [exact(getattr(value, name)) for name in value.__struct_fields__]
    if isinstance(value, Mapping):
        return [[exact(key), exact(each)] for key, each in sorted(value.items())]
    if hasattr(value, "tolist"):
        return exact(value.tolist())
    return [exact(each) for each in value] if isinstance(value, list | tuple) else value


class World:
    """Seeded true delays, and the rows that three nodes of each group report of them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.delays = {(g, r): self.rng.uniform(2.0, 120.0) for g in GROUPS for r in REGIONS}
        self.measured = [pair for pair in self.delays if self.rng.random() < 0.7]
        self.liar = f"{GROUPS[0]}-0"

    def row(self, node: str, group: str, region: str, window: int) -> dict[str, Any]:
        """One row of the wire's form."""
        delay = self.delays[group, region] * (self.rng.uniform(0.1, 9.0) if node == self.liar else 1.0)
        row: dict[str, Any] = {"region": region, "window": window, "span_ms": 1000, "shake": {}, "first": {}}
        for kind, samples, extra in (("shake", 2, 0.0), ("first", 9, 3.0)):
            for _ in range(samples):
                delay_ms = delay * (1.0 + self.rng.expovariate(15.0)) + self.rng.uniform(0.0, extra)
                bucket = str(min(286, int(20.5 * (2.9957 + log(delay_ms)))))
                row[kind][bucket] = row[kind].get(bucket, 0) + 1
            while len(row[kind]) > 16:
                row[kind].popitem()
        return row


def trace(seed: int) -> list[Any]:
    """Estimates and plans of one seed, by the package on this process's path."""
    from brassfall.controlplane.geo import evidence

    world, state, estimate, plan, found = World(seed), evidence.State(), None, None, []
    update, make = _entry_points()
    for step in range(ESTIMATES):
        for window in range(step * WINDOWS_PER_ESTIMATE, (step + 1) * WINDOWS_PER_ESTIMATE):
            for group, region in world.measured:
                for node in (f"{group}-{k}" for k in range(3)):
                    row = world.row(node, group, region, window)
                    state = evidence.merge(state, node, "1", group, [row], float(window))
        now_s = float((step + 1) * WINDOWS_PER_ESTIMATE)
        estimate = update(state, now_s, [*GROUPS, "new"], [*REGIONS, "far"], estimate)
        demand = {group: 5.0 + 3.0 * i for i, group in enumerate(GROUPS)}
        capacity = {region: 40.0 + 10.0 * i for i, region in enumerate(REGIONS)}
        if step == 5:
            capacity["r1"] = 0.0
        price = {(group, "r0"): 4.0 for group in GROUPS}
        plan = make(estimate.pairs, demand, capacity, plan, price, ("r2",) if step == 3 else ())
        found.append([exact(estimate), exact(plan)])
        if step == 1:
            world.delays[world.measured[0]] *= 1.6
        if step == 4:
            world.delays[world.measured[-1]] *= 0.5
    return found


def _entry_points() -> tuple[Any, Any]:
    """How the revision on the path estimates and plans; before `geo.planner` one function made a plan."""
    from brassfall.controlplane.geo import model

    try:
        from brassfall.controlplane.geo import planner
    except ImportError:
        return model.follow, _earlier_plan
    policy = planner.PlanPolicy(min_spread=0.05, max_move=0.1, exploration=0.01)

    def make(pairs: Any, demand: Any, capacity: Any, before: Any, prices: Any, closed: Any) -> Any:
        inputs = planner.PlanInputs(pairs, demand, capacity, prices, closed)
        return planner.make_plan(inputs, policy, before)

    return model.update_estimate, make


def _earlier_plan(pairs: Any, demand: Any, capacity: Any, before: Any, prices: Any, closed: Any) -> Any:
    from brassfall.controlplane.geo import plan

    return plan.plan(pairs, demand, capacity, before, prices, 0.05, 0.1, 0.01, closed)


def traced(tree: Path) -> list[Any]:
    """The traces of all seeds by the package in a folder, in a process of its own."""
    environment = {**os.environ, "PYTHONPATH": str(tree), "OMP_NUM_THREADS": "1", "OPENBLAS_NUM_THREADS": "1"}
    command = [sys.executable, str(Path(__file__).resolve()), "--trace"]
    output = subprocess.run(command, cwd=tree, env=environment, check=True, capture_output=True).stdout
    return list(json.loads(output))


def unpack(revision: str, folder: Path) -> Path:
    """A revision's package in a folder."""
    archive = folder / "revision.tar"
    subprocess.run(["git", "archive", "-o", str(archive), revision, "brassfall"], cwd=ROOT, check=True)
    with tarfile.open(archive) as tar:
        tar.extractall(folder, filter="data")
    return folder


def main(arguments: list[str]) -> int:
    """Compare; 0 where all is the same."""
    if arguments == ["--trace"]:
        print(json.dumps([trace(seed) for seed in SEEDS]))
        return 0
    with tempfile.TemporaryDirectory() as before, tempfile.TemporaryDirectory() as after:
        old = traced(unpack(arguments[0], Path(before)))
        new = traced(unpack(arguments[1], Path(after)) if len(arguments) > 1 else ROOT)
    floats = json.dumps(new).count("0x")
    differ = [seed for seed, one, other in zip(SEEDS, old, new, strict=True) if one != other]
    print(f"{len(SEEDS)} seeds, {floats} floats: {f'seeds {differ} differ' if differ else 'all the same'}")
    return 1 if differ else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
