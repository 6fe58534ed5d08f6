"""A request's body that is too large to be held whole: it flows from the client to a server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

HELD_MOST = 64 * 1024  # so much is held, and can be sent again
FLOW_MOST = 2 * HELD_MOST  # so much of a large message is here at a time: what is held, and one read


class Budget:
    """The bytes of messages that this process may hold at a time."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.used = 0

    def take(self, size: int) -> bool:
        """Ask for room; whether there is so much."""
        if self.used + size > self.most:
            return False
        self.used += size
        return True

    def give(self, size: int) -> None:
        """Room that is free again."""
        self.used -= size


class Source(Protocol):
    """Where a body comes from."""

    def pause(self) -> None:
        """Read no more of it for now."""

    def resume(self) -> None:
        """Read on."""


class Writer(Protocol):
    """Where a body goes to."""

    def more(self, data: bytes) -> None:
        """Write a part, framed."""

    def whole(self) -> None:
        """Nothing follows."""


class Body:
    """Holds what has come until a server takes it, and reads no faster than that one does."""

    def __init__(self, source: Source, held: bytes, length: int | None) -> None:
        self.length = length  # None: in chunks
        self.complete = False
        self.gone = False  # more has flowed on than is held: it can't be sent again
        self.on_gone: Callable[[], None] = lambda: None
        self._source = source
        self._held = bytearray(held)
        self._writer: Writer | None = None

    @property
    def header(self) -> bytes:
        """The framing, as a header."""
        if self.length is None:
            return b"Transfer-Encoding: chunked\r\n"
        return b"Content-Length: %d\r\n" % self.length

    # --- from the client -------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """A part has come."""
        writer = self._writer
        if writer is None:
            if not self.gone:  # or else nobody takes it any more
                self._held += data
                self._source.pause()
            return
        if not self.gone:
            self.gone = True
            self._held.clear()
            self.on_gone()
        writer.more(self._framed(data))

    def end(self) -> None:
        """The last part has come."""
        self.complete = True
        self._source.resume()  # what comes next is another request
        if self._writer is not None:
            self._finish(self._writer)

    # --- to the server ----------------------------------------------------------

    def attach(self, writer: Writer) -> None:
        """A server takes it, from its start."""
        self._writer = writer
        writer.more(self._framed(bytes(self._held)))
        if self.complete:
            self._finish(writer)
        else:
            self._source.resume()

    def detach(self, writer: Writer) -> None:
        """That server takes no more."""
        if self._writer is writer:
            self._writer = None
            if not self.complete:
                self._source.pause()

    def pause(self) -> None:
        """The server is slower than the client."""
        if not self.complete:
            self._source.pause()

    def resume(self) -> None:
        """The server has taken what there was."""
        if not self.complete:
            self._source.resume()

    def _framed(self, data: bytes) -> bytes:
        if self.length is not None or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    def _finish(self, writer: Writer) -> None:
        if self.length is None:
            writer.more(b"0\r\n\r\n")
        writer.whole()
