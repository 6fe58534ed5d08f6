"""Calls that an aggregator does not answer itself: passed up to the deciding service, a bounded number."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from aiohttp import web

from brassfall.controlplane.registry.aggregator.addresses import Addresses
from brassfall.controlplane.registry.aggregator.upstream import Answer, Upstream, UpstreamError
from brassfall.controlplane.registry.front import Front
from brassfall.errors import Unavailable

PASSED_UP = ("If-Match", "X-Request-Id", "X-Lease", "X-Force", "Content-Type")
PASSED_DOWN = ("Content-Type", "Retry-After")
RETRY_S = 1.0


class NotPassed(Unavailable):
    """A call that was not passed up, or got no answer in time; it may have been carried out."""

    action = (
        "Send it again after the time told, with the same X-Request-Id, which makes a repeat harmless; "
        "or send it to the list service itself."
    )


@dataclass(slots=True)
class Passing:
    """Passes calls up. `at_once` are under way, `waiting` more wait for them."""

    upstream: Upstream
    front: Front
    at_once: int
    waiting: int
    rng: random.Random
    passed: int = 0
    refused: int = 0
    _addresses: Addresses = field(init=False)
    _room: asyncio.Semaphore = field(init=False)
    _known: int = 0  # calls under way, and those that wait

    def __post_init__(self) -> None:
        self._addresses = self.upstream.spread()
        self._room = asyncio.Semaphore(self.at_once)

    async def pass_up(self, request: web.Request) -> web.Response:
        """The answer of the deciding service; `NotPassed` where there is none."""
        if self._known >= self.at_once + self.waiting:
            self.refused += 1
            raise NotPassed("not passed up", "too many calls wait for the list service", retry_s=RETRY_S)
        self._known += 1
        try:
            body = await self.front.body(request)
            async with self._room:
                made = await self._call(request, body)
        finally:
            self._known -= 1
        self.passed += 1
        headers = {name: made.headers[name] for name in PASSED_DOWN if name in made.headers}
        return web.Response(status=made.status, body=made.body, headers=headers)

    async def _call(self, request: web.Request, body: bytes) -> Answer:
        headers = {name: request.headers[name] for name in PASSED_UP if name in request.headers}
        try:
            made = await self.upstream.call(
                self._addresses.current, request.method, request.raw_path, body or None, **headers
            )
        except UpstreamError as error:
            self.refused += 1
            self._addresses.failed()
            raise NotPassed("no answer from the list service", error.told, retry_s=RETRY_S) from error
        self._addresses.worked()
        return made
