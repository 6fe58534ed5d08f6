"""A steering plan: the share of each group's requests for each region, its JSON form, its age. Pure code."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypeGuard

from brassfall.errors import RequestError

Shares = Mapping[str, Mapping[str, float]]  # by group and region

# The keys of a plan layer, as errors name them.
PLAN, EXPLORATION, AGE_LIMIT, SHARES = "plan", "plan.look", "plan.age_limit_ms", "plan.shares"

# The keys of a plan layer, as errors name them.
PLAN, EXPLORATION, AGE_LIMIT, SHARES = "plan", "plan.look", "plan.age_limit_ms", "plan.shares"

AGE_LIMIT_MS = 15_000.0
MIN_AGE_LIMIT_MS, MAX_AGE_LIMIT_MS = 1_000.0, 600_000.0
SUM_TOLERANCE = 0.01  # of shares that add up to 1
SHARE_DIGITS = 4  # of a share in JSON
RAMP_S = 30.0  # in which a region that comes back is filled
RAMP_START = 0.1  # the part of its capacity that is planned for at first


class PlanError(RequestError):
    """A plan layer that cannot be used; `what` names the key."""

    action = "Publish a plan of the form in docs/geo.md; the plan that was published before stays."
    slug = "bad plan"


@dataclass(frozen=True, slots=True)
class Plan:
    """Shares by group and region, and what the next plan needs to know.

    The shares of a group add up to 1, or are all 0 where no region is open.
    """

    shares: Shares
    exploration: float = 0.0  # the part of repeatable requests that may try a region without a share
    age_limit_ms: float = AGE_LIMIT_MS
    shift: float = 0.0  # the part of all requests that goes elsewhere than by the plan before
    steps: Mapping[str, float] = field(default_factory=dict)  # the share that each group may move next
    directions: Shares = field(default_factory=dict)  # where each group moved last

    def as_json(self) -> dict[str, Any]:
        """Return the plan layer of a configuration revision; `steps` and `directions` are not in it."""
        shares = {
            group: {region: round(share, SHARE_DIGITS) for region, share in row.items()}
            for group, row in self.shares.items()
        }
        return {"shares": shares, "look": self.exploration, "age_limit_ms": round(self.age_limit_ms)}


def plan_from_json(layer: object) -> Plan:
    """Return the plan of a plan layer; raise `PlanError` if it is malformed."""
    if not isinstance(layer, Mapping) or set(layer) != {"shares", "look", "age_limit_ms"}:
        raise PlanError(PLAN, "needs exactly shares, look and age_limit_ms")
    exploration, limit_ms, shares = layer["look"], layer["age_limit_ms"], layer["shares"]
    if not _is_share(exploration):
        raise PlanError(EXPLORATION, "must be a number from 0 to 1")
    if not (_is_number(limit_ms) and MIN_AGE_LIMIT_MS <= limit_ms <= MAX_AGE_LIMIT_MS):
        raise PlanError(AGE_LIMIT, "must be a number from 1,000 to 600,000")
    if not isinstance(shares, Mapping):
        raise PlanError(SHARES, "must be an object by group")
    for group, row in shares.items():
        _check_row(group, row)
    return Plan({group: dict(row) for group, row in shares.items()}, float(exploration), float(limit_ms))


def _check_row(group: object, row: object) -> None:
    key = f"{SHARES}.{group}"
    key = f"{SHARES}.{group}"
    if not isinstance(row, Mapping) or not all(_is_share(share) for share in row.values()):
        raise PlanError(key, "must be shares from 0 to 1 by region")
    if row and not (abs(sum(row.values()) - 1.0) < SUM_TOLERANCE or not any(row.values())):
        raise PlanError(key, "must add up to 1, or be all 0")


def _is_number(value: object) -> TypeGuard[float]:
    return isinstance(value, int | float) and not isinstance(value, bool) and math.isfinite(value)


def _is_share(value: object) -> TypeGuard[float]:
    return _is_number(value) and 0.0 <= value <= 1.0


def plan_weight(age_ms: float, limit_ms: float = AGE_LIMIT_MS) -> float:
    """Return the weight of a plan of this age: 1 up to its limit, then less, and 0 from twice the limit."""
    return min(1.0, max(0.0, 2.0 - age_ms / limit_ms)) if age_ms >= 0.0 else 0.0


def capacity_ramp(open_s: float) -> float:
    """Return the part of a region's capacity that may be planned for, `open_s` seconds after it came back."""
    return min(1.0, RAMP_START + (1.0 - RAMP_START) * max(0.0, open_s) / RAMP_S)


def open_since(before: Mapping[str, float], capacity: Mapping[str, float], now_s: float) -> dict[str, float]:
    """Return since when each region with capacity has had it, in seconds; `before` is the last result.

    It is minus infinity for all regions of the first call: regions open before the start are not ramped up.
    """
    is_open = [region for region, rate in capacity.items() if rate > 0.0]
    return {region: before.get(region, now_s if before else -math.inf) for region in is_open}
