"""The coordinator of the revisions: `step(now, event) -> actions`, without a clock or a disk of its own.

A revision is *prepared* (durable, and sent to all), then *committed* once every process that may act on the
one before has acknowledged it or has no lease any more. Nobody acts on a revision without a lease, which a
process counts on its own clock from when it asked. Hence, with P the length of a lease and clocks whose rates
are within `drift` of true time:

- After a commit no lease on the revision before is granted, so all of those end within P / (1 - drift).
- Whoever acknowledged the next revision acts, for exclusive keys, on what is common to both; whoever did not
  has no lease when the commit is decided, and acts on the fallback configuration. So two values of such a key
  never meet.
- A second service on a copy of the disk can commit or grant only with more than half of the members, each of
  which follows one service at a time; before that it waits until all that the other granted is over.

What is decided becomes durable before it has any effect: `Persist` asks for it, `Persisted` says that it is.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from brassfall.controlplane.revisions import transitions
from brassfall.controlplane.revisions.authority import COUNTED_MS, GrantAuthority
from brassfall.controlplane.revisions.document import Revision
from brassfall.controlplane.revisions.leases import NodeLeases, ProcessKey
from brassfall.controlplane.revisions.membership import Membership
from brassfall.controlplane.revisions.messages import (
    Action,
    Event,
    LeaseAnswer,
    NotifyWatches,
    Persist,
    Persisted,
    PersistFailed,
    PersistMember,
    Publish,
    PublishConflict,
    Published,
    PublishFailed,
    RemoveMember,
    ReportReceived,
    Tick,
)
from brassfall.controlplane.revisions.reports import Objection
from brassfall.controlplane.revisions.state import DurableState
from brassfall.controlplane.revisions.timing import LeaseTiming

CHILDREN_SPANS = 2.0  # lease expiry bounds after which no child can act that has not acknowledged
CHECK_MS = 0.01  # for each node, between two checks whether all have acknowledged
OUTCOMES_MOST = 256
EPOCH_LOW_BITS = 2**20

COMMITTED, HALTED = "committed", "halted"
LEAVING = "it is leaving"
OVERTAKEN = "a later report of this process came before"
NOT_ACKNOWLEDGED = "it has not acknowledged the edition that is prepared"
CHILDREN_LAG = "children of it act on without having acknowledged, for longer than what it granted lasts"


@dataclass(frozen=True, slots=True)
class _Departure:
    """A process that said it ends."""

    at_ms: float
    process_id: str


@dataclass(frozen=True, slots=True)
class _Write:
    """A state that is being made durable, and the answers that go out once it is."""

    state: DurableState
    answers: list[Published]


class RevisionCoordinator:
    """One epoch of the service's side of the revisions.

    `state` is what is durable, `membership` the nodes, `leases` and `authority` are new where none are given.
    `blocked` may be changed by the host at any time: names that get no lease, and why."""

    def __init__(
        self,
        timing: LeaseTiming,
        started_ms: float,
        state: DurableState,
        membership: Membership,
        *,
        leases: NodeLeases | None = None,
        authority: GrantAuthority | None = None,
        blocked: Mapping[str, str] | None = None,
    ) -> None:
        """`started_ms` is when the epoch began, on the clock that `step` is given."""
        self.timing = timing
        self.state = state
        self.membership = membership
        self.leases = leases if leases is not None else NodeLeases()
        self.authority = authority or GrantAuthority(timing, started_ms, membership)
        self.blocked: Mapping[str, str] = blocked if blocked is not None else {}
        self.objections: dict[str, Objection] = {}  # to the pending revision, by sidecar
        self.outcomes: dict[int, str] = {}  # what became of the last revisions, by number
        self._drafts: list[Publish] = []
        self._write: _Write | None = None
        self._departures: dict[str, _Departure] = {}
        # Revisions that were in force before, while leases on them may run.
        self._superseded: dict[int, Revision] = {}
        # Since when aggregators say that no child gets a lease without having acknowledged the pending one.
        self._acknowledged_since: dict[ProcessKey, float] = {}
        self._epoch_checked_ms = -math.inf
        self._next_check_ms = -math.inf  # whether all have acknowledged
        self._own_epoch = 0  # the raised epoch that this run has taken; 0 before

    def step(self, now: float, event: Event) -> list[Action]:
        """Take in an event; returns what the host has to do, in this order. `now` is monotonic ms."""
        match event:
            case ReportReceived():
                return [*self._receive_report(now, event), *self._decide(now)]
            case Publish():
                self._drafts.append(event)
                return self._decide(now)
            case Persisted():
                return [*self._persisted(), *self._decide(now)]
            case PersistFailed():
                return self._persist_failed()
            case RemoveMember():
                return [*self._remove(event.name), *self._decide(now)]
            case Tick():
                return [*self._remove_departed(now), *self._decide(now)]

    # --- views ---------------------------------------------------------------------------

    @property
    def epoch(self) -> int:
        """The epoch that answers and lines name."""
        return self.membership.epoch

    def grant_refusal(self, now: float) -> str:
        """Why no lease can be granted to anybody just now; empty where one can."""
        return self.authority.refusal(now, self.state)

    @property
    def departing(self) -> list[str]:
        """Names whose process said that it ends, and that are removed unless another process follows."""
        return list(self._departures)

    def member_added(self, name: str) -> None:
        """A name that `PersistMember` asked for is durable."""
        self.membership.names.add(name)

    def actable_revisions(self, now: float) -> list[Revision]:
        """All revisions that somebody may act on now, or soon: those before the one in force on which leases
        may run, the one in force, the pending and the waiting one."""
        leased = {lease.revision for lease in self.leases.active(now).values()}
        self._superseded = {
            number: revision for number, revision in self._superseded.items() if number in leased
        }
        upcoming = (self.state.pending, self.state.waiting)
        return [
            *self._superseded.values(),
            self.state.committed,
            *(revision for revision in upcoming if revision is not None),
        ]

    # --- reports -------------------------------------------------------------------------

    def _receive_report(self, now: float, event: ReportReceived) -> list[Action]:
        name, report = event.name, event.report
        if report.leaving:
            self._note_departure(now, event)
            return [self._answer(event, LEAVING)]
        if not self.membership.receive_report(now, name, report, self.timing.expiry_bound_ms):
            return [self._answer(event, OVERTAKEN)]
        self._note_objections(event)
        why = self._refusal(now, event)
        if not why:
            until_ms = now + self.timing.expiry_bound_ms
            self.leases.grant(name, report, self.state.committed.number, until_ms)
        return [*self._enroll(now, name), self._answer(event, why)]

    def _note_departure(self, now: float, event: ReportReceived) -> None:
        """Release the lease. The name stays a member for a while: most often another process follows."""
        name, process_id = event.name, event.report.process_id
        self.leases.release(name, process_id)
        if name in self.membership.names or name in self.membership.nodes:
            self._departures[name] = _Departure(now, process_id)

    def _note_objections(self, event: ReportReceived) -> None:
        own = {event.name: event.report.objection} if event.report.objection is not None else {}
        for name, objection in (own | dict(event.objections)).items():
            if self.state.pending is not None and objection.revision == self.state.pending.number:
                self.objections[name] = objection

    def _answer(self, event: ReportReceived, why: str) -> LeaseAnswer:
        lease_ms = 0.0 if why else self.timing.lease_ms
        state = self.state
        return LeaseAnswer(event.ticket, state.committed.number, lease_ms, state.pending_number, why)

    def _refusal(self, now: float, event: ReportReceived) -> str:
        """Why this node gets no lease; empty where it does."""
        why = self.grant_refusal(now) or self.blocked.get(event.name, "")
        if why:
            return why
        objection = event.report.objection
        if objection is not None and objection.revision == self.state.committed.number:
            return f"it objects to this edition: {objection.reason}"
        # A revision that is objected to will be halted: nobody needs to acknowledge it.
        if self.state.pending is None or self.objections:
            return ""
        return self._acknowledgement_refusal(now, event, self.state.pending.number)

    def _acknowledgement_refusal(self, now: float, event: ReportReceived, pending: int) -> str:
        """Why what this node has acknowledged is too little for a lease. The lease that it has ends by
        itself, so nobody holds a revision up for longer than that lasts."""
        report = event.report
        acknowledged = report.prepared if report.acknowledged is None else report.acknowledged
        if acknowledged != pending:
            return NOT_ACKNOWLEDGED
        if report.prepared == pending:
            return ""
        since = self._acknowledged_since.setdefault(ProcessKey(event.name, report.process_id), now)
        return CHILDREN_LAG if now - since > CHILDREN_SPANS * self.timing.expiry_bound_ms else ""

    # --- members -------------------------------------------------------------------------

    def _enroll(self, now: float, name: str) -> list[Action]:
        """Make a node a member, where that is due.

        Once something is committed, only the one service that grants takes members on: newcomers who know
        another service alone are no majority. Each has to have followed for the epoch wait, so that many
        newcomers at once do not cost the service its majority."""
        names = self.membership.names
        if name in names:
            return []
        since = self.membership.nodes[name].following_since_ms
        due = since is not None and now - since >= self.timing.epoch_wait_ms
        first = not names or self.state.committed.number == 0
        return [PersistMember(name)] if first or (due and not self.grant_refusal(now)) else []

    def _remove_departed(self, now: float) -> list[Action]:
        """Remove one member whose process has left and was followed by none.

        Only the service that grants decides it: another would make itself a majority of who is left."""
        for name, departure in list(self._departures.items()):
            node = self.membership.nodes.get(name)
            if node is not None and node.report.process_id != departure.process_id:
                del self._departures[name]
            elif now - departure.at_ms >= self.timing.epoch_wait_ms and not self.grant_refusal(now):
                del self._departures[name]
                return self._remove(name)
        return []

    def _remove(self, name: str) -> list[Action]:
        member = name in self.membership.names
        self.membership.names.discard(name)
        self.membership.nodes.pop(name, None)
        return [PersistMember(name, member=False)] if member else []

    # --- decisions -----------------------------------------------------------------------

    def _decide(self, now: float) -> list[Action]:
        """Start the next write, if one is due and none is under way."""
        if self._write is not None:
            return []
        actions, answers, state = self._take_drafts()
        if state is self.state:
            actions += answers
            answers = []
            state = self._advance(now, self._with_valid_epoch(now, state))
        if state is not self.state:
            self._write = _Write(state, answers)
            actions.append(Persist(state))
        return actions

    def _take_drafts(self) -> tuple[list[Action], list[Published], DurableState]:
        """Add all drafts to the state: refusals, which need no write, answers, and the state with them."""
        refusals: list[Action] = []
        answers: list[Published] = []
        state = self.state
        drafts, self._drafts = self._drafts, []
        for draft in drafts:
            repeated = state.requests.get(draft.request_id) if draft.request_id else None
            if repeated is not None:
                answers.append(Published(draft.ticket, repeated))
            elif draft.if_match is not None and draft.if_match != state.newest:
                refusals.append(PublishConflict(draft.ticket, state.newest))
            else:
                state = self._with_draft(state, draft)
                answers.append(Published(draft.ticket, state.newest))
        return refusals, answers, state

    def _with_draft(self, state: DurableState, draft: Publish) -> DurableState:
        superseded = state.waiting if state.pending is not None else None
        state = transitions.with_draft(state, draft, self.epoch)
        if superseded is not None:
            self._note_outcome(superseded.number, f"superseded by edition {state.newest}")
        return state

    def _with_valid_epoch(self, now: float, state: DurableState) -> DurableState:
        """Take an epoch above those that sidecars follow, where that is due.

        A lost disk, or a second service whose clock was ahead, leaves sidecars that follow a later epoch, for
        as long as clocks differ. Where more than half have asked here for a whole epoch wait and could ask
        nobody else, no other service has a majority; this one then waits for its own."""
        # The low bits of an epoch are random: two services on one copy do not raise it to the same number.
        step = 1 + self.epoch % EPOCH_LOW_BITS
        later = self._later_epoch(now)
        if later:
            return transitions.with_later_epoch(state, max(later, state.epoch) + step)
        # What an earlier run took is that run's, and never this one's.
        taken_before = state.epoch >= self.epoch and state.epoch != self._own_epoch
        return msgspec.structs.replace(state, epoch=state.epoch + step) if taken_before else state

    def _later_epoch(self, now: float) -> int:
        if now - self._epoch_checked_ms <= COUNTED_MS:
            return 0
        self._epoch_checked_ms = now
        timing = self.timing
        return self.membership.later_epoch_of_majority(now, timing.epoch_wait_ms, timing.expiry_bound_ms)

    def _advance(self, now: float, state: DurableState) -> DurableState:
        """Halt or commit the pending revision, where that is due."""
        if state.pending is None:
            return state
        if self.objections:
            if self.authority.recent_rival(now):
                return state  # another service may be the one that decides, and nobody objects there
            reasons = {name: objection.reason for name, objection in sorted(self.objections.items())}
            return transitions.with_pending_halted(state, reasons)
        if self._all_acknowledged(now, state.pending.number):
            return transitions.with_pending_committed(state)
        return state

    def _all_acknowledged(self, now: float, number: int) -> bool:
        """Whether everybody who may act on a revision before has acknowledged this one."""
        if now < self._next_check_ms:
            return False
        # A check costs as much as there are nodes: reports that come close together are checked together.
        self._next_check_ms = now + CHECK_MS * len(self.membership.nodes)
        if self.authority.possible_rival(now):
            return False
        return all(lease.prepared == number for lease in self.leases.active(now).values())

    # --- durability ----------------------------------------------------------------------

    def _persisted(self) -> list[Action]:
        if self._write is None:
            return []
        write, self._write = self._write, None
        before, self.state = self.state, write.state
        state = self.state
        if state.epoch > before.epoch:
            self.membership.epoch = self._own_epoch = state.epoch
        if state.pending != before.pending:
            self.objections, self._acknowledged_since = {}, {}
        if state.committed.number != before.committed.number:
            self._note_outcome(state.committed.number, COMMITTED)
            self._superseded[before.committed.number] = before.committed
        if state.halted is not None and state.halted != before.halted:
            self._note_outcome(state.halted.revision.number, HALTED)
        self.authority.recount()
        return [*write.answers, NotifyWatches()]

    def _persist_failed(self) -> list[Action]:
        """Nothing has happened; publishers get that for an answer."""
        write, self._write = self._write, None
        answers = write.answers if write is not None else []
        return [PublishFailed(answer.ticket) for answer in answers]

    def _note_outcome(self, number: int, outcome: str) -> None:
        self.outcomes[number] = outcome
        if len(self.outcomes) > OUTCOMES_MOST:
            del self.outcomes[next(iter(self.outcomes))]
