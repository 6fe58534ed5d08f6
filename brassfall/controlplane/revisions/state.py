"""The durable state of the configuration revisions, and the outcome of a revision.

Each change of the durable state is one write.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

import msgspec

from brassfall.controlplane.revisions.document import Revision


class RevisionState(StrEnum):
    """The states of a revision; the values are those on the wire."""

    PREPARED = "prepared"  # The revision is durable, sent to all nodes, and waits for acknowledgements
    COMMITTED = "committed"
    HALTED = "halted"  # The revision will never be committed


class RevisionOutcome(NamedTuple):
    """The outcome of a revision whose content may no longer be stored."""

    state: RevisionState  # COMMITTED or HALTED
    superseded_by: int = 0  # Number of the revision that replaced this one before it was prepared; 0: none


class HaltedRevision(msgspec.Struct, frozen=True, rename={"revision": "edition"}):
    """A revision that was never committed, and the objections to it by sidecar."""

    revision: Revision
    objections: dict[str, str] = {}


class DurableState(msgspec.Struct, frozen=True, rename={"epoch": "life"}):
    """The durable state of the revisions; `rename` has the stored names of fields that differ from these."""

    committed: Revision = Revision()
    pending: Revision | None = None  # Revision that is prepared, and neither committed nor halted yet
    waiting: Revision | None = None  # Newest revision that was published while another one is pending
    halted: HaltedRevision | None = None  # Revision that was halted last
    newest: int = 0  # Highest revision number that was given
    # Epoch to which the service was raised because sidecars follow a later one than the store gave; 0 if it
    # was not raised.
    epoch: int = 0
    requests: dict[str, int] = {}  # Revision number in the answers to the last requests, by request id

    @property
    def pending_number(self) -> int:
        """The number of the pending revision; 0 if there is none."""
        return self.pending.number if self.pending is not None else 0

    @property
    def latest(self) -> Revision:
        """The newest revision that was not halted: the waiting, else the pending, else the committed one."""
        return self.waiting or self.pending or self.committed
