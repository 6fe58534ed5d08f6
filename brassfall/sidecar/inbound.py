"""The application's connections: requests parsed and checked, answers written in order."""

from __future__ import annotations

import asyncio
import contextlib
import math
import re
from collections import deque
from typing import Protocol

import httptools

from brassfall.sidecar import framing
from brassfall.sidecar.body import MAX_BUFFERED, MAX_FLOWING, Body, Budget
from brassfall.sidecar.config import Address, Config, Names, RequestClass, stable_number
from brassfall.sidecar.driver import Answer, Clock, Flow, Request
from brassfall.sidecar.lifecycle import Lifecycle
from brassfall.sidecar.listener import Listener, bound, inherited

READY_PATH = "/health/ready"
# Past it requests are refused: client requests may hold no more than a third of all descriptors,
# and where there are few, those that are left for connections decide.
THIRD = 1.0 / 3.0
SHARE = 0.4
# A client that has as many connections as it may can't open the one that would make room here:
# from this part of the third on, answers end their connections, and what is quiet is closed.
CROWDED = 0.75
LOOK_AGAIN_MS = 20.0
QUIET_MS = 1000.0  # a true sender's pieces come faster
MEMORY_SHARE = 0.25  # of all memory, for the bytes of messages
HARD_SHARE = 0.47  # past this whatever carries no request is closed, or else the new connection
COMING = 8  # of the descriptors reserved: for connections that are here and give way, or make another do so
PIPELINED_MOST = 16
# A peer that sends no whole request is owed an error or a close within 3 s of connecting; half a
# second is left for a loop that lags.
HALF_SENT_S = 2.5
BODY_BYTES_PER_S = 32_000  # half of what the slowest client gives: more time comes with each byte
CLOCK_STEP_S = 0.001
FRAMING_MOST = 2 * framing.MAX_HEAD + MAX_BUFFERED  # beside eight bytes for each of the body's
UNREAD_S = 20.0  # a client that reads nothing of its answer for so long has left
WRITE_MOST = 32 * 1024  # of an answer that its client does not take
# Clients are sent away: new connections come for 0.3 s more, and 4 s after the call none may be idle.
SENT_AWAY_S = 1.0
SENT_AWAY_SWEEP_S = 0.1
FIRST_MS = 100.0  # a connection that has just come is left alone for so long: its request follows
STILL_COMING_MS = 700.0  # a request of which nothing came for so long has been left half sent
# Clients use other classes 1.2 s after a reload, and come again until their time is over.
LEARNED_S, CLASSES_BEFORE_S = 1.2, 4.0
LOOK_S = 0.05  # a client that closes has gone; while nothing is read here, only a look shows it
LINGER_S = 1.0  # for a client to read why it is turned away, while it is still sending
BUDGET_MOST_MS = 3_600_000.0
BUDGET = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([mu])")
BLANK = b"\r\n"
CALL_ID = re.compile(r"[!-~]{1,128}")
NOT_FOR_SERVERS = frozenset((b"x-budget",))
OWN_WORD = frozenset((b"x-edition",))  # with a part in the agreement: no client speaks for this sidecar


class BadRequest(Exception):
    """A request that is answered here, with this status."""

    action = "the client has to mend its request as the answer says; 503 may be sent again"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Taker(Protocol):
    """What requests are given to."""

    def arrive(self, call: Exchange, now: float) -> Request | None:
        """Take a request; it gets one final answer."""

    def client_gone(self, request: Request) -> None:
        """Its client has closed the connection."""

    def body_gone(self, request: Request) -> None:
        """More of its body has flowed on than is held."""

    def body_read(self, request: Request, now: float) -> None:
        """The last byte of its body was read."""


class Exchange:
    """One request on a connection, and its answer once there is one."""

    def __init__(self, connection: Connection, keep_alive: bool) -> None:
        self.connection = connection
        self.keep_alive = keep_alive
        self.last = False  # as its client was told with the head of an answer that is passed on
        self.request: Request | None = None
        self.answer: tuple[int, framing.Headers, bytes] | None = None
        self.passing: Passing | None = None  # in place of a whole answer
        self.body: Body | None = None  # in place of a whole body
        self.old = False  # HTTP/1.0: knows no chunks
        self.room = Room()
        self.band = self.tenant = 0
        self.key: int | None = None
        self.work: float | None = None
        self.again = self.mutates = False
        self.budget = 0.0
        self._head = b""
        self._body = b""

    @property
    def reading(self) -> bool:
        """Whether its body is still coming."""
        return self.body is not None and not self.body.complete

    def client_left(self) -> bool:
        """Whether its client has closed the connection, though the loop may not have told so yet: it looks
        at the socket. Nothing that has not begun may be begun then."""
        return self.connection.hung_up()

    def read(self, message: Message, names: Names, kept_back: frozenset[bytes]) -> None:
        """Take in a request for servers, without some headers; `BadRequest` says what is wrong with it."""
        kind = _class_of(message, names)
        self.band = kind.band
        self.budget = _budget(message.needed("x-budget"))
        if not CALL_ID.fullmatch(message.needed("x-call-id")):
            raise BadRequest(400, "X-Call-Id: not an id")
        if names.tenants:
            tenant = names.tenants.get(message.needed("x-caller"))
            if tenant is None:
                raise BadRequest(400, "X-Caller: not known")
            self.tenant = tenant
        user = _cookie(message.text("cookie") or "", "user")
        self.key = None if user is None else stable_number(user)
        cost = message.text("x-call-cost")
        self.work = None if cost is None else _cost(cost)
        self.again = message.text("x-again") == "1"
        self.mutates = "Mutates=1" in (message.text("x-call-info") or "").split(",")
        self._body = b"" if self.body is not None else bytes(message.body)
        headers = framing.end_to_end(message.headers, kept_back)
        # Guards against a body without a length, which a server would read as the next request.
        bare = message.method == "GET" and not self._body
        length = b"" if bare else b"Content-Length: %d\r\n" % len(self._body)
        if self.body is not None:
            length = self.body.header
        self._head = b"%b %b HTTP/1.1\r\n%b%b" % (
            message.method.encode(),
            message.target,
            framing.header_lines(headers),
            length,
        )

    def wire(self, left: float) -> bytes:
        """The request for a server that has `left` milliseconds."""
        return b"%bX-Budget: %du\r\n\r\n%b" % (self._head, max(0.0, left) * 1000.0, self._body)

    def served(self, answer: Answer) -> None:
        """The final answer: a server's, its body unchanged."""
        self._finish(200, answer.headers, answer.body)

    def refused(self, retry_after: float) -> None:
        """The final answer: refused, with when to come back if that was said."""
        wait = [(b"Retry-After", b"%.3f" % (retry_after / 1000.0))] if retry_after > 0.0 else []
        self._finish(503, wait, b"")

    def failed(self, late: bool) -> None:
        """The final answer: failed."""
        self._finish(504 if late else 502, [], b"")

    def begun(self, answer: Answer, flow: Flow) -> None:
        """The final answer: a server's, of which more is to come."""
        if self.answer is None and self.passing is None:
            self.passing = Passing(self, answer, flow)
            self.connection.flows(self)
            self.connection.flush()

    def more(self, data: bytes) -> None:
        """A part of it."""
        if self.passing is not None:
            self.passing.more(data)

    def finished(self) -> None:
        """It is whole."""
        if self.passing is not None:
            self.passing.whole = True
            self.connection.flush()

    def broken(self) -> None:
        """It can't be finished: the client can tell by the connection's end, which comes too soon."""
        if self.passing is None:
            return
        if self.passing.started:
            self.connection.abort()
        else:
            self.passing = None
            self.failed(False)

    def _finish(self, status: int, headers: framing.Headers, body: bytes) -> None:
        if self.answer is None and self.passing is None:
            self.answer = (status, headers, body)
            self.connection.flush()


class Passing:
    """An answer that is passed on as it comes."""

    def __init__(self, exchange: Exchange, answer: Answer, flow: Flow) -> None:
        self.flow = flow
        self.started = False
        self.whole = False
        self._exchange = exchange
        self._answer = answer
        self._parts = [answer.body]

    def more(self, data: bytes) -> None:
        """A part has come; what comes before its turn is kept, and no more is read then."""
        if self.started:
            self._exchange.connection.write(self._framed(data))
        else:
            self._parts.append(data)
            self.flow.pause()

    def start(self, last: bool) -> None:
        """It is its turn: the head, and what there is."""
        headers, length = list(self._answer.headers), self._answer.length
        if length is not None:
            headers.append((b"Content-Length", b"%d" % length))
        elif not self._exchange.old:
            headers.append((b"Transfer-Encoding", b"chunked"))
        if last:
            headers.append((b"Connection", b"close"))
        parts, self._parts = self._parts, []
        self.started = True
        body = b"".join(self._framed(part) for part in parts)
        head = framing.header_lines(headers)
        self._exchange.connection.write(b"HTTP/1.1 200 OK\r\n%b\r\n%b" % (head, body))

    def end(self) -> None:
        """What ends it, where its framing asks for something."""
        if self._answer.length is None and not self._exchange.old:
            self._exchange.connection.write(b"0\r\n\r\n")

    @property
    def till_close(self) -> bool:
        """Whether only the connection's end shows that it is whole."""
        return self._answer.length is None and self._exchange.old

    def _framed(self, data: bytes) -> bytes:
        if self._answer.length is not None or self._exchange.old or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)


class Room:
    """What one message takes of the budget."""

    def __init__(self) -> None:
        self.size = 0

    def take(self, budget: Budget, size: int) -> bool:
        """Ask for more of it."""
        taken = budget.reserve(size)
        self.size += size * taken
        return taken

    def give(self, budget: Budget) -> None:
        """Nothing of the message is held any more."""
        budget.release(self.size)
        self.size = 0


class Message:
    """A request as it is parsed."""

    def __init__(self) -> None:
        self.method = ""
        self.target = b""
        self.headers: framing.Headers = []
        self.body = bytearray()
        self.size = 0  # as it came, with its framing
        self.body_size = 0
        self.room = Room()
        self.exchange: Exchange | None = None  # of a large one, which is served as it comes
        self.head_done = False
        self.told = False  # to send its body
        self._texts: dict[str, str] = {}

    def text(self, name: str) -> str | None:
        """A header's value, if it is there."""
        if not self._texts:
            self._texts = {
                key.decode("latin-1").lower(): value.decode("latin-1") for key, value in self.headers
            }
        return self._texts.get(name)

    def needed(self, name: str) -> str:
        """A header's value; a request without it, or with more than one, is bad."""
        value = self.text(name)
        if value is None:
            raise BadRequest(400, f"{name}: missing")
        # Guards against a server that goes by another of them than this sidecar.
        if sum(key.lower() == name.encode() for key, _ in self.headers) > 1:
            raise BadRequest(400, f"{name}: more than once")
        return value


def _class_of(message: Message, names: Names) -> RequestClass:
    """The class, which path and header name alike; the method follows from it."""
    path = message.target.partition(b"?")[0].decode("latin-1")
    first = path.split("/")[1] if path.startswith("/") else ""
    if first not in names.classes:
        # With a class in the header it is a request for servers, though of no class there is.
        status = 400 if message.text("x-call-class") is not None else 404
        raise BadRequest(status, "no such path")
    kind = names.classes[first]
    if message.needed("x-call-class") != first:
        raise BadRequest(400, "X-Call-Class: not the first part of the path")
    if message.method != kind.method:
        raise BadRequest(400, f"the class asks for {kind.method}")
    if kind.keyed and not message.needed("idempotency-key"):
        raise BadRequest(400, "Idempotency-Key: empty")
    return kind


def _budget(text: str) -> float:
    match = BUDGET.fullmatch(text)
    if match is None:
        raise BadRequest(400, "X-Budget: not a time")
    budget = float(match[1]) / (1.0 if match[2] == "m" else 1000.0)
    if not 0.0 < budget <= BUDGET_MOST_MS:
        raise BadRequest(400, "X-Budget: out of range")
    return budget


def _cost(text: str) -> float:
    try:
        cost = float(text) / 1000.0
    except ValueError:
        cost = math.nan
    if not 0.0 <= cost < math.inf:
        raise BadRequest(400, "X-Call-Cost: not a time")
    return cost


def _cookie(text: str, name: str) -> str | None:
    for pair in text.split(";"):
        key, found, value = pair.strip().partition("=")
        if found and key == name:
            return value
    return None


class Connection(framing.SharedBufferProtocol):
    """One connection of the application."""

    def __init__(self, inbound: Inbound) -> None:
        self._inbound = inbound
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._waiting: deque[Exchange] = deque()  # in the order of their requests
        self._message: Message | None = None
        self._head_bytes = 0
        self._blank = 0  # bytes of empty lines, which may come before a request
        self._read_at = 0.0
        self._begun_at = 0.0  # when the connection, or a later request on it, began
        self._half_sent: asyncio.TimerHandle | None = None
        self._unread: asyncio.TimerHandle | None = None  # for a client that reads no answer
        self._full = False  # answers pile up
        self._body_waits = False  # its body comes faster than a server takes it
        self._parsing = False
        self._behind = False  # so many requests wait for their answers that no more are read
        self._shut = False  # its last answer is out, and what comes now is left unread
        self._cut_short = False  # a request was answered of which there is more to come, or that is none
        self._waits_from = self._resumed_at = 0.0  # by the loop's time, when reading last paused and went on
        self._lay_here = True  # what is read next may have come long ago
        self._look: asyncio.TimerHandle | None = None  # for a close, while nothing is read
        self._deaf = False  # nothing more is read as a request
        self._lost = False
        self.quiet_since = 0.0  # the last bytes read, answer given, or the opening
        self._answered = False

    @property
    def idle(self) -> bool:
        """Whether it stands between requests, with nothing unread."""
        quiet = not self._waiting and self._message is None and not self._deaf
        return quiet and not self.readable

    @property
    def readable(self) -> bool:
        """Whether something has come that is not read yet."""
        return framing.readable(self._transport)

    @property
    def busy(self) -> bool:
        """Whether it carries a request, or the rest of an answer."""
        return bool(self._waiting) or self._transport.get_write_buffer_size() > 0

    @property
    def resting(self) -> bool:
        """Whether it had its answer, and nothing came since."""
        return self._answered and self._message is None

    @property
    def begun(self) -> bool:
        """Whether a part of a request has come."""
        return self._message is not None

    @property
    def new(self) -> bool:
        """Whether it has only just come, and nothing on it yet."""
        silent = not self._answered and self._message is None
        return silent and self._inbound.clock.now() - self.quiet_since < FIRST_MS

    @property
    def unfinished(self) -> bool:
        """Whether a request is still coming here, or the rest of an answer still going."""
        if self._transport.get_write_buffer_size() > 0:
            return True
        silent = self._inbound.clock.now() - self._read_at
        coming = self._message is not None and silent < STILL_COMING_MS
        return not self._deaf and (coming or self.readable)

    def close(self) -> None:
        """Close it, between requests."""
        self._deaf = True
        # The loop closes it a turn later: who looks before a send has to see it now, or what is sent
        # meanwhile is taken and never answered. Where the client was first, there is nothing to tell.
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._transport.close()

    def abort(self) -> None:
        """Close it whatever it holds."""
        if not self._lost:  # its transport is no more
            self._transport.abort()

    # --- called by the loop -------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The application has connected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(WRITE_MOST)
        self._start_clock()
        self._inbound.opened(self)

    def data_received(self, data: bytes) -> None:
        """Bytes of requests."""
        if self._deaf:
            return
        self._read_at = self.quiet_since = self._inbound.clock.now()
        self._parsing = True
        try:
            self._parse(data)
        except httptools.HttpParserCallbackError as error:
            self._parsing = False
            cause = error.__context__
            self._turn_away(cause.status if isinstance(cause, BadRequest) else 400)
        except httptools.HttpParserError:
            self._parsing = False
            self._turn_away(400)
        else:
            self._parsing = False
            self._bound_unfinished(data)
            self.flush()
        if len(data) < MAX_BUFFERED:
            self._lay_here = False  # all of it is read now

    def _parse(self, data: bytes) -> None:
        """Guards against a second answer to a request that asks for another protocol: it is served, or was
        turned away, in this one, and what follows it is read in this one."""
        while data and not self._deaf:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as error:
                data = data[error.args[0] :]
                self._parser = httptools.HttpRequestParser(self)

    def pause_writing(self) -> None:
        """Answers pile up unread: guards against a peer that only asks and fills the memory."""
        self._full = True
        self._await_reading()
        self._read_on()
        if self._waiting and self._waiting[0].passing is not None:
            self._waiting[0].passing.flow.pause()

    def _await_reading(self, left: float = math.inf) -> None:
        """Give a client time to read, and more as long as it reads as much as is held here: the buffer itself
        falls late, since the kernel takes more only when a large part of what it holds is read."""
        unread = framing.unacknowledged(self._transport)
        if unread <= left - WRITE_MOST:
            self._unread = self._inbound.loop.call_later(UNREAD_S, self._await_reading, unread)
        else:
            self.abort()

    def resume_writing(self) -> None:
        """The peer has read on."""
        self._full = False
        if self._unread is not None and not self._transport.is_closing():  # or else it has to end
            self._unread.cancel()
            self._unread = None
        self._read_on()
        if self._waiting and self._waiting[0].passing is not None:
            self._waiting[0].passing.flow.resume()

    def pause(self) -> None:
        """The body that comes is not taken so fast."""
        if not self._body_waits and not self._lost:
            self._body_waits = True
            self._read_on()

    def resume(self) -> None:
        """More of the body is taken."""
        if self._body_waits and not self._lost:
            self._body_waits = False
            self._read_on()

    @property
    def _holds_back(self) -> bool:
        """Whether nothing is read of its client for now."""
        return self._full or self._body_waits or self._behind or self._shut

    def _read_on(self) -> None:
        """Read, unless answers pile up or a body waits: that is no time in which the client could send. Until
        then its leaving is looked for."""
        if not self._holds_back:
            self._stop_looking()
            self._lay_here = True
            self._resumed_at = self._inbound.loop.time()
            self._begun_at += self._resumed_at - self._waits_from
            self._transport.resume_reading()
        elif self._look is None:
            self._waits_from = self._inbound.loop.time()
            self._transport.pause_reading()
            self._look = self._inbound.loop.call_later(LOOK_S, self._look_again)

    def _look_again(self) -> None:
        self._look = None
        if framing.peer_closed(self._transport):
            self._leave()
        else:
            self._look = self._inbound.loop.call_later(LOOK_S, self._look_again)

    def _stop_looking(self) -> None:
        if self._look is not None:
            self._look.cancel()
            self._look = None

    def flows(self, exchange: Exchange) -> None:
        """An answer that is passed on takes its room, at the cost of requests that come later."""
        self._inbound.budget.used += MAX_FLOWING
        exchange.room.size += MAX_FLOWING

    def write(self, data: bytes) -> None:
        """A part of an answer."""
        if not self._transport.is_closing():
            self._transport.write(data)

    def eof_received(self) -> bool:
        """The client has closed."""
        self._leave()
        return False

    def left(self) -> bool:
        """Whether the client of a request just read is gone already. The loop tells that in time, but for
        what lay here before it was read, or came behind another request."""
        if not (self._lay_here or len(self._waiting) > 1) or not framing.peer_closed(self._transport):
            return False
        self._leave()
        return True

    def hung_up(self) -> bool:
        """Whether its client is gone by now; if so, the requests here are told of it in the next turn."""
        if self._lost:
            return True
        gone = framing.peer_closed(self._transport)
        if gone and not self._deaf:
            self._inbound.loop.call_soon(self._leave_unless_lost)
        return gone

    def _leave_unless_lost(self) -> None:
        if not self._lost:
            self._leave()

    def _leave(self) -> None:
        """Its client is gone, though answers may still be on their way: nothing that waits is sent on."""
        self._deaf = True
        self._forget_waiting()
        self._stop_looking()
        self._transport.close()
        if self._unread is None:
            # It may have left a part of an answer unread, and never say so.
            self._await_reading()

    def _forget_waiting(self) -> None:
        """Nobody is there any more to read what was asked for here."""
        waiting = list(self._waiting)
        self._waiting.clear()
        message, self._message = self._message, None
        if message is not None:
            message.room.give(self._inbound.budget)
        for exchange in waiting:
            exchange.room.give(self._inbound.budget)
            request, exchange.request = exchange.request, None
            if request is not None:
                self._inbound.taker.client_gone(request)

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is closed."""
        self._lost = True
        self._stop_clock()
        self._stop_looking()
        if self._unread is not None:
            self._unread.cancel()
        self._inbound.closed(self)
        self._forget_waiting()

    # --- called by the parser -----------------------------------------------

    def on_message_begin(self) -> None:
        """Called by the parser."""
        self._message = Message()
        self._head_bytes = self._blank = 0

    def on_url(self, target: bytes) -> None:
        """Called by the parser, once or in parts."""
        if self._message is not None:
            self._message.target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        message = self._message
        # Trailers are no part of the head: passed on, they would stand as headers nobody checked.
        if message is None or message.head_done:
            return
        # The parser leaves the blanks that may follow a value.
        message.headers.append((name, value.rstrip(b" \t")))
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > framing.MAX_HEAD:
            raise BadRequest(431, "headers too large")

    def on_headers_complete(self) -> None:
        """Called by the parser."""
        message = self._message
        if message is None:
            return
        message.head_done = True
        self._check_framing(message)
        message.method = self._parser.get_method().decode("latin-1")
        length = message.text("content-length")
        if length is not None and length.isdigit() and int(length) > framing.MAX_BODY:
            raise BadRequest(413, "body too large")
        self._tell_to_go_on()

    def _check_framing(self, message: Message) -> None:
        """Guards against a body that would not be passed on as it was meant."""
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            raise BadRequest(505, "HTTP/1.1 is spoken here")
        coding = message.text("transfer-encoding")
        if coding is not None and coding.lower() != "chunked":
            raise BadRequest(501, "Transfer-Encoding: only chunked")
        bare = coding is None and message.text("content-length") in (None, "0")
        if self._parser.should_upgrade() and not bare:
            # The parser takes such a body for the other protocol's.
            raise BadRequest(400, "Upgrade: not with a body")

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        message = self._message
        if message is None or self._deaf:
            return
        message.body_size += len(data)
        if message.body_size > framing.MAX_BODY:
            raise BadRequest(413, "body too large")
        if message.exchange is not None:
            assert message.exchange.body is not None
            message.exchange.body.feed(data)
            return
        large = len(message.body) + len(data) > MAX_BUFFERED
        size = MAX_FLOWING - message.room.size if large else len(data)
        if not message.room.take(self._inbound.budget, size):
            raise BadRequest(503, "no memory for the body")
        message.body += data
        if large:
            self._begin_large(message)

    def _begin_large(self, message: Message) -> None:
        """A request that is too large to be held: what there is of it goes to a server now."""
        exchange = message.exchange = Exchange(self, keep_alive=True)
        exchange.old = self._parser.get_http_version() == "1.0"
        exchange.room = message.room
        length = message.text("content-length")
        exchange.body = Body(self, bytes(message.body), int(length) if length is not None else None)
        exchange.body.on_gone = lambda: self._inbound.body_gone(exchange)
        message.body.clear()
        self._waiting.append(exchange)
        self._inbound.serve(exchange, message, self._read_at)

    def _tell_to_go_on(self) -> None:
        """A client that asks before it sends its body is told, once its request is the first here."""
        message = self._message
        if message is None or not message.head_done or self._waiting or message.told or self._deaf:
            return
        if (message.text("expect") or "").lower() == "100-continue":
            message.told = True
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_message_complete(self) -> None:
        """Called by the parser: the last byte of a request has been read."""
        message, self._message = self._message, None
        if message is None or self._deaf:
            return
        self._stop_clock()
        if message.exchange is not None:
            self._end_large(message.exchange)
            return
        exchange = Exchange(self, self._parser.should_keep_alive())
        exchange.old = self._parser.get_http_version() == "1.0"
        exchange.room = message.room
        self._waiting.append(exchange)
        self._inbound.serve(exchange, message, self._read_at)
        self._hear_no_more_after(exchange)
        if len(self._waiting) >= PIPELINED_MOST and not self._behind:
            self._behind = True
            self._read_on()

    def _hear_no_more_after(self, exchange: Exchange) -> None:
        """Guards against a request that is sent on behind an answer that ends the connection."""
        self._deaf = self._deaf or not exchange.keep_alive

    def _end_large(self, exchange: Exchange) -> None:
        assert exchange.body is not None
        exchange.keep_alive = exchange.keep_alive and self._parser.should_keep_alive()
        self._hear_no_more_after(exchange)
        if exchange.last:
            self._read_no_more()
        exchange.body.end()
        if exchange.request is not None:
            self._inbound.taker.body_read(exchange.request, self._read_at)

    # --- answers ------------------------------------------------------------

    def flush(self) -> None:
        """Write what answers there are, in the order of the requests; while what was read is parsed they
        wait, since more requests may lie in it."""
        if self._parsing:
            return
        while self._waiting and not self._lost:
            exchange = self._waiting[0]
            if exchange.answer is None and exchange.passing is None:
                return
            # An answer before the body's end leaves the rest unread: nothing can follow it.
            last = not exchange.keep_alive or exchange.reading
            last = last or (self._inbound.closing and self._nothing_follows())
            self._answered = True
            if exchange.passing is not None:
                if not self._pass_on(exchange, exchange.passing, last):
                    return
                last = exchange.last
            elif exchange.answer is not None:
                status, headers, body = exchange.answer
                self._transport.write(framing.answer(status, headers, body, close=last))
            self._waiting.popleft()
            exchange.room.give(self._inbound.budget)
            if exchange.reading and exchange.request is not None:
                # Guards against an attempt that waits for ever for the rest of a body.
                self._inbound.taker.client_gone(exchange.request)
            exchange.request = None  # which names it as its call: a circle that only the collector would free
            if last:
                self._linger()
                return
            self.quiet_since = self._inbound.clock.now()
            if self._behind and len(self._waiting) < PIPELINED_MOST:
                self._behind = False
                self._read_on()
        self._tell_to_go_on()

    def _nothing_follows(self) -> bool:
        """Whether nothing has come behind the first request: its answer may end the connection. Guards
        against a close with no answer to what was read already, or is about to be."""
        return len(self._waiting) == 1 and self._message is None and not self.readable

    def _read_no_more(self) -> None:
        """Leave unread what comes from now on: its client has been told that nothing is answered any more."""
        if not self._shut:
            self._shut = True
            self._read_on()

    def _pass_on(self, exchange: Exchange, passing: Passing, last: bool) -> bool:
        """Write what there is of an answer that is passed on; whether that was all."""
        if not passing.started:
            exchange.last = last or passing.till_close
            passing.start(exchange.last)
            if exchange.last and not exchange.reading:
                self._read_no_more()
            if self._full:
                passing.flow.pause()
            elif not passing.whole:
                passing.flow.resume()
        if passing.whole:
            passing.end()
        return passing.whole

    def _turn_away(self, status: int) -> None:
        """Answer what can't be read on from; requests before it are answered first."""
        if self._deaf:
            return
        message, self._message = self._message, None
        self._deaf = self._cut_short = True
        if message is not None:
            message.room.give(self._inbound.budget)
        if message is not None and message.exchange is not None:
            self._cut_off(message.exchange, status)
            return
        exchange = Exchange(self, keep_alive=False)
        self._waiting.append(exchange)
        exchange.answer = (status, [], b"")
        self.flush()

    def _cut_off(self, exchange: Exchange, status: int) -> None:
        """A large request will never be whole: no server is to wait for the rest."""
        if exchange.request is not None:
            self._inbound.taker.client_gone(exchange.request)
        if exchange.passing is not None:
            self.abort()  # it was being answered already
            return
        exchange.keep_alive = False
        if exchange.answer is None:
            exchange.answer = (status, [], b"")
        self.flush()

    def _linger(self) -> None:
        """Close after the last answer. Guards against a reset that takes the answer with it: a client that
        is still sending has a while to read it. The rest of what was answered before its end is read and
        dropped, or its client might go on writing; a request behind it is left unread, and may come again."""
        self._deaf = True
        self._stop_clock()
        sending = self._message is not None
        if sending or self._cut_short:
            self.resume()
        else:
            self._read_no_more()
        self._forget_waiting()  # an answer that only the end of the connection ends may have some behind it
        if not sending and not framing.readable(self._transport):
            self._transport.close()
            return
        with contextlib.suppress(OSError):  # the client has reset it, as the loop will find in a turn
            self._transport.write_eof()
        self._half_sent = self._inbound.loop.call_later(LINGER_S, self._let_go)

    def _let_go(self) -> None:
        """The client has had its time, unless it is still reading a long answer."""
        if self._transport.get_write_buffer_size() > 0:
            self._half_sent = self._inbound.loop.call_later(LINGER_S, self._let_go)
        else:
            self._transport.abort()

    def _bound_unfinished(self, data: bytes) -> None:
        """Guards against half-sent requests: their size and their time are bounded."""
        message, count = self._message, len(data)
        if message is None:
            if data[0] in BLANK and not data.strip(BLANK):
                self._blank += count
                if self._blank > framing.MAX_HEAD:
                    self._turn_away(400)
            return
        message.size += count
        if message.size - 8 * message.body_size > FRAMING_MOST:
            self._turn_away(413)
            return
        if not message.head_done:
            self._head_bytes += count
            if self._head_bytes > 2 * framing.MAX_HEAD:
                self._turn_away(431)
                return
        if self._half_sent is None:
            self._start_clock()

    def _start_clock(self) -> None:
        self._begun_at = self._inbound.loop.time()
        self._half_sent = self._inbound.loop.call_later(HALF_SENT_S, self._unsent)

    def _unsent(self) -> None:
        """No whole request has come in time, by what has come: one that was begun is told so."""
        self._half_sent = None
        size = self._message.size if self._message is not None else 0
        until = self._begun_at + HALF_SENT_S + size / BODY_BYTES_PER_S
        if self._message is not None and not self.readable:
            # More time comes with each byte to a client that goes on sending, and not to one that stopped.
            heard_at = max(self._inbound.clock.at(self._read_at), self._resumed_at)
            stopped = heard_at + STILL_COMING_MS / 1000.0
            until = min(until, max(stopped, self._begun_at + HALF_SENT_S))
        if self._holds_back:
            until += self._inbound.loop.time() - self._waits_from + CLOCK_STEP_S * 100.0
        if until > self._inbound.loop.time() + CLOCK_STEP_S:
            self._half_sent = self._inbound.loop.call_at(until, self._unsent)
            return
        if self._message is not None:
            self._turn_away(408)
        elif self.idle:
            self.close()
        elif not self._waiting and not self._deaf:
            # Something came just now: it may be a request, and may be more of nothing.
            self._half_sent = self._inbound.loop.call_later(LOOK_S, self._unsent)

    def _stop_clock(self) -> None:
        if self._half_sent is not None:
            self._half_sent.cancel()
            self._half_sent = None


class Inbound:
    """The listening socket and its connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        config: Config,
        taker: Taker,
        life: Lifecycle,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.taker = taker
        self._life = life
        life.on_change(self._life_changed)
        self._sweep: asyncio.TimerHandle | None = None
        self._names = config.names
        self._kept_back = NOT_FOR_SERVERS | (OWN_WORD if config.agreement is not None else frozenset())
        self._before: deque[Names] = deque()  # what clients may still name, for a while; newest first
        self._forgets: list[asyncio.TimerHandle] = []
        self._connections: dict[Connection, None] = {}
        self._look_again = 0.0  # for one that may give way, short of the limit
        self._leaving: set[Connection] = set()  # made to give way: the loop closes them a turn later
        self._limits = config.limits
        self.budget = Budget(0)
        self.share(1.0)
        self._listener: Listener | None = None
        self._own = True  # the listening socket, which no other process has
        self._ending = False

    def listen(self, address: Address, descriptor: int | None = None) -> Address:
        """Accept connections from now on, on an inherited socket if there is one; where that is."""
        self._own = descriptor is None
        sock = bound(address) if descriptor is None else inherited(descriptor)
        self._listener = Listener(
            self.loop, sock, lambda: Connection(self), self._room, lambda: self._make_room(1)
        )
        return self._listener.address

    def share(self, part: float) -> None:
        """Hold no more than what a process with this part of all memory and descriptors may."""
        connections = self._limits.connections(part)
        third = self._limits.descriptors * part * THIRD
        self._soft = max(1, int(min(connections * SHARE, third)))
        self._crowded = max(1, int(self._soft * CROWDED))
        self._hard = max(2, int(connections * HARD_SHARE))
        self.budget.limit = int(self._limits.memory * part * MEMORY_SHARE)
        # Where the limit has fallen below what is here, each new connection would be one too many.
        self._make_room(max(0, len(self._connections) - self._crowded))

    def reload(self, names: Names, deadline: float = 0.0) -> None:
        """Other classes. Clients learn of them later: what they knew is served for a while, however often
        others follow, and as long as one that began before, with that deadline, may come again."""
        if names == self._names:
            return
        before, self._names = self._names, names
        self._before.appendleft(before)
        keep = max(CLASSES_BEFORE_S, LEARNED_S + deadline / 1000.0)
        self._forgets.append(self.loop.call_later(keep, self._forget_classes, before))

    def _forget_classes(self, names: Names) -> None:
        self._before.remove(names)
        self._forgets = [timer for timer in self._forgets if timer.when() > self.loop.time()]

    @property
    def bands(self) -> set[int]:
        """The classes that clients may name."""
        known = (self._names, *self._before)
        return {kind.band for names in known for kind in names.classes.values()}

    def _read(self, exchange: Exchange, message: Message) -> None:
        try:
            exchange.read(message, self._names, self._kept_back)
        except BadRequest:
            for names in self._before:
                with contextlib.suppress(BadRequest):
                    exchange.read(message, names, self._kept_back)
                    return
            raise

    def last_answers(self) -> None:
        """Each answer from now on is the last on its connection."""
        self._ending = True

    def stop_listening(self) -> None:
        """Take no new connection but those that the system has accepted for this process alone; each
        answer from now on is the last on its own."""
        self.last_answers()
        if self._listener is None:
            return
        if self._own:
            self._listener.finish()
        else:
            self._listener.close()

    @property
    def closing(self) -> bool:
        """Whether each answer is the last on its connection."""
        return self._ending or self._life.lame_duck or len(self._connections) > self._crowded

    def _life_changed(self) -> None:
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None
        if self._life.lame_duck:
            self._sweep = self.loop.call_later(SENT_AWAY_S, self._send_away)

    def _send_away(self) -> None:
        """Close what stands idle, as often as it takes until clients are to come again."""
        self.close_idle(but_new=True)
        self._sweep = self.loop.call_later(SENT_AWAY_SWEEP_S, self._send_away)

    def close_idle(self, but_new: bool = False) -> None:
        """Close what stands between requests, at will but for what has only just come."""
        for connection in list(self._connections):
            if connection.idle and not (but_new and connection.new):
                connection.close()

    @property
    def unfinished(self) -> bool:
        """Whether a request is still coming, or the rest of an answer still going."""
        if self._listener is not None and self._listener.finishing:
            return True
        return any(connection.unfinished for connection in self._connections)

    @property
    def empty(self) -> bool:
        """Whether all connections are closed, those included that are only just accepted."""
        finishing = self._listener is not None and self._listener.finishing
        return not (finishing or self._connections or self._leaving or self._coming)

    @property
    def _coming(self) -> int:
        return 0 if self._listener is None else self._listener.settling

    def close(self) -> None:
        """Close all at the end."""
        if self._listener is not None:
            self._listener.close()
        for timer in (*self._forgets, *([self._sweep] if self._sweep else [])):
            timer.cancel()
        for connection in (*self._connections, *self._leaving):
            connection.close()  # seen at once, where nothing is left to be written
            connection.abort()

    # --- what connections report ----------------------------------------------

    def opened(self, connection: Connection) -> None:
        """A new connection; in a crowd one that makes no progress gives way to it."""
        now = connection.quiet_since = self.clock.now()
        if len(self._connections) >= self._hard:
            self._make_room(max(1, self._coming))  # for those too that came with it: one look is dear
        elif len(self._connections) >= self._crowded and now >= self._look_again and not self._make_room(1):
            # Guards against a look for each of a crowd, of which none rests and none is quiet for long.
            self._look_again = now + LOOK_AGAIN_MS
        self._connections[connection] = None
        if len(self._connections) > self._hard:
            self._part_with(connection)

    def _room(self) -> int:
        """How many connections may be accepted now. Guards against a crowd that takes, for a turn or
        two, the descriptors that are kept for discovery, or more than there may be."""
        return self._hard + COMING - len(self._connections) - len(self._leaving)

    def _part_with(self, connection: Connection) -> None:
        """Close one that has to give way."""
        del self._connections[connection]
        self._leaving.add(connection)
        connection.close()

    def _make_room(self, most: int) -> bool:
        """Close by least progress: what rests after its answer, then what never sent a byte, then what
        stopped within a request, each the longest quiet first. Short of the limit it has some time.
        Whether any was closed."""
        until = self.clock.now() - (QUIET_MS if len(self._connections) < self._hard else 0.0)
        free = [c for c in self._connections if not c.busy and (c.resting or c.quiet_since <= until)]
        before = len(self._connections)
        for connection in sorted(free, key=lambda c: (not c.resting, c.begun, c.quiet_since)):
            if before - len(self._connections) == most:
                break
            if not connection.readable:
                self._part_with(connection)
        return len(self._connections) < before

    def _requests_held(self) -> int:
        return sum(connection.busy for connection in self._connections)

    def body_gone(self, exchange: Exchange) -> None:
        """Of a large request more has flowed on than is held."""
        if exchange.request is not None:
            self.taker.body_gone(exchange.request)

    def closed(self, connection: Connection) -> None:
        """A connection is closed."""
        self._connections.pop(connection, None)
        self._leaving.discard(connection)

    def serve(self, exchange: Exchange, message: Message, read_at: float) -> None:
        """A request, whole or large: answered here, or taken."""
        message.target = framing.origin_form(message.target)
        if message.target.partition(b"?")[0] == READY_PATH.encode():
            exchange.answer = (200 if self._life.ready else 503, [], b"")
        elif len(self._connections) > self._soft and self._requests_held() > self._soft:
            exchange.refused(0.0)
        elif not exchange.connection.left():
            try:
                self._read(exchange, message)
                request = self.taker.arrive(exchange, read_at)
                # One that was answered at once is over.
                exchange.request = request if exchange.answer is None else None
            except BadRequest as error:
                text = "" if message.method == "HEAD" else f"{error}\n"
                exchange.answer = (error.status, [], text.encode())
