"""Operators of a play: they publish, and an observer of the service keeps what each revision says.

The content of a revision is taken from whoever published it, or, where that answer was lost, from the
service; who acted on it when is never asked here.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any

import aiohttp

from brassfall.lab.revision_chaos.judge import Pin
from brassfall.lab.revision_chaos.spec import Step

PUT_S = 2.0
POLL_S = 0.1
TENANT = "t1"  # which revisions pin to the first region, unless they hold that
GROUPS = ("g0", "g1", "g2", "g3")  # of clients, by their sidecars
EXTENDED_S = 1.5
RARE = "rare"  # a class that all files but one have


class Publisher:
    """All publishers, and the observer."""

    def __init__(self, regions: list[str]) -> None:
        self._regions = regions
        self._marks = itertools.count(1)
        self._held_regions: list[str] = []
        self.held_regions: dict[int, tuple[str, ...]] = {}  # regions held, by revision
        self.homes: dict[int, dict[str, str]] = {}  # of tenants, by revision
        self.pins: list[Pin] = []
        self.outcomes: dict[str, int] = {}  # of publishing
        self.states: dict[int, str] = {}  # of revisions, as last reported
        self.sent: dict[int, float] = {}  # when they were published
        self._newest = 0
        self._session: aiohttp.ClientSession

    async def open(self) -> None:
        """Begin."""
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=PUT_S))

    async def close(self) -> None:
        """End."""
        await self._session.close()

    @property
    def preparing(self) -> bool:
        """Whether a revision was published that is not decided, as far as is known here."""
        return self.states.get(self._newest) == "prepared"

    async def publish(self, service: str, step: Step) -> None:
        """Carry out one step of the schedule."""
        held_regions = [self._regions[int(step.by)]] if step.by >= 0.0 else []
        match step.do:
            case "hold":
                self._held_regions = held_regions
                await self._put(service)
            case "free":
                await self._put(service)
            case "objected":
                await self._put(service, RARE)
                await self._put(service)
            case "two":
                other = [self._regions[(int(step.by) + 1) % len(self._regions)]]
                self._held_regions = held_regions
                await asyncio.gather(self._put(service), self._put(service, held_regions=other))
            case "ten":
                for number in range(10):
                    self._held_regions = [self._regions[number % len(self._regions)]] if number % 2 else []
                    await self._put(service)
                    await asyncio.sleep(0.08)

            case "pin":
                await self._pin(service, self._regions[int(step.by)], step.lasts)

    async def _pin(self, service: str, region: str, lasts: float) -> None:
        """Pin the tenant by an override; every other one is extended shortly before its end."""
        mark = next(self._marks)
        await self._override(service, mark, region, lasts)
        if mark % 2:
            await asyncio.sleep(0.7 * lasts)
            await self._override(service, mark, region, 0.3 * lasts + EXTENDED_S)

    async def _override(self, service: str, mark: int, region: str, lasts: float) -> None:
        body = {
            "action": {"pin": {"region": region}},
            "match": {"tenant": TENANT},
            "by": "play",
            "why": "a schedule says so",
            "until_ms": round((time.time() + lasts) * 1000.0),
        }
        # Whether it is answered or not, it may have been taken.
        self.pins.append(Pin(TENANT, region, now(), now() + lasts))
        outcome = "unanswered"
        try:
            async with self._session.put(f"http://{service}/overrides/o{mark}", json=body) as answer:
                await answer.read()
                outcome = str(answer.status)
        except (aiohttp.ClientError, OSError, TimeoutError):
            pass
        self.outcomes[f"pin {outcome}"] = self.outcomes.get(f"pin {outcome}", 0) + 1

    async def _put(self, service: str, name: str = "look", held_regions: list[str] | None = None) -> None:
        mark = next(self._marks)
        held_regions = self._held_regions if held_regions is None else held_regions
        row = {"Name": name, "Objective": 500.0 + mark % 400}
        home = self._regions[0]
        tenants = {} if home in held_regions else {TENANT: home}
        # Evenly over all regions, or the near one would take nearly everything, and hide who holds what.
        shares = dict.fromkeys(GROUPS, dict.fromkeys(self._regions, 1.0))
        settings: dict[str, Any] = {
            "regions": {"held": held_regions},
            "Profiles": [row],
            "tenants": tenants,
            "shares": shares,
        }
        headers = {"X-Request-Id": f"play-{mark}"}
        outcome, sent = "unanswered", now()
        try:
            async with self._session.put(f"http://{service}/rules", json=settings, headers=headers) as answer:
                published = await answer.json(content_type=None)
                outcome = str(answer.status)
                if answer.status == 200:
                    self.sent.setdefault(int(published["edition"]), sent)
                    self._note(int(published["edition"]), settings, "prepared")
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            pass
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def _note(self, number: int, settings: dict[str, Any], state: str) -> None:
        self.held_regions.setdefault(number, tuple(settings.get("regions", {}).get("held", ())))
        self.homes.setdefault(number, dict(settings.get("tenants", {})))
        if self.states.get(number) not in ("committed", "halted"):
            self.states[number] = state
        self._newest = max(self._newest, number)

    async def observe(self, service: str) -> None:
        """Ask a service for its state, again and again, until cancelled."""
        while True:
            try:
                async with self._session.get(f"http://{service}/rules") as answer:
                    published = await answer.json(content_type=None)
                    for row in (published, published.get("committed")):
                        if isinstance(row, dict) and "edition" in row:
                            self._note(row["edition"], row.get("settings", {}), row.get("state", "committed"))
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(POLL_S)


def now() -> float:
    """Seconds of the clock that all processes of the machine share."""
    return time.monotonic()
