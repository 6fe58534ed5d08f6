"""Carries out the faults of a schedule, and heals them."""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import get_args

from brassfall.lab.editions.proxies import ANSWER, ASK, EDITIONS, LISTS, REPORT
from brassfall.lab.editions.publisher import Publisher, now
from brassfall.lab.editions.spec import Publish, Step, TierFault, is_tier_fault
from brassfall.lab.editions.stage import Stage

CUTS = {
    "cut-reports": [(REPORT, ASK)],
    "cut-answers": [(REPORT, ANSWER)],
    "cut-editions": [(EDITIONS, ANSWER)],
    "cut-lists": [(LISTS, ANSWER)],
    "cut-off": [(kind, way) for kind in (REPORT, EDITIONS, LISTS) for way in (ASK, ANSWER)],
}
BETWEEN_S = 0.15  # two sidecars of a rolling restart


@dataclass
class Event:
    """A step, as it was carried out: times on the machine's clock."""

    do: str
    at: float
    prepared: bool  # whether it met an edition that was prepared
    until: float = 0.0


@dataclass
class Faults:
    """What breaks, and what is being mended."""

    stage: Stage
    publisher: Publisher
    events: list[Event] = field(default_factory=list)
    _restarting: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def take(self, step: Step) -> None:
        """Carry out one step, to its end."""
        if step.do in get_args(Publish):
            await self.publisher.publish(self.stage.at("main"), step)
            return
        event = Event(step.do, now(), self.publisher.preparing)
        self.events.append(event)
        try:
            await self._break(step)
        finally:
            event.until = now()

    async def _break(self, step: Step) -> None:
        stage = self.stage
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
                await self._all(step, lambda number: stage.pause(number, step.lasts))
            case "crash":
                await self._all(step, lambda number: stage.replace(number, False, step.lasts))
            case "roll":
                await self._roll(step)
            case "slow-service":
                doors = stage.above()
                for door in doors:
                    door.late_s = step.by
                await asyncio.sleep(step.lasts)
                for door in doors:
                    door.late_s = 0.0
            case "slow-links":
                ways = stage.ways[step.who[0] :: len(stage.told.regions)]
                for way in ways:
                    way.more_s = step.by
                await asyncio.sleep(step.lasts)
                for way in ways:
                    way.more_s = 0.0
            case "lost-answers":
                ways = stage.ways[step.who[0] :: len(stage.told.regions)]
                for way in ways:
                    way.loses = True
                await asyncio.sleep(step.lasts)
                for way in ways:
                    way.loses = False
            case _:
                doors = [door for number in step.who for door in stage.doors[number]]
                cuts = [(door, *cut) for door in doors for cut in CUTS[step.do]]
                for door, kind, direction in cuts:
                    door.cut(kind, direction)
                await asyncio.sleep(step.lasts)
                for door, kind, direction in cuts:
                    door.heal(kind, direction)

    async def _break_tier(self, step: Step, fault: TierFault) -> None:
        tier = self.stage.tier
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
        stage, old = self.stage, self.stage.folder / "old"
        await stage.kill("main")
        if step.do in ("lost-disk", "old-copy"):
            shutil.rmtree(stage.disk("main"), ignore_errors=True)
        if step.do == "old-copy" and old.exists():
            shutil.copytree(old, stage.disk("main"))
        await asyncio.sleep(step.lasts)
        await stage.service("main")

    async def _second(self, step: Step) -> None:
        """A second service by mistake, on a copy of the disk; some sidecars are led to it."""
        stage = self.stage
        stage.copy("main", stage.disk("second"))
        await stage.service("second")
        observing = asyncio.create_task(self.publisher.observe(stage.at("second")))
        stage.lead(step.who, "second")
        try:
            await asyncio.sleep(step.lasts / 2.0)
            again = Step(at=0.0, do="hold", by=0.0)
            await self.publisher.publish(stage.at("second"), again)
            await asyncio.sleep(step.lasts / 2.0)
        finally:
            stage.lead(step.who, "main")
            observing.cancel()
            await stage.kill("second")
            shutil.rmtree(stage.disk("second"), ignore_errors=True)

    async def _roll(self, step: Step) -> None:
        """One after the other, quickly: each begins while the one before starts."""
        tasks = []
        for number in step.who:
            tasks.append(asyncio.create_task(self.stage.replace(number, True)))
            await asyncio.sleep(BETWEEN_S)
        await asyncio.gather(*tasks)
