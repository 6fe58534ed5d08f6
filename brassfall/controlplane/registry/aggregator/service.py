"""The process of an aggregator: its parts, their start and graceful shutdown, and its HTTP routes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import time

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.actions import Action, FetchState, NotifyChildren, ReportNow
from brassfall.controlplane.aggregation.aggregator import Aggregator
from brassfall.controlplane.aggregation.events import Event, Leave, ListReceived, Tick
from brassfall.controlplane.aggregation.report_builder import Identity
from brassfall.controlplane.aggregation.timing import AggregatorTiming
from brassfall.controlplane.registry import process
from brassfall.controlplane.registry.aggregator import configuration, list_feed, status
from brassfall.controlplane.registry.aggregator.children import ChildReports
from brassfall.controlplane.registry.aggregator.clock import now_ms
from brassfall.controlplane.registry.aggregator.configuration import Configuration
from brassfall.controlplane.registry.aggregator.forwarding import Forwarding
from brassfall.controlplane.registry.aggregator.list_feed import ListFeed
from brassfall.controlplane.registry.aggregator.mirror import Mirror
from brassfall.controlplane.registry.aggregator.reporter import Reporter
from brassfall.controlplane.registry.aggregator.upstream import Upstream
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.front import HttpServer
from brassfall.controlplane.registry.http_errors import status_response
from brassfall.controlplane.registry.metrics import CONTENT_TYPE, HttpMetrics, ProcessMetrics
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.logs import faults, logger
from brassfall.settings import AggregatorSettings

TICK_S = 0.05  # interval at which the aggregator's core gets a tick event
LEASES_END_S = 4.0  # time limit of a shutdown for the end of all children's leases, and the last report
NOT_READY_RETRY_S = 1.0  # `Retry-After` of `/health/ready` while the aggregator is not ready

log = logger("aggregator")
_encode = msgspec.json.Encoder().encode


class Service:
    """One aggregator within a running loop."""

    def __init__(self, settings: AggregatorSettings) -> None:
        self.settings = settings
        self.metrics = HttpMetrics(self)
        self.http_server = HttpServer(settings.limits, self.metrics.called)
        self.mirror = Mirror(settings.ring)
        self.core = _core(settings)
        rng = random.Random()
        self._upstream = Upstream(settings.upstream, now_ms, rng)
        self._tasks = Tasks()
        self.configuration = Configuration(self._upstream, self.http_server, self.step, self._tasks)
        self.list_feed = ListFeed(
            self.mirror,
            self._upstream,
            self.http_server,
            self._tasks,
            self._list_confirmed,
            settings.lists_per_s,
        )
        self.children = ChildReports(
            self.core,
            self.http_server,
            self.step,
            lambda: self.configuration.newest,
            lambda: self.mirror.index,
        )
        self.reporter = Reporter(self.core, self._upstream, self.step, self.list_feed.apply_lease, rng)
        self.forwarding = Forwarding(
            self._upstream, self.http_server, settings.writes_at_once, settings.writes_waiting
        )
        self._started_at = time.monotonic()
        self._leaving = False
        self._leases_ended = asyncio.Event()

    # --- start and shutdown -----------------------------------------------------------------

    async def start(self) -> str:
        """Start to serve calls and to watch the list service; return the address as HOST:PORT.

        Raise `OSError` if the address can't be bound.
        """
        await self.http_server.bind(self.settings.listen)
        self._upstream.open()
        address = await self.http_server.serve(self._routes(), lambda: None)
        if not self.settings.advertise:
            self.core.identity.listen = address
        self.list_feed.start()
        self.configuration.start()
        self._tasks.spawn(self.reporter.run())
        self._tasks.spawn(self._tick())
        return address

    async def close(self) -> None:
        """Stop granting leases, wait until all have ended and the list service knows, and stop serving."""
        self._leaving = True
        self.step(Leave())
        if not self.core.may_end():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(LEASES_END_S):
                    await self._leases_ended.wait()
        await self._tasks.end()
        await self.http_server.close()
        await self._upstream.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            with faults(log):
                self.step(Tick())
                if self._leaving and self.core.may_end():
                    self._leases_ended.set()

    # --- the core ---------------------------------------------------------------------------

    def step(self, event: Event) -> list[Action]:
        """Pass an event to the core, perform its actions, and return them.

        Actions that are about a call or report are left to the caller.
        """
        actions = self.core.step(now_ms(), event)
        for action in actions:
            match action:
                case ReportNow():
                    self.reporter.report_soon()
                case NotifyChildren(line):
                    self.configuration.publish(line)
                case FetchState():
                    self.configuration.fetch_state(self.reporter.address)
        return actions

    def _list_confirmed(self) -> None:
        if self.mirror.holds_list:
            self.step(ListReceived(self.mirror.index, self.mirror.confirmed_ms))

    # --- calls ------------------------------------------------------------------------------

    def _routes(self) -> list[web.RouteDef]:
        instance, row = list_feed.PATH + "/{name}", "/tables/{table}/{key}"
        forward = self.forwarding.forward
        return [
            web.get(list_feed.PATH, self.list_feed.read),
            web.post("/edges/{name}", self.children.report),
            web.get("/edges", self._children),
            web.delete("/edges/{name}", forward),
            web.get(configuration.PATH, self._configuration),
            web.put(configuration.PATH, forward),
            *(web.route(method, instance, forward) for method in ("GET", "PUT", "PATCH", "DELETE")),
            web.post(instance + "/renew", forward),
            *(web.route(method, row, forward) for method in ("GET", "PUT", "DELETE")),
            web.post(row + "/renew", forward),
            web.get("/overrides", forward),
            *(web.route(method, "/overrides/{name}", forward) for method in ("GET", "PUT", "DELETE")),
            web.get("/geo", forward),
            web.get("/health/live", self._live),
            web.get("/health/ready", self._ready),
            web.get("/metrics", self._metrics),
            web.get("/status", self._status),
        ]

    async def _configuration(self, request: web.Request) -> web.StreamResponse:
        if "edition" in request.query:
            return await self.forwarding.forward(request)
        return await self.configuration.read(request)

    async def _children(self, _request: web.Request) -> web.Response:
        return answer(_encode(status.children(self)))

    # --- operation --------------------------------------------------------------------------

    def unready(self) -> str:
        """Return the reason why this aggregator can't serve sidecars; empty if it can."""
        if self.list_feed.missing_reason:
            return f"no list: {self.list_feed.missing_reason}"
        if self.configuration.missing_reason:
            return f"no rules: {self.configuration.missing_reason}"
        why = self.core.unready_reason(now_ms())
        return f"{why}; {self.reporter.failing}" if why and self.reporter.failing else why

    async def _live(self, _request: web.Request) -> web.Response:
        return answer(b'{"live":true}')

    async def _ready(self, _request: web.Request) -> web.Response:
        why = self.unready()
        return status_response(503, why, NOT_READY_RETRY_S) if why else answer(b'{"ready":true}')

    async def _metrics(self, _request: web.Request) -> web.Response:
        return web.Response(body=self.metrics.text(), headers={"Content-Type": CONTENT_TYPE})

    async def _status(self, _request: web.Request) -> web.Response:
        return answer(_encode(status.status(self)))

    def process_metrics(self) -> ProcessMetrics:
        """Return the metrics of the aggregator's parts, apart from those of calls and watches."""
        return status.process_metrics(self)

    @property
    def uptime_s(self) -> float:
        """The time since the aggregator was created, in s."""
        return time.monotonic() - self._started_at


def _core(settings: AggregatorSettings) -> Aggregator:
    timing = AggregatorTiming(
        agree_ms=settings.agree_ms,
        children_most=settings.children_most,
        newcomers_per_s=settings.newcomers_per_s,
        newcomers_burst=settings.newcomers_burst,
    )
    listen = settings.advertise or settings.listen
    identity = Identity(os.urandom(8).hex(), settings.name, settings.region, listen)
    return Aggregator(timing, identity, now_ms())


async def serve(settings: AggregatorSettings) -> int:
    """Run an aggregator until SIGTERM or SIGINT; return the exit status."""
    return await process.run(Service(settings), settings.listen, "aggregator", name=settings.name)
