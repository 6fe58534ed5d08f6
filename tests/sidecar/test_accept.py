"""Accepting client connections: socket options, failed `accept` calls, and the backlog at a shutdown."""

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
    accept_calls_of,
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


def accepted_socket(connection):
    """Return the sidecar's socket of a client connection."""
    return connection.transport.get_extra_info("socket")


@pytest.mark.parametrize("inherits", [False, True])
@loopback
async def test_accepted_connections_have_tcp_nodelay_set(inherits):
    # Without TCP_NODELAY the kernel delays small writes. Delayed bytes are lost if the connection is reset,
    # and arrive 40 ms late if the client delays its ACK.
    async with running() as sidecar:
        address = sidecar.address
        if inherits:
            sidecar.inbound.stop_listening()
            listening = socket.create_server(("127.0.0.1", 0))
            address = sidecar.inbound.listen(address, listening.detach())
        app = await App.connect(address)
        await until(lambda: sidecar.inbound.connections)
        assert accepted_socket(sidecar.inbound.connections[0]).getsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY
        )
        app.close()


@loopback
async def test_requests_in_the_backlog_are_answered_before_the_shutdown_ends(immediate_shutdown):
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.inbound.listener.pause(PATIENCE_S)  # only the shutdown accepts connections
        waiting_sockets = connect_sockets(sidecar.address, 3)
        for sock in waiting_sockets:
            sock.sendall(request())
        await sidecar.drain()
        sidecar.close()
        for sock in waiting_sockets:
            answer = await last_answer_on(sock)
            assert (answer.body, answer.headers["connection"]) == (b"done", "close")


# Results of successive `accept` calls by test case: an error number, or None for a call that succeeds.
FAILED_ACCEPTS = {
    **{errno.errorcode[number]: (None, number) for number in ACCEPT_ERRORS},
    "many broken connections": (None, *(errno.ECONNABORTED,) * 100, None, errno.EPROTO),
    "no free descriptor for some time": (None, *(errno.EMFILE, errno.ENFILE) * 10),
}


@pytest.mark.parametrize("failure", FAILED_ACCEPTS)
@loopback
async def test_requests_in_the_backlog_are_answered_although_an_accept_fails(immediate_shutdown, failure):
    # A failed accept must not make the shutdown close the listening socket, because closing it resets all
    # connections that still wait.
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        sidecar.inbound.listener.pause(PATIENCE_S)  # only the shutdown accepts connections
        waiting_sockets = connect_sockets(sidecar.address, 4)
        for sock in waiting_sockets:
            sock.sendall(request())
        with Faults() as faults:
            faults.script("accept", *FAILED_ACCEPTS[failure], on=accept_calls_of(sidecar))
            await sidecar.drain()
        sidecar.close()
        assert faults.injected.total() == sum(result is not None for result in FAILED_ACCEPTS[failure])
        for sock in waiting_sockets:
            answer = await last_answer_on(sock)
            assert (answer.body, answer.headers["connection"]) == (b"done", "close")


@loopback
async def test_shutdown_accepts_the_backlog_as_capacity_becomes_free(immediate_shutdown, monkeypatch):
    release = asyncio.Event()

    async def answer_after_release(reader, writer):
        await release.wait()
        return OK

    upstream = await Upstream([answer_after_release]).start()
    async with running(upstream) as sidecar:
        monkeypatch.setattr(inbound, "RESERVED_DESCRIPTORS", 0)
        sidecar.inbound.limits.open_connections = 3
        sidecar.inbound.listener.pause(PATIENCE_S)
        waiting_sockets = connect_sockets(sidecar.address, 5)
        for sock in waiting_sockets:
            sock.sendall(request())
        shutdown = asyncio.create_task(sidecar.drain())
        await until(lambda: len(upstream.seen) == 3)
        release.set()
        await shutdown
        sidecar.close()
        for sock in waiting_sockets:
            assert (await last_answer_on(sock)).body == b"done"


@loopback
async def test_shutdown_ends_although_the_backlog_can_not_be_accepted(immediate_shutdown, monkeypatch):
    monkeypatch.setattr(listener, "BACKLOG_TIMEOUT_S", 0.05)
    async with running() as sidecar:
        with Faults() as faults:
            faults.share("accept", 1.0, (errno.ENFILE,), on=accept_calls_of(sidecar))
            await sidecar.drain()
        assert faults.injected["accept", errno.ENFILE] > 1 and sidecar.inbound.all_connections_closed


@loopback
async def test_only_a_second_failed_accept_in_a_row_evicts_a_connection(monkeypatch):
    monkeypatch.setattr(inbound, "QUIET_BEFORE_EVICTION_MS", 0.0)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        idle_client = await App.connect(sidecar.address)
        await idle_client.ask()
        (connection,) = sidecar.inbound.connections
        for failures, evicts in ((1, False), (2, True)):
            with Faults() as faults:
                faults.script("accept", *(errno.ENFILE,) * failures, on=accept_calls_of(sidecar))
                (new_socket,) = connect_sockets(sidecar.address, 1)
                await until(lambda failures=failures, faults=faults: faults.injected.total() == failures)
            new_socket.sendall(request(Connection="close"))
            assert (await last_answer_on(new_socket)).body == b"done"
            assert (connection not in sidecar.inbound.connections) == evicts
        idle_client.close()


@loopback
async def test_connections_are_accepted_although_half_of_the_accept_calls_fail(monkeypatch):
    monkeypatch.setattr(listener, "EXHAUSTED_PAUSE_S", 0.001)
    upstream = await Upstream([OK]).start()
    async with running(upstream) as sidecar:
        with Faults(seed=7) as faults:
            faults.share("accept", 0.5, ACCEPT_ERRORS, on=accept_calls_of(sidecar))
            client_sockets = connect_sockets(sidecar.address, 60)
            for sock in client_sockets:
                sock.sendall(request(Connection="close"))
            answers = [await last_answer_on(sock) for sock in client_sockets]
        assert {answer.body for answer in answers} == {b"done"}
        assert {number for _, number in faults.injected} == set(ACCEPT_ERRORS)


@loopback
async def test_the_backlog_of_an_inherited_socket_is_left_to_the_next_process(immediate_shutdown):
    async with running() as sidecar:
        sidecar.inbound.stop_listening()
        listening = socket.create_server(("127.0.0.1", 0))
        address = sidecar.inbound.listen(sidecar.address, os.dup(listening.fileno()))
        sidecar.inbound.listener.pause(PATIENCE_S)
        (waiting_socket,) = connect_sockets(address, 1)
        sidecar.inbound.stop_listening()
        assert sidecar.inbound.all_connections_closed
        listening.settimeout(PATIENCE_S)
        accepted_elsewhere, _ = listening.accept()
        for sock in (accepted_elsewhere, waiting_socket, listening):
            sock.close()
