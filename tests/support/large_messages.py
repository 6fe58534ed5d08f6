"""Large messages: a server and a client that read them in any framing."""

from __future__ import annotations

import asyncio
import contextlib

from tests.support.loopback import PATIENCE_S, Upstream, until

LARGE = bytes(range(256)) * 12_000  # 3 MB
HEAD_WITH_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
ONE_CHUNK = b"%x\r\n%b\r\n" % (len(LARGE), LARGE)  # all of it in one chunk
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunked_body(data, size=100_000):
    """Chunks with extensions, and a trailer."""
    parts = [data[i : i + size] for i in range(0, len(data), size)]
    return b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\nX-End: 1\r\n\r\n"


class StreamingServer(Upstream):
    """A server that reads requests in any framing; with `may_read_body` it reads a body only once that is set."""

    may_read_body: asyncio.Event | None = None

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                if self.may_read_body is not None:
                    await self.may_read_body.wait()
                if "chunked" in head:
                    data = b""
                    while size := int(await reader.readuntil(b"\r\n"), 16):
                        data += (await reader.readexactly(size + 2))[:-2]
                    await reader.readexactly(2)
                else:
                    row = next((row for row in head.split("\r\n") if row.startswith("content-length")), ": 0")
                    data = await reader.readexactly(int(row.split(":")[1]))
                self.seen.append(data)
                reply = self.replies[0]
                writer.write(await reply(reader, writer) if callable(reply) else reply)
        writer.close()

    async def disconnected(self):
        """Wait until all connections to this server are closed."""
        await until(lambda: all(writer.transport.is_closing() for writer in self.writers))


async def reply_until_close(reader, writer):
    """A reply of a large answer without a length, which the close delimits."""
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + LARGE)
    writer.close()
    return b""


async def read_head(app):
    """The head of an answer."""
    async with asyncio.timeout(PATIENCE_S):
        return await app.reader.readuntil(b"\r\n\r\n")


async def read_answer(app, head=None):
    """Status and body of an answer in any framing, of which `head` may have been read.

    Raises `IncompleteReadError` if the answer is not complete."""
    if head is None:
        head = await read_head(app)
    async with asyncio.timeout(PATIENCE_S):
        text = head.decode().lower()
        status = int(text.split(" ")[1])
        if "chunked" not in text:
            row = next(row for row in text.split("\r\n") if row.startswith("content-length"))
            return status, await app.reader.readexactly(int(row.split(":")[1]))
        data = b""
        while size := int(await app.reader.readuntil(b"\r\n"), 16):
            data += (await app.reader.readexactly(size + 2))[:-2]
        await app.reader.readexactly(2)
        return status, data
