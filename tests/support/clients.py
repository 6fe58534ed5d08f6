"""Clients of a sidecar in the same process: how they connect and leave, and what the sidecar holds."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from brassfall.balancer.model import Send
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.clients.read_control import PauseReason
from tests.support import loopback
from tests.support.loopback import PATIENCE_S, App, ScriptedBalancer, read_message, until

LONG_BUDGET = "60000m"  # no deadline ends before the test


async def released(sidecar):
    """Wait until a sidecar holds no request, client connection or memory of a message."""
    await until(
        lambda: (
            sidecar.inbound.all_connections_closed
            and sidecar.driver.idle
            and loopback.nothing_left(sidecar)
        )
    )
    assert sidecar.inbound.budget.used == 0


async def only_connection(sidecar):
    """The only connection of clients, once it is there."""
    await until(lambda: sidecar.inbound.connections)
    (connection,) = sidecar.inbound.connections
    return connection


@contextlib.asynccontextmanager
async def one_client(*upstreams, little_buffering=False, **settings):
    """A sidecar, a client and its connection; at the end nothing of the client is left in the sidecar."""
    async with loopback.running(*upstreams, **settings) as sidecar:
        app = await App.connect(sidecar.address)
        connection = await only_connection(sidecar)
        if little_buffering:
            loopback.small_buffers(connection.transport, app.writer.transport)
        yield sidecar, app, connection
        app.close()
        await released(sidecar)


def reading_requests(sidecar):
    """The number of connections on which a request is being read."""
    return sum(c.state is ConnectionState.READING_REQUEST for c in sidecar.inbound.connections)


async def fill_socket_buffers(connection):
    """Write a little more than the sockets hold, but not so much that reading is paused."""
    filled = 0
    while filled < 10:  # the kernel moves bytes on for a while
        filled += 1
        if not connection.transport.get_write_buffer_size():
            connection.write(b"x" * 8192)
            filled = 0
        await asyncio.sleep(0.002)
    assert not connection.read_control.paused_for(PauseReason.UNREAD_ANSWERS)


# --- the client's end of a connection -------------------------------------------------


def end_sending(app):
    """End the sending, and go on reading."""
    app.writer.get_extra_info("socket").shutdown(socket.SHUT_WR)


def reset(app):
    """Close with a reset, even with input unread."""
    linger = struct.pack("ii", 1, 0)
    app.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    app.writer.transport.abort()


EACH_WAY_TO_LEAVE = pytest.mark.parametrize("leave", [end_sending, App.close, reset])


class HeldRequests(ScriptedBalancer):
    """A balancer that holds each request until `send`, and then sends those whose clients have not left."""

    def __init__(self):
        super().__init__(request=lambda now, arrival: [], peer_message=self._on_message)

    def send(self, sidecar):
        """Send the requests that are held, in answer to an event."""
        sidecar.driver.peer_message(0, b"")

    def _on_message(self, now, peer, data):
        gone = {number for (number,) in self.named("client_gone")}
        held = [arrival.request for (arrival,) in self.named("request") if arrival.request not in gone]
        return [Send(number, "s0", 0.0) for number in held]


# --- clients on plain sockets ----------------------------------------------------------


def connect_sockets(address, count):
    """Connections in the backlog of the listening socket: no loop has turned meanwhile."""
    return [socket.create_connection(address) for _ in range(count)]


def closed_by_peer(sock):
    """Return whether the other end has closed, without waiting."""
    sock.setblocking(False)
    try:
        return sock.recv(1) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


async def last_answer_on(sock):
    """The answer on a plain socket, which has to be the last one on its connection."""
    reader, writer = await asyncio.open_connection(sock=sock)
    answer = await read_message(reader)
    assert answer is not None and await reader.read() == b""
    writer.close()
    return answer


def accepts_for(sidecar):
    """A filter for system calls on the socket on which a sidecar accepts its clients."""
    return lambda sock: sock.getsockname() == sidecar.address


@contextlib.asynccontextmanager
async def accept_paused(sidecar):
    """Connections stay in the backlog meanwhile."""
    sidecar.inbound.listener.pause(PATIENCE_S)
    yield
    sidecar.inbound.listener.resume()
