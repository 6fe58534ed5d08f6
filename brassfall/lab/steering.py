"""How sidecars are steered over far regions in a play. Pure code.

A plan is computed from the true delays (what an estimator could know at best), or given by the version. It
knows of no fault, only of changed routes, and of those after a lag.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

import numpy as np
from scipy.optimize import linprog

from brassfall.balancer import model
from brassfall.lab.day import Day
from brassfall.lab.geography import Delays
from brassfall.lab.spec import Experiment, Geography, Version

MIN_FILL = 1.1  # capacity over demand that a plan has at least, so that it is feasible
MIN_SHARE = 1e-6  # smaller shares are left out

ZoneShares = dict[int, float]  # of one group, by zone


class SteeringEvent(NamedTuple):
    """What the sidecars of a group are sent."""

    at: float  # ms from the start
    group: int
    steer: model.SteeringDirectives


def ideal_shares(
    delays: Delays, loads: Sequence[float], capacities: Sequence[float], min_spread: float
) -> list[ZoneShares]:
    """The shares of each group by least delay, where zones have these capacities (in the unit of the loads).

    Each zone with capacity has at least `min_spread` of every group. Where that is not feasible, all groups
    have shares by capacity."""
    groups, zones = len(loads), len(capacities)
    load, capacity = np.array(loads) / math.fsum(loads), np.array(capacities) / math.fsum(loads)
    cost = (np.array(delays) * load[:, None]).ravel()
    group_sums = np.kron(np.eye(groups), np.ones(zones))
    zone_loads = np.kron(load, np.eye(zones))
    bounds = [(min_spread if rate > 0.0 else 0.0, 1.0) for rate in capacities] * groups
    found = linprog(cost, zone_loads, capacity, group_sums, np.ones(groups), bounds=bounds, method="highs")
    if found.x is None:
        shares = np.tile(capacity / capacity.sum(), (groups, 1))
    else:
        shares = found.x.reshape(groups, zones)
    return [{zone: float(share) for zone, share in enumerate(row) if share > MIN_SHARE} for row in shares]


def steering_events(experiment: Experiment, version: Version, day: Day) -> list[SteeringEvent]:
    """What the sidecars of a version are sent on a day, in order of time."""
    geography = experiment.geography
    if geography is None or not (version.steer != "off" or version.holds):
        return []
    zones = experiment.fleet.zones
    times = {0.0}
    if version.steer == "true":
        times |= {route.at + geography.lag for route in day.routes[1:]}
    times |= {float(end) for hold in version.holds for end in (hold.begin, hold.end)}
    events = []
    for now in sorted(times):
        closed = frozenset(zones.index(hold.zone) for hold in version.holds if hold.begin <= now < hold.end)
        for group, shares in enumerate(_shares(zones, geography, version, day, now)):
            steer = _steer(shares, closed, version.look)
            events.append(SteeringEvent(now, group, steer))
    return events


def _steer(shares: ZoneShares, excluded: frozenset[int], explore: float) -> model.SteeringDirectives:
    """By position: the decision module of an earlier revision has other names for the fields."""
    return model.SteeringDirectives(shares, {}, {}, excluded, frozenset(), {}, 1.0, explore)


def _shares(
    zones: Sequence[str], geography: Geography, version: Version, day: Day, now: float
) -> list[ZoneShares]:
    """The shares of each group from a time on."""
    if version.steer == "off":
        return [{} for _ in geography.groups]
    if version.steer == "fixed":
        given = [version.shares.get(group.name, {}) for group in geography.groups]
        return [{zones.index(zone): share for zone, share in row.items()} for row in given]
    known = [route.delays for route in day.routes if route.at == 0.0 or route.at + geography.lag <= now]
    loads = [
        math.fsum(app.share for app in day.apps if app.group == group) for group in range(len(known[-1]))
    ]
    capacity = [math.fsum(s.capacity for s in day.servers if s.zone == zone) for zone in range(len(zones))]
    used = math.fsum(day.arrivals.work) / day.lasts / math.fsum(capacity)
    # Where the load is above what a plan may fill, it is spread nearly in proportion to capacity.
    fill = max(geography.fill / used, MIN_FILL) if used else MIN_FILL
    capacities = [fill * part / math.fsum(capacity) for part in capacity]
    return ideal_shares(known[-1], loads, capacities, geography.min_spread)
