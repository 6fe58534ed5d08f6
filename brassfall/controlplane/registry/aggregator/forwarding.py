"""Forwarding of calls that an aggregator does not answer itself, with a limit on their number."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from aiohttp import web

from brassfall.controlplane.registry.aggregator.addresses import Addresses
from brassfall.controlplane.registry.aggregator.upstream import Answer, Upstream, UpstreamError
from brassfall.controlplane.registry.front import HttpServer
from brassfall.errors import UnavailableError

REQUEST_HEADERS = ("If-Match", "X-Request-Id", "X-Lease", "X-Force", "Content-Type")
RESPONSE_HEADERS = ("Content-Type", "Retry-After")
RETRY_S = 1.0  # `Retry-After` of a call that was not forwarded, or got no answer, in s
NOT_FORWARDED, NO_ANSWER = "not passed up", "no answer from the list service"


class NotForwardedError(UnavailableError):
    """A call was not forwarded, or got no answer in time; in that case it may have been carried out."""

    action = (
        "Send it again after Retry-After, with the same X-Request-Id, which makes a repeat harmless; "
        "or send it to the list service itself."
    )


@dataclass(slots=True)
class Forwarding:
    """Forwards calls to the list service.

    At most `max_concurrent` calls are under way, and `max_waiting` more wait; further calls are rejected.
    """

    upstream: Upstream
    http_server: HttpServer
    max_concurrent: int
    max_waiting: int
    forwarded: int = 0
    rejected: int = 0
    _addresses: Addresses = field(init=False)
    _capacity: asyncio.Semaphore = field(init=False)
    _in_flight: int = 0  # number of calls that are under way or wait

    def __post_init__(self) -> None:
        self._addresses = self.upstream.new_addresses()
        self._capacity = asyncio.Semaphore(self.max_concurrent)

    async def forward(self, request: web.Request) -> web.Response:
        """Forward a call; return the answer of the list service, or raise `NotForwardedError` without one.

        Cancelling releases the call's place; the list service may still carry the call out.
        """
        if self._in_flight >= self.max_concurrent + self.max_waiting:
            self.rejected += 1
            why = "too many calls wait for the list service"
            raise NotForwardedError(NOT_FORWARDED, why, retry_s=RETRY_S)
        self._in_flight += 1
        try:
            body = await self.http_server.body(request)
            async with self._capacity:
                answer = await self._call(request, body)
        finally:
            self._in_flight -= 1
        self.forwarded += 1
        headers = {name: answer.headers[name] for name in RESPONSE_HEADERS if name in answer.headers}
        return web.Response(status=answer.status, body=answer.body, headers=headers)

    async def _call(self, request: web.Request, body: bytes) -> Answer:
        headers = {name: request.headers[name] for name in REQUEST_HEADERS if name in request.headers}
        try:
            answer = await self.upstream.call(
                self._addresses.current, request.method, request.raw_path, body or None, **headers
            )
        except UpstreamError as error:
            self.rejected += 1
            self._addresses.record_failure()
            raise NotForwardedError(NO_ANSWER, error.summary, retry_s=RETRY_S) from error
        self._addresses.record_success()
        return answer
