"""Client's request: its properties for the driver, its bytes for a server, and its answer."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple, Protocol

from brassfall.sidecar import framing
from brassfall.sidecar.body import Body, MemoryBudget, Reservation
from brassfall.sidecar.clients import request_checks
from brassfall.sidecar.clients.recent_calls import RecentCalls
from brassfall.sidecar.clients.request_message import RequestMessage
from brassfall.sidecar.clients.streamed_answer import StreamedAnswer
from brassfall.sidecar.config_values import WireNames, stable_number
from brassfall.sidecar.core.attempts import Request
from brassfall.sidecar.core.interfaces import Answer, FlowControl

IDEMPOTENT_METHOD = "GET"  # method of the classes whose requests may run more than once


class AnswerWriter(Protocol):
    """Connection on which a request arrived and on which its answer is written."""

    @property
    def budget(self) -> MemoryBudget:
        """Memory budget of all messages."""

    @property
    def recent_calls(self) -> RecentCalls:
        """Requests that were forwarded lately and must not run twice."""

    def write_ready_answers(self) -> None:
        """Write the available answers, in the order of their requests."""

    def answer_completed(self, request: ClientRequest) -> None:
        """Write the complete answer of `request`, or keep it until its turn."""

    def write(self, data: bytes) -> None:
        """Write a part of an answer to the client."""

    def close_if_client_left(self) -> bool:
        """Close the connection if the client of a request just read has closed it; return whether it has."""

    def client_left(self) -> bool:
        """Return whether the client has closed the connection; this polls the socket."""

    @property
    def read_lag_ms(self) -> float:
        """Longest time that the client's last bytes may have waited because reading was paused, in ms."""

    def abort(self) -> None:
        """Close the connection at once, even if requests are pending."""


class RequestHandler(Protocol):
    """Driver as the client connections use it: it serves the requests that have passed the checks."""

    def accept_request(self, call: ClientRequest, now: float) -> Request | None:
        """Serve a request that was read at `now`, in ms of the sidecar's clock; one final answer follows.

        Returns the driver's record of the request, or None if the request was rejected at once.
        """

    def client_disconnected(self, request: Request) -> None:
        """End a request whose client has closed the connection, or whose body will not be complete."""

    def body_discarded(self, request: Request) -> None:
        """Record that the body can't be sent again, as more of it was forwarded than is buffered."""

    def body_read(self, request: Request, now: float) -> None:
        """Record that the last byte of the body was read at `now`, in ms of the sidecar's clock."""


class CompleteAnswer(NamedTuple):
    """Final answer with its complete body."""

    status: int
    headers: framing.Headers
    body: bytes


class ClientRequest:
    """Request on a client's connection, and its answer once there is one.

    Implements `core.interfaces.Call`. The final answer is given by the first of the methods that give one;
    later calls of these methods have no effect.
    """

    __slots__ = (
        "_body",
        "_head",
        "_remembered",
        "accepts_chunked",
        "body",
        "budget",
        "call_id",
        "client_retry",
        "closes_connection",
        "complete_answer",
        "connection",
        "driver_request",
        "idempotent",
        "keep_alive",
        "key",
        "mutates",
        "request_class",
        "reservation",
        "streamed_answer",
        "tenant",
        "work",
    )

    def __init__(self, connection: AnswerWriter, reservation: Reservation, *, keep_alive: bool) -> None:
        """Create a request on `connection`, which may carry more requests if `keep_alive` is True."""
        self.connection = connection
        self.keep_alive = keep_alive
        self.closes_connection = False  # True if the connection is to be closed after the answer
        self.driver_request: Request | None = None  # driver's record of this request, until it is answered
        self.complete_answer: CompleteAnswer | None = None
        self.streamed_answer: StreamedAnswer | None = None  # large answer, in place of `complete_answer`
        self.body: Body | None = None  # body of a large request, which is not buffered completely
        self.accepts_chunked = True  # True if the client understands chunked answers, as of HTTP/1.1
        self.reservation = reservation  # memory that is reserved for the request and its answer
        self.call_id = ""  # id that the client gives the request
        self.idempotent = True  # True if the request may run more than once
        self.request_class = self.tenant = 0  # indices of the class and the tenant in the settings
        self.key: int | None = None  # number that stands for the user named in the cookie
        self.work: float | None = None  # work that the client states for the request, in ms
        self.client_retry = self.mutates = False
        self.budget = 0.0  # time that the client waits for the answer, in ms
        self._head = b""
        self._body = b""
        self._remembered = False  # True if the request was forwarded, and must not run twice

    @property
    def reading(self) -> bool:
        """True if a part of the request body has not arrived yet."""
        return self.body is not None and not self.body.complete

    @property
    def head_size(self) -> int:
        """Number of bytes of the head that servers get."""
        return len(self._head)

    @property
    def read_lag(self) -> float:
        """Longest time that the last byte of a large request may have waited to be read, in ms."""
        return 0.0 if self.body is None else self.connection.read_lag_ms

    def client_left(self) -> bool:
        """Return whether the client has closed the connection; polls the socket.

        The event loop may not have reported the close yet. No attempt may begin once the client has closed.
        """
        return self.connection.client_left()

    def read_properties(
        self, message: RequestMessage, names: WireNames, not_forwarded: frozenset[bytes]
    ) -> None:
        """Check `message` against `names` and set the properties and the head for servers from it.

        Headers in `not_forwarded` are left out of the head. Raises a `BadRequestError` with the answer if the
        request is invalid.
        """
        request_class = request_checks.request_class(message, names)
        self.request_class = request_class.slot
        self.budget = request_checks.budget_ms(message)
        self.call_id = request_checks.call_id(message)
        self.idempotent = request_class.method == IDEMPOTENT_METHOD
        if names.tenants:
            self.tenant = request_checks.tenant(message, names)
        user = request_checks.cookie(message.header("cookie") or "", "user")
        self.key = None if user is None else stable_number(user)
        self.work = request_checks.work_ms(message)
        self.client_retry = message.header("x-again") == "1"
        self.mutates = "Mutates=1" in (message.header("x-call-info") or "").split(",")
        self._body = b"" if self.body is not None else bytes(message.body)
        headers = framing.end_to_end(message.headers, not_forwarded)
        # A request with a body needs a length: a server would take the body for the next request otherwise.
        without_body = message.method == "GET" and not self._body
        framing_header = b"" if without_body else b"Content-Length: %d\r\n" % len(self._body)
        if self.body is not None:
            framing_header = self.body.header
        self._head = b"%b %b HTTP/1.1\r\n%b%b" % (
            message.method.encode(),
            message.target,
            framing.header_lines(headers),
            framing_header,
        )

    def request_bytes(self, left: float) -> bytes:
        """Return the bytes of this request for a server that has `left` ms to answer.

        For a large request these are the bytes of the head only.
        """
        if not self.idempotent:
            self._remembered = True
            self.connection.recent_calls.add(self.call_id)
        return b"%bX-Budget: %du\r\n\r\n%b" % (self._head, max(0.0, left) * 1000.0, self._body)

    # --- the final answer ---------------------------------------------------

    def send_answer(self, answer: Answer) -> None:
        """Answer the request with the complete answer of a server."""
        self.give_answer(200, answer.headers, answer.body)

    def send_rejection(self, retry_after: float) -> None:
        """Reject the request with status 503, and with `Retry-After` if `retry_after`, in ms, is positive."""
        headers = [(b"Retry-After", b"%.3f" % (retry_after / 1000.0))] if retry_after > 0.0 else []
        self.give_answer(503, headers, b"")

    def send_failure(self, *, late: bool) -> None:
        """Fail the request: with status 504 if its deadline is over (`late`), and with 502 otherwise."""
        self.give_answer(504 if late else 502, [], b"")

    def start_answer(self, answer: Answer, flow: FlowControl) -> None:
        """Begin to pass on a large answer of a server, of which the first part has arrived."""
        if self.complete_answer is None and self.streamed_answer is None:
            self.streamed_answer = StreamedAnswer(
                self.connection.write,
                answer,
                flow,
                self.connection.budget,
                accepts_chunked=self.accepts_chunked,
            )
            self.connection.write_ready_answers()

    def continue_answer(self, data: bytes) -> None:
        """Pass on the next part of a large answer."""
        if self.streamed_answer is not None:
            self.streamed_answer.add_part(data)

    def finish_answer(self) -> None:
        """End a large answer whose last part has been passed on."""
        if self.streamed_answer is not None:
            self.streamed_answer.complete = True
            self.connection.write_ready_answers()

    def abort_answer(self) -> None:
        """End a large answer that can't be completed.

        If a part of it was written, aborts the connection, so that the client notices that the rest is
        missing. Otherwise fails the request.
        """
        if self.streamed_answer is None:
            return
        if self.streamed_answer.started:
            self.connection.abort()
        else:
            self.streamed_answer.discard_waiting_parts()
            self.streamed_answer = None
            self.send_failure(late=False)

    def give_answer(self, status: int, headers: framing.Headers, body: bytes) -> None:
        """Give a complete final answer; no effect if the request already has an answer."""
        if self.complete_answer is None and self.streamed_answer is None:
            self.complete_answer = CompleteAnswer(status, headers, body)
            self.connection.answer_completed(self)

    def drop_answer(self) -> None:
        """Replace the complete answer, which waits for its turn, by a failure without a body.

        The status is no rejection, because the request may have had an effect.
        """
        self.complete_answer = CompleteAnswer(HTTPStatus.BAD_GATEWAY, [], b"")

    def answered(self) -> None:
        """Record that the client has its answer, so that its id may be used again."""
        if self._remembered:
            self.connection.recent_calls.discard(self.call_id)

    def release_memory(self) -> None:
        """Drop the bytes of the request and its answer, and return their memory to the budget.

        The client has its answer or has left. Attempts that go on have written the request, or never will.
        """
        self._head = self._body = b""
        self.reservation.release(self.connection.budget)
        if self.streamed_answer is not None:
            self.streamed_answer.discard_waiting_parts()
