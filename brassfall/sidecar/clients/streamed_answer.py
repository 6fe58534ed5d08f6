"""Large answer that is passed on to the client while it arrives from a server."""

from __future__ import annotations

from collections.abc import Callable

from brassfall.sidecar.body import MemoryBudget, Reservation
from brassfall.sidecar.core.interfaces import Answer, FlowControl
from brassfall.sidecar.framing import header_lines


class StreamedAnswer:
    """Answer that is written to the client in parts, of which the first part has arrived."""

    def __init__(
        self,
        write: Callable[[bytes], None],
        answer: Answer,
        flow: FlowControl,
        budget: MemoryBudget,
        *,
        accepts_chunked: bool,
    ) -> None:
        """Pass on `answer` by calls of `write`, and pause and resume the server's connection by `flow`.

        Parts that wait for their turn are counted in `budget`. `accepts_chunked` is whether the client
        understands chunked answers.
        """
        self.flow = flow
        self.started = False  # True if the head has been written
        self.complete = False  # True if the last part has arrived from the server
        self._write = write
        # The first part of the body is not kept with the rest of `answer`, because a long answer may last.
        self._headers, self._length = answer.headers, answer.length
        self._accepts_chunked = accepts_chunked
        self._waiting_parts = [answer.body]  # parts of the body that arrived before `start`
        self._budget = budget
        self._reservation = Reservation()  # memory of the waiting parts
        self._reservation.set_anyway(budget, len(answer.body))

    def add_part(self, data: bytes) -> None:
        """Write a part of the body; before `start`, buffer it and pause the server's connection."""
        if self.started:
            self._write(self._encode(data))
        else:
            self._waiting_parts.append(data)
            self._reservation.set_anyway(self._budget, self._reservation.size + len(data))
            self.flow.pause()

    def start(self, *, announce_close: bool) -> None:
        """Write the head and the parts of the body that have arrived.

        With `announce_close` the head tells the client that the connection closes after this answer.
        """
        headers, self._headers = self._headers, []
        if self._length is not None:
            headers.append((b"Content-Length", b"%d" % self._length))
        elif self._accepts_chunked:
            headers.append((b"Transfer-Encoding", b"chunked"))
        if announce_close:
            headers.append((b"Connection", b"close"))
        body = b"".join(self._encode(part) for part in self._waiting_parts)
        self.started = True
        self.discard_waiting_parts()
        self._write(b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (header_lines(headers), body))

    def discard_waiting_parts(self) -> None:
        """Drop the parts of the body that are not written, and return their memory to the budget."""
        self._waiting_parts.clear()
        self._reservation.release(self._budget)

    def end(self) -> None:
        """Write the last chunk of a chunked answer; other answers need no end."""
        if self._chunked:
            self._write(b"0\r\n\r\n")

    @property
    def delimited_by_close(self) -> bool:
        """True if the client can recognize the end of the answer only by the close of the connection."""
        return self._length is None and not self._accepts_chunked

    @property
    def _chunked(self) -> bool:
        return self._length is None and self._accepts_chunked

    def _encode(self, data: bytes) -> bytes:
        """Return a part of the body as it is written: as a chunk if the answer is chunked."""
        if not self._chunked or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)
