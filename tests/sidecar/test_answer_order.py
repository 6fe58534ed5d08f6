"""Answers on one client connection: their order, the last answer, and input that follows it."""

from __future__ import annotations

import asyncio

import pytest

from brassfall.balancer.model import FailRequest, RefuseRequest, SendAttempt, StartTimer
from brassfall.sidecar.clients import (
    client_connection,
    connection_timeouts,
    read_control,
)
from brassfall.sidecar.clients.connection_state import ConnectionState
from tests.support import loopback as partners
from tests.support.clients import LONG_BUDGET, close_with_reset, connected_client, wait_until_released
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

LARGE_BODY = b"x" * 3_000_000
LARGE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY
TLS_CLIENT_HELLO = b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03" + bytes(range(160))
READINESS_CHECK = b"GET /health/ready HTTP/1.1\r\n\r\n"


@loopback
async def test_only_the_first_final_answer_to_a_request_is_written():
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            RefuseRequest(arrival.request, 250.0),
            FailRequest(arrival.request),
            StartTimer(0.0, "t"),
        ],
        timer=lambda now, token: [FailRequest(1), RefuseRequest(2, 0.0)],
    )
    async with running(balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        answer = await app.ask()
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) == 0.25
        assert (await app.ask()).status == 503


@loopback
async def test_pipelined_requests_are_answered_in_their_order():
    release_first = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release_first.wait()
        return OK.replace(b"done", b"slow")

    upstream = await Upstream([answer_after_release, OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        app.send()
        await until(lambda: len(upstream.seen) == 2)
        release_first.set()
        assert [(await app.answer()).body, (await app.answer()).body] == [b"slow", b"done"]


@loopback
async def test_messages_stay_intact_when_each_read_and_write_takes_one_byte():
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
        await wait_until_released(sidecar)


@loopback
async def test_a_request_after_a_rejected_one_on_the_same_connection_is_answered():
    # A rejection must not close the connection, because requests after it may have been read already.
    release = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([answer_after_release, OK]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: upstream.seen)
        (connection,) = sidecar.inbound.connections
        busy_limit, sidecar.inbound.limits.busy_connections = sidecar.inbound.limits.busy_connections, 0
        app.send("POST", "/pay", b"refused")
        await until(lambda: len(connection.pending_requests) == 2)
        sidecar.inbound.limits.busy_connections = busy_limit
        app.send()
        await until(lambda: len(connection.pending_requests) == 3)
        release.set()
        answers = [await app.answer() for _ in range(3)]
        assert [answer.status for answer in answers] == [200, 503, 200]
        assert not any("connection" in answer.headers for answer in answers)
        app.close()
        await wait_until_released(sidecar)
        assert len(balancer.named("request")) == len(upstream.seen) == 2


@pytest.mark.parametrize("target", ["/look", "/health/ready", "/nowhere"])
@pytest.mark.parametrize("count", [2, 15, 40, 300])
@loopback
async def test_all_requests_that_were_read_together_are_answered_before_the_close(target, count):
    # Neither the first answer nor the limit of 16 pending requests may close the connection early.
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.inbound.close_after_answers()
        app.writer.write(count * partners.request(target=target, X_Budget=LONG_BUDGET))
        answers = [await app.answer() for _ in range(count)]
        assert len({answer.start for answer in answers}) == 1
        assert [answer.headers.get("connection") for answer in answers] == [None] * (count - 1) + ["close"]
        assert await app.answer() is None
        await wait_until_released(sidecar)


@pytest.mark.parametrize("input_after", [b"", b"GARBAGE\r\n\r\n", TLS_CLIENT_HELLO, partners.request()])
@loopback
async def test_the_last_answer_is_written_even_if_invalid_input_follows_its_request(input_after):
    # Invalid input after the last request must not prevent its answer from being written.
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(READINESS_CHECK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") + input_after)
        answer = await app.answer()
        assert (answer.status, answer.headers["connection"]) == (200, "close")
        assert await app.answer() is None
        app.close()
        await wait_until_released(sidecar)


@loopback
async def test_a_client_with_the_maximum_of_pending_requests_is_not_read():
    upstream = await Upstream([hang]).start()
    balancer = ScriptedBalancer()
    async with connected_client(upstream, balancer=balancer) as (sidecar, app, connection):
        for sent_count in range(1, client_connection.MAX_PENDING_REQUESTS + 1):
            app.send(X_Budget="400m")
            await until(lambda sent_count=sent_count: len(balancer.named("request")) == sent_count)
        app.send()
        await until(lambda: connection.readable)
        assert len(balancer.named("request")) == client_connection.MAX_PENDING_REQUESTS
        answers = [await app.answer() for _ in range(client_connection.MAX_PENDING_REQUESTS)]
        assert {answer.status for answer in answers} == {504}
        await until(lambda: len(balancer.named("request")) == client_connection.MAX_PENDING_REQUESTS + 1)
        app.close()
        for writer in upstream.writers:
            writer.transport.abort()
        await wait_until_released(sidecar)


@loopback
async def test_a_request_after_an_announced_close_is_not_read(monkeypatch):
    # If the request were read and dropped, its client could not know that it may send the request again.
    release = asyncio.Event()

    async def large_answer_in_two_parts(reader, writer):
        writer.write(LARGE_ANSWER[: len(LARGE_ANSWER) // 2])
        await release.wait()
        return LARGE_ANSWER[len(LARGE_ANSWER) // 2 :]

    upstream = await Upstream([large_answer_in_two_parts]).start()
    balancer = ScriptedBalancer()
    async with connected_client(upstream, balancer=balancer) as (sidecar, app, connection):
        sidecar.inbound.close_after_answers()
        app.send(X_Budget=LONG_BUDGET)
        async with asyncio.timeout(PATIENCE_S):
            head = await app.reader.readuntil(b"\r\n\r\n")
            assert b"Connection: close" in head
            app.send()
            await until(lambda: connection.readable)
            release.set()
            assert len(await app.reader.readexactly(len(LARGE_BODY))) == len(LARGE_BODY)
        for _ in range(5):
            await asyncio.sleep(0)
        assert connection.readable and len(balancer.named("request")) == 1


@loopback
async def test_requests_after_one_whose_answer_is_delimited_by_the_close_are_abandoned(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 60.0)
    release_first = asyncio.Event()

    async def answer_delimited_by_close(reader, writer):
        await release_first.wait()
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE_BODY)
        writer.close()

    upstream, hanging_upstream = (
        await Upstream([answer_delimited_by_close]).start(),
        await Upstream([hang]).start(),
    )
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            SendAttempt(arrival.request, "s1" if arrival.request_class else "s0", 0.0)
        ]
    )
    async with running(upstream, hanging_upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        http_1_0_request = partners.request(Connection="keep-alive").replace(b"HTTP/1.1", b"HTTP/1.0")
        app.writer.write(http_1_0_request)
        await until(lambda: upstream.seen)
        app.send("POST", "/pay", X_Budget=LONG_BUDGET)
        await until(lambda: hanging_upstream.seen)
        release_first.set()
        async with asyncio.timeout(PATIENCE_S):
            assert (await app.reader.read()).endswith(LARGE_BODY)
        await until(lambda: balancer.named("client_gone"))
        app.close()
        # The attempt ends here; the driver awaits its outcome.
        hanging_upstream.writers[0].transport.abort()
        await wait_until_released(sidecar)


@loopback
async def test_an_attempt_ends_when_its_request_is_answered_before_the_end_of_its_body(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 0.05)

    class ReadsWithoutAnswer(Upstream):
        async def _serve(self, reader, writer):
            await reader.read()
            writer.close()

    upstream = await ReadsWithoutAnswer().start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            SendAttempt(arrival.request, "s0", 0.0),
            StartTimer(50.0, str(arrival.request)),
        ],
        timer=lambda now, number: [RefuseRequest(int(number), 0.0)],
    )
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request("POST", "/pay", LARGE_BODY)[:200_000])
        assert (await app.answer()).status == 503
        await wait_until_released(sidecar)
        assert [last for _, _, last in balancer.outcomes()] == [True]


@loopback
async def test_an_answer_can_close_a_connection_that_the_client_has_just_reset(monkeypatch):
    monkeypatch.setattr(read_control, "CLOSE_POLL_S", 60.0)
    release = asyncio.Event()

    async def answer_without_length(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(LARGE_BODY), LARGE_BODY))
        await release.wait()
        return b"0\r\n\r\n"

    upstream = await Upstream([answer_without_length]).start()
    async with connected_client(upstream) as (sidecar, app, connection):
        # An HTTP/1.0 client gets no chunks, so nothing is left to be written at the end of the answer.
        app.writer.write(partners.request(X_Budget=LONG_BUDGET).replace(b"HTTP/1.1", b"HTTP/1.0"))
        async with asyncio.timeout(PATIENCE_S):
            await app.reader.readuntil(b"\r\n\r\n")
            assert await app.reader.readexactly(len(LARGE_BODY)) == LARGE_BODY
        (request,) = connection.pending_requests
        close_with_reset(app)
        await asyncio.sleep(0)
        # The reset has arrived at the socket, and the event loop has not reported it yet.
        assert connection.readable and connection.state is ConnectionState.LAST_REQUEST_READ
        request.finish_answer()
        assert connection.state is ConnectionState.LINGERING
        release.set()
        await wait_until_released(sidecar)


@loopback
async def test_a_client_that_reads_no_answers_is_not_read():
    async with connected_client() as (_sidecar, app, connection):
        transport = connection.transport
        small_buffers(transport, app.writer.transport)
        transport.write(b"x" * 50_000_000)  # these are more bytes than the socket buffers take
        assert not transport.is_reading()
