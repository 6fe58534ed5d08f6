"""The coordinator of configuration revisions: `step(now, event) -> actions`, without a clock or a disk.

A revision is first *prepared*: it is durable and sent to all nodes. It is *committed* once each process that
may act on the previous revision has acknowledged the new one or has no lease any more. No process acts on a
revision without a lease, which it counts on its own clock from when it sent its report. With P the length of
a lease, and clocks whose rates are within `drift` of true time, this follows:

- After a commit no lease on the previous revision is granted, so all such leases end within P / (1 - drift).
- A process that has acknowledged the next revision acts, for exclusive keys, only on what both revisions have
  in common. A process that has not acknowledged it has no lease when the commit is decided, and acts on the
  fallback configuration. So no two processes act on two values of an exclusive key.
- A second service on a copy of the disk can commit or grant only with more than half of the members, each of
  which follows one service at a time. It first waits until all leases that the other service granted have
  ended.

A decision is made durable before it has any effect: the action `Persist` requests the write, and the event
`Persisted` confirms it.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from brassfall.controlplane.revisions import transitions
from brassfall.controlplane.revisions.authority import COUNT_VALID_MS, GrantAuthority
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
from brassfall.controlplane.revisions.refusals import LeaseRefusal, RefusalReason
from brassfall.controlplane.revisions.reports import Objection
from brassfall.controlplane.revisions.state import DurableState, RevisionOutcome, RevisionState
from brassfall.controlplane.revisions.timing import LeaseTiming

# Time from the acknowledgement of a revision by an aggregator until each of its children has acknowledged the
# revision or has no lease any more, as a multiple of `LeaseTiming.expiry_bound_ms`.
CHILDREN_SPANS = 2.0
# Least time between two checks whether all processes have acknowledged, in ms for each node of the fleet.
CHECK_INTERVAL_MS = 0.01
MAX_OUTCOMES = 256  # Number of decided revisions whose outcome is kept
EPOCH_STEPS = 2**20  # Largest number by which one step raises the epoch


@dataclass(frozen=True, slots=True)
class _Departure:
    """The last report of a process that is leaving: when it arrived, and the id of the process."""

    at_ms: float
    process_id: str


@dataclass(frozen=True, slots=True)
class _Write:
    """A state that is being made durable, and the answers that are sent once it is durable."""

    state: DurableState
    answers: list[Published]


class RevisionCoordinator:
    """The state machine of one epoch of the service.

    `state` is the durable state. `blocked` maps the names of nodes that get no lease to the reasons; the host
    of the coordinator may change it at any time.
    """

    def __init__(  # noqa: PLR0913 - the parts that the coordinator joins, most of them by keyword
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
        """Begin an epoch at `started_ms`, in ms of the monotonic clock that `step` is given."""
        self.timing = timing
        self.state = state
        self.membership = membership
        self.leases = leases if leases is not None else NodeLeases()
        self.authority = authority or GrantAuthority(timing, started_ms, membership)
        self.blocked: Mapping[str, str] = blocked if blocked is not None else {}
        self.objections: dict[str, Objection] = {}  # Objections to the pending revision, by sidecar
        self.outcomes: dict[int, RevisionOutcome] = {}  # Outcomes of the last revisions, by revision number
        self._drafts: list[Publish] = []
        self._write: _Write | None = None
        self._departures: dict[str, _Departure] = {}
        # Revisions that were committed before the present one, by number, while leases on them may run.
        self._superseded: dict[int, Revision] = {}
        # For each aggregator process, the time since when it grants leases only to children that have
        # acknowledged the pending revision.
        self._acknowledged_since: dict[ProcessKey, float] = {}
        self._epoch_checked_ms = -math.inf
        self._next_check_ms = -math.inf  # Earliest time of the next call of `_all_acknowledged` that checks
        self._own_epoch = 0  # Epoch to which this coordinator has raised the stored epoch; 0 if it has not

    def step(self, now: float, event: Event) -> list[Action]:
        """Apply an event at `now`, in monotonic ms; return the actions of the host, in their order."""
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
        """The epoch that the service states in its answers and in the lines of its watches."""
        return self.membership.epoch

    def grant_refusal(self, now: float) -> LeaseRefusal | None:
        """Return why no node can get a lease at `now`; None if this service may grant leases."""
        return self.authority.refusal(now, self.state)

    @property
    def departing(self) -> list[str]:
        """The names of nodes whose process is leaving; a name stays a member if another process reports."""
        return list(self._departures)

    def member_added(self, name: str) -> None:
        """Count a node as a member; the host calls this once the row of a `PersistMember` is durable."""
        self.membership.names.add(name)

    def actable_revisions(self, now: float) -> list[Revision]:
        """Return all revisions that a process may act on at `now` or later.

        These are the committed, the pending and the waiting revision, and superseded revisions on which
        leases may still run.
        """
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
            return [self._answer(event, LeaseRefusal(RefusalReason.LEAVING))]
        if not self.membership.receive_report(now, name, report, self.timing.expiry_bound_ms):
            return [self._answer(event, LeaseRefusal(RefusalReason.OVERTAKEN))]
        self._note_objections(event)
        refusal = self._refusal(now, event)
        if refusal is None:
            until_ms = now + self.timing.expiry_bound_ms
            self.leases.grant(name, report, self.state.committed.number, until_ms)
        return [*self._enroll(now, name), self._answer(event, refusal)]

    def _note_departure(self, now: float, event: ReportReceived) -> None:
        """Release the lease of a leaving process.

        The name stays a member for the epoch wait, because another process of the node usually starts.
        """
        name, process_id = event.name, event.report.process_id
        self.leases.release(name, process_id)
        if name in self.membership.names or name in self.membership.nodes:
            self._departures[name] = _Departure(now, process_id)

    def _note_objections(self, event: ReportReceived) -> None:
        own_objection = {event.name: event.report.objection} if event.report.objection is not None else {}
        for name, objection in (own_objection | dict(event.objections)).items():
            if self.state.pending is not None and objection.revision == self.state.pending.number:
                self.objections[name] = objection

    def _answer(self, event: ReportReceived, refusal: LeaseRefusal | None) -> LeaseAnswer:
        return LeaseAnswer(
            ticket=event.ticket,
            revision=self.state.committed.number,
            lease_ms=self.timing.lease_ms if refusal is None else 0.0,
            pending=self.state.pending_number,
            refusal=refusal,
        )

    def _refusal(self, now: float, event: ReportReceived) -> LeaseRefusal | None:
        """Return why the node of a report gets no lease; None if it gets one."""
        refusal = self.grant_refusal(now)
        if refusal is not None:
            return refusal
        blocked_reason = self.blocked.get(event.name, "")
        if blocked_reason:
            return LeaseRefusal(RefusalReason.BLOCKED, blocked_reason)
        objection = event.report.objection
        if objection is not None and objection.revision == self.state.committed.number:
            return LeaseRefusal(RefusalReason.OBJECTS, objection.reason)
        # A revision with an objection will be halted, so no node needs to acknowledge it.
        if self.state.pending is None or self.objections:
            return None
        return self._acknowledgement_refusal(now, event, self.state.pending.number)

    def _acknowledgement_refusal(
        self, now: float, event: ReportReceived, pending: int
    ) -> LeaseRefusal | None:
        """Return why the acknowledgements in a report don't allow a lease; None if they do.

        A node that does not acknowledge gets no new lease, and its present lease ends by itself: the node
        delays the pending revision at most until then.
        """
        report = event.report
        acknowledged = report.prepared if report.acknowledged is None else report.acknowledged
        if acknowledged != pending:
            return LeaseRefusal(RefusalReason.NOT_ACKNOWLEDGED)
        if report.prepared == pending:
            return None
        since = self._acknowledged_since.setdefault(ProcessKey(event.name, report.process_id), now)
        overdue = now - since > CHILDREN_SPANS * self.timing.expiry_bound_ms
        return LeaseRefusal(RefusalReason.CHILDREN_LAG) if overdue else None

    # --- members -------------------------------------------------------------------------

    def _enroll(self, now: float, name: str) -> list[Action]:
        """Return the action that makes a node a member, if it has to become one now.

        Once a revision is committed, only a service that may grant leases adds members: otherwise new nodes
        that report to a second service alone would be a majority for that service. Each new node has to have
        followed this epoch for the epoch wait, so that many new nodes at once do not cost the service its
        majority.
        """
        names = self.membership.names
        if name in names:
            return []
        since = self.membership.nodes[name].following_since_ms
        due = since is not None and now - since >= self.timing.epoch_wait_ms
        first = not names or self.state.committed.number == 0
        return [PersistMember(name)] if first or (due and not self.grant_refusal(now)) else []

    def _remove_departed(self, now: float) -> list[Action]:
        """Remove one member whose process has left, and of which no other process has reported since.

        Only a service that may grant leases removes members: otherwise a second service could remove members
        until the nodes that follow it are the majority of the rest.
        """
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
        """Return the actions that are due, and start the next write if one is due and none is under way."""
        if self._write is not None:
            return []
        actions, answers, state = self._take_drafts()
        if state is self.state:
            actions += answers
            answers = []
            state = self._decide_pending(now, self._with_valid_epoch(now, state))
        if state is not self.state:
            self._write = _Write(state, answers)
            actions.append(Persist(state))
        return actions

    def _take_drafts(self) -> tuple[list[Action], list[Published], DurableState]:
        """Take the drafts that wait; return refusals, answers, and the state with the accepted drafts.

        The refusals need no write. The answers are valid once the state is durable.
        """
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
            self._note_outcome(superseded.number, RevisionOutcome(RevisionState.HALTED, state.newest))
        return state

    def _with_valid_epoch(self, now: float, state: DurableState) -> DurableState:
        """Return the state with an epoch above those that sidecars follow, if the epoch has to be raised.

        After a lost disk, or after a second service whose clock was ahead, sidecars follow a later epoch than
        this service's, for as long as clocks differ. Once more than half of the nodes have reported to this
        service alone for the epoch wait, no other service has a majority: this service then raises its epoch
        and waits for a majority of its own.
        """
        # The low bits of an epoch are random, so two services on copies of one disk choose different steps.
        step = 1 + self.epoch % EPOCH_STEPS
        later = self._later_epoch(now)
        if later:
            return transitions.with_later_epoch(state, max(later, state.epoch) + step)
        # If an earlier process raised the epoch, this one raises it again: no two processes use one epoch.
        raised_before = state.epoch >= self.epoch and state.epoch != self._own_epoch
        return msgspec.structs.replace(state, epoch=state.epoch + step) if raised_before else state

    def _later_epoch(self, now: float) -> int:
        if now - self._epoch_checked_ms <= COUNT_VALID_MS:
            return 0
        self._epoch_checked_ms = now
        timing = self.timing
        return self.membership.later_epoch_of_majority(now, timing.epoch_wait_ms, timing.expiry_bound_ms)

    def _decide_pending(self, now: float, state: DurableState) -> DurableState:
        """Return the state in which the pending revision is halted or committed, if that can be decided."""
        if state.pending is None:
            return state
        if self.objections:
            if self.authority.cached_rival_refusal(now):
                return state  # Another service may hold the majority, and may not know of the objections
            reasons = {name: objection.reason for name, objection in sorted(self.objections.items())}
            return transitions.with_pending_halted(state, reasons)
        if self._all_acknowledged(now, state.pending.number):
            return transitions.with_pending_committed(state)
        return state

    def _all_acknowledged(self, now: float, number: int) -> bool:
        """Return whether each process that may act on an earlier revision has acknowledged revision `number`.

        The result is False, too, if the last check was too short a time ago.
        """
        if now < self._next_check_ms:
            return False
        # The cost of a check grows with the number of nodes: one check covers reports that arrive together.
        self._next_check_ms = now + CHECK_INTERVAL_MS * len(self.membership.nodes)
        if self.authority.rival_refusal(now):
            return False
        return all(lease.prepared == number for lease in self.leases.active(now).values())

    # --- durability ----------------------------------------------------------------------

    def _persisted(self) -> list[Action]:
        if self._write is None:
            return []
        write, self._write = self._write, None
        previous, self.state = self.state, write.state
        state = self.state
        if state.epoch > previous.epoch:
            self.membership.epoch = self._own_epoch = state.epoch
        if state.pending != previous.pending:
            self.objections, self._acknowledged_since = {}, {}
        if state.committed.number != previous.committed.number:
            self._note_outcome(state.committed.number, RevisionOutcome(RevisionState.COMMITTED))
            self._superseded[previous.committed.number] = previous.committed
        if state.halted is not None and state.halted != previous.halted:
            self._note_outcome(state.halted.revision.number, RevisionOutcome(RevisionState.HALTED))
        self.authority.discard_count()
        return [*write.answers, NotifyWatches()]

    def _persist_failed(self) -> list[Action]:
        """Tell the publishers whose drafts were in the failed write; the state does not change."""
        write, self._write = self._write, None
        answers = write.answers if write is not None else []
        return [PublishFailed(answer.ticket) for answer in answers]

    def _note_outcome(self, number: int, outcome: RevisionOutcome) -> None:
        self.outcomes[number] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]
