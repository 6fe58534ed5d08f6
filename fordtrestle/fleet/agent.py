"""This sidecar's part in the agreement: one small report now and then, one watch, and what to act on."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import os
import random
import traceback
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from fordtrestle.config import Address, Agreement
from fordtrestle.discovery import SILENT_S, Channel
from fordtrestle.driver import log
from fordtrestle.fleet.calls import Caller, CallFailed
from fordtrestle.fleet.holder import Edition, Holder, Stance
from fordtrestle.fleet.lists import Sources

EVERY_MS, EVERY_MOST_MS = 750.0, 10_000.0
SPREAD_MS, SPREAD_MOST_MS = 100.0, 10_000.0  # a report that an edition calls for comes within this
JITTER = 1.0 / 3.0  # of that: from 0.5 to 1 s
CALL_S = 1.0  # a service that takes longer for an answer is of no use: a permission is counted from asking
LEAVE_S = 0.3
FAULT_S = 1.0  # after a fault in acting on an edition, until it is tried again
AGAIN_S = 0.1  # after a failed report, where no other wait is told
PATH = "/rules"
# What a report leaves out where it is as in the one before on the same connection.
KEPT = {"life", "of", "held", "prepared", "acting", "list_index", "list_age_ms"}
KEPT |= {"overrides", "digest", "told", "group", "region"}

Measures = Callable[[], dict[str, Any]]
Answered = Callable[[float, float, Mapping[str, Any]], None]


class Agent:
    """Keeps the holder fed, and calls `act` whenever what to act on has changed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        told: Agreement,
        addresses: tuple[Address, ...],
        check: Callable[[Edition], str],
        act: Callable[[Stance, float], float],
        seed: int,
    ) -> None:
        self._loop = loop
        self._name = name
        self._told = told
        self._act = act
        self._rng = random.Random(seed)
        self._sources = Sources(addresses, self._rng)
        self._caller = Caller(loop)
        self._every, self._spread = EVERY_MS, SPREAD_MS
        self._called = asyncio.Event()  # an edition calls for a report before the next is due
        self._tasks: list[asyncio.Task[None]] = []
        self._acted: int | str | None = None
        self._failing = ""
        self._before: dict[str, Any] = {}  # the report that was answered last
        self.holder = Holder(os.urandom(8).hex(), check)
        self.measures: list[Measures] = []  # what else rides on the reports
        self.answered: list[Answered] = []  # and on the answers: asked at, heard at, what it tells
        self.good_until = -math.inf  # until then, what was acted on last is what to act on
        self.overrides: list[str] = []  # acted on now, by id
        self.stamp = b""  # for each request to a server: which edition decided where it goes

    def start(self) -> None:
        """Act on safe rules, and ask for more."""
        self.refresh(self._loop.time())
        work = (self._report(), self._watch())
        self._tasks = [self._loop.create_task(part) for part in work]

    async def leave(self) -> None:
        """Say that this process acts on nothing more, and end."""
        tasks = self._tasks
        self.close()
        # A call that is cut short closes the connection, and would take this one along.
        await asyncio.gather(*tasks, return_exceptions=True)
        told: dict[str, Any] = self.holder.report(self._loop.time()) | {"leaving": True}
        try:
            await self._caller.call(self._sources.current, "POST", f"/edges/{self._name}", LEAVE_S, told)
        except CallFailed as error:
            log(f"agreement: the end was not told: {error}")
        self._caller.close()

    def close(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []

    # --- what to act on ---------------------------------------------------------------

    def at(self, now: float) -> bytes:
        """The stamp for what is decided at this moment, in seconds of the loop.

        Asked before each decision, so it costs one comparison while nothing has run out."""
        if now >= self.good_until:
            self.refresh(now)
        return self.stamp

    def refresh(self, now: float) -> None:
        """Act on what holds now; `act` does that, and says until when it will hold."""
        stance = self.holder.stance(now)
        self.good_until = math.inf if stance.safe else now + self.holder.left_ms(now) / 1000.0
        if self._acted != stance.acting:
            log(f"agreement: acting on {stance.acting}")
            self._acted = stance.acting
            self.stamp = f"X-Edition: {stance.acting}\r\n".encode()
        try:
            until = self._act(stance, now)
        except Exception:  # asked before each decision: a fault here would fail every request
            log(f"agreement: {traceback.format_exc()}what was acted on before stays; report it")
            until = now + FAULT_S
        self.good_until = min(self.good_until, until)

    def renew(self) -> None:
        """What is decided from now on goes by other rules, if under the same edition: what was picked
        before and is not yet written is not to be sent."""
        self.stamp = bytes(bytearray(self.stamp))

    @property
    def state(self) -> str:
        """For operators: one line of JSON."""
        now = self._loop.time()
        self.at(now)
        stance = self.holder.stance(now)
        told: dict[str, Any] = {
            "held": self.holder.held,
            "acting": stance.acting,
            "permission_ms": round(self.holder.left_ms(now)),
            "overrides": self.overrides,
            "at": "{}:{}".format(*self._sources.current),
            "failing": self._failing,
        }
        return json.dumps(told)

    # --- reports ------------------------------------------------------------------------

    async def _report(self) -> None:
        while True:
            wait = self._every / 1000.0 * (1.0 + JITTER * (2.0 * self._rng.random() - 1.0))
            pause: Callable[[float], Awaitable[None]] = asyncio.sleep
            try:
                await self._ask()
                self._sources.worked()
                self._fails("")
                pause = self._pause
            except CallFailed as error:
                self._fails(str(error))
                again = self._sources.failed(error.retry_after)
                wait = again if error.retry_after else min(again, AGAIN_S * (1.0 + self._rng.random()))
            except Exception as error:  # without reports, this sidecar would be on safe rules for good
                self._fails(f"an answer that is none: {error!r}")
                wait = min(wait, self._sources.failed())
            await pause(wait)

    async def _pause(self, wait: float) -> None:
        """Wait for the next report. One that an edition calls for comes sooner, and in this one's place:
        the service decides when all have acknowledged, and each acts when its report has asked after that.
        Spread over a time that grows with the fleet, as the service tells, or all would come at once."""
        if not self.holder.urgent:
            self._called.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self._called.wait()
                await asyncio.sleep(self._spread / 1000.0 * self._rng.random())
        self._called.clear()

    async def _ask(self) -> None:
        """One report, and what its answer brings."""
        self.at(self._loop.time())
        body = self.holder.report(self._loop.time())
        seq = int(body["seq"])
        body |= {"group": self._told.group, "region": self._told.region}
        for measure in self.measures:
            body |= measure()
        path = f"/edges/{self._name}"
        news = self._shortened(body) if self._caller.holds(self._sources.current) else body
        told = await self._caller.call(self._sources.current, "POST", path, CALL_S, news)
        asked = self._caller.asked_at
        self._before = body
        if isinstance(told, dict):
            told.setdefault("life", body["of"])  # left out where it is the one that the report named
            most = told.get("permission_ms", 0.0)
            told["permission_ms"] = min(most, self._told.agree_ms) if isinstance(most, int | float) else most
        if not self.holder.answered(asked, seq, told):
            raise CallFailed("an earlier life of the service answers there")
        for take in self.answered:
            take(asked, self._loop.time(), told)
        every = told.get("every_ms", EVERY_MS)
        self._every = min(EVERY_MOST_MS, max(EVERY_MS, float(every)))
        self._spread = min(SPREAD_MOST_MS, max(SPREAD_MS, float(told.get("spread_ms", SPREAD_MS))))
        if told.get("news") and self.holder.lacks(told):
            # Reports come through where the watch may not: then editions come on their way, too.
            news = await self._caller.call(self._sources.current, "GET", PATH, CALL_S)
            self._heard(news)
        self.refresh(self._loop.time())

    def _shortened(self, body: dict[str, Any]) -> dict[str, Any]:
        """The report without what the service knows by the one before."""
        before = self._before
        if not before.keys() & KEPT <= body.keys():
            return body  # what was told is told no more: only a whole report can say that
        changed = {k: v for k, v in body.items() if k not in KEPT or k not in before or before[k] != v}
        return changed | {"after": before["seq"]}

    def _fails(self, why: str) -> None:
        if bool(why) != bool(self._failing):
            said = f"reports fail: {why}; {CallFailed.action}" if why else "reports are answered again"
            log(f"agreement: {said}")
        self._failing = why

    def _heard(self, told: Any) -> None:
        self.holder.news(told)
        if self.holder.urgent:
            self._called.set()

    # --- the watch ------------------------------------------------------------------------

    async def _watch(self) -> None:
        sources, why = Sources((self._sources.current, *self._sources.others), self._rng), ""
        while True:
            try:
                if await self._watch_once(sources.current):
                    sources.worked()
                    why = ""
            except Exception as error:  # one that ends would never be opened again
                if not why:
                    log(f"agreement: the watch on rules fails: {error!r}; reports bring editions meanwhile")
                why = repr(error)
            await asyncio.sleep(sources.failed())

    async def _watch_once(self, address: Address) -> bool:
        """Watch until the connection ends or falls silent; whether anything came."""
        host, port = address
        request = f"GET {PATH}?watch=1&from={self.holder.held} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n"
        called = self._loop.time()
        async with asyncio.timeout(SILENT_S):
            _, channel = await self._loop.create_connection(
                lambda: Channel(request.encode(), self._line, called), host, port
            )
        try:
            while (left := channel.due_at - self._loop.time()) > 0.0:
                await asyncio.wait((channel.broken,), timeout=left)
                if channel.broken.done():
                    break
        finally:
            channel.close()
        return channel.taken

    def _line(self, line: bytes) -> None:
        told: Mapping[str, Any] = json.loads(line)
        self._heard(told)
        # The meet of two editions is acted on before the acknowledgement is told.
        self.refresh(self._loop.time())
