"""The processes of a play, and how each is started, stopped and ended."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import sys
from pathlib import Path

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
from brassfall.lab.revision_chaos.judge import Absence
from brassfall.lab.revision_chaos.processes import end_process, pause_process
from brassfall.lab.revision_chaos.proxies import Address, ControlProxy, ServerProxy
from brassfall.lab.revision_chaos.publisher import GROUPS, RARE, now
from brassfall.lab.revision_chaos.spec import Experiment
from brassfall.lab.revision_chaos.tier import Tier

FIRST_PORT = 20_001
KEY_MS = 1500.0
POLL_S = 0.05
SETTLE_S = 1.0  # after a pause or a start: what came meanwhile is served by then


def own_host() -> str:
    """Return a loopback address that no other play and no outgoing connection uses.

    With ports below the ephemeral range, a port is still free when its process is replaced.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 64}.{(pid >> 8) % 256}.{pid % 254 + 1}"


def settings(experiment: Experiment, number: int) -> dict[str, object]:
    """Return a sidecar's own settings; the last sidecar lacks the class `rare` and objects to it."""
    rows: list[dict[str, object]] = [
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
    """The processes and proxies of a play."""

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
        self.absences: list[Absence] = []
        self.tier = (
            Tier(experiment, folder, group, self.host, self._ports) if experiment.aggregators else None
        )
        self.services: dict[str, MemberProcess] = {}
        self.ports: dict[str, int] = {}

    def _delay(self, number: int) -> float:
        return self.experiment.delay_ms[number % len(self.experiment.regions)] / 1000.0

    async def start(self) -> None:
        """Start all processes and wait until each sidecar serves."""
        await self.start_service("main")
        if self.tier is not None:
            await self.tier.start(self.address("main"))
        for number in range(self.experiment.sidecars):
            self.control_proxies.append(await self._control_proxies(number))
        await asyncio.gather(*(self._server(number) for number in range(self.experiment.servers)))
        for number in range(self.experiment.sidecars):
            await self.start_sidecar(number)
        await asyncio.gather(*(self.wait_until_serving(number) for number in range(self.experiment.sidecars)))

    async def _control_proxies(self, number: int) -> list[ControlProxy]:
        if self.tier is not None and number >= self.experiment.direct:
            return await self.tier.children(number)
        proxy = ControlProxy(self.address("main"))
        await proxy.start(self.host)
        return [proxy]

    # --- the list service ---------------------------------------------------------------

    def data_folder(self, name: str) -> Path:
        """Return the data folder of a service."""
        return self.folder / f"disk-{name}"

    def endpoint(self, name: str) -> str:
        """Return `host:port` of a service."""
        return f"{self.host}:{self.ports[name]}"

    def address(self, name: str) -> Address:
        """Return the address where a service listens."""
        return Address(self.host, self.ports[name])

    def redirect(self, numbers: list[int], name: str) -> None:
        """Redirect sidecars to another service, and half of the aggregators."""
        if self.tier is not None:
            for number in range((self.experiment.aggregators + 1) // 2):
                self.tier.redirect(number, self.address(name))
            numbers = [number for number in numbers if number < self.experiment.direct]
        for number in numbers:
            for proxy in self.control_proxies[number]:
                proxy.redirect(self.address(name))

    def all_proxies(self) -> list[ControlProxy]:
        """Return all proxies that lead to a service or an aggregator."""
        own = [proxy for proxies in self.control_proxies for proxy in proxies]
        return own if self.tier is None else [*own, *self.tier.upstream_proxies, *self.tier.entry_proxies]

    def service_proxies(self) -> list[ControlProxy]:
        """Return the proxies that lead to a service."""
        direct = self.control_proxies if self.tier is None else self.control_proxies[: self.experiment.direct]
        own = [proxy for proxies in direct for proxy in proxies]
        return own if self.tier is None else [*own, *self.tier.upstream_proxies]

    async def start_service(self, name: str) -> None:
        """Start a service on its present data folder."""
        port = self.ports.setdefault(name, next(self._ports))
        file = self.folder / f"service-{name}.toml"
        lines = [
            "[registry]",
            f'listen = "{self.host}:{port}"',
            f"data = {json.dumps(str(self.data_folder(name)))}",
            "[registry.agreement]",
            f"agree_ms = {self.experiment.agree_ms}",
        ]
        file.write_text("\n".join(lines) + "\n")
        command = [sys.executable, "-m", "brassfall", "registry", "serve", "--config", str(file)]
        member = await self.group.start(f"service {name}", "service", command)
        self.services[name] = member
        await member.report("ready", Ready)

    async def kill(self, name: str) -> None:
        """Kill a service with SIGKILL."""
        await end_process(self.services[name], planned=False)

    def copy(self, name: str, to: Path) -> None:
        """Copy the data folder of a service in its present state."""
        shutil.rmtree(to, ignore_errors=True)
        shutil.copytree(self.data_folder(name), to)

    # --- servers --------------------------------------------------------------------------

    async def _server(self, number: int) -> None:
        server_proxy, name = self.server_proxies[number], f"s{number}"
        await server_proxy.start(self.host)
        listen = f"{self.host}:{next(self._ports)}"
        host, _, port = listen.rpartition(":")
        server_proxy.upstream = Address(host, int(port))
        region = self.experiment.regions[number % len(self.experiment.regions)]
        command = [
            *(sys.executable, "-m", "brassfall", "lab", "server", name),
            *("--registry", self.endpoint("main"), "--listen", listen, "--advertise", server_proxy.address),
            *("--zone", region, "--ledger", str(self.folder / f"ledger-{name}.jsonl")),
        ]
        member = await self.group.start(name, "server", command)
        await member.report("ready", Ready)

    # --- sidecars ---------------------------------------------------------------------------

    async def start_sidecar(self, number: int) -> MemberProcess:
        """Start a sidecar by its `run` command."""
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

    async def wait_until_serving(self, number: int) -> None:
        """Wait until a request through a sidecar is answered by a server."""
        headers = {"X-Call-Id": f"{number:04x}1{2**40:011x}", "X-Call-Class": "look", "X-Budget": "1000m"}
        headers["X-Caller"] = TENANTS[-1]
        limit = aiohttp.ClientTimeout(total=1.5)
        async with aiohttp.ClientSession(timeout=limit) as session:
            for _ in range(int(READY_S / POLL_S)):
                member = self.sidecars[number]
                if member is not None and not member.alive:
                    text = f"{member.name} ended: {member.last}"
                    raise PlayError(text)
                with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                    url = f"http://{self.listens[number]}/look/first"
                    async with session.get(url, headers=headers) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(POLL_S)
        text = f"sidecar {number}: no answer within {READY_S:g} s"
        raise PlayError(text)

    async def pause(self, number: int, duration_s: float) -> None:
        """Stop a sidecar with SIGSTOP, and continue it after `duration_s`."""
        member, since = self.sidecars[number], now()
        if member is None or not member.alive:
            return
        try:
            await pause_process(member, duration_s)
        finally:
            self.absences.append(Absence(number, since, now() + SETTLE_S))

    async def replace(self, number: int, *, planned: bool, wait_s: float = 0.0) -> None:
        """End a sidecar, by SIGTERM if `planned`, and start another in its place after `wait_s`."""
        async with self._replacing[number]:
            await self._replace(number, planned=planned, wait_s=wait_s)

    async def _replace(self, number: int, *, planned: bool, wait_s: float) -> None:
        member, since = self.sidecars[number], now()
        if member is None or not member.alive:
            return
        await end_process(member, planned=planned)
        await asyncio.sleep(wait_s)
        await self.start_sidecar(number)
        await self.wait_until_serving(number)
        self.absences.append(Absence(number, since, now() + SETTLE_S))

    def unexpected_ends(self) -> list[str]:
        """Return a text for each process that ended unexpectedly."""
        found = [a for a in self.group.members if not a.alive and not a.ending]
        return [f"{a.name} ended with {a.process.returncode}: {a.last}" for a in found]

    def close(self) -> None:
        """Close all proxies."""
        for server_proxy in self.server_proxies:
            with contextlib.suppress(AttributeError):
                server_proxy.close()
        for proxy in self.all_proxies():
            with contextlib.suppress(AttributeError):
                proxy.close()
