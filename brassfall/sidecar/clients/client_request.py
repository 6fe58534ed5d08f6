"""A client's request: its properties for the driver, its bytes for a server, and its answer."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from brassfall.sidecar import framing
from brassfall.sidecar.body import Body
from brassfall.sidecar.clients import request_checks
from brassfall.sidecar.clients.request_message import RequestMessage, Reservation
from brassfall.sidecar.clients.streamed_answer import StreamedAnswer
from brassfall.sidecar.config_values import WireNames, stable_number
from brassfall.sidecar.core.attempts import Request
from brassfall.sidecar.core.interfaces import Answer, FlowControl


class AnswerWriter(Protocol):
    """The connection that a request came on and its answer goes to."""

    def flush(self) -> None:
        """Write the answers that are there, in the order of the requests."""

    def write(self, data: bytes) -> None:
        """Write a part of an answer."""

    def reserve_stream(self, request: ClientRequest) -> None:
        """Reserve the memory of an answer that is passed on."""

    def leave_if_closed(self) -> bool:
        """Close if the client of a request just read has closed the connection; return whether it has."""

    def client_left(self) -> bool:
        """Return whether the client has closed the connection; polls the socket."""

    def abort(self) -> None:
        """Close the connection at once, even with requests pending."""


class RequestHandler(Protocol):
    """The driver, which serves requests that have passed the checks."""

    def accept_request(self, call: ClientRequest, now: float) -> Request | None:
        """Serve a request that was read at `now`, in ms; exactly one final answer follows."""

    def client_disconnected(self, request: Request) -> None:
        """Take note that the client has closed the connection, or that the body will not be complete."""

    def body_discarded(self, request: Request) -> None:
        """Take note that more of the body was forwarded than is buffered: it can't be sent again."""

    def body_read(self, request: Request, now: float) -> None:
        """Take note that the last byte of the body was read at `now`, in ms."""


class CompleteAnswer(NamedTuple):
    """A final answer in one piece."""

    status: int
    headers: framing.Headers
    body: bytes


class ClientRequest:
    """One request on a client's connection, and its answer once there is one.

    Implements `core.interfaces.Call`. The first of the methods that answer gives the final answer.
    """

    def __init__(self, connection: AnswerWriter, reservation: Reservation, *, keep_alive: bool) -> None:
        """Create a request on `connection`, which may carry more requests if `keep_alive`."""
        self.connection = connection
        self.keep_alive = keep_alive
        self.last = False  # whether the head of the answer announces the end of the connection
        self.request: Request | None = None  # the driver's record of it, until it is answered
        self.answer: CompleteAnswer | None = None
        self.stream: StreamedAnswer | None = None  # in place of a complete answer
        self.body: Body | None = None  # of a large request, in place of a buffered one
        self.can_chunk = True  # whether its client understands chunked answers, as of HTTP/1.1
        self.reservation = reservation
        self.request_class = self.tenant = 0
        self.key: int | None = None
        self.work: float | None = None
        self.client_retry = self.mutates = False
        self.budget = 0.0
        self._head = b""
        self._body = b""

    @property
    def reading(self) -> bool:
        """True if the body is still arriving."""
        return self.body is not None and not self.body.complete

    def client_left(self) -> bool:
        """Return whether the client has closed the connection; polls the socket.

        The loop may not have reported the end yet. No attempt may begin for such a client.
        """
        return self.connection.client_left()

    def read(self, message: RequestMessage, names: WireNames, not_forwarded: frozenset[bytes]) -> None:
        """Check a request for servers and read its properties.

        Headers in `not_forwarded` are left out. Raises `BadRequestError` with the answer to a bad request.
        """
        request_class = request_checks.request_class(message, names)
        self.request_class = request_class.slot
        self.budget = request_checks.budget_ms(message)
        request_checks.check_call_id(message)
        if names.tenants:
            self.tenant = request_checks.tenant(message, names)
        user = request_checks.cookie(message.header("cookie") or "", "user")
        self.key = None if user is None else stable_number(user)
        self.work = request_checks.work_ms(message)
        self.client_retry = message.header("x-again") == "1"
        self.mutates = "Mutates=1" in (message.header("x-call-info") or "").split(",")
        self._body = b"" if self.body is not None else bytes(message.body)
        headers = framing.end_to_end(message.headers, not_forwarded)
        # A server would read a body without a length as the next request.
        bare = message.method == "GET" and not self._body
        length = b"" if bare else b"Content-Length: %d\r\n" % len(self._body)
        if self.body is not None:
            length = self.body.header
        self._head = b"%b %b HTTP/1.1\r\n%b%b" % (
            message.method.encode(),
            message.target,
            framing.header_lines(headers),
            length,
        )

    def request_bytes(self, left: float) -> bytes:
        """Return the request's bytes for a server that has `left` ms; of a large request the head."""
        return b"%bX-Budget: %du\r\n\r\n%b" % (self._head, max(0.0, left) * 1000.0, self._body)

    # --- the final answer ---------------------------------------------------

    def send_answer(self, answer: Answer) -> None:
        """Give a server's answer."""
        self.finish(200, answer.headers, answer.body)

    def send_rejection(self, retry_after: float) -> None:
        """Reject the request, with a Retry-After of `retry_after` ms if that is positive."""
        wait = [(b"Retry-After", b"%.3f" % (retry_after / 1000.0))] if retry_after > 0.0 else []
        self.finish(503, wait, b"")

    def send_failure(self, *, late: bool) -> None:
        """Fail the request, because its deadline is over if `late`."""
        self.finish(504 if late else 502, [], b"")

    def start_answer(self, answer: Answer, flow: FlowControl) -> None:
        """Begin to pass on a server's answer of which more is to come."""
        if self.answer is None and self.stream is None:
            self.stream = StreamedAnswer(self.connection.write, answer, flow, can_chunk=self.can_chunk)
            self.connection.reserve_stream(self)
            self.connection.flush()

    def continue_answer(self, data: bytes) -> None:
        """Pass on a part of the answer that has begun."""
        if self.stream is not None:
            self.stream.add(data)

    def finish_answer(self) -> None:
        """End the answer that has begun: it is complete."""
        if self.stream is not None:
            self.stream.complete = True
            self.connection.flush()

    def abort_answer(self) -> None:
        """End the answer that has begun and can't be completed.

        Aborts the connection, by which the client can tell, or fails the request where nothing was written.
        """
        if self.stream is None:
            return
        if self.stream.started:
            self.connection.abort()
        else:
            self.stream = None
            self.send_failure(late=False)

    def finish(self, status: int, headers: framing.Headers, body: bytes) -> None:
        """Give a complete final answer; without effect if there is one."""
        if self.answer is None and self.stream is None:
            self.answer = CompleteAnswer(status, headers, body)
            self.connection.flush()
