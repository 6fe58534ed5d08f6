"""JSON forms of configuration revisions: lines of watches, and the outcome of a single revision. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

from brassfall.controlplane.revisions.document import Revision
from brassfall.controlplane.revisions.state import (
    DurableState,
    HaltedRevision,
    RevisionOutcome,
    RevisionState,
)
from brassfall.errors import NotFoundError


class RevisionLine(
    msgspec.Struct, frozen=True, kw_only=True, rename={"number": "edition", "plan_revision": "plan_edition"}
):
    """A revision in the form in which sidecars get it."""

    number: int
    follows: int
    list_index: int
    settings: dict[str, Any]
    plan: dict[str, Any] | None
    plan_revision: int
    overrides: list[dict[str, Any]]


class ObjectionRow(msgspec.Struct, frozen=True, rename={"node": "edge"}):
    """A reason why a revision is not in force; `node` names the sidecar that objects, or is empty."""

    node: str
    reason: str


class StateLine(RevisionLine, frozen=True, kw_only=True, rename={"epoch": "life"}):
    """A revision with its state, and the committed revision if that is a different one."""

    epoch: int
    state: RevisionState
    objections: list[ObjectionRow]
    newest: int  # highest revision number that the service has assigned
    committed: RevisionLine | UnsetType = UNSET


class Outcome(msgspec.Struct, frozen=True, rename={"number": "edition", "epoch": "life"}):
    """The outcome of a revision whose content is no longer stored."""

    number: int
    epoch: int
    state: RevisionState
    objections: list[ObjectionRow]


def current_state(state: DurableState, epoch: int) -> StateLine:
    """Return the line for watches on the revision state.

    Its revision is the pending one; without one, a halted revision newer than the committed one; without
    that, the committed revision.
    """
    in_force = _revision_line(state.committed)
    if state.pending is not None:
        return _state_line(state, epoch, state.pending, RevisionState.PREPARED, committed=in_force)
    halted = state.halted
    if halted is not None and halted.revision.number > state.committed.number:
        return _halted_line(state, epoch, halted, committed=in_force)
    return _state_line(state, epoch, state.committed, RevisionState.COMMITTED)


def state_of(
    state: DurableState, epoch: int, outcomes: Mapping[int, RevisionOutcome], number: int
) -> StateLine | Outcome:
    """Return the state of the revision `number`; raise `NotFoundError` if it is unknown.

    `outcomes` holds the states of revisions whose content is no longer stored.
    """
    if number == state.committed.number:
        return _state_line(state, epoch, state.committed, RevisionState.COMMITTED)
    for revision in (state.pending, state.waiting):
        if revision is not None and revision.number == number:
            return _state_line(state, epoch, revision, RevisionState.PREPARED)
    if state.halted is not None and state.halted.revision.number == number:
        return _halted_line(state, epoch, state.halted)
    if number in outcomes:
        return _outcome(epoch, number, outcomes[number])
    what, why = "no such edition", f"{number} is neither in force nor among the last that were published"
    raise NotFoundError(what, why)


def _outcome(epoch: int, number: int, outcome: RevisionOutcome) -> Outcome:
    if outcome.state is RevisionState.COMMITTED:
        return Outcome(number, epoch, outcome.state, [])
    newer = outcome.superseded_by
    reason = f"superseded by edition {newer}" if newer else outcome.state.value
    return Outcome(number, epoch, outcome.state, [ObjectionRow("", reason)])


def _halted_line(
    durable: DurableState, epoch: int, halted: HaltedRevision, committed: RevisionLine | UnsetType = UNSET
) -> StateLine:
    line = _state_line(durable, epoch, halted.revision, RevisionState.HALTED, committed)
    rows = [ObjectionRow(name, reason) for name, reason in halted.objections.items()]
    return msgspec.structs.replace(line, objections=rows)


def _state_line(
    durable: DurableState,
    epoch: int,
    revision: Revision,
    state: RevisionState,
    committed: RevisionLine | UnsetType = UNSET,
) -> StateLine:
    return StateLine(
        **_content(revision),
        epoch=epoch,
        state=state,
        objections=[],
        newest=durable.newest,
        committed=committed,
    )


def _revision_line(revision: Revision) -> RevisionLine:
    return RevisionLine(**_content(revision))


def _content(revision: Revision) -> dict[str, Any]:
    return {name: getattr(revision, name) for name in RevisionLine.__struct_fields__}
