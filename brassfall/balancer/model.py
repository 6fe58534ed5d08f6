"""Interface of the balancer: actions, timer tokens and endpoint entries as typed values without logic."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, IntEnum, StrEnum
from types import MappingProxyType
from typing import NamedTuple

# Maximum time in milliseconds until a change of the endpoint list takes effect, counted from when discovery
# has the change and can be reached. The backoff before a call to discovery and the time-out of the call are
# parts of it.
LIST_CHANGE_DEADLINE_MS = 6000.0
LOOP_LAG_ALLOWANCE_MS = 500.0  # Part of the list change deadline reserved for a lagging event loop, in ms
DISCOVERY_CALL_TIMEOUT_MS = 1000.0  # Time-out of one call to discovery, in milliseconds
# Largest backoff before a call to discovery, in milliseconds and without jitter; jitter at most doubles it.
# After discovery has recovered, the call in progress and the next call may still fail, and the third call has
# to succeed within `LIST_CHANGE_DEADLINE_MS`.
MAX_DISCOVERY_BACKOFF_MS = (
    LIST_CHANGE_DEADLINE_MS - LOOP_LAG_ALLOWANCE_MS - 3.0 * DISCOVERY_CALL_TIMEOUT_MS
) / 4.0


class Outcome(IntEnum):
    """Outcome of one attempt or health check; the value is its number on the wire."""

    OK = 0
    ERROR = 1  # The server answered with an error; the request may have run
    REJECTED = 2  # The server rejected the request without processing it; the request did not run
    TIMEOUT = 3  # No answer came before the time-out; the request may still be running
    CONNECT_FAILED = 4  # No connection was established in time; the request did not run
    RESET = 5  # The connection broke; the request may have run
    CANCELLED = 6  # The attempt was cancelled; the request may have run
    ABANDONED = 7  # The attempt was abandoned before it was sent; the request did not run


# The members are also module constants, because a look-up on the enumeration costs more than the comparison.
OK, ERROR, REJECTED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, ABANDONED = Outcome


class RefusalReason(StrEnum):
    """Reason why a request was answered without a server; the value is its name in `REFUSALS`."""

    THROTTLED = "formula"  # The formula of the client-side throttle refused the request
    SHED = "level"  # The shed probability, where it exceeds the formula's probability, refused the request
    TOO_HEAVY = "heavy"  # The service is overloaded and the request needs too much work to end in time
    NO_SERVER = "room"  # No server may receive the request, or its request class exceeds its cap
    QUEUED_TOO_LONG = "line"  # The request would leave the queue of its idempotency key too late
    ATTEMPTS_FAILED = "failed"  # The last attempt failed and no further attempt is allowed
    TOO_MANY_OPEN = "full"  # This process already has its maximum number of open requests


# The members are also module constants to avoid look-ups: a refusal has to be cheap under overload.
THROTTLED, SHED, TOO_HEAVY, NO_SERVER, QUEUED_TOO_LONG, ATTEMPTS_FAILED, TOO_MANY_OPEN = RefusalReason


class ListForm(Enum):
    """Which entries an endpoint list contains; the value is the form's name in the simulator's protocol."""

    CONFIGURED = "remembered"  # The complete list that the configuration contained at the start
    COMPLETE = "all"
    CHANGES = "changes"


class SendAttempt(NamedTuple):
    """Action that starts an attempt, which times out after `timeout` milliseconds.

    The last byte of a retry with an idempotency key has to reach the server before `write_by`, a time in
    milliseconds of the events' clock. The attempt must not be sent if a slow connection or a slow body delays
    it beyond that time.
    """

    request: int
    server: str
    timeout: float
    write_by: float = math.inf


class RefuseRequest(NamedTuple):
    """Action that answers the client that its request was refused and did not run.

    The client may retry the request after `retry_after` milliseconds.
    """

    request: int
    retry_after: float


class FailRequest(NamedTuple):
    """Action that answers the client that its request failed; the request may have run."""

    request: int


class CancelAttempt(NamedTuple):
    """Action that cancels an attempt; `attempt` is its index among the attempts of the request."""

    request: int
    attempt: int


class ObjectiveTimer(NamedTuple):
    """Token of the timer that expires when an attempt in flight reaches the latency objective."""

    request: int
    attempt: int


class QueueDeadlineTimer(NamedTuple):
    """Token of the timer that expires when a queued request can no longer be served in time."""

    request: int


class KeyPauseTimer(NamedTuple):
    """Token of the timer that expires when the next request with an idempotency key may start."""

    key: int


class IdleCloseTimer(NamedTuple):
    """Token of the timer that expires when the idle connections to a draining server are closed again."""

    server: str


class DiscoveryRetryTimer(NamedTuple):
    """Token of the timer that expires when discovery is to be called again."""


TimerToken = ObjectiveTimer | QueueDeadlineTimer | KeyPauseTimer | IdleCloseTimer | DiscoveryRetryTimer


class StartTimer(NamedTuple):
    """Action that starts a timer: a `TimerDue` event with this token follows after `delay` milliseconds.

    A timer that belongs to a `request` may be omitted once that request has its answer and no attempt in
    flight, because its event would then have no effect.
    """

    delay: float
    token: TimerToken
    request: int | None = None


class FetchEndpointList(NamedTuple):
    """Action that fetches the complete endpoint list from discovery once."""


class WatchEndpointList(NamedTuple):
    """Action that starts the watch on the endpoint list if `on` is true, and stops the watch otherwise."""

    on: bool


class CheckServerHealth(NamedTuple):
    """Action that starts a health check of one server."""

    server: str


class CloseIdleConnections(NamedTuple):
    """Action that closes the idle connections to a server."""

    server: str


class SendPeerMessage(NamedTuple):
    """Action that sends a message to one peer, or to all peers if `peer` is None."""

    peer: int | None
    data: bytes


class WriteLog(NamedTuple):
    """Action that writes a line for on-call staff to the log."""

    text: str


Action = (
    SendAttempt
    | RefuseRequest
    | FailRequest
    | CancelAttempt
    | StartTimer
    | FetchEndpointList
    | WatchEndpointList
    | CheckServerHealth
    | CloseIdleConnections
    | SendPeerMessage
    | WriteLog
)


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list; the list identifies zones, machine kinds and cells by numbers."""

    server: str
    zone: int = 0
    kind: int = 0  # Number of the machine kind that the server runs on
    cell: int = 0  # Number of the cell; servers of one cell share the idempotency keys that they have seen
    state: str = "active"  # The server's state: "active", "leaving" (draining) or "left"
    weight: float = 1.0
    started: float = 0.0  # Start time of the server, in milliseconds of the events' clock; 0 means long ago


class SteeringDirectives(NamedTuple):
    """The steering plan and the overrides; a new value replaces the previous one as a whole.

    Zones are indexes into the setting `FailureDomains`. Where the shares add up to less than 1, the remaining
    requests are spread as without a plan. The default value changes nothing.
    """

    # Share of the first attempts by zone; empty if there is no plan.
    shares: Mapping[int, float] = MappingProxyType({})
    # Shares by request class, which replace `shares`.
    class_shares: Mapping[int, Mapping[int, float]] = MappingProxyType({})
    # Shares by tenant, which replace both `shares` and `class_shares`.
    tenant_shares: Mapping[int, Mapping[int, float]] = MappingProxyType({})
    excluded_zones: frozenset[int] = frozenset()  # Zones used only if no other server can take the request
    excluded_servers: frozenset[str] = frozenset()
    # Largest number of requests per second by request class; requests beyond it are refused.
    caps: Mapping[int, float] = MappingProxyType({})
    weight: float = 1.0  # Weight of the shares, from 0 to 1; the weight decreases as a plan ages
    # Share of the idempotent first attempts with time to spare that are sent to zones with a low share.
    explore: float = 0.0
    # The only zone that may serve each pinned tenant, by tenant; the zone -1 stands for no zone at all.
    pins: Mapping[int, int] = MappingProxyType({})

    @property
    def excludes(self) -> bool:
        """True if any zone or server is excluded."""
        return bool(self.excluded_zones or self.excluded_servers)
