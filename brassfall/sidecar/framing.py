"""HTTP/1.1 framing for connections to clients and to servers: headers, answers and the parser of answers.

The module also reads the state of a connection from the operating system. Sizes are in bytes.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import sys
import termios
from collections.abc import Callable, Iterable
from http import HTTPStatus

import httptools

from brassfall.sidecar.body import MAX_BUFFERED_BYTES

MAX_BODY_BYTES = 32 * 1024 * 1024  # Largest request body
MAX_HEAD_BYTES = 16 * 1024  # Largest head, and largest trailer section, of any message
# Largest part that is buffered of the body of an answer not meant for the client; it may be a load report.
MAX_UNUSED_BODY_BYTES = 2 * 1024
OK_STATUS = HTTPStatus.OK.value
FIRST_FINAL_STATUS = 200  # Lowest status code of a final answer; lower codes are interim answers
REASONS = {status.value: status.phrase for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]  # Names and values of headers, in the order of the message

HEADER_SEPARATOR = b": "  # Bytes between the name and the value of a header in `header_lines`

# Hop-by-hop headers (RFC 9110, 7.6.1) and headers of the framing, which are not forwarded but written anew.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


def end_to_end(headers: Headers, leave_out: frozenset[bytes] = frozenset()) -> Headers:
    """Return the end-to-end headers of a message.

    These are all headers except the hop-by-hop headers, the headers that `Connection` names, and the headers
    in `leave_out`, which are names in lower case.
    """
    connection_options = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for part in value.split(b",")
    }
    dropped = HOP_BY_HOP | leave_out | connection_options if connection_options else HOP_BY_HOP | leave_out
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def origin_form(target: bytes) -> bytes:
    """Return a request's target in origin form, that is, without the scheme and host of an absolute URL."""
    scheme, found, rest = target.partition(b"://")
    if not found or scheme.lower() not in (b"http", b"https"):
        return target
    host_end = min((at for at in (rest.find(b"/"), rest.find(b"?")) if at >= 0), default=len(rest))
    return rest[host_end:] if rest[host_end : host_end + 1] == b"/" else b"/" + rest[host_end:]


def header_lines(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the bytes of header lines, each of which ends with CRLF."""
    return b"".join(b"%b: %b\r\n" % header for header in headers)


class HeaderBlock:
    """Headers of a message that is being read.

    Each header takes some 150 bytes beside its text while it is a pair of strings. `compact` joins them, so
    that a message that stays incomplete between two reads takes little more memory than its text.
    """

    __slots__ = ("_lines", "_pairs")

    def __init__(self) -> None:
        self._lines = b""  # Header lines of the headers that were added before the last call of `compact`
        self._pairs: Headers = []  # Headers that were added since

    def add(self, name: bytes, value: bytes) -> None:
        """Add a header to the end; blanks after its value are dropped, which httptools keeps."""
        self._pairs.append((name, value.rstrip(b" \t")))

    def compact(self) -> None:
        """Join the headers, because no more of the message can be read for now."""
        if self._pairs:
            self._lines += header_lines(self._pairs)
            self._pairs = []

    def pairs(self) -> Headers:
        """Return the names and values of all headers, in the order of the message."""
        if not self._lines:
            return self._pairs
        lines = self._lines.split(b"\r\n")[:-1]
        pairs = [line.partition(HEADER_SEPARATOR) for line in lines]
        return [(name, value) for name, _, value in pairs] + self._pairs


def serialize_answer(status: int, headers: Headers, body: bytes, *, close: bool) -> bytes:
    """Return the bytes of a complete answer; `close` adds the header `Connection: close`."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASONS.get(status, "").encode(),
        header_lines(headers),
        len(body),
        b"Connection: close\r\n" if close else b"",
        body,
    )


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connection has bytes, or the end of its input, that the event loop has not read yet.

    Return True also if the connection is closed or its state can't be read: the connection must not be used
    then.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    try:
        return bool(poll.poll(0))
    except OSError:  # The operating system has no memory for the call
        return True


def peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed or reset a connection, even if it has unread bytes.

    Return False if the state can't be read: the event loop detects the end later when it reads.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)  # `poll` reports a reset even if it is not registered
    try:
        return bool(poll.poll(0))
    except OSError:  # The operating system has no memory for the call
        return False


def unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the number of bytes that the peer has not acknowledged, including the transport's write buffer.

    If the operating system's count can't be read, only the bytes in the write buffer count.
    """
    unacknowledged = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError, ValueError):
        unacknowledged += int.from_bytes(
            fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)), sys.byteorder
        )
    return unacknowledged


def unread_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the number of bytes that wait in a connection's socket buffer; None if it can't be read."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    try:
        return int.from_bytes(fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4)), sys.byteorder)
    except OSError:
        return None


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol whose connections all read into one shared buffer of `MAX_BUFFERED_BYTES` bytes.

    The shared buffer bounds the memory: asyncio would read up to 256 KiB for each connection.
    """

    _buffer = memoryview(bytearray(MAX_BUFFERED_BYTES))

    @property
    def next_read_size(self) -> int:
        """Largest number of bytes of the next read; what the peer has sent beyond it stays in the socket."""
        return MAX_BUFFERED_BYTES

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return where the event loop reads to, just before it calls `buffer_updated`."""
        return self._buffer[: self.next_read_size]

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that the event loop has read into the buffer."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Process bytes from the peer."""


class BadAnswerError(Exception):
    """A server's answer is not valid HTTP, or its head or trailers are larger than allowed.

    `reason` says what is wrong with the answer.
    """

    action = "check the server; the attempt counts as failed, and the request may go to another server"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class AnswerParser:
    """Parses the answers on one connection, one at a time.

    `status` is 0 until the head of the answer is complete. The body is added to `body`, or passed to `sink`
    once that is set. Once `complete` is True, the connection may be used again if `keep_alive` is True and
    `extra` is False.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        # True if bytes followed the end of an answer, so that the connection must not be used again.
        self.extra = False
        self.reset()

    def reset(self) -> None:
        """Discard the current answer and expect the next one."""
        self.status = 0
        self._headers = HeaderBlock()
        self.body = bytearray()
        self.sink: Callable[[bytes], None] | None = None  # Function that receives the body in place of `body`
        self.complete = False
        self.keep_alive = False
        self._framed = False  # True if the head states where the body ends
        self._overhead = 0  # Number of bytes of heads, framing and trailers since the body last grew
        self._head_size = 0  # Number of bytes of the head, once it is complete

    def drop_content(self) -> None:
        """Drop the headers and the body of a complete answer, of which only the status is still needed."""
        self.drop_headers()
        self.body = bytearray()

    def drop_headers(self) -> None:
        """Drop the headers of an answer, which have been passed on."""
        self._headers = HeaderBlock()

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the answer.

        Raise `BadAnswerError` if the bytes are not valid HTTP, or if a head or trailers exceed
        `MAX_HEAD_BYTES`.
        """
        self._overhead += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise BadAnswerError(str(error)) from error
            self.extra = True
        if self.complete:
            return
        self._pass_on_body()
        if self._overhead > MAX_HEAD_BYTES:
            message = "the head or the trailers are too large"
            raise BadAnswerError(message)
        self._headers.compact()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of the incomplete answer that are in memory: of its head and its buffered body."""
        return (self._overhead if not self.status else self._head_size) + len(self.body)

    @property
    def headers(self) -> Headers:
        """Headers of the current answer."""
        return self._headers.pairs()

    def end(self) -> bool:
        """Return whether the answer is complete now that the server has closed the connection.

        The close ends an answer whose head does not state where its body ends.
        """
        return self.complete or (self.status >= FIRST_FINAL_STATUS and not self._framed)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, whose name is given in lower case; None if it is missing."""
        return next((value for key, value in self.headers if key.lower() == name), None)

    @property
    def length(self) -> int | None:
        """The length of the body in bytes; None if the head does not state it."""
        value = self.header(b"content-length")
        return int(value) if value is not None and value.isdigit() else None

    # --- called by the HTTP parser -----------------------------------------------

    def on_message_begin(self) -> None:
        """Set `extra` if a second message begins, which answers no request."""
        self.extra = self.extra or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; ignore a trailer."""
        if self.complete or self.status:
            return
        self._headers.add(name, value)
        self._framed = self._framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Store the status code, because the head is complete."""
        if not self.complete:
            self.status = self._parser.get_status_code()
            self._head_size = self._overhead

    def on_body(self, data: bytes) -> None:
        """Process a part of the body; of an answer not meant for the client, buffer only the beginning."""
        if self.complete:
            return
        self._overhead = 0
        if self.sink is not None:
            self.body += data  # `_pass_on_body` passes on all parts of one read together
        elif self.status == OK_STATUS:
            self.body += data
        else:
            self.body += data[: MAX_UNUSED_BODY_BYTES - len(self.body)]

    def on_message_complete(self) -> None:
        """Mark the answer as complete; discard an interim answer (1xx)."""
        if self.complete:
            return
        if self.status < FIRST_FINAL_STATUS:
            overhead = self._overhead
            self.reset()
            self._overhead = overhead  # Without this, a server could send interim answers without limit
            return
        self._pass_on_body()
        self.complete = True
        self.keep_alive = self._parser.should_keep_alive()

    def _pass_on_body(self) -> None:
        """Pass on the parts of a streamed body that were read; it may consist of chunks of one byte each."""
        if self.sink is not None and self.body:
            data = bytes(self.body)
            self.body.clear()
            self.sink(data)
