"""A request body that is too large to be buffered completely and is streamed from the client to a server.

The beginning of the body, up to `MAX_BUFFERED_BYTES` bytes, is buffered until a server is selected, and can
be sent again to another server. Once more than the beginning has been sent, the body can't be sent again.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_BUFFERED_BYTES = 64 * 1024  # Largest part of a message that is buffered and can be sent again
# Largest part of a large message in memory at a time: the buffered part and one read from the socket.
MAX_STREAMING_BYTES = 2 * MAX_BUFFERED_BYTES
LAST_CHUNK = b"0\r\n\r\n"
# Largest part of the free memory that one read of a streamed message may take, so that the streams of many
# peers leave room for each other.
READ_SHARE_OF_FREE = 1.0 / 8.0
MIN_READ_BYTES = 4 * 1024  # Size of a read from the socket that the memory budget always allows


class MemoryBudget:
    """The limit of memory for messages in this process, in bytes, and how much of it is used."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; return False, and reserve nothing, if fewer bytes are free.

        A `size` of 0 or less always succeeds, also while more than the limit is used.
        """
        if size > 0 and self.used + size > self.limit:
            return False
        self.used += size
        return True

    def reserve_anyway(self, size: int) -> None:
        """Reserve `size` bytes that are in memory already, even if fewer bytes are free."""
        self.used += size

    def release(self, size: int) -> None:
        """Release `size` bytes that were reserved before."""
        self.used -= size

    @property
    def read_size(self) -> int:
        """Number of bytes of a streamed message that may be read at once: fewer, the less memory is free."""
        share = int((self.limit - self.used) * READ_SHARE_OF_FREE)
        return max(MIN_READ_BYTES, min(share, MAX_BUFFERED_BYTES))


class Reservation:
    """Part of the memory budget that is reserved for one message or buffer, in bytes."""

    __slots__ = ("size",)

    def __init__(self) -> None:
        self.size = 0

    def grow(self, budget: MemoryBudget, size: int) -> bool:
        """Reserve `size` more bytes; if they are not available, return False and reserve nothing."""
        if not budget.reserve(size):
            return False
        self.size += size
        return True

    def set_anyway(self, budget: MemoryBudget, size: int) -> None:
        """Set the reservation to `size` bytes, which are in memory already, even above the limit."""
        budget.reserve_anyway(size - self.size)
        self.size = size

    def release(self, budget: MemoryBudget) -> None:
        """Return all bytes to the budget, because they are no longer in memory."""
        budget.release(self.size)
        self.size = 0


class BodySource(Protocol):
    """The source of a request body: the client's connection."""

    def pause(self) -> None:
        """Stop reading the body from the client until `resume` is called."""

    def resume(self) -> None:
        """Resume reading the body from the client."""


class BodyWriter(Protocol):
    """The destination of a request body: a connection to a server."""

    def write_part(self, data: bytes) -> None:
        """Write a part of the body, including its framing."""

    def body_complete(self) -> None:
        """Handle that the last part of the body has been written."""


class Body:
    """A large request body that is streamed from a client to a server.

    The body buffers the beginning until a server receives it. After that, it is read from the client as fast
    as the server takes it.
    """

    def __init__(self, source: BodySource, beginning: bytes, length: int | None) -> None:
        self.length = length  # Length of the body in bytes; None if it is unknown and sent in chunks
        self.complete = False  # True if the last part of the body has arrived from the client
        # True once more of the body was sent than is buffered, so that the body can't be sent again.
        self.beginning_discarded = False
        self.on_beginning_discarded: Callable[[], None] = lambda: None
        self._source = source
        self._buffer = bytearray(beginning)
        self._writer: BodyWriter | None = None

    @property
    def header(self) -> bytes:
        """The header line that describes the framing of the body."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    # --- from the client -------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Process a part of the body from the client: buffer it, or send it if a server receives the body.

        The first part that is sent without being buffered calls `on_beginning_discarded`.
        """
        writer = self._writer
        if writer is None:
            if not self.beginning_discarded:  # Once it is discarded, no server receives the rest of the body
                self._buffer += data
                self._source.pause()
            return
        if not self.beginning_discarded:
            self.beginning_discarded = True
            self._buffer.clear()
            self.on_beginning_discarded()
        writer.write_part(self._framed(data))

    def end(self) -> None:
        """Handle that the last part of the body has arrived; the client may then send its next request."""
        self.complete = True
        self._source.resume()
        if self._writer is not None:
            self._finish(self._writer)

    # --- to the server ----------------------------------------------------------

    def attach(self, writer: BodyWriter) -> None:
        """Send the body to a server, starting at its beginning."""
        self._writer = writer
        writer.write_part(self._framed(bytes(self._buffer)))
        if self.complete:
            self._finish(writer)
        else:
            self._source.resume()

    def detach(self, writer: BodyWriter) -> None:
        """Stop sending the body to a server; do nothing if another server receives it now."""
        if self._writer is writer:
            self._writer = None
            if not self.complete:
                self._source.pause()

    def pause(self) -> None:
        """Stop reading from the client, because the server takes no more for now."""
        if not self.complete:
            self._source.pause()

    def resume(self) -> None:
        """Resume reading from the client, because the server has taken all bytes written so far."""
        if not self.complete:
            self._source.resume()

    def _framed(self, data: bytes) -> bytes:
        if self.length is not None or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    def _finish(self, writer: BodyWriter) -> None:
        if self.length is None:
            writer.write_part(LAST_CHUNK)
        writer.body_complete()
