"""The parts under test: the service's coordinator, the sidecar's lease client, and what their hosts choose.

The sidecar's part is loaded by its name, as the program under test: no other package imports it, and the
layout test holds that.
"""

from __future__ import annotations

import importlib
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from brassfall.controlplane.aggregation.aggregator import Aggregator
from brassfall.controlplane.aggregation.timing import AggregatorTiming
from brassfall.controlplane.revisions.authority import GrantAuthority
from brassfall.controlplane.revisions.coordinator import RevisionCoordinator
from brassfall.controlplane.revisions.leases import NodeLeases
from brassfall.controlplane.revisions.membership import Membership
from brassfall.controlplane.revisions.timing import LeaseTiming
from brassfall.controlplane.store.incarnations import first_index

lease_client: Any = importlib.import_module("brassfall.sidecar.agent.lease_client")
sidecar_rules: Any = importlib.import_module("brassfall.sidecar.agent.rules")


def epoch(wall_ms: float, last: int, chance: random.Random) -> int:
    """The number of an epoch of the service, out of the wall clock and the last index that is durable."""
    return first_index(wall_ms / 1000.0, last, chance.getrandbits(30))


def answered(client: Any, asked: float, received: float, seq: int, raw: Mapping[str, Any]) -> bool:
    """Hand an answer to the sidecar's lease client; times in seconds of its own clock."""
    return bool(client.receive_answer(asked, seq, raw))


@dataclass(frozen=True)
class Program:
    """The parts that a defect may replace."""

    timing: LeaseTiming = field(default_factory=LeaseTiming)
    coordinator: type[RevisionCoordinator] = RevisionCoordinator
    authority: type[GrantAuthority] = GrantAuthority
    membership: type[Membership] = Membership
    leases: type[NodeLeases] = NodeLeases
    aggregator: type[Aggregator] = Aggregator
    aggregator_timing: AggregatorTiming = field(default_factory=AggregatorTiming)
    lease_client: Any = lease_client.LeaseClient
    effective: Callable[[Any], dict[str, Any]] = sidecar_rules.effective_settings
    unknown: Callable[[Any], str] = sidecar_rules.unsupported_reason
    answered: Callable[[Any, float, float, int, Mapping[str, Any]], bool] = answered
    epoch: Callable[[float, int, random.Random], int] = epoch
    wall_clock: bool = False  # the sidecar counts on its wall clock
