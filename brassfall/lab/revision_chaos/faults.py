"""Carries out the faults of a schedule, and heals them."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import get_args

import msgspec

from brassfall.lab.revision_chaos.environment import Environment
from brassfall.lab.revision_chaos.proxies import CallKind, Direction, Partition
from brassfall.lab.revision_chaos.publisher import Publisher, now
from brassfall.lab.revision_chaos.spec import Publish, Step, TierFault, is_tier_fault

PARTITIONS = {
    "cut-reports": [Partition(CallKind.REPORT, Direction.REQUEST)],
    "cut-answers": [Partition(CallKind.REPORT, Direction.ANSWER)],
    "cut-editions": [Partition(CallKind.REVISIONS, Direction.ANSWER)],
    "cut-lists": [Partition(CallKind.LISTS, Direction.ANSWER)],
    "cut-off": [
        Partition(kind, direction)
        for kind in CallKind
        if kind is not CallKind.OTHER
        for direction in Direction
    ],
}
BETWEEN_S = 0.15  # two sidecars of a rolling restart


class Event(msgspec.Struct, rename={"action": "do"}):
    """A step, as it was carried out: times on the machine's clock."""

    action: str
    at: float
    prepared: bool  # whether it met a revision that was prepared
    until: float = 0.0


@dataclass
class Faults:
    """The faults of a play, as they are carried out and healed."""

    environment: Environment
    publisher: Publisher
    events: list[Event] = field(default_factory=list)
    _restarting: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def carry_out(self, step: Step) -> None:
        """Carry out one step, to its end."""
        if step.action in get_args(Publish):
            await self.publisher.publish(self.environment.endpoint("main"), step)
            return
        event = Event(step.action, now(), self.publisher.preparing)
        self.events.append(event)
        try:
            await self._break(step)
        finally:
            event.until = now()

    async def _break(self, step: Step) -> None:
        environment = self.environment
        if is_tier_fault(step.action):
            await self._break_tier(step, step.action)
            return
        match step.action:
            case "kill" | "kills" | "lost-disk" | "old-copy":
                for _ in range(int(step.value) if step.action == "kills" else 1):
                    await self._restart(step)
            case "second":
                await self._second(step)
            case "stop":
                await self._all(step, lambda number: environment.pause(number, step.duration_s))
            case "crash":
                await self._all(
                    step, lambda number: environment.replace(number, planned=False, wait_s=step.duration_s)
                )
            case "roll":
                await self._roll(step)
            case "slow-service":
                await self._slow_service(step)
            case "slow-links" | "lost-answers":
                await self._disturb_servers(step)
            case _:
                await self._partition(step)

    async def _slow_service(self, step: Step) -> None:
        proxies = self.environment.service_proxies()
        for proxy in proxies:
            proxy.late_s = step.value
        await asyncio.sleep(step.duration_s)
        for proxy in proxies:
            proxy.late_s = 0.0

    async def _disturb_servers(self, step: Step) -> None:
        """Delay the links of one region's servers, or lose their answers."""
        environment = self.environment
        proxies = environment.server_proxies[step.targets[0] :: len(environment.experiment.regions)]
        for proxy in proxies:
            proxy.more_s = step.value if step.action == "slow-links" else 0.0
            proxy.loses = step.action == "lost-answers"
        await asyncio.sleep(step.duration_s)
        for proxy in proxies:
            proxy.more_s = 0.0
            proxy.loses = False

    async def _partition(self, step: Step) -> None:
        proxies = [proxy for number in step.targets for proxy in self.environment.control_proxies[number]]
        partitions = [(proxy, partition) for proxy in proxies for partition in PARTITIONS[step.action]]
        for proxy, partition in partitions:
            proxy.partition(partition)
        await asyncio.sleep(step.duration_s)
        for proxy, partition in partitions:
            proxy.heal(partition)

    async def _break_tier(self, step: Step, fault: TierFault) -> None:
        tier = self.environment.tier
        if tier is not None:
            await self._all(step, lambda number: tier.break_one(number, fault, step.duration_s))

    @staticmethod
    async def _all(step: Step, work: Callable[[int], Awaitable[None]]) -> None:
        await asyncio.gather(*(work(number) for number in step.targets))

    async def _restart(self, step: Step) -> None:
        """Kill the service, and start it on its disk, on none, or on an old one."""
        async with self._restarting:
            await self._restart_alone(step)

    async def _restart_alone(self, step: Step) -> None:
        environment, old = self.environment, self.environment.folder / "old"
        await environment.kill("main")
        if step.action in ("lost-disk", "old-copy"):
            shutil.rmtree(environment.data_folder("main"), ignore_errors=True)
        if step.action == "old-copy" and old.exists():
            shutil.copytree(old, environment.data_folder("main"))
        await asyncio.sleep(step.duration_s)
        await environment.start_service("main")

    async def _second(self, step: Step) -> None:
        """Start a second service on a copy of the data, and redirect some sidecars to it."""
        environment = self.environment
        environment.copy("main", environment.data_folder("second"))
        await environment.start_service("second")
        observing = asyncio.create_task(self.publisher.observe(environment.endpoint("second")))
        environment.redirect(step.targets, "second")
        try:
            await asyncio.sleep(step.duration_s / 2.0)
            repeated = Step(at=0.0, action="hold", value=0.0)
            await self.publisher.publish(environment.endpoint("second"), repeated)
            await asyncio.sleep(step.duration_s / 2.0)
        finally:
            environment.redirect(step.targets, "main")
            observing.cancel()
            await environment.kill("second")
            shutil.rmtree(environment.data_folder("second"), ignore_errors=True)

    async def _roll(self, step: Step) -> None:
        """Replace sidecars in turn; each begins while the one before starts."""
        tasks = []
        for number in step.targets:
            tasks.append(asyncio.create_task(self.environment.replace(number, planned=True)))
            await asyncio.sleep(BETWEEN_S)
        await asyncio.gather(*tasks)
