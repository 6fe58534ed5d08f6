"""Steering of this sidecar's server selection by configuration revisions, overrides and the steering plan.

The module is pure code: times are passed in, in seconds of the sidecar's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from brassfall.balancer.model import SteeringDirectives
from brassfall.sidecar.agent import overrides, rules
from brassfall.sidecar.agent.deadlines import Deadlines, digest
from brassfall.sidecar.agent.lease_client import ActiveConfiguration, Revision
from brassfall.sidecar.agent.lists import EndpointList
from brassfall.sidecar.agent.override_layer import Layer, Place, read_layer
from brassfall.sidecar.agent.overrides import EffectiveRules, LocalView
from brassfall.sidecar.config import Agreement
from brassfall.sidecar.config_values import WireNames

NEUTRAL = SteeringDirectives()  # Directives without any steering
DEFAULT_PLAN_AGE_LIMIT_MS = 15_000.0  # Age limit of a plan that states none, in milliseconds
# The weight of a plan is rounded down to a multiple of this, because each change of it replaces the
# `SteeringDirectives`.
WEIGHT_STEP = 0.1
MAX_EXPLORE = 0.5  # Largest accepted share of requests that explore other regions
MAX_LAYERS = 8  # Largest number of cached layers of overrides, with one layer for each revision


class Inputs(NamedTuple):
    """The inputs of the rules and the directives, apart from the active configuration and the clock."""

    names: WireNames
    list_changes: int  # Number of updates applied to the endpoint list
    deadline_changes: int  # Number of times left that were accepted
    sidecars: int  # Number of sidecars in the fleet among which each cap is divided
    plan_weight: float


class Steering:
    """The deadlines of overrides, and the directives that follow from them and the active configuration."""

    def __init__(
        self, agreement: Agreement, names: Callable[[], WireNames], endpoint_list: Callable[[], EndpointList]
    ) -> None:
        self._place = Place(agreement.group, agreement.region)
        self._names = names
        self._endpoint_list = endpoint_list
        self._deadlines = Deadlines()
        self._sidecars = 1
        # True if the list service has requested the revisions of the overrides that this sidecar acts on.
        self._details_wanted = False
        self._refresh_times = False  # True if the next report should request all times left
        # The id and revision of each override that this sidecar acts on.
        self._acted: tuple[tuple[str, int], ...] = ()
        # The parsed overrides of each configuration revision, by the number of the revision.
        self._layers: dict[int, Layer] = {0: Layer()}
        self._plan_revision = -1  # The configuration revision with which the plan in use was published
        self._plan_since = -math.inf  # Time at which this sidecar first used the plan
        # The directives at the time at which an override froze steering; None while steering is not frozen.
        self._frozen_steer: SteeringDirectives | None = None

    # --- reports ------------------------------------------------------------------------

    def report_fields(self) -> dict[str, Any]:
        """Return the fields of the next report that are about overrides."""
        fields: dict[str, Any] = {
            "overrides": [name for name, _ in self._acted],
            "digest": digest(self._acted),
            "told": self._deadlines.newest_revision,
        }
        if self._refresh_times:
            fields["retell"] = True
        if self._details_wanted:
            fields["acted"] = dict(self._acted)
            self._details_wanted = False
        return fields

    def receive_answer(self, sent_at: float, received_at: float, answer: Mapping[str, Any]) -> None:
        """Use the fields of an answer that are about overrides, and ignore all others.

        The report was sent at `sent_at`, and its answer was received at `received_at`.
        """
        times_left = answer.get("left")
        if isinstance(times_left, Mapping):
            self._deadlines.receive(sent_at, times_left, received_at)
        self._refresh_times = self._deadlines.refresh_due(received_at)
        self._details_wanted = answer.get("list_overrides") is True
        sidecars = answer.get("edges")
        if isinstance(sidecars, int) and sidecars > 0:
            self._sidecars = sidecars

    # --- the rules in force ------------------------------------------------------------------

    def inputs(self, revision: Revision, now: float) -> Inputs:
        """Return the inputs of the rules and of the directives.

        The rules and the directives of an active configuration change only with these inputs, or at
        `next_end`.
        """
        return Inputs(
            names=self._names(),
            list_changes=self._endpoint_list().changes,
            deadline_changes=self._deadlines.changes,
            sidecars=self._sidecars,
            plan_weight=self._plan_weight(revision, now),
        )

    def objection(self, revision: Revision) -> str:
        """Return why this sidecar can't act on the overrides of a revision, or an empty text if it can."""
        return "; ".join(self._parsed_layer(revision).problems)

    def effective_rules(self, active: ActiveConfiguration, now: float) -> EffectiveRules:
        """Return the rules to act on at `now`, which are those that all concurrent revisions allow."""
        effective_rules = self._revision_rules(active.revision, now)
        regions = self._regions_with_servers()
        # If the exclusions of all revisions together would leave no region, the revisions that other sidecars
        # act on first take precedence: first the newer revisions in order, then the older ones. A list
        # service with an old copy of its store grants leases on an older revision only after the wait for a
        # lower epoch.
        number = active.revision.number
        for revision in sorted(active.concurrent, key=lambda each: (each.number < number, each.number)):
            effective_rules = overrides.common_rules(
                effective_rules, self._revision_rules(revision, now), regions
            )
        if active.fallback:
            base = rules.fallback_rules(active.revision.settings)
            effective_rules = overrides.rules_without_lease(
                effective_rules, base.tenant_pins, base.excluded_regions, rules.FALLBACK_CAP_PART
            )
        self._acted = effective_rules.acted
        return effective_rules

    def next_end(self, now: float) -> float:
        """Return the time at which the phase of an override changes next; inf if no change is due."""
        end = self._deadlines.next_end(now)
        return math.inf if end is None else end

    def _revision_rules(self, revision: Revision, now: float) -> EffectiveRules:
        """Return the rules of one revision with its overrides in force, regardless of other revisions."""
        settings = rules.base_rules(_with_planned_shares(revision), self._place.group)
        layer = self._parsed_layer(revision).overrides
        return overrides.effective_rules(now, settings, layer, self._deadlines, self._local_view())

    def _parsed_layer(self, revision: Revision) -> Layer:
        """Return the parsed overrides of a revision, which are cached for the last `MAX_LAYERS` revisions."""
        layer = self._layers.get(revision.number)
        if layer is None:
            layer = self._layers[revision.number] = read_layer(revision.overrides)
            if len(self._layers) > MAX_LAYERS:
                del self._layers[min(number for number in self._layers if number)]
        return layer

    def _local_view(self) -> LocalView:
        """Return the properties of this sidecar on which the effect of overrides depends."""
        names, endpoint_list = self._names(), self._endpoint_list()
        known = overrides.KnownNames(
            regions=frozenset(names.zones),
            groups=endpoint_list.groups,
            servers=endpoint_list.servers,
            classes=frozenset(names.classes),
            tenants=frozenset(names.tenants),
        )
        return LocalView(self._place, known, self._sidecars)

    def _regions_with_servers(self) -> frozenset[str]:
        """Return the names of the regions that have an active server."""
        served = self._endpoint_list().served_zones
        return frozenset(name for name, zone in self._names().zones.items() if zone in served)

    # --- the rules in the balancer's form ------------------------------------------------------

    def steer(
        self, active: ActiveConfiguration, effective_rules: EffectiveRules, now: float
    ) -> SteeringDirectives:
        """Return the rules as `SteeringDirectives`, which identify classes, tenants and zones by number."""
        steer = self._to_steer(effective_rules)._replace(
            weight=self._plan_weight(active.revision, now),
            explore=_exploration_share((active.revision.plan or {}).get("look")),
        )
        if not effective_rules.frozen:
            self._frozen_steer = None
            return steer
        # Shares, the weight of the plan and exploration are frozen; exclusions, pins and caps still change.
        self._frozen_steer = self._frozen_steer or steer
        return steer._replace(
            shares=self._frozen_steer.shares,
            weight=self._frozen_steer.weight,
            explore=self._frozen_steer.explore,
        )

    def _to_steer(self, effective_rules: EffectiveRules) -> SteeringDirectives:
        """Return `SteeringDirectives` with the rules, but without the weight and the exploration of the plan.

        Names that this sidecar does not know are left out.
        """
        names = self._names()
        zones, tenants, classes = names.zones, names.tenants, names.classes
        pins = {
            tenants[name]: zones.get(region, -1)
            for name, region in effective_rules.tenant_pins.items()
            if name in tenants
        }
        tenant_shares = {
            tenants[name]: _by_zone(shares, zones)
            for name, shares in effective_rules.tenant_shares.items()
            if name in tenants
        }
        return SteeringDirectives(
            shares=_by_zone(effective_rules.shares, zones),
            class_shares={
                classes[name].slot: _by_zone(shares, zones)
                for name, shares in effective_rules.class_shares.items()
                if name in classes
            },
            tenant_shares=tenant_shares | {tenant: {zone: 1.0} for tenant, zone in pins.items() if zone >= 0},
            excluded_zones=frozenset(
                zones[name] for name in effective_rules.excluded_regions if name in zones
            ),
            excluded_servers=frozenset(
                self._endpoint_list().servers_in_groups(effective_rules.excluded_groups)
                | effective_rules.excluded_servers
            ),
            caps={classes[name].slot: rate for name, rate in effective_rules.caps.items() if name in classes},
            pins=pins,
        )

    # --- the plan ----------------------------------------------------------------------------------

    def _plan_weight(self, revision: Revision, now: float) -> float:
        """Return the weight of the shares in server selection, from 0 to 1.

        Shares in the settings have weight 1. The shares of a plan have weight 1 up to the plan's age limit;
        the weight then decreases linearly to 0 at twice the limit.
        """
        if revision.plan is None or self._place.group in revision.settings.get("shares", {}):
            return 1.0
        if revision.plan_revision != self._plan_revision:
            self._plan_revision, self._plan_since = revision.plan_revision, now
        limit_ms = revision.plan.get("age_limit_ms", DEFAULT_PLAN_AGE_LIMIT_MS)
        if isinstance(limit_ms, bool) or not isinstance(limit_ms, int | float) or not limit_ms > 0.0:
            return 0.0
        weight = min(1.0, max(0.0, 2.0 - (now - self._plan_since) * 1000.0 / limit_ms))
        return math.floor(weight / WEIGHT_STEP) * WEIGHT_STEP


def _with_planned_shares(revision: Revision) -> Mapping[str, Any]:
    """Return the settings of a revision, with shares of its plan for groups that the settings leave out."""
    planned = (revision.plan or {}).get("shares", {})
    return {**revision.settings, "shares": {**planned, **revision.settings.get("shares", {})}}


def _by_zone(shares: Mapping[str, float], zones: Mapping[str, int]) -> dict[int, float]:
    """Return shares by the number of the zone instead of the region's name; unknown regions are left out."""
    return {zones[region]: share for region, share in shares.items() if region in zones}


def _exploration_share(value: object) -> float:
    """Return the share of requests that explore other regions as the plan states it; 0 if it is invalid."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    return float(value) if 0.0 <= value <= MAX_EXPLORE else 0.0
