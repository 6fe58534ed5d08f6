"""Limits on the number of client connections, and which connections are evicted."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket

import pytest

from brassfall.sidecar.clients import (
    connection_limits,
    inbound,
)
from brassfall.sidecar.clients.connection_state import ConnectionState
from tests.support import loopback as partners
from tests.support.clients import closed_by_peer, connect_sockets, count_reading_requests
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    Registry,
    ScriptedBalancer,
    Upstream,
    entry,
    hang,
    loopback,
    request,
    running,
    until,
)
from tests.support.processes import Process, idle_clients


@loopback
async def test_idle_connections_are_evicted_before_a_request_is_rejected():
    upstream = await Upstream([OK, hang]).start()
    async with running(upstream) as sidecar:
        sidecar.inbound.limits.busy_connections = sidecar.inbound.limits.high_water = 2
        apps = [await App.connect(sidecar.address) for _ in range(2)]
        assert (await apps[0].ask()).status == 200
        apps[1].send()
        await until(lambda: len(upstream.seen) == 2)
        third = await App.connect(sidecar.address)
        assert await apps[0].answer() is None  # the connection was closed while it was idle
        third.send()
        await until(lambda: len(upstream.seen) == 3)
        fourth = await App.connect(sidecar.address)
        answer = await fourth.ask()
        assert (answer.status, answer.headers["connection"]) == (503, "close")


@loopback
async def test_above_the_high_water_mark_each_connection_closes_after_its_answer():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.inbound.limits.high_water = 2
        apps = [await App.connect(sidecar.address) for _ in range(3)]
        await until(lambda: len(sidecar.inbound.connections) == 3)
        assert (await apps[0].ask()).headers["connection"] == "close"
        await until(lambda: len(sidecar.inbound.connections) == 2)
        assert "connection" not in (await apps[1].ask()).headers


@loopback
async def test_connections_with_the_least_progress_are_evicted_first(monkeypatch):
    monkeypatch.setattr(inbound, "QUIET_BEFORE_EVICTION_MS", 0.0)
    balancer = ScriptedBalancer(request=lambda now, arrival: [])  # the balancer answers no request
    async with running(balancer=balancer) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(5)]
        busy, reading, silent, silent_later, idle = apps
        busy.send()
        whole_request = partners.request("POST", "/pay", b"hello")
        reading.writer.write(whole_request[:-1])
        await until(lambda: sidecar.inbound.busy_connections == 1)
        await until(lambda: count_reading_requests(sidecar) == 1)
        answer = await idle.ask("GET", "/health/ready", X_Call_Class=None)
        assert answer.headers.get("connection") is None
        sidecar.inbound.limits.high_water = 1
        # Silent connections are evicted in the order of their age, and before one with an incomplete request.
        for busy_count, evicted in enumerate((idle, silent, silent_later, reading), start=2):
            new = await App.connect(sidecar.address)
            assert await evicted.answer() is None
            new.send()
            apps.append(new)  # this reference keeps the client's connection open
            await until(lambda busy_count=busy_count: sidecar.inbound.busy_connections == busy_count)
        last = await App.connect(sidecar.address)
        assert (await last.ask("GET", "/health/ready", X_Call_Class=None)).status == 200
        busy.close()


@loopback
async def test_a_lower_limit_evicts_open_connections_and_not_new_ones():
    upstream = await Upstream([OK]).start()
    async with running(upstream, raw={"limits": {"sockets": 256}}) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(60)]
        for app in apps:
            assert "connection" not in (await app.ask("GET", "/health/ready", X_Call_Class=None)).headers
        sidecar.inbound.set_machine_share(0.5)
        assert len(sidecar.inbound.connections) <= sidecar.inbound.limits.high_water < 60
        new = await App.connect(sidecar.address)
        assert (await new.ask()).body == b"done"
        assert await apps[0].answer() is None


@loopback
async def test_a_connection_with_a_slowly_sent_request_is_not_evicted_below_the_limit():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.inbound.limits.high_water = 1
        slow = await App.connect(sidecar.address)
        whole_request = partners.request("POST", "/pay", b"hello")
        slow.writer.write(whole_request[:-1])
        idle_clients = [await App.connect(sidecar.address) for _ in range(20)]
        await until(lambda: len(sidecar.inbound.connections) == 1 + len(idle_clients))
        slow.writer.write(whole_request[-1:])
        assert (await slow.answer()).body == b"done"


@pytest.mark.parametrize(("sockets", "limit"), [(256, 85), (384, 128), (64, 16)])
@loopback
async def test_connections_with_requests_use_at_most_a_third_of_all_descriptors(sockets, limit):
    async with running(raw={"limits": {"sockets": sockets}}) as sidecar:
        assert sidecar.inbound.limits.busy_connections == limit


def open_descriptors():
    """Return the number of descriptors that this process has open."""
    return len(os.listdir("/proc/self/fd"))


async def most_open_descriptors(condition):
    """Return the largest number of open descriptors, counted after each turn of the event loop.

    Counting ends once `condition` holds.
    """
    most = 0
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(0)
            most = max(most, open_descriptors())
    return most


@loopback
async def test_a_burst_of_connections_leaves_the_reserved_descriptors_free():
    # Up to 32 connections are accepted in one turn of the event loop, and evicted ones are closed one or two
    # turns later. Until then they must not use the descriptors of discovery and of servers.
    async with running(raw={"limits": {"sockets": 64}}) as sidecar:
        client_sockets = connect_sockets(sidecar.address, 150)
        before = open_descriptors()
        limit = sidecar.inbound.limits.open_connections
        most = await most_open_descriptors(lambda: sum(map(closed_by_peer, client_sockets)) >= 150 - limit)
        assert (
            most - before <= sidecar.inbound.limits.open_connections + connection_limits.RESERVED_DESCRIPTORS
        )
        for sock in client_sockets:
            sock.close()


@loopback
async def test_a_burst_of_connections_causes_few_searches_for_one_to_evict():
    # If each of many silent clients caused a search, a process with a small share of a core would close the
    # last of them later than the 3 s that the protocol allows.
    async with running(raw={"limits": {"sockets": 256}}) as sidecar:
        searches, evict_connections = [], sidecar.inbound.evict_connections
        sidecar.inbound.evict_connections = lambda count: searches.append(count) or evict_connections(count)
        client_sockets = connect_sockets(sidecar.address, 400)
        await until(
            lambda: sum(map(closed_by_peer, client_sockets)) >= 400 - sidecar.inbound.limits.open_connections
        )
        assert len(searches) < 120
        for sock in client_sockets:
            sock.close()


@loopback
async def test_a_quiet_connection_is_evicted_if_no_descriptor_is_free(monkeypatch):
    monkeypatch.setattr(inbound, "QUIET_BEFORE_EVICTION_MS", 0.0)
    async with running() as sidecar:
        quiet = connect_sockets(sidecar.address, 3)
        await until(lambda: len(sidecar.inbound.connections) == 3)
        soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
        new = connect_sockets(sidecar.address, 1)[0]
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 1, hard_limit)
        )
        unused_sockets = []  # sockets that take all descriptors that are still free
        try:
            with contextlib.suppress(OSError):
                while True:
                    unused_sockets.append(socket.socket())
            new.sendall(request())
            await until(lambda: any(map(closed_by_peer, quiet)))
            await until(lambda: len(sidecar.inbound.connections) == 3)
            assert sum(map(closed_by_peer, quiet)) == 1
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft_limit, hard_limit))
            for sock in (*unused_sockets, *quiet, new):
                sock.close()


@loopback
async def test_the_client_sees_the_eviction_of_its_idle_connection_at_once():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sock = connect_sockets(sidecar.address, 1)[0]
        sock.sendall(request())
        await until(
            lambda: (
                upstream.seen
                and sidecar.inbound.connections
                and sidecar.inbound.connections[0].state is ConnectionState.AWAITING_NEXT_REQUEST
                and not sidecar.inbound.connections[0].busy
            )
        )
        assert sock.recv(4096).endswith(b"done")
        sidecar.inbound.evict_connections(1)
        # The client checks in the same turn of the event loop: a request that it sends on a connection that
        # still looks open would be lost.
        assert closed_by_peer(sock)
        await until(lambda: sidecar.inbound.all_connections_closed)
        sock.close()


@loopback
async def test_discovery_reconnects_although_idle_clients_use_up_the_descriptors(tmp_path):
    limit, discovery_socket = 96, socket.socket()
    # The bound socket refuses connections until it listens, and keeps its port from being used by a client.
    discovery_socket.bind(("127.0.0.1", 0))
    discovery = "{}:{}".format(*discovery_socket.getsockname())
    sidecar = await Process.start(tmp_path, discovery=discovery, limits={"sockets": limit})
    descriptors_path = f"/proc/{sidecar.process.pid}/fd"
    try:
        # The idle clients have a process of their own. In the event loop of this test they would delay its
        # requests until the sidecar has closed their connections, still unread, for newer ones.
        async with idle_clients(sidecar.address, 150):
            most = 0
            for _ in range(300):
                most = max(most, len(os.listdir(descriptors_path)))
                await asyncio.sleep(0.001)
            assert 40 < most <= limit
            upstreams = [await Upstream([OK]).start() for _ in range(8)]
            registry = await Registry().start(sock=discovery_socket)
            await until(lambda: registry.watches)
            registry.tell(
                2, *(entry(f"s{i}", upstream.address) for i, upstream in enumerate(upstreams)), snapshot=True
            )
            async with asyncio.timeout(PATIENCE_S):
                while True:
                    app = await App.connect(sidecar.address)
                    answer = await app.ask()
                    app.close()
                    if answer is not None and answer.body == b"done":
                        break
            assert len(os.listdir(descriptors_path)) <= limit
        sidecar.process.terminate()
        assert await sidecar.process.wait() == 0
    finally:
        if sidecar.process.returncode is None:
            sidecar.process.kill()
            await sidecar.process.wait()
    registry.stop()
    for upstream in upstreams:
        upstream.stop()
