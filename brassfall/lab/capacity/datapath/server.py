"""Servers that answer at once: `python -m brassfall.lab.capacity.datapath.server`.

One process with as many listening sockets as it is told. A request whose target asks for further hops
(`hops=N`) is passed on first: to the sidecar beside this server (`way=sidecar`) or to a server
(`way=direct`); its answer follows that of the next hop.
"""

from __future__ import annotations

import asyncio
import itertools
import os
from collections.abc import Sequence
from typing import TypedDict, cast

import httptools
import msgspec

from brassfall.lab.capacity.datapath import calls, wire
from brassfall.lab.real import child

ANSWER = b"HTTP/1.1 %d %b\r\nContent-Length: 4\r\nX-Load-Report: inflight=0\r\n\r\ndone"


class Order(msgspec.Struct):
    """What to be."""

    sockets: int


class Routes(msgspec.Struct):
    """Where further hops go: the sidecar beside this server, and all servers."""

    sidecar: str
    direct: list[str]


class Ready(TypedDict):
    """The servers listen; event `ready`."""

    addresses: list[str]


class Host:
    """What all connections of the process share."""

    def __init__(self) -> None:
        self.onward: dict[str, Sequence[wire.Pool]] = {}
        self.turn = itertools.count()

    def learn(self, routes: Routes) -> None:
        """Know the next hops from now on."""
        self.onward = {
            calls.SIDECAR: [wire.Pool(routes.sidecar)],
            calls.DIRECT: [wire.Pool(address) for address in routes.direct],
        }

    def pass_on(self, target: calls.Target, answered: wire.Answered) -> None:
        """Send the next hop of a call."""
        pools = self.onward[target.route]
        number = next(self.turn)
        pools[number % len(pools)].ask(calls.message(f"{os.getpid()}-{number}", target.next_hop), answered)


class Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, host: Host) -> None:
        self._host = host
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the loop."""
        self._transport = cast(asyncio.Transport, transport)  # of uvloop: it has the methods, not the class

    def data_received(self, data: bytes) -> None:
        """Called by the loop."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._target = b""

    def on_url(self, target: bytes) -> None:
        """Called by the parser."""
        self._target += target

    def on_message_complete(self) -> None:
        """Called by the parser."""
        target = calls.parse(self._target)
        if target.hops:
            self._host.pass_on(target, self._answer)
        else:
            self._answer(200)

    def _answer(self, status: int) -> None:
        good = status == 200
        self._transport.write(ANSWER % (200 if good else 502, b"OK" if good else b"Bad Gateway"))


async def work(order: Order, commands: child.Commands[Routes], lateness: child.Lateness) -> None:
    """Serve until the starter is gone."""
    host = Host()
    loop = asyncio.get_running_loop()
    addresses = []
    for _ in range(order.sockets):
        server = await loop.create_server(lambda: Connection(host), "127.0.0.1", 0, backlog=1024)
        port = server.sockets[0].getsockname()[1]
        addresses.append(f"127.0.0.1:{port}")
    child.report("ready", Ready(addresses=addresses))
    async for command in commands:
        host.learn(command)


if __name__ == "__main__":
    child.main(work, Order, msgspec.json.Decoder(Routes))
