"""The idle connections to servers: the choice of the next one to use, and their time-outs.

Times are in milliseconds of the sidecar's clock.
"""

from __future__ import annotations

import asyncio

from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.servers.server_connection import ServerConnection, ServerIncarnation

# Share of a server's idle time-out (a setting) after which an idle connection is closed here. The server
# closes it after the whole time-out by its own clock, and a request must arrive before that. The other tenth
# of the time-out covers transit, event loop lag and the interval of the sweep.
IDLE_SHARE = 0.9
SWEEP_MS = 200.0  # Interval between two sweeps that close expired idle connections, in milliseconds
# Idle time, in milliseconds, before a connection is preferred for the next request. A faulty server may send
# a second answer some milliseconds after the first, which is recognised only while the connection is idle.
SETTLE_MS = 20.0


class IdleConnections:
    """Keeps the idle connections of each server and closes each connection before its server would.

    The connections are stored in `ServerIncarnation.idle`, in the order in which they became idle.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self.max_idle_ms = 0.0
        self.sweeping = False  # True while a sweep is scheduled
        self._loop = loop
        self._clock = clock
        # Servers with idle connections, as an ordered set; some may have lost theirs since the last sweep.
        self._servers: dict[ServerIncarnation, None] = {}

    @property
    def servers(self) -> list[ServerIncarnation]:
        """The servers with idle connections; some may have lost theirs since the last sweep."""
        return list(self._servers)

    def expire_after(self, server_limit_ms: float) -> None:
        """Set the idle time-out of the servers, from which the time-out of connections here follows."""
        self.max_idle_ms = server_limit_ms * IDLE_SHARE

    def add(self, connection: ServerConnection) -> None:
        """Add a connection that has just become idle."""
        connection.idle_since = self._clock.now()
        connection.server.idle.append(connection)
        self._servers[connection.server] = None
        if not self.sweeping:
            self.sweeping = True
            self._loop.call_later(SWEEP_MS / 1000.0, self.sweep)

    def take(self, server: ServerIncarnation) -> ServerConnection | None:
        """Remove and return an idle connection on which a request can be sent; None if the server has none.

        Connections that are found to be closing, or idle for too long, are closed.
        """
        now = self._clock.now()
        while server.idle:
            connection = self._newest_settled(server, now)
            if now - connection.idle_since < self.max_idle_ms and connection.usable():
                return connection
            connection.abort()
        return None

    def discard(self, connection: ServerConnection) -> None:
        """Remove a closed connection if it was idle."""
        idle = connection.server.idle
        if connection in idle:
            idle.remove(connection)

    def close_all(self, server: ServerIncarnation) -> None:
        """Close all idle connections to a server."""
        for connection in server.idle:
            connection.abort()
        server.idle.clear()

    def close_oldest(self) -> ServerConnection | None:
        """Close and return the connection that has been idle the longest; None if none is idle."""
        idle = [server.idle[0] for server in self._servers if server.idle]
        if not idle:
            return None
        oldest = min(idle, key=lambda connection: connection.idle_since)
        oldest.server.idle.remove(oldest)
        oldest.abort()
        return oldest

    def sweep(self) -> None:
        """Close the connections that have been idle for too long.

        Only servers with idle connections are visited, since the endpoint list may have thousands of servers.
        """
        expired_since = self._clock.now() - self.max_idle_ms
        for server in self._servers:
            while server.idle and server.idle[0].idle_since <= expired_since:
                server.idle.pop(0).abort()
        self._servers = {server: None for server in self._servers if server.idle}
        self.sweeping = bool(self._servers)
        if self.sweeping:
            self._loop.call_later(SWEEP_MS / 1000.0, self.sweep)

    @staticmethod
    def _newest_settled(server: ServerIncarnation, now: float) -> ServerConnection:
        """Remove and return an idle connection of a server, preferring one idle for at least `SETTLE_MS`.

        Return the most recently used of those, or of all if there are none.
        """
        idle, settled_since = server.idle, now - SETTLE_MS
        for index in range(len(idle) - 1, -1, -1):
            if idle[index].idle_since <= settled_since:
                return idle.pop(index)
        return idle.pop()
