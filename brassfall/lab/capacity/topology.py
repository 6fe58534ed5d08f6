"""The two ways in which a fleet is connected: one list service for all, or aggregators in between."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import aiohttp

from brassfall.lab.capacity.environment import Environment, MeasurementError, Service, register, start_service
from brassfall.lab.capacity.fleet import HollowFleet

_drafts = count(1)
PUBLISH_S = 30.0


@dataclass(slots=True)
class Topology:
    """A deciding service, where sidecars are sent, and a hollow fleet."""

    environment: Environment
    service: Service
    hollow: HollowFleet
    addresses: list[str] = field(default_factory=list)  # for the sidecars
    after_publish: Callable[[], Awaitable[None]] | None = None  # a fault that comes with the answer

    async def publish(self) -> int:
        """Publish other settings than before; the number of the revision."""
        number = next(_drafts)
        settings: dict[str, Any] = {
            "PolicyLimits": {"MaxAttempts": 2 + number % 2, "MayCancel": True, "ConnectTimeout": 250.0},
            "caps": {"look": 1e6 + number},
        }
        limit = aiohttp.ClientTimeout(total=PUBLISH_S)
        async with (
            aiohttp.ClientSession(timeout=limit) as session,
            session.put(f"http://{self.service.address}/rules", json=settings) as answer,
        ):
            told = await answer.json()
            if answer.status != 200:
                raise MeasurementError("a revision was not published", str(told))
            return int(told["edition"])


async def one_service(environment: Environment, list_length: int) -> Topology:
    """One list service to which all sidecars report, with a list of this length."""
    service = await start_service(environment)
    if list_length:
        await register(service.address, list_length)
    return Topology(environment, service, HollowFleet(environment), [service.address])
