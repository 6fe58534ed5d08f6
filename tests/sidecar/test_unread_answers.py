"""Clients that send many requests at once and do not read the answers: what the sidecar keeps for them."""

from __future__ import annotations

import asyncio

from brassfall.sidecar.body import MemoryBudget
from brassfall.sidecar.clients import client_connection, connection_timeouts, request_parser
from brassfall.sidecar.clients.read_control import PauseReason
from brassfall.sidecar.clients.request_parser import RequestParser
from brassfall.sidecar.framing import MAX_UNUSED_BODY_BYTES, AnswerParser
from tests.support import loopback as partners
from tests.support.clients import LONG_BUDGET, connected_client, wait_until_released
from tests.support.loopback import OK, App, ScriptedBalancer, Upstream, loopback, running, until

ANSWER_BYTES = 60_000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES + b"x" * ANSWER_BYTES
REQUEST = partners.request(X_Budget=LONG_BUDGET)
LARGEST_READ = 4 * 1024  # largest read that may contain several requests, in bytes
# Largest number of requests of one client that are served before the first of them is answered.
MOST_SERVED = client_connection.MAX_PENDING_REQUESTS + LARGEST_READ // len(REQUEST) + 1


def retained_bytes(connection):
    """Return the number of bytes of answers that a client connection keeps in memory."""
    complete = [request.complete_answer for request in connection.pending_requests]
    waiting = sum(len(answer.body) for answer in complete if answer is not None)
    return waiting + connection.transport.get_write_buffer_size()


def all_answered(connection):
    """Return whether the answer to each request of a client connection waits for the client."""
    pending = connection.pending_requests
    return pending and all(request.complete_answer or request.streamed_answer for request in pending)


@loopback
async def test_answers_that_a_client_does_not_read_are_limited_in_number_and_counted():
    """Guards against answers kept without limit: 400 requests of one read once kept 24 MB for one client."""
    upstream = await Upstream([ANSWER]).start()
    balancer = ScriptedBalancer()
    async with connected_client(upstream, balancer=balancer, little_buffering=True) as (
        sidecar,
        app,
        connection,
    ):
        app.writer.transport.pause_reading()
        app.writer.write(400 * REQUEST)
        await until(lambda: connection.read_control.paused_for(PauseReason.UNREAD_ANSWERS))
        await until(lambda: all_answered(connection))
        assert connection.readable  # the other requests stay in the socket
        assert len(connection.pending_requests) <= MOST_SERVED
        retained = retained_bytes(connection)
        assert retained <= MOST_SERVED * ANSWER_BYTES + connection_timeouts.MAX_UNSENT_BYTES
        assert sidecar.inbound.budget.used >= retained
        served = len(balancer.named("request"))
        app.writer.transport.resume_reading()
        for _ in range(400):
            assert (await app.answer()).status == 200
        assert served < len(balancer.named("request")) == 400


@loopback
async def test_answers_for_which_no_memory_is_left_wait_at_their_servers():
    """Guards against a full memory budget: the answers come whole once the client reads them."""
    upstream = await Upstream([ANSWER]).start()
    async with running(upstream, raw={"limits": {"sockets": 1024, "memory_mb": 1}}) as sidecar:
        app = await App.connect(sidecar.address)
        await until(lambda: sidecar.inbound.connections)
        (connection,) = sidecar.inbound.connections
        partners.small_buffers(connection.transport, app.writer.transport)
        app.writer.transport.pause_reading()
        app.writer.write(12 * REQUEST)
        await until(lambda: len(upstream.seen) == 12)
        await until(lambda: all_answered(connection))
        budget = sidecar.inbound.budget
        assert retained_bytes(connection) <= budget.used <= budget.limit + ANSWER_BYTES
        app.writer.transport.resume_reading()
        assert [len((await app.answer()).body) for _ in range(12)] == 12 * [ANSWER_BYTES]
        app.close()
        await wait_until_released(sidecar)


@loopback
async def test_a_complete_answer_for_which_no_memory_is_left_becomes_a_failure():
    """Guards against a full memory budget: a rejection would promise that the request had no effect."""
    release_first = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release_first.wait()
        return OK

    async def answer_once_no_memory_is_left(reader, writer):
        budget.reserve_anyway(budget.limit)
        return OK

    upstream = await Upstream([answer_after_release, answer_once_no_memory_is_left]).start()
    async with connected_client(upstream) as (sidecar, app, _connection):
        budget = sidecar.inbound.budget
        app.send()
        await until(lambda: upstream.seen)
        app.send()
        await until(lambda: len(upstream.seen) == 2 and sidecar.driver.in_flight == 1)
        release_first.set()
        assert [(await app.answer()).status for _ in range(2)] == [200, 502]
        budget.release(budget.limit)


@loopback
async def test_few_requests_of_one_client_are_served_in_one_turn_of_the_event_loop():
    """Guards against a client that holds up all others: one read once served 2,400 short requests."""
    async with connected_client() as (sidecar, app, _connection):
        loop, served = asyncio.get_running_loop(), [0]
        serve_request = sidecar.inbound.serve_request

        def count_and_serve(*args):
            served[-1] += 1
            serve_request(*args)

        def next_turn():
            served.append(0)
            if sum(served) < 3000:
                loop.call_soon(next_turn)

        sidecar.inbound.serve_request = count_and_serve
        short_request = b"GET /nowhere HTTP/1.1\r\n\r\n"
        loop.call_soon(next_turn)
        app.writer.write(3000 * short_request)
        for _ in range(3000):
            assert (await app.answer()).status == 404
        assert max(served) <= LARGEST_READ // len(short_request) + 1


class CountingSink:
    """Receiver of the parts of a body."""

    def __init__(self):
        self.parts = []

    def feed(self, data):
        self.parts.append(bytes(data))


class LargeBodyReceiver:
    """Client connection that passes each body on from its first byte."""

    def __init__(self):
        self.sink = CountingSink()

    def request_begun(self):
        pass

    def head_read(self, message):
        pass

    def large_body_begun(self, message):
        self.sink.feed(message.body)
        message.body.clear()
        return self.sink


def test_the_chunks_of_one_read_of_a_request_are_passed_on_together(monkeypatch):
    """Guards against a client that holds up all others with chunks of one byte, each written by itself."""
    monkeypatch.setattr(request_parser, "MAX_BUFFERED_BYTES", 0)
    receiver = LargeBodyReceiver()
    parser = RequestParser(receiver, MemoryBudget(2**30))
    parser.feed(partners.request("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked"))
    for _ in range(3):
        parser.feed(1000 * b"1\r\nx\r\n")
    assert b"".join(receiver.sink.parts) == 3000 * b"x"
    assert len(receiver.sink.parts) <= 4


def test_the_chunks_of_one_read_of_an_answer_are_passed_on_together():
    """Guards against a server that holds up all others with chunks of one byte."""
    parser, sink = AnswerParser(), CountingSink()
    parser.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    parser.sink = sink.feed
    for _ in range(3):
        parser.feed(1000 * b"1\r\nx\r\n")
    parser.feed(b"5\r\nhello\r\n0\r\n\r\n")
    assert sink.parts == [1000 * b"x"] * 3 + [b"hello"] and parser.complete


@loopback
async def test_a_short_answer_is_served_while_more_memory_is_used_than_allowed():
    """Guards against attempts that fail for want of memory although they need none."""

    async def answer_in_two_parts(reader, writer):
        writer.write(OK[:30])
        await asyncio.sleep(0.05)
        return OK[30:]

    upstream = await Upstream([answer_in_two_parts]).start()
    async with connected_client(upstream, balancer=ScriptedBalancer()) as (sidecar, app, _connection):
        budget = sidecar.inbound.budget
        budget.reserve_anyway(2 * budget.limit)
        assert (await app.ask()).body == b"done"
        budget.release(2 * budget.limit)


def test_little_is_buffered_of_an_answer_that_is_not_meant_for_the_client():
    """Guards against the bodies of servers' errors, which are in no memory budget."""
    parser = AnswerParser()
    parser.feed(b"HTTP/1.1 500 Oops\r\nContent-Length: 100000\r\n\r\n")
    for _ in range(20):
        parser.feed(3000 * b"x")
    assert parser.status == 500 and len(parser.body) <= MAX_UNUSED_BODY_BYTES
