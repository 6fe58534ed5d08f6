"""One client connection: reads requests, and writes their answers in the order of the requests.

`connection_state` defines the states of a connection and the transitions between them. The state decides what
a connection does with input, whether it is idle, and whether it may be evicted. `RequestParser` reads the
requests, `AnswerQueue` writes the answers, `ConnectionTimeouts` limits the time that a client may take, and
`ReadControl` pauses reading.

All code here runs on the event loop and never awaits. Times of the sidecar's clock are in ms, and times of
the event loop in seconds.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol

from brassfall.sidecar import framing
from brassfall.sidecar.body import Body, MemoryBudget, Reservation
from brassfall.sidecar.clients.answer_queue import AnswerQueue
from brassfall.sidecar.clients.client_request import ClientRequest, RequestHandler
from brassfall.sidecar.clients.connection_state import (
    ACCEPTS_INPUT,
    BETWEEN_REQUESTS,
    TRANSPORT_CLOSING,
    ConnectionState,
    checked_transition,
)
from brassfall.sidecar.clients.connection_timeouts import ConnectionTimeouts
from brassfall.sidecar.clients.read_batch import ReadBatch
from brassfall.sidecar.clients.read_control import PauseReason, ReadControl
from brassfall.sidecar.clients.recent_calls import RecentCalls
from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage
from brassfall.sidecar.clients.request_parser import RequestParser
from brassfall.sidecar.core.clock import Clock

MAX_PENDING_REQUESTS = 16  # number of unanswered requests at which a connection is no longer read
# Memory that a request takes until it is answered, apart from its bytes, in bytes. It is reserved for each
# request that a client sends before the answer to an earlier one.
PENDING_REQUEST_BYTES = 8 * 1024
# Largest number of written bytes that the client's own socket may hold, in bytes: Linux's default limit.
MAX_CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024
JUST_OPENED_MS = 100.0  # time after the accept in which a client's first request is expected, in ms

# States that are used often are names of this module, because looking up an enum member by its class is slow
# in CPython 3.11.
READING_REQUEST = ConnectionState.READING_REQUEST
AWAITING_NEXT_REQUEST = ConnectionState.AWAITING_NEXT_REQUEST
CLOSED = ConnectionState.CLOSED


class ConnectionOwner(Protocol):
    """Owner of the client connections, which serves their requests."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    handler: RequestHandler
    budget: MemoryBudget
    recent_calls: RecentCalls

    @property
    def closes_after_answers(self) -> bool:
        """True if each connection is to be closed after its next answer."""

    @property
    def max_unsent_bytes(self) -> int:
        """Number of unsent bytes of answers above which a client is no longer read, and they are counted."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Add a connection whose transport has been opened."""

    def connection_closed(self, connection: ClientConnection, last_state: ConnectionState) -> None:
        """Remove a closed connection; `last_state` is its state before `CLOSED`."""

    def serve_request(self, request: ClientRequest, message: RequestMessage, read_at: float) -> None:
        """Serve a request that was read at `read_at`, in ms of the sidecar's clock.

        The request is complete, or it is a large one of which the beginning has been read.
        """


class ClientConnection(framing.SharedBufferProtocol):
    """Connection of one client."""

    def __init__(self, owner: ConnectionOwner) -> None:
        self.transport: asyncio.Transport
        self.read_control = ReadControl(owner.loop, self._abandon_client)
        self.timeouts = ConnectionTimeouts(self, owner.loop, owner.clock)
        self.last_read_at = 0.0  # time of the last bytes read, in ms of the sidecar's clock
        # Time of the last of three events, in ms of the sidecar's clock: the opening of the connection, the
        # last bytes read, and the last answer written.
        self.quiet_since = 0.0
        self._owner = owner
        self._state = ConnectionState.CONNECTING
        self._parser = RequestParser(self, owner.budget)
        self._answers = AnswerQueue(self, owner.handler)
        self._unsent = Reservation()  # memory of the bytes that the transport holds for the client
        self._large_request: ClientRequest | None = None  # large request whose body is being read
        self._parsing = False  # True while the parser reads bytes; answers are written only afterwards
        self._read_size = 0  # largest number of bytes of the current read
        self._batch = ReadBatch()

    # --- state ------------------------------------------------------------------

    @property
    def state(self) -> ConnectionState:
        """State of the connection."""
        return self._state

    @property
    def pending_requests(self) -> list[ClientRequest]:
        """Requests that have no complete answer yet, in their order."""
        return list(self._answers.pending)

    @property
    def has_pending_requests(self) -> bool:
        """True if a request has no complete answer yet."""
        return bool(self._answers.pending)

    @property
    def incomplete_request_size(self) -> int:
        """Number of bytes that were read of the incomplete request; 0 if there is no such request."""
        message = self._parser.message
        return 0 if message is None else message.size

    @property
    def idle(self) -> bool:
        """True if no request is being read or answered and the socket buffer is empty."""
        return self._state in BETWEEN_REQUESTS and not self._answers.pending and not self.readable

    @property
    def readable(self) -> bool:
        """True if the socket has unread bytes or the end of the stream; this polls the socket."""
        return framing.has_unread_input(self.transport)

    @property
    def busy(self) -> bool:
        """True if a request is pending or a part of an answer has not been sent."""
        return bool(self._answers.pending) or self.transport.get_write_buffer_size() > 0

    @property
    def just_opened(self) -> bool:
        """True if the connection was accepted less than `JUST_OPENED_MS` ago and no request has begun."""
        awaiting = self._state is ConnectionState.AWAITING_FIRST_REQUEST
        return awaiting and self._owner.clock.now() - self.quiet_since < JUST_OPENED_MS

    @property
    def transferring(self) -> bool:
        """True if a request is still arriving, or a part of an answer has not been sent."""
        if self.transport.get_write_buffer_size() > 0:
            return True
        if self._state is READING_REQUEST and not self.timeouts.client_stopped_sending:
            return True
        return self._state in ACCEPTS_INPUT and self.readable

    @property
    def budget(self) -> MemoryBudget:
        """Memory budget of all messages."""
        return self._owner.budget

    @property
    def transport_closing(self) -> bool:
        """True if nothing more is sent, because the connection is being closed or is broken."""
        return self.transport.is_closing()

    @property
    def recent_calls(self) -> RecentCalls:
        """Requests that were forwarded lately and must not run twice."""
        return self._owner.recent_calls

    @property
    def closes_after_pending_requests(self) -> bool:
        """True if the connection is to be closed once all requests that were read are answered.

        The requests that had arrived together with them are read and answered before.
        """
        if not self._owner.closes_after_answers:
            self._batch.keep_open()
            return False
        return self._batch.ended and self._state is not READING_REQUEST

    def _change_state(self, state: ConnectionState) -> None:
        """Change the state; raises `ConnectionStateError` if the current state does not allow it."""
        self._state = checked_transition(self._state, state)
        if state not in ACCEPTS_INPUT:
            self._parser.stop()

    # --- closing ------------------------------------------------------------------

    def close(self) -> None:
        """Close the connection; bytes of its answers that are buffered are still sent."""
        if self._state is not CLOSED:
            self._begin_closing()
            self._shut_down_writing()
            self.transport.close()

    def evict(self) -> None:
        """Close the connection to make room for another one; no request may be pending on it."""
        self._change_state(ConnectionState.EVICTED)
        self._shut_down_writing()
        self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, even if requests are pending."""
        if self._state is not CLOSED:
            self._begin_closing()
            self.transport.abort()

    def _begin_closing(self) -> None:
        if self._state not in TRANSPORT_CLOSING:
            self._change_state(ConnectionState.CLOSING)

    def _shut_down_writing(self) -> None:
        """Send the end of the stream in this turn of the event loop.

        `transport.close` would send it one turn later. A client may check the socket for a close just before
        it sends a request. If the end of the stream has not been sent by then, the request is lost.
        """
        with contextlib.suppress(OSError):  # the client may have reset the connection
            self.transport.write_eof()

    # --- called by the event loop ---------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of a client that has connected. Called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(self._owner.max_unsent_bytes)
        self._change_state(ConnectionState.AWAITING_FIRST_REQUEST)
        self.read_control.connected(transport)
        self.timeouts.start_request_timer()
        self._owner.connection_opened(self)

    @property
    def next_read_size(self) -> int:
        """Largest number of bytes of the next read. Used by the event loop."""
        self._read_size = self._parser.next_read_size
        return self._read_size

    def data_received(self, data: bytes) -> None:
        """Read requests from `data`. Called by the event loop."""
        if self._state not in ACCEPTS_INPUT:
            return
        short = len(data) < self._read_size  # a short read has emptied the socket buffer
        if short:
            self._batch.end()
        else:
            closing = self._owner.closes_after_answers
            self._batch.count_full_read(len(data), self.transport, closing=closing)
        self.last_read_at = self.quiet_since = self._owner.clock.now()
        if self._large_request is not None and self._client_must_write_more(len(data)):
            self.read_control.restart_lag()
        error_status = self._parse_requests(data)
        if error_status is not None:
            self.reject_input(error_status)
        self.write_ready_answers()
        if short:
            self.read_control.next_read_may_be_stale = False

    def _parse_requests(self, data: bytes) -> int | None:
        """Serve the requests in `data`; return the HTTP status for invalid input, or None if there is none.

        Answers are not written before all of `data` is parsed, because more requests may follow in it. The
        error itself is not returned: with its traceback it would keep `data` and the connection in memory.
        """
        self._parsing = True
        try:
            self._parser.feed(data)
            self._parser.check_size(data)
        except BadRequestError as error:
            return error.status
        finally:
            self._parsing = False
        if self._state is READING_REQUEST:
            self.timeouts.ensure_request_timer()
        return None

    def pause_writing(self) -> None:
        """Pause reading, because the client does not read its answers. Called by the event loop.

        This limits the memory used for a client that sends requests without reading the answers.
        """
        self._count_unsent_bytes()
        self.timeouts.start_answer_timer()
        self.read_control.pause(PauseReason.UNREAD_ANSWERS)
        self._answers.pause_stream()

    def resume_writing(self) -> None:
        """Resume reading, because the client has read its answers. Called by the event loop."""
        self._unsent.release(self._owner.budget)
        if not self.transport.is_closing():  # a closing connection keeps its time limit for the answer
            self.timeouts.stop_answer_timer()
        self.read_control.resume(PauseReason.UNREAD_ANSWERS)
        self._answers.resume_stream()
        self.write_ready_answers()

    def eof_received(self) -> bool:
        """Close the connection, because the client has ended its sending. Called by the event loop."""
        self._abandon_client()
        return False

    def connection_lost(self, _error: Exception | None) -> None:
        """Release all resources of the closed connection. Called by the event loop."""
        last_state = self._state
        self._change_state(CLOSED)
        self.timeouts.release()
        self.read_control.disconnected()
        self._owner.connection_closed(self, last_state)
        self._large_request = None
        self._answers.release()
        self._parser.release()
        self._unsent.release(self._owner.budget)

    # --- streaming of a large body (body.Source) --------------------------------------

    def pause(self) -> None:
        """Pause reading, because the body arrives faster than the server takes it."""
        self.read_control.pause(PauseReason.SLOW_SERVER)

    def resume(self) -> None:
        """Resume reading, because the server can take more of the body."""
        self.read_control.resume(PauseReason.SLOW_SERVER)

    @property
    def read_lag_ms(self) -> float:
        """Longest time that the client's last bytes may have waited because reading was paused, in ms."""
        return self.read_control.lag_s * 1000.0

    def _client_must_write_more(self, size: int) -> bool:
        """Return whether the client can't have written the last byte of the large request that is read.

        `size` is the number of bytes just read. The rest of the body is then larger than what the sockets of
        both sides can hold.
        """
        message, body = self._parser.message, self._large_request and self._large_request.body
        if not message or not body or body.length is None or not self.read_control.lag_s:
            return False
        rest = body.length - message.body_size - size - MAX_CLIENT_SEND_BUFFER_BYTES
        if rest <= 0:
            return False
        unread = framing.unread_bytes(self.transport)
        return unread is not None and rest > unread

    # --- departure of the client -----------------------------------------------------

    def close_if_client_left(self) -> bool:
        """Close the connection if the client of a request just read has closed it; return whether it has.

        Polls the socket, because the event loop reports the close only after the request: both may have
        waited in the socket while reading or this process was paused, or other connections had their turn.
        """
        if not framing.peer_closed(self.transport):
            return False
        self._abandon_client()
        return True

    def client_left(self) -> bool:
        """Return whether the client has closed the connection; this polls the socket.

        If the client has, `client_disconnected` of the handler is called for each pending request in the next
        turn of the event loop.
        """
        if self._state is CLOSED:
            return True
        closed = framing.peer_closed(self.transport)
        if closed and self._state in ACCEPTS_INPUT:
            self._owner.loop.call_soon(self._abandon_client)
        return closed

    def _abandon_client(self) -> None:
        """Abandon the pending requests and close, because the client has closed or ended its sending.

        The client may still read answers that are already buffered.
        """
        if self._state is CLOSED:
            return
        self._begin_closing()
        self._abandon_pending_requests()
        self.read_control.stop_close_polling()
        self.transport.close()
        # A client that has only ended its sending may neither read the rest of an answer nor close. The time
        # limit for unread answers closes the connection then.
        self.timeouts.ensure_answer_timer()

    def _abandon_pending_requests(self) -> None:
        self._large_request = None
        self._answers.abandon_pending()

    # --- called by the parser (request_parser.RequestReceiver) -----------------------

    def request_begun(self) -> None:
        """Change the state after the first byte of a request was read."""
        self._change_state(READING_REQUEST)

    def head_read(self, message: RequestMessage) -> None:
        """Answer `Expect: 100-continue` once all earlier requests are answered."""
        if message.awaits_continue and not self._answers.pending and self._state in ACCEPTS_INPUT:
            message.awaits_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def large_body_begun(self, message: RequestMessage) -> Body:
        """Serve a request that is too large to be buffered; return the body that takes the rest of it."""
        body = Body(self, bytes(message.body), message.length)
        message.body.clear()
        request = self._large_request = self._append_request(message, keep_alive=True)
        request.body = body
        body.on_beginning_discarded = lambda: self._body_discarded(request)
        self._owner.serve_request(request, message, self.last_read_at)
        return body

    def request_read(self, message: RequestMessage) -> None:
        """Serve a request whose last byte has been read."""
        self._change_state(AWAITING_NEXT_REQUEST)
        self.timeouts.stop_request_timer()
        if self._large_request is not None:
            self._complete_large_request(self._large_request)
            return
        request = self._append_request(message, keep_alive=self._parser.keep_alive)
        if len(self._answers.pending) == 1 or request.reservation.grow(self.budget, PENDING_REQUEST_BYTES):
            self._owner.serve_request(request, message, self.last_read_at)
        else:
            request.send_rejection(0.0)
            self.read_control.pause(PauseReason.NO_MEMORY)
        self._stop_reading_after_last_request(request)
        if len(self._answers.pending) >= MAX_PENDING_REQUESTS:
            self.read_control.pause(PauseReason.MANY_PENDING_REQUESTS)

    def _append_request(self, message: RequestMessage, *, keep_alive: bool) -> ClientRequest:
        request = ClientRequest(self, message.reservation, keep_alive=keep_alive)
        request.accepts_chunked = self._parser.accepts_chunked
        self._answers.append(request)
        return request

    def _complete_large_request(self, request: ClientRequest) -> None:
        assert request.body is not None
        self._large_request = None
        request.keep_alive = request.keep_alive and self._parser.keep_alive
        self._stop_reading_after_last_request(request)
        if request.closes_connection:
            self.read_control.pause(PauseReason.CLOSE_ANNOUNCED)
        request.body.end()
        if request.driver_request is not None:
            self._owner.handler.body_read(request.driver_request, self.last_read_at)

    def _body_discarded(self, request: ClientRequest) -> None:
        request.reservation.set_anyway(self.budget, request.head_size)
        if request.driver_request is not None:
            self._owner.handler.body_discarded(request.driver_request)

    def _stop_reading_after_last_request(self, request: ClientRequest) -> None:
        """Read no further request if the connection is to be closed after the answer to `request`."""
        if not request.keep_alive and self._state in ACCEPTS_INPUT:
            self._change_state(ConnectionState.LAST_REQUEST_READ)

    # --- answers ----------------------------------------------------------------

    def write(self, data: bytes) -> None:
        """Write a part of an answer to the client, unless the transport is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)
            if self._unsent.size:
                self._count_unsent_bytes()

    def _count_unsent_bytes(self) -> None:
        """Count the bytes in the memory budget that the client's socket does not take for now."""
        self._unsent.set_anyway(self._owner.budget, self.transport.get_write_buffer_size())

    def answer_completed(self, request: ClientRequest) -> None:
        """Write the complete answer of `request`, or keep it until its turn."""
        self.write_ready_answers()
        self._answers.reserve_waiting(request, self._owner.budget)

    def write_ready_answers(self) -> None:
        """Write the available answers, in the order of their requests, as long as the client reads them."""
        if self._parsing or self._state is CLOSED:
            return
        pending = self._answers.pending
        while pending and not self.read_control.paused_for(PauseReason.UNREAD_ANSWERS):
            request = self._answers.write_first_answer()
            if request is None:
                return
            if request.closes_connection:
                self._close_after_last_answer()
                return
            self.quiet_since = self._owner.clock.now()
            if len(pending) == MAX_PENDING_REQUESTS - 1:
                self.read_control.resume(PauseReason.MANY_PENDING_REQUESTS)
            if not pending:
                self.read_control.resume(PauseReason.NO_MEMORY)
        message = self._parser.message
        if message is not None and message.head_complete:
            self.head_read(message)

    def reject_input(self, status: int) -> None:
        """Answer input that is no valid request, or an incomplete one, with this HTTP status.

        Earlier requests are answered first. The connection is closed after this answer.
        """
        if self._state not in ACCEPTS_INPUT:
            return
        self._change_state(ConnectionState.REJECTED)
        large, self._large_request = self._large_request, None
        if large is not None:
            self._reject_large_request(large, status)
            return
        request = ClientRequest(self, Reservation(), keep_alive=False)
        self._answers.append(request)
        request.give_answer(status, [], b"")

    def _reject_large_request(self, request: ClientRequest, status: int) -> None:
        """Answer a large request that will not be complete, and stop attempts that wait for the rest."""
        if request.driver_request is not None:
            self._owner.handler.client_disconnected(request.driver_request)
        if request.streamed_answer is not None:
            self.abort()  # a server's answer has begun, so no other answer can be given
            return
        request.keep_alive = False
        request.give_answer(status, [], b"")

    def _close_after_last_answer(self) -> None:
        """Close the connection after its last answer.

        A client that is still sending gets time to read the answer, because a reset would destroy it. The
        rest of an incomplete or invalid request is read and dropped, because its client might block in
        sending otherwise. A request after the last one stays unread, so that the client may send it again.
        """
        self.timeouts.stop_request_timer()
        incomplete = self._state is READING_REQUEST
        if incomplete or self._state is ConnectionState.REJECTED:
            self.read_control.resume(PauseReason.SLOW_SERVER)
        else:
            self.read_control.pause(PauseReason.CLOSE_ANNOUNCED)
        # If the last answer is delimited by the close, more requests may have been read after its request. No
        # answer to them can follow.
        self._abandon_pending_requests()
        if self._state in TRANSPORT_CLOSING or not (incomplete or self.readable):
            self._begin_closing()
            self.transport.close()
            return
        self._change_state(ConnectionState.LINGERING)
        self._shut_down_writing()
        self.timeouts.start_linger_timer()
