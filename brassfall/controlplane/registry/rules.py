"""The shell of the agreement: `/rules` and `/edges` over the durable table."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Protocol

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.directory import AggregatorNameError, Directory
from brassfall.controlplane.registry import calls, entries, revision_state
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.channels import StateChannel
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.reports import read_report
from brassfall.controlplane.registry.sidecar_rows import NEVER, SidecarRow, View, reported_row
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.registry.watches import Channel
from brassfall.controlplane.revisions import core as deciding
from brassfall.controlplane.revisions import document, pace
from brassfall.controlplane.revisions.core import Agreement, Event, Kept, Reported, Timing
from brassfall.controlplane.revisions.document import DocumentError, HarmfulError
from brassfall.controlplane.revisions.edges import Fleet, Objection, Report, ReportError
from brassfall.controlplane.store.commands import Delete, Put
from brassfall.controlplane.store.outcomes import NotWrittenError
from brassfall.controlplane.store.store import Store
from brassfall.errors import NotFoundError, PreconditionFailedError, UnavailableError
from brassfall.logs import faults, logger
from brassfall.settings import AgreementSettings

RULES, ROSTER = "rules", "edges"
STATE = "state"
PLACE = "/rules"  # among the channels of watches
TICK_S = 0.05
SWEEP_S = 60.0
COUNTED_MS = 100.0  # how long a count of all sidecars is good for

log = logger("rules")
_encode = msgspec.json.Encoder().encode


class Host(Protocol):
    """What the list service lends."""

    store: Store
    channels: dict[str, Channel]

    async def body(self, request: web.Request) -> bytes:
        """The whole body of a call, within the limits."""

    async def watch(self, request: web.Request, place: str) -> web.StreamResponse:
        """Keep a watch on a channel until it ends."""


class Rider(Protocol):
    """A part that rides on the reports."""

    def reported(self, name: str, report: Report) -> dict[str, Any]:
        """A report has come; what its answer tells."""

    def gone(self, name: str) -> None:
        """A sidecar has left the fleet."""

    def findings(self) -> dict[str, list[str]]:
        """What is wrong, by sidecar."""


class UnwrittenError(UnavailableError):
    """The disk took no edition: nothing has changed."""

    action = "Look at the disk of the list service (/status says what it answered), then publish again."


@dataclass(slots=True)
class Figures:
    """What the agreement has done since the start."""

    reports: int = 0
    refused_reports: int = 0
    granted: int = 0
    published: int = 0
    harmful: int = 0
    forced: int = 0


@dataclass(slots=True)
class Rules:
    """One agreement within a list service."""

    host: Host
    settings: AgreementSettings
    channel: StateChannel = field(init=False)
    core: Agreement = field(init=False)
    figures: Figures = field(default_factory=Figures)
    barred: dict[str, str] = field(default_factory=dict)  # sidecars without permission, and why
    riders: list[Rider] = field(default_factory=list)  # what else reports carry
    directory: Directory = field(init=False)  # of the children of aggregators
    _counted: tuple[float, int] = (float("-inf"), 0)  # sidecars, when they were counted last
    _tickets: count[int] = field(default_factory=count)
    _waiting: dict[int, asyncio.Future[int]] = field(default_factory=dict)
    _granted: dict[int, deciding.Granted] = field(default_factory=dict)
    _enrolling: set[str] = field(default_factory=set)
    _tasks: Tasks = field(default_factory=Tasks)
    _encoded: tuple[Any, bytes] | None = None
    _started: float = 0.0

    def start(self, watch_bytes: int, stuck_s: float) -> None:
        """Load what is durable, and begin a life. The store has to be loaded."""
        store = self.host.store
        row = store.state.get(RULES, STATE)
        kept = msgspec.convert(row.value, Kept) if row is not None else Kept()
        fleet = Fleet(life=store.incarnation, names={row.key for row in store.state.rows(ROSTER)})
        timing = Timing(agree_ms=self.settings.agree_ms)
        self._started = self.now()
        self.core = Agreement(timing, self._started, kept, fleet, barred=self.barred)
        self.directory = Directory(timing.over_ms, self.settings.members_most)
        self.channel = StateChannel(self.line, watch_bytes, stuck_s)
        self.host.channels[PLACE] = self.channel
        self._tasks.spawn(self._tick())

    async def close(self) -> None:
        """Decide no more."""
        await self._tasks.end()

    def routes(self) -> list[web.RouteDef]:
        """The paths."""
        return [
            web.get("/rules", self._get),
            web.put("/rules", self._put),
            web.post("/edges/{name}", self._report),
            web.delete("/edges/{name}", self._forget),
        ]

    # --- the core ---------------------------------------------------------------------

    @staticmethod
    def now() -> float:
        """Monotonic ms, as the core is given them."""
        return time.monotonic() * 1000.0

    def step(self, event: Event) -> None:
        """Give the core an event, and do what it says."""
        for action in self.core.step(self.now(), event):
            match action:
                case deciding.Persist(kept):
                    self._tasks.spawn(self._persist(kept))
                case deciding.Enrol(name, on):
                    self._enrol(name, on)
                    if not on:
                        self._gone(name)
                case deciding.Granted(ticket):
                    self._granted[ticket] = action
                case deciding.Published(ticket, edition):
                    self._settle(ticket, edition)
                case deciding.Conflict(ticket, newest):
                    self._settle(
                        ticket, PreconditionFailedError("not published", f"the newest edition is {newest}")
                    )
                case deciding.Unwritten(ticket):
                    self._settle(ticket, UnwrittenError("not published", "the disk refused it"))
                case deciding.Told():
                    self._encoded = None
                    self.channel.state_changed()

    def report(
        self, name: str, report: Report, objections: Mapping[str, Objection] | None = None
    ) -> deciding.Granted:
        """Have the core decide on a report; `objections` are those of an aggregator's children."""
        ticket = next(self._tickets)
        self.step(Reported(ticket, name, report, objections or {}))
        granted = self._granted.pop(ticket)
        self.figures.reports += 1
        self.figures.granted += granted.permission_ms > 0.0
        return granted

    def _gone(self, name: str) -> None:
        """A member has left for good, and what was known of it goes."""
        for sidecar in (name, *self.directory.forget(name)):
            for rider in self.riders:
                rider.gone(sidecar)

    def _settle(self, ticket: int, result: int | Exception) -> None:
        future = self._waiting.pop(ticket, None)
        if future is None or future.done():
            return
        if isinstance(result, int):
            future.set_result(result)
        else:
            future.set_exception(result)

    async def _persist(self, kept: Kept) -> None:
        before = self.core.kept
        try:
            value = msgspec.to_builtins(kept)
            await self.host.store.submit(Put(table=RULES, key=STATE, value=value))
        except NotWrittenError as error:
            log.error("not durable", reason=str(error))
            self.step(deciding.Failed())
            return
        self.step(deciding.Durable())
        self._say(before, kept)

    @staticmethod
    def _say(before: Kept, kept: Kept) -> None:
        if kept.committed.number != before.committed.number:
            log.info("committed", edition=kept.committed.number)
        if kept.halted is not None and kept.halted != before.halted:
            log.warning("halted", edition=kept.halted.edition.number, objections=kept.halted.objections)
        if kept.pending is not None and kept.pending != before.pending:
            log.info("prepared", edition=kept.pending.number, layers=kept.pending.layers)

    def _enrol(self, name: str, on: bool) -> None:
        if on and name in self._enrolling:
            return
        self._enrolling.add(name)
        self._tasks.spawn(self._write_name(name, on))

    async def _write_name(self, name: str, on: bool) -> None:
        try:
            if on:
                await self.host.store.submit(Put(table=ROSTER, key=name, value={}, quiet=True))
                self.core.enrolled(name)
            else:
                await self.host.store.submit(Delete(table=ROSTER, key=name))
        except NotWrittenError as error:
            log.warning("roster not durable", name=name, reason=str(error))
        finally:
            self._enrolling.discard(name)

    async def _tick(self) -> None:
        swept = self.now()
        while True:
            await asyncio.sleep(TICK_S)
            with faults(log):
                self.step(deciding.Tick())
                if self.now() - swept > SWEEP_S * 1000.0:
                    swept = self.now()
                    self._sweep(swept)

    def _sweep(self, now: float) -> None:
        """Take off the roster whoever has not been heard of for very long, and forget who never was on it:
        each takes a place among those that may report.

        Names of the roster only where it may permit: else a minority would make itself a majority."""
        alone = not self.core.may_permit(now)
        fleet, limit = self.core.fleet, now - self.settings.forget_ms
        fleet.holding(now)  # drops what is over: a life each report must not add up between two editions
        for name in [*fleet.edges.keys() | fleet.names]:
            if name in fleet.names and not alone:
                continue
            edge = fleet.edges.get(name)
            if (edge.last_ms if edge is not None else self._started) < limit:
                log.warning("forgotten", name=name, reason="no report for too long")
                self.step(deciding.Forget(name))
                self._gone(name)

    # --- /rules -----------------------------------------------------------------------

    def line(self) -> bytes:
        """The state as it is told: the edition that matters most now, and the one in force beside it."""
        if self._encoded is None or self._encoded[0] is not self.core.kept:
            self._encoded = (self.core.kept, _encode(self.state()))
        return self._encoded[1]

    def state(self) -> dict[str, Any]:
        """The same as plain values."""
        return revision_state.current_state(self.core.kept, self.core.fleet.life)

    async def _get(self, request: web.Request) -> web.StreamResponse:
        if request.query.get("watch", "0") not in ("0", ""):
            return await self.host.watch(request, PLACE)
        asked = request.query.get("edition")
        if asked is None:
            return answer(self.line())
        core = self.core
        number = calls.number(asked, "edition")
        return answer(_encode(revision_state.state_of(core.kept, core.fleet.life, core.outcomes, number)))

    async def _put(self, request: web.Request) -> web.Response:
        try:
            settings = msgspec.json.decode(await self.host.body(request))
        except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as wrong:
            raise DocumentError("settings are no JSON", str(wrong)) from wrong
        found = document.faults(settings)
        if found:
            raise DocumentError("settings refused", found)
        forced = request.headers.get("X-Force", "0") not in ("0", "")
        self._harmless(settings, forced)
        number = await self.publish(
            settings=settings,
            if_match=calls.match(request),
            request_id=calls.request_id(request),
            forced=forced,
        )
        self.figures.published += 1
        return answer(_encode({"edition": number}))

    def _harmless(self, settings: dict[str, Any], forced: bool) -> None:
        others = [edition.settings for edition in self.core.current(self.now())]
        harm = document.harm(settings, self._regions(), others)
        if harm and not forced:
            self.figures.harmful += 1
            raise HarmfulError("edition refused", harm)
        self.figures.forced += bool(harm)

    def _regions(self) -> frozenset[str]:
        rows = self.host.store.state.rows(INSTANCES)
        return frozenset(row.value["zone"] for row in rows if row.value["status"] == "active")

    def publish(self, **layers: Any) -> asyncio.Future[int]:
        """Have an edition published; its number, once that is durable."""
        ticket = next(self._tickets)
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self.step(deciding.Publish(ticket, list_index=self.host.store.state.last_index(INSTANCES), **layers))
        return future

    def kept(self) -> Kept:
        """What is durable of the editions."""
        return self.core.kept

    def layer(self) -> list[dict[str, Any]] | None:
        """The overrides of the newest edition; None while one is on its way."""
        kept = self.core.kept
        return None if kept.pending is not None else kept.committed.overrides

    # --- /edges -----------------------------------------------------------------------

    async def _report(self, request: web.Request) -> web.Response:
        name = entries.name(request.match_info["name"])
        try:
            report = read_report(request, name, await self.host.body(request))
        except ReportError:
            self.figures.refused_reports += 1
            raise
        if self.directory.live(self.now(), name):
            self.figures.refused_reports += 1
            raise AggregatorNameError(f"sidecar {name}", "an aggregator has this name")
        if name not in self.core.fleet.edges and len(self.core.fleet.edges) >= self.settings.members_most:
            self.figures.refused_reports += 1
            raise UnavailableError(
                "no place", f"all {self.settings.members_most} sidecars are known", retry_s=10.0
            )
        return calls.Brief(body=_encode(self._permission(name, report)))

    def _permission(self, name: str, report: Report) -> dict[str, Any]:
        more: dict[str, Any] = {}
        for rider in () if report.leaving else self.riders:  # it says nothing of what it acted on
            more |= rider.reported(name, report)
        granted = self.report(name, report)
        kept, index = self.core.kept, self.host.store.state.last_index(INSTANCES)
        newest = kept.pending.number if kept.pending is not None else kept.committed.number
        return {
            "edition": granted.edition,
            "permission_ms": granted.permission_ms,
            "list_index": index,
            "news": newest > report.held or index > report.list_index,
            # The rest is left out where it is as a sidecar takes it to be.
            **({"life": self.core.fleet.life} if report.of != self.core.fleet.life else {}),
            **({"pending": granted.pending} if granted.pending else {}),
            **({"why": granted.why} if granted.why else {}),
            **pace.told(len(self.core.fleet.edges), self.sidecars()),
            **more,
        }

    async def _forget(self, request: web.Request) -> web.Response:
        name = entries.name(request.match_info["name"])
        if name not in self.core.fleet.names and name not in self.core.fleet.edges:
            via = self.directory.owner(name)
            why = f"reports to aggregator {via}: end it there" if via else "has not reported to this service"
            raise NotFoundError("no such member", f"{name} {why}")
        self.step(deciding.Forget(name))
        self._gone(name)
        return answer(_encode({"name": name}))

    def sidecars(self) -> int:
        """How many sidecars there are in the whole fleet, each counted once: those on the roster, and the
        children of aggregators."""
        now, names = self.now(), self.core.fleet.names
        if not self.directory.aggregators:
            return len(names)
        if now - self._counted[0] > COUNTED_MS:
            direct = sum(name not in self.directory and not self.directory.knows(name) for name in names)
            self._counted = (now, direct + self.directory.count())
        return self._counted[1]

    def leave_roster(self) -> None:
        """Take off the roster who reports to an aggregator by now: its vote would be missed for good.

        Only the service that permits may do so, as with all that leave."""
        now, fleet = self.now(), self.core.fleet
        if self.core.may_permit(now):
            return
        for name in [name for name in fleet.names if name in self.directory]:
            edge = fleet.edges.get(name)
            if edge is None or now - edge.last_ms > self.core.timing.season_ms:
                self.step(deciding.Forget(name))

    def view(self) -> View:
        """What the listing of sidecars is compared with."""
        return View(self.core.kept.committed.number, self.core.fleet.life, self.core.timing.over_ms)

    def rows(self) -> list[SidecarRow]:
        """Every sidecar that reports here itself, or did, by its newest report."""
        now, fleet, view = self.now(), self.core.fleet, self.view()
        names = sorted(fleet.edges.keys() | fleet.names)
        reported = {name: reported_row(edge, now, view) for name, edge in fleet.edges.items()}
        return [
            reported.get(name) or SidecarRow(name=name, behind=NEVER)
            for name in names
            if name not in self.directory and not self.directory.knows(name)
        ]

    def status(self) -> dict[str, Any]:
        """For `/status`."""
        kept, now = self.core.kept, self.now()
        return {
            "edition": kept.committed.number,
            "prepared": kept.pending.number if kept.pending is not None else 0,
            "permits": self.core.may_permit(now) or "yes",
            "edges": len(self.core.fleet.names),
            "sidecars": self.sidecars(),
            "may_act": len(self.core.fleet.holding(now)),
            "reports": self.figures.reports,
            "reports_refused": self.figures.refused_reports + self.core.fleet.stale,
            "harmful_refused": self.figures.harmful,
            "harmful_forced": self.figures.forced,
        }
