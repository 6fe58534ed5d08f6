"""The release of new states of the revisions to children. Pure code."""

from __future__ import annotations

from typing import NamedTuple

from brassfall.controlplane.aggregation.actions import Action, NotifyChildren
from brassfall.controlplane.aggregation.state import AggregatorState


class _Withheld(NamedTuple):
    """A line that was not sent to children yet."""

    since_ms: float
    committed: int  # the revision whose lease it waits for
    line: bytes


class StateRelease:
    """Passes lines on; a commit waits until leases on it can be granted, since children report at once."""

    def __init__(self, state: AggregatorState) -> None:
        self.state = state
        self._sent = b""  # the line sent last
        self._withheld: _Withheld | None = None

    @property
    def waiting(self) -> bool:
        """True if a line waits to be sent."""
        return self._withheld is not None

    def hold(self, now: float, line: bytes) -> None:
        """Send a line once it is due, in place of one that waits; `now` is in ms."""
        if line != self._sent:
            since_ms = self._withheld.since_ms if self._withheld is not None else now
            self._withheld = _Withheld(since_ms, self.state.committed, line)

    def due(self, now: float) -> list[Action]:
        """Send the waiting line if there is a lease on its revision, or it has waited for too long."""
        if self._withheld is None:
            return []
        since_ms, committed, line = self._withheld
        lease = self.state.lease
        has_lease = lease.left_ms(now) > 0.0 and lease.revision >= committed
        if not has_lease and now - since_ms < self.state.timing.commit_message_wait_ms:
            return []
        self._withheld, self._sent = None, line
        return [NotifyChildren(line)]
