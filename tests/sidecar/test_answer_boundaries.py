"""The boundaries of a server's answers: second, stale, endless and truncated answers."""

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
async def test_a_second_answer_before_the_next_request_is_complete_is_not_used_as_its_answer():
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
async def test_a_rejection_may_arrive_before_the_request_is_complete():
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
async def test_a_second_answer_on_an_idle_connection_is_detected_before_the_next_request():
    """The event loop has not read the second answer yet when the next request is due in the same turn."""
    upstream = await Upstream([OK]).start()
    async with running_until_idle(upstream, balancer=ScriptedBalancer(), **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        server = sidecar.pool.servers["s0"]
        (connection,) = server.idle
        upstream.writers[0].write(STALE)
        assert not connection.usable()  # The event loop had no turn, so that the bytes are only in the kernel
        app.send()
        assert (await app.answer()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0, 1]


@loopback
async def test_a_connection_that_has_just_become_idle_is_used_only_if_no_other_has_been_idle_for_longer():
    """A second answer some milliseconds later is then recognised, because the connection is still idle."""
    upstream = await Upstream([OK]).start()
    async with running_until_idle(upstream, balancer=ScriptedBalancer(), **never_cancels()) as sidecar:
        first_app, second_app = await App.connect(sidecar.address), await App.connect(sidecar.address)
        first_app.send()
        second_app.send()
        await first_app.answer()
        await second_app.answer()
        idle = sidecar.pool.servers["s0"].idle
        settled, newest = idle
        settled.idle_since -= SETTLE_MS
        newest.idle_since += 60_000.0  # It stays the newer one for the pool, however slow this test is
        newest_address = newest.transport.get_extra_info("sockname")

        async def second_answer(reader, writer):
            (writer_of_newest,) = [
                each for each in upstream.writers if each.get_extra_info("peername") == newest_address
            ]
            writer_of_newest.write(STALE)
            await until(lambda: newest.closed or newest not in sidecar.pool.connections)
            return OK

        upstream.replies = [second_answer]
        assert (await first_app.ask()).body == b"done"


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
async def test_an_answer_with_endless_bytes_outside_its_body_is_broken_off(kind):
    beginning, repeated = NEVER_ENDS[kind]

    async def endless(reader, writer):
        writer.write(beginning)
        while not writer.is_closing():
            writer.write(repeated * 500)
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
async def test_trailers_of_an_answer_are_not_used_as_headers():
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n"
    upstream = await Upstream([chunked + b"X-Load-Report: inflight=9\r\nX-Other: 1\r\n\r\n"]).start()
    balancer = ScriptedBalancer()
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        answer = await app.ask()
        assert (answer.body, "x-other" in answer.headers) == (b"done", False)
        assert balancer.named("outcome")[0][-1] is None


@pytest.mark.parametrize("streamed", [False, True])
@loopback
async def test_an_answer_without_length_that_ends_by_a_reset_is_incomplete(monkeypatch, streamed):
    """This holds while the answer is still buffered and while it is streamed."""
    monkeypatch.setattr(server_connection, "HOLD_S", 0.0 if streamed else 60.0)

    async def reset(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nnot all of it")
        await until(lambda: any(link.answer_begun for link in sidecar.pool.connections))
        if streamed:
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
        received = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE_S):
                received = await app.reader.read() if streamed else await app.reader.readuntil(b"\r\n\r\n")
        # The client can detect that the streamed answer is incomplete.
        assert not (streamed and received.endswith(b"0\r\n\r\n"))
        assert received.startswith(b"HTTP/1.1 200" if streamed else b"HTTP/1.1 502")
        await until(lambda: balancer.outcomes())
        assert [status for _, status, _ in balancer.outcomes()] == [Outcome.RESET]


@pytest.mark.parametrize("address", ["a..b:7070", "x" * 64 + ".test:7070"])
@loopback
async def test_a_server_with_an_invalid_host_name_fails_to_connect_at_once(address):
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running_until_idle(upstream, balancer=balancer, **never_cancels()) as sidecar:
        list_changes(sidecar, entry("s0", address))
        assert (await (await App.connect(sidecar.address)).ask()).status == 502
        assert balancer.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]
