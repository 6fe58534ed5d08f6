"""Races between a decided send and its outcome: each is forced, on real sockets, and at the end of
each test every request has had one answer, every attempt one outcome, and nothing is left over."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct

import pytest

from brassfall.balancer import Settings
from brassfall.balancer.events import AttemptEnded, EndpointsListed, SettingsReloaded
from brassfall.balancer.model import Cancel, Fail, ListForm, Listing, Outcome, Refuse, Send
from brassfall.sidecar.core import driver
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.interfaces import Answer, Result
from brassfall.sidecar.servers import pool as outbound
from brassfall.sidecar.servers import server_connection
from brassfall.sidecar.servers.exchange import Exchange
from tests.support import loopback as partners
from tests.support.helpers import CLASSES, arrival, balancer, of_type, raw_settings
from tests.support.loopback import (
    OK,
    SETTINGS,
    App,
    Gate,
    Hands,
    Scripted,
    Upstream,
    Waiting,
    asked,
    break_off,
    entry,
    failing,
    hang,
    hear,
    loopback,
    never_cancels,
    nothing_left,
    request_that_waits,
    small_buffers,
    tidy,
    told,
    until,
)

LARGE = b"0123456789abcdef" * 16384


def blame_of(sidecar, name):
    """What the decisions hold against a server, and against new connections."""
    module = sidecar.driver._balancer
    server = module._endpoints.servers[name]
    faults = (server.fault_share, server.consecutive_failures, module._ejector.connect_failures)
    return [fault for fault in faults if fault != 0]


# --- nobody wants it any more -----------------------------------------------------------


@pytest.mark.parametrize("real", [True, False])
@loopback
async def test_what_waits_for_its_connection_is_not_written_once_its_client_has_gone(monkeypatch, real):
    module = None if real else Scripted()
    async with request_that_waits(monkeypatch, module) as waiting:
        sidecar, upstream = waiting.sidecar, waiting.upstream
        waiting.app.close()
        await until(lambda: not sidecar.driver._requests)  # at once, not when the connection is up
        assert not waiting.gate.open.is_set()
        waiting.gate.open.set()
        await until(lambda: sidecar.pool._servers["s0"].idle)  # it was paid for: the next one has it
        if module is not None:
            assert module.outcomes() == [(0, Outcome.ABANDONED, True)]
            assert len(module.named("client_gone")) == 1 and not module.named("unsent")
        else:
            assert not blame_of(sidecar, "s0")
        assert (await (await App.connect(sidecar.address)).ask()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0]


@pytest.mark.parametrize("answer", [Refuse, Fail, "guard"])
@loopback
async def test_what_waits_for_its_connection_is_not_written_past_the_final_answer(monkeypatch, answer):
    module = Scripted()
    async with request_that_waits(monkeypatch, module) as waiting:
        sidecar = waiting.sidecar
        (request,) = sidecar.driver._requests.values()
        if answer == "guard":
            sidecar.driver._overdue(request)
        else:
            sidecar.driver._act(Refuse(request.id, 0.0) if answer is Refuse else Fail(request.id))
        waiting.gate.open.set()
        assert (await waiting.app.answer()).status in (502, 503, 504)
        await until(lambda: sidecar.pool._servers["s0"].idle)
        assert module.outcomes() == [(0, Outcome.ABANDONED, True)]
        assert waiting.upstream.seen == []


@loopback
async def test_a_copy_that_waits_for_its_connection_is_not_written_once_another_has_served(monkeypatch):
    late, quick = await Upstream([OK]).start(), await Upstream([OK]).start()
    gate = Gate(monkeypatch, [late])
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0", 0.0), Send(arrival.request, "s1", 0.0)]
    )
    async with tidy(late, quick, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        gate.open.set()
        await until(lambda: sidecar.pool._servers["s0"].idle)
        assert module.outcomes() == [(1, Outcome.OK, True), (0, Outcome.ABANDONED, True)]
        assert late.seen == []


@loopback
async def test_a_connection_that_comes_up_for_nobody_is_closed_where_its_server_leaves(monkeypatch):
    async with request_that_waits(monkeypatch, Scripted()) as waiting:
        sidecar = waiting.sidecar
        waiting.app.close()
        await until(lambda: not sidecar.driver._requests)
        sidecar.pool._leave(sidecar.driver._clock.now(), "s0", "leaving")
        waiting.gate.open.set()
        await until(lambda: waiting.upstream.writers and not sidecar.pool.opening)
        assert not sidecar.pool._servers["s0"].idle


@loopback
async def test_a_connection_that_comes_up_for_nobody_makes_room_where_the_pool_is_full(monkeypatch):
    late, quick = await Upstream([OK]).start(), await Upstream([OK]).start()
    gate = Gate(monkeypatch, [late])
    servers = iter(["s0", "s1"])
    module = Scripted(request=lambda now, arrival: [Send(arrival.request, next(servers), 0.0)])
    async with tidy(late, quick, balancer=module, **never_cancels()) as sidecar:
        sidecar.pool._most = 1
        app = await asked(sidecar)
        await until(lambda: gate.waiting)
        app.close()
        await until(lambda: not sidecar.driver._requests)
        assert (await (await App.connect(sidecar.address)).ask()).body == b"done"
        assert module.outcomes() == [(0, Outcome.ABANDONED, True), (0, Outcome.OK, True)]


@loopback
async def test_what_the_kernel_has_not_taken_completely_is_dropped_when_the_client_has_gone(monkeypatch):
    upstream = await Upstream([hang]).start()
    module = Scripted()
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await asked(sidecar)
        await until(lambda: upstream.seen)
        (connection,) = sidecar.pool._connections
        connection.written = False  # as if its last byte were still held back here
        app.close()
        await until(lambda: module.outcomes())
        assert module.outcomes() == [(0, Outcome.ABANDONED, True)]


@loopback
async def test_what_is_written_completely_goes_on_where_cancelling_is_not_allowed():
    go_on = asyncio.Event()

    async def wait(reader, writer):
        await go_on.wait()
        return OK

    upstream = await Upstream([wait]).start()
    module = Scripted()
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await asked(sidecar)
        await until(lambda: upstream.seen)
        app.close()
        await until(lambda: module.named("client_gone"))
        assert module.outcomes() == []
        go_on.set()
        await until(lambda: module.outcomes())
        assert module.outcomes() == [(0, Outcome.OK, True)]


# --- in time, at the moment of writing ---------------------------------------------------


def keyed(**changes):
    """One class under a key, of which every server of a zone may have a copy within its window."""
    profile = {**SETTINGS["Profiles"][1], **changes}
    return {**never_cancels(), "Profiles": [SETTINGS["Profiles"][0], profile]}


@contextlib.asynccontextmanager
async def retry_that_waits(monkeypatch, **changes):
    """A request under a key whose first attempt was reset, and whose retry waits for its connection."""
    servers = [await Upstream([break_off]).start() for _ in range(2)]
    async with tidy(*servers, **keyed(**changes)) as sidecar:
        gate = Gate(monkeypatch, servers, free=1)
        app = await asked(sidecar, "/book", "POST")
        await until(lambda: gate.waiting == 2)
        yield Waiting(sidecar, servers, gate, app)


def sent(servers):
    """How many requests these servers have read."""
    return sum(len(server.seen) for server in servers)


@loopback
async def test_a_retry_whose_connection_comes_up_past_its_window_is_not_written(monkeypatch):
    async with retry_that_waits(monkeypatch) as waiting:
        Hands(waiting.sidecar).on(1200.0 - driver.KEY_MARGIN_MS)  # its timer has not run
        waiting.gate.open.set()
        assert (await waiting.app.answer()).status == 502
        assert sent(waiting.upstream) == 1


@loopback
async def test_a_retry_that_waits_past_its_window_ends_then_with_the_final_answer(monkeypatch):
    async with retry_that_waits(monkeypatch, KeyTtl=700.0) as waiting:
        assert (await waiting.app.answer()).status == 502  # while it waits still
        assert not waiting.gate.open.is_set()
        waiting.gate.open.set()
        await until(lambda: any(server.idle for server in waiting.sidecar.pool._servers.values()))
        assert sent(waiting.upstream) == 1


@loopback
async def test_a_retry_within_its_window_is_written_though_its_connection_was_late(monkeypatch):
    async with retry_that_waits(monkeypatch, KeyTtl=60_000.0) as waiting:
        for server in waiting.upstream:
            server.replies = [OK]
        waiting.gate.open.set()
        assert (await waiting.app.answer()).body == b"done"
        assert sent(waiting.upstream) == 2


@pytest.mark.parametrize("part", [LARGE[:100_000], LARGE])
@loopback
async def test_a_body_that_still_flows_when_the_window_ends_is_broken_off_before_its_last_byte(part):
    """Whether its end comes from the client or is still held back here."""
    upstream = await Upstream([hang]).start()
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0", 0.0, now + driver.KEY_MARGIN_MS + 130.0)],
        outcome=failing,
    )
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(partners.request("POST", "/book", LARGE)[: -len(LARGE)] + part[:-1])
        assert (await app.answer()).status == 502
        assert module.outcomes() == [(0, Outcome.ABANDONED, False)]  # half of it never runs
        assert upstream.seen == []
        app.close()


@loopback
async def test_a_part_of_a_body_that_comes_past_the_window_is_not_written():
    upstream = await Upstream([hang]).start()
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0", 0.0, now + 9000.0)],
        outcome=failing,
    )
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        message = partners.request("POST", "/book", LARGE)
        app.writer.write(message[:-1])
        await until(lambda: module.named("body_gone") and upstream.writers)
        Hands(sidecar).on(9000.0)  # its timer has not run
        app.writer.write(message[-1:])
        assert (await app.answer()).status == 502
        assert module.outcomes() == [(0, Outcome.ABANDONED, False)]
        assert upstream.seen == []


@loopback
async def test_a_repeat_that_the_kernel_does_not_take_is_not_on_the_wire(monkeypatch):
    """Held back here until its window ends: it is dropped with its connection."""
    upstream = await Upstream([OK, hang]).start()
    windows = iter([float("inf"), driver.KEY_MARGIN_MS + 80.0])
    module = Scripted(
        request=lambda now, arrival: [Send(arrival.request, "s0", 0.0, now + next(windows))],
        outcome=failing,
    )
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        (connection,) = sidecar.pool._connections
        small_buffers(connection._transport, upstream.writers[0].transport)
        upstream.writers[0].transport.pause_reading()
        connection._transport.write(b"x" * 4_000_000)  # stands for what the kernel is full of
        assert connection._transport.get_write_buffer_size()
        assert (await app.ask("POST", "/book", b"body")).status == 502
        assert module.outcomes()[1:] == [(0, Outcome.ABANDONED, False)]
        upstream.writers[0].transport.resume_reading()


@loopback
async def test_past_its_deadline_a_request_is_not_written(monkeypatch):
    module = Scripted(outcome=failing)
    async with request_that_waits(monkeypatch, module) as waiting:
        Hands(waiting.sidecar).on(4000.0)  # its timer has not run
        waiting.gate.open.set()
        assert (await waiting.app.answer()).status == 504
        assert module.outcomes() == [(0, Outcome.ABANDONED, False)]
        assert waiting.upstream.seen == []


def test_a_retry_under_a_key_has_a_time_by_which_to_be_written_and_nothing_else_has():
    made = balancer(
        Profiles=[{**CLASSES["keyed"], "Group": "zone"}, dict(CLASSES["safe"]), dict(CLASSES["unsafe"])]
    )
    (send,) = of_type(made.step(100.0, arrival(1, 100.0)), Send)
    assert send.write_by == float("inf")
    (retry,) = of_type(made.step(110.0, AttemptEnded(1, 0, Outcome.CONNECT_FAILED)), Send)
    assert retry.write_by == float("inf")  # nothing has run: its window has not begun
    (third,) = of_type(made.step(120.0, AttemptEnded(1, 1, Outcome.RESET)), Send)
    assert third.write_by == 110.0 + 500.0
    (fourth,) = of_type(made.step(130.0, AttemptEnded(1, 2, Outcome.RESET)), Send)
    assert fourth.write_by == 110.0 + 500.0  # the first that may have run binds
    for band in (1, 2):
        made = balancer("keyed", "safe", "unsafe")
        sends = of_type(made.step(500.0, arrival(2, 500.0, band)), Send)
        sends += of_type(made.step(510.0, AttemptEnded(2, 0, Outcome.CONNECT_FAILED)), Send)
        sends += of_type(made.step(520.0, AttemptEnded(2, 1, Outcome.RESET)), Send)
        assert [send.write_by for send in sends] == [float("inf")] * (4 - band)


@loopback
async def test_what_is_given_up_does_not_reach_its_server_later_from_the_kernel():
    """It is written, so far as can be told here, while its server takes no more of it."""
    loop = asyncio.get_running_loop()
    module = Scripted(outcome=lambda now, number, hop, status, *rest: [Fail(number)])
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        upstream = Upstream(address=f"127.0.0.1:{listener.getsockname()[1]}")
        upstream.stop = lambda: None
        body = b"x" * 60_000
        async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
            app = await App.connect(sidecar.address)
            app.send("POST", "/book", body)
            server, _ = await loop.sock_accept(listener)
            with server:
                await until(lambda: any(it.written and it._exchange for it in sidecar.pool._connections))
                (request,) = sidecar.driver._requests.values()
                sidecar.driver._act(Cancel(request.id, 0))
                await app.answer()
                got = b""
                with contextlib.suppress(ConnectionResetError):
                    while part := await loop.sock_recv(server, 65_536):
                        got += part
                assert 0 < len(got) < len(body)


def test_the_window_is_that_of_the_settings_under_which_the_request_came():
    made = balancer("keyed")
    made.step(0.0, arrival(1))
    profile = {**CLASSES["keyed"], "KeyTtl": 60_000.0}
    made.step(5.0, SettingsReloaded(Settings.parse(raw_settings(Profiles=[profile])), {0}))
    (retry,) = of_type(made.step(10.0, AttemptEnded(1, 0, Outcome.RESET)), Send)
    assert retry.write_by == 500.0


# --- incarnations of a server -------------------------------------------------------------


@pytest.mark.parametrize("state", ["active", "left"])
def test_a_repeat_keeps_to_the_group_that_its_first_server_was_in(state):
    """A server of that name that comes back elsewhere, or is gone, moves no key."""
    made = balancer("keyed", servers=4)
    (send,) = of_type(made.step(0.0, arrival(1)), Send)
    group = int(send.server[1:]) // 2
    back = Listing(send.server, cell=7, started=1.0, state=state)
    made.step(1.0, EndpointsListed(ListForm.CHANGES, [back, Listing("s9", cell=7)]))
    sends = of_type(made.step(2.0, AttemptEnded(1, 0, Outcome.RESET)), Send)
    assert [int(retry.server[1:]) // 2 for retry in sends] == [group]


@pytest.mark.parametrize("drained", [False, True])
@loopback
async def test_a_connection_that_comes_up_at_what_stood_there_before_carries_nothing(monkeypatch, drained):
    """The server came back at another address while it was opening; a drain, if any, was the old one's."""
    new = await Upstream([OK]).start()
    async with request_that_waits(monkeypatch, Rules={"StopSendingWithin": 0.0}) as waiting:
        sidecar, old = waiting.sidecar, waiting.upstream
        if drained:
            hear(sidecar, entry("s0", old.address, status="leaving"))
        hear(sidecar, entry("s0", new.address, since_ms=1))
        waiting.gate.open.set()
        assert (await waiting.app.answer()).body == b"done"
        assert (len(old.seen), len(new.seen)) == (0, 1)
        assert not blame_of(sidecar, "s0")
    new.stop()


@pytest.mark.parametrize("changes", [{"address": True}, {"since_ms": 1_790_000_000_000}])
@loopback
async def test_a_busy_connection_to_what_stood_there_before_is_not_reused_for_what_came_back(changes):
    go_on = asyncio.Event()

    async def wait(reader, writer):
        await go_on.wait()
        return OK

    old, new = await Upstream([wait]).start(), await Upstream([OK]).start()
    address = new.address if changes.pop("address", False) else old.address
    async with tidy(old, balancer=Scripted(), **never_cancels()) as sidecar:
        app = await asked(sidecar)
        await until(lambda: old.seen)
        hear(sidecar, entry("s0", old.address, status="leaving"))
        hear(sidecar, entry("s0", address, **changes))
        go_on.set()
        assert (await app.answer()).body == b"done"  # what it had taken it may end
        assert (await app.ask()).body == b"done"
        carried = [seen.connection for seen in old.seen]
        assert (carried, len(new.seen)) in (([0, 1], 0), ([0], 1))
    new.stop()


@loopback
async def test_a_drain_stays_with_the_server_that_drains_and_the_next_of_its_name_has_none():
    old, new = await Upstream([OK]).start(), await Upstream([OK]).start()
    async with tidy(old, balancer=Scripted(), **never_cancels()) as sidecar:
        before = sidecar.pool._servers["s0"]
        hear(sidecar, entry("s0", old.address, status="leaving"))
        hear(sidecar, entry("s0", new.address, since_ms=1))
        assert before.closed_from < float("inf")
        assert sidecar.pool._servers["s0"].closed_from == float("inf")
    new.stop()


# --- answers -----------------------------------------------------------------------------


STALE = OK.replace(b"done", b"late")


@loopback
async def test_a_second_answer_that_comes_before_the_next_request_is_complete_is_not_taken_for_its_answer():
    upstream = await Upstream([OK]).start()
    module = Scripted(outcome=failing)
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        message = partners.request("POST", "/book", LARGE)
        app.writer.write(message[:-1])
        await until(lambda: module.named("body_gone"))
        upstream.writers[0].write(STALE)
        assert (await app.answer()).status == 502
        assert module.outcomes()[1:] == [(0, Outcome.CONNECT_FAILED, False)]
        app.close()


@loopback
async def test_an_answer_that_rejects_may_come_before_the_request_is_complete():
    upstream = await Upstream([OK]).start()
    module = Scripted(outcome=failing)
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        app.writer.write(partners.request("POST", "/book", LARGE)[:-1])
        await until(lambda: module.named("body_gone"))
        upstream.writers[0].write(b"HTTP/1.1 503 Busy\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        assert (await app.answer()).status == 502
        assert module.outcomes()[1:] == [(0, Outcome.FULL, False)]
        app.close()


@loopback
async def test_a_second_answer_that_comes_to_an_idle_connection_is_seen_before_the_next_request():
    """Also where the loop has not read it yet, as the next request is written in the same turn."""
    upstream = await Upstream([OK]).start()
    async with tidy(upstream, balancer=Scripted(), **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        server = sidecar.pool._servers["s0"]
        (connection,) = server.idle
        upstream.writers[0].write(STALE)
        assert not connection.usable()  # no turn of the loop since: it is only in the kernel
        app.send()
        assert (await app.answer()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0, 1]


@loopback
async def test_a_connection_that_has_just_given_an_answer_rests_while_another_is_there():
    """A second answer that comes some milliseconds later meets no request that way."""
    upstream = await Upstream([OK]).start()
    async with tidy(upstream, balancer=Scripted(), **never_cancels()) as sidecar:
        one, two = await App.connect(sidecar.address), await App.connect(sidecar.address)
        one.send()
        two.send()
        await one.answer()
        await two.answer()
        idle = sidecar.pool._servers["s0"].idle
        rested, newest = idle
        rested.idle_since -= outbound.REST_MS
        newest.idle_since += 60_000.0  # however slow this test is
        far = newest._transport.get_extra_info("sockname")

        async def second_answer(reader, writer):
            (spoilt,) = [it for it in upstream.writers if it.get_extra_info("peername") == far]
            spoilt.write(STALE)
            await until(lambda: newest.closed or newest not in sidecar.pool._connections)
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
async def test_what_goes_on_for_ever_around_an_answers_body_breaks_it_off(kind):
    begin, more = NEVER_ENDS[kind]

    async def endless(reader, writer):
        writer.write(begin)
        while not writer.is_closing():
            writer.write(more * 500)
            await writer.drain()
            await asyncio.sleep(0)

    upstream = await Upstream([endless]).start()
    module = Scripted(outcome=failing)
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        app.send(X_Budget="60000m")
        with contextlib.suppress(asyncio.IncompleteReadError):
            async with asyncio.timeout(partners.PATIENCE_S):
                await app.reader.readuntil(b"\r\n\r\n")
        await until(lambda: module.outcomes())
        assert [status for _, status, _ in module.outcomes()] == [Outcome.RESET]


@loopback
async def test_trailers_are_no_headers_of_an_answer():
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n"
    upstream = await Upstream([chunked + b"X-Load-Report: inflight=9\r\nX-Other: 1\r\n\r\n"]).start()
    module = Scripted()
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        answer = await app.ask()
        assert (answer.body, "x-other" in answer.headers) == (b"done", False)
        assert module.named("outcome")[0][-1] is None


@pytest.mark.parametrize("passed_on", [False, True])
@loopback
async def test_an_answer_without_length_that_is_reset_has_not_ended(monkeypatch, passed_on):
    """Whether it is still held here or is being passed on already."""
    monkeypatch.setattr(server_connection, "HOLD_S", 0.0 if passed_on else 60.0)

    async def reset(reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nnot all of it")
        await until(lambda: any(it._parser.status for it in sidecar.pool._connections))
        if passed_on:
            await until(lambda: sidecar.driver._flowing)
        writer.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    upstream = await Upstream([reset]).start()
    module = Scripted(outcome=failing)
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        got = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(partners.PATIENCE_S):
                got = await app.reader.read() if passed_on else await app.reader.readuntil(b"\r\n\r\n")
        assert not (passed_on and got.endswith(b"0\r\n\r\n"))  # the client can tell
        assert got.startswith(b"HTTP/1.1 200" if passed_on else b"HTTP/1.1 502")
        await until(lambda: module.outcomes())
        assert [status for _, status, _ in module.outcomes()] == [Outcome.RESET]


@pytest.mark.parametrize("address", ["a..b:7070", "x" * 64 + ".test:7070"])
@loopback
async def test_a_server_whose_address_can_be_none_fails_to_connect_at_once(address):
    upstream = await Upstream([OK]).start()
    module = Scripted(outcome=failing)
    async with tidy(upstream, balancer=module, **never_cancels()) as sidecar:
        hear(sidecar, entry("s0", address))
        assert (await (await App.connect(sidecar.address)).ask()).status == 502
        assert module.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]


# --- two events in one turn of the loop -----------------------------------------------------


class Client:
    """A request's client: it keeps every final answer that it is given."""

    request_class, tenant, key, work, client_retry, mutates, budget = 0, 0, None, None, False, False, 4000.0

    def __init__(self, large):
        self.reading, self.body, self.given = large, None, []

    def wire(self, left):
        return b""

    def client_left(self):
        return False

    def served(self, answer):
        self.given.append("served")

    def refused(self, retry_after):
        self.given.append("refused")

    def failed(self, late):
        self.given.append("failed")

    def begun(self, answer, flow):
        self.given.append("begun")

    def more(self, data):
        assert self.given[-1] == "begun"

    def finished(self):
        self.given.append("finished")

    def broken(self):
        self.given.append("broken")


class Carrier:
    """Stands in for a connection to a server."""

    def __init__(self, written):
        self.written, self.aborted = written, False

    def give_up(self):
        self.aborted = True


class Carriers:
    """Stands in for the pool: the first exchange is the test's, later ones are answered."""

    def __init__(self, loop, state):
        self.loop, self.state, self.sent = loop, state, []

    def send(self, server, call, expires, watcher):
        exchange = Exchange(call.wire, expires, watcher.ended, watcher)
        if self.sent:
            self.loop.call_soon(exchange.end, Result(Outcome.OK, Answer([], b"")))
        elif self.state == "waits":
            exchange.opening(self.loop.create_task(asyncio.sleep(60.0)))
        else:
            exchange.carried_by(Carrier(self.state == "written"))
        self.sent.append(exchange)
        return exchange

    def probe(self, server, done):
        raise AssertionError("no probe is asked for")

    def update(self, now, servers, *, complete):
        pass

    def close_idle(self, server):
        pass


class AttemptRace:
    """A driver with the real module and one attempt out, and all that may happen to it."""

    EVENTS = (
        "answer",
        "spoilt",
        "reset",
        "rules_changed",
        "starts",
        "expire",
        "overdue",
        "cancel",
        "gone",
        "window",
        "body_read",
    )

    def __init__(self, state, cancels, large=False):
        loop = asyncio.get_running_loop()
        limits = {"MaxAttempts": 3, "MayCancel": cancels, "ConnectTimeout": 250.0}
        config = told([Upstream(address=f"127.0.0.1:{port}") for port in (9, 10, 11)], PolicyLimits=limits)
        self.driver = driver.Driver(loop, Clock(loop), config)
        self.carriers = Carriers(loop, state)
        self.driver.connect(self.carriers, None, None)
        self.outcomes = []
        module = self.driver._balancer
        step = module.step

        def recorded(now, event):
            if isinstance(event, AttemptEnded):
                self.outcomes.append((event.request, event.attempt))
            return step(now, event)

        module.step = recorded
        self.driver.endpoints_listed(ListForm.REMEMBERED, config.known)
        self.client = Client(large)
        self.request = self.driver.arrive(self.client, self.driver._clock.now())
        self.attempt = self.request.attempts[0]
        self.exchange = self.carriers.sent[0]
        self.left = False

    def happen(self, event):
        getattr(self, event)()

    def answer(self):
        self.exchange.end(Result(Outcome.OK, Answer([], b"")))

    def spoilt(self):
        self.exchange.end(Result(Outcome.ERROR))

    def reset(self):
        self.exchange.end(Result(Outcome.RESET))

    def rules_changed(self):
        self.driver._loop.call_soon(self.exchange.end, Result(Outcome.ABANDONED))

    def starts(self):
        """A large answer begins, and is whole a turn later."""
        if not self.exchange.ended and self.exchange.watcher is not None:
            self.exchange.watcher.begun(Answer([], b"", None), None)
            self.driver._loop.call_soon(self.exchange.end, Result(Outcome.OK))

    def expire(self):
        self.driver._expire(self.attempt)

    def overdue(self):
        self.driver._overdue(self.request)

    def cancel(self):
        self.driver._act(Cancel(self.request.id, 0))

    def gone(self):
        self.left, self.sent_then = True, len(self.carriers.sent)
        self.driver.client_gone(self.request)

    def window(self):
        self.driver._drop(self.attempt)

    def body_read(self):
        self.driver.body_read(self.request, self.driver._clock.now())

    def finals(self):
        return [given for given in self.client.given if given not in ("finished", "broken")]


def pairs():
    return [(first, second) for first in AttemptRace.EVENTS for second in AttemptRace.EVENTS]


async def turns(count=40):
    for _ in range(count):
        await asyncio.sleep(0)


@pytest.mark.parametrize("state", ["waits", "half", "written"])
@pytest.mark.parametrize("cancels", [True, False])
@loopback
async def test_two_events_in_one_turn_make_one_answer_and_one_outcome(state, cancels):
    """Each pair, in either order, in the same turn and with a turn between."""
    for first, second in pairs():
        for between in (0, 1):
            made = AttemptRace(state, cancels)
            scene = f"{first}, {second}, {between} between"
            made.happen(first)
            await turns(between)
            made.happen(second)
            await turns()
            if not made.request.ended or made.request.out:
                made.answer()  # what nothing has ended goes on, and ends in the usual way
                await turns()
            assert len(made.finals()) == (0 if made.left and not made.finals() else 1), scene
            hops = [hop for _, hop in made.outcomes]
            assert sorted(hops) == list(range(len(made.request.attempts))), scene
            module = made.driver._balancer
            assert (made.driver._open, made.driver._flowing, made.driver._requests) == (0, 0, {}), scene
            assert (module._endpoints.in_flight, module._requests) == (0, {}), scene
            servers = module._endpoints.servers.values()
            assert all(server.in_flight == 0 and not server.outstanding for server in servers), scene
            timers = (made.attempt.timeout, made.attempt.window, made.request.guard)
            assert all(timer is None or timer.cancelled() for timer in timers), scene
            if made.left:  # nothing begins once the client has gone
                assert len(made.carriers.sent) <= made.sent_then, scene


def descriptors():
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("event", ["gone", "cancel", "expire", "overdue", "window", "restart", "close_idle"])
@pytest.mark.parametrize("fresh", [True, False])
@loopback
async def test_an_event_in_each_turn_between_a_send_and_its_end_leaves_nothing_open(event, fresh):
    """On real sockets, where opening, writing and reading each take turns of the loop."""
    upstream = await Upstream([OK]).start()
    async with tidy(upstream, balancer=Scripted(outcome=failing), **never_cancels()) as sidecar:
        driving = sidecar.driver
        await (await App.connect(sidecar.address)).ask()
        before = descriptors()
        sent = asyncio.Event()
        send = sidecar.pool.send

        def seen(*args):
            sent.set()
            return send(*args)

        sidecar.pool.send = seen
        for after in range(24):
            if fresh:
                sidecar.pool.close_idle("s0")
            sent.clear()
            app = await App.connect(sidecar.address)
            app.send()
            await sent.wait()
            (request,) = driving._requests.values()
            await turns(after)
            match event:
                case "gone":
                    driving.client_gone(request)
                case "cancel":
                    driving._act(Cancel(request.id, len(request.attempts) - 1))
                case "expire":
                    driving._expire(request.attempts[-1])
                case "overdue":
                    driving._overdue(request)
                case "window":
                    driving._drop(request.attempts[-1])
                case "restart":
                    hear(sidecar, entry("s0", upstream.address, since_ms=1 + after))
                case "close_idle":
                    sidecar.pool.close_idle("s0")
            await until(lambda: nothing_left(sidecar))
            if event != "gone":
                assert (await app.answer()).status in (200, 502, 503, 504)
            app.close()
        sidecar.pool.close_idle("s0")
        await until(lambda: descriptors() <= before)
