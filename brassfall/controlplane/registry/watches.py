"""Watches: each change is encoded once for all who watch, and no slow reader delays another.

A watcher that has more unread bytes than allowed is told nothing more until it has read them; then it
gets one line with what changed meanwhile, each entry once, or the whole list where that is too much
for the ring. One that reads nothing for long is cut off.

Empty lines follow a fixed beat: the k-th on a watch is written no sooner than k times 2 s after the
call came in, whatever else is told meanwhile. A reader can so compute an upper bound on the age of
what it holds, from its own clock alone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import msgspec

from brassfall.controlplane.store.records import Change, Row
from brassfall.controlplane.store.state import State

BEAT_S = 2.0
SLOTS = 20  # the beat of all watches is spread over so many parts
CACHED_LINES = 64
AGED_S = 0.1  # ages are told as so much higher, since a list may have been encoded so long ago

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True, slots=True)
class Form:
    """How a table is told: names of the list, and its rows."""

    listed: str
    rows: Callable[[Iterable[Row]], list[Any]]
    changes: Callable[[Iterable[Change]], list[Any]]
    ages: bool = False  # its rows tell their ages: an encoded one is good for `AGED_S`, not for ever


def chunk(line: bytes) -> bytes:
    """A line as one part of a chunked answer."""
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


EMPTY = chunk(b"")


class Watch:
    """One open watch. `told` is the index up to which its reader has been told all."""

    __slots__ = ("_ended", "behind_at", "held", "left", "new", "slot", "told", "transport")

    def __init__(
        self, transport: asyncio.Transport, told: int, slot: int, ended: asyncio.Future[None]
    ) -> None:
        self.transport = transport
        self.told = told
        self.slot = slot
        self.behind_at: float | None = None  # since when it has too much unread
        self.left = 0  # unread bytes when last looked at while behind
        self.new = True  # the next part of the beat comes too soon for it
        self.held = False  # its first line waits for the end of the gathering
        self._ended = ended

    def write(self, data: bytes) -> None:
        """Send this, unless its reader is gone: its call may take a while to end, and uvloop's transports
        raise when they are written to after their end."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def cut(self) -> None:
        """End it at once."""
        self.transport.abort()
        if not self._ended.done():
            self._ended.set_result(None)


@dataclass(slots=True)
class Figures:
    """What has been told so far."""

    lists_built: int = 0
    lines_built: int = 0
    lines_sent: int = 0
    merged: int = 0
    cut: int = 0


class Channel:
    """All watches of one table."""

    def __init__(self, state: Callable[[], State], name: str, form: Form, most: int, stuck_s: float) -> None:
        self._state = state
        self._name = name
        self._form = form
        self._most = most
        self._stuck_s = stuck_s
        self._slots: list[dict[Watch, None]] = [{} for _ in range(SLOTS)]
        self._behind: dict[Watch, None] = {}
        self._held: dict[Watch, None] = {}
        self._whole: tuple[int, bytes] | None = None
        self._built_at = 0.0
        self._lines: dict[tuple[int, int], bytes] = {}
        self._due: list[Change] = []
        self._flush: asyncio.Handle | None = None
        self._beats = 0
        self.count = 0
        self.figures = Figures()

    @property
    def behind(self) -> int:
        """How many watchers read too slowly just now."""
        return len(self._behind)

    def whole(self) -> bytes:
        """The whole list, encoded once for each version."""
        index, now = self.last, asyncio.get_running_loop().time()
        aged = self._form.ages and now - self._built_at > AGED_S
        if self._whole is None or self._whole[0] != index or aged:
            self._built_at = now
            rows = self._form.rows(self._state().rows(self._name))
            self._whole = (index, _encode({"index": index, "snapshot": True, self._form.listed: rows}))
            self.figures.lists_built += 1
        return self._whole[1]

    @property
    def last(self) -> int:
        """The index up to which all is told now."""
        return self._state().last_index(self._name)

    def first(self, index: int) -> bytes:
        """The first line for one who has been told all up to an index."""
        changes = self._state().changes_since(self._name, index)
        if changes is None:
            return self.whole()
        return self._line(index, changes)

    def _line(self, after: int, changes: list[Change]) -> bytes:
        """What changed after an index, encoded once for all who ask from there."""
        last = self.last
        place = (after, last)
        if place not in self._lines or self._form.ages:
            if len(self._lines) >= CACHED_LINES:
                self._lines.clear()
            told = self._form.changes(changes)
            self._lines[place] = _encode({"index": last, "snapshot": False, self._form.listed: told})
            self.figures.lines_built += 1
        return self._lines[place]

    # --- watchers -----------------------------------------------------------

    def add(self, transport: asyncio.Transport, index: int, held: bool, ended: asyncio.Future[None]) -> Watch:
        """A new watcher, who was told all up to an index; `held` ones get their first line at `release`.

        Its first empty line comes in the second round of its part of the beat, 2 s from now or later."""
        watch = Watch(transport, index, (self._beats + 1) % SLOTS, ended)
        self._slots[watch.slot][watch] = None
        self.count += 1
        if held:
            watch.held = True
            self._held[watch] = None
        return watch

    def drop(self, watch: Watch) -> None:
        """A watcher is gone."""
        if self._slots[watch.slot].pop(watch, 0) is None:
            self.count -= 1
        self._behind.pop(watch, None)
        self._held.pop(watch, None)

    def release(self) -> None:
        """The gathering is over: whoever waits for its first line gets it."""
        for watch in list(self._held):
            watch.held = False
            self._send(watch, chunk(self.first(watch.told)))
            watch.told = self.last
        self._held.clear()

    def end(self) -> None:
        """The service goes down: all watches end."""
        for slot in self._slots:
            for watch in list(slot):
                watch.cut()

    # --- telling --------------------------------------------------------------

    def changed(self, change: Change) -> None:
        """A durable change; those of one commit are told in one line."""
        self._due.append(change)
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_soon(self._tell)

    def _tell(self) -> None:
        self._flush = None
        line, last = self._news(), self.last
        self.figures.lines_built += 1
        for slot in self._slots:
            for watch in slot:
                if watch.behind_at is None and not watch.held:
                    self._send(watch, line)
                    watch.told = last

    def _news(self) -> bytes:
        """The line for what has changed since the last one."""
        newest = {change.row.key: change for change in self._due}
        self._due = []
        told = self._form.changes(newest.values())
        return chunk(_encode({"index": self.last, "snapshot": False, self._form.listed: told}))

    def beat(self) -> None:
        """One part of the beat: an empty line for a twentieth of the watches, and a look at the slow ones."""
        if self._flush is not None:
            # An empty line says that all before it was told.
            self._flush.cancel()
            self._tell()
        self._beats += 1
        empty = self.heartbeat()
        for watch in self._slots[self._beats % SLOTS]:
            if watch.new:
                watch.new = False
            elif watch.behind_at is None:
                watch.write(empty)
        now = asyncio.get_running_loop().time()
        for watch in list(self._behind):
            self._look(watch, now)

    def heartbeat(self) -> bytes:
        """What a watch is sent every 2 s, as a chunk: it says that all before it was told."""
        return EMPTY

    def _send(self, watch: Watch, data: bytes) -> None:
        watch.write(data)
        self.figures.lines_sent += 1
        left = watch.transport.get_write_buffer_size()
        if left > self._most:
            watch.behind_at = asyncio.get_running_loop().time()
            watch.left = left
            self._behind[watch] = None

    def _look(self, watch: Watch, now: float) -> None:
        """Whether a slow reader has read on: then it gets all it missed at once, or it is cut off."""
        left = watch.transport.get_write_buffer_size()
        if left <= self._most // 4:
            watch.behind_at = None
            del self._behind[watch]
            last = self.last
            if watch.told < last:
                self.figures.merged += 1
                self._send(watch, chunk(self.first(watch.told)))
                watch.told = last
        elif left < watch.left:
            watch.behind_at, watch.left = now, left
        elif watch.behind_at is not None and now - watch.behind_at > self._stuck_s:
            self.figures.cut += 1
            watch.cut()
            self.drop(watch)


class Lines(Channel):
    """Watches that are told the whole of one small state, encoded by `told`, at each change of it."""

    def __init__(self, told: Callable[[], bytes], most: int, stuck_s: float) -> None:
        super().__init__(State, "", Form("", list, list), most, stuck_s)
        self._told = told
        self._version = 1

    @property
    def last(self) -> int:
        """How often the state has changed."""
        return self._version

    def whole(self) -> bytes:
        """The state now."""
        return self._told()

    def first(self, index: int) -> bytes:
        """Whoever comes, and whatever it holds, is told the state: it may have missed how it came about."""
        return self._told()

    def poke(self) -> None:
        """The state has changed."""
        self._version += 1
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_soon(self._tell)

    def _news(self) -> bytes:
        return chunk(self._told())
