"""Whether settings can be published: their form, and whether they would stop service."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from brassfall.controlplane.revisions.document import KeyKind, kind_of
from brassfall.errors import ConflictError, RequestError

NAME_MOST = 128  # characters
DEPTH_MOST = 32  # levels of objects and lists within each other
AMOUNT_MOST = 1e12

Settings = Mapping[str, Any]


class DocumentError(RequestError):
    """Settings that can't be published as they are."""

    action = "Mend the named key; docs/agreement.md lists the keys and their forms."


class HarmfulError(ConflictError):
    """Valid settings that would stop service, or a part of it, everywhere."""

    action = "Look at what it would do; publish it with --force only if just that is wanted."


# --- form ------------------------------------------------------------------------------------


def form_fault(settings: Any) -> str:
    """What is wrong with the form of settings, as one line; empty where nothing is."""
    if not isinstance(settings, dict):
        return "settings: an object is wanted"
    if _deeper_than(settings, DEPTH_MOST):
        return f"settings: more than {DEPTH_MOST} levels deep"
    for key, value in settings.items():
        found = _value_fault(key, value)
        if found:
            return f"{key}: {found}"
    return ""


def _value_fault(key: str, value: Any) -> str:
    check = FORMS.get(key)
    return check(value) if check is not None else ""


def _deeper_than(value: Any, levels: int) -> bool:
    if levels == 0:
        return True
    parts = value.values() if isinstance(value, dict) else value if isinstance(value, list) else ()
    return any(_deeper_than(part, levels - 1) for part in parts)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= NAME_MOST and value.isprintable()


def _is_amount(value: Any) -> bool:
    number = isinstance(value, int | float) and not isinstance(value, bool)
    return number and 0.0 <= value <= AMOUNT_MOST


def _profiles_fault(value: Any) -> str:
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        return "a list of objects is wanted"
    names = [row.get("Name") for row in value]
    if not all(map(_is_name, names)):
        return "each row names its class with `Name`"
    return "a class is named twice" if len(set(names)) < len(names) else ""


def _object_fault(value: Any) -> str:
    return "" if isinstance(value, dict) else "an object is wanted"


def _table_fault(value: Any, good: Callable[[Any], bool], wanted: str) -> str:
    if not isinstance(value, dict):
        return "an object is wanted"
    for name, part in value.items():
        if not _is_name(name) or not good(part):
            return f"{str(name)[:40]!r}: {wanted} is wanted"
    return ""


def _is_shares(row: Any) -> bool:
    return isinstance(row, dict) and bool(row) and all(map(_is_amount, row.values())) and any(row.values())


def _shares_fault(value: Any) -> str:
    return _table_fault(value, _is_shares, "an object of regions, each with its share from 0 up, not all 0,")


def _regions_fault(value: Any) -> str:
    if not isinstance(value, dict) or value.keys() - {"held"}:
        return 'an object with "held" is wanted'
    closed = value.get("held", [])
    return "" if isinstance(closed, list) and all(map(_is_name, closed)) else '"held" is a list of regions'


def _fallback_fault(value: Any) -> str:
    if not isinstance(value, dict):
        return "an object is wanted"
    for key, part in value.items():
        if kind_of(key) is not KeyKind.EXCLUSIVE:
            return f"{key} is not exclusive, and needs no floor"
        found = _value_fault(key, part)
        if found:
            return f"{key}: {found}"
    return ""


FORMS: Mapping[str, Callable[[Any], str]] = {
    "Profiles": _profiles_fault,
    "PolicyLimits": _object_fault,
    "shares": _shares_fault,
    "caps": lambda value: _table_fault(value, _is_amount, "an amount"),
    "regions": _regions_fault,
    "tenants": lambda value: _table_fault(value, _is_name, "a region"),
    "floor": _fallback_fault,
}

# --- harm ------------------------------------------------------------------------------------


def harm(settings: Settings, regions: frozenset[str], concurrent: Iterable[Settings] = ()) -> str:
    """What valid settings would do that no operator can want, as one line; empty where nothing.

    `regions` are those of the servers listed now, `concurrent` the settings that sidecars may act on until
    these are in force everywhere."""
    return (
        _harm_by_closed_regions(settings, regions, concurrent)
        or _harm_by_caps(settings)
        or _harm_by_tenants(settings, regions)
    )


def _closed_regions(settings: Settings) -> set[str]:
    return set(settings.get("regions", {}).get("held", ()))


def _harm_by_closed_regions(
    settings: Settings, regions: frozenset[str], concurrent: Iterable[Settings]
) -> str:
    closed = _closed_regions(settings)
    if not regions:
        return ""
    if regions <= closed:
        return f"all regions with servers would be held: {', '.join(sorted(regions))}"
    if regions <= closed | _closed_regions(settings.get("floor", {})):
        return f"whoever has no lease would hold all regions with servers: {', '.join(sorted(regions))}"
    # Meanwhile nothing is sent to a region that any of them holds, so one region has to be open in all.
    if closed and regions <= closed.union(*map(_closed_regions, concurrent)):
        return (
            f"while {', '.join(sorted(closed))} would be held, editions that sidecars may still act on"
            " hold all others: none would be open until this one is in force;"
            " open one first, or wait for those"
        )
    return ""


def _harm_by_caps(settings: Settings) -> str:
    closed = sorted(name for name, most in settings.get("caps", {}).items() if most == 0)
    return f"class {closed[0]} would be refused everywhere, its cap is 0" if closed else ""


def _harm_by_tenants(settings: Settings, regions: frozenset[str]) -> str:
    closed = _closed_regions(settings)
    for tenant, region in settings.get("tenants", {}).items():
        if region in closed:
            return f"tenant {tenant} would be served by {region} alone, which is held"
        if regions and region not in regions:
            return f"tenant {tenant} would be served by {region} alone, where no server is listed"
    return ""
