"""Who publishes steering plans, and when: a state machine without clock or socket. Pure code.

One row of the table of duties, taken with a lease only where there is none; its version is the fence that
each publication carries. The holder counts its lease from when it asked, not from the answer, and stops
before it can have ended at the service. A plan that is under way when the lease ends is for the service to
refuse: it knows the row's version. Times are seconds of the holder's own monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from brassfall.controlplane.geo.plan import AGE_LIMIT_MS, Plan

TABLE, KEY = "duties", "geo-publisher"
CLOCKS_DIFFER = 0.99  # in their rate, at most by this
NOTICE = 1e-3  # shares that differ by less are the same


@dataclass(frozen=True, slots=True)
class Terms:
    """How a publisher goes about it."""

    lease_s: float = 6.0
    retry_s: float = 2.0  # until the row is asked for again, where another has it
    answer_s: float = 2.0  # a call that was not answered so long has failed
    make_s: float = 15.0  # so has a plan that was not made
    every_s: float = 3.0  # a publication no sooner after the one before
    change: float = 0.02  # of all requests that a plan moves, to be worth an edition
    refresh_s: float = AGE_LIMIT_MS / 3000.0  # the same plan again, so that it does not age out


# --- events ------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tick:
    """Time went on; a few a second."""


@dataclass(frozen=True, slots=True)
class Granted:
    """The row was taken or renewed by the call that went out at `asked_s`; `version` is the fence."""

    asked_s: float
    version: int


@dataclass(frozen=True, slots=True)
class Denied:
    """The row is another's, or the lease was gone at the renewal (404, 412)."""

    asked_s: float


@dataclass(frozen=True, slots=True)
class Read:
    """The plan that is in the newest edition, and that edition's number."""

    plan: Plan | None
    edition: int


@dataclass(frozen=True, slots=True)
class Made:
    """A plan that follows the edition that `Make` named; None where nothing is known to plan with."""

    plan: Plan | None
    follows: int


@dataclass(frozen=True, slots=True)
class Accepted:
    """The publication is durable, as this edition."""

    edition: int


@dataclass(frozen=True, slots=True)
class Overtaken:
    """Somebody published another edition meanwhile (412), or the fence was refused."""


@dataclass(frozen=True, slots=True)
class Failed:
    """A call other than for the row had no answer, or a useless one."""


Event = Tick | Granted | Denied | Read | Made | Accepted | Overtaken | Failed

# --- actions -----------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Take:
    """`PUT` the row with `If-Match: 0` and a lease; answer `Granted` or `Denied` with this `asked_s`."""

    asked_s: float


@dataclass(frozen=True, slots=True)
class Renew:
    """`POST .../renew` with `If-Match`; the same answers."""

    asked_s: float
    version: int


@dataclass(frozen=True, slots=True)
class ReadNewest:
    """Read the newest edition; answer with `Read` or `Failed`."""


@dataclass(frozen=True, slots=True)
class Make:
    """Estimate and plan, after this plan of this edition; answer with `Made`."""

    before: Plan | None
    follows: int


@dataclass(frozen=True, slots=True)
class Publish:
    """Publish, only if the newest edition is `follows` and the row's version `fence`."""

    plan: Plan
    follows: int
    fence: int


Action = Take | Renew | ReadNewest | Make | Publish


@dataclass(frozen=True, slots=True)
class State:
    """What one publisher knows. `busy_until_s` is when the call under way has failed."""

    terms: Terms = field(default_factory=Terms)
    version: int | None = None  # of the row, while held
    until_s: float = 0.0  # the lease lasts at least so long
    ask_at_s: float = 0.0  # for the row, next
    busy_until_s: float = 0.0
    known: bool = False  # whether `plan` and `edition` are the newest, as far as known
    plan: Plan | None = None
    edition: int = 0
    published_s: float = float("-inf")  # when it last sent one off

    def holds(self, now_s: float) -> bool:
        """May it publish at all?"""
        return self.version is not None and now_s < self.until_s


def step(state: State, now_s: float, event: Event) -> tuple[State, list[Action]]:
    """One event; the new state, and what to do."""
    if isinstance(event, Granted | Denied):
        return _row(state, now_s, event), []
    if isinstance(event, Tick):
        return _tick(state, now_s)
    if not state.holds(now_s):
        return state, []
    free = replace(state, busy_until_s=now_s)
    if isinstance(event, Read):
        own, newest = state.plan, event.plan
        same = own is not None and newest is not None and own.as_json() == newest.as_json()
        # Its own plan, come back as JSON, has lost what damps the next one.
        return replace(free, known=True, plan=own if same else newest, edition=event.edition), []
    if isinstance(event, Made):
        return _made(free, now_s, event.plan) if event.follows == state.edition else (state, [])
    if isinstance(event, Accepted):
        return replace(free, edition=event.edition), []
    return replace(free, known=False, busy_until_s=now_s + state.terms.retry_s), []


def _row(state: State, now_s: float, event: Granted | Denied) -> State:
    terms = state.terms
    if isinstance(event, Denied):
        if state.holds(now_s) and event.asked_s < state.until_s - terms.lease_s * CLOCKS_DIFFER:
            return state  # an old answer; a later call was granted
        return replace(state, version=None, known=False, busy_until_s=0.0, ask_at_s=now_s + terms.retry_s)
    until = event.asked_s + terms.lease_s * CLOCKS_DIFFER
    if now_s >= until:
        return state  # it came too late to be worth anything
    again = event.asked_s + terms.lease_s / 3.0
    if state.version == event.version:
        return replace(state, until_s=max(until, state.until_s), ask_at_s=again)
    return replace(state, version=event.version, until_s=until, ask_at_s=again, known=False, busy_until_s=0.0)


def _tick(state: State, now_s: float) -> tuple[State, list[Action]]:
    terms, actions = state.terms, list[Action]()
    if now_s >= state.ask_at_s:
        actions.append(Take(now_s) if state.version is None else Renew(now_s, state.version))
        state = replace(state, ask_at_s=now_s + terms.answer_s)
    if not state.holds(now_s) or now_s < state.busy_until_s:
        return state, actions
    if not state.known:
        actions.append(ReadNewest())
        state = replace(state, busy_until_s=now_s + terms.answer_s)
    elif now_s >= state.published_s + terms.every_s:
        actions.append(Make(state.plan, state.edition))
        state = replace(state, busy_until_s=now_s + terms.make_s)
    return state, actions


def _made(state: State, now_s: float, made: Plan | None) -> tuple[State, list[Action]]:
    terms = state.terms
    if made is None or not state.known:
        return replace(state, busy_until_s=now_s + terms.every_s), []
    first = state.plan is None or state.plan.shares.keys() != made.shares.keys()
    due = now_s >= state.published_s + terms.refresh_s
    if not (due or first or made.moved >= terms.change or _closes(state.plan, made)):
        return replace(state, busy_until_s=now_s + terms.every_s / 3.0), []
    publish = Publish(made, state.edition, state.version or 0)
    return replace(state, plan=made, published_s=now_s, busy_until_s=now_s + terms.answer_s), [publish]


def _closes(before: Plan | None, made: Plan) -> bool:
    """Does a region lose all that it had of a group? That is worth an edition, however small."""
    old = before.shares if before else {}
    return any(
        share <= 0.0 < NOTICE < old.get(group, {}).get(region, 0.0)
        for group, row in made.shares.items()
        for region, share in row.items()
    )
