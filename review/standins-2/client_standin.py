"""Stand-in of the application's HTTP client: connections that are kept, one request at a time on each."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field


@dataclass
class Answer:
    """What a client has got for one request; times are those of the monotonic clock, in seconds."""

    call_id: str
    request_class: str
    budget_ms: float
    sent_at: float = 0.0  # when the last byte was handed to the system
    status: int = 0  # 0 while no answer has begun
    body: bytes = b""
    begun_at: float = 0.0
    ended_at: float = 0.0  # when the last byte of the answer came; 0 before
    resent: bool = False  # True if the client itself sent the request once more, after a close
    broken: str = ""  # how the connection ended before the end of the answer
    headers: dict[str, str] = field(default_factory=dict)


def request_bytes(call_id: str, request_class: str, budget_ms: float, *, body: bytes = b"") -> bytes:
    """Return the bytes of one request, in the form of `PROTOCOL-brassfall.md`."""
    unsafe = request_class in ("send-notice", "new-message")
    key = f"Idempotency-Key: {call_id}{call_id}\r\n" if request_class == "new-message" else ""
    length = f"Content-Length: {len(body)}\r\n" if unsafe else ""
    head = (
        f"{'POST' if unsafe else 'GET'} /{request_class} HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Call-Id: {call_id}\r\nX-Call-Class: {request_class}\r\nX-Budget: {budget_ms:.0f}m\r\n"
        f"{key}{length}\r\n"
    )
    return head.encode() + (body if unsafe else b"")


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read one answer into `answer`, whole or as far as it comes."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.begun_at = time.monotonic()
        answer.status = int(head[0].split(" ")[1])
        answer.headers = {
            key.strip().lower(): value.strip()
            for key, _, value in (line.partition(":") for line in head[1:] if line)
        }
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
            while await reader.readline() not in (b"\r\n", b""):
                pass
        elif "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
        else:
            answer.body = await reader.read()
        answer.ended_at = time.monotonic()
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.broken = repr(error)


class Client:
    """The connections of one application; more are opened when all are busy."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def ask(self, call_id: str, request_class: str, budget_ms: float, wait_s: float) -> Answer:
        """Send one request, and return what came for it within `wait_s` seconds.

        A request that meets the close of a kept connection is sent once more, on a new one.
        """
        for fresh in (False, True):
            reused = bool(self._idle) and not fresh
            reader, writer = self._idle.pop() if reused else await asyncio.open_connection(*self._address)
            answer = Answer(call_id, request_class, budget_ms, resent=fresh)
            whole = timed_out = False
            try:
                writer.write(request_bytes(call_id, request_class, budget_ms, body=b"a notice"))
                answer.sent_at = time.monotonic()
                await asyncio.wait_for(read_answer(reader, answer), wait_s)
                whole = answer.ended_at > 0.0
            except TimeoutError:
                timed_out = True
            except OSError as error:
                answer.broken = answer.broken or repr(error)
            if whole and answer.headers.get("connection", "").lower() != "close":
                self._idle.append((reader, writer))
            else:
                writer.close()
            if whole or timed_out or answer.status or not reused:
                return answer
        return answer

    def close(self) -> None:
        """Close all connections."""
        for _, writer in self._idle:
            writer.close()
