"""Which edition this sidecar may act on, and since when it must not: pure, times handed in.

A permission runs on this process's own monotonic clock from the moment of *asking*: however long the answer
took, it is over here before the service counts it as over. Past it, this sidecar acts on safe rules. `stance`
is asked at each decision, so that a process that was stopped for ten seconds decides nothing on what ran
out meanwhile.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from fordtrestle.fleet import forms

SAFE = "safe"
DOCUMENTS_MOST = 4
STRAY_S = 12.0  # more than twice the time that a service needs to count a majority
TOLD_MOST = 32  # editions that came while nothing was permitted: more than `agree_ms` has room for


@dataclass(frozen=True, slots=True)
class Edition:
    """One numbered document; number 0 is what this sidecar's own file says."""

    number: int
    settings: Mapping[str, Any]
    plan: Mapping[str, Any] | None
    overrides: tuple[Mapping[str, Any], ...]
    plan_edition: int = 0  # the one that stated the plan, which ages from there
    unread: str = ""  # the parts that were left out since their form is not known here


OWN_FILE = Edition(0, {}, None, ())


class Stance(NamedTuple):
    """What to act on: `acting` with the document `edition`, or safe rules made from it.

    `told` are editions after that one which others may act on by now, as far as is known here: exclusive
    keys are what all agree on. That is what an acknowledgement promises, and it holds for each of them, not
    for the last one only, until a permission for a later one comes, or they are known to be halted."""

    safe: bool
    edition: Edition
    told: tuple[Edition, ...]

    @property
    def acting(self) -> int | str:
        """As it is told to servers and in reports."""
        return SAFE if self.safe else self.edition.number


def read(raw: Any) -> Edition:
    """One edition as the service tells it; `ValueError` says what is wrong."""
    if not isinstance(raw, Mapping):
        raise ValueError("an edition is an object")
    number = whole(raw, "edition")
    settings, plan, overrides = raw.get("settings", {}), raw.get("plan"), raw.get("overrides", [])
    if not isinstance(settings, Mapping) or not isinstance(plan, Mapping | None):
        raise ValueError("settings and plan are objects")
    if not isinstance(overrides, list) or not all(isinstance(row, Mapping) for row in overrides):
        raise ValueError("overrides are a list of objects")
    strange = forms.unread(settings)
    settings = {key: value for key, value in settings.items() if key not in strange}
    if plan and not forms.plan_read(plan):
        plan, strange = None, strange | {"plan"}
    unread = ", ".join(sorted(strange))
    return Edition(number, settings, plan or None, tuple(overrides), whole(raw, "plan_edition"), unread)


def whole(raw: Mapping[str, Any], name: str) -> int:
    """A whole number from 0 up; `ValueError` names the field."""
    value = raw.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < 2**53:
        raise ValueError(f"{name}: a whole number is wanted")
    return value


class Holder:
    """Editions held, what is promised, and the permission."""

    def __init__(self, life: str, check: Callable[[Edition], str]) -> None:
        self.life = life  # as it is told; another one follows where this begins anew
        self._check = check  # why this program can't act on an edition; empty where it can
        self._documents: dict[int, Edition] = {0: OWN_FILE}
        self._objections: dict[int, str] = {}
        self._asked = 0  # the edition that is prepared, as told last
        self._seq = 0
        self._of = 0  # the service's life whose word is taken
        self._in_force = 0  # the edition that was committed last, as a line of the watch told
        self._pending = 0  # promised: the edition acknowledged last, not yet decided as far as known
        self._promised_at = 0  # the report that told so
        self._permitted = 0
        self._by = 0  # the service's life that permitted it
        self._until = -math.inf
        self._stray = -math.inf  # since when none but an earlier life of the service answers
        self._told: dict[int, tuple[Edition, int]] = {}  # after the permitted one; the report that knew first

    # --- what is told ---------------------------------------------------------------

    def news(self, raw: Any) -> None:
        """A line of the watch on the rules; `ValueError` says what is wrong with it, and changes nothing."""
        told = read(raw)
        more = raw.get("committed")
        committed = read(more) if isinstance(more, Mapping) else None
        life = whole(raw, "life")
        if life < self._of:
            return  # of a service that another has followed: its numbers may be used again
        for edition in (committed, told):
            if edition is not None:
                self._take(edition)
                self._heed(edition, life)
        in_force = told if raw.get("state") == "committed" else committed
        if in_force is not None:
            self._in_force = in_force.number
        if raw.get("state") == "halted":
            # A service put back to an old copy may prepare it once more.
            self._told.pop(told.number, None)
            self._objections.setdefault(told.number, "it was halted before")
        if raw.get("state") == "prepared":
            self._asked = told.number
            if told.number not in self._objections:
                self._promise(told.number)

    def _take(self, edition: Edition) -> None:
        if edition.number in self._documents or edition.number == 0:
            return  # immutable: the first reading stays
        why = self._check(edition)
        if why:
            self._objections[edition.number] = why
        self._documents[edition.number] = edition
        needed = {0, self._permitted, self._pending, edition.number, *self._told}
        for number in sorted(self._documents.keys() - needed)[: len(self._documents) - DOCUMENTS_MOST]:
            del self._documents[number]
            self._objections.pop(number, None)

    def _heed(self, edition: Edition, life: int) -> None:
        # A service that follows may have forgotten the edition permitted here, and permit an older one.
        later = edition.number > self._permitted or (life > self._by and edition.number != self._permitted)
        if later and edition.number not in self._told:
            self._told[edition.number] = (edition, self._seq + 1)
            if len(self._told) > TOLD_MOST:
                del self._told[min(self._told)]

    def _promise(self, number: int) -> None:
        if number > self._pending:
            self._pending, self._promised_at = number, self._seq + 1

    @property
    def urgent(self) -> bool:
        """Whether others wait for what the next report tells, or it asks for an edition that is in force:
        an acknowledgement or an objection not yet told, or a commit that nothing was permitted of."""
        untold = self._pending > self._permitted and self._promised_at > self._seq
        objects = self._asked > self._permitted and self._asked in self._objections
        return untold or objects or self._in_force > self._permitted

    # --- reports and permissions ------------------------------------------------------

    def report(self, now: float) -> dict[str, Any]:
        """The next report's part that is about editions."""
        self._seq += 1
        stance = self.stance(now)
        made: dict[str, Any] = {
            "life": self.life,
            "seq": self._seq,
            "of": self._of,
            "held": max(self._documents),
            "prepared": self._pending,
            "acting": stance.acting,
        }
        if self._objections:
            number = self._asked if self._asked in self._objections else max(self._objections)
            made["objection"] = {"edition": number, "reason": self._objections[number]}
        return made

    def answered(self, asked: float, seq: int, raw: Any) -> bool:
        """The answer to report `seq`, which was sent at `asked`; whether it is of the service that counts.

        `ValueError` says what is wrong with it, and changes nothing."""
        if not isinstance(raw, Mapping):
            raise ValueError("an answer is an object")
        edition, pending, life = (whole(raw, name) for name in ("edition", "pending", "life"))
        length = raw.get("permission_ms", 0.0)
        if isinstance(length, bool) or not isinstance(length, int | float) or not 0.0 <= length < 1e7:
            raise ValueError("permission_ms: an amount is wanted")
        if life < self._of:
            self._strays(asked)
            return False
        self._stray = -math.inf
        if life > self._of:
            # What is promised to the one before may be unknown to this one: nothing of it is kept.
            self._of, self._until = life, -math.inf
        if self._pending and seq >= self._promised_at and pending != self._pending:
            # It was decided after the promise had been told: committed, or never to be.
            self._pending = 0
        if length and edition in self._documents and edition not in self._objections:
            self._permit(edition, asked + length / 1000.0, seq, pending)
        return True

    def _strays(self, asked: float) -> None:
        """The service whose word is taken is gone, it seems, and one with a lower life is there, for as long
        as its clock is behind: after `STRAY_S` this goes on like a process that has just begun, except that
        it acts on nothing that what it knew forbids until it has a permission again."""
        if self._stray == -math.inf:
            self._stray = asked
        if asked - self._stray < STRAY_S:
            return
        known = [self._documents[self._permitted], *(edition for edition, _ in self._told.values())]
        self.life = f"{self.life.partition('+')[0]}+{self._of % 10**6}"
        self._documents, self._objections = {0: OWN_FILE}, {}
        self._told = {edition.number: (edition, 0) for edition in known if edition.number}
        self._asked = self._seq = self._of = self._by = 0
        self._pending = self._promised_at = self._permitted = 0
        self._until = self._stray = -math.inf

    def _permit(self, edition: int, until: float, seq: int, pending: int) -> None:
        if edition < self._permitted or (edition == self._permitted and until <= self._until):
            # An answer that was overtaken; or a service that has forgotten what it had permitted.
            return
        self._permitted, self._until, self._by = edition, until, self._of
        # Of those that the report knew, none but the one still pending can take effect any more.
        self._told = {
            number: row
            for number, row in self._told.items()
            if number > edition and (number == pending or row[1] > seq)
        }

    def stance(self, now: float) -> Stance:
        """What to act on at this moment."""
        told = tuple(edition for edition, _ in self._told.values())
        return Stance(now >= self._until, self._documents[self._permitted], told)

    def lacks(self, raw: Mapping[str, Any]) -> bool:
        """Whether an answer names an edition that is not held."""
        return not {whole(raw, "edition"), whole(raw, "pending")} <= self._documents.keys()

    @property
    def held(self) -> int:
        """The newest edition held."""
        return max(self._documents)

    def left_ms(self, now: float) -> float:
        """How long the permission still runs."""
        return max(0.0, (self._until - now) * 1000.0)
