"""The lease client: which configuration revision this sidecar may act on, and until when.

The module is pure code: times are passed in, in seconds of this process's monotonic clock.

A lease counts from the time at which the report was *sent* that requested it. However long the answer takes,
the lease therefore ends at this sidecar before the list service regards it as ended. Without a lease this
sidecar acts on the fallback configuration. `LeaseClient.active_configuration` is called at each decision, so
that a process that was stopped for ten seconds makes no decision under a lease that expired meanwhile.

On the wire a revision is called `edition` and a lease `permission`. `life` stands for the epoch of the list
service in its messages, and for the id of this process in reports. This module maps these names.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from brassfall.sidecar.agent import forms

FALLBACK = "safe"  # Name of the fallback configuration on the wire and in logs, in place of a revision number
MAX_REVISIONS = 4  # Largest number of stored revisions, apart from those that are still needed
# Time for which only list services of a lower epoch must have answered before one of them is followed, in
# seconds. It is more than twice the time that a list service needs to count a majority.
LOWER_EPOCH_WAIT_S = 12.0
# Largest number of concurrent revisions that are remembered, which is more than can be published within the
# setting `agree_ms`.
MAX_CONCURRENT = 32
MAX_LEASE_MS = 1e7  # Limit below which the length of a lease is accepted, in milliseconds
MAX_NUMBER = 2**53  # Limit below which a whole number is accepted; JSON parsers read these numbers exactly


# --- configuration revisions ---------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Revision:
    """One numbered configuration document; number 0 stands for this sidecar's own file."""

    number: int
    settings: Mapping[str, Any]
    plan: Mapping[str, Any] | None
    overrides: tuple[Mapping[str, Any], ...]
    # Number of the revision with which the plan was published. The age of the plan counts from the time at
    # which this sidecar first used that revision.
    plan_revision: int = 0
    # Names of the parts that were left out because this version can't read their form, joined by commas.
    unreadable: str = ""


OWN_FILE = Revision(number=0, settings={}, plan=None, overrides=())


class RevisionState(StrEnum):
    """State of a revision at the list service; the values are those on the wire."""

    PREPARED = "prepared"  # The list service waits for acknowledgements of the revision.
    COMMITTED = "committed"  # The list service grants leases on the revision.
    HALTED = "halted"  # The list service will never commit the revision.


class ActiveConfiguration(NamedTuple):
    """The configuration to act on: `revision`, or the fallback configuration derived from it.

    It is the fallback configuration if `fallback` is set.

    `concurrent` contains the other revisions that other sidecars may act on now, as far as this sidecar
    knows. For the exclusive keys, this sidecar acts only on what `revision` and all of them agree on. An
    acknowledgement of a revision promises this to the list service, until a lease on a later revision is
    granted or the revision is halted.
    """

    fallback: bool
    revision: Revision
    concurrent: tuple[Revision, ...]

    @property
    def acting(self) -> int | str:
        """The number of the revision or `FALLBACK`, as stated in reports and in requests to servers."""
        return FALLBACK if self.fallback else self.revision.number


# --- messages ---------------------------------------------------------------------------------------


class MessageError(ValueError):
    """A malformed message from the list service, which changes nothing."""

    action = (
        "check which version of the list service runs at that address; this sidecar keeps its lease until "
        "the lease ends"
    )


class _Update(NamedTuple):
    """One line of the watch on configuration revisions."""

    epoch: int  # Epoch of the list service
    state: RevisionState | None  # State of `revision`; None if this version does not know the state
    revision: Revision
    committed: Revision | None  # The committed revision, sent with a `revision` that is not committed


class _Answer(NamedTuple):
    """The fields of an answer to a report that are about the lease."""

    epoch: int  # Epoch of the list service
    revision: int  # Number of the revision on which the lease is granted
    pending: int  # Number of the prepared revision; 0 if none is prepared
    lease_ms: float  # Length of the lease in milliseconds; 0 if none is granted


def read_revision(raw: object) -> Revision:
    """Return a revision parsed from its form on the wire; raise `MessageError` if it is malformed.

    Settings and plans of a form that this version can't read are left out, and named in `unreadable`.
    """
    raw = _require_object(raw, "edition")
    number = _require_number(raw, "edition")
    settings, plan, overrides = raw.get("settings", {}), raw.get("plan"), raw.get("overrides", [])
    if not isinstance(settings, Mapping) or not isinstance(plan, Mapping | None):
        message = "settings, plan: expected objects, or null for the plan"
        raise MessageError(message)
    if not isinstance(overrides, list) or not all(isinstance(row, Mapping) for row in overrides):
        message = "overrides: expected a list of objects"
        raise MessageError(message)
    unreadable = forms.unreadable_keys(settings)
    if plan and not forms.can_read_plan(plan):
        plan, unreadable = None, unreadable | {"plan"}
    return Revision(
        number=number,
        settings={key: value for key, value in settings.items() if key not in unreadable},
        plan=plan or None,
        overrides=tuple(overrides),
        plan_revision=_require_number(raw, "plan_edition"),
        unreadable=", ".join(sorted(unreadable)),
    )


def _read_update(raw: object) -> _Update:
    """Return a line of the watch parsed from its form on the wire; raise `MessageError` if malformed."""
    raw = _require_object(raw, "edition")
    revision = read_revision(raw)
    committed = raw.get("committed")
    return _Update(
        revision=revision,
        committed=read_revision(committed) if isinstance(committed, Mapping) else None,
        epoch=_require_number(raw, "life"),
        state=next((state for state in RevisionState if state == raw.get("state")), None),
    )


def _read_answer(raw: object) -> _Answer:
    """Return the lease fields of an answer to a report; raise `MessageError` if they are malformed."""
    raw = _require_object(raw, "answer")
    revision, pending, epoch = (_require_number(raw, name) for name in ("edition", "pending", "life"))
    lease_ms = raw.get("permission_ms", 0.0)
    is_number = isinstance(lease_ms, int | float) and not isinstance(lease_ms, bool)
    if not is_number or not 0.0 <= lease_ms < MAX_LEASE_MS:
        message = "permission_ms: expected milliseconds from 0 to less than 10,000,000"
        raise MessageError(message)
    return _Answer(epoch, revision, pending, lease_ms)


def _require_object(raw: object, name: str) -> Mapping[str, Any]:
    """Return `raw` if it is a JSON object; raise `MessageError` about the part `name` if it is not."""
    if not isinstance(raw, Mapping):
        message = f"{name}: expected an object"
        raise MessageError(message)
    return raw


def _require_number(raw: Mapping[str, Any], name: str) -> int:
    """Return the whole number in a field, or 0 without the field; raise `MessageError` if it is invalid."""
    value = raw.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < MAX_NUMBER:
        message = f"{name}: expected a whole number from 0 to 2**53 - 1"
        raise MessageError(message)
    return value


# --- the lease ------------------------------------------------------------------------------------------


class LeaseClient:
    """State of this process towards the list service: received revisions, acknowledgement and lease.

    The list service whose epoch the client has accepted last is the one that it follows.
    """

    def __init__(self, process_id: str, check: Callable[[Revision], str]) -> None:
        """Create a client without a lease.

        `check` returns the reason why this sidecar can't act on a revision, or an empty text if it can.
        """
        # Id of this process in reports. A new id is used once a list service of a lower epoch is followed.
        self.process_id = process_id
        self._check = check
        self._revisions: dict[int, Revision] = {0: OWN_FILE}  # The stored revisions by number
        # The reason for objecting to a revision, by revision number.
        self._objections: dict[int, str] = {}
        self._prepared = 0  # Number of the revision that was last received as prepared
        self._seq = 0  # Sequence number of the last report
        self._epoch = 0  # Epoch of the list service that is followed
        self._committed = 0  # Number of the revision that was last received as committed
        # Number of the revision acknowledged last; 0 once the list service is known to have decided on it.
        self._acknowledged = 0
        self._acknowledged_by = 0  # Sequence number of the first report with the acknowledgement
        self._granted = 0  # Number of the revision on which the last lease was granted
        self._granted_by = 0  # Epoch of the list service that granted the last lease
        self._lease_end = -math.inf  # End of the lease in seconds of this process's clock
        # Time since which only list services of a lower epoch have answered; -inf if none has.
        self._lower_epoch_since = -math.inf
        # The concurrent revisions by number, each with the sequence number of the first report that was made
        # after the revision had become known.
        self._concurrent: dict[int, tuple[Revision, int]] = {}

    # --- updates from the watch -------------------------------------------------------

    def receive_update(self, raw: object) -> None:
        """Store the revisions of a line of the watch, and acknowledge a prepared one.

        Raise `MessageError` if the line is malformed.
        """
        update = _read_update(raw)
        if update.epoch < self._epoch:
            # The line comes from a predecessor of the list service that is followed, which may use the
            # predecessor's revision numbers again.
            return
        for revision in (update.committed, update.revision):
            if revision is not None:
                self._store(revision)
                self._note_concurrent(revision, update.epoch)
        committed = update.revision if update.state is RevisionState.COMMITTED else update.committed
        if committed is not None:
            self._committed = committed.number
        number = update.revision.number
        if update.state is RevisionState.HALTED:
            # A list service with an old copy of its store may prepare the halted revision again; this
            # sidecar then objects to it.
            self._concurrent.pop(number, None)
            self._objections.setdefault(number, "halted before")
        if update.state is RevisionState.PREPARED:
            self._prepared = number
            if number not in self._objections:
                self._acknowledge(number)

    def _store(self, revision: Revision) -> None:
        """Check and store a revision, and forget the oldest revisions that are no longer needed."""
        if revision.number in self._revisions or revision.number == 0:
            return  # The content of a revision never changes.
        objection = self._check(revision)
        if objection:
            self._objections[revision.number] = objection
        self._revisions[revision.number] = revision
        needed = {0, self._granted, self._acknowledged, revision.number, *self._concurrent}
        for number in sorted(self._revisions.keys() - needed)[: len(self._revisions) - MAX_REVISIONS]:
            del self._revisions[number]
            self._objections.pop(number, None)

    def _note_concurrent(self, revision: Revision, epoch: int) -> None:
        """Remember a revision that other sidecars may act on while this one acts on the granted revision."""
        # A list service of a new epoch may have lost the revision granted to this sidecar, and may grant
        # leases on an older one.
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
        """Whether the next report should be sent before the report interval has passed.

        This is the case if the report has an acknowledgement or an objection that was not sent yet, or if it
        requests the lease on a newly committed revision.
        """
        has_new_acknowledgement = self._acknowledged > self._granted and self._acknowledged_by > self._seq
        has_objection = self._prepared > self._granted and self._prepared in self._objections
        return has_new_acknowledgement or has_objection or self._committed > self._granted

    def report_fields(self, now: float) -> dict[str, Any]:
        """Return the fields about revisions of the next report, in their form on the wire."""
        self._seq += 1
        fields: dict[str, Any] = {
            "life": self.process_id,
            "seq": self._seq,
            "of": self._epoch,
            "held": max(self._revisions),
            "prepared": self._acknowledged,
            "acting": self.active_configuration(now).acting,
        }
        if self._objections:
            number = self._prepared if self._prepared in self._objections else max(self._objections)
            fields["objection"] = {"edition": number, "reason": self._objections[number]}
        return fields

    # --- leases --------------------------------------------------------------------------

    def receive_answer(self, sent_at: float, seq: int, raw: object) -> bool:
        """Apply the answer to the report with sequence number `seq`, which was sent at `sent_at`.

        Return False if the answer comes from a list service that another one has succeeded; it then grants no
        lease. Raise `MessageError` if the answer is malformed.
        """
        answer = _read_answer(raw)
        if answer.epoch < self._epoch:
            self._receive_lower_epoch_answer(sent_at)
            return False
        self._lower_epoch_since = -math.inf
        if answer.epoch > self._epoch:
            # The new list service may not know the lease that its predecessor granted, so the lease ends.
            self._epoch, self._lease_end = answer.epoch, -math.inf
        if self._acknowledged and seq >= self._acknowledged_by and answer.pending != self._acknowledged:
            # The answer is newer than the acknowledgement, and the acknowledged revision is not pending: the
            # list service has either committed it or will never commit it.
            self._acknowledged = 0
        if answer.lease_ms and answer.revision in self._revisions and answer.revision not in self._objections:
            self._grant(answer, sent_at, seq)
        return True

    def _receive_lower_epoch_answer(self, sent_at: float) -> None:
        """Follow list services of a lower epoch once only they have answered for `LOWER_EPOCH_WAIT_S`.

        The list service of the higher epoch seems to be lost for good. The client then continues like that of
        a process that has just started, with one difference: the revisions known before stay concurrent
        revisions, so that nothing is done that they forbid until there is a lease again.
        """
        if self._lower_epoch_since == -math.inf:
            self._lower_epoch_since = sent_at
        if sent_at - self._lower_epoch_since < LOWER_EPOCH_WAIT_S:
            return
        known = [self._revisions[self._granted], *(revision for revision, _ in self._concurrent.values())]
        self.process_id = f"{self.process_id.partition('+')[0]}+{self._epoch % 10**6}"
        self._revisions, self._objections = {0: OWN_FILE}, {}
        self._concurrent = {revision.number: (revision, 0) for revision in known if revision.number}
        self._prepared = self._seq = self._epoch = self._granted_by = 0
        self._acknowledged = self._acknowledged_by = self._granted = 0
        self._lease_end = self._lower_epoch_since = -math.inf

    def _grant(self, answer: _Answer, sent_at: float, seq: int) -> None:
        """Start the lease that an answer grants, unless it is older than the lease granted last."""
        number, lease_end = answer.revision, sent_at + answer.lease_ms / 1000.0
        if number < self._granted or (number == self._granted and lease_end <= self._lease_end):
            # The answer is late, or the list service has lost the revision that it granted before: the lease
            # granted last stays in force.
            return
        self._granted, self._lease_end, self._granted_by = number, lease_end, self._epoch
        # Of the revisions that were known when the report was made, only the pending one can still be
        # committed.
        self._concurrent = {
            later: row
            for later, row in self._concurrent.items()
            if later > number and (later == answer.pending or row[1] > seq)
        }

    def active_configuration(self, now: float) -> ActiveConfiguration:
        """Return the configuration to act on at `now`."""
        concurrent = tuple(revision for revision, _ in self._concurrent.values())
        return ActiveConfiguration(now >= self._lease_end, self._revisions[self._granted], concurrent)

    def lacks_revision(self, raw: Mapping[str, Any]) -> bool:
        """Return whether an answer names a revision that is not stored here."""
        return (
            not {_require_number(raw, "edition"), _require_number(raw, "pending")} <= self._revisions.keys()
        )

    @property
    def newest_revision(self) -> int:
        """The highest number of the stored revisions."""
        return max(self._revisions)

    def lease_left_ms(self, now: float) -> float:
        """Return the time left of the lease in milliseconds; 0 without a lease."""
        return max(0.0, (self._lease_end - now) * 1000.0)
