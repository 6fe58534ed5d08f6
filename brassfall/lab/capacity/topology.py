"""The two ways in which a fleet is connected: one list service for all, or aggregators in between."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

import aiohttp

from brassfall.controlplane.registry import client
from brassfall.lab.capacity.environment import (
    Environment,
    MeasurementError,
    Service,
    free_port,
    register,
    start_service,
    until,
)
from brassfall.lab.capacity.fleet import HollowFleet, Worker
from brassfall.lab.capacity.relay import Relay
from brassfall.settings import parse_address

_drafts = count(1)
PUBLISH_S = 30.0
REGIONS = ("a", "b", "c")
IN_REGION = 2  # aggregators
CHILDREN_MOST = 2000
LEASED_S = 45.0  # for an aggregator to hold a lease: a season after more than half of them are heard
# As the deciding service, an aggregator may get more of a fleet on one machine than its defaults allow.
CHILD_LIMITS = {"connections": 9000, "watches": 6000, "caller_share": 1.0, "caller_calls_per_s": 0.0}


class Aggregator:
    """One aggregator as a process, behind a way to the service that can be cut."""

    def __init__(self, environment: Environment, name: str, region: str, relay: Relay) -> None:
        self._environment = environment
        self.name, self.region, self.relay = name, region, relay
        self.address = f"127.0.0.1:{free_port()}"
        self._config = environment.folder / f"{name}.toml"
        rows = "".join(f"{key} = {str(value).lower()}\n" for key, value in CHILD_LIMITS.items())
        self._config.write_text(
            f'[aggregator]\nname = "{name}"\nregion = "{region}"\nlisten = "{self.address}"\n'
            f'upstream = ["{relay.address}"]\nchildren_most = {CHILDREN_MOST}\n[aggregator.limits]\n{rows}'
        )
        self.process: asyncio.subprocess.Process

    @property
    def pid(self) -> int:
        """The id of its process."""
        return self.process.pid

    async def start(self) -> None:
        """Start it, also anew; until it is ready."""
        command = ("brassfall", "registry", "aggregate", "--config", str(self._config))
        self.process = await self._environment.python(self.name, *command)
        await until(lambda: client.call(self.address, "GET", "/health/ready"), LEASED_S)

    async def kill(self) -> None:
        """End it without a word."""
        self.process.kill()
        await self.process.wait()


@dataclass(slots=True)
class Topology:
    """A deciding service, where sidecars are sent, and a hollow fleet."""

    environment: Environment
    service: Service
    hollow: HollowFleet
    aggregators: list[Aggregator] = field(default_factory=list)
    after_publish: Callable[[], Awaitable[None]] | None = None  # a fault that comes with the answer

    @property
    def regions(self) -> dict[str, list[str]]:
        """Where the sidecars of each region are sent; of any region, with one service."""
        if not self.aggregators:
            return {"": [self.service.address]}
        found: dict[str, list[str]] = {}
        for each in self.aggregators:
            found.setdefault(each.region, []).append(each.address)
        return found

    async def start(self, sidecars: int, per_s: float = 400.0) -> dict[str, list[Worker]]:
        """Start so many sidecars, evenly over the regions; the processes of each."""
        regions = self.regions
        shares = [
            sidecars * (number + 1) // len(regions) - sidecars * number // len(regions)
            for number in range(len(regions))
        ]
        started = await asyncio.gather(
            *(
                self.hollow.start(share, addresses, region, per_s / len(regions))
                for share, (region, addresses) in zip(shares, regions.items(), strict=True)
            )
        )
        return dict(zip(regions, started, strict=True))

    async def publish(self) -> int:
        """Publish another cap than before; the number of the revision."""
        settings: dict[str, Any] = {"caps": {"look": 1e6 + next(_drafts)}}
        limit = aiohttp.ClientTimeout(total=PUBLISH_S)
        async with (
            aiohttp.ClientSession(timeout=limit) as session,
            session.put(f"http://{self.service.address}/rules", json=settings) as answer,
        ):
            status = await answer.json()
            if answer.status != 200:
                raise MeasurementError("a revision was not published", str(status))
            return int(status["edition"])


async def one_service(environment: Environment, list_length: int) -> Topology:
    """One list service to which all sidecars report, with a list of this length."""
    service = await start_service(environment)
    if list_length:
        await register(service.address, list_length)
    return Topology(environment, service, HollowFleet(environment))


async def with_aggregators(environment: Environment, list_length: int) -> Topology:
    """A deciding service, and two aggregators in each region between it and the sidecars."""
    topology = await one_service(environment, list_length)
    names = [(f"{region}{number + 1}", region) for region in REGIONS for number in range(IN_REGION)]
    topology.aggregators = list(
        await asyncio.gather(*(_aggregator(environment, topology, name, region) for name, region in names))
    )
    return topology


async def _aggregator(environment: Environment, topology: Topology, name: str, region: str) -> Aggregator:
    relay = Relay(*parse_address(topology.service.address))
    await relay.start()
    environment.push_async_callback(relay.close)
    made = Aggregator(environment, name, region, relay)
    await made.start()
    return made
