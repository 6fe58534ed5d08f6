"""The wire form of the revisions: the state as a line, and what became of one revision. Pure code."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

from brassfall.controlplane.revisions.coordinator import COMMITTED, HALTED
from brassfall.controlplane.revisions.document import Revision
from brassfall.controlplane.revisions.state import DurableState
from brassfall.errors import NotFoundError

PREPARED = "prepared"


class RevisionLine(
    msgspec.Struct, frozen=True, kw_only=True, rename={"number": "edition", "plan_revision": "plan_edition"}
):
    """One revision as sidecars get it."""

    number: int
    follows: int
    list_index: int
    settings: dict[str, Any]
    plan: dict[str, Any] | None
    plan_revision: int
    overrides: list[dict[str, Any]]


class ObjectionRow(msgspec.Struct, frozen=True, rename={"node": "edge"}):
    """Why one sidecar can't act on a revision; `node` is empty where the reason is none of a sidecar's."""

    node: str
    reason: str


class StateLine(RevisionLine, frozen=True, kw_only=True, rename={"epoch": "life"}):
    """A revision, what has become of it, and the one in force beside it where that is another."""

    epoch: int
    state: str  # PREPARED, COMMITTED or HALTED
    objections: list[ObjectionRow]
    newest: int  # the highest number given
    committed: RevisionLine | UnsetType = UNSET


class Outcome(msgspec.Struct, frozen=True, rename={"number": "edition", "epoch": "life"}):
    """What became of a revision whose content is not kept any more."""

    number: int
    epoch: int
    state: str
    objections: list[ObjectionRow]


def current_state(state: DurableState, epoch: int) -> StateLine:
    """The revision that matters most now, and the one in force beside it where that is another."""
    in_force = _revision_line(state.committed)
    if state.pending is not None:
        return _state_line(state, epoch, state.pending, PREPARED, committed=in_force)
    halted = state.halted
    if halted is not None and halted.revision.number > state.committed.number:
        return _state_line(state, epoch, halted.revision, HALTED, halted.objections, committed=in_force)
    return _state_line(state, epoch, state.committed, COMMITTED)


def state_of(
    state: DurableState, epoch: int, outcomes: Mapping[int, str], number: int
) -> StateLine | Outcome:
    """What became of one revision; `NotFoundError` where that is not known any more."""
    if number == state.committed.number:
        return _state_line(state, epoch, state.committed, COMMITTED)
    for revision in (state.pending, state.waiting):
        if revision is not None and revision.number == number:
            return _state_line(state, epoch, revision, PREPARED)
    if state.halted is not None and state.halted.revision.number == number:
        return _state_line(state, epoch, state.halted.revision, HALTED, state.halted.objections)
    if number in outcomes:
        return _outcome(epoch, number, outcomes[number])
    raise NotFoundError(
        "no such edition", f"{number} is neither in force nor among the last that were published"
    )


def _outcome(epoch: int, number: int, outcome: str) -> Outcome:
    if outcome == COMMITTED:
        return Outcome(number, epoch, COMMITTED, [])
    return Outcome(number, epoch, HALTED, [ObjectionRow("", outcome)])


def _state_line(
    durable: DurableState,
    epoch: int,
    revision: Revision,
    state: str,
    objections: Mapping[str, str] | None = None,
    committed: RevisionLine | UnsetType = UNSET,
) -> StateLine:
    return StateLine(
        **_content(revision),
        epoch=epoch,
        state=state,
        objections=[ObjectionRow(name, why) for name, why in (objections or {}).items()],
        newest=durable.newest,
        committed=committed,
    )


def _revision_line(revision: Revision) -> RevisionLine:
    return RevisionLine(**_content(revision))


def _content(revision: Revision) -> dict[str, Any]:
    return {name: getattr(revision, name) for name in RevisionLine.__struct_fields__}
