"""The events that the coordinator is given, and the actions that its host has to carry out.

Each event that has an answer carries a `ticket`: a number that the host chooses and that the answer repeats.
Events carry no time, because `RevisionCoordinator.step` gets the time as an argument.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, TypedDict

from brassfall.controlplane.revisions.refusals import LeaseRefusal, refusal_text
from brassfall.controlplane.revisions.reports import Objection, Report
from brassfall.controlplane.revisions.state import DurableState


class DraftFields(TypedDict, total=False):
    """The fields of a draft that a publisher may set; see `Publish`."""

    settings: dict[str, Any] | None
    plan: dict[str, Any] | None
    overrides: list[dict[str, Any]] | None
    if_match: int | None
    forced: bool
    request_id: str


# --- events ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Publish:
    """A draft of a revision, answered by `Published`, `PublishConflict` or `PublishFailed`.

    A layer (`settings`, `plan` or `overrides`) that is None stays as it is in the newest revision.
    """

    ticket: int
    settings: dict[str, Any] | None = None
    plan: dict[str, Any] | None = None
    overrides: list[dict[str, Any]] | None = None
    if_match: int | None = None  # Revision number that has to be the newest, or the draft is refused
    list_index: int = 0
    forced: bool = False
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report of a sidecar, or of an aggregator for itself and its children; answered by `LeaseAnswer`.

    `objections` has the objections of an aggregator's children, by sidecar. The aggregator gets a lease in
    spite of them.
    """

    ticket: int
    name: str
    report: Report
    objections: Mapping[str, Objection] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Persisted:
    """The state that `Persist` asked for is durable."""


@dataclass(frozen=True, slots=True)
class PersistFailed:
    """The write that `Persist` asked for failed."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; nothing else has happened."""


@dataclass(frozen=True, slots=True)
class RemoveMember:
    """A node is to be removed, because an operator wants it or because it has long sent no report."""

    name: str


Event = Publish | ReportReceived | Persisted | PersistFailed | Tick | RemoveMember


# --- actions ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Persist:
    """Make a state durable; until `Persisted` or `PersistFailed` follows, the coordinator decides nothing."""

    state: DurableState


@dataclass(frozen=True, slots=True)
class PersistMember:
    """Add a name to the durable membership, or remove it if `member` is False.

    The host has to call `RevisionCoordinator.member_added` once an addition is durable.
    """

    name: str
    member: bool = True


@dataclass(frozen=True, slots=True)
class Published:
    """The answer to a `Publish` that succeeded: the number of the revision, which is durable by then."""

    ticket: int
    revision: int


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """The answer to a `Publish` whose `if_match` is not the newest revision, with the newest number."""

    ticket: int
    newest: int


@dataclass(frozen=True, slots=True)
class PublishFailed:
    """The answer to a `Publish` whose revision could not be made durable."""

    ticket: int


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """The answer to a report: the number of the committed revision, and a lease on it.

    The node counts `lease_ms` on its own clock, from when it sent the report; 0 means that it gets no lease.
    `pending` is the number of the pending revision, or 0.
    """

    ticket: int
    revision: int
    lease_ms: float
    pending: int
    refusal: LeaseRefusal | None = None

    @property
    def why(self) -> str:
        """The text of the refusal on the wire; empty if a lease is granted."""
        return refusal_text(self.refusal)


@dataclass(frozen=True, slots=True)
class NotifyWatches:
    """Send the present state of the revisions to all watches."""


Action = Persist | PersistMember | Published | PublishConflict | PublishFailed | LeaseAnswer | NotifyWatches
