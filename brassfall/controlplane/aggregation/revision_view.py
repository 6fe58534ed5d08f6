"""The service's revisions as an aggregator knows them. Pure code.

They are received by the watch, by fetched states, and by answers to reports, each of which may be late.
Within an epoch numbers only grow, so the older of two has the lower number.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassfall.controlplane.revisions.state import RevisionState


@dataclass(slots=True)
class RevisionView:
    """The newest state known of one epoch; a number is 0 if there is no such revision."""

    epoch: int = 0
    committed: int = 0
    pending: int = 0
    decided: int = 0  # the newest revision known to be committed or halted
    _pending_seq: int = 0  # the first report that was made with `pending` known
    _documents: set[int] = field(default_factory=set)  # revisions whose documents were received

    @property
    def newest(self) -> int:
        """The newest revision known."""
        return max(self.committed, self.pending, self.decided)

    @property
    def has_committed(self) -> bool:
        """True if the committed document was received."""
        return self.committed == 0 or self.committed in self._documents

    @property
    def incomplete(self) -> bool:
        """True if the committed or the pending document was not received."""
        return not self.has_committed or (self.pending != 0 and self.pending not in self._documents)

    def begin_epoch(self, epoch: int) -> None:
        """Follow another epoch, and forget everything of the previous one."""
        self.epoch, self.committed, self.pending, self.decided = epoch, 0, 0, 0
        self._pending_seq = 0
        self._documents = set()

    def state_received(self, revision: int, state: str, committed: int, next_seq: int) -> bool:
        """Apply a state of the service; return False if it is older than the known one.

        `next_seq` is the number of the next report, the first one with this state known.
        """
        in_force = revision if state == RevisionState.COMMITTED else committed
        decided = revision if state != RevisionState.PREPARED else in_force
        if in_force < self.committed or revision < self.newest:
            return False
        if state == RevisionState.PREPARED and revision <= self.decided:
            return False
        self._documents = {number for number in self._documents if number >= in_force} | {revision, in_force}
        self._decide(in_force, decided)
        if state == RevisionState.PREPARED:
            self._prepare(revision, next_seq)
        return True

    def report_answered(self, revision: int, pending: int, seq: int, next_seq: int, *, granted: bool) -> None:
        """Apply the answer to report `seq`, the newest one that was answered.

        The known pending revision was decided if the answer grants a lease and does not name it although the
        report was made with it known. An answer without a lease may leave the pending revision out.
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
            # Only one revision is pending at a time: the earlier one is decided.
            self.decided = max(self.decided, self.pending)
            self.pending, self._pending_seq = revision, next_seq
