"""The processes of a measurement: a list service, servers, sidecars and a client, each one of its own."""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import psutil

from brassfall.controlplane.registry.client import call
from brassfall.lab import arrivals, day
from brassfall.lab.capacity.datapath import client, server
from brassfall.lab.real.messages import ListServiceReady, Ready
from brassfall.lab.real.process_group import (
    ROOT,
    MemberProcess,
    PlayError,
    ProcessGroup,
    free_port,
    lend_environment,
)

MODULE = "brassfall.lab.capacity.datapath"
EXPERIMENT = """[experiment]
name = "data-path"
mode = "real"
for = "10 s"
[fleet]
sidecars = 5400
servers = 17
[load]
share = 0.5
"""
DESCRIPTORS = 4096
READY_S = 30.0
LOOK_S = 0.005  # between two looks whether a sidecar is ready: its first call comes soon after
WRITERS = 32  # entries that are registered at a time
ASK_S = 2.0


class Sidecar:
    """One sidecar under measurement."""

    def __init__(self, member: MemberProcess, listen: str, operator: str, started: float) -> None:
        self.member = member
        self.listen = listen
        self._operator = operator
        self.start_ms = (time.monotonic() - started) * 1000.0  # until it was ready
        self.pid = member.process.pid

    def used(self) -> Used:
        """What the process has used since its start."""
        process = psutil.Process(self.pid)
        times, switches = process.cpu_times(), process.num_ctx_switches()
        waited = Path(f"/proc/{self.pid}/schedstat").read_text(encoding="ascii").split()[1]
        return Used(
            times.user + times.system,
            switches.voluntary,
            int(waited) / 1e9,
            len(process.net_connections("tcp")),
        )

    async def refusals(self) -> dict[str, int]:
        """How many calls it answered without a server, by reason, since its start."""
        host, _, port = self._operator.rpartition(":")
        async with asyncio.timeout(ASK_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"REFUSALS\n")
            line = (await reader.readline()).decode()
            writer.close()
        pairs = (pair.partition("=") for pair in line.split()[1:])
        return {reason: int(count) for reason, _, count in pairs}


class Used(msgspec.Struct, frozen=True):
    """Counters of a process: seconds of processor, waits for something to do, seconds in line for a core."""

    cpu_s: float
    sleeps: int
    in_line_s: float
    connections: int

    def since(self, before: Used) -> Used:
        """What was used between two looks; connections as they are now."""
        return Used(
            self.cpu_s - before.cpu_s,
            self.sleeps - before.sleeps,
            self.in_line_s - before.in_line_s,
            self.connections,
        )


class Scene:
    """All processes of one measurement."""

    def __init__(self, folder: Path, group: ProcessGroup) -> None:
        self._folder = folder
        self._group = group
        self._numbers = itertools.count()
        self._list_at = ""
        self._known: dict[str, Any] = {}
        self._settings: dict[str, Any] = {}

    async def start_list(self, addresses: list[str], entries: int) -> None:
        """Start a list service with so many entries, which stand for the addresses in rotation."""
        experiment = self._folder / "experiment.toml"
        experiment.write_text(EXPERIMENT, encoding="utf-8")
        self._experiment, _ = arrivals.load_experiment(experiment)
        config = self._folder / "registry.toml"
        config.write_text(
            f'[registry]\nlisten = "127.0.0.1:0"\ndata = "{self._folder / "registry"}"\n'
            "[registry.leases]\ngather_ms = 0\n[registry.limits]\ncaller_calls_per_s = 0\n",
            encoding="utf-8",
        )
        command = [sys.executable, "-m", "brassfall", "registry", "serve", "--config", str(config)]
        service = await self._group.start("list service", "list service", command)
        self._list_at = (await service.report("ready", ListServiceReady))["listen"]
        await self._register(addresses, entries)
        self._known = await call(self._list_at, "GET", "/registry/instances")

    async def _register(self, addresses: list[str], entries: int) -> None:
        zones = self._experiment.fleet.zones
        kinds = [kind.name for kind in self._experiment.fleet.kinds]
        rows = iter(range(entries))

        async def write(session: aiohttp.ClientSession) -> None:
            for number in rows:
                entry = {
                    "address": addresses[number % len(addresses)],
                    "zone": zones[0],
                    "type": kinds[0],
                    "group": 0,
                    "weight": 1.0,
                    "since_ms": 0,
                    "ttl_ms": 0,
                }
                url = f"http://{self._list_at}/registry/instances/server-{number:05}"
                async with session.put(url, json=entry) as answer:
                    if answer.status != 200:
                        raise PlayError(f"the list service refused an entry with {answer.status}")

        async with aiohttp.ClientSession() as session:
            await asyncio.gather(*(write(session) for _ in range(WRITERS)))

    async def start_servers(self, sockets: int) -> tuple[MemberProcess, list[str]]:
        """Start a process of servers; where they listen."""
        member = await self._own("server", server.Order(sockets))
        return member, (await member.report("ready", server.Ready))["addresses"]

    async def start_client(self) -> MemberProcess:
        """Start a client that is ready to play turns."""
        member = await self._own("client", client.Order(f"client-{next(self._numbers)}"))
        await member.report("ready", Ready)
        return member

    async def start_sidecar(self) -> Sidecar:
        """Start a sidecar as the platform does; it is ready on return."""
        number = next(self._numbers)
        name = f"sidecar-{number}"
        folder = self._folder / name
        folder.mkdir()
        listen, operator = f"127.0.0.1:{free_port()}", f"127.0.0.1:{free_port()}"
        raw = {
            "name": name,
            "listen": listen,
            "operator": operator,
            "discovery": self._list_at,
            "seed": f"{number:x}",
            "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": DESCRIPTORS},
            "known": self._known,
            "settings": day.wire_settings(self._experiment, number, {}),
        }
        config = folder / "config.json"
        config.write_text(json.dumps(raw), encoding="utf-8")
        started = time.monotonic()
        member = await self._group.start_sidecar(name, ROOT, config)
        await self._ready(member, listen)
        return Sidecar(member, listen, operator, started)

    async def _ready(self, member: MemberProcess, listen: str) -> None:
        until = time.monotonic() + READY_S
        async with aiohttp.ClientSession() as session:
            while member.alive and time.monotonic() < until:
                try:
                    async with session.get(f"http://{listen}/health/ready") as answer:
                        if answer.status == 200:
                            return
                except (aiohttp.ClientError, OSError):
                    pass
                await asyncio.sleep(LOOK_S)
        raise PlayError(f"sidecar {member.name}: not ready: {member.last}")

    async def _own(self, module: str, order: msgspec.Struct) -> MemberProcess:
        name = f"{module} {next(self._numbers)}"
        return await self._group.start(name, "lab", [sys.executable, "-m", f"{MODULE}.{module}"], order)


@asynccontextmanager
async def scene() -> AsyncIterator[Scene]:
    """A scene in a folder of its own; at the end all its processes are ended and the folder is gone."""
    lend_environment(ROOT)
    with tempfile.TemporaryDirectory(prefix="brassfall-data-path-") as name:
        folder = Path(name)
        group = ProcessGroup(folder / "logs")
        await group.open()
        try:
            yield Scene(folder, group)
        finally:
            await group.close()
