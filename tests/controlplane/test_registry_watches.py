"""Watches whose connections are closed, on uvloop, whose transports raise on writes after their end."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
import uvloop

from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.channels import ListFormat, TableChannel
from brassfall.controlplane.registry.watches import EMPTY_LINE, SLOTS
from brassfall.controlplane.store.commands import Put
from brassfall.controlplane.store.state import State


class ReaderProtocol(asyncio.Protocol):
    """One end of a connection, which records the received bytes."""

    def __init__(self):
        self.received = b""
        self.closed = asyncio.get_running_loop().create_future()

    def data_received(self, data):
        self.received += data

    def connection_lost(self, error):
        self.closed.set_result(None)


@contextlib.asynccontextmanager
async def connections(count):
    """Open connections; yield for each the accepted transport and protocol, the reader, its transport."""
    loop, accepted = asyncio.get_running_loop(), []

    class AcceptedEnd(ReaderProtocol):
        def connection_made(self, transport):
            accepted.append((transport, self))

    server = await loop.create_server(AcceptedEnd, "127.0.0.1", 0)
    opened = []
    for _ in range(count):
        far, reader = await loop.create_connection(ReaderProtocol, *server.sockets[0].getsockname())
        while len(accepted) <= len(opened):
            await asyncio.sleep(0)
        opened.append((*accepted[len(opened)], reader, far))
    try:
        yield opened
    finally:
        server.close()
        for near, _, _, far in opened:
            far.abort()
            near.abort()


async def send_to_watches_of_which_one_is_closed():
    table, ended = State(), asyncio.get_running_loop().create_future()
    channel = TableChannel(
        lambda: table,
        "instances",
        ListFormat("endpoints", entries.list_entries, entries.change_entries),
        9999,
        1.0,
    )
    async with connections(3) as opened:
        for near, _, _, _ in opened:
            channel.add_watch(near, 0, ended)
        closed, closed_protocol, _, far = opened[0]
        far.abort()
        await closed_protocol.closed
        with pytest.raises(RuntimeError):
            while True:  # uvloop raises once the close is complete, shortly after the protocol was notified
                closed.write(b" ")
                await asyncio.sleep(0)
        transaction = table.begin(0)
        transaction.run(Put(table="instances", key="s1", value={"name": "s1"}))
        for _, change in table.apply(transaction.records):
            channel.queue_change(change)
        for _ in range(2 * SLOTS):
            channel.tick()
        for _, _, reader, _ in opened[1:]:
            while not reader.received.endswith(EMPTY_LINE):
                await asyncio.sleep(0)
            assert b'"s1"' in reader.received
        assert channel.count == 3  # the closed watch counts until its call ends


def test_a_closed_watch_keeps_no_other_watch_from_lines_and_heartbeats():
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(send_to_watches_of_which_one_is_closed(), 10.0))
