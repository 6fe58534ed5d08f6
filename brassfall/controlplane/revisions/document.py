"""The document of an edition: which keys it may have, what two values of a key at once mean, what is harmful.

Every key is declared. Of an *exclusive* one two values at once do harm (who serves a tenant, which regions
are held); of an *additive* one a sum must not be passed; of a *free* one two values may stand side by side
for a while. A key that is not declared counts as exclusive, and a sidecar that does not know it objects.
The sidecars' side of this table is `sidecar/agent/rules.py`; a test holds the two against each other.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import Any

import msgspec

from brassfall.errors import ConflictError, RequestError


class DocumentError(RequestError):
    """Settings that can't be published as they are."""

    action = "Mend the named key; docs/agreement.md lists the keys and their forms."


class HarmfulError(ConflictError):
    """Valid settings that would stop service, or a part of it, everywhere."""

    action = "Look at what it would do; publish it with --force only if just that is wanted."


class Kind(StrEnum):
    """What it means that two sidecars act on two values of a key at once."""

    EXCLUSIVE = "exclusive"
    ADDITIVE = "additive"
    FREE = "free"


KEYS: Mapping[str, Kind] = {
    "Profiles": Kind.FREE,  # rows by `Name`: the figures of classes, as in a sidecar's settings
    "PolicyLimits": Kind.FREE,  # attempts, waits: as in a sidecar's settings
    "shares": Kind.FREE,  # {GROUP: {REGION: share}}
    "caps": Kind.ADDITIVE,  # {CLASS: requests a second of the whole fleet}
    "regions": Kind.EXCLUSIVE,  # {"held": [REGION, ...]}
    "tenants": Kind.EXCLUSIVE,  # {TENANT: the one REGION that serves it}
    "affinity": Kind.EXCLUSIVE,
    "floor": Kind.FREE,  # what a sidecar without permission does with exclusive keys
}
NAME_MOST = 128
DEPTH_MOST = 32


class Edition(msgspec.Struct, frozen=True, omit_defaults=True):
    """One immutable, numbered document. Number 0 stands for what each sidecar's own file says."""

    number: int = 0
    life: int = 0  # of the service that numbered it
    follows: int = 0
    list_index: int = 0  # the version of the list that it goes with
    settings: dict[str, Any] = {}
    plan: dict[str, Any] | None = None
    plan_edition: int = 0  # the one that stated the plan, which ages from there
    overrides: list[dict[str, Any]] = []
    forced: bool = False
    layers: list[str] = []  # which of settings, plan and overrides it states itself; the rest it took over


def kind_of(key: str) -> Kind:
    """What is declared of a key; the strictest where nothing is."""
    return KEYS.get(key, Kind.EXCLUSIVE)


def faults(settings: Any) -> str:
    """What is wrong with the form of settings, as one line; empty where nothing is."""
    if not isinstance(settings, dict):
        return "settings: an object is wanted"
    if _deep(settings, DEPTH_MOST):
        return f"settings: more than {DEPTH_MOST} levels deep"
    for key, value in settings.items():
        found = FORMS[key](value) if key in FORMS else ""
        if found:
            return f"{key}: {found}"
    return ""


def harm(
    settings: Mapping[str, Any], regions: frozenset[str], others: Iterable[Mapping[str, Any]] = ()
) -> str:
    """What valid settings would do that no operator can want, as one line; empty where nothing.

    `regions` are those of the servers listed now, `others` the settings that sidecars may act on until these
    are in force everywhere. Refused unless forced."""
    held = _held(settings)
    if regions and regions <= held:
        return f"all regions with servers would be held: {', '.join(sorted(regions))}"
    floor = settings.get("floor", {}).get("regions", {}).get("held", [])
    if regions and regions <= {*held, *floor}:
        return f"whoever has no permission would hold all regions with servers: {', '.join(sorted(regions))}"
    # Until then nothing is sent to what any of them holds: so one region has to be open in all of them.
    if held and regions and regions <= held.union(*map(_held, others)):
        return (
            f"while {', '.join(sorted(held))} would be held, editions that sidecars may still act on hold all"
            " others: none would be open until this one is in force; open one first, or wait for those"
        )
    caps = settings.get("caps", {})
    none = sorted(name for name, most in caps.items() if most == 0)
    if none:
        return f"class {none[0]} would be refused everywhere, its cap is 0"
    for tenant, region in settings.get("tenants", {}).items():
        if region in held:
            return f"tenant {tenant} would be served by {region} alone, which is held"
        if regions and region not in regions:
            return f"tenant {tenant} would be served by {region} alone, where no server is listed"
    return ""


def _held(settings: Mapping[str, Any]) -> set[str]:
    return set(settings.get("regions", {}).get("held", ()))


def _deep(value: Any, left: int) -> bool:
    if left == 0:
        return True
    parts = value.values() if isinstance(value, dict) else value if isinstance(value, list) else ()
    return any(_deep(part, left - 1) for part in parts)


def _name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= NAME_MOST and value.isprintable()


def _amount(value: Any) -> bool:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    return number and 0.0 <= value <= 1e12


def _profiles(value: Any) -> str:
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        return "a list of objects is wanted"
    names = [row.get("Name") for row in value]
    if not all(map(_name, names)):
        return "each row names its class with `Name`"
    return "a class is named twice" if len(set(names)) < len(names) else ""


def _object(value: Any) -> str:
    return "" if isinstance(value, dict) else "an object is wanted"


def _table(value: Any, good: Callable[[Any], bool], wanted: str) -> str:
    if not isinstance(value, dict):
        return "an object is wanted"
    for name, part in value.items():
        if not _name(name) or not good(part):
            return f"{str(name)[:40]!r}: {wanted} is wanted"
    return ""


def _shares(value: Any) -> str:
    def good(row: Any) -> bool:
        return isinstance(row, dict) and bool(row) and all(map(_amount, row.values())) and any(row.values())

    return _table(value, good, "an object of regions, each with its share from 0 up, not all 0,")


def _regions(value: Any) -> str:
    if not isinstance(value, dict) or value.keys() - {"held"}:
        return 'an object with "held" is wanted'
    held = value.get("held", [])
    return "" if isinstance(held, list) and all(map(_name, held)) else '"held" is a list of regions'


def _floor(value: Any) -> str:
    if not isinstance(value, dict):
        return "an object is wanted"
    for key, part in value.items():
        if kind_of(key) is not Kind.EXCLUSIVE:
            return f"{key} is not exclusive, and needs no floor"
        found = FORMS[key](part) if key in FORMS else ""
        if found:
            return f"{key}: {found}"
    return ""


FORMS: Mapping[str, Callable[[Any], str]] = {
    "Profiles": _profiles,
    "PolicyLimits": _object,
    "shares": _shares,
    "caps": lambda value: _table(value, _amount, "an amount"),
    "regions": _regions,
    "tenants": lambda value: _table(value, _name, "a region"),
    "floor": _floor,
}
