"""The operators' door and the drain that it starts, on a sidecar in this process."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from brassfall.balancer.balancer import REASONS
from brassfall.sidecar import admin, inbound
from brassfall.sidecar.config import DOOR_CALLERS
from brassfall.sidecar.lifecycle import Impossible, Lifecycle, State
from tests.loopback import OK, PATIENCE_S, App, Upstream, loopback, running, until

DOOR = {"operator": "127.0.0.1:0"}


async def call(made, line):
    """What the door answers to these bytes, until it closes."""
    reader, writer = await asyncio.open_connection(*made.door.address)
    try:
        writer.write(line)
        async with asyncio.timeout(PATIENCE_S):
            return await reader.read()
    finally:
        writer.transport.abort()


async def health(made):
    """The status of the readiness check, on a connection of its own."""
    app = await App.connect(made.address)
    answer = await app.ask("GET", "/health/ready", X_Call_Class=None)
    app.close()
    return answer.start.split(" ")[1]


def test_only_the_lifecycle_says_what_may_follow():
    life, seen = Lifecycle(), []
    life.on_change(lambda: seen.append(life.state))
    for change in (life.drain, life.rejoin):
        with pytest.raises(Impossible, match="starting"):
            change()
    life.serve()
    life.drain()
    life.drain()
    life.rejoin()
    life.rejoin()
    life.stop()
    for change in (life.drain, life.rejoin):
        with pytest.raises(Impossible, match="stopping"):
            change()
    life.serve()  # the end of a start that was stopped meanwhile
    assert seen == [State.SERVING, State.LAME_DUCK, State.SERVING, State.STOPPING]
    assert not life.ready and not life.taking


@loopback
async def test_each_call_gets_one_line():
    async with running(raw=DOOR) as made:
        for line in (b"PING\n", b"PING\r\n", b"PING\nLAMEDUCK\n"):
            assert await call(made, line) == b"done serving\n"
        for line in (b"NONSENSE\n", b"\n", b"ping\n", b"\xff\xfe\n", b"PING PING\n", b"x" * 5000):
            answer = await call(made, line)
            assert answer.startswith(b"error ") and answer.count(b"\n") == 1, line
        assert made.life.ready


@loopback
async def test_refusals_are_told_by_reason():
    async with running(raw=DOOR) as made:
        app = await App.connect(made.address)
        assert (await app.ask()).start.split(" ")[1] in ("429", "503")  # no server is known
        told = (await call(made, b"REFUSALS\n")).decode().split()
        assert told[0] == "done" and "room=1" in told
        assert [field.partition("=")[0] for field in told[1:]] == [*REASONS, "full"]


@loopback
async def test_half_a_line_is_no_call():
    async with running(raw=DOOR) as made:
        reader, writer = await asyncio.open_connection(*made.door.address)
        writer.write(b"LAMEDUCK")
        writer.write_eof()
        assert (await reader.read()).startswith(b"error")
        assert made.life.ready
        writer.close()


@loopback
async def test_callers_that_finish_nothing_hold_up_nobody():
    async with running(raw=DOOR) as made:
        silent = [await asyncio.open_connection(*made.door.address) for _ in range(3 * DOOR_CALLERS)]
        for _, writer in silent[::2]:
            writer.write(b"PI")
        assert await call(made, b"PING\n") == b"done serving\n"
        assert (await silent[0][0].read()).startswith(b"error")  # the oldest made room
        assert len(made.door._callers) <= DOOR_CALLERS
        for _, writer in silent:
            writer.transport.abort()
        await until(lambda: not made.door._callers)


@loopback
async def test_a_caller_that_says_nothing_is_let_go(monkeypatch):
    monkeypatch.setattr(admin, "PATIENCE_S", 0.05)
    async with running(raw=DOOR) as made:
        assert (await call(made, b"")).startswith(b"error")


@loopback
async def test_without_an_address_there_is_no_door():
    async with running() as made:
        assert made.door.address is None


@loopback
async def test_a_drain_sends_clients_away_and_serves_those_that_come(monkeypatch):
    monkeypatch.setattr(inbound, "SENT_AWAY_S", 0.3)
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait, OK]).start()
    async with running(upstream, raw=DOOR) as made:
        busy, idle, used = [await App.connect(made.address) for _ in range(3)]
        busy.send()
        await until(lambda: upstream.seen)
        assert await health(made) == "200"
        assert await call(made, b"LAMEDUCK\n") == b"done lame duck\n"
        assert await health(made) == "503"
        assert await call(made, b"LAMEDUCK\n") == b"done lame duck\n"
        assert await call(made, b"PING\n") == b"done lame duck\n"
        for app in (used, await App.connect(made.address)):
            answer = await app.ask()
            assert (answer.body, answer.headers["connection"]) == (b"done", "close")
            assert await app.answer() is None
        assert await idle.answer() is None  # nothing was asked on it, and it is closed
        release.set()
        answer = await busy.answer()
        assert (answer.body, answer.headers["connection"]) == (b"done", "close")
        await until(lambda: made.inbound.empty)

        assert await call(made, b"REJOIN\n") == b"done serving\n"
        assert await health(made) == "200"
        app = await App.connect(made.address)
        assert "connection" not in (await app.ask()).headers
        assert (await app.ask()).body == b"done"


@loopback
async def test_a_rejoin_in_the_middle_keeps_connections(monkeypatch):
    monkeypatch.setattr(inbound, "SENT_AWAY_S", 0.1)
    async with running(raw=DOOR) as made:
        idle = await App.connect(made.address)
        await until(lambda: not made.inbound.empty)
        await call(made, b"LAMEDUCK\n")
        await call(made, b"REJOIN\n")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(idle.reader.read(1), 0.3)
            pytest.fail("the idle connection was closed")


@loopback
async def test_there_is_no_way_back_from_a_stop():
    async with running(raw=DOOR) as made:
        await call(made, b"LAMEDUCK\n")
        stopping = asyncio.create_task(made.drain())
        await until(lambda: made.life.state is State.STOPPING)
        for line in (b"REJOIN\n", b"LAMEDUCK\n", b"PING\n"):
            assert await call(made, line) == b"error the process is stopping\n"
        assert await health(made) == "503"
        await stopping
