"""Large messages flow through: nothing is gathered whole, and nothing that goes on is cut off."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from brassfall.balancer.model import Arrival, Fail, Outcome, Send, Timer
from brassfall.sidecar import body, framing
from brassfall.sidecar.clients import connection_timeouts
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.clients.read_control import Hold
from brassfall.sidecar.servers import server_connection
from tests.support import loopback as partners
from tests.support.helpers import balancer, of_type
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    Scripted,
    Upstream,
    break_off,
    loopback,
    running,
    small_buffers,
    until,
)

LARGE = bytes(range(256)) * 12_000  # 3 MB
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
PIECE = b"%x\r\n%b\r\n" % (len(LARGE), LARGE)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunks(data, size=100_000):
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nX-End: 1\r\n\r\n"


class Server(Upstream):
    """Reads a request by its framing, whatever that is; `slow` holds it up after so many bytes."""

    slow: asyncio.Event | None = None

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                if self.slow is not None:
                    await self.slow.wait()
                if "chunked" in head:
                    data = b""
                    while size := int(await reader.readuntil(b"\r\n"), 16):
                        data += (await reader.readexactly(size + 2))[:-2]
                    await reader.readexactly(2)
                else:
                    row = next((row for row in head.split("\r\n") if row.startswith("content-length")), ": 0")
                    data = await reader.readexactly(int(row.split(":")[1]))
                self.seen.append(data)
                reply = self.replies[0]
                writer.write(await reply(reader, writer) if callable(reply) else reply)
        writer.close()


async def answer_of(app):
    """Status and body of an answer in any framing; an unfinished one raises."""
    async with asyncio.timeout(PATIENCE_S):
        head = (await app.reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split(" ")[1])
        if "chunked" not in head:
            row = next(row for row in head.split("\r\n") if row.startswith("content-length"))
            return status, await app.reader.readexactly(int(row.split(":")[1]))
        data = b""
        while size := int(await app.reader.readuntil(b"\r\n"), 16):
            data += (await app.reader.readexactly(size + 2))[:-2]
        await app.reader.readexactly(2)
        return status, data


# --- requests -----------------------------------------------------------------------


@pytest.mark.parametrize("framed", ["length", "chunks"])
@loopback
async def test_a_large_request_reaches_a_server_complete_and_its_connection_goes_on(framed):
    upstream = await Server([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        if framed == "length":
            app.send("POST", "/pay", LARGE)
        else:
            app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
            app.writer.write(chunks(LARGE))
        assert await answer_of(app) == (200, b"done")
        assert upstream.seen == [LARGE]
        assert (await app.ask()).body == b"done"
        assert sidecar.driver.idle and not sidecar.driver._requests


@loopback
async def test_a_server_that_reads_slowly_stops_the_client_and_not_the_sidecar():
    upstream = await Server([OK]).start()
    upstream.slow = asyncio.Event()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked")
        sent = 0

        def stopped():
            """More, until the sidecar takes no more: how much the kernel holds is the machine's affair."""
            nonlocal sent
            (connection,) = sidecar.inbound.connections
            if connection.read_control.holds(Hold.SLOW_SERVER):
                return not connection.transport.is_reading()
            app.writer.write(PIECE)
            sent += 1
            return False

        await until(lambda: sidecar.inbound.connections)
        await until(stopped)
        upstream.slow.set()
        app.writer.write(b"0\r\n\r\n")
        assert await answer_of(app) == (200, b"done")
        assert len(upstream.seen[0]) == sent * len(LARGE)


@loopback
async def test_time_runs_from_the_last_byte_of_a_large_request():
    upstream = await Server([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        message = partners.request("POST", "/pay", LARGE, X_Budget="300m")
        app.writer.write(message[:-1])
        await asyncio.sleep(0.5)
        app.writer.write(message[-1:])
        assert await answer_of(app) == (200, b"done")


@loopback
async def test_a_server_that_answers_nothing_to_a_large_request_times_out():
    async def never(reader, writer):
        await reader.read()
        return b""

    upstream = await Server([never]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", LARGE, X_Budget="200m")
        assert (await answer_of(app))[0] == 504
        await until(lambda: not sidecar.driver._requests)


@loopback
async def test_a_buffered_body_can_be_resent_and_one_that_has_flowed_on_can_not():
    upstream = await Server([OK]).start()
    gone = await Server([OK]).start()
    gone.stop()  # refuses connections
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s1", 0.0)],
        outcome=lambda now, number, hop, status, *rest: [Send(number, "s0", 0.0)] if hop < 1 else [],
    )
    async with running(upstream, gone, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", LARGE)
        assert await answer_of(app) == (200, b"done")
        assert upstream.seen == [LARGE]
        assert [arrival.large for (arrival,) in module.named("request")] == [True]
        assert len(module.named("body_gone")) == 1


@loopback
async def test_a_large_request_that_flowed_on_is_sent_to_no_second_server():
    first = await Server().start()
    first.slow = asyncio.Event()
    module = Scripted(
        outcome=lambda now, number, hop, status, *rest: (
            [Send(number, "s0", 0.0)] if hop < 1 else [Fail(number)]
        )
    )
    async with running(first, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        # Its last byte stays with the client: whatever the kernel takes, it can't be written whole.
        app.writer.write(partners.request("POST", "/pay", LARGE)[:-1])
        await until(lambda: module.named("body_gone"))
        first.writers[0].transport.abort()
        assert (await answer_of(app))[0] == 502
        assert module.outcomes()[0] == (0, Outcome.CONNECT_FAILED, False)  # never written whole: never ran
        assert module.outcomes()[1][1] == Outcome.ABANDONED
        first.slow.set()


@loopback
async def test_a_client_that_stops_within_a_large_request_gets_an_error_and_frees_the_server(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "INCOMPLETE_S", 0.1)
    monkeypatch.setattr(connection_timeouts, "BODY_BYTES_PER_S", 10_000_000)
    upstream = await Server([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request("POST", "/pay", LARGE)[:-1])
        assert (await answer_of(app))[0] == 408
        await until(lambda: not sidecar.driver._requests and not sidecar.pool._connections)
        assert upstream.seen == []


@loopback
async def test_a_refused_large_request_is_answered_before_its_end():
    module = Scripted(request=lambda now, arrival: [Fail(arrival.request)])
    async with running(balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        message = partners.request("POST", "/pay", LARGE)
        app.writer.write(message[:200_000])
        assert (await answer_of(app))[0] == 502
        app.writer.write(message[200_000:])  # is read and dropped
        assert await app.reader.read() == b""


def test_a_body_that_ends_before_a_server_takes_it_is_complete_there():
    class Source:
        def pause(self):
            pass

        def resume(self):
            pass

    class Writer:
        def __init__(self):
            self.got, self.done = b"", False

        def write_part(self, data):
            self.got += data

        def body_complete(self):
            self.done = True

    made = body.Body(Source(), b"first", None)
    made.feed(b"second")
    made.end()
    for _ in range(2):  # all of it is held, and can go twice
        writer = Writer()
        made.attach(writer)
        assert (writer.got, writer.done) == (b"b\r\nfirstsecond\r\n0\r\n\r\n", True)
        made.detach(writer)
    assert not made.gone


def test_the_next_request_is_read_though_the_server_is_slow_to_the_end_of_this_one():
    class Source:
        reading = True

        def pause(self):
            self.reading = False

        def resume(self):
            self.reading = True

    class Full:
        def write_part(self, data):
            made.pause()

        def body_complete(self):
            pass

    source = Source()
    made = body.Body(source, b"first", 11)
    made.attach(Full())
    made.feed(b"second")
    assert not source.reading
    made.end()
    assert source.reading


# --- answers ------------------------------------------------------------------------


async def till_end(reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE)
    writer.close()
    return b""


@pytest.mark.parametrize("reply", [LENGTH % len(LARGE) + LARGE, CHUNKED + chunks(LARGE), till_end])
@loopback
async def test_a_large_answer_comes_complete_in_any_framing(reply):
    upstream = await Server([reply]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        for _ in range(2):
            app.send()
            assert await answer_of(app) == (200, LARGE)
        await until(lambda: sidecar.driver.idle and not sidecar.driver._requests)


@pytest.mark.parametrize("framed", ["length", "chunks"])
@loopback
async def test_the_beginning_goes_on_at_once_and_no_time_out_ends_the_rest(framed):
    more = asyncio.Event()

    async def in_two(reader, writer):
        first = LARGE[:1000]
        if framed == "length":
            writer.write(LENGTH % len(LARGE) + first)
        else:
            writer.write(CHUNKED + b"3e8\r\n%b\r\n" % first)
        await more.wait()
        return LARGE[1000:] if framed == "length" else chunks(LARGE[1000:])

    upstream = await Server([in_two]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="250m")
        head = await app.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        await asyncio.sleep(0.4)  # past the client's time
        sidecar.lifecycle.drain()
        more.set()
        app.reader._buffer[:0] = head  # whole again, for the one that reads it
        assert await answer_of(app) == (200, LARGE)


@loopback
async def test_a_stop_waits_for_what_a_server_still_gives():
    more = asyncio.Event()

    async def in_two(reader, writer):
        writer.write(LENGTH % len(LARGE) + LARGE[:1000])
        await more.wait()
        return LARGE[1000:]

    upstream = await Server([in_two]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="250m")
        head = await app.reader.readuntil(b"\r\n\r\n")
        stopping = asyncio.create_task(sidecar.drain())
        await asyncio.sleep(0.8)
        assert not stopping.done()
        more.set()
        app.reader._buffer[:0] = head
        assert await answer_of(app) == (200, LARGE)
        app.close()
        await stopping


@loopback
async def test_a_small_answer_without_a_length_that_breaks_is_asked_for_elsewhere():
    async def broken(reader, writer):
        writer.write(CHUNKED + b"5\r\nhe")
        await writer.drain()
        writer.close()
        return b""

    first, second = await Server([broken]).start(), await Server([OK]).start()
    module = Scripted(
        outcome=lambda now, number, hop, status, *rest: [Send(number, "s1", 0.0)] if hop < 1 else []
    )
    async with running(first, second, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"


@pytest.mark.parametrize("framed", ["length", "chunks"])
@loopback
async def test_a_client_can_tell_that_a_large_answer_is_broken(framed):
    async def half(reader, writer):
        writer.write(
            LENGTH % len(LARGE) + LARGE[:200_000] if framed == "length" else CHUNKED + chunks(LARGE)[:-9]
        )
        await writer.drain()
        return await break_off(reader, writer) or b""

    upstream = await Server([half]).start()
    module = Scripted()
    async with running(upstream, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await answer_of(app)
        await until(lambda: module.outcomes())
        assert module.outcomes() == [(0, Outcome.RESET, True)]
        assert len(module.named("answer_started")) == 1


@loopback
async def test_a_client_that_reads_slowly_stops_the_server_and_not_the_sidecar():
    given = 0
    enough = asyncio.Event()

    async def endless(reader, writer):
        nonlocal given
        writer.write(CHUNKED)
        while not enough.is_set():
            writer.write(PIECE)
            given += 1
            await writer.drain()
        return b"0\r\n\r\n"

    upstream = await Server([endless]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await until(
            lambda: sidecar.inbound.connections and sidecar.inbound.connections[0].read_control.paused
        )
        (connection,) = sidecar.inbound.connections
        buffered = connection.transport.get_write_buffer_size()
        assert buffered <= connection_timeouts.MAX_UNSENT + 2 * body.MAX_BUFFERED
        (server,) = sidecar.pool._connections
        assert not server._transport.is_reading()
        enough.set()
        _, data = await answer_of(app)
        assert len(data) == given * len(LARGE)


@loopback
async def test_a_slow_reader_is_given_the_end_though_it_has_sent_more(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "LINGER_S", 0.1)
    count, size = 12, 60_000  # more than the sockets hold
    release = asyncio.Event()

    async def last(reader, writer):
        await release.wait()
        return LENGTH % size + LARGE[:size]

    upstream, slow = await Upstream([LENGTH % size + LARGE[:size]]).start(), await Upstream([last]).start()
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s1" if arrival.request_class else "s0", 0.0)]
    )
    async with running(upstream, slow, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        await until(lambda: sidecar.inbound.connections)
        (connection,) = sidecar.inbound.connections
        small_buffers(connection.transport, app.writer.transport)
        app.writer.transport.pause_reading()
        for _ in range(count - 1):
            app.send(X_Budget="60000m")
        app.send("POST", "/pay", X_Budget="60000m", Connection="close")
        await until(lambda: slow.seen and len(connection.pending_requests) == 1)
        assert connection.read_control.paused
        app.send()
        await until(lambda: connection.readable)
        release.set()
        await until(lambda: connection.state is ConnectionState.LINGERING)
        await asyncio.sleep(0.3)
        app.writer.transport.resume_reading()
        for _ in range(count):
            answer = await app.answer()
            assert answer is not None and answer.body == LARGE[:size]
        await until(lambda: sidecar.inbound.empty)


@loopback
async def test_a_client_that_reads_nothing_is_closed(monkeypatch):
    monkeypatch.setattr(connection_timeouts, "UNREAD_S", 0.1)

    async def endless(reader, writer):
        writer.write(CHUNKED)
        while True:  # until the sidecar closes
            writer.write(PIECE)
            await writer.drain()

    upstream = await Server([endless]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.transport.pause_reading()
        app.send()
        await until(lambda: sidecar.inbound.connections)
        await until(lambda: sidecar.inbound.empty and sidecar.driver.idle and not sidecar.pool._connections)


@loopback
async def test_a_server_that_goes_silent_within_an_answer_is_given_up(monkeypatch):
    monkeypatch.setattr(server_connection, "STALLED_S", 0.1)

    async def stuck(reader, writer):
        writer.write(LENGTH % len(LARGE) + LARGE[:1000])
        await reader.read()
        return b""

    upstream = await Server([stuck]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await answer_of(app)


@loopback
async def test_a_client_that_leaves_within_an_answer_frees_the_server():
    async def stuck(reader, writer):
        writer.write(LENGTH % len(LARGE) + LARGE[:1000])
        await reader.read()
        return b""

    upstream = await Server([stuck]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        await app.reader.readuntil(b"\r\n\r\n")
        app.close()
        await until(lambda: not sidecar.driver._requests and not sidecar.pool._connections)
        assert sidecar.driver.idle


@loopback
async def test_large_answers_keep_the_order_of_pipelined_requests():
    upstream = await Server([LENGTH % len(LARGE) + LARGE]).start()
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    slow = await Server([wait]).start()
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0" if arrival.request_class else "s1", 0.0)],
        answer_started=lambda now, *rest: release.set() or [],
    )
    async with running(upstream, slow, balancer=module) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        app.send("POST", "/pay")
        app.send()
        assert await answer_of(app) == (200, b"done")
        assert await answer_of(app) == (200, LARGE)
        assert await answer_of(app) == (200, b"done")


@loopback
async def test_http_1_0_gets_no_chunks():
    upstream = await Server([CHUNKED + chunks(LARGE)]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request().replace(b"HTTP/1.1", b"HTTP/1.0"))
        async with asyncio.timeout(PATIENCE_S):
            head, _, data = (await app.reader.read()).partition(b"\r\n\r\n")
        assert b"chunked" not in head and data == LARGE


# --- memory --------------------------------------------------------------------------


@loopback
async def test_bodies_hold_no_more_than_the_budget():
    upstream = await Upstream([OK]).start()
    async with running(upstream, raw={"limits": {"sockets": 1024, "memory_mb": 1}}) as sidecar:
        budget = sidecar.inbound.budget
        assert budget.limit == 2**18
        apps = [await App.connect(sidecar.address) for _ in range(5)]
        message = partners.request("POST", "/pay", b"x" * 60_000)
        for app in apps[:4]:
            app.writer.write(message[:-1])
        await until(lambda: budget.used > 4 * 50_000)
        for refused in (message, partners.request("POST", "/pay", LARGE)):
            app = await App.connect(sidecar.address)
            app.writer.write(refused)
            assert (await app.answer()).status == 503
        for app in apps[:4]:
            app.writer.write(message[-1:])
            assert (await app.answer()).body == b"done"
        assert budget.used == 0
        apps[4].writer.write(message[:-1])
        await until(lambda: budget.used)
        apps[4].close()
        await until(lambda: not budget.used)
        assert len(upstream.seen) == 4


@loopback
async def test_a_large_message_takes_its_room_only_while_it_is_here():
    upstream = await Server([LENGTH % len(LARGE) + LARGE]).start()
    async with running(upstream) as sidecar:
        seen = []
        took = sidecar.driver.attempt_begun
        sidecar.driver.attempt_begun = lambda *args: (took(*args), seen.append(sidecar.inbound.budget.used))[
            0
        ]
        app = await App.connect(sidecar.address)
        app.send("POST", "/pay", LARGE)
        assert await answer_of(app) == (200, LARGE)
        assert seen == [2 * body.MAX_FLOWING] and sidecar.inbound.budget.used == 0


# --- all forms of HTTP/1.1 ---------------------------------------------------------------


@loopback
async def test_a_target_may_name_scheme_and_host():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(
            partners.request(target="/look/7?a=1").replace(b"/look", b"HTTP://api.internal:80/look", 1)
        )
        assert (await app.answer()).body == b"done"
        assert upstream.seen[0].start == "GET /look/7?a=1 HTTP/1.1"


@loopback
async def test_blanks_after_a_value_are_no_part_of_it():
    upstream = await Upstream([OK.replace(b"queue=0", b"queue=0 \t")]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        message = partners.request("POST", "/pay", b"hello").replace(b"\r\n", b" \t\r\n")
        app.writer.write(message.replace(b"HTTP/1.1 \t", b"HTTP/1.1", 1).replace(b"\r\n \t\r\n", b"\r\n\r\n"))
        assert (await app.answer()).body == b"done"
        assert upstream.seen[0].headers["x-call-id"] == "9b1f03aa5c7e2d41"


@pytest.mark.parametrize(
    ("target", "origin"),
    [
        (b"/a?u=http://x/y", b"/a?u=http://x/y"),
        (b"http://x", b"/"),
        (b"http://x?q", b"/?q"),
        (b"https://x:1/a/b", b"/a/b"),
        (b"ftp://x/a", b"ftp://x/a"),
    ],
)
def test_the_origin_form_of_a_target(target, origin):
    assert framing.origin_form(target) == origin


@loopback
async def test_who_expects_to_continue_is_answered_when_its_turn_comes():
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait, OK]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        message = partners.request("POST", "/pay", b"hello", Expect="100-Continue")
        app.writer.write(message[:-5])
        await until(lambda: upstream.seen)
        release.set()
        assert (await app.answer()).body == b"done"
        assert (await app.answer()).start.startswith("HTTP/1.1 100")
        app.writer.write(message[-5:])
        assert (await app.answer()).body == b"done"


# --- the module ---------------------------------------------------------------------------


def test_the_decisions_resend_no_body_that_has_flowed_on():
    made = balancer("safe")
    (send, *_) = of_type(made.request(0.0, Arrival(1, 0, 1000.0, large=True)), Send)
    assert of_type(made.outcome(1.0, 1, 0, Outcome.CONNECT_FAILED, 1.0), Send)
    made.body_gone(2.0, 1)
    assert not of_type(made.outcome(3.0, 1, 1, Outcome.CONNECT_FAILED, 1.0), Send)
    assert send.request == 1


def test_a_large_request_or_an_answer_that_has_begun_is_no_stalled_server():
    made = balancer("safe", servers=1)
    assert not of_type(made.request(0.0, Arrival(1, 0, 1000.0, large=True)), Timer)
    (due,) = of_type(made.request(0.0, Arrival(2, 0, 1000.0)), Timer)
    made.answer_started(100.0, 2, 0)
    made.timer(due.delay, due.token)
    (server,) = made._endpoints.servers.values()
    assert server.fault_share == 0.0 and made._shedder.probability(200.0) == 0.0 and not server.outstanding
    assert server.in_flight == 2
    made.outcome(5000.0, 2, 0, Outcome.OK, 100.0, True)
    made.outcome(5000.0, 1, 0, Outcome.OK, 100.0, True)
    assert server.in_flight == 0 and not made._requests
