"""Forwarding of the calls that an aggregator does not answer itself, with a limit of their number."""

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
NOT_FORWARDED, NO_ANSWER = "not passed up", "no answer from the list service"


class NotForwardedError(UnavailableError):
    """A call that was not forwarded, or had no answer in time; it may have been carried out."""

    action = (
        "Send it again after Retry-After, with the same X-Request-Id, which makes a repeat harmless; "
        "or send it to the list service itself."
    )


@dataclass(slots=True)
class Forwarding:
    """Forwards calls: at most `at_once` are under way, and `waiting` more wait for them."""

    upstream: Upstream
    front: Front
    at_once: int
    waiting: int
    forwarded: int = 0
    rejected: int = 0
    _addresses: Addresses = field(init=False)
    _capacity: asyncio.Semaphore = field(init=False)
    _in_flight: int = 0  # also those that wait

    def __post_init__(self) -> None:
        self._addresses = self.upstream.spread()
        self._capacity = asyncio.Semaphore(self.at_once)

    async def forward(self, request: web.Request) -> web.Response:
        """Return the answer of the list service; raise `NotForwardedError` if there is none.

        Cancelling releases the call's place; the list service may still carry it out.
        """
        if self._in_flight >= self.at_once + self.waiting:
            self.rejected += 1
            why = "too many calls wait for the list service"
            raise NotForwardedError(NOT_FORWARDED, why, retry_s=RETRY_S)
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
            raise NotForwardedError(NO_ANSWER, error.summary, retry_s=RETRY_S) from error
        self._addresses.worked()
        return made
