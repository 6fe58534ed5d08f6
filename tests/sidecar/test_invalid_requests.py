"""Input that is no valid request: it is answered or closed, and reaches no server."""

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
from tests.support.clients import released
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    ScriptedBalancer,
    Upstream,
    loopback,
    running,
)

TLS = b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03" + bytes(range(160))
UPGRADE = {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2_Settings": "AAMAAABk"}
CHUNKED = {"Content_Length": None, "Transfer_Encoding": "chunked"}
WHOLE = partners.request("POST", "/pay", b"hello")
BAD = {
    "half a request line": (WHOLE[:8], 408),
    "half a head": (WHOLE[:60], 408),
    "half a body": (WHOLE[:-1], 408),
    "a head without its end": (WHOLE.partition(b"\r\n\r\n")[0] + b"\r\n", 408),
    "an endless request line": (b"GET /" + b"x" * 5_000_000, 431),
    "an endless header": (b"GET /look HTTP/1.1\r\nX-Long: " + b"x" * 5_000_000, 431),
    "endless headers": (b"GET /look HTTP/1.1\r\n" + b"X-Again: 0\r\n" * 400_000, 431),
    "endless empty lines": (b"\r\n" * 2_000_000, 400),
    "empty lines": (b"\r\n" * 10, None),
    "an endless extension of a chunk": (
        partners.request("POST", "/pay", **CHUNKED) + b"5;" + b"x" * 5_000_000,
        413,
    ),
    "a chunk of no size": (partners.request("POST", "/pay", **CHUNKED) + b"zz\r\nhello\r\n0\r\n\r\n", 400),
    "a negative chunk": (partners.request("POST", "/pay", **CHUNKED) + b"-5\r\nhello\r\n0\r\n\r\n", 400),
    "a chunk past any size": (partners.request("POST", "/pay", **CHUNKED) + b"f" * 17 + b"\r\nhello", 400),
    "a chunk without its end": (partners.request("POST", "/pay", **CHUNKED) + b"5\r\nhelloworld", 400),
    "chunks without an end": (partners.request("POST", "/pay", **CHUNKED) + b"5\r\nhello\r\n" * 9, 408),
    "length and chunks": (
        partners.request("POST", "/pay", Transfer_Encoding="chunked", Content_Length="5")
        + b"0\r\n\r\nGET /look HTTP/1.1\r\n\r\n",
        400,
    ),
    "chunks and length": (
        partners.request("POST", "/pay", **CHUNKED).replace(b"chunked", b"chunked\r\nContent-Length: 5")
        + b"hello",
        400,
    ),
    "two lengths": (WHOLE.replace(b"Length: 5", b"Length: 5\r\nContent-Length: 6"), 400),
    "the same length twice": (WHOLE.replace(b"Length: 5", b"Length: 5\r\nContent-Length: 5"), 400),
    "a list of lengths": (WHOLE.replace(b"Length: 5", b"Length: 5, 5"), 400),
    "a length with a sign": (WHOLE.replace(b"Length: 5", b"Length: +5"), 400),
    "a length past any": (WHOLE.replace(b"Length: 5", b"Length: 99999999999999999999"), 400),
    "a coding before chunks": (
        partners.request("POST", "/pay", Content_Length=None, Transfer_Encoding="gzip, chunked")
        + b"5\r\nhello\r\n0\r\n\r\n",
        501,
    ),
    "a coding that is none": (
        partners.request("POST", "/pay", Content_Length=None, Transfer_Encoding="identity") + b"hello",
        501,
    ),
    "bare line feeds": (WHOLE.replace(b"\r\n", b"\n"), 400),
    "bare carriage returns": (WHOLE.replace(b"\r\n", b"\r"), 400),
    "a folded header": (WHOLE.replace(b"Length: 5", b"Length: 5\r\n 0"), 400),
    "a folded name": (
        WHOLE.replace(b"\r\nContent", b"\r\nX: y\r\n Transfer-Encoding: chunked\r\nContent"),
        400,
    ),
    "a blank before the colon": (WHOLE.replace(b"Length: 5", b"Length : 5"), 400),
    "zeros in a value": (WHOLE.replace(b"Length: 5", b"Length: 5\0"), 400),
    "zeros in a target": (WHOLE.replace(b"/pay ", b"/pay\0 "), 400),
    "zeros alone": (b"\0" * 1000, 400),
    "HTTP/0.9": (b"GET /look\r\n", 408),
    "HTTP/0.9 with headers": (partners.request().replace(b" HTTP/1.1", b""), 505),
    "HTTP/2.0": (partners.request().replace(b"HTTP/1.1", b"HTTP/2.0"), 505),
    "the preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\4\0\0\0\0\0", 400),
    "a client's hello of TLS": (TLS, 400),
    "a tunnel": (b"CONNECT api.internal:443 HTTP/1.1\r\nHost: api.internal\r\n\r\n" + TLS, 404),
    "an upgrade with a body": (partners.request("POST", "/pay", b"hello", **UPGRADE), 400),
    "an expected body that never comes": (
        partners.request("POST", "/pay", b"hello", Expect="100-continue")[:-5],
        408,
    ),
    "nothing": (b"", None),
}


@pytest.mark.parametrize("what", BAD)
@loopback
async def test_bad_input_is_answered_or_closed_and_reaches_no_server(monkeypatch, caplog, what):
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.1)
    monkeypatch.setattr(connection_timeouts, "LINGER_TIMEOUT_S", 0.1)
    raw, status = BAD[what]
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
        await released(sidecar)
        assert len(upstream.seen) == 1 and not caplog.records


@loopback
async def test_a_request_that_offers_another_protocol_gets_one_answer_and_its_connection_goes_on():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request(**UPGRADE) + partners.request(target="/look/2"))
        assert [(await app.answer()).body for _ in range(2)] == [b"done", b"done"]
        assert (await app.ask(target="/look/3")).body == b"done"
        assert [seen.start for seen in upstream.seen] == [
            f"GET /look{rest} HTTP/1.1" for rest in ("", "/2", "/3")
        ]
        assert not {"upgrade", "http2-settings"} & upstream.seen[0].headers.keys()
        app.close()
        await released(sidecar)


@pytest.mark.parametrize("begin", [b"", partners.request("POST", "/pay", Content_Length="60000000")])
@loopback
async def test_a_client_that_sends_60_mb_is_answered_while_it_sends_and_takes_nothing_from_others(begin):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(begin + b"x" * 60_000_000)
        assert (await app.answer()).status == (413 if begin else 400)
        other = await App.connect(sidecar.address)
        assert (await other.ask()).body == b"done"
        assert sidecar.inbound.budget.used == 0
        with contextlib.suppress(ConnectionError):
            await app.reader.read()
        other.close()
        await released(sidecar)
        assert len(upstream.seen) == 1


@loopback
async def test_a_body_in_endless_chunks_that_drip_is_cut_off_and_frees_the_server(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "REQUEST_TIMEOUT_S", 0.2)
    monkeypatch.setattr(connection_timeouts, "MIN_REQUEST_BYTES_PER_S", 10_000_000)
    balancer = ScriptedBalancer()
    reads, freed = asyncio.Event(), asyncio.Event()

    class ReadsOn(Upstream):
        async def _serve(self, reader, writer):
            reads.set()
            with contextlib.suppress(ConnectionError):
                await reader.read()
            freed.set()
            writer.close()

    upstream = await ReadsOn().start()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(
            partners.request("POST", "/pay", **CHUNKED) + b"20000\r\n" + b"x" * 0x20000 + b"\r\n"
        )
        await reads.wait()

        async def drip():
            while True:
                app.writer.write(b"1\r\nx\r\n")
                await asyncio.sleep(0.005)

        dripping = asyncio.create_task(drip())
        assert (await app.answer()).status == 408
        dripping.cancel()
        await released(sidecar)
        assert len(balancer.named("client_gone")) == 1
        async with asyncio.timeout(PATIENCE_S):
            await freed.wait()


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
async def test_a_request_that_can_not_be_forwarded_is_answered_at_once(method, target, changes, status):
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
async def test_malformed_http_is_answered_400_and_closed(raw):
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(raw)
        answer = await app.answer()
        assert (answer.status, answer.headers["connection"]) == (400, "close")
        assert await app.answer() is None


@loopback
async def test_a_body_in_chunks_that_grows_too_large_is_answered_413(monkeypatch):
    monkeypatch.setattr(framing, "MAX_BODY", 64 * 1024)
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
        for _ in range(9):
            app.writer.write(b"2000\r\n" + b"x" * 0x2000 + b"\r\n")
        assert (await app.answer()).status == 413


@loopback
async def test_a_client_that_is_still_sending_can_read_why_it_is_rejected():
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
        once = partners.request("POST", "/book", b"x")
        (row,) = [row for row in once.split(b"\r\n") if row.startswith(name.encode())]
        app.writer.write(once.replace(row, row + b"\r\n" + row))
        assert (await app.answer()).status == 400
        assert not upstream.seen


@pytest.mark.parametrize("number", ["", "two words", "\xe9", "x" * 129])
@loopback
async def test_an_invalid_call_id_reaches_no_server(number):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask(X_Call_Id=number)).status == 400
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
async def test_a_request_that_is_mostly_framing_is_rejected():
    # An endless trailer is no body, so neither bound on head and body meets it.
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
        app.writer.write(b"0\r\nX-Trailer: " + b"x" * (2 * request_parser.MAX_FRAMING_BYTES))
        assert (await app.answer()).status == 413
