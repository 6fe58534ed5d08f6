"""The network of one group of sidecars in a zone: `python -m brassfall.lab.real.network`.

All connections from the sidecars to servers, and from the zone's servers to the list service, pass through
proxies of this process, which can delay, drop or lose bytes, and reset connections. Each sidecar has a list
service address of its own, so that each change of which it is notified is recorded; the addresses of servers
are replaced by those of the proxies.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import NamedTuple, cast

import msgspec
from aiohttp import web

from brassfall.controlplane.registry import client
from brassfall.lab import ledger
from brassfall.lab.day import NetworkDelays
from brassfall.lab.models.network import Network
from brassfall.lab.real import child
from brassfall.lab.real.messages import (
    BeginLinkFault,
    BeginPartition,
    ChangeDelays,
    EndLinkFault,
    EndPartition,
    LinkFault,
    ListEntry,
    ListReport,
    NetworkChange,
    NetworkCommand,
    NetworkReady,
    RemoveServers,
    ResetConnections,
    SetList,
    Stop,
)

FILLING_CONNECTIONS = 3  # fill the queue of a listening socket that accepts none
BACKLOG = 1024
NO_ANSWER_S = 3600.0  # longer than any play
SHUTDOWN_S = 0.1
COMMANDS: msgspec.json.Decoder[NetworkCommand] = msgspec.json.Decoder(NetworkCommand)


class Order(msgspec.Struct):
    """Which group of sidecars to serve, and in which zone."""

    zone: int
    group: int
    zones: list[str]
    delays: NetworkDelays
    registry: str
    sidecars: list[str]
    folder: str


class Side(asyncio.Protocol):
    """One end of a proxied connection; what it receives is sent from the other end."""

    def __init__(self, connection: ProxiedConnection, *, is_server: bool) -> None:
        self.connection = connection
        self.is_server = is_server
        self.transport: asyncio.Transport | None = None
        self.other: Side
        self.waiting: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; on the sidecar's end, connect to the server."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's are no subclass
        if not self.is_server:
            self.connection.opened()

    def data_received(self, data: bytes) -> None:
        """Forward the bytes, unless the network drops them."""
        self.connection.carry(self, data)

    def connection_lost(self, _error: Exception | None) -> None:
        """Close the other end too, if the network still carries the close."""
        self.connection.lost(self)

    def write(self, data: bytes) -> None:
        """Send bytes, which wait until this end is open."""
        if self.transport is None:
            self.waiting.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def close(self, *, abort: bool) -> None:
        """Close this end, or reset it with `abort`."""
        if self.transport is not None:
            if abort:
                self.transport.abort()
            else:
                self.transport.close()


class ProxiedConnection:
    """One connection from a sidecar through the network to a server."""

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.sidecar_side = Side(self, is_server=False)
        self.server_side = Side(self, is_server=True)
        self.sidecar_side.other, self.server_side.other = self.server_side, self.sidecar_side
        self.has_lost_bytes = False  # then it forwards nothing more, not even a close
        self._last_s = 0.0  # when the last bytes are forwarded, on the loop's clock

    def opened(self) -> None:
        """Connect to the server, as a sidecar has connected."""
        self.proxy.connections.add(self)
        asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        host, port = self.proxy.target.split(":")
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: self.server_side, host, int(port))
        except OSError:
            self.sidecar_side.close(abort=True)
            return
        waiting, self.server_side.waiting = self.server_side.waiting, []
        for data in waiting:
            self.server_side.write(data)

    def carry(self, side: Side, data: bytes) -> None:
        """Forward bytes to the other end after the delay of the network, in order."""
        if self.has_lost_bytes:
            return
        delay = self.proxy.delay(answers=side.is_server)
        if delay is None:
            self.has_lost_bytes = True
            return
        loop = asyncio.get_running_loop()
        if delay < 1.0 and self._last_s <= loop.time():
            side.other.write(data)  # the proxy itself takes about as long
            return
        self._last_s = max(self._last_s, loop.time() + delay / 1000.0)
        loop.call_at(self._last_s, side.other.write, data)

    def lost(self, side: Side) -> None:
        """Close the other end, unless the network drops the close too."""
        self.proxy.connections.discard(self)
        if self.has_lost_bytes or self.proxy.delay(answers=side.is_server) is None:
            return
        side.other.close(abort=side.is_server)

    def reset(self) -> None:
        """Reset both ends."""
        self.sidecar_side.close(abort=True)
        self.server_side.close(abort=True)


class Proxy:
    """The listening socket in the place of one server, or of the list service."""

    def __init__(self, network: Network, group: int, name: str, target: str, there: int) -> None:
        self.network = network
        self.group, self.there = group, there
        self.name, self.target = name, target
        self.connections: set[ProxiedConnection] = set()
        self.port = 0
        self._server: asyncio.Server | None = None
        self._blocked: list[socket.socket] = []

    def delay(self, *, answers: bool) -> float | None:
        """Return the delay of bytes in ms, or None where the network drops them."""
        if answers:
            return self.network.to_sidecar(self.name, self.there, self.group)
        return self.network.to_server(self.group, self.name, self.there)

    async def open(self) -> int:
        """Listen, on the same port as before if there was one; return the port."""
        loop = asyncio.get_running_loop()
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", self.port))
        self.port = listening.getsockname()[1]
        self._server = await loop.create_server(
            lambda: ProxiedConnection(self).sidecar_side, sock=listening, backlog=BACKLOG
        )
        return self.port

    def shut(self, *, abort: bool) -> None:
        """Refuse new connections, and with `abort` reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self.connections):
            if abort:
                connection.reset()

    def block(self) -> None:
        """Leave new connections pending by filling the queue of the listening socket."""
        if self._blocked:
            return
        self.shut(abort=False)
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind(("127.0.0.1", self.port))
        full.listen(0)
        self._blocked = [full]
        for _ in range(FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.settimeout(0.0)
            filling.connect_ex(("127.0.0.1", self.port))
            self._blocked.append(filling)

    @property
    def is_blocked(self) -> bool:
        """True if new connections stay pending."""
        return bool(self._blocked)

    async def unblock(self) -> None:
        """Accept connections again, and reset those that have lost bytes."""
        for listening in self._blocked:
            listening.close()
        self._blocked = []
        for connection in [connection for connection in self.connections if connection.has_lost_bytes]:
            connection.reset()
        await self.open()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for connection in list(self.connections):
            connection.reset()


class _Listed(NamedTuple):
    """The state of a server in the list of which a sidecar was notified."""

    status: str
    since_ms: int


class GroupNetwork:
    """The proxies of one group of sidecars, and the lists of which the sidecars were notified."""

    def __init__(self, order: Order, ledger_writer: ledger.LedgerWriter) -> None:
        self.order = order
        self.network = Network(order.delays, random.random)
        self.proxies: dict[str, Proxy] = {}  # by address of the server
        self.list_proxy = Proxy(self.network, order.group, "", order.registry, 0)
        self._ledger = ledger_writer
        self._listed: dict[str, dict[str, _Listed]] = {name: {} for name in order.sidecars}
        self._reaches_list = asyncio.Event()
        self._reaches_list.set()

    # --- the list -------------------------------------------------------------

    async def set_list(self, endpoints: list[ListEntry]) -> list[ListEntry]:
        """Take entries as known to all sidecars; return them with the proxies' addresses."""
        rows = [await self._proxied(row) for row in endpoints]
        listed = {row["name"]: _Listed(row["status"], row["since_ms"]) for row in rows}
        self._listed = {name: dict(listed) for name in self.order.sidecars}
        return rows

    async def relay(self, sidecar: str, line: bytes) -> bytes:
        """Return a message of the list service as a sidecar receives it, and record the changes."""
        message = msgspec.json.decode(line)
        listed = self._listed[sidecar]
        now = round(child.clock(), 3)
        if message["snapshot"]:
            names = {row["name"] for row in message["endpoints"]}
            for name in [name for name in listed if name not in names]:
                self._ledger.add(ledger.ListEvent(sidecar, name, listed.pop(name).since_ms, "left", now))
        for row in message["endpoints"]:
            state = _Listed(row["status"], row["since_ms"])
            if listed.get(row["name"]) != state:
                # `since_ms` stands for the incarnation until the ledgers are merged.
                self._ledger.add(ledger.ListEvent(sidecar, row["name"], state.since_ms, state.status, now))
            listed[row["name"]] = state
        message["endpoints"] = [await self._proxied(row) for row in message["endpoints"]]
        return msgspec.json.encode(message)

    async def _proxied(self, row: ListEntry) -> ListEntry:
        """Return an entry with the address of the server's proxy, which is opened if there is none."""
        proxy = self.proxies.get(row["address"])
        if proxy is None:
            zones = self.order.zones
            there = zones.index(row["zone"]) if row["zone"] in zones else 0
            proxy = Proxy(self.network, self.order.group, row["name"], row["address"], there)
            self.proxies[row["address"]] = proxy
            await proxy.open()
            self._block_unreachable()
        return {**row, "address": f"127.0.0.1:{proxy.port}"}

    async def list_call(self, sidecar: str, request: web.Request) -> web.StreamResponse:
        """Answer a sidecar's request for the list, or its watch."""
        if not self._reaches_list.is_set():
            await asyncio.sleep(NO_ANSWER_S)
        index = request.query.get("from", "0")
        try:
            if request.query.get("watch") != "1":
                endpoints = await client.call(self.order.registry, "GET", "/registry/instances")
                body = await self.relay(sidecar, msgspec.json.encode(endpoints))
                return web.Response(body=body, content_type="application/json")
            return await self._watch(sidecar, request, int(index) if index.isdigit() else 0)
        except client.CallError as error:
            return web.Response(status=503, text=str(error))

    async def _watch(self, sidecar: str, request: web.Request, index: int) -> web.StreamResponse:
        lines = client.watch(self.order.registry, "/registry/instances", index)
        first = await anext(lines)
        answer = web.StreamResponse()
        answer.enable_chunked_encoding()
        await answer.prepare(request)
        await answer.write(await self.relay(sidecar, first) + b"\n" if first else b"\n")
        await self._forward(sidecar, lines, answer)
        return answer

    async def _forward(self, sidecar: str, lines: AsyncIterator[bytes], answer: web.StreamResponse) -> None:
        try:
            async for line in lines:
                await self._reaches_list.wait()
                await answer.write((await self.relay(sidecar, line) if line else b"") + b"\n")
        except (client.CallError, OSError):
            pass  # the watch ends, and the sidecar opens another, as the protocol requires

    # --- changes --------------------------------------------------------------

    async def change(self, change: NetworkChange) -> None:
        """Apply the beginning or the end of a fault, or a change of delays."""
        match change:
            case BeginPartition():
                self.network.partitioned.add(change.zone)
            case EndPartition():
                self.network.partitioned.discard(change.zone)
            case ChangeDelays():
                self.network.delays = replace(self.network.delays, between=change.between)
            case BeginLinkFault():
                self._begin_link_fault(change)
            case EndLinkFault():
                self._end_link_fault(change)
            case ResetConnections():
                for proxy in self._proxies_of(change.servers):
                    proxy.reset_connections()
            case RemoveServers():
                for proxy in self._proxies_of(change.servers):
                    proxy.shut(abort=True)
                    del self.proxies[proxy.target]
        await self._apply()

    def _begin_link_fault(self, begin: BeginLinkFault) -> None:
        match begin.fault:
            case LinkFault.BLACK_HOLE:
                self.network.unreachable |= set(begin.servers)
            case LinkFault.LOST_ANSWERS:
                self.network.answers_lost |= set(begin.servers)
            case LinkFault.SLOW:
                self.network.slow |= dict.fromkeys(begin.servers, begin.delay_ms)

    def _end_link_fault(self, end: EndLinkFault) -> None:
        match end.fault:
            case LinkFault.BLACK_HOLE:
                self.network.unreachable -= set(end.servers)
            case LinkFault.LOST_ANSWERS:
                self.network.answers_lost -= set(end.servers)
            case LinkFault.SLOW:
                for server in end.servers:
                    self.network.slow.pop(server, None)

    def _proxies_of(self, servers: list[str]) -> list[Proxy]:
        return [proxy for proxy in self.proxies.values() if proxy.name in servers]

    def _all_proxies(self) -> list[Proxy]:
        return [*self.proxies.values(), self.list_proxy]

    async def _apply(self) -> None:
        """Bring the proxies and the watches in line with the network."""
        if self.network.reaches(self.order.zone, 0):
            self._reaches_list.set()
        else:
            self._reaches_list.clear()
        self._block_unreachable()
        for proxy in self._all_proxies():
            if proxy.is_blocked and proxy.delay(answers=False) is not None:
                await proxy.unblock()

    def _block_unreachable(self) -> None:
        for proxy in self._all_proxies():
            if proxy.delay(answers=False) is None:
                proxy.block()


async def _serve_list(network: GroupNetwork, sidecar: str) -> web.AppRunner:
    """Open the list service address of one sidecar."""

    async def handle(request: web.Request) -> web.StreamResponse:
        return await network.list_call(sidecar, request)

    app = web.Application()
    app.router.add_get("/registry/instances", handle)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=SHUTDOWN_S)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    return runner


async def work(order: Order, commands: child.Commands[NetworkCommand], lateness: child.Lateness) -> None:
    """Be the network of one group of sidecars until the controller sends `Stop`."""
    ledger_writer = ledger.LedgerWriter(Path(order.folder), buffered=False, kinds=(ledger.ListEvent,))
    network = GroupNetwork(order, ledger_writer)
    runners = {name: await _serve_list(network, name) for name in order.sidecars}
    addresses = {name: f"127.0.0.1:{runner.addresses[0][1]}" for name, runner in runners.items()}
    registry = f"127.0.0.1:{await network.list_proxy.open()}"
    child.report("ready", NetworkReady(list_addresses=addresses, registry=registry))
    async for command in commands:
        if isinstance(command, Stop):
            break
        if isinstance(command, SetList):
            child.report("list", ListReport(endpoints=await network.set_list(command.endpoints)))
        else:
            await network.change(command)
    child.report("done", lateness.done())
    for runner in runners.values():
        await runner.cleanup()


if __name__ == "__main__":
    child.main(work, Order, COMMANDS)
