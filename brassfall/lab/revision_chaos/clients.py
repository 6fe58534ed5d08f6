"""The applications of a play, one a sidecar: open loops of requests whose ids name the sidecar."""

from __future__ import annotations

import asyncio
import random
import time

import aiohttp

from brassfall.lab.revision_chaos.judge import ClientRequest

BUDGET_S = 2.0
SLACK_S = 1.0  # past its budget a request has had its answer
CLASSES = (("look", 0.6), ("book", 0.25), ("pay", 0.15))  # repeatable, keyed, unsafe to repeat
TENANTS, TENANT_SHARES = ("t1", "t2"), (0.35, 0.65)


def sidecar_of(call_id: str) -> int:
    """Return the sidecar that a request was sent to."""
    return int(call_id[:4], 16)


def tenant_of(call_id: str) -> str:
    """Return the tenant of a request."""
    return TENANTS[int(call_id[4], 16)]


class Client:
    """The application of one sidecar."""

    def __init__(self, number: int, address: str, rate: float, seed: int) -> None:
        self._number = number
        self._address = address
        self._rate = rate
        self._rng = random.Random(f"{seed} {number}")
        self._count = 0
        self.answers: list[ClientRequest] = []
        self._until = 0.0

    async def play(self, until: float) -> None:
        """Send until a time of the monotonic clock, or `stop`, and wait for the last answer."""
        self._until = until
        tasks: set[asyncio.Task[None]] = set()
        limit = aiohttp.ClientTimeout(total=BUDGET_S + SLACK_S)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(timeout=limit, connector=connector) as session:
            due = time.monotonic()
            while (due := due + self._rng.expovariate(self._rate)) < self._until:
                await asyncio.sleep(max(0.0, due - time.monotonic()))
                task = asyncio.create_task(self._ask(session))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.gather(*tasks)

    def stop(self) -> None:
        """Send nothing more."""
        self._until = 0.0

    async def _ask(self, session: aiohttp.ClientSession) -> None:
        self._count += 1
        tenant = self._rng.choices(TENANTS, TENANT_SHARES)[0]
        call_id = f"{self._number:04x}{TENANTS.index(tenant):01x}{self._count:011x}"
        (name, _), *_ = self._rng.choices(CLASSES, [share for _, share in CLASSES])
        headers = {"X-Call-Id": call_id, "X-Call-Class": name, "X-Budget": f"{BUDGET_S * 1000.0:.0f}m"}
        headers["X-Caller"] = tenant
        if name == "book":
            headers["Idempotency-Key"] = f"k{call_id}"
        method = "GET" if name == "look" else "POST"
        sent = time.monotonic()
        how = await self._answer(session, method, f"http://{self._address}/{name}/1", headers)
        self.answers.append(ClientRequest(call_id, self._number, sent, time.monotonic(), how))

    @staticmethod
    async def _answer(session: aiohttp.ClientSession, method: str, url: str, headers: dict[str, str]) -> str:
        try:
            async with session.request(method, url, headers=headers) as answer:
                await answer.read()
                return str(answer.status)
        except TimeoutError:
            return "silent"
        except aiohttp.ClientConnectorError:
            return "unreached"
        except (aiohttp.ClientError, OSError):
            return "broken"
