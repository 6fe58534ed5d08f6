"""When each server started, as far as this process can know it.

An entry of the list states the start of its server in `since_ms`, as Unix time. The wall clock of this
machine may have been wrong when this process started. By that clock alone, a server that has just joined
could seem to have started long ago, and would get no slow start. What this process has observed itself bounds
the start on the monotonic clock, independently of the wall clock:

- No server started later than now.
- A server, or a new start of a known server, that arrives on an open watch started no earlier than that
  event.
- A server that arrives with the first list on a new connection started no earlier than the time at which the
  previous list was last known to be the newest. A `since_ms` that contradicts this proves the wall clock
  wrong, and the server counts as started now.

There is no such observation for the servers in the first list, so their starts depend on the wall clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from brassfall.balancer.model import EndpointEntry
from brassfall.sidecar.discovery.endpoint_list import LEFT, ServerList

# Time for which the start of a server that is no longer listed is remembered, in milliseconds: the server may
# be listed again.
FORGET_AFTER_MS = 600_000.0


@dataclass(slots=True)
class _Start:
    """One start of a server. Times are in milliseconds of the driver's clock."""

    stated_start: float  # The start that the entry of the server stated last, in `since_ms`
    bounded_start: float  # The start after correction by the observations of this process
    unlisted_at: float = math.inf  # Time since which the server is not listed; inf while it is listed


class StartTimes:
    """Replaces the stated starts of servers by bounded starts.

    The bounded start of a server stays the same until its entry states another start.
    """

    def __init__(self) -> None:
        # The remembered starts by the name of the server, without servers whose stated start is 0.
        self._starts: dict[str, _Start] = {}

    def __len__(self) -> int:
        """Return the number of servers whose start is remembered."""
        return len(self._starts)

    def with_bounded_starts(self, now: float, fresh_at: float, update: ServerList) -> ServerList:
        """Return the update with bounded starts. All times are in milliseconds of the driver's clock.

        `fresh_at` is the time at which the previous list was last known to be the newest: it is `now` on an
        open watch, and -inf if there was no previous list. A stated start of 0, which stands for a start long
        ago, stays 0.
        """
        if update.complete:
            self._record_unlisted(now, {entry.server for entry in update.entries})
        self._forget(now)
        if not any(entry.started > 0.0 or entry.server in self._starts for entry in update.entries):
            return update
        entries = [self._with_bounded_start(now, fresh_at, entry) for entry in update.entries]
        return replace(update, entries=entries)

    def _with_bounded_start(self, now: float, fresh_at: float, entry: EndpointEntry) -> EndpointEntry:
        """Return an entry with its bounded start, and remember the start."""
        known = self._starts.get(entry.server)
        if entry.state == LEFT:
            if known is not None:
                known.unlisted_at = min(known.unlisted_at, now)
            return entry
        if entry.started <= 0.0:
            self._starts.pop(entry.server, None)
            return entry
        if known is None or known.stated_start != entry.started:
            start = min(now, entry.started) if entry.started >= fresh_at else now
            if known is not None and known.bounded_start == start:
                # Another start of the same server must have another time.
                start = math.nextafter(start, -math.inf)
            known = self._starts[entry.server] = _Start(entry.started, start)
        known.unlisted_at = math.inf
        return entry._replace(started=known.bounded_start)

    def _record_unlisted(self, now: float, listed: set[str]) -> None:
        """Record that the servers which are not in the complete list `listed` are unlisted since `now`."""
        for name, start in self._starts.items():
            if name not in listed:
                start.unlisted_at = min(start.unlisted_at, now)

    def _forget(self, now: float) -> None:
        """Forget servers unlisted for `FORGET_AFTER_MS`; months of churn would otherwise fill the memory."""
        forgotten = [
            name for name, start in self._starts.items() if now - start.unlisted_at > FORGET_AFTER_MS
        ]
        for name in forgotten:
            del self._starts[name]
