"""The answers of one client connection, written in the order of their requests."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from brassfall.sidecar import framing
from brassfall.sidecar.body import MemoryBudget
from brassfall.sidecar.clients.client_request import ClientRequest, RequestHandler
from brassfall.sidecar.clients.read_control import Hold, ReadControl
from brassfall.sidecar.clients.streamed_answer import StreamedAnswer


class AnsweringConnection(Protocol):
    """The connection that the answers go to."""

    transport: asyncio.Transport
    read_control: ReadControl

    @property
    def ends_with_pending(self) -> bool:
        """True if the connection is to end once all requests that were read are answered."""


class AnswerQueue:
    """The requests that have no complete answer yet, and the writing of their answers."""

    __slots__ = ("_budget", "_connection", "_handler", "pending")

    def __init__(
        self, connection: AnsweringConnection, budget: MemoryBudget, handler: RequestHandler
    ) -> None:
        self._connection = connection
        self._budget = budget
        self._handler = handler
        self.pending: deque[ClientRequest] = deque()  # in the order of the requests; changed only here

    def append(self, request: ClientRequest) -> None:
        """Add a request behind the others."""
        self.pending.append(request)

    def write_first(self) -> ClientRequest | None:
        """Write what there is of the first request's answer.

        Returns the request, which is then no longer pending, if its answer is complete, and None if the
        rest is to come.
        """
        request = self.pending[0]
        if request.stream is not None:
            if not self._write_stream(request, request.stream):
                return None
        elif request.answer is not None:
            request.last = self._is_last(request)
            status, headers, body = request.answer
            self._connection.transport.write(
                framing.serialize_answer(status, headers, body, close=request.last)
            )
        else:
            return None
        self.pending.popleft()
        request.reservation.release(self._budget)
        if request.reading and request.request is not None:
            # No attempt is to wait for the rest of a body that is no longer read.
            self._handler.client_disconnected(request.request)
        request.request = None  # it refers to this request: a cycle that only the collector would free
        return request

    def abandon(self) -> None:
        """Drop all pending requests: their client can no longer be answered."""
        requests = list(self.pending)
        self.pending.clear()
        for request in requests:
            request.reservation.release(self._budget)
            handled, request.request = request.request, None
            if handled is not None:
                self._handler.client_disconnected(handled)

    def pause_stream(self) -> None:
        """Pause the server's side of the answer that is being passed on, if there is one."""
        if self.pending and self.pending[0].stream is not None:
            self.pending[0].stream.flow.pause()

    def resume_stream(self) -> None:
        """Resume the server's side of the answer that is being passed on, if there is one."""
        if self.pending and self.pending[0].stream is not None:
            self.pending[0].stream.flow.resume()

    def _write_stream(self, request: ClientRequest, stream: StreamedAnswer) -> bool:
        """Write what there is of an answer that is passed on; return whether it is complete."""
        control = self._connection.read_control
        if not stream.started:
            request.last = self._is_last(request) or stream.until_close
            stream.start(last=request.last)
            if request.last and not request.reading:
                control.hold(Hold.ENDED)
            if control.holds(Hold.UNREAD_ANSWERS):
                stream.flow.pause()
            elif not stream.complete:
                stream.flow.resume()
        if stream.complete:
            stream.end()
        return stream.complete

    def _is_last(self, request: ClientRequest) -> bool:
        """Return whether the answer to the first request ends the connection.

        Requests that were read are all answered before a close; what lies unread may be sent again on
        another connection.
        """
        # An answer before the body's end leaves the rest unread: nothing can follow it.
        if not request.keep_alive or request.reading:
            return True
        return len(self.pending) == 1 and self._connection.ends_with_pending
