"""The limits on the number of client connections, and the order in which connections are evicted."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from brassfall.sidecar.clients.client_connection import ClientConnection
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.config import Limits

REQUESTS_OF_ALL = 1.0 / 3.0  # of all descriptors, for connections with requests
REQUESTS_SHARE = 0.4  # of the descriptors for connections; decides where there are few descriptors
# Part of the limit on requests. A client that has as many connections as it may open can't open the one whose
# arrival would make room, so answers end their connections before the limit is reached.
HIGH_WATER_SHARE = 0.75
OPEN_SHARE = 0.47  # of the descriptors for connections
RESERVED = 8  # descriptors for connections that are being evicted, or for which others are

# Which connection is evicted first, by its state; others have something pending and are never evicted.
EVICTION_RANK = {
    ConnectionState.AWAITING_NEXT_REQUEST: 0,
    ConnectionState.LINGERING: 0,
    ConnectionState.CLOSING: 0,
    ConnectionState.AWAITING_FIRST_REQUEST: 1,
    ConnectionState.READING_REQUEST: 2,
}


@dataclass(slots=True)
class ConnectionLimits:
    """Limits on the number of client connections."""

    busy_connections: int  # past it, requests are rejected
    high_water: int  # past it, answers end their connections, and quiet connections are evicted for new ones
    open_connections: int  # past it, any connection without a request is evicted, or else the new one

    @classmethod
    def of(cls, limits: Limits, part: float) -> ConnectionLimits:
        """Return the limits of a process with this part (0 to 1) of all descriptors."""
        connections = limits.connections(part)
        busy = max(1, int(min(connections * REQUESTS_SHARE, limits.descriptors * part * REQUESTS_OF_ALL)))
        high_water = max(1, int(busy * HIGH_WATER_SHARE))
        return cls(
            busy_connections=busy,
            high_water=high_water,
            open_connections=max(2, int(connections * OPEN_SHARE)),
        )


def eviction_candidates(
    connections: Iterable[ClientConnection], quiet_since: float
) -> list[ClientConnection]:
    """Return the connections that may be evicted, those with the least progress first.

    Connections that have had their answer may be, and others that are quiet since `quiet_since`, a time of
    the sidecar's clock. Those that have had their answer come first, then those that never sent a byte, then
    those that stopped within a request; of each the ones that are quiet for longest.
    """
    candidates = [
        connection
        for connection in connections
        if not connection.busy
        and connection.state in EVICTION_RANK
        and (EVICTION_RANK[connection.state] == 0 or connection.quiet_since <= quiet_since)
    ]
    return sorted(candidates, key=lambda c: (EVICTION_RANK[c.state], c.quiet_since))
