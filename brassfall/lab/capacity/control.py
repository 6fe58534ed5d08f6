"""Messages between the controller of a hollow fleet and its processes: JSON lines on stdin and stdout."""

from __future__ import annotations

import msgspec

REPORTS, WATCHES = "reports", "watches"
KINDS = (REPORTS, WATCHES)  # of a sidecar's connections


class Start(msgspec.Struct, frozen=True, tag="start"):
    """Start sidecars `first` to `first + number - 1`, spread over `over_s` seconds."""

    first: int
    number: int
    addresses: list[str]  # of the registry, as in a sidecar's `fleet.registry`
    region: str = ""
    over_s: float = 1.0


class Stop(msgspec.Struct, frozen=True, tag="stop"):
    """End sidecars `first` to `first + number - 1`: with a farewell each, or without a word."""

    first: int
    number: int = 1
    farewell: bool = True


class AskSnapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """How the process and its sidecars stand."""


class AskActed(msgspec.Struct, frozen=True, tag="acted"):
    """When each sidecar began to act on this revision or on a later one."""

    revision: int


class AskListed(msgspec.Struct, frozen=True, tag="listed"):
    """When each sidecar held this version of the list or a later one."""

    version: int


Command = Start | Stop | AskSnapshot | AskActed | AskListed


class Traffic(msgspec.Struct, frozen=True):
    """Payload bytes over the connections of one kind, as TCP counts them."""

    sent: int = 0
    received: int = 0


class Done(msgspec.Struct, frozen=True, tag="done"):
    """A command was carried out."""

    sidecars: int


class Snapshot(msgspec.Struct, frozen=True, tag="state"):
    """The process and its sidecars at one moment."""

    at_s: float  # the machine's monotonic clock
    sidecars: int
    leased: int  # act on a revision, not on the fallback configuration
    newest: int  # the newest revision that one of them acts on
    list_versions: dict[int, int]  # version of the list to sidecars that hold it
    cpu_s: float
    uss_bytes: int
    reports: int  # answered so far
    by_server: dict[str, int]  # address of a server to the connections open to it
    failing: dict[str, int]  # why reports fail just now, to sidecars
    traffic: dict[str, Traffic]  # kind of connection to bytes so far


class Moments(msgspec.Struct, frozen=True, tag="moments"):
    """Times by the machine's monotonic clock, in seconds, one for each sidecar that got so far."""

    sidecars: int
    times_s: list[float]


Answer = Done | Snapshot | Moments
