"""Steering of this sidecar's picks, from configuration revisions, overrides in force and the plan. Pure code.

Times are in seconds of the sidecar's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from brassfall.balancer.model import Steer
from brassfall.sidecar.agent import overrides, rules
from brassfall.sidecar.agent.deadlines import Deadlines, digest
from brassfall.sidecar.agent.lease_client import ActiveConfiguration, Revision
from brassfall.sidecar.agent.lists import EndpointList
from brassfall.sidecar.agent.override_layer import Layer, Place, read_layer
from brassfall.sidecar.agent.overrides import Effective, LocalView
from brassfall.sidecar.config import Agreement
from brassfall.sidecar.config_values import Names

NEUTRAL = Steer()
DEFAULT_PLAN_AGE_LIMIT_MS = 15_000.0
WEIGHT_STEP = 0.1  # a plan's weight is rounded down to this: each change of it replaces the `Steer`
MAX_EXPLORE = 0.5  # share of requests
MAX_LAYERS = 8  # layers of overrides kept, one for each revision


class Inputs(NamedTuple):
    """What the rules and the `Steer` depend on, beside the active configuration and the clock."""

    names: Names
    list_changes: int
    deadline_changes: int
    sidecars: int  # that share a cap
    plan_weight: float


class Steering:
    """The overrides' deadlines, and the `Steer` that follows from them and the active configuration."""

    def __init__(
        self, agreement: Agreement, names: Callable[[], Names], endpoint_list: Callable[[], EndpointList]
    ) -> None:
        self._place = Place(agreement.group, agreement.region)
        self._names = names
        self._endpoint_list = endpoint_list
        self._deadlines = Deadlines()
        self._sidecars = 1
        self._details_wanted = False  # the service asks which overrides are acted on
        self._refresh_times = False  # the next report asks for all times left
        self._acted: tuple[tuple[str, int], ...] = ()
        self._layers: dict[int, Layer] = {0: Layer()}  # by configuration revision
        self._plan_revision = -1  # the configuration revision that stated the plan
        self._plan_since = -math.inf  # when it was first used here
        self._frozen: Steer | None = None  # the one in use when steering was frozen

    # --- reports ------------------------------------------------------------------------

    def report_fields(self) -> dict[str, Any]:
        """Return the part of a report that is about overrides."""
        part: dict[str, Any] = {
            "overrides": [name for name, _ in self._acted],
            "digest": digest(self._acted),
            "told": self._deadlines.newest_revision,
        }
        if self._refresh_times:
            part["retell"] = True
        if self._details_wanted:
            part["acted"] = dict(self._acted)
            self._details_wanted = False
        return part

    def receive_answer(self, asked: float, received: float, answer: Mapping[str, Any]) -> None:
        """Use the parts of an answer to a report that are about overrides; others are ignored."""
        times_left = answer.get("left")
        if isinstance(times_left, Mapping):
            self._deadlines.receive(asked, times_left, received)
        self._refresh_times = self._deadlines.refresh_due(received)
        self._details_wanted = answer.get("list_overrides") is True
        sidecars = answer.get("edges")
        if isinstance(sidecars, int) and sidecars > 0:
            self._sidecars = sidecars

    # --- the rules in force ------------------------------------------------------------------

    def inputs(self, revision: Revision, now: float) -> Inputs:
        """Return what the rules and the `Steer` depend on; they change only with it, or at `next_end`."""
        return Inputs(
            names=self._names(),
            list_changes=self._endpoint_list().changes,
            deadline_changes=self._deadlines.changes,
            sidecars=self._sidecars,
            plan_weight=self._plan_weight(revision, now),
        )

    def objection(self, revision: Revision) -> str:
        """Return why the overrides of a revision can't be acted on here, empty where they can."""
        return "; ".join(self._layer(revision).problems)

    def effective_rules(self, active: ActiveConfiguration, now: float) -> Effective:
        """Return the rules to act on now; between revisions, only what all of them allow."""
        found = self._revision_rules(active.revision, now)
        regions = self._regions_with_servers()
        # Where not all revisions can be heeded, those that others act on first count first: the next ones,
        # then older ones, which a service with an old copy grants only after the epoch wait.
        number = active.revision.number
        for revision in sorted(active.concurrent, key=lambda each: (each.number < number, each.number)):
            found = overrides.common(found, self._revision_rules(revision, now), regions)
        if active.fallback:
            base = rules.fallback_rules(active.revision.settings)
            found = overrides.fallback(
                found, base.tenant_pins, base.excluded_regions, rules.FALLBACK_CAP_PART
            )
        self._acted = found.acted
        return found

    def next_end(self, now: float) -> float:
        """Return when the next override or its doubt ends; infinite if none does."""
        end = self._deadlines.next_end(now)
        return math.inf if end is None else end

    def _revision_rules(self, revision: Revision, now: float) -> Effective:
        settings = rules.base_rules(_with_planned_shares(revision), self._place.group)
        layer = self._layer(revision).overrides
        return overrides.effective_rules(now, settings, layer, self._deadlines, self._view())

    def _layer(self, revision: Revision) -> Layer:
        layer = self._layers.get(revision.number)
        if layer is None:
            layer = self._layers[revision.number] = read_layer(revision.overrides)
            if len(self._layers) > MAX_LAYERS:
                del self._layers[min(number for number in self._layers if number)]
        return layer

    def _view(self) -> LocalView:
        names, listed = self._names(), self._endpoint_list()
        known = overrides.KnownNames(
            regions=frozenset(names.zones),
            groups=listed.groups,
            servers=listed.servers,
            classes=frozenset(names.classes),
            tenants=frozenset(names.tenants),
        )
        return LocalView(self._place, known, self._sidecars)

    def _regions_with_servers(self) -> frozenset[str]:
        served = self._endpoint_list().served_zones
        return frozenset(name for name, zone in self._names().zones.items() if zone in served)

    # --- the balancer's form -------------------------------------------------------------------

    def steer(self, active: ActiveConfiguration, found: Effective, now: float) -> Steer:
        """Return the rules by the balancer's numbers of classes, tenants and zones."""
        steer = self._by_numbers(found)._replace(
            weight=self._plan_weight(active.revision, now),
            explore=_explore((active.revision.plan or {}).get("look")),
        )
        if not found.frozen:
            self._frozen = None
            return steer
        # Shares and the plan's part are frozen; exclusions, pins and caps still change.
        self._frozen = self._frozen or steer
        return steer._replace(
            shares=self._frozen.shares, weight=self._frozen.weight, explore=self._frozen.explore
        )

    def _by_numbers(self, found: Effective) -> Steer:
        names = self._names()
        zones, tenants, classes = names.zones, names.tenants, names.classes
        pins = {
            tenants[name]: zones.get(region, -1)
            for name, region in found.tenant_pins.items()
            if name in tenants
        }
        tenant_shares = {
            tenants[name]: _by_zone(shares, zones)
            for name, shares in found.tenant_shares.items()
            if name in tenants
        }
        return Steer(
            shares=_by_zone(found.shares, zones),
            class_shares={
                classes[name].slot: _by_zone(shares, zones)
                for name, shares in found.class_shares.items()
                if name in classes
            },
            tenant_shares=tenant_shares | {tenant: {zone: 1.0} for tenant, zone in pins.items() if zone >= 0},
            excluded_zones=frozenset(zones[name] for name in found.excluded_regions if name in zones),
            excluded_servers=frozenset(
                self._endpoint_list().in_groups(found.excluded_groups) | found.excluded_servers
            ),
            caps={classes[name].slot: rate for name, rate in found.caps.items() if name in classes},
            pins=pins,
        )

    # --- the plan ----------------------------------------------------------------------------------

    def _plan_weight(self, revision: Revision, now: float) -> float:
        """Return how far shares count, from 0 to 1: those of settings fully, a plan's less as it ages.

        A plan counts fully up to its age limit, then linearly less, and not at all from twice the limit.
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
    """Return the settings of a revision, with the plan's shares for groups that have none in the settings."""
    planned = (revision.plan or {}).get("shares", {})
    return {**revision.settings, "shares": {**planned, **revision.settings.get("shares", {})}}


def _by_zone(shares: Mapping[str, float], zones: Mapping[str, int]) -> dict[int, float]:
    return {zones[region]: share for region, share in shares.items() if region in zones}


def _explore(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return 0.0
    return float(value) if 0.0 <= value <= MAX_EXPLORE else 0.0
