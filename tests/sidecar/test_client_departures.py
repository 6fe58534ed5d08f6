"""Clients that close their connections: how this is detected, and that none of their requests is sent on."""

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
    HoldingBalancer,
    accept_paused,
    close_with_reset,
    connected_client,
    fill_socket_buffers,
    half_close,
    wait_until_released,
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

LARGE_BODY = b"x" * 3_000_000
LARGE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY
READINESS_CHECK = b"GET /health/ready HTTP/1.1\r\n\r\n"
WHOLE_REQUEST = partners.request("POST", "/pay", b"hello")


@EACH_WAY_TO_LEAVE
@loopback
async def test_a_departure_is_detected_while_answers_are_unread(leave):
    upstream = await Upstream([OK]).start()
    balancer = HoldingBalancer()
    async with connected_client(upstream, balancer=balancer, little_buffering=True) as (
        sidecar,
        app,
        connection,
    ):
        app.writer.transport.pause_reading()
        app.send(X_Budget=LONG_BUDGET)
        app.send(X_Budget=LONG_BUDGET)
        await until(lambda: len(balancer.named("request")) == 2)
        # These bytes stand for the answer to an earlier request. They are more than the socket buffers take.
        connection.write(LARGE_BODY)
        assert (
            connection.read_control.paused_for(PauseReason.UNREAD_ANSWERS)
            and not connection.transport.is_reading()
        )
        app.send("POST", "/pay", b"unread")
        leave(app)
        await until(lambda: len(balancer.named("client_gone")) == 2)
        balancer.send_held_requests(sidecar)
        app.close()
        await wait_until_released(sidecar)
        assert not upstream.seen and len(balancer.named("request")) == 2


@EACH_WAY_TO_LEAVE
@loopback
async def test_a_departure_is_detected_while_a_body_waits_for_a_server(leave):
    upstream = await Upstream([OK]).start()
    balancer = HoldingBalancer()
    async with connected_client(upstream, balancer=balancer) as (sidecar, app, connection):
        # The client sends its body only until the sidecar pauses reading. The rest stays with the client, as
        # it does when the socket buffers are full.
        whole_request = partners.request("POST", "/pay", LARGE_BODY, X_Budget=LONG_BUDGET)
        bytes_sent = 0

        def body_waits_for_server():
            nonlocal bytes_sent
            app.writer.write(whole_request[bytes_sent : bytes_sent + 16_384])
            bytes_sent += 16_384
            return connection.read_control.paused_for(PauseReason.SLOW_SERVER)

        await until(body_waits_for_server)
        assert not connection.transport.is_reading()
        leave(app)
        await until(lambda: balancer.named("client_gone"))
        balancer.send_held_requests(sidecar)
        app.close()
        await wait_until_released(sidecar)
        assert not upstream.seen and not upstream.writers


@EACH_WAY_TO_LEAVE
@loopback
async def test_a_departure_is_detected_while_a_part_of_an_answer_is_still_buffered(leave):
    upstream = await Upstream([OK]).start()
    balancer = HoldingBalancer()
    async with connected_client(upstream, balancer=balancer, little_buffering=True) as (
        sidecar,
        app,
        connection,
    ):
        app.writer.transport.pause_reading()
        app.send(X_Budget=LONG_BUDGET)
        await until(lambda: balancer.named("request"))
        await fill_socket_buffers(connection)
        leave(app)
        await until(lambda: balancer.named("client_gone"))
        balancer.send_held_requests(sidecar)
        app.close()
        await wait_until_released(sidecar)
        assert not upstream.seen


@loopback
async def test_a_client_that_half_closes_gets_the_answers_that_are_already_written(caplog):
    upstream = await Upstream([OK]).start()
    async with connected_client(upstream, little_buffering=True) as (sidecar, app, connection):
        connection.write(LARGE_BODY)
        half_close(app)
        await until(lambda: connection.transport.is_closing())
        for _ in range(10):
            connection.write(b"more")  # a later part of an answer is dropped without a warning
        async with asyncio.timeout(PATIENCE_S):
            assert len(await app.reader.read()) == len(LARGE_BODY)
        await wait_until_released(sidecar)
        assert not caplog.records


@loopback
async def test_a_client_that_reads_a_large_answer_slowly_does_not_count_as_having_left(monkeypatch):
    monkeypatch.setattr(read_control, "CLOSE_POLL_S", 0.001)
    polls = []
    monkeypatch.setattr(
        framing,
        "peer_closed",
        lambda transport, peer_closed=framing.peer_closed: polls.append(peer_closed(transport)),
    )
    upstream = await Upstream([LARGE_ANSWER, OK]).start()
    async with connected_client(upstream, little_buffering=True) as (_sidecar, app, connection):
        app.writer.transport.pause_reading()
        app.send(X_Budget=LONG_BUDGET)
        await until(
            lambda: connection.read_control.paused_for(PauseReason.UNREAD_ANSWERS) and len(polls) > 20
        )
        app.writer.transport.resume_reading()
        assert (await app.answer()).body == LARGE_BODY
        assert not any(polls)
        assert (await app.ask()).body == b"done"


@EACH_WAY_TO_LEAVE
@pytest.mark.parametrize("body", [b"", b"x" * 100_000])
@loopback
async def test_a_request_from_the_backlog_is_not_forwarded_if_its_client_has_left(leave, body):
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
        await wait_until_released(sidecar)


@loopback
async def test_a_request_that_was_not_read_during_a_large_answer_is_not_forwarded_after_a_departure(
    monkeypatch,
):
    monkeypatch.setattr(read_control, "CLOSE_POLL_S", 60.0)
    upstream = await Upstream([OK]).start()
    async with connected_client(upstream, little_buffering=True) as (sidecar, app, connection):
        assert (await app.ask()).body == b"done"
        connection.write(LARGE_BODY)
        app.send("POST", "/pay", b"later")
        half_close(app)
        async with asyncio.timeout(PATIENCE_S):
            assert len(await app.reader.read()) == len(LARGE_BODY)
        await wait_until_released(sidecar)
        assert len(upstream.seen) == 1


@loopback
async def test_requests_that_arrive_together_with_the_close_are_not_forwarded():
    upstream = await Upstream([OK, hang]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        # The event loop reads the bytes in one turn and the close in the next, although both arrive together.
        app.writer.write(3 * partners.request(X_Budget="300m"))
        half_close(app)
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert len(balancer.named("request")) == len(upstream.seen) == 1  # that of the first call
        app.close()
        await wait_until_released(sidecar)


@loopback
async def test_a_readiness_check_is_answered_although_its_client_has_half_closed():
    async with running() as sidecar:
        async with accept_paused(sidecar):
            app = await App.connect(sidecar.address)
            app.writer.write(READINESS_CHECK)
            half_close(app)
        assert (await app.answer()).status == 200
        await wait_until_released(sidecar)


@EACH_WAY_TO_LEAVE
@loopback
async def test_client_left_detects_a_departure_before_the_event_loop_reports_it(leave):
    balancer = HoldingBalancer()
    async with connected_client(balancer=balancer) as (_sidecar, app, connection):
        app.send("POST", "/pay", b"x")
        await until(lambda: balancer.named("request"))
        (request,) = connection.pending_requests
        assert not request.client_left()
        leave(app)
        if leave is not half_close:
            await asyncio.sleep(0)  # the client's transport closes one turn of the event loop later
        assert request.client_left() and not balancer.named("client_gone")
        await until(lambda: balancer.named("client_gone"))
        assert len(balancer.named("client_gone")) == 1
        assert request.client_left()


@pytest.mark.parametrize("number", system_calls.BROKEN)
@pytest.mark.parametrize("call", ["recv", "send"])
@loopback
async def test_any_socket_error_on_a_client_connection_counts_as_a_departure(number, call, caplog):
    release = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([answer_after_release]).start()
    async with connected_client(upstream) as (sidecar, app, connection):
        app.send()
        await until(lambda: upstream.seen)
        with Faults() as faults:
            port = app.writer.get_extra_info("sockname")[1]
            faults.script(call, number, on=lambda sock: sock.getpeername()[1] == port)
            app.writer.write(b"GET") if call == "recv" else release.set()
            await until(lambda: faults.injected[call, number] == 1)
            await until(lambda: connection not in sidecar.inbound.connections)
        release.set()
        await wait_until_released(sidecar)
        other = await App.connect(sidecar.address)
        assert (await other.ask()).body == b"done"
        app.close()
        other.close()
        assert not caplog.records


@EACH_WAY_TO_LEAVE
@loopback
async def test_all_requests_of_a_client_that_sends_many_and_leaves_are_abandoned(leave):
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
        await wait_until_released(sidecar)
        assert len(balancer.named("request")) <= 1 + client_connection.MAX_PENDING_REQUESTS


@loopback
async def test_a_departure_within_a_head_leaves_nothing_in_the_sidecar(caplog):
    async with running() as sidecar:
        for size in range(1, len(WHOLE_REQUEST), 7):
            app = await App.connect(sidecar.address)
            app.writer.write(WHOLE_REQUEST[:size])
            (App.close if size % 2 else close_with_reset)(app)
        await wait_until_released(sidecar)
        assert not caplog.records


@loopback
async def test_the_attempt_of_a_departed_client_is_still_awaited():
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
