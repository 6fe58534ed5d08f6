"""The configuration of a sidecar: read from the environment and a JSON file into typed values."""

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

RESERVED_DESCRIPTORS = 24  # for the log, the loop, discovery, peers and files that are open briefly
MAX_ADMIN_CONNECTIONS = 8  # at once; with an admin endpoint their descriptors are reserved
MIB = 2**20
MAX_FILE_BYTES = 4 * MIB
DEFAULT_SOCKETS, DEFAULT_MEMORY_MB = 1024, 64.0
NO_MAX_OPEN = 2**31
DEFAULT_AGREE_MS, MIN_AGREE_MS, MAX_AGREE_MS = 3000.0, 100.0, 600_000.0
KEYED_CLASS_KEYS = frozenset(("KeyTtl", "Group"))  # keys of a class that bind only keyed classes


class ConfigError(Exception):
    """An invalid configuration; its text is one line."""

    action = "mend the file or the variable, and start it again, or send SIGHUP to one that runs"


@dataclass(frozen=True, slots=True)
class Limits:
    """The resources of this sidecar, in one process or, while one replaces another, in two."""

    descriptors: int
    reserved: int  # descriptors in each process for other uses than connections of clients and servers
    memory: int  # bytes

    def connections(self, part: float) -> int:
        """Return how many connections a process may have that has this part of all descriptors."""
        return max(4, int(self.descriptors * part) - self.reserved)


@dataclass(frozen=True, slots=True)
class Agreement:
    """The part of this sidecar in the configuration revisions, by the key `fleet.agreement`."""

    agree_ms: float
    group: str  # the group of its clients
    region: str  # the region near it
    raw: Mapping[str, Any]  # the file, which revisions are merged into


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of a sidecar."""

    name: str
    listen: Address
    inherited_descriptor: int | None  # the descriptor of the listening socket, where the platform holds it
    operator: Address | None  # of the admin endpoint
    discovery: Address
    registry: tuple[Address, ...]  # the addresses of the list service; none without the key `fleet`
    seed: int
    limits: Limits
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    known_servers: ServerList
    settings: Settings
    names: WireNames
    max_open_requests: int
    drain_grace: float
    present_keys: frozenset[str]  # the keys of the file
    agreement: Agreement | None = None


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration from the file that the environment names; raise `ConfigError` if invalid."""
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
    """Return the text of the file.

    Guards against a pipe or a device, which would block a process that serves, or fill its memory.
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
    """Return the configuration from its JSON; for addresses the environment takes precedence.

    Raise one of `MALFORMED_ERRORS` if it is invalid.
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
    """Return a member that is an object; an optional one that is missing counts as empty."""
    part = raw[key] if needed else raw.get(key)
    return {} if part is None and not needed else as_object(part, key)


def _address(raw: Mapping[str, Any], key: str, instead: str | None = None) -> Address | None:
    """Return the address in `instead`, from the environment, or else in a member; None if in neither."""
    text = instead or raw.get(key)
    with error_prefix(_variable(key) if instead else key):
        return resolvable_address(text) if text else None


def _needed_address(raw: Mapping[str, Any], key: str, environment: Mapping[str, str]) -> Address:
    address = _address(raw, key, environment.get(_variable(key)))
    if address is None:
        message = f"{key} is missing"
        raise ValueError(message)
    return address


def _variable(key: str) -> str:
    """Return the environment variable that takes precedence over a key."""
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
    """Return the keys that a configuration has: those of its objects, and those that all classes have.

    Keys that bind only keyed classes count if all keyed classes have them.
    """
    settings = raw["settings"]
    parts = {"": raw, "settings.": settings}
    parts |= {f"{name}.": part for name, part in settings.items() if isinstance(part, Mapping)}
    found = {f"{at}{key}" for at, part in parts.items() for key, value in part.items() if value is not None}
    rows = settings["Profiles"]
    keyed = [row for row in rows if row["Semantics"] == "token"]
    keys = (_keys_of_all(rows) - KEYED_CLASS_KEYS) | (_keys_of_all(keyed) & KEYED_CLASS_KEYS)
    return frozenset(found | {f"Profiles.{key}" for key in keys})


def _keys_of_all(rows: list[Mapping[str, Any]]) -> set[str]:
    keys = [{key for key, value in row.items() if value is not None} for row in rows]
    return set.intersection(*keys) if keys else set()


def _registry(raw: Mapping[str, Any]) -> tuple[Address, ...]:
    """Return the addresses of the list service, from the object `fleet`; none without that."""
    if raw.get("fleet") is None:
        return ()
    fleet = _known_keys("fleet", raw["fleet"], {"registry", "sharing", "place", "agreement"})
    addresses = fleet["registry"]
    if not isinstance(addresses, list) or not addresses:
        message = "fleet.registry: expected a list of addresses"
        raise ValueError(message)
    with error_prefix("fleet.registry"):
        return tuple(resolvable_address(text) for text in addresses)


def _agreement(raw: Mapping[str, Any]) -> Agreement | None:
    """Return the part in the configuration revisions, from the object `fleet`; None if it has none."""
    fleet = raw.get("fleet") or {}
    place = _known_keys("fleet.place", fleet.get("place") or {}, {"group", "region"})
    if fleet.get("agreement") is None:
        return None
    agreement = _known_keys("fleet.agreement", fleet["agreement"], {"agree_ms"})
    agree_ms = non_negative_number(agreement.get("agree_ms", DEFAULT_AGREE_MS))
    if not MIN_AGREE_MS <= agree_ms <= MAX_AGREE_MS:
        message = f"fleet.agreement.agree_ms: expected {MIN_AGREE_MS:g} to {MAX_AGREE_MS:g}"
        raise ValueError(message)
    return Agreement(
        agree_ms=agree_ms,
        group=str(place.get("group", "")),
        region=str(place.get("region", "")),
        raw={**raw, "known": {"index": 0, "endpoints": []}},
    )


def _known_keys(name: str, part: object, known: set[str]) -> Mapping[str, Any]:
    """Return an object; raise `ValueError` if it is none, or has keys that are not known."""
    found = as_object(part, name)
    if unknown := sorted(found.keys() - known):
        message = f"{name}.{unknown[0]}: not known"
        raise ValueError(message)
    return found


def _descriptor(environment: Mapping[str, str], variable: str) -> int | None:
    text = environment.get(variable)
    if not text:
        return None
    if not (text.isascii() and text.isdigit()):
        message = f"{variable}: {text!r} is not a descriptor"
        raise ValueError(message)
    return int(text)


def _limits(raw: Mapping[str, Any], *, admin_endpoint: bool) -> Limits:
    """Return what the configuration and the system allow."""
    limits = _object(raw, "limits")
    reserved = RESERVED_DESCRIPTORS + (MAX_ADMIN_CONNECTIONS + 1 if admin_endpoint else 0)
    allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    given = int(bounded_number(limits.get("sockets", DEFAULT_SOCKETS), "limits.sockets"))
    memory = int(bounded_number(limits.get("memory_mb", DEFAULT_MEMORY_MB), "limits.memory_mb") * MIB)
    return Limits(descriptors=given if allowed < 0 else min(given, allowed), reserved=reserved, memory=memory)
