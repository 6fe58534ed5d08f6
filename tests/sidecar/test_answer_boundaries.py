"""Where a server's answer begins and ends: second, stale, endless and truncated answers."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from brassfall.balancer.model import Outcome
from brassfall.sidecar.servers import server_connection
from brassfall.sidecar.servers.idle_connections import SETTLE_MS
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    ScriptedBalancer,
    Upstream,
    entry,
    failing,
    list_changes,
    loopback,
    never_cancels,
    request,
    running_until_idle,
    until,
)

LARGE = b"0123456789abcdef" * 16384


STALE = OK.replace(b"done", b"late")


@loopback
async def test_a_second_answer_that_comes_before_the_next_request_is_complete_is_not_taken_for_its_answer():
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        message = request("POST", "/book", LARGE)
        app.writer.write(message[:-1])
        await until(lambda: balancer.named("body_gone"))
        upstream.writers[0].write(STALE)
        assert (await app.answer()).status == 502
        assert balancer.outcomes()[1:] == [(0, Outcome.CONNECT_FAILED, False)]
        app.close()


@loopback
async def test_an_answer_that_rejects_may_come_before_the_request_is_complete():
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        app.writer.write(request("POST", "/book", LARGE)[:-1])
        await until(lambda: balancer.named("body_gone"))
        upstream.writers[0].write(b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        assert (await app.answer()).status == 502
        assert balancer.outcomes()[1:] == [(0, Outcome.REJECTED, False)]
        app.close()


@loopback
async def test_a_second_answer_that_comes_to_an_idle_connection_is_seen_before_the_next_request():
    """Also where the loop has not read it yet, as the next request is written in the same turn."""
    upstream = await Upstream([OK]).start()
    async with running_until_idle(upstream, balancer=ScriptedBalancer(), **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        server = sidecar.pool.servers["s0"]
        (connection,) = server.idle
        upstream.writers[0].write(STALE)
        assert not connection.usable()  # no turn of the loop since: it is only in the kernel
        app.send()
        assert (await app.answer()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0, 1]


@loopback
async def test_a_connection_that_has_just_given_an_answer_is_not_used_while_another_has_settled():
    """A second answer that arrives some milliseconds later is recognised on the idle connection."""
    upstream = await Upstream([OK]).start()
    async with running_until_idle(upstream, balancer=ScriptedBalancer(), **never_cancels()) as sidecar:
        one, two = await App.connect(sidecar.address), await App.connect(sidecar.address)
        one.send()
        two.send()
        await one.answer()
        await two.answer()
        idle = sidecar.pool.servers["s0"].idle
        rested, newest = idle
        rested.idle_since -= SETTLE_MS
        newest.idle_since += 60_000.0  # newer for the pool, however slow this test is
        far = newest.transport.get_extra_info("sockname")

        async def second_answer(reader, writer):
            (spoilt,) = [it for it in upstream.writers if it.get_extra_info("peername") == far]
            spoilt.write(STALE)
            await until(lambda: newest.closed or newest not in sidecar.pool.connections)
            return OK

        upstream.replies = [second_answer]
        assert (await one.ask()).body == b"done"


NEVER_ENDS = {
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-More: and more\r\n"),
    "one line": (b"HTTP/1.1 200 OK\r\nX-More: ", b"and more of it "),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "trailers": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-More: and more\r\n"),
    "trailer": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-More: ", b"and more of it "),
    "size": (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", b"and=more;"),
}


@pytest.mark.parametrize("kind", NEVER_ENDS)
@loopback
async def test_endless_bytes_around_the_body_break_an_answer_off(kind):
    begin, more = NEVER_ENDS[kind]

    async def endless(reader, writer):
        writer.write(begin)
        while not writer.is_closing():
            writer.write(more * 500)
            await writer.drain()
            await asyncio.sleep(0)

    upstream = await Upstream([endless]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="60000m")
        with contextlib.suppress(asyncio.IncompleteReadError):
            async with asyncio.timeout(PATIENCE_S):
                await app.reader.readuntil(b"\r\n\r\n")
        await until(lambda: balancer.outcomes())
        assert [status for _, status, _ in balancer.outcomes()] == [Outcome.RESET]


@loopback
async def test_trailers_are_no_headers_of_an_answer():
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n"
    upstream = await Upstream([chunked + b"X-Load-Report: inflight=9\r\nX-Other: 1\r\n\r\n"]).start()
    balancer = ScriptedBalancer()
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        answer = await app.ask()
        assert (answer.body, "x-other" in answer.headers) == (b"done", False)
        assert balancer.named("outcome")[0][-1] is None


@pytest.mark.parametrize("passed_on", [False, True])
@loopback
async def test_an_answer_without_length_that_is_reset_has_not_ended(monkeypatch, passed_on):
    """Whether it is still buffered or already being passed on."""
    monkeypatch.setattr(server_connection, "HOLD_S", 0.0 if passed_on else 60.0)

    async def reset(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nnot all of it")
        await until(lambda: any(it.answer_begun for it in sidecar.pool.connections))
        if passed_on:
            await until(lambda: sidecar.driver.counts.streaming_answer)
        writer.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    upstream = await Upstream([reset]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        got = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE_S):
                got = await app.reader.read() if passed_on else await app.reader.readuntil(b"\r\n\r\n")
        assert not (passed_on and got.endswith(b"0\r\n\r\n"))  # the client can tell
        assert got.startswith(b"HTTP/1.1 200" if passed_on else b"HTTP/1.1 502")
        await until(lambda: balancer.outcomes())
        assert [status for _, status, _ in balancer.outcomes()] == [Outcome.RESET]


@pytest.mark.parametrize("address", ["a..b:7070", "x" * 64 + ".test:7070"])
@loopback
async def test_a_server_with_an_impossible_address_fails_to_connect_at_once(address):
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        list_changes(sidecar, entry("s0", address))
        assert (await (await App.connect(sidecar.address)).ask()).status == 502
        assert balancer.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]
