"""Settings of one balancer, parsed from their JSON form."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any, TypedDict

from brassfall.balancer.json_section import Section

# Members of the setting `Goal` that are weights.
GOAL_PARTS = ("Whole", "WorstWindow", "WorstClass", "WorstTenant", "KeptPromises")
MIN_TIME_MS = 1e-3  # Smallest valid latency objective or deadline, in milliseconds


class Semantics(StrEnum):
    """Whether a request of a class may run more than once; the value is the member's name in the settings."""

    IDEMPOTENT = "pure"
    KEYED = "token"  # Requests carry an idempotency key, by which servers recognize repeats
    SIDE_EFFECT = "side_effect"


class KeyScope(StrEnum):
    """Which servers share the idempotency keys that they have seen; the value is the name in the settings."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


# The members are also module constants, because a look-up on the enumeration costs more than the comparison.
IDEMPOTENT, KEYED, SIDE_EFFECT = Semantics
ALL, ZONE, CELL = KeyScope


class DiscoveryMode(StrEnum):
    """How the balancer receives endpoint lists; the value is the member's name in the settings."""

    AUTOMATIC = "automatic"  # Endpoint lists are pushed to the balancer, which makes no calls for them
    SUBSCRIBE = "subscribe"  # The balancer asks discovery for a watch on the endpoint list


class ReportMode(StrEnum):
    """Where servers report their load; the value is the member's name in the settings."""

    INLINE = "inline"  # Servers report their load in their answers to requests
    ON_PROBE = "on_probe"  # Servers report their load in their answers to health checks
    OFF = "off"


class WeightBasis(StrEnum):
    """What a priority weight applies to; the value is the member's name in the settings."""

    REQUEST = "request"
    WORK = "work"


@dataclass(frozen=True, slots=True)
class Profile:
    """Settings of one request class; times are in milliseconds."""

    objective: float  # Latency objective: an answer within it counts with its full priority weight
    deadline: float  # How long a client waits for its answer, including retries
    semantics: Semantics
    key_scope: KeyScope
    key_ttl: float  # How long servers know an idempotency key, from the first attempt that may have run
    late_weight: float  # Part of the priority weight that an answer after the objective counts with
    streaming: bool
    priority_weight: float  # Weight of one request, or of one unit of work if `Settings.weight_by_work`
    ordered: bool  # True if requests with the same key run one at a time, in order of arrival


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one balancer.

    Times are in milliseconds. Request classes, zones and tenants are identified by their indexes in the lists
    of the JSON form; the balancer does not know their names.
    """

    profiles: tuple[Profile, ...]
    me: int  # Index of this sidecar among all sidecars of the fleet
    balancers: int  # Number of sidecars in the fleet
    locality: int  # Zone of this sidecar
    zones: int  # Number of zones
    kinds: int  # Number of machine kinds
    discovery: DiscoveryMode
    warm_keys: bool  # True if a request prefers the servers that have its key cached
    allowances: tuple[float, ...]  # Quota of each tenant for the whole fleet, in requests per second
    over_quota_weight: float  # Part of its priority weight that a request over its tenant's quota keeps
    weight_by_work: bool  # True if a priority weight counts per unit of work and not per request
    worst_class: float  # Share of the goal that depends on the worst request class alone
    max_attempts: int  # Maximum number of attempts of one request
    max_retry_after: float  # Longest Retry-After that a refusal may state
    may_cancel: bool  # True if attempts in flight may be cancelled
    may_probe: bool  # True if health checks of servers are allowed
    parallel_tries: bool  # True if a request may have several attempts in flight
    peer_messages: bool  # True if messages to other sidecars are allowed
    retry_after: bool  # True if a refusal may state a Retry-After above 0
    connect_timeout: float
    idle_close: float  # Time after which an idle connection is closed
    prices: Mapping[str, float]  # Price of each resource, by its name in the setting `Prices`
    report_how: ReportMode
    report_fields: tuple[str, ...]  # Names of the measures in a load report
    ask_within: float  # Age that the endpoint list may reach before discovery has to be called
    slow_start_from: float  # Share of its full capacity that a server has when it starts
    warm_up: float  # Time after its start until a server has its full capacity
    # A server that is warming up collapses if it is sent more than this multiple of its current capacity for
    # longer than `overload_for`.
    fall_multiple: float
    overload_for: float  # Time for which a server that is warming up withstands `fall_multiple`
    release_within: float  # Time limit for closing idle connections to a draining server; 0 for no limit
    settle_after_doubt: float  # Time for which a key pauses after an attempt that may still be running
    tail: float  # Share of the goal that depends on how few requests miss their latency objective
    weighted: bool  # True if the endpoint list gives servers weights

    def with_one_more_attempt(self) -> Settings:
        """Return a copy of these settings that allows one more attempt for each request."""
        return replace(self, max_attempts=self.max_attempts + 1)

    @classmethod
    def parse(cls, raw: Mapping[str, Any]) -> Settings:
        """Parse the settings from their JSON form.

        Raise `ValueError` if a value is missing, has the wrong type or is out of range; the error names the
        first such value by its path.
        """
        if not isinstance(raw, Mapping):
            message = f"settings: expected an object, not {type(raw).__name__}"
            raise ValueError(message)
        root = Section(raw)
        limits, rules, report = root.section("PolicyLimits"), root.section("Rules"), root.section("Report")
        classes = root.sections("Profiles")
        if not classes:
            root.reject("Profiles", "the list is empty, at least one request class is required")
        zones = max(1, len(root.items("FailureDomains")))
        return cls(
            profiles=tuple(_parse_profile(row) for row in classes),
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
            **_policy_limits(limits),
            prices=root.section("Prices").numbers(),
            report_how=report.choice("How", ReportMode, ReportMode.OFF),
            report_fields=tuple(name for name in report.items("Fields") if isinstance(name, str)),
            **_rules(rules),
            tail=_goal_share(root, "KeptPromises"),
            weighted=raw.get("WeightKind", "off") != "off",
        )


class _PolicyLimits(TypedDict):
    """Settings of the section `PolicyLimits`."""

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
    """Settings of the section `Rules`."""

    ask_within: float
    slow_start_from: float
    warm_up: float
    fall_multiple: float
    overload_for: float
    release_within: float
    settle_after_doubt: float


def _policy_limits(limits: Section) -> _PolicyLimits:
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
    """Return the share of the goal that depends on one of `GOAL_PARTS`, as a fraction of their sum."""
    goal = root.section("Goal")
    total = sum(goal.number(name, 0.0) for name in GOAL_PARTS)
    return goal.number(part, 0.0) / total if total else 0.0


def _parse_profile(row: Section) -> Profile:
    deadline = row.number("Deadline", low=MIN_TIME_MS)
    return Profile(
        objective=row.number("Objective", deadline, low=MIN_TIME_MS),
        deadline=deadline,
        semantics=row.choice("Semantics", Semantics),
        key_scope=row.choice("Group", KeyScope, KeyScope.CELL),
        key_ttl=row.number("KeyTtl", 0.0),
        late_weight=row.number("LateWorth", 0.0),
        streaming=row.flag("Streaming"),
        priority_weight=row.number("Worth", 1.0),
        ordered=row.flag("InTurn"),
    )
