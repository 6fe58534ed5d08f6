"""The process of the list service: its parts, their start and graceful shutdown, and health checks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from aiohttp import web

from brassfall.controlplane.registry import entries, process, status
from brassfall.controlplane.registry.aggregators import Aggregators
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.fleet import Fleet
from brassfall.controlplane.registry.fleet_listing import FleetListing
from brassfall.controlplane.registry.front import HttpServer
from brassfall.controlplane.registry.gathering import ListRebuild
from brassfall.controlplane.registry.geo import Geo
from brassfall.controlplane.registry.http_errors import status_response
from brassfall.controlplane.registry.instances import InstanceCalls
from brassfall.controlplane.registry.lists import LIST_INCOMPLETE, TableReads
from brassfall.controlplane.registry.metrics import CONTENT_TYPE, ListServiceMetrics, ProcessMetrics
from brassfall.controlplane.registry.node_calls import NodeCalls
from brassfall.controlplane.registry.overrides import Overrides
from brassfall.controlplane.registry.revision_service import RevisionService
from brassfall.controlplane.registry.rules import RulesCalls
from brassfall.controlplane.registry.tables import TableCalls
from brassfall.controlplane.registry.writes import Writes
from brassfall.controlplane.store.leases import ExpiryGuard
from brassfall.controlplane.store.log import Log, LogOutcomeUnknownError, LogUnavailableError
from brassfall.controlplane.store.records import Change
from brassfall.controlplane.store.store import Store, StoreOptions
from brassfall.errors import BrassfallError, UnavailableError
from brassfall.logs import logger
from brassfall.settings import RegistrySettings

STARTING, NOT_STARTED = "the service is starting", "the service has not started"
# Backoff between attempts to start while the disk fails; it doubles from the first pause to the longest.
START_RETRY_S, MAX_START_RETRY_S = 0.2, 5.0
NOT_READY_RETRY_S = 1.0  # `Retry-After` of `/health/ready` while the service is not ready, in s

log = logger("registry")
_encode = msgspec.json.Encoder().encode


class Service:
    """One list service within a running loop.

    Its parts use `store`, `channels`, `body` and `watch` by the `Host` protocols that they define.
    """

    def __init__(self, settings: RegistrySettings) -> None:
        self.settings = settings
        limits, leases = settings.limits, settings.leases
        self.store = Store(Log(Path(settings.data)), _options(settings), self._changed)
        self.metrics = ListServiceMetrics(self)
        self.http_server = HttpServer(limits, self.metrics.called)
        self.channels = self.http_server.channels
        self.body = self.http_server.body
        self._list_rebuild = ListRebuild(leases.gather_ms / 1000.0)
        self._table_reads = TableReads(self.store, self.http_server, self._list_rebuild)
        self.watch = self._table_reads.watch
        writes = Writes(self.store, limits)
        self._instances = InstanceCalls(self.store, self.http_server, self._table_reads, writes, leases)
        self._tables = TableCalls(self.store, self.http_server, self._table_reads, writes, leases)
        self.revisions = RevisionService(self, settings.agreement)
        self.overrides = Overrides(self, self.revisions)
        self.geo = Geo(self, self.revisions, settings.geo)
        self.revisions.extensions += [self.overrides, self.geo]
        self.fleet = Fleet(self.revisions)
        self.aggregators = Aggregators(self.revisions, self.fleet, self.overrides, self.geo)
        self.nodes = NodeCalls(self.revisions, self.fleet)
        self._rules = RulesCalls(self.revisions)
        self._fleet_listing = FleetListing(self.revisions, self.fleet)
        self._started_at = time.monotonic()
        self._listen = ""
        self._not_started = STARTING  # reason why calls can't be answered yet; empty after the start

    # --- start and shutdown -----------------------------------------------------------

    async def start(self) -> str:
        """Load the store and serve calls; return the address as HOST:PORT.

        While the disk fails the start is retried, and `/health/ready` gives the reason. Raise `LogError` if
        only an operator can repair the store, and `OSError` if the address can't be bound. Cancelling
        releases the address.
        """
        await self.http_server.bind(self.settings.listen)
        try:
            await self._start_part_until_disk_works(self.store.start)
            limits = self.settings.limits
            self.revisions.start(limits.watch_bytes, limits.watch_stuck_ms / 1000.0)
            await self._start_part_until_disk_works(self.overrides.start)
            self.geo.start()
            self.aggregators.start()
            self._fleet_listing.start()
            if self.store.started_empty:
                self._list_rebuild.start()
            await self._serve()
            self._not_started = ""
        except BaseException:
            self.http_server.unbind()
            raise
        return self._listen

    async def _start_part_until_disk_works(self, start_part: Callable[[], Awaitable[None]]) -> None:
        """Start a part of the service, and retry while the disk fails.

        Meanwhile calls are served, but only those under `/health/` are answered.
        """
        pause_s = START_RETRY_S
        while (failure := await _try_start(start_part)) is not None:
            if self._not_started != failure.summary:
                log.error(
                    "service not ready, disk error at the start",
                    reason=failure.summary,
                    action=failure.action,
                )
            self._not_started = failure.summary
            await self._serve()
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_START_RETRY_S, 2.0 * pause_s)

    async def _serve(self) -> None:
        if not self._listen:
            routes = [self._when_started(route) for route in self._routes()]
            self._listen = await self.http_server.serve(routes, self._release_watches)

    def _when_started(self, route: web.RouteDef) -> web.RouteDef:
        """Wrap a route so that it answers 503 until all parts have started; leave routes under `/health/`."""

        async def handle(request: web.Request) -> web.StreamResponse:
            if self._not_started:
                raise UnavailableError(NOT_STARTED, self._not_started)
            result = route.handler(request)
            assert isinstance(result, Awaitable)  # every handler is a coroutine function, not a view class
            response: web.StreamResponse = await result
            return response

        if route.path.startswith("/health/"):
            return route
        return web.RouteDef(route.method, route.path, handle, route.kwargs)

    async def close(self) -> None:
        """Stop serving calls, end the watches, and wait for writes under way."""
        await self.http_server.close()
        await self._fleet_listing.close()
        await self.aggregators.close()
        await self.geo.close()
        await self.overrides.close()
        await self.revisions.close()
        await self.store.close()

    # --- watches ----------------------------------------------------------------------

    def _changed(self, table: str, change: Change) -> None:
        self.metrics.changes += 1
        self._table_reads.notify_watches(table, change)

    def _release_watches(self) -> None:
        """Send deferred watches their first line once the rebuild of a lost list has ended."""
        if self._list_rebuild.has_ended(self.store.state.count(INSTANCES)):
            for channel in self.channels.values():
                channel.release()

    @property
    def is_rebuilding_list(self) -> bool:
        """True if a lost list is being rebuilt from its servers' registrations."""
        return self._list_rebuild.is_incomplete

    # --- operation --------------------------------------------------------------------

    def _routes(self) -> list[web.RouteDef]:
        return [
            *self._instances.routes(),
            *self._tables.routes(),
            *self._rules.routes(),
            *self.nodes.routes(),
            *self.aggregators.routes(),
            *self._fleet_listing.routes(),
            *self.overrides.routes(),
            *self.geo.routes(),
            web.get("/health/live", self._live),
            web.get("/health/ready", self._ready),
            web.get("/metrics", self._metrics),
            web.get("/status", self._status),
        ]

    async def _live(self, _request: web.Request) -> web.Response:
        return answer(b'{"live":true}')

    async def _ready(self, _request: web.Request) -> web.Response:
        why = self._not_started or (
            LIST_INCOMPLETE if self.is_rebuilding_list else self.store.statistics.disk_error
        )
        return status_response(503, why, NOT_READY_RETRY_S) if why else answer(b'{"ready":true}')

    async def _metrics(self, _request: web.Request) -> web.Response:
        return web.Response(body=self.metrics.text(), headers={"Content-Type": CONTENT_TYPE})

    async def _status(self, _request: web.Request) -> web.Response:
        return answer(_encode(status.status(self)))

    def process_metrics(self) -> ProcessMetrics:
        """Return the metrics of the service's parts, apart from those of calls, watches and the store."""
        return status.process_metrics(self)

    @property
    def uptime_s(self) -> float:
        """The time since the service was created, in s."""
        return time.monotonic() - self._started_at


def _options(settings: RegistrySettings) -> StoreOptions:
    guard = settings.guard
    return StoreOptions(
        batch=settings.batch,
        queue=settings.limits.queue,
        history_length=settings.ring,
        restart_grace_ms=settings.leases.restart_grace_ms,
        guard=ExpiryGuard(guard.share, guard.least, guard.window_ms, guard.keep_ms),
        guarded=entries.is_guarded,
    )


async def _try_start(start_part: Callable[[], Awaitable[None]]) -> BrassfallError | None:
    """Start a part of the service; return the error if the disk fails for now, None after a start."""
    try:
        await start_part()
    except (LogUnavailableError, LogOutcomeUnknownError, UnavailableError) as error:
        return error
    return None


async def serve(settings: RegistrySettings) -> int:
    """Run a list service until SIGTERM or SIGINT; return the exit status."""
    return await process.run(Service(settings), settings.listen, "registry", data=settings.data)
