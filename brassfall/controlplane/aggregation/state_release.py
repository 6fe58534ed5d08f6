"""Release of new states of the configuration revisions to an aggregator's children."""

from __future__ import annotations

from typing import NamedTuple

from brassfall.controlplane.aggregation.actions import Action, NotifyChildren
from brassfall.controlplane.aggregation.state import AggregatorState


class _Withheld(NamedTuple):
    """Line with a state of the revisions that was not sent to children yet."""

    since_ms: float  # when a line was first withheld, in ms of the aggregator's clock
    committed: int  # the line waits for a lease on this revision
    line: bytes


class StateRelease:
    """Sender of states of the revisions to children, as lines of their watches.

    Children report as soon as they are notified of a commit. A commit is therefore withheld until this
    aggregator has a lease on the committed revision, so that it can grant leases for these reports.
    """

    def __init__(self, state: AggregatorState) -> None:
        self.state = state
        self._sent = b""  # the line that was sent last
        self._withheld: _Withheld | None = None

    @property
    def waiting(self) -> bool:
        """True if a line is withheld."""
        return self._withheld is not None

    def hold(self, now: float, line: bytes) -> None:
        """Withhold a line until it is due; it replaces a line that was withheld before.

        `now` is in ms of the aggregator's clock.
        """
        if line != self._sent:
            since_ms = self._withheld.since_ms if self._withheld is not None else now
            self._withheld = _Withheld(since_ms, self.state.committed, line)

    def due(self, now: float) -> list[Action]:
        """Return a `NotifyChildren` with the withheld line if there is a lease on its committed revision.

        Without such a lease the line is due after `commit_message_wait_ms`.
        """
        if self._withheld is None:
            return []
        since_ms, committed, line = self._withheld
        lease = self.state.lease
        has_lease = lease.left_ms(now) > 0.0 and lease.revision >= committed
        if not has_lease and now - since_ms < self.state.timing.commit_message_wait_ms:
            return []
        self._withheld, self._sent = None, line
        return [NotifyChildren(line)]
