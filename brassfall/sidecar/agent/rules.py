"""From configuration revisions to what this sidecar does: what several of them have in common, the fallback
configuration, and settings laid over its own file.

The kinds of keys are those of the service, `controlplane/revisions/document.py`; a test holds the two tables
against each other, since neither side may import the other.
"""

from __future__ import annotations

import copy
from collections.abc import Mapping
from typing import Any

from brassfall.sidecar.agent.lease_client import ActiveConfiguration, Revision

EXCLUSIVE = frozenset(("regions", "tenants", "affinity"))
ADDITIVE = frozenset(("caps",))
FREE = frozenset(("Profiles", "PolicyLimits", "shares", "floor"))
LAID = ("Profiles", "PolicyLimits")  # what takes effect as a file would that was read again
KNOWN = EXCLUSIVE | ADDITIVE | FREE
# Of what must not add up to more: one that is cut off may not know that it was lowered meanwhile.
FALLBACK_PART = 0.5
NOBODY = ""  # the region that serves a tenant which nobody may be sure to serve


def unknown(revision: Revision) -> str:
    """Why this version can't act on a revision at all; empty where it can."""
    if revision.unreadable:
        return f"{revision.unreadable}: this version of the program does not know this form"
    strange = sorted(revision.settings.keys() - KNOWN)
    return f"{strange[0]}: this version of the program does not know this key" if strange else ""


def effective(active: ActiveConfiguration) -> dict[str, Any]:
    """The settings to act on, by the kinds of their keys."""
    settings = dict(active.revision.settings)
    floor = settings.get("floor", {})
    if active.fallback:
        return _fallback(settings, [revision.settings for revision in active.concurrent], floor)
    for other in active.concurrent:
        for key in EXCLUSIVE:
            common = _common(key, settings.get(key), other.settings.get(key))
            if common is not None:
                settings[key] = common
            else:
                settings.pop(key, None)
    return settings


def _fallback(
    settings: dict[str, Any], concurrent: list[Mapping[str, Any]], floor: Mapping[str, Any]
) -> dict[str, Any]:
    """What contradicts no revision that this sidecar knows of."""
    held = {
        name for each in (settings, *concurrent, floor) for name in each.get("regions", {}).get("held", ())
    }
    made = {key: value for key, value in settings.items() if key not in EXCLUSIVE}
    if held:
        made["regions"] = {"held": sorted(held)}
    tenants = {name for each in (settings, *concurrent) for name in each.get("tenants", {})}
    if tenants:
        made["tenants"] = {name: floor.get("tenants", {}).get(name, NOBODY) for name in sorted(tenants)}
    if "affinity" in floor:
        made["affinity"] = floor["affinity"]
    if "caps" in made:
        made["caps"] = {name: most * FALLBACK_PART for name, most in made["caps"].items()}
    return made


def _common(key: str, one: Any, other: Any) -> Any:
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
    """A sidecar's settings, as its file has them, with those of a revision laid over them.

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
