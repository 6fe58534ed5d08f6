"""Heads of very many or long headers, and heads that arrive in pieces: what the sidecar keeps of them."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc

import pytest

from brassfall.sidecar.body import MemoryBudget
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.clients.request_parser import RequestParser
from brassfall.sidecar.framing import AnswerParser
from tests.support import loopback as partners
from tests.support.clients import connected_client, count_reading_requests, wait_until_released
from tests.support.large_messages import StreamingServer, chunked_body
from tests.support.loopback import OK, App, Upstream, loopback, running, until

SHORT_HEADERS = {f"x_{number:04}": "a3" for number in range(1800)}  # 21 kB, which fit the limit of a head
PARSERS = 40  # number of messages over which the memory of one is averaged
PIECE_BYTES = 1024


class Receiver:
    """Client connection that takes notice of nothing."""

    def request_begun(self):
        pass

    def head_read(self, message):
        pass


@contextlib.contextmanager
def traced_memory():
    """Yield a function that returns the number of bytes allocated since the beginning of the block."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    try:
        yield lambda: tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def feed_in_pieces(parser, data):
    for begin in range(0, len(data), PIECE_BYTES):
        piece = data[begin : begin + PIECE_BYTES]
        parser.feed(piece)
        if isinstance(parser, RequestParser):
            parser.check_size(piece)


@pytest.mark.parametrize("missing", [1, 1100])
def test_an_incomplete_request_takes_little_more_memory_than_its_bytes(missing):
    """Guards against headers that take 30 times their size in memory: 46 peers once took 27 MB with 1 MB."""
    message = partners.request("POST", "/pay", b"x" * 1000, **SHORT_HEADERS)[:-missing]
    with traced_memory() as allocated:
        parsers = [RequestParser(Receiver(), MemoryBudget(2**30)) for _ in range(PARSERS)]
        for parser in parsers:
            feed_in_pieces(parser, message)
        assert allocated() / PARSERS < 2 * len(message) + 8192


def test_an_incomplete_answer_takes_little_more_memory_than_its_bytes():
    """Guards against the same memory for the heads of servers' answers."""
    lines = b"".join(b"%x:\r\n" % number for number in range(2500))
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n" + lines + b"\r\n"
    with traced_memory() as allocated:
        parsers = [AnswerParser() for _ in range(PARSERS)]
        for parser in parsers:
            feed_in_pieces(parser, head)
        assert parsers[0].header(b"content-length") == b"100"
        assert allocated() / PARSERS < 2 * len(head) + 8192


@loopback
async def test_incomplete_heads_use_no_more_memory_than_the_budget():
    """Guards against heads that are in no memory budget: those without memory left get 503."""
    async with running(raw={"limits": {"sockets": 1024, "memory_mb": 1}}) as sidecar:
        budget = sidecar.inbound.budget
        beginning = partners.request(**SHORT_HEADERS)[:-2]
        apps = [await App.connect(sidecar.address) for _ in range(20)]
        for app in apps[:10]:
            app.writer.write(beginning)
        await until(lambda: count_reading_requests(sidecar) == 10)
        await until(lambda: budget.used >= 10 * (len(beginning) - 2 * 2048))
        for app in apps[10:]:
            app.writer.write(beginning)
        assert 503 in [(await app.answer()).status for app in apps[10:]]
        assert budget.used <= budget.limit
        for app in apps:
            app.close()
        await wait_until_released(sidecar)


@loopback
async def test_a_long_head_is_served_in_any_pieces():
    """Guards against 431 for a head below the limit: its bytes once counted twice when it came in pieces."""
    upstream = await Upstream([OK]).start()
    async with connected_client(upstream) as (_sidecar, app, _connection):
        message = partners.request(X_Long="x" * 14_000)
        for begin in range(0, len(message), PIECE_BYTES):
            app.writer.write(message[begin : begin + PIECE_BYTES])
            await asyncio.sleep(0.002)
        assert (await app.answer()).body == b"done"
        assert (await app.ask(**SHORT_HEADERS)).body == b"done"


@pytest.mark.parametrize("framing", ["length", "chunks"])
@loopback
async def test_a_short_head_behind_a_long_body_is_served_in_any_pieces(framing):
    """Guards against 431 for a short head: bytes of the request before it once counted as part of it."""
    upstream = await StreamingServer([OK]).start()
    async with connected_client(upstream) as (_sidecar, app, connection):
        body = b"x" * 40_000
        with_body = partners.request("POST", "/pay", body)
        if framing == "chunks":
            head = partners.request("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
            with_body = head + chunked_body(body)
        app.writer.write(with_body + partners.request()[:40])
        assert (await app.answer()).body == b"done"
        await until(lambda: connection.state is ConnectionState.READING_REQUEST)
        app.writer.write(partners.request()[40:] + partners.request())
        assert [(await app.answer()).status for _ in range(2)] == [200, 200]
