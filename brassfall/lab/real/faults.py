"""The faults of a real play: signals, commands to the lab's servers, and commands to its networks."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from brassfall.lab.day import ScheduledFault
from brassfall.lab.real.environment import Environment, Host
from brassfall.lab.real.messages import (
    BeginLinkFault,
    BeginPartition,
    ChangeLoad,
    Drain,
    EndLinkFault,
    EndPartition,
    LinkFault,
    ResetConnections,
)


class Faults:
    """Carries out the faults of a day."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._kinds: dict[str, Callable[[ScheduledFault], Awaitable[None]]] = {
            "kill": self._kill,
            "stop": self._stop,
            "slow": self._slow,
            "neighbour": self._neighbour,
            "errors": self._errors,
            "release": self._release,
            "reset": self._reset,
            "black-hole": self._black_hole,
            "lose-answers": self._lose_answers,
            "slow-link": self._slow_link,
            "cut": self._partition,
            "registry-down": self._registry_down,
            "sidecar-kill": self._sidecar_kill,
        }

    async def play(self, fault: ScheduledFault) -> None:
        """Wait until a fault is due, and carry it out to its end."""
        await self._environment.until(fault.at)
        self._environment.record_fault(fault)
        await self._kinds[fault.kind](fault)

    def _hosts(self, fault: ScheduledFault) -> list[Host]:
        """Return the running servers on the machines that the fault names."""
        chosen = set(fault.targets)
        return [
            host
            for host in self._environment.hosts.values()
            if host.member is not None and host.member.alive and host.name.partition(".")[0] in chosen
        ]

    def _server_names(self, fault: ScheduledFault) -> list[str]:
        return [host.name for host in self._hosts(fault)]

    def _signal(self, host: Host, number: int) -> None:
        if host.member is not None and host.member.alive:
            host.member.process.send_signal(number)

    # --- servers --------------------------------------------------------------

    async def _kill(self, fault: ScheduledFault) -> None:
        hosts = self._hosts(fault)
        for host in hosts:
            host.end_reason = "killed"
            self._signal(host, signal.SIGKILL)
        await self._environment.until(fault.until)
        await asyncio.gather(*(self._environment.start_server(host, warming_up=True) for host in hosts))

    async def _stop(self, fault: ScheduledFault) -> None:
        stopped = [(host, host.incarnation) for host in self._hosts(fault)]
        for host, _ in stopped:
            self._signal(host, signal.SIGSTOP)
        await self._environment.until(fault.until)
        for host, incarnation in stopped:
            if host.incarnation == incarnation:
                self._signal(host, signal.SIGCONT)

    async def _change_load(self, fault: ScheduledFault, begin: ChangeLoad, end: ChangeLoad) -> None:
        members = [host.member for host in self._hosts(fault) if host.member is not None]
        for member in members:
            member.send(begin)
        await self._environment.until(fault.until)
        for member in members:
            member.send(end)

    async def _slow(self, fault: ScheduledFault) -> None:
        begin = ChangeLoad(slowdown=max(1.0, fault.size))
        await self._change_load(fault, begin, ChangeLoad(slowdown=1.0))

    async def _errors(self, fault: ScheduledFault) -> None:
        begin = ChangeLoad(error_share=fault.size)
        await self._change_load(fault, begin, ChangeLoad(error_share=0.0))

    async def _neighbour(self, fault: ScheduledFault) -> None:
        members = [host.member for host in self._hosts(fault) if host.member is not None]
        is_on = True
        while self._environment.now() < fault.until:
            for member in members:
                member.send(ChangeLoad(neighbour_share=fault.size if is_on else 0.0))
            is_on = not is_on
            await self._environment.until(min(fault.until, self._environment.now() + fault.swing))
        for member in members:
            member.send(ChangeLoad(neighbour_share=0.0))

    async def _release(self, fault: ScheduledFault) -> None:
        """Replace the servers batch by batch: drain each, then start its successor, which warms up."""
        hosts = self._hosts(fault)
        batches = [hosts[i : i + fault.batch] for i in range(0, len(hosts), fault.batch)]
        begun = self._environment.now()
        interval = max(0.0, fault.until - begun - fault.drain) / max(1, len(batches))
        async with asyncio.TaskGroup() as group:
            for number, batch in enumerate(batches):
                await self._environment.until(begun + number * interval)
                for host in batch:
                    group.create_task(self._replace(host, fault.drain))

    async def _replace(self, host: Host, drain: float) -> None:
        member = host.member
        if member is None or not member.alive:
            return
        host.end_reason = "left"
        member.send(Drain(drain / 1000.0))
        await member.wait()
        base, _, number = host.name.partition(".")
        successor = Host(f"{base}.{int(number or 0) + 1}", host.machine)
        self._environment.hosts[successor.name] = successor
        await self._environment.start_server(successor, warming_up=True)

    # --- network --------------------------------------------------------------

    async def _reset(self, fault: ScheduledFault) -> None:
        self._environment.command_networks(ResetConnections(self._server_names(fault)))

    async def _link(self, fault: ScheduledFault, kind: LinkFault, delay_ms: float = 0.0) -> None:
        servers = self._server_names(fault)
        self._environment.command_networks(BeginLinkFault(kind, servers, delay_ms))
        await self._environment.until(fault.until)
        self._environment.command_networks(EndLinkFault(kind, servers))

    async def _black_hole(self, fault: ScheduledFault) -> None:
        await self._link(fault, LinkFault.BLACK_HOLE)

    async def _lose_answers(self, fault: ScheduledFault) -> None:
        await self._link(fault, LinkFault.LOST_ANSWERS)

    async def _slow_link(self, fault: ScheduledFault) -> None:
        await self._link(fault, LinkFault.SLOW, fault.size)

    async def _partition(self, fault: ScheduledFault) -> None:
        self._environment.command_networks(BeginPartition(fault.zone))
        await self._environment.until(fault.until)
        self._environment.command_networks(EndPartition(fault.zone))

    # --- list service and sidecars --------------------------------------------

    async def _registry_down(self, fault: ScheduledFault) -> None:
        list_service = self._environment.list_service
        assert list_service is not None
        list_service.process.kill()
        await list_service.wait()
        await self._environment.until(fault.until)
        if fault.disk == "lost":
            for file in (self._environment.play.folder / "registry").iterdir():
                file.unlink()
        await self._environment.start_list()

    async def _sidecar_kill(self, fault: ScheduledFault) -> None:
        apps = self._environment.play.day.apps
        numbers = [number for number, app in enumerate(apps) if app.name in fault.targets]
        for number in numbers:
            member = self._environment.sidecars[apps[number].name]
            member.ending = True
            member.count_cpu()
            member.process.kill()
        await self._environment.until(fault.until)
        await asyncio.gather(*(self._environment.start_sidecar(number) for number in numbers))
