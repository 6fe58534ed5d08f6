"""The safety rules, judged from outside at every instant at which a process could send.

What a process acts on changes only when it receives something, when its lease ends, or when it is
stopped, continued, started or ended: so its active configuration is looked at there, without its knowing, and
what it would do is set against what every other running process would do at that time. That is stronger than
to look at sends that happen to be made, and cheaper.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from brassfall.errors import BrassfallError

SLACK_MS = 0.01  # of floating point, in sums of times
NOBODY = ""


class RuleError(BrassfallError):
    """A safety rule that does not hold in a simulated world."""

    action = "Report it with the number of sidecars and the seed: they play the same world again."

    def __init__(self, rule: str, at_ms: float, what: str) -> None:
        super().__init__(f"{rule} at {at_ms:.2f} ms", what)
        self.rule = rule


def marks(revision: Any) -> tuple[int, int]:
    """What tells one content from another: each draft bears a mark of its own in each layer it states."""
    plan = revision.plan or {}
    return (revision.settings.get("PolicyLimits", {}).get("mark", 0), plan.get("mark", 0))


@dataclass(eq=False, slots=True)
class Profile:
    """What a process acts on, as servers see it; one object for each that is different."""

    safe: bool
    number: int
    content: tuple[int, int]
    promised: frozenset[int]
    known: frozenset[int]  # revisions received; the fallback configuration can't heed the others
    tenants: Mapping[str, str]
    closed: frozenset[str]
    document_closed: frozenset[str]
    fallback_tenants: Mapping[str, str]
    caps: Mapping[str, float]
    document_caps: Mapping[str, float]
    good: dict[Profile, str] = field(default_factory=dict)

    def __str__(self) -> str:
        name = f"fallback after {self.number}" if self.safe else f"revision {self.number}"
        return f"{name} (promised {sorted(self.promised)}, knows {sorted(self.known)[-3:]})"


def clash(one: Profile, other: Profile) -> str:
    """What two processes do that exclusive keys forbid; empty where nothing."""
    return _harms(one, other) or _harms(other, one)


def _harms(sender: Profile, other: Profile) -> str:
    """What `sender` does against the revision that `other` acts on.

    The fallback configuration is exempt against a revision that its process never received, and where the
    document's own `floor` says what to do: the operator has stated that. Who has acknowledged the sender's
    revision agrees that a region it holds itself is open there."""
    if other.safe or (sender.safe and other.number not in sender.known):
        return ""
    consents = sender.number in other.promised
    open_ = other.document_closed - sender.closed
    if open_ and not consents:
        return f"sends to {min(open_)}, which is held"
    for tenant in sender.tenants.keys() | other.tenants.keys():
        mine, theirs = sender.tenants.get(tenant), other.tenants.get(tenant)
        if mine == theirs or NOBODY in (mine, theirs):
            continue
        if sender.safe and tenant in sender.fallback_tenants:
            continue
        return f"serves {tenant} in {mine or 'any region'}, not in {theirs or 'any region'}"
    return ""


@dataclass
class Line:
    """What was decided on one disk and those that it was copied from, up to each copy: what a copy has not
    got was not decided for the service that is started on it, and may be decided otherwise."""

    committed: set[int] = field(default_factory=set)
    halted: set[int] = field(default_factory=set)
    banned: set[int] = field(default_factory=set)  # marks of layers that a halted revision stated

    def copy(self) -> Line:
        """As it is now."""
        return Line(set(self.committed), set(self.halted), set(self.banned))


@dataclass
class Judge:
    """Everything that was decided and acted on in one world."""

    agree_ms: float
    drift: float
    acting: Counter[Profile] = field(default_factory=Counter)
    # Since when a revision is acted on, with gaps shorter than `agree_ms`: a service that was put back to an
    # older copy may commit a revision for the second time, long after nobody acted on it any more.
    first: dict[int, float] = field(default_factory=dict)
    _last: dict[int, float] = field(default_factory=dict)  # when somebody last ceased to act on it
    _on: Counter[int] = field(default_factory=Counter)
    contents: dict[int, tuple[int, int]] = field(default_factory=dict)
    committed: set[int] = field(default_factory=set)  # durable at some time
    prepared_at: dict[int, float] = field(default_factory=dict)
    decided_at: dict[int, float] = field(default_factory=dict)
    _profiles: dict[Any, Profile] = field(default_factory=dict)

    # --- what becomes durable -----------------------------------------------------------

    def durable(self, now: float, state: Any, line: Line) -> None:
        """A service's disk has it."""
        for revision in (state.committed, state.pending):
            if revision is not None and revision.number:
                self._same(now, revision.number, marks(revision))
        if state.pending is not None:
            self.prepared_at.setdefault(state.pending.number, now)
        if state.committed.number:
            self._decided(now, state.committed.number)
            self.committed.add(state.committed.number)
            line.committed.add(state.committed.number)
        if state.halted is not None and state.halted.revision.number not in line.halted:
            revision = state.halted.revision
            self._decided(now, revision.number)
            line.halted.add(revision.number)
            stated = dict(zip(("settings", "plan"), marks(revision), strict=True))
            line.banned |= {stated[name] for name in revision.layers if name in stated}
        if line.halted & line.committed:
            raise RuleError("S5 halted", now, f"{min(line.halted & line.committed)} is halted and in force")
        if line.banned & set(marks(state.committed)):
            raise RuleError(
                "S5 halted", now, f"revision {state.committed.number} has a layer that was halted"
            )

    def agreed(self, now: float, number: int, objected: set[int]) -> None:
        """A commit becomes durable, at a service that has heard these objections."""
        if number in objected:
            raise RuleError("S5 objected", now, f"revision {number} is committed against an objection")

    def _decided(self, now: float, number: int) -> None:
        self.decided_at.setdefault(number, now)

    def _same(self, now: float, number: int, content: tuple[int, int]) -> None:
        if self.contents.setdefault(number, content) != content:
            raise RuleError("S4 content", now, f"revision {number} stands for two contents")

    # --- what is acted on -----------------------------------------------------------------

    def profile(self, active: Any, known: frozenset[int], effective: Callable[[Any], Any]) -> Profile:
        """What an active configuration amounts to."""
        revision, others = active.revision, active.concurrent
        received = known if active.fallback else frozenset[int]()
        key = (
            active.fallback,
            revision.number,
            marks(revision),
            tuple((other.number, marks(other)) for other in others),
            received,
        )
        found = self._profiles.get(key)
        if found is None:
            settings = effective(active)
            fallback = revision.settings.get("floor", {})
            found = self._profiles[key] = Profile(
                active.fallback,
                revision.number,
                marks(revision),
                frozenset(other.number for other in others),
                received,
                settings.get("tenants", {}),
                frozenset(settings.get("regions", {}).get("held", ())),
                frozenset(revision.settings.get("regions", {}).get("held", ())),
                fallback.get("tenants", {}),
                settings.get("caps", {}),
                revision.settings.get("caps", {}),
            )
        return found

    def changed(self, now: float, who: Any, new: Profile | None, until_ms: float) -> None:
        """A process acts on something else from now on (None: on nothing). `until_ms` is the true time at
        which its lease on it is over at the latest."""
        old: Profile | None = who.profile
        if new is not None and not new.safe and now > until_ms + SLACK_MS:
            raise RuleError("S3 lease", now, f"{who.label} acts on {new}, {now - until_ms:.1f} ms too long")
        if new is old:
            return
        if old is not None:
            self._leaves(now, who, old)
            self.acting[old] -= 1
            if not self.acting[old]:
                del self.acting[old]
        who.profile = new
        if new is not None:
            self._joins(now, who, new)

    def _leaves(self, now: float, who: Any, old: Profile) -> None:
        """Contradictions are measured where they end."""
        if old.safe:
            return
        self._last[old.number] = now
        self._on[old.number] -= 1
        for other in self.acting:
            if other.safe or other.number == old.number:
                continue
            lasted = now - max(self.first[other.number], self.first[old.number])
            if lasted > self.agree_ms + SLACK_MS:
                text = f"{who.label} on {old} against {other} for {lasted:.0f} ms"
                raise RuleError("S2 contradiction", now, text)

    def _joins(self, now: float, who: Any, new: Profile) -> None:
        if not new.safe:
            self._takes_effect(now, who, new)
        for other in self.acting:
            if other not in new.good:
                new.good[other] = other.good[new] = clash(new, other)
            if new.good[other]:
                text = f"{who.label} on {new} against {other}: {new.good[other]}"
                raise RuleError("S1 exclusive", now, text)
        self.acting[new] += 1
        if new.caps:
            self._sum(now)

    def _takes_effect(self, now: float, who: Any, new: Profile) -> None:
        number = new.number
        if number:
            self._same(now, number, new.content)
            if number not in self.committed:
                raise RuleError(
                    "S5 durable", now, f"{who.label} acts on {number}, whose commit is not durable"
                )
        if number < who.highest:
            raise RuleError("S4 back", now, f"{who.label} acts on {number} after {who.highest}")
        who.highest = number
        if not self._on[number] and now - self._last.get(number, -math.inf) > self.agree_ms:
            self.first[number] = now
        self._on[number] += 1

    def _sum(self, now: float) -> None:
        """S7: each of n processes takes its n-th part; together never more than the larger revision's."""
        count = sum(self.acting.values())
        for name in {name for profile in self.acting for name in profile.caps}:
            capped = [(p, n) for p, n in self.acting.items() if name in p.caps]
            merged = sum(p.caps[name] * n for p, n in capped) / count
            if merged > max(p.document_caps.get(name, 0.0) for p, _ in capped) + 1e-6:
                raise RuleError("S7 sum", now, f"{name}: together {merged:.1f} a second")
