"""Failures between this machine and its servers: of this machine's system calls, of connections that break,
of servers that drop what is idle. What may run once runs once, the rest is sent elsewhere, each request has
its final answer in time, and no server is blamed for what this machine could not do."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import select
import socket
import struct

import pytest

from brassfall.balancer.model import Fail, Outcome, Send
from brassfall.sidecar.servers import connecting, server_connection
from tests.support.balancer_records import blame, ejection_of, fault_shares, left_over
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


def to(*upstreams):
    """Return a filter of the sidecar's sockets to these servers, for faults as they are read and written."""
    addresses = {upstream.address for upstream in upstreams}

    def picked(sock):
        with contextlib.suppress(OSError):
            return "{}:{}".format(*sock.getpeername()) in addresses
        return False

    return picked


@contextlib.asynccontextmanager
async def client_of(*upstreams, seed=0, **settings):
    """A sidecar, a client that is connected to it, and faults to be injected from now on.

    Discovery's connection is open: the next one that is opened is to a server.
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
    """Return the status that a request gets."""
    return (await app.ask("GET" if target == "/look" else "POST", target, **headers)).status


# --- failures of this machine -------------------------------------------------------------


@pytest.mark.parametrize(
    ("call", "error"),
    [
        *(("socket", error) for error in SOCKET_ERRORS),
        *(("connect", error) for error in (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN)),
        *(("connect", error) for error in (errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC)),
    ],
)
@loopback
async def test_a_failure_of_this_machine_blames_no_server_and_uses_up_no_attempt(call, error):
    upstream = await Upstream([OK]).start()
    async with client_of(upstream, PolicyLimits={"MaxAttempts": 1}) as (sidecar, app, faults):
        before = blame(sidecar.driver.balancer)
        faults.script(call, error, error, error, error)
        assert await ask(app, "/look") == 200
        assert (faults.injected[call, error], len(upstream.seen)) == (4, 1)
        assert blame(sidecar.driver.balancer) == before


@pytest.mark.parametrize("error", [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
@loopback
async def test_an_error_of_the_server_or_the_network_is_a_failure_to_connect(error):
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with client_of(upstream, balancer=balancer) as (_, app, faults):
        faults.script("connect", error)
        assert await ask(app, "/look") == 502
        assert balancer.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]


@loopback
async def test_a_connect_that_is_interrupted_goes_on():
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with client_of(upstream, balancer=balancer) as (_, app, faults):
        faults.script("connect", errno.EINTR)
        assert await ask(app, "/look") == 200
        assert faults.injected["connect", errno.EINTR] == 1
        assert balancer.outcomes() == [(0, Outcome.OK, True)]


@pytest.mark.parametrize("target", ["/look", "/pay", "/book"])
@loopback
async def test_a_request_is_refused_in_time_after_few_attempts_if_no_connection_can_be_opened(target):
    """Nothing was sent: a request of any class may be refused, and no server counts as silent."""
    upstreams = [await Upstream([OK]).start() for _ in range(2)]
    loop = asyncio.get_running_loop()
    async with client_of(*upstreams) as (sidecar, app, faults):
        before, began = blame(sidecar.driver.balancer), loop.time()
        faults.share("socket", 1.0, (errno.ENOMEM,))
        assert await ask(app, target, X_Budget="400m") == 503
        assert loop.time() - began < 0.4 + 0.5
        assert 3 <= faults.injected["socket", errno.ENOMEM] <= 12  # pauses double, by 5 ms at first
        assert blame(sidecar.driver.balancer) == before
        faults.clear()
        assert await ask(app, target) == 200


@loopback
async def test_an_attempt_that_waits_out_a_failure_of_this_machine_ends_with_its_client(monkeypatch):
    upstream = await Upstream([OK]).start()
    monkeypatch.setattr(connecting, "LOCAL_BACKOFF_S", 60.0)
    monkeypatch.setattr(connecting, "MAX_LOCAL_BACKOFF_S", 60.0)
    balancer = ScriptedBalancer()
    async with client_of(upstream, balancer=balancer, **never_cancels()) as (sidecar, app, faults):
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
async def test_a_server_that_joins_while_this_machine_fails_gets_its_calls(call, error, failures):
    """It has no connection yet: each of its first attempts opens one, so that it alone meets the failures.

    Two in a row must not eject it, and one alone must not rank it behind all others with nothing in flight.
    """
    known, joining = await Upstream([OK]).start(), await Upstream([OK]).start()
    async with client_of(known, Report={"How": "off"}) as (sidecar, app, faults):
        for _ in range(4):
            await app.ask()
        list_changes(sidecar, entry("s1", joining.address))
        faults.script(call, *[error] * failures)
        for _ in range(400):
            assert await ask(app, "/look") == 200
            if len(joining.seen) >= 8:
                break
        assert faults.injected[call, error] == failures
        assert ejection_of(sidecar.driver.balancer, "s1") == (0.0, 0, 0.0)
        assert len(joining.seen) >= 8
    joining.stop()


# --- reads and writes that fail or are short -------------------------------------------------


@pytest.mark.parametrize("error", [*BROKEN, errno.ECONNRESET])
@pytest.mark.parametrize(("target", "status"), [("/look", 200), ("/book", 200), ("/pay", 502)])
@loopback
async def test_a_broken_read_is_a_reset_by_whatever_error_it_shows(error, target, status):
    """The request was written completely and may have run: one that may run only once is not sent again."""
    upstreams = [await Upstream([OK]).start() for _ in range(2)]
    async with client_of(*upstreams) as (sidecar, app, faults):
        faults.script("recv", error, on=to(*upstreams))
        assert await ask(app, target) == status
        sent = sum(len(upstream.seen) for upstream in upstreams)
        assert (faults.injected["recv", error], sent) == (1, 2 if status == 200 else 1)
        (fault_share,) = fault_shares(sidecar.driver.balancer)
        assert fault_share > 0.0


@pytest.mark.parametrize("error", [*BROKEN, errno.ECONNRESET, errno.EPIPE])
@pytest.mark.parametrize("before", [0, 1, 3])
@pytest.mark.parametrize("target", ["/look", "/book", "/pay"])
@loopback
async def test_a_broken_write_proves_that_nothing_ran_by_whatever_error_it_shows(error, before, target):
    """The request is not written completely, though some bytes may be: it is sent elsewhere, once."""
    upstreams = [await Upstream([OK]).start() for _ in range(2)]
    async with client_of(*upstreams) as (_, app, faults):
        faults.shorten("send", 20, on=to(*upstreams))
        faults.script("send", *[None] * before, error, on=to(*upstreams))
        assert await ask(app, target) == 200
        assert faults.injected["send", error] == 1
        assert sum(len(upstream.seen) for upstream in upstreams) == 1


@pytest.mark.parametrize("reply", [OK, CHUNKED])
@pytest.mark.parametrize("error", [errno.EINTR, errno.EAGAIN])
@loopback
async def test_reads_and_writes_of_one_byte_between_interruptions_carry_all(reply, error):
    upstream = await Upstream([reply]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with client_of(upstream, balancer=balancer) as (_, app, faults):
        for call in ("recv", "send"):
            faults.shorten(call, 1, on=to(upstream))
            faults.script(call, error, None, None, error, error, on=to(upstream))
        for body in (b"", b"x" * 300):
            answer = await app.ask("POST", "/pay", body)
            assert (answer.status, answer.body) == (200, b"done")
        assert [seen.body for seen in upstream.seen] == [b"", b"x" * 300]
        assert {seen.connection for seen in upstream.seen} == {0}
        assert faults.injected["recv", error] == faults.injected["send", error] == 3
        assert balancer.outcomes() == [(0, Outcome.OK, True)] * 2


@loopback
async def test_a_body_that_flows_in_short_writes_is_complete_and_has_never_run_if_one_breaks():
    body = b"0123456789abcdef" * 16384
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with client_of(upstream, balancer=balancer) as (_, app, faults):
        faults.shorten("send", 10_000, on=to(upstream))
        assert (await app.ask("POST", "/pay", body)).status == 200
        assert [seen.body for seen in upstream.seen] == [body]
        faults.script("send", *[None] * 12, errno.ETIMEDOUT, on=to(upstream))
        assert (await app.ask("POST", "/pay", body)).status == 502
        assert balancer.outcomes() == [(0, Outcome.OK, True), (0, Outcome.CONNECT_FAILED, False)]
        assert len(upstream.seen) == 1


@loopback
async def test_a_look_at_a_connection_that_fails_costs_that_connection_and_no_request(monkeypatch):
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with client_of(upstream, balancer=balancer) as (sidecar, app, _):
        assert await ask(app, "/pay") == 200
        (connection,) = sidecar.pool.connections
        descriptor = connection.transport.get_extra_info("socket").fileno()
        real, failed = select.poll, []

        class Poll:
            """Can't look at the first connection, once."""

            def __init__(self):
                self.poll_of, self.descriptor = real(), -1

            def register(self, descriptor, events):
                self.descriptor = descriptor
                self.poll_of.register(descriptor, events)

            def poll(self, timeout):
                if self.descriptor == descriptor and not failed:
                    failed.append(descriptor)
                    raise OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))
                return self.poll_of.poll(timeout)

        monkeypatch.setattr(select, "poll", Poll)
        assert await ask(app, "/pay") == 200
        assert failed
        assert balancer.outcomes() == [(0, Outcome.OK, True)] * 2
        assert [seen.connection for seen in upstream.seen] == [0, 1]


@pytest.mark.parametrize("seed", range(4))
@loopback
async def test_under_faults_in_all_calls_each_request_has_one_final_answer_and_runs_as_often_as_it_may(seed):
    upstreams = [await Upstream([OK]).start() for _ in range(4)]
    picked = to(*upstreams)
    async with client_of(*upstreams, seed=seed) as (sidecar, first, faults):
        apps = [first, *[await App.connect(sidecar.address) for _ in range(5)]]
        faults.share("socket", 0.15, SOCKET_ERRORS)
        faults.share("connect", 0.15, CONNECT_ERRORS)
        faults.share("recv", 0.05, (*BROKEN, errno.ECONNRESET, errno.EINTR, errno.EAGAIN), on=picked)
        faults.share("send", 0.05, (*BROKEN, errno.EPIPE, errno.EINTR, errno.EAGAIN), on=picked)
        faults.shorten("send", 200, on=picked)
        faults.shorten("recv", 60, on=picked)
        ended = {}

        async def calls(number, app):
            for turn in range(40):
                target = ("/look", "/book", "/pay")[(number + turn) % 3]
                name = f"{number:08x}{turn:08x}"
                ended[name] = target, await ask(app, target, X_Call_Id=name)

        await asyncio.gather(*(calls(number, app) for number, app in enumerate(apps)))
        assert len(ended) == 40 * len(apps)
        runs = {}
        for upstream in upstreams:
            for seen in upstream.seen:
                runs[seen.headers["x-call-id"]] = runs.get(seen.headers["x-call-id"], 0) + 1
        for name, (target, status) in ended.items():
            assert status in (200, 502, 503), (name, target, status)
            assert runs.get(name, 0) <= (1 if target == "/pay" else 3), (name, target)
            assert runs.get(name, 0) >= (status == 200), (name, target)
            assert status != 503 or target == "/look" or not runs.get(name), (
                name,
                target,
            )  # refused: never ran
        served = sum(status == 200 for _, status in ended.values())
        assert served >= 0.8 * len(ended), served
        for app in apps[1:]:
            app.close()


# --- what servers do to idle connections, and attempts that fail at once ------------------------


def reset(writer):
    """Close a connection by a reset."""
    linger = struct.pack("ii", 1, 0)
    writer.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def forgotten(reader, writer):
    """A reply that resets a connection which the server has forgotten."""
    reset(writer)


@pytest.mark.parametrize("how", ["closed", "reset", "forgotten"])
@pytest.mark.parametrize("target", ["/look", "/book", "/pay"])
@loopback
async def test_idle_connections_that_a_server_closes_keep_no_request_from_its_answer(how, target):
    """An end that arrives before the request is seen; one that shows only at the request is a reset."""
    upstreams = [await Upstream([OK]).start() for _ in range(3)]
    async with client_of(*upstreams, Report={"How": "off"}) as (sidecar, app, _):
        for _ in range(200):
            assert await ask(app, "/look") == 200
            if all(upstream.seen for upstream in upstreams):
                break
        forgetful = upstreams if target == "/pay" else upstreams[:2]  # one is left for the third attempt
        for upstream in upstreams:
            upstream.seen.clear()
            for writer in upstream.writers:
                if how == "closed":
                    writer.close()
                elif how == "reset":
                    reset(writer)
            upstream.replies = [forgotten, OK] if how == "forgotten" and upstream in forgetful else [OK]
        status = await ask(app, target)
        sent = sum(len(upstream.seen) for upstream in upstreams)
        if target == "/pay" and how == "forgotten":
            assert (status, sent) == (502, 1)  # it may have run
        else:
            assert status == 200
            assert sent <= 3 if how == "forgotten" else sent == 1
        assert await ask(app, "/look") == 200
        assert left_over(sidecar.driver.balancer)["servers' attempts in flight"] == 0


@pytest.mark.parametrize("limits", [{}, PARALLEL], ids=["one at a time", "hedged"])
@pytest.mark.parametrize("how", ["refused", "reset"])
@pytest.mark.parametrize("target", ["/look", "/book", "/pay"])
@loopback
async def test_a_request_whose_attempts_all_fail_at_once_has_its_final_answer_at_once(how, target, limits):
    upstreams = [await Upstream([break_off]).start() for _ in range(4)]
    loop = asyncio.get_running_loop()
    async with client_of(*upstreams, **limits) as (_, app, _faults):
        if how == "refused":
            for upstream in upstreams:
                upstream.stop()
        began = loop.time()
        status = await ask(app, target)
        assert loop.time() - began < 2.0  # of four seconds
        sent = sum(len(upstream.seen) for upstream in upstreams)
        if how == "refused":
            assert (status, sent) == (503, 0)  # no harm in trying again: it never ran
        else:
            assert status == (503 if target == "/look" else 502)
            assert 1 <= sent <= (1 if target == "/pay" else 3)


# --- the time that an attempt tells its server -----------------------------------------------------


class StoppedClock:
    """The sidecar's clock, which only the test moves."""

    def __init__(self, sidecar):
        self.time = sidecar.driver.clock.now()
        sidecar.driver.clock.now = lambda: self.time


@pytest.mark.parametrize("late_ms", [0.0, 1500.0, 3900.0])
@pytest.mark.parametrize("kind", ["retry", "hedge"])
@loopback
async def test_a_later_attempt_passes_on_at_most_the_time_left_though_its_write_is_delayed(
    monkeypatch, kind, late_ms
):
    """On a connection that is established late, with 0.15 s between reading the clock and the write."""
    first = await Upstream([break_off if kind == "retry" else hang]).start()
    second = await Upstream([OK]).start()
    gate = Gate(monkeypatch, [second])
    retries = [lambda number: Send(number, "s1", 0.0)]
    balancer = ScriptedBalancer(
        request=lambda now, arrival: [
            Send(arrival.request, "s0", 0.0),
            *(Send(arrival.request, "s1", 0.0) for _ in range(kind == "hedge")),
        ],
        outcome=lambda now, number, hop, status, spent, last, report: (
            [] if last else [retries.pop()(number)] if retries and kind == "retry" else [Fail(number)]
        ),
    )
    async with running_until_idle(first, second, balancer=balancer, **PARALLEL | never_cancels()) as sidecar:
        writes = []
        begin = server_connection.ServerConnection.begin
        clock = StoppedClock(sidecar)
        arrived = clock.time

        def delayed(connection, exchange, message):
            if connection.server.name == "s1":
                clock.time += 150.0
                writes.append((message, clock.time))
            begin(connection, exchange, message)

        monkeypatch.setattr(server_connection.ServerConnection, "begin", delayed)
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
