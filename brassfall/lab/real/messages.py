"""Messages between a play's controller and the lab's own processes, as JSON lines.

Commands go to a process's standard input, reports come from its standard output. A report has an `event`
beside its fields, like the log events of the list service, which are read the same way.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, NotRequired, TypedDict

import msgspec

from brassfall.lab.geography import Delays

ListEntry = dict[str, Any]  # an entry of the list service; what the lab does not read passes unchanged

# --- commands ---------------------------------------------------------------------


class Command(msgspec.Struct, frozen=True, tag_field="do"):
    """A command to a process of the lab."""


class Begin(Command, frozen=True, tag="begin"):
    """Begin the play at `start_ms` of the monotonic clock."""

    start_ms: float


class Stop(Command, frozen=True, tag="stop"):
    """Report `done` and exit."""


class ChangeLoad(Command, frozen=True, tag="change-load"):
    """Change what a server can do; what is None stays as it is."""

    slowdown: float | None = None  # how many times slower it is
    neighbour_share: float | None = None  # the part of the machine that another program uses
    error_share: float | None = None  # the part of requests that it answers with an error


class Drain(Command, frozen=True, tag="drain"):
    """Shut a server down gracefully, in `drain_s` seconds."""

    drain_s: float


class LinkFault(StrEnum):
    """A fault of the path between all sidecars and a server."""

    BLACK_HOLE = "black-hole"
    LOST_ANSWERS = "lost-answers"
    SLOW = "slow"


class BeginLinkFault(Command, frozen=True, tag="begin-link-fault"):
    """Begin a fault of the paths to some servers; `delay_ms` is what a slow one adds."""

    fault: LinkFault
    servers: list[str]
    delay_ms: float = 0.0


class EndLinkFault(Command, frozen=True, tag="end-link-fault"):
    """End a fault of the paths to some servers."""

    fault: LinkFault
    servers: list[str]


class BeginPartition(Command, frozen=True, tag="begin-partition"):
    """Cut a zone off from all others."""

    zone: int


class EndPartition(Command, frozen=True, tag="end-partition"):
    """Connect a zone to the others again."""

    zone: int


class ChangeDelays(Command, frozen=True, tag="change-delays"):
    """Change the delays between groups and zones."""

    between: Delays


class ResetConnections(Command, frozen=True, tag="reset-connections"):
    """Reset all connections to some servers."""

    servers: list[str]


class RemoveServers(Command, frozen=True, tag="remove-servers"):
    """Refuse connections to servers that have ended."""

    servers: list[str]


class SetList(Command, frozen=True, tag="set-list"):
    """Take entries as known to the sidecars from the start; report `list` with the proxies' addresses."""

    endpoints: list[ListEntry]


ServerCommand = ChangeLoad | Drain | Stop
NetworkChange = (
    BeginLinkFault
    | EndLinkFault
    | BeginPartition
    | EndPartition
    | ChangeDelays
    | ResetConnections
    | RemoveServers
)
NetworkCommand = NetworkChange | SetList | Stop

# --- reports ----------------------------------------------------------------------


class Ready(TypedDict):
    """The process has started; event `ready`."""


class ListServiceReady(Ready):
    """The list service listens; event `ready`."""

    listen: str


class ServerReady(Ready):
    """A server listens and is registered; event `ready`."""

    listen: str
    pid: int


class NetworkReady(Ready):
    """The proxies of a zone listen; event `ready`."""

    list_addresses: dict[str, str]  # by sidecar
    registry: str  # the address of the list service for servers of the zone


class ListReport(TypedDict):
    """The endpoint list with the addresses of the proxies; event `list`."""

    endpoints: list[ListEntry]


class Done(TypedDict):
    """The process has finished, with counts of what it did late; event `done`."""

    late_ms: float  # at most
    late: int  # of `due`, by more than `child.LATE_MS`
    due: int
    starved: NotRequired[int]  # attempts that failed because no descriptor was left
