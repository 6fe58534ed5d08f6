"""A large answer that is passed on to its client as it arrives from a server."""

from __future__ import annotations

from collections.abc import Callable

from brassfall.sidecar.core.interfaces import Answer, FlowControl
from brassfall.sidecar.framing import header_lines


class StreamedAnswer:
    """An answer whose beginning has arrived, and the rest is to come."""

    def __init__(
        self, write: Callable[[bytes], None], answer: Answer, flow: FlowControl, *, can_chunk: bool
    ) -> None:
        """Pass on `answer` with `write`, and pause and resume its server with `flow`.

        `can_chunk` is whether the client understands chunked answers.
        """
        self.flow = flow
        self.started = False  # whether the head is written
        self.complete = False  # whether the last part has arrived
        self._write = write
        self._answer = answer
        self._can_chunk = can_chunk
        self._parts = [answer.body]  # buffered until `start`

    def add(self, data: bytes) -> None:
        """Write a part, or buffer it before `start` and pause the server."""
        if self.started:
            self._write(self._framed(data))
        else:
            self._parts.append(data)
            self.flow.pause()

    def start(self, *, last: bool) -> None:
        """Write the head and the parts that have arrived.

        The head of the `last` answer announces the end of the connection.
        """
        headers, length = list(self._answer.headers), self._answer.length
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        elif self._can_chunk:
            headers.append((b"Transfer-Encoding", b"chunked"))
        if last:
            headers.append((b"Connection", b"close"))
        parts, self._parts = self._parts, []
        self.started = True
        body = b"".join(self._framed(part) for part in parts)
        self._write(b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (header_lines(headers), body))

    def end(self) -> None:
        """Write the end of a chunked answer."""
        if self._chunked:
            self._write(b"0\r\n\r\n")

    @property
    def until_close(self) -> bool:
        """True if only the end of the connection shows that the answer is complete."""
        return self._answer.length is None and not self._can_chunk

    @property
    def _chunked(self) -> bool:
        return self._answer.length is None and self._can_chunk

    def _framed(self, data: bytes) -> bytes:
        if not self._chunked or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)
