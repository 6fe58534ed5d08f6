"""One call to discovery: a connection whose answer is cut into JSON objects as it comes.

Used for discovery's lists and watches, and for the watch on configuration revisions. All waits of a sidecar
that polls discovery are parts of the time after which a change counts as notified.
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

# A change counts as notified after this; the waits before calls and their time limits are parts of it.
NOTIFIED_S, SPARE_S, CALL_S = (
    LIST_CHANGE_DEADLINE_MS / 1000.0,
    LOOP_LAG_ALLOWANCE_MS / 1000.0,
    DISCOVERY_CALL_TIMEOUT_MS / 1000.0,
)
# A pushed list counts from the moment the agent has it, except that sends may go wrong for half a second:
# within that the watch has to be open again once the agent can be reached.
BACKOFF_S, SPREAD = 0.1, 0.5
# A heartbeat comes every 2 s. After a longer silence the call is repeated, and once more if that fails.
SILENT_S = NOTIFIED_S - SPARE_S - 2.0 * (BACKOFF_S * (1.0 + SPREAD) + CALL_S)
# A connection comes up at once or was lost on its way: the system retries only after 1, 3 and 7 s.
CONNECT_S = CALL_S
CLOCK_STEP_S = 0.001  # less is left only by rounding
MAX_LINE = 4 * 1024 * 1024  # bytes
INCOMPLETE_LINE_RATE = 512 * 1024.0  # bytes of an incomplete line that put silence off by a second
# The age of an aggregator's list, in ms, as it sends the list or a heartbeat.
STATED_AGE_HEADER = b"x-list-age-ms"
MAX_REASON = 200  # characters of a reason in the log: it may quote what came
RETRIED = "see that it runs at its address; calls are repeated, and the current list is used meanwhile"

# Takes one JSON object; returns the age of the list in seconds if the object states one.
LineListener = Callable[[bytes], float | None]


class AgeBound(Protocol):
    """Keeps an upper bound on the age of a list."""

    def confirmed(self, called: float, received: float, heartbeats: int, stated: float = 0.0) -> None:
        """Take note that the list was the newest when its sender sent it; times in seconds of the loop."""


class ImplausibleListError(ValueError):
    """A list that is rejected as implausible; the first of a row is logged."""

    action = "look at the list service, which lost its list or runs twice; past 30 s it is believed"

    def __init__(self, why: str, *, first: bool) -> None:
        super().__init__(f"{why}: the current list is kept")
        self.first = first


def log_failure(error: BaseException) -> None:
    """Log in one line why a call has ended."""
    why = f"{error.args[0]!r} is missing" if isinstance(error, KeyError) and error.args else str(error)
    reason = " ".join(why.split())[:MAX_REASON]
    log.warning("discovery: call failed", reason=reason, action=getattr(error, "action", RETRIED))


def age_in_seconds(stated_ms: object) -> float:
    """Return a stated age in ms in seconds; infinite if it is not valid, since nothing is known by that."""
    if not isinstance(stated_ms, str | bytes | int | float):
        return math.inf
    try:
        stated = float(stated_ms) / 1000.0
    except (ValueError, OverflowError):
        return math.inf
    return stated if stated >= 0.0 else math.inf


class End(Enum):
    """How the answer to a call ended."""

    NONE = "it goes on"
    COMPLETE = "with its last byte"
    CLOSED = "with the connection, which either side closed"
    REJECTED = "since it is invalid, which is logged"
    SILENT = "since nothing more came"


class Channel(asyncio.Protocol):
    """One connection to discovery, with the one call that is made on it.

    Its answer is cut into lines, and an object that is spread over several lines is joined again. `on_line`
    is called with each object; a `ValueError` that it raises ends the connection, as does invalid HTTP.
    """

    def __init__(self, request: bytes, on_line: LineListener, called_at: float) -> None:
        self._request = request
        self._on_line = on_line
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport
        self._buffer = bytearray()  # a line that has begun
        self._object = bytearray()  # an object that has begun: lists may come indented
        self._depth = 0  # braces open in it
        self._heartbeats = 0
        self._stated_age = 0.0  # of the list, in seconds, as stated last
        self._unfinished = 0  # bytes that came after the last complete line
        self.asked_at = called_at  # when the request was written
        self.heard_at = called_at  # when the last complete line came, or the call was made
        self.retry_after = 0.0  # seconds, if the answer names them
        self.age: AgeBound | None = None  # is notified of each line of a watch
        self.accepted = False  # the call was accepted: the answer has status 200
        self.heard = False  # a complete line came: what discovery had then is notified
        self.updated = False  # a list, or a change of it, came
        self.end = End.NONE
        self.ended = self._loop.create_future()  # done when nothing more comes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Write the request."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self.asked_at = self._loop.time()
        transport.write(self._request)

    @property
    def due_at(self) -> float:
        """When the next complete line has to have come, in seconds of the loop.

        Bytes of an incomplete line put it off by their number: a long list on a slow connection is accepted,
        a line that never ends is not.
        """
        return self.heard_at + SILENT_S + self._unfinished / INCOMPLETE_LINE_RATE

    def data_received(self, data: bytes) -> None:
        """Take a part of the answer; invalid HTTP, an invalid list or an error status ends the connection."""
        if self.ended.done():
            return
        self._unfinished += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reject(error.__context__ or error)
        else:
            if self._unfinished > MAX_LINE:
                self._reject(ValueError("a line is too long"))

    def _reject(self, cause: BaseException) -> None:
        """Close after an invalid answer, and log it."""
        if not isinstance(cause, ImplausibleListError) or cause.first:
            log_failure(cause)
        self._finish(End.REJECTED)
        self._transport.abort()

    def eof_received(self) -> bool:
        """Let the loop close the connection: the answer has ended."""
        return False

    def connection_lost(self, error: Exception | None) -> None:  # noqa: ARG002 - called by the loop
        """Take note that the connection is closed."""
        self._finish(End.CLOSED)

    async def wait_for_end(self) -> None:
        """Wait until the answer has ended or the connection has fallen silent, as `end` then tells.

        Guards against a machine that is cut off: its connections stay open and silent. Cancelling leaves the
        connection as it is.
        """
        while (left := self.due_at - self._loop.time()) > CLOCK_STEP_S:
            await asyncio.wait((self.ended,), timeout=left)
            if self.ended.done():
                return
        if not self.ended.done():
            self.end = End.SILENT

    def close(self) -> None:
        """Close the connection at once: nothing more of the answer is read."""
        self._transport.abort()
        self._finish(End.CLOSED)

    def _finish(self, end: End) -> None:
        """Read nothing more; the first end of an answer is the one that counts."""
        if self.end is End.NONE:
            self.end = end
        if not self.ended.done():
            self.ended.set_result(None)

    # --- called by the parser -----------------------------------------------

    def on_header(self, name: bytes, value: bytes) -> None:
        """Read the headers that state a wait or the age of the list."""
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                wait = float(value)
                self.retry_after = wait if 0.0 < wait < math.inf else 0.0
        elif name.lower() == STATED_AGE_HEADER:
            self._stated_age = age_in_seconds(value)

    def on_headers_complete(self) -> None:
        """Accept the answer; raise `ValueError` if its status is an error."""
        status = self._parser.get_status_code()
        if status != HTTPStatus.OK:
            message = f"status {status}"
            raise ValueError(message)
        self.accepted = True

    def on_body(self, data: bytes) -> None:
        """Take the complete lines; empty ones are heartbeats."""
        first, *rest = data.split(b"\n")
        self._buffer += first
        for part in rest:
            line, self._buffer = self._buffer, bytearray(part)
            self._take_line(line)

    def on_message_complete(self) -> None:
        """Take a last line that lacks its end; the end of the answer is no heartbeat."""
        if self._buffer.strip():
            self._take_line(self._buffer)
        self._buffer = bytearray()
        if self._object:
            self._deliver()  # incomplete: `on_line` raises what is wrong with it
        self._finish(End.COMPLETE)

    def _take_line(self, line: bytearray) -> None:
        if self.ended.done():
            return
        text = line.strip()
        if text:
            on_one_line = not self._object and text.startswith(b"{") and text.endswith(b"}")
            self._object += text
            self._depth += text.count(b"{") - text.count(b"}")
            if not on_one_line and self._depth > 0:
                return
        else:
            self._heartbeats += 1
        if self._object:
            self._deliver()
        self.heard = True
        self.heard_at, self._unfinished = self._loop.time(), 0
        if self.updated:
            self.confirm(self.age, self._loop.time())

    def confirm(self, age: AgeBound | None, received: float) -> None:
        """Pass on to `age` what the last line, which came at `received`, says of the age of the list."""
        if age is not None:
            age.confirmed(self.asked_at, received, self._heartbeats, self._stated_age)

    def _deliver(self) -> None:
        """Pass an object on; one that states an age stands in the place of a heartbeat."""
        received, self._object, self._depth = bytes(self._object), bytearray(), 0
        stated = self._on_line(received)
        if stated is not None:
            self._stated_age = stated
            self._heartbeats += 1
        self.updated = True


async def open_channel(
    address: Address, target: str, on_line: LineListener, *, headers: str = ""
) -> Channel | None:
    """Connect and call; return the connection, or None if none came up in time.

    `headers` are lines, each with its CRLF. Cancelling closes the connection.
    """
    loop = asyncio.get_running_loop()
    host, port = address
    request = f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n{headers}\r\n".encode()
    called_at = loop.time()
    try:
        async with asyncio.timeout(CONNECT_S):
            _, channel = await loop.create_connection(
                lambda: Channel(request, on_line, called_at), host, port
            )
    except (OSError, ValueError):  # a name that can't be one of a host is a ValueError
        return None
    return channel
