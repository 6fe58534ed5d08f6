"""Helpers for tests with clients and a sidecar in one process: connecting, leaving, and waiting."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from brassfall.balancer.model import SendAttempt
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.clients.read_control import PauseReason
from tests.support import loopback
from tests.support.loopback import PATIENCE_S, App, ScriptedBalancer, read_message, until

LONG_BUDGET = "60000m"  # `X-Budget` of a request whose deadline is later than the end of the test


async def wait_until_released(sidecar):
    """Wait until the sidecar has no request, no client connection, and no memory reserved for messages."""
    await until(
        lambda: (
            sidecar.inbound.all_connections_closed and sidecar.driver.idle and loopback.nothing_left(sidecar)
        )
    )
    assert sidecar.inbound.budget.used == 0


async def only_connection(sidecar):
    """Return the only client connection, as soon as the sidecar has accepted it."""
    await until(lambda: sidecar.inbound.connections)
    (connection,) = sidecar.inbound.connections
    return connection


@contextlib.asynccontextmanager
async def connected_client(*upstreams, little_buffering=False, **settings):
    """Yield a sidecar, a client, and the sidecar's connection of that client.

    At the end, closes the client and waits until the sidecar has released everything. With `little_buffering`
    the sockets of the connection have small buffers.
    """
    async with loopback.running(*upstreams, **settings) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await only_connection(sidecar)
        if little_buffering:
            loopback.small_buffers(connection.transport, app.writer.transport)
        yield sidecar, app, connection
        app.close()
        await wait_until_released(sidecar)


def count_reading_requests(sidecar):
    """Return the number of connections on which a request is being read."""
    return sum(
        connection.state is ConnectionState.READING_REQUEST for connection in sidecar.inbound.connections
    )


async def fill_socket_buffers(connection):
    """Write a little more than the socket buffers take, but not so much that reading is paused."""
    checks_with_unsent_bytes = 0
    # The buffers count as full after ten checks in a row with unsent bytes, because the kernel moves bytes
    # from one socket to the other for some time.
    while checks_with_unsent_bytes < 10:
        checks_with_unsent_bytes += 1
        if not connection.transport.get_write_buffer_size():
            connection.write(b"x" * 8192)
            checks_with_unsent_bytes = 0
        await asyncio.sleep(0.002)
    assert not connection.read_control.paused_for(PauseReason.UNREAD_ANSWERS)


# --- ways in which a client closes its connection -------------------------------------------------


def half_close(app):
    """Shut down the sending side of the client's connection; the client can still read."""
    app.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)


def close_with_reset(app):
    """Close the client's connection with a reset, even if the client has unread input."""
    linger = struct.pack("ii", 1, 0)
    app.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    app.writer.transport.abort()


EACH_WAY_TO_LEAVE = pytest.mark.parametrize("leave", [half_close, App.close, close_with_reset])


class HoldingBalancer(ScriptedBalancer):
    """Balancer that holds back each request until `send_held_requests` is called.

    It then sends those requests whose clients have not left.
    """

    def __init__(self):
        super().__init__(request=lambda now, arrival: [], peer_message=self._on_peer_message)

    def send_held_requests(self, sidecar):
        """Give the balancer an event, which it answers by sending the requests that it holds back."""
        sidecar.driver.peer_message(0, b"")

    def _on_peer_message(self, now, peer, data):
        left = {number for (number,) in self.named("client_gone")}
        held = [arrival.request for (arrival,) in self.named("request") if arrival.request not in left]
        return [SendAttempt(number, "s0", 0.0) for number in held]


# --- clients on plain sockets ----------------------------------------------------------


def connect_sockets(address, count):
    """Return `count` new client sockets, which wait in the backlog until the event loop runs again."""
    return [socket.create_connection(address) for _ in range(count)]


def closed_by_peer(sock):
    """Return whether the other end has closed the connection of `sock`, without waiting."""
    sock.setblocking(False)
    try:
        return sock.recv(1) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


async def last_answer_on(sock):
    """Return the answer that arrives on `sock`; fail unless the connection is closed after it."""
    reader, writer = await asyncio.open_connection(sock=sock)
    answer = await read_message(reader)
    assert answer is not None and await reader.read() == b""
    writer.close()
    return answer


def accept_calls_of(sidecar):
    """Return a filter that selects the system calls on the listening socket of a sidecar."""
    return lambda sock: sock.getsockname() == sidecar.address


@contextlib.asynccontextmanager
async def accept_paused(sidecar):
    """Let new connections wait in the backlog during the `with` block."""
    sidecar.inbound.listener.pause(PATIENCE_S)
    yield
    sidecar.inbound.listener.resume()
