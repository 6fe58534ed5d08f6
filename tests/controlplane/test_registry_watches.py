"""Watches whose readers are gone, on uvloop, whose transports raise when they are written to then."""

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


class Reader(asyncio.Protocol):
    """One end of a connection: what came."""

    def __init__(self):
        self.came = b""
        self.over = asyncio.get_running_loop().create_future()

    def data_received(self, data):
        self.came += data

    def connection_lost(self, error):
        self.over.set_result(None)


@contextlib.asynccontextmanager
async def connections(count):
    """So many connections: the transport at one end, the reader and its transport at the other."""
    loop, accepted = asyncio.get_running_loop(), []

    class Near(Reader):
        def connection_made(self, transport):
            accepted.append((transport, self))

    server = await loop.create_server(Near, "127.0.0.1", 0)
    made = []
    for _ in range(count):
        far, reader = await loop.create_connection(Reader, *server.sockets[0].getsockname())
        while len(accepted) <= len(made):
            await asyncio.sleep(0)
        made.append((*accepted[len(made)], reader, far))
    try:
        yield made
    finally:
        server.close()
        for near, _, _, far in made:
            far.abort()
            near.abort()


async def sent_to_all_but_the_one_that_is_gone():
    table, ended = State(), asyncio.get_running_loop().create_future()
    channel = TableChannel(
        lambda: table,
        "instances",
        ListFormat("endpoints", entries.list_entries, entries.change_entries),
        9999,
        1.0,
    )
    async with connections(3) as made:
        for near, _, _, _ in made:
            channel.add_watch(near, 0, ended)
        gone, gone_protocol, _, far = made[0]
        far.abort()
        await gone_protocol.over
        with pytest.raises(RuntimeError):
            while True:  # its end is complete a moment after it was told
                gone.write(b" ")
                await asyncio.sleep(0)
        transaction = table.begin(0)
        transaction.run(Put(table="instances", key="s1", value={"name": "s1"}))
        for _, change in table.apply(transaction.records):
            channel.queue_change(change)
        for _ in range(2 * SLOTS):
            channel.tick()
        for _, _, reader, _ in made[1:]:
            while not reader.came.endswith(EMPTY_LINE):
                await asyncio.sleep(0)
            assert b'"s1"' in reader.came
        assert channel.count == 3  # the call of the one that is gone has not ended yet


def test_a_reader_that_is_gone_keeps_no_other_from_lines_and_heartbeats():
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(sent_to_all_but_the_one_that_is_gone(), 10.0))
