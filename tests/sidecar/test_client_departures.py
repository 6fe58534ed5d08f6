"""Clients that leave: how that is noticed, and that nothing is forwarded for them afterwards."""

from __future__ import annotations

import asyncio

import pytest

from brassfall.sidecar import framing
from brassfall.sidecar.clients import (
    client_connection,
    read_control,
)
from brassfall.sidecar.clients.read_control import PauseReason
from tests.support import loopback as partners
from tests.support import system_calls
from tests.support.clients import (
    EACH_WAY_TO_LEAVE,
    LONG_BUDGET,
    HeldRequests,
    accept_paused,
    end_sending,
    fill_socket_buffers,
    one_client,
    released,
    reset,
)
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    ScriptedBalancer,
    Upstream,
    hang,
    loopback,
    running,
    until,
)
from tests.support.system_calls import Faults

LARGE = b"x" * 3_000_000
LONG = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE
READY = b"GET /health/ready HTTP/1.1\r\n\r\n"
WHOLE = partners.request("POST", "/pay", b"hello")


@EACH_WAY_TO_LEAVE
@loopback
async def test_a_client_that_leaves_is_noticed_while_its_answers_lie_unread(leave):
    upstream = await Upstream([OK]).start()
    balancer = HeldRequests()
    async with one_client(upstream, balancer=balancer, little_buffering=True) as (sidecar, app, connection):
        app.writer.transport.pause_reading()
        app.send(X_Budget=LONG_BUDGET)
        app.send(X_Budget=LONG_BUDGET)
        await until(lambda: len(balancer.named("request")) == 2)
        connection.write(LARGE)  # of an earlier answer; more than the sockets hold
        assert connection.read_control.paused_for(PauseReason.UNREAD_ANSWERS) and not connection.transport.is_reading()
        app.send("POST", "/pay", b"unread")
        leave(app)
        await until(lambda: len(balancer.named("client_gone")) == 2)
        balancer.send(sidecar)
        app.close()
        await released(sidecar)
        assert not upstream.seen and len(balancer.named("request")) == 2


@EACH_WAY_TO_LEAVE
@loopback
async def test_a_client_that_leaves_is_noticed_while_its_body_waits_for_a_server(leave):
    upstream = await Upstream([OK]).start()
    balancer = HeldRequests()
    async with one_client(upstream, balancer=balancer) as (sidecar, app, connection):
        # The rest of the body stays with the client: the socket buffers are full.
        whole = partners.request("POST", "/pay", LARGE, X_Budget=LONG_BUDGET)
        sent = 0

        def waits():
            nonlocal sent
            app.writer.write(whole[sent : sent + 16_384])
            sent += 16_384
            return connection.read_control.paused_for(PauseReason.SLOW_SERVER)

        await until(waits)
        assert not connection.transport.is_reading()
        leave(app)
        await until(lambda: balancer.named("client_gone"))
        balancer.send(sidecar)
        app.close()
        await released(sidecar)
        assert not upstream.seen and not upstream.writers


@EACH_WAY_TO_LEAVE
@loopback
async def test_a_client_that_leaves_is_noticed_though_a_part_of_an_answer_is_still_buffered(leave):
    upstream = await Upstream([OK]).start()
    balancer = HeldRequests()
    async with one_client(upstream, balancer=balancer, little_buffering=True) as (sidecar, app, connection):
        app.writer.transport.pause_reading()
        app.send(X_Budget=LONG_BUDGET)
        await until(lambda: balancer.named("request"))
        await fill_socket_buffers(connection)
        leave(app)
        await until(lambda: balancer.named("client_gone"))
        balancer.send(sidecar)
        app.close()
        await released(sidecar)
        assert not upstream.seen


@loopback
async def test_a_client_that_ends_its_sending_is_given_the_answers_that_are_on_their_way(caplog):
    upstream = await Upstream([OK]).start()
    async with one_client(upstream, little_buffering=True) as (sidecar, app, connection):
        connection.write(LARGE)
        end_sending(app)
        await until(lambda: connection.transport.is_closing())
        for _ in range(10):
            connection.write(b"more")  # a later part of an answer: dropped without a warning
        async with asyncio.timeout(PATIENCE_S):
            assert len(await app.reader.read()) == len(LARGE)
        await released(sidecar)
        assert not caplog.records


@loopback
async def test_a_client_that_reads_a_long_answer_slowly_has_not_gone(monkeypatch):
    monkeypatch.setattr(read_control, "CLOSE_POLL_S", 0.001)
    looks = []
    monkeypatch.setattr(
        framing, "peer_closed", lambda transport, look=framing.peer_closed: looks.append(look(transport))
    )
    upstream = await Upstream([LONG, OK]).start()
    async with one_client(upstream, little_buffering=True) as (_sidecar, app, connection):
        app.writer.transport.pause_reading()
        app.send(X_Budget=LONG_BUDGET)
        await until(lambda: connection.read_control.paused_for(PauseReason.UNREAD_ANSWERS) and len(looks) > 20)
        app.writer.transport.resume_reading()
        assert (await app.answer()).body == LARGE
        assert not any(looks)
        assert (await app.ask()).body == b"done"


@EACH_WAY_TO_LEAVE
@pytest.mark.parametrize("body", [b"", b"x" * 100_000])
@loopback
async def test_a_request_from_the_backlog_is_not_forwarded_once_its_client_left(leave, body):
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        async with accept_paused(sidecar):
            app = await App.connect(sidecar.address)
            app.send("POST", "/pay", body)
            leave(app)
        staying = await App.connect(sidecar.address)
        assert (await staying.ask()).body == b"done"
        await until(lambda: len(sidecar.inbound.connections) == 1)
        assert len(balancer.named("request")) == len(upstream.seen) == 1
        app.close()
        staying.close()
        await released(sidecar)


@loopback
async def test_a_request_that_was_unread_during_a_long_answer_is_not_forwarded_once_its_client_left(
    monkeypatch,
):
    monkeypatch.setattr(read_control, "CLOSE_POLL_S", 60.0)
    upstream = await Upstream([OK]).start()
    async with one_client(upstream, little_buffering=True) as (sidecar, app, connection):
        assert (await app.ask()).body == b"done"
        connection.write(LARGE)
        app.send("POST", "/pay", b"later")
        end_sending(app)
        async with asyncio.timeout(PATIENCE_S):
            assert len(await app.reader.read()) == len(LARGE)
        await released(sidecar)
        assert len(upstream.seen) == 1


@loopback
async def test_requests_that_arrived_together_with_the_close_are_not_forwarded():
    upstream = await Upstream([OK, hang]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        # Written together: the loop reads the bytes in one turn and the close in the next.
        app.writer.write(3 * partners.request(X_Budget="300m"))
        end_sending(app)
        await until(lambda: balancer.named("client_gone"))
        assert len(balancer.named("request")) == 2
        app.close()
        await released(sidecar)


@loopback
async def test_a_readiness_check_is_answered_though_its_client_has_ended_its_sending():
    async with running() as sidecar:
        async with accept_paused(sidecar):
            app = await App.connect(sidecar.address)
            app.writer.write(READY)
            end_sending(app)
        assert (await app.answer()).status == 200
        await released(sidecar)


@EACH_WAY_TO_LEAVE
@loopback
async def test_a_request_reports_that_its_client_left_before_the_loop_does(leave):
    balancer = HeldRequests()
    async with one_client(balancer=balancer) as (_sidecar, app, connection):
        app.send("POST", "/pay", b"x")
        await until(lambda: balancer.named("request"))
        (exchange,) = connection.pending_requests
        assert not exchange.client_left()
        leave(app)
        if leave is not end_sending:
            await asyncio.sleep(0)  # the client's transport closes a turn later
        assert exchange.client_left() and not balancer.named("client_gone")
        await until(lambda: balancer.named("client_gone"))
        assert len(balancer.named("client_gone")) == 1
        assert exchange.client_left()


@pytest.mark.parametrize("number", system_calls.BROKEN)
@pytest.mark.parametrize("call", ["recv", "send"])
@loopback
async def test_a_broken_connection_is_a_client_that_left_whatever_the_error(number, call, caplog):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait]).start()
    async with one_client(upstream) as (sidecar, app, connection):
        app.send()
        await until(lambda: upstream.seen)
        with Faults() as faults:
            port = app.writer.get_extra_info("sockname")[1]
            faults.script(call, number, on=lambda sock: sock.getpeername()[1] == port)
            app.writer.write(b"GET") if call == "recv" else release.set()
            await until(lambda: faults.injected[call, number] == 1)
            await until(lambda: connection not in sidecar.inbound.connections)
        release.set()
        await released(sidecar)
        other = await App.connect(sidecar.address)
        assert (await other.ask()).body == b"done"
        app.close()
        other.close()
        assert not caplog.records


@EACH_WAY_TO_LEAVE
@loopback
async def test_the_requests_of_a_client_that_sends_many_and_leaves_are_abandoned(leave):
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request(X_Budget="500m"))
        await until(lambda: balancer.named("request"))
        app.writer.write(200 * partners.request(X_Budget="500m") + b"x" * 30_000)
        leave(app)
        await until(lambda: len(balancer.named("client_gone")) == len(balancer.named("request")))
        app.close()
        await released(sidecar)
        assert len(balancer.named("request")) <= 1 + client_connection.MAX_PENDING_REQUESTS


@loopback
async def test_a_client_that_leaves_within_a_head_leaves_nothing_behind(caplog):
    async with running() as sidecar:
        for size in range(1, len(WHOLE), 7):
            app = await App.connect(sidecar.address)
            app.writer.write(WHOLE[:size])
            (App.close if size % 2 else reset)(app)
        await released(sidecar)
        assert not caplog.records


@loopback
async def test_a_client_that_closes_is_gone_and_its_attempt_is_still_awaited():
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="300m")
        await until(lambda: upstream.seen)
        app.close()
        await until(lambda: balancer.named("client_gone"))
        assert sidecar.driver.idle
        await until(lambda: balancer.outcomes())
        assert [last for _, _, last in balancer.outcomes()] == [True]
        await until(lambda: partners.nothing_left(sidecar))
