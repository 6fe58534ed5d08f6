"""The list service's process: HTTP over the durable table."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web

from brassfall.controlplane.registry import calls, entries, front
from brassfall.controlplane.registry.aggregators import Aggregators
from brassfall.controlplane.registry.callers import error
from brassfall.controlplane.registry.calls import OWNED, answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.front import Front, Watched
from brassfall.controlplane.registry.geo import Geo
from brassfall.controlplane.registry.metrics import Metrics
from brassfall.controlplane.registry.overrides import Overrides
from brassfall.controlplane.registry.rules import PLACE, Rules
from brassfall.controlplane.registry.watches import AGED_S, Channel, Form
from brassfall.controlplane.store.core import Change, Command, Delete, Put, Result, Status
from brassfall.controlplane.store.leases import Guard
from brassfall.controlplane.store.log import Log, LogOutcomeUnknownError, LogUnavailableError
from brassfall.controlplane.store.store import Options, Store
from brassfall.errors import Refused, Unavailable
from brassfall.logs import logger
from brassfall.settings import RegistrySettings

MORE_ROOM = "Delete what is not needed, or raise the limit in the service's configuration."
HELD = "X-Held-Index"  # a caller of the whole list says here which one it holds
STARTING = "the service is starting"
START_AGAIN_S, START_AGAIN_MOST_S = 0.2, 5.0  # between tries to start on a disk that fails; doubled each time
ANSWERED = {Status.DONE: 200, Status.MISSING: 404, Status.CONFLICT: 409, Status.STALE: 412}

log = logger("registry")
_encode = msgspec.json.Encoder().encode


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
        self.metrics = Metrics(self)
        self.front = Front(limits, self.metrics.called)
        self.channels = self.front.channels
        self.body = self.front.body
        self.rules = Rules(self, settings.agreement)
        self.overrides = Overrides(self, self.rules)
        self.geo = Geo(self, self.rules, settings.geo)
        self.rules.riders += [self.overrides, self.geo]
        self.aggregators = Aggregators(self, self.rules, self.overrides, self.geo)
        self.started = time.monotonic()
        self._listen = ""
        self._not_started = STARTING  # why calls can't be answered yet
        self._gathering_until = 0.0
        self._evidence = False  # somebody knows an index of a life that this table has forgotten

    async def start(self) -> str:
        """Load the table and take calls; where.

        While the disk fails it goes on trying, and `/health/ready` says why. `LogError` where only an
        operator can help, `OSError` where the address can't be had. Cancelling gives the address back."""
        self.front.bind(self.settings.listen)
        try:
            await self._until_disk_works(self.store.start)
            limits = self.settings.limits
            self.rules.start(limits.watch_bytes, limits.watch_stuck_ms / 1000.0)
            await self._until_disk_works(self.overrides.start)
            self.geo.start()
            self.aggregators.start()
            if self.store.fresh:
                self._gathering_until = time.monotonic() + self.settings.leases.gather_ms / 1000.0
            await self._serve()
            self._not_started = ""
        except BaseException:
            self.front.unbind()
            raise
        return self._listen

    async def _until_disk_works(self, begin: Callable[[], Awaitable[None]]) -> None:
        """Begin a part; while the disk fails, answer calls about health alone, and try again."""
        pause_s = START_AGAIN_S
        while True:
            try:
                return await begin()
            except (LogUnavailableError, LogOutcomeUnknownError, Unavailable) as failed:
                if self._not_started != failed.told:
                    log.error("not ready", reason=failed.told, action=failed.action)
                self._not_started = failed.told
            await self._serve()
            await asyncio.sleep(pause_s)
            pause_s = min(START_AGAIN_MOST_S, 2.0 * pause_s)

    async def _serve(self) -> None:
        if not self._listen:
            routes = [self._when_started(route) for route in self._routes()]
            self._listen = await self.front.serve(routes, self._gathered)

    def _when_started(self, route: web.RouteDef) -> web.RouteDef:
        """The same path, refused until all parts have started; not so for `/health/`."""

        async def handle(request: web.Request) -> web.StreamResponse:
            if self._not_started:
                raise Unavailable("the service has not started", self._not_started)
            made = route.handler(request)
            assert isinstance(made, Awaitable)  # the paths here are functions, no classes
            response: web.StreamResponse = await made
            return response

        if route.path.startswith("/health/"):
            return route
        return web.RouteDef(route.method, route.path, handle, route.kwargs)

    async def close(self) -> None:
        """Take no more calls, end the watches, and let what is being written become durable."""
        await self.front.close()
        await self.aggregators.close()
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

    def _gathered(self) -> None:
        """Whether the gathering is over: then what waits for it is told."""
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

    def _routes(self) -> list[web.RouteDef]:
        one, table = "/registry/instances/{name}", "/tables/{table}/{key}"
        return [
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
            *self.aggregators.routes(),
            *self.overrides.routes(),
            *self.geo.routes(),
            web.get("/health/live", self._live),
            web.get("/health/ready", self._ready),
            web.get("/metrics", self._metrics),
            web.get("/status", self._status),
        ]

    async def _run(self, command: Command) -> web.Response:
        result = await self.store.submit(command, until_settled=False)
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
            return self.front.turn_away(
                "servers are coming back to a list that was lost", left + 0.5 * self.front.rng.random()
            )
        refused = self.front.joins("too many ask for the whole list at once")
        if refused is not None:
            return refused
        whole = answer(self.channel(table).whole())
        self._forget(table)
        return whole

    def _forget(self, table: str) -> None:
        """Whoever asks for tables that nobody has written leaves nothing behind."""
        if table != PLACE and not self.channel(table).count and table not in self.store.table.names:
            del self.channels[table]

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
        watched = Watched(index, lambda: self.channel(table), lambda: self._held(table, index))
        try:
            return await self.front.watch(request, watched)
        finally:
            self._forget(table)

    def _held(self, table: str, index: int) -> bool:
        """Whether the first line of a watch waits until servers have come back to a list that was lost."""
        if index and table != PLACE and self.store.table.since(INSTANCES, index) is None:
            self._earlier_life()
        return self.gathering and table != PLACE

    # --- operation --------------------------------------------------------------------

    async def _live(self, request: web.Request) -> web.Response:
        return answer(b'{"live":true}')

    async def _ready(self, request: web.Request) -> web.Response:
        if self._not_started:
            return error(503, self._not_started, 1.0)
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
        rules, tier = self.rules.status(), self.aggregators.status()
        gauges = {
            "edition": ("The edition in force", rules["edition"]),
            "edition_prepared": ("The edition that is prepared; 0 is none", rules["prepared"]),
            "permits": ("1 while sidecars can get permissions", float(rules["permits"] == "yes")),
            "edges": ("Sidecars on the roster", rules["edges"]),
            "edges_permitted": ("Sidecars that may act on an edition", rules["may_act"]),
            "sidecars": ("Sidecars in the whole fleet, each counted once", rules["sidecars"]),
            "aggregators": ("Aggregators that are known", tier["known"]),
            "aggregators_live": ("Aggregators that have reported of late", tier["live"]),
            "children": ("Sidecars that report to aggregators", tier["children"]),
            "overrides": ("Overrides in force", len(self.overrides.book.active(self.overrides.now()))),
            "findings": ("Sidecars that act on other overrides than are due", len(self.overrides.findings())),
        }
        counters = {
            "reports": ("Reports answered", rules["reports"]),
            "reports_refused": ("Reports that said nothing usable", rules["reports_refused"]),
            "editions_harmful": ("Editions refused as harmful", rules["harmful_refused"]),
            "editions_forced": ("Harmful editions that were forced", rules["harmful_forced"]),
            "aggregator_reports": ("Reports of aggregators answered", tier["reports"]),
            "aggregator_reports_malformed": (
                "Reports of aggregators that said nothing usable",
                tier["reports_malformed"],
            ),
            "aggregator_name_conflicts": (
                "Reports of aggregators whose name is another's",
                tier["name_conflicts"],
            ),
            "aggregator_reports_superseded": (
                "Reports of aggregator processes that another of their name has followed",
                tier["reports_superseded"],
            ),
            "children_unplaced": ("Arrivals of children that found no place", tier["children_unplaced"]),
            "delays_refused": ("Rows of delays that were none", self.geo.rejected_rows),
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
            "connections": len(self.front.callers),
            "writes_waiting": store.waiting,
            "turned_away": self.front.turned_away,
            "rules": self.rules.status(),
            "aggregators": self.aggregators.status(),
        }


async def serve(settings: RegistrySettings) -> int:
    """Run until SIGTERM or SIGINT; the exit status."""
    return await front.run(Service(settings), settings.listen, "registry", data=settings.data)
