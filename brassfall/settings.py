"""Configuration files: TOML to immutable typed values. Every error names file, key and reason."""

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
# What a resolver takes without an error of its own: labels of up to 63 characters.
HOST = re.compile(r"(?=.{1,253}$)[A-Za-z0-9_-]{1,63}(\.[A-Za-z0-9_-]{1,63})*\.?")


LABEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,63}")
UPSTREAM_MOST = 16
MOST = 1e12  # of any number in a file
Kind = TypeVar("Kind")

# Keys whose values may be 0; all others are more.
MAY_BE_ZERO = ("caller_calls_per_s", "gather_ms", "per_weight_per_s", "crossing_ms", "floor", "look")


class SettingsError(UsageError):
    """A file that can't be used; its text is one line with file, key and reason."""

    action = "Mend the file there; `python -m brassfall check FILE` looks at it alone."


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What callers of any process may use."""

    body_bytes: int = 65_536
    connections: int = 8192
    watches: int = 6000
    caller_share: float = 0.5  # of connections and of watches, for callers from one address
    caller_calls_per_s: float = 2000.0  # from one address; 0 is without limit
    joins_per_s: float = 1000.0  # whole lists and new watches, from all together
    watch_bytes: int = 262_144  # unread by a slow watcher, before its changes are merged
    watch_stuck_ms: int = 10_000  # how long it may read nothing, before it is aborted
    idle_ms: int = 15_000  # a connection without a call


class Limits(CallerLimits, frozen=True, forbid_unknown_fields=True):
    """The same, and what they may have a list service keep."""

    queue: int = 4096  # writes that wait for the disk
    rows: int = 100_000  # of all tables
    tables: int = 256


class GuardSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When many leases that end are held to be a fault of the network."""

    share: float = 0.25
    least: int = 2
    window_ms: int = 10_000
    keep_ms: int = 60_000


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times to live that may be asked for."""

    default_ms: int = 6000
    least_ms: int = 500
    most_ms: int = 600_000
    restart_grace_ms: int = 5000  # the least that each lease lasts after a start
    gather_ms: int = 3000  # after a start with an empty disk, where callers know of an earlier incarnation


class AgreementSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configuration revisions that all sidecars act on together."""

    agree_ms: float = 3000.0  # no two sidecars act on contradicting revisions for longer
    members_most: int = msgspec.field(name="edges_most", default=10_000)  # sidecars that may report
    forget_ms: float = 86_400_000.0  # without a report: then it counts no more


class GeoSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Steering by measured delays; delays are always measured, plans are published only on demand."""

    per_weight_per_s: float = 0.0  # requests/s that a server of weight 1 can carry; 0: no plans
    # What a region other than the group's own counts as farther.
    foreign_penalty_ms: float = msgspec.field(name="crossing_ms", default=0.0)
    # The part of each group's requests that goes elsewhere than to its best region.
    least_elsewhere: float = msgspec.field(name="floor", default=0.05)
    # The most of a group's requests that one revision migrates.
    migration_most: float = msgspec.field(name="most_moved", default=0.2)
    # The part of idempotent requests that may explore regions without a share.
    exploration: float = msgspec.field(name="look", default=0.01)


class Cluster(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who the replicas are."""

    name: str
    members: dict[str, str]


class RegistrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One list service."""

    listen: str
    data: str
    ring: int = 8192
    batch: int = 1024  # writes that share one sync
    limits: Limits = Limits()
    guard: GuardSettings = GuardSettings()
    leases: LeaseSettings = LeaseSettings()
    agreement: AgreementSettings = AgreementSettings()
    geo: GeoSettings = GeoSettings()
    cluster: Cluster | None = None


class File(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A configuration file."""

    registry: RegistrySettings


class AggregatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One aggregator between sidecars and the deciding service."""

    name: str  # no other aggregator has it
    region: str
    listen: str
    upstream: list[str]  # addresses of the deciding service
    advertise: str = ""  # where others reach it; empty: at `listen`
    children_most: int = 2000  # child processes at once
    newcomers_per_s: float = 300.0  # children without a lease that are admitted in a second
    newcomers_burst: int = 100  # of them at once, after a quiet time
    agree_ms: float = 3000.0  # as the deciding service has it
    ring: int = 8192  # changes of the list that watchers can go on from
    # Whole lists to all children together; changes since an index are not counted.
    lists_per_s: float = msgspec.field(name="whole_lists_per_s", default=200.0)
    writes_at_once: int = 32  # that are forwarded
    writes_waiting: int = 256  # for those; more get 503
    limits: CallerLimits = CallerLimits()


class AggregatorFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A configuration file of an aggregator."""

    aggregator: AggregatorSettings


def address(text: str) -> tuple[str, int]:
    """`HOST:PORT` as a pair; `ValueError` if it is none."""
    host, _, port = text.rpartition(":")
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    if not PORT.fullmatch(port) or int(port) > 65_535 or not (HOST.fullmatch(host) or _is_ipv6(bare)):
        raise ValueError(f"{text[:140]!r} is no HOST:PORT")
    return bare, int(port)


def _is_ipv6(text: str) -> bool:
    try:
        return ipaddress.ip_address(text).version == 6
    except ValueError:
        return False


def read_toml(path: Path) -> dict[str, Any]:
    """A file as plain values; `SettingsError` if it can't be read, or is no TOML."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(str(path), error.strerror or str(error)) from error
    except RecursionError as error:
        raise SettingsError(str(path), "its values are nested too deeply") from error
    except ValueError as error:  # no TOML, no UTF-8, or a number of thousands of digits
        raise SettingsError(str(path), str(error)) from error


def load(path: Path) -> RegistrySettings:
    """Read a file; `SettingsError` says what is wrong with it, and where."""
    return _load(path, lambda raw: check(msgspec.convert(raw, File, strict=True).registry))


def is_aggregator(path: Path) -> bool:
    """Whether a file configures an aggregator; `SettingsError` if it can't be read."""
    return "aggregator" in read_toml(path)


def load_aggregator(path: Path) -> AggregatorSettings:
    """Read the file of an aggregator; `SettingsError` says what is wrong with it, and where."""
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
    """The same settings, if their values make sense; `ValueError` names the first that does not."""
    for key, text in (("name", settings.name), ("region", settings.region)):
        if not LABEL.fullmatch(text):
            raise ValueError(
                f"aggregator.{key}: {text[:140]!r}: 1 to 64 letters, digits, '.', '_', ':' or '-' are wanted"
            )
    if not 1 <= len(settings.upstream) <= UPSTREAM_MOST:
        raise ValueError(f"aggregator.upstream: 1 to {UPSTREAM_MOST} addresses are wanted")
    advertised = [settings.advertise] if settings.advertise else []
    for key, texts in (
        ("listen", [settings.listen]),
        ("advertise", advertised),
        ("upstream", settings.upstream),
    ):
        for text in texts:
            try:
                address(text)
            except ValueError as error:
                raise ValueError(f"aggregator.{key}: {error}") from error
    _positive("aggregator.", settings, zero=("newcomers_burst",))
    _positive("aggregator.limits.", settings.limits, zero=MAY_BE_ZERO)
    if settings.limits.caller_share > 1.0:
        raise ValueError(
            f"aggregator.limits.caller_share: {settings.limits.caller_share} is more than all, 1.0"
        )
    return settings


def check(settings: RegistrySettings) -> RegistrySettings:
    """The same settings, if their values make sense; `ValueError` names the first that does not."""
    address(settings.listen)
    if not settings.data or "\0" in settings.data:
        raise ValueError("registry.data: no folder is named")
    if settings.cluster is not None:
        raise ValueError("registry.cluster: this version runs one list service, without replicas")
    for part in ("limits", "guard", "leases", "agreement", "geo"):
        _positive(f"registry.{part}.", getattr(settings, part), zero=MAY_BE_ZERO)
    _positive("registry.", settings)
    for name, share in (
        ("limits.caller_share", settings.limits.caller_share),
        ("guard.share", settings.guard.share),
    ):
        if share > 1.0:
            raise ValueError(f"registry.{name}: {share} is more than all, 1.0")
    leases = settings.leases
    if not leases.least_ms <= leases.default_ms <= leases.most_ms:
        raise ValueError("registry.leases: least_ms, default_ms and most_ms are not in this order")
    return settings


def _positive(at: str, part: Any, zero: tuple[str, ...] = ()) -> None:
    """Check the numbers of one part; `at` is its place in the file, with a dot at the end."""
    for name, key in zip(part.__struct_fields__, part.__struct_encode_fields__, strict=True):
        value = getattr(part, name)
        if isinstance(value, int | float) and not (0 < value < MOST or (key in zero and value == 0)):
            raise ValueError(f"{at}{key}: {value} is out of range")
