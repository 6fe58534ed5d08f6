"""The steering rules that follow from the settings and the temporary overrides in force at one sidecar.

The module is pure code: times are passed in, in seconds of the sidecar's monotonic clock. The module
`deadlines` has the end of each override. The rules are computed from scratch each time, so nothing has to be
undone when an override ends.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence, Set
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from brassfall.sidecar.agent.deadlines import Deadlines, Phase
from brassfall.sidecar.agent.override_layer import (
    Cap,
    Freeze,
    Hold,
    HoldScope,
    Override,
    Pin,
    Place,
    Shift,
    precedence,
)

NO_REGION = ""  # Region of a pinned tenant that no region may serve
SHARE_EPSILON = 1e-9  # A share up to this size counts as zero

Shares = Mapping[str, float]  # Share of requests by region name


# --- what this sidecar knows ------------------------------------------------------------------------


class KnownNames(NamedTuple):
    """The names that the endpoint list and the settings of this sidecar define."""

    regions: Set[str] = frozenset()
    groups: Set[str] = frozenset()
    servers: Set[str] = frozenset()
    classes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()


class LocalView(NamedTuple):
    """The properties of one sidecar on which the effect of settings and overrides depends."""

    place: Place
    names: KnownNames
    sidecars: int = 1  # Number of sidecars in the fleet among which each cap is divided


@dataclass(frozen=True, slots=True)
class SteeringRules:
    """The steering rules that settings state, without or with overrides."""

    shares: Shares = field(default_factory=dict)
    class_shares: Mapping[str, Shares] = field(default_factory=dict)  # Shares by request class
    tenant_shares: Mapping[str, Shares] = field(default_factory=dict)  # Shares by tenant
    # By tenant, the only region that may serve the tenant.
    tenant_pins: Mapping[str, str] = field(default_factory=dict)
    excluded_regions: frozenset[str] = frozenset()
    excluded_groups: frozenset[str] = frozenset()
    excluded_servers: frozenset[str] = frozenset()
    # Largest request rate by request class, in requests/s of the whole fleet.
    caps: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EffectiveRules(SteeringRules):
    """The steering rules to act on now.

    In contrast to `SteeringRules`, the caps are this sidecar's part of the fleet's caps.
    """

    frozen: bool = False  # True if shares and the weight of the plan stay as they are
    # The id and revision of each override in force at this sidecar, for the report.
    acted: tuple[tuple[str, int], ...] = ()
    # The names in overrides in force that this sidecar does not know, each as "ID: KIND NAME".
    unknown: tuple[str, ...] = ()
    # Texts that say which override in force can't be acted on, and why.
    notes: tuple[str, ...] = ()


# --- settings and overrides together ------------------------------------------------------------------


def effective_rules(
    now_s: float, settings: SteeringRules, layer: Sequence[Override], deadlines: Deadlines, view: LocalView
) -> EffectiveRules:
    """Return the rules to act on at `now_s`.

    `layer` contains the overrides of a configuration revision in order of precedence, as `read_layer` returns
    them. The result changes only if an argument other than the time changes, or at `deadlines.next_end`.
    """
    selected = _select(now_s, layer, deadlines, view)
    usable = selected.usable
    excluded, notes = _exclusions_by_scope(settings, usable, view.names)
    pins = _undisputed_pins(settings, selected)
    regions = _Regions(view.names.regions, excluded[HoldScope.REGION])
    shifts = _shifts(usable)
    tenant_shares = _tenant_shares(settings, shifts, regions)
    return EffectiveRules(
        shares=_effective_shares(settings.shares, shifts, ALL_REQUESTS, regions),
        class_shares=_class_shares(settings, shifts, regions),
        tenant_shares={tenant: shares for tenant, shares in tenant_shares.items() if tenant not in pins},
        tenant_pins=pins,
        excluded_regions=excluded[HoldScope.REGION],
        excluded_groups=excluded[HoldScope.GROUP],
        excluded_servers=excluded[HoldScope.SERVER],
        caps={
            name: rate / max(1, view.sidecars) for name, rate in _lowest_caps(settings.caps, usable).items()
        },
        frozen=any(isinstance(override.action, Freeze) for override in usable),
        acted=tuple(sorted(selected.acted)),
        unknown=tuple(selected.unknown),
        notes=(*notes, *_notes_on_excluded_pins(pins, regions.excluded)),
    )


class _Selection(NamedTuple):
    """The overrides of a layer that have an effect at this sidecar, in order of precedence."""

    usable: list[Override]  # Overrides in force of which this sidecar knows all necessary names
    # Overrides that have ended at this sidecar, but perhaps not at another one, and of which this sidecar
    # knows all necessary names.
    doubtful: list[Override]
    acted: list[tuple[str, int]]  # Id and revision of each override in force
    unknown: list[str]  # Unknown names in the overrides in force, each as "ID: KIND NAME"


def _select(now_s: float, layer: Iterable[Override], deadlines: Deadlines, view: LocalView) -> _Selection:
    """Return the overrides of a layer that have an effect at a sidecar with this view."""
    selected = _Selection([], [], [], [])
    for override in layer:
        phase = _phase(override, deadlines, now_s) if override.applies_at(view.place) else Phase.OVER
        if phase is Phase.OVER:
            continue
        missing = _unknown_required_names(override, view.names)
        if phase is Phase.DOUBTFUL:
            selected.doubtful.extend([] if missing else [override])
            continue
        selected.acted.append((override.id, override.revision))
        selected.unknown.extend(_unknown_regions(override, view.names) + missing)
        if not missing:
            selected.usable.append(override)
    return selected


def _phase(override: Override, deadlines: Deadlines, now_s: float) -> Phase:
    phase = deadlines.exclusive_phase if isinstance(override.action, Pin) else deadlines.phase
    return phase(override.id, override.revision, now_s)


# --- names that this sidecar does not know -------------------------------------------------------------


def _unknown_required_names(override: Override, names: KnownNames) -> list[str]:
    """Return the unknown names in an override that make the override unusable, each as "ID: KIND NAME"."""
    unknown: list[str] = []
    if override.request_class is not None and override.request_class not in names.classes:
        unknown.append(f"{override.id}: class {override.request_class}")
    if override.tenant is not None and override.tenant not in names.tenants:
        unknown.append(f"{override.id}: tenant {override.tenant}")
    action = override.action
    if isinstance(action, Hold) and action.name not in _names_of(action.scope, names):
        unknown.append(f"{override.id}: {action.scope.value} {action.name}")
    if isinstance(action, Pin) and action.region not in names.regions:
        unknown.append(f"{override.id}: region {action.region}")
    return unknown


def _unknown_regions(override: Override, names: KnownNames) -> list[str]:
    """Return the unknown regions of a shift, each as "ID: region NAME".

    A shift still applies to the regions that are known.
    """
    if not isinstance(override.action, Shift):
        return []
    shares = override.action.shares
    return [f"{override.id}: region {name}" for name in sorted(shares) if name not in names.regions]


def _names_of(scope: HoldScope, names: KnownNames) -> Set[str]:
    if scope is HoldScope.REGION:
        return names.regions
    return names.groups if scope is HoldScope.GROUP else names.servers


# --- holds, caps and pins --------------------------------------------------------------------------------


def _exclusions_by_scope(
    settings: SteeringRules, overrides: Sequence[Override], names: KnownNames
) -> tuple[dict[HoldScope, frozenset[str]], list[str]]:
    """Return the excluded names by scope, and a note for each hold that is not acted on."""
    excluded: dict[HoldScope, frozenset[str]] = {}
    notes: list[str] = []
    for scope, from_settings in (
        (HoldScope.REGION, settings.excluded_regions),
        (HoldScope.GROUP, settings.excluded_groups),
        (HoldScope.SERVER, settings.excluded_servers),
    ):
        excluded[scope], scope_notes = _excluded_names(
            scope, overrides, from_settings, _names_of(scope, names)
        )
        notes += scope_notes
    return excluded, notes


def _excluded_names(
    scope: HoldScope, overrides: Sequence[Override], from_settings: frozenset[str], known: Set[str]
) -> tuple[frozenset[str], list[str]]:
    """Return the names of one scope that settings and holds exclude, and notes.

    If these are all `known` names, the holds that come last in precedence are dropped until one name is left.
    Each dropped hold has a note.
    """
    override_of: dict[str, str] = {}  # Id of the first override that holds a name, by that name
    for override in overrides:
        if isinstance(override.action, Hold) and override.action.scope is scope:
            override_of.setdefault(override.action.name, override.id)
    excluded = from_settings | override_of.keys()
    removable = [name for name in override_of if name not in from_settings]
    kind, notes = scope.value, []
    while removable and known and known <= excluded:
        name = removable.pop()
        excluded -= {name}
        notes.append(
            f"{override_of[name]}: {kind} {name} is not held off, since no other {kind} would be left"
        )
    return excluded, notes


def _lowest_caps(from_settings: Mapping[str, float], overrides: Sequence[Override]) -> dict[str, float]:
    """Return the lowest cap of each request class, in requests/s of the whole fleet."""
    caps = dict(from_settings)
    for override in overrides:
        name = override.request_class
        if isinstance(override.action, Cap) and name is not None:
            caps[name] = min(caps.get(name, math.inf), override.action.requests_per_s)
    return caps


def _pinned_regions(from_settings: Mapping[str, str], overrides: Sequence[Override]) -> dict[str, str]:
    """Return the region of each pinned tenant; overrides replace pins of the settings."""
    pins = dict(from_settings)
    for override in reversed(overrides):  # The override that takes precedence is written last.
        if isinstance(override.action, Pin) and override.tenant is not None:
            pins[override.tenant] = override.action.region
    return pins


def _undisputed_pins(settings: SteeringRules, selected: _Selection) -> dict[str, str]:
    """Return the pins to act on.

    Shortly after this sidecar has ended a pin, another sidecar may still act on it. Until the end of the pin
    is certain, no region serves a tenant that this sidecar would otherwise serve in another region.
    """
    pins = _pinned_regions(settings.tenant_pins, selected.usable)
    if not selected.doubtful:
        return pins
    not_over = sorted([*selected.usable, *selected.doubtful], key=precedence)
    return common_pins(pins, _pinned_regions(settings.tenant_pins, not_over))


def common_pins(one: Mapping[str, str], other: Mapping[str, str]) -> dict[str, str]:
    """Return the pins that `one` and `other` agree on.

    A tenant on which the two differ gets the region `NO_REGION`, which means that no region serves it.
    """
    tenants = {**one, **other}
    return {name: one[name] if one.get(name) == other.get(name) else NO_REGION for name in tenants}


def _notes_on_excluded_pins(pins: Mapping[str, str], excluded: frozenset[str]) -> list[str]:
    """Return a note for each tenant that is pinned to an excluded region."""
    return [
        f"tenant {tenant} is pinned to region {region}, which is held"
        for tenant, region in sorted(pins.items())
        if region in excluded
    ]


# --- shares -----------------------------------------------------------------------------------------------


class _Regions(NamedTuple):
    """The names of all known regions, and of the excluded ones."""

    known: Set[str]
    excluded: frozenset[str]


class _Selector(NamedTuple):
    """The requests that a shift applies to; None matches any request class or any tenant."""

    request_class: str | None = None
    tenant: str | None = None


ALL_REQUESTS = _Selector()
_Shifts = Sequence[tuple[_Selector, Shift]]


def _shifts(overrides: Iterable[Override]) -> _Shifts:
    """Return the shifts among the overrides, each with the requests that it applies to."""
    return [
        (_Selector(override.request_class, override.tenant), override.action)
        for override in overrides
        if isinstance(override.action, Shift)
    ]


def _class_shares(settings: SteeringRules, shifts: _Shifts, regions: _Regions) -> dict[str, Shares]:
    """Return the shares of each request class that has shares in the settings or a shift of its own."""
    shifted = {selector.request_class for selector, _ in shifts if selector.request_class}
    by_class = {
        name: _effective_shares(
            settings.class_shares.get(name, settings.shares), shifts, _Selector(name), regions
        )
        for name in {*settings.class_shares, *shifted}
    }
    return {name: shares for name, shares in by_class.items() if shares}


def _tenant_shares(settings: SteeringRules, shifts: _Shifts, regions: _Regions) -> dict[str, Shares]:
    """Return the shares of each tenant that has shares in the settings or a shift of its own."""
    shifted = {selector.tenant for selector, _ in shifts if selector.tenant}
    by_tenant = {
        name: _effective_shares(
            settings.tenant_shares.get(name, settings.shares), shifts, _Selector(tenant=name), regions
        )
        for name in {*settings.tenant_shares, *shifted}
    }
    return {name: shares for name, shares in by_tenant.items() if shares}


def _effective_shares(base: Shares, shifts: _Shifts, selector: _Selector, regions: _Regions) -> Shares:
    """Return the shares by region after all shifts that apply to the requests of `selector`.

    Excluded regions get no share. The result is empty if no region has a share.
    """
    shares = dict(base)
    for shifted, shift in reversed(shifts):  # The shift that takes precedence is applied last.
        if shifted in (ALL_REQUESTS, selector):
            shares = _after_shift(shares, shift, regions.known)
    available = {region: share for region, share in shares.items() if region not in regions.excluded}
    total = sum(available.values())
    if total <= SHARE_EPSILON:
        return {}
    return {region: share / total for region, share in available.items() if share > SHARE_EPSILON}


def _after_shift(base: Mapping[str, float], shift: Shift, known: Set[str]) -> dict[str, float]:
    """Return the shares that a shift states, and the rest distributed over the other regions.

    The rest is distributed in the proportions of `base`, and evenly if `base` has no other region.
    """
    shares = {region: share for region, share in shift.shares.items() if region in known}
    if not shares:
        return dict(base)
    rest = 1.0 - sum(shares.values())
    others = {
        region: share for region, share in base.items() if region not in shares and share > SHARE_EPSILON
    }
    if not others:
        others = dict.fromkeys(sorted(known - shares.keys()), 1.0)
    total = sum(others.values())
    if rest > SHARE_EPSILON and total > SHARE_EPSILON:
        shares |= {region: rest * share / total for region, share in others.items()}
    return shares


# --- rules with concurrent revisions, and without a lease ---------------------------------------------------


def common_rules(
    one: EffectiveRules, other: EffectiveRules, regions: frozenset[str] = frozenset()
) -> EffectiveRules:
    """Return the rules `one`, restricted to what the rules `other` of another revision allow as well.

    Only pins that both have are kept, the exclusions of both apply, and the lower cap of each class applies.
    `regions` are the regions with servers: if the two together exclude all of them, only the exclusions of
    `one` apply.
    """
    excluded = one.excluded_regions | other.excluded_regions
    caps = {name: min(rules.caps.get(name, math.inf) for rules in (one, other)) for name in other.caps}
    return replace(
        one,
        tenant_pins=common_pins(one.tenant_pins, other.tenant_pins),
        excluded_regions=one.excluded_regions if regions and regions <= excluded else excluded,
        caps={**one.caps, **caps},
    )


def rules_without_lease(
    rules: EffectiveRules, pins: Mapping[str, str], excluded_regions: Iterable[str], cap_part: float
) -> EffectiveRules:
    """Return the rules to act on without a lease.

    These are `rules` without what other sidecars may do differently under a newer revision. `pins` and
    `excluded_regions` are those of the fallback configuration. A pinned tenant is served only in its region
    in `pins`. `cap_part` is the part of each cap that is used.
    """
    return replace(
        rules,
        excluded_regions=rules.excluded_regions | set(excluded_regions),
        tenant_pins={tenant: pins.get(tenant, NO_REGION) for tenant in rules.tenant_pins},
        caps={name: rate * cap_part for name, rate in rules.caps.items()},
    )
