"""Watches: a channel encodes each change once for all its watches, and no slow reader delays another.

A watch is a chunked HTTP answer without an end: a first line with the state, then a line for each change. A
reader with more unread bytes than allowed is sent nothing until it has read most of them. Then it gets one
line with all changes since, each entry once, or the complete list if the history of changes is too short. A
reader that reads nothing for too long is aborted.

Heartbeats are empty lines at fixed times: the k-th heartbeat on a watch is written no sooner than k times
`HEARTBEAT_S` after the call was received. So a reader can compute an upper bound on the age of its state
from its own clock alone.
"""

from __future__ import annotations

import abc
import asyncio
from dataclasses import dataclass

HEARTBEAT_S = 2.0
SLOTS = 20  # number of ticks in `HEARTBEAT_S`, over which the heartbeats of all watches are spread
TICK_S = HEARTBEAT_S / SLOTS


def chunk(line: bytes) -> bytes:
    """Return a line, with its line end, as one chunk of a chunked HTTP answer."""
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


EMPTY_LINE = chunk(b"")


class Watch:
    """An open watch. `sent_index` is the index up to which all changes have been sent to its reader."""

    __slots__ = ("_ended", "behind_since", "deferred", "is_new", "sent_index", "slot", "transport", "unread")

    def __init__(
        self, transport: asyncio.Transport, sent_index: int, slot: int, ended: asyncio.Future[None]
    ) -> None:
        self.transport = transport
        self.sent_index = sent_index
        self.slot = slot
        self.behind_since: float | None = (
            None  # loop time at which the reader got too slow, in s; None if not
        )
        self.unread = 0  # number of unread bytes at the last check of a slow reader
        self.is_new = True  # True until its slot's first tick, which would be too soon for a heartbeat
        self.deferred = False  # True while the first line waits for `Channel.release`
        self._ended = ended

    def write(self, data: bytes) -> None:
        """Send data, unless the transport is closing: uvloop's transports raise on writes after their end."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def abort(self) -> None:
        """Abort the connection and end the watch; unread data is dropped."""
        self.transport.abort()
        if not self._ended.done():
            self._ended.set_result(None)


@dataclass(slots=True)
class ChannelStatistics:
    """Counts of a channel since it was created."""

    lists_encoded: int = 0
    lines_encoded: int = 0
    lines_sent: int = 0
    merged: int = 0  # number of times that a slow watch was sent all missed changes in one line
    aborted: int = 0  # number of slow watches aborted because they read nothing for too long


class Channel(abc.ABC):
    """All watches on one resource, whose state and changes a subclass encodes.

    A reader with more than `max_unread` unread bytes is slow: its changes are merged, and it is aborted if it
    reads nothing for `stuck_s` seconds. All methods are to be called in the loop's thread.
    """

    def __init__(self, max_unread: int, stuck_s: float) -> None:
        self._max_unread = max_unread
        self._stuck_s = stuck_s
        self._slots: list[dict[Watch, None]] = [{} for _ in range(SLOTS)]
        self._behind: dict[Watch, None] = {}
        self._deferred: dict[Watch, None] = {}
        self._flush: asyncio.Handle | None = None
        self._ticks = 0
        self.count = 0
        self.statistics = ChannelStatistics()

    # --- the encoding, by the subclass ----------------------------------------

    @property
    @abc.abstractmethod
    def last_index(self) -> int:
        """The index of the newest change."""

    @abc.abstractmethod
    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""

    @abc.abstractmethod
    def first_line(self, index: int) -> bytes:
        """Return the encoded line for a reader with an index: the changes since, or the complete state."""

    @abc.abstractmethod
    def _changes_chunk(self) -> bytes:
        """Return a chunk with all changes since the last call of this method."""

    def heartbeat(self) -> bytes:
        """Return the chunk that each watch is sent every `HEARTBEAT_S`, after all changes so far."""
        return EMPTY_LINE

    # --- watchers -------------------------------------------------------------

    @property
    def behind(self) -> int:
        """The number of watches that read too slowly."""
        return len(self._behind)

    def add_watch(
        self, transport: asyncio.Transport, index: int, ended: asyncio.Future[None], *, deferred: bool = False
    ) -> Watch:
        """Add a watch whose reader has all changes up to an index.

        A `deferred` watch gets its first line when `release` is called. The first heartbeat is sent at the
        second tick of the watch's slot, `HEARTBEAT_S` from now or later.
        """
        watch = Watch(transport, index, (self._ticks + 1) % SLOTS, ended)
        self._slots[watch.slot][watch] = None
        self.count += 1
        if deferred:
            watch.deferred = True
            self._deferred[watch] = None
        return watch

    def remove_watch(self, watch: Watch) -> None:
        """Remove a watch; do nothing if it has been removed before."""
        if self._slots[watch.slot].pop(watch, 0) is None:
            self.count -= 1
        self._behind.pop(watch, None)
        self._deferred.pop(watch, None)

    def release(self) -> None:
        """Send their first line to all deferred watches."""
        for watch in list(self._deferred):
            watch.deferred = False
            self._send(watch, chunk(self.first_line(watch.sent_index)))
            watch.sent_index = self.last_index
        self._deferred.clear()

    def abort_all(self) -> None:
        """Abort the connections of all watches."""
        for slot in self._slots:
            for watch in list(slot):
                watch.abort()

    # --- sending --------------------------------------------------------------

    def flush_soon(self) -> None:
        """Send queued changes once the callbacks that are due have run: a commit's changes share a line."""
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_soon(self._send_queued_changes)

    def _send_queued_changes(self) -> None:
        self._flush = None
        line, last = self._changes_chunk(), self.last_index
        self.statistics.lines_encoded += 1
        for slot in self._slots:
            for watch in slot:
                if watch.behind_since is None and not watch.deferred:
                    self._send(watch, line)
                    watch.sent_index = last

    def tick(self) -> None:
        """Send the heartbeats of one slot, and check slow readers; call it every `TICK_S`."""
        if self._flush is not None:
            # A heartbeat states that all changes so far have been sent, so that queued ones are sent first.
            self._flush.cancel()
            self._send_queued_changes()
        self._ticks += 1
        heartbeat = self.heartbeat()
        for watch in self._slots[self._ticks % SLOTS]:
            if watch.is_new:
                watch.is_new = False
            elif watch.behind_since is None:
                watch.write(heartbeat)
        now = asyncio.get_running_loop().time()
        for watch in list(self._behind):
            self._check_slow(watch, now)

    def _send(self, watch: Watch, data: bytes) -> None:
        watch.write(data)
        self.statistics.lines_sent += 1
        unread = watch.transport.get_write_buffer_size()
        if unread > self._max_unread:
            watch.behind_since = asyncio.get_running_loop().time()
            watch.unread = unread
            self._behind[watch] = None

    def _check_slow(self, watch: Watch, now: float) -> None:
        """Send missed changes to a slow reader that has read on; abort one that has read nothing for long."""
        unread = watch.transport.get_write_buffer_size()
        if unread <= self._max_unread // 4:
            self._catch_up(watch)
        elif unread < watch.unread:
            watch.behind_since, watch.unread = now, unread
        elif watch.behind_since is not None and now - watch.behind_since > self._stuck_s:
            self.statistics.aborted += 1
            watch.abort()
            self.remove_watch(watch)

    def _catch_up(self, watch: Watch) -> None:
        watch.behind_since = None
        del self._behind[watch]
        last = self.last_index
        if watch.sent_index < last:
            self.statistics.merged += 1
            self._send(watch, chunk(self.first_line(watch.sent_index)))
            watch.sent_index = last
