"""The forms of settings and plans that this version can read. Pure code.

The list service checks the same before it publishes a revision. A service of another version may not, and a
revision that is acted on must not make any decision raise.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

MAX_AMOUNT = 1e12

Check = Callable[[object], bool]


def _is_amount(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value <= MAX_AMOUNT


def _is_text(value: object) -> bool:
    return isinstance(value, str)


def _table_of(is_valid: Check) -> Check:
    return lambda value: isinstance(value, Mapping) and all(map(is_valid, value.values()))


def _has_region_names(value: object) -> bool:
    names = value.get("held", []) if isinstance(value, Mapping) else None
    return isinstance(names, list) and all(map(_is_text, names))


_has_shares = _table_of(_table_of(_is_amount))
_EXCLUSIVE: Mapping[str, Check] = {"regions": _has_region_names, "tenants": _table_of(_is_text)}


def _is_fallback(value: object) -> bool:
    return isinstance(value, Mapping) and all(
        is_valid(value[key]) for key, is_valid in _EXCLUSIVE.items() if key in value
    )


SETTINGS: Mapping[str, Check] = {
    **_EXCLUSIVE,
    "shares": _has_shares,
    "caps": _table_of(_is_amount),
    "floor": _is_fallback,
}


def unreadable(settings: Mapping[str, Any]) -> frozenset[str]:
    """Return the keys of settings whose values have a form that this version can't read."""
    return frozenset(
        key for key, is_valid in SETTINGS.items() if key in settings and not is_valid(settings[key])
    )


def plan_readable(plan: Mapping[str, Any]) -> bool:
    """Return whether this version can read the shares of a plan."""
    return _has_shares(plan.get("shares", {}))
