"""Time limits of one client connection: for an incomplete request, an unread answer, and lingering.

Lingering is the wait after the last answer in which a client that is still sending can read that answer.
Limits are in seconds of the loop's time unless their names say ms. `release` ends all timers.
"""

from __future__ import annotations

import asyncio
import math
from typing import Protocol

from brassfall.sidecar import framing
from brassfall.sidecar.clients.connection_state import ACCEPTS_INPUT, ConnectionState
from brassfall.sidecar.clients.read_control import ReadControl
from brassfall.sidecar.core.clock import Clock

# Time limit for receiving a complete request, in seconds. It runs from the accept for the first request, and
# from the first byte for each later one. The protocol requires an error response or a close within 3 s; half
# a second is left for a delayed event loop.
REQUEST_TIMEOUT_S = 2.5
# Lowest rate at which a request may arrive, in bytes per second: each byte read extends the request's time
# limit by its share of a second. The value is half the rate of the slowest client that has to be served.
MIN_REQUEST_BYTES_PER_S = 32_000
# Time without a byte of an incomplete request after which its client counts as having stopped, in ms.
CLIENT_STOPPED_MS = 700.0
RESUME_GRACE_S = 0.1  # time that a client has to send its next bytes after a pause in reading, in seconds
# Wait between two checks of a connection whose input arrived just as its time limit ended, in seconds: the
# input is not parsed yet and may begin a request.
INPUT_RECHECK_S = 0.05
TIMER_TOLERANCE_S = 0.001  # a timer may fire this much before its time, in seconds
MAX_UNSENT_BYTES = 32 * 1024  # size of unsent answers above which the client is no longer read, in bytes
UNREAD_ANSWER_TIMEOUT_S = 20.0  # time limit for reading `MAX_UNSENT_BYTES` of the answers, in seconds
LINGER_TIMEOUT_S = 1.0  # time that a client that is still sending has to read its last answer, in seconds


class TimedConnection(Protocol):
    """Client connection as `ConnectionTimeouts` uses it."""

    transport: asyncio.Transport
    read_control: ReadControl

    @property
    def state(self) -> ConnectionState:
        """State of the connection."""

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
    def incomplete_request_size(self) -> int:
        """Number of bytes that were read of the incomplete request; 0 if there is no such request."""

    @property
    def last_read_at(self) -> float:
        """Time at which the last bytes were read, in ms of the sidecar's clock."""

    def reject_input(self, status: int) -> None:
        """Answer an incomplete request with this HTTP status, and close the connection after it."""

    def close(self) -> None:
        """Close the connection; answers that are already written are still sent."""

    def abort(self) -> None:
        """Close the connection at once, even if requests are pending."""


class ConnectionTimeouts:
    """Timers of one client connection.

    One timer limits an incomplete request and, after the last answer, lingering. The other limits an answer
    that the client does not read.
    """

    __slots__ = (
        "_answer_timer",
        "_clock",
        "_connection",
        "_earlier_pauses_s",
        "_loop",
        "_request_timer",
        "_request_timer_started_at",
    )

    def __init__(self, connection: TimedConnection, loop: asyncio.AbstractEventLoop, clock: Clock) -> None:
        self._connection = connection
        self._loop = loop
        self._clock = clock
        self._request_timer_started_at = 0.0  # start of the request's time limit, in the loop's time
        self._earlier_pauses_s = 0.0  # total length of the pauses in reading before that start, in seconds
        self._request_timer: asyncio.TimerHandle | None = None  # limits an incomplete request, or lingering
        self._answer_timer: asyncio.TimerHandle | None = None  # limits an answer that is not read

    def release(self) -> None:
        """Cancel all timers of a connection that has been closed, and drop the reference to it."""
        self.stop_request_timer()
        self.stop_answer_timer()
        del self._connection

    # --- incomplete request -------------------------------------------------------

    def start_request_timer(self) -> None:
        """Start the time limit for receiving a complete request."""
        self._request_timer_started_at = self._loop.time()
        self._earlier_pauses_s = self._connection.read_control.total_paused_s
        self._request_timer = self._loop.call_later(REQUEST_TIMEOUT_S, self.check_request_timeout)

    def ensure_request_timer(self) -> None:
        """Start the time limit for receiving a complete request unless it is already running."""
        if self._request_timer is None:
            self.start_request_timer()

    def stop_request_timer(self) -> None:
        """Cancel the time limit for a complete request, or the one for lingering."""
        if self._request_timer is not None:
            self._request_timer.cancel()
            self._request_timer = None

    def check_request_timeout(self) -> None:
        """Reject an incomplete request, or close an idle connection, if its time limit is over."""
        connection = self._connection
        due_at = self._request_due_at()
        if due_at > self._loop.time() + TIMER_TOLERANCE_S:
            self._request_timer = self._loop.call_at(due_at, self.check_request_timeout)
            return
        self._request_timer = None
        if connection.state is ConnectionState.READING_REQUEST:
            connection.reject_input(408)
        elif connection.idle:
            connection.close()
        elif not connection.has_pending_requests and connection.state in ACCEPTS_INPUT:
            # Input has just arrived and is not parsed yet: it may begin a request, or be empty lines only.
            self._request_timer = self._loop.call_later(INPUT_RECHECK_S, self.check_request_timeout)

    @property
    def client_stopped_sending(self) -> bool:
        """True if the client has sent nothing for `CLIENT_STOPPED_MS`."""
        return self._clock.now() - self._connection.last_read_at >= CLIENT_STOPPED_MS

    def _request_due_at(self) -> float:
        """Return the time by which the request has to be complete, in seconds of the loop's time.

        Pauses in reading do not count against the client. Each byte read extends the limit for a client that
        goes on sending. A client that has stopped sending gets no extension.
        """
        connection = self._connection
        control = connection.read_control
        due_at = (
            self._request_timer_started_at
            + control.total_paused_s
            - self._earlier_pauses_s
            + REQUEST_TIMEOUT_S
        )
        if connection.state is ConnectionState.READING_REQUEST:
            extension = connection.incomplete_request_size / MIN_REQUEST_BYTES_PER_S
            if not connection.readable:
                active_at = max(self._clock.to_loop_time_s(connection.last_read_at), control.resumed_at)
                extension = min(extension, max(0.0, active_at + CLIENT_STOPPED_MS / 1000.0 - due_at))
            due_at += extension
        return due_at + RESUME_GRACE_S if control.paused else due_at

    # --- unread answer --------------------------------------------------------------

    def start_answer_timer(self) -> None:
        """Start the time limit for the client to read the answers that are not sent yet."""
        self._check_answer_timeout(math.inf)

    def ensure_answer_timer(self) -> None:
        """Start the time limit for reading the unsent answers unless it is already running."""
        if self._answer_timer is None:
            self.start_answer_timer()

    def stop_answer_timer(self) -> None:
        """Cancel the time limit for an unread answer, because the client has read enough of it."""
        if self._answer_timer is not None:
            self._answer_timer.cancel()
            self._answer_timer = None

    def _check_answer_timeout(self, unread_before: float) -> None:
        """Abort the connection if the client has read less than `MAX_UNSENT_BYTES` since the last check.

        `unread_before` is the number of unread bytes at the last check. Unread bytes are those that the peer
        has not acknowledged. The size of the transport's buffer would show progress too late, because the
        kernel takes more bytes only after a large part of its own buffer has been read.
        """
        unread = framing.unacknowledged_bytes(self._connection.transport)
        if unread <= unread_before - MAX_UNSENT_BYTES:
            self._answer_timer = self._loop.call_later(
                UNREAD_ANSWER_TIMEOUT_S, self._check_answer_timeout, unread
            )
        else:
            self._connection.abort()

    # --- lingering --------------------------------------------------------------------

    def start_linger_timer(self) -> None:
        """Abort the connection after `LINGER_TIMEOUT_S`, or later if the client still reads a long answer."""
        self._request_timer = self._loop.call_later(LINGER_TIMEOUT_S, self._check_linger_timeout)

    def _check_linger_timeout(self) -> None:
        # The abort resets the connection, as input is unread, and destroys what waits in the sockets.
        if framing.unacknowledged_bytes(self._connection.transport) > 0:
            self.ensure_answer_timer()
            self.start_linger_timer()
        else:
            self._connection.abort()
