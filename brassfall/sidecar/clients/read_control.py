"""Pauses in the reading of a client connection, and the look for its close during a pause."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto

from brassfall.sidecar import framing

# No attempt may begin 0.1 s after its client has closed. While reading is paused, only a poll of the socket
# shows the close.
LOOK_S = 0.05


class Hold(Enum):
    """The reason for a pause in reading."""

    UNREAD_ANSWERS = auto()  # the client does not read its answers
    SLOW_SERVER = auto()  # the body arrives faster than a server takes it
    REQUESTS_WAIT = auto()  # many requests of the client have no answer yet
    ENDED = auto()  # the last answer has announced the end of the connection


class ReadControl:
    """Control of the reading of one connection.

    Reading is paused as long as there is a reason to; during a pause the socket is polled for a close.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_closed: Callable[[], None]) -> None:
        """Call `on_closed` once the client has closed the connection during a pause."""
        self.may_be_stale = True  # whether the next bytes may have waited in the socket buffer
        self.resumed_at = 0.0  # by the loop's time
        self._loop = loop
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None  # while the connection is up
        self._holds: set[Hold] = set()
        self._paused_since = 0.0  # by the loop's time
        self._paused_before_s = 0.0  # in earlier pauses
        self._look: asyncio.TimerHandle | None = None

    def connected(self, transport: asyncio.Transport) -> None:
        """Take the transport of a connection that is up and being read."""
        self._transport = transport

    @property
    def paused(self) -> bool:
        """True if reading is paused."""
        return bool(self._holds)

    @property
    def paused_s(self) -> float:
        """The sum of all pauses, in seconds."""
        now = self._loop.time() - self._paused_since if self._holds else 0.0
        return self._paused_before_s + now

    def holds(self, reason: Hold) -> bool:
        """Return whether reading is paused for this reason, perhaps among others."""
        return reason in self._holds

    def hold(self, reason: Hold) -> None:
        """Pause reading until `release` is called with the same reason."""
        if self._transport is None or reason in self._holds:
            return
        if not self._holds:
            self._paused_since = self._loop.time()
            self._transport.pause_reading()
            self._look = self._loop.call_later(LOOK_S, self._look_for_close)
        self._holds.add(reason)

    def release(self, reason: Hold) -> None:
        """Resume reading if this was the last reason for the pause."""
        if self._transport is None or reason not in self._holds:
            return
        self._holds.remove(reason)
        if not self._holds:
            self.stop_looking()
            self.may_be_stale = True
            self.resumed_at = self._loop.time()
            self._paused_before_s += self.resumed_at - self._paused_since
            self._transport.resume_reading()

    def disconnected(self) -> None:
        """Drop the transport: the connection is gone."""
        self.stop_looking()
        self._transport = None

    def _look_for_close(self) -> None:
        self._look = None
        assert self._transport is not None
        if framing.peer_closed(self._transport):
            self._on_closed()
        else:
            self._look = self._loop.call_later(LOOK_S, self._look_for_close)

    def stop_looking(self) -> None:
        """Stop polling for the client's close: it is known, or reading goes on."""
        if self._look is not None:
            self._look.cancel()
            self._look = None
