"""A request body that is too large to be buffered whole: it flows from the client to one server.

Its beginning, up to `MAX_BUFFERED` bytes, is buffered until a server has been chosen, and can be sent again
to another server. Once more than that has flowed on, it can't be.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

MAX_BUFFERED = 64 * 1024  # bytes of a message that are buffered, and can be sent again
MAX_FLOWING = 2 * MAX_BUFFERED  # bytes of a large message in memory at a time: the buffer and one read


class Budget:
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


class Source(Protocol):
    """Where a body comes from: a client's connection."""

    def pause(self) -> None:
        """Stop reading the body, until `resume`."""

    def resume(self) -> None:
        """Go on reading it."""


class Writer(Protocol):
    """Where a body goes to: a server's connection."""

    def write_part(self, data: bytes) -> None:
        """Write a part of the body, with its framing."""

    def body_complete(self) -> None:
        """The last part has been written."""


class Body:
    """A large body on its way: buffers what no server has taken yet, and paces the client by the server."""

    def __init__(self, source: Source, beginning: bytes, length: int | None) -> None:
        self.length = length  # in bytes; None: not known, sent in chunks
        self.complete = False  # whether its last part has come from the client
        self.gone = False  # whether more has flowed on than is buffered: it can't be sent again
        self.on_gone: Callable[[], None] = lambda: None
        self._source = source
        self._buffer = bytearray(beginning)
        self._writer: Writer | None = None

    @property
    def header(self) -> bytes:
        """The header line that tells its framing."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    # --- from the client -------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """Take a part from the client. The first one that goes on to a server unbuffered calls `on_gone`."""
        writer = self._writer
        if writer is None:
            if not self.gone:  # or else no server takes it any more
                self._buffer += data
                self._source.pause()
            return
        if not self.gone:
            self.gone = True
            self._buffer.clear()
            self.on_gone()
        writer.write_part(self._framed(data))

    def end(self) -> None:
        """The last part has come from the client."""
        self.complete = True
        self._source.resume()  # what comes next is another request
        if self._writer is not None:
            self._finish(self._writer)

    # --- to the server ----------------------------------------------------------

    def attach(self, writer: Writer) -> None:
        """Send it to a server, from its beginning."""
        self._writer = writer
        writer.write_part(self._framed(bytes(self._buffer)))
        if self.complete:
            self._finish(writer)
        else:
            self._source.resume()

    def detach(self, writer: Writer) -> None:
        """Send no more to this server; without effect if another one has it by now."""
        if self._writer is writer:
            self._writer = None
            if not self.complete:
                self._source.pause()

    def pause(self) -> None:
        """The server takes no more for now: neither does the client's connection read."""
        if not self.complete:
            self._source.pause()

    def resume(self) -> None:
        """The server has taken all that was written."""
        if not self.complete:
            self._source.resume()

    def _framed(self, data: bytes) -> bytes:
        if self.length is not None or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    def _finish(self, writer: Writer) -> None:
        if self.length is None:
            writer.write_part(b"0\r\n\r\n")
        writer.body_complete()
