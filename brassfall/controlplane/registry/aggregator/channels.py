"""Watches of an aggregator's children on the list: empty lines that promise no more age than there is."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.aggregator.mirror import Mirror
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.watches import EMPTY, SLOTS, Channel, Form, chunk

AGE = "X-List-Age-Ms"
FRESH_MS = 2000.0  # empty lines may be off by so much; while the list is older, lines tell its age instead
FRESH_AGAIN = 2 * SLOTS + 1  # parts of the heartbeat in which all watches are told that it is fresh again

_encode = msgspec.json.Encoder().encode


class ListChannel(Channel):
    """All watches on the mirrored list.

    `now` tells the time in ms, as the mirror is told it. In place of an empty line a line with `age_ms` is
    sent while the list is older than `FRESH_MS`, and once it is fresh again; it counts as an empty one."""

    def __init__(self, mirror: Mirror, now: Callable[[], float], most: int, stuck_s: float) -> None:
        form = Form("endpoints", entries.endpoints, entries.changed)
        super().__init__(lambda: mirror.state, INSTANCES, form, most, stuck_s)
        self._mirror = mirror
        self._now = now
        self._fresh_untold = 0  # parts of the heartbeat in which it is to be told that the list is fresh

    def promised_age_ms(self) -> int:
        """For the header of a watch that is opened now: it holds for the empty lines, too."""
        return round(max(FRESH_MS, self._mirror.age_ms(self._now())))

    def moved(self) -> None:
        """The index has grown, be it without a change: all watches are told so, in the same line."""
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_soon(self._tell)

    def heartbeat(self) -> bytes:
        """An empty line, or one that tells how old the list is."""
        age = self._mirror.age_ms(self._now())
        if age > FRESH_MS:
            self._fresh_untold = FRESH_AGAIN
            return self._aged(age)
        if self._fresh_untold:
            self._fresh_untold -= 1
            return self._aged(FRESH_MS)
        return EMPTY

    def _aged(self, age_ms: float) -> bytes:
        line = {"index": self.last, "snapshot": False, "endpoints": [], "age_ms": round(age_ms)}
        return chunk(_encode(line))
