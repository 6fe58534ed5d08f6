"""How revisions are told on the wire: the state as a whole, and what became of one of them. Pure code."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from brassfall.controlplane.revisions.core import Kept
from brassfall.controlplane.revisions.document import Edition
from brassfall.errors import NotFoundError


def current_state(kept: Kept, epoch: int) -> dict[str, Any]:
    """The revision that matters most now, and the one in force beside it where that is another."""
    if kept.pending is not None:
        return _told(kept, epoch, kept.pending, "prepared") | {"committed": _plain(kept.committed)}
    halted = kept.halted
    if halted is not None and halted.edition.number > kept.committed.number:
        told = _told(kept, epoch, halted.edition, "halted", halted.objections)
        return told | {"committed": _plain(kept.committed)}
    return _told(kept, epoch, kept.committed, "committed")


def state_of(kept: Kept, epoch: int, outcomes: Mapping[int, str], number: int) -> dict[str, Any]:
    """What became of one revision; `NotFoundError` where that is not known any more."""
    if number == kept.committed.number:
        return _told(kept, epoch, kept.committed, "committed")
    for edition in (kept.pending, kept.waiting):
        if edition is not None and edition.number == number:
            return _told(kept, epoch, edition, "prepared")
    if kept.halted is not None and kept.halted.edition.number == number:
        return _told(kept, epoch, kept.halted.edition, "halted", kept.halted.objections)
    if number in outcomes:
        outcome = outcomes[number]
        state = "committed" if outcome == "committed" else "halted"
        reasons = [] if state == "committed" else [{"edge": "", "reason": outcome}]
        return {"edition": number, "life": epoch, "state": state, "objections": reasons}
    raise NotFoundError(
        "no such edition", f"{number} is neither in force nor among the last that were published"
    )


def _told(
    kept: Kept, epoch: int, edition: Edition, state: str, objections: Mapping[str, str] | None = None
) -> dict[str, Any]:
    reasons = [{"edge": name, "reason": why} for name, why in (objections or {}).items()]
    more = {"life": epoch, "state": state, "objections": reasons}
    return {**_plain(edition), **more, "newest": kept.newest}


def _plain(edition: Edition) -> dict[str, Any]:
    return {
        "edition": edition.number,
        "follows": edition.follows,
        "list_index": edition.list_index,
        "settings": edition.settings,
        "plan": edition.plan,
        "plan_edition": edition.plan_edition,
        "overrides": edition.overrides,
    }
