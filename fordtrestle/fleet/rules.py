"""From editions to what this sidecar does: the meet of two, safe rules, and settings laid over its own file.

The kinds of keys are those of the service, `brassfall/agreement/document.py`; a test holds the two tables
against each other, since neither side may import the other.
"""

from __future__ import annotations

import copy
from collections.abc import Mapping
from typing import Any

from fordtrestle.fleet.holder import Edition, Stance

EXCLUSIVE = frozenset(("regions", "tenants", "affinity"))
ADDITIVE = frozenset(("caps",))
FREE = frozenset(("Profiles", "PolicyLimits", "shares", "floor"))
LAID = ("Profiles", "PolicyLimits")  # what takes effect as a file would that was read again
KNOWN = EXCLUSIVE | ADDITIVE | FREE
# Of what must not add up to more: one that is cut off may not know that it was lowered meanwhile.
SAFE_PART = 0.5
NOBODY = ""  # the region that serves a tenant which nobody may be sure to serve


def unknown(edition: Edition) -> str:
    """Why this version can't act on an edition at all; empty where it can."""
    if edition.unread:
        return f"{edition.unread}: this version of the program does not know this form"
    strange = sorted(edition.settings.keys() - KNOWN)
    return f"{strange[0]}: this version of the program does not know this key" if strange else ""


def effective(stance: Stance) -> dict[str, Any]:
    """The settings to act on, by the kinds of their keys."""
    settings = dict(stance.edition.settings)
    floor = settings.get("floor", {})
    if stance.safe:
        return _safe(settings, [edition.settings for edition in stance.told], floor)
    for other in stance.told:
        for key in EXCLUSIVE:
            met = _meet(key, settings.get(key), other.settings.get(key))
            if met is not None:
                settings[key] = met
            else:
                settings.pop(key, None)
    return settings


def _safe(
    settings: dict[str, Any], told: list[Mapping[str, Any]], floor: Mapping[str, Any]
) -> dict[str, Any]:
    """What contradicts no edition that this sidecar knows of."""
    held = {name for each in (settings, *told, floor) for name in each.get("regions", {}).get("held", ())}
    made = {key: value for key, value in settings.items() if key not in EXCLUSIVE}
    if held:
        made["regions"] = {"held": sorted(held)}
    tenants = {name for each in (settings, *told) for name in each.get("tenants", {})}
    if tenants:
        made["tenants"] = {name: floor.get("tenants", {}).get(name, NOBODY) for name in sorted(tenants)}
    if "affinity" in floor:
        made["affinity"] = floor["affinity"]
    if "caps" in made:
        made["caps"] = {name: most * SAFE_PART for name, most in made["caps"].items()}
    return made


def _meet(key: str, one: Any, other: Any) -> Any:
    """What two values of an exclusive key agree on."""
    if one == other:
        return one
    if key == "regions":
        return {"held": sorted({*(one or {}).get("held", ()), *(other or {}).get("held", ())})}
    if key == "tenants":
        one, other = one or {}, other or {}
        # Who is pinned by one of the two alone may be served anywhere by the other.
        return {name: one[name] if one.get(name) == other.get(name) else NOBODY for name in {**one, **other}}
    return None


def laid(settings: Mapping[str, Any]) -> dict[str, Any]:
    """What of them is laid over a sidecar's file."""
    return {key: settings[key] for key in LAID if key in settings}


def overlaid(raw: Mapping[str, Any], settings: Mapping[str, Any]) -> dict[str, Any]:
    """A sidecar's settings, as its file has them, with those of an edition laid over them.

    `ValueError` names a class that the file does not have."""
    made = copy.deepcopy(dict(raw))
    rows = {row["Name"]: row for row in made["Profiles"]}
    for row in settings.get("Profiles", ()):
        if row["Name"] not in rows:
            raise ValueError(f"Profiles: no class {row['Name']!r} is known here")
        rows[row["Name"]].update(row)
    if "PolicyLimits" in settings:
        made["PolicyLimits"] = {**(made.get("PolicyLimits") or {}), **settings["PolicyLimits"]}
    return made
