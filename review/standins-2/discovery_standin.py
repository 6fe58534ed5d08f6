"""Stand-in of discovery: the whole list, and a watch with an empty line every 2 s."""

from __future__ import annotations

import asyncio
import json
from typing import Any

HEARTBEAT_S = 2.0


class Discovery:
    """A list of transcribers that does not change."""

    def __init__(self, entries: list[dict[str, Any]], index: int = 41) -> None:
        self.entries, self.index = entries, index
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": self.entries}

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close_after(self, delay_s: float) -> None:
        """Take no new connections from now on, and close the open ones after `delay_s` seconds."""
        if self._server is not None:
            self._server.close()
        asyncio.get_running_loop().call_later(delay_s, self._close_connections)

    def _close_connections(self) -> None:
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            body = json.dumps(self.whole()).encode() + b"\n"
            if b"watch=1" not in head.split(b"\r\n", 1)[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n%b\r\n" % (len(body), body))
            while True:
                await writer.drain()
                await asyncio.sleep(HEARTBEAT_S)
                writer.write(b"1\r\n\n\r\n")
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
