"""Failures between this machine and its servers: system calls, broken connections, closed idle connections.

Requests that may run only once are not sent twice, others are retried, each request has its final answer in
time, and no server is blamed for a local failure.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import select
import socket
import struct

import pytest

from brassfall.balancer.model import FailRequest, Outcome, SendAttempt
from brassfall.sidecar.servers import connecting, server_connection
from tests.support.balancer_records import ejection_record, fault_records, fault_shares, leaked_counts
from tests.support.loopback import (
    OK,
    App,
    Gate,
    Registry,
    ScriptedBalancer,
    Upstream,
    break_off,
    entry,
    failing,
    hang,
    list_changes,
    loopback,
    never_cancels,
    running_until_idle,
    start_request,
    until,
)
from tests.support.system_calls import BROKEN, CONNECT_ERRORS, SOCKET_ERRORS, Faults

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
PARALLEL = {"PolicyLimits": {"MaxAttempts": 3, "MayCancel": True, "ParallelTries": True}}


def connected_to(*upstreams):
    """Return a predicate for the sidecar's sockets to these servers, which limits faults to them."""
    addresses = {upstream.address for upstream in upstreams}

    def is_connected(sock):
        with contextlib.suppress(OSError):
            return "{}:{}".format(*sock.getpeername()) in addresses
        return False

    return is_connected


@contextlib.asynccontextmanager
async def sidecar_with_faults(*upstreams, seed=0, **settings):
    """Give a sidecar, a client that is connected to it, and faults that are injected from now on.

    The connection to discovery is already open, so that the next connection opened is to a server.
    """
    registry = await Registry(current=True).start()
    async with running_until_idle(*upstreams, registry=registry, **settings) as sidecar:
        app = await App.connect(sidecar.address)
        await until(lambda: registry.watches)
        with Faults(seed) as faults:
            yield sidecar, app, faults
        app.close()
    registry.stop()


async def ask(app, target, **headers):
    """Send a request; return the status code of its answer."""
    return (await app.ask("GET" if target == "/look" else "POST", target, **headers)).status


# --- local failures -------------------------------------------------------------


@pytest.mark.parametrize(
    ("call", "error"),
    [
        *(("socket", error) for error in SOCKET_ERRORS),
        *(("connect", error) for error in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN)),
        *(("connect", error) for error in (errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC)),
    ],
)
@loopback
async def test_a_local_failure_blames_no_server_and_uses_up_no_attempt(call, error):
    upstream = await Upstream([OK]).start()
    async with sidecar_with_faults(upstream, PolicyLimits={"MaxAttempts": 1}) as (sidecar, app, faults):
        before = fault_records(sidecar.driver.balancer)
        faults.script(call, error, error, error, error)
        assert await ask(app, "/look") == 200
        assert (faults.injected[call, error], len(upstream.seen)) == (4, 1)
        assert fault_records(sidecar.driver.balancer) == before


@pytest.mark.parametrize("error", [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
@loopback
async def test_a_connect_error_of_server_or_network_gives_the_outcome_connect_failed(error):
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with sidecar_with_faults(upstream, balancer=balancer) as (_, app, faults):
        faults.script("connect", error)
        assert await ask(app, "/look") == 502
        assert balancer.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]


@loopback
async def test_an_interrupted_connect_is_continued():
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with sidecar_with_faults(upstream, balancer=balancer) as (_, app, faults):
        faults.script("connect", errno.EINTR)
        assert await ask(app, "/look") == 200
        assert faults.injected["connect", errno.EINTR] == 1
        assert balancer.outcomes() == [(0, Outcome.OK, True)]


@pytest.mark.parametrize("target", ["/look", "/pay", "/book"])
@loopback
async def test_a_request_is_refused_in_time_after_few_attempts_if_no_socket_can_be_created(target):
    """Nothing was sent, so that requests of all classes may be refused and no server counts as silent."""
    upstreams = [await Upstream([OK]).start() for _ in range(2)]
    loop = asyncio.get_running_loop()
    async with sidecar_with_faults(*upstreams) as (sidecar, app, faults):
        before, started_at = fault_records(sidecar.driver.balancer), loop.time()
        faults.share("socket", 1.0, (errno.ENOMEM,))
        assert await ask(app, target, X_Budget="400m") == 503
        assert loop.time() - started_at < 0.4 + 0.5
        # The backoff doubles, starting at 5 ms, so that few attempts are made.
        assert 3 <= faults.injected["socket", errno.ENOMEM] <= 12
        assert fault_records(sidecar.driver.balancer) == before
        faults.clear()
        assert await ask(app, target) == 200


@loopback
async def test_an_attempt_in_its_local_backoff_is_abandoned_when_its_client_disconnects(monkeypatch):
    upstream = await Upstream([OK]).start()
    monkeypatch.setattr(connecting, "LOCAL_BACKOFF_S", 60.0)
    monkeypatch.setattr(connecting, "MAX_LOCAL_BACKOFF_S", 60.0)
    balancer = ScriptedBalancer()
    async with sidecar_with_faults(upstream, balancer=balancer, **never_cancels()) as (sidecar, app, faults):
        faults.script("socket", errno.ENOMEM)
        app.send()
        await until(lambda: faults.injected and not sidecar.pool.opening_count)
        assert balancer.outcomes() == []
        app.close()
        await until(lambda: balancer.outcomes())
        assert balancer.outcomes() == [(0, Outcome.ABANDONED, True)]
        assert not balancer.named("unsent")


@pytest.mark.parametrize(("call", "error"), [("socket", errno.ENFILE), ("connect", errno.EADDRNOTAVAIL)])
@pytest.mark.parametrize("failures", [1, 3])
@loopback
async def test_a_server_that_joins_during_local_failures_gets_its_requests(call, error, failures):
    """Each of the first attempts at a new server opens a connection, so that only it has local failures.

    Two failures in a row must not eject it. A single failure must not rank it behind all servers that have no
    attempts in flight.
    """
    known, joining = await Upstream([OK]).start(), await Upstream([OK]).start()
    async with sidecar_with_faults(known, Report={"How": "off"}) as (sidecar, app, faults):
        for _ in range(4):
            await app.ask()
        list_changes(sidecar, entry("s1", joining.address))
        faults.script(call, *[error] * failures)
        for _ in range(400):
            assert await ask(app, "/look") == 200
            if len(joining.seen) >= 8:
                break
        assert faults.injected[call, error] == failures
        assert ejection_record(sidecar.driver.balancer, "s1") == (0.0, 0, 0.0)
        assert len(joining.seen) >= 8
    joining.stop()


# --- reads and writes that fail or are short -------------------------------------------------


@pytest.mark.parametrize("error", [*BROKEN, errno.ECONNRESET])
@pytest.mark.parametrize(("target", "status"), [("/look", 200), ("/book", 200), ("/pay", 502)])
@loopback
async def test_a_failed_read_gives_the_outcome_reset_for_each_error(error, target, status):
    """The request was written completely and may have run: it is resent only if it may run twice."""
    upstreams = [await Upstream([OK]).start() for _ in range(2)]
    async with sidecar_with_faults(*upstreams) as (sidecar, app, faults):
        faults.script("recv", error, on=connected_to(*upstreams))
        assert await ask(app, target) == status
        sent = sum(len(upstream.seen) for upstream in upstreams)
        assert (faults.injected["recv", error], sent) == (1, 2 if status == 200 else 1)
        (fault_share,) = fault_shares(sidecar.driver.balancer)
        assert fault_share > 0.0


@pytest.mark.parametrize("error", [*BROKEN, errno.ECONNRESET, errno.EPIPE])
@pytest.mark.parametrize("before", [0, 1, 3])
@pytest.mark.parametrize("target", ["/look", "/book", "/pay"])
@loopback
async def test_a_failed_write_proves_for_each_error_that_the_request_did_not_run(error, before, target):
    """The request is written in part at most, and is sent to another server exactly once."""
    upstreams = [await Upstream([OK]).start() for _ in range(2)]
    async with sidecar_with_faults(*upstreams) as (_, app, faults):
        faults.shorten("send", 20, on=connected_to(*upstreams))
        faults.script("send", *[None] * before, error, on=connected_to(*upstreams))
        assert await ask(app, target) == 200
        assert faults.injected["send", error] == 1
        assert sum(len(upstream.seen) for upstream in upstreams) == 1


@pytest.mark.parametrize("reply", [OK, CHUNKED])
@pytest.mark.parametrize("error", [errno.EINTR, errno.EAGAIN])
@loopback
async def test_reads_and_writes_of_one_byte_between_interruptions_lose_nothing(reply, error):
    upstream = await Upstream([reply]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with sidecar_with_faults(upstream, balancer=balancer) as (_, app, faults):
        for call in ("recv", "send"):
            faults.shorten(call, 1, on=connected_to(upstream))
            faults.script(call, error, None, None, error, error, on=connected_to(upstream))
        for body in (b"", b"x" * 300):
            answer = await app.ask("POST", "/pay", body)
            assert (answer.status, answer.body) == (200, b"done")
        assert [seen.body for seen in upstream.seen] == [b"", b"x" * 300]
        assert {seen.connection for seen in upstream.seen} == {0}
        assert faults.injected["recv", error] == faults.injected["send", error] == 3
        assert balancer.outcomes() == [(0, Outcome.OK, True)] * 2


@loopback
async def test_a_body_in_short_writes_is_complete_and_a_failed_write_proves_that_it_did_not_run():
    body = b"0123456789abcdef" * 16384
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with sidecar_with_faults(upstream, balancer=balancer) as (_, app, faults):
        faults.shorten("send", 10_000, on=connected_to(upstream))
        assert (await app.ask("POST", "/pay", body)).status == 200
        assert [seen.body for seen in upstream.seen] == [body]
        faults.script("send", *[None] * 12, errno.ETIMEDOUT, on=connected_to(upstream))
        assert (await app.ask("POST", "/pay", body)).status == 502
        assert balancer.outcomes() == [(0, Outcome.OK, True), (0, Outcome.CONNECT_FAILED, False)]
        assert len(upstream.seen) == 1


@loopback
async def test_a_failed_real_a_connection_closes_that_connection_and_affects_no_request(monkeypatch):
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with sidecar_with_faults(upstream, balancer=balancer) as (sidecar, app, _):
        assert await ask(app, "/pay") == 200
        (connection,) = sidecar.pool.connections
        descriptor = connection.transport.get_extra_info("socket").fileno()
        real_poll, failed = select.poll, []

        class Poll:
            """A poll object whose first poll of the first connection fails."""

            def __init__(self):
                self.real, self.descriptor = real_poll(), -1

            def register(self, descriptor, events):
                self.descriptor = descriptor
                self.real.register(descriptor, events)

            def poll(self, timeout):
                if self.descriptor == descriptor and not failed:
                    failed.append(descriptor)
                    raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
                return self.real.poll(timeout)

        monkeypatch.setattr(select, "poll", Poll)
        assert await ask(app, "/pay") == 200
        assert failed
        assert balancer.outcomes() == [(0, Outcome.OK, True)] * 2
        assert [seen.connection for seen in upstream.seen] == [0, 1]


@pytest.mark.parametrize("seed", range(4))
@loopback
async def test_under_random_faults_each_request_has_one_final_answer_and_runs_as_often_as_allowed(seed):
    upstreams = [await Upstream([OK]).start() for _ in range(4)]
    to_servers = connected_to(*upstreams)
    async with sidecar_with_faults(*upstreams, seed=seed) as (sidecar, first, faults):
        apps = [first, *[await App.connect(sidecar.address) for _ in range(5)]]
        faults.share("socket", 0.15, SOCKET_ERRORS)
        faults.share("connect", 0.15, CONNECT_ERRORS)
        faults.share("recv", 0.05, (*BROKEN, errno.ECONNRESET, errno.EINTR, errno.EAGAIN), on=to_servers)
        faults.share("send", 0.05, (*BROKEN, errno.EPIPE, errno.EINTR, errno.EAGAIN), on=to_servers)
        faults.shorten("send", 200, on=to_servers)
        faults.shorten("recv", 60, on=to_servers)
        answers = {}

        async def send_requests(number, app):
            for turn in range(40):
                target = ("/look", "/book", "/pay")[(number + turn) % 3]
                name = f"{number:08x}{turn:08x}"
                answers[name] = target, await ask(app, target, X_Call_Id=name)

        await asyncio.gather(*(send_requests(number, app) for number, app in enumerate(apps)))
        assert len(answers) == 40 * len(apps)
        runs = {}
        for upstream in upstreams:
            for seen in upstream.seen:
                runs[seen.headers["x-call-id"]] = runs.get(seen.headers["x-call-id"], 0) + 1
        for name, (target, status) in answers.items():
            assert status in (200, 502, 503), (name, target, status)
            assert runs.get(name, 0) <= (1 if target == "/pay" else 3), (name, target)
            assert runs.get(name, 0) >= (status == 200), (name, target)
            assert status != 503 or target == "/look" or not runs.get(name), (
                name,
                target,
            )  # A refused request must not have run
        served = sum(status == 200 for _, status in answers.values())
        assert served >= 0.8 * len(answers), served
        for app in apps[1:]:
            app.close()


# --- idle connections closed by servers, and attempts that fail at once ------------------------


def reset(writer):
    """Close a connection by a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def reset_at_request(reader, writer):
    """Answer a request by a TCP reset, as a server does that no longer knows the connection."""
    reset(writer)


@pytest.mark.parametrize("how", ["closed", "reset", "forgotten"])
@pytest.mark.parametrize("target", ["/look", "/book", "/pay"])
@loopback
async def test_requests_are_answered_although_servers_close_idle_connections(how, target):
    """A close before the request is detected; a reset in reply to the request gives the outcome reset."""
    upstreams = [await Upstream([OK]).start() for _ in range(3)]
    async with sidecar_with_faults(*upstreams, Report={"How": "off"}) as (sidecar, app, _):
        for _ in range(200):
            assert await ask(app, "/look") == 200
            if all(upstream.seen for upstream in upstreams):
                break
        resetting = upstreams if target == "/pay" else upstreams[:2]  # One server answers the third attempt
        for upstream in upstreams:
            upstream.seen.clear()
            for writer in upstream.writers:
                if how == "closed":
                    writer.close()
                elif how == "reset":
                    reset(writer)
            upstream.replies = (
                [reset_at_request, OK] if how == "forgotten" and upstream in resetting else [OK]
            )
        status = await ask(app, target)
        sent = sum(len(upstream.seen) for upstream in upstreams)
        if target == "/pay" and how == "forgotten":
            assert (status, sent) == (502, 1)  # The request may have run
        else:
            assert status == 200
            assert sent <= 3 if how == "forgotten" else sent == 1
        assert await ask(app, "/look") == 200
        assert leaked_counts(sidecar.driver.balancer)["servers' attempts in flight"] == 0


@pytest.mark.parametrize("limits", [{}, PARALLEL], ids=["one at a time", "hedged"])
@pytest.mark.parametrize("how", ["refused", "reset"])
@pytest.mark.parametrize("target", ["/look", "/book", "/pay"])
@loopback
async def test_a_request_whose_attempts_all_fail_at_once_is_answered_before_its_deadline(how, target, limits):
    upstreams = [await Upstream([break_off]).start() for _ in range(4)]
    loop = asyncio.get_running_loop()
    async with sidecar_with_faults(*upstreams, **limits) as (_, app, _faults):
        if how == "refused":
            for upstream in upstreams:
                upstream.stop()
        started_at = loop.time()
        status = await ask(app, target)
        assert loop.time() - started_at < 2.0  # The deadline is after 4 s
        sent = sum(len(upstream.seen) for upstream in upstreams)
        if how == "refused":
            assert (status, sent) == (503, 0)  # The request never ran, so that the client may retry it
        else:
            assert status == (503 if target == "/look" else 502)
            assert 1 <= sent <= (1 if target == "/pay" else 3)


# --- the remaining time that an attempt passes on to its server ------------------------------------


class StoppedClock:
    """Replaces the sidecar's clock by one that only the test advances."""

    def __init__(self, sidecar):
        self.time = sidecar.driver.clock.now()
        sidecar.driver.clock.now = lambda: self.time


@pytest.mark.parametrize("late_ms", [0.0, 1500.0, 3900.0])
@pytest.mark.parametrize("kind", ["retry", "hedge"])
@loopback
async def test_a_later_attempt_passes_on_at_most_the_remaining_time_although_its_write_is_delayed(
    monkeypatch, kind, late_ms
):
    """The connection opens late, and the process pauses for 0.15 s between reading its clock and writing."""
    first = await Upstream([break_off if kind == "retry" else hang]).start()
    second = await Upstream([OK]).start()
    gate = Gate(monkeypatch, [second])
    retries = [lambda number: SendAttempt(number, "s1", 0.0)]
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            SendAttempt(arrival.request, "s0", 0.0),
            *(SendAttempt(arrival.request, "s1", 0.0) for _ in range(kind == "hedge")),
        ],
        outcome=lambda now, number, hop, status, spent, last, report: (
            [] if last else [retries.pop()(number)] if retries and kind == "retry" else [FailRequest(number)]
        ),
    )
    async with running_until_idle(first, second, balancer=balancer, **PARALLEL | never_cancels()) as sidecar:
        writes = []
        original_begin = server_connection.ServerConnection.begin
        clock = StoppedClock(sidecar)
        arrived = clock.time

        def delayed_begin(connection, exchange, message):
            if connection.server.name == "s1":
                clock.time += 150.0
                writes.append((message, clock.time))
            original_begin(connection, exchange, message)

        monkeypatch.setattr(server_connection.ServerConnection, "begin", delayed_begin)
        app = await start_request(sidecar, X_Budget="4000m")
        await until(lambda: gate.waiting)
        clock.time += late_ms
        gate.open.set()
        assert (await app.answer()).status == 200
        ((message, written),) = writes
        (line,) = [line for line in message.split(b"\r\n") if line.lower().startswith(b"x-budget")]
        budget_ms = float(line.partition(b":")[2].strip().removesuffix(b"u")) / 1000.0
        left_ms = arrived + 4000.0 - written
        assert budget_ms <= left_ms + 150.0
        assert budget_ms >= left_ms
        first.stop()
