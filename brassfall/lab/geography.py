"""Far regions: the delays from groups of applications to zones, and their changes. Pure code."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

from brassfall.lab.spec import Experiment, Geography

Delays = tuple[tuple[float, ...], ...]  # ms one way, by group and zone


class Route(NamedTuple):
    """The delays from a time on."""

    at: float  # ms from the start
    delays: Delays


def homes(experiment: Experiment) -> tuple[int, ...]:
    """The zone in which the sidecars of each group are; without a geography each zone is a group."""
    zones = experiment.fleet.zones
    if experiment.geography is None:
        return tuple(range(len(zones)))
    return tuple(zones.index(group.zone) for group in experiment.geography.groups)


def routes(experiment: Experiment, geography: Geography, rng: np.random.Generator) -> list[Route]:
    """The routes in order of time, the first from 0 on."""
    zones = experiment.fleet.zones
    now = [[group.delays[zone].at(rng.random()) for zone in zones] for group in geography.groups]
    found = [Route(0.0, _frozen(now))]
    names = [group.name for group in geography.groups]
    for change in sorted(geography.changes, key=lambda change: change.at):
        for zone, delay in change.delays.items():
            now[names.index(change.group)][zones.index(zone)] = delay.at(rng.random())
        found.append(Route(float(change.at), _frozen(now)))
    return found


def _frozen(rows: Sequence[Sequence[float]]) -> Delays:
    return tuple(tuple(row) for row in rows)
