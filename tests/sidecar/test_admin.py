"""The admin endpoint of a sidecar in this process, and the drain that its commands control."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from brassfall.balancer.model import RefusalReason
from brassfall.sidecar.clients import inbound
from brassfall.sidecar.config import MAX_ADMIN_CONNECTIONS
from brassfall.sidecar.core.process_state import InvalidTransitionError, ProcessLifecycle, ProcessState
from brassfall.sidecar.lifecycle import admin
from tests.support.loopback import OK, PATIENCE_S, App, Upstream, loopback, running, until
from tests.support.system_calls import ACCEPT_ERRORS, Faults

ADMIN = {"operator": "127.0.0.1:0"}


async def command(sidecar, line):
    """Send bytes to the admin endpoint; return its reply until it closes the connection."""
    reader, writer = await asyncio.open_connection(*sidecar.admin.address)
    try:
        writer.write(line)
        async with asyncio.timeout(PATIENCE_S):
            return await reader.read()
    finally:
        writer.transport.abort()


async def readiness_status(sidecar):
    """Return the status code of the readiness check, which is sent on a new connection."""
    app = await App.connect(sidecar.address)
    answer = await app.ask("GET", "/health/ready", X_Call_Class=None)
    app.close()
    return answer.start.split(" ")[1]


def test_the_lifecycle_rejects_transitions_before_startup_and_after_a_stop():
    lifecycle, states = ProcessLifecycle(), []
    lifecycle.on_change(lambda: states.append(lifecycle.state))
    for change in (lifecycle.drain, lifecycle.rejoin):
        with pytest.raises(InvalidTransitionError, match="starting"):
            change()
    lifecycle.serve()
    lifecycle.drain()
    lifecycle.drain()
    lifecycle.rejoin()
    lifecycle.rejoin()
    lifecycle.stop()
    for change in (lifecycle.drain, lifecycle.rejoin):
        with pytest.raises(InvalidTransitionError, match="stopping"):
            change()
    lifecycle.serve()  # `serve` has no effect once the process is stopping
    assert states == [
        ProcessState.SERVING,
        ProcessState.LAME_DUCK,
        ProcessState.SERVING,
        ProcessState.STOPPING,
    ]
    assert not lifecycle.ready and not lifecycle.accepting


@loopback
async def test_each_command_gets_a_reply_of_one_line():
    async with running(raw=ADMIN) as sidecar:
        for line in (b"PING\n", b"PING\r\n", b"PING\nLAMEDUCK\n"):
            assert await command(sidecar, line) == b"done serving\n"
        for line in (b"NONSENSE\n", b"\n", b"ping\n", b"\xff\xfe\n", b"PING PING\n", b"x" * 5000):
            answer = await command(sidecar, line)
            assert answer.startswith(b"error ") and answer.count(b"\n") == 1, line
        assert sidecar.lifecycle.ready


@loopback
async def test_local_refusals_are_counted_by_reason():
    async with running(raw=ADMIN) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).start.split(" ")[1] in ("429", "503")  # The endpoint list has no server
        reply = (await command(sidecar, b"REFUSALS\n")).decode().split()
        assert reply[0] == "done" and "room=1" in reply
        assert [field.partition("=")[0] for field in reply[1:]] == [*RefusalReason]


@loopback
async def test_a_line_without_its_end_is_not_executed():
    async with running(raw=ADMIN) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.admin.address)
        writer.write(b"LAMEDUCK")
        writer.write_eof()
        assert (await reader.read()).startswith(b"error")
        assert sidecar.lifecycle.ready
        writer.close()


@loopback
async def test_connections_without_a_command_do_not_delay_commands_on_others():
    async with running(raw=ADMIN) as sidecar:
        silent = [
            await asyncio.open_connection(*sidecar.admin.address) for _ in range(3 * MAX_ADMIN_CONNECTIONS)
        ]
        for _, writer in silent[::2]:
            writer.write(b"PI")
        assert await command(sidecar, b"PING\n") == b"done serving\n"
        assert (await silent[0][0].read()).startswith(b"error")  # The oldest connection was evicted
        assert sidecar.admin.connections <= MAX_ADMIN_CONNECTIONS
        for _, writer in silent:
            writer.transport.abort()
        await until(lambda: not sidecar.admin.connections)


@loopback
async def test_a_connection_without_a_command_ends_after_its_time_limit(monkeypatch):
    monkeypatch.setattr(admin, "COMMAND_S", 0.05)
    async with running(raw=ADMIN) as sidecar:
        assert (await command(sidecar, b"")).startswith(b"error")


@loopback
async def test_a_command_is_executed_although_accept_fails_first():
    async with running(raw=ADMIN) as sidecar:
        with Faults() as faults:
            faults.script(
                "accept", *ACCEPT_ERRORS, on=lambda sock: sock.getsockname() == sidecar.admin.address
            )
            assert await command(sidecar, b"PING\n") == b"done serving\n"
        assert faults.injected.total() == len(ACCEPT_ERRORS)


@loopback
async def test_without_an_address_there_is_no_admin_endpoint():
    async with running() as sidecar:
        assert sidecar.admin.address is None


@loopback
async def test_a_drain_closes_idle_connections_and_serves_clients_that_still_connect(monkeypatch):
    monkeypatch.setattr(inbound, "LAME_DUCK_DELAY_S", 0.3)
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait, OK]).start()
    async with running(upstream, raw=ADMIN) as sidecar:
        busy, idle, used = [await App.connect(sidecar.address) for _ in range(3)]
        busy.send()
        await until(lambda: upstream.seen)
        assert await readiness_status(sidecar) == "200"
        assert await command(sidecar, b"LAMEDUCK\n") == b"done lame duck\n"
        assert await readiness_status(sidecar) == "503"
        assert await command(sidecar, b"LAMEDUCK\n") == b"done lame duck\n"
        assert await command(sidecar, b"PING\n") == b"done lame duck\n"
        for app in (used, await App.connect(sidecar.address)):
            answer = await app.ask()
            assert (answer.body, answer.headers["connection"]) == (b"done", "close")
            assert await app.answer() is None
        assert await idle.answer() is None  # The connection without a request is closed
        release.set()
        answer = await busy.answer()
        assert (answer.body, answer.headers["connection"]) == (b"done", "close")
        await until(lambda: sidecar.inbound.all_connections_closed)

        assert await command(sidecar, b"REJOIN\n") == b"done serving\n"
        assert await readiness_status(sidecar) == "200"
        app = await App.connect(sidecar.address)
        assert "connection" not in (await app.ask()).headers
        assert (await app.ask()).body == b"done"


@loopback
async def test_a_rejoin_during_a_drain_keeps_idle_connections_open(monkeypatch):
    monkeypatch.setattr(inbound, "LAME_DUCK_DELAY_S", 0.1)
    async with running(raw=ADMIN) as sidecar:
        idle = await App.connect(sidecar.address)
        await until(lambda: not sidecar.inbound.all_connections_closed)
        await command(sidecar, b"LAMEDUCK\n")
        await command(sidecar, b"REJOIN\n")
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(idle.reader.read(1), 0.3)
            pytest.fail("the idle connection was closed")


@loopback
async def test_a_shutdown_rejects_all_admin_commands():
    async with running(raw=ADMIN) as sidecar:
        await command(sidecar, b"LAMEDUCK\n")
        shutdown = asyncio.create_task(sidecar.drain())
        await until(lambda: sidecar.lifecycle.state is ProcessState.STOPPING)
        for line in (b"REJOIN\n", b"LAMEDUCK\n", b"PING\n"):
            assert await command(sidecar, line) == b"error the process is stopping\n"
        assert await readiness_status(sidecar) == "503"
        await shutdown
