"""The settings to act on, derived from configuration revisions. Pure code.

The module computes what the settings of several revisions have in common, the fallback configuration, and the
overlay, which is the part of a revision's settings that replaces settings of this sidecar's own file. Keys
are those of the configuration document. `controlplane/revisions/document.py` has the same table of the kinds
of keys; a test compares the two, because neither package may import the other.
"""

from __future__ import annotations

import copy
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from brassfall.sidecar.agent.lease_client import ActiveConfiguration, Revision
from brassfall.sidecar.agent.overrides import NO_REGION, SteeringRules, common_pins

# Keys of which no two sidecars may act on different values at the same time.
EXCLUSIVE_KEYS = frozenset(("regions", "tenants", "affinity"))
# Keys of which each sidecar applies its part of the fleet's value.
ADDITIVE_KEYS = frozenset(("caps",))
# Keys of which different sidecars may act on different values for a while.
FREE_KEYS = frozenset(("Profiles", "PolicyLimits", "shares", "floor"))
# All keys that this version of the program supports.
SUPPORTED_KEYS = EXCLUSIVE_KEYS | ADDITIVE_KEYS | FREE_KEYS
OVERLAY_KEYS = ("Profiles", "PolicyLimits")  # Keys that take effect like a reload of the file
# Part of each cap that applies without a lease, because the cap may have been lowered since the last lease.
FALLBACK_CAP_PART = 0.5


class FallbackRules(NamedTuple):
    """The exclusive rules for sidecars without a lease, which a revision states under the key `floor`."""

    excluded_regions: frozenset[str]
    tenant_pins: Mapping[str, str]


def unsupported_reason(revision: Revision) -> str:
    """Return the reason why this version of the program can't act on a revision, or an empty text."""
    if revision.unreadable:
        return f"{revision.unreadable}: this version of the program does not support this form"
    extra = sorted(revision.settings.keys() - SUPPORTED_KEYS)
    return f"{extra[0]}: this version of the program does not support this key" if extra else ""


def base_rules(settings: Mapping[str, Any], group: str) -> SteeringRules:
    """Return the steering rules that settings state for a sidecar of client group `group`.

    Overrides are not applied.
    """
    return SteeringRules(
        shares=settings.get("shares", {}).get(group, {}),
        tenant_pins=settings.get("tenants", {}),
        excluded_regions=_excluded_regions(settings),
        caps=settings.get("caps", {}),
    )


def fallback_rules(settings: Mapping[str, Any]) -> FallbackRules:
    """Return the rules that settings state for sidecars without a lease."""
    floor = settings.get("floor", {})
    return FallbackRules(_excluded_regions(floor), floor.get("tenants", {}))


def effective_settings(active: ActiveConfiguration) -> dict[str, Any]:
    """Return the settings to act on, before overrides are applied."""
    settings = dict(active.revision.settings)
    concurrent = [revision.settings for revision in active.concurrent]
    if active.fallback:
        return _fallback_settings(settings, concurrent)
    for other in concurrent:
        _restrict_to_common(settings, other)
    return settings


def _restrict_to_common(settings: dict[str, Any], other: Mapping[str, Any]) -> None:
    """Restrict the exclusive keys of `settings` to what they have in common with the settings `other`."""
    for key in EXCLUSIVE_KEYS:
        if settings.get(key) == other.get(key):
            continue
        if key == "regions":
            settings[key] = {"held": sorted(_excluded_regions(settings) | _excluded_regions(other))}
        elif key == "tenants":
            # If only one of the two revisions pins a tenant, sidecars that act on the other revision may send
            # the tenant's requests to any region.
            settings[key] = common_pins(settings.get(key, {}), other.get(key, {}))
        else:
            settings.pop(key, None)


def _fallback_settings(
    settings: Mapping[str, Any], concurrent: Sequence[Mapping[str, Any]]
) -> dict[str, Any]:
    """Return the settings to act on without a lease.

    They contradict neither the granted revision, of which `settings` are the settings, nor the concurrent
    revisions, of which `concurrent` are the settings.
    """
    floor = settings.get("floor", {})
    result = {key: value for key, value in settings.items() if key not in EXCLUSIVE_KEYS}
    excluded = frozenset[str]().union(
        *(_excluded_regions(source) for source in (settings, *concurrent, floor))
    )
    if excluded:
        result["regions"] = {"held": sorted(excluded)}
    tenants = {name for source in (settings, *concurrent) for name in source.get("tenants", {})}
    if tenants:
        pins = fallback_rules(settings).tenant_pins
        result["tenants"] = {name: pins.get(name, NO_REGION) for name in sorted(tenants)}
    if "affinity" in floor:
        result["affinity"] = floor["affinity"]
    if "caps" in result:
        result["caps"] = {name: rate * FALLBACK_CAP_PART for name, rate in result["caps"].items()}
    return result


def _excluded_regions(settings: Mapping[str, Any]) -> frozenset[str]:
    return frozenset(settings.get("regions", {}).get("held", ()))


# --- settings over this sidecar's own file -------------------------------------------------------------


def overlay_of(settings: Mapping[str, Any]) -> dict[str, Any]:
    """Return the overlay: the settings of a revision that replace settings of a sidecar's file."""
    return {key: settings[key] for key in OVERLAY_KEYS if key in settings}


def with_overlay(raw: Mapping[str, Any], overlay: Mapping[str, Any]) -> dict[str, Any]:
    """Return a copy of the settings `raw` of a sidecar's file with an overlay applied.

    Raise `ValueError` if the overlay has the profile of a request class that the file does not have.
    """
    result = copy.deepcopy(dict(raw))
    profiles = {profile["Name"]: profile for profile in result["Profiles"]}
    for profile in overlay.get("Profiles", ()):
        if profile["Name"] not in profiles:
            message = f"Profiles: no class {profile['Name']!r} in this sidecar's file"
            raise ValueError(message)
        profiles[profile["Name"]].update(profile)
    if "PolicyLimits" in overlay:
        result["PolicyLimits"] = {**(result.get("PolicyLimits") or {}), **overlay["PolicyLimits"]}
    return result
