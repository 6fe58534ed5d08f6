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
from tests.support.clients import closed_by_peer, connect_sockets, reading_requests
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
from tests.support.processes import Process


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
        assert await apps[0].answer() is None  # closed between requests
        third.send()
        await until(lambda: len(upstream.seen) == 3)
        fourth = await App.connect(sidecar.address)
        answer = await fourth.ask()
        assert (answer.status, answer.headers["connection"]) == (503, "close")


@loopback
async def test_past_the_high_water_mark_each_answer_is_the_last_on_its_connection():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.inbound.limits.high_water = 2
        apps = [await App.connect(sidecar.address) for _ in range(3)]
        await until(lambda: len(sidecar.inbound.connections) == 3)
        assert (await apps[0].ask()).headers["connection"] == "close"
        await until(lambda: len(sidecar.inbound.connections) == 2)
        assert "connection" not in (await apps[1].ask()).headers


@loopback
async def test_connections_are_evicted_by_least_progress(monkeypatch):
    monkeypatch.setattr(inbound, "QUIET_BEFORE_EVICTION_MS", 0.0)
    balancer = ScriptedBalancer(request=lambda now, arrival: [])  # answers none
    async with running(balancer=balancer) as sidecar:
        apps = [await App.connect(sidecar.address) for _ in range(5)]
        busy, begun, silent, later, idle = apps
        busy.send()
        whole = partners.request("POST", "/pay", b"hello")
        begun.writer.write(whole[:-1])
        await until(lambda: sidecar.inbound.busy_connections == 1)
        await until(lambda: reading_requests(sidecar) == 1)
        answer = await idle.ask("GET", "/health/ready", X_Call_Class=None)
        assert answer.headers.get("connection") is None
        sidecar.inbound.limits.high_water = 1
        # Silent connections go by age, and before one with an incomplete request.
        for held, gone in enumerate((idle, silent, later, begun), start=2):
            new = await App.connect(sidecar.address)
            assert await gone.answer() is None
            new.send()
            apps.append(new)  # a reference keeps it open
            await until(lambda held=held: sidecar.inbound.busy_connections == held)
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
async def test_a_request_in_slow_pieces_is_not_evicted_below_the_limit():
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.inbound.limits.high_water = 1
        slow = await App.connect(sidecar.address)
        whole = partners.request("POST", "/pay", b"hello")
        slow.writer.write(whole[:-1])
        crowd = [await App.connect(sidecar.address) for _ in range(20)]
        await until(lambda: len(sidecar.inbound.connections) == 1 + len(crowd))
        slow.writer.write(whole[-1:])
        assert (await slow.answer()).body == b"done"


@pytest.mark.parametrize(("sockets", "most"), [(256, 85), (384, 128), (64, 16)])
@loopback
async def test_client_requests_hold_no_more_than_a_third_of_all_descriptors(sockets, most):
    async with running(raw={"limits": {"sockets": sockets}}) as sidecar:
        assert sidecar.inbound.limits.busy_connections == most


def descriptors():
    return len(os.listdir("/proc/self/fd"))


async def most_descriptors(condition):
    """The most descriptors that are open after any turn of the loop, until a condition holds."""
    most = 0
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(0)
            most = max(most, descriptors())
    return most


@loopback
async def test_a_burst_of_connections_leaves_the_reserved_descriptors_free():
    # Up to 32 connections are accepted in a turn of the loop, and evicted ones are closed a turn or two
    # later: meanwhile they must not use the descriptors of discovery and servers.
    async with running(raw={"limits": {"sockets": 64}}) as sidecar:
        crowd = connect_sockets(sidecar.address, 150)
        before = descriptors()
        limit = sidecar.inbound.limits.open_connections
        most = await most_descriptors(lambda: sum(map(closed_by_peer, crowd)) >= 150 - limit)
        assert most - before <= sidecar.inbound.limits.open_connections + connection_limits.RESERVED_DESCRIPTORS
        for sock in crowd:
            sock.close()


@loopback
async def test_not_every_connection_of_a_burst_causes_a_search_for_one_to_evict():
    # A search for each of many silent clients would close the last of them later than the 3 s that the
    # protocol allows, on a small share of a core.
    async with running(raw={"limits": {"sockets": 256}}) as sidecar:
        looks, look = [], sidecar.inbound.evict_connections
        sidecar.inbound.evict_connections = lambda most: looks.append(most) or look(most)
        crowd = connect_sockets(sidecar.address, 400)
        await until(lambda: sum(map(closed_by_peer, crowd)) >= 400 - sidecar.inbound.limits.open_connections)
        assert len(looks) < 120
        for sock in crowd:
            sock.close()


@loopback
async def test_without_a_free_descriptor_a_quiet_connection_is_evicted(monkeypatch):
    monkeypatch.setattr(inbound, "QUIET_BEFORE_EVICTION_MS", 0.0)
    async with running() as sidecar:
        quiet = connect_sockets(sidecar.address, 3)
        await until(lambda: len(sidecar.inbound.connections) == 3)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        new = connect_sockets(sidecar.address, 1)[0]
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 1, hard))
        spare = []
        try:
            with contextlib.suppress(OSError):
                while True:
                    spare.append(socket.socket())
            new.sendall(request())
            await until(lambda: any(map(closed_by_peer, quiet)))
            await until(lambda: len(sidecar.inbound.connections) == 3)
            assert sum(map(closed_by_peer, quiet)) == 1
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            for sock in (*spare, *quiet, new):
                sock.close()


@loopback
async def test_an_evicted_idle_connection_is_seen_closed_at_once():
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
        # Before the next turn of the loop: a request on a connection that looks open would be lost.
        assert closed_by_peer(sock)
        await until(lambda: sidecar.inbound.all_connections_closed)
        sock.close()


async def idler(address):
    """A client that says nothing, and comes again when it is closed."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await reader.read()
            finally:
                writer.transport.abort()


@loopback
async def test_the_return_of_discovery_is_noticed_though_idle_clients_fill_the_descriptors(tmp_path):
    limit, held = 96, socket.socket()
    held.bind(("127.0.0.1", 0))  # refuses calls until it listens; clients might take a free port
    discovery = "{}:{}".format(*held.getsockname())
    sidecar = await Process.start(tmp_path, discovery=discovery, limits={"sockets": limit})
    crowd = [asyncio.create_task(idler(sidecar.address)) for _ in range(150)]
    path = f"/proc/{sidecar.process.pid}/fd"
    most = 0
    for _ in range(300):
        most = max(most, len(os.listdir(path)))
        await asyncio.sleep(0.001)
    assert 40 < most <= limit
    upstreams = [await Upstream([OK]).start() for _ in range(8)]
    registry = await Registry().start(sock=held)
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
    assert len(os.listdir(path)) <= limit
    for task in crowd:
        task.cancel()
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    registry.stop()
    for upstream in upstreams:
        upstream.stop()
