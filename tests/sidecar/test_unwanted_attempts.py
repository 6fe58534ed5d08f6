"""Attempts whose request ends before they are written, which are then not written any more."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from brassfall.balancer.model import CancelAttempt, FailRequest, Outcome, RefuseRequest, SendAttempt
from tests.support.balancer_records import nonzero_faults
from tests.support.loopback import (
    OK,
    App,
    Gate,
    ScriptedBalancer,
    Upstream,
    entry,
    hang,
    list_changes,
    loopback,
    never_cancels,
    request_that_waits,
    running_until_idle,
    start_request,
    until,
)


@pytest.mark.parametrize("real_balancer", [True, False])
@loopback
async def test_an_attempt_without_a_connection_is_not_written_once_its_client_has_disconnected(
    monkeypatch, real_balancer
):
    balancer = None if real_balancer else ScriptedBalancer()
    async with request_that_waits(monkeypatch, balancer) as waiting:
        sidecar, upstream = waiting.sidecar, waiting.upstream
        waiting.app.close()
        # The request is released at once, not when the connection opens.
        await until(lambda: not sidecar.driver.requests)
        assert not waiting.gate.open.is_set()
        waiting.gate.open.set()
        await until(lambda: sidecar.pool.servers["s0"].idle)  # The next attempt may use the connection
        if balancer is not None:
            assert balancer.outcomes() == [(0, Outcome.ABANDONED, True)]
            assert len(balancer.named("client_gone")) == 1 and not balancer.named("unsent")
        else:
            assert not nonzero_faults(sidecar.driver.balancer, "s0")
        assert (await (await App.connect(sidecar.address)).ask()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0]


@pytest.mark.parametrize("answer", [RefuseRequest, FailRequest, "guard"])
@loopback
async def test_an_attempt_without_a_connection_is_not_written_after_the_final_answer(monkeypatch, answer):
    balancer = ScriptedBalancer()
    async with request_that_waits(monkeypatch, balancer) as waiting:
        sidecar = waiting.sidecar
        (request,) = sidecar.driver.requests
        if answer == "guard":
            sidecar.driver.request_lifecycle.fail_overdue(request)
        else:
            sidecar.driver.perform(
                RefuseRequest(request.id, 0.0) if answer is RefuseRequest else FailRequest(request.id)
            )
        waiting.gate.open.set()
        assert (await waiting.app.answer()).status in (502, 503, 504)
        await until(lambda: sidecar.pool.servers["s0"].idle)
        assert balancer.outcomes() == [(0, Outcome.ABANDONED, True)]
        assert waiting.upstream.seen == []


@loopback
async def test_a_hedged_request_without_a_connection_is_not_written_once_the_other_is_answered(
    monkeypatch,
):
    slow, quick = await Upstream([OK]).start(), await Upstream([OK]).start()
    gate = Gate(monkeypatch, [slow])
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            SendAttempt(arrival.request, "s0", 0.0),
            SendAttempt(arrival.request, "s1", 0.0),
        ]
    )
    async with running_until_idle(slow, quick, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        gate.open.set()
        await until(lambda: sidecar.pool.servers["s0"].idle)
        assert balancer.outcomes() == [(1, Outcome.OK, True), (0, Outcome.ABANDONED, True)]
        assert slow.seen == []


@loopback
async def test_a_connection_established_for_an_ended_attempt_is_closed_if_its_server_drains(monkeypatch):
    async with request_that_waits(monkeypatch, ScriptedBalancer()) as waiting:
        sidecar = waiting.sidecar
        waiting.app.close()
        await until(lambda: not sidecar.driver.requests)
        list_changes(sidecar, entry("s0", waiting.upstream.address, status="leaving"))
        waiting.gate.open.set()
        await until(lambda: waiting.upstream.writers and not sidecar.pool.opening_count)
        assert not sidecar.pool.servers["s0"].idle


@loopback
async def test_opening_a_connection_for_an_ended_attempt_is_cancelled_if_the_pool_is_full(monkeypatch):
    slow, quick = await Upstream([OK]).start(), await Upstream([OK]).start()
    gate = Gate(monkeypatch, [slow])
    servers = iter(["s0", "s1"])
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [SendAttempt(arrival.request, next(servers), 0.0)]
    )
    async with running_until_idle(slow, quick, balancer=balancer, **never_cancels()) as sidecar:
        sidecar.pool.max_connections = 1
        app = await start_request(sidecar)
        await until(lambda: gate.waiting)
        app.close()
        await until(lambda: not sidecar.driver.requests)
        assert (await (await App.connect(sidecar.address)).ask()).body == b"done"
        assert balancer.outcomes() == [(0, Outcome.ABANDONED, True), (0, Outcome.OK, True)]


@loopback
async def test_a_request_not_written_completely_is_dropped_when_its_client_disconnects(
    monkeypatch,
):
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer()
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await start_request(sidecar)
        await until(lambda: upstream.seen)
        (connection,) = sidecar.pool.connections
        connection.written = False  # The last byte counts as still buffered in this process
        app.close()
        await until(lambda: balancer.outcomes())
        assert balancer.outcomes() == [(0, Outcome.ABANDONED, True)]


@loopback
async def test_a_request_written_completely_is_not_cancelled_if_the_settings_forbid_it():
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait]).start()
    balancer = ScriptedBalancer()
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await start_request(sidecar)
        await until(lambda: upstream.seen)
        app.close()
        await until(lambda: balancer.named("client_gone"))
        assert balancer.outcomes() == []
        release.set()
        await until(lambda: balancer.outcomes())
        assert balancer.outcomes() == [(0, Outcome.OK, True)]


@loopback
async def test_a_cancelled_request_in_the_kernels_buffer_does_not_reach_its_server_later():
    """The last bytes of the request are in the kernel's buffers, because the server has stopped reading."""
    loop = asyncio.get_running_loop()
    balancer = ScriptedBalancer(outcome=lambda now, number, hop, status, *rest: [FailRequest(number)])
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        upstream = Upstream(address=f"127.0.0.1:{listener.getsockname()[1]}")
        upstream.stop = lambda: None
        body = b"x" * 60_000
        async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
            app = await App.connect(sidecar.address)
            app.send("POST", "/book", body)
            server, _ = await loop.sock_accept(listener)
            with server:
                await until(lambda: any(link.written and link.busy for link in sidecar.pool.connections))
                (request,) = sidecar.driver.requests
                sidecar.driver.perform(CancelAttempt(request.id, 0))
                await app.answer()
                received = b""
                with contextlib.suppress(ConnectionResetError):
                    while part := await loop.sock_recv(server, 65_536):
                        received += part
                assert 0 < len(received) < len(body)
