"""The settings of one balancer, read once from their form on the wire."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, TypedDict

from brassfall.balancer.json_section import Section

GOAL_PARTS = ("Whole", "WorstWindow", "WorstClass", "WorstTenant", "KeptPromises")  # members that are weights
MIN_TIME_MS = 1e-3  # of an objective or a deadline


class Semantics(StrEnum):
    """Whether requests of a class may run more than once; the value is its name on the wire."""

    IDEMPOTENT = "pure"
    KEYED = "token"  # with an idempotency key
    SIDE_EFFECT = "side_effect"


class KeyScope(StrEnum):
    """Which servers know an idempotency key that one of them has seen; the value is its name on the wire."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


# The members as names of this module: a look-up on the enumeration costs more than a comparison.
IDEMPOTENT, KEYED, SIDE_EFFECT = Semantics
ALL, ZONE, CELL = KeyScope


class DiscoveryMode(StrEnum):
    """How the balancer learns of servers; the value is its name on the wire."""

    AUTOMATIC = "automatic"  # lists come without a call
    SUBSCRIBE = "subscribe"  # the balancer asks for a watch


class ReportMode(StrEnum):
    """Where servers report their load; the value is its name on the wire."""

    INLINE = "inline"  # in their answers
    ON_PROBE = "on_probe"  # in answers to health checks
    OFF = "off"


class WeightBasis(StrEnum):
    """What a priority weight is for; the value is its name on the wire."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class Profile:
    """One request class.

    Times are in milliseconds.
    """

    objective: float  # an answer within it earns its full weight
    deadline: float  # how long a client waits, retries included
    semantics: Semantics
    group: KeyScope
    key_ttl: float  # how long servers know a key, from the first send that may have run
    late_weight: float  # the part of its weight that an answer after the objective earns
    streaming: bool
    priority_weight: float  # of one request, or of one unit of work (`Settings.weight_by_work`)
    ordered: bool  # requests with one key run one at a time, in the order of their arrival


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one balancer.

    Times are in milliseconds. Classes, zones and tenants are positions in their lists: names stay outside.
    """

    profiles: tuple[Profile, ...]
    me: int  # the number of this sidecar among all
    balancers: int  # sidecars in the fleet
    locality: int  # the zone of this sidecar
    zones: int
    kinds: int  # of machines
    discovery: DiscoveryMode
    warm_keys: bool
    allowances: tuple[float, ...]  # requests per second for the whole fleet, by tenant
    over_quota_weight: float  # the part of its weight that a request over its tenant's quota has
    weight_by_work: bool
    worst_class: float  # the part of the goal that rests on the worst class
    max_attempts: int
    max_retry_after: float
    may_cancel: bool
    may_probe: bool
    parallel_tries: bool
    peer_messages: bool
    retry_after: bool
    connect_timeout: float
    idle_close: float
    prices: Mapping[str, float]
    report_how: ReportMode
    report_fields: tuple[str, ...]
    ask_within: float  # how old the list may become before a call to discovery
    slow_start_from: float  # the share of its capacity that a server has when it starts
    warm_up: float  # time until it has all of it
    fall_multiple: (
        float  # of its capacity at the time: a server that is warming up collapses if it is sent more
    )
    overload_for: float  # for this long
    release_within: float  # time limit for closing idle connections to a draining server; 0: none
    settle_after_doubt: float  # how long a key pauses after an attempt that may still be running
    tail: float  # the part of the goal that rests on missing few objectives
    weighted: bool  # True if the endpoint list gives servers weights

    def one_more_attempt(self) -> Settings:
        """Return these settings with one more attempt for each request."""
        return replace(self, max_attempts=self.max_attempts + 1)

    @classmethod
    def parse(cls, raw: Mapping[str, Any]) -> Settings:
        """Read the settings from their form on the wire.

        `ValueError` if a value is missing, has the wrong type or is out of range; it names the first one.
        """
        if not isinstance(raw, Mapping):
            message = "settings: expected an object"
            raise ValueError(message)
        root = Section(raw)
        limits, rules, report = root.section("PolicyLimits"), root.section("Rules"), root.section("Report")
        classes = root.sections("Profiles")
        if not classes:
            root.reject("Profiles", "at least one request class is needed")
        zones = max(1, len(root.items("FailureDomains")))
        return cls(
            profiles=tuple(_profile(row) for row in classes),
            me=int(root.number("Me", 0.0)),
            balancers=int(root.number("Balancers", 1.0, low=1.0)),
            locality=int(root.number("Locality", 0.0, high=zones - 1)),
            zones=zones,
            kinds=max(1, len(root.items("Kinds"))),
            discovery=root.choice("Discovery", DiscoveryMode, DiscoveryMode.AUTOMATIC),
            warm_keys=root.section("Domain").flag("WarmKeys"),
            allowances=tuple(row.number("AllowancePerS", math.inf) for row in root.sections("Tenants")),
            over_quota_weight=root.number("OverShareWorth", 1.0),
            weight_by_work=root.choice("WorthBy", WeightBasis, WeightBasis.REQUEST) is WeightBasis.WORK,
            worst_class=_goal_share(root, "WorstClass"),
            **_limits(limits),
            prices=root.section("Prices").numbers(),
            report_how=report.choice("How", ReportMode, ReportMode.OFF),
            report_fields=tuple(name for name in report.items("Fields") if isinstance(name, str)),
            **_rules(rules),
            tail=_goal_share(root, "KeptPromises"),
            weighted=raw.get("WeightKind", "off") != "off",
        )


class _Limits(TypedDict):
    """The settings in `PolicyLimits`."""

    max_attempts: int
    max_retry_after: float
    may_cancel: bool
    may_probe: bool
    parallel_tries: bool
    peer_messages: bool
    retry_after: bool
    connect_timeout: float
    idle_close: float


class _Rules(TypedDict):
    """The settings in `Rules`."""

    ask_within: float
    slow_start_from: float
    warm_up: float
    fall_multiple: float
    overload_for: float
    release_within: float
    settle_after_doubt: float


def _limits(limits: Section) -> _Limits:
    return {
        "max_attempts": int(limits.number("MaxAttempts", 1.0, low=1.0)),
        "max_retry_after": limits.number("MaxRetryAfter", 0.0),
        "may_cancel": limits.flag("MayCancel"),
        "may_probe": limits.flag("MayProbe"),
        "parallel_tries": limits.flag("ParallelTries"),
        "peer_messages": limits.flag("PeerMessages"),
        "retry_after": limits.flag("RetryAfter"),
        "connect_timeout": limits.number("ConnectTimeout", 250.0),
        "idle_close": limits.number("IdleClose", 15000.0),
    }


def _rules(rules: Section) -> _Rules:
    return {
        "ask_within": rules.number("AskWithin", 10000.0, low=1.0),
        "slow_start_from": rules.number("ColdFrom", 1.0, high=1.0),
        "warm_up": rules.number("WarmUp", 0.0),
        "fall_multiple": rules.number("FallMultiple", 1.0),
        "overload_for": rules.number("OverloadFor", 0.0),
        "release_within": rules.number("ReleaseWithin", 0.0),
        "settle_after_doubt": rules.number("SettleAfterDoubt", 0.0),
    }


def _goal_share(root: Section, part: str) -> float:
    """Return the share of the goal that rests on one of its parts; other members of it are no weights."""
    goal = root.section("Goal")
    total = sum(goal.number(name, 0.0) for name in GOAL_PARTS)
    return goal.number(part, 0.0) / total if total else 0.0


def _profile(row: Section) -> Profile:
    deadline = row.number("Deadline", low=MIN_TIME_MS)
    return Profile(
        objective=row.number("Objective", deadline, low=MIN_TIME_MS),
        deadline=deadline,
        semantics=row.choice("Semantics", Semantics),
        group=row.choice("Group", KeyScope, KeyScope.CELL),
        key_ttl=row.number("KeyTtl", 0.0),
        late_weight=row.number("LateWorth", 0.0),
        streaming=row.flag("Streaming"),
        priority_weight=row.number("Worth", 1.0),
        ordered=row.flag("InTurn"),
    )
