"""Which configuration revision this sidecar may act on, and until when. Pure code: times are passed in.

A lease runs on this process's own monotonic clock, counted from when its report was *sent*: however long the
answer took, the lease ends here before the service counts it as ended. Without a lease this sidecar acts on
the fallback configuration. `LeaseClient.active_configuration` is called at each decision: a process that was
stopped for ten seconds decides nothing on a lease that expired meanwhile.

On the wire a revision is an `edition`, a lease a `permission`, and both the service's epoch and the id of
this process a `life`. These names are mapped in this module.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from brassfall.sidecar.agent import forms

FALLBACK = "safe"  # the active configuration, on the wire and in logs, without a lease
MAX_REVISIONS = 4  # kept, beside those that are still needed
LOWER_EPOCH_WAIT_S = 12.0  # more than twice the time that a service needs to count a majority
MAX_CONCURRENT = 32  # revisions received without a lease: more than `agree_ms` has room for
MAX_LEASE_MS = 1e7
MAX_NUMBER = 2**53  # of JSON's whole numbers


# --- configuration revisions ---------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Revision:
    """One numbered configuration document; number 0 stands for this sidecar's own file."""

    number: int
    settings: Mapping[str, Any]
    plan: Mapping[str, Any] | None
    overrides: tuple[Mapping[str, Any], ...]
    plan_revision: int = 0  # the revision that stated the plan, whose age counts from there
    unreadable: str = ""  # the parts left out because this version can't read their form


OWN_FILE = Revision(number=0, settings={}, plan=None, overrides=())


class RevisionState(StrEnum):
    """How far the service has come with a revision; the values are those on the wire."""

    PREPARED = "prepared"  # waits for acknowledgements
    COMMITTED = "committed"  # leases are granted on it
    HALTED = "halted"  # will never be committed


class ActiveConfiguration(NamedTuple):
    """What to act on: `revision`, or if `fallback` is set the fallback configuration made from it.

    `concurrent` are the later revisions that others may act on by now, as far as is known here: of exclusive
    keys only what all of them agree on is acted on. An acknowledgement promises that for each of them, until
    a lease on a later one is granted or they are halted.
    """

    fallback: bool
    revision: Revision
    concurrent: tuple[Revision, ...]

    @property
    def acting(self) -> int | str:
        """The revision's number, or `FALLBACK`, as reports and requests to servers state it."""
        return FALLBACK if self.fallback else self.revision.number


# --- messages ---------------------------------------------------------------------------------------


class MessageError(ValueError):
    """A message from the service that can't be read; it changes nothing."""

    action = "see which version of the list service runs there; this sidecar keeps its lease until it ends"


class _Update(NamedTuple):
    """One line of the watch on configuration revisions."""

    epoch: int
    state: RevisionState | None  # None: one that this version does not know
    revision: Revision
    committed: Revision | None  # the revision in force, beside one that is not


class _Answer(NamedTuple):
    """The parts of an answer to a report that are about the lease."""

    epoch: int
    revision: int  # that the lease is on
    pending: int  # the revision that is prepared; 0: none
    lease_ms: float  # 0: no lease


def read_revision(raw: object) -> Revision:
    """Return one revision as the service sends it; raise `MessageError` if it is malformed."""
    raw = _object(raw, "edition")
    number = _number(raw, "edition")
    settings, plan, overrides = raw.get("settings", {}), raw.get("plan"), raw.get("overrides", [])
    if not isinstance(settings, Mapping) or not isinstance(plan, Mapping | None):
        message = "settings, plan: expected objects"
        raise MessageError(message)
    if not isinstance(overrides, list) or not all(isinstance(row, Mapping) for row in overrides):
        message = "overrides: expected a list of objects"
        raise MessageError(message)
    unreadable = forms.unreadable(settings)
    if plan and not forms.plan_readable(plan):
        plan, unreadable = None, unreadable | {"plan"}
    return Revision(
        number=number,
        settings={key: value for key, value in settings.items() if key not in unreadable},
        plan=plan or None,
        overrides=tuple(overrides),
        plan_revision=_number(raw, "plan_edition"),
        unreadable=", ".join(sorted(unreadable)),
    )


def _read_update(raw: object) -> _Update:
    raw = _object(raw, "edition")
    revision = read_revision(raw)
    committed = raw.get("committed")
    return _Update(
        revision=revision,
        committed=read_revision(committed) if isinstance(committed, Mapping) else None,
        epoch=_number(raw, "life"),
        state=next((state for state in RevisionState if state == raw.get("state")), None),
    )


def _read_answer(raw: object) -> _Answer:
    raw = _object(raw, "answer")
    revision, pending, epoch = (_number(raw, name) for name in ("edition", "pending", "life"))
    lease_ms = raw.get("permission_ms", 0.0)
    number = isinstance(lease_ms, int | float) and not isinstance(lease_ms, bool)
    if not number or not 0.0 <= lease_ms < MAX_LEASE_MS:
        message = "permission_ms: expected milliseconds"
        raise MessageError(message)
    return _Answer(epoch, revision, pending, lease_ms)


def _object(raw: object, name: str) -> Mapping[str, Any]:
    if not isinstance(raw, Mapping):
        message = f"{name}: expected an object"
        raise MessageError(message)
    return raw


def _number(raw: Mapping[str, Any], name: str) -> int:
    value = raw.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < MAX_NUMBER:
        message = f"{name}: expected a whole number from 0"
        raise MessageError(message)
    return value


# --- the lease ------------------------------------------------------------------------------------------


class LeaseClient:
    """The revisions received, what was acknowledged, and the lease."""

    def __init__(self, process_id: str, check: Callable[[Revision], str]) -> None:
        """Start without a lease. `check` returns why a revision can't be acted on, empty where it can."""
        self.process_id = process_id  # as reported; replaced when a service of a lower epoch is followed
        self._check = check
        self._revisions: dict[int, Revision] = {0: OWN_FILE}
        self._objections: dict[int, str] = {}
        self._prepared = 0  # the revision prepared last, as received
        self._seq = 0
        self._epoch = 0  # of the service that is followed
        self._committed = 0  # the revision committed last, as received
        self._acknowledged = 0  # the revision acknowledged last, unless it is known to be decided
        self._acknowledged_by = 0  # the report that acknowledges it
        self._granted = 0
        self._granted_by = 0  # the epoch of the service that granted it
        self._lease_end = -math.inf
        self._lower_since = -math.inf  # since when only a service of a lower epoch answers
        # Revisions after the granted one, each with the first report that was made with it known.
        self._concurrent: dict[int, tuple[Revision, int]] = {}

    # --- what is received -----------------------------------------------------------

    def receive_update(self, raw: object) -> None:
        """Store the revisions in a line of the watch; raise `MessageError` if it is malformed."""
        update = _read_update(raw)
        if update.epoch < self._epoch:
            return  # from a predecessor of the service that is followed: its numbers may be used again
        for revision in (update.committed, update.revision):
            if revision is not None:
                self._store(revision)
                self._note_concurrent(revision, update.epoch)
        in_force = update.revision if update.state is RevisionState.COMMITTED else update.committed
        if in_force is not None:
            self._committed = in_force.number
        number = update.revision.number
        if update.state is RevisionState.HALTED:
            # A service with an old copy of its store may prepare it once more.
            self._concurrent.pop(number, None)
            self._objections.setdefault(number, "halted before")
        if update.state is RevisionState.PREPARED:
            self._prepared = number
            if number not in self._objections:
                self._acknowledge(number)

    def _store(self, revision: Revision) -> None:
        if revision.number in self._revisions or revision.number == 0:
            return  # revisions are immutable
        objection = self._check(revision)
        if objection:
            self._objections[revision.number] = objection
        self._revisions[revision.number] = revision
        needed = {0, self._granted, self._acknowledged, revision.number, *self._concurrent}
        for number in sorted(self._revisions.keys() - needed)[: len(self._revisions) - MAX_REVISIONS]:
            del self._revisions[number]
            self._objections.pop(number, None)

    def _note_concurrent(self, revision: Revision, epoch: int) -> None:
        # A new service may have lost the revision granted here, and grant an older one.
        number = revision.number
        later = number > self._granted or (epoch > self._granted_by and number != self._granted)
        if later and number not in self._concurrent:
            self._concurrent[number] = (revision, self._seq + 1)
            if len(self._concurrent) > MAX_CONCURRENT:
                del self._concurrent[min(self._concurrent)]

    def _acknowledge(self, number: int) -> None:
        if number > self._acknowledged:
            self._acknowledged, self._acknowledged_by = number, self._seq + 1

    # --- reports -----------------------------------------------------------------------

    @property
    def has_urgent_report(self) -> bool:
        """True if the next report should not wait for its interval.

        It then has an acknowledgement or an objection that was not yet sent, or asks for a lease on a
        revision that is committed.
        """
        unsent = self._acknowledged > self._granted and self._acknowledged_by > self._seq
        objects = self._prepared > self._granted and self._prepared in self._objections
        return unsent or objects or self._committed > self._granted

    def report_fields(self, now: float) -> dict[str, Any]:
        """Return the next report's part about revisions, in its form on the wire."""
        self._seq += 1
        part: dict[str, Any] = {
            "life": self.process_id,
            "seq": self._seq,
            "of": self._epoch,
            "held": max(self._revisions),
            "prepared": self._acknowledged,
            "acting": self.active_configuration(now).acting,
        }
        if self._objections:
            number = self._prepared if self._prepared in self._objections else max(self._objections)
            part["objection"] = {"edition": number, "reason": self._objections[number]}
        return part

    # --- leases --------------------------------------------------------------------------

    def receive_answer(self, asked: float, seq: int, raw: object) -> bool:
        """Use the answer to report `seq`, which was sent at `asked`; raise `MessageError` if it is malformed.

        Return False if it is from a service that another one has succeeded: then no lease is granted.
        """
        answer = _read_answer(raw)
        if answer.epoch < self._epoch:
            self._meet_lower_epoch(asked)
            return False
        self._lower_since = -math.inf
        if answer.epoch > self._epoch:
            # The new service may not know what its predecessor granted: the lease ends.
            self._epoch, self._lease_end = answer.epoch, -math.inf
        if self._acknowledged and seq >= self._acknowledged_by and answer.pending != self._acknowledged:
            # It was decided after the acknowledgement was sent: committed, or never to be.
            self._acknowledged = 0
        if answer.lease_ms and answer.revision in self._revisions and answer.revision not in self._objections:
            self._grant(answer, asked, seq)
        return True

    def _meet_lower_epoch(self, asked: float) -> None:
        """Follow a service of a lower epoch once it alone has answered for `LOWER_EPOCH_WAIT_S`.

        Its predecessor seems to be gone for good. This goes on like a process that has just started, except
        that it acts on nothing that the revisions known before forbid, until it has a lease again.
        """
        if self._lower_since == -math.inf:
            self._lower_since = asked
        if asked - self._lower_since < LOWER_EPOCH_WAIT_S:
            return
        known = [self._revisions[self._granted], *(revision for revision, _ in self._concurrent.values())]
        self.process_id = f"{self.process_id.partition('+')[0]}+{self._epoch % 10**6}"
        self._revisions, self._objections = {0: OWN_FILE}, {}
        self._concurrent = {revision.number: (revision, 0) for revision in known if revision.number}
        self._prepared = self._seq = self._epoch = self._granted_by = 0
        self._acknowledged = self._acknowledged_by = self._granted = 0
        self._lease_end = self._lower_since = -math.inf

    def _grant(self, answer: _Answer, asked: float, seq: int) -> None:
        number, lease_end = answer.revision, asked + answer.lease_ms / 1000.0
        if number < self._granted or (number == self._granted and lease_end <= self._lease_end):
            return  # a late answer, or from a service that has lost what it had granted
        self._granted, self._lease_end, self._granted_by = number, lease_end, self._epoch
        # Of the revisions that the report knew only the pending one can still take effect.
        self._concurrent = {
            later: row
            for later, row in self._concurrent.items()
            if later > number and (later == answer.pending or row[1] > seq)
        }

    def active_configuration(self, now: float) -> ActiveConfiguration:
        """Return what to act on at this time."""
        concurrent = tuple(revision for revision, _ in self._concurrent.values())
        return ActiveConfiguration(now >= self._lease_end, self._revisions[self._granted], concurrent)

    def lacks_revision(self, raw: Mapping[str, Any]) -> bool:
        """Return whether an answer names a revision that was not received."""
        return not {_number(raw, "edition"), _number(raw, "pending")} <= self._revisions.keys()

    @property
    def newest_revision(self) -> int:
        """The number of the newest revision received."""
        return max(self._revisions)

    def lease_left_ms(self, now: float) -> float:
        """Return how long the lease still runs; 0 without one."""
        return max(0.0, (self._lease_end - now) * 1000.0)
