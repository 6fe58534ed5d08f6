"""Connection pools and server connections for tests without a sidecar."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.discovery.endpoint_list import parse_list
from brassfall.sidecar.servers.pool import ConnectionPool
from brassfall.sidecar.servers.server_connection import ServerConnection
from tests.support.loopback import entry, listed, sidecar_config

SMALL_BUFFER = 4096  # Size of the kernel's send buffer of a socket, in bytes


def servers_of(*entries):
    """Return changes of the endpoint list with these entries."""
    return parse_list(listed(42, *entries, snapshot=False), sidecar_config().names)


def pool_of(address, **settings):
    """Return a connection pool with one server, s0, at an address."""
    loop = asyncio.get_running_loop()
    pool = ConnectionPool(loop, Clock(loop), sidecar_config(**settings))
    pool.update_servers(0.0, servers_of(entry("s0", address)), complete=True)
    return pool


@contextlib.asynccontextmanager
async def slow_connection(pool):
    """Give a connection to s0 over a socket pair with small buffers, and the server's end of the pair."""
    client_end, server_end = socket.socketpair()
    for sock in (client_end, server_end):
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        lambda: ServerConnection(pool, pool.servers["s0"]), sock=client_end
    )
    try:
        yield connection, server_end
    finally:
        server_end.close()
