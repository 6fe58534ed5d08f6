"""Programs that break one rule each: what the judge has to find, to be believed when it finds nothing."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from brassfall.controlplane.revisions.core import (
    Action,
    Agreement,
    Enrol,
    Kept,
    Persist,
    Publish,
    Reported,
    Timing,
    Told,
)
from brassfall.controlplane.revisions.edges import Fleet, Report
from brassfall.lab.agreement.program import Program, lease_client, sidecar_rules

RealLeaseClient: Any = lease_client.LeaseClient
SILENT_MS = 1200.0


# --- the service ---------------------------------------------------------------------------------


class LeavesOutAbsent(Agreement):
    """Commits once all that report have acknowledged: who is silent is not waited for."""

    def _agreed(self, now: float, number: int) -> bool:
        if self._alone(now):
            return False
        heard = {name for name, edge in self.fleet.edges.items() if now - edge.last_ms < SILENT_MS}
        holding = self.fleet.holding(now)
        return all(holder.prepared == number for (name, _), holder in holding.items() if name in heard)


class ReusesNumbers(Agreement):
    """Numbers go on from what the disk has: after a lost one they begin anew."""

    def _published(self, kept: Kept, draft: Publish) -> Kept:
        life, self.fleet.life = self.fleet.life, 0
        made = super()._published(kept, draft)
        self.fleet.life = life
        return made


class NeedsNoQuorum(Agreement):
    """Permits whatever it has, whoever takes its word."""

    def _alone(self, now: float) -> str:
        wait = now - self.started < self.timing.over_ms
        return "what an earlier life of the service permitted may not be over" if wait else ""


class GrantsUnacknowledged(Agreement):
    """Permits the edition in force to whoever asks, whatever it has acknowledged."""

    def _refusal(self, now: float, event: Reported) -> str:
        why = super()._refusal(now, event)
        return "" if why.startswith("it has not acknowledged") else why

    def _agreed(self, now: float, number: int) -> bool:
        edges = self.fleet.edges.values()
        return not self._alone(now) and 2 * sum(e.report.prepared == number for e in edges) > len(edges)


class NeverWaits(Agreement):
    """Permits at once after a start, on the majority that an earlier life had."""

    def _alone(self, now: float) -> str:
        return ""


class CountsAtOnce(Agreement):
    """A majority counts from its first reports on, though it may count elsewhere still."""

    def _alone(self, now: float) -> str:
        if now - self.started < self.timing.over_ms:
            return "what an earlier life of the service permitted may not be over"
        fresh = self.timing.over_ms
        counted, known = self.fleet.counted(now, 0.0, fresh), len(self.fleet.names)
        return "no majority" if known and 2 * counted <= known else ""


class HastyWrites(Agreement):
    """Acts on a decision while its write is under way."""

    def _decide(self, now: float) -> list[Action]:
        made = super()._decide(now)
        for action in made:
            if isinstance(action, Persist):
                self.kept = action.kept
                return [*made, Told()]
        return made


class CommitsHalted(Agreement):
    """Takes an objection down, and commits all the same."""

    def _moved(self, now: float, kept: Kept) -> Kept:
        made = super()._moved(now, kept)
        if made.halted is not None and made.halted is not kept.halted:
            return msgspec.structs.replace(made, committed=made.halted.edition)
        return made


class KeepsHaltedLayers(Agreement):
    """What waits behind a halted edition keeps the layers that it took over from it."""

    def _moved(self, now: float, kept: Kept) -> Kept:
        made = super()._moved(now, kept)
        if made.halted is not None and made.halted is not kept.halted:
            return msgspec.structs.replace(made, pending=kept.waiting)
        return made


class EnrolsAnybody(Agreement):
    """Whoever reports is on the roster from then on, whether or not this service may permit."""

    def _enrol(self, now: float, name: str) -> list[Action]:
        return [] if name in self.fleet.names else [Enrol(name)]


class LetsGo(Agreement):
    """A process that leaves takes its name along."""

    def _reported(self, now: float, event: Reported) -> list[Action]:
        made = super()._reported(now, event)
        return [*made, *self._forget(event.name)] if event.report.leaving else made


class PermitsNothing(Agreement):
    """Permits what each one's own file says without being sure, since that was never published."""

    def _count(self, now: float) -> str:
        why = super()._count(now)
        return "" if self.kept.committed.number == 0 and not why.startswith("2") else why


class ForgetsObjections(Agreement):
    """An objection counts for the write under way alone, not for the one after it."""

    def _reported(self, now: float, event: Reported) -> list[Action]:
        report = event.report
        made = super()._reported(now, Reported(event.ticket, event.name, _without_objection(report)))
        return made


def _without_objection(report: Report) -> Report:
    prepared = report.objection.edition if report.objection is not None else report.prepared
    return msgspec.structs.replace(report, objection=None, prepared=prepared)


class TakesStale(Fleet):
    """Takes each report for news, whenever it was made."""

    def heard(self, now: float, name: str, report: Report, brief: float = 0.0) -> bool:
        """Take in a report, as if it were the newest."""
        edge = self.edges.get(name)
        if edge is not None and edge.report.life == report.life and report.seq <= edge.report.seq:
            report = msgspec.structs.replace(report, seq=edge.report.seq + 1)
        super().heard(now, name, report, brief)
        return True


class SharesEntries(Fleet):
    """One entry for a name: a second process of it hides the first."""

    def grant(self, name: str, report: Report, edition: int, until: float) -> None:
        """A process may act on an edition; what another of its name may is forgotten."""
        super().grant(name, msgspec.structs.replace(report, life=""), edition, until)


class CountsAnybody(Fleet):
    """Takes whoever reports for one that takes this service's word."""

    def heard(self, now: float, name: str, report: Report, brief: float = 0.0) -> bool:
        """Take in a report, with this service's life in it."""
        return super().heard(now, name, msgspec.structs.replace(report, of=self.life), brief)


class Tight(Timing, frozen=True):
    """A permission as long as the bound itself, and no account of clocks."""

    @property
    def permission_ms(self) -> float:
        """As long as two may differ."""
        return self.agree_ms

    @property
    def over_ms(self) -> float:
        """The same on any clock."""
        return self.agree_ms


# --- the sidecar ----------------------------------------------------------------------------------


def from_the_answer(held: Any, asked: float, received: float, seq: int, raw: Mapping[str, Any]) -> bool:
    """A permission counts from when its answer came."""
    return bool(held.receive_answer(received, seq, raw))


class _LeaseClient(RealLeaseClient):  # type: ignore[misc]
    """What the next ones change of the sidecar's core, by type."""

    _concurrent: dict[int, tuple[Any, int]]
    _lease_end: float
    _granted: int


class ClearsPromises(_LeaseClient):
    """Any answer that does not name the promised edition ends the promise."""

    def receive_answer(self, asked: float, seq: int, raw: Any) -> bool:
        """Take an answer as news of everything before it, whenever its report was sent."""
        self._acknowledged_by = 0
        self._concurrent = {number: (edition, 0) for number, (edition, _) in self._concurrent.items()}
        return bool(super().receive_answer(asked, seq, raw))


class OneTold(_LeaseClient):
    """Keeps the last edition told alone: a promise before it is forgotten."""

    def receive_update(self, raw: Any) -> None:
        """A line of the watch."""
        super().receive_update(raw)
        self._concurrent = {number: self._concurrent[number] for number in list(self._concurrent)[-1:]}


class TakesOldLives(_LeaseClient):
    """Takes the word of a service that another has followed."""

    def receive_answer(self, asked: float, seq: int, raw: Any) -> bool:
        """Take any answer for one of the service that counts."""
        return bool(super().receive_answer(asked, seq, {**raw, "life": max(raw["life"], self._epoch)}))


class KeepsPermission(_LeaseClient):
    """Acts on what one service permitted while it takes another one's word."""

    def receive_answer(self, asked: float, seq: int, raw: Any) -> bool:
        """Take an answer; the permission stays as it was."""
        until = self._lease_end
        made = bool(super().receive_answer(asked, seq, raw))
        self._lease_end = max(until, self._lease_end)
        return made


class GoesBack(_LeaseClient):
    """Acts on whatever is permitted, be it older than what it acted on."""

    def receive_answer(self, asked: float, seq: int, raw: Any) -> bool:
        """Take an answer; the edition permitted before counts for nothing."""
        if raw["permission_ms"] and raw["edition"] in self._revisions:
            self._granted = min(self._granted, raw["edition"])
        return bool(super().receive_answer(asked, seq, raw))


class LooksByTimer(RealLeaseClient):  # type: ignore[misc]
    """Ends a permission when it next does something about reports, not at each decision."""

    _looked = -math.inf

    def report(self, now: float) -> dict[str, Any]:
        """Make a report, and look at the clock."""
        self._looked = now
        return dict(super().report(now))

    def active(self, now: float) -> Any:
        """What to act on, as of the last look."""
        return super().active(self._looked)


class TakesUnsound(_LeaseClient):
    """Acts on a told edition as soon as it is told, without a permission for it."""

    def receive_update(self, raw: Any) -> None:
        """A line of the watch."""
        super().receive_update(raw)
        if self._acknowledged and self._lease_end > -math.inf:
            self._granted = self._acknowledged


def without_meet(active: Any) -> dict[str, Any]:
    """An acknowledgement that changes nothing of what is done."""
    return dict(sidecar_rules.effective(active if active.fallback else active._replace(concurrent=())))


def pins_when_safe(active: Any) -> dict[str, Any]:
    """Safe rules that go on with everything."""
    return dict(sidecar_rules.effective(active._replace(fallback=False, concurrent=())))


def open_when_safe(active: Any) -> dict[str, Any]:
    """Safe rules that forget what an edition held."""
    made = dict(sidecar_rules.effective(active))
    if active.fallback:
        made.pop("regions", None)
    return made


def life_after_last(wall_ms: float, last: int, chance: random.Random) -> int:
    """A life numbered by the wall clock, or by the next index where that is behind."""
    return max(int(wall_ms) << 10, last + 1)


@dataclass(frozen=True)
class InjectedDefect:
    """One seeded defect: what it is, the program with it, and the faults among which it shows."""

    what: str
    program: Program
    themes: tuple[str, ...]
    rules: tuple[str, ...]  # the rules that may name it


REAL = Program()


def _service(agreement: type[Agreement]) -> Program:
    return replace(REAL, agreement=agreement)


def _sidecar(kind: Any) -> Program:
    return replace(REAL, lease_client=kind)


S1, S2, S3, S4, S5 = "S1 exclusive", "S2 contradiction", "S3 permission", "S4 content", "S5 halted"
BACK, DURABLE, OBJECTED = "S4 back", "S5 durable", "S5 objected"
DEFECTS: dict[str, InjectedDefect] = {
    "from-the-answer": InjectedDefect(
        "a permission is counted from the answer", replace(REAL, answered=from_the_answer), ("rough",), (S3,)
    ),
    "absent-left-out": InjectedDefect(
        "commit without waiting for the absent one", _service(LeavesOutAbsent), ("cut",), (S1, S2)
    ),
    "numbers-reused": InjectedDefect(
        "numbers do not come from the life", _service(ReusesNumbers), ("lost disk", "older copy"), (S4,)
    ),
    "no-quorum": InjectedDefect(
        "a permission without a majority", _service(NeedsNoQuorum), ("twin",), (S1, S2, BACK)
    ),
    "counted-at-once": InjectedDefect(
        "a majority counts without its season", _service(CountsAtOnce), ("twin",), (S1, S2)
    ),
    "counts-anybody": InjectedDefect(
        "whoever reports counts as taking this word", replace(REAL, fleet=CountsAnybody), ("twin",), (S1, S2)
    ),
    "unacknowledged": InjectedDefect(
        "a permission for one that has not acknowledged", _service(GrantsUnacknowledged), ("cut",), (S1, S2)
    ),
    "no-meet": InjectedDefect(
        "an acknowledgement not followed by the meet", replace(REAL, effective=without_meet), (), (S1,)
    ),
    "promise-cleared": InjectedDefect(
        "an early answer clears a promise", _sidecar(ClearsPromises), ("rough", "burst"), (S1,)
    ),
    "one-promise": InjectedDefect("a promise forgotten over the next", _sidecar(OneTold), ("burst",), (S1,)),
    "no-wait": InjectedDefect(
        "no wait after a restart", _service(NeverWaits), ("older copy", "cut"), (S1, S2, BACK)
    ),
    "no-drift": InjectedDefect(
        "rates of clocks left out", replace(REAL, timing=Tight()), ("drift",), (S1, S2)
    ),
    "stale-taken": InjectedDefect(
        "an overtaken report taken for news", replace(REAL, fleet=TakesStale), ("twin", "replay"), (S1, S2)
    ),
    "old-life-taken": InjectedDefect(
        "an answer of an old life taken", _sidecar(TakesOldLives), ("twin",), (S1, S2, S3, BACK)
    ),
    "permission-kept": InjectedDefect(
        "a permission kept over a change of life", _sidecar(KeepsPermission), ("twin",), (S3,)
    ),
    "hasty-write": InjectedDefect(
        "acted on before it is durable", _service(HastyWrites), ("disk", "burst"), (DURABLE,)
    ),
    "halted-committed": InjectedDefect(
        "a halted edition committed", _service(CommitsHalted), (), (S5, OBJECTED)
    ),
    "halted-layer": InjectedDefect(
        "what waits keeps a halted layer", _service(KeepsHaltedLayers), ("burst",), (S5,)
    ),
    "objection-unheard": InjectedDefect(
        "an objection taken for an acknowledgement", _service(ForgetsObjections), (), (OBJECTED,)
    ),
    "shared-entry": InjectedDefect(
        "two processes of one name share an entry", replace(REAL, fleet=SharesEntries), ("beside",), (S1, S2)
    ),
    "goes-back": InjectedDefect(
        "a permission for an older edition taken", _sidecar(GoesBack), ("lost disk",), (BACK,)
    ),
    "looked-by-timer": InjectedDefect(
        "the end of a permission seen by a timer", _sidecar(LooksByTimer), ("stop",), (S3,)
    ),
    "wall-clock": InjectedDefect(
        "a permission counted on the wall clock", replace(REAL, wall_clock=True), ("wall clock",), (S3,)
    ),
    "told-is-enough": InjectedDefect(
        "acted on as soon as told", _sidecar(TakesUnsound), (), (S1, S3, DURABLE)
    ),
    "safe-goes-on": InjectedDefect(
        "safe rules go on with pins", replace(REAL, effective=pins_when_safe), ("cut",), (S1,)
    ),
    "safe-opens": InjectedDefect(
        "safe rules open what is held", replace(REAL, effective=open_when_safe), ("cut",), (S1,)
    ),
    "enrols-anybody": InjectedDefect(
        "newcomers of a second service make its majority",
        _service(EnrolsAnybody),
        ("crowd",),
        (S1, S2),
    ),
    "lets-go": InjectedDefect("who leaves shrinks the roster", _service(LetsGo), ("exodus",), (S1, S2)),
    "permits-zero": InjectedDefect(
        "edition 0 permitted unasked",
        _service(PermitsNothing),
        ("older copy", "lost disk", "restart"),
        (S1, S2),
    ),
    "life-after-last": InjectedDefect(
        "a life numbered by the last index",
        replace(REAL, life=life_after_last),
        ("twin", "burst"),
        (S4, S1, S2, S5),
    ),
}
