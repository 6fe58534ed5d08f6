"""The pool of connections to servers, which sends attempts and health checks on them.

The pool neither retries nor selects servers: an attempt on a broken connection ends, and the balancer gets
its outcome. Times are in milliseconds of the sidecar's clock unless a name ends in `_s`.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping, Set
from types import MappingProxyType

from brassfall.balancer.model import EndpointEntry, Outcome
from brassfall.sidecar.body import MemoryBudget
from brassfall.sidecar.config import Config
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.core.clock import MAX_PROCESS_PAUSE_MS, Clock
from brassfall.sidecar.core.interfaces import Call, ExchangeObserver, ExchangeResult
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.servers import health_checks
from brassfall.sidecar.servers.connecting import Connector
from brassfall.sidecar.servers.exchange import Exchange, ResultHandler
from brassfall.sidecar.servers.idle_connections import IdleConnections
from brassfall.sidecar.servers.server_answers import AnswerReader
from brassfall.sidecar.servers.server_connection import DelayObserver, ServerConnection, ServerIncarnation

# Margin, in milliseconds, before the end of a draining server's grace period. A request that is started later
# could be written only after that end if this process pauses.
GRACE_MARGIN_MS = MAX_PROCESS_PAUSE_MS
UNLIMITED = 2**62  # Limit, in bytes, of the memory budget of a pool that has none
POOL_SHARE = 0.5  # Share of the descriptors available to this process that server connections may use


class ConnectionPool:
    """The servers in the endpoint list, and the connections to them.

    `delays`, if set, observes the network delays of ordinary traffic. `revision_header`, if set, returns the
    header line of the configuration revision in force; an attempt that was decided under another revision is
    not sent.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, config: Config) -> None:
        self.loop = loop
        self.max_connections = 1  # Limit of established connections and those that are being opened
        self.delays: DelayObserver | None = None
        self.budget = MemoryBudget(UNLIMITED)  # Memory budget of all messages
        self.revision_header: Callable[[], bytes] | None = None
        answers = AnswerReader(config.settings)
        self.result = answers.result
        self.idle = IdleConnections(loop, clock)
        self._reports = answers.reports
        self.clock = clock
        self._servers: dict[str, ServerIncarnation] = {}
        self._connections: set[ServerConnection] = set()
        self._connector = Connector(self)
        # Milliseconds after the notice that a server drains in which requests to it may still be started.
        self._grace = 0.0
        self._limits = config.limits
        self.reload(config)
        self.set_descriptor_share(1.0)

    def reload(self, config: Config) -> None:
        """Apply a new configuration to the attempts that start from now on."""
        self._connector.timeout_s = config.settings.connect_timeout / 1000.0
        self.idle.expire_after(config.settings.idle_close)
        self._warm_up = config.settings.warm_up
        self._regions = {number: name for name, number in config.names.zones.items()}
        old_grace, self._grace = self._grace, max(0.0, config.drain_grace - GRACE_MARGIN_MS)
        # The grace period of servers that already drain may become shorter, but not longer.
        for server in self._servers.values():
            server.no_requests_from -= max(0.0, old_grace - self._grace)

    def set_descriptor_share(self, share: float) -> None:
        """Limit the connections to what a process with this share of all descriptors may have."""
        self.max_connections = max(1, int(self._limits.connections(share) * POOL_SHARE))
        while len(self._connections) > self.max_connections and self.close_oldest_idle():
            pass

    # --- state -----------------------------------------------------------------------

    @property
    def servers(self) -> Mapping[str, ServerIncarnation]:
        """The servers in the endpoint list, by name."""
        return MappingProxyType(self._servers)

    @property
    def connections(self) -> Set[ServerConnection]:
        """All established connections to servers."""
        return self._connections

    @property
    def idle_connections(self) -> list[ServerConnection]:
        """The idle connections to the servers in the endpoint list."""
        return [connection for server in self._servers.values() for connection in server.idle]

    @property
    def opening_count(self) -> int:
        """The number of connections to servers that are being opened."""
        return self._connector.opening_count

    # --- called by the driver (`interfaces.Upstreams`) ----------------------------------

    def send(self, server: str, call: Call, expires: float, observer: ExchangeObserver) -> Exchange:
        """Start an attempt on an idle connection or a new one.

        `observer` gets the result in a later turn of the event loop.
        """
        return self._begin(
            server, Exchange(call.request_bytes, expires, observer.exchange_ended, observer, call.body)
        )

    def check_health(self, server: str, done: ResultHandler) -> Exchange:
        """Start a health check; `done` is called with its result in a later turn of the event loop."""
        name = self._servers[server].name if server in self._servers else ""
        message = health_checks.message(name, with_report=self._reports)
        return self._begin(server, Exchange(lambda _left: message, math.inf, done))

    def update_servers(self, now: float, servers: ServerList, *, complete: bool) -> None:
        """Apply an endpoint list, which names all servers if `complete`, and otherwise the changed ones.

        The grace period of a server that the list newly reports as draining starts at `now`.
        """
        listed_names = set()
        for entry in servers.entries:
            listed_names.add(entry.server)
            self._apply_entry(now, entry, servers.addresses.get(entry.server))
        if complete:
            for name in [name for name in self._servers if name not in listed_names]:
                self._drain_or_remove(now, name, "left")

    def _apply_entry(self, now: float, entry: EndpointEntry, address: Address | None) -> None:
        """Apply one entry of an endpoint list."""
        known = self._servers.get(entry.server)
        address = address or (known.address if known is not None else None)
        if address is None:
            return
        if known is None or (address, entry.started) != (known.address, known.started):
            # Connections from before a restart of the server are not used: at best they would be reset.
            self.close_idle(entry.server)
            if known is not None:
                # The old incarnation gets no requests even after the next one with its name has left.
                known.no_requests_from = now
            known = self._servers[entry.server] = ServerIncarnation(entry.server, address, entry.started)
        known.region = self._regions.get(entry.zone, "")
        if entry.state == "active":
            known.no_requests_from = math.inf
        else:
            self._drain_or_remove(now, known.name, entry.state)

    def _drain_or_remove(self, now: float, name: str, state: str) -> None:
        """Start to drain a server, or remove it if its state is `left`.

        A repeated notice does not extend the grace period.
        """
        server = self._servers[name]
        server.no_requests_from = min(server.no_requests_from, now + self._grace)
        if state == "left":
            self.close_idle(name)
            del self._servers[name]

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a server; connections with an exchange stay open."""
        known = self._servers.get(server)
        if known is not None:
            self.idle.close_all(known)

    def close(self) -> None:
        """Close all connections at the end of the process; their exchanges report no results."""
        for connection in list(self._connections):
            connection.abort()

    # --- called by connections (`ConnectionOwner`) ----------------------------------------

    def connection_idle(self, connection: ServerConnection) -> None:
        """Keep a connection that has become idle, or close it if its server drains or has left."""
        server = connection.server
        if self._servers.get(server.name) is not server or server.no_requests_from < math.inf:
            connection.abort()
        else:
            self.idle.add(connection)

    def connection_closed(self, connection: ServerConnection) -> None:
        """Remove a closed connection from the pool."""
        self._connections.discard(connection)
        self.idle.discard(connection)

    # --- called by the connector (`ConnectionUser`) ------------------------------------------

    def make_connection(self, server: ServerIncarnation) -> ServerConnection:
        """Return a new connection object for a server, which is not connected yet."""
        return ServerConnection(self, server)

    def connection_opened(self, connection: ServerConnection, exchange: Exchange, took_s: float) -> None:
        """Handle an established connection; the exchange that it was opened for may have ended meanwhile.

        `took_s` is the duration of the handshake in seconds.
        """
        self._connections.add(connection)
        server = connection.server
        if self.delays is not None:
            warming_up = self.clock.now() - server.started < self._warm_up
            self.delays.count_handshake(server.region, took_s * 1000.0, cold=warming_up)
        if not connection.usable():
            # An overloaded server may accept a connection and close it at once: no request is sent on it.
            connection.abort()
            exchange.end(ExchangeResult(Outcome.CONNECT_FAILED))
        elif exchange.ended:
            self.connection_idle(connection)
        else:
            self._write(connection, exchange)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle the longest; return False if no connection is idle."""
        oldest = self.idle.close_oldest()
        if oldest is None:
            return False
        self._connections.discard(oldest)
        return True

    # --- sending requests ------------------------------------------------------------------------

    def _begin(self, name: str, exchange: Exchange) -> Exchange:
        """Send an exchange's request on an idle connection, or open a connection for it."""
        server = self._servers.get(name)
        if server is None:
            self._end_soon(exchange, Outcome.CONNECT_FAILED)
        elif (connection := self.idle.take(server)) is not None:
            self._write(connection, exchange)
        else:
            self._open(server, exchange)
        return exchange

    def _write(self, connection: ServerConnection, exchange: Exchange) -> None:
        """Send an exchange's request on a connection, or end the exchange if it must not be sent any more."""
        now = self.clock.now()
        server = connection.server
        if self._servers.get(server.name, server) is not server:
            # Another incarnation has the name of this server now, which may be in slow start or at another
            # address. The attempt ends unsent, so that the balancer decides again.
            unsent_outcome = Outcome.CONNECT_FAILED if exchange.observer is None else Outcome.ABANDONED
            self._end_soon(exchange, unsent_outcome)
            connection.abort()
            return
        if now >= server.no_requests_from:
            connection.abort()
            self._end_soon(exchange, Outcome.CONNECT_FAILED)
            return
        if exchange.observer is not None and not exchange.observer.may_write():
            exchange.withdraw()
            self.connection_idle(connection)
            return
        message = exchange.message(exchange.expires - now)
        if self.revision_header is not None and exchange.observer is not None:
            if exchange.revision_header is not self.revision_header():
                # The attempt was decided under a configuration revision that is no longer in force. It ends
                # unsent, so that the balancer decides again.
                self._end_soon(exchange, Outcome.ABANDONED)
                self.connection_idle(connection)
                return
            message = message.replace(b"\r\n", b"\r\n" + exchange.revision_header, 1)
        if self.delays is not None and exchange.body is None:
            connection.sent_at = self.loop.time()
        connection.begin(exchange, message)

    def _open(self, server: ServerIncarnation, exchange: Exchange) -> None:
        """Open a connection for an exchange, or end the exchange if the connection limit is reached."""
        full = len(self._connections) + self._connector.opening_count >= self.max_connections
        if full and not self.close_oldest_idle() and not self._connector.cancel_unwanted():
            self._end_soon(exchange, Outcome.CONNECT_FAILED)
            return
        self._connector.open(server, exchange)

    def _end_soon(self, exchange: Exchange, outcome: Outcome) -> None:
        """End an exchange in the next turn of the event loop; the driver may still be starting it now."""
        self.loop.call_soon(exchange.end, ExchangeResult(outcome))
