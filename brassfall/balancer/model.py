"""The interface of the decisions: events and actions as plain typed values, without decisions."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, IntEnum, StrEnum
from types import MappingProxyType
from typing import NamedTuple

# Time limit for a change of the endpoint list to be in force, from when discovery has it and can be reached.
# The backoff before a call to discovery and the call's own time limit are parts of it.
LIST_CHANGE_DEADLINE_MS = 6000.0
LOOP_LAG_ALLOWANCE_MS = 500.0  # left over for an event loop that lags
DISCOVERY_CALL_TIMEOUT_MS = 1000.0  # time limit of one call to discovery
# Jitter doubles the backoff at most. After discovery is back, the call under way and the next one may still
# fail; the third has to be in time.
MAX_DISCOVERY_BACKOFF_MS = (LIST_CHANGE_DEADLINE_MS - LOOP_LAG_ALLOWANCE_MS - 3.0 * DISCOVERY_CALL_TIMEOUT_MS) / 4.0


class Outcome(IntEnum):
    """How one attempt or health check ended, by its number on the wire."""

    OK = 0
    ERROR = 1  # answered with an error: it may have run
    REJECTED = 2  # rejected without being looked at: it never ran
    TIMEOUT = 3  # no answer in time: it may run still
    CONNECT_FAILED = 4  # no connection in time: it never ran
    RESET = 5  # the connection broke: it may have run
    CANCELLED = 6  # it may have run
    ABANDONED = 7  # before it was sent: it never ran


# The members as names of this module: a look-up on the enumeration costs more than a comparison.
OK, ERROR, REJECTED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, ABANDONED = Outcome


class RefusalReason(StrEnum):
    """Why a request got an answer that no server gave; the value is its name in `REFUSALS`."""

    THROTTLED = "formula"  # by the client-side throttle's formula
    SHED = "level"  # by the shed probability where that exceeds the formula
    TOO_HEAVY = "heavy"  # under overload, its work can't end in time
    NO_SERVER = "room"  # no server may have the request, or its class is over its cap
    QUEUED_TOO_LONG = "line"  # its turn in the queue of its key would come too late
    ATTEMPTS_FAILED = "failed"  # no attempt is left after a failure
    TOO_MANY_OPEN = "full"  # this process holds as many requests as it may


# As with the outcomes; a refusal has to cost little under overload.
THROTTLED, SHED, TOO_HEAVY, NO_SERVER, QUEUED_TOO_LONG, ATTEMPTS_FAILED, TOO_MANY_OPEN = RefusalReason


class ListForm(Enum):
    """What an endpoint list contains; the value is its name on the simulator's wire."""

    CONFIGURED = "remembered"  # the complete list that the configuration had
    COMPLETE = "all"
    CHANGES = "changes"


class SendAttempt(NamedTuple):
    """Start an attempt; it times out after `timeout` milliseconds.

    The last byte of a retry with an idempotency key has to reach the server before `write_by`, a time of the
    events' clock. An attempt that a slow connection or a slow body delays beyond that must not be sent.
    """

    request: int
    server: str
    timeout: float
    write_by: float = math.inf


class RefuseRequest(NamedTuple):
    """Answer the client that its request was refused and did not run.

    The client may retry it after `retry_after` milliseconds.
    """

    request: int
    retry_after: float


class FailRequest(NamedTuple):
    """Answer the client that its request failed; it may have run."""

    request: int


class CancelAttempt(NamedTuple):
    """Stop waiting for an attempt; `attempt` is its place among those of its request."""

    request: int
    attempt: int


class ObjectiveTimer(NamedTuple):
    """Due when an attempt that is still in flight has reached its latency objective."""

    request: int
    attempt: int


class QueueDeadlineTimer(NamedTuple):
    """Due when a queued request can no longer be served in time."""

    request: int


class KeyPauseTimer(NamedTuple):
    """Due when the next request with an idempotency key may start."""

    key: int


class IdleCloseTimer(NamedTuple):
    """Due when the idle connections to a draining server are to be closed once more."""

    server: str


class DiscoveryRetryTimer(NamedTuple):
    """Due when discovery is to be called again."""


TimerToken = ObjectiveTimer | QueueDeadlineTimer | KeyPauseTimer | IdleCloseTimer | DiscoveryRetryTimer


class StartTimer(NamedTuple):
    """Ask for a `TimerDue` event with this token after `delay` milliseconds.

    A timer about a `request` may be left out once that has its answer and none of its attempts is in flight:
    its event would change nothing then.
    """

    delay: float
    token: TimerToken
    request: int | None = None


class FetchEndpointList(NamedTuple):
    """Ask discovery for the complete endpoint list once."""


class WatchEndpointList(NamedTuple):
    """Ask discovery to send changes of the endpoint list from now on, or to stop."""

    on: bool


class CheckServerHealth(NamedTuple):
    """Check the health of one server."""

    server: str


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to a server."""

    server: str


class SendPeerMessage(NamedTuple):
    """Send a message to one peer, or to all when `peer` is None."""

    peer: int | None
    data: bytes


class WriteLog(NamedTuple):
    """A line for on-call staff."""

    text: str


Action = SendAttempt | RefuseRequest | FailRequest | CancelAttempt | StartTimer | FetchEndpointList | WatchEndpointList | CheckServerHealth | CloseIdleConnections | SendPeerMessage | WriteLog


class EndpointEntry(NamedTuple):
    """One entry of the endpoint list; `zone`, `kind` and `cell` are numbers that it gives."""

    server: str
    zone: int = 0
    kind: int = 0  # of machine
    cell: int = 0  # servers of one cell share the idempotency keys that they have seen
    state: str = "active"  # or "leaving" (draining), or "left"
    weight: float = 1.0
    started: float = 0.0  # when, in milliseconds of the clock of the events; 0: long ago


class SteeringDirectives(NamedTuple):
    """The steering plan and the overrides; a new value replaces the one before it as a whole.

    Zones are positions in `FailureDomains`. Requests beyond the sum of the shares, where that is below 1, are
    spread as without a plan. The default value changes nothing.
    """

    shares: Mapping[int, float] = MappingProxyType({})  # zone -> share of first attempts; empty: no plan
    class_shares: Mapping[int, Mapping[int, float]] = MappingProxyType({})  # by class, instead of `shares`
    tenant_shares: Mapping[int, Mapping[int, float]] = MappingProxyType({})  # by tenant, instead of both
    excluded_zones: frozenset[int] = frozenset()  # not sent to while any other server can take the request
    excluded_servers: frozenset[str] = frozenset()
    caps: Mapping[int, float] = MappingProxyType({})  # class -> requests/s; those beyond it are refused
    weight: float = 1.0  # 0 to 1, how far the shares count; it falls as a plan ages
    explore: float = 0.0  # share of idempotent first attempts with time to spare for zones of low share
    pins: Mapping[int, int] = MappingProxyType({})  # tenant -> the one zone that may serve it; -1 is none

    @property
    def excludes(self) -> bool:
        """True if any zone or server is excluded."""
        return bool(self.excluded_zones or self.excluded_servers)
