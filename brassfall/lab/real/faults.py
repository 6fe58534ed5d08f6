"""What goes wrong in a real play, by signals, by commands to the lab's servers, and in its proxies."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from brassfall.lab.day import Trouble
from brassfall.lab.real.environment import Environment, Host


class Faults:
    """Carries out the troubles of a day."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._kinds: dict[str, Callable[[Trouble], Awaitable[None]]] = {
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
            "cut": self._cut,
            "registry-down": self._registry_down,
            "sidecar-kill": self._sidecar_kill,
        }

    async def play(self, trouble: Trouble) -> None:
        """Wait until it is due, and carry it out to its end."""
        await self._environment.until(trouble.at)
        self._environment.begin(trouble)
        await self._kinds[trouble.kind](trouble)

    def _hosts(self, trouble: Trouble) -> list[Host]:
        """The servers that it strikes: those that run now on the machines that it names."""
        chosen = set(trouble.targets)
        return [
            host
            for host in self._environment.hosts.values()
            if host.member is not None and host.member.alive and host.name.partition(".")[0] in chosen
        ]

    async def _kill(self, trouble: Trouble) -> None:
        struck = self._hosts(trouble)
        for host in struck:
            host.ends = "killed"
            self._signal(host, signal.SIGKILL)
        await self._environment.until(trouble.until)
        await asyncio.gather(*(self._environment.start_server(host, warming_up=True) for host in struck))

    def _signal(self, host: Host, number: int) -> None:
        if host.member is not None and host.member.alive:
            host.member.process.send_signal(number)

    async def _stop(self, trouble: Trouble) -> None:
        struck = [(host, host.incarnation) for host in self._hosts(trouble)]
        for host, _ in struck:
            self._signal(host, signal.SIGSTOP)
        await self._environment.until(trouble.until)
        for host, incarnation in struck:
            if host.incarnation == incarnation:
                self._signal(host, signal.SIGCONT)

    async def _change_load(self, trouble: Trouble, on: dict[str, float], off: dict[str, float]) -> None:
        struck = [host.member for host in self._hosts(trouble) if host.member is not None]
        for member in struck:
            member.send(do="burden", **on)
        await self._environment.until(trouble.until)
        for member in struck:
            member.send(do="burden", **off)

    async def _slow(self, trouble: Trouble) -> None:
        await self._change_load(trouble, {"slow": max(1.0, trouble.size)}, {"slow": 1.0})

    async def _errors(self, trouble: Trouble) -> None:
        await self._change_load(trouble, {"errors": trouble.size}, {"errors": 0.0})

    async def _neighbour(self, trouble: Trouble) -> None:
        struck = [host.member for host in self._hosts(trouble) if host.member is not None]
        on = True
        while self._environment.now() < trouble.until:
            for member in struck:
                member.send(do="burden", taken=trouble.size if on else 0.0)
            on = not on
            await self._environment.until(min(trouble.until, self._environment.now() + trouble.swing))
        for member in struck:
            member.send(do="burden", taken=0.0)

    async def _release(self, trouble: Trouble) -> None:
        """Batch after batch is drained, ends, and is followed by servers that start cold."""
        struck = self._hosts(trouble)
        batches = [struck[i : i + trouble.batch] for i in range(0, len(struck), trouble.batch)]
        begun = self._environment.now()
        pace = max(0.0, trouble.until - begun - trouble.drain) / max(1, len(batches))
        async with asyncio.TaskGroup() as group:
            for number, batch in enumerate(batches):
                await self._environment.until(begun + number * pace)
                for host in batch:
                    group.create_task(self._replace(host, trouble.drain))

    async def _replace(self, host: Host, drain: float) -> None:
        member = host.member
        if member is None or not member.alive:
            return
        host.ends = "left"
        member.send(do="drain", drain_s=drain / 1000.0)
        await member.wait()
        base, _, number = host.name.partition(".")
        made = Host(f"{base}.{int(number or 0) + 1}", host.machine)
        self._environment.hosts[made.name] = made
        await self._environment.start_server(made, warming_up=True)

    async def _reset(self, trouble: Trouble) -> None:
        self._environment.command_networks(do="reset", names=[host.name for host in self._hosts(trouble)])

    async def _between(self, trouble: Trouble, on: str, off: str, **more: float) -> None:
        names = [host.name for host in self._hosts(trouble)]
        self._environment.command_networks(do=on, names=names, **more)
        await self._environment.until(trouble.until)
        self._environment.command_networks(do=off, names=names)

    async def _black_hole(self, trouble: Trouble) -> None:
        await self._between(trouble, "hole", "no-hole")

    async def _lose_answers(self, trouble: Trouble) -> None:
        await self._between(trouble, "deaf", "no-deaf")

    async def _slow_link(self, trouble: Trouble) -> None:
        await self._between(trouble, "slow", "no-slow", ms=trouble.size)

    async def _cut(self, trouble: Trouble) -> None:
        self._environment.command_networks(do="cut", zone=trouble.zone)
        await self._environment.until(trouble.until)
        self._environment.command_networks(do="mend", zone=trouble.zone)

    async def _registry_down(self, trouble: Trouble) -> None:
        list_service = self._environment.list_service
        assert list_service is not None
        list_service.process.kill()
        await list_service.wait()
        await self._environment.until(trouble.until)
        if trouble.disk == "lost":
            for file in (self._environment.folder / "registry").iterdir():
                file.unlink()
        await self._environment.start_list()

    async def _sidecar_kill(self, trouble: Trouble) -> None:
        numbers = [n for n, app in enumerate(self._environment.day.apps) if app.name in trouble.targets]
        for number in numbers:
            member = self._environment.sidecars[self._environment.day.apps[number].name]
            member.ending = True
            member.count_cpu()
            member.process.kill()
        await self._environment.until(trouble.until)
        await asyncio.gather(*(self._environment.start_sidecar(number) for number in numbers))
