"""The channel of children's watches on the mirrored list; heartbeats state the age of an old list."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.aggregator.mirror import Mirror
from brassfall.controlplane.registry.channels import ListFormat, TableChannel
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.watches import EMPTY_LINE, SLOTS, chunk

AGE_HEADER = "X-List-Age-Ms"  # response header with an upper bound on the age of the list
FRESH_MS = 2000.0  # age up to which heartbeats are empty lines; heartbeats of an older list state its age
FRESH_TICKS = 2 * SLOTS + 1  # ticks after which every watch has got a heartbeat that states a fresh list

_encode = msgspec.json.Encoder().encode


class ListChannel(TableChannel):
    """All watches on the mirrored list.

    `now` returns the time of the mirror's clock, in ms. While the list is older than `FRESH_MS`, and once or
    twice after that, a heartbeat is a line with `age_ms` instead of an empty line.
    """

    def __init__(self, mirror: Mirror, now: Callable[[], float], max_unread: int, stuck_s: float) -> None:
        list_format = ListFormat("endpoints", entries.list_entries, entries.change_entries)
        super().__init__(lambda: mirror.state, INSTANCES, list_format, max_unread, stuck_s)
        self._mirror = mirror
        self._now = now
        self._fresh_ticks = 0  # remaining ticks whose heartbeats state that the list is fresh again

    def promised_age_ms(self) -> int:
        """Return the age in ms for the header of a new watch, which also holds for its empty heartbeats."""
        return round(max(FRESH_MS, self._mirror.age_ms(self._now())))

    def heartbeat(self) -> bytes:
        """Return the chunk of a heartbeat: an empty line, or a line with the age of the list."""
        age = self._mirror.age_ms(self._now())
        if age > FRESH_MS:
            self._fresh_ticks = FRESH_TICKS
            return self._age_line(age)
        if self._fresh_ticks:
            self._fresh_ticks -= 1
            return self._age_line(FRESH_MS)
        return EMPTY_LINE

    def _age_line(self, age_ms: float) -> bytes:
        line = {"index": self.last_index, "snapshot": False, "endpoints": [], "age_ms": round(age_ms)}
        return chunk(_encode(line))
