"""The connection pool: reuse and closing of connections, the connection limit, and draining servers."""

from __future__ import annotations

import asyncio
import functools
import gc
import math
import socket
import time

import pytest

from brassfall.balancer.model import CloseIdleConnections, Outcome, SendAttempt
from brassfall.sidecar.framing import AnswerParser
from brassfall.sidecar.servers.server_connection import ServerConnection
from tests.support.loopback import (
    OK,
    App,
    ScriptedBalancer,
    Upstream,
    entry,
    failing,
    hang,
    loopback,
    running,
    running_until_idle,
    until,
)
from tests.support.pools import pool_of, servers_of


@loopback
async def test_idle_connections_are_reused_newest_first_and_closed_ones_are_dropped():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        first_app, second_app = await App.connect(sidecar.address), await App.connect(sidecar.address)
        first_app.send()
        second_app.send()
        assert (await first_app.answer()).body == (await second_app.answer()).body == b"done"
        idle = sidecar.pool.servers["s0"].idle
        oldest, newest = idle
        assert (await first_app.ask()).body == b"done"
        assert idle == [oldest, newest]
        upstream.writers[upstream.seen[-1].connection].close()
        await until(lambda: idle == [oldest])
        assert (await first_app.ask()).body == b"done"
        assert len(upstream.writers) == 2


@loopback
async def test_a_connection_closed_by_the_server_is_not_usable_before_the_loop_reads_the_end():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        await (await App.connect(sidecar.address)).ask()
        (connection,) = sidecar.pool.servers["s0"].idle
        assert connection.usable()
        # No await follows, so that the event loop gets no turn to report the end of the connection.
        upstream.writers[0].get_extra_info("socket").shutdown(socket.SHUT_WR)
        assert not connection.usable()


@loopback
async def test_idle_connections_are_closed_before_the_server_closes_them():
    upstream = await Upstream([OK]).start()
    limits = {"MaxAttempts": 3, "IdleClose": 400.0}
    async with running(upstream, PolicyLimits=limits) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        (connection,) = sidecar.pool.servers["s0"].idle
        connection.idle_since -= 360.0
        assert (await app.ask()).body == b"done"
        assert [seen.connection for seen in upstream.seen] == [0, 1]
        await until(lambda: not sidecar.pool.servers["s0"].idle)
        await until(lambda: not sidecar.pool.idle.sweeping)


@pytest.mark.parametrize("turns", range(6))
@loopback
async def test_a_connection_established_during_a_pause_of_the_process_counts_as_established(turns):
    """Guards against connects that count as timed out because the process paused.

    The server would be blamed for that, and requests would be refused although servers are idle.
    """
    upstream, results = await Upstream([OK]).start(), []
    limits = {"MaxAttempts": 3, "ConnectTimeout": 30.0, "IdleClose": 5000.0}
    pool = pool_of(upstream.address, PolicyLimits=limits)
    pool.check_health("s0", results.append)
    for _ in range(turns):
        await asyncio.sleep(0)
    time.sleep(0.06)
    await until(lambda: results)
    assert results[0].outcome == Outcome.OK
    pool.close()
    upstream.stop()


@loopback
async def test_a_connection_that_is_never_established_fails_after_the_connect_timeout():
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        queued_sockets = [socket.socket() for _ in range(3)]
        for sock in queued_sockets:
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        loop, results = asyncio.get_running_loop(), []
        address = "{}:{}".format(*listener.getsockname())
        pool = pool_of(address, PolicyLimits={"ConnectTimeout": 30.0})
        pool.check_health("s0", results.append)
        started_at = loop.time()
        await until(lambda: results)
        assert results[0].outcome == Outcome.CONNECT_FAILED and loop.time() - started_at >= 0.03
        await until(lambda: not pool.opening_count)
        for sock in queued_sockets:
            sock.close()


@loopback
async def test_close_idle_closes_only_idle_connections():
    upstream = await Upstream([OK, OK, hang]).start()
    balancer = ScriptedBalancer(outcome=failing)
    async with running(upstream, balancer=balancer) as sidecar:
        first_app, second_app = await App.connect(sidecar.address), await App.connect(sidecar.address)
        first_app.send()
        second_app.send()
        await first_app.answer()
        await second_app.answer()
        first_app.send()
        await until(lambda: len(upstream.seen) == 3)
        busy = upstream.seen[2].connection
        sidecar.driver.perform(CloseIdleConnections("s0"))
        await until(lambda: upstream.writers[1 - busy].is_closing())
        assert not upstream.writers[busy].is_closing()


@loopback
async def test_at_its_limit_the_pool_closes_an_idle_connection_or_else_fails_to_connect():
    first, second = await Upstream([OK]).start(), await Upstream([OK, hang]).start()
    balancer = ScriptedBalancer(outcome=failing)
    servers = iter(["s0", "s1", "s1", "s1"])
    balancer.scripts["request"] = lambda now, arrival: [SendAttempt(arrival.request, next(servers), 0.0)]
    async with running(first, second, balancer=balancer) as sidecar:
        sidecar.pool.max_connections = 1
        app, other = await App.connect(sidecar.address), await App.connect(sidecar.address)
        assert (await app.ask()).body == b"done"
        assert (await app.ask()).body == b"done"
        await until(lambda: first.writers[0].is_closing())
        app.send()
        await until(lambda: len(second.seen) == 2)
        await other.ask()
        assert balancer.outcomes()[-1] == (0, Outcome.CONNECT_FAILED, False)


@loopback
async def test_a_lower_connection_limit_closes_idle_connections():
    upstream = await Upstream([OK]).start()
    async with running(upstream, raw={"limits": {"sockets": 64}}) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(12)]
        for app in apps:
            app.send()
        for app in apps:
            await app.answer()
        before = len(sidecar.pool.connections)
        sidecar.pool.set_descriptor_share(0.5)
        assert len(sidecar.pool.connections) == min(before, sidecar.pool.max_connections) < before


@loopback
async def test_a_sweep_visits_only_servers_with_idle_connections():
    """Guards against a sweep of thousands of servers, which would block the loop five times a second."""
    upstream = await Upstream([OK]).start()
    async with running(*[upstream] * 50) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        idle = sidecar.pool.idle
        (server,) = idle.servers
        idle.sweep()
        assert idle.servers == [server] and server.idle
        server.idle[0].idle_since -= 1e6
        idle.sweep()
        assert not server.idle and not idle.servers and not idle.sweeping
        await app.ask()
        assert idle.sweeping and len(idle.servers) == 1


# --- draining servers -----------------------------------------------------------------------


@pytest.mark.parametrize("state", ["leaving", "left"])
@loopback
async def test_no_request_is_started_after_the_grace_period_even_if_its_connection_was_opening(state):
    upstream = await Upstream([OK]).start()
    balancer = ScriptedBalancer(outcome=failing)
    leaving = servers_of(entry("s0", upstream.address, status=state))
    async with running(upstream, balancer=balancer, Rules={"StopSendingWithin": 0.0}) as sidecar:

        def send_then_update(now, arrival):
            # The watch event arrives while the attempt waits for its connection.
            update_servers = functools.partial(sidecar.pool.update_servers, now, leaving, complete=False)
            asyncio.get_running_loop().call_soon(update_servers)
            return [SendAttempt(arrival.request, "s0", 0.0)]

        balancer.scripts["request"] = send_then_update
        app = await App.connect(sidecar.address)
        await app.ask()
        assert balancer.outcomes() == [(0, Outcome.CONNECT_FAILED, False)]
        assert upstream.seen == []


@loopback
async def test_a_request_is_sent_to_a_draining_server_within_the_grace_period():
    upstream = await Upstream([OK]).start()
    async with running(
        upstream, balancer=ScriptedBalancer(), Rules={"StopSendingWithin": 60_000.0}
    ) as sidecar:
        app = await App.connect(sidecar.address)
        leaving = servers_of(entry("s0", upstream.address, status="leaving"))
        sidecar.pool.update_servers(sidecar.driver.clock.now(), leaving, complete=False)
        assert (await app.ask()).body == b"done"


@loopback
async def test_a_repeated_watch_event_does_not_extend_the_grace_period():
    upstream = await Upstream([OK]).start()
    pool = pool_of(upstream.address)
    leaving = servers_of(entry("s0", upstream.address, status="leaving"))
    pool.update_servers(1000.0, leaving, complete=False)
    pool.update_servers(1400.0, leaving, complete=False)
    assert 1000.0 < pool.servers["s0"].no_requests_from <= 1500.0
    upstream.stop()


@loopback
async def test_connections_from_before_a_restart_are_not_reused():
    upstream = await Upstream([OK]).start()
    async with running(upstream, balancer=ScriptedBalancer()) as sidecar:
        app = await App.connect(sidecar.address)
        await app.ask()
        # A machine that fails sends no resets, so that its connections look open until they are used.
        sidecar.pool.update_servers(
            0.0, servers_of(entry("s0", upstream.address, since_ms=1_790_000_000_000)), complete=False
        )
        await app.ask()
        assert [seen.connection for seen in upstream.seen] == [0, 1]


class AwaitedCall:
    """A small request that observes its own exchange; `result` is a future of the exchange's result."""

    body, revision_header = None, b""

    def __init__(self):
        self.result = asyncio.get_running_loop().create_future()

    def request_bytes(self, left):
        return b"GET / HTTP/1.1\r\n\r\n"

    def may_write(self):
        return True

    def request_written(self):
        pass

    def exchange_ended(self, result):
        self.result.set_result(result)


@loopback
async def test_nothing_is_written_to_an_old_incarnation_after_the_next_one_has_left(monkeypatch):
    loop, gate = asyncio.get_running_loop(), asyncio.Event()
    upstream = await Upstream().start()
    connect = loop.create_connection

    async def connect_and_wait(*args):
        connected = await connect(*args)
        await gate.wait()
        return connected

    def notify(**changes):
        pool.update_servers(0.0, servers_of(entry("s0", upstream.address, **changes)), complete=False)

    monkeypatch.setattr(loop, "create_connection", connect_and_wait)
    pool = pool_of(upstream.address, Rules={"StopSendingWithin": 500.0})
    call = AwaitedCall()
    pool.send("s0", call, math.inf, call)
    notify(since_ms=5)
    notify(since_ms=5, status="left")
    gate.set()
    result = await call.result
    assert result.outcome == Outcome.CONNECT_FAILED and not upstream.seen
    pool.close()
    upstream.stop()


def retained_message_bytes(connection):
    """Return the number of bytes of messages that a server connection refers to."""
    seen, objects, retained = set(), [connection], 0
    while objects:
        item = objects.pop()
        if id(item) in seen:
            continue
        seen.add(id(item))
        if isinstance(item, bytes | bytearray):
            retained += len(item)
        elif isinstance(item, dict | list | ServerConnection | AnswerParser):
            objects += gc.get_referents(item)
    return retained


@loopback
async def test_an_idle_connection_keeps_nothing_of_its_last_answer():
    """Guards against memory that grows with the idle connections: each once kept up to 64 KiB."""
    size, head = 60_000, b"HTTP/1.1 200 OK\r\nX-Long: %b\r\nContent-Length: %d\r\n\r\n"
    answer = head % (1000 * b"h", size) + size * b"x"
    upstream = await Upstream([answer]).start()
    async with running_until_idle(upstream) as sidecar:
        app = await App.connect(sidecar.address)
        assert len((await app.ask()).body) == size
        await until(lambda: sidecar.pool.idle_connections)
        (connection,) = sidecar.pool.idle_connections
        assert retained_message_bytes(connection) < 1000
        assert (await app.ask()).status == 200
