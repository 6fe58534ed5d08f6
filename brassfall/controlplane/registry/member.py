"""A server's membership: it registers, renews, and says when it leaves, over HTTP."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Sequence
from typing import Any

import aiohttp

from brassfall.controlplane.registry.client import UNANSWERED, reason_of, retry_after_s
from brassfall.controlplane.registry.membership import RegistrationCall, RegistrationState, ServerRegistration
from brassfall.logs import logger

log = logger("member")


class RegistrationClient:
    """Keeps one server registered for as long as it runs.

    `addresses` are HOST:PORT of list services and aggregators, `entry` is the server's as the list has it,
    `ttl_ms` the length of its lease.
    """

    def __init__(self, addresses: Sequence[str], entry: dict[str, Any], ttl_ms: int = 6000) -> None:
        self._addresses = addresses
        self.registration = ServerRegistration(entry, ttl_ms, len(addresses))
        self._rng = random.Random()
        self._wake = asyncio.Event()
        self._changed = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Register, and renew from now on."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def wait_until_confirmed(self) -> RegistrationState:
        """Wait until the service knows all that was wished; the place in the list then."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.registration.is_confirmed)
        return self.registration.state

    async def wait_until_finished(self) -> str:
        """Wait until another process has the name, or the service refuses; why."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.registration.is_finished)
        return self.registration.reason or self.registration.state.value

    async def request_status(self, status: str, limit_s: float) -> bool:
        """Be `leaving`, or have `left`; whether the service knows within the limit."""
        self.registration.request_status(_now_ms(), status)
        self._wake.set()
        try:
            async with asyncio.timeout(limit_s):
                await self.wait_until_confirmed()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Renew no more: the lease runs out. A call that is under way is cancelled."""
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
                    log.info("place", place=self.registration.state.value, reason=self.registration.reason)
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
                reason = "" if answer.status == 200 else reason_of(body)
                self.registration.apply_result(_now_ms(), answer.status, chance, retry_s, reason)
        except UNANSWERED:
            self.registration.apply_result(_now_ms(), 0, chance)


def _now_ms() -> float:
    return time.monotonic() * 1000.0
