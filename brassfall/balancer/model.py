"""The interface of the decisions: events and actions as plain typed values, without decisions."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum, IntEnum, StrEnum
from types import MappingProxyType
from typing import NamedTuple

# A change of the endpoint list counts as notified, whether or not it arrived, so long after discovery had
# it and could be reached, whatever a call met before. Waits before a call and limits of one are parts of it;
# the spare is for loops that lag.
NOTIFIED_MS = 6000.0
SPARE_MS = 500.0
CALL_MS = 1000.0  # that a call takes which is answered in its turn, or fails
# Up to twice this passes before a call is made again: discovery is back while a call is under way that
# fails, and the next fails in its turn; the one after that is still in time.
MAX_POLL_BACKOFF_MS = (NOTIFIED_MS - SPARE_MS - 3.0 * CALL_MS) / 4.0


class Outcome(IntEnum):
    """How one attempt or health check ended, by its number on the wire."""

    OK = 0
    ERROR = 1  # answered with an error: it may have run
    FULL = 2  # rejected without being looked at: it never ran
    TIMEOUT = 3  # no answer in time: it may run still
    CONNECT_FAILED = 4  # no connection in time: it never ran
    RESET = 5  # the connection broke: it may have run
    CANCELLED = 6  # it may have run
    ABANDONED = 7  # before it was sent: it never ran


class RefusalReason(StrEnum):
    """Why a request got an answer that no server gave; the value is its name in `REFUSALS`."""

    THROTTLED = "formula"  # by the client-side throttle's formula
    SHED = "level"  # by the shed probability beyond that formula
    TOO_HEAVY = "heavy"  # under overload, its work can't end in time
    NO_SERVER = "room"  # no server may be sent to
    QUEUED_TOO_LONG = "line"  # its turn in the queue of its key would come too late
    ATTEMPTS_FAILED = "failed"  # no attempt is left after a failure
    TOO_MANY_OPEN = "full"  # this process holds as many requests as it may


class ListForm(Enum):
    """What an endpoint list contains; the value is its name on the simulator's wire."""

    REMEMBERED = "remembered"  # the complete list that the configuration had
    COMPLETE = "all"
    CHANGES = "changes"


class Send(NamedTuple):
    """Start an attempt; it times out after `timeout` milliseconds.

    A retry under a key has to reach its server, to its last byte, before `write_by` by the clock of the
    events; what a connection that comes up late or a slow body delays until then is not sent."""

    request: int
    server: str
    timeout: float
    write_by: float = math.inf


class Refuse(NamedTuple):
    """Final answer: refused, and a client's retry does no harm; not within `retry_after` milliseconds."""

    request: int
    retry_after: float


class Fail(NamedTuple):
    """Final answer: failed, with no promise about effects."""

    request: int


class Cancel(NamedTuple):
    """Stop waiting for one attempt, by its number within the request."""

    request: int
    attempt: int


class Timer(NamedTuple):
    """Ask for a timer event with this token after `delay` milliseconds.

    One that is about a `request` means nothing once that is answered and no attempt of it is out: its
    event may come then, or be left out."""

    delay: float
    token: str
    request: int | None = None


class Fetch(NamedTuple):
    """Ask discovery for the complete list once."""


class Watch(NamedTuple):
    """Ask discovery to send changes from now on, or to stop."""

    on: bool


class Probe(NamedTuple):
    """Check the health of one server."""

    server: str


class CloseIdle(NamedTuple):
    """Close the idle connections to a server."""

    server: str


class Tell(NamedTuple):
    """Send a message to one peer, or to all when `peer` is None."""

    peer: int | None
    data: bytes


class Log(NamedTuple):
    """A line for on-call staff."""

    text: str


Action = Send | Refuse | Fail | Cancel | Timer | Fetch | Watch | Probe | CloseIdle | Tell | Log


class Listing(NamedTuple):
    """One entry of the endpoint list; `zone`, `kind` and `cell` are numbers that it gives."""

    server: str
    zone: int = 0
    kind: int = 0  # of machine
    cell: int = 0  # servers of one cell share the idempotency keys that they have seen
    state: str = "active"  # or "leaving" (draining), or "left"
    weight: float = 1.0
    started: float = 0.0  # when, in milliseconds of the clock of the events; 0: long ago


class Arrival(NamedTuple):
    """A client's request, with the clock time, in milliseconds, at which the client gives up."""

    request: int
    request_class: int  # its position in `Settings.profiles`
    give_up_at: float
    tenant: int = 0
    key: int | None = None
    work: float | None = None  # expected, in milliseconds on a standard core
    retried: bool = False  # whether the client marked it as a retry
    mutates: bool = False
    large: bool = False  # its body is still coming, and only its beginning can be sent again


class Steer(NamedTuple):
    """How requests are steered, replaced as one by each new value; the neutral one changes nothing.

    A zone is its position in `FailureDomains`. What shares leave of 1 goes as without a plan.
    """

    shares: Mapping[int, float] = MappingProxyType({})  # zone -> share of first attempts; empty: no plan
    class_shares: Mapping[int, Mapping[int, float]] = MappingProxyType({})  # by class, instead of `shares`
    tenant_shares: Mapping[int, Mapping[int, float]] = MappingProxyType({})  # by tenant, instead of both
    excluded_zones: frozenset[int] = frozenset()  # no new send while any other server can take it
    excluded_servers: frozenset[str] = frozenset()
    caps: Mapping[int, float] = MappingProxyType({})  # class -> most requests/s; over it: refused locally
    weight: float = 1.0  # 0 to 1, how far shares count: a plan that ages fades out
    explore: float = 0.0  # share of idempotent first attempts with time to spare for zones of low share
    pins: Mapping[int, int] = MappingProxyType({})  # tenant -> the one zone that may serve it; -1 is none

    @property
    def excludes(self) -> bool:
        """Whether any zone or server is excluded."""
        return bool(self.excluded_zones or self.excluded_servers)
