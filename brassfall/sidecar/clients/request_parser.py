"""Parser of one client connection, which turns bytes into requests and limits their size."""

from __future__ import annotations

from typing import Protocol

import httptools

from brassfall.sidecar import framing
from brassfall.sidecar.body import MAX_BUFFERED_BYTES, MAX_STREAMING_BYTES, Body, MemoryBudget
from brassfall.sidecar.clients.connection_state import ConnectionStateError
from brassfall.sidecar.clients.request_checks import check_framing
from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage

LINE_BREAK_BYTES = b"\r\n"  # bytes of which empty lines consist
# Largest read while the end of the current request is not known: its head is incomplete, or its body has
# chunks. A read may contain many short requests, which are all served in one turn of the event loop and kept
# until they are answered. A read of a head takes less, the less memory is free.
HEAD_READ_BYTES = 4 * 1024
MIN_HEAD_READ_BYTES = 1024
HEAD_SHARE_OF_READ = 1.0 / 16.0  # part of a read of a streamed message that a read of a head may take
CHUNKED_READ_BYTES = 16 * 1024
# Number of bytes that a request may take for each byte of its body, framing included. A chunk with one byte
# of the body takes six bytes.
REQUEST_BYTES_PER_BODY_BYTE = 8
# Number of bytes that a request may take for its framing, in addition to `REQUEST_BYTES_PER_BODY_BYTE` for
# each byte of its body.
MAX_FRAMING_BYTES = 2 * framing.MAX_HEAD_BYTES + MAX_BUFFERED_BYTES


class RequestReceiver(Protocol):
    """Client connection as `RequestParser` uses it: it is notified of each step in reading a request."""

    def request_begun(self) -> None:
        """Record that the first byte of a request has been read."""

    def head_read(self, message: RequestMessage) -> None:
        """Handle the complete head of a request, whose body is still to come."""

    def large_body_begun(self, message: RequestMessage) -> Body:
        """Serve a request whose body is too large to be buffered; return the body that takes the rest."""

    def request_read(self, message: RequestMessage) -> None:
        """Serve a request whose last byte has been read."""


class RequestParser:
    """Parser for the requests of one connection, which arrive one after the other."""

    def __init__(self, receiver: RequestReceiver, budget: MemoryBudget) -> None:
        """Pass requests to `receiver`, and reserve memory for their bodies from `budget`."""
        self.message: RequestMessage | None = None  # request that is being read
        self._stopped = False
        self._receiver = receiver
        self._budget = budget
        self._parser = httptools.HttpRequestParser(self)
        self._header_bytes = 0  # number of bytes of the names and values of the current request's headers
        self._completed_in_read = False  # True if a request was completed by the bytes that were last read
        self._empty_line_bytes = 0  # number of bytes of the empty lines before a request

    @property
    def keep_alive(self) -> bool:
        """True if the connection may carry more requests after the request just read."""
        return self._parser.should_keep_alive()

    @property
    def accepts_chunked(self) -> bool:
        """True if the client of the request just read understands chunked answers, as of HTTP/1.1."""
        return self._parser.get_http_version() != "1.0"

    @property
    def next_read_size(self) -> int:
        """Largest number of bytes of the next read, such that few of them belong to later requests."""
        message = self.message
        if self._stopped:
            return MAX_BUFFERED_BYTES  # the bytes are dropped
        if message is None or not message.head_complete:
            share = int(self._budget.read_size * HEAD_SHARE_OF_READ)
            return max(MIN_HEAD_READ_BYTES, min(share, HEAD_READ_BYTES))
        if message.length is None:
            return min(CHUNKED_READ_BYTES, self._budget.read_size)
        return min(max(1, message.length - message.body_size), self._budget.read_size)

    def feed(self, data: bytes) -> None:
        """Parse `data` and pass the requests in it to the receiver.

        Raises `BadRequestError` if the bytes are not a request, or belong to a request that is too large. An
        offer to upgrade to another protocol is ignored: the request with the offer and all later ones are
        read as HTTP/1.1.
        """
        self._completed_in_read = False
        while data and not self._stopped:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as error:
                data = data[error.args[0] :]
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserCallbackError as error:
                cause = error.__context__
                if isinstance(cause, BadRequestError):
                    raise BadRequestError(cause.status, cause.reason) from error
                if isinstance(cause, ConnectionStateError):
                    raise cause from error
                raise BadRequestError(400, "the input is not a valid request") from error
            except httptools.HttpParserError as error:
                raise BadRequestError(400, "the input is not valid HTTP") from error
            else:
                break
        if self.message is not None:
            self._pass_on_body(self.message)

    def check_size(self, data: bytes) -> None:
        """Count the bytes of `data`, which was passed to `feed` before, and reserve memory for the head.

        Raises `BadRequestError` if an incomplete request, or the empty lines before a request, are too long,
        or if there is no memory for the head. Bytes that were read together with the end of the request
        before are not counted, as most of them may belong to that request.
        """
        message, count = self.message, len(data)
        if message is None:
            if data[0] in LINE_BREAK_BYTES and not data.strip(LINE_BREAK_BYTES):
                self._empty_line_bytes += count
                if self._empty_line_bytes > framing.MAX_HEAD_BYTES:
                    raise BadRequestError(400, "there are too many empty lines before the request")
            return
        message.compact()
        if self._completed_in_read:
            return
        message.size += count
        if message.size - REQUEST_BYTES_PER_BODY_BYTE * message.body_size > MAX_FRAMING_BYTES:
            raise BadRequestError(413, "the request has too many bytes that are not part of its body")
        if not message.head_complete:
            if message.size > 2 * framing.MAX_HEAD_BYTES:
                raise BadRequestError(431, "the head of the request is too large")
            self._reserve_head(message)

    def _reserve_head(self, message: RequestMessage) -> None:
        """Reserve memory for an incomplete head, but for its first `MIN_HEAD_READ_BYTES` bytes.

        Those are part of the memory that a process keeps for each of its connections.
        """
        missing = message.size - MIN_HEAD_READ_BYTES - message.reservation.size
        if missing > 0 and not message.reservation.grow(self._budget, missing):
            raise BadRequestError(503, "there is no memory left for the head of the request")

    def stop(self) -> None:
        """Read no more requests, and drop an incomplete request."""
        self._stopped = True
        message, self.message = self.message, None
        if message is not None:
            message.reservation.release(self._budget)

    def release(self) -> None:
        """Drop the references to the receiver, which is closed, so that no cycle keeps it in memory."""
        self.stop()
        del self._receiver, self._parser

    # --- called by httptools --------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request. Called by httptools."""
        if self._stopped:
            return
        self.message = RequestMessage()
        self._header_bytes = self._empty_line_bytes = 0
        self._receiver.request_begun()

    def on_url(self, target: bytes) -> None:
        """Append `target`, which may be a part of the request's target. Called by httptools."""
        if self.message is not None:
            self.message.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the request. Called by httptools.

        httptools calls this for trailers too. Trailers are dropped, because no check covers them.
        """
        message = self.message
        if message is None or message.head_complete:
            return
        message.header_block.add(name, value)
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > framing.MAX_HEAD_BYTES:
            raise BadRequestError(431, "the head of the request is too large")

    def on_headers_complete(self) -> None:
        """Check the complete head of the request. Called by httptools."""
        message = self.message
        if message is None:
            return
        message.head_complete = True
        check_framing(message, self._parser.get_http_version(), upgrade=self._parser.should_upgrade())
        message.method = self._parser.get_method().decode("latin-1")
        length = message.header("content-length")
        if length is not None and length.isdigit():
            message.length = int(length)
            if message.length > framing.MAX_BODY_BYTES:
                raise BadRequestError(413, "the body of the request is too large")
        message.awaits_continue = (message.header("expect") or "").lower() == "100-continue"
        self._receiver.head_read(message)

    def on_body(self, data: bytes) -> None:
        """Buffer or pass on a part of the body. Called by httptools."""
        message = self.message
        if message is None or self._stopped:
            return
        message.body_size += len(data)
        if message.body_size > framing.MAX_BODY_BYTES:
            raise BadRequestError(413, "the body of the request is too large")
        if message.streamed_body is not None:
            message.body += data  # `_pass_on_body` passes on all parts of one read together
            return
        large = len(message.body) + len(data) > MAX_BUFFERED_BYTES
        size = MAX_STREAMING_BYTES - len(message.body) if large else len(data)
        if not message.reservation.grow(self._budget, size):
            raise BadRequestError(503, "there is no memory left for the body of the request")
        message.body += data
        if large:
            message.streamed_body = self._receiver.large_body_begun(message)

    @staticmethod
    def _pass_on_body(message: RequestMessage) -> None:
        """Pass on the parts of a large body that were read; a body may consist of chunks of one byte each."""
        if message.streamed_body is not None and message.body:
            data = bytes(message.body)
            message.body.clear()
            message.streamed_body.feed(data)

    def on_message_complete(self) -> None:
        """Pass the complete request to the receiver. Called by httptools."""
        message, self.message = self.message, None
        self._completed_in_read = True
        if message is not None and not self._stopped:
            self._pass_on_body(message)
            self._receiver.request_read(message)
