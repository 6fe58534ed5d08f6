"""One call to discovery: a connection whose answer is split into JSON objects as it arrives.

The module is used for the lists and watches of discovery, and for the watch on configuration revisions.

A change of the endpoint list has to be in force `NOTIFIED_S` seconds after discovery has it and can be
reached. All waits and time limits of a sidecar that polls discovery are parts of this time.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable
from enum import Enum
from http import HTTPStatus
from typing import Protocol

import httptools

from brassfall.balancer.model import DISCOVERY_CALL_TIMEOUT_MS, LIST_CHANGE_DEADLINE_MS, LOOP_LAG_ALLOWANCE_MS
from brassfall.sidecar import log
from brassfall.sidecar.config_values import Address

# Time in seconds after which a change of the endpoint list has to be in force; the part of it that is left
# over for an event loop that lags; and the time limit of one call to discovery.
NOTIFIED_S, SPARE_S, CALL_TIMEOUT_S = (
    LIST_CHANGE_DEADLINE_MS / 1000.0,
    LOOP_LAG_ALLOWANCE_MS / 1000.0,
    DISCOVERY_CALL_TIMEOUT_MS / 1000.0,
)
# First backoff before a watch is opened again, in seconds, and its largest random deviation as a part of
# it. A pushed list has to be in force as soon as discovery has it, except that sends may fail for half a
# second. Within that time the watch has to be open again once discovery can be reached.
BACKOFF_S, BACKOFF_SPREAD = 0.1, 0.5
# Longest time without a complete line after which a watch is given up, in seconds. Discovery sends a
# heartbeat every 2 s. The time leaves room for two more calls, in case the first of them fails.
SILENCE_LIMIT_S = NOTIFIED_S - SPARE_S - 2.0 * (BACKOFF_S * (1.0 + BACKOFF_SPREAD) + CALL_TIMEOUT_S)
# Time limit for opening a connection, in seconds. A connection opens at once unless a packet is lost, and
# the operating system sends the packet again only after 1, 3 and 7 s.
CONNECT_TIMEOUT_S = CALL_TIMEOUT_S
CLOCK_RESOLUTION_S = 0.001  # A remaining time up to this, in seconds, is a rounding error and counts as none
MAX_LINE_BYTES = 4 * 1024 * 1024  # Longest accepted line of an answer, in bytes
# Number of received bytes of an incomplete line that extend the silence limit by one second.
INCOMPLETE_LINE_BYTES_PER_S = 512 * 1024.0
# Header in which an aggregator states the age of its list at the start of an answer, in milliseconds.
STATED_AGE_HEADER = b"x-list-age-ms"
MAX_REASON_LENGTH = 200  # Longest reason in the log, in characters; a reason may quote received data
RETRY_ACTION = (
    "check that discovery runs at its address; the call is repeated, and the current list stays in use"
)

# Function that receives one JSON object. It returns the age of the list in seconds if the object states one.
LineListener = Callable[[bytes], float | None]


class AgeBound(Protocol):
    """Upper bound on the age of the current list."""

    def record_confirmation(
        self, called_at: float, received_at: float, heartbeats: int, stated_age: float = 0.0
    ) -> None:
        """Record a list or a heartbeat, whose sender had no newer list when it sent that.

        The call was made at `called_at`, and the line arrived at `received_at`, both in seconds of the loop.
        `heartbeats` is the number of heartbeats since the call. `stated_age` is the age of the list that the
        sender stated, in seconds.
        """


class ImplausibleListError(ValueError):
    """A list that is rejected as implausible; only the first of several in a row is logged."""

    action = (
        "check the list service, which has lost its list or runs twice; "
        "if it still sends such lists after 30 s, they are accepted"
    )

    def __init__(self, why: str, *, first: bool) -> None:
        super().__init__(f"{why}: the current list is kept")
        self.first = first  # True for the first of several implausible lists in a row


def log_failure(error: BaseException) -> None:
    """Log one line with the reason why a call has failed."""
    why = f"{error.args[0]!r} is missing" if isinstance(error, KeyError) and error.args else str(error)
    reason = " ".join(why.split())[:MAX_REASON_LENGTH]
    log.warning("discovery: call failed", reason=reason, action=getattr(error, "action", RETRY_ACTION))


def age_in_seconds(stated_ms: object) -> float:
    """Return an age stated in milliseconds as seconds; inf if it is invalid, as any age is possible then."""
    if not isinstance(stated_ms, str | bytes | int | float):
        return math.inf
    try:
        stated = float(stated_ms) / 1000.0
    except (ValueError, OverflowError):
        return math.inf
    return stated if stated >= 0.0 else math.inf


class AnswerEnd(Enum):
    """How the answer to a call ended."""

    NONE = "the answer has not ended"
    COMPLETE = "the answer was received completely"
    CLOSED = "one side closed the connection before the answer was complete"
    REJECTED = "the answer was invalid, which is logged"
    SILENT = "no complete line arrived within the silence limit"


class Channel(asyncio.Protocol):
    """One connection to discovery, on which one call is made.

    The answer is split into lines, and a JSON object that is spread over several lines is joined again.
    `on_line` is called with each object. A `ValueError` that it raises ends the connection, and so does
    invalid HTTP. `called_at` is the time of the call, in seconds of the loop.
    """

    def __init__(self, request: bytes, on_line: LineListener, called_at: float) -> None:
        self._request = request
        self._on_line = on_line
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport
        self._buffer = bytearray()  # The received part of an incomplete line
        # The received lines of an incomplete JSON object: lists may be indented over several lines.
        self._object = bytearray()
        self._open_braces = 0  # Number of braces that are open at the end of `_object`
        self._heartbeats = 0  # Number of heartbeats received
        self._stated_age = 0.0  # Age of the list that the answer stated last, in seconds
        self._incomplete_bytes = 0  # Number of bytes received after the last complete line
        self.request_sent_at = called_at  # Time at which the request was written, in seconds of the loop
        # Time at which the last complete line arrived, or at which the call was made, in seconds of the loop.
        self.last_line_at = called_at
        self.retry_after = 0.0  # Retry-After of the answer in seconds; 0 if the answer has none
        # The upper bound on the age of the list, which each line of a watch confirms; None if none is kept.
        self.age_bound: AgeBound | None = None
        self.accepted = False  # True once the answer has status 200
        # True once a complete line has arrived; everything that discovery had then has been received.
        self.has_received_line = False
        self.has_received_object = False  # True once a list or a change of it has arrived
        self.end = AnswerEnd.NONE
        self.ended = self._loop.create_future()  # Done once no more of the answer is read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the request to the new connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.request_sent_at = self._loop.time()
        transport.write(self._request)

    @property
    def line_due_at(self) -> float:
        """The time until which the next complete line has to arrive, in seconds of the loop.

        Each received byte of an incomplete line extends this time a little. A long list on a slow connection
        is therefore accepted, and a line that never ends is not.
        """
        return self.last_line_at + SILENCE_LIMIT_S + self._incomplete_bytes / INCOMPLETE_LINE_BYTES_PER_S

    def data_received(self, data: bytes) -> None:
        """Parse a part of the answer.

        Invalid HTTP, an invalid list and an error status end the connection.
        """
        if self.ended.done():
            return
        self._incomplete_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reject(error.__context__ or error)
        else:
            if self._incomplete_bytes > MAX_LINE_BYTES:
                self._reject(ValueError("a line is too long"))

    def _reject(self, cause: BaseException) -> None:
        """Abort the connection after an invalid answer, and log the reason."""
        if not isinstance(cause, ImplausibleListError) or cause.first:
            log_failure(cause)
        self._finish(AnswerEnd.REJECTED)
        self._transport.abort()

    def eof_received(self) -> bool:
        """Let the event loop close the connection, since the other side sends no more."""
        return False

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - called by the loop
        """Record that the connection is closed."""
        self._finish(AnswerEnd.CLOSED)

    async def wait_for_end(self) -> None:
        """Wait until the answer has ended or the connection has been silent for too long.

        `end` then states which of the two it was. The silence limit detects a machine that has lost its
        network, whose connections stay open and silent. Cancelling leaves the connection as it is.
        """
        while (left := self.line_due_at - self._loop.time()) > CLOCK_RESOLUTION_S:
            await asyncio.wait((self.ended,), timeout=left)
            if self.ended.done():
                return
        if not self.ended.done():
            self.end = AnswerEnd.SILENT

    def close(self) -> None:
        """Abort the connection, and read no more of the answer."""
        self._transport.abort()
        self._finish(AnswerEnd.CLOSED)

    def _finish(self, end: AnswerEnd) -> None:
        """Record how the answer ended, unless an earlier end is recorded, and read no more of it."""
        if self.end is AnswerEnd.NONE:
            self.end = end
        if not self.ended.done():
            self.ended.set_result(None)

    # --- callbacks of the parser ---------------------------------------------

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the value of a Retry-After header, and of the header that states the age of the list."""
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                wait = float(value)
                self.retry_after = wait if 0.0 < wait < math.inf else 0.0
        elif name.lower() == STATED_AGE_HEADER:
            self._stated_age = age_in_seconds(value)

    def on_headers_complete(self) -> None:
        """Accept an answer with status 200; raise `ValueError` for any other status."""
        status = self._parser.get_status_code()
        if status != HTTPStatus.OK:
            message = f"status {status}"
            raise ValueError(message)
        self.accepted = True

    def on_body(self, data: bytes) -> None:
        """Process the lines that are complete with this part of the body; an empty line is a heartbeat."""
        first, *rest = data.split(b"\n")
        self._buffer += first
        for part in rest:
            line, self._buffer = self._buffer, bytearray(part)
            self._receive_line(line)

    def on_message_complete(self) -> None:
        """Process a last line without a line end; the end of the answer itself is no heartbeat."""
        if self._buffer.strip():
            self._receive_line(self._buffer)
        self._buffer = bytearray()
        if self._object:
            self._deliver_object()  # The object is incomplete, so `on_line` raises an error that says so.
        self._finish(AnswerEnd.COMPLETE)

    def _receive_line(self, line: bytearray) -> None:
        """Process one complete line: a JSON object, a part of an object, or a heartbeat."""
        if self.ended.done():
            return
        stripped = line.strip()
        if stripped:
            on_one_line = not self._object and stripped.startswith(b"{") and stripped.endswith(b"}")
            self._object += stripped
            self._open_braces += stripped.count(b"{") - stripped.count(b"}")
            if not on_one_line and self._open_braces > 0:
                return
        else:
            self._heartbeats += 1
        if self._object:
            self._deliver_object()
        self.has_received_line = True
        self.last_line_at, self._incomplete_bytes = self._loop.time(), 0
        if self.has_received_object:
            self.confirm(self.age_bound, self._loop.time())

    def confirm(self, age: AgeBound | None, received: float) -> None:
        """Record in `age` that the last line, which arrived at `received`, confirms the current list."""
        if age is not None:
            age.record_confirmation(self.request_sent_at, received, self._heartbeats, self._stated_age)

    def _deliver_object(self) -> None:
        """Pass a JSON object on to `on_line`; an object that states an age also counts as a heartbeat."""
        received, self._object, self._open_braces = bytes(self._object), bytearray(), 0
        stated = self._on_line(received)
        if stated is not None:
            self._stated_age = stated
            self._heartbeats += 1
        self.has_received_object = True


async def open_channel(
    address: Address, target: str, on_line: LineListener, *, headers: str = ""
) -> Channel | None:
    """Open a connection to discovery and send a request; return None if no connection opens in time.

    `target` is the request target, and `headers` are header lines that each end with CRLF. Cancelling closes
    the connection.
    """
    loop = asyncio.get_running_loop()
    host, port = address
    request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n{headers}\r\n".encode()
    called_at = loop.time()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, channel = await loop.create_connection(
                lambda: Channel(request, on_line, called_at), host, port
            )
    except (OSError, ValueError):  # An invalid host name raises ValueError.
        return None
    return channel
