"""Graceful shutdown: requests in flight are answered, and connections are closed in time."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time

import pytest

from brassfall.balancer.model import FailRequest
from brassfall.sidecar.clients import (
    client_request,
    connection_timeouts,
)
from brassfall.sidecar.lifecycle import shutdown
from tests.support import loopback as partners
from tests.support.clients import (
    closed_by_peer,
    connect_sockets,
    count_reading_requests,
    last_answer_on,
)
from tests.support.large_messages import (
    CHUNKED_HEAD,
    HEAD_WITH_LENGTH,
    LARGE,
    StreamingServer,
    chunked_body,
    read_answer,
    read_head,
)
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    SETTINGS,
    App,
    ScriptedBalancer,
    Upstream,
    hang,
    loopback,
    request,
    running,
    sidecar_config,
    until,
)
from tests.support.processes import Process


@loopback
async def test_shutdown_waits_for_a_request_that_is_still_arriving_and_answers_it(monkeypatch):
    monkeypatch.setattr("brassfall.sidecar.lifecycle.shutdown.QUIET_S", 0.0)

    async def read_without_answer(reader, writer):
        await reader.read()

    upstream = await Upstream([OK, read_without_answer]).start()
    profiles = [{"Name": "look", "Semantics": "pure", "Objective": 200.0, "Deadline": 800.0}]
    async with running(upstream, Profiles=profiles) as sidecar:
        app, idle, stopped = [await App.connect(sidecar.address) for _ in range(3)]
        whole_request = partners.request(X_Long="x" * 4000)
        app.writer.write(whole_request[:50])
        stopped.writer.write(whole_request[:50])
        shutdown_task = asyncio.create_task(sidecar.drain())
        for i in range(50, len(whole_request) - 1):
            app.writer.write(whole_request[i : i + 1])
            await asyncio.sleep(0.005)
            if sidecar.inbound.closes_after_answers:
                break
        assert not shutdown_task.done()
        app.writer.write(whole_request[i + 1 : -1])
        await asyncio.sleep(0.1)
        assert not shutdown_task.done()
        app.writer.write(whole_request[-1:])
        answer = await app.answer()
        assert (answer.body, answer.headers["connection"]) == (b"done", "close")
        idle.writer.write(whole_request)  # the shutdown has closed this connection
        assert await idle.answer() is None
        await shutdown_task


@loopback
async def test_shutdown_closes_no_connection_with_a_request_that_was_read_late(monkeypatch):
    monkeypatch.setattr("brassfall.sidecar.lifecycle.shutdown.QUIET_S", 0.2)
    monkeypatch.setattr(connection_timeouts, "CLIENT_STOPPED_MS", 0.0)
    release = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([answer_after_release]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        whole_request = partners.request()
        app.writer.write(whole_request[:50])
        shutdown_task = asyncio.create_task(sidecar.drain())
        await until(lambda: sidecar.inbound.closes_after_answers)
        app.writer.write(whole_request[50:])
        await until(lambda: upstream.seen)
        await asyncio.sleep(0.5)
        assert not shutdown_task.done()
        release.set()
        assert (await app.answer()).body == b"done"
        await shutdown_task


@loopback
async def test_a_request_during_the_shutdown_is_answered_by_its_time_limit():
    upstream = await Upstream([hang]).start()
    async with running(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        sidecar.driver.answer_all_by(sidecar.inbound.clock.now() + 100.0)
        assert (await app.ask(X_Budget="9000m")).status in (502, 503, 504)


@loopback
async def test_shutdown_finishes_requests_in_flight_and_closes_idle_connections():
    release = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([answer_after_release]).start()
    async with running(upstream) as sidecar:
        busy, idle = await App.connect(sidecar.address), await App.connect(sidecar.address)
        busy.send()
        await until(lambda: upstream.seen)
        shutdown_task = asyncio.create_task(sidecar.drain())
        assert await idle.answer() is None
        with pytest.raises(ConnectionError):
            await App.connect(sidecar.address)
        release.set()
        answer = await busy.answer()
        assert (answer.body, answer.headers["connection"]) == (b"done", "close")
        await shutdown_task
        assert sidecar.inbound.all_connections_closed


@loopback
async def test_answers_announce_the_close_while_connections_are_still_accepted(monkeypatch):
    for name in ("LISTEN_S", "LAST_ANSWERS_S"):
        monkeypatch.setattr(shutdown, name, PATIENCE_S)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        kept_open = await App.connect(sidecar.address)
        assert (await kept_open.ask()).headers.get("connection") is None
        shutdown_task = asyncio.create_task(sidecar.drain())
        await until(lambda: sidecar.inbound.closes_after_answers)
        for app in (kept_open, await App.connect(sidecar.address)):
            answer = await app.ask()
            assert (answer.body, answer.headers["connection"]) == (b"done", "close")
            assert await app.reader.read() == b""
            app.close()
        shutdown_task.cancel()


@loopback
async def test_a_connection_that_was_just_opened_may_still_send_its_request():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        (sock,) = connect_sockets(sidecar.address, 1)
        await until(lambda: sidecar.inbound.connections)
        sidecar.inbound.stop_listening()
        sidecar.inbound.close_idle(keep_just_opened=True)
        sock.sendall(request())
        assert (await last_answer_on(sock)).body == b"done"
        assert sidecar.inbound.all_connections_closed


@loopback
async def test_nothing_is_read_after_the_last_check_of_the_shutdown(immediate_shutdown, monkeypatch):
    # A request that is read after the last check, while the process deregisters, would not be answered.
    monkeypatch.setattr(shutdown, "QUIET_S", 0.0)
    monkeypatch.setattr(connection_timeouts, "CLIENT_STOPPED_MS", 0.0)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        (sock,) = connect_sockets(sidecar.address, 1)
        sock.sendall(request()[:-2])
        await until(lambda: count_reading_requests(sidecar) == 1)
        await sidecar.drain()
        assert closed_by_peer(sock)
        with contextlib.suppress(OSError):
            sock.sendall(b"\r\n")
        for _ in range(5):
            await asyncio.sleep(0)
        assert sidecar.inbound.all_connections_closed and sidecar.driver.idle and not upstream.seen
        sock.close()


@loopback
async def test_a_new_connection_that_stays_silent_does_not_delay_the_shutdown():
    async with running() as sidecar:
        (silent,) = connect_sockets(sidecar.address, 1)
        await until(lambda: sidecar.inbound.connections)

        def all_closed():
            sidecar.inbound.close_idle(keep_just_opened=True)
            return sidecar.inbound.all_connections_closed

        await until(all_closed)
        silent.close()


@loopback
async def test_the_time_limit_of_the_shutdown_follows_from_the_current_classes(immediate_shutdown):
    def config_with_deadline(name, deadline):
        row = {"Name": name, "Semantics": "pure", "Objective": 200.0, "Deadline": deadline}
        return sidecar_config(Profiles=[row])

    async with running() as sidecar:
        sidecar.apply_configuration(config_with_deadline("view", 400.0))
        answer_by_ms = []
        sidecar.driver.answer_all_by = answer_by_ms.append
        now = sidecar.inbound.clock.now()
        await sidecar.drain()
        assert answer_by_ms[0] - now == pytest.approx(400.0 + shutdown.ANSWERED_MS, abs=100.0)


@loopback
async def test_an_answer_is_sent_before_sigkill_although_the_process_is_suspended_before_writing(monkeypatch):
    """SIGKILL may follow SIGTERM after 0.7 s plus the longest deadline.

    The process may be suspended for 0.15 s between reading its clock and writing the answer.
    """
    give_answer = client_request.ClientRequest.give_answer

    def delayed_give_answer(answered_request, *answer):
        time.sleep(0.15)
        give_answer(answered_request, *answer)

    monkeypatch.setattr(client_request.ClientRequest, "give_answer", delayed_give_answer)
    row = {"Name": "look", "Semantics": "pure", "Objective": 50.0, "Deadline": 100.0}
    upstream = await Upstream([hang]).start()
    loop = asyncio.get_running_loop()
    # The balancer fails the request once its attempt has ended.
    balancer = ScriptedBalancer(outcome=lambda now, number, *rest: [FailRequest(number)])
    async with running(upstream, balancer=balancer, Profiles=[row]) as sidecar:
        app = await App.connect(sidecar.address)
        stopped_at = loop.time()
        shutdown_task = asyncio.create_task(sidecar.drain())
        await asyncio.sleep(0.3)
        app.send()  # the budget of this request is longer than the time left
        assert (await app.answer()).start.split(" ")[1] == "504"
        assert 0.5 < loop.time() - stopped_at < 0.1 + 0.7
        await shutdown_task
        app.close()


async def ask_until_disconnected(address, stopped_at, outcomes, pause):
    """Send requests on one connection after the other until the sidecar closes the last of them.

    Opens new connections for up to 0.4 s after SIGTERM. `stopped_at` is empty before SIGTERM, and contains
    the time of SIGTERM afterwards. For each request, adds to `outcomes` whether its connection had carried an
    answer before, and the status of the answer, or None without an answer.
    """
    loop, app, answered_before = asyncio.get_running_loop(), None, False
    while app is not None or not stopped_at or loop.time() < stopped_at[0] + 0.4:
        if app is None:
            app, answered_before = await App.connect(address), False
        answer = await app.ask(X_Budget="100m")
        outcomes.append((answered_before, answer and answer.start.split(" ")[1]))
        answered_before = True
        if answer is None or answer.headers.get("connection") == "close":
            app.close()
            app = None
        await asyncio.sleep(pause)


@loopback
async def test_with_short_deadlines_all_requests_are_answered_before_an_early_sigkill(tmp_path):
    """SIGKILL follows SIGTERM after 0.7 s plus the longest deadline, which is 0.8 s here.

    One of the servers never answers.
    """

    async def answer_late(reader, writer):
        await asyncio.sleep(0.03)
        return OK

    upstreams = [
        await Upstream([answer_late]).start(),
        await Upstream([answer_late]).start(),
        await Upstream([hang]).start(),
    ]
    rows = [{"Name": "look", "Semantics": "pure", "Objective": 50.0, "Deadline": 100.0}]
    sidecar = await Process.start(tmp_path, *upstreams, settings={**SETTINGS, "Profiles": rows})
    loop, stopped_at, outcomes = asyncio.get_running_loop(), [], []
    clients = [
        asyncio.create_task(ask_until_disconnected(sidecar.address, stopped_at, outcomes, pause))
        for pause in (0.0, 0.0, 0.0, 0.005, 0.01, 0.02, 0.05, 0.2)
    ]
    await until(lambda: len(outcomes) > 50)
    late_client = await App.connect(sidecar.address)
    sidecar.process.send_signal(signal.SIGTERM)
    stopped_at.append(loop.time())
    await asyncio.sleep(0.4)
    late_client.writer.write(request()[:-1])  # the last byte follows 0.3 s later
    await asyncio.sleep(0.3)
    late_client.writer.write(request()[-1:])
    late_answer = await late_client.answer()
    assert late_answer is not None and late_answer.headers["connection"] == "close"
    await asyncio.sleep(max(0.0, stopped_at[0] + 0.8 - loop.time()))
    with contextlib.suppress(ProcessLookupError):
        sidecar.process.kill()
    async with asyncio.timeout(PATIENCE_S):
        await asyncio.gather(*clients)
    # Without an answer on a new connection, a request was read and dropped, or cut off by SIGKILL.
    assert (False, None) not in outcomes
    # A request may cross the close of an idle connection. It may be sent again, and this is rare.
    assert outcomes.count((True, None)) <= len(clients)
    assert {status for _, status in outcomes} <= {"200", "503", "504", None}
    for upstream in upstreams:
        upstream.stop()


@pytest.mark.parametrize("stop", ["SIGTERM", "LAMEDUCK"])
@pytest.mark.parametrize("framing", ["length", "chunks"])
@loopback
async def test_the_end_of_a_long_answer_closes_its_connection_once_the_process_stops(stop, framing):
    """Guards against a request that is taken behind a long answer and cut off by SIGKILL."""
    send_rest = asyncio.Event()

    async def answer_in_two_parts(reader, writer):
        head, rest = (
            (HEAD_WITH_LENGTH % len(LARGE) + LARGE[:1000], LARGE[1000:])
            if framing == "length"
            else (CHUNKED_HEAD + b"3e8\r\n%b\r\n" % LARGE[:1000], chunked_body(LARGE[1000:]))
        )
        writer.write(head)
        await send_rest.wait()
        return rest

    upstream = await StreamingServer([answer_in_two_parts]).start()
    balancer = ScriptedBalancer()
    async with running(upstream, balancer=balancer) as sidecar:
        app = await App.connect(sidecar.address)
        app.send()
        head = await read_head(app)
        assert b"close" not in head
        if stop == "SIGTERM":
            sidecar.inbound.close_after_answers()  # as the shutdown does at last
        else:
            sidecar.lifecycle.drain()
        send_rest.set()
        assert await read_answer(app, head) == (200, LARGE)
        app.send()
        assert await app.answer() is None  # the client may send it on another connection, as it is unread
        await until(lambda: sidecar.inbound.all_connections_closed)
        assert len(balancer.named("request")) == 1
