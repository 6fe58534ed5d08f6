"""Invalid input of clients: it is answered or its connection is closed, and it reaches no server."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from brassfall.sidecar import framing
from brassfall.sidecar.clients import (
    connection_timeouts,
    request_parser,
)
from tests.support import loopback as partners
from tests.support.clients import wait_until_released
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    ScriptedBalancer,
    Upstream,
    loopback,
    running,
)

TLS_CLIENT_HELLO = b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03" + bytes(range(160))
UPGRADE_HEADERS = {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2_Settings": "AAMAAABk"}
CHUNKED_HEADERS = {"Content_Length": None, "Transfer_Encoding": "chunked"}
WHOLE_REQUEST = partners.request("POST", "/pay", b"hello")
# Input by test case, and the status of its answer; None if the connection is closed without an answer.
INVALID_INPUT = {
    "half of a request line": (WHOLE_REQUEST[:8], 408),
    "half of a head": (WHOLE_REQUEST[:60], 408),
    "a body without its last byte": (WHOLE_REQUEST[:-1], 408),
    "a head without its end": (WHOLE_REQUEST.partition(b"\r\n\r\n")[0] + b"\r\n", 408),
    "an endless request line": (b"GET /" + b"x" * 5_000_000, 431),
    "an endless header": (b"GET /look HTTP/1.1\r\nX-Long: " + b"x" * 5_000_000, 431),
    "endless headers": (b"GET /look HTTP/1.1\r\n" + b"X-Again: 0\r\n" * 400_000, 431),
    "endless empty lines": (b"\r\n" * 2_000_000, 400),
    "empty lines": (b"\r\n" * 10, None),
    "an endless extension of a chunk": (
        partners.request("POST", "/pay", **CHUNKED_HEADERS) + b"5;" + b"x" * 5_000_000,
        413,
    ),
    "a chunk without a valid size": (
        partners.request("POST", "/pay", **CHUNKED_HEADERS) + b"zz\r\nhello\r\n0\r\n\r\n",
        400,
    ),
    "a negative chunk": (
        partners.request("POST", "/pay", **CHUNKED_HEADERS) + b"-5\r\nhello\r\n0\r\n\r\n",
        400,
    ),
    "a chunk size that is too large": (
        partners.request("POST", "/pay", **CHUNKED_HEADERS) + b"f" * 17 + b"\r\nhello",
        400,
    ),
    "a chunk without its end": (
        partners.request("POST", "/pay", **CHUNKED_HEADERS) + b"5\r\nhelloworld",
        400,
    ),
    "chunks without the last chunk": (
        partners.request("POST", "/pay", **CHUNKED_HEADERS) + b"5\r\nhello\r\n" * 9,
        408,
    ),
    "length and chunks": (
        partners.request("POST", "/pay", Transfer_Encoding="chunked", Content_Length="5")
        + b"0\r\n\r\nGET /look HTTP/1.1\r\n\r\n",
        400,
    ),
    "chunks and length": (
        partners.request("POST", "/pay", **CHUNKED_HEADERS).replace(
            b"chunked", b"chunked\r\nContent-Length: 5"
        )
        + b"hello",
        400,
    ),
    "two lengths": (WHOLE_REQUEST.replace(b"Length: 5", b"Length: 5\r\nContent-Length: 6"), 400),
    "the same length twice": (WHOLE_REQUEST.replace(b"Length: 5", b"Length: 5\r\nContent-Length: 5"), 400),
    "a list of lengths": (WHOLE_REQUEST.replace(b"Length: 5", b"Length: 5, 5"), 400),
    "a length with a sign": (WHOLE_REQUEST.replace(b"Length: 5", b"Length: +5"), 400),
    "a length that is too large": (WHOLE_REQUEST.replace(b"Length: 5", b"Length: 99999999999999999999"), 400),
    "another coding before chunked": (
        partners.request("POST", "/pay", Content_Length=None, Transfer_Encoding="gzip, chunked")
        + b"5\r\nhello\r\n0\r\n\r\n",
        501,
    ),
    "the identity coding": (
        partners.request("POST", "/pay", Content_Length=None, Transfer_Encoding="identity") + b"hello",
        501,
    ),
    "bare line feeds": (WHOLE_REQUEST.replace(b"\r\n", b"\n"), 400),
    "bare carriage returns": (WHOLE_REQUEST.replace(b"\r\n", b"\r"), 400),
    "a folded header": (WHOLE_REQUEST.replace(b"Length: 5", b"Length: 5\r\n 0"), 400),
    "a folded line that looks like a header": (
        WHOLE_REQUEST.replace(b"\r\nContent", b"\r\nX: y\r\n Transfer-Encoding: chunked\r\nContent"),
        400,
    ),
    "a blank before the colon": (WHOLE_REQUEST.replace(b"Length: 5", b"Length : 5"), 400),
    "zero bytes in a header value": (WHOLE_REQUEST.replace(b"Length: 5", b"Length: 5\0"), 400),
    "zero bytes in a target": (WHOLE_REQUEST.replace(b"/pay ", b"/pay\0 "), 400),
    "only zero bytes": (b"\0" * 1000, 400),
    "HTTP/0.9": (b"GET /look\r\n", 408),
    "HTTP/0.9 with headers": (partners.request().replace(b" HTTP/1.1", b""), 505),
    "HTTP/2.0": (partners.request().replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
    "the connection preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 400),
    "a TLS client hello": (TLS_CLIENT_HELLO, 400),
    "a CONNECT request": (
        b"CONNECT api.internal:443 HTTP/1.1\r\nHost: api.internal\r\n\r\n" + TLS_CLIENT_HELLO,
        404,
    ),
    "an upgrade with a body": (partners.request("POST", "/pay", b"hello", **UPGRADE_HEADERS), 400),
    "an expected body that never comes": (
        partners.request("POST", "/pay", b"hello", Expect="100-continue")[:-5],
        408,
    ),
    "nothing": (b"", None),
}


@pytest.mark.parametrize("case", INVALID_INPUT)
@loopback
async def test_invalid_input_is_answered_or_its_connection_closed_and_reaches_no_server(
    monkeypatch, caplog, case
):
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 0.1)
    raw, status = INVALID_INPUT[case]
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(raw)
        answer = await app.answer()
        while answer is not None and " 100 " in answer.start:
            answer = await app.answer()
        assert (answer and answer.status) == status
        other = await App.connect(sidecar.address)
        assert (await other.ask()).body == b"done"
        other.close()
        with contextlib.suppress(ConnectionError):
            await app.reader.read()
        await wait_until_released(sidecar)
        assert len(upstream.seen) == 1 and not caplog.records


@loopback
async def test_an_upgrade_offer_is_ignored_and_the_connection_stays_usable():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request(**UPGRADE_HEADERS) + partners.request(target="/look/2"))
        assert [(await app.answer()).body for _ in range(2)] == [b"done", b"done"]
        assert (await app.ask(target="/look/3")).body == b"done"
        assert [seen.start for seen in upstream.seen] == [
            f"GET /look{rest} HTTP/1.1" for rest in ("", "/2", "/3")
        ]
        assert not {"upgrade", "http2-settings"} & upstream.seen[0].headers.keys()
        app.close()
        await wait_until_released(sidecar)


@pytest.mark.parametrize("request_start", [b"", partners.request("POST", "/pay", Content_Length="60000000")])
@loopback
async def test_a_client_that_sends_60_mb_is_answered_while_it_sends_and_others_are_served(request_start):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(request_start + b"x" * 60_000_000)
        assert (await app.answer()).status == (413 if request_start else 400)
        other = await App.connect(sidecar.address)
        assert (await other.ask()).body == b"done"
        assert sidecar.inbound.budget.used == 0
        with contextlib.suppress(ConnectionError):
            await app.reader.read()
        other.close()
        await wait_until_released(sidecar)
        assert len(upstream.seen) == 1


@loopback
async def test_a_body_in_endless_slow_chunks_is_rejected_and_frees_the_server(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(connection_timeouts, "MIN_REQUEST_BYTES_PER_S", 10_000_000)
    balancer = ScriptedBalancer()
    server_reads, connection_ended = asyncio.Event(), asyncio.Event()

    class ReadsWithoutAnswer(Upstream):
        async def _serve(self, reader, writer):
            server_reads.set()
            with contextlib.suppress(ConnectionError):
                await reader.read()
            connection_ended.set()
            writer.close()

    upstream = await ReadsWithoutAnswer().start()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(
            partners.request("POST", "/pay", **CHUNKED_HEADERS) + b"20000\r\n" + b"x" * 0x20000 + b"\r\n"
        )
        await server_reads.wait()

        async def send_small_chunks():
            while True:
                app.writer.write(b"1\r\nx\r\n")
                await asyncio.sleep(0.005)

        sending = asyncio.create_task(send_small_chunks())
        assert (await app.answer()).status == 408
        sending.cancel()
        await wait_until_released(sidecar)
        assert len(balancer.named("client_gone")) == 1
        async with asyncio.timeout(PATIENCE_S):
            await connection_ended.wait()


@pytest.mark.parametrize(
    ("method", "target", "changes", "status"),
    [
        ("GET", "/nowhere", {"X_Call_Class": None}, 404),
        ("GET", "/", {"X_Call_Class": None}, 404),
        ("GET", "/nowhere", {}, 400),
        ("GET", "/look", {"X_Call_Class": None}, 400),
        ("GET", "/look", {"X_Call_Class": "book"}, 400),
        ("POST", "/look", {}, 400),
        ("GET", "/look", {"X_Call_Id": None}, 400),
        ("GET", "/look", {"X_Call_Id": ""}, 400),
        ("GET", "/look", {"X_Budget": None}, 400),
        ("GET", "/look", {"X_Budget": "480"}, 400),
        ("GET", "/look", {"X_Budget": "-3m"}, 400),
        ("GET", "/look", {"X_Budget": "0m"}, 400),
        ("GET", "/look", {"X_Budget": "999999999999m"}, 400),
        ("GET", "/look", {"X_Caller": None}, 400),
        ("GET", "/look", {"X_Caller": "nobody"}, 400),
        ("GET", "/look", {"X_Call_Cost": "much"}, 400),
        ("POST", "/book", {"Idempotency_Key": None}, 400),
        ("POST", "/pay", {"Content_Length": "40000000"}, 413),
        ("GET", "/look", {"X_Long": "x" * 20_000}, 431),
        ("GET", "/look", {"X_Long": "x" * 200_000}, 431),
        ("GET", "/look", {"Transfer_Encoding": "chunked", "Content_Length": "5"}, 400),
    ],
)
@loopback
async def test_a_request_that_fails_a_check_is_answered_without_a_server(method, target, changes, status):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask(method, target, **changes)).status == status
        again = await App.connect(sidecar.address)
        assert (await again.ask()).status == 200
        assert len(upstream.seen) == 1


@pytest.mark.parametrize(
    "raw", [b"\x16\x03\x01\x02\x00", b"GET\r\n\r\n", b"GET /look HTTP/1.1\r\n: x\r\n\r\n"]
)
@loopback
async def test_malformed_http_is_answered_400_and_the_connection_closed(raw):
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(raw)
        answer = await app.answer()
        assert (answer.status, answer.headers["connection"]) == (400, "close")
        assert await app.answer() is None


@loopback
async def test_a_chunked_body_that_is_too_large_is_answered_413(monkeypatch):
    monkeypatch.setattr(framing, "MAX_BODY_BYTES", 64 * 1024)
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
        for _ in range(9):
            app.writer.write(b"2000\r\n" + b"x" * 0x2000 + b"\r\n")
        assert (await app.answer()).status == 413


@loopback
async def test_a_client_that_is_still_sending_can_read_the_answer_to_its_rejected_request():
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", b"x" * 40_000_000)
        assert (await app.answer()).status == 413


@pytest.mark.parametrize("name", ["X-Call-Id", "X-Call-Class", "X-Budget", "Idempotency-Key"])
@loopback
async def test_a_request_with_a_repeated_header_reaches_no_server(name):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        message = partners.request("POST", "/book", b"x")
        (line,) = [line for line in message.split(b"\r\n") if line.startswith(name.encode())]
        app.writer.write(message.replace(line, line + b"\r\n" + line))
        assert (await app.answer()).status == 400
        assert not upstream.seen


@pytest.mark.parametrize("call_id", ["", "two words", "\xe9", "x" * 129])
@loopback
async def test_an_invalid_call_id_reaches_no_server(call_id):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask(X_Call_Id=call_id)).status == 400
        assert not upstream.seen


@loopback
async def test_a_trailer_is_not_forwarded_as_a_header():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
        app.writer.write(b"2\r\nhi\r\n0\r\nX-Call-Id: other\r\n\r\n")
        assert (await app.answer()).status == 200
        (seen,) = upstream.seen
        assert (seen.headers["x-call-id"], seen.body) == ("9b1f03aa5c7e2d41", b"hi")


@loopback
async def test_a_request_with_too_many_framing_bytes_is_rejected():
    # A trailer counts neither as head nor as body, so the limits on these do not stop an endless trailer.
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
        app.writer.write(b"0\r\nX-Trailer: " + b"x" * (2 * request_parser.MAX_FRAMING_BYTES))
        assert (await app.answer()).status == 413
