"""When each server started, as far as this process can know it.

`since_ms` is Unix time, and the wall clock of this machine may have been wrong when the process started: by
that clock alone a server that has just joined could pass for warm. What the process has observed itself
bounds the start on the monotonic clock, independently of the wall clock:

- no server started later than now;
- a server, or a new start of a known one, that comes on an open watch started no earlier than that event;
- one that comes with the first list on a new connection started no earlier than the list before was last
  known to be the newest; a `since_ms` that contradicts this proves the clock wrong, and counts as now.

Of the servers in the first list there is no such observation: their starts depend on the wall clock.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace

from brassfall.balancer.model import Listing
from brassfall.sidecar.discovery.endpoint_list import LEFT, ServerList

FORGET_MS = 600_000.0  # how long the start of an unlisted server is remembered: it may come back


@dataclass(slots=True)
class _Start:
    """One start of a server."""

    stated: float  # its `since_ms`
    bounded: float  # what counts here, in ms of the driver's clock
    unlisted_at: float = math.inf  # since when its server is not listed


class StartTimes:
    """Puts bounded starts in the place of the stated ones; one start of a server keeps its bounded time."""

    def __init__(self) -> None:
        self._starts: dict[str, _Start] = {}  # by server; those that started long ago have none

    def __len__(self) -> int:
        """Return how many servers have a start that is remembered."""
        return len(self._starts)

    def with_bounded_starts(self, now: float, fresh_at: float, update: ServerList) -> ServerList:
        """Return the update with bounded starts, in ms of the driver's clock like `now` and `fresh_at`.

        `fresh_at` is when the list before this one was last known to be the newest: `now` on an open watch,
        -inf if no list came before. A stated start of 0, long ago, stays 0.
        """
        if update.complete:
            self._note_unlisted(now, {entry.server for entry in update.entries})
        self._forget(now)
        if not any(entry.started > 0.0 or entry.server in self._starts for entry in update.entries):
            return update
        entries = [self._bounded(now, fresh_at, entry) for entry in update.entries]
        return replace(update, entries=entries)

    def _bounded(self, now: float, fresh_at: float, entry: Listing) -> Listing:
        known = self._starts.get(entry.server)
        if entry.state == LEFT:
            if known is not None:
                known.unlisted_at = min(known.unlisted_at, now)
            return entry
        if entry.started <= 0.0:
            self._starts.pop(entry.server, None)
            return entry
        if known is None or known.stated != entry.started:
            start = min(now, entry.started) if entry.started >= fresh_at else now
            if known is not None and known.bounded == start:
                start = math.nextafter(start, -math.inf)  # another start has another time
            known = self._starts[entry.server] = _Start(entry.started, start)
        known.unlisted_at = math.inf
        return entry._replace(started=known.bounded)

    def _note_unlisted(self, now: float, listed: set[str]) -> None:
        for name, start in self._starts.items():
            if name not in listed:
                start.unlisted_at = min(start.unlisted_at, now)

    def _forget(self, now: float) -> None:
        """Forget servers long gone, or months of churn would fill the memory."""
        gone = [name for name, start in self._starts.items() if now - start.unlisted_at > FORGET_MS]
        for name in gone:
            del self._starts[name]
