"""One real server around the model of a transcriber: `python -m brassfall.lab.real.server`.

It registers itself, serves HTTP/1.1 as PROTOCOL has it, and writes down each attempt as it comes and as
it ends, unbuffered: what a server that is killed had in work stays on record.
"""

from __future__ import annotations

import asyncio
import math
import os
import random
import time
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web

from brassfall import logs
from brassfall.controlplane.registry.member import Member
from brassfall.lab import ledger
from brassfall.lab.day import Machine
from brassfall.lab.models.server import ACCEPTED, BROKEN, DRAINING, FULL, Job, Server
from brassfall.lab.real import child

FELL = 9  # the exit status of a server that was pushed over
NAMED = {FULL: "full", DRAINING: "draining", BROKEN: "error"}


class Order(msgspec.Struct):
    """What to be."""

    machine: Machine
    name: str
    incarnation: int
    warming_up: bool
    since_ms: int
    registry: str
    ttl_ms: int
    zones: list[str]
    kinds: list[str]
    noise: dict[str, float]  # of the work of each class, from one attempt to the next
    folder: str


class Host:
    """The model behind a listening socket."""

    def __init__(self, order: Order, ledger_writer: ledger.LedgerWriter) -> None:
        self.order = order
        self.core = Server(order.machine, child.clock(), random.random, warming_up=order.warming_up)
        self._ledger = ledger_writer
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._seen: set[Any] = set()
        self.idle = asyncio.Event()
        self._work_parameters = {
            name: (-s * s / 2.0, s)
            for name, cv in order.noise.items()
            for s in [math.sqrt(math.log1p(cv * cv))]
        }

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Take one call."""
        if request.path in ("/health/live", "/stats"):
            return web.Response(headers=self._report())
        call_id = request.headers.get("X-Call-Id")
        cls = request.path.split("/")[1]
        if call_id is None or cls not in self._work_parameters:
            return web.Response(status=404)
        sent = child.clock()
        await request.read()
        fresh = self._connected(request)
        mu, sigma = self._work_parameters[cls]
        work = float(request.query.get("w", "1")) * random.lognormvariate(mu, sigma)
        job = Job(work, self._loop.create_future())
        now = child.clock()
        row = ledger.Attempt(
            call_id,
            self.order.name,
            self.order.incarnation,
            round(sent, 3),
            round(now, 3),
            -1.0,
            "unfinished",
            cls,
            request.headers.get("Idempotency-Key", ""),
            round(work, 3),
        )
        self._ledger.add(row)
        self.settle(now)
        reason = self.core.offer(now, job, new_connection=fresh)
        if self.core.collapsed:
            self._ledger.flush()
            os._exit(FELL)
        if reason == ACCEPTED:
            self._arm()
            await job.data
        return self._answer(row, job, reason)

    def _answer(self, row: ledger.Attempt, job: Job, reason: str) -> web.Response:
        row.end = round(child.clock(), 3)
        row.work = round(job.work, 3)
        row.outcome = NAMED.get(reason) or ("error" if job.failed else "ok")
        self._ledger.add(row)
        if not self.core.in_flight:
            self.idle.set()
        headers = self._report()
        if row.outcome == "ok":
            return web.Response(body=f"{self.order.name} {row.id}".encode(), headers=headers)
        if row.outcome == "error":
            return web.Response(status=500, headers=headers)
        return web.Response(status=503, headers={**headers, "X-Rejected": "1"})

    def _report(self) -> dict[str, str]:
        return {"X-Load-Report": f"inflight={self.core.report(child.clock()):.0f}"}

    def _connected(self, request: web.BaseRequest) -> bool:
        """Whether this is the first request of its connection."""
        protocol = request.protocol
        if protocol in self._seen:
            return False
        self._seen.add(protocol)
        self._seen = {seen for seen in self._seen if seen.transport is not None}
        self.core.connections = len(self._seen)
        return True

    def settle(self, now: float) -> None:
        """Let the model work until now."""
        for job in self.core.advance(now):
            job.data.set_result(None)

    def _arm(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        due = self.core.due
        self._timer = None
        if due < math.inf:
            self._timer = self._loop.call_later(max(0.0, due - child.clock()) / 1000.0, self._due)

    def _due(self) -> None:
        self._timer = None
        self.settle(child.clock())
        self._arm()

    def command(self, command: dict[str, Any]) -> None:
        """A change of what it can do."""
        self.settle(child.clock())
        if "errors" in command:
            self.core.errors = command["errors"]
        self.core.change_load(slowdown=command.get("slow"), neighbour_share=command.get("taken"))
        self._arm()


async def work(raw: dict[str, Any], commands: child.Commands, lateness: child.Lateness) -> None:
    """Serve until it is told to drain, or its starter is gone."""
    logs.set_up()
    order = msgspec.convert(raw, Order)
    ledger_writer = ledger.LedgerWriter(
        Path(order.folder), buffered=False, kinds=(ledger.Attempt, ledger.Incarnation)
    )
    host = Host(order, ledger_writer)
    runner = web.ServerRunner(web.Server(host.serve, access_log=None, keepalive_timeout=60.0))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0, backlog=1024)
    await site.start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    machine = order.machine
    ledger_writer.add(
        ledger.Incarnation(
            order.name,
            order.incarnation,
            round(host.core.began, 3),
            round(machine.capacity, 4),
            machine.warmup_start if order.warming_up else 1.0,
            machine.warmup_ms if order.warming_up else 0.0,
        )
    )
    member = Member([order.registry], _entry(order, address), order.ttl_ms)
    member.start()
    child.say("ready", listen=address, pid=os.getpid())
    async for command in commands:
        if command["do"] == "drain":
            await _drain(host, member, command["drain_s"])
            break
        if command["do"] == "end":
            break
        host.command(command)
    lateness.say()
    await runner.cleanup()


async def _drain(host: Host, member: Member, drain_s: float) -> None:
    begun = time.monotonic()
    host.core.drain(child.clock())
    await member.request_status("leaving", 2.0)
    await asyncio.sleep(max(0.0, begun + drain_s - time.monotonic()))
    await member.request_status("left", 2.0)
    await member.close()


def _entry(order: Order, address: str) -> dict[str, Any]:
    return {
        "name": order.name,
        "address": address,
        "zone": order.zones[order.machine.zone],
        "type": order.kinds[order.machine.kind],
        "group": 0,
        "weight": 1.0,
        "since_ms": order.since_ms,
    }


if __name__ == "__main__":
    child.main(work)
