"""Temporary overrides as a configuration revision states them: typed values, and reading them from the wire.

The names on the wire are in `docs/overrides.md`. They are mapped to the types below here and nowhere else.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence, Set
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple

from brassfall.sidecar.agent.deadlines import is_whole_number

# --- actions -------------------------------------------------------------------------------------


class HoldScope(Enum):
    """What a hold names; the values are the keys on the wire."""

    SERVER = "server"
    GROUP = "group"
    REGION = "region"


@dataclass(frozen=True, slots=True)
class Shift:
    """Send these shares of the matching requests to these regions; the rest goes to the other regions."""

    shares: Mapping[str, float]  # by region, each from 0 to 1


@dataclass(frozen=True, slots=True)
class Hold:
    """Start no new request at a server, a group of servers or a region while another can take it."""

    scope: HoldScope
    name: str


@dataclass(frozen=True, slots=True)
class Cap:
    """Limit the whole fleet's rate of the matching class."""

    requests_per_s: float


@dataclass(frozen=True, slots=True)
class Pin:
    """Let this region and no other serve the matching tenant."""

    region: str


@dataclass(frozen=True, slots=True)
class Freeze:
    """Keep shares and the plan's weight as they are."""


Action = Shift | Hold | Cap | Pin | Freeze


# --- overrides -----------------------------------------------------------------------------------


class Place(NamedTuple):
    """Where this sidecar runs, from the setting `fleet.place`."""

    group: str = ""
    region: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Override:
    """One override of a configuration revision."""

    id: str
    revision: int  # of this override: it grows with each change
    start_ms: int  # Unix time, by the service's clock
    priority: int  # the higher one takes precedence
    action: Action
    request_class: str | None = None  # None: requests of any class
    tenant: str | None = None  # None: requests of any tenant
    groups: frozenset[str] = field(default=frozenset())  # empty: sidecars of any group
    regions: frozenset[str] = field(default=frozenset())  # empty: sidecars of any region

    def applies_at(self, place: Place) -> bool:
        """Return whether a sidecar at this place acts on the override."""
        in_group = not self.groups or place.group in self.groups
        return in_group and (not self.regions or place.region in self.regions)


def precedence(override: Override) -> tuple[int, int, int, str]:
    """Return the sort key of overrides, the one that takes precedence first."""
    return -override.priority, -override.start_ms, -override.revision, override.id


class Layer(NamedTuple):
    """The overrides of one configuration revision."""

    overrides: Sequence[Override] = ()  # in order of precedence, the first one counts most
    problems: tuple[str, ...] = ()  # why rows were left out: the reasons to object to the revision


class UnsupportedOverrideError(ValueError):
    """An override that this version of the program can't act on."""

    action = "end the override, or upgrade this sidecar; it objects to the configuration revision meanwhile"


# --- reading the wire ------------------------------------------------------------------------------


def read_layer(raw: object) -> Layer:
    """Return the overrides of a configuration revision, and the problems of rows that can't be read."""
    if not isinstance(raw, list | tuple):
        return Layer(problems=("overrides: expected a list",))
    overrides, problems = [], []
    for row in raw:
        try:
            overrides.append(_read_override(row))
        except (ValueError, TypeError, AttributeError, KeyError) as error:
            name = row.get("id") if isinstance(row, Mapping) else None
            problems.append(f"override {name!r}: {error}")
    overrides.sort(key=precedence)
    return Layer(tuple(overrides), tuple(problems))


def _read_override(row: Mapping[str, Any]) -> Override:
    match, places = row.get("match", {}), row.get("places", {})
    action = _read_action(row["action"])
    _check_keys("match", match, {"class", "tenant"})
    _check_keys("places", places, {"groups", "regions"})
    if not all(isinstance(name, str | None) for name in match.values()):
        message = "match: expected names"
        raise UnsupportedOverrideError(message)
    if not all(is_whole_number(row[name]) for name in ("rev", "from_ms", "priority")):
        message = "rev, from_ms and priority: expected whole numbers"
        raise UnsupportedOverrideError(message)
    return Override(
        id=str(row["id"]),
        revision=row["rev"],
        start_ms=row["from_ms"],
        priority=row["priority"],
        action=action,
        request_class=match.get("class"),
        tenant=match.get("tenant"),
        groups=frozenset(map(str, places.get("groups", ()))),
        regions=frozenset(map(str, places.get("regions", ()))),
    )


def _check_keys(name: str, raw: Mapping[str, Any], supported: Set[str]) -> None:
    if not set(raw) <= supported:
        message = f"unsupported key in {name}: {', '.join(sorted(set(raw) - supported))}"
        raise UnsupportedOverrideError(message)


def _read_action(raw: Mapping[str, Any]) -> Action:
    kinds = [kind for kind, value in raw.items() if value is not None and value is not False]
    read = _READERS.get(kinds[0]) if len(kinds) == 1 else None
    if read is None:
        message = f"unsupported action: {' and '.join(map(str, kinds)) or 'none named'}"
        raise UnsupportedOverrideError(message)
    return read(raw[kinds[0]])


def _read_shift(raw: Mapping[str, Any]) -> Shift:
    shares = {str(region): float(share) for region, share in raw["to"].items()}
    if not all(0.0 <= share <= 1.0 for share in shares.values()):
        message = "shift: expected shares from 0 to 1"
        raise UnsupportedOverrideError(message)
    return Shift(shares)


def _read_hold(raw: Mapping[str, Any]) -> Hold:
    named = [(scope, str(name)) for scope, name in raw.items() if name is not None]
    if len(named) != 1 or named[0][0] not in {scope.value for scope in HoldScope}:
        message = "unsupported hold of " + (" and ".join(scope for scope, _ in named) or "nothing")
        raise UnsupportedOverrideError(message)
    scope, name = named[0]
    return Hold(HoldScope(scope), name)


def _read_cap(raw: Mapping[str, Any]) -> Cap:
    rate = float(raw["per_s"])
    if not 0.0 < rate < math.inf:
        message = "cap: expected requests per second above 0"
        raise UnsupportedOverrideError(message)
    return Cap(rate)


def _read_pin(raw: Mapping[str, Any]) -> Pin:
    return Pin(str(raw["region"]))


def _read_freeze(_: object) -> Freeze:
    return Freeze()


_READERS: Mapping[str, Callable[[Any], Action]] = {
    "shift": _read_shift,
    "hold": _read_hold,
    "cap": _read_cap,
    "pin": _read_pin,
    "freeze": _read_freeze,
}
