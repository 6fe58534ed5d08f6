"""A request body that is too large to be buffered completely: it flows from the client to one server.

Its beginning, up to `MAX_BUFFERED_BYTES` bytes, is buffered until a server has been chosen, and can be sent
again to another server. Once more than that has been sent, it can't be.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_BUFFERED_BYTES = 64 * 1024  # bytes of a message that are buffered, and can be sent again
# Bytes of a large message in memory at a time: the buffer and one read.
MAX_STREAMING_BYTES = 2 * MAX_BUFFERED_BYTES
LAST_CHUNK = b"0\r\n\r\n"


class MemoryBudget:
    """The bytes of messages that this process may hold in memory at a time."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def reserve(self, size: int) -> bool:
        """Reserve `size` bytes; False, and nothing reserved, if that many are not free."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Free `size` bytes that were reserved."""
        self.used -= size


class BodySource(Protocol):
    """The sender of a body: a client's connection."""

    def pause(self) -> None:
        """Stop reading the body, until `resume`."""

    def resume(self) -> None:
        """Resume reading the body."""


class BodyWriter(Protocol):
    """The receiver of a body: a server's connection."""

    def write_part(self, data: bytes) -> None:
        """Write a part of the body, with its framing."""

    def body_complete(self) -> None:
        """Take note that the last part has been written."""


class Body:
    """A large body on its way from a client to a server.

    It buffers what no server has received yet, and reads from the client as fast as the server takes it.
    """

    def __init__(self, source: BodySource, beginning: bytes, length: int | None) -> None:
        self.length = length  # in bytes; None if it is not known, and sent in chunks
        self.complete = False  # its last part has come from the client
        self.beginning_discarded = False  # more has been sent than is buffered: it can't be sent again
        self.on_beginning_discarded: Callable[[], None] = lambda: None
        self._source = source
        self._buffer = bytearray(beginning)
        self._writer: BodyWriter | None = None

    @property
    def header(self) -> bytes:
        """The header line of its framing."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    # --- from the client -------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Take a part from the client; call `on_beginning_discarded` at the first one sent unbuffered."""
        writer = self._writer
        if writer is None:
            if not self.beginning_discarded:  # once it is, no server gets the rest
                self._buffer += data
                self._source.pause()
            return
        if not self.beginning_discarded:
            self.beginning_discarded = True
            self._buffer.clear()
            self.on_beginning_discarded()
        writer.write_part(self._framed(data))

    def end(self) -> None:
        """Take note that the last part has come from the client, which may send its next request."""
        self.complete = True
        self._source.resume()
        if self._writer is not None:
            self._finish(self._writer)

    # --- to the server ----------------------------------------------------------

    def attach(self, writer: BodyWriter) -> None:
        """Send the body to a server, from its beginning."""
        self._writer = writer
        writer.write_part(self._framed(bytes(self._buffer)))
        if self.complete:
            self._finish(writer)
        else:
            self._source.resume()

    def detach(self, writer: BodyWriter) -> None:
        """Send no more to this server; do nothing if another one receives the body by now."""
        if self._writer is writer:
            self._writer = None
            if not self.complete:
                self._source.pause()

    def pause(self) -> None:
        """Stop reading from the client: the server takes no more for now."""
        if not self.complete:
            self._source.pause()

    def resume(self) -> None:
        """Resume reading from the client: the server has taken all that was written."""
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
