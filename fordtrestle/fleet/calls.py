"""One kept connection to the list service: a call at a time, small answers."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import httptools

from fordtrestle.config import Address

ANSWER_MOST = 4 * 1024 * 1024


class CallFailed(Exception):
    """A call got no good answer; its text is one line. The caller asks again, elsewhere or later."""

    action = "see that a list service runs at that address; without one this sidecar acts on safe rules"

    def __init__(self, why: str, status: int = 0, retry_after: float = 0.0) -> None:
        super().__init__(why)
        self.status = status
        self.retry_after = retry_after


class Caller(asyncio.Protocol):
    """The connection; it is opened by the first call and anew after a failure."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._address: Address | None = None
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._retry_after = 0.0
        self._answer: asyncio.Future[tuple[int, bytes]] | None = None
        self.asked_at = 0.0  # when the last call began to be written
        self.sent_bytes = self.read_bytes = 0

    async def call(self, address: Address, method: str, path: str, limit: float, body: Any = None) -> Any:
        """The JSON of a 200 answer; `CallFailed` where there is none within `limit` seconds."""
        try:
            async with asyncio.timeout(limit):
                status, content = await self._ask(address, method, path, body)
        except (OSError, httptools.HttpParserError, EOFError) as error:  # a time-out is an OSError
            self.close()
            raise CallFailed(f"{address.host}:{address.port}: {error!r}") from error
        except asyncio.CancelledError:
            self.close()
            raise
        if status != 200:
            self.close()
            raise CallFailed(f"status {status}: {content[:200]!r}", status, self._retry_after)
        try:
            return json.loads(content)
        except (ValueError, RecursionError) as error:
            self.close()
            raise CallFailed(f"{address.host}:{address.port} answers no JSON") from error

    def holds(self, address: Address) -> bool:
        """Whether the next call goes out on the connection of the last one."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and address == self._address

    async def _ask(self, address: Address, method: str, path: str, body: Any) -> tuple[int, bytes]:
        if not self.holds(address):
            self.close()
            self._address = address
            transport, _ = await self._loop.create_connection(lambda: self, address.host, address.port)
            self._transport = transport
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        assert self._transport is not None
        head = f"{method} {path} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\n"
        length = f"Content-Length: {len(data)}\r\n" if method != "GET" else ""
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._retry_after = 0.0
        self._answer = self._loop.create_future()
        message = f"{head}{length}\r\n".encode() + data
        self.asked_at = self._loop.time()
        self.sent_bytes += len(message)
        self._transport.write(message)
        return await self._answer

    def close(self) -> None:
        """Drop the connection, and with it any answer that is still to come."""
        if self._transport is not None:
            self._transport.abort()
        self._transport, self._answer = None, None

    # --- called by the loop and the parser ------------------------------------------

    def data_received(self, data: bytes) -> None:
        """A part of an answer."""
        self.read_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(error if isinstance(error, httptools.HttpParserError) else EOFError("upgraded"))

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone."""
        self._fail(error or EOFError("the connection ended"))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser."""
        if name.lower() == b"retry-after":
            try:
                self._retry_after = min(60.0, max(0.0, float(value)))
            except ValueError:
                return

    def on_body(self, data: bytes) -> None:
        """Called by the parser."""
        self._body += data
        if len(self._body) > ANSWER_MOST:
            self._fail(EOFError("the answer is too long"))

    def on_message_complete(self) -> None:
        """Called by the parser."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_result((self._parser.get_status_code(), bytes(self._body)))
        if not self._parser.should_keep_alive() and self._transport is not None:
            self._transport.close()

    def _fail(self, error: Exception) -> None:
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(error)
