"""Large requests whose server takes no more of the body: the client is answered within its budget.

A client may have written its last byte while the sidecar does not read, because the server takes no more. The
byte waits in socket buffers where the sidecar can't see it, and the client's budget counts from it.
"""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from brassfall.balancer.model import FailRequest, SendAttempt
from brassfall.sidecar.clients import client_connection
from brassfall.sidecar.clients.read_control import CATCH_UP_S, MIN_LAG_S, PauseReason, ReadControl
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.driver import Driver
from brassfall.sidecar.core.request_lifecycle import DEADLINE_MARGIN_MS
from tests.support import loopback as partners
from tests.support.driver_stubs import RecordedCall, UpstreamsStub
from tests.support.large_messages import LARGE, ONE_CHUNK, StreamingServer, read_answer
from tests.support.loopback import OK, App, ScriptedBalancer, loopback, running, sidecar_config, until

BUDGET_S = 0.5
# Time after the end of its budget in which a request has to be answered, in seconds: half a second, and the
# 50 ms by which every time limit on sockets is longer.
MAX_LATE_S = 0.55
LARGE_PARTS = 10  # number of times that `LARGE` is sent with a length; no socket buffer takes all of it


async def never_read():
    """Return a server that reads heads of requests, and never a body."""
    server = await StreamingServer().start()
    server.may_read_body = asyncio.Event()
    return server


def send_head(app, framing):
    """Send the head of a large request; return the rest of the message, of which the server takes a part."""
    budget = f"{BUDGET_S * 1000:g}m"
    if framing == "chunks":
        app.send("POST", "/pay", Content_Length=None, Transfer_Encoding="chunked", X_Budget=budget)
        return ONE_CHUNK * LARGE_PARTS + b"0\r\n\r\n"
    app.send("POST", "/pay", Content_Length=str(LARGE_PARTS * len(LARGE)), X_Budget=budget)
    return LARGE * LARGE_PARTS


# Guards against a hung server that leaves a client without an answer: a large request had no time limit until
# its body was read completely, and the body was not read as long as the server took nothing.
@pytest.mark.parametrize("framing", ["length", "chunks"])
@loopback
async def test_a_large_request_is_answered_in_time_although_its_server_takes_no_more_of_it(framing, capfd):
    async with running(await never_read()) as sidecar:
        app = await App.connect(sidecar.address)
        app.writer.write(send_head(app, framing))
        await until(lambda: sidecar.inbound.connections)
        (connection,) = sidecar.inbound.connections
        await until(lambda: connection.read_control.paused_for(PauseReason.SLOW_SERVER))
        paused_at = asyncio.get_running_loop().time()
        assert (await read_answer(app))[0] == 504
        assert asyncio.get_running_loop().time() - paused_at < BUDGET_S + MAX_LATE_S
        await until(lambda: sidecar.driver.idle)
    assert "large request not read by its deadline" in capfd.readouterr().err


# Guards against failing a client that is still writing: time in which it can't have written its last byte,
# because the sockets can't hold the rest of the body, must not count against its budget.
@loopback
async def test_a_body_that_its_client_is_still_writing_may_take_longer_than_the_budget(monkeypatch):
    monkeypatch.setattr(client_connection, "MAX_CLIENT_SEND_BUFFER_BYTES", 0)
    loop, server = asyncio.get_running_loop(), await SteppingServer().start()
    async with running(server) as sidecar:
        app = await App.connect(sidecar.address)
        await until(lambda: sidecar.inbound.connections)
        (connection,) = sidecar.inbound.connections
        partners.small_buffers(connection.transport)
        began_at = loop.time()
        app.writer.write(send_head(app, "length"))
        answer = asyncio.create_task(read_answer(app))
        while not (server.seen or answer.done()):
            paused_until = loop.time() + 2 * MIN_LAG_S
            await until(lambda: server.seen or answer.done() or loop.time() >= paused_until)  # noqa: B023
            server.steps.release()
        assert await answer == (200, b"done")
        assert loop.time() - began_at > 2 * BUDGET_S


class SteppingServer(StreamingServer):
    """A server that takes one step of the body of its only request for each release of `steps`."""

    step_bytes = len(LARGE)

    def __init__(self):
        super().__init__([OK])
        self.steps = asyncio.Semaphore(0)

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        rest = LARGE_PARTS * len(LARGE)
        while rest:
            await self.steps.acquire()
            rest -= len(await reader.readexactly(min(rest, self.step_bytes)))
        self.seen.append(b"")
        writer.write(OK)


# --- the deadline, without sockets --------------------------------------------------


def start_upload(*, budget, state="unwritten"):
    """Start an attempt of a large request without sockets; return its call, the driver and the pool."""
    loop = asyncio.get_running_loop()
    balancer = ScriptedBalancer(
        outcome=lambda now, number, hop, status, *rest: [FailRequest(number)] if rest[1] is False else []
    )
    driver = Driver(loop, Clock(loop), sidecar_config(), balancer)
    upstreams = UpstreamsStub(loop, state)
    driver.connect(upstreams, None, None)
    call = RecordedCall(large=True)
    call.budget = budget
    driver.accept_request(call, driver.clock.now())
    return call, driver, upstreams


# Guards against an answer after the client's time when a server goes on after a pause: the budget counted
# from when the sidecar read the last byte, which had waited in the socket buffers.
@loopback
async def test_the_time_in_which_the_last_byte_waited_unread_counts_against_the_budget():
    call, driver, _ = start_upload(budget=1000.0)
    (request,) = driver.requests
    call.read_lag, call.reading = 700.0, False
    now = driver.clock.now()
    driver.body_read(request, now)
    assert request.give_up_at == pytest.approx(now + 300.0 - DEADLINE_MARGIN_MS)
    (attempt,) = request.attempts
    assert driver.clock.from_loop_time_s(attempt.timeout.when()) == pytest.approx(request.give_up_at)
    driver.client_disconnected(request)


# Guards against a server that is told a longer time than its client has left, when the attempt before it
# could not connect for a while and the body waited.
@loopback
async def test_a_later_attempt_of_a_large_request_states_no_more_time_than_the_client_has_left():
    call, driver, upstreams = start_upload(budget=1000.0)
    (request,) = driver.requests
    call.read_lag = 300.0
    driver.perform(SendAttempt(request.id, "s1", 0.0))
    assert upstreams.sent[1].expires <= driver.clock.now() + 700.0
    driver.client_disconnected(request)


# Guards against SIGKILL in place of an answer: the deadline of a shutdown did not hold for a large request
# whose body was not read, because its server had stopped.
@loopback
async def test_a_large_request_is_answered_by_the_end_of_a_shutdown_although_its_body_is_not_read():
    call, driver, _ = start_upload(budget=200.0)
    call.budget = 60_000.0  # its own deadline, counted anew from the next check, would be much later
    driver.answer_all_by(driver.clock.now() + 300.0)
    await until(lambda: call.answers)
    assert call.answers == ["failed"]


# Guards against failing a client that only writes slowly: its budget begins with its last byte.
@loopback
async def test_a_large_request_has_no_deadline_while_its_client_is_still_writing():
    call, driver, _ = start_upload(budget=50.0)
    written_until = driver.clock.now() + 300.0
    await until(lambda: driver.clock.now() >= written_until)
    assert not call.answers
    call.read_lag = 50.0
    await until(lambda: call.answers)
    assert call.answers == ["failed"]


# --- the time that bytes may have waited unread --------------------------------------


class ManualTime:
    """The part of an event loop that `ReadControl` uses, with a time that the test sets."""

    def __init__(self):
        self.now_s = 100.0

    def time(self):
        return self.now_s

    def call_later(self, delay, callback, *args):
        return mock.Mock()


def connected_control():
    """Return a control that has read all that its client has written, and its loop."""
    loop = ManualTime()
    control = ReadControl(loop, lambda: None)
    control.connected(mock.Mock())
    control.next_read_may_be_stale = False  # a read has emptied the socket buffer
    return control, loop


def pause_for(control, loop, seconds):
    control.pause(PauseReason.SLOW_SERVER)
    loop.now_s += seconds
    control.resume(PauseReason.SLOW_SERVER)


def test_a_pause_counts_as_lag_until_everything_that_the_client_has_written_is_read():
    control, loop = connected_control()
    control.pause(PauseReason.SLOW_SERVER)
    loop.now_s += 3.0
    assert control.lag_s == pytest.approx(3.0)
    control.resume(PauseReason.SLOW_SERVER)
    loop.now_s += 2 * CATCH_UP_S
    assert control.lag_s == pytest.approx(3.0)
    control.next_read_may_be_stale = False
    assert control.lag_s == 0.0
    pause_for(control, loop, 1.0)
    assert control.lag_s == pytest.approx(1.0)


# Guards against a server that takes a little now and then: each step would look as if the sidecar had read
# all that the client has written, though the rest waits in the client's own buffer.
def test_short_pauses_add_up_although_the_socket_buffer_is_emptied_between_them():
    control, loop = connected_control()
    for _ in range(8):
        pause_for(control, loop, 0.5)
        loop.now_s += CATCH_UP_S / 2
        control.next_read_may_be_stale = False
    assert control.lag_s == pytest.approx(4.0)


def test_the_pauses_of_an_ordinary_transfer_are_no_lag():
    control, loop = connected_control()
    for _ in range(9):
        pause_for(control, loop, 0.1 * MIN_LAG_S)
    assert control.lag_s == 0.0
    pause_for(control, loop, 0.2 * MIN_LAG_S)
    assert control.lag_s == pytest.approx(1.1 * MIN_LAG_S)


def test_lag_begins_anew_once_the_client_is_known_to_have_more_to_write():
    control, loop = connected_control()
    pause_for(control, loop, 2.0)
    control.restart_lag()
    assert control.lag_s == 0.0
    pause_for(control, loop, 1.0)
    assert control.lag_s == pytest.approx(1.0)
