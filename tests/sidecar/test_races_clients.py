"""The application's connections at narrow moments: a client that leaves, and input that is bad."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from brassfall.balancer.model import Refuse, Send, Timer
from brassfall.sidecar import framing
from brassfall.sidecar.clients import client_connection, connection_timeouts, read_control
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.clients.read_control import Hold
from tests.support import loopback as partners
from tests.support import system_calls
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    Scripted,
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
LONG_BUDGET = "60000m"  # no deadline comes before the end of what is waited for
TLS = b"\x16\x03\x01\x00\xa5\x01\x00\x00\xa1\x03\x03" + bytes(range(160))
READY = b"GET /health/ready HTTP/1.1\r\n\r\n"


def status_of(answer):
    return int(answer.start.split(" ")[1])


async def nothing_left(sidecar):
    """No request, no room and no connection is held any more."""
    driver = sidecar.driver
    await until(lambda: sidecar.inbound.empty and driver.idle and not driver._requests)
    assert sidecar.inbound.budget.used == 0


async def connection_of(sidecar):
    """The only connection of the application."""
    await until(lambda: sidecar.inbound.connections)
    (connection,) = sidecar.inbound.connections
    return connection


async def write_a_little_too_much(connection):
    """More than the sockets hold, though not so much that nothing is read."""
    stays = 0
    while stays < 10:  # the kernel passes on what it has
        stays += 1
        if not connection.transport.get_write_buffer_size():
            connection.write(b"x" * 8192)
            stays = 0
        await asyncio.sleep(0.002)
    assert not connection.read_control.holds(Hold.UNREAD_ANSWERS)


def end_sending(app):
    app.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)


def reset(app):
    """Close with a reset, whatever is unread."""
    linger = struct.pack("ii", 1, 0)
    app.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    app.writer.transport.abort()


LEAVE = pytest.mark.parametrize("leave", [end_sending, App.close, reset])


# --- a client that leaves while nothing is read of it ---------------------------------


class Later(Scripted):
    """Sends nothing at a request's arrival, and what waits still when `send` is called."""

    def __init__(self):
        super().__init__(request=lambda now, arrival: [])

    def send(self, sidecar):
        gone = {number for (number,) in self.named("client_gone")}
        for (arrival,) in self.named("request"):
            if arrival.request not in gone:
                sidecar.driver._act(Send(arrival.request, "s0", 0.0))


@LEAVE
@loopback
async def test_a_client_that_leaves_is_noticed_while_its_answers_lie_unread(leave):
    upstream = await Upstream([OK]).start()
    module = Later()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        small_buffers(connection.transport, app.writer.transport)
        app.writer.transport.pause_reading()
        app.send(X_Budget=LONG_BUDGET)
        app.send(X_Budget=LONG_BUDGET)
        await until(lambda: len(module.named("request")) == 2)
        connection.write(LARGE)  # of an answer before: past what the sockets hold
        assert connection.read_control.holds(Hold.UNREAD_ANSWERS) and not connection.transport.is_reading()
        app.send("POST", "/pay", b"unread")
        leave(app)
        await until(lambda: len(module.named("client_gone")) == 2)
        module.send(sidecar)
        app.close()
        await nothing_left(sidecar)
        assert not upstream.seen and len(module.named("request")) == 2


@LEAVE
@loopback
async def test_a_client_that_leaves_is_noticed_while_its_body_waits_for_a_server(leave):
    upstream = await Upstream([OK]).start()
    module = Later()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        # The rest stays with the client: its end comes no further than what a full socket holds.
        whole = partners.request("POST", "/pay", LARGE, X_Budget=LONG_BUDGET)
        sent = 0

        def waits():
            nonlocal sent
            app.writer.write(whole[sent : sent + 16_384])
            sent += 16_384
            return connection.read_control.holds(Hold.SLOW_SERVER)

        await until(waits)
        assert not connection.transport.is_reading()
        leave(app)
        await until(lambda: module.named("client_gone"))
        module.send(sidecar)
        app.close()
        await nothing_left(sidecar)
        assert not upstream.seen and not upstream.writers


@LEAVE
@loopback
async def test_a_client_that_leaves_is_noticed_though_a_part_of_an_answer_is_still_buffered(leave):
    upstream = await Upstream([OK]).start()
    module = Later()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        small_buffers(connection.transport, app.writer.transport)
        app.writer.transport.pause_reading()
        app.send(X_Budget=LONG_BUDGET)
        await until(lambda: module.named("request"))
        await write_a_little_too_much(connection)
        leave(app)
        await until(lambda: module.named("client_gone"))
        module.send(sidecar)
        app.close()
        await nothing_left(sidecar)
        assert not upstream.seen


@loopback
async def test_a_client_that_ends_its_sending_and_reads_nothing_is_let_go(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "UNREAD_S", 0.1)
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        small_buffers(connection.transport, app.writer.transport)
        app.writer.transport.pause_reading()
        await write_a_little_too_much(connection)
        end_sending(app)
        await nothing_left(sidecar)


@loopback
async def test_a_client_that_ends_its_sending_is_given_the_answers_that_are_on_their_way(caplog):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        small_buffers(connection.transport, app.writer.transport)
        connection.write(LARGE)
        end_sending(app)
        await until(lambda: connection.transport.is_closing())
        for _ in range(10):
            connection.write(b"more")  # of what is passed on: it is dropped, and no warning is told
        async with asyncio.timeout(PATIENCE_S):
            assert len(await app.reader.read()) == len(LARGE)
        await nothing_left(sidecar)
        assert not caplog.records


@loopback
async def test_a_client_that_reads_a_long_answer_slowly_has_not_gone(monkeypatch):
    monkeypatch.setattr(read_control, "LOOK_S", 0.001)
    looks = []
    monkeypatch.setattr(
        framing, "peer_closed", lambda transport, look=framing.peer_closed: looks.append(look(transport))
    )
    upstream = await Upstream([LONG, OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        small_buffers(connection.transport, app.writer.transport)
        app.writer.transport.pause_reading()
        app.send(X_Budget=LONG_BUDGET)
        await until(lambda: connection.read_control.holds(Hold.UNREAD_ANSWERS) and len(looks) > 20)
        app.writer.transport.resume_reading()
        assert (await app.answer()).body == LARGE
        assert not any(looks)
        assert (await app.ask()).body == b"done"
        app.close()
        await nothing_left(sidecar)


# --- a client that left before its request was read -------------------------------------


@contextlib.asynccontextmanager
async def not_accepting(sidecar):
    """Connections wait in the kernel meanwhile."""
    sidecar.inbound.listener.pause(PATIENCE_S)
    yield
    sidecar.inbound.listener.resume()


@LEAVE
@pytest.mark.parametrize("body", [b"", b"x" * 100_000])
@loopback
async def test_a_request_that_waited_to_be_accepted_is_not_sent_on_once_its_client_left(leave, body):
    upstream = await Upstream([OK]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        async with not_accepting(sidecar):
            app = await App.connect(sidecar.address)
            app.send("POST", "/pay", body)
            leave(app)
        staying = await App.connect(sidecar.address)
        assert (await staying.ask()).body == b"done"
        await until(lambda: len(sidecar.inbound.connections) == 1)
        assert len(module.named("request")) == len(upstream.seen) == 1
        app.close()
        staying.close()
        await nothing_left(sidecar)


@loopback
async def test_a_request_that_was_not_read_under_a_long_answer_is_not_sent_on_once_its_client_left(
    monkeypatch,
):
    monkeypatch.setattr(read_control, "LOOK_S", 60.0)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        small_buffers(connection.transport, app.writer.transport)
        assert (await app.ask()).body == b"done"
        connection.write(LARGE)
        app.send("POST", "/pay", b"later")
        end_sending(app)
        async with asyncio.timeout(PATIENCE_S):
            assert len(await app.reader.read()) == len(LARGE)
        await nothing_left(sidecar)
        assert len(upstream.seen) == 1


@loopback
async def test_requests_that_came_with_the_end_behind_another_are_not_sent_on():
    upstream = await Upstream([OK, hang]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        # In one go: the loop reads the bytes in one turn and the end in the next.
        app.writer.write(3 * partners.request(X_Budget="300m"))
        end_sending(app)
        await until(lambda: module.named("client_gone"))
        assert len(module.named("request")) == 2
        app.close()
        await nothing_left(sidecar)


@loopback
async def test_a_peer_that_asks_whether_it_is_ready_and_sends_no_more_is_told():
    async with running() as sidecar:
        async with not_accepting(sidecar):
            app = await App.connect(sidecar.address)
            app.writer.write(READY)
            end_sending(app)
        assert status_of(await app.answer()) == 200
        await nothing_left(sidecar)


@LEAVE
@loopback
async def test_a_request_knows_that_its_client_left_before_the_loop_has_told_so(leave):
    module = Later()
    async with running(balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        app.send("POST", "/pay", b"x")
        await until(lambda: module.named("request"))
        (exchange,) = connection.pending_requests
        assert not exchange.client_left()
        leave(app)
        if leave is not end_sending:
            await asyncio.sleep(0)  # its own end closes a turn later
        assert exchange.client_left() and not module.named("client_gone")
        await until(lambda: module.named("client_gone"))
        assert len(module.named("client_gone")) == 1
        assert exchange.client_left()
        app.close()
        await nothing_left(sidecar)


@pytest.mark.parametrize("number", system_calls.BROKEN)
@pytest.mark.parametrize("call", ["recv", "send"])
@loopback
async def test_a_broken_connection_is_a_client_that_left_whatever_the_error(number, call, caplog):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        app.send()
        await until(lambda: upstream.seen)
        with Faults() as faults:
            port = app.writer.get_extra_info("sockname")[1]
            faults.script(call, number, on=lambda sock: sock.getpeername()[1] == port)
            app.writer.write(b"GET") if call == "recv" else release.set()
            await until(lambda: faults.injected[call, number] == 1)
            await until(lambda: connection not in sidecar.inbound.connections)
        release.set()
        await nothing_left(sidecar)
        other = await App.connect(sidecar.address)
        assert (await other.ask()).body == b"done"
        app.close()
        other.close()
        assert not caplog.records


@loopback
async def test_reads_and_writes_of_one_byte_change_nothing_of_what_is_said():
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
        assert [status_of(answer) for answer in answers] == [200, 200, 400]
        assert [answer.body for answer in answers[:2]] == [b"done", b"done"]
        assert [seen.body for seen in upstream.seen] == [b"", b"hello"]
        app.close()
        await nothing_left(sidecar)


# --- answers that end their connection ----------------------------------------------------


@loopback
async def test_a_request_behind_one_that_is_refused_in_a_crowd_has_its_answer_too():
    # The refusal ended the connection, and what was read behind it got no answer.
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait, OK]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(lambda: upstream.seen)
        (connection,) = sidecar.inbound.connections
        soft, sidecar.inbound.limits.requests = sidecar.inbound.limits.requests, 0
        app.send("POST", "/pay", b"refused")
        await until(lambda: len(connection.pending_requests) == 2)
        sidecar.inbound.limits.requests = soft
        app.send()
        await until(lambda: len(connection.pending_requests) == 3)
        release.set()
        answers = [await app.answer() for _ in range(3)]
        assert [status_of(answer) for answer in answers] == [200, 503, 200]
        assert not any("connection" in answer.headers for answer in answers)
        app.close()
        await nothing_left(sidecar)
        assert len(module.named("request")) == len(upstream.seen) == 2


@pytest.mark.parametrize("target", ["/look", "/health/ready", "/nowhere"])
@pytest.mark.parametrize("count", [2, 15, 40, 300])
@loopback
async def test_all_requests_that_were_read_at_once_are_answered_before_the_connection_ends(target, count):
    # The first answer ended the connection, and so did the 16th request: what was read behind them got none.
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.inbound.last_answers()
        app.writer.write(count * partners.request(target=target, X_Budget=LONG_BUDGET))
        answers = [await app.answer() for _ in range(count)]
        assert len({answer.start for answer in answers}) == 1
        assert [answer.headers.get("connection") for answer in answers] == [None] * (count - 1) + ["close"]
        assert await app.answer() is None
        await nothing_left(sidecar)


@pytest.mark.parametrize("behind", [b"", b"GARBAGE\r\n\r\n", TLS, partners.request()])
@loopback
async def test_an_answer_that_is_given_at_once_comes_whatever_follows_its_last_request(behind):
    # What was no request behind it kept an answer that was there from being written.
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(READY.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") + behind)
        answer = await app.answer()
        assert (status_of(answer), answer.headers["connection"]) == (200, "close")
        assert await app.answer() is None
        app.close()
        await nothing_left(sidecar)


@loopback
async def test_no_more_is_read_while_many_requests_wait_for_their_answers():
    upstream = await Upstream([hang]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        for sent in range(1, client_connection.MAX_PENDING + 1):
            app.send(X_Budget="400m")
            await until(lambda sent=sent: len(module.named("request")) == sent)
        app.send()
        await until(lambda: connection.readable)
        assert len(module.named("request")) == client_connection.MAX_PENDING
        answers = [await app.answer() for _ in range(client_connection.MAX_PENDING)]
        assert {status_of(answer) for answer in answers} == {504}
        await until(lambda: len(module.named("request")) == client_connection.MAX_PENDING + 1)
        app.close()
        for writer in upstream.writers:
            writer.transport.abort()
        await nothing_left(sidecar)


@loopback
async def test_a_request_that_comes_once_the_end_was_told_is_left_unread(monkeypatch):
    # It was read and dropped: its client can't tell that it may be sent again.
    release = asyncio.Event()

    async def long(reader, writer):
        writer.write(LONG[: len(LONG) // 2])
        await release.wait()
        return LONG[len(LONG) // 2 :]

    upstream = await Upstream([long]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        sidecar.inbound.last_answers()
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
        assert connection.readable and len(module.named("request")) == 1
        app.close()
        await nothing_left(sidecar)


@loopback
async def test_what_waits_behind_an_answer_that_the_end_of_its_connection_ends_is_not_awaited(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_S", 60.0)
    first = asyncio.Event()

    async def till_end(reader, writer):
        await first.wait()
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE)
        writer.close()

    upstream, stuck = await Upstream([till_end]).start(), await Upstream([hang]).start()
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s1" if arrival.request_class else "s0", 0.0)]
    )
    async with running(upstream, stuck, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        old = partners.request(Connection="keep-alive").replace(b"HTTP/1.1", b"HTTP/1.0")
        app.writer.write(old)
        await until(lambda: upstream.seen)
        app.send("POST", "/pay", X_Budget=LONG_BUDGET)
        await until(lambda: stuck.seen)
        first.set()
        async with asyncio.timeout(PATIENCE_S):
            assert (await app.reader.read()).endswith(LARGE)
        await until(lambda: module.named("client_gone"))
        app.close()
        stuck.writers[0].transport.abort()  # or the attempt is awaited for its outcome
        await nothing_left(sidecar)


@loopback
async def test_no_attempt_waits_for_the_rest_of_a_body_that_was_answered(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_S", 0.05)

    class ReadsOn(Upstream):
        async def _serve(self, reader, writer):
            await reader.read()
            writer.close()

    upstream = await ReadsOn().start()
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0", 0.0), Timer(50.0, str(arrival.request))],
        timer=lambda now, number: [Refuse(int(number), 0.0)],
    )
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request("POST", "/pay", LARGE)[:200_000])
        assert status_of(await app.answer()) == 503
        await nothing_left(sidecar)
        assert [last for _, _, last in module.outcomes()] == [True]


# --- input that is bad ----------------------------------------------------------------------

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
    monkeypatch.setattr(connection_timeouts, "INCOMPLETE_S", 0.1)
    monkeypatch.setattr(connection_timeouts, "LINGER_S", 0.1)
    raw, status = BAD[what]
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(raw)
        answer = await app.answer()
        while answer is not None and " 100 " in answer.start:
            answer = await app.answer()
        assert (answer and status_of(answer)) == status
        other = await App.connect(sidecar.address)
        assert (await other.ask()).body == b"done"
        other.close()
        with contextlib.suppress(ConnectionError):
            await app.reader.read()
        await nothing_left(sidecar)
        assert len(upstream.seen) == 1 and not caplog.records


@loopback
async def test_a_peer_that_sent_something_at_the_end_of_its_time_is_closed_all_the_same(monkeypatch):
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        connection.timeouts.stop_request()
        monkeypatch.setattr(connection_timeouts, "INCOMPLETE_S", 0.0)
        app.writer.write(b"\r\n")
        assert connection.readable
        connection.timeouts.check_request()
        assert await app.answer() is None
        await nothing_left(sidecar)


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
        await nothing_left(sidecar)


@pytest.mark.parametrize("begin", [b"", partners.request("POST", "/pay", Content_Length="60000000")])
@loopback
async def test_a_peer_that_sends_60_mb_is_answered_while_it_sends_and_costs_the_others_nothing(begin):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(begin + b"x" * 60_000_000)
        assert status_of(await app.answer()) == (413 if begin else 400)
        other = await App.connect(sidecar.address)
        assert (await other.ask()).body == b"done"
        assert sidecar.inbound.budget.used == 0
        with contextlib.suppress(ConnectionError):
            await app.reader.read()
        other.close()
        await nothing_left(sidecar)
        assert len(upstream.seen) == 1


@loopback
async def test_a_body_in_endless_chunks_that_drip_is_cut_off_and_frees_the_server(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "INCOMPLETE_S", 0.2)
    monkeypatch.setattr(connection_timeouts, "BODY_BYTES_PER_S", 10_000_000)
    module = Scripted()
    reads = asyncio.Event()

    class ReadsOn(Upstream):
        async def _serve(self, reader, writer):
            reads.set()
            await reader.read()
            writer.close()

    upstream = await ReadsOn().start()
    async with running(upstream, balancer=module) as sidecar:
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
        assert status_of(await app.answer()) == 408
        dripping.cancel()
        await nothing_left(sidecar)
        assert len(module.named("client_gone")) == 1 and not sidecar.pool._connections


@LEAVE
@loopback
async def test_the_requests_of_a_peer_that_sends_a_lot_and_goes_are_not_awaited(leave):
    upstream = await Upstream([hang]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request(X_Budget="500m"))
        await until(lambda: module.named("request"))
        app.writer.write(200 * partners.request(X_Budget="500m") + b"x" * 30_000)
        leave(app)
        await until(lambda: len(module.named("client_gone")) == len(module.named("request")))
        app.close()
        await nothing_left(sidecar)
        assert len(module.named("request")) <= 1 + client_connection.MAX_PENDING


@loopback
async def test_a_peer_that_goes_in_the_middle_of_a_head_leaves_nothing(caplog):
    async with running() as sidecar:
        for size in range(1, len(WHOLE), 7):
            app = await App.connect(sidecar.address)
            app.writer.write(WHOLE[:size])
            (App.close if size % 2 else reset)(app)
        await nothing_left(sidecar)
        assert not caplog.records


# --- the end of a connection, and the time that is a client's own ----------------------------


@loopback
async def test_an_answer_ends_its_connection_though_the_client_has_just_reset_it(monkeypatch):
    monkeypatch.setattr(read_control, "LOOK_S", 60.0)
    release = asyncio.Event()

    async def without_length(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(b"%x\r\n%b\r\n" % (len(LARGE), LARGE))
        await release.wait()
        return b"0\r\n\r\n"

    upstream = await Upstream([without_length]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
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
        await nothing_left(sidecar)


@loopback
async def test_the_time_in_which_nothing_is_read_of_a_client_is_not_its_own(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "INCOMPLETE_S", 0.3)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        small_buffers(connection.transport, app.writer.transport)
        app.writer.write(WHOLE[:-1])
        await until(lambda: connection.state is ConnectionState.READING_REQUEST)
        app.writer.transport.pause_reading()
        connection.write(LARGE)  # of an answer before
        app.writer.write(WHOLE[-1:])
        checks, check = [], connection.timeouts.check_request
        monkeypatch.setattr(
            connection_timeouts.ConnectionTimeouts,
            "check_request",
            lambda timeouts: checks.append(check()),
        )
        connection.timeouts.stop_request()
        connection.timeouts.start_request()
        await asyncio.sleep(0.4)
        assert checks and connection.read_control.paused
        assert connection.state is ConnectionState.READING_REQUEST
        app.writer.transport.resume_reading()
        async with asyncio.timeout(PATIENCE_S):
            await app.reader.readexactly(len(LARGE))
        assert (await app.answer()).body == b"done"
        app.close()
        await nothing_left(sidecar)


@loopback
async def test_a_client_that_left_and_stops_reading_shortly_before_the_end_is_let_go(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "UNREAD_S", 0.3)
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        small_buffers(connection.transport, app.writer.transport)
        app.writer.transport.pause_reading()
        connection.write(LARGE)
        end_sending(app)
        await until(lambda: connection.transport.is_closing())
        connection.resume_writing()  # what is buffered has fallen to a few KiB
        await nothing_left(sidecar)


@loopback
async def test_a_client_that_reads_on_slowly_is_given_all_of_a_long_answer(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "UNREAD_S", 0.3)
    async with running() as sidecar:
        app = await App.connect(sidecar.address)
        connection = await connection_of(sidecar)
        small_buffers(connection.transport, app.writer.transport)
        connection.write(LARGE)
        begun = asyncio.get_running_loop().time()
        got = 0
        async with asyncio.timeout(PATIENCE_S):
            while asyncio.get_running_loop().time() < begun + 0.8:
                assert connection.read_control.holds(Hold.UNREAD_ANSWERS)
                got += len(await app.reader.read(32_768))
                await asyncio.sleep(0.02)
            got += len(await app.reader.readexactly(len(LARGE) - got))
        app.close()
        await nothing_left(sidecar)
