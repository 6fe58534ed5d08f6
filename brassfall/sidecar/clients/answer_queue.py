"""Queue of the answers of one client connection, which are written in the order of their requests."""

from __future__ import annotations

from collections import deque
from typing import Protocol

from brassfall.sidecar import framing
from brassfall.sidecar.body import MemoryBudget
from brassfall.sidecar.clients.client_request import ClientRequest, RequestHandler
from brassfall.sidecar.clients.read_control import PauseReason, ReadControl
from brassfall.sidecar.clients.streamed_answer import StreamedAnswer


class AnsweringConnection(Protocol):
    """Client connection as `AnswerQueue` uses it."""

    read_control: ReadControl

    def write(self, data: bytes) -> None:
        """Write a part of an answer to the client, unless the transport is closing."""

    @property
    def transport_closing(self) -> bool:
        """True if nothing more is sent, because the connection is being closed or is broken."""

    @property
    def closes_after_pending_requests(self) -> bool:
        """True if the connection is to be closed once all requests that were read are answered."""


class AnswerQueue:
    """Requests of one connection that have no complete answer yet, and the writing of their answers."""

    __slots__ = ("_connection", "_handler", "pending")

    def __init__(self, connection: AnsweringConnection, handler: RequestHandler) -> None:
        self._connection = connection
        self._handler = handler
        self.pending: deque[ClientRequest] = deque()  # unanswered requests in their order

    def append(self, request: ClientRequest) -> None:
        """Add a request to the end of the queue."""
        self.pending.append(request)

    def write_first_answer(self) -> ClientRequest | None:
        """Write as much of the first request's answer as is available.

        If the answer is complete, removes the request from the queue and returns it. Returns None if the
        rest of the answer is still to come.
        """
        request = self.pending[0]
        if request.streamed_answer is not None:
            if not self._write_streamed_answer(request, request.streamed_answer):
                return None
            # The head of a long answer may have been written before the connection had to be closed.
            request.closes_connection = request.closes_connection or self._closes_connection(request)
        elif request.complete_answer is not None:
            request.closes_connection = self._closes_connection(request)
            status, headers, body = request.complete_answer
            self._connection.write(
                framing.serialize_answer(status, headers, body, close=request.closes_connection)
            )
        else:
            return None
        self.pending.popleft()
        if not self._connection.transport_closing:
            request.answered()
        request.release_memory()
        if request.reading and request.driver_request is not None:
            # The rest of this request's body will not be read, so no attempt may go on waiting for it.
            self._handler.client_disconnected(request.driver_request)
        # The driver's record refers to this request. Dropping the reference to the record breaks the cycle,
        # so that both objects are freed without the garbage collector.
        request.driver_request = None
        return request

    def reserve_waiting(self, request: ClientRequest, budget: MemoryBudget) -> None:
        """Reserve memory for a complete answer that waits for its turn; no effect if it has been written.

        If no memory is free, the answer is replaced by a failure.
        """
        answer = request.complete_answer
        if answer is None or not answer.body or request not in self.pending:
            return
        if not request.reservation.grow(budget, len(answer.body)):
            request.drop_answer()

    def abandon_pending(self) -> None:
        """Remove all pending requests and report that their client has left, as it can't be answered."""
        requests = list(self.pending)
        self.pending.clear()
        for request in requests:
            request.release_memory()
            driver_request, request.driver_request = request.driver_request, None
            if driver_request is not None:
                self._handler.client_disconnected(driver_request)

    def release(self) -> None:
        """Abandon all requests and drop the reference to the connection, which is closed."""
        self.abandon_pending()
        del self._connection

    def pause_stream(self) -> None:
        """Pause the server's connection of the streamed answer that is being written, if there is one."""
        if self.pending and self.pending[0].streamed_answer is not None:
            self.pending[0].streamed_answer.flow.pause()

    def resume_stream(self) -> None:
        """Resume the server's connection of the streamed answer that is being written, if there is one."""
        if self.pending and self.pending[0].streamed_answer is not None:
            self.pending[0].streamed_answer.flow.resume()

    def _write_streamed_answer(self, request: ClientRequest, stream: StreamedAnswer) -> bool:
        """Write as much of a streamed answer as has arrived; return whether it is complete."""
        control = self._connection.read_control
        if not stream.started:
            request.closes_connection = self._closes_connection(request) or stream.delimited_by_close
            stream.start(announce_close=request.closes_connection)
            if request.closes_connection and not request.reading:
                control.pause(PauseReason.CLOSE_ANNOUNCED)
            if control.paused_for(PauseReason.UNREAD_ANSWERS):
                stream.flow.pause()
            elif not stream.complete:
                stream.flow.resume()
        if stream.complete:
            stream.end()
        return stream.complete

    def _closes_connection(self, request: ClientRequest) -> bool:
        """Return whether the connection is to be closed after the answer to `request`, the first one.

        All requests that were read are answered before the connection is closed. The client may send requests
        that are still unread again on another connection.
        """
        # An answer that is given before the end of the request's body leaves the rest of the body unread, so
        # no other request can follow on the connection.
        if not request.keep_alive or request.reading:
            return True
        return len(self.pending) == 1 and self._connection.closes_after_pending_requests
