"""A stand-in for a transcriber: HTTP/1.1 on one loopback address, as PROTOCOL describes it.

It starts on a request once its last byte has arrived, answers 200 with a body that names the request, and
writes one JSON line for each event to its ledger. Faults and long answers are options.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time
from pathlib import Path

MAX_HEAD_BYTES = 64 * 1024
PACED_PART_S = 0.02  # Time between two parts of a long answer, in seconds
PART_BYTES = 256 * 1024  # Size of the parts of an answer that is sent at full speed


class Server:
    """The requests, the answers and the ledger of one stand-in."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.rng = random.Random(options.seed)
        sizes = (option.partition("=") for option in options.answer_bytes)
        self.answer_bytes = {name: int(size) for name, _, size in sizes}
        self.held = 0  # Number of requests that are being worked on
        self.ledger = Path(options.ledger).open("a", buffering=1, encoding="utf-8")  # noqa: SIM115

    def log(self, event: str, **fields: object) -> None:
        """Write one line to the ledger."""
        self.ledger.write(
            json.dumps({"t": time.time(), "server": self.options.name, "event": event} | fields)
        )
        self.ledger.write("\n")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one after the other."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError) as error:
            self.log("connection broken", why=repr(error))
        finally:
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        method, path, headers = parse_head(head)
        size = await read_body(reader, headers)
        call_id = headers.get("x-call-id")
        if call_id is None:
            status = 200 if path in ("/health/live", "/stats") else 404
            writer.write(b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status)
            return True
        budget = headers.get("x-budget")
        self.held += 1
        self.log("arrived", id=call_id, method=method, path=path, bytes=size, budget=budget)
        await asyncio.sleep(self.rng.uniform(*self.options.work_ms) / 1000.0)
        self.held -= 1
        request_class = path.split("/")[1]
        if request_class in self.options.long_class:
            await self._answer_long(writer, call_id)
        elif request_class in self.answer_bytes:
            await self._answer_at_full_speed(writer, call_id, self.answer_bytes[request_class])
        else:
            await self._answer(writer, call_id)
        return True

    def _head(self, length: int) -> bytes:
        report = f"X-Load-Report: inflight={self.held}\r\n"
        return f"HTTP/1.1 200 OK\r\n{report}Content-Length: {length}\r\n\r\n".encode()

    async def _answer(self, writer: asyncio.StreamWriter, call_id: str) -> None:
        body = json.dumps({"id": call_id, "server": self.options.name}).encode()
        answer = self._head(len(body)) + body
        writer.write(answer)
        await writer.drain()
        self.log("answered", id=call_id)
        if self.rng.random() < self.options.second_answers:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(*self.options.second_after_ms) / 1000.0,
                self._second,
                writer,
                call_id,
                answer,
            )

    def _second(self, writer: asyncio.StreamWriter, call_id: str, answer: bytes) -> None:
        """Send the answer once more, as a faulty server does."""
        if not writer.is_closing():
            writer.write(answer)
            self.log("answered a second time", id=call_id)

    async def _answer_at_full_speed(self, writer: asyncio.StreamWriter, call_id: str, size: int) -> None:
        """Send an answer of this size as fast as it is taken; log how long the sidecar took nothing of it."""
        writer.transport.set_write_buffer_limits(0)
        first = json.dumps({"id": call_id, "server": self.options.name}).encode() + b"\n"
        writer.write(self._head(size) + first)
        sent, longest_s, waits_since = len(first), 0.0, time.monotonic()
        try:
            while sent < size:
                part = b"." * min(PART_BYTES, size - sent)
                writer.write(part)
                waits_since = time.monotonic()
                await writer.drain()  # Returns once the system has taken the part
                longest_s = max(longest_s, time.monotonic() - waits_since)
                sent += len(part)
        finally:
            if sent < size:
                longest_s = max(longest_s, time.monotonic() - waits_since)
            event = "answered" if sent == size else "answer not taken"
            self.log(event, id=call_id, bytes=sent, longest_wait_s=round(longest_s, 3))

    async def _answer_long(self, writer: asyncio.StreamWriter, call_id: str) -> None:
        """Send a long answer at a steady rate; its first line names the request."""
        size, rate = self.options.long_bytes, self.options.long_rate
        first = json.dumps({"id": call_id, "server": self.options.name}).encode() + b"\n"
        writer.write(self._head(size) + first)
        sent, began = len(first), time.monotonic()
        while sent < size:
            await asyncio.sleep(PACED_PART_S)
            due = min(size, int((time.monotonic() - began) * rate))
            if due > sent:
                writer.write(b"." * (due - sent))
                await writer.drain()
                sent = due
        self.log("answered", id=call_id, bytes=size)


def parse_head(head: bytes) -> tuple[str, str, dict[str, str]]:
    """Return the method, the path and the headers of a request."""
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    pairs = (line.partition(":") for line in lines if line)
    return method, path, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> int:
    """Read the body of a request, and return its size."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        left = size = int(headers.get("content-length", "0"))
        while left:
            part = await reader.read(min(left, 1 << 16))
            if not part:
                raise EOFError
            left -= len(part)
        return size
    size = 0
    while chunk := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        await reader.readexactly(chunk + 2)
        size += chunk
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass
    return size


async def main() -> None:
    """Serve until the time limit is over or the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--seed", default="1")
    parser.add_argument("--work-ms", type=float, nargs=2, default=(60.0, 110.0))
    parser.add_argument("--second-answers", type=float, default=0.0)
    parser.add_argument("--second-after-ms", type=float, nargs=2, default=(3.0, 12.0))
    parser.add_argument("--answer-bytes", nargs="*", default=(), metavar="CLASS=BYTES")
    parser.add_argument("--long-class", nargs="*", default=())
    parser.add_argument("--long-bytes", type=int, default=0)
    parser.add_argument("--long-rate", type=float, default=1.0)
    parser.add_argument("--limit-s", type=float, default=115.0)
    server = Server(parser.parse_args())
    listening = await asyncio.start_server(
        server.serve, "127.0.0.1", server.options.port, limit=MAX_HEAD_BYTES, backlog=256
    )
    async with listening:
        server.log("ready")
        await asyncio.sleep(server.options.limit_s)


if __name__ == "__main__":
    asyncio.run(main())
