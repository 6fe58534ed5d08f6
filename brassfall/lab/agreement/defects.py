"""Programs that break one rule each: what the judge has to find, to be believed when it finds nothing."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from brassfall.controlplane.revisions.authority import GrantAuthority
from brassfall.controlplane.revisions.coordinator import RevisionCoordinator
from brassfall.controlplane.revisions.leases import NodeLeases
from brassfall.controlplane.revisions.membership import Membership
from brassfall.controlplane.revisions.messages import (
    Action,
    NotifyWatches,
    Persist,
    PersistMember,
    Publish,
    ReportReceived,
)
from brassfall.controlplane.revisions.refusals import LeaseRefusal, RefusalReason, refusal_text
from brassfall.controlplane.revisions.reports import Report
from brassfall.controlplane.revisions.state import DurableState
from brassfall.controlplane.revisions.timing import LeaseTiming
from brassfall.lab.agreement.program import Program, lease_client, sidecar_rules

RealLeaseClient: Any = lease_client.LeaseClient
SILENT_MS = 1200.0


# --- the service ---------------------------------------------------------------------------------


class LeavesOutAbsent(RevisionCoordinator):
    """Commits once all that report have acknowledged: who is silent is not waited for."""

    def _all_acknowledged(self, now: float, number: int) -> bool:
        if self.authority.rival_refusal(now):
            return False
        nodes = self.membership.nodes.items()
        recent = {name for name, node in nodes if now - node.reported_ms < SILENT_MS}
        leases = self.leases.active(now)
        return all(lease.prepared == number for key, lease in leases.items() if key.name in recent)


class ReusesNumbers(RevisionCoordinator):
    """Numbers go on from what the disk has: after a lost one they begin anew."""

    def _with_draft(self, state: DurableState, draft: Publish) -> DurableState:
        epoch, self.membership.epoch = self.membership.epoch, 0
        made = super()._with_draft(state, draft)
        self.membership.epoch = epoch
        return made


class NeedsNoQuorum(GrantAuthority):
    """Grants whatever it has, whoever follows it."""

    def rival_refusal(self, now: float) -> LeaseRefusal | None:
        """Only an earlier epoch is waited for."""
        starting = now - self.started_ms < self.timing.expiry_bound_ms
        return LeaseRefusal(RefusalReason.EARLIER_EPOCH) if starting else None


class GrantsUnacknowledged(RevisionCoordinator):
    """Grants the revision in force to whoever asks, whatever it has acknowledged."""

    def _refusal(self, now: float, event: ReportReceived) -> LeaseRefusal | None:
        refusal = super()._refusal(now, event)
        return None if refusal == (RefusalReason.NOT_ACKNOWLEDGED, "") else refusal

    def _all_acknowledged(self, now: float, number: int) -> bool:
        nodes = self.membership.nodes.values()
        acknowledged = sum(node.report.prepared == number for node in nodes)
        return not self.authority.rival_refusal(now) and 2 * acknowledged > len(nodes)


class NeverWaits(GrantAuthority):
    """Grants at once after a start, on the majority that an earlier epoch had."""

    def rival_refusal(self, now: float) -> LeaseRefusal | None:
        """Nobody is taken for one."""
        return None


class CountsAtOnce(GrantAuthority):
    """A majority counts from its first reports on, though it may count elsewhere still."""

    def rival_refusal(self, now: float) -> LeaseRefusal | None:
        """Members are counted without the epoch wait."""
        if now - self.started_ms < self.timing.expiry_bound_ms:
            return LeaseRefusal(RefusalReason.EARLIER_EPOCH)
        fresh = self.timing.expiry_bound_ms
        following, members = self.membership.count_following(now, 0.0, fresh), len(self.membership.names)
        return LeaseRefusal(RefusalReason.NO_MAJORITY) if members and 2 * following <= members else None


class HastyWrites(RevisionCoordinator):
    """Acts on a decision while its write is under way."""

    def _decide(self, now: float) -> list[Action]:
        made = super()._decide(now)
        for action in made:
            if isinstance(action, Persist):
                self.state = action.state
                return [*made, NotifyWatches()]
        return made


class CommitsHalted(RevisionCoordinator):
    """Takes an objection down, and commits all the same."""

    def _decide_pending(self, now: float, state: DurableState) -> DurableState:
        made = super()._decide_pending(now, state)
        if made.halted is not None and made.halted is not state.halted:
            return msgspec.structs.replace(made, committed=made.halted.revision)
        return made


class KeepsHaltedLayers(RevisionCoordinator):
    """What waits behind a halted revision keeps the layers that it took over from it."""

    def _decide_pending(self, now: float, state: DurableState) -> DurableState:
        made = super()._decide_pending(now, state)
        if made.halted is not None and made.halted is not state.halted:
            return msgspec.structs.replace(made, pending=state.waiting)
        return made


class EnrolsAnybody(RevisionCoordinator):
    """Whoever reports is a member from then on, whether or not this service may grant."""

    def _enroll(self, now: float, name: str) -> list[Action]:
        return [] if name in self.membership.names else [PersistMember(name)]


class LetsGo(RevisionCoordinator):
    """A process that leaves takes its name along."""

    def _receive_report(self, now: float, event: ReportReceived) -> list[Action]:
        made = super()._receive_report(now, event)
        return [*made, *self._remove(event.name)] if event.report.leaving else made


class GrantsNothing(GrantAuthority):
    """Grants what each one's own file says without being sure, since that was never published."""

    def refusal(self, now: float, state: DurableState) -> LeaseRefusal | None:
        """No rival matters while nothing is committed."""
        refusal = super().refusal(now, state)
        uncommitted = state.committed.number == 0
        return None if uncommitted and not refusal_text(refusal).startswith("2") else refusal


class ForgetsObjections(RevisionCoordinator):
    """Takes an objection to a revision for its acknowledgement."""

    def _receive_report(self, now: float, event: ReportReceived) -> list[Action]:
        report = _without_objection(event.report)
        return super()._receive_report(now, ReportReceived(event.ticket, event.name, report))


def _without_objection(report: Report) -> Report:
    prepared = report.objection.revision if report.objection is not None else report.prepared
    return msgspec.structs.replace(report, objection=None, prepared=prepared)


class TakesStale(Membership):
    """Takes each report for the newest of its process, whenever it was made."""

    def receive_report(self, now: float, name: str, report: Report, gap_ms: float = 0.0) -> bool:
        """Take in a report, as if it were the newest."""
        node = self.nodes.get(name)
        same = node is not None and node.report.process_id == report.process_id
        if node is not None and same and report.seq <= node.report.seq:
            report = msgspec.structs.replace(report, seq=node.report.seq + 1)
        super().receive_report(now, name, report, gap_ms)
        return True


class SharesEntries(NodeLeases):
    """One entry for a name: a second process of it hides the first."""

    def grant(self, name: str, report: Report, revision: int, until_ms: float) -> None:
        """A process may act on a revision; what another of its name may is forgotten."""
        super().grant(name, msgspec.structs.replace(report, process_id=""), revision, until_ms)


class CountsAnybody(Membership):
    """Takes whoever reports for one that follows this service."""

    def receive_report(self, now: float, name: str, report: Report, gap_ms: float = 0.0) -> bool:
        """Take in a report, with this service's epoch in it."""
        return super().receive_report(now, name, msgspec.structs.replace(report, epoch=self.epoch), gap_ms)


class Tight(LeaseTiming, frozen=True):
    """A lease as long as the bound itself, and no account of clocks."""

    @property
    def lease_ms(self) -> float:
        """As long as two may differ."""
        return self.agree_ms

    @property
    def expiry_bound_ms(self) -> float:
        """The same on any clock."""
        return self.agree_ms


# --- the sidecar ----------------------------------------------------------------------------------


def from_the_answer(client: Any, asked: float, received: float, seq: int, raw: Mapping[str, Any]) -> bool:
    """A lease counts from when its answer came."""
    return bool(client.receive_answer(received, seq, raw))


class _LeaseClient(RealLeaseClient):  # type: ignore[misc]
    """What the next ones change of the sidecar's core, by type."""

    _concurrent: dict[int, tuple[Any, int]]
    _lease_end: float
    _granted: int


class ClearsPromises(_LeaseClient):
    """Any answer that does not name the promised revision ends the promise."""

    def receive_answer(self, asked: float, seq: int, raw: Any) -> bool:
        """Take an answer for the end of everything before it, whenever its report was sent."""
        self._acknowledged_by = 0
        self._concurrent = {number: (revision, 0) for number, (revision, _) in self._concurrent.items()}
        return bool(super().receive_answer(asked, seq, raw))


class KeepsLastRevision(_LeaseClient):
    """Keeps the last revision received alone: a promise before it is forgotten."""

    def receive_update(self, raw: Any) -> None:
        """A line of the watch."""
        super().receive_update(raw)
        self._concurrent = {number: self._concurrent[number] for number in list(self._concurrent)[-1:]}


class FollowsOldEpochs(_LeaseClient):
    """Follows a service that another has followed."""

    def receive_answer(self, asked: float, seq: int, raw: Any) -> bool:
        """Take any answer for one of the service that counts."""
        return bool(super().receive_answer(asked, seq, {**raw, "life": max(raw["life"], self._epoch)}))


class KeepsLease(_LeaseClient):
    """Acts on what one service granted while it follows another one."""

    def receive_answer(self, asked: float, seq: int, raw: Any) -> bool:
        """Take an answer; the lease stays as it was."""
        until = self._lease_end
        made = bool(super().receive_answer(asked, seq, raw))
        self._lease_end = max(until, self._lease_end)
        return made


class GoesBack(_LeaseClient):
    """Acts on whatever is granted, be it older than what it acted on."""

    def receive_answer(self, asked: float, seq: int, raw: Any) -> bool:
        """Take an answer; the revision granted before counts for nothing."""
        if raw["permission_ms"] and raw["edition"] in self._revisions:
            self._granted = min(self._granted, raw["edition"])
        return bool(super().receive_answer(asked, seq, raw))


class LooksByTimer(RealLeaseClient):  # type: ignore[misc]
    """Ends a lease when it next does something about reports, not at each decision."""

    _looked = -math.inf

    def report_fields(self, now: float) -> dict[str, Any]:
        """Make a report, and look at the clock."""
        self._looked = now
        return dict(super().report_fields(now))

    def active_configuration(self, now: float) -> Any:
        """What to act on, as of the last look."""
        return super().active_configuration(self._looked)


class TakesUnsound(_LeaseClient):
    """Acts on a revision as soon as it is received, without a lease on it."""

    def receive_update(self, raw: Any) -> None:
        """A line of the watch."""
        super().receive_update(raw)
        if self._acknowledged and self._lease_end > -math.inf:
            self._granted = self._acknowledged


def without_meet(active: Any) -> dict[str, Any]:
    """An acknowledgement that changes nothing of what is done."""
    return dict(
        sidecar_rules.effective_settings(active if active.fallback else active._replace(concurrent=()))
    )


def keeps_pins_in_fallback(active: Any) -> dict[str, Any]:
    """A fallback configuration that goes on with everything."""
    return dict(sidecar_rules.effective_settings(active._replace(fallback=False, concurrent=())))


def opens_in_fallback(active: Any) -> dict[str, Any]:
    """A fallback configuration that forgets what a revision held."""
    made = dict(sidecar_rules.effective_settings(active))
    if active.fallback:
        made.pop("regions", None)
    return made


def epoch_after_last(wall_ms: float, last: int, chance: random.Random) -> int:
    """An epoch numbered by the wall clock, or by the next index where that is behind."""
    return max(int(wall_ms) << 10, last + 1)


@dataclass(frozen=True)
class InjectedDefect:
    """One seeded defect: what it is, the program with it, and the faults among which it shows."""

    what: str
    program: Program
    themes: tuple[str, ...]
    rules: tuple[str, ...]  # the rules that may name it


REAL = Program()


def _coordinator(kind: type[RevisionCoordinator]) -> Program:
    return replace(REAL, coordinator=kind)


def _authority(kind: type[GrantAuthority]) -> Program:
    return replace(REAL, authority=kind)


def _sidecar(kind: Any) -> Program:
    return replace(REAL, lease_client=kind)


S1, S2, S3, S4, S5 = "S1 exclusive", "S2 contradiction", "S3 lease", "S4 content", "S5 halted"
BACK, DURABLE, OBJECTED = "S4 back", "S5 durable", "S5 objected"
DEFECTS: dict[str, InjectedDefect] = {
    "from-the-answer": InjectedDefect(
        "a lease is counted from the answer", replace(REAL, answered=from_the_answer), ("rough",), (S3,)
    ),
    "absent-left-out": InjectedDefect(
        "commit without waiting for the absent one", _coordinator(LeavesOutAbsent), ("cut",), (S1, S2)
    ),
    "numbers-reused": InjectedDefect(
        "numbers do not come from the epoch", _coordinator(ReusesNumbers), ("lost disk", "older copy"), (S4,)
    ),
    "no-quorum": InjectedDefect(
        "a lease without a majority", _authority(NeedsNoQuorum), ("twin",), (S1, S2, BACK)
    ),
    "counted-at-once": InjectedDefect(
        "a majority counts without the epoch wait", _authority(CountsAtOnce), ("twin",), (S1, S2)
    ),
    "counts-anybody": InjectedDefect(
        "whoever reports counts as following", replace(REAL, membership=CountsAnybody), ("twin",), (S1, S2)
    ),
    "unacknowledged": InjectedDefect(
        "a lease for one that has not acknowledged", _coordinator(GrantsUnacknowledged), ("cut",), (S1, S2)
    ),
    "no-meet": InjectedDefect(
        "an acknowledgement not followed by the meet", replace(REAL, effective=without_meet), (), (S1,)
    ),
    "promise-cleared": InjectedDefect(
        "an early answer clears a promise", _sidecar(ClearsPromises), ("rough", "burst"), (S1,)
    ),
    "one-promise": InjectedDefect(
        "a promise forgotten over the next", _sidecar(KeepsLastRevision), ("burst",), (S1,)
    ),
    "no-wait": InjectedDefect(
        "no wait after a restart", _authority(NeverWaits), ("older copy", "cut"), (S1, S2, BACK)
    ),
    "no-drift": InjectedDefect(
        "rates of clocks left out", replace(REAL, timing=Tight()), ("drift",), (S1, S2)
    ),
    "stale-taken": InjectedDefect(
        "an overtaken report taken for the newest",
        replace(REAL, membership=TakesStale),
        ("twin", "replay"),
        (S1, S2),
    ),
    "old-life-taken": InjectedDefect(
        "an answer of an old epoch taken", _sidecar(FollowsOldEpochs), ("twin",), (S1, S2, S3, BACK)
    ),
    "permission-kept": InjectedDefect(
        "a lease kept over a change of epoch", _sidecar(KeepsLease), ("twin",), (S3,)
    ),
    "hasty-write": InjectedDefect(
        "acted on before it is durable", _coordinator(HastyWrites), ("disk", "burst"), (DURABLE,)
    ),
    "halted-committed": InjectedDefect(
        "a halted revision committed", _coordinator(CommitsHalted), (), (S5, OBJECTED)
    ),
    "halted-layer": InjectedDefect(
        "what waits keeps a halted layer", _coordinator(KeepsHaltedLayers), ("burst",), (S5,)
    ),
    "objection-unheard": InjectedDefect(
        "an objection taken for an acknowledgement", _coordinator(ForgetsObjections), (), (OBJECTED,)
    ),
    "shared-entry": InjectedDefect(
        "two processes of one name share an entry", replace(REAL, leases=SharesEntries), ("beside",), (S1, S2)
    ),
    "goes-back": InjectedDefect(
        "a lease on an older revision taken", _sidecar(GoesBack), ("lost disk",), (BACK,)
    ),
    "looked-by-timer": InjectedDefect(
        "the end of a lease seen by a timer", _sidecar(LooksByTimer), ("stop",), (S3,)
    ),
    "wall-clock": InjectedDefect(
        "a lease counted on the wall clock", replace(REAL, wall_clock=True), ("wall clock",), (S3,)
    ),
    "told-is-enough": InjectedDefect(
        "acted on as soon as received", _sidecar(TakesUnsound), (), (S1, S3, DURABLE)
    ),
    "safe-goes-on": InjectedDefect(
        "the fallback goes on with pins", replace(REAL, effective=keeps_pins_in_fallback), ("cut",), (S1,)
    ),
    "safe-opens": InjectedDefect(
        "the fallback opens what is held", replace(REAL, effective=opens_in_fallback), ("cut",), (S1,)
    ),
    "enrols-anybody": InjectedDefect(
        "newcomers of a second service make its majority",
        _coordinator(EnrolsAnybody),
        ("crowd",),
        (S1, S2),
    ),
    "lets-go": InjectedDefect(
        "who leaves shrinks the membership", _coordinator(LetsGo), ("exodus",), (S1, S2)
    ),
    "permits-zero": InjectedDefect(
        "revision 0 granted unasked",
        _authority(GrantsNothing),
        ("older copy", "lost disk", "restart"),
        (S1, S2),
    ),
    "life-after-last": InjectedDefect(
        "an epoch numbered by the last index",
        replace(REAL, epoch=epoch_after_last),
        ("twin", "burst"),
        (S4, S1, S2, S5),
    ),
}
