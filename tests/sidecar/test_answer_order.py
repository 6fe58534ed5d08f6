"""Answers on one connection: their order, the last one, and what follows it."""

from __future__ import annotations

import asyncio

import pytest

from brassfall.balancer.model import Fail, Refuse, Send, Timer
from brassfall.sidecar.clients import (
    client_connection,
    connection_timeouts,
    read_control,
)
from brassfall.sidecar.clients.connection_state import ConnectionState
from tests.support import loopback as partners
from tests.support.clients import LONG_BUDGET, one_client, released, reset
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    ScriptedBalancer,
    Upstream,
    hang,
    loopback,
    running,
    small_buffers,
    until,
)
from tests.support.system_calls import Faults

LARGE = b"x" * 3_000_000
LONG = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE) + LARGE
TLS = b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03" + bytes(range(160))
READY = b"GET /health/ready HTTP/1.1\r\n\r\n"


@loopback
async def test_only_the_first_final_answer_is_given():
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [Refuse(arrival.request, 250.0), Fail(arrival.request), Timer(0.0, "t")],
        timer=lambda now, token: [Fail(1), Refuse(2, 0.0)],
    )
    async with running(balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        answer = await app.ask()
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) == 0.25
        assert (await app.ask()).status == 503


@loopback
async def test_pipelined_requests_are_answered_in_their_order():
    first = asyncio.Event()

    async def wait(reader, writer):
        await first.wait()
        return OK.replace(b"done", b"slow")

    upstream = await Upstream([wait, OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        app.send()
        await until(lambda: len(upstream.seen) == 2)
        first.set()
        assert [(await app.answer()).body, (await app.answer()).body] == [b"slow", b"done"]


@loopback
async def test_reads_and_writes_of_one_byte_change_no_message():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        with Faults() as faults:
            for call in ("recv", "send"):
                faults.shorten(call, 1)
            app = await App.connect(sidecar.address)
            app.send()
            app.send("POST", "/pay", b"hello")
            app.writer.write(b"GARBAGE\r\n\r\n")
            answers = [await app.answer() for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 200, 400]
        assert [answer.body for answer in answers[:2]] == [b"done", b"done"]
        assert [seen.body for seen in upstream.seen] == [b"", b"hello"]
        app.close()
        await released(sidecar)


@loopback
async def test_a_request_behind_a_rejected_one_is_answered_too():
    # A rejection must not end the connection: requests behind it may have been read.
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait, OK]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: upstream.seen)
        (connection,) = sidecar.inbound.connections
        soft, sidecar.inbound.limits.busy_connections = sidecar.inbound.limits.busy_connections, 0
        app.send("POST", "/pay", b"refused")
        await until(lambda: len(connection.pending_requests) == 2)
        sidecar.inbound.limits.busy_connections = soft
        app.send()
        await until(lambda: len(connection.pending_requests) == 3)
        release.set()
        answers = [await app.answer() for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 503, 200]
        assert not any("connection" in answer.headers for answer in answers)
        app.close()
        await released(sidecar)
        assert len(balancer.named("request")) == len(upstream.seen) == 2


@pytest.mark.parametrize("target", ["/look", "/health/ready", "/nowhere"])
@pytest.mark.parametrize("count", [2, 15, 40, 300])
@loopback
async def test_all_requests_that_were_read_at_once_are_answered_before_the_connection_ends(target, count):
    # Neither the first answer nor the limit of 16 pending requests may end the connection.
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.inbound.close_after_answers()
        app.writer.write(count * partners.request(target=target, X_Budget=LONG_BUDGET))
        answers = [await app.answer() for _ in range(count)]
        assert len({answer.start for answer in answers}) == 1
        assert [answer.headers.get("connection") for answer in answers] == [None] * (count - 1) + ["close"]
        assert await app.answer() is None
        await released(sidecar)


@pytest.mark.parametrize("behind", [b"", b"GARBAGE\r\n\r\n", TLS, partners.request()])
@loopback
async def test_the_last_answer_is_written_even_if_invalid_input_follows_its_request(behind):
    # Invalid input behind the last request must not keep its answer from being written.
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(READY.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") + behind)
        answer = await app.answer()
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert await app.answer() is None
        app.close()
        await released(sidecar)


@loopback
async def test_no_more_is_read_while_many_requests_wait_for_their_answers():
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer()
    async with one_client(upstream, balancer=balancer) as (sidecar, app, connection):
        for sent in range(1, client_connection.MAX_PENDING_REQUESTS + 1):
            app.send(X_Budget="400m")
            await until(lambda sent=sent: len(balancer.named("request")) == sent)
        app.send()
        await until(lambda: connection.readable)
        assert len(balancer.named("request")) == client_connection.MAX_PENDING_REQUESTS
        answers = [await app.answer() for _ in range(client_connection.MAX_PENDING_REQUESTS)]
        assert {answer.status for answer in answers} == {504}
        await until(lambda: len(balancer.named("request")) == client_connection.MAX_PENDING_REQUESTS + 1)
        app.close()
        for writer in upstream.writers:
            writer.transport.abort()
        await released(sidecar)


@loopback
async def test_a_request_behind_the_announced_end_is_left_unread(monkeypatch):
    # If it were read and dropped, its client could not tell that it may be sent again.
    release = asyncio.Event()

    async def long(reader, writer):
        writer.write(LONG[: len(LONG) // 2])
        await release.wait()
        return LONG[len(LONG) // 2 :]

    upstream = await Upstream([long]).start()
    balancer = ScriptedBalancer()
    async with one_client(upstream, balancer=balancer) as (sidecar, app, connection):
        sidecar.inbound.close_after_answers()
        app.send(X_Budget=LONG_BUDGET)
        async with asyncio.timeout(PATIENCE_S):
            head = await app.reader.readuntil(b"\r\n\r\n")
            assert b"Connection: close" in head
            app.send()
            await until(lambda: connection.readable)
            release.set()
            assert len(await app.reader.readexactly(len(LARGE))) == len(LARGE)
        for _ in range(5):
            await asyncio.sleep(0)
        assert connection.readable and len(balancer.named("request")) == 1


@loopback
async def test_requests_behind_an_answer_that_the_close_delimits_are_abandoned(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 60.0)
    first = asyncio.Event()

    async def till_end(reader, writer):
        await first.wait()
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE)
        writer.close()

    upstream, stuck = await Upstream([till_end]).start(), await Upstream([hang]).start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [Send(arrival.request, "s1" if arrival.request_class else "s0", 0.0)]
    )
    async with running(upstream, stuck, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        old = partners.request(Connection="keep-alive").replace(b"HTTP/1.1", b"HTTP/1.0")
        app.writer.write(old)
        await until(lambda: upstream.seen)
        app.send("POST", "/pay", X_Budget=LONG_BUDGET)
        await until(lambda: stuck.seen)
        first.set()
        async with asyncio.timeout(PATIENCE_S):
            assert (await app.reader.read()).endswith(LARGE)
        await until(lambda: balancer.named("client_gone"))
        app.close()
        stuck.writers[0].transport.abort()  # ends the attempt, which the driver awaits
        await released(sidecar)


@loopback
async def test_no_attempt_waits_for_the_rest_of_a_body_that_was_answered(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 0.05)

    class ReadsOn(Upstream):
        async def _serve(self, reader, writer):
            await reader.read()
            writer.close()

    upstream = await ReadsOn().start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [Send(arrival.request, "s0", 0.0), Timer(50.0, str(arrival.request))],
        timer=lambda now, number: [Refuse(int(number), 0.0)],
    )
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request("POST", "/pay", LARGE)[:200_000])
        assert (await app.answer()).status == 503
        await released(sidecar)
        assert [last for _, _, last in balancer.outcomes()] == [True]


@loopback
async def test_an_answer_ends_its_connection_though_the_client_has_just_reset_it(monkeypatch):
    monkeypatch.setattr(read_control, "CLOSE_POLL_S", 60.0)
    release = asyncio.Event()

    async def without_length(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(LARGE), LARGE))
        await release.wait()
        return b"0\r\n\r\n"

    upstream = await Upstream([without_length]).start()
    async with one_client(upstream) as (sidecar, app, connection):
        # Without chunks, nothing is left to be written at the end of the answer.
        app.writer.write(partners.request(X_Budget=LONG_BUDGET).replace(b"HTTP/1.1", b"HTTP/1.0"))
        async with asyncio.timeout(PATIENCE_S):
            await app.reader.readuntil(b"\r\n\r\n")
            assert await app.reader.readexactly(len(LARGE)) == LARGE
        (request,) = connection.pending_requests
        reset(app)
        await asyncio.sleep(0)
        # The reset is here, and the loop has not reported it.
        assert connection.readable and connection.state is ConnectionState.LAST_REQUEST_READ
        request.finished()
        assert connection.state is ConnectionState.LINGERING
        release.set()
        await released(sidecar)


@loopback
async def test_a_client_that_reads_no_answers_is_not_read():
    async with one_client() as (_sidecar, app, connection):
        held = connection.transport
        small_buffers(held, app.writer.transport)
        held.write(b"x" * 50_000_000)  # past what the sockets hold
        assert not held.is_reading()
