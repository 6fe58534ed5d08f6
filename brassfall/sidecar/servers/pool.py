"""The pool of connections to servers, and the attempts and health checks that go out on them.

Nothing here retries or selects a server: an attempt that meets a broken connection ends, and the balancer
takes its outcome. Times are milliseconds by the sidecar's clock unless a name ends in `_s`.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping, Set
from types import MappingProxyType

from brassfall.balancer.model import Listing, Outcome
from brassfall.sidecar.config import Config
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.core.clock import HOLD_UP_MS, Clock
from brassfall.sidecar.core.interfaces import Call, Result, Watcher
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.servers import health_checks
from brassfall.sidecar.servers.connecting import Connector
from brassfall.sidecar.servers.exchange import Done, Exchange
from brassfall.sidecar.servers.idle_connections import IdleConnections
from brassfall.sidecar.servers.server_answers import AnswerReader
from brassfall.sidecar.servers.server_connection import Connection, DelayObserver, Server

# A request that is begun so close to the end of a draining server's grace might be written past it.
GRACE_MARGIN_MS = HOLD_UP_MS
POOL_SHARE = 0.5  # of the descriptors that this process may hold


class Pool:
    """All servers in the endpoint list, and the connections to them.

    `delays`, if set, is given the delays that traffic shows. `stamp`, if set, gives the header line of the
    configuration revision in force: an attempt that was decided under another one is not sent.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, config: Config) -> None:
        self.loop = loop
        self.max_connections = 1  # established ones and those that are being opened
        self.delays: DelayObserver | None = None
        self.stamp: Callable[[], bytes] | None = None
        answers = AnswerReader(config.settings)
        self.result = answers.result
        self.idle = IdleConnections(loop, clock)
        self._reports = answers.reports
        self._clock = clock
        self._servers: dict[str, Server] = {}
        self._connections: set[Connection] = set()
        self._connector = Connector(self)
        self._grace = 0.0  # from the notice that a server drains, until no request is begun there
        self._limits = config.limits
        self.reload(config)
        self.share(1.0)

    def reload(self, config: Config) -> None:
        """Use other settings for the attempts that begin from now on."""
        self._connector.timeout_s = config.settings.connect_timeout / 1000.0
        self.idle.expire_after(config.settings.idle_close)
        self._warm_up = config.settings.warm_up
        self._regions = {number: name for name, number in config.names.zones.items()}
        before, self._grace = self._grace, max(0.0, config.drain_grace - GRACE_MARGIN_MS)
        for server in self._servers.values():  # those that drain already may have less, but no more
            server.closed_from -= max(0.0, before - self._grace)

    def share(self, part: float) -> None:
        """Hold no more connections than a process with this part of all descriptors may."""
        self.max_connections = max(1, int(self._limits.connections(part) * POOL_SHARE))
        while len(self._connections) > self.max_connections and self.close_oldest_idle():
            pass

    # --- views -----------------------------------------------------------------------

    @property
    def servers(self) -> Mapping[str, Server]:
        """The servers in the endpoint list, by name."""
        return MappingProxyType(self._servers)

    @property
    def connections(self) -> Set[Connection]:
        """All established connections."""
        return self._connections

    @property
    def idle_connections(self) -> list[Connection]:
        """The idle connections to the servers in the endpoint list."""
        return [connection for server in self._servers.values() for connection in server.idle]

    @property
    def opening(self) -> int:
        """The number of connections that are being opened."""
        return self._connector.opening

    # --- what the driver asks for (`interfaces.Upstreams`) ------------------------------

    def send(self, server: str, call: Call, expires: float, watcher: Watcher) -> Exchange:
        """Begin an attempt, on an idle connection or a new one; its outcome is reported in a later turn."""
        return self._begin(server, Exchange(call.wire, expires, watcher.ended, watcher, call.body))

    def check_health(self, server: str, done: Done) -> Exchange:
        """Begin a health check; `done` is called with its outcome in a later turn."""
        name = self._servers[server].name if server in self._servers else ""
        message = health_checks.message(name, with_report=self._reports)
        return self._begin(server, Exchange(lambda _left: message, math.inf, done))

    def update(self, now: float, servers: ServerList, *, complete: bool) -> None:
        """Take in an endpoint list; a `complete` one names all servers that there are.

        The grace of a draining server runs from `now`.
        """
        named = set()
        for entry in servers.entries:
            named.add(entry.server)
            self._note(now, entry, servers.addresses.get(entry.server))
        if complete:
            for name in [name for name in self._servers if name not in named]:
                self._leave(now, name, "left")

    def _note(self, now: float, entry: Listing, address: Address | None) -> None:
        """Take in one entry of a list."""
        known = self._servers.get(entry.server)
        address = address or (known.address if known is not None else None)
        if address is None:
            return
        if known is None or (address, entry.started) != (known.address, known.started):
            # Nothing is written to connections from before a restart: at best they would be reset.
            self.close_idle(entry.server)
            if known is not None:
                known.closed_from = now  # also once the one that has its name now has left
            known = self._servers[entry.server] = Server(entry.server, address, entry.started)
        known.region = self._regions.get(entry.zone, "")
        if entry.state == "active":
            known.closed_from = math.inf
        else:
            self._leave(now, known.name, entry.state)

    def _leave(self, now: float, name: str, state: str) -> None:
        """Let a server drain, or remove it; a repeated notice does not prolong the grace."""
        server = self._servers[name]
        server.closed_from = min(server.closed_from, now + self._grace)
        if state == "left":
            self.close_idle(name)
            del self._servers[name]

    def close_idle(self, server: str) -> None:
        """Close a server's idle connections, and only those."""
        known = self._servers.get(server)
        if known is not None:
            self.idle.close_all(known)

    def close(self) -> None:
        """Close all connections when the process ends; no outcome of their exchanges is reported."""
        for connection in list(self._connections):
            connection.abort()

    # --- what connections report (`ConnectionOwner`) --------------------------------------

    def free(self, connection: Connection) -> None:
        """Keep a connection that carries nothing now, unless its server drains or has left."""
        server = connection.server
        if self._servers.get(server.name) is not server or server.closed_from < math.inf:
            connection.abort()
        else:
            self.idle.add(connection)

    def connection_closed(self, connection: Connection) -> None:
        """Forget a connection that is closed."""
        self._connections.discard(connection)
        self.idle.discard(connection)

    # --- what the connector asks for and reports (`ConnectionUser`) --------------------------

    def make_connection(self, server: Server) -> Connection:
        """Return a connection to a server that is not established yet."""
        return Connection(self, server)

    def opened(self, connection: Connection, exchange: Exchange, took_s: float) -> None:
        """Take an established connection, for an exchange that may have ended meanwhile."""
        self._connections.add(connection)
        server = connection.server
        if self.delays is not None:
            cold = self._clock.now() - server.started < self._warm_up
            self.delays.count_handshake(server.region, took_s * 1000.0, cold=cold)
        if not connection.usable():
            # A full server may accept a connection and close it at once: nothing is written there.
            connection.abort()
            exchange.end(Result(Outcome.CONNECT_FAILED))
        elif exchange.ended:
            self.free(connection)
        else:
            self._write(connection, exchange)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle for longest, to make room; False if none is idle."""
        oldest = self.idle.close_oldest()
        if oldest is None:
            return False
        self._connections.discard(oldest)
        return True

    # --- connections ------------------------------------------------------------------------

    def _begin(self, name: str, exchange: Exchange) -> Exchange:
        """Write an exchange's request to an idle connection, or open one for it."""
        server = self._servers.get(name)
        if server is None:
            self._end_soon(exchange, Outcome.CONNECT_FAILED)
        elif (connection := self.idle.take(server)) is not None:
            self._write(connection, exchange)
        else:
            self._open(server, exchange)
        return exchange

    def _write(self, connection: Connection, exchange: Exchange) -> None:
        """Write an exchange's request, unless it must not be sent any more."""
        now = self._clock.now()
        server = connection.server
        if self._servers.get(server.name, server) is not server:
            # Another server has its name now, which may be in slow start or elsewhere: decided anew.
            never_sent = Outcome.CONNECT_FAILED if exchange.watcher is None else Outcome.ABANDONED
            self._end_soon(exchange, never_sent)
            connection.abort()
            return
        if now >= server.closed_from:
            connection.abort()
            self._end_soon(exchange, Outcome.CONNECT_FAILED)
            return
        if exchange.watcher is not None and not exchange.watcher.may_write():
            exchange.withdraw()
            self.free(connection)
            return
        message = exchange.message(exchange.expires - now)
        if self.stamp is not None and exchange.watcher is not None:
            if exchange.stamp is not self.stamp():
                # Decided under a revision that is no longer in force: decided anew.
                self._end_soon(exchange, Outcome.ABANDONED)
                self.free(connection)
                return
            message = message.replace(b"\r\n", b"\r\n" + exchange.stamp, 1)
        if self.delays is not None and exchange.body is None:
            connection.sent_at = self.loop.time()
        connection.begin(exchange, message)

    def _open(self, server: Server, exchange: Exchange) -> None:
        """Open a connection for an exchange, if there is room for one more."""
        full = len(self._connections) + self._connector.opening >= self.max_connections
        if full and not self.close_oldest_idle() and not self._connector.cancel_unwanted():
            self._end_soon(exchange, Outcome.CONNECT_FAILED)
            return
        self._connector.open(server, exchange)

    def _end_soon(self, exchange: Exchange, outcome: Outcome) -> None:
        """End an exchange in the next turn: the driver may be starting it in this one."""
        self.loop.call_soon(exchange.end, Result(outcome))
