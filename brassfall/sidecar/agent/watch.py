"""The watch on configuration revisions: one long answer, opened again whenever it ends."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Mapping
from typing import Any

from brassfall.sidecar import log
from brassfall.sidecar.agent.lists import Sources
from brassfall.sidecar.agent.reporter import REVISIONS_PATH
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.channel import SILENT_S, Channel


class RevisionWatch:
    """Passes each line of the watch on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        newest_revision: Callable[[], int],
        receive: Callable[[Mapping[str, Any]], None],
    ) -> None:
        """Watch from `newest_revision` on; `receive` raises `ValueError` on a malformed line."""
        self._loop = loop
        self._rng = rng
        self._newest_revision = newest_revision
        self._receive = receive
        self._failing = False

    async def run(self, reports: Sources) -> None:
        """Watch until cancelled, from the address that reports go to now; the connection is closed then."""
        sources = Sources((reports.current, *reports.others), self._rng)
        while True:
            retry_after = 0.0
            try:
                channel = await self._watch(sources.current)
                retry_after = channel.retry_after
                if channel.accepted:
                    sources.worked()
                    self._failing = False
            except Exception as error:  # noqa: BLE001 - the watch has to be opened again whatever failed
                self._note_failure(error)
            await asyncio.sleep(sources.failed(retry_after))

    def _note_failure(self, error: Exception) -> None:
        if not self._failing:
            log.warning(
                "configuration: the watch on revisions fails",
                reason=repr(error),
                action="check that a list service runs at that address; reports deliver revisions meanwhile",
            )
        self._failing = True

    async def _watch(self, address: Address) -> Channel:
        """Watch until the connection ends or falls silent; return its channel."""
        host, port = address
        query = f"watch=1&from={self._newest_revision()}"
        request = f"GET {REVISIONS_PATH}?{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        called = self._loop.time()
        async with asyncio.timeout(SILENT_S):
            _, channel = await self._loop.create_connection(
                lambda: Channel(request, self._line, called), host, port
            )
        try:
            await channel.wait_for_end()
        finally:
            channel.close()
        return channel

    def _line(self, line: bytes) -> None:
        self._receive(json.loads(line))
