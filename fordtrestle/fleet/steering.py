"""What editions, overrides in force and the plan come to for the picks of this sidecar. Pure code."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from fordtrestle.config import Agreement, Names
from fordtrestle.fleet import overrides, rules
from fordtrestle.fleet.deadlines import Deadlines, digest
from fordtrestle.fleet.holder import Edition, Stance
from fordtrestle.fleet.overrides import Effective, Line, Place
from poppypulley.model import Listing, Steer

NEUTRAL = Steer()
PLAN_AGE_MS = 15_000.0  # a plan counts whole up to its limit, then evenly less, and not at twice the limit
PLAN_STEP = 0.1  # its weight is rounded down to this: a change of it is a change of all picks
LAYERS_MOST = 8


class Steering:
    """Holds the times left of overrides, and makes a `Steer` of what holds now."""

    def __init__(
        self, told: Agreement, names: Callable[[], Names], listings: Callable[[], Iterable[Listing]]
    ) -> None:
        self._place = Place(told.group, told.region)
        self._names = names
        self._listings = listings
        self._deadlines = Deadlines()
        self._edges = 1
        self._wanted = False  # the service asks for details
        self._retell = False  # times left are to be told anew
        self._acted: tuple[tuple[str, int], ...] = ()
        self._layers: dict[int, tuple[tuple[Line, ...], tuple[str, ...]]] = {0: ((), ())}
        self._plan: tuple[int, float] = (-1, -math.inf)  # the edition that stated the plan, and when it came
        self._frozen: Steer | None = None  # as it was when steering was frozen

    # --- reports ------------------------------------------------------------------------

    def report(self) -> dict[str, Any]:
        """The part of a report that is about overrides."""
        told: dict[str, Any] = {
            "overrides": [name for name, _ in self._acted],
            "digest": digest(self._acted),
            "told": self._deadlines.newest,
        }
        if self._retell:
            told["retell"] = True
        if self._wanted:
            told["acted"] = dict(self._acted)
            self._wanted = False
        return told

    def answered(self, asked: float, heard: float, told: Mapping[str, Any]) -> None:
        """What the answer to a report tells of times left."""
        left = told.get("left")
        if isinstance(left, Mapping):
            self._deadlines.told(asked, left, heard)
        self._retell = self._deadlines.wants(heard)
        self._wanted = told.get("list_overrides") is True
        edges = told.get("edges")
        if isinstance(edges, int) and edges > 0:
            self._edges = edges

    # --- what holds now -------------------------------------------------------------------

    def objection(self, edition: Edition) -> str:
        """Why the overrides of an edition can't be acted on here; empty where they can."""
        return "; ".join(self._layer(edition)[1])

    def _layer(self, edition: Edition) -> tuple[tuple[Line, ...], tuple[str, ...]]:
        found = self._layers.get(edition.number)
        if found is None:
            found = self._layers[edition.number] = overrides.read_layer(edition.overrides)
            if len(self._layers) > LAYERS_MOST:
                del self._layers[min(number for number in self._layers if number)]
        return found

    def found(self, stance: Stance, now: float) -> Effective:
        """Settings and overrides in force, together; between editions what all of them allow."""
        found = self._effective(stance.edition, now)
        regions = self._served()
        # Where not all of them can be heeded, what others may act on first goes first: what comes next, and
        # then what is older. That a service with an old copy tells, and permits only after a season.
        here = stance.edition.number
        for edition in sorted(stance.told, key=lambda other: (other.number < here, other.number)):
            found = overrides.met(found, self._effective(edition, now), regions)
        if stance.safe:
            floor = stance.edition.settings.get("floor", {})
            held = floor.get("regions", {}).get("held", ())
            found = overrides.safe(found, floor.get("tenants", {}), held, rules.SAFE_PART)
        self._acted = found.acted
        return found

    def _effective(self, edition: Edition, now: float) -> Effective:
        settings = overrides.rules_of(self._settings(edition), self._place.group)
        lines = self._layer(edition)[0]
        return overrides.effective(
            now, settings, lines, self._deadlines, self._place, self._known(), self._edges
        )

    def _served(self) -> frozenset[str]:
        """The regions of the servers that may be sent to."""
        numbers = {entry.zone for entry in self._listings() if entry.state == "active"}
        return frozenset(name for name, number in self._names().zones.items() if number in numbers)

    def _settings(self, edition: Edition) -> Mapping[str, Any]:
        shares = edition.settings.get("shares", {})
        planned = (edition.plan or {}).get("shares", {})
        return {**edition.settings, "shares": {**planned, **shares}}

    def _known(self) -> overrides.Names:
        names, listed = self._names(), list(self._listings())
        return overrides.Names(
            regions=frozenset(names.zones),
            groups=frozenset(str(entry.cell) for entry in listed),
            servers=frozenset(entry.server for entry in listed),
            classes=frozenset(names.classes),
            tenants=frozenset(names.tenants),
        )

    def next_end(self, now: float) -> float:
        """When what holds now may hold no more, by an override's end; in seconds of the loop."""
        end = self._deadlines.next_end(now)
        return math.inf if end is None else end

    # --- for the module -------------------------------------------------------------------

    def steer(self, stance: Stance, found: Effective, now: float) -> Steer:
        """The same by the numbers that the module knows."""
        names = self._names()
        zones, tenants = names.zones, names.tenants
        held = {entry.server for entry in self._listings() if str(entry.cell) in found.held_groups}
        pins = {
            tenants[name]: zones.get(region, -1)
            for name, region in found.tenant_pins.items()
            if name in tenants
        }
        steer = Steer(
            shares=_by_zone(found.shares, zones),
            class_shares={
                names.classes[name].band: _by_zone(shares, zones)
                for name, shares in found.class_shares.items()
                if name in names.classes
            },
            tenant_shares={
                **{
                    tenants[name]: _by_zone(shares, zones)
                    for name, shares in found.tenant_shares.items()
                    if name in tenants
                },
                **{tenant: {zone: 1.0} for tenant, zone in pins.items() if zone >= 0},
            },
            held_zones=frozenset(zones[name] for name in found.held_regions if name in zones),
            held_servers=frozenset(held | found.held_servers),
            caps={
                names.classes[name].band: rate for name, rate in found.caps.items() if name in names.classes
            },
            weight=self._weight(stance.edition, now),
            look=_share((stance.edition.plan or {}).get("look")),
            pins=pins,
        )
        if not found.frozen:
            self._frozen = None
            return steer
        # Frozen is steering, and nothing else: what is held, pinned or capped goes on to change.
        self._frozen = self._frozen or steer
        return steer._replace(shares=self._frozen.shares, weight=self._frozen.weight, look=self._frozen.look)

    def _weight(self, edition: Edition, now: float) -> float:
        """How far shares count: settings' own always, a plan's less when no newer one comes."""
        if edition.plan is None or self._place.group in edition.settings.get("shares", {}):
            return 1.0
        if edition.plan_edition != self._plan[0]:
            self._plan = (edition.plan_edition, now)
        limit = edition.plan.get("age_limit_ms", PLAN_AGE_MS)
        if isinstance(limit, bool) or not isinstance(limit, int | float) or not limit > 0.0:
            return 0.0
        weight = min(1.0, max(0.0, 2.0 - (now - self._plan[1]) * 1000.0 / limit))
        return math.floor(weight / PLAN_STEP) * PLAN_STEP


def _by_zone(shares: Mapping[str, float], zones: Mapping[str, int]) -> dict[int, float]:
    return {zones[region]: share for region, share in shares.items() if region in zones}


def _share(value: Any) -> float:
    good = isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value <= 0.5
    return float(value) if good else 0.0
