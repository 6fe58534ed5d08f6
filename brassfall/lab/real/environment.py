"""The environment of a real play: its processes, how each is started, and the records of the play."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from brassfall.controlplane.registry import client
from brassfall.lab import ledger
from brassfall.lab.day import Day, Machine, ScheduledFault, wire_settings
from brassfall.lab.real import clients, network, server
from brassfall.lab.real.child import clock
from brassfall.lab.real.messages import (
    Command,
    Done,
    ListReport,
    NetworkReady,
    Ready,
    RemoveServers,
    ServerReady,
    SetList,
    Stop,
)
from brassfall.lab.real.process_group import (
    LIST_SERVICE,
    READY_S,
    MemberProcess,
    PlayError,
    ProcessGroup,
    free_port,
)
from brassfall.lab.spec import Experiment, Version

KnownList = dict[str, Any]  # a list as the list service has it, passed on to sidecars as it is
READY_POLL_S = 0.02
LIST_POLL_S = 0.05
RATE_PER_CLIENT = 400.0  # requests a second that one process of clients sends without being late
DESCRIPTORS = 4096


@dataclass(frozen=True, slots=True, kw_only=True)
class Play:
    """What is played: one version on one day."""

    experiment: Experiment
    experiment_path: str
    version: Version
    day: Day
    folder: Path
    code: Path  # the folder of the version
    progress: Callable[[float], None]  # called each second with the time of the play in ms


@dataclass(slots=True)
class Host:
    """One server of the fleet, through all its incarnations."""

    name: str
    machine: Machine
    incarnation: int = -1
    member: MemberProcess | None = None
    end_reason: str = ""  # why it is about to end, once that is intended


@dataclass(slots=True)
class Environment:
    """The processes of one play and its records."""

    play: Play
    group: ProcessGroup
    hosts: dict[str, Host] = field(default_factory=dict)
    networks: list[MemberProcess] = field(default_factory=list)
    sidecars: dict[str, MemberProcess] = field(default_factory=dict)
    events: list[ledger.Event] = field(default_factory=list)
    incarnations: list[ledger.Incarnation] = field(default_factory=list)
    incarnations_by_start: dict[tuple[str, int], int] = field(default_factory=dict)  # by name and `since_ms`
    crashes: list[str] = field(default_factory=list)
    list_service: MemberProcess | None = None
    start_ms: float = 0.0  # of the play, on the monotonic clock
    _list_port: int = 0
    _list_addresses: dict[str, str] = field(default_factory=dict)  # of the list service, by sidecar
    _registry_addresses: dict[int, str] = field(default_factory=dict)  # of the list service, by zone
    _sidecar_addresses: dict[str, str] = field(default_factory=dict)
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)

    # --- start ----------------------------------------------------------------

    async def start(self) -> list[MemberProcess]:
        """Start all processes; return those of the clients, ready to send."""
        self._list_port = free_port()
        await self.start_list()
        await self._start_networks()
        self.hosts = {machine.name: Host(machine.name, machine) for machine in self.play.day.servers}
        await asyncio.gather(*(self.start_server(host, warming_up=False) for host in self.hosts.values()))
        await self._wait_until_listed(len(self.hosts))
        known = await client.call(self._list_address, "GET", "/registry/instances")
        for member in self.networks:
            member.send(SetList(known["endpoints"]))
        lists = [(await member.report("list", ListReport))["endpoints"] for member in self.networks]
        for app in self.play.day.apps:
            self._sidecar_addresses[app.name] = f"127.0.0.1:{free_port()}"
        await asyncio.gather(
            *(
                self.start_sidecar(number, {**known, "endpoints": lists[app.group]})
                for number, app in enumerate(self.play.day.apps)
            )
        )
        return await self._start_clients()

    @property
    def _list_address(self) -> str:
        return f"127.0.0.1:{self._list_port}"

    async def start_list(self) -> None:
        """Start the list service with the data that it has on disk."""
        config = self.play.folder / "registry.toml"
        data = self.play.folder / "registry"
        # Before its first incarnation no server can have been registered, so there is nothing to gather.
        gather = "" if data.exists() else "[registry.leases]\ngather_ms = 0\n"
        config.write_text(f'[registry]\nlisten = "{self._list_address}"\ndata = "{data}"\n{gather}')
        command = [sys.executable, "-m", "brassfall", "registry", "serve", "--config", str(config)]
        self.list_service = await self.group.start(LIST_SERVICE, LIST_SERVICE, command)
        await self.list_service.report("ready", Ready)

    async def _start_networks(self) -> None:
        zones = self.play.experiment.fleet.zones
        for group, zone in enumerate(self.play.day.delays.homes):
            mine = [app.name for app in self.play.day.apps if app.group == group]
            order = network.Order(
                zone=zone,
                group=group,
                zones=zones,
                delays=self.play.day.delays,
                registry=self._list_address,
                sidecars=mine,
                folder=str(self.play.folder / "parts" / f"network-{group}"),
            )
            name = f"network {zones[zone]} {group}"
            self.networks.append(await self.group.start_module(name, "network", order))
        for member, zone in zip(self.networks, self.play.day.delays.homes, strict=True):
            ready = await member.report("ready", NetworkReady)
            self._list_addresses |= ready["list_addresses"]
            self._registry_addresses.setdefault(zone, ready["registry"])

    async def start_server(self, host: Host, *, warming_up: bool) -> None:
        """Start an incarnation of a server, and wait until it listens."""
        host.incarnation += 1
        host.end_reason = ""
        since = int(time.time() * 1000.0) if warming_up else 0  # 0: it has warmed up long ago
        self.incarnations_by_start[host.name, since] = host.incarnation
        order = server.Order(
            machine=host.machine,
            name=host.name,
            incarnation=host.incarnation,
            warming_up=warming_up,
            since_ms=since,
            registry=self._registry_addresses[host.machine.zone],
            ttl_ms=int(self.play.day.ttl),
            zones=self.play.experiment.fleet.zones,
            kinds=[kind.name for kind in self.play.experiment.fleet.kinds],
            noise={row.name: cv for row, cv in zip(self.play.day.classes, self.play.day.noise, strict=True)},
            folder=str(self.play.folder / "parts" / f"server-{host.name}-{host.incarnation}"),
        )
        host.member = await self.group.start_module(host.name, "server", order)
        await host.member.report("ready", ServerReady)
        self._tasks.append(asyncio.create_task(self._note_end(host, host.member, host.incarnation)))

    async def _note_end(self, host: Host, member: MemberProcess, incarnation: int) -> None:
        """Wait until a server ends; record it, and remove the server from the networks."""
        status = await member.wait()
        why = host.end_reason or ("fallen" if status == server.COLLAPSED else "crashed")
        self.incarnations.append(
            ledger.Incarnation(host.name, incarnation, 0.0, 0.0, end=self.now(), why=why)
        )
        self.command_networks(RemoveServers([host.name]))
        if why == "crashed":
            self.crashes.append(f"server {host.name} ended with status {status}: {member.last}")

    async def start_sidecar(self, number: int, known: KnownList | None = None) -> None:
        """Start a sidecar as the platform does, and wait until it is ready.

        `known` is the list for a new configuration file; without it, the sidecar's present file is used.
        """
        app = self.play.day.apps[number]
        folder = self.play.folder / "sidecars" / app.name
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / "config.json"
        if known is not None:
            raw = {
                "name": app.name,
                "listen": self._sidecar_addresses[app.name],
                "discovery": self._list_addresses[app.name],
                "seed": f"{app.seed:x}",
                "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": DESCRIPTORS},
                "known": known,
                "settings": wire_settings(self.play.experiment, number, self.play.version.settings),
            }
            path.write_text(json.dumps(raw))
        member = await self.group.start_sidecar(app.name, self.play.code, path)
        self.sidecars[app.name] = member
        await self._wait_until_ready(member, self._sidecar_addresses[app.name])

    async def _wait_until_ready(self, member: MemberProcess, address: str) -> None:
        async with aiohttp.ClientSession() as session:
            for _ in range(int(READY_S / READY_POLL_S)):
                if not member.alive:
                    message = f"sidecar {member.name} ended with {member.process.returncode}: {member.last}"
                    raise PlayError(message)
                with contextlib.suppress(aiohttp.ClientError, OSError):
                    async with session.get(f"http://{address}/health/ready") as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(READY_POLL_S)
        message = f"sidecar {member.name}: not ready within {READY_S:g} s"
        raise PlayError(message)

    async def _wait_until_listed(self, count: int) -> None:
        for _ in range(int(READY_S / LIST_POLL_S)):
            with contextlib.suppress(client.CallError):
                listed = await client.call(self._list_address, "GET", "/registry/instances")
                if len(listed["endpoints"]) >= count:
                    return
            await asyncio.sleep(LIST_POLL_S)
        message = f"the list service does not list {count} servers within {READY_S:g} s"
        raise PlayError(message)

    async def _start_clients(self) -> list[MemberProcess]:
        """Start as many processes of clients as it takes to be on time; each application has one."""
        rate = 1000.0 * len(self.play.day.arrivals.at) / self.play.day.lasts
        count = min(len(self.play.day.apps), max(1, math.ceil(rate / RATE_PER_CLIENT)))
        loads = [0.0] * count
        shares: list[dict[str, str]] = [{} for _ in range(count)]
        for app in sorted(self.play.day.apps, key=lambda app: -app.share):
            least = loads.index(min(loads))
            loads[least] += app.share
            shares[least][app.name] = self._sidecar_addresses[app.name]
        started = []
        for number, mine in enumerate(shares):
            folder = str(self.play.folder / "parts" / f"clients-{number}")
            order = clients.Order(self.play.experiment_path, self.play.day.seed, mine, folder)
            started.append(await self.group.start_module(f"clients {number}", "clients", order))
        for member in started:
            await member.report("ready", Ready)
        return started

    # --- play -----------------------------------------------------------------

    def now(self) -> float:
        """Return the time in ms from the start of the play."""
        return clock() - self.start_ms

    async def until(self, at: float) -> None:
        """Wait until `at` ms of the play."""
        await asyncio.sleep(max(0.0, at - self.now()) / 1000.0)

    def record_fault(self, fault: ScheduledFault) -> None:
        """Record that a fault begins now."""
        self.events.append(
            ledger.Event(fault.kind, round(self.now(), 3), round(fault.until, 3), list(fault.targets))
        )

    def command_networks(self, command: Command) -> None:
        """Send a command to the network process of every zone."""
        for member in self.networks:
            member.send(command)

    # --- end ------------------------------------------------------------------

    async def end(self) -> list[Done]:
        """Count the processor time of all processes, stop the lab's own, and return their reports."""
        for member in self.group.members:
            if member.alive:
                member.count_cpu()
        for task in self._tasks:
            task.cancel()
        stopped = {name for event in self.events if event.kind == "stop" for name in event.targets}
        hosts = [host for host in self.hosts.values() if host.name.partition(".")[0] not in stopped]
        own = [*self.networks, *(host.member for host in hosts if host.member is not None)]
        asked = [member for member in own if member.alive]
        for member in asked:
            member.send(Stop())
        return [await member.report("done", Done) for member in asked]
