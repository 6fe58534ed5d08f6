"""A small real server that follows the operators' protocol and registers itself with the list service.

It records each call with its time and the server's state, so that a judge needs nothing that a sidecar
says. SIGTERM drains it: it tells the list service that it is leaving, serves what arrives for as long as
sidecars may still send, finishes that, and leaves.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

import msgspec
from aiohttp import web

from brassfall.controlplane.registry.member import RegistrationClient
from brassfall.errors import ListenError
from brassfall.logs import logger
from brassfall.settings import parse_address

NOTICE_S = 0.55  # 500 ms after the notice sidecars send nothing new; a little more for the network
UNLISTED = "End the other process of that name, or mend what the list service refuses."
REJECTS_FROM_S = 1.0  # after the notice, what still arrives is rejected

log = logger("server")
_encode = msgspec.json.Encoder().encode


@dataclass(slots=True)
class Transcriber:
    """One server."""

    name: str
    work_ms: float
    zone: str = ""
    ledger: IO[bytes] | None = None
    in_work: int = 0
    leaving_at: float | None = None
    _idle: asyncio.Event = field(default_factory=asyncio.Event)

    async def serve(self, request: web.Request) -> web.Response:
        """Answer one call: do the work, or reject it. Cancelling ends the work without an answer."""
        call_id = request.headers.get("X-Call-Id")
        body = await request.read()
        if call_id is None:
            return web.Response(status=404)
        late = None if self.leaving_at is None else time.monotonic() - self.leaving_at
        rejected = late is not None and late > REJECTS_FROM_S
        self._record(request, call_id, late, ran=not rejected)
        if rejected:
            return web.Response(status=503, headers={"X-Rejected": "1"})
        self.in_work += 1
        self._idle.clear()
        try:
            await asyncio.sleep(self.work_ms / 1000.0)
        finally:
            self.in_work -= 1
            if not self.in_work:
                self._idle.set()
        report = f"inflight={self.in_work},queue=0"
        answer = f"{self.name} {len(body)}".encode()
        return web.Response(body=answer, headers={"X-Load-Report": report, "X-Served-By": self.name})

    async def finished(self) -> None:
        """Wait until no call is in work."""
        while self.in_work:
            await self._idle.wait()

    def _record(self, request: web.Request, call_id: str, late: float | None, *, ran: bool) -> None:
        if self.ledger is None:
            return
        row: dict[str, Any] = {
            "server": self.name,
            "zone": self.zone,
            "edition": request.headers.get("X-Edition"),
            "id": call_id,
            "class": request.path.split("/")[1],
            "key": request.headers.get("Idempotency-Key"),
            "at": time.monotonic(),
            "since_leaving_s": late,
            "ran": ran,
        }
        self.ledger.write(_encode(row) + b"\n")


async def run(
    name: str,
    listen: str,
    registry: Sequence[str],
    zone: str,
    ttl_ms: int,
    work_ms: float,
    ledger: Path | None,
    advertise: str = "",
) -> int:
    """Serve until SIGTERM, then drain; the exit status.

    `advertise` is the address for the list in place of the server's own: a proxy before it. Raises
    `CantListen` if the address can't be used. Cancelling ends it without draining."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    with _opened(ledger) as file:
        server = Transcriber(name, work_ms, zone, file if ledger is not None else None)
        app = web.Application()
        app.router.add_route("*", "/{rest:.*}", server.serve)
        runner = web.AppRunner(app, access_log=None, keepalive_timeout=15.0)
        await runner.setup()
        site = web.TCPSite(runner, *parse_address(listen))
        try:
            await site.start()
        except OSError as error:
            await runner.cleanup()
            raise ListenError(listen, error.strerror or str(error)) from error
        host, port = runner.addresses[0][:2]
        entry = {
            "name": name,
            "address": advertise or f"{host}:{port}",
            "zone": zone,
            "type": "",
            "group": 0,
            "weight": 1.0,
            "since_ms": int(time.time() * 1000.0),
        }
        member = RegistrationClient(registry, entry, ttl_ms)
        member.start()
        log.info("ready", name=name, listen=f"{host}:{port}")
        lost = asyncio.get_running_loop().create_task(member.wait_until_finished())
        await asyncio.wait(
            (lost, asyncio.get_running_loop().create_task(stop.wait())),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if lost.done():
            log.error("not in the list", reason=lost.result(), action=UNLISTED)
        await _drain(server, member)
        await runner.cleanup()
    return 1 if lost.done() and not stop.is_set() else 0


def _opened(ledger: Path | None) -> IO[bytes]:
    """The ledger's file, unbuffered; one that keeps nothing where there is no ledger."""
    return open(ledger or os.devnull, "ab", buffering=0)


async def _drain(server: Transcriber, member: RegistrationClient) -> None:
    log.info("leaving", told=await member.request_status("leaving", 2.0))
    server.leaving_at = time.monotonic()
    await asyncio.sleep(NOTICE_S)
    await server.finished()
    log.info("left", told=await member.request_status("left", 2.0))
    await member.close()
