"""Time limits of client connections: for incomplete requests, unread answers, and lingering."""

from __future__ import annotations

import asyncio

import pytest

from brassfall.sidecar.clients import (
    connection_timeouts,
)
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.clients.read_control import PauseReason
from tests.support import loopback as partners
from tests.support.clients import (
    connected_client,
    count_reading_requests,
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

LARGE_ANSWER = b"x" * 3_000_000
WHOLE_REQUEST = partners.request("POST", "/pay", b"hello")


@loopback
async def test_an_incomplete_request_is_rejected_after_its_time_limit(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.05)
    balancer = ScriptedBalancer()
    async with running(balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(b"POST /pay HTTP/1.1\r\nContent-Length: 5\r\n\r\nab")
        assert (await app.answer()).status == 408
        assert await app.answer() is None
        assert balancer.named("request") == []


@loopback
async def test_a_client_that_sends_nothing_is_disconnected_in_time(monkeypatch):
    assert connection_timeouts.REQUEST_TIMEOUT_S < 3.0
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.05)
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        assert await app.answer() is None
        await until(lambda: sidecar.inbound.all_connections_closed)


@loopback
async def test_a_client_that_sends_its_request_byte_by_byte_is_rejected_in_time(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.3)
    async with running() as sidecar:
        app = await App.connect(sidecar.address)

        async def send_byte_by_byte():
            for byte in partners.request("POST", "/pay", b"x" * 60_000):
                app.writer.write(bytes((byte,)))
                await asyncio.sleep(0.01)

        sending = asyncio.create_task(send_byte_by_byte())
        assert (await app.answer()).status == 408
        sending.cancel()


@loopback
async def test_the_time_limit_is_extended_for_a_body_that_keeps_arriving(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(connection_timeouts, "MIN_REQUEST_BYTES_PER_S", 100)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        whole_request = partners.request("POST", "/pay", b"x" * 3000)
        app.writer.write(whole_request[:-1])
        await asyncio.sleep(0.3)
        app.writer.write(whole_request[-1:])
        assert (await app.answer()).body == b"done"


@pytest.mark.parametrize("size", [1, 60_000, 200_000, 1_000_000])
@loopback
async def test_a_client_that_stops_within_a_body_gets_an_error_within_3_s(size):
    # The bytes that were read extend the time limit only as long as the client sends more.
    upstream = await Upstream([hang]).start()
    loop = asyncio.get_running_loop()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        started_at = loop.time()
        app.writer.write(partners.request("POST", "/pay", b"x" * (size + 1))[:-1])
        assert (await app.answer()).status == 408
        assert loop.time() - started_at < 3.0
        assert await app.answer() is None
        app.close()


@loopback
async def test_after_a_long_pause_in_reading_the_client_has_time_to_continue_its_body(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(connection_timeouts, "CLIENT_STOPPED_MS", 200.0)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        whole_request = partners.request("POST", "/pay", b"x" * 60_000)
        app.writer.write(whole_request[:-1])
        await until(lambda: count_reading_requests(sidecar))
        (connection,) = sidecar.inbound.connections
        connection.pause()
        await asyncio.sleep(0.5)  # reading stays paused, as it does for a server that takes nothing
        connection.resume()
        await asyncio.sleep(0.1)
        app.writer.write(whole_request[-1:])
        assert (await app.answer()).body == b"done"
        app.close()


@loopback
async def test_empty_lines_at_the_end_of_the_time_limit_do_not_keep_a_connection_open(monkeypatch):
    async with connected_client() as (sidecar, app, connection):
        connection.timeouts.stop_request_timer()
        monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.0)
        app.writer.write(b"\r\n")
        assert connection.readable
        connection.timeouts.check_request_timeout()
        assert await app.answer() is None
        await wait_until_released(sidecar)


@loopback
async def test_pauses_in_reading_do_not_count_towards_the_time_limit(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.3)
    upstream = await Upstream([OK]).start()
    async with connected_client(upstream, little_buffering=True) as (_sidecar, app, connection):
        app.writer.write(WHOLE_REQUEST[:-1])
        await until(lambda: connection.state is ConnectionState.READING_REQUEST)
        app.writer.transport.pause_reading()
        connection.write(LARGE_ANSWER)  # these bytes stand for the answer to an earlier request
        app.writer.write(WHOLE_REQUEST[-1:])
        checks, check_request_timeout = [], connection.timeouts.check_request_timeout
        monkeypatch.setattr(
            connection_timeouts.ConnectionTimeouts,
            "check_request_timeout",
            lambda timeouts: checks.append(check_request_timeout()),
        )
        connection.timeouts.stop_request_timer()
        connection.timeouts.start_request_timer()
        await asyncio.sleep(0.4)
        assert checks and connection.read_control.paused
        assert connection.state is ConnectionState.READING_REQUEST
        app.writer.transport.resume_reading()
        async with asyncio.timeout(PATIENCE_S):
            await app.reader.readexactly(len(LARGE_ANSWER))
        assert (await app.answer()).body == b"done"


@loopback
async def test_a_client_that_half_closes_and_reads_nothing_is_disconnected(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "UNREAD_ANSWER_TIMEOUT_S", 0.1)
    async with connected_client(little_buffering=True) as (sidecar, app, connection):
        app.writer.transport.pause_reading()
        await fill_socket_buffers(connection)
        half_close(app)
        await wait_until_released(sidecar)


@loopback
async def test_a_half_closed_client_that_stops_reading_near_the_end_is_disconnected(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "UNREAD_ANSWER_TIMEOUT_S", 0.3)
    async with connected_client(little_buffering=True) as (sidecar, app, connection):
        app.writer.transport.pause_reading()
        connection.write(LARGE_ANSWER)
        half_close(app)
        await until(lambda: connection.transport.is_closing())
        connection.resume_writing()  # asyncio calls this once only a few KiB are left in the buffer
        await wait_until_released(sidecar)


@loopback
async def test_a_client_that_reads_slowly_gets_all_of_a_long_answer(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "UNREAD_ANSWER_TIMEOUT_S", 0.3)
    async with connected_client(little_buffering=True) as (_sidecar, app, connection):
        connection.write(LARGE_ANSWER)
        started_at = asyncio.get_running_loop().time()
        bytes_read = 0
        async with asyncio.timeout(PATIENCE_S):
            while asyncio.get_running_loop().time() < started_at + 0.8:
                assert connection.read_control.paused_for(PauseReason.UNREAD_ANSWERS)
                bytes_read += len(await app.reader.read(32_768))
                await asyncio.sleep(0.02)
            bytes_read += len(await app.reader.readexactly(len(LARGE_ANSWER) - bytes_read))
