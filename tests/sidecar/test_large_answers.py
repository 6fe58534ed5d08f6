"""Large answers: they are passed on while they arrive, no faster than the client reads them."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest

from brassfall.balancer.model import Outcome, SendAttempt
from brassfall.sidecar import body
from brassfall.sidecar.clients import connection_timeouts
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.clients.read_control import PauseReason
from brassfall.sidecar.servers import server_connection
from tests.support import loopback as partners
from tests.support.clients import (
    connected_client,
    wait_until_released,
)
from tests.support.large_messages import (
    CHUNKED_HEAD,
    HEAD_WITH_LENGTH,
    LARGE,
    ONE_CHUNK,
    StreamingServer,
    chunked_body,
    read_answer,
    read_head,
    reply_until_close,
)
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    ScriptedBalancer,
    Upstream,
    break_off,
    loopback,
    running,
    until,
)

ANSWER_BYTES = 300_000  # Size of an answer that the sockets hold, but not the client's socket alone


@pytest.mark.parametrize(
    "reply", [HEAD_WITH_LENGTH % len(LARGE) + LARGE, CHUNKED_HEAD + chunked_body(LARGE), reply_until_close]
)
@loopback
async def test_a_large_answer_arrives_complete_in_any_framing(reply):
    upstream = await StreamingServer([reply]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(2):
            app.send()
            assert await read_answer(app) == (200, LARGE)
        await until(lambda: sidecar.driver.idle and partners.nothing_left(sidecar))


@pytest.mark.parametrize("framing", ["length", "chunks"])
@loopback
async def test_the_first_part_is_passed_on_at_once_and_no_time_limit_ends_the_rest(framing):
    send_rest = asyncio.Event()

    async def answer_in_two_parts(reader, writer):
        first_part = LARGE[:1000]
        if framing == "length":
            writer.write(HEAD_WITH_LENGTH % len(LARGE) + first_part)
        else:
            writer.write(CHUNKED_HEAD + b"3e8\r\n%b\r\n" % first_part)
        await send_rest.wait()
        return LARGE[1000:] if framing == "length" else chunked_body(LARGE[1000:])

    upstream = await StreamingServer([answer_in_two_parts]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="250m")
        head = await read_head(app)
        assert head.startswith(b"HTTP/1.1 200")
        await asyncio.sleep(0.4)  # this is longer than the client's budget
        sidecar.lifecycle.drain()
        send_rest.set()
        assert await read_answer(app, head) == (200, LARGE)


@loopback
async def test_shutdown_waits_for_the_rest_of_an_answer():
    send_rest = asyncio.Event()

    async def answer_in_two_parts(reader, writer):
        writer.write(HEAD_WITH_LENGTH % len(LARGE) + LARGE[:1000])
        await send_rest.wait()
        return LARGE[1000:]

    upstream = await StreamingServer([answer_in_two_parts]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="250m")
        head = await read_head(app)
        shutdown = asyncio.create_task(sidecar.drain())
        await asyncio.sleep(0.8)
        assert not shutdown.done()
        send_rest.set()
        assert await read_answer(app, head) == (200, LARGE)
        app.close()
        await shutdown


@loopback
async def test_a_small_chunked_answer_that_breaks_off_is_retried_on_another_server():
    async def break_off_small_answer(reader, writer):
        writer.write(CHUNKED_HEAD + b"5\r\nhe")
        await writer.drain()
        writer.close()
        return b""

    first, second = (
        await StreamingServer([break_off_small_answer]).start(),
        await StreamingServer([OK]).start(),
    )
    balancer = ScriptedBalancer(
        outcome=lambda now, number, hop, status, *rest: [SendAttempt(number, "s1", 0.0)] if hop < 1 else []
    )
    async with running(first, second, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"


@pytest.mark.parametrize("framing", ["length", "chunks"])
@loopback
async def test_the_client_notices_that_a_large_answer_breaks_off(framing):
    async def break_off_large_answer(reader, writer):
        writer.write(
            HEAD_WITH_LENGTH % len(LARGE) + LARGE[:200_000]
            if framing == "length"
            else CHUNKED_HEAD + chunked_body(LARGE)[:-9]
        )
        await writer.drain()
        return await break_off(reader, writer) or b""

    upstream = await StreamingServer([break_off_large_answer]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_answer(app)
        await until(lambda: balancer.outcomes())
        assert balancer.outcomes() == [(0, Outcome.RESET, True)]
        assert len(balancer.named("answer_started")) == 1


@loopback
async def test_a_client_that_reads_slowly_pauses_the_server():
    pieces_written = 0
    end_answer = asyncio.Event()

    async def send_until_told(reader, writer):
        nonlocal pieces_written
        writer.write(CHUNKED_HEAD)
        while not end_answer.is_set():
            writer.write(ONE_CHUNK)
            pieces_written += 1
            await writer.drain()
        return b"0\r\n\r\n"

    upstream = await StreamingServer([send_until_told]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(
            lambda: sidecar.inbound.connections and sidecar.inbound.connections[0].read_control.paused
        )
        (connection,) = sidecar.inbound.connections
        buffered = connection.transport.get_write_buffer_size()
        assert buffered <= connection_timeouts.MAX_UNSENT_BYTES + 2 * body.MAX_BUFFERED_BYTES
        await until(lambda: upstream.writers[0].transport.get_write_buffer_size() > 0)
        written_before = pieces_written
        await asyncio.sleep(0.1)
        assert pieces_written == written_before  # the sidecar reads nothing from the server
        end_answer.set()
        _, data = await read_answer(app)
        assert len(data) == pieces_written * len(LARGE)


@loopback
async def test_a_slow_client_gets_all_answers_although_it_has_sent_another_request(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 0.1)
    count, size = 12, 60_000  # number and size of the answers, which together exceed the socket buffers
    release = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release.wait()
        return HEAD_WITH_LENGTH % size + LARGE[:size]

    upstream, slow_upstream = (
        await Upstream([HEAD_WITH_LENGTH % size + LARGE[:size]]).start(),
        await Upstream([answer_after_release]).start(),
    )
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            SendAttempt(arrival.request, "s1" if arrival.request_class else "s0", 0.0)
        ]
    )
    async with connected_client(upstream, slow_upstream, balancer=balancer, little_buffering=True) as (
        sidecar,
        app,
        connection,
    ):
        app.writer.transport.pause_reading()
        for _ in range(count - 1):
            app.send(X_Budget="60000m")
        app.send("POST", "/pay", X_Budget="60000m", Connection="close")
        await until(lambda: slow_upstream.seen and len(upstream.seen) == count - 1)
        await until(lambda: connection.read_control.paused_for(PauseReason.UNREAD_ANSWERS))
        app.send()
        await until(lambda: connection.readable)
        release.set()
        last_request = connection.pending_requests[-1]
        await until(lambda: last_request.complete_answer is not None)
        app.writer.transport.resume_reading()
        answers = []
        while connection.state is not ConnectionState.LINGERING:
            answers.append(await app.answer())
        assert connection.transport.get_write_buffer_size() > 0  # the client has not read all answers
        app.writer.transport.pause_reading()
        await asyncio.sleep(0.3)
        app.writer.transport.resume_reading()
        while len(answers) < count:
            answers.append(await app.answer())
        assert all(answer is not None and answer.body == LARGE[:size] for answer in answers)
        await until(lambda: sidecar.inbound.all_connections_closed)


@loopback
async def test_a_client_that_reads_nothing_is_disconnected(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "UNREAD_ANSWER_TIMEOUT_S", 0.1)

    async def send_endlessly(reader, writer):
        writer.write(CHUNKED_HEAD)
        while True:  # the loop ends with an error once the sidecar closes the connection
            writer.write(ONE_CHUNK)
            await writer.drain()

    upstream = await StreamingServer([send_endlessly]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.transport.pause_reading()
        app.send()
        await until(lambda: sidecar.inbound.connections)
        await wait_until_released(sidecar)
        await upstream.disconnected()


@loopback
async def test_a_server_that_stops_within_an_answer_is_given_up(monkeypatch):
    monkeypatch.setattr(server_connection, "STALLED_S", 0.1)

    async def stop_within_answer(reader, writer):
        writer.write(HEAD_WITH_LENGTH % len(LARGE) + LARGE[:1000])
        await reader.read()
        return b""

    upstream = await StreamingServer([stop_within_answer]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await read_answer(app)


@loopback
async def test_a_client_that_leaves_within_an_answer_frees_the_server():
    async def stop_within_answer(reader, writer):
        writer.write(HEAD_WITH_LENGTH % len(LARGE) + LARGE[:1000])
        await reader.read()
        return b""

    upstream = await StreamingServer([stop_within_answer]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await app.reader.readuntil(b"\r\n\r\n")
        app.close()
        await until(lambda: partners.nothing_left(sidecar))
        await upstream.disconnected()
        assert sidecar.driver.idle


@loopback
async def test_large_answers_keep_the_order_of_pipelined_requests():
    upstream = await StreamingServer([HEAD_WITH_LENGTH % len(LARGE) + LARGE]).start()
    release = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release.wait()
        return OK

    slow_upstream = await StreamingServer([answer_after_release]).start()
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            SendAttempt(arrival.request, "s0" if arrival.request_class else "s1", 0.0)
        ],
        answer_started=lambda now, *rest: release.set() or [],
    )
    async with running(upstream, slow_upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        app.send("POST", "/pay")
        app.send()
        assert await read_answer(app) == (200, b"done")
        assert await read_answer(app) == (200, LARGE)
        assert await read_answer(app) == (200, b"done")


@loopback
async def test_an_http_1_0_client_gets_no_chunks():
    upstream = await StreamingServer([CHUNKED_HEAD + chunked_body(LARGE)]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request().replace(b"HTTP/1.1", b"HTTP/1.0"))
        async with asyncio.timeout(PATIENCE_S):
            head, _, data = (await app.reader.read()).partition(b"\r\n\r\n")
        assert b"chunked" not in head and data == LARGE


@contextlib.asynccontextmanager
async def lingering_connection(monkeypatch):
    """Yield a sidecar and a client that has read nothing of its last answer, and has sent another request."""
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 0.1)
    send_rest = asyncio.Event()

    async def answer_in_two_parts(reader, writer):
        writer.write(HEAD_WITH_LENGTH % ANSWER_BYTES + LARGE[:1000])
        await send_rest.wait()
        return LARGE[1000:ANSWER_BYTES]

    upstream = await StreamingServer([answer_in_two_parts]).start()
    async with connected_client(upstream) as (sidecar, app, connection):
        app.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        app.writer.transport.pause_reading()
        sidecar.inbound.close_after_answers()
        app.send()
        await until(lambda: connection.read_control.paused_for(PauseReason.CLOSE_ANNOUNCED))
        app.send()
        await until(lambda: connection.readable)
        send_rest.set()
        await until(lambda: connection.state is ConnectionState.LINGERING)
        yield sidecar, app, connection


@loopback
async def test_a_lingering_connection_is_not_reset_while_the_client_reads_its_last_answer(monkeypatch):
    """Guards against a long answer whose end a reset destroys in the socket, as its client reads slowly."""
    async with lingering_connection(monkeypatch) as (sidecar, app, connection):
        await until(lambda: not connection.transport.get_write_buffer_size())
        await asyncio.sleep(0.5)  # this is longer than the time limit for lingering
        app.writer.transport.resume_reading()
        assert await read_answer(app) == (200, LARGE[:ANSWER_BYTES])
        await until(lambda: sidecar.inbound.all_connections_closed)


@loopback
async def test_a_lingering_connection_whose_client_reads_nothing_is_closed(monkeypatch):
    """Guards against connections that linger for ever because the last answer is never read."""
    monkeypatch.setattr(connection_timeouts, "UNREAD_ANSWER_TIMEOUT_S", 0.3)
    async with lingering_connection(monkeypatch) as (sidecar, _app, _connection):
        await until(lambda: sidecar.inbound.all_connections_closed)


@pytest.mark.parametrize("framing", ["chunks", "close"])
@loopback
async def test_an_answer_of_unknown_length_that_begins_in_time_is_not_cut_off(framing, monkeypatch):
    """Guards against a time limit that ends an attempt while the beginning of its answer is buffered."""
    monkeypatch.setattr(server_connection, "HOLD_S", PATIENCE_S)  # longer than the budget
    send_rest = asyncio.Event()
    beginnings = {"chunks": CHUNKED_HEAD + b"5\r\nhello\r\n", "close": b"HTTP/1.1 200 OK\r\n\r\nhello"}

    async def answer_in_two_parts(reader, writer):
        writer.write(beginnings[framing])
        await send_rest.wait()
        if framing == "chunks":
            return chunked_body(LARGE)
        writer.write(LARGE)
        writer.close()
        return b""

    upstream = await StreamingServer([answer_in_two_parts]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="300m")
        head = await read_head(app)
        assert head.startswith(b"HTTP/1.1 200")
        await asyncio.sleep(0.1)  # the budget is over
        send_rest.set()
        assert await read_answer(app, head) == (200, b"hello" + LARGE)
