"""The events that the coordinator is given, and the actions that its host has to carry out.

Each event that has an answer carries a `ticket`, a number chosen by the host that comes back with the answer.
Events have no times: `RevisionCoordinator.step` is given the time.
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

    Layers that are None stay as they are in the newest revision.
    """

    ticket: int
    settings: dict[str, Any] | None = None
    plan: dict[str, Any] | None = None
    overrides: list[dict[str, Any]] | None = None
    if_match: int | None = None  # the number that has to be the newest
    list_index: int = 0
    forced: bool = False
    request_id: str = ""


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """A report, answered by `LeaseAnswer`: of a sidecar, or of an aggregator for itself and its children.

    `objections` are those of an aggregator's children, by sidecar; none of them costs the aggregator its
    lease.
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
    """A node is removed, by an operator or after a long silence."""

    name: str


Event = Publish | ReportReceived | Persisted | PersistFailed | Tick | RemoveMember


# --- actions ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Persist:
    """Make a state durable; nothing else is decided before `Persisted` or `PersistFailed` follows."""

    state: DurableState


@dataclass(frozen=True, slots=True)
class PersistMember:
    """Add a name to the durable membership, or remove it.

    `RevisionCoordinator.member_added` has to be called once an addition is durable.
    """

    name: str
    member: bool = True


@dataclass(frozen=True, slots=True)
class Published:
    """The answer to `Publish`: the revision's number, once that is durable."""

    ticket: int
    revision: int


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """The answer to `Publish` whose `if_match` is not the newest revision."""

    ticket: int
    newest: int


@dataclass(frozen=True, slots=True)
class PublishFailed:
    """The answer to `Publish` if the write failed."""

    ticket: int


@dataclass(frozen=True, slots=True)
class LeaseAnswer:
    """The answer to a report: the committed revision, and a lease on it.

    `lease_ms` counts from when the node sent its report, on its clock; it is 0 with a refusal. `pending` is
    the number of the pending revision, or 0.
    """

    ticket: int
    revision: int
    lease_ms: float
    pending: int
    refusal: LeaseRefusal | None = None

    @property
    def why(self) -> str:
        """The refusal's text on the wire; empty with a lease."""
        return refusal_text(self.refusal)


@dataclass(frozen=True, slots=True)
class NotifyWatches:
    """Send the new state to all watches."""


Action = Persist | PersistMember | Published | PublishConflict | PublishFailed | LeaseAnswer | NotifyWatches
