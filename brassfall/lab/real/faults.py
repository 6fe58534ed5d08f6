"""What goes wrong in a real play, by signals, by commands to the lab's servers, and in its proxies."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from brassfall.lab.day import Trouble
from brassfall.lab.real.stage import Host, Stage


class Faults:
    """Carries out the troubles of a day."""

    def __init__(self, stage: Stage) -> None:
        self._stage = stage
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
        await self._stage.until(trouble.at)
        self._stage.begin(trouble)
        await self._kinds[trouble.kind](trouble)

    def _hosts(self, trouble: Trouble) -> list[Host]:
        """The servers that it strikes: those that run now on the machines that it names."""
        chosen = set(trouble.targets)
        return [
            host
            for host in self._stage.hosts.values()
            if host.actor is not None and host.actor.alive and host.name.partition(".")[0] in chosen
        ]

    async def _kill(self, trouble: Trouble) -> None:
        struck = self._hosts(trouble)
        for host in struck:
            host.ends = "killed"
            self._signal(host, signal.SIGKILL)
        await self._stage.until(trouble.until)
        await asyncio.gather(*(self._stage.start_server(host, cold=True) for host in struck))

    def _signal(self, host: Host, number: int) -> None:
        if host.actor is not None and host.actor.alive:
            host.actor.process.send_signal(number)

    async def _stop(self, trouble: Trouble) -> None:
        struck = [(host, host.life) for host in self._hosts(trouble)]
        for host, _ in struck:
            self._signal(host, signal.SIGSTOP)
        await self._stage.until(trouble.until)
        for host, life in struck:
            if host.life == life:
                self._signal(host, signal.SIGCONT)

    async def _burden(self, trouble: Trouble, on: dict[str, float], off: dict[str, float]) -> None:
        struck = [host.actor for host in self._hosts(trouble) if host.actor is not None]
        for actor in struck:
            actor.send(do="burden", **on)
        await self._stage.until(trouble.until)
        for actor in struck:
            actor.send(do="burden", **off)

    async def _slow(self, trouble: Trouble) -> None:
        await self._burden(trouble, {"slow": max(1.0, trouble.size)}, {"slow": 1.0})

    async def _errors(self, trouble: Trouble) -> None:
        await self._burden(trouble, {"errors": trouble.size}, {"errors": 0.0})

    async def _neighbour(self, trouble: Trouble) -> None:
        struck = [host.actor for host in self._hosts(trouble) if host.actor is not None]
        on = True
        while self._stage.now() < trouble.until:
            for actor in struck:
                actor.send(do="burden", taken=trouble.size if on else 0.0)
            on = not on
            await self._stage.until(min(trouble.until, self._stage.now() + trouble.swing))
        for actor in struck:
            actor.send(do="burden", taken=0.0)

    async def _release(self, trouble: Trouble) -> None:
        """Batch after batch is drained, ends, and is followed by servers that start cold."""
        struck = self._hosts(trouble)
        batches = [struck[i : i + trouble.batch] for i in range(0, len(struck), trouble.batch)]
        begun = self._stage.now()
        pace = max(0.0, trouble.until - begun - trouble.drain) / max(1, len(batches))
        async with asyncio.TaskGroup() as group:
            for number, batch in enumerate(batches):
                await self._stage.until(begun + number * pace)
                for host in batch:
                    group.create_task(self._replace(host, trouble.drain))

    async def _replace(self, host: Host, drain: float) -> None:
        actor = host.actor
        if actor is None or not actor.alive:
            return
        host.ends = "left"
        actor.send(do="drain", drain_s=drain / 1000.0)
        await actor.wait()
        base, _, number = host.name.partition(".")
        made = Host(f"{base}.{int(number or 0) + 1}", host.machine)
        self._stage.hosts[made.name] = made
        await self._stage.start_server(made, cold=True)

    async def _reset(self, trouble: Trouble) -> None:
        self._stage.tell_networks(do="reset", names=[host.name for host in self._hosts(trouble)])

    async def _between(self, trouble: Trouble, on: str, off: str, **more: float) -> None:
        names = [host.name for host in self._hosts(trouble)]
        self._stage.tell_networks(do=on, names=names, **more)
        await self._stage.until(trouble.until)
        self._stage.tell_networks(do=off, names=names)

    async def _black_hole(self, trouble: Trouble) -> None:
        await self._between(trouble, "hole", "no-hole")

    async def _lose_answers(self, trouble: Trouble) -> None:
        await self._between(trouble, "deaf", "no-deaf")

    async def _slow_link(self, trouble: Trouble) -> None:
        await self._between(trouble, "slow", "no-slow", ms=trouble.size)

    async def _cut(self, trouble: Trouble) -> None:
        self._stage.tell_networks(do="cut", zone=trouble.zone)
        await self._stage.until(trouble.until)
        self._stage.tell_networks(do="mend", zone=trouble.zone)

    async def _registry_down(self, trouble: Trouble) -> None:
        lister = self._stage.lister
        assert lister is not None
        lister.process.kill()
        await lister.wait()
        await self._stage.until(trouble.until)
        if trouble.disk == "lost":
            for file in (self._stage.folder / "registry").iterdir():
                file.unlink()
        await self._stage.start_list()

    async def _sidecar_kill(self, trouble: Trouble) -> None:
        numbers = [n for n, app in enumerate(self._stage.day.apps) if app.name in trouble.targets]
        for number in numbers:
            actor = self._stage.sidecars[self._stage.day.apps[number].name]
            actor.ending = True
            actor.count_cpu()
            actor.process.kill()
        await self._stage.until(trouble.until)
        await asyncio.gather(*(self._stage.start_sidecar(number) for number in numbers))
