"""The durable state of the revisions, each change of which is one write, and the outcome of a revision."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

from brassfall.controlplane.revisions.document import Revision


class RevisionState(StrEnum):
    """How far a revision has come; the values are those on the wire."""

    PREPARED = "prepared"  # durable and sent to all; waits for acknowledgements
    COMMITTED = "committed"
    HALTED = "halted"  # will never be committed


class RevisionOutcome(NamedTuple):
    """What became of a revision whose content is not kept."""

    state: RevisionState  # COMMITTED or HALTED
    superseded_by: int = 0  # the revision that took its place before it was prepared; 0: none


class HaltedRevision(msgspec.Struct, frozen=True, rename={"revision": "edition"}):
    """A revision that was never committed, and the objections to it by sidecar."""

    revision: Revision
    objections: dict[str, str] = {}


class DurableState(msgspec.Struct, frozen=True, rename={"epoch": "life"}):
    """What is durable of the revisions, stored under the names that `rename` gives."""

    committed: Revision = Revision()
    pending: Revision | None = None  # prepared, and neither committed nor halted yet
    waiting: Revision | None = None  # the newest that was published while another is pending
    halted: HaltedRevision | None = None  # the last one that was halted
    newest: int = 0  # the highest number given
    epoch: int = 0  # raised above the one that the store gave, if sidecars follow a later one; 0: not raised
    requests: dict[str, int] = {}  # the revision that each of the last request ids was answered with

    @property
    def pending_number(self) -> int:
        """The number of the pending revision; 0 if there is none."""
        return self.pending.number if self.pending is not None else 0

    @property
    def latest(self) -> Revision:
        """The revision published last that was not halted: waiting, pending, or else committed."""
        return self.waiting or self.pending or self.committed
