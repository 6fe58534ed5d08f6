"""Large requests and answers: a server and a client that read them with any framing of the body."""

from __future__ import annotations

import asyncio
import contextlib

from tests.support.loopback import PATIENCE_S, Upstream, until

LARGE = bytes(range(256)) * 12_000  # A large body of 3 MB
HEAD_WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
ONE_CHUNK = b"%x\r\n%b\r\n" % (len(LARGE), LARGE)  # The large body as a single chunk
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunked_body(data, size=100_000):
    """Return a body in chunks of `size` bytes with chunk extensions, followed by a trailer."""
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nX-End: 1\r\n\r\n"


class StreamingServer(Upstream):
    """A server that reads requests with any framing; it waits for `may_read_body` before it reads a body."""

    may_read_body: asyncio.Event | None = None

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                if self.may_read_body is not None:
                    await self.may_read_body.wait()
                if "chunked" in head:
                    parts = []
                    while size := int(await reader.readuntil(b"\r\n"), 16):
                        parts.append((await reader.readexactly(size + 2))[:-2])
                    await reader.readexactly(2)
                    data = b"".join(parts)
                else:
                    length_line = next(
                        (line for line in head.split("\r\n") if line.startswith("content-length")), ": 0"
                    )
                    data = await reader.readexactly(int(length_line.split(":")[1]))
                self.seen.append(data)
                reply = self.replies[0]
                writer.write(await reply(reader, writer) if callable(reply) else reply)
        writer.close()

    async def disconnected(self):
        """Wait until all connections to this server are closed."""
        await until(lambda: all(writer.transport.is_closing() for writer in self.writers))


async def reply_until_close(reader, writer):
    """Send a large answer without a length, which ends when the connection is closed."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE)
    writer.close()
    return b""


async def read_head(app):
    """Return the head of the next answer that a client receives."""
    async with asyncio.timeout(PATIENCE_S):
        return await app.reader.readuntil(b"\r\n\r\n")


async def read_answer(app, head=None):
    """Return status and body of an answer with any framing; `head` is its head if that was already read.

    Raise `IncompleteReadError` if the answer is not complete.
    """
    if head is None:
        head = await read_head(app)
    async with asyncio.timeout(PATIENCE_S):
        text = head.decode().lower()
        status = int(text.split(" ")[1])
        if "chunked" not in text:
            length_line = next(line for line in text.split("\r\n") if line.startswith("content-length"))
            return status, await app.reader.readexactly(int(length_line.split(":")[1]))
        data = b""
        while size := int(await app.reader.readuntil(b"\r\n"), 16):
            data += (await app.reader.readexactly(size + 2))[:-2]
        await app.reader.readexactly(2)
        return status, data
