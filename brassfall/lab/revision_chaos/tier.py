"""The aggregators of a play: their processes, and the links to the service above and to their children."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Iterator
from pathlib import Path

from brassfall.lab.real.messages import Ready
from brassfall.lab.real.process_group import MemberProcess, ProcessGroup
from brassfall.lab.revision_chaos.processes import end_process, pause_process
from brassfall.lab.revision_chaos.proxies import Address, CallKind, ControlProxy, Direction, Partition
from brassfall.lab.revision_chaos.spec import Experiment, TierFault

DISCARD_PORT = 9  # where a proxy leads until its process has started
UPSTREAM_PARTITIONS: dict[TierFault, list[Partition]] = {
    "aggregator-cut-reports": [Partition(CallKind.REPORT, Direction.REQUEST)],
    "aggregator-cut-answers": [Partition(kind, Direction.ANSWER) for kind in CallKind],
    "aggregator-cut-off": [Partition(kind, direction) for kind in CallKind for direction in Direction],
}
CHILD_PARTITIONS = [
    Partition(kind, direction) for kind in CallKind if kind is not CallKind.OTHER for direction in Direction
]


class Tier:
    """The aggregators of a play; `ports` yields free ports of `host`."""

    def __init__(
        self, experiment: Experiment, folder: Path, group: ProcessGroup, host: str, ports: Iterator[int]
    ) -> None:
        self._experiment = experiment
        self._folder = folder
        self._group = group
        self._host = host
        self._ports = ports
        self._replacing = [asyncio.Lock() for _ in range(experiment.aggregators)]
        self.processes: list[MemberProcess | None] = [None] * experiment.aggregators
        self.upstream_proxies = [
            ControlProxy(Address(host, DISCARD_PORT)) for _ in range(experiment.aggregators)
        ]  # to the service
        self.entry_proxies = [
            ControlProxy(Address(host, DISCARD_PORT)) for _ in range(experiment.aggregators)
        ]  # where the service reaches each
        self.child_proxies: list[list[ControlProxy]] = [
            [] for _ in range(experiment.aggregators)
        ]  # from children

    async def start(self, service: Address) -> None:
        """Start all of them, under a service."""
        for number, (above, front) in enumerate(zip(self.upstream_proxies, self.entry_proxies, strict=True)):
            above.redirect(service)
            await above.start(self._host)
            await front.start(self._host)
            await self.start_aggregator(number)

    async def children(self, sidecar: int) -> list[ControlProxy]:
        """Start a proxy to each aggregator for one sidecar, in the order in which it asks them."""
        first, count = sidecar % self._experiment.aggregators, self._experiment.aggregators
        proxies = []
        for step in range(count):
            proxy = ControlProxy(self.entry_proxies[(first + step) % count].upstream)
            await proxy.start(self._host)
            self.child_proxies[(first + step) % count].append(proxy)
            proxies.append(proxy)
        return proxies

    async def start_aggregator(self, number: int) -> MemberProcess:
        """Start a process of an aggregator, and redirect its proxies to it."""
        port = next(self._ports)
        regions = self._experiment.regions
        lines = [
            "[aggregator]",
            f'name = "agg{number}"',
            f'region = "{regions[number % len(regions)]}"',
            f'listen = "{self._host}:{port}"',
            f'advertise = "{self.entry_proxies[number].address}"',
            f"upstream = {json.dumps([self.upstream_proxies[number].address])}",
            f"agree_ms = {self._experiment.agree_ms}",
        ]
        file = self._folder / f"aggregator-{number}.toml"
        file.write_text("\n".join(lines) + "\n")
        command = [sys.executable, "-m", "brassfall", "registry", "aggregate", "--config", str(file)]
        member = await self._group.start(f"aggregator {number}", "aggregator", command)
        self.processes[number] = member
        await member.report("ready", Ready)
        for proxy in (self.entry_proxies[number], *self.child_proxies[number]):
            proxy.redirect(Address(self._host, port))
        return member

    # --- faults ---------------------------------------------------------------------------

    async def break_one(self, number: int, fault: TierFault, duration_s: float) -> None:
        """Carry out a fault of one aggregator, to its end."""
        match fault:
            case "aggregator-kill" | "aggregator-leave":
                await self._replace(number, planned=fault == "aggregator-leave", duration_s=duration_s)
            case "aggregator-stop":
                await self._pause(number, duration_s)
            case "aggregator-twin":
                await self._twin(number, duration_s)
            case "aggregator-cut-children":
                await self._partition(self.child_proxies[number], CHILD_PARTITIONS, duration_s)
            case _:
                await self._partition([self.upstream_proxies[number]], UPSTREAM_PARTITIONS[fault], duration_s)

    async def _replace(self, number: int, *, planned: bool, duration_s: float) -> None:
        """End an aggregator, by SIGTERM if `planned`, and start another in its place after `duration_s`."""
        async with self._replacing[number]:
            await self._end(self.processes[number], planned=planned)
            await asyncio.sleep(duration_s)
            await self.start_aggregator(number)

    async def _twin(self, number: int, duration_s: float) -> None:
        """Start a second process of a name for its children while the first goes on reporting."""
        async with self._replacing[number]:
            first = self.processes[number]
            await self.start_aggregator(number)
            await asyncio.sleep(duration_s)
            await self._end(first, planned=False)

    async def _pause(self, number: int, duration_s: float) -> None:
        async with self._replacing[number]:
            member = self.processes[number]
            if member is not None and member.alive:
                await pause_process(member, duration_s)

    @staticmethod
    async def _end(member: MemberProcess | None, *, planned: bool) -> None:
        if member is not None and member.alive:
            await end_process(member, planned=planned)

    @staticmethod
    async def _partition(proxies: list[ControlProxy], partitions: list[Partition], duration_s: float) -> None:
        for proxy in proxies:
            for partition in partitions:
                proxy.partition(partition)
        await asyncio.sleep(duration_s)
        for proxy in proxies:
            for partition in partitions:
                proxy.heal(partition)

    def redirect(self, number: int, service: Address) -> None:
        """Redirect an aggregator to another service."""
        self.upstream_proxies[number].redirect(service)
