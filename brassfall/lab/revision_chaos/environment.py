"""The processes of a play, and how each is started, stopped and ended."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

import aiohttp

from brassfall.lab.real.messages import Ready
from brassfall.lab.real.process_group import (
    READY_S,
    ROOT,
    MemberProcess,
    PlayError,
    ProcessGroup,
)
from brassfall.lab.revision_chaos.clients import TENANTS
from brassfall.lab.revision_chaos.judge import Away
from brassfall.lab.revision_chaos.proxies import ControlProxy, ServerProxy
from brassfall.lab.revision_chaos.publisher import GROUPS, RARE, now
from brassfall.lab.revision_chaos.spec import Experiment
from brassfall.lab.revision_chaos.tier import Tier

FIRST_PORT = 20_001
KEY_MS = 1500.0
SETTLE_S = 1.0  # after a pause or a start: what came meanwhile is served by then
LEAVE_S = 10.0  # from SIGTERM; then SIGKILL


def own_host() -> str:
    """An address of loopback that no other play has, nor any connection that goes out. With ports below those
    that the system gives away, each is free still when the process that had it is followed by another."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{pid % 254 + 1}"


def settings(experiment: Experiment, number: int) -> dict[str, Any]:
    """A sidecar's own file. One of them has no class `rare`: it objects to what names it."""
    rows: list[dict[str, Any]] = [
        {"Name": "look", "Semantics": "pure", "Objective": 500.0, "Deadline": 2000.0},
        {
            "Name": "book",
            "Semantics": "token",
            "Group": "all",
            "KeyTtl": KEY_MS,
            "Objective": 500.0,
            "Deadline": 2000.0,
        },
        {"Name": "pay", "Semantics": "side_effect", "Objective": 500.0, "Deadline": 2000.0},
    ]
    if number != experiment.sidecars - 1:
        rows.append({"Name": RARE, "Semantics": "pure", "Objective": 500.0, "Deadline": 2000.0})
    return {
        "Profiles": rows,
        "FailureDomains": experiment.regions,
        "Kinds": ["any"],
        "Tenants": [{"Name": name, "AllowancePerS": 1000.0} for name in TENANTS],
        "Discovery": "automatic",
        "PolicyLimits": {"MaxAttempts": 3, "MayCancel": True, "ConnectTimeout": 400.0},
        "Rules": {"StopSendingWithin": 500.0},
        "Report": {"How": "inline", "Fields": ["inflight", "queue"]},
        "Me": number,
        "Balancers": experiment.sidecars,
    }


class Environment:
    """Everything that runs."""

    def __init__(self, experiment: Experiment, folder: Path, group: ProcessGroup) -> None:
        self.experiment = experiment
        self.folder = folder
        self.group = group
        self.host = own_host()
        self._ports = itertools.count(FIRST_PORT)
        self.control_proxies: list[
            list[ControlProxy]
        ] = []  # of each sidecar, in the order in which it asks them
        self.server_proxies = [ServerProxy(self._delay(number)) for number in range(experiment.servers)]
        self.listens = [f"{self.host}:{next(self._ports)}" for _ in range(experiment.sidecars)]
        self.sidecars: list[MemberProcess | None] = [None] * experiment.sidecars
        self._replacing = [asyncio.Lock() for _ in range(experiment.sidecars)]
        self.away: list[Away] = []
        self.tier = (
            Tier(experiment, folder, group, self.host, self._ports) if experiment.aggregators else None
        )
        self.services: dict[str, MemberProcess] = {}
        self.ports: dict[str, int] = {}

    def _delay(self, number: int) -> float:
        return self.experiment.delay_ms[number % len(self.experiment.regions)] / 1000.0

    async def start(self) -> None:
        """All of it, until each sidecar serves."""
        await self.service("main")
        if self.tier is not None:
            await self.tier.start(self.where("main"))
        for number in range(self.experiment.sidecars):
            self.control_proxies.append(await self._control_proxies(number))
        await asyncio.gather(*(self._server(number) for number in range(self.experiment.servers)))
        for number in range(self.experiment.sidecars):
            await self.sidecar(number)
        await asyncio.gather(*(self.serving(number) for number in range(self.experiment.sidecars)))

    async def _control_proxies(self, number: int) -> list[ControlProxy]:
        if self.tier is not None and number >= self.experiment.direct:
            return await self.tier.children(number)
        proxy = ControlProxy(self.where("main"))
        await proxy.start(self.host)
        return [proxy]

    # --- the list service ---------------------------------------------------------------

    def disk(self, name: str) -> Path:
        """Where a service keeps what must last."""
        return self.folder / f"disk-{name}"

    def at(self, name: str) -> str:
        """Where a service listens."""
        return f"{self.host}:{self.ports[name]}"

    def where(self, name: str) -> tuple[str, int]:
        """The same as a pair."""
        return self.host, self.ports[name]

    def lead(self, who: list[int], name: str) -> None:
        """Lead some sidecars to another service; where there are aggregators, half of those."""
        if self.tier is not None:
            for number in range((self.experiment.aggregators + 1) // 2):
                self.tier.lead(number, self.where(name))
            who = [number for number in who if number < self.experiment.direct]
        for number in who:
            for proxy in self.control_proxies[number]:
                proxy.turn(self.where(name))

    def links(self) -> list[ControlProxy]:
        """Everything that leads to a service or an aggregator."""
        own = [proxy for proxies in self.control_proxies for proxy in proxies]
        return own if self.tier is None else [*own, *self.tier.above, *self.tier.fronts]

    def above(self) -> list[ControlProxy]:
        """What leads to a service alone."""
        direct = self.control_proxies if self.tier is None else self.control_proxies[: self.experiment.direct]
        own = [proxy for proxies in direct for proxy in proxies]
        return own if self.tier is None else [*own, *self.tier.above]

    async def service(self, name: str) -> None:
        """Start one on its disk, as it is."""
        port = self.ports.setdefault(name, next(self._ports))
        file = self.folder / f"service-{name}.toml"
        lines = [
            "[registry]",
            f'listen = "{self.host}:{port}"',
            f"data = {json.dumps(str(self.disk(name)))}",
            "[registry.agreement]",
            f"agree_ms = {self.experiment.agree_ms}",
        ]
        file.write_text("\n".join(lines) + "\n")
        command = [sys.executable, "-m", "brassfall", "registry", "serve", "--config", str(file)]
        member = await self.group.start(f"service {name}", "service", command)
        self.services[name] = member
        await member.report("ready", Ready)

    async def kill(self, name: str) -> None:
        """End a service without a warning."""
        member = self.services[name]
        if member.alive:
            member.ending = True
            member.process.kill()
        await member.wait()

    def copy(self, name: str, to: Path) -> None:
        """A copy of a disk, as it is at this moment."""
        shutil.rmtree(to, ignore_errors=True)
        shutil.copytree(self.disk(name), to)

    # --- servers --------------------------------------------------------------------------

    async def _server(self, number: int) -> None:
        server_proxy, name = self.server_proxies[number], f"s{number}"
        await server_proxy.start(self.host)
        listen = f"{self.host}:{next(self._ports)}"
        host, _, port = listen.rpartition(":")
        server_proxy.upstream = (host, int(port))
        region = self.experiment.regions[number % len(self.experiment.regions)]
        command = [
            *(sys.executable, "-m", "brassfall", "lab", "server", name),
            *("--registry", self.at("main"), "--listen", listen, "--advertise", server_proxy.address),
            *("--zone", region, "--ledger", str(self.folder / f"ledger-{name}.jsonl")),
        ]
        member = await self.group.start(name, "server", command)
        await member.report("ready", Ready)

    # --- sidecars ---------------------------------------------------------------------------

    async def sidecar(self, number: int) -> MemberProcess:
        """Start one as the platform does."""
        folder = self.folder / f"sidecar-{number}"
        folder.mkdir(exist_ok=True)
        file = folder / "config.json"
        place = {
            "group": GROUPS[number % len(GROUPS)],
            "region": self.experiment.regions[number % len(self.experiment.regions)],
        }
        fleet = {
            "registry": [proxy.address for proxy in self.control_proxies[number]],
            "place": place,
            "agreement": {"agree_ms": self.experiment.agree_ms},
        }
        raw = {
            "name": f"n{number}",
            "listen": self.listens[number],
            "seed": str(number + 1),
            "limits": {"sockets": 1024},
            "known": {"index": 0, "snapshot": True, "endpoints": []},
            "settings": settings(self.experiment, number),
            "fleet": fleet,
        }
        file.write_text(json.dumps(raw))
        member = await self.group.start_sidecar(f"n{number}", ROOT, file)
        self.sidecars[number] = member
        return member

    async def serving(self, number: int) -> None:
        """Wait until a request through a sidecar is answered by a server."""
        headers = {"X-Call-Id": f"{number:04x}1{2**40:011x}", "X-Call-Class": "look", "X-Budget": "1000m"}
        headers["X-Caller"] = TENANTS[-1]
        limit = aiohttp.ClientTimeout(total=1.5)
        async with aiohttp.ClientSession(timeout=limit) as session:
            for _ in range(int(READY_S / 0.05)):
                member = self.sidecars[number]
                if member is not None and not member.alive:
                    raise PlayError(f"{member.name} ended: {member.last}")
                with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                    url = f"http://{self.listens[number]}/look/first"
                    async with session.get(url, headers=headers) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.05)
        raise PlayError(f"sidecar {number}: no answer within {READY_S:g} s")

    async def pause(self, number: int, span: float) -> None:
        """SIGSTOP, and SIGCONT after a while."""
        member, since = self.sidecars[number], now()
        if member is None or not member.alive:
            return
        member.process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(span)
        finally:
            if member.alive:
                member.process.send_signal(signal.SIGCONT)
            self.away.append(Away(number, since, now() + SETTLE_S))

    async def replace(self, number: int, planned: bool, wait: float = 0.0) -> None:
        """End one, with a warning or without, and start its follower."""
        async with self._replacing[number]:
            await self._replace(number, planned, wait)

    async def _replace(self, number: int, planned: bool, wait: float) -> None:
        member, since = self.sidecars[number], now()
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
        await asyncio.sleep(wait)
        await self.sidecar(number)
        await self.serving(number)
        self.away.append(Away(number, since, now() + SETTLE_S))

    def crashed(self) -> list[str]:
        """Whoever ended and was not meant to."""
        found = [a for a in self.group.members if not a.alive and not a.ending]
        return [f"{a.name} ended with {a.process.returncode}: {a.last}" for a in found]

    def close(self) -> None:
        """Close what listens here."""
        for server_proxy in self.server_proxies:
            with contextlib.suppress(AttributeError):
                server_proxy.close()
        for proxy in self.links():
            with contextlib.suppress(AttributeError):
                proxy.close()
