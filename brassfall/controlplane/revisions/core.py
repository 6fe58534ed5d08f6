"""The agreement, as a state machine: `step(now, event) -> actions`, without a clock or a disk of its own.

An edition is *prepared* (durable, and told to all), then *committed* once every process that may act on the
one before has acknowledged it or has no permission any more. Nobody acts on an edition without a permission,
which a process counts on its own clock from the time of asking. Hence, with P the length of a permission and
clocks whose rates differ by at most `drift`:

- After a commit no permission for the edition before is given, so all of those end within P / (1 - drift).
- Whoever acknowledged the next one acts, for exclusive keys, on what is common to both; whoever did not has
  no permission when the commit is decided, and acts on the floor. So two values of such a key never meet.
- A second service on a copy of the disk can commit or permit only with more than half of the roster, each
  of which takes one service's word at a time; before that it waits until all that the other gave is over.

What is decided becomes durable before it has any effect: `Persist` asks for it, `Durable` says that it is.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from brassfall.controlplane.revisions.document import Edition
from brassfall.controlplane.revisions.edges import Fleet, Objection, Report

DRIFT = 0.01
CHILDREN_SPANS = 2.0  # permissions' lengths after which no child can act that has not acknowledged
COUNTED_MS = 100.0  # how long a count of the roster is good for
LOOK_MS = 0.01  # between two looks at whether all have acknowledged, for each process that may act
REQUESTS_MOST = 64
OUTCOMES_MOST = 256
LAYERS = ("settings", "plan", "overrides")


class Timing(msgspec.Struct, frozen=True):
    """Spans in ms. A permission and what clocks may differ by stay under `agree_ms`."""

    agree_ms: float = 3000.0
    drift: float = DRIFT

    @property
    def permission_ms(self) -> float:
        """How long a process may act on an edition after it asked."""
        return 0.9 * self.agree_ms

    @property
    def over_ms(self) -> float:
        """How long the service waits for a permission to be over, on its own clock."""
        return self.permission_ms * (1.0 + self.drift) / (1.0 - self.drift)

    @property
    def season_ms(self) -> float:
        """How long a process has to have taken this service's word before it counts: until it no longer
        counts at another, and what that one gave last is over."""
        return 2.0 * self.over_ms


class Halt(msgspec.Struct, frozen=True):
    """An edition that did not take effect, and why."""

    edition: Edition
    objections: dict[str, str] = {}  # by sidecar


class Kept(msgspec.Struct, frozen=True):
    """All that is durable; every change of it is one write."""

    committed: Edition = Edition()
    pending: Edition | None = None  # prepared
    waiting: Edition | None = None  # published while another is prepared: the newest of those
    halted: Halt | None = None  # the last that was objected to
    newest: int = 0
    life: int = 0  # taken above the one that the disk gave, where sidecars took the word of a later one
    requests: dict[str, int] = {}  # the editions that the last request ids were answered with


# --- events and actions -------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Publish:
    """Somebody wants an edition. Layers that are None stay as they are in the newest one."""

    ticket: int
    settings: dict[str, Any] | None = None
    plan: dict[str, Any] | None = None
    overrides: list[dict[str, Any]] | None = None
    if_match: int | None = None  # the edition that it follows
    list_index: int = 0
    forced: bool = False
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class Reported:
    """A sidecar reports, and asks for a permission; or an aggregator, for itself and all its children.

    `objections` are those of children, by sidecar; none of them costs the aggregator its permission."""

    ticket: int
    name: str
    report: Report
    objections: Mapping[str, Objection] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Durable:
    """What was asked to be made durable is."""


@dataclass(frozen=True, slots=True)
class Failed:
    """What was asked to be made durable is not: the disk refused."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class Forget:
    """An operator, or a process that ends, takes a sidecar off the roster."""

    name: str


Event = Publish | Reported | Durable | Failed | Tick | Forget


@dataclass(frozen=True, slots=True)
class Persist:
    """Make this durable; `Durable` or `Failed` has to follow, and nothing else is decided before."""

    kept: Kept


@dataclass(frozen=True, slots=True)
class Enrol:
    """Add a name to the durable roster, or take it off."""

    name: str
    on: bool = True


@dataclass(frozen=True, slots=True)
class Published:
    """The answer to `Publish`."""

    ticket: int
    edition: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The answer to `Publish` that names an edition which is not the newest."""

    ticket: int
    newest: int


@dataclass(frozen=True, slots=True)
class Granted:
    """The answer to a report; `permission_ms` of 0 is none, and `why` says why."""

    ticket: int
    edition: int
    permission_ms: float
    pending: int
    why: str = ""


@dataclass(frozen=True, slots=True)
class Told:
    """The state has changed: tell the watches."""


@dataclass(frozen=True, slots=True)
class Unwritten:
    """The answer to `Publish` where the disk refused it."""

    ticket: int


Action = Persist | Enrol | Published | Conflict | Unwritten | Granted | Told


@dataclass(slots=True)
class Agreement:
    """One life of the service's side. `started` is when it began, on the clock that `step` is given."""

    timing: Timing
    started: float
    kept: Kept
    fleet: Fleet
    objections: dict[str, Objection] = field(default_factory=dict)  # to the pending one, by sidecar
    barred: Mapping[str, str] = field(default_factory=dict)  # no permission, and why: by the reconciler
    outcomes: dict[int, str] = field(default_factory=dict)  # what became of the last editions
    _persisting: tuple[Kept, list[Published]] | None = None
    _left: dict[str, tuple[float, str]] = field(default_factory=dict)  # names whose process said it ends
    _queue: list[Publish] = field(default_factory=list)
    _looked: float = -math.inf  # for those who take only the word of a later life
    _before: dict[int, Edition] = field(default_factory=dict)  # of which permissions may run still
    _taken: int = 0  # the life that this run has taken
    _counted: tuple[float, str] = (-math.inf, "")
    _look_again: float = -math.inf
    # Since when aggregators say that no child gets a permission without having acknowledged the pending one.
    _acknowledged: dict[tuple[str, str], float] = field(default_factory=dict)
    _lonely: tuple[float, str] = (-math.inf, "")  # `_alone`, when it was looked at last

    def step(self, now: float, event: Event) -> list[Action]:
        """Take in what happened; what to do about it. `now` in monotonic ms."""
        match event:
            case Reported():
                return [*self._reported(now, event), *self._decide(now)]
            case Publish():
                self._queue.append(event)
                return self._decide(now)
            case Durable():
                return [*self._durable(), *self._decide(now)]
            case Failed():
                return self._failed()
            case Forget():
                return [*self._forget(event.name), *self._decide(now)]
            case Tick():
                return [*self._gone(now), *self._decide(now)]

    def enrolled(self, name: str) -> None:
        """A name is on the durable roster."""
        self.fleet.names.add(name)

    def current(self, now: float) -> list[Edition]:
        """All that somebody may act on by now, or soon will: in force, before that, prepared, waiting."""
        holding = {holder.edition for holder in self.fleet.holding(now).values()}
        self._before = {number: edition for number, edition in self._before.items() if number in holding}
        next_ones = (self.kept.pending, self.kept.waiting)
        return [*self._before.values(), self.kept.committed, *(e for e in next_ones if e is not None)]

    # --- who may permit ------------------------------------------------------------------

    def may_permit(self, now: float) -> str:
        """Why no permission can be given at all just now; empty where it can."""
        if now - self._counted[0] > COUNTED_MS:
            self._counted = (now, self._count(now))
        return self._counted[1]

    def _count(self, now: float) -> str:
        ahead, known = self.fleet.ahead(self.kept.newest), len(self.fleet.edges)
        if 2 * ahead > known:
            return f"{ahead} of {known} sidecars hold later editions: this disk was lost, or is a copy"
        return self._alone(now)

    def _alone(self, now: float) -> str:
        """Why this service can't be sure to be the only one that permits; empty where it can."""
        if now - self.started < self.timing.over_ms:
            return "what an earlier life of the service permitted may not be over"
        season, fresh = self.timing.season_ms + COUNTED_MS, self.timing.over_ms
        counted, known = self.fleet.counted(now, season, fresh), len(self.fleet.names)
        if known and 2 * counted <= known:
            return f"only {counted} of {known} sidecars have taken this service's word for long enough"
        return ""

    # --- reports ------------------------------------------------------------------------

    def _reported(self, now: float, event: Reported) -> list[Action]:
        name, report = event.name, event.report
        if report.leaving:
            # Its name stays for a while: most often another process of it follows.
            self.fleet.release(name, report.life)
            if name in self.fleet.names or name in self.fleet.edges:  # else there is nothing to take off
                self._left[name] = (now, report.life)
            return [self._answer(event, "it is leaving")]
        if not self.fleet.heard(now, name, report, self.timing.over_ms):
            return [self._answer(event, "a later report of this process came before")]
        own = {name: report.objection} if report.objection is not None else {}
        for who, objection in (own | dict(event.objections)).items():
            if self.kept.pending is not None and objection.edition == self.kept.pending.number:
                self.objections[who] = objection
        why = self._refusal(now, event)
        if not why:
            until = now + self.timing.over_ms
            self.fleet.grant(name, report, self.kept.committed.number, until)
        return [*self._enrol(now, name), self._answer(event, why)]

    def _enrol(self, now: float, name: str) -> list[Action]:
        """Once something is committed, only the one service that permits takes names onto the roster: a
        majority of newcomers, who know another one alone, is none. Nor does a crowd of them cost it its
        majority: each counts from the moment at which it is counted in."""
        names = self.fleet.names
        if name in names:
            return []
        since = self.fleet.edges[name].allied_ms
        old = since is not None and now - since >= self.timing.season_ms
        first = not names or self.kept.committed.number == 0
        return [Enrol(name)] if first or (old and not self.may_permit(now)) else []

    def _answer(self, event: Reported, why: str) -> Granted:
        pending = self.kept.pending.number if self.kept.pending is not None else 0
        length = 0.0 if why else self.timing.permission_ms
        return Granted(event.ticket, self.kept.committed.number, length, pending, why)

    def _refusal(self, now: float, event: Reported) -> str:
        """Why this one gets no permission; empty where it does."""
        report, pending = event.report, self.kept.pending
        why = self.may_permit(now) or self.barred.get(event.name, "")
        if why:
            return why
        objection = report.objection
        if objection is not None and objection.edition == self.kept.committed.number:
            return f"it objects to this edition: {objection.reason}"
        # What it had ends by itself: so nobody holds up an edition for longer than that lasts.
        acknowledged = report.prepared if report.acknowledged is None else report.acknowledged
        if pending is None or self.objections:
            return ""
        if acknowledged != pending.number:
            return "it has not acknowledged the edition that is prepared"
        if report.prepared == pending.number:
            return ""
        since = self._acknowledged.setdefault((event.name, report.life), now)
        if now - since > CHILDREN_SPANS * self.timing.over_ms:
            return "children of it act on without having acknowledged, for longer than what it granted lasts"
        return ""

    def _gone(self, now: float) -> list[Action]:
        """One name off the roster, whose process has left and was followed by none. As with those that come,
        only the service that permits decides it: else it would make itself a majority of who is left."""
        for name, (at, life) in list(self._left.items()):
            edge = self.fleet.edges.get(name)
            if edge is not None and edge.report.life != life:
                del self._left[name]
            elif now - at >= self.timing.season_ms and not self.may_permit(now):
                del self._left[name]
                return self._forget(name)
        return []

    def _forget(self, name: str) -> list[Action]:
        known = name in self.fleet.names
        self.fleet.names.discard(name)
        self.fleet.edges.pop(name, None)
        return [Enrol(name, False)] if known else []

    # --- decisions ------------------------------------------------------------------------

    def _decide(self, now: float) -> list[Action]:
        """The next change of what is durable, if one is due and none is under way."""
        if self._persisting is not None:
            return []
        actions: list[Action] = []
        kept, answers = self.kept, list[Published]()
        queue, self._queue = self._queue, []
        for draft in queue:
            first = kept.requests.get(draft.request_id) if draft.request_id else None
            if first is not None:
                answers.append(Published(draft.ticket, first))
            elif draft.if_match is not None and draft.if_match != kept.newest:
                actions.append(Conflict(draft.ticket, kept.newest))
            else:
                kept = self._published(kept, draft)
                answers.append(Published(draft.ticket, kept.newest))
        if kept is self.kept:
            actions += answers
            answers = []
            kept = self._moved(now, self._raised(now, kept))
        if kept is not self.kept:
            self._persisting = (kept, answers)
            actions.append(Persist(kept))
        return actions

    def _published(self, kept: Kept, draft: Publish) -> Kept:
        """With a new edition: prepared, or waiting until the one that is prepared is decided."""
        base = kept.waiting or kept.pending or kept.committed
        given = {name: getattr(draft, name) for name in LAYERS if getattr(draft, name) is not None}
        # Numbers start above all of earlier lives: one told by a disk that was lost is used for no other.
        number = max(kept.newest + 1, self.fleet.life)
        edition = msgspec.structs.replace(
            base,
            number=number,
            life=self.fleet.life,
            follows=kept.newest,
            list_index=draft.list_index,
            forced=draft.forced,
            layers=sorted({*given, *(kept.waiting.layers if kept.waiting is not None else ())}),
            plan_edition=number if "plan" in given else base.plan_edition,
            **given,
        )
        requests = {**kept.requests, draft.request_id: edition.number} if draft.request_id else kept.requests
        if len(requests) > REQUESTS_MOST:
            del requests[next(iter(requests))]
        kept = msgspec.structs.replace(kept, newest=edition.number, requests=requests)
        if kept.pending is None:
            return msgspec.structs.replace(kept, pending=edition)
        if kept.waiting is not None:
            self._note(kept.waiting.number, f"superseded by edition {edition.number}")
        return msgspec.structs.replace(kept, waiting=edition)

    def _raised(self, now: float, kept: Kept) -> Kept:
        """With a life of its own above those whose word is taken, where that is due.

        A disk that was lost, or a second service whose clock was ahead, leave sidecars that take no word of
        this one, for as long as clocks differ. Where more than half have asked here for a whole season and
        could ask nobody else, there is nobody else with a majority; this one then waits for its own."""
        life, span = self.fleet.life, self.timing.season_ms
        # The low bits of a life are drawn: so two services on one copy do not raise it to the same number.
        more = 1 + life % 2**20
        beyond = 0
        if now - self._looked > COUNTED_MS:  # a look costs as much as there are sidecars
            self._looked, beyond = now, self.fleet.outlived(now, span, self.timing.over_ms)
        if beyond:
            return _anew(kept, max(beyond, kept.life) + more)
        # What an earlier run took is its own, and never this one's.
        earlier = kept.life >= life and kept.life != self._taken
        return msgspec.structs.replace(kept, life=kept.life + more) if earlier else kept

    def _moved(self, now: float, kept: Kept) -> Kept:
        """The prepared edition halted or committed, where that is due; the next one takes its place."""
        pending, waiting = kept.pending, kept.waiting
        if pending is None:
            return kept
        if self.objections:
            if now - self._lonely[0] > COUNTED_MS:  # a look costs as much as there are sidecars
                self._lonely = (now, self._alone(now))
            if self._lonely[1]:
                return kept  # another service may be the one that decides, and none that objects be there
            reasons = {name: objection.reason for name, objection in sorted(self.objections.items())}
            if waiting is not None:
                # What it took over from the one that is halted, it takes from the one that is in force.
                old = {name: getattr(kept.committed, name) for name in LAYERS if name not in waiting.layers}
                if "plan" in old:
                    old["plan_edition"] = kept.committed.plan_edition
                waiting = msgspec.structs.replace(waiting, **old)
            halted = Halt(pending, reasons)
            return msgspec.structs.replace(kept, pending=waiting, waiting=None, halted=halted)
        if self._agreed(now, pending.number):
            return msgspec.structs.replace(kept, committed=pending, pending=waiting, waiting=None)
        return kept

    def _agreed(self, now: float, number: int) -> bool:
        """Whether everybody who may act on the edition before has acknowledged this one."""
        if now < self._look_again:
            return False
        # A look costs as much as there are sidecars: many that report at once are looked at together.
        self._look_again = now + LOOK_MS * len(self.fleet.edges)
        if self._alone(now):
            return False
        holding = self.fleet.holding(now)
        return all(holder.prepared == number for holder in holding.values())

    def _durable(self) -> list[Action]:
        if self._persisting is None:
            return []
        (kept, answers), self._persisting = self._persisting, None
        before, self.kept = self.kept, kept
        if kept.life > before.life:
            self.fleet.life = self._taken = kept.life
        if kept.pending != before.pending:
            self.objections, self._acknowledged = {}, {}
        if kept.committed.number != before.committed.number:
            self._note(kept.committed.number, "committed")
            self._before[before.committed.number] = before.committed
        if kept.halted is not None and kept.halted != before.halted:
            self._note(kept.halted.edition.number, "halted")
        self._counted = (-math.inf, "")
        return [*answers, Told()]

    def _failed(self) -> list[Action]:
        """The disk refused: nothing has happened, and whoever published hears it."""
        (_, answers), self._persisting = self._persisting or (self.kept, []), None
        return [Unwritten(answer.ticket) for answer in answers]

    def _note(self, edition: int, outcome: str) -> None:
        self.outcomes[edition] = outcome
        if len(self.outcomes) > OUTCOMES_MOST:
            del self.outcomes[next(iter(self.outcomes))]


def _anew(kept: Kept, life: int) -> Kept:
    """All that is known, under a life and a number above those that sidecars have acted on: they take none
    that is lower for news."""
    newest = kept.waiting or kept.pending or kept.committed
    kept = msgspec.structs.replace(kept, life=life)
    if not newest.number:
        return kept
    again = msgspec.structs.replace(newest, number=life, life=life, follows=kept.newest)
    return msgspec.structs.replace(kept, pending=again, waiting=None, newest=life)
