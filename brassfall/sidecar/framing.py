"""HTTP/1.1 framing that the client's and the server's side share: headers, answers, and their parser.

Also the state of a connection, as the system knows it. Sizes are in bytes.
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

MAX_BODY_BYTES = 32 * 1024 * 1024  # of a request
MAX_HEAD_BYTES = 16 * 1024  # of any message: its head, or its trailers
OK_STATUS = HTTPStatus.OK.value
FIRST_FINAL_STATUS = 200  # below are interim answers
REASONS = {status.value: status.phrase for status in HTTPStatus}

Headers = list[tuple[bytes, bytes]]  # name and value, in the order of the wire

# Hop-by-hop headers (RFC 9110, 7.6.1), and those of the framing, which each side writes anew.
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
    """Return the end-to-end headers.

    These are all but hop-by-hop ones, those that `Connection` names, and `leave_out`, in lower case.
    """
    named = {
        part.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for part in value.split(b",")
    }
    dropped = HOP_BY_HOP | leave_out | named if named else HOP_BY_HOP | leave_out
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def origin_form(target: bytes) -> bytes:
    """Return a request's target in origin form: without the scheme and host of an absolute one."""
    scheme, found, rest = target.partition(b"://")
    if not found or scheme.lower() not in (b"http", b"https"):
        return target
    end = min((at for at in (rest.find(b"/"), rest.find(b"?")) if at >= 0), default=len(rest))
    return rest[end:] if rest[end : end + 1] == b"/" else b"/" + rest[end:]


def header_lines(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return headers as lines on the wire, each with its CRLF."""
    return b"".join(b"%b: %b\r\n" % header for header in headers)


def serialize_answer(status: int, headers: Headers, body: bytes, *, close: bool) -> bytes:
    """Return a complete answer; with `close` it announces the end of its connection."""
    return b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n%b\r\n%b" % (
        status,
        REASONS.get(status, "").encode(),
        header_lines(headers),
        len(body),
        b"Connection: close\r\n" if close else b"",
        body,
    )


def has_unread_input(transport: asyncio.BaseTransport) -> bool:
    """Return whether a connection has bytes, or its end, that the loop has not read yet.

    Return True also if the connection is closed, or if the system can't tell: it must not be used then.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    try:
        return bool(poll.poll(0))
    except OSError:  # no memory for the call
        return True


def peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed or reset a connection, even if bytes before that are unread.

    Return False if the system can't tell: the loop notices as it reads.
    """
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)  # a reset is reported in any case
    try:
        return bool(poll.poll(0))
    except OSError:  # no memory for the call
        return False


def unacknowledged_bytes(transport: asyncio.WriteTransport) -> int:
    """Return how many bytes the peer has not acknowledged, those still buffered included.

    If the system can't tell, only the buffered ones count.
    """
    size = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError, ValueError):
        size += int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    return size


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol whose connections all read through one shared buffer of `MAX_BUFFERED_BYTES` bytes.

    It bounds memory: asyncio would read up to 256 KiB for each connection.
    """

    _buffer = memoryview(bytearray(MAX_BUFFERED_BYTES))

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer, into which the loop reads at once, before it calls `buffer_updated`."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that the loop has read into the buffer."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Take bytes of the peer."""


class BadAnswerError(Exception):
    """A server's answer is not HTTP, or has a head or trailers larger than allowed.

    `reason` tells what is wrong with it.
    """

    action = "look at the server: the attempt counts as broken, and others serve the request"

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class AnswerParser:
    """Parses the answers that come on one connection, one at a time.

    `status` is 0 until the head is complete. The body goes to `body`, or to `sink` once that is set.
    Once `complete` is set, `keep_alive` and `extra` tell whether the connection may be used again.
    """

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.extra = False  # bytes came past the answer: the connection must not be used again
        self.reset()

    def reset(self) -> None:
        """Discard this answer, and expect the next one."""
        self.status = 0
        self.headers: Headers = []
        self.body = bytearray()
        self.sink: Callable[[bytes], None] | None = None  # receives the body in place of `body`
        self.complete = False
        self.keep_alive = False
        self._framed = False  # the head tells where the body ends
        self._overhead = 0  # bytes since the body last grew: of heads, framing and trailers

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raise `BadAnswerError` if they are not HTTP, or if a head or trailers grow past `MAX_HEAD_BYTES`.
        """
        self._overhead += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self.complete:
                raise BadAnswerError(str(error)) from error
            self.extra = True
        if self._overhead > MAX_HEAD_BYTES and not self.complete:
            message = "the head is too large"
            raise BadAnswerError(message)

    def end(self) -> bool:
        """Return whether the answer is complete once the server has closed, as one of unknown length is."""
        return self.complete or (self.status >= FIRST_FINAL_STATUS and not self._framed)

    def header(self, name: bytes) -> bytes | None:
        """Return a header's first value, by its name in lower case; None if the header is missing."""
        return next((value for key, value in self.headers if key.lower() == name), None)

    @property
    def length(self) -> int | None:
        """The length of the body in bytes; None if the head does not tell it."""
        value = self.header(b"content-length")
        return int(value) if value is not None and value.isdigit() else None

    # --- called by the parser -----------------------------------------------

    def on_message_begin(self) -> None:
        """Take note of a second message, which belongs to no request."""
        self.extra = self.extra or self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; ignore a trailer."""
        if self.complete or self.status:
            return
        self.headers.append((name, value.rstrip(b" \t")))  # the parser leaves trailing blanks
        self._framed = self._framed or name.lower() in (b"content-length", b"transfer-encoding")

    def on_headers_complete(self) -> None:
        """Take the status: the head is complete."""
        if not self.complete:
            self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body; of an answer that no client gets, only the beginning is buffered."""
        if self.complete:
            return
        self._overhead = 0
        if self.sink is not None:
            self.sink(data)
        elif self.status == OK_STATUS or len(self.body) < MAX_BUFFERED_BYTES:
            self.body += data

    def on_message_complete(self) -> None:
        """Complete the answer; skip an interim one (1xx)."""
        if self.complete:
            return
        if self.status < FIRST_FINAL_STATUS:
            overhead = self._overhead
            self.reset()
            self._overhead = overhead  # or a server could send interim answers for ever
            return
        self.complete = True
        self.keep_alive = self._parser.should_keep_alive()
