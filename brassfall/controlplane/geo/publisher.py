"""The publisher of steering plans: a state machine without clock or socket. Pure code.

The publisher holds a lease on one row of the store's table of duties; it takes the row only where there is
none, and the row's version is the fencing token of each publication. The lease is counted from when it was
asked for, not from the answer, so the publisher stops before it can have expired at the service. A
publication that is under way when the lease expires is rejected by the service, which knows the row's
version. Times are seconds of the publisher's own monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from brassfall.controlplane.geo.plan import AGE_LIMIT_MS, Plan

TABLE, KEY = "duties", "geo-publisher"
CLOCK_RATE = 0.99  # of this clock over the service's, at least
SAME_SHARE = 1e-3  # shares that differ by less are the same


@dataclass(frozen=True, slots=True)
class PublisherTiming:
    """Durations in seconds, and the change that is worth a revision."""

    lease_s: float = 6.0
    retry_s: float = 2.0  # until the row is asked for again, where another replica has it
    answer_s: float = 2.0  # a call that was not answered for so long has failed
    compute_s: float = 15.0  # so has a plan that was not computed
    interval_s: float = 3.0  # a publication no sooner after the one before
    min_shift: float = 0.02  # of all requests that a plan moves, to be worth a revision
    refresh_s: float = AGE_LIMIT_MS / 3000.0  # the same plan again, so that it does not age out


# --- events ------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; a few each second."""


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The row was taken or renewed by the call that went out at `asked_s`; `version` is the fencing token."""

    asked_s: float
    version: int


@dataclass(frozen=True, slots=True)
class LeaseDenied:
    """The row is another replica's, or the lease had expired at the renewal (404, 412)."""

    asked_s: float


@dataclass(frozen=True, slots=True)
class NewestRead:
    """The plan of the newest configuration revision, and that revision's number."""

    plan: Plan | None
    revision: int


@dataclass(frozen=True, slots=True)
class PlanComputed:
    """A plan that follows the revision that `ComputePlan` named; None where nothing is known to plan with."""

    plan: Plan | None
    follows: int


@dataclass(frozen=True, slots=True)
class Published:
    """The publication is durable, as this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class PublicationRejected:
    """Another revision was published meanwhile (412), or the fencing token was rejected."""


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call other than for the row had no answer, or a useless one."""


Event = (
    Tick
    | LeaseGranted
    | LeaseDenied
    | NewestRead
    | PlanComputed
    | Published
    | PublicationRejected
    | CallFailed
)

# --- actions -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class AcquireLease:
    """`PUT` the row with `If-Match: 0` and a lease; answer `LeaseGranted` or `LeaseDenied` with this time."""

    asked_s: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """`POST .../renew` with `If-Match`; the same answers."""

    asked_s: float
    version: int


@dataclass(frozen=True, slots=True)
class ReadNewest:
    """Read the newest revision; answer with `NewestRead` or `CallFailed`."""


@dataclass(frozen=True, slots=True)
class ComputePlan:
    """Estimate and plan, after this plan of this revision; answer with `PlanComputed`."""

    before: Plan | None
    follows: int


@dataclass(frozen=True, slots=True)
class PublishPlan:
    """Publish, only if the newest revision is `follows` and the row's version `fencing_token`."""

    plan: Plan
    follows: int
    fencing_token: int


Action = AcquireLease | RenewLease | ReadNewest | ComputePlan | PublishPlan


@dataclass(frozen=True, slots=True)
class State:
    """What one publisher knows."""

    timing: PublisherTiming = field(default_factory=PublisherTiming)
    version: int | None = None  # of the row, while its lease was granted
    lease_until_s: float = 0.0  # the lease lasts at least so long
    next_ask_s: float = 0.0  # for the row
    busy_until_s: float = 0.0  # when the call under way has failed
    is_current: bool = False  # whether `plan` and `revision` are the newest, as far as known
    plan: Plan | None = None
    revision: int = 0
    published_s: float = float("-inf")  # when a publication was sent last

    def holds_lease(self, now_s: float) -> bool:
        """Return whether this publisher may publish."""
        return self.version is not None and now_s < self.lease_until_s


def step(state: State, now_s: float, event: Event) -> tuple[State, list[Action]]:
    """Return the state after one event, and the actions to start."""
    match event:
        case LeaseGranted():
            return _lease_granted(state, now_s, event), []
        case LeaseDenied():
            return _lease_denied(state, now_s, event), []
        case Tick():
            return _tick(state, now_s)
    if not state.holds_lease(now_s):
        return state, []
    free = replace(state, busy_until_s=now_s)
    match event:
        case NewestRead():
            return _newest_read(free, event), []
        case PlanComputed(plan, follows):
            return _plan_computed(free, now_s, plan) if follows == state.revision else (state, [])
        case Published(revision):
            return replace(free, revision=revision), []
    return replace(free, is_current=False, busy_until_s=now_s + state.timing.retry_s), []


def _lease_granted(state: State, now_s: float, event: LeaseGranted) -> State:
    timing = state.timing
    until_s = event.asked_s + timing.lease_s * CLOCK_RATE
    if now_s >= until_s:
        return state  # the answer came after the lease's end
    renew_s = event.asked_s + timing.lease_s / 3.0
    if state.version == event.version:
        return replace(state, lease_until_s=max(until_s, state.lease_until_s), next_ask_s=renew_s)
    return replace(
        state,
        version=event.version,
        lease_until_s=until_s,
        next_ask_s=renew_s,
        is_current=False,
        busy_until_s=0.0,
    )


def _lease_denied(state: State, now_s: float, event: LeaseDenied) -> State:
    timing = state.timing
    granted_s = state.lease_until_s - timing.lease_s * CLOCK_RATE
    if state.holds_lease(now_s) and event.asked_s < granted_s:
        return state  # an old answer; a later call was granted
    return replace(state, version=None, is_current=False, busy_until_s=0.0, next_ask_s=now_s + timing.retry_s)


def _newest_read(state: State, event: NewestRead) -> State:
    own, newest = state.plan, event.plan
    # Its own plan, as read back from JSON, lacks what damps the next one.
    is_own = own is not None and newest is not None and own.as_json() == newest.as_json()
    return replace(state, is_current=True, plan=own if is_own else newest, revision=event.revision)


def _tick(state: State, now_s: float) -> tuple[State, list[Action]]:
    timing, actions = state.timing, list[Action]()
    if now_s >= state.next_ask_s:
        if state.version is None:
            actions.append(AcquireLease(now_s))
        else:
            actions.append(RenewLease(now_s, state.version))
        state = replace(state, next_ask_s=now_s + timing.answer_s)
    if not state.holds_lease(now_s) or now_s < state.busy_until_s:
        return state, actions
    if not state.is_current:
        actions.append(ReadNewest())
        state = replace(state, busy_until_s=now_s + timing.answer_s)
    elif now_s >= state.published_s + timing.interval_s:
        actions.append(ComputePlan(state.plan, state.revision))
        state = replace(state, busy_until_s=now_s + timing.compute_s)
    return state, actions


def _plan_computed(state: State, now_s: float, plan: Plan | None) -> tuple[State, list[Action]]:
    timing = state.timing
    if plan is None or not state.is_current:
        return replace(state, busy_until_s=now_s + timing.interval_s), []
    if not _should_publish(state, now_s, plan):
        return replace(state, busy_until_s=now_s + timing.interval_s / 3.0), []
    publish = PublishPlan(plan, state.revision, state.version or 0)
    return replace(state, plan=plan, published_s=now_s, busy_until_s=now_s + timing.answer_s), [publish]


def _should_publish(state: State, now_s: float, plan: Plan) -> bool:
    before, timing = state.plan, state.timing
    if before is None or before.shares.keys() != plan.shares.keys():
        return True
    is_due = now_s >= state.published_s + timing.refresh_s
    return is_due or plan.shift >= timing.min_shift or _closes_region(before, plan)


def _closes_region(before: Plan, plan: Plan) -> bool:
    """Return whether a region loses all its share of a group, which justifies a revision."""
    return any(
        share <= 0.0 < SAME_SHARE < before.shares.get(group, {}).get(region, 0.0)
        for group, row in plan.shares.items()
        for region, share in row.items()
    )
