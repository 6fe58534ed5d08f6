"""The idle connections to servers: which one is used next, and when each is closed.

Times are milliseconds by the sidecar's clock.
"""

from __future__ import annotations

import asyncio

from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.servers.server_connection import ServerConnection, ServerIncarnation

# A server closes a connection that was idle for the time in the settings, by its own clock: what is written
# must be there before. The other tenth covers transit, lag and the sweep.
IDLE_SHARE = 0.9
SWEEP_MS = 200.0
# A server's second answer may follow the first by some milliseconds: it is recognised as one only while the
# connection is idle.
SETTLE_MS = 20.0


class IdleConnections:
    """Keeps idle connections by server and closes each before its server would.

    The connections themselves are in `ServerIncarnation.idle`, in the order in which they became idle.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self.max_idle_ms = 0.0
        self.sweeping = False  # True while the next sweep is scheduled
        self._loop = loop
        self._clock = clock
        self._servers: dict[ServerIncarnation, None] = {}  # servers that have, or had, idle connections

    @property
    def servers(self) -> list[ServerIncarnation]:
        """The servers that have idle connections, and some that had them at the last sweep."""
        return list(self._servers)

    def expire_after(self, server_limit_ms: float) -> None:
        """Close connections in time for servers that close them after `server_limit_ms`."""
        self.max_idle_ms = server_limit_ms * IDLE_SHARE

    def add(self, connection: ServerConnection) -> None:
        """Keep a connection that has just become idle."""
        connection.idle_since = self._clock.now()
        connection.server.idle.append(connection)
        self._servers[connection.server] = None
        if not self.sweeping:
            self.sweeping = True
            self._loop.call_later(SWEEP_MS / 1000.0, self.sweep)

    def take(self, server: ServerIncarnation) -> ServerConnection | None:
        """Return a connection to a server that can be written to, which is idle no more; None without one.

        Connections that are found closing, or idle for too long, are closed on the way.
        """
        now = self._clock.now()
        while server.idle:
            connection = self._newest_settled(server, now)
            if now - connection.idle_since < self.max_idle_ms and connection.usable():
                return connection
            connection.abort()
        return None

    def discard(self, connection: ServerConnection) -> None:
        """Forget a connection that was closed, if it was idle."""
        idle = connection.server.idle
        if connection in idle:
            idle.remove(connection)

    def close_all(self, server: ServerIncarnation) -> None:
        """Close the idle connections to a server."""
        for connection in server.idle:
            connection.abort()
        server.idle.clear()

    def close_oldest(self) -> ServerConnection | None:
        """Close and return the connection that has been idle for longest; None if none is idle."""
        idle = [server.idle[0] for server in self._servers if server.idle]
        if not idle:
            return None
        oldest = min(idle, key=lambda connection: connection.idle_since)
        oldest.server.idle.remove(oldest)
        oldest.abort()
        return oldest

    def sweep(self) -> None:
        """Close connections that have been idle for too long.

        Only servers that have idle connections are visited: the list may have thousands.
        """
        until = self._clock.now() - self.max_idle_ms
        for server in self._servers:
            while server.idle and server.idle[0].idle_since <= until:
                server.idle.pop(0).abort()
        self._servers = {server: None for server in self._servers if server.idle}
        self.sweeping = bool(self._servers)
        if self.sweeping:
            self._loop.call_later(SWEEP_MS / 1000.0, self.sweep)

    @staticmethod
    def _newest_settled(server: ServerIncarnation, now: float) -> ServerConnection:
        """Remove and return the newest of the connections that have settled, or else the newest."""
        idle, until = server.idle, now - SETTLE_MS
        for place in range(len(idle) - 1, -1, -1):
            if idle[place].idle_since <= until:
                return idle.pop(place)
        return idle.pop()
