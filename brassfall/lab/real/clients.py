"""The applications' clients of a real play: `python -m brassfall.lab.real.clients`.

They work in an open loop: each request is sent when it is due, independently of earlier requests, and its
latency is counted from that time.
"""

from __future__ import annotations

import asyncio
import errno
import random
from pathlib import Path

import aiohttp
import msgspec

from brassfall.lab import ledger
from brassfall.lab.arrivals import load_experiment
from brassfall.lab.day import Day, sample_day
from brassfall.lab.models import client
from brassfall.lab.models.client import BROKEN, FAILED, REFUSED, SERVED, SILENT, UNREACHED
from brassfall.lab.real import child
from brassfall.lab.real.messages import Begin, Done
from brassfall.lab.spec import RequestClass

READ_ON_MS = 20.0  # after the end of its budget, how long an answer is still read
KEEPALIVE_S = 30.0
POST_BODY = b"x" * 64
METHODS = {"safe": "GET", "keyed": "POST", "unsafe": "POST"}


class Order(msgspec.Struct):
    """Which sidecars' clients to be, and of which day."""

    experiment: str
    seed: int
    sidecars: dict[str, str]  # address by name
    folder: str


class Clients:
    """The clients of some sidecars."""

    def __init__(self, order: Order, day: Day, writer: ledger.LedgerWriter) -> None:
        self._order = order
        self._day = day
        self._writer = writer
        self._start_ms = 0.0
        self._lateness = child.Lateness()
        self._starved = 0  # attempts that failed because no descriptor was left
        self._session: aiohttp.ClientSession
        self._rng = random.Random(day.seed * 7919 + 2)
        self._ids = random.Random(f"{day.seed} {sorted(order.sidecars)}")

    def now(self) -> float:
        """Return the time in ms from the start of the play."""
        return child.clock() - self._start_ms

    def done(self) -> Done:
        """Return the report with which the process finishes."""
        return {**self._lateness.done(), "starved": self._starved}

    async def play(self, start_ms: float) -> None:
        """Send all requests as they become due, and wait for the last answer."""
        self._start_ms = start_ms
        arrivals = self._day.arrivals
        own = {number for number, app in enumerate(self._day.apps) if app.name in self._order.sidecars}
        columns = (arrivals.at, arrivals.app, arrivals.cls, arrivals.work)
        rows = zip(*(column.tolist() for column in columns), strict=True)
        tasks: set[asyncio.Task[None]] = set()
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
        async with aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        ) as self._session:
            for due, app, cls, work_ms in rows:
                if app not in own:
                    continue
                wait = due - self.now()
                if wait > 0.0:
                    await asyncio.sleep(wait / 1000.0)
                task = asyncio.create_task(self._request(due, app, cls, work_ms))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            while tasks:
                await asyncio.wait(tasks)

    async def _request(self, due: float, app: int, cls: int, work_ms: float) -> None:
        """Send one request, with all its retries."""
        row = self._day.classes[cls]
        behaviour = self._day.client_behaviour
        first, attempts = "", 0
        self._lateness.note(self.now() - due)
        while True:
            sent = self.now()
            budget = client.call_budget(behaviour, row, due + row.deadline - sent)
            if budget <= 0.0:
                return
            call_id = f"{self._ids.getrandbits(64):016x}"
            first = first or call_id
            answer = self._new_answer(row, app, call_id, first)
            answer.hop, answer.due = attempts, round(due, 3)
            answer.sent, answer.budget = round(sent, 3), round(budget, 3)
            retry_after = await self._attempt(answer, METHODS[row.effect], work_ms)
            attempts += 1
            now = self.now()
            answer.end = round(now, 3)
            self._writer.add(answer)
            outcome = client.CallOutcome(answer.status, attempts, now - due, now - due, retry_after)
            wait = client.retry_delay(behaviour, row, outcome, self._rng.random())
            if wait is None:
                return
            await asyncio.sleep(wait / 1000.0)

    def _new_answer(self, row: RequestClass, app: int, call_id: str, first: str) -> ledger.Answer:
        """Return the record of an attempt whose times are not yet known."""
        return ledger.Answer(
            id=call_id,
            cls=row.name,
            sidecar=self._day.apps[app].name,
            first=first,
            hop=0,
            due=0.0,
            sent=0.0,
            budget=0.0,
            end=0.0,
            status=SILENT,
            key=f"k{first}" if row.effect == "keyed" else "",
        )

    async def _attempt(self, answer: ledger.Answer, method: str, work_ms: float) -> float:
        """Send one attempt, record its outcome in `answer`, and return the Retry-After in ms."""
        headers = {
            "X-Call-Id": answer.id,
            "X-Call-Class": answer.cls,
            "X-Budget": f"{answer.budget * 1000.0:.0f}u",
        }
        if answer.hop:
            headers["X-Again"] = "1"
        if answer.key:
            headers["Idempotency-Key"] = answer.key
        url = f"http://{self._order.sidecars[answer.sidecar]}/{answer.cls}/{answer.first}?w={work_ms:.3f}"
        try:
            async with asyncio.timeout((answer.budget + READ_ON_MS) / 1000.0):
                return await self._send(answer, method, url, headers)
        except TimeoutError:
            answer.status = SILENT
        except OSError as error:
            self._fail_to_connect(answer, error)
        return 0.0

    async def _send(self, answer: ledger.Answer, method: str, url: str, headers: dict[str, str]) -> float:
        body = POST_BODY if method == "POST" else None
        for is_retry in (False, True):
            try:
                async with self._session.request(method, url, headers=headers, data=body) as response:
                    text = (await response.read()).decode("latin-1")
                    return self._read(answer, response, text)
            except aiohttp.ClientConnectorError as error:
                self._fail_to_connect(answer, error)
                return 0.0
            except aiohttp.ServerDisconnectedError:
                # The connection was closed while the request was sent: send it again on a new one.
                answer.status = BROKEN
                if is_retry:
                    return 0.0
            except aiohttp.ClientError:
                answer.status = BROKEN
                return 0.0
        return 0.0

    def _fail_to_connect(self, answer: ledger.Answer, error: OSError) -> None:
        self._starved += error.errno in (errno.EMFILE, errno.ENFILE)
        answer.status = UNREACHED

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


async def work(order: Order, commands: child.Commands[Begin], _loop_lateness: child.Lateness) -> None:
    """Report ready, and play the day from the time in the `Begin` command.

    How late the requests are sent is reported, which includes how late the event loop is.
    """
    declared, recorded = load_experiment(Path(order.experiment))
    writer = ledger.LedgerWriter(Path(order.folder), kinds=(ledger.Answer,))
    clients = Clients(order, sample_day(declared, order.seed, recorded), writer)
    child.report("ready")
    begin = await commands.next()

    async def exit_with_input() -> None:
        async for _ in commands:
            pass  # no command follows; the end of standard input ends this process

    reading = asyncio.get_running_loop().create_task(exit_with_input())
    await clients.play(begin.start_ms)
    writer.close()
    reading.cancel()
    child.report("done", clients.done())


if __name__ == "__main__":
    child.main(work, Order, msgspec.json.Decoder(Begin))
