"""The configuration of a sidecar, which is read from the environment and a JSON file into typed values."""

from __future__ import annotations

import json
import os
import resource
import stat
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from brassfall.balancer import Settings
from brassfall.sidecar.config_values import (
    MALFORMED_ERRORS,
    Address,
    WireNames,
    as_object,
    bounded_number,
    error_prefix,
    malformed_reason,
    non_negative_number,
    read_names,
    resolvable_address,
    stable_number,
)
from brassfall.sidecar.discovery.endpoint_list import ServerList, parse_list

# Number of descriptors reserved for the log, the event loop, discovery, peers and files that are open
# briefly.
RESERVED_DESCRIPTORS = 24
# Limit of open connections to the admin endpoint; descriptors for them are reserved if there is an admin
# endpoint.
MAX_ADMIN_CONNECTIONS = 8
MIB = 2**20
MAX_FILE_BYTES = 4 * MIB
DEFAULT_SOCKETS, DEFAULT_MEMORY_MB = 1024, 64.0
NO_MAX_OPEN = 2**31  # Value of `max_open_requests` that stands for no limit
DEFAULT_AGREE_MS, MIN_AGREE_MS, MAX_AGREE_MS = 3000.0, 100.0, 600_000.0
# Keys of a request class that matter only if its requests carry idempotency keys.
KEYED_CLASS_KEYS = frozenset(("KeyTtl", "Group"))


class ConfigError(Exception):
    """The configuration is invalid; the text of the error is one line."""

    action = "correct the file or the variable, and start the sidecar again, or send SIGHUP if it is running"


@dataclass(frozen=True, slots=True)
class Limits:
    """The resources of this sidecar, which two processes share while one replaces the other."""

    descriptors: int
    reserved: int  # Number of descriptors in each process that connections to clients and servers can't use
    memory: int  # Memory for messages, in bytes

    def connections(self, share: float) -> int:
        """Return how many connections a process may have that gets a share of all descriptors."""
        return max(4, int(self.descriptors * share) - self.reserved)


@dataclass(frozen=True, slots=True)
class Agreement:
    """How this sidecar takes part in configuration revisions, from the key `fleet.agreement`."""

    agree_ms: float
    group: str  # Group that the clients of this sidecar belong to
    region: str  # Region that this sidecar is in or near
    raw: Mapping[str, Any]  # Parsed JSON of the configuration file, into which revisions are merged


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a sidecar."""

    name: str
    listen: Address
    # Descriptor of a listening socket that the platform opened; None if none.
    inherited_descriptor: int | None
    operator: Address | None  # Address of the admin endpoint; None if there is no admin endpoint
    discovery: Address
    registry: tuple[Address, ...]  # Addresses of the list service; empty without the key `fleet`
    seed: int
    limits: Limits
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known_servers: ServerList
    settings: Settings
    names: WireNames
    max_open_requests: int
    drain_grace: float  # Milliseconds in which requests to a draining server may still be started
    present_keys: frozenset[str]  # Keys that the configuration file has
    agreement: Agreement | None = None


def load(environment: Mapping[str, str]) -> Config:
    """Read the configuration from the file that the environment names; raise `ConfigError` if invalid."""
    path = environment.get("NODE_CONFIG")
    if not path:
        message = "NODE_CONFIG is not set"
        raise ConfigError(message)
    try:
        return parse(json.loads(_text(path)), environment)
    except OSError as error:
        message = f"configuration {path}: {error.strerror}"
        raise ConfigError(message) from error
    except MALFORMED_ERRORS as error:
        message = " ".join(f"configuration {path}: {malformed_reason(error)}".split())
        raise ConfigError(message) from error


def _text(path: str) -> str:
    """Return the text of the configuration file; raise `ValueError` if it is too large or no regular file.

    A pipe or a device could block a process that serves clients, or fill its memory.
    """
    with open(path, "rb", opener=lambda name, flags: os.open(name, flags | os.O_NONBLOCK)) as file:
        if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
            message = "is not a regular file"
            raise ValueError(message)
        data = file.read(MAX_FILE_BYTES + 1)
    if len(data) > MAX_FILE_BYTES:
        message = f"is larger than {MAX_FILE_BYTES} bytes"
        raise ValueError(message)
    return data.decode()


def parse(raw: object, environment: Mapping[str, str]) -> Config:
    """Return the configuration from its parsed JSON; addresses in the environment take precedence.

    Raise one of `MALFORMED_ERRORS` if the configuration is invalid.
    """
    root = as_object(raw)
    settings = _object(root, "settings", needed=True)
    with error_prefix("settings"):
        names = read_names(settings)
    operator = _address(root, "operator", environment.get("NODE_OPERATOR"))
    registry = _registry(root)
    discovery = registry[0] if registry else _needed_address(root, "discovery", environment)
    with error_prefix("settings"):
        parsed_settings = Settings.parse(settings)
    return Config(
        name=environment.get("NODE_NAME") or str(root["name"]),
        listen=_needed_address(root, "listen", environment),
        inherited_descriptor=_descriptor(environment, "NODE_INHERITED_FD"),
        operator=operator,
        discovery=discovery,
        registry=registry,
        seed=_seed(root),
        limits=_limits(root, admin_endpoint=operator is not None),
        peer_listen=_address(root, "peer_listen"),
        peers=_peers(root),
        peers_all=_address(root, "peers_all"),
        known_servers=_known_servers(root, names),
        settings=parsed_settings,
        names=names,
        max_open_requests=_max_open_requests(settings),
        drain_grace=_drain_grace(settings),
        present_keys=_present_keys(root),
        agreement=_agreement(root),
    )


def _object(raw: Mapping[str, Any], key: str, *, needed: bool = False) -> Mapping[str, Any]:
    """Return the object under a key; an object that is missing and not `needed` counts as empty."""
    value = raw[key] if needed else raw.get(key)
    return {} if value is None and not needed else as_object(value, key)


def _address(raw: Mapping[str, Any], key: str, from_environment: str | None = None) -> Address | None:
    """Return the address from the environment, or else the one under a key; None if there is neither."""
    text = from_environment or raw.get(key)
    with error_prefix(_variable(key) if from_environment else key):
        return resolvable_address(text) if text else None


def _needed_address(raw: Mapping[str, Any], key: str, environment: Mapping[str, str]) -> Address:
    address = _address(raw, key, environment.get(_variable(key)))
    if address is None:
        message = f"{key} is missing"
        raise ValueError(message)
    return address


def _variable(key: str) -> str:
    """Return the name of the environment variable that takes precedence over a key of the file."""
    return f"NODE_{key.upper()}"


def _known_servers(raw: Mapping[str, Any], names: WireNames) -> ServerList:
    known = _object(raw, "known", needed=True)
    with error_prefix("known"):
        return parse_list(known, names)


def _seed(raw: Mapping[str, Any]) -> int:
    with error_prefix("seed"):
        return stable_number(str(raw.get("seed", "")))


def _peers(raw: Mapping[str, Any]) -> tuple[Address, ...]:
    with error_prefix("peers"):
        return tuple(resolvable_address(peer) for peer in raw.get("peers") or ())


def _max_open_requests(settings: Mapping[str, Any]) -> int:
    with error_prefix("settings"):
        limits = _object(settings, "PolicyLimits")
        return int(bounded_number(limits.get("MaxOpen", NO_MAX_OPEN), "PolicyLimits.MaxOpen", 0))


def _drain_grace(settings: Mapping[str, Any]) -> float:
    with error_prefix("settings"):
        rules = _object(settings, "Rules")
        with error_prefix("Rules.StopSendingWithin"):
            return non_negative_number(rules.get("StopSendingWithin", 0.0))


def _present_keys(raw: Mapping[str, Any]) -> frozenset[str]:
    """Return the keys that a configuration has, as dotted paths.

    These are the keys of its objects, and the keys that all request classes have. A key in `KEYED_CLASS_KEYS`
    counts if all keyed classes have it.
    """
    settings = raw["settings"]
    objects = {"": raw, "settings.": settings}
    objects |= {f"{name}.": value for name, value in settings.items() if isinstance(value, Mapping)}
    keys_of_objects = {
        f"{prefix}{key}"
        for prefix, members in objects.items()
        for key, value in members.items()
        if value is not None
    }
    rows = settings["Profiles"]
    keyed_rows = [row for row in rows if row["Semantics"] == "token"]
    class_keys = (_common_keys(rows) - KEYED_CLASS_KEYS) | (_common_keys(keyed_rows) & KEYED_CLASS_KEYS)
    return frozenset(keys_of_objects | {f"Profiles.{key}" for key in class_keys})


def _common_keys(rows: list[Mapping[str, Any]]) -> set[str]:
    keys_by_row = [{key for key, value in row.items() if value is not None} for row in rows]
    return set.intersection(*keys_by_row) if keys_by_row else set()


def _registry(raw: Mapping[str, Any]) -> tuple[Address, ...]:
    """Return the addresses of the list service from the object `fleet`; return none if it is missing."""
    if raw.get("fleet") is None:
        return ()
    fleet = _object_with_keys("fleet", raw["fleet"], {"registry", "sharing", "place", "agreement"})
    addresses = fleet["registry"]
    if not isinstance(addresses, list) or not addresses:
        message = "fleet.registry: expected a list of addresses"
        raise ValueError(message)
    with error_prefix("fleet.registry"):
        return tuple(resolvable_address(text) for text in addresses)


def _agreement(raw: Mapping[str, Any]) -> Agreement | None:
    """Return the object `fleet.agreement`; None if this sidecar takes no part in configuration revisions."""
    fleet = raw.get("fleet") or {}
    place = _object_with_keys("fleet.place", fleet.get("place") or {}, {"group", "region"})
    if fleet.get("agreement") is None:
        return None
    agreement = _object_with_keys("fleet.agreement", fleet["agreement"], {"agree_ms"})
    agree_ms = non_negative_number(agreement.get("agree_ms", DEFAULT_AGREE_MS))
    if not MIN_AGREE_MS <= agree_ms <= MAX_AGREE_MS:
        message = f"fleet.agreement.agree_ms: expected {MIN_AGREE_MS:g} to {MAX_AGREE_MS:g} milliseconds"
        raise ValueError(message)
    return Agreement(
        agree_ms=agree_ms,
        group=str(place.get("group", "")),
        region=str(place.get("region", "")),
        raw={**raw, "known": {"index": 0, "endpoints": []}},
    )


def _object_with_keys(name: str, value: object, allowed: set[str]) -> Mapping[str, Any]:
    """Return the object `name`; raise `ValueError` if it is no object or has a key that is not allowed."""
    members = as_object(value, name)
    if unknown := sorted(members.keys() - allowed):
        message = f"{name}.{unknown[0]}: unknown key"
        raise ValueError(message)
    return members


def _descriptor(environment: Mapping[str, str], variable: str) -> int | None:
    text = environment.get(variable)
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        message = f"{variable}: {text!r} is not the number of a descriptor"
        raise ValueError(message)
    return int(text)


def _limits(raw: Mapping[str, Any], *, admin_endpoint: bool) -> Limits:
    """Return the limits of resources that the configuration and the operating system allow."""
    limits = _object(raw, "limits")
    reserved = RESERVED_DESCRIPTORS + (MAX_ADMIN_CONNECTIONS + 1 if admin_endpoint else 0)
    system_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    configured = int(bounded_number(limits.get("sockets", DEFAULT_SOCKETS), "limits.sockets"))
    memory = int(bounded_number(limits.get("memory_mb", DEFAULT_MEMORY_MB), "limits.memory_mb") * MIB)
    return Limits(
        descriptors=configured if system_limit < 0 else min(configured, system_limit),
        reserved=reserved,
        memory=memory,
    )
