"""Calls that an aggregator does not answer itself: they are forwarded, a bounded number at once."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from brassfall.controlplane.registry.aggregator.addresses import Addresses
from brassfall.controlplane.registry.aggregator.upstream import Answer, Upstream, UpstreamError
from brassfall.controlplane.registry.front import Front
from brassfall.errors import UnavailableError

REQUEST_HEADERS = ("If-Match", "X-Request-Id", "X-Lease", "X-Force", "Content-Type")
RESPONSE_HEADERS = ("Content-Type", "Retry-After")
RETRY_S = 1.0


class NotForwardedError(UnavailableError):
    """A call that was not forwarded, or got no answer in time; it may have been carried out."""

    action = (
        "Send it again after the time told, with the same X-Request-Id, which makes a repeat harmless; "
        "or send it to the list service itself."
    )


@dataclass(slots=True)
class Forwarding:
    """Forwards calls. `at_once` are under way, `waiting` more wait for them."""

    upstream: Upstream
    front: Front
    at_once: int
    waiting: int
    forwarded: int = 0
    rejected: int = 0
    _addresses: Addresses = field(init=False)
    _capacity: asyncio.Semaphore = field(init=False)
    _in_flight: int = 0  # calls under way, and those that wait

    def __post_init__(self) -> None:
        self._addresses = self.upstream.spread()
        self._capacity = asyncio.Semaphore(self.at_once)

    async def forward(self, request: web.Request) -> web.Response:
        """The answer of the list service; `NotForwardedError` where there is none.

        Cancelling gives the call's place back; the list service may still carry it out."""
        if self._in_flight >= self.at_once + self.waiting:
            self.rejected += 1
            raise NotForwardedError(
                "not passed up", "too many calls wait for the list service", retry_s=RETRY_S
            )
        self._in_flight += 1
        try:
            body = await self.front.body(request)
            async with self._capacity:
                made = await self._call(request, body)
        finally:
            self._in_flight -= 1
        self.forwarded += 1
        headers = {name: made.headers[name] for name in RESPONSE_HEADERS if name in made.headers}
        return web.Response(status=made.status, body=made.body, headers=headers)

    async def _call(self, request: web.Request, body: bytes) -> Answer:
        headers = {name: request.headers[name] for name in REQUEST_HEADERS if name in request.headers}
        try:
            made = await self.upstream.call(
                self._addresses.current, request.method, request.raw_path, body or None, **headers
            )
        except UpstreamError as error:
            self.rejected += 1
            self._addresses.failed()
            raise NotForwardedError(
                "no answer from the list service", error.summary, retry_s=RETRY_S
            ) from error
        self._addresses.worked()
        return made
