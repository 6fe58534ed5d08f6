"""Pauses in reading a client connection, and detection of the client's close during a pause."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum, auto

from brassfall.sidecar import framing

# Interval between two polls of a paused socket for the client's close, in seconds. The protocol forbids
# beginning an attempt later than 0.1 s after the client has closed, and the event loop does not report a
# close while reading is paused.
CLOSE_POLL_S = 0.05
# Time of reading without a pause after which a read that empties the socket buffer shows that the client has
# sent all that it has written, in seconds. Before that, bytes may still wait in the client's own buffer.
CATCH_UP_S = 0.02
# Shortest total of pauses that counts as lag, in seconds. Shorter pauses are part of any transfer, and the
# half second in which an answer may be late covers them.
MIN_LAG_S = 0.1


class PauseReason(Enum):
    """Reason for which a client connection is not read."""

    UNREAD_ANSWERS = auto()  # the client does not read the answers that were written to it
    SLOW_SERVER = auto()  # the request body arrives faster than the server takes it
    MANY_PENDING_REQUESTS = auto()  # `MAX_PENDING_REQUESTS` requests of the client have no answer yet
    NO_MEMORY = auto()  # there was no memory for a request behind one that has no answer yet
    CLOSE_ANNOUNCED = auto()  # an answer has announced that the connection closes after it


class ReadControl:
    """Pauses and resumes the reading of one connection.

    Reading is paused as long as at least one `PauseReason` applies. During a pause the socket is polled for a
    close by the client.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_closed: Callable[[], None]) -> None:
        """Create the control; `on_closed` is called if the client closes the connection during a pause."""
        self.next_read_may_be_stale = True  # True if the next bytes may have waited in the socket buffer
        self.resumed_at = 0.0  # end of the last pause, in seconds of the loop's time
        self._loop = loop
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None  # transport of the connection while it is open
        self._reasons: set[PauseReason] = set()  # reasons that apply now
        self._paused_since = 0.0  # start of the current or last pause, in seconds of the loop's time
        self._earlier_pauses_s = 0.0  # total length of the pauses that have ended, in seconds
        # Total length of the pauses that had ended when the client was last known to have bytes to write.
        self._pauses_before_lag_s = 0.0
        self._close_poll_timer: asyncio.TimerHandle | None = None

    def connected(self, transport: asyncio.Transport) -> None:
        """Take the transport of a connection that has just been opened and is being read."""
        self._transport = transport

    @property
    def paused(self) -> bool:
        """True if reading is paused."""
        return bool(self._reasons)

    @property
    def total_paused_s(self) -> float:
        """Total length of all pauses in seconds, including the current pause."""
        current_pause_s = self._loop.time() - self._paused_since if self._reasons else 0.0
        return self._earlier_pauses_s + current_pause_s

    @property
    def caught_up(self) -> bool:
        """True if everything that the client has written so far was read, and reading is not paused."""
        if self._reasons or self.next_read_may_be_stale:
            return False
        return self._loop.time() - self.resumed_at >= CATCH_UP_S

    @property
    def lag_s(self) -> float:
        """Longest time, in seconds, that the client's last bytes may have waited because of pauses.

        This is the total length of the pauses since the client was last known to have bytes to write. Time
        in which the connection is read does not count.
        """
        lag_s = 0.0 if self.caught_up else self.total_paused_s - self._pauses_before_lag_s
        return lag_s if lag_s >= MIN_LAG_S else 0.0

    def restart_lag(self) -> None:
        """Count only pauses from now on as lag, because the client still has bytes to write."""
        self._pauses_before_lag_s = self.total_paused_s

    def paused_for(self, reason: PauseReason) -> bool:
        """Return whether `reason` applies; other reasons may apply as well."""
        return reason in self._reasons

    def pause(self, reason: PauseReason) -> None:
        """Pause reading until `resume` is called with the same reason; no effect without a transport."""
        if self._transport is None or reason in self._reasons:
            return
        if not self._reasons:
            if self.caught_up:
                self.restart_lag()
            self._paused_since = self._loop.time()
            self._transport.pause_reading()
            self._close_poll_timer = self._loop.call_later(CLOSE_POLL_S, self._poll_for_close)
        self._reasons.add(reason)

    def resume(self, reason: PauseReason) -> None:
        """Remove a reason for the pause, and resume reading if no other reason applies."""
        if self._transport is None or reason not in self._reasons:
            return
        self._reasons.remove(reason)
        if not self._reasons:
            self.stop_close_polling()
            self.next_read_may_be_stale = True
            self.resumed_at = self._loop.time()
            self._earlier_pauses_s += self.resumed_at - self._paused_since
            self._transport.resume_reading()

    def disconnected(self) -> None:
        """Drop the transport of a connection that has been closed."""
        self.stop_close_polling()
        self._transport = None
        del self._on_closed  # the reference to the connection, which no cycle has to keep in memory

    def _poll_for_close(self) -> None:
        self._close_poll_timer = None
        assert self._transport is not None
        if framing.peer_closed(self._transport):
            self._on_closed()
        else:
            self._close_poll_timer = self._loop.call_later(CLOSE_POLL_S, self._poll_for_close)

    def stop_close_polling(self) -> None:
        """Stop polling for the client's close, because it has been detected or reading goes on."""
        if self._close_poll_timer is not None:
            self._close_poll_timer.cancel()
            self._close_poll_timer = None
