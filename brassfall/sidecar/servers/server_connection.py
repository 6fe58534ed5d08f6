"""A server, and a connection to it, which carries one exchange at a time.

A break before the last byte of a request is written proves that the server never ran it (`CONNECT_FAILED`); a
later one doesn't (`RESET`).
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
import struct
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

from brassfall.balancer.model import Outcome
from brassfall.sidecar import framing
from brassfall.sidecar.body import MAX_BUFFERED, Body
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.core.interfaces import Answer, Result
from brassfall.sidecar.servers.exchange import Exchange
from brassfall.sidecar.servers.server_answers import OK, client_headers

# An answer of unknown length is buffered for so long at the most, and then passed on as it arrives.
HOLD_S = 0.1
# A server that takes or gives nothing for so long, where more is due, has stalled.
STALLED_S = 30.0

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for no time


class ConnectionState(Enum):
    """What a connection does; whether the request is written is `Connection.written`."""

    IDLE = auto()  # no exchange: not established yet, or between two
    AWAITING_ANSWER = auto()  # a request is being written, or its answer awaited or buffered
    STREAMING_ANSWER = auto()  # the answer is passed to the client as it arrives
    CLOSING = auto()  # nothing more is read or written
    CLOSED = auto()


# The members as names of this module: a look-up on the enumeration costs more than a comparison.
IDLE, AWAITING_ANSWER, STREAMING_ANSWER, CLOSING, CLOSED = ConnectionState
CARRYING = (AWAITING_ANSWER, STREAMING_ANSWER)


class DelayObserver(Protocol):
    """Takes the delays to regions that ordinary traffic shows, in milliseconds."""

    def count_handshake(self, region: str, ms: float, *, cold: bool) -> None:
        """Take the time to open a connection; `cold` if the server is in slow start."""

    def count_first_byte(self, region: str, ms: float, spent_ms: float = 0.0) -> None:
        """Take the time from a written request to the first byte of its answer."""


class ConnectionOwner(Protocol):
    """The pool, as its connections see it."""

    loop: asyncio.AbstractEventLoop
    delays: DelayObserver | None

    def free(self, connection: Connection) -> None:
        """Take back a connection that is idle and may be used again."""

    def connection_closed(self, connection: Connection) -> None:
        """Forget a connection that is closed."""

    def result(self, parser: framing.AnswerParser, *, health_check: bool) -> Result:
        """Return the outcome of a complete answer."""


@dataclass(slots=True, eq=False)
class Server:
    """A server in the endpoint list, from one start of it to the next.

    A server of the same name at another address, or with another start, is another one, with connections and
    a draining time of its own.
    """

    name: str
    address: Address
    started: float = 0.0  # Unix time in milliseconds; 0: long ago
    region: str = ""  # the name of its zone
    closed_from: float = math.inf  # no request is begun on its connections from then on (ms, sidecar's clock)
    idle: list[Connection] = field(default_factory=list)  # in the order in which they became idle

    @property
    def draining(self) -> bool:
        """True if no request may be begun, now or after a grace: it drains, has left or was replaced."""
        return self.closed_from < math.inf


class Connection(framing.SharedBufferProtocol):
    """A connection to a server; it carries one exchange at a time."""

    def __init__(self, pool: ConnectionOwner, server: Server) -> None:
        self._pool = pool
        self.server = server
        self.state = IDLE
        self.written = True  # True if the system has taken the last byte of the request
        self.idle_since = 0.0  # milliseconds, by the sidecar's clock
        # When a small request was written, by the loop's clock; 0: not measured, or its answer has begun.
        self.sent_at = 0.0
        self._transport: asyncio.Transport
        self._parser = framing.AnswerParser()
        self._exchange: Exchange | None = None  # in the states `CARRYING`
        self._body: Body | None = None  # a large one, until it is written completely
        self._hold_timer: asyncio.TimerHandle | None = None  # while an answer of unknown length is buffered
        self._silence_timer: asyncio.TimerHandle | None = None  # while an answer is passed on
        self._write_timer: asyncio.TimerHandle | None = None  # while the server takes no more of a body
        self._last_read = 0.0  # by the loop's clock
        self._reused = False  # True if it has carried an exchange before this one
        self._reading_paused = False

    @property
    def closed(self) -> bool:
        """True if the connection is closed on this side and its transport released."""
        return self.state is CLOSED

    @property
    def busy(self) -> bool:
        """True if it carries an exchange."""
        return self.state in CARRYING

    @property
    def answer_begun(self) -> bool:
        """True if the head of the present or the last answer has been read."""
        return self._parser.status != 0

    @property
    def transport(self) -> asyncio.Transport:
        """The transport under the connection, once it is established."""
        return self._transport

    def usable(self) -> bool:
        """Return whether a request can be written: the connection is open, with nothing unread."""
        closed = self.state is CLOSING or self.state is CLOSED
        return not (closed or self._transport.is_closing() or framing.readable(self._transport))

    # --- a request ------------------------------------------------------------------

    def begin(self, exchange: Exchange, message: bytes) -> None:
        """Write a request. It counts as written once the system has its last byte."""
        self.state = AWAITING_ANSWER
        self._exchange = exchange
        exchange.carried_by(self)
        self._reused = self._parser.complete
        self._parser.reset()
        self._transport.write(message)
        self._body = exchange.body
        if exchange.body is not None:
            exchange.body.attach(self)
        self._check_written()

    def _check_written(self) -> None:
        """Set `written` unless bytes are buffered in this process: a break now proves that nothing ran.

        A write that fails empties the buffer, too, and closes the transport.
        """
        unsent = self._transport.is_closing() or self._transport.get_write_buffer_size()
        self.written = not (unsent or self._body)
        if self.written and self._exchange is not None and self._exchange.watcher is not None:
            self._exchange.watcher.written()

    # Called by a large body (`body.Writer`).

    def write_part(self, data: bytes) -> None:
        """Write a part of the body; close if the request is no longer wanted."""
        exchange = self._exchange
        if exchange is not None and exchange.watcher is not None and not exchange.watcher.may_write():
            exchange.withdraw()
            self.abort()
        else:
            self._transport.write(data)

    def body_complete(self) -> None:
        """Take note that the last part of the body has been handed to the transport."""
        self._body = None
        self._check_written()

    # Called by the loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport of the established connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(0)  # so that `resume_writing` tells when all is written

    def pause_writing(self) -> None:
        """Stop a large body: the server takes no more for now."""
        if self._exchange is not None and self._exchange.body is not None:
            self._exchange.body.pause()
            self._write_timer = self._pool.loop.call_later(STALLED_S, self._break)

    def resume_writing(self) -> None:
        """Go on with a large body: the write buffer is empty."""
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
        if self._body is not None:
            self._body.resume()
        if not self.written:
            self._check_written()

    # --- its answer -----------------------------------------------------------------

    def data_received(self, data: bytes) -> None:
        """Take a part of an answer; called by the loop."""
        if self._exchange is None:
            # Bytes that answer no request: neither can an answer after them be trusted.
            self.abort()
            return
        try:
            self._parser.feed(data)
        except framing.BadAnswerError:
            self._break()
            return
        if self._exchange is None:
            return  # the client left while this part was passed on
        if self._parser.status == OK and self._reused and not self.written:
            # A server begins on a request when it has all of it: this is a second answer to the earlier one.
            self._break()
            return
        self._last_read = self._pool.loop.time()
        if self.sent_at and self._pool.delays is not None:
            spent = (self._last_read - self.sent_at) * 1000.0
            self._pool.delays.count_first_byte(self.server.region, spent)
            self.sent_at = 0.0
        if self._parser.complete:
            self._finish(reusable=self._parser.keep_alive and not self._parser.extra and self.written)
        elif self._parser.status == OK and self.state is AWAITING_ANSWER:
            self._buffer_or_stream()

    def eof_received(self) -> bool:
        """Take the end of the server's sending, which may complete an answer; called by the loop."""
        if self._exchange is not None and self._parser.end():
            self._finish(reusable=False)
        # The loop would first write out what is buffered: a request that counts as never written.
        self._break()
        return False

    def connection_lost(self, _error: Exception | None) -> None:
        """Take the end of the connection, whichever side closed it; called by the loop."""
        self.state = CLOSED
        self._pool.connection_closed(self)
        self._break()

    def _buffer_or_stream(self) -> None:
        """Buffer an incomplete answer, or begin to pass it on if it is large.

        One of unknown length is buffered for a moment: if it is small and breaks, the request can still be
        sent to another server.
        """
        assert self._exchange is not None
        if self._exchange.watcher is None:
            if len(self._parser.body) > MAX_BUFFERED:
                self._break()
            return
        length = self._parser.length
        if len(self._parser.body) > MAX_BUFFERED or (length is not None and length > MAX_BUFFERED):
            self._stream()
        elif length is None and self._hold_timer is None:
            self._hold_timer = self._pool.loop.call_later(HOLD_S, self._stream)

    def _stream(self) -> None:
        """Give the client the beginning of the answer, and then each part as it arrives."""
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None
        if self._exchange is None or self._exchange.watcher is None:
            return
        self.state = STREAMING_ANSWER
        answer = Answer(client_headers(self._parser), bytes(self._parser.body), self._parser.length)
        self._parser.body.clear()
        self._silence_timer = self._pool.loop.call_later(STALLED_S, self._check_silence)
        self._parser.sink = self._exchange.watcher.begun(answer, self)

    def _check_silence(self) -> None:
        """Break off an answer whose server has stalled; time in which the client was slow doesn't count."""
        silent = 0.0 if self._reading_paused else self._pool.loop.time() - self._last_read
        if silent >= STALLED_S:
            self._break()
        else:
            self._silence_timer = self._pool.loop.call_later(STALLED_S - silent, self._check_silence)

    # Called by the client's side of an answer that is passed on (`interfaces.Flow`).

    def pause(self) -> None:
        """Stop reading: the client is slower than the server."""
        self._reading_paused = True
        self._transport.pause_reading()

    def resume(self) -> None:
        """Continue reading: the client has taken all that was read."""
        self._reading_paused = False
        self._last_read = self._pool.loop.time()
        self._transport.resume_reading()

    # --- the end of an exchange, and of the connection ----------------------------------

    def _finish(self, *, reusable: bool) -> None:
        """Report a complete answer, and become idle if the connection is `reusable`."""
        if self._reading_paused:
            self.resume()
        exchange = self._release()
        if exchange is None:
            return
        result = self._pool.result(self._parser, health_check=exchange.watcher is None)
        if reusable:
            self.state = IDLE
            self._pool.free(self)
        else:
            self._transport.abort()
        exchange.end(result)

    def _break(self) -> None:
        """Close: the exchange, if any, can't be completed here."""
        exchange = self._release()
        self._transport.abort()
        if exchange is not None:
            exchange.end(Result(Outcome.RESET if self.written else Outcome.CONNECT_FAILED))

    def give_up(self) -> None:
        """Close at once by a reset, so that the system drops the bytes of a request that it still holds.

        Otherwise they would reach the server long after it was given up, when a partition ends or a hung
        server reads on.
        """
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.abort()

    def abort(self) -> None:
        """Close at once and drop what is buffered here; no outcome is reported to its exchange."""
        self._release()
        self._transport.abort()

    def _release(self) -> Exchange | None:
        """Carry nothing from here on; return the exchange that was carried."""
        if self.state is not CLOSED:
            self.state = CLOSING
        exchange, self._exchange = self._exchange, None
        for timer in (self._hold_timer, self._silence_timer, self._write_timer):
            if timer is not None:
                timer.cancel()
        self._hold_timer = self._silence_timer = self._write_timer = None
        if self._body is not None:
            self._body.detach(self)
            self._body = None
        self._parser.sink = None
        return exchange
