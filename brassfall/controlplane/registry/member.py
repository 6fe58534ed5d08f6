"""An HTTP client that keeps a server on the endpoint list: it registers, renews and deregisters it."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Sequence
from typing import Any

import aiohttp

from brassfall.controlplane.registry.client import CONNECTION_ERRORS, error_reason, retry_after_s
from brassfall.controlplane.registry.membership import RegistrationCall, RegistrationState, ServerRegistration
from brassfall.logs import logger

log = logger("member")


class RegistrationClient:
    """Keeps one server registered until it is closed or the registration is finished.

    `addresses` are HOST:PORT of list services and aggregators, `entry` is the server's entry on the list,
    and `ttl_ms` is the length of its lease.
    """

    def __init__(self, addresses: Sequence[str], entry: dict[str, Any], ttl_ms: int = 6000) -> None:
        self._addresses = addresses
        self.registration = ServerRegistration(entry, ttl_ms, len(addresses))
        self._rng = random.Random()
        self._wake = asyncio.Event()
        self._changed = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start to register the server, and then to renew its lease; call it within the running loop."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def wait_until_confirmed(self) -> RegistrationState:
        """Wait until the service has confirmed the requested status; return the registration's state."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.registration.is_confirmed)
        return self.registration.state

    async def wait_until_finished(self) -> str:
        """Wait until the server has left, was replaced or was refused; return the reason."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.registration.is_finished)
        return self.registration.reason or self.registration.state.value

    async def request_status(self, status: str, limit_s: float) -> bool:
        """Request the status `leaving` or `left`; return whether the service confirms it within the limit."""
        self.registration.request_status(_now_ms(), status)
        self._wake.set()
        try:
            async with asyncio.timeout(limit_s):
                await self.wait_until_confirmed()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Stop renewing, so that the lease expires; a call under way is cancelled."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait({self._task})

    async def _run(self) -> None:
        limit = aiohttp.ClientTimeout(total=self.registration.call_timeout_ms / 1000.0)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while not self.registration.is_finished:
                await self._sleep()
                if self.registration.due_ms > _now_ms():
                    continue
                before = self.registration.state
                await self._call(session, self.registration.next_call(_now_ms()))
                if self.registration.state is not before:
                    log.info(
                        "registration state changed",
                        place=self.registration.state.value,
                        reason=self.registration.reason,
                    )
                async with self._changed:
                    self._changed.notify_all()

    async def _sleep(self) -> None:
        self._wake.clear()
        left_s = (self.registration.due_ms - _now_ms()) / 1000.0
        if left_s > 0.0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._wake.wait()

    async def _call(self, session: aiohttp.ClientSession, call: RegistrationCall) -> None:
        chance = self._rng.random()
        url = f"http://{self._addresses[call.address_index]}{call.path}"
        try:
            async with session.request(call.method, url, json=call.body) as answer:
                body = await answer.read()
                retry_s = retry_after_s(answer.headers.get("Retry-After"))
                reason = "" if answer.status == 200 else error_reason(body)
                self.registration.apply_result(_now_ms(), answer.status, chance, retry_s, reason)
        except CONNECTION_ERRORS:
            self.registration.apply_result(_now_ms(), 0, chance)


def _now_ms() -> float:
    return time.monotonic() * 1000.0
