"""One real server around the model of a transcriber: `python -m brassfall.lab.real.server`.

It registers itself, serves HTTP/1.1 according to the protocol, and records each attempt when it arrives and
when it ends. The ledger is unbuffered, so that the attempts in flight at a killed server are on record.
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
from brassfall.controlplane.registry.member import RegistrationClient
from brassfall.lab import ledger
from brassfall.lab.day import Machine
from brassfall.lab.models.server import ACCEPTED, BROKEN, DRAINING, FULL, Job, Server
from brassfall.lab.real import child
from brassfall.lab.real.messages import ChangeLoad, Drain, ServerCommand, ServerReady

COLLAPSED = 9  # the exit status of a server that collapsed under load
STATUS_LIMIT_S = 2.0  # for a change of the status in the list
KEEPALIVE_S = 60.0
BACKLOG = 1024
COMMANDS: msgspec.json.Decoder[ServerCommand] = msgspec.json.Decoder(ServerCommand)
OUTCOMES = {FULL: "full", DRAINING: "draining", BROKEN: "error"}


class Order(msgspec.Struct):
    """Which server to be, and which incarnation of it."""

    machine: Machine
    name: str
    incarnation: int
    warming_up: bool
    since_ms: int
    registry: str
    ttl_ms: int
    zones: list[str]
    kinds: list[str]
    noise: dict[str, float]  # coefficient of variation of the work of an attempt, by class
    folder: str


class Host:
    """The model behind a listening socket."""

    def __init__(self, order: Order, ledger_writer: ledger.LedgerWriter) -> None:
        self.order = order
        self.core = Server(order.machine, child.clock(), random.random, warming_up=order.warming_up)
        self._ledger = ledger_writer
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._connections: set[web.RequestHandler] = set()
        self._work_parameters = {
            name: (-s * s / 2.0, s)
            for name, cv in order.noise.items()
            for s in [math.sqrt(math.log1p(cv * cv))]
        }

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one attempt, a health check or a request for statistics."""
        if request.path in ("/health/live", "/stats"):
            return web.Response(headers=self._report())
        call_id = request.headers.get("X-Call-Id")
        cls = request.path.split("/")[1]
        if call_id is None or cls not in self._work_parameters:
            return web.Response(status=404)
        sent = child.clock()
        await request.read()
        is_new = self._is_new_connection(request)
        mu, sigma = self._work_parameters[cls]
        work = float(request.query.get("w", "1")) * random.lognormvariate(mu, sigma)
        job = Job(work, self._loop.create_future())
        now = child.clock()
        row = ledger.Attempt(
            id=call_id,
            server=self.order.name,
            incarnation=self.order.incarnation,
            sent=round(sent, 3),
            at=round(now, 3),
            end=-1.0,
            outcome="unfinished",
            cls=cls,
            key=request.headers.get("Idempotency-Key", ""),
            work=round(work, 3),
        )
        self._ledger.add(row)
        self.settle(now)
        reason = self.core.offer(now, job, new_connection=is_new)
        if self.core.collapsed:
            self._ledger.flush()
            os._exit(COLLAPSED)
        if reason == ACCEPTED:
            self._arm()
            await job.data
        return self._answer(row, job, reason)

    def _answer(self, row: ledger.Attempt, job: Job, reason: str) -> web.Response:
        row.end = round(child.clock(), 3)
        row.work = round(job.work, 3)
        row.outcome = OUTCOMES.get(reason) or ("error" if job.failed else "ok")
        self._ledger.add(row)
        headers = self._report()
        if row.outcome == "ok":
            return web.Response(body=f"{self.order.name} {row.id}".encode(), headers=headers)
        if row.outcome == "error":
            return web.Response(status=500, headers=headers)
        return web.Response(status=503, headers={**headers, "X-Rejected": "1"})

    def _report(self) -> dict[str, str]:
        return {"X-Load-Report": f"inflight={self.core.report(child.clock()):.0f}"}

    def _is_new_connection(self, request: web.BaseRequest) -> bool:
        """Return whether this is the first request of its connection."""
        protocol = request.protocol
        if protocol in self._connections:
            return False
        self._connections.add(protocol)
        self._connections = {each for each in self._connections if each.transport is not None}
        self.core.connections = len(self._connections)
        return True

    def settle(self, now: float) -> None:
        """Advance the model to `now`, and finish the jobs that are done by then."""
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

    def change_load(self, change: ChangeLoad) -> None:
        """Apply a change of load or error share to the model."""
        self.settle(child.clock())
        if change.error_share is not None:
            self.core.errors = change.error_share
        self.core.change_load(slowdown=change.slowdown, neighbour_share=change.neighbour_share)
        self._arm()


async def work(order: Order, commands: child.Commands[ServerCommand], lateness: child.Lateness) -> None:
    """Serve until the controller sends `Drain` or `Stop`."""
    logs.set_up()
    writer = ledger.LedgerWriter(
        Path(order.folder), buffered=False, kinds=(ledger.Attempt, ledger.Incarnation)
    )
    host = Host(order, writer)
    runner = web.ServerRunner(web.Server(host.serve, access_log=None, keepalive_timeout=KEEPALIVE_S))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0, backlog=BACKLOG).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    writer.add(_incarnation(order, host.core.began))
    member = RegistrationClient([order.registry], _entry(order, address), order.ttl_ms)
    member.start()
    child.report("ready", ServerReady(listen=address, pid=os.getpid()))
    async for command in commands:
        if isinstance(command, ChangeLoad):
            host.change_load(command)
            continue
        if isinstance(command, Drain):
            await _drain(host, member, command.drain_s)
        break
    child.report("done", lateness.done())
    await runner.cleanup()


def _incarnation(order: Order, began: float) -> ledger.Incarnation:
    """Return the record of this incarnation at its start."""
    machine = order.machine
    return ledger.Incarnation(
        server=order.name,
        incarnation=order.incarnation,
        begun=round(began, 3),
        capacity=round(machine.capacity, 4),
        warmup_start=machine.warmup_start if order.warming_up else 1.0,
        warmup_ms=machine.warmup_ms if order.warming_up else 0.0,
    )


async def _drain(host: Host, member: RegistrationClient, drain_s: float) -> None:
    """Deregister, and reject attempts, over `drain_s` seconds."""
    begun = time.monotonic()
    host.core.drain(child.clock())
    await member.request_status("leaving", STATUS_LIMIT_S)
    await asyncio.sleep(max(0.0, begun + drain_s - time.monotonic()))
    await member.request_status("left", STATUS_LIMIT_S)
    await member.close()


def _entry(order: Order, address: str) -> dict[str, Any]:
    """Return the server's entry as it is registered with the list service."""
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
    child.main(work, Order, COMMANDS)
