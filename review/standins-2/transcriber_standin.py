"""Stand-in of a transcriber: four cores, a queue, and an answer whose body names its request.

It follows `PROTOCOL-brassfall.md`: it starts on a request once its last byte has arrived, answers 404 to a
request without an id, and turns away what finds its queue full. A case may give it one of the faults that the
pages name, by another `answer`.
"""

from __future__ import annotations

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

from platform_standin import Record

CORES = 4
QUEUE = 12  # requests that may wait, above those on the cores
SPEEDS = {"fast-box": 1.5, "std-box": 0.95}  # of a core, relative to the yardstick
WORK_MS = {
    "get-transcript": (61.0, 110.0),
    "save-correction": (65.0, 120.0),
    "send-notice": (110.0, 210.0),
    "new-message": (120.0, 210.0),
}

Writer = asyncio.StreamWriter
Answering = Callable[["Transcriber", Writer, str, bytes], Awaitable[None]]
# Whether a request is a repeat that this transcriber drops: it then answers as before, and runs nothing.
Repeat = Callable[["Transcriber", str], bool]
# Whether a transcriber turns a request away although its queue has room; it may take a moment to find out.
TurningAway = Callable[["Transcriber"], Awaitable[bool]]


async def answer_whole(server: Transcriber, writer: Writer, call_id: str, body: bytes) -> None:
    """Answer a request that has run, as a sound transcriber does."""
    del call_id
    writer.write(server.head(b"Content-Length: %d\r\n" % len(body)) + body)


async def takes_it(server: Transcriber) -> bool:
    """Turn nothing away, at once."""
    del server
    return False


class Transcriber:
    """One transcriber, on an address of its own."""

    def __init__(
        self, name: str, zone: str, record: Record, seed: int, answer: Answering = answer_whole
    ) -> None:
        self.name, self.zone = name, zone
        self.kind = ("fast-box", "std-box")[seed % 2]
        self.address = ""
        self.runs: dict[str, int] = {}  # how often each request ran, by its id
        self.made: dict[str, list[bytes]] = {}  # the bodies made for each request, by its id
        self.held = 0
        self.refresh_s = 0.0  # how old the reported load may be; 0 for the load at this moment
        self._reported, self._reported_at = 0, -math.inf
        self.random = random.Random(seed)
        self.record = record
        self.cell = 0
        self.is_repeat: Repeat = lambda _server, _call_id: False
        self.turns_away: TurningAway = takes_it
        self._answer = answer
        self._cores = asyncio.Semaphore(CORES)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def entry(self) -> dict[str, Any]:
        """Return the entry of this transcriber in the list."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": self.zone,
            "type": self.kind,
            "group": self.cell,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        }

    def report(self) -> bytes:
        """Return the header line of the load report, which is refreshed every `refresh_s`."""
        now = time.monotonic()
        if now - self._reported_at >= self.refresh_s:
            self._reported, self._reported_at = self.held, now
        return b"X-Load-Report: inflight=%d\r\n" % self._reported

    def head(self, framing: bytes) -> bytes:
        """Return the head of a 200 answer with the load report."""
        return b"HTTP/1.1 200 OK\r\n%b%b\r\n" % (self.report(), framing)

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {
                    key.strip().lower(): value.strip()
                    for key, _, value in (line.partition(":") for line in lines[1:] if line)
                }
                await reader.readexactly(int(headers.get("content-length", "0")))
                await self._request(writer, lines[0].split(" ")[1], headers)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _request(self, writer: Writer, path: str, headers: dict[str, str]) -> None:
        call_id = headers.get("x-call-id")
        request_class = path.split("/")[1].partition("?")[0]
        if call_id is None or request_class not in WORK_MS:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return
        told = headers.get("x-budget", "")
        if await self.turns_away(self) or self.held >= CORES + QUEUE:
            self.record.add(f"{self.name}: {call_id} turned away, told {told}")
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\n%bContent-Length: 0\r\n\r\n"
                % self.report()
            )
            return
        if self.is_repeat(self, call_id):
            body = f"{call_id} transcript, as before\n".encode()
            self.record.add(f"{self.name}: {call_id} is a repeat, dropped")
            self.made.setdefault(call_id, []).append(body)
            writer.write(self.head(b"Content-Length: %d\r\n" % len(body)) + body)
            return
        self.held += 1
        self.record.add(f"{self.name}: {call_id} arrived, {request_class}, told {told}")
        try:
            async with self._cores:
                run = self.runs[call_id] = self.runs.get(call_id, 0) + 1
                work_ms = self.random.uniform(*WORK_MS[request_class])
                await asyncio.sleep(work_ms / SPEEDS[self.kind] / 1000.0)
        finally:
            self.held -= 1
        body = f"{call_id} transcript by {self.name}, run {run}\n".encode()
        self.made.setdefault(call_id, []).append(body)
        self.record.add(f"{self.name}: {call_id} has run, answers {body!r}")
        await self._answer(self, writer, call_id, body)
