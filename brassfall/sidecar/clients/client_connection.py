"""One connection of a client: requests in, answers out in the order of the requests.

`connection_state` has the states of a connection and says which may follow on which. The state decides what
a connection does with input, whether it is idle and whether it may be evicted. `RequestParser` reads the
requests, `AnswerQueue` writes the answers, `ConnectionTimeouts` limits the time of the client, and
`ReadControl` pauses reading.

All of it runs on the event loop, without awaiting. Times of the sidecar's clock are in ms, the loop's in s.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import Protocol

from brassfall.sidecar import framing
from brassfall.sidecar.body import MAX_BUFFERED, MAX_FLOWING, Body, Budget
from brassfall.sidecar.clients.answer_queue import AnswerQueue
from brassfall.sidecar.clients.client_request import ClientRequest, RequestHandler
from brassfall.sidecar.clients.connection_state import (
    ACCEPTS_INPUT,
    BETWEEN_REQUESTS,
    TRANSPORT_CLOSING,
    ConnectionState,
    checked_transition,
)
from brassfall.sidecar.clients.connection_timeouts import MAX_UNSENT, ConnectionTimeouts
from brassfall.sidecar.clients.read_control import Hold, ReadControl
from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage, Reservation
from brassfall.sidecar.clients.request_parser import RequestParser
from brassfall.sidecar.core.clock import Clock

MAX_PENDING = 16  # requests without an answer, past which no more are read
JUST_OPENED_MS = 100.0  # from accept, in which the first request of a client is expected

# Looked up once: access to an enum member by its class is slow in CPython 3.11.
READING_REQUEST = ConnectionState.READING_REQUEST
AWAITING_NEXT_REQUEST = ConnectionState.AWAITING_NEXT_REQUEST
CLOSED = ConnectionState.CLOSED


class Owner(Protocol):
    """The owner of the connections, which serves their requests."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    handler: RequestHandler
    budget: Budget

    @property
    def closes_after_answers(self) -> bool:
        """True if each answer is to be the last on its connection."""

    def opened(self, connection: ClientConnection) -> None:
        """Take note that the connection is up."""

    def closed(self, connection: ClientConnection, last_state: ConnectionState) -> None:
        """Take note that the connection is gone; `last_state` is the one before `CLOSED`."""

    def serve(self, request: ClientRequest, message: RequestMessage, read_at: float) -> None:
        """Serve a request that was read at `read_at`, complete or as far as a large one is buffered."""


class ClientConnection(framing.SharedBufferProtocol):
    """One connection of a client."""

    def __init__(self, owner: Owner) -> None:
        self.transport: asyncio.Transport
        self.read_control = ReadControl(owner.loop, self._client_gone)
        self.timeouts = ConnectionTimeouts(self, owner.loop, owner.clock)
        self.read_at = 0.0  # time of the last bytes read
        self.quiet_since = 0.0  # time of the opening, the last bytes read or the last answer
        self._owner = owner
        self._state = ConnectionState.CONNECTING
        self._parser = RequestParser(self, owner.budget)
        self._answers = AnswerQueue(self, owner.budget, owner.handler)
        self._large_request: ClientRequest | None = None  # whose body is being read
        self._parsing = False  # while the parser reads bytes, answers wait

    # --- state ------------------------------------------------------------------

    @property
    def state(self) -> ConnectionState:
        """The state of the connection."""
        return self._state

    @property
    def pending_requests(self) -> list[ClientRequest]:
        """The requests that have no complete answer yet, in their order."""
        return list(self._answers.pending)

    @property
    def has_pending_requests(self) -> bool:
        """True if a request has no complete answer yet."""
        return bool(self._answers.pending)

    @property
    def incomplete_size(self) -> int:
        """The size in bytes of what was read of the incomplete request; 0 without one."""
        message = self._parser.message
        return 0 if message is None else message.size

    @property
    def idle(self) -> bool:
        """True if no request is being read or answered and the socket buffer is empty."""
        return self._state in BETWEEN_REQUESTS and not self._answers.pending and not self.readable

    @property
    def readable(self) -> bool:
        """True if the socket has unread bytes or the end of the stream; polls the socket."""
        return framing.readable(self.transport)

    @property
    def busy(self) -> bool:
        """True if a request is pending or a part of an answer is not sent."""
        return bool(self._answers.pending) or self.transport.get_write_buffer_size() > 0

    @property
    def just_opened(self) -> bool:
        """True if the connection was accepted less than `JUST_OPENED_MS` ago and no request has begun."""
        awaiting = self._state is ConnectionState.AWAITING_FIRST_REQUEST
        return awaiting and self._owner.clock.now() - self.quiet_since < JUST_OPENED_MS

    @property
    def transferring(self) -> bool:
        """True if a part of a request is still arriving, or a part of an answer not sent."""
        if self.transport.get_write_buffer_size() > 0:
            return True
        if self._state is READING_REQUEST and not self.timeouts.client_stopped:
            return True
        return self._state in ACCEPTS_INPUT and self.readable

    @property
    def ends_with_pending(self) -> bool:
        """True if the connection is to end once all requests that were read are answered."""
        return self._owner.closes_after_answers and self._state is not READING_REQUEST

    def _enter(self, state: ConnectionState) -> None:
        """Change the state; raises `ConnectionStateError` if the present one does not allow it."""
        self._state = checked_transition(self._state, state)
        if state not in ACCEPTS_INPUT:
            self._parser.stop()

    # --- closing ------------------------------------------------------------------

    def close(self) -> None:
        """Close the connection. What is buffered of its answers is still sent."""
        if self._state is not CLOSED:
            self._begin_closing()
            self._end_sending()
            self.transport.close()

    def evict(self) -> None:
        """Close the connection to make room for another one; nothing may be pending on it."""
        self._enter(ConnectionState.EVICTED)
        self._end_sending()
        self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, even with requests pending."""
        if self._state is not CLOSED:
            self._begin_closing()
            self.transport.abort()

    def _begin_closing(self) -> None:
        if self._state not in TRANSPORT_CLOSING:
            self._enter(ConnectionState.CLOSING)

    def _end_sending(self) -> None:
        """Send the end of the stream in this turn of the loop.

        `transport.close` does so a turn later. A client that looks at the socket before it sends a request
        has to see the end by then, or the request would be lost.
        """
        with contextlib.suppress(OSError):  # the client has reset the connection
            self.transport.write_eof()

    # --- called by the loop ---------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport: the client has connected. Called by the loop."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(MAX_UNSENT)
        self._enter(ConnectionState.AWAITING_FIRST_REQUEST)
        self.read_control.connected(transport)
        self.timeouts.start_request()
        self._owner.opened(self)

    def data_received(self, data: bytes) -> None:
        """Read requests from these bytes. Called by the loop."""
        if self._state not in ACCEPTS_INPUT:
            return
        self.read_at = self.quiet_since = self._owner.clock.now()
        error = self._parse(data)
        if error is not None:
            self.reject(error.status)
        self.flush()
        if len(data) < MAX_BUFFERED:
            self.read_control.may_be_stale = False  # nothing more was in the socket buffer

    def _parse(self, data: bytes) -> BadRequestError | None:
        """Serve the requests in these bytes; return what is wrong with them, if anything.

        Answers are written afterwards: more requests may follow in the same bytes.
        """
        self._parsing = True
        try:
            self._parser.feed(data)
            self._parser.check_size(data)
        except BadRequestError as error:
            return error
        finally:
            self._parsing = False
        if self._state is READING_REQUEST:
            self.timeouts.ensure_request()
        return None

    def pause_writing(self) -> None:
        """Pause reading: the client does not read its answers. Called by the loop.

        Guards the memory against a client that only sends requests.
        """
        self.timeouts.start_answer()
        self.read_control.hold(Hold.UNREAD_ANSWERS)
        self._answers.pause_stream()

    def resume_writing(self) -> None:
        """Resume reading: the client has read its answers. Called by the loop."""
        if not self.transport.is_closing():  # a closing connection keeps its limit
            self.timeouts.stop_answer()
        self.read_control.release(Hold.UNREAD_ANSWERS)
        self._answers.resume_stream()

    def eof_received(self) -> bool:
        """Close the connection: the client has ended its sending. Called by the loop."""
        self._client_gone()
        return False

    def connection_lost(self, _error: Exception | None) -> None:
        """Release what the connection holds. Called by the loop."""
        last_state = self._state
        self._enter(CLOSED)
        self.timeouts.stop()
        self.read_control.disconnected()
        self._owner.closed(self, last_state)
        self._abandon_pending()

    # --- a body that flows (body.Source) --------------------------------------

    def pause(self) -> None:
        """Stop reading: the body arrives faster than the server takes it."""
        self.read_control.hold(Hold.SLOW_SERVER)

    def resume(self) -> None:
        """Read on: the server takes more of the body."""
        self.read_control.release(Hold.SLOW_SERVER)

    # --- the client's end -----------------------------------------------------

    def leave_if_closed(self) -> bool:
        """Close the connection if the client of a request just read has closed it; return whether it has.

        Polls the socket only where the loop can't have reported the end yet: if the request may have waited
        in the socket buffer, or came behind another one.
        """
        stale = self.read_control.may_be_stale or len(self._answers.pending) > 1
        if not stale or not framing.peer_closed(self.transport):
            return False
        self._client_gone()
        return True

    def client_left(self) -> bool:
        """Return whether the client has closed the connection; polls the socket.

        If it has, the handler gets `client_gone` for each pending request in the next turn of the loop.
        """
        if self._state is CLOSED:
            return True
        gone = framing.peer_closed(self.transport)
        if gone and self._state in ACCEPTS_INPUT:
            self._owner.loop.call_soon(self._client_gone)
        return gone

    def _client_gone(self) -> None:
        """Abandon the pending requests and close: the client has gone, or reads buffered answers at most."""
        if self._state is CLOSED:
            return
        self._begin_closing()
        self._abandon_pending()
        self.read_control.stop_looking()
        self.transport.close()
        # The client may have left a part of an answer unread without ever closing its end.
        self.timeouts.ensure_answer()

    def _abandon_pending(self) -> None:
        self._large_request = None
        self._answers.abandon()

    # --- called by the parser (request_parser.Receiver) -----------------------

    def request_begun(self) -> None:
        """Take note that the first byte of a request was read."""
        self._enter(READING_REQUEST)

    def head_read(self, message: RequestMessage) -> None:
        """Answer `Expect: 100-continue` once all earlier requests are answered."""
        if self._answers.pending or message.continue_sent or self._state not in ACCEPTS_INPUT:
            return
        if (message.header("expect") or "").lower() == "100-continue":
            message.continue_sent = True
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def large_body_begun(self, message: RequestMessage) -> Body:
        """Serve a request that is too large to be buffered; return what takes the rest of its body."""
        length = message.header("content-length")
        body = Body(self, bytes(message.body), int(length) if length is not None else None)
        message.body.clear()
        request = self._large_request = self._append_request(message, keep_alive=True)
        request.body = body
        body.on_gone = lambda: self._body_gone(request)
        self._owner.serve(request, message, self.read_at)
        return body

    def request_read(self, message: RequestMessage) -> None:
        """Serve a request whose last byte has been read."""
        self._enter(AWAITING_NEXT_REQUEST)
        self.timeouts.stop_request()
        if self._large_request is not None:
            self._end_large_request(self._large_request)
            return
        request = self._append_request(message, keep_alive=self._parser.keep_alive)
        self._owner.serve(request, message, self.read_at)
        self._stop_after_last(request)
        if len(self._answers.pending) >= MAX_PENDING:
            self.read_control.hold(Hold.REQUESTS_WAIT)

    def _append_request(self, message: RequestMessage, *, keep_alive: bool) -> ClientRequest:
        request = ClientRequest(self, message.reservation, keep_alive=keep_alive)
        request.can_chunk = self._parser.can_chunk
        self._answers.append(request)
        return request

    def _end_large_request(self, request: ClientRequest) -> None:
        assert request.body is not None
        self._large_request = None
        request.keep_alive = request.keep_alive and self._parser.keep_alive
        self._stop_after_last(request)
        if request.last:
            self.read_control.hold(Hold.ENDED)
        request.body.end()
        if request.request is not None:
            self._owner.handler.body_read(request.request, self.read_at)

    def _body_gone(self, request: ClientRequest) -> None:
        if request.request is not None:
            self._owner.handler.body_gone(request.request)

    def _stop_after_last(self, request: ClientRequest) -> None:
        """Read no request behind one whose answer ends the connection."""
        if not request.keep_alive and self._state in ACCEPTS_INPUT:
            self._enter(ConnectionState.LAST_REQUEST_READ)

    # --- answers ----------------------------------------------------------------

    def reserve_stream(self, request: ClientRequest) -> None:
        """Reserve the memory of an answer that is passed on, even past the limit of the budget."""
        self._owner.budget.used += MAX_FLOWING
        request.reservation.size += MAX_FLOWING

    def write(self, data: bytes) -> None:
        """Write a part of an answer, unless the transport is closing."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def flush(self) -> None:
        """Write the answers that are there, in the order of the requests."""
        if self._parsing or self._state is CLOSED:
            return
        pending = self._answers.pending
        while pending:
            request = self._answers.write_first()
            if request is None:
                return
            if request.last:
                self._end()
                return
            self.quiet_since = self._owner.clock.now()
            if len(pending) == MAX_PENDING - 1:
                self.read_control.release(Hold.REQUESTS_WAIT)
        message = self._parser.message
        if message is not None and message.head_complete:
            self.head_read(message)

    def reject(self, status: int) -> None:
        """Answer input from which no request can be read; earlier requests are answered first."""
        if self._state not in ACCEPTS_INPUT:
            return
        self._enter(ConnectionState.REJECTED)
        large, self._large_request = self._large_request, None
        if large is not None:
            self._reject_large_request(large, status)
            return
        request = ClientRequest(self, Reservation(), keep_alive=False)
        self._answers.append(request)
        request.finish(status, [], b"")

    def _reject_large_request(self, request: ClientRequest, status: int) -> None:
        """End a large request that will not be complete: no server is to wait for the rest."""
        if request.request is not None:
            self._owner.handler.client_gone(request.request)
        if request.stream is not None:
            self.abort()  # its answer had begun
            return
        request.keep_alive = False
        request.finish(status, [], b"")

    def _end(self) -> None:
        """Close after the last answer.

        A client that is still sending gets time to read the answer, which a reset would destroy. The rest of
        an incomplete or invalid request is read and dropped, or its client might block in sending. A request
        behind the last one stays unread, so that the client may send it again.
        """
        self.timeouts.stop_request()
        incomplete = self._state is READING_REQUEST
        if incomplete or self._state is ConnectionState.REJECTED:
            self.read_control.release(Hold.SLOW_SERVER)
        else:
            self.read_control.hold(Hold.ENDED)
        # An answer that only the end of the connection delimits may have requests behind it.
        self._abandon_pending()
        if self._state in TRANSPORT_CLOSING or not (incomplete or self.readable):
            self._begin_closing()
            self.transport.close()
            return
        self._enter(ConnectionState.LINGERING)
        self._end_sending()
        self.timeouts.start_linger()
