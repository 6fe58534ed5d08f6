"""The temporary overrides of a configuration revision as typed values, and the parser of their wire form.

The names on the wire are described in `docs/overrides.md`. Only this module of the sidecar uses them.
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
    """What a hold applies to; the values are the keys on the wire."""

    SERVER = "server"
    GROUP = "group"
    REGION = "region"


@dataclass(frozen=True, slots=True)
class Shift:
    """Action: send stated shares of the matching requests to stated regions, and the rest elsewhere."""

    shares: Mapping[str, float]  # Share of each region by its name, from 0 to 1


@dataclass(frozen=True, slots=True)
class Hold:
    """Action: start no new request at a server, server group or region while another one is available."""

    scope: HoldScope
    name: str


@dataclass(frozen=True, slots=True)
class Cap:
    """Action: limit the request rate of the matching request class, summed over the whole fleet."""

    requests_per_s: float


@dataclass(frozen=True, slots=True)
class Pin:
    """Action: let only one region serve the matching tenant."""

    region: str


@dataclass(frozen=True, slots=True)
class Freeze:
    """Action: keep the shares and the weight of the steering plan as they are."""


Action = Shift | Hold | Cap | Pin | Freeze


# --- overrides -----------------------------------------------------------------------------------


class Place(NamedTuple):
    """The client group and the region of this sidecar, from the setting `fleet.place`."""

    group: str = ""
    region: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Override:
    """One override of a configuration revision."""

    id: str
    revision: int  # Revision number of the override, which grows with each change of it
    start_ms: int  # Start of the override as Unix time in milliseconds, by the list service's clock
    priority: int  # The override with the higher number takes precedence
    action: Action
    request_class: str | None = None  # Name of the matching request class; None matches any class
    tenant: str | None = None  # Name of the matching tenant; None matches any tenant
    # Client groups and regions whose sidecars act on the override; an empty set means all of them.
    groups: frozenset[str] = field(default=frozenset())
    regions: frozenset[str] = field(default=frozenset())

    def applies_at(self, place: Place) -> bool:
        """Return whether a sidecar at `place` acts on the override."""
        in_group = not self.groups or place.group in self.groups
        return in_group and (not self.regions or place.region in self.regions)


def precedence(override: Override) -> tuple[int, int, int, str]:
    """Return a sort key with which the override that takes precedence comes first.

    The higher priority takes precedence, then the later start, then the newer revision.
    """
    return -override.priority, -override.start_ms, -override.revision, override.id


class Layer(NamedTuple):
    """The overrides of one configuration revision."""

    overrides: Sequence[Override] = ()  # In order of precedence; the first override takes precedence over all
    # The reasons why overrides were left out. The sidecar objects to the revision with these reasons.
    problems: tuple[str, ...] = ()


class UnsupportedOverrideError(ValueError):
    """An override that this version of the program can't act on."""

    action = "end the override or upgrade this sidecar; until then it objects to the configuration revision"


# --- reading the wire ------------------------------------------------------------------------------


def read_layer(raw: object) -> Layer:
    """Parse the list of overrides in a configuration revision.

    Overrides that can't be parsed are left out, and each adds a text to the problems of the layer.
    """
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
    """Return one parsed override; raise `UnsupportedOverrideError` if it is unknown or malformed."""
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
    """Raise `UnsupportedOverrideError` if `raw`, the field `name` of an override, has other keys."""
    if not set(raw) <= supported:
        message = f"unsupported key in {name}: {', '.join(sorted(set(raw) - supported))}"
        raise UnsupportedOverrideError(message)


def _read_action(raw: Mapping[str, Any]) -> Action:
    """Return the one action in `raw`, which maps kinds of actions to their fields.

    Null and false stand for a kind that is not used.
    """
    kinds = [kind for kind, value in raw.items() if value is not None and value is not False]
    read_action = _ACTION_READERS.get(kinds[0]) if len(kinds) == 1 else None
    if read_action is None:
        message = f"unsupported action: {' and '.join(map(str, kinds)) or 'none named'}"
        raise UnsupportedOverrideError(message)
    return read_action(raw[kinds[0]])


def _read_shift(raw: Mapping[str, Any]) -> Shift:
    shares = {str(region): float(share) for region, share in raw["to"].items()}
    if not all(0.0 <= share <= 1.0 for share in shares.values()):
        message = "shift: expected shares from 0 to 1"
        raise UnsupportedOverrideError(message)
    return Shift(shares)


def _read_hold(raw: Mapping[str, Any]) -> Hold:
    targets = [(scope, str(name)) for scope, name in raw.items() if name is not None]
    if len(targets) != 1 or targets[0][0] not in {scope.value for scope in HoldScope}:
        message = "unsupported hold of " + (" and ".join(scope for scope, _ in targets) or "nothing")
        raise UnsupportedOverrideError(message)
    scope, name = targets[0]
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


_ACTION_READERS: Mapping[str, Callable[[Any], Action]] = {
    "shift": _read_shift,
    "hold": _read_hold,
    "cap": _read_cap,
    "pin": _read_pin,
    "freeze": _read_freeze,
}
