"""The parser of one client connection: bytes in, requests out, within bounds on their size."""

from __future__ import annotations

from typing import Protocol

import httptools

from brassfall.sidecar import framing
from brassfall.sidecar.body import MAX_BUFFERED_BYTES, MAX_STREAMING_BYTES, Body, MemoryBudget
from brassfall.sidecar.clients.connection_state import ConnectionStateError
from brassfall.sidecar.clients.request_checks import check_framing
from brassfall.sidecar.clients.request_message import BadRequestError, RequestMessage

BLANK = b"\r\n"
# Bytes of a request that are not its body, beside eight for each byte of the body.
BODY_OVERHEAD = 8
MAX_FRAMING = 2 * framing.MAX_HEAD_BYTES + MAX_BUFFERED_BYTES


class Receiver(Protocol):
    """The connection that gets the requests."""

    def request_begun(self) -> None:
        """Take note that the first byte of a request has been read."""

    def head_read(self, message: RequestMessage) -> None:
        """Take note that the head of a request is complete."""

    def large_body_begun(self, message: RequestMessage) -> Body:
        """Serve a request whose body is too large to be buffered; return what takes the rest of it."""

    def request_read(self, message: RequestMessage) -> None:
        """Serve a request whose last byte has been read."""


class RequestParser:
    """Parses the requests on one connection, one after the other."""

    def __init__(self, receiver: Receiver, budget: MemoryBudget) -> None:
        """Give requests to `receiver`, and reserve the memory for their bodies from `budget`."""
        self.message: RequestMessage | None = None  # that is being read
        self._stopped = False
        self._receiver = receiver
        self._budget = budget
        self._parser = httptools.HttpRequestParser(self)
        self._head_bytes = 0  # of the message that is being read
        self._blank_bytes = 0  # of empty lines, which may come before a request

    @property
    def keep_alive(self) -> bool:
        """True if the connection may carry more requests after the one just read."""
        return self._parser.should_keep_alive()

    @property
    def can_chunk(self) -> bool:
        """True if the client of the request just read understands chunked answers."""
        return self._parser.get_http_version() != "1.0"

    def feed(self, data: bytes) -> None:
        """Parse bytes.

        Raises `BadRequestError` if they are not a request, or part of one that is too large. An offer to
        upgrade to another protocol is ignored: that request and those behind it are read as HTTP/1.1.
        """
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
                raise BadRequestError(400, "not a request") from error
            except httptools.HttpParserError as error:
                raise BadRequestError(400, "not HTTP") from error
            else:
                return

    def check_size(self, data: bytes) -> None:
        """Count bytes that were fed.

        Raises `BadRequestError` if an incomplete request, or the empty lines before one, have too many.
        """
        message, count = self.message, len(data)
        if message is None:
            if data[0] in BLANK and not data.strip(BLANK):
                self._blank_bytes += count
                if self._blank_bytes > framing.MAX_HEAD_BYTES:
                    raise BadRequestError(400, "too many empty lines")
            return
        message.size += count
        if message.size - BODY_OVERHEAD * message.body_size > MAX_FRAMING:
            raise BadRequestError(413, "too much framing")
        if not message.head_complete:
            self._head_bytes += count
            if self._head_bytes > 2 * framing.MAX_HEAD_BYTES:
                raise BadRequestError(431, "headers too large")

    def stop(self) -> None:
        """Read no more requests, and drop an incomplete one."""
        self._stopped = True
        message, self.message = self.message, None
        if message is not None:
            message.reservation.release(self._budget)

    # --- called by httptools --------------------------------------------------

    def on_message_begin(self) -> None:
        """Begin a request. Called by httptools."""
        if self._stopped:
            return
        self.message = RequestMessage()
        self._head_bytes = self._blank_bytes = 0
        self._receiver.request_begun()

    def on_url(self, target: bytes) -> None:
        """Take the target, or a part of it. Called by httptools."""
        if self.message is not None:
            self.message.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header. Called by httptools, for trailers too, which are dropped: they are not checked."""
        message = self.message
        if message is None or message.head_complete:
            return
        # httptools leaves blanks behind a value.
        message.headers.append((name, value.rstrip(b" \t")))
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > framing.MAX_HEAD_BYTES:
            raise BadRequestError(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Check a complete head. Called by httptools."""
        message = self.message
        if message is None:
            return
        message.head_complete = True
        check_framing(message, self._parser.get_http_version(), upgrade=self._parser.should_upgrade())
        message.method = self._parser.get_method().decode("latin-1")
        length = message.header("content-length")
        if length is not None and length.isdigit() and int(length) > framing.MAX_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        self._receiver.head_read(message)

    def on_body(self, data: bytes) -> None:
        """Take a part of the body. Called by httptools."""
        message = self.message
        if message is None or self._stopped:
            return
        message.body_size += len(data)
        if message.body_size > framing.MAX_BODY_BYTES:
            raise BadRequestError(413, "body too large")
        if message.flowing_body is not None:
            message.flowing_body.feed(data)
            return
        large = len(message.body) + len(data) > MAX_BUFFERED_BYTES
        size = MAX_STREAMING_BYTES - message.reservation.size if large else len(data)
        if not message.reservation.grow(self._budget, size):
            raise BadRequestError(503, "no memory for the body")
        message.body += data
        if large:
            message.flowing_body = self._receiver.large_body_begun(message)

    def on_message_complete(self) -> None:
        """Give a complete request to the receiver. Called by httptools."""
        message, self.message = self.message, None
        if message is not None and not self._stopped:
            self._receiver.request_read(message)
