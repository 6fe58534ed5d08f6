"""State of the service's configuration revisions as known at an aggregator.

The aggregator receives it from its watch on the service, from fetched states and from the answers to its
reports. Any of these messages may be late. Revision numbers only grow within an epoch, so of two messages the
older one has the lower number.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.revisions.state import RevisionState


@dataclass(slots=True)
class RevisionView:
    """Newest known state of the revisions of one epoch; a number is 0 if there is no such revision."""

    epoch: int = 0
    committed: int = 0  # the newest revision known to be committed
    pending: int = 0  # the revision known to be prepared, and not yet committed or halted
    decided: int = 0  # the newest revision known to be committed or halted
    _pending_seq: int = 0  # number of the first report built while `pending` was known
    _documents: set[int] = field(default_factory=set)  # revisions received with their documents

    @property
    def newest(self) -> int:
        """The newest revision known, in whatever state."""
        return max(self.committed, self.pending, self.decided)

    @property
    def has_committed(self) -> bool:
        """True if the document of the committed revision was received, or none is committed."""
        return self.committed == 0 or self.committed in self._documents

    @property
    def incomplete(self) -> bool:
        """True if the document of the committed or of the pending revision was not received."""
        return not self.has_committed or (self.pending != 0 and self.pending not in self._documents)

    def begin_epoch(self, epoch: int) -> None:
        """Begin another epoch, and remove the state of the previous one."""
        self.epoch, self.committed, self.pending, self.decided = epoch, 0, 0, 0
        self._pending_seq = 0
        self._documents = set()

    def state_received(self, revision: int, state: str, committed: int, next_seq: int) -> bool:
        """Apply a state received from the service; return False if it is older than the known one.

        `next_seq` is the number of the next report, the first one that is built with this state known.
        """
        newest_committed = revision if state == RevisionState.COMMITTED else committed
        decided = revision if state != RevisionState.PREPARED else newest_committed
        if newest_committed < self.committed or revision < self.newest:
            return False
        if state == RevisionState.PREPARED and revision <= self.decided:
            return False
        self._documents = {number for number in self._documents if number >= newest_committed} | {
            revision,
            newest_committed,
        }
        self._decide(newest_committed, decided)
        if state == RevisionState.PREPARED:
            self._prepare(revision, next_seq)
        return True

    def report_answered(self, revision: int, pending: int, seq: int, next_seq: int, *, granted: bool) -> None:
        """Apply the answer to report `seq`, the newest report that was answered.

        If the answer grants a lease, it names the pending revision. The pending revision known here is thus
        decided (committed or halted) if such an answer does not name it and the report was built with it
        known. An answer without a lease may omit the pending revision.
        """
        self._decide(revision, revision)
        if self.pending and seq >= self._pending_seq and pending != self.pending and granted:
            self._decide(self.committed, self.pending)
        if pending > self.newest:
            self._prepare(pending, next_seq)

    def _decide(self, committed: int, decided: int) -> None:
        self.committed = max(self.committed, committed)
        self.decided = max(self.decided, committed, decided)
        if self.pending <= self.decided:
            self.pending = 0

    def _prepare(self, revision: int, next_seq: int) -> None:
        if revision != self.pending:
            # Only one revision is pending at a time, so the earlier one was committed or halted.
            self.decided = max(self.decided, self.pending)
            self.pending, self._pending_seq = revision, next_seq
