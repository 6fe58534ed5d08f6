"""Watches of an aggregator's children on the list, whose heartbeats state an older list's age."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.aggregator.mirror import Mirror
from brassfall.controlplane.registry.channels import ListFormat, TableChannel
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.watches import EMPTY, SLOTS, chunk

AGE = "X-List-Age-Ms"
FRESH_MS = 2000.0  # the age up to which heartbeats are empty; for an older list they have its age
FRESH_TICKS = 2 * SLOTS + 1  # in which all watches get a heartbeat that states that the list is fresh

_encode = msgspec.json.Encoder().encode


class ListChannel(TableChannel):
    """All watches on the mirrored list.

    `now` is the clock of the mirror, in ms. While the list is older than `FRESH_MS`, and once more when it is
    fresh, a line with `age_ms` is sent in place of an empty one; it counts as a heartbeat.
    """

    def __init__(self, mirror: Mirror, now: Callable[[], float], max_unread: int, stuck_s: float) -> None:
        form = ListFormat("endpoints", entries.list_entries, entries.change_entries)
        super().__init__(lambda: mirror.state, INSTANCES, form, max_unread, stuck_s)
        self._mirror = mirror
        self._now = now
        self._fresh_ticks = 0  # ticks left in which heartbeats state that the list is fresh

    def promised_age_ms(self) -> int:
        """Return the age for the header of a new watch, which counts for its heartbeats, too."""
        return round(max(FRESH_MS, self._mirror.age_ms(self._now())))

    def heartbeat(self) -> bytes:
        """Return an empty line, or one with the list's age."""
        age = self._mirror.age_ms(self._now())
        if age > FRESH_MS:
            self._fresh_ticks = FRESH_TICKS
            return self._aged(age)
        if self._fresh_ticks:
            self._fresh_ticks -= 1
            return self._aged(FRESH_MS)
        return EMPTY

    def _aged(self, age_ms: float) -> bytes:
        line = {"index": self.last, "snapshot": False, "endpoints": [], "age_ms": round(age_ms)}
        return chunk(_encode(line))
