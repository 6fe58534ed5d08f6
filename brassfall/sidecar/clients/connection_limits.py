"""Limits on the number of client connections, and the order in which connections are evicted."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from brassfall.sidecar.clients.client_connection import ClientConnection
from brassfall.sidecar.clients.connection_state import ConnectionState
from brassfall.sidecar.config import Limits

# Largest share of all descriptors of the process that connections with requests may use.
BUSY_SHARE_OF_ALL = 1.0 / 3.0
# Largest share of the descriptors for connections that connections with requests may use. It is the lower of
# the two limits in a process with few descriptors.
BUSY_SHARE = 0.4
# Above the high-water mark, each answer closes its connection. The mark is this share of the limit on
# connections with requests. It is below that limit because a client that already has as many connections as
# it may open can't open the new connection whose arrival would make this process evict one.
HIGH_WATER_SHARE = 0.75
OPEN_SHARE = 0.47  # largest share of the descriptors for connections that open client connections may use
RESERVED_DESCRIPTORS = 8  # descriptors for connections being evicted and for connections replacing them

# Rank of a connection in the order of eviction, by its state; connections of rank 0 are evicted first. A
# connection in a state that is missing here has something pending, and is never evicted.
EVICTION_RANK = {
    ConnectionState.AWAITING_NEXT_REQUEST: 0,
    ConnectionState.LINGERING: 0,
    ConnectionState.CLOSING: 0,
    ConnectionState.AWAITING_FIRST_REQUEST: 1,
    ConnectionState.READING_REQUEST: 2,
}


@dataclass(slots=True)
class ConnectionLimits:
    """Limits of one process on the number of client connections."""

    # Number of connections with requests above which new requests are rejected.
    busy_connections: int
    # Number of open connections above which each answer closes its connection, and a new connection causes
    # the eviction of one on which nothing has happened for `QUIET_BEFORE_EVICTION_MS`.
    high_water: int
    # Number of open connections above which a new connection causes the eviction of any connection without a
    # request, or of the new connection itself if there is none.
    open_connections: int

    @classmethod
    def for_machine_share(cls, limits: Limits, share: float) -> ConnectionLimits:
        """Return the limits of a process that may use `share` (0 to 1) of all descriptors."""
        connections = limits.connections(share)
        busy = max(1, int(min(connections * BUSY_SHARE, limits.descriptors * share * BUSY_SHARE_OF_ALL)))
        high_water = max(1, int(busy * HIGH_WATER_SHARE))
        return cls(
            busy_connections=busy,
            high_water=high_water,
            open_connections=max(2, int(connections * OPEN_SHARE)),
        )


def eviction_candidates(
    connections: Iterable[ClientConnection], quiet_before: float
) -> list[ClientConnection]:
    """Return the connections that may be evicted, starting with those that have made the least progress.

    A connection may be evicted if its requests have been answered, or if nothing has happened on it since
    `quiet_before`, in ms of the sidecar's clock. Connections whose requests have been answered come first,
    then those that never sent a byte, then those whose client stopped within a request. Within each of these
    groups, the connections that have been quiet for longest come first.
    """
    candidates = [
        connection
        for connection in connections
        if not connection.busy
        and connection.state in EVICTION_RANK
        and (EVICTION_RANK[connection.state] == 0 or connection.quiet_since <= quiet_before)
    ]
    return sorted(candidates, key=lambda candidate: (EVICTION_RANK[candidate.state], candidate.quiet_since))
