"""Carries out the faults of a schedule, and heals them."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import get_args

from brassfall.lab.revision_chaos.environment import Environment
from brassfall.lab.revision_chaos.proxies import ANSWER, ASK, LISTS, REPORT, REVISIONS
from brassfall.lab.revision_chaos.publisher import Publisher, now
from brassfall.lab.revision_chaos.spec import Publish, Step, TierFault, is_tier_fault

PARTITIONS = {
    "cut-reports": [(REPORT, ASK)],
    "cut-answers": [(REPORT, ANSWER)],
    "cut-editions": [(REVISIONS, ANSWER)],
    "cut-lists": [(LISTS, ANSWER)],
    "cut-off": [(kind, direction) for kind in (REPORT, REVISIONS, LISTS) for direction in (ASK, ANSWER)],
}
BETWEEN_S = 0.15  # two sidecars of a rolling restart


@dataclass
class Event:
    """A step, as it was carried out: times on the machine's clock."""

    do: str
    at: float
    prepared: bool  # whether it met a revision that was prepared
    until: float = 0.0


@dataclass
class Faults:
    """What breaks, and what is being mended."""

    environment: Environment
    publisher: Publisher
    events: list[Event] = field(default_factory=list)
    _restarting: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def take(self, step: Step) -> None:
        """Carry out one step, to its end."""
        if step.do in get_args(Publish):
            await self.publisher.publish(self.environment.at("main"), step)
            return
        event = Event(step.do, now(), self.publisher.preparing)
        self.events.append(event)
        try:
            await self._break(step)
        finally:
            event.until = now()

    async def _break(self, step: Step) -> None:
        environment = self.environment
        if is_tier_fault(step.do):
            await self._break_tier(step, step.do)
            return
        match step.do:
            case "kill" | "kills" | "lost-disk" | "old-copy":
                for _ in range(int(step.by) if step.do == "kills" else 1):
                    await self._restart(step)
            case "second":
                await self._second(step)
            case "stop":
                await self._all(step, lambda number: environment.pause(number, step.lasts))
            case "crash":
                await self._all(step, lambda number: environment.replace(number, False, step.lasts))
            case "roll":
                await self._roll(step)
            case "slow-service":
                await self._slow_service(step)
            case "slow-links" | "lost-answers":
                await self._disturb_servers(step)
            case _:
                await self._partition(step)

    async def _slow_service(self, step: Step) -> None:
        proxies = self.environment.above()
        for proxy in proxies:
            proxy.late_s = step.by
        await asyncio.sleep(step.lasts)
        for proxy in proxies:
            proxy.late_s = 0.0

    async def _disturb_servers(self, step: Step) -> None:
        """Delay the links of one region's servers, or lose their answers."""
        environment = self.environment
        proxies = environment.server_proxies[step.who[0] :: len(environment.experiment.regions)]
        for proxy in proxies:
            proxy.more_s = step.by if step.do == "slow-links" else 0.0
            proxy.loses = step.do == "lost-answers"
        await asyncio.sleep(step.lasts)
        for proxy in proxies:
            proxy.more_s = 0.0
            proxy.loses = False

    async def _partition(self, step: Step) -> None:
        proxies = [proxy for number in step.who for proxy in self.environment.control_proxies[number]]
        partitions = [(proxy, *partition) for proxy in proxies for partition in PARTITIONS[step.do]]
        for proxy, kind, direction in partitions:
            proxy.partition(kind, direction)
        await asyncio.sleep(step.lasts)
        for proxy, kind, direction in partitions:
            proxy.heal(kind, direction)

    async def _break_tier(self, step: Step, fault: TierFault) -> None:
        tier = self.environment.tier
        if tier is not None:
            await self._all(step, lambda number: tier.break_one(number, fault, step.lasts))

    @staticmethod
    async def _all(step: Step, work: Callable[[int], Awaitable[None]]) -> None:
        await asyncio.gather(*(work(number) for number in step.who))

    async def _restart(self, step: Step) -> None:
        """Kill the service, and start it on its disk, on none, or on an old one."""
        async with self._restarting:
            await self._restart_alone(step)

    async def _restart_alone(self, step: Step) -> None:
        environment, old = self.environment, self.environment.folder / "old"
        await environment.kill("main")
        if step.do in ("lost-disk", "old-copy"):
            shutil.rmtree(environment.disk("main"), ignore_errors=True)
        if step.do == "old-copy" and old.exists():
            shutil.copytree(old, environment.disk("main"))
        await asyncio.sleep(step.lasts)
        await environment.service("main")

    async def _second(self, step: Step) -> None:
        """A second service by mistake, on a copy of the disk; some sidecars are led to it."""
        environment = self.environment
        environment.copy("main", environment.disk("second"))
        await environment.service("second")
        observing = asyncio.create_task(self.publisher.observe(environment.at("second")))
        environment.lead(step.who, "second")
        try:
            await asyncio.sleep(step.lasts / 2.0)
            repeated = Step(at=0.0, do="hold", by=0.0)
            await self.publisher.publish(environment.at("second"), repeated)
            await asyncio.sleep(step.lasts / 2.0)
        finally:
            environment.lead(step.who, "main")
            observing.cancel()
            await environment.kill("second")
            shutil.rmtree(environment.disk("second"), ignore_errors=True)

    async def _roll(self, step: Step) -> None:
        """One after the other, quickly: each begins while the one before starts."""
        tasks = []
        for number in step.who:
            tasks.append(asyncio.create_task(self.environment.replace(number, True)))
            await asyncio.sleep(BETWEEN_S)
        await asyncio.gather(*tasks)
