"""Many sidecars' reports and watches, played by one process: `python -m brassfall.lab.agreement.reporters`.

Each has a kept connection that reports as often as the service asks for, in a sidecar's short form, and one
that watches the rules. Prints one JSON line at the end: reports answered, failures, and bytes by way.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections import Counter
from typing import Any

JITTER = 1.0 / 3.0
ROW = {"region": "a", "window": 1, "span_ms": 5000, "first": {"45": 3, "46": 5, "52": 7, "62": 4}}
ROW_EVERY = 1.75  # seconds from one row of delays to the next


class Reporter:
    """One sidecar."""

    def __init__(self, name: str, host: str, port: int, local: str, count: Counter[str]) -> None:
        self._name, self._at, self._local, self._count = name, (host, port), (local, 0), count
        self._life = f"{random.getrandbits(64):016x}"
        self._seq, self._of, self._held, self._row_s, self._every = 0, 0, 0, 0.0, 750.0

    async def run(self, until: float) -> None:
        """Report until then, anew after each failure."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(random.random() * 3.0)
        watch = asyncio.create_task(self._watch())
        while loop.time() < until:
            try:
                await self._reports(until)
            except (OSError, ValueError, EOFError):
                self._count["failed"] += 1
                await asyncio.sleep(0.5)
        watch.cancel()
        await asyncio.gather(watch, return_exceptions=True)

    async def _reports(self, until: float) -> None:
        loop, before = asyncio.get_running_loop(), None
        reader, writer = await asyncio.open_connection(*self._at, local_addr=self._local)
        try:
            while loop.time() < until:
                raw = self._raw(before, loop.time())
                before = self._seq
                body = json.dumps(raw, separators=(",", ":")).encode()
                host = f"Host: {self._at[0]}:{self._at[1]}\r\nContent-Length: {len(body)}\r\n\r\n"
                writer.write(f"POST /edges/{self._name} HTTP/1.1\r\n{host}".encode() + body)
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
                told = await reader.readexactly(int(head.lower().split(b"content-length: ")[1].split()[0]))
                if not head.startswith(b"HTTP/1.1 200"):
                    raise ValueError(head[:60])
                self._take(json.loads(told))
                self._count["reports"] += 1
                self._count["asked"] += len(host) + len(body) + 30
                self._count["told"] += len(head) + len(told)
                await asyncio.sleep(self._every / 1000.0 * (1.0 + JITTER * (2.0 * random.random() - 1.0)))
        finally:
            writer.close()

    def _raw(self, before: int | None, now: float) -> dict[str, Any]:
        self._seq += 1
        raw: dict[str, Any] = {"seq": self._seq}
        if before is not None and self._held and self._seq % 40:
            raw["after"] = before
        else:
            raw |= {"life": self._life, "of": self._of, "held": self._held, "prepared": self._held}
            raw |= {"acting": self._held, "overrides": [], "digest": "0-00000000", "told": 0}
            raw |= {"list_index": 0, "list_age_ms": 4000, "group": f"g{len(self._name) % 7}", "region": "a"}
        if now - self._row_s > ROW_EVERY:
            self._row_s = now
            raw["measures"] = {"delays": [ROW | {"window": self._seq}]}
        return raw

    def _take(self, told: dict[str, Any]) -> None:
        self._of = told.get("life", self._of)
        if told["edition"] != self._held:
            self._held = told["edition"]
        self._every = told.get("every_ms", 750.0)
        self._count["permitted"] += told["permission_ms"] > 0

    async def _watch(self) -> None:
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self._at, local_addr=self._local)
                writer.write(f"GET /rules?watch=1&from=0 HTTP/1.1\r\nHost: {self._at[0]}\r\n\r\n".encode())
                while data := await reader.read(65_536):
                    self._count["watched"] += len(data)
            except OSError:
                self._count["watches failed"] += 1
            await asyncio.sleep(1.0)


async def main(first: int, number: int, address: str, local: str, seconds: float) -> Counter[str]:
    """So many sidecars, for so long."""
    host, port = address.rsplit(":", 1)
    count: Counter[str] = Counter()
    until = asyncio.get_running_loop().time() + seconds
    some = [Reporter(f"n{first + k}", host, int(port), local, count) for k in range(number)]
    await asyncio.gather(*(each.run(until) for each in some))
    return count


if __name__ == "__main__":
    one, many, where, source, span = sys.argv[1:]
    print(json.dumps(asyncio.run(main(int(one), int(many), where, source, float(span)))), flush=True)
