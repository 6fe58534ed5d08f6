"""What settings and the temporary overrides in force come to at one sidecar. Pure code.

Times are passed in, in seconds of the sidecar's monotonic clock; `deadlines` has the end of each override.
The result is computed from scratch each time, so nothing has to be undone when an override ends.
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

NO_REGION = ""  # the region of a pinned tenant that must not be served anywhere
SHARE_EPSILON = 1e-9  # a smaller share counts as none

Shares = Mapping[str, float]  # by region


# --- what is known here -----------------------------------------------------------------------------


class KnownNames(NamedTuple):
    """The names that the endpoint list and the settings define."""

    regions: Set[str] = frozenset()
    groups: Set[str] = frozenset()
    servers: Set[str] = frozenset()
    classes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()


class LocalView(NamedTuple):
    """What decides, at one sidecar, how settings and overrides apply."""

    place: Place
    names: KnownNames
    sidecars: int = 1  # that share a cap


@dataclass(frozen=True, slots=True)
class SteeringRules:
    """What settings, or settings and overrides, say of steering."""

    shares: Shares = field(default_factory=dict)
    class_shares: Mapping[str, Shares] = field(default_factory=dict)
    tenant_shares: Mapping[str, Shares] = field(default_factory=dict)
    tenant_pins: Mapping[str, str] = field(default_factory=dict)  # to that region and no other
    excluded_regions: frozenset[str] = frozenset()
    excluded_groups: frozenset[str] = frozenset()
    excluded_servers: frozenset[str] = frozenset()
    caps: Mapping[str, float] = field(default_factory=dict)  # by class, in requests/s of the whole fleet


@dataclass(frozen=True, slots=True)
class Effective(SteeringRules):
    """The rules to act on now; caps are this sidecar's part."""

    frozen: bool = False
    acted: tuple[tuple[str, int], ...] = ()  # id and revision of each override in force here, for the report
    unknown: tuple[str, ...] = ()  # names in overrides that are not known here
    notes: tuple[str, ...] = ()  # overrides in force that can't be acted on, and why


# --- settings and overrides together ------------------------------------------------------------------


def effective_rules(
    now_s: float, settings: SteeringRules, layer: Sequence[Override], deadlines: Deadlines, view: LocalView
) -> Effective:
    """Return the rules to act on now.

    `layer` is in order of precedence, as `read_layer` returns it. The result changes only when an argument
    does, or at `deadlines.next_end`.
    """
    selected = _select(now_s, layer, deadlines, view)
    usable = selected.usable
    excluded, notes = _exclusions(settings, usable, view.names)
    pins = _undisputed_pins(settings, selected)
    regions = _Regions(view.names.regions, excluded[HoldScope.REGION])
    shifts = _shifts(usable)
    tenant_shares = _tenant_shares(settings, shifts, regions)
    return Effective(
        shares=_shares(settings.shares, shifts, ALL_REQUESTS, regions),
        class_shares=_class_shares(settings, shifts, regions),
        tenant_shares={tenant: shares for tenant, shares in tenant_shares.items() if tenant not in pins},
        tenant_pins=pins,
        excluded_regions=excluded[HoldScope.REGION],
        excluded_groups=excluded[HoldScope.GROUP],
        excluded_servers=excluded[HoldScope.SERVER],
        caps={name: rate / max(1, view.sidecars) for name, rate in _caps(settings.caps, usable).items()},
        frozen=any(isinstance(override.action, Freeze) for override in usable),
        acted=tuple(sorted(selected.acted)),
        unknown=tuple(selected.unknown),
        notes=(*notes, *_pins_to_excluded(pins, regions.excluded)),
    )


class _Selection(NamedTuple):
    """The overrides of a layer that count here, in order of precedence."""

    usable: list[Override]  # in force, with all names that they need known
    doubtful: list[Override]  # ended here, and perhaps not yet at another sidecar; all names known
    acted: list[tuple[str, int]]  # id and revision of those in force
    unknown: list[str]  # names in those in force that are not known


def _select(now_s: float, layer: Iterable[Override], deadlines: Deadlines, view: LocalView) -> _Selection:
    selected = _Selection([], [], [], [])
    for override in layer:
        phase = _phase(override, deadlines, now_s) if override.applies_at(view.place) else Phase.OVER
        if phase is Phase.OVER:
            continue
        missing = _unknown_needs(override, view.names)
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


# --- names that are not known here ---------------------------------------------------------------------


def _unknown_needs(override: Override, names: KnownNames) -> list[str]:
    """Return the unknown names without which an override has no meaning here."""
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
    """Return the unknown regions of a shift, which still applies to the others."""
    if not isinstance(override.action, Shift):
        return []
    shares = override.action.shares
    return [f"{override.id}: region {name}" for name in sorted(shares) if name not in names.regions]


def _names_of(scope: HoldScope, names: KnownNames) -> Set[str]:
    if scope is HoldScope.REGION:
        return names.regions
    return names.groups if scope is HoldScope.GROUP else names.servers


# --- holds, caps and pins --------------------------------------------------------------------------------


def _exclusions(
    settings: SteeringRules, overrides: Sequence[Override], names: KnownNames
) -> tuple[dict[HoldScope, frozenset[str]], list[str]]:
    """Return what is excluded by scope, and a note for each hold that is not acted on."""
    excluded: dict[HoldScope, frozenset[str]] = {}
    notes: list[str] = []
    for scope, of_settings in (
        (HoldScope.REGION, settings.excluded_regions),
        (HoldScope.GROUP, settings.excluded_groups),
        (HoldScope.SERVER, settings.excluded_servers),
    ):
        excluded[scope], scope_notes = _excluded(scope, overrides, of_settings, _names_of(scope, names))
        notes += scope_notes
    return excluded, notes


def _excluded(
    scope: HoldScope, overrides: Sequence[Override], of_settings: frozenset[str], known: Set[str]
) -> tuple[frozenset[str], list[str]]:
    """Return what settings and holds exclude; where that is all that is known, the last holds don't count.

    Each hold that doesn't count has a note.
    """
    override_of: dict[str, str] = {}  # id by name held
    for override in overrides:
        if isinstance(override.action, Hold) and override.action.scope is scope:
            override_of.setdefault(override.action.name, override.id)
    excluded = of_settings | override_of.keys()
    removable = [name for name in override_of if name not in of_settings]
    kind, notes = scope.value, []
    while removable and known and known <= excluded:
        name = removable.pop()
        excluded -= {name}
        notes.append(
            f"{override_of[name]}: {kind} {name} is not held off, since no other {kind} would be left"
        )
    return excluded, notes


def _caps(of_settings: Mapping[str, float], overrides: Sequence[Override]) -> dict[str, float]:
    """Return the lowest cap of each class, in requests/s of the whole fleet."""
    caps = dict(of_settings)
    for override in overrides:
        name = override.request_class
        if isinstance(override.action, Cap) and name is not None:
            caps[name] = min(caps.get(name, math.inf), override.action.requests_per_s)
    return caps


def _pins(of_settings: Mapping[str, str], overrides: Sequence[Override]) -> dict[str, str]:
    """Return the region of each pinned tenant."""
    pins = dict(of_settings)
    for override in reversed(overrides):  # the one that takes precedence is written last
        if isinstance(override.action, Pin) and override.tenant is not None:
            pins[override.tenant] = override.action.region
    return pins


def _undisputed_pins(settings: SteeringRules, selected: _Selection) -> dict[str, str]:
    """Return the pins to act on.

    Near its end a pin may still be acted on by another sidecar: a tenant that this one would then serve
    elsewhere is served by none.
    """
    pins = _pins(settings.tenant_pins, selected.usable)
    if not selected.doubtful:
        return pins
    not_over = sorted([*selected.usable, *selected.doubtful], key=precedence)
    return common_pins(pins, _pins(settings.tenant_pins, not_over))


def common_pins(one: Mapping[str, str], other: Mapping[str, str]) -> dict[str, str]:
    """Return the pins that two states agree on; a tenant on which they differ is served by no region."""
    tenants = {**one, **other}
    return {name: one[name] if one.get(name) == other.get(name) else NO_REGION for name in tenants}


def _pins_to_excluded(pins: Mapping[str, str], excluded: frozenset[str]) -> list[str]:
    return [
        f"tenant {tenant} is pinned to region {region}, which is held"
        for tenant, region in sorted(pins.items())
        if region in excluded
    ]


# --- shares -----------------------------------------------------------------------------------------------


class _Regions(NamedTuple):
    known: Set[str]
    excluded: frozenset[str]


class _Selector(NamedTuple):
    """The requests that a shift is for."""

    request_class: str | None = None
    tenant: str | None = None


ALL_REQUESTS = _Selector()
_Shifts = Sequence[tuple[_Selector, Shift]]


def _shifts(overrides: Iterable[Override]) -> _Shifts:
    return [
        (_Selector(override.request_class, override.tenant), override.action)
        for override in overrides
        if isinstance(override.action, Shift)
    ]


def _class_shares(settings: SteeringRules, shifts: _Shifts, regions: _Regions) -> dict[str, Shares]:
    """Return the shares of each class that has its own."""
    shifted = {selector.request_class for selector, _ in shifts if selector.request_class}
    found = {
        name: _shares(settings.class_shares.get(name, settings.shares), shifts, _Selector(name), regions)
        for name in {*settings.class_shares, *shifted}
    }
    return {name: shares for name, shares in found.items() if shares}


def _tenant_shares(settings: SteeringRules, shifts: _Shifts, regions: _Regions) -> dict[str, Shares]:
    """Return the shares of each tenant that has its own."""
    shifted = {selector.tenant for selector, _ in shifts if selector.tenant}
    found = {
        name: _shares(
            settings.tenant_shares.get(name, settings.shares), shifts, _Selector(tenant=name), regions
        )
        for name in {*settings.tenant_shares, *shifted}
    }
    return {name: shares for name, shares in found.items() if shares}


def _shares(base: Shares, shifts: _Shifts, selector: _Selector, regions: _Regions) -> Shares:
    """Return the shares by region after all shifts of these requests; empty if there are none to heed."""
    shares = dict(base)
    for shifted, shift in reversed(shifts):  # the one that takes precedence is applied last
        if shifted in (ALL_REQUESTS, selector):
            shares = _after_shift(shares, shift, regions.known)
    available = {region: share for region, share in shares.items() if region not in regions.excluded}
    total = sum(available.values())
    if total <= SHARE_EPSILON:
        return {}
    return {region: share / total for region, share in available.items() if share > SHARE_EPSILON}


def _after_shift(base: Mapping[str, float], shift: Shift, known: Set[str]) -> dict[str, float]:
    """Return the shares that a shift names, with the rest distributed over the other regions.

    The rest keeps the proportions of `base`; it is even where `base` has no other region.
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


# --- several revisions, and no lease ------------------------------------------------------------------------


def common(one: Effective, other: Effective, regions: frozenset[str] = frozenset()) -> Effective:
    """Return the rules of the first revision, restricted to what the other one allows too.

    Only pins that both have are kept, exclusions are united and the lower cap counts. `regions` are those
    with servers: where the two would exclude all of them, the exclusions of the first alone count.
    """
    excluded = one.excluded_regions | other.excluded_regions
    caps = {name: min(rules.caps.get(name, math.inf) for rules in (one, other)) for name in other.caps}
    return replace(
        one,
        tenant_pins=common_pins(one.tenant_pins, other.tenant_pins),
        excluded_regions=one.excluded_regions if regions and regions <= excluded else excluded,
        caps={**one.caps, **caps},
    )


def fallback(
    rules: Effective, pins: Mapping[str, str], excluded_regions: Iterable[str], cap_part: float
) -> Effective:
    """Return the rules to act on without a lease: overrides in force, less what others may have by now.

    `pins` and `excluded_regions` are those of the fallback configuration; `cap_part` is the part of each cap
    that is used.
    """
    return replace(
        rules,
        excluded_regions=rules.excluded_regions | set(excluded_regions),
        tenant_pins={tenant: pins.get(tenant, NO_REGION) for tenant in rules.tenant_pins},
        caps={name: rate * cap_part for name, rate in rules.caps.items()},
    )
