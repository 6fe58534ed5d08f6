"""Configuration files of the control plane, parsed from TOML into immutable typed values.

Every error states the file, the key and the reason.
"""

from __future__ import annotations

import ipaddress
import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from brassfall.errors import UsageError

PORT = re.compile(r"[0-9]{1,5}")
# Host names that every resolver accepts: dot-separated labels of up to 63 characters each.
HOST = re.compile(r"(?=.{1,253}$)[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?")
LABEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
MAX_UPSTREAMS = 16  # Largest number of upstream addresses of an aggregator
MAX_NUMBER = 1e12  # Upper bound of the numbers in a configuration file
MAX_SHOWN = 140  # Number of characters of an invalid value that an error message repeats
ParsedSettings = TypeVar("ParsedSettings")

# Keys whose values may be 0; all other numbers have to be positive.
MAY_BE_ZERO = ("caller_calls_per_s", "gather_ms", "per_weight_per_s", "crossing_ms", "floor", "look")


class SettingsError(UsageError):
    """A configuration file is invalid; the message is one line with the file, the key and the reason."""

    action = "Correct the file; `python -m brassfall check FILE` checks it without starting anything."


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the resources that the callers of a process may use."""

    body_bytes: int = 65_536  # Largest body of a call
    connections: int = 8192  # Largest number of open connections
    watches: int = 6000  # Largest number of open watches
    # Largest share of the connections and of the watches for callers from one address.
    caller_share: float = 0.5
    caller_calls_per_s: float = 2000.0  # Largest rate of calls from one address; 0 for no limit
    joins_per_s: float = 1000.0  # Largest rate of complete lists and new watches for all callers together
    watch_bytes: int = 262_144  # Unread bytes of a slow watcher after which changes for it are merged
    watch_stuck_ms: int = 10_000  # Time without a read after which the connection of a watcher is aborted
    idle_ms: int = 15_000  # Time without a call after which a connection is closed


class RegistryLimits(CallerLimits, frozen=True, forbid_unknown_fields=True):
    """Limits of the callers of a list service, and of the data that it stores for them."""

    queue: int = 4096  # Largest number of writes that wait for the disk
    rows: int = 100_000  # Largest number of rows in all tables together
    tables: int = 256  # Largest number of tables


class GuardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Condition under which the expiry of many leases counts as a fault of the network.

    Entries whose leases end under this condition are kept for a limited time.
    """

    # Share of the leases whose expiry within `window_ms` counts as a fault of the network.
    share: float = 0.25
    least: int = 2  # Smallest number of expired leases that counts as a fault of the network
    window_ms: int = 10_000  # Length of the window in which expired leases are counted
    keep_ms: int = 60_000  # Longest time for which an entry is kept after the end of its lease


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times to live of leases, in milliseconds."""

    default_ms: int = 6000  # Time to live if the caller states none
    least_ms: int = 500  # Shortest time to live that a caller may state
    most_ms: int = 600_000  # Longest time to live that a caller may state
    restart_grace_ms: int = 5000  # Shortest remaining time of each lease after a start
    # Time for which a service collects entries after a start on an empty disk, if callers know an earlier
    # incarnation of it.
    gather_ms: int = 3000


class AgreementSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings for the configuration revisions on which all sidecars agree."""

    agree_ms: float = 3000.0  # Longest time in which two sidecars may act on contradicting revisions
    # Largest number of reporting sidecars.
    members_most: int = msgspec.field(name="edges_most", default=10_000)
    forget_ms: float = 86_400_000.0  # Time without a report after which a sidecar is no longer a member


class GeoSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Steering by measured delays, which are always measured; plans are published only on demand."""

    # Capacity of a server of weight 1, in requests per second; 0 if no plans are computed.
    per_weight_per_s: float = 0.0
    # Penalty in milliseconds that is added to the delay of every region except the group's own.
    foreign_penalty_ms: float = msgspec.field(name="crossing_ms", default=0.0)
    # Smallest share of a group's requests that is sent to regions other than the best one.
    least_elsewhere: float = msgspec.field(name="floor", default=0.05)
    # Largest share of a group's requests that one revision moves to other regions.
    migration_most: float = msgspec.field(name="most_moved", default=0.2)
    # Share of the idempotent requests that may explore regions without a share in the plan.
    exploration: float = msgspec.field(name="look", default=0.01)


class Cluster(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names and addresses of the replicas."""

    name: str
    members: dict[str, str]


class RegistrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of a list service."""

    listen: str  # Address that the service listens at
    data: str  # Folder of the stored data
    ring: int = 8192  # Number of recent changes from which watches can resume
    batch: int = 1024  # Largest number of writes that share one sync of the disk
    limits: RegistryLimits = RegistryLimits()
    guard: GuardSettings = GuardSettings()
    leases: LeaseSettings = LeaseSettings()
    agreement: AgreementSettings = AgreementSettings()
    geo: GeoSettings = GeoSettings()
    cluster: Cluster | None = None


class RegistryFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration file of a list service."""

    registry: RegistrySettings


class AggregatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of an aggregator between sidecars and the deciding service."""

    name: str  # Name of the aggregator, unique among all aggregators
    region: str
    listen: str  # Address that the aggregator listens at
    upstream: list[str]  # Addresses of the deciding service
    advertise: str = ""  # Address at which others reach the aggregator; empty if it is `listen`
    children_most: int = 2000  # Largest number of child processes at the same time
    newcomers_per_s: float = 300.0  # Largest rate of children without a lease that are admitted
    newcomers_burst: int = 100  # Largest number of children without a lease that are admitted at once
    agree_ms: float = 3000.0  # The setting `agree_ms` of the deciding service
    ring: int = 8192  # Number of recent changes of the list from which watches can resume
    # Largest rate of complete lists to all children together; changes since an index are not counted.
    lists_per_s: float = msgspec.field(name="whole_lists_per_s", default=200.0)
    writes_at_once: int = 32  # Largest number of writes that are forwarded concurrently
    writes_waiting: int = 256  # Largest number of writes that wait to be forwarded; further ones get 503
    limits: CallerLimits = CallerLimits()


class AggregatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration file of an aggregator."""

    aggregator: AggregatorSettings


def parse_address(text: str) -> tuple[str, int]:
    """Split an address `HOST:PORT` into host and port; raise `ValueError` if the text has another form."""
    host, _, port = text.rpartition(":")
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    if not PORT.fullmatch(port) or int(port) > 65_535 or not (HOST.fullmatch(host) or _is_ipv6(bare)):
        message = f"{text[:MAX_SHOWN]!r} is no HOST:PORT"
        raise ValueError(message)
    return bare, int(port)


def _is_ipv6(text: str) -> bool:
    try:
        return ipaddress.ip_address(text).version == 6
    except ValueError:
        return False


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file as plain values; raise `SettingsError` if it can't be read or is not valid TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(str(path), error.strerror or str(error)) from error
    except RecursionError as error:
        raise SettingsError(str(path), "the values are nested too deeply to be read") from error
    except ValueError as error:  # Not TOML, not UTF-8, or a number with thousands of digits
        raise SettingsError(str(path), str(error)) from error


def load_registry(path: Path) -> RegistrySettings:
    """Read the configuration file of a list service; raise `SettingsError` if it is invalid."""
    return _load_file(
        path, lambda raw: check_registry(msgspec.convert(raw, RegistryFile, strict=True).registry)
    )


def is_aggregator(path: Path) -> bool:
    """Return whether a file configures an aggregator; raise `SettingsError` if it can't be read."""
    return "aggregator" in read_toml(path)


def load_aggregator(path: Path) -> AggregatorSettings:
    """Read the configuration file of an aggregator; raise `SettingsError` if it is invalid."""
    return _load_file(
        path, lambda raw: check_aggregator(msgspec.convert(raw, AggregatorFile, strict=True).aggregator)
    )


def _load_file(path: Path, parse: Callable[[dict[str, Any]], ParsedSettings]) -> ParsedSettings:
    raw = read_toml(path)
    try:
        return parse(raw)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(str(path), str(error)) from error


def check_aggregator(settings: AggregatorSettings) -> AggregatorSettings:
    """Return the same settings; raise `ValueError`, which names the first value that is out of range."""
    _check_label("aggregator.name", settings.name)
    _check_label("aggregator.region", settings.region)
    if not 1 <= len(settings.upstream) <= MAX_UPSTREAMS:
        message = f"aggregator.upstream: 1 to {MAX_UPSTREAMS} addresses are required"
        raise ValueError(message)
    _check_address("aggregator.listen", settings.listen)
    if settings.advertise:
        _check_address("aggregator.advertise", settings.advertise)
    for upstream in settings.upstream:
        _check_address("aggregator.upstream", upstream)
    _check_numbers("aggregator.", settings, zero=("newcomers_burst",))
    _check_numbers("aggregator.limits.", settings.limits, zero=MAY_BE_ZERO)
    _check_share("aggregator.limits.caller_share", settings.limits.caller_share)
    return settings


def check_registry(settings: RegistrySettings) -> RegistrySettings:
    """Return the same settings; raise `ValueError`, which names the first value that is out of range."""
    parse_address(settings.listen)
    if not settings.data or "\0" in settings.data:
        message = f"registry.data: {settings.data[:MAX_SHOWN]!r} is not the name of a folder"
        raise ValueError(message)
    if settings.cluster is not None:
        message = "registry.cluster: remove it, since this version runs one list service without replicas"
        raise ValueError(message)
    for name in ("limits", "guard", "leases", "agreement", "geo"):
        _check_numbers(f"registry.{name}.", getattr(settings, name), zero=MAY_BE_ZERO)
    _check_numbers("registry.", settings)
    _check_share("registry.limits.caller_share", settings.limits.caller_share)
    _check_share("registry.guard.share", settings.guard.share)
    leases = settings.leases
    if not leases.least_ms <= leases.default_ms <= leases.most_ms:
        message = (
            f"registry.leases: least_ms {leases.least_ms} <= default_ms {leases.default_ms}"
            f" <= most_ms {leases.most_ms} is required"
        )
        raise ValueError(message)
    return settings


def _check_label(key: str, text: str) -> None:
    if not LABEL.fullmatch(text):
        message = f"{key}: {text[:MAX_SHOWN]!r}: 1 to 64 letters, digits, '.', '_', ':' or '-' are required"
        raise ValueError(message)


def _check_address(key: str, text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        message = f"{key}: {error}"
        raise ValueError(message) from error


def _check_share(key: str, share: float) -> None:
    if share > 1.0:
        message = f"{key}: {share} is a share above 1.0, at most 1.0 is allowed"
        raise ValueError(message)


def _check_numbers(prefix: str, section: msgspec.Struct, zero: tuple[str, ...] = ()) -> None:
    """Check that the numbers of one section are in range; errors put `prefix` before the key."""
    for name, key in zip(section.__struct_fields__, section.__struct_encode_fields__, strict=True):
        value = getattr(section, name)
        if not isinstance(value, int | float):
            continue
        if not (0 < value < MAX_NUMBER or (key in zero and value == 0)):
            message = (
                f"{prefix}{key}: {value} is out of range: a positive number below {MAX_NUMBER:g} is required"
            )
            raise ValueError(message)
