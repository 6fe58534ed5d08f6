"""Checks of settings before they are published: their form, and the harm that they would do. Pure code.

A fault or a harm is one line of text; an empty text means that there is none.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from brassfall.controlplane.revisions.document import KeyKind, kind_of
from brassfall.errors import ConflictError, RequestError

MAX_NAME = 128  # Longest name in settings, in characters
MAX_DEPTH = 32  # Largest depth of nested objects and lists in settings, in levels
MAX_AMOUNT = 1e12
MAX_QUOTED = 40  # Number of characters of a name that the text of a fault quotes

Settings = Mapping[str, Any]


class DocumentError(RequestError):
    """Settings with a key whose value has an invalid form."""

    action = "Correct the named key; docs/agreement.md lists the keys and their forms."


class HarmfulError(ConflictError):
    """Valid settings that would stop all requests, or those of a class or tenant."""

    action = "Read what the settings would do; publish them with --force only if exactly that is wanted."


# --- form ------------------------------------------------------------------------------------


def form_fault(settings: object) -> str:
    """Return what is wrong with the form of settings, as one line of text; empty if the form is valid."""
    if not isinstance(settings, dict):
        return "settings: expected an object"
    if _deeper_than(settings, MAX_DEPTH):
        return f"settings: more than {MAX_DEPTH} levels deep"
    for key, value in settings.items():
        fault = _value_fault(key, value)
        if fault:
            return f"{key}: {fault}"
    return ""


def _value_fault(key: str, value: object) -> str:
    check = FORMS.get(key)
    return check(value) if check is not None else ""


def _deeper_than(value: object, levels: int) -> bool:
    if levels == 0:
        return True
    parts = value.values() if isinstance(value, dict) else value if isinstance(value, list) else ()
    return any(_deeper_than(part, levels - 1) for part in parts)


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME and value.isprintable()


def _is_amount(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0.0 <= value <= MAX_AMOUNT


def _profiles_fault(value: object) -> str:
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        return "expected a list of objects"
    names = [row.get("Name") for row in value]
    if not all(map(_is_name, names)):
        return "expected the name of a class as `Name` in each row"
    return "a class is named twice" if len(set(names)) < len(names) else ""


def _object_fault(value: object) -> str:
    return "" if isinstance(value, dict) else "expected an object"


def _table_fault(value: object, is_valid: Callable[[object], bool], form: str) -> str:
    if not isinstance(value, dict):
        return "expected an object"
    for name, part in value.items():
        if not _is_name(name) or not is_valid(part):
            return f"{str(name)[:MAX_QUOTED]!r}: expected {form}"
    return ""


def _is_shares(row: object) -> bool:
    return isinstance(row, dict) and bool(row) and all(map(_is_amount, row.values())) and any(row.values())


def _shares_fault(value: object) -> str:
    return _table_fault(value, _is_shares, "an object of regions, each with its share from 0, not all 0")


def _regions_fault(value: object) -> str:
    if not isinstance(value, dict) or value.keys() - {"held"}:
        return 'expected an object with "held"'
    held = value.get("held", [])
    return "" if isinstance(held, list) and all(map(_is_name, held)) else '"held": expected a list of regions'


def _fallback_fault(value: object) -> str:
    if not isinstance(value, dict):
        return "expected an object"
    for key, part in value.items():
        if kind_of(key) is not KeyKind.EXCLUSIVE:
            return f"{key} is not exclusive, and has no fallback"
        fault = _value_fault(key, part)
        if fault:
            return f"{key}: {fault}"
    return ""


FORMS: Mapping[str, Callable[[object], str]] = {
    "Profiles": _profiles_fault,
    "PolicyLimits": _object_fault,
    "shares": _shares_fault,
    "caps": lambda value: _table_fault(value, _is_amount, "an amount"),
    "regions": _regions_fault,
    "tenants": lambda value: _table_fault(value, _is_name, "a region"),
    "floor": _fallback_fault,
}

# --- harm ------------------------------------------------------------------------------------


def find_harm(settings: Settings, regions: frozenset[str], concurrent: Iterable[Settings] = ()) -> str:
    """Return the harm that valid settings would do, as one line of text; empty if they do none.

    `regions` are the regions of the servers on the list. `concurrent` are the other settings that sidecars
    may act on until these settings are committed and all leases on earlier ones have ended.
    """
    return (
        _harm_by_held_regions(settings, regions, concurrent)
        or _harm_by_caps(settings)
        or _harm_by_tenants(settings, regions)
    )


def _held_regions(settings: Settings) -> set[str]:
    return set(settings.get("regions", {}).get("held", ()))


def _harm_by_held_regions(settings: Settings, regions: frozenset[str], concurrent: Iterable[Settings]) -> str:
    held = _held_regions(settings)
    if not regions:
        return ""
    if regions <= held:
        return f"all regions with servers would be held: {', '.join(sorted(regions))}"
    if regions <= held | _held_regions(settings.get("floor", {})):
        return f"without a lease all regions with servers would be held: {', '.join(sorted(regions))}"
    # While sidecars may act on several settings, a request goes only to a region that none of them holds. So
    # at least one region must not be held in any of them.
    if held and regions <= held.union(*map(_held_regions, concurrent)):
        return (
            f"while {', '.join(sorted(held))} would be held, editions that sidecars may still act on"
            " hold all others: none would be open until this one is in force;"
            " open one first, or wait for those"
        )
    return ""


def _harm_by_caps(settings: Settings) -> str:
    refused = sorted(name for name, rate in settings.get("caps", {}).items() if rate == 0)
    return f"class {refused[0]} would be refused everywhere, its cap is 0" if refused else ""


def _harm_by_tenants(settings: Settings, regions: frozenset[str]) -> str:
    held = _held_regions(settings)
    for tenant, region in settings.get("tenants", {}).items():
        if region in held:
            return f"tenant {tenant} would be served by {region} alone, which is held"
        if regions and region not in regions:
            return f"tenant {tenant} would be served by {region} alone, where no server is listed"
    return ""
