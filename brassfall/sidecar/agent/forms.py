"""Checks that this version of the program can read the settings and the plan of a revision. Pure code.

The list service checks the same forms before it publishes a revision. A list service of another version may
accept other forms, and a revision that this sidecar acts on must never make a decision raise an exception.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

MAX_AMOUNT = 1e12  # Largest accepted share or cap

Check = Callable[[object], bool]


def _is_amount(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value <= MAX_AMOUNT


def _is_text(value: object) -> bool:
    return isinstance(value, str)


def _is_table_of(is_valid: Check) -> Check:
    """Return a check that a value is an object whose values all pass `is_valid`."""
    return lambda value: isinstance(value, Mapping) and all(map(is_valid, value.values()))


def _has_region_names(value: object) -> bool:
    """Return whether a value of the key `regions` lists the names of the held regions."""
    names = value.get("held", []) if isinstance(value, Mapping) else None
    return isinstance(names, list) and all(map(_is_text, names))


_is_share_table = _is_table_of(_is_table_of(_is_amount))
_EXCLUSIVE_CHECKS: Mapping[str, Check] = {"regions": _has_region_names, "tenants": _is_table_of(_is_text)}


def _is_fallback_settings(value: object) -> bool:
    """Return whether a value of the key `floor` has exclusive keys in valid form."""
    return isinstance(value, Mapping) and all(
        is_valid(value[key]) for key, is_valid in _EXCLUSIVE_CHECKS.items() if key in value
    )


SETTINGS_CHECKS: Mapping[str, Check] = {
    **_EXCLUSIVE_CHECKS,
    "shares": _is_share_table,
    "caps": _is_table_of(_is_amount),
    "floor": _is_fallback_settings,
}


def unreadable_keys(settings: Mapping[str, Any]) -> frozenset[str]:
    """Return the keys of `settings` whose values have a form that this version can't read."""
    return frozenset(
        key for key, is_valid in SETTINGS_CHECKS.items() if key in settings and not is_valid(settings[key])
    )


def can_read_plan(plan: Mapping[str, Any]) -> bool:
    """Return whether the shares of a plan have a form that this version can read."""
    return _is_share_table(plan.get("shares", {}))
