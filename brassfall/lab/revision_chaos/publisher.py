"""Operators of a play: they publish, and an observer of the service keeps what each revision says.

The content of a revision is taken from its publisher, or, where that answer was lost, from the
service; when sidecars act on it is not observed here.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import Any, NamedTuple

import aiohttp

from brassfall.lab.revision_chaos.judge import Pin
from brassfall.lab.revision_chaos.spec import Step

PUT_S = 2.0
POLL_S = 0.1
TENANT = "t1"  # which revisions pin to the first region, unless they hold that
GROUPS = ("g0", "g1", "g2", "g3")  # of clients, by their sidecars
EXTEND_AT = 0.7  # the share of its duration after which an override is extended
EXTENDED_S = 1.5
BURST, BURST_GAP_S = 10, 0.08  # publishes in a row
RARE = "rare"  # a class that all files but one have


class RevisionContent(NamedTuple):
    """What a revision says that a play is judged by."""

    held_regions: tuple[str, ...]
    homes: dict[str, str]  # the region of each sticky tenant

    @classmethod
    def read(cls, settings: dict[str, Any]) -> RevisionContent:
        """Read the settings of a revision as the service sends them."""
        return cls(tuple(settings.get("regions", {}).get("held", ())), dict(settings.get("tenants", {})))


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
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=PUT_S))

    async def close(self) -> None:
        """Close the HTTP session."""
        await self._session.close()

    @property
    def preparing(self) -> bool:
        """True if the newest known revision is prepared and not yet decided."""
        return self.states.get(self._newest) == "prepared"

    async def publish(self, service: str, step: Step) -> None:
        """Carry out one step of the schedule."""
        held_regions = [self._regions[int(step.value)]] if step.value >= 0.0 else []
        match step.action:
            case "hold":
                self._held_regions = held_regions
                await self._put(service)
            case "free":
                await self._put(service)
            case "objected":
                await self._put(service, RARE)
                await self._put(service)
            case "two":
                other = [self._regions[(int(step.value) + 1) % len(self._regions)]]
                self._held_regions = held_regions
                await asyncio.gather(self._put(service), self._put(service, held_regions=other))
            case "ten":
                for number in range(BURST):
                    self._held_regions = [self._regions[number % len(self._regions)]] if number % 2 else []
                    await self._put(service)
                    await asyncio.sleep(BURST_GAP_S)
            case "pin":
                await self._pin(service, self._regions[int(step.value)], step.duration_s)

    async def _pin(self, service: str, region: str, duration_s: float) -> None:
        """Pin the tenant by an override; every other one is extended shortly before its end."""
        mark = next(self._marks)
        await self._override(service, mark, region, duration_s)
        if mark % 2:
            await asyncio.sleep(EXTEND_AT * duration_s)
            await self._override(service, mark, region, (1.0 - EXTEND_AT) * duration_s + EXTENDED_S)

    async def _override(self, service: str, mark: int, region: str, duration_s: float) -> None:
        body = {
            "action": {"pin": {"region": region}},
            "match": {"tenant": TENANT},
            "by": "play",
            "why": "a schedule says so",
            "until_ms": round((time.time() + duration_s) * 1000.0),
        }
        # Whether it is answered or not, it may have been taken.
        self.pins.append(Pin(TENANT, region, now(), now() + duration_s))
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
        # Evenly over all regions: by distance nearly all sends would go to the near one.
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
                    self._note(int(published["edition"]), RevisionContent.read(settings), "prepared")
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            pass
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def _note(self, number: int, content: RevisionContent, state: str) -> None:
        self.held_regions.setdefault(number, content.held_regions)
        self.homes.setdefault(number, content.homes)
        if self.states.get(number) not in ("committed", "halted"):
            self.states[number] = state
        self._newest = max(self._newest, number)

    async def observe(self, service: str) -> None:
        """Poll the state of a service until cancelled."""
        while True:
            try:
                async with self._session.get(f"http://{service}/rules") as answer:
                    published = await answer.json(content_type=None)
                    for row in (published, published.get("committed")):
                        if isinstance(row, dict) and "edition" in row:
                            content = RevisionContent.read(row.get("settings", {}))
                            self._note(row["edition"], content, row.get("state", "committed"))
            except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
                pass
            await asyncio.sleep(POLL_S)


def now() -> float:
    """Return seconds of the monotonic clock that all processes of the machine share."""
    return time.monotonic()
