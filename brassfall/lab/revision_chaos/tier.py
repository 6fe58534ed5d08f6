"""The aggregators of a play: their processes, and the links to the service above and to their children."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import sys
from collections.abc import Iterator
from pathlib import Path

from brassfall.lab.real.messages import Ready
from brassfall.lab.real.process_group import MemberProcess, ProcessGroup
from brassfall.lab.revision_chaos.proxies import ANSWER, ASK, LISTS, OTHER, REPORT, REVISIONS, ControlProxy
from brassfall.lab.revision_chaos.spec import Experiment, TierFault

LEAVE_S = 10.0  # from SIGTERM; then SIGKILL
UPWARD = (REPORT, REVISIONS, LISTS, OTHER)
UPSTREAM_PARTITIONS: dict[TierFault, list[tuple[str, str]]] = {
    "aggregator-cut-reports": [(REPORT, ASK)],
    "aggregator-cut-answers": [(kind, ANSWER) for kind in UPWARD],
    "aggregator-cut-off": [(kind, direction) for kind in UPWARD for direction in (ASK, ANSWER)],
}
CHILD_PARTITIONS = [(kind, direction) for kind in (REPORT, REVISIONS, LISTS) for direction in (ASK, ANSWER)]


class Tier:
    """All aggregators; `ports` are free ones on `host`."""

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
        self.above = [ControlProxy((host, 9)) for _ in range(experiment.aggregators)]  # to the service
        self.fronts = [
            ControlProxy((host, 9)) for _ in range(experiment.aggregators)
        ]  # where the service reaches each
        self.below: list[list[ControlProxy]] = [[] for _ in range(experiment.aggregators)]  # from children

    async def start(self, service: tuple[str, int]) -> None:
        """Start all of them, under a service."""
        for number, (above, front) in enumerate(zip(self.above, self.fronts, strict=True)):
            above.turn(service)
            await above.start(self._host)
            await front.start(self._host)
            await self.aggregator(number)

    async def children(self, sidecar: int) -> list[ControlProxy]:
        """A door to each aggregator for one sidecar, in the order in which it is to ask them."""
        first, count = sidecar % self._experiment.aggregators, self._experiment.aggregators
        proxies = []
        for step in range(count):
            proxy = ControlProxy(self.fronts[(first + step) % count].upstream)
            await proxy.start(self._host)
            self.below[(first + step) % count].append(proxy)
            proxies.append(proxy)
        return proxies

    async def aggregator(self, number: int) -> MemberProcess:
        """Start a process of one, and lead everybody to it."""
        port = next(self._ports)
        regions = self._experiment.regions
        lines = [
            "[aggregator]",
            f'name = "agg{number}"',
            f'region = "{regions[number % len(regions)]}"',
            f'listen = "{self._host}:{port}"',
            f'advertise = "{self.fronts[number].address}"',
            f"upstream = {json.dumps([self.above[number].address])}",
            f"agree_ms = {self._experiment.agree_ms}",
        ]
        file = self._folder / f"aggregator-{number}.toml"
        file.write_text("\n".join(lines) + "\n")
        command = [sys.executable, "-m", "brassfall", "registry", "aggregate", "--config", str(file)]
        member = await self._group.start(f"aggregator {number}", "aggregator", command)
        self.processes[number] = member
        await member.report("ready", Ready)
        for proxy in (self.fronts[number], *self.below[number]):
            proxy.turn((self._host, port))
        return member

    # --- faults ---------------------------------------------------------------------------

    async def break_one(self, number: int, fault: TierFault, lasts: float) -> None:
        """Carry out a fault of one aggregator, to its end."""
        match fault:
            case "aggregator-kill" | "aggregator-leave":
                await self._replace(number, fault == "aggregator-leave", lasts)
            case "aggregator-stop":
                await self._pause(number, lasts)
            case "aggregator-twin":
                await self._twin(number, lasts)
            case "aggregator-cut-children":
                await self._partition(self.below[number], CHILD_PARTITIONS, lasts)
            case _:
                await self._partition([self.above[number]], UPSTREAM_PARTITIONS[fault], lasts)

    async def _replace(self, number: int, planned: bool, lasts: float) -> None:
        """End one, with a warning or without, and start its follower after a while."""
        async with self._replacing[number]:
            await self._end(self.processes[number], planned)
            await asyncio.sleep(lasts)
            await self.aggregator(number)

    async def _twin(self, number: int, lasts: float) -> None:
        """A second process of a name takes over its children, and the first goes on reporting."""
        async with self._replacing[number]:
            first = self.processes[number]
            await self.aggregator(number)
            await asyncio.sleep(lasts)
            await self._end(first, False)

    async def _pause(self, number: int, lasts: float) -> None:
        async with self._replacing[number]:
            member = self.processes[number]
            if member is None or not member.alive:
                return
            member.process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(lasts)
            finally:
                if member.alive:
                    member.process.send_signal(signal.SIGCONT)

    @staticmethod
    async def _end(member: MemberProcess | None, planned: bool) -> None:
        if member is None or not member.alive:
            return
        member.ending = True
        if planned:
            member.process.terminate()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEAVE_S):
                    await member.process.wait()
        if member.alive:
            member.process.kill()
        await member.wait()

    @staticmethod
    async def _partition(
        proxies: list[ControlProxy], partitions: list[tuple[str, str]], lasts: float
    ) -> None:
        for proxy in proxies:
            for partition in partitions:
                proxy.partition(*partition)
        await asyncio.sleep(lasts)
        for proxy in proxies:
            for partition in partitions:
                proxy.heal(*partition)

    def lead(self, number: int, service: tuple[str, int]) -> None:
        """Lead one to another service from now on."""
        self.above[number].turn(service)
