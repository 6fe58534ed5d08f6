"""Pools, and connections of theirs, for tests without a sidecar around them."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.discovery.endpoint_list import parse_list
from brassfall.sidecar.servers.pool import ConnectionPool
from brassfall.sidecar.servers.server_connection import ServerConnection
from tests.support.loopback import entry, listed, sidecar_config

SMALL_BUFFER = 4096  # bytes that the kernel holds of what is written


def servers_of(*entries):
    """Changes of the endpoint list."""
    return parse_list(listed(42, *entries, snapshot=False), sidecar_config().names)


def pool_of(address, **settings):
    """A pool with one server, s0, at this address."""
    loop = asyncio.get_running_loop()
    pool = ConnectionPool(loop, Clock(loop), sidecar_config(**settings))
    pool.update_servers(0.0, servers_of(entry("s0", address)), complete=True)
    return pool


@contextlib.asynccontextmanager
async def slow_connection(pool):
    """A connection to s0 over a pair of sockets with small buffers, and the far end."""
    near, far = socket.socketpair()
    for end in (near, far):
        end.setblocking(False)
        end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        lambda: ServerConnection(pool, pool.servers["s0"]), sock=near
    )
    try:
        yield connection, far
    finally:
        far.close()
