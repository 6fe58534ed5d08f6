"""Configuration files of the control plane: TOML to immutable typed values.

Every error names file, key and reason.
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
# Names that every resolver accepts: labels of up to 63 characters.
HOST = re.compile(r"(?=.{1,253}$)[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?")
LABEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
UPSTREAM_MOST = 16
MOST = 1e12  # largest number in a file
SHOWN_MOST = 140  # characters of a bad value that an error repeats
Kind = TypeVar("Kind")

# Keys whose values may be 0; all other numbers are positive.
MAY_BE_ZERO = ("caller_calls_per_s", "gather_ms", "per_weight_per_s", "crossing_ms", "floor", "look")


class SettingsError(UsageError):
    """A configuration file is invalid; the text is one line with file, key and reason."""

    action = "Correct the file; `python -m brassfall check FILE` checks it without starting anything."


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on what the callers of a process may use."""

    body_bytes: int = 65_536
    connections: int = 8192
    watches: int = 6000
    caller_share: float = 0.5  # of connections and of watches, for callers from one address
    caller_calls_per_s: float = 2000.0  # from one address; 0: no limit
    joins_per_s: float = 1000.0  # complete lists and new watches, of all callers together
    watch_bytes: int = 262_144  # unread by a slow watcher before its changes are merged
    watch_stuck_ms: int = 10_000  # without a read, after which its connection is aborted
    idle_ms: int = 15_000  # a connection without a call


class RegistryLimits(CallerLimits, frozen=True, forbid_unknown_fields=True):
    """Limits of callers, and of what a list service stores for them."""

    queue: int = 4096  # writes that wait for the disk
    rows: int = 100_000  # of all tables
    tables: int = 256


class GuardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Condition under which many expiring leases count as a fault of the network."""

    share: float = 0.25
    least: int = 2
    window_ms: int = 10_000
    keep_ms: int = 60_000


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times to live of leases."""

    default_ms: int = 6000
    least_ms: int = 500
    most_ms: int = 600_000
    restart_grace_ms: int = 5000  # least remaining time of each lease after a start
    gather_ms: int = 3000  # after a start on an empty disk, if callers know an earlier incarnation


class AgreementSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration revisions that all sidecars act on together."""

    agree_ms: float = 3000.0  # longest time for which two sidecars may act on contradicting revisions
    members_most: int = msgspec.field(name="edges_most", default=10_000)  # sidecars that may report
    forget_ms: float = 86_400_000.0  # without a report, after which a sidecar is no member


class GeoSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Steering by measured delays; delays are always measured, plans are published only on demand."""

    per_weight_per_s: float = 0.0  # requests/s that a server of weight 1 can carry; 0: no plans
    # Added to the delay of every region but the group's own.
    foreign_penalty_ms: float = msgspec.field(name="crossing_ms", default=0.0)
    # Least share of each group's requests that goes to other regions than its best.
    least_elsewhere: float = msgspec.field(name="floor", default=0.05)
    # Largest share of a group's requests that one revision migrates.
    migration_most: float = msgspec.field(name="most_moved", default=0.2)
    # Share of idempotent requests that may explore regions without a share.
    exploration: float = msgspec.field(name="look", default=0.01)


class Cluster(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names and addresses of the replicas."""

    name: str
    members: dict[str, str]


class RegistrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of a list service."""

    listen: str
    data: str
    ring: int = 8192
    batch: int = 1024  # writes that share one sync
    limits: RegistryLimits = RegistryLimits()
    guard: GuardSettings = GuardSettings()
    leases: LeaseSettings = LeaseSettings()
    agreement: AgreementSettings = AgreementSettings()
    geo: GeoSettings = GeoSettings()
    cluster: Cluster | None = None


class File(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration file of a list service."""

    registry: RegistrySettings


class AggregatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration of an aggregator between sidecars and the deciding service."""

    name: str  # unique among aggregators
    region: str
    listen: str
    upstream: list[str]  # addresses of the deciding service
    advertise: str = ""  # address at which others reach it; empty: `listen`
    children_most: int = 2000  # child processes at once
    newcomers_per_s: float = 300.0  # children without a lease that are admitted per second
    newcomers_burst: int = 100  # of them at once after a quiet time
    agree_ms: float = 3000.0  # as the deciding service has it
    ring: int = 8192  # changes of the list from which watches can resume
    # Complete lists to all children together; changes since an index are not counted.
    lists_per_s: float = msgspec.field(name="whole_lists_per_s", default=200.0)
    writes_at_once: int = 32  # forwarded concurrently
    writes_waiting: int = 256  # queued for that; more get 503
    limits: CallerLimits = CallerLimits()


class AggregatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration file of an aggregator."""

    aggregator: AggregatorSettings


def parse_address(text: str) -> tuple[str, int]:
    """Split `HOST:PORT` into a pair; raise `ValueError` if it is none."""
    host, _, port = text.rpartition(":")
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    if not PORT.fullmatch(port) or int(port) > 65_535 or not (HOST.fullmatch(host) or _is_ipv6(bare)):
        message = f"{text[:SHOWN_MOST]!r} is no HOST:PORT"
        raise ValueError(message)
    return bare, int(port)


def _is_ipv6(text: str) -> bool:
    try:
        return ipaddress.ip_address(text).version == 6
    except ValueError:
        return False


def read_toml(path: Path) -> dict[str, Any]:
    """Read a file as plain values; raise `SettingsError` if it can't be read or is no TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(str(path), error.strerror or str(error)) from error
    except RecursionError as error:
        raise SettingsError(str(path), "its values are nested too deeply") from error
    except ValueError as error:  # no TOML, no UTF-8, or a number of thousands of digits
        raise SettingsError(str(path), str(error)) from error


def load_registry(path: Path) -> RegistrySettings:
    """Read the file of a list service; raise `SettingsError` if it is invalid."""
    return _load(path, lambda raw: check(msgspec.convert(raw, File, strict=True).registry))


def is_aggregator(path: Path) -> bool:
    """Return True if a file configures an aggregator; raise `SettingsError` if it can't be read."""
    return "aggregator" in read_toml(path)


def load_aggregator(path: Path) -> AggregatorSettings:
    """Read the file of an aggregator; raise `SettingsError` if it is invalid."""
    return _load(
        path, lambda raw: check_aggregator(msgspec.convert(raw, AggregatorFile, strict=True).aggregator)
    )


def _load(path: Path, read: Callable[[dict[str, Any]], Kind]) -> Kind:
    raw = read_toml(path)
    try:
        return read(raw)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(str(path), str(error)) from error


def check_aggregator(settings: AggregatorSettings) -> AggregatorSettings:
    """Return the same settings; raise `ValueError`, which names the first value that is out of range."""
    _check_label("aggregator.name", settings.name)
    _check_label("aggregator.region", settings.region)
    if not 1 <= len(settings.upstream) <= UPSTREAM_MOST:
        message = f"aggregator.upstream: 1 to {UPSTREAM_MOST} addresses are required"
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


def check(settings: RegistrySettings) -> RegistrySettings:
    """Return the same settings; raise `ValueError`, which names the first value that is out of range."""
    parse_address(settings.listen)
    if not settings.data or "\0" in settings.data:
        message = "registry.data: no folder is named"
        raise ValueError(message)
    if settings.cluster is not None:
        message = "registry.cluster: this version runs one list service, without replicas"
        raise ValueError(message)
    for name in ("limits", "guard", "leases", "agreement", "geo"):
        _check_numbers(f"registry.{name}.", getattr(settings, name), zero=MAY_BE_ZERO)
    _check_numbers("registry.", settings)
    _check_share("registry.limits.caller_share", settings.limits.caller_share)
    _check_share("registry.guard.share", settings.guard.share)
    leases = settings.leases
    if not leases.least_ms <= leases.default_ms <= leases.most_ms:
        message = "registry.leases: least_ms, default_ms and most_ms are not in this order"
        raise ValueError(message)
    return settings


def _check_label(key: str, text: str) -> None:
    if not LABEL.fullmatch(text):
        message = f"{key}: {text[:SHOWN_MOST]!r}: 1 to 64 letters, digits, '.', '_', ':' or '-' are required"
        raise ValueError(message)


def _check_address(key: str, text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        message = f"{key}: {error}"
        raise ValueError(message) from error


def _check_share(key: str, share: float) -> None:
    if share > 1.0:
        message = f"{key}: {share} is more than all, 1.0"
        raise ValueError(message)


def _check_numbers(prefix: str, section: msgspec.Struct, zero: tuple[str, ...] = ()) -> None:
    """Check the numbers of one section; `prefix` is its place in the file, with a dot at the end."""
    for name, key in zip(section.__struct_fields__, section.__struct_encode_fields__, strict=True):
        value = getattr(section, name)
        if not isinstance(value, int | float):
            continue
        if not (0 < value < MOST or (key in zero and value == 0)):
            message = f"{prefix}{key}: {value} is out of range"
            raise ValueError(message)
