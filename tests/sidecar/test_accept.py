"""Accepting connections: socket options, failed calls of accept, and the backlog at the end."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

import pytest

from brassfall.sidecar.clients import (
    inbound,
    listener,
)
from tests.support.clients import (
    accepts_for,
    connect_sockets,
    last_answer_on,
)
from tests.support.loopback import (
    OK,
    PATIENCE_S,
    App,
    Upstream,
    loopback,
    request,
    running,
    until,
)
from tests.support.system_calls import ACCEPT_ERRORS, Faults


def own_socket(connection):
    """The sidecar's end of a client's connection."""
    return connection.transport.get_extra_info("socket")


@pytest.mark.parametrize("inherits", [False, True])
@loopback
async def test_small_writes_to_a_client_are_not_held_back_by_the_system(inherits):
    # Bytes that the system holds back are lost with a reset, and 40 ms late where the client delays its ACK.
    async with running() as sidecar:
        address = sidecar.address
        if inherits:
            sidecar.inbound.stop_listening()
            listening = socket.create_server(("127.0.0.1", 0))
            address = sidecar.inbound.listen(address, listening.detach())
        app = await App.connect(address)
        await until(lambda: sidecar.inbound.connections)
        assert own_socket(sidecar.inbound.connections[0]).getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        app.close()


@loopback
async def test_requests_in_the_backlog_are_answered_before_the_end(immediate_shutdown):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.inbound.listener.pause(PATIENCE_S)  # only the shutdown accepts
        crossed = connect_sockets(sidecar.address, 3)
        for sock in crossed:
            sock.sendall(request())
        await sidecar.drain()
        sidecar.close()
        for sock in crossed:
            answer = await last_answer_on(sock)
            assert (answer.body, answer.headers["connection"]) == (b"done", "close")


FAILED_ACCEPTS = {
    **{errno.errorcode[number]: (None, number) for number in ACCEPT_ERRORS},
    "many that broke": (None, *(errno.ECONNABORTED,) * 100, None, errno.EPROTO),
    "no descriptor for a while": (None, *(errno.EMFILE, errno.ENFILE) * 10),
}


@pytest.mark.parametrize("failed", FAILED_ACCEPTS)
@loopback
async def test_requests_behind_a_failed_accept_are_answered_before_the_end(immediate_shutdown, failed):
    # A failed accept must not close the listening socket, which would reset all connections behind it.
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.inbound.listener.pause(PATIENCE_S)  # only the shutdown accepts
        crossed = connect_sockets(sidecar.address, 4)
        for sock in crossed:
            sock.sendall(request())
        with Faults() as faults:
            faults.script("accept", *FAILED_ACCEPTS[failed], on=accepts_for(sidecar))
            await sidecar.drain()
        sidecar.close()
        assert faults.injected.total() == sum(result is not None for result in FAILED_ACCEPTS[failed])
        for sock in crossed:
            answer = await last_answer_on(sock)
            assert (answer.body, answer.headers["connection"]) == (b"done", "close")


@loopback
async def test_the_backlog_is_accepted_at_the_end_as_capacity_becomes_free(immediate_shutdown, monkeypatch):
    release = asyncio.Event()

    async def wait(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([wait]).start()
    async with running(upstream) as sidecar:
        monkeypatch.setattr(inbound, "RESERVED_DESCRIPTORS", 0)
        sidecar.inbound.limits.open_connections = 3
        sidecar.inbound.listener.pause(PATIENCE_S)
        crossed = connect_sockets(sidecar.address, 5)
        for sock in crossed:
            sock.sendall(request())
        end = asyncio.create_task(sidecar.drain())
        await until(lambda: len(upstream.seen) == 3)
        release.set()
        await end
        sidecar.close()
        for sock in crossed:
            assert (await last_answer_on(sock)).body == b"done"


@loopback
async def test_shutdown_ends_though_waiting_connections_can_not_be_accepted(immediate_shutdown, monkeypatch):
    monkeypatch.setattr(listener, "BACKLOG_TIMEOUT_S", 0.05)
    async with running() as sidecar:
        with Faults() as faults:
            faults.share("accept", 1.0, (errno.ENFILE,), on=accepts_for(sidecar))
            await sidecar.drain()
        assert faults.injected["accept", errno.ENFILE] > 1 and sidecar.inbound.all_connections_closed


@loopback
async def test_a_single_lack_of_a_descriptor_evicts_no_connection(monkeypatch):
    monkeypatch.setattr(inbound, "QUIET_BEFORE_EVICTION_MS", 0.0)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        resting = await App.connect(sidecar.address)
        await resting.ask()
        (connection,) = sidecar.inbound.connections
        for lacks, closes in ((1, False), (2, True)):
            with Faults() as faults:
                faults.script("accept", *(errno.ENFILE,) * lacks, on=accepts_for(sidecar))
                (new,) = connect_sockets(sidecar.address, 1)
                await until(lambda lacks=lacks, found=faults: found.injected.total() == lacks)
            new.sendall(request(Connection="close"))
            assert (await last_answer_on(new)).body == b"done"
            assert (connection not in sidecar.inbound.connections) == closes
        resting.close()


@loopback
async def test_failed_accepts_lose_no_connection(monkeypatch):
    monkeypatch.setattr(listener, "EXHAUSTED_PAUSE_S", 0.001)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        with Faults(seed=7) as faults:
            faults.share("accept", 0.5, ACCEPT_ERRORS, on=accepts_for(sidecar))
            crowd = connect_sockets(sidecar.address, 60)
            for sock in crowd:
                sock.sendall(request(Connection="close"))
            answers = [await last_answer_on(sock) for sock in crowd]
        assert {answer.body for answer in answers} == {b"done"}
        assert {number for _, number in faults.injected} == set(ACCEPT_ERRORS)


@loopback
async def test_the_backlog_of_an_inherited_socket_is_left_to_the_next_process(immediate_shutdown):
    async with running() as sidecar:
        sidecar.inbound.stop_listening()
        listening = socket.create_server(("127.0.0.1", 0))
        address = sidecar.inbound.listen(sidecar.address, os.dup(listening.fileno()))
        sidecar.inbound.listener.pause(PATIENCE_S)
        (waits,) = connect_sockets(address, 1)
        sidecar.inbound.stop_listening()
        assert sidecar.inbound.all_connections_closed
        listening.settimeout(PATIENCE_S)
        taken, _ = listening.accept()
        for sock in (taken, waits, listening):
            sock.close()
