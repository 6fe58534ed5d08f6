"""What the roles are called in figures and tables."""

from __future__ import annotations

from dataclasses import dataclass

SIDECAR = "sidecar's control path"
AGGREGATOR = "aggregator, by children"
MACHINE = "machine"
CHILDREN = 900  # of an aggregator, where 5,400 sidecars have six; twice as many where one of two is lost
TARGETS = {AGGREGATOR: CHILDREN}  # sizes aimed at, where that is not the number of sidecars


@dataclass(frozen=True, slots=True)
class Roles:
    """What the roles of a topology are called in its figures."""

    service: str
    agreement: str
    fan_out: str
    sidecar: str


ONE = Roles(
    "list service, one for all sidecars",
    "agreement, one list service",
    "watch fan-out, one list service",
    f"{SIDECAR}, one list service",
)
TIER = Roles(
    "deciding service, with aggregators",
    "agreement, with aggregators",
    "watch fan-out, with aggregators",
    f"{SIDECAR}, with aggregators",
)
