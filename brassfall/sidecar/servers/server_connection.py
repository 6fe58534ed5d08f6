"""A server and a connection to it, which carries one exchange at a time.

If a connection breaks before the last byte of a request is written, the server has certainly not run the
request, and the outcome is `CONNECT_FAILED`. If it breaks later, the server may have run it, and the outcome
is `RESET`.
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
from brassfall.sidecar.body import MAX_BUFFERED_BYTES, Body, MemoryBudget, Reservation
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.interfaces import Answer, ExchangeResult
from brassfall.sidecar.servers.exchange import Exchange
from brassfall.sidecar.servers.server_answers import OK, client_headers

# Longest time, in seconds, that an answer of unknown length is buffered before it is streamed to the client.
HOLD_S = 0.1
# Time before the end of an attempt, in milliseconds, from which on no answer is buffered: it would be lost at
# the end.
HOLD_MARGIN_MS = 10.0
# Time, in seconds, without progress of a large request body or a streamed answer after which the server
# counts as stalled.
STALLED_S = 30.0

FREE_ANSWER_BYTES = 2 * 1024  # Size of a part of an answer that is buffered without a reservation of memory

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # Value of the socket option SO_LINGER: on, with a time of 0 s


class ConnectionState(Enum):
    """The state of a connection; `ServerConnection.written` has whether the request is written."""

    IDLE = auto()  # The connection has no exchange: it is not established yet, or between two exchanges
    AWAITING_ANSWER = auto()  # A request is being written, or its answer is awaited or being buffered
    STREAMING_ANSWER = auto()  # The answer is streamed to the client as it arrives
    CLOSING = auto()  # Nothing more is read from or written to the connection
    CLOSED = auto()


# Enum members as module names: looking a member up on the enum class costs more than a comparison.
IDLE, AWAITING_ANSWER, STREAMING_ANSWER, CLOSING, CLOSED = ConnectionState
# States of a connection that carries an exchange.
CARRYING = (AWAITING_ANSWER, STREAMING_ANSWER)


class DelayObserver(Protocol):
    """The receiver of network delays to regions, in milliseconds, as ordinary traffic shows them."""

    def count_handshake(self, region: str, ms: float, *, cold: bool) -> None:
        """Record how long opening a connection took; `cold` if the server is warming up."""

    def count_first_byte(self, region: str, ms: float, spent_ms: float = 0.0) -> None:
        """Record the time from a written request to the first byte of its answer.

        `spent_ms` is the part of that time that the server spent on the request; 0 if it did not state that.
        """


class ConnectionOwner(Protocol):
    """The part of the connection pool that connections use."""

    loop: asyncio.AbstractEventLoop
    clock: Clock
    delays: DelayObserver | None
    budget: MemoryBudget

    def connection_idle(self, connection: ServerConnection) -> None:
        """Handle that a connection has become idle and can be used again."""

    def connection_closed(self, connection: ServerConnection) -> None:
        """Handle that a connection is closed."""

    def result(self, parser: framing.AnswerParser, *, health_check: bool) -> ExchangeResult:
        """Return the result of an exchange from its complete answer."""


@dataclass(slots=True, eq=False)
class ServerIncarnation:
    """A server in the endpoint list, from one start of the server to the next.

    A server with the same name but another address or start time is another incarnation, with its own
    connections and its own end of the grace period.
    """

    name: str
    address: Address
    started: float = 0.0  # Start time of the server, in milliseconds of Unix time; 0 means long ago
    region: str = ""  # Name of the zone of the server
    # Time, in milliseconds of the sidecar's clock, from which on no request to the server is started.
    no_requests_from: float = math.inf
    # Idle connections, in the order in which they became idle.
    idle: list[ServerConnection] = field(default_factory=list)

    @property
    def draining(self) -> bool:
        """True if the server drains, has left or was replaced, so that requests to it end soon."""
        return self.no_requests_from < math.inf


class ServerConnection(framing.SharedBufferProtocol):
    """A connection to a server, which carries one exchange at a time."""

    def __init__(self, pool: ConnectionOwner, server: ServerIncarnation) -> None:
        self._pool = pool
        self.server = server
        self.state = IDLE
        self.written = True  # True if the operating system has taken the last byte of the request
        # Time at which the connection became idle, in milliseconds of the sidecar's clock.
        self.idle_since = 0.0
        # Event loop time, in seconds, at which a small request was written; 0 if the delay is not measured or
        # its answer has begun.
        self.sent_at = 0.0
        self._transport: asyncio.Transport
        self._parser = framing.AnswerParser()
        self._exchange: Exchange | None = None  # Exchange on the connection in the states `CARRYING`
        self._body: Body | None = None  # Large request body that is not written completely
        # Timer that ends the buffering of an answer of unknown length.
        self._hold_timer: asyncio.TimerHandle | None = None
        self._silence_timer: asyncio.TimerHandle | None = None  # Timer that detects a stalled answer
        self._write_timer: asyncio.TimerHandle | None = None  # Timer that ends a stalled write of a body
        self._last_read = 0.0  # Event loop time of the last read from the server, in seconds
        self._reused = False  # True if the connection has carried an exchange before the current one
        self._reading_paused = False
        self._buffered = Reservation()  # Memory of the part of an answer that is buffered here
        self._unsent = Reservation()  # Memory of the bytes of a request that the transport holds

    @property
    def closed(self) -> bool:
        """True if the connection is closed and the event loop has released its transport."""
        return self.state is CLOSED

    @property
    def busy(self) -> bool:
        """True if the connection carries an exchange."""
        return self.state in CARRYING

    @property
    def answer_begun(self) -> bool:
        """True if the head of the current or the last answer has been read."""
        return self._parser.status != 0

    @property
    def transport(self) -> asyncio.Transport:
        """The transport of the connection, which exists once the connection is established."""
        return self._transport

    def usable(self) -> bool:
        """Return whether a request can be sent: the connection is open and has no unread input."""
        closed = self.state is CLOSING or self.state is CLOSED
        return not (closed or self._transport.is_closing() or framing.has_unread_input(self._transport))

    # --- sending a request ------------------------------------------------------------------

    def begin(self, exchange: Exchange, message: bytes) -> None:
        """Start an exchange by writing its request.

        The request counts as written once the operating system has taken its last byte.
        """
        self.state = AWAITING_ANSWER
        self._exchange = exchange
        exchange.use_connection(self)
        self._reused = self._parser.complete
        self._parser.reset()
        self._transport.write(message)
        self._body = exchange.body
        if exchange.body is not None:
            exchange.body.attach(self)
        self._check_written()

    def _count_unsent_bytes(self) -> int:
        """Count the bytes in the memory budget that the server does not take for now; return their number."""
        unsent = self._transport.get_write_buffer_size()
        if unsent != self._unsent.size:
            self._unsent.set_anyway(self._pool.budget, unsent)
        return unsent

    def _check_written(self) -> None:
        """Update `written`, which is False while bytes of the request are buffered in this process.

        As long as it is False, the server can't have run the request. A failed write empties the buffer as
        well, but it also closes the transport, which is checked here.
        """
        unsent = self._transport.is_closing() or self._count_unsent_bytes()
        self.written = not (unsent or self._body)
        if self.written and self._exchange is not None and self._exchange.observer is not None:
            self._exchange.observer.request_written()

    # The following two methods are called by a large request body (`body.BodyWriter`).

    def write_part(self, data: bytes) -> None:
        """Write a part of the request body; close the connection if the request should no longer be sent."""
        exchange = self._exchange
        if exchange is not None and exchange.observer is not None and not exchange.observer.may_write():
            exchange.withdraw()
            self.abort()
        else:
            self._transport.write(data)
            self._count_unsent_bytes()

    def body_complete(self) -> None:
        """Handle that the last part of the request body has been passed to the transport."""
        self._body = None
        self._check_written()

    # The following three methods are called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the established connection; called by the event loop."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(0)  # `resume_writing` is then called once all bytes are written

    def pause_writing(self) -> None:
        """Pause a large request body, because the server takes no more for now; called by the event loop."""
        if self._exchange is not None and self._exchange.body is not None:
            self._exchange.body.pause()
            self._write_timer = self._pool.loop.call_later(STALLED_S, self._close_broken)

    def resume_writing(self) -> None:
        """Resume a large request body, because the write buffer is empty; called by the event loop."""
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None
        self._unsent.release(self._pool.budget)
        if self._body is not None:
            self._body.resume()
        if not self.written:
            self._check_written()

    # --- reading the answer -----------------------------------------------------------------

    @property
    def next_read_size(self) -> int:
        """Largest number of bytes of the next read: fewer, the less memory is free."""
        return self._pool.budget.read_size

    def data_received(self, data: bytes) -> None:
        """Process a part of an answer; called by the event loop."""
        if self._exchange is None:
            # The server sent bytes although no request is open, so that later answers can't be trusted
            # either.
            self.abort()
            return
        try:
            self._parser.feed(data)
        except framing.BadAnswerError:
            self._close_broken()
            return
        if self._exchange is None:
            return  # The client disconnected while this part was streamed to it
        if self._parser.status == OK and self._reused and not self.written:
            # A server runs a request only after reading all of it, so that an OK answer before that must be a
            # second answer to the previous request.
            self._close_broken()
            return
        self._last_read = self._pool.loop.time()
        if self.sent_at and self._pool.delays is not None:
            delay_ms = (self._last_read - self.sent_at) * 1000.0
            self._pool.delays.count_first_byte(self.server.region, delay_ms)
            self.sent_at = 0.0
        if self._parser.complete:
            self._end_exchange(reusable=self._parser.keep_alive and not self._parser.extra and self.written)
        elif not self._parser.status and not self._reserve_buffer():
            self._close_broken()  # No memory is free for the head, which may be long
        elif self._parser.status == OK and self.state is AWAITING_ANSWER:
            self._buffer_or_stream()

    def eof_received(self) -> bool:
        """Handle that the server closed its side, which may complete an answer; called by the event loop."""
        if self._exchange is not None and self._parser.end():
            self._end_exchange(reusable=False)
        # The event loop would first send the buffered bytes of a request, which counts as never written.
        self._close_broken()
        return False

    def connection_lost(self, _error: Exception | None) -> None:
        """Handle that the connection is closed, by whichever side; called by the event loop."""
        self.state = CLOSED
        self._unsent.release(self._pool.budget)
        self._pool.connection_closed(self)
        self._close_broken()

    def _buffer_or_stream(self) -> None:
        """Keep an incomplete answer in the buffer, or start to stream it to the client.

        An answer is streamed if it is large or if no memory is free for it. An answer of unknown length is
        buffered for `HOLD_S`: if it is small and breaks off, the request can still be sent to another server.
        """
        assert self._exchange is not None
        if self._exchange.observer is None:
            if len(self._parser.body) > MAX_BUFFERED_BYTES:
                self._close_broken()
            return
        length = self._parser.length
        large = max(len(self._parser.body), length or 0) > MAX_BUFFERED_BYTES
        hold_s = self._hold_s() if length is None else HOLD_S
        if large or hold_s <= 0.0 or not self._reserve_buffer():
            self._start_streaming()
        elif length is None and self._hold_timer is None:
            self._hold_timer = self._pool.loop.call_later(hold_s, self._start_streaming)

    def _reserve_buffer(self) -> bool:
        """Reserve memory for the incomplete answer; return whether it was free.

        The first `FREE_ANSWER_BYTES` are part of the memory that a process keeps for each of its connections.
        """
        size = max(0, self._parser.buffered_bytes - FREE_ANSWER_BYTES)
        return self._buffered.grow(self._pool.budget, size - self._buffered.size)

    def _hold_s(self) -> float:
        """Return for how long an answer of unknown length may be buffered from now on, in seconds."""
        assert self._exchange is not None
        left_ms = self._exchange.expires - self._pool.clock.now() - HOLD_MARGIN_MS
        return min(HOLD_S, left_ms / 1000.0)

    def _start_streaming(self) -> None:
        """Start to stream the answer to the client: its first part now, and each later part as it arrives."""
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None
        if self._exchange is None or self._exchange.observer is None:
            return
        self.state = STREAMING_ANSWER
        answer = Answer(client_headers(self._parser), bytes(self._parser.body), self._parser.length)
        self._parser.body.clear()
        self._parser.drop_headers()
        self._buffered.release(self._pool.budget)
        self._silence_timer = self._pool.loop.call_later(STALLED_S, self._check_silence)
        self._parser.sink = self._exchange.observer.answer_started(answer, self)

    def _check_silence(self) -> None:
        """Break off a streamed answer if its server has stalled; paused reading doesn't count as stalled."""
        silent = 0.0 if self._reading_paused else self._pool.loop.time() - self._last_read
        if silent >= STALLED_S:
            self._close_broken()
        else:
            self._silence_timer = self._pool.loop.call_later(STALLED_S - silent, self._check_silence)

    # The following two methods are called while an answer is streamed (`interfaces.FlowControl`).

    def pause(self) -> None:
        """Stop reading from the server, because the client reads more slowly than the server sends."""
        self._reading_paused = True
        self._transport.pause_reading()

    def resume(self) -> None:
        """Read from the server again, because the client has taken all data so far."""
        self._reading_paused = False
        self._last_read = self._pool.loop.time()
        self._transport.resume_reading()

    # --- ending an exchange, closing the connection -------------------------------------

    def _end_exchange(self, *, reusable: bool) -> None:
        """End the exchange with its complete answer; keep the connection as idle if it is `reusable`."""
        if self._reading_paused:
            self.resume()
        exchange = self._detach_exchange()
        if exchange is None:
            return
        result = self._pool.result(self._parser, health_check=exchange.observer is None)
        self._parser.drop_content()  # an idle connection keeps no memory of its last answer
        if reusable:
            self.state = IDLE
            self._pool.connection_idle(self)
        else:
            self._transport.abort()
        exchange.end(result)

    def _close_broken(self) -> None:
        """Close the connection, and end its exchange, if any, with the outcome of a broken connection."""
        exchange = self._detach_exchange()
        self._transport.abort()
        if exchange is not None:
            exchange.end(ExchangeResult(Outcome.RESET if self.written else Outcome.CONNECT_FAILED))

    def reset(self) -> None:
        """Close the connection at once by a TCP reset; no result is reported.

        A reset makes the operating system drop the bytes of the request that it still holds. Otherwise they
        would reach the server long after the attempt has ended, when a partition ends or a hung server reads
        again.
        """
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once and drop the bytes buffered in this process; no result is reported."""
        self._detach_exchange()
        self._transport.abort()

    def _detach_exchange(self) -> Exchange | None:
        """Detach the exchange and the request body from the connection; return the exchange, if any."""
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
        self._buffered.release(self._pool.budget)
        return exchange
