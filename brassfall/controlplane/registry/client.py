"""The callers' side of the list service: a server's membership, and one-off calls."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any, TypeVar

import aiohttp
import msgspec
from aiohttp.http import HttpProcessingError

from brassfall.controlplane.registry.membership import Call, Membership, Place
from brassfall.errors import Unreachable
from brassfall.logs import logger

CALL_S = 2.0
# The last two: an address that is no URL, and a line or a head without end.
UNANSWERED = (aiohttp.ClientError, TimeoutError, OSError, ValueError, HttpProcessingError)
UNREADABLE = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
ANOTHER = "Another program seems to listen there: name the address of a list service."
SILENT_S = 4.5  # a watch brings an empty line every 2 s

log = logger("member")
Kind = TypeVar("Kind")


class CallError(Unreachable):
    """A call had no good answer; its text is one line."""

    action = "See that a list service runs at that address and is reachable from here; its log says more."


class CallRefused(CallError):
    """The service refused a call; the text is the service's own, and says what can be done."""

    action = "See the log of the list service for what it refused."


class Member:
    """Keeps one server registered for as long as it runs."""

    def __init__(self, addresses: Sequence[str], entry: dict[str, Any], ttl_ms: int = 6000) -> None:
        self._addresses = addresses
        self.state = Membership(entry, ttl_ms, len(addresses))
        self._rng = random.Random()
        self._wake = asyncio.Event()
        self._changed = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Register, and renew from now on."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def settled(self) -> Place:
        """Wait until the service has been told all that was wished; how it stands then."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.state.settled)
        return self.state.place

    async def over(self) -> str:
        """Wait until another process has the name, or the service refuses; why."""
        async with self._changed:
            await self._changed.wait_for(lambda: self.state.over)
        return self.state.reason or self.state.place.value

    async def wish(self, status: str, limit_s: float) -> bool:
        """Be `leaving`, or have `left`; whether the service knows within the limit."""
        self.state.wish(_now(), status)
        self._wake.set()
        try:
            async with asyncio.timeout(limit_s):
                await self.settled()
        except TimeoutError:
            return False
        return True

    def close(self) -> None:
        """Renew no more: the lease runs out."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        limit = aiohttp.ClientTimeout(total=self.state.patience_ms / 1000.0)
        async with aiohttp.ClientSession(timeout=limit) as session:
            while not self.state.over:
                await self._sleep()
                if self.state.due > _now():
                    continue
                before = self.state.place
                await self._call(session, self.state.call(_now()))
                if self.state.place is not before:
                    log.info("place", place=self.state.place.value, reason=self.state.reason)
                async with self._changed:
                    self._changed.notify_all()

    async def _sleep(self) -> None:
        self._wake.clear()
        left = (self.state.due - _now()) / 1000.0
        if left > 0.0:
            try:
                async with asyncio.timeout(left):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def _call(self, session: aiohttp.ClientSession, call: Call) -> None:
        chance = self._rng.random()
        url = f"http://{self._addresses[call.address]}{call.path}"
        try:
            async with session.request(call.method, url, json=call.body) as answer:
                body = await answer.read()
                retry = seconds(answer.headers.get("Retry-After"))
                reason = "" if answer.status == 200 else _reason(body)
                self.state.ended(_now(), answer.status, chance, retry, reason)
        except UNANSWERED:
            self.state.ended(_now(), 0, chance)


async def call(
    address: str, method: str, path: str, body: Any = None, headers: Mapping[str, str] | None = None
) -> Any:
    """One call and its JSON; `CallError` tells what the service said, or that there is none."""
    try:
        async with (
            aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=CALL_S)) as session,
            session.request(method, f"http://{address}{path}", json=body, headers=headers) as answer,
        ):
            data = await answer.read()
    except UNANSWERED as error:
        raise CallError(address, str(error)[:200] or "no answer") from error
    if answer.status != 200:
        raise _refused(address, answer.status, data)
    try:
        return msgspec.json.decode(data)
    except UNREADABLE as error:
        raise CallError(address, "what came is no JSON", ANOTHER) from error


async def watch(address: str, path: str, index: int = 0) -> AsyncIterator[bytes]:
    """The lines of one watch, the empty ones included, until it ends; `CallError` if there is none."""
    limit = aiohttp.ClientTimeout(total=None, connect=CALL_S, sock_read=SILENT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=limit, read_bufsize=2**22) as session,
            session.get(f"http://{address}{path}?watch=1&from={index}") as answer,
        ):
            if answer.status != 200:
                raise _refused(address, answer.status, await answer.read())
            async for line in answer.content:
                yield line.strip()
    except UNANSWERED as error:
        raise CallError(address, str(error)[:200] or "the watch fell silent") from error


async def read_bounded(answer: aiohttp.ClientResponse, most: int) -> bytes:
    """The whole body of an answer; `ValueError`, and the end of its connection, where it is longer."""
    body = bytearray()
    async for part in answer.content.iter_any():
        body += part
        if len(body) > most:
            answer.close()
            raise ValueError(f"an answer of more than {most} bytes")
    return bytes(body)


def read(address: str, kind: type[Kind], raw: Any) -> Kind:
    """An answer, or a line of a watch, as its type; `CallError` where it is none."""
    try:
        return msgspec.json.decode(raw, type=kind) if isinstance(raw, bytes) else msgspec.convert(raw, kind)
    except UNREADABLE as error:
        raise CallError(address, f"what came is not what was asked for: {error}", ANOTHER) from error


def _now() -> float:
    return time.monotonic() * 1000.0


def seconds(text: str | None) -> float:
    """What `Retry-After` says, up to a minute; 0 where it says nothing usable."""
    try:
        return min(max(float(text or 0.0), 0.0), 60.0)
    except ValueError:
        return 0.0


def _refused(address: str, status: int, body: bytes) -> CallRefused:
    text, _, action = _reason(body).partition(". ")
    return CallRefused(address, f"{status}, {text}", action)


def _reason(body: bytes) -> str:
    try:
        said = msgspec.json.decode(body)
    except UNREADABLE:
        said = None
    return (
        str(said["reason"]) if isinstance(said, dict) and "reason" in said else body[:200].decode("latin-1")
    )
