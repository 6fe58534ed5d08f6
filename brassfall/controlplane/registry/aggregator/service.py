"""The process of an aggregator: HTTP for its children over the core, the mirror and the service above."""

from __future__ import annotations

import asyncio
import os
import random
import time
from typing import Any

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation import core as deciding
from brassfall.controlplane.aggregation.core import Action, Aggregator, Event, ListReceived, StateReceived
from brassfall.controlplane.aggregation.messages import AggregatorLease
from brassfall.controlplane.aggregation.timing import AggregatorTiming
from brassfall.controlplane.registry import calls, front
from brassfall.controlplane.registry.aggregator.channels import AGE, ListChannel
from brassfall.controlplane.registry.aggregator.children import Children
from brassfall.controlplane.registry.aggregator.mirror import DOUBT_MS, Mirror, parse_line
from brassfall.controlplane.registry.aggregator.passing import Passing
from brassfall.controlplane.registry.aggregator.reporter import Reporter
from brassfall.controlplane.registry.aggregator.upstream import Line, Upstream, UpstreamError, WatchState
from brassfall.controlplane.registry.callers import Elsewhere, error
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.front import Front, Watched
from brassfall.controlplane.registry.limits import Door
from brassfall.controlplane.registry.metrics import HttpMetrics, Told
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.registry.watches import Lines
from brassfall.errors import Refused
from brassfall.logs import faults, logger
from brassfall.settings import AggregatorSettings

LIST, RULES = "/registry/instances", "/rules"
TICK_S = 0.05
LIST_LATE_MS = 2000.0  # news of the list take far less on a watch that works
LEAVE_S = 4.0  # leases that were granted are over within `over_ms`, and then the service is told
ABROAD = "X-Held-Index"  # a caller of the whole list says here which one it holds

log = logger("aggregator")
_encode = msgspec.json.Encoder().encode


class StateError(Refused):
    """A line of the rules from above that can't be read."""

    action = "See which version of the list service runs there; its watch is opened again."


class InForce(msgspec.Struct, frozen=True):
    """The revision in force, beside one that is not."""

    edition: int


class StateLine(msgspec.Struct, frozen=True):
    """What of a line of the rules is read here; children are told the line as it is."""

    edition: int
    life: int
    state: str
    committed: InForce | None = None


def read_state(line: bytes) -> StateReceived:
    """A line of the rules, for the core; `StateError` says what is wrong with it."""
    try:
        told = msgspec.json.decode(line, type=StateLine)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as wrong:
        raise StateError("no state of the rules", str(wrong)[:200]) from wrong
    if told.state not in ("prepared", "committed", "halted"):
        raise StateError("no state of the rules", f"state: {told.state[:40]!r}")
    committed = told.committed.edition if told.committed is not None else 0
    in_force = told.edition if told.state == "committed" else committed
    return StateReceived(told.life, told.edition, told.state, in_force, line)


class Service:
    """One aggregator within a running loop."""

    def __init__(self, settings: AggregatorSettings) -> None:
        self.settings = settings
        self.rng = random.Random()
        self.metrics = HttpMetrics(self)
        self.front = Front(settings.limits, self.metrics.called)
        self.mirror = Mirror(settings.ring)
        self.upstream = Upstream(settings.upstream, now, self.rng)
        self.core = self._core(settings.advertise or settings.listen)
        self.children = Children(
            self.core, self.front, self.step, self._newest_told, lambda: self.mirror.index
        )
        self.reporter = Reporter(self.core, self.upstream, self.step, self._answered, self.rng)
        self.passing = Passing(
            self.upstream, self.front, settings.writes_at_once, settings.writes_waiting, self.rng
        )
        self.list_watch = WatchState(settings.upstream[0])
        self.rules_watch = WatchState(settings.upstream[0])
        self.started = time.monotonic()
        self._line = b""  # what children are told of the rules
        self._newest = 0  # the revision that it names
        self._list_late_since: float | None = None
        self._whole_lists = Door(settings.whole_lists_per_s)
        self._ahead: tuple[float, int] | None = None  # since when a caller holds a later list, and which
        self._watching_list: asyncio.Task[None] | None = None
        self._fetching = False
        self._tasks = Tasks()

    def _newest_told(self) -> int:
        return self._newest

    def _core(self, listen: str) -> Aggregator:
        told = self.settings
        timing = AggregatorTiming(
            agree_ms=told.agree_ms,
            children_most=told.children_most,
            newcomers_per_s=told.newcomers_per_s,
            newcomers_burst=told.newcomers_burst,
        )
        return Aggregator(timing, os.urandom(8).hex(), told.name, told.region, listen, now())

    async def start(self) -> str:
        """Take calls, and ask the deciding service from now on; where. `OSError` if that can't be done."""
        self.front.bind(self.settings.listen)
        self.upstream.open()
        limits = self.settings.limits
        stuck_s = limits.watch_stuck_ms / 1000.0
        self.front.channels[INSTANCES] = self._list_channel()
        self.front.channels[RULES] = Lines(lambda: self._line, limits.watch_bytes, stuck_s)
        at = await self.front.serve(self._routes(), lambda: None)
        if not self.settings.advertise:
            self.core.listen = at
        self._open_list_watch()
        rules_path = f"{RULES}?watch=1&from=0"
        self._tasks.spawn(self.upstream.keep_watch(lambda: rules_path, self._rules_line, self.rules_watch))
        self._tasks.spawn(self.reporter.run())
        self._tasks.spawn(self._tick())
        return at

    async def close(self) -> None:
        """Grant nothing more, wait until nothing that was granted runs, tell that, and end."""
        self.step(deciding.Leave())
        until = time.monotonic() + LEAVE_S
        while not self.core.may_end(now()) and time.monotonic() < until:
            await asyncio.sleep(TICK_S)
        await self._tasks.end()
        await self.front.close()
        await self.upstream.close()

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            with faults(log):
                self.step(deciding.Tick())

    # --- the core ---------------------------------------------------------------------------

    def step(self, event: Event) -> list[Action]:
        """Give the core an event, and do what it says; what is the caller's to do is returned as well."""
        actions = self.core.step(now(), event)
        for action in actions:
            match action:
                case deciding.Hurry():
                    self.reporter.hurry()
                case deciding.TellChildren(line):
                    self._tell(line)
                case deciding.FetchState():
                    self._fetch()
        return actions

    def _tell(self, line: bytes) -> None:
        self._line, self._newest = line, read_state(line).revision
        channel = self.front.channels[RULES]
        assert isinstance(channel, Lines)
        channel.poke()

    def _fetch(self) -> None:
        if not self._fetching:
            self._fetching = True
            self._tasks.spawn(self._fetch_state())

    async def _fetch_state(self) -> None:
        try:
            made = await self.upstream.call(self.reporter.at, "GET", RULES)
            if made.status == 200:
                self.step(read_state(made.body))
        except (UpstreamError, StateError) as failed:
            log.warning("state not fetched", reason=failed.told)
        finally:
            self._fetching = False

    def _rules_line(self, line: Line) -> None:
        if line.text:
            self.step(read_state(line.text))

    def _answered(self, asked: float, lease: AggregatorLease) -> None:
        """An answer of the epoch that counts: what it says of the list."""
        self.mirror.confirmed_by_answer(asked, lease.list_index)
        self._confirmed()
        if lease.list_index <= self.mirror.index:
            self._list_late_since = None
        elif self._list_late_since is None:
            self._list_late_since = now()
        elif now() - self._list_late_since > LIST_LATE_MS:
            log.warning("list is late", index=self.mirror.index, above=lease.list_index)
            self._list_late_since = None
            self._open_list_watch()

    # --- the list ---------------------------------------------------------------------------

    def _list_channel(self) -> ListChannel:
        limits = self.settings.limits
        return ListChannel(self.mirror, now, limits.watch_bytes, limits.watch_stuck_ms / 1000.0)

    def _channel(self) -> ListChannel:
        channel = self.front.channels[INSTANCES]
        assert isinstance(channel, ListChannel)
        return channel

    def _open_list_watch(self) -> None:
        if self._watching_list is not None:
            self._watching_list.cancel()
        path = lambda: f"{LIST}?watch=1&from={self.mirror.index}"  # noqa: E731
        work = self.upstream.keep_watch(path, self._list_line, self.list_watch)
        self._watching_list = self._tasks.spawn(work)

    def _list_line(self, line: Line) -> None:
        if line.text:
            taken = self.mirror.take(line.heard, parse_line(line.text), first=line.lines == 1)
            if taken.replaced:
                log.warning("list began anew", index=self.mirror.index)
                self.front.channels[INSTANCES].end()
                self.front.channels[INSTANCES] = self._list_channel()
            channel = self._channel()
            for change in taken.changes:
                channel.changed(change)
            if taken.moved:
                channel.moved()
            if self._ahead is not None and self._ahead[1] <= self.mirror.index:
                self._ahead = None
        if line.lines:
            self.mirror.confirmed_by_watch(line.asked, line.heard, line.empties)
            self._confirmed()

    def _confirmed(self) -> None:
        if self.mirror.holds_list:
            self.step(ListReceived(self.mirror.index, self.mirror.confirmed_ms))

    def _check_list(self, index: int) -> None:
        """`Elsewhere` where whoever holds this index would be set back, while that may be a fault."""
        if not self.mirror.holds_list:
            raise Elsewhere("no list", self.list_watch.failing or "it has not come yet")
        if index <= self.mirror.index:
            return
        if self._ahead is None:
            self._ahead = (now(), index)
        if now() - self._ahead[0] < DOUBT_MS:
            raise Elsewhere("no list that late", f"index {index} is held there, {self.mirror.index} here")

    # --- calls ------------------------------------------------------------------------------

    def _routes(self) -> list[web.RouteDef]:
        one, row = LIST + "/{name}", "/tables/{table}/{key}"
        up = self.passing.pass_up
        return [
            web.get(LIST, self._instances),
            web.post("/edges/{name}", self.children.report),
            web.get("/edges", self._edges),
            web.delete("/edges/{name}", up),
            web.get(RULES, self._rules),
            web.put(RULES, up),
            *(web.route(method, one, up) for method in ("GET", "PUT", "PATCH", "DELETE")),
            web.post(one + "/renew", up),
            *(web.route(method, row, up) for method in ("GET", "PUT", "DELETE")),
            web.post(row + "/renew", up),
            web.get("/overrides", up),
            *(web.route(method, "/overrides/{name}", up) for method in ("GET", "PUT", "DELETE")),
            web.get("/geo", up),
            web.get("/health/live", self._live),
            web.get("/health/ready", self._ready),
            web.get("/metrics", self._metrics),
            web.get("/status", self._status),
        ]

    async def _instances(self, request: web.Request) -> web.StreamResponse:
        watches = request.query.get("watch", "0") not in ("0", "")
        if watches:
            index = calls.number(request.query.get("from", "0"), "from")
        else:
            index = calls.number(request.headers.get(ABROAD, "0"), ABROAD)
        self._check_list(index)
        return await self._watch_list(request, index) if watches else self._whole_list()

    async def _watch_list(self, request: web.Request, index: int) -> web.StreamResponse:
        if self.mirror.state.changes_since(INSTANCES, index) is None and (refused := self._joins_whole()):
            return refused
        channel = self._channel()
        headers = {AGE: str(channel.promised_age_ms())}
        return await self.front.watch(request, Watched(index, lambda: channel, headers=headers))

    def _joins_whole(self) -> web.Response | None:
        """One more that takes the whole list; the answer if there are too many at once."""
        wait = self._whole_lists.wait(now() / 1000.0, self.rng.random())
        return self.front.turn_away("too many take the whole list at once", wait) if wait else None

    def _whole_list(self) -> web.Response:
        if refused := self._joins_whole():
            return refused
        whole = answer(self.front.channels[INSTANCES].whole())
        whole.headers[AGE] = str(round(self.mirror.age_ms(now())))
        return whole

    async def _rules(self, request: web.Request) -> web.StreamResponse:
        if "edition" in request.query:
            return await self.passing.pass_up(request)
        if not self._line:
            raise Elsewhere("no rules", self.rules_watch.failing or "they have not come yet")
        if request.query.get("watch", "0") in ("0", ""):
            return answer(self._line)
        watched = Watched(0, lambda: self.front.channels[RULES])
        return await self.front.watch(request, watched)

    async def _edges(self, request: web.Request) -> web.Response:
        return answer(_encode(self.edges()))

    def edges(self) -> dict[str, Any]:
        """The children here, by their newest reports; nobody else's."""
        at = now()
        return {
            "aggregator": self.settings.name,
            "region": self.settings.region,
            "edges": self.core.children(at),
            "edition": self.core.committed,
            "permits": self.core.unready(at) or "yes",
            "list": {"index": self.mirror.index, "age_ms": self._age_ms()},
        }

    # --- operation --------------------------------------------------------------------------

    async def _live(self, request: web.Request) -> web.Response:
        return answer(b'{"live":true}')

    def unready(self) -> str:
        """Why this aggregator can't serve a sidecar with all that it needs; empty where it can."""
        if not self.mirror.holds_list:
            return f"no list: {self.list_watch.failing or 'it has not come yet'}"
        if not self._line:
            return f"no rules: {self.rules_watch.failing or 'they have not come yet'}"
        why = self.core.unready(now())
        return f"{why}; {self.reporter.failing}" if why and self.reporter.failing else why

    async def _ready(self, request: web.Request) -> web.Response:
        why = self.unready()
        return error(503, why, 1.0) if why else answer(b'{"ready":true}')

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.metrics.text(), headers={"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}
        )

    async def _status(self, request: web.Request) -> web.Response:
        return answer(_encode(self.status()))

    def _age_ms(self) -> int | None:
        return round(self.mirror.age_ms(now())) if self.mirror.holds_list else None

    def status(self) -> dict[str, Any]:
        """What on-call staff ask first."""
        core, figures, at = self.core, self.children.figures, now()
        counts = core.membership.counts(at, core.leases)
        return {
            "aggregator": self.settings.name,
            "region": self.settings.region,
            "uptime_s": round(time.monotonic() - self.started, 1),
            "ready": self.unready() or "yes",
            "upstream": {
                "at": self.reporter.at,
                "reports": self.reporter.sent,
                "reports_failed": self.reporter.failed,
                "failing": self.reporter.failing,
                "list": self.list_watch.failing or "ok",
                "rules": self.rules_watch.failing or "ok",
                "passed_up": self.passing.passed,
                "not_passed_up": self.passing.refused,
            },
            "epoch": core.epoch,
            "edition": core.committed,
            "prepared": core.pending,
            "lease_left_ms": round(core.lease_left_ms(at)),
            "list": {"index": self.mirror.index, "age_ms": self._age_ms(), "servers": self.mirror.count},
            "children": msgspec.to_builtins(counts),
            "members": core.members,
            "reports": figures.reports,
            "reports_refused": figures.refused + core.membership.stale,
            "turned_away": self.front.turned_away,
            "connections": len(self.front.callers),
            "watches": {name: made.count for name, made in self.front.channels.items()},
        }

    def figures(self) -> tuple[Told, Told]:
        """Gauges and counters of the tier."""
        core, figures, at = self.core, self.children.figures, now()
        counts = core.membership.counts(at, core.leases)
        gauges = {
            "children": ("Sidecars that report here", counts.known),
            "children_permitted": ("Those that may act on an edition", counts.leased),
            "children_lagging": ("Those that have not acknowledged what is prepared", counts.lagging),
            "children_fallback": ("Those that act on safe rules", counts.fallback),
            "ready": ("1 while leases can be granted", float(not self.unready())),
            "edition": ("The edition in force", core.committed),
            "edition_prepared": ("The edition that is prepared; 0 is none", core.pending),
            "lease_left_ms": ("How long the lease from above still runs", core.lease_left_ms(at)),
            "list_index": ("The index of the list held", self.mirror.index),
            "list_age_ms": ("An upper bound on its age", self._age_ms() or 0),
        }
        counters = {
            "reports": ("Reports of children answered", figures.reports),
            "reports_refused": ("Reports that said nothing usable", figures.refused + core.membership.stale),
            "reports_granted": ("Reports that were answered with a lease", figures.granted),
            "children_turned_away": ("Reports of children told to come again", figures.turned_away),
            "upstream_reports": ("Reports sent to the list service", self.reporter.sent),
            "upstream_failures": ("Reports without a good answer", self.reporter.failed),
            "passed_up": ("Calls passed up", self.passing.passed),
            "not_passed_up": ("Calls that were not, or got no answer", self.passing.refused),
            "lines_refused": (
                "Lines from above that were not believed",
                self.list_watch.refused_lines + self.rules_watch.refused_lines,
            ),
        }
        return gauges, counters


def now() -> float:
    """The clock of the process, in ms."""
    return time.monotonic() * 1000.0


async def serve(settings: AggregatorSettings) -> int:
    """Run until SIGTERM or SIGINT; the exit status."""
    return await front.run(Service(settings), settings.listen, "aggregator", name=settings.name)
