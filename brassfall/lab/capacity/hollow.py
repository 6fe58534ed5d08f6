"""Hollow sidecars, some hundreds in one process: `python -m brassfall.lab.capacity.hollow SOURCE`.

Each is the sidecar's own control code (`sidecar.agent`, and `sidecar.discovery` with its watch) on
connections of its own, with its own configuration and list; what is missing is the data path. Connections go
out from the address SOURCE. Commands come as JSON lines on standard input, answers go to standard output; the
process ends when its input does.
"""

from __future__ import annotations

import asyncio
import gc
import importlib
import json
import re
import socket
import struct
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import msgspec
import psutil

from brassfall.lab.capacity import control

config_module: Any = importlib.import_module("brassfall.sidecar.config")
reload_module: Any = importlib.import_module("brassfall.sidecar.reload")
channel_module: Any = importlib.import_module("brassfall.sidecar.discovery.channel")
discovery_module: Any = importlib.import_module("brassfall.sidecar.discovery.discovery")
member_module: Any = importlib.import_module("brassfall.sidecar.agent.member")

GROUPS = 7  # client groups over which a fleet is spread
REGIONS = ("a", "b", "c")
MOMENTS_CACHED = 64  # revisions, and versions of the list, whose times are kept
FEED_S = 2.5  # how often each sidecar is given delays to report, as traffic would
FED_MS = (0.8, 0.9, 1.0, 1.1, 1.3, 2.0)  # first-byte times of one feed, in each region
ADDRESS, REASON_MOST = re.compile(r"[0-9.]+:[0-9]+:? ?"), 80
TCP_INFO_BYTES = 136
SENT_AT, RECEIVED_AT = 120, 128  # tcpi_bytes_acked and tcpi_bytes_received in Linux's struct tcp_info
SETTINGS = {
    "Profiles": [{"Name": "look", "Semantics": "pure", "Objective": 5000.0, "Deadline": 20000.0}],
    "PolicyLimits": {"MaxAttempts": 3, "MayCancel": True, "ConnectTimeout": 250.0},
    "Rules": {"StopSendingWithin": 500.0},
    "FailureDomains": list(REGIONS),
    "Discovery": "automatic",
}


class Connections:
    """Open connections of this process by kind, and bytes over all that there have been."""

    def __init__(self) -> None:
        self._open: dict[str, list[socket.socket]] = {kind: [] for kind in control.KINDS}
        self._closed = {kind: control.Traffic() for kind in control.KINDS}

    def add(self, kind: str, made: socket.socket) -> None:
        """A connection was opened."""
        self._open[kind].append(made)

    def close(self, kind: str, made: socket.socket) -> None:
        """It is about to be closed."""
        self._closed[kind] = _sum(self._closed[kind], _traffic(made))
        self._open[kind].remove(made)

    def traffic(self) -> dict[str, control.Traffic]:
        """Bytes by kind since the start."""
        return {
            kind: _sum(self._closed[kind], *(_traffic(each) for each in sockets))
            for kind, sockets in self._open.items()
        }

    def by_server(self) -> dict[str, int]:
        """How many connections are open to each server."""
        return dict(Counter(_peer(each) for sockets in self._open.values() for each in sockets))


def _peer(made: socket.socket) -> str:
    try:
        host, port = made.getpeername()[:2]
    except OSError:
        return "none"
    return f"{host}:{port}"


def _traffic(made: socket.socket) -> control.Traffic:
    try:
        tcp_info = made.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return control.Traffic()
    sent, received = struct.unpack_from("=QQ", tcp_info, SENT_AT)
    return control.Traffic(sent, received)


def _sum(*parts: control.Traffic) -> control.Traffic:
    return control.Traffic(sum(each.sent for each in parts), sum(each.received for each in parts))


class SourceLoop(asyncio.SelectorEventLoop):
    """An event loop whose connections all go out from one address, and are counted."""

    def __init__(self, source: str) -> None:
        super().__init__()
        self._source = source
        self.connections = Connections()

    async def create_connection(self, protocol_factory: Any, *arguments: Any, **options: Any) -> Any:
        """As the loop's, from the address."""
        options["local_addr"] = (self._source, 0)
        transport, protocol = await super().create_connection(protocol_factory, *arguments, **options)
        kind = control.WATCHES if isinstance(protocol, channel_module.Channel) else control.REPORTS
        made = transport.get_extra_info("socket")
        self.connections.add(kind, made)
        self._count_at_end(protocol, kind, made)
        return transport, protocol

    def _count_at_end(self, protocol: Any, kind: str, made: socket.socket) -> None:
        """Have the connection counted as closed before its descriptor is."""
        lost = protocol.connection_lost

        def counted(error: Exception | None) -> None:
            protocol.connection_lost = lost
            self.connections.close(kind, made)
            lost(error)

        protocol.connection_lost = counted


class HollowSidecar:
    """One sidecar's control part, and in place of its process what that part needs of one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, config: Any) -> None:
        self._loop = loop
        self._config = config
        self.classes_in_use: set[int] = set()  # no request names a class
        self.acted: dict[int, float] = {}  # revision to when it was first acted on
        self.listed: dict[int, float] = {}  # version of the list to when it was held
        self.reports = 0
        self.discovery = discovery_module.Discovery(loop, config, self)
        self.member = member_module.FleetMember(loop, self, {})
        agent = self.member.agent
        agent.report_extensions.append(self.discovery.report_fields)
        agent.answer_listeners.append(self._answered)
        agent.refresh = self._observed(agent.refresh)

    def start(self) -> None:
        """Ask for the list and for a lease, as a sidecar does once it serves."""
        self.discovery.start()
        self.member.agent.start()

    async def leave(self) -> None:
        """End with a farewell."""
        self.discovery.close()
        await self.member.agent.leave()

    def close(self) -> None:
        """End without a word."""
        self.discovery.close()
        self.member.agent.close()

    def feed(self) -> None:
        """Note delays, as requests to each region would."""
        for region in REGIONS:
            for delay_ms in FED_MS:
                self.member.delays.count_first_byte(region, delay_ms)

    @property
    def acting(self) -> int | str:
        """The revision acted on now, or the word for the fallback configuration."""
        now = self._loop.time()
        self.member.agent.current_stamp(now)
        found: int | str = self.member.agent.lease_client.active_configuration(now).acting
        return found

    @property
    def failing(self) -> str:
        """Why its reports fail just now, without the address; empty where they do not."""
        why = str(json.loads(self.member.agent.state)["failing"])
        return ADDRESS.sub("", why)[:REASON_MOST]

    def _observed(self, refresh: Callable[[float], None]) -> Callable[[float], None]:
        def observed(now: float) -> None:
            refresh(now)
            acting = self.member.agent.lease_client.active_configuration(now).acting
            if isinstance(acting, int) and acting not in self.acted:
                _keep(self.acted, acting, self._loop.time())

        return observed

    def _answered(self, asked: float, heard: float, answer: Any) -> None:
        self.reports += 1

    # --- what discovery notifies of -----------------------------------------------------

    def endpoints_listed(self, form: Any, update: Any) -> None:
        """Take note of an endpoint list, or of changes."""
        now = self._loop.time()
        _keep(self.listed, update.version, now)
        self.member.endpoints_changed(now)

    def discovery_failed(self) -> None:
        """Take note that a poll failed or has ended."""
        self.member.endpoints_changed(self._loop.time())

    # --- what a sidecar's control part asks of its process ------------------------------

    @property
    def configuration(self) -> Any:
        """The configuration in use."""
        return self._config

    def apply_configuration(self, config: Any) -> None:
        """Take another configuration: checked as a sidecar checks it."""
        self._config = reload_module.plan_reload(self._config, config, self.classes_in_use).config
        self.discovery.change_address(self._config.discovery, self._config.registry)

    def steer(self, steer: Any) -> None:
        """Nothing is picked here."""

    def endpoint_list(self) -> Iterable[Any]:
        """The servers on the list held."""
        listed: Iterable[Any] = self.discovery.endpoints()
        return listed

    @property
    def list_version(self) -> int:
        """The version of the list held."""
        return int(self.discovery.version)

    def reopen_list_watch(self) -> None:
        """Open the watch on the list anew."""
        self.discovery.reopen_watch()


def _keep(times: dict[int, float], number: int, now: float) -> None:
    times[number] = now
    if len(times) > MOMENTS_CACHED:
        del times[next(iter(times))]


def _since(times: dict[int, float], number: int) -> float | None:
    """When this number or a later one came first."""
    return min((at for known, at in times.items() if known >= number), default=None)


def sidecar_config(index: int, start: control.Start) -> Any:
    """The configuration of one sidecar, read as from its file."""
    region = start.region or REGIONS[index % len(REGIONS)]
    fleet = {
        "registry": start.addresses,
        "agreement": {},
        "place": {"group": f"g{index % GROUPS}", "region": region},
    }
    raw = {
        "name": f"n{index}",
        "listen": "127.0.0.1:1",
        "seed": str(index),
        "known": {"index": 0, "snapshot": True, "endpoints": []},
        "settings": SETTINGS,
        "fleet": fleet,
    }
    return config_module.parse(raw, {})


class HollowProcess:
    """All sidecars of this process, and the answers to the controller."""

    def __init__(self, loop: SourceLoop) -> None:
        self._loop = loop
        self._process = psutil.Process()
        self._sidecars: dict[int, HollowSidecar] = {}

    async def obey(self, command: control.Command) -> control.Answer:
        """Carry out one command."""
        match command:
            case control.Start():
                await self._start(command)
            case control.Stop():
                await self._stop(command)
            case control.AskSnapshot():
                return self._snapshot()
            case control.AskActed(revision):
                return self._moments(_since(each.acted, revision) for each in self._sidecars.values())
            case control.AskListed(version):
                return self._moments(_since(each.listed, version) for each in self._sidecars.values())
        return control.Done(len(self._sidecars))

    async def _start(self, start: control.Start) -> None:
        pause = start.over_s / max(1, start.number)
        for index in range(start.first, start.first + start.number):
            sidecar = HollowSidecar(self._loop, sidecar_config(index, start))
            self._sidecars[index] = sidecar
            sidecar.start()
            await asyncio.sleep(pause)
        # As a sidecar does once it serves: later collections need not walk what stays.
        gc.collect()
        gc.freeze()

    async def _stop(self, stop: control.Stop) -> None:
        ended = [self._sidecars.pop(index) for index in range(stop.first, stop.first + stop.number)]
        if stop.farewell:
            await asyncio.gather(*(sidecar.leave() for sidecar in ended))
            return
        for sidecar in ended:
            sidecar.close()

    async def feed(self) -> None:
        """Give each sidecar delays to report, all spread over the interval; for ever."""
        while True:
            sidecars = list(self._sidecars.values())
            for sidecar in sidecars:
                sidecar.feed()
                await asyncio.sleep(FEED_S / len(sidecars))
            if not sidecars:
                await asyncio.sleep(FEED_S)

    def _snapshot(self) -> control.Snapshot:
        acting = [each.acting for each in self._sidecars.values()]
        revisions = [each for each in acting if isinstance(each, int)]
        return control.Snapshot(
            at_s=time.monotonic(),
            sidecars=len(self._sidecars),
            leased=len(revisions),
            newest=max(revisions, default=0),
            list_versions=dict(Counter(each.list_version for each in self._sidecars.values())),
            cpu_s=time.process_time(),
            uss_bytes=self._process.memory_full_info().uss,
            reports=sum(each.reports for each in self._sidecars.values()),
            by_server=self._loop.connections.by_server(),
            failing=dict(Counter(each.failing for each in self._sidecars.values() if each.failing)),
            traffic=self._loop.connections.traffic(),
        )

    @staticmethod
    def _moments(found: Iterable[float | None]) -> control.Moments:
        times = list(found)
        return control.Moments(len(times), [round(each, 4) for each in times if each is not None])


async def serve(loop: SourceLoop) -> None:
    """Obey commands until the input ends."""
    reader = asyncio.StreamReader(limit=2**20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin.buffer)
    process = HollowProcess(loop)
    feeding = loop.create_task(process.feed())
    decoder = msgspec.json.Decoder(control.Command)
    while line := await reader.readline():
        answer = await process.obey(decoder.decode(line))
        sys.stdout.buffer.write(msgspec.json.encode(answer) + b"\n")
        sys.stdout.buffer.flush()
    feeding.cancel()


def main(source: str) -> None:
    """Run until standard input ends."""
    made: list[SourceLoop] = []

    def loop_factory() -> SourceLoop:
        made.append(SourceLoop(source))
        return made[0]

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.get_loop()
        runner.run(serve(made[0]))


if __name__ == "__main__":
    main(sys.argv[1])
