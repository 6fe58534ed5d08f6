"""Changes of the durable state, as pure functions that return the state to make durable."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from brassfall.controlplane.revisions.document import LAYERS, Revision
from brassfall.controlplane.revisions.messages import Publish
from brassfall.controlplane.revisions.state import DurableState, HaltedRevision

MAX_REQUESTS = 64  # Largest number of request ids that are kept with the revision numbers of their answers


def with_draft(state: DurableState, draft: Publish, epoch: int) -> DurableState:
    """Return the state with a draft as a new revision: pending, or waiting while another one is pending."""
    revision = _numbered(state, draft, epoch)
    requests = state.requests
    if draft.request_id:
        requests = {**requests, draft.request_id: revision.number}
    if len(requests) > MAX_REQUESTS:
        del requests[next(iter(requests))]
    state = msgspec.structs.replace(state, newest=revision.number, requests=requests)
    if state.pending is None:
        return msgspec.structs.replace(state, pending=revision)
    return msgspec.structs.replace(state, waiting=revision)


def _numbered(state: DurableState, draft: Publish, epoch: int) -> Revision:
    stated: dict[str, Any] = {
        name: getattr(draft, name) for name in LAYERS if getattr(draft, name) is not None
    }
    # The numbers of an epoch start at the epoch, above all numbers of earlier epochs: a number that a service
    # gave before it lost its disk is not used again.
    number = max(state.newest + 1, epoch)
    base = state.latest
    waiting_layers = state.waiting.layers if state.waiting is not None else ()
    return msgspec.structs.replace(
        base,
        number=number,
        epoch=epoch,
        follows=state.newest,
        list_index=draft.list_index,
        forced=draft.forced,
        layers=sorted({*stated, *waiting_layers}),
        plan_revision=number if "plan" in stated else base.plan_revision,
        **stated,
    )


def with_pending_committed(state: DurableState) -> DurableState:
    """Return the state in which the pending revision is committed, and the waiting one is pending."""
    if state.pending is None:
        return state
    return msgspec.structs.replace(state, committed=state.pending, pending=state.waiting, waiting=None)


def with_pending_halted(state: DurableState, objections: Mapping[str, str]) -> DurableState:
    """Return the state in which the pending revision is halted, and the waiting one is pending.

    Layers that the waiting revision took over from the halted one are replaced by the committed layers.
    """
    if state.pending is None:
        return state
    pending = _without_layers_of_pending(state, state.waiting) if state.waiting is not None else None
    halted = HaltedRevision(state.pending, dict(objections))
    return msgspec.structs.replace(state, pending=pending, waiting=None, halted=halted)


def _without_layers_of_pending(state: DurableState, waiting: Revision) -> Revision:
    """Return the waiting revision with the committed layers in place of the layers that it does not state."""
    layers = {name: getattr(state.committed, name) for name in LAYERS if name not in waiting.layers}
    if "plan" in layers:
        layers["plan_revision"] = state.committed.plan_revision
    return msgspec.structs.replace(waiting, **layers)


def with_later_epoch(state: DurableState, epoch: int) -> DurableState:
    """Return the state in which the latest revision is pending again, under a later epoch and number.

    Sidecars ignore numbers and epochs below those that they know, so the old number would have no effect.
    """
    latest = state.latest
    state = msgspec.structs.replace(state, epoch=epoch)
    if not latest.number:
        return state
    republished = msgspec.structs.replace(latest, number=epoch, epoch=epoch, follows=state.newest)
    return msgspec.structs.replace(state, pending=republished, waiting=None, newest=epoch)
