"""The list service's process: HTTP over the durable table."""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web

from brassfall.errors import CantListen, Refused, Unavailable
from brassfall.logs import logger
from brassfall.registry import calls, entries
from brassfall.registry.callers import HEAD_BYTES, QUIET, Callers, Connection, NoSuchPath, error, refusal
from brassfall.registry.calls import OWNED, answer
from brassfall.registry.entries import INSTANCES
from brassfall.registry.geo import Geo
from brassfall.registry.limits import Door, Rates, Shares
from brassfall.registry.metrics import Metrics
from brassfall.registry.overrides import Overrides
from brassfall.registry.rules import PLACE, Rules
from brassfall.registry.watches import AGED_S, BEAT_S, SLOTS, Channel, Form, chunk
from brassfall.settings import RegistrySettings, address
from brassfall.table.core import Change, Command, Delete, Put, Result, Status
from brassfall.table.leases import Guard
from brassfall.table.log import Log, LogError
from brassfall.table.store import Options, Store

SWITCH_S = 0.0002
BACKLOG = 4096  # a fleet connects at once
MORE_ROOM = "Delete what is not needed, or raise the limit in the service's configuration."
BODY_S = 5.0  # for a body to arrive
HELD = "X-Held-Index"  # a caller of the whole list says here which one it holds
ANSWERED = {Status.DONE: 200, Status.MISSING: 404, Status.CONFLICT: 409, Status.STALE: 412}

log = logger("registry")
_encode = msgspec.json.Encoder().encode
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Service:
    """One list service within a running loop."""

    def __init__(self, settings: RegistrySettings) -> None:
        self.settings = settings
        limits, guard = settings.limits, settings.guard
        options = Options(
            batch=settings.batch,
            queue=limits.queue,
            ring=settings.ring,
            restart_grace_ms=settings.leases.restart_grace_ms,
            guard=Guard(guard.share, guard.least, guard.window_ms, guard.keep_ms),
            guarded=entries.guarded,
        )
        self.store = Store(Log(Path(settings.data)), options, self._changed)
        self.callers = Callers(limits)
        self.watching = Shares(limits.watches, limits.caller_share)
        self.channels: dict[str, Channel] = {}
        self.rules = Rules(self, settings.agreement)
        self.overrides = Overrides(self, self.rules)
        self.geo = Geo(self, self.rules, settings.geo)
        self.rules.riders += [self.overrides, self.geo]
        self.metrics = Metrics(self)
        self.refusals = 0
        self.turned_away = 0
        self.started = time.monotonic()
        self._rates = Rates(limits.caller_calls_per_s)
        self._door = Door(limits.joins_per_s)
        self._rng = random.Random()
        self._gathering_until = 0.0
        self._evidence = False  # somebody knows an index of a life that this table has forgotten
        self._runner: web.AppRunner | None = None
        self._server: asyncio.Server | None = None
        self._beating: asyncio.Task[None] | None = None

    async def start(self) -> str:
        """Load the table and take calls; where. `LogError` or `OSError` if that can't be done."""
        _raise_descriptors()
        sock = socket.create_server(address(self.settings.listen), backlog=BACKLOG)
        # Else the kernel holds megabytes for each slow reader, unseen by the bound on its watch.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.settings.limits.watch_bytes // 2)
        try:
            await self.store.start()
        except BaseException:
            sock.close()
            raise
        limits = self.settings.limits
        self.rules.start(limits.watch_bytes, limits.watch_stuck_ms / 1000.0)
        await self.overrides.start()
        self.geo.start()
        if self.store.fresh:
            self._gathering_until = time.monotonic() + self.settings.leases.gather_ms / 1000.0
        self._runner = web.AppRunner(self._application(), handler_cancellation=True)
        await self._runner.setup()
        manager = self._runner.server
        assert manager is not None
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(
                self.callers,
                manager,
                loop=loop,
                access_log=None,
                logger=QUIET,
                max_line_size=HEAD_BYTES,
                max_field_size=HEAD_BYTES,
                max_headers=64,
                lingering_time=0.5,
                read_bufsize=16_384,
            ),
            sock=sock,
            backlog=BACKLOG,
        )
        self._beating = loop.create_task(self._beat())
        host, port = sock.getsockname()[:2]
        return f"{host}:{port}"

    async def close(self) -> None:
        """Take no more calls, end the watches, and let what is being written become durable."""
        if self._server is not None:
            self._server.close()
        if self._beating is not None:
            self._beating.cancel()
        for channel in self.channels.values():
            channel.end()
        if self._runner is not None:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._runner.cleanup(), 5.0)
        await self.geo.close()
        await self.overrides.close()
        await self.rules.close()
        await self.store.close()

    # --- what is told -------------------------------------------------------

    def channel(self, table: str) -> Channel:
        """The watches of a table."""
        if table not in self.channels:
            limits = self.settings.limits
            form = (
                Form("endpoints", entries.endpoints, entries.changed)
                if table == INSTANCES
                else Form(
                    "rows", lambda rows: [self._row(table, row) for row in rows], self._rows(table), True
                )
            )
            self.channels[table] = Channel(
                lambda: self.store.table, table, form, limits.watch_bytes, limits.watch_stuck_ms / 1000.0
            )
        return self.channels[table]

    def _row(self, table: str, row: Any) -> dict[str, Any]:
        age = self.store.age_ms(table, row.key)
        told = None if age is None else round(age + AGED_S * 1000.0)
        return {"key": row.key, "version": row.version, "value": row.value, "age_ms": told}

    def _rows(self, table: str) -> Callable[[Any], list[Any]]:
        def told(changes: Any) -> list[Any]:
            return [
                {"key": change.row.key, "version": change.index, "value": None, "age_ms": 0}
                if change.gone
                else self._row(table, change.row)
                for change in changes
            ]

        return told

    def _changed(self, table: str, change: Change) -> None:
        self.metrics.changes += 1
        if table in self.channels:
            self.channels[table].changed(change)

    async def _beat(self) -> None:
        """Empty lines, sweeps and the end of the gathering. A beat that is late is not made up for."""
        while True:
            await asyncio.sleep(BEAT_S / SLOTS)
            for channel in self.channels.values():
                channel.beat()
            self.callers.sweep()
            if self._gathering_until and time.monotonic() >= self._gathering_until:
                self._gathering_until = 0.0
                log.info("gathered", instances=self.store.table.count(INSTANCES), needed=self._evidence)
                for channel in self.channels.values():
                    channel.release()

    @property
    def gathering(self) -> bool:
        """Whether the list is known to be incomplete: the disk was lost, and servers are coming back."""
        return self._evidence and time.monotonic() < self._gathering_until

    def _earlier_life(self) -> None:
        if self._gathering_until and not self._evidence:
            self._evidence = True
            log.warning("gathering", reason="callers know a list that this service has lost")

    # --- calls ----------------------------------------------------------------

    def _application(self) -> web.Application:
        app = web.Application(middlewares=[self._call], client_max_size=self.settings.limits.body_bytes)
        app.on_response_prepare.append(calls.shorten)
        one, table = "/registry/instances/{name}", "/tables/{table}/{key}"
        app.router.add_routes(
            [
                web.get("/registry/instances", self._instances),
                web.get(one, self._instance),
                web.put(one, self._register),
                web.post(one + "/renew", self._renew),
                web.patch(one, self._alter),
                web.delete(one, self._leave),
                web.get("/tables/{table}", self._table),
                web.get(table, self._get),
                web.put(table, self._put),
                web.delete(table, self._delete),
                web.post(table + "/renew", self._renew_row),
                *self.rules.routes(),
                *self.overrides.routes(),
                *self.geo.routes(),
                web.get("/health/live", self._live),
                web.get("/health/ready", self._ready),
                web.get("/metrics", self._metrics),
                web.get("/status", self._status),
            ]
        )
        return app

    @web.middleware
    async def _call(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Around each call: the caller's rate, and whatever goes wrong as an answer in JSON."""
        connection = request.protocol
        assert isinstance(connection, Connection)
        self.callers.busy(connection)
        begun = time.perf_counter()
        status = 500
        try:
            wait = self._rates.wait(connection.caller, time.monotonic())
            made = (
                error(429, f"{connection.caller} calls too often", wait)
                if wait
                else await self._handle(request, handler)
            )
            status = made.status
            return made
        finally:
            self.metrics.called(request.method, status, time.perf_counter() - begun)
            self.callers.free(connection)

    async def _handle(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except Unavailable as told:
            return refusal(told, told.retry_s * (0.5 + self._rng.random()))
        except Refused as told:
            return refusal(told)
        except web.HTTPNotFound:
            return refusal(NoSuchPath("no such path", request.path[:200]))
        except web.HTTPRequestEntityTooLarge:
            made = error(413, f"the body is larger than {self.settings.limits.body_bytes} bytes")
            made.force_close()
            return made
        except web.HTTPException as http:
            return error(http.status, http.reason)
        except TimeoutError:
            made = error(408, f"the body did not come within {BODY_S} s")
            made.force_close()
            return made
        except (ConnectionError, asyncio.CancelledError, web.RequestPayloadError):
            raise
        except Exception:
            log.exception("fault", path=request.path)
            return error(500, "a fault in the service")

    async def body(self, request: web.Request) -> bytes:
        """The whole body of a call; `TimeoutError` where it does not come in time."""
        if not request.can_read_body:
            return b""
        if request.content.is_eof():
            return await request.read()  # it came with the head, as small ones do
        async with asyncio.timeout(BODY_S):
            return await request.read()

    async def _run(self, command: Command) -> web.Response:
        result = await self.store.submit(command)
        if result.done:
            return answer(_encode({"index": result.index}))
        return self._refusal(result)

    def _refusal(self, result: Result) -> web.Response:
        return error(ANSWERED[result.status], result.reason)

    def _room(self, table: str, key: str) -> None:
        store, limits = self.store.table, self.settings.limits
        if store.get(table, key) is None and sum(map(store.count, store.names)) >= limits.rows:
            raise Unavailable("all rows are taken", str(limits.rows), MORE_ROOM, retry_s=10.0)
        names = {name for name in store.names if name not in OWNED}
        if table not in names and len(names) >= limits.tables:
            raise Unavailable("all tables are taken", str(limits.tables), MORE_ROOM, retry_s=10.0)

    # --- instances --------------------------------------------------------------

    async def _instances(self, request: web.Request) -> web.StreamResponse:
        if request.query.get("watch", "0") not in ("0", ""):
            return await self.watch(request, INSTANCES)
        held = calls.number(request.headers.get(HELD, "0"), HELD)
        if held and self.store.table.since(INSTANCES, held) is None:
            self._earlier_life()
        return self._list(INSTANCES)

    def _list(self, table: str) -> web.Response:
        if self.gathering:
            left = self._gathering_until - time.monotonic()
            return self._turn_away(
                "servers are coming back to a list that was lost", left + 0.5 * self._rng.random()
            )
        wait = self._door.wait(time.monotonic(), self._rng.random())
        if wait:
            return self._turn_away("too many ask for the whole list at once", wait)
        whole = answer(self.channel(table).whole())
        self._forget(table)
        return whole

    def _forget(self, table: str) -> None:
        """Whoever asks for tables that nobody has written leaves nothing behind."""
        if table != PLACE and not self.channel(table).count and table not in self.store.table.names:
            del self.channels[table]

    def _turn_away(self, reason: str, wait: float) -> web.Response:
        self.turned_away += 1
        return error(503, reason, wait)

    async def _instance(self, request: web.Request) -> web.Response:
        row = self.store.table.get(INSTANCES, entries.name(request.match_info["name"]))
        if row is None:
            return error(404, "no such instance")
        return answer(_encode(self._row(INSTANCES, row)))

    async def _register(self, request: web.Request) -> web.Response:
        key = entries.name(request.match_info["name"])
        asked, ttl = entries.registration(key, await self.body(request), self.settings.leases)
        self._room(INSTANCES, key)
        return await self._run(
            entries.register(key, asked, ttl, calls.match(request), calls.request_id(request))
        )

    async def _renew(self, request: web.Request) -> web.Response:
        key = entries.name(request.match_info["name"])
        return self._renewed(INSTANCES, key, entries.holder(await self.body(request)))

    def _renewed(self, table: str, key: str, fence: int | None) -> web.Response:
        result = self.store.renew(table, key, fence)
        return answer(_encode({"index": result.index})) if result.done else self._refusal(result)

    async def _alter(self, request: web.Request) -> web.Response:
        key = entries.name(request.match_info["name"])
        return await self._run(
            entries.alter(key, await self.body(request), calls.match(request), calls.request_id(request))
        )

    async def _leave(self, request: web.Request) -> web.Response:
        key = entries.name(request.match_info["name"])
        fence = entries.holder(await self.body(request))
        return await self._run(entries.leave(key, fence, calls.match(request), calls.request_id(request)))

    # --- other tables -------------------------------------------------------------

    async def _table(self, request: web.Request) -> web.StreamResponse:
        table = entries.name(request.match_info["table"])
        if request.query.get("watch", "0") not in ("0", ""):
            return await self.watch(request, table)
        return self._list(table)

    async def _get(self, request: web.Request) -> web.Response:
        table, key = calls.place(request)
        row = self.store.table.get(table, key)
        if row is None:
            return error(404, f"{key} is not there")
        return answer(_encode(self._row(table, row)))

    async def _put(self, request: web.Request) -> web.Response:
        table, key = calls.own_place(request)
        try:
            value = msgspec.json.decode(await self.body(request))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as wrong:
            raise Refused(f"the value is no JSON: {wrong}") from wrong
        self._room(table, key)
        lease = request.headers.get("X-Lease")
        ttl = entries.ttl(calls.number(lease, "X-Lease"), self.settings.leases) if lease is not None else 0
        return await self._run(
            Put(
                table=table,
                key=key,
                value=value,
                lease_ms=ttl,
                if_match=calls.match(request),
                request_id=calls.request_id(request),
            )
        )

    async def _delete(self, request: web.Request) -> web.Response:
        table, key = calls.own_place(request)
        return await self._run(
            Delete(table=table, key=key, if_match=calls.match(request), request_id=calls.request_id(request))
        )

    async def _renew_row(self, request: web.Request) -> web.Response:
        table, key = calls.own_place(request)
        version = calls.match(request)
        row = self.store.table.get(table, key)
        if row is not None and version is not None and row.version != version:
            return error(412, f"{key} has version {row.version}, not version {version}")
        return self._renewed(table, key, None)

    # --- watches --------------------------------------------------------------------

    async def watch(self, request: web.Request, table: str) -> web.StreamResponse:
        """Keep a watch on a table, or on the rules, until it ends."""
        index = calls.number(request.query.get("from", "0"), "from")
        connection = request.protocol
        assert isinstance(connection, Connection)
        wait = self._door.wait(time.monotonic(), self._rng.random())
        if wait:
            return self._turn_away("too many open a watch at once", wait)
        why = self.watching.take(connection.caller)
        if why:
            return self._turn_away(why, 5.0 + 5.0 * self._rng.random())
        try:
            return await self._tell(request, table, index)
        finally:
            self.watching.give(connection.caller)
            self._forget(table)

    async def _tell(self, request: web.Request, table: str, index: int) -> web.StreamResponse:
        """Keep a watch until it ends. Its lines are written past aiohttp's stream, to all watches alike."""
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        response.enable_chunked_encoding()
        if index and table != PLACE and self.store.table.since(INSTANCES, index) is None:
            self._earlier_life()
        held = self.gathering and table != PLACE
        await response.prepare(request)
        # The head goes out with the first byte: half of the first line, or of an empty one.
        await response.write(b" " if held else b"{")
        transport = request.transport
        ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if transport is None:
            return response
        channel = self.channel(table)
        if not held:
            transport.write(chunk(channel.first(index)[1:]))
        watch = channel.add(transport, index if held else channel.last, held, ended)
        try:
            await ended
        finally:
            channel.drop(watch)
        return response

    # --- operation --------------------------------------------------------------------

    async def _live(self, request: web.Request) -> web.Response:
        return answer(b'{"live":true}')

    async def _ready(self, request: web.Request) -> web.Response:
        if self.gathering:
            return error(503, "servers are coming back to a list that was lost", 1.0)
        if self.store.figures.disk:
            return error(503, self.store.figures.disk, 1.0)
        return answer(b'{"ready":true}')

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.metrics.text(), headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}
        )

    def figures(self) -> tuple[dict[str, tuple[str, float]], dict[str, tuple[str, float]]]:
        """Gauges and counters of editions, overrides and delays."""
        rules = self.rules.status()
        gauges = {
            "edition": ("The edition in force", rules["edition"]),
            "edition_prepared": ("The edition that is prepared; 0 is none", rules["prepared"]),
            "permits": ("1 while sidecars can get permissions", float(rules["permits"] == "yes")),
            "edges": ("Sidecars on the roster", rules["edges"]),
            "edges_permitted": ("Sidecars that may act on an edition", rules["may_act"]),
            "overrides": ("Overrides in force", len(self.overrides.book.active(self.overrides.now()))),
            "findings": ("Sidecars that act on other overrides than are due", len(self.overrides.findings())),
        }
        counters = {
            "reports": ("Reports answered", rules["reports"]),
            "reports_refused": ("Reports that said nothing usable", rules["reports_refused"]),
            "editions_harmful": ("Editions refused as harmful", rules["harmful_refused"]),
            "editions_forced": ("Harmful editions that were forced", rules["harmful_forced"]),
            "delays_refused": ("Rows of delays that were none", self.geo.refused),
        }
        return gauges, counters

    async def _status(self, request: web.Request) -> web.Response:
        return answer(_encode(self.status()))

    def status(self) -> dict[str, Any]:
        """What on-call staff ask first."""
        store = self.store
        rows = {name: store.table.count(name) for name in store.table.names}
        by_status: dict[str, int] = {}
        for row in store.table.rows(INSTANCES):
            by_status[row.value["status"]] = by_status.get(row.value["status"], 0) + 1
        return {
            "index": store.table.index,
            "uptime_s": round(time.monotonic() - self.started, 1),
            "gathering": self.gathering,
            "disk": store.figures.disk or "ok",
            "rows": rows,
            "instances": by_status,
            "suspects": store.suspects(INSTANCES),
            "watches": {
                name: made.count for name, made in self.channels.items() if name != PLACE or made.count
            },
            "watches_behind": sum(channel.behind for channel in self.channels.values()),
            "connections": len(self.callers),
            "writes_waiting": store.waiting,
            "turned_away": self.turned_away,
            "rules": self.rules.status(),
        }


def _raise_descriptors() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


async def serve(settings: RegistrySettings) -> int:
    """Run until SIGTERM or SIGINT; the exit status."""
    # The thread of the log asks for the interpreter several times in each commit, and would wait 5 ms
    # for it each time while calls come in.
    sys.setswitchinterval(SWITCH_S)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    service = Service(settings)
    try:
        listen = await service.start()
    except (LogError, OSError) as error:
        wrong = (
            error
            if isinstance(error, LogError)
            else CantListen(settings.listen, error.strerror or str(error))
        )
        log.error("can't start", reason=wrong.told, action=wrong.action)
        return wrong.exit_status
    log.info("ready", listen=listen, data=settings.data)
    await stop.wait()
    log.info("stopping")
    await service.close()
    return 0
