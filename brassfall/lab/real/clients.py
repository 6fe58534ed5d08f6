"""The applications: `python -m brassfall.lab.real.clients`. Open loop: a request goes out when it is due,
whatever has become of those before it, and its latency runs from then."""

from __future__ import annotations

import asyncio
import errno
import random
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from brassfall.lab import ledger
from brassfall.lab.arrivals import load_experiment
from brassfall.lab.day import Day, sample_day
from brassfall.lab.models import client
from brassfall.lab.models.client import BROKEN, FAILED, REFUSED, SERVED, SILENT, UNREACHED
from brassfall.lab.real import child

SLACK_MS = 20.0  # how long past its time a client still reads an answer
METHODS = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}


class Order(msgspec.Struct):
    """Whose clients to be, of which day."""

    experiment: str
    seed: int
    sidecars: dict[str, str]  # address by name
    folder: str


class Clients:
    """The clients of some sidecars."""

    def __init__(self, order: Order, day: Day, ledger_writer: ledger.LedgerWriter) -> None:
        self.order = order
        self.day = day
        self.ledger_writer = ledger_writer
        self.t0 = 0.0
        self.lateness = child.Lateness()
        self.starved = 0  # tries that failed for want of descriptors
        self.session: aiohttp.ClientSession
        self._rng = random.Random(day.seed * 7919 + 2)
        self._ids = random.Random(f"{day.seed} {sorted(order.sidecars)}")

    def now(self) -> float:
        """Ms from the start of the play."""
        return child.clock() - self.t0

    async def play(self) -> None:
        """Send everything as it becomes due, and wait for the last answer."""
        arrivals = self.day.arrivals
        mine = {number for number, app in enumerate(self.day.apps) if app.name in self.order.sidecars}
        rows = zip(*(column.tolist() for column in _columns(arrivals)), strict=True)
        tasks: set[asyncio.Task[None]] = set()
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0)
        async with aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        ) as self.session:
            for due, app, cls, work in rows:
                if app not in mine:
                    continue
                wait = due - self.now()
                if wait > 0.0:
                    await asyncio.sleep(wait / 1000.0)
                task = asyncio.create_task(self._request(due, app, cls, work))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            while tasks:
                await asyncio.wait(tasks)

    async def _request(self, due: float, app: int, cls: int, work: float) -> None:
        """One request, through all its tries."""
        row = self.day.classes[cls]
        behaviour = self.day.client_behaviour
        first, tries = "", 0
        self.lateness.note(self.now() - due)
        while True:
            sent = self.now()
            budget = client.call_budget(behaviour, row, due + row.deadline - sent)
            if budget <= 0.0:
                return
            call_id = f"{self._ids.getrandbits(64):016x}"
            first = first or call_id
            answer = ledger.Answer(
                id=call_id,
                cls=row.name,
                sidecar=self.day.apps[app].name,
                first=first,
                hop=tries,
                due=round(due, 3),
                sent=round(sent, 3),
                budget=round(budget, 3),
                end=0.0,
                status=SILENT,
                key=f"k{first}" if row.effect == "keyed" else "",
            )
            retry_after = await self._try(answer, METHODS[row.effect], work)
            tries += 1
            now = self.now()
            answer.end = round(now, 3)
            self.ledger_writer.add(answer)
            outcome = client.CallOutcome(answer.status, tries, now - due, now - due, retry_after)
            wait = client.retry_delay(behaviour, row, outcome, self._rng.random())
            if wait is None:
                return
            await asyncio.sleep(wait / 1000.0)

    async def _try(self, answer: ledger.Answer, method: str, work: float) -> float:
        """One try: fills in how it ended; the Retry-After in ms."""
        headers = {
            "X-Call-Id": answer.id,
            "X-Call-Class": answer.cls,
            "X-Budget": f"{answer.budget * 1000.0:.0f}u",
        }
        if answer.hop:
            headers["X-Again"] = "1"
        if answer.key:
            headers["Idempotency-Key"] = answer.key
        url = f"http://{self.order.sidecars[answer.sidecar]}/{answer.cls}/{answer.first}?w={work:.3f}"
        try:
            async with asyncio.timeout((answer.budget + SLACK_MS) / 1000.0):
                return await self._ask(answer, method, url, headers)
        except TimeoutError:
            answer.status = SILENT
        except OSError as error:
            self.starved += error.errno in (errno.EMFILE, errno.ENFILE)
            answer.status = UNREACHED
        return 0.0

    async def _ask(self, answer: ledger.Answer, method: str, url: str, headers: dict[str, str]) -> float:
        for is_retry in (False, True):
            try:
                body = b"x" * 64 if method == "POST" else None
                async with self.session.request(method, url, headers=headers, data=body) as response:
                    text = (await response.read()).decode("latin-1")
                    return self._read(answer, response, text)
            except aiohttp.ClientConnectorError as error:
                self.starved += error.errno in (errno.EMFILE, errno.ENFILE)
                answer.status = UNREACHED
                return 0.0
            except aiohttp.ServerDisconnectedError:
                # A close that crossed the request: it is sent once more, on a new connection.
                answer.status = BROKEN
                if is_retry:
                    return 0.0
            except aiohttp.ClientError:
                answer.status = BROKEN
                return 0.0
        return 0.0

    def _read(self, answer: ledger.Answer, response: aiohttp.ClientResponse, text: str) -> float:
        if response.status == 200:
            answer.status = SERVED
            answer.by, _, answer.of = text.partition(" ")
            return 0.0
        answer.status = REFUSED if response.status in (429, 503) else FAILED
        try:
            return 1000.0 * float(response.headers.get("Retry-After", "0"))
        except ValueError:
            return 0.0


def _columns(arrivals: Any) -> tuple[Any, ...]:
    return arrivals.at, arrivals.app, arrivals.cls, arrivals.work


async def work(raw: dict[str, Any], commands: child.Commands, lateness: child.Lateness) -> None:
    """Be ready, and play when told."""
    order = msgspec.convert(raw, Order)
    declared, recorded = load_experiment(Path(order.experiment))
    ledger_writer = ledger.LedgerWriter(Path(order.folder), kinds=(ledger.Answer,))
    clients = Clients(order, sample_day(declared, order.seed, recorded), ledger_writer)
    child.say("ready")
    clients.t0 = (await commands.next())["t0"]

    async def obey() -> None:
        async for _ in commands:
            pass  # there is nothing else to be told; the end of it ends this process

    obeying = asyncio.get_running_loop().create_task(obey())
    await clients.play()
    ledger_writer.close()
    obeying.cancel()
    clients.lateness.say(starved=clients.starved)


if __name__ == "__main__":
    child.main(work)
