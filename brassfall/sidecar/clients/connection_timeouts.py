"""Time limits of one client connection: an incomplete request, an unread answer, and lingering.

Limits are in seconds of the loop's time unless their names say ms. All timers end with `stop`.
"""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from brassfall.sidecar import framing
from brassfall.sidecar.clients.connection_state import ACCEPTS_INPUT, ConnectionState
from brassfall.sidecar.clients.read_control import ReadControl
from brassfall.sidecar.core.clock import Clock

# Time limit for a complete request, from accept or from the first byte of a later one. The protocol requires
# an error response or a close within 3 s; half a second is left for a loop that lags.
INCOMPLETE_S = 2.5
BODY_BYTES_PER_S = 32_000  # half the rate of the slowest client: each byte extends the limit
STOPPED_MS = 700.0  # without a byte of an incomplete request, after which its client counts as stopped
RESUME_S = 0.1  # for a client's next bytes, once a pause in reading is over
RECHECK_S = 0.05  # after input came at the end of the limit, until it must have begun a request
CLOCK_STEP_S = 0.001
MAX_UNSENT = 32 * 1024  # bytes of answers that wait to be sent, past which nothing is read
UNREAD_S = 20.0  # for a client to read `MAX_UNSENT` bytes of its answers
LINGER_S = 1.0  # for a client to read its last answer while it is still sending


class TimedConnection(Protocol):
    """The connection whose time is limited."""

    transport: asyncio.Transport
    read_control: ReadControl

    @property
    def state(self) -> ConnectionState:
        """The state of the connection."""

    @property
    def idle(self) -> bool:
        """True if no request is being read or answered and the socket buffer is empty."""

    @property
    def readable(self) -> bool:
        """True if the socket has unread bytes or the end of the stream."""

    @property
    def has_pending_requests(self) -> bool:
        """True if a request has no complete answer yet."""

    @property
    def incomplete_size(self) -> int:
        """The size in bytes of what was read of the incomplete request; 0 without one."""

    @property
    def read_at(self) -> float:
        """The time of the last bytes read, in ms of the sidecar's clock."""

    def reject(self, status: int) -> None:
        """Answer an incomplete request with an error, and end the connection."""

    def close(self) -> None:
        """Close the connection."""

    def abort(self) -> None:
        """Close the connection at once, even with requests pending."""


class ConnectionTimeouts:
    """The timers of one client connection."""

    __slots__ = (
        "_answer_timer",
        "_clock",
        "_connection",
        "_loop",
        "_paused_before_s",
        "_request_since",
        "_request_timer",
    )

    def __init__(self, connection: TimedConnection, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._connection = connection
        self._loop = loop
        self._clock = clock
        self._request_since = 0.0  # start of the limit, in the loop's time
        self._paused_before_s = 0.0  # time in which reading was paused before that start
        self._request_timer: asyncio.TimerHandle | None = None  # for an incomplete request, or lingering
        self._answer_timer: asyncio.TimerHandle | None = None  # for an unread answer

    def stop(self) -> None:
        """Cancel all timers: the connection is gone."""
        self.stop_request()
        if self._answer_timer is not None:
            self._answer_timer.cancel()

    # --- incomplete request -------------------------------------------------------

    def start_request(self) -> None:
        """Start the time limit for a complete request."""
        self._request_since = self._loop.time()
        self._paused_before_s = self._connection.read_control.paused_s
        self._request_timer = self._loop.call_later(INCOMPLETE_S, self.check_request)

    def ensure_request(self) -> None:
        """Start the time limit for a complete request unless it runs."""
        if self._request_timer is None:
            self.start_request()

    def stop_request(self) -> None:
        """End the time limit for a complete request, or the lingering."""
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def check_request(self) -> None:
        """Reject an incomplete request, or close an idle connection, once the time limit is over."""
        connection = self._connection
        due = self._request_due()
        if due > self._loop.time() + CLOCK_STEP_S:
            self._request_timer = self._loop.call_at(due, self.check_request)
            return
        self._request_timer = None
        if connection.state is ConnectionState.READING_REQUEST:
            connection.reject(408)
        elif connection.idle:
            connection.close()
        elif not connection.has_pending_requests and connection.state in ACCEPTS_INPUT:
            # Input has just come: it may begin a request, or be empty lines.
            self._request_timer = self._loop.call_later(RECHECK_S, self.check_request)

    @property
    def client_stopped(self) -> bool:
        """True if the client has sent nothing for `STOPPED_MS`."""
        return self._clock.now() - self._connection.read_at >= STOPPED_MS

    def _request_due(self) -> float:
        """Return when the request has to be complete, in the loop's time.

        Time in which reading was paused does not count. Each byte read extends the limit for a client that
        goes on sending, but not for one that has stopped.
        """
        connection = self._connection
        control = connection.read_control
        due = self._request_since + control.paused_s - self._paused_before_s + INCOMPLETE_S
        if connection.state is ConnectionState.READING_REQUEST:
            extension = connection.incomplete_size / BODY_BYTES_PER_S
            if not connection.readable:
                active_at = max(self._clock.to_loop_time_s(connection.read_at), control.resumed_at)
                extension = min(extension, max(0.0, active_at + STOPPED_MS / 1000.0 - due))
            due += extension
        return due + RESUME_S if control.paused else due

    # --- unread answer --------------------------------------------------------------

    def start_answer(self) -> None:
        """Start the time limit for a client to read what is unsent."""
        self._check_answer(math.inf)

    def ensure_answer(self) -> None:
        """Start the time limit for a client to read what is unsent, unless it runs."""
        if self._answer_timer is None:
            self.start_answer()

    def stop_answer(self) -> None:
        """End the time limit for an unread answer: the client has read enough."""
        if self._answer_timer is not None:
            self._answer_timer.cancel()
            self._answer_timer = None

    def _check_answer(self, unread_before: float) -> None:
        """Abort the connection of a client that has read less than `MAX_UNSENT` bytes since the last check.

        Counts bytes that the peer has not acknowledged: the transport's buffer alone falls late, since the
        kernel takes more only once a large part of what it holds is read.
        """
        unread = framing.unacknowledged_bytes(self._connection.transport)
        if unread <= unread_before - MAX_UNSENT:
            self._answer_timer = self._loop.call_later(UNREAD_S, self._check_answer, unread)
        else:
            self._connection.abort()

    # --- lingering --------------------------------------------------------------------

    def start_linger(self) -> None:
        """Abort the connection after `LINGER_S`, or once a long answer has been sent."""
        self._request_timer = self._loop.call_later(LINGER_S, self._stop_lingering)

    def _stop_lingering(self) -> None:
        if self._connection.transport.get_write_buffer_size() > 0:
            self.start_linger()
        else:
            self._connection.abort()
