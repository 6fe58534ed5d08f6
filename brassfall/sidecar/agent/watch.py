"""The watch on configuration revisions: one long-lived answer, which is requested again when it ends."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Mapping
from typing import Any

from brassfall.sidecar import log
from brassfall.sidecar.agent.lists import ServiceAddresses
from brassfall.sidecar.agent.reporter import REVISIONS_PATH
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.channel import SILENCE_LIMIT_S, Channel


class RevisionWatch:
    """Keeps a watch on configuration revisions open, and passes on each line of it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        newest_revision: Callable[[], int],
        receive: Callable[[Mapping[str, Any]], None],
    ) -> None:
        """Create a watch on the revisions that are newer than `newest_revision`.

        `receive` is called with each line, parsed from JSON, and raises `ValueError` if it is malformed.
        """
        self._loop = loop
        self._rng = rng
        self._newest_revision = newest_revision
        self._receive = receive
        self._failing = False

    async def run(self, report_addresses: ServiceAddresses) -> None:
        """Watch until cancelled; cancelling closes the connection.

        The watch uses the same addresses as the reports. It starts at a random one of them, and moves to the
        next address when it fails itself.
        """
        addresses = ServiceAddresses((report_addresses.current, *report_addresses.others), self._rng)
        while True:
            retry_after = 0.0
            try:
                channel = await self._watch(addresses.current)
                retry_after = channel.retry_after
                if channel.accepted:
                    addresses.record_success()
                    self._failing = False
            except Exception as error:  # noqa: BLE001 - the watch must be opened again after any fault
                self._record_failure(error)
            await asyncio.sleep(addresses.record_failure(retry_after))

    def _record_failure(self, error: Exception) -> None:
        if not self._failing:
            log.warning(
                "configuration: the watch on revisions fails",
                reason=repr(error),
                action="check that a list service runs at its address; answers to reports still announce new "
                "revisions, which are then fetched",
            )
        self._failing = True

    async def _watch(self, address: Address) -> Channel:
        """Watch at an address until the connection ends or falls silent; return its channel."""
        host, port = address
        query = f"watch=1&from={self._newest_revision()}"
        request = f"GET {REVISIONS_PATH}?{query} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode()
        called_at = self._loop.time()
        async with asyncio.timeout(SILENCE_LIMIT_S):
            _, channel = await self._loop.create_connection(
                lambda: Channel(request, self._receive_line, called_at), host, port
            )
        try:
            await channel.wait_for_end()
        finally:
            channel.close()
        return channel

    def _receive_line(self, line: bytes) -> None:
        """Parse a line of the watch and pass it on; raise `ValueError` if it is malformed."""
        self._receive(json.loads(line))
