"""The settings to act on, from configuration revisions. Pure code.

These are what several revisions have in common, the fallback configuration, and an overlay: the settings of a
revision that replace parts of this sidecar's own file. Keys are those of the configuration document. Their
kinds are also in `controlplane/revisions/document.py`; a test compares the two tables, since neither side may
import the other.
"""

from __future__ import annotations

import copy
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from brassfall.sidecar.agent.lease_client import ActiveConfiguration, Revision
from brassfall.sidecar.agent.overrides import NO_REGION, SteeringRules, common_pins

EXCLUSIVE = frozenset(("regions", "tenants", "affinity"))
ADDITIVE = frozenset(("caps",))
FREE = frozenset(("Profiles", "PolicyLimits", "shares", "floor"))
KNOWN = EXCLUSIVE | ADDITIVE | FREE
OVERLAY = ("Profiles", "PolicyLimits")  # the keys that take effect as a reload of the file does
FALLBACK_CAP_PART = 0.5  # of each cap: it may have been lowered since the last lease


class FallbackRules(NamedTuple):
    """The exclusive rules that a revision sets for sidecars without a lease, under the key `floor`."""

    excluded_regions: frozenset[str]
    tenant_pins: Mapping[str, str]


def unsupported_reason(revision: Revision) -> str:
    """Return why this version of the program can't act on a revision, empty where it can."""
    if revision.unreadable:
        return f"{revision.unreadable}: this version of the program does not support this form"
    unknown = sorted(revision.settings.keys() - KNOWN)
    return f"{unknown[0]}: this version of the program does not support this key" if unknown else ""


def base_rules(settings: Mapping[str, Any], group: str) -> SteeringRules:
    """Return what settings say of steering at a sidecar of this group, before any override."""
    return SteeringRules(
        shares=settings.get("shares", {}).get(group, {}),
        tenant_pins=settings.get("tenants", {}),
        excluded_regions=_excluded_regions(settings),
        caps=settings.get("caps", {}),
    )


def fallback_rules(settings: Mapping[str, Any]) -> FallbackRules:
    """Return the rules that settings have for sidecars without a lease."""
    floor = settings.get("floor", {})
    return FallbackRules(_excluded_regions(floor), floor.get("tenants", {}))


def effective_settings(active: ActiveConfiguration) -> dict[str, Any]:
    """Return the settings to act on, without overrides."""
    settings = dict(active.revision.settings)
    concurrent = [revision.settings for revision in active.concurrent]
    if active.fallback:
        return _fallback(settings, concurrent)
    for other in concurrent:
        _keep_common(settings, other)
    return settings


def _keep_common(settings: dict[str, Any], other: Mapping[str, Any]) -> None:
    """Reduce the exclusive keys of settings to what others agree on."""
    for key in EXCLUSIVE:
        if settings.get(key) == other.get(key):
            continue
        if key == "regions":
            settings[key] = {"held": sorted(_excluded_regions(settings) | _excluded_regions(other))}
        elif key == "tenants":
            # A tenant that only one of the two pins may be served anywhere by sidecars that act on the other.
            settings[key] = common_pins(settings.get(key, {}), other.get(key, {}))
        else:
            settings.pop(key, None)


def _fallback(settings: Mapping[str, Any], concurrent: Sequence[Mapping[str, Any]]) -> dict[str, Any]:
    """Return settings that contradict no revision received by this sidecar."""
    floor = settings.get("floor", {})
    made = {key: value for key, value in settings.items() if key not in EXCLUSIVE}
    excluded = frozenset[str]().union(*(_excluded_regions(each) for each in (settings, *concurrent, floor)))
    if excluded:
        made["regions"] = {"held": sorted(excluded)}
    tenants = {name for each in (settings, *concurrent) for name in each.get("tenants", {})}
    if tenants:
        pins = fallback_rules(settings).tenant_pins
        made["tenants"] = {name: pins.get(name, NO_REGION) for name in sorted(tenants)}
    if "affinity" in floor:
        made["affinity"] = floor["affinity"]
    if "caps" in made:
        made["caps"] = {name: rate * FALLBACK_CAP_PART for name, rate in made["caps"].items()}
    return made


def _excluded_regions(settings: Mapping[str, Any]) -> frozenset[str]:
    return frozenset(settings.get("regions", {}).get("held", ()))


# --- settings over this sidecar's own file -------------------------------------------------------------


def overlay_of(settings: Mapping[str, Any]) -> dict[str, Any]:
    """Return the settings that replace parts of a sidecar's file."""
    return {key: settings[key] for key in OVERLAY if key in settings}


def with_overlay(raw: Mapping[str, Any], overlay: Mapping[str, Any]) -> dict[str, Any]:
    """Return a copy of the settings in a sidecar's file with an overlay applied.

    Raise `ValueError` if the overlay names a class that the file does not have.
    """
    made = copy.deepcopy(dict(raw))
    rows = {row["Name"]: row for row in made["Profiles"]}
    for row in overlay.get("Profiles", ()):
        if row["Name"] not in rows:
            message = f"Profiles: no class {row['Name']!r} in this sidecar's file"
            raise ValueError(message)
        rows[row["Name"]].update(row)
    if "PolicyLimits" in overlay:
        made["PolicyLimits"] = {**(made.get("PolicyLimits") or {}), **overlay["PolicyLimits"]}
    return made
