"""The shell of the agreement: `/rules` and `/edges` over the durable table."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from itertools import count
from typing import Any, Protocol

import msgspec
from aiohttp import web

from brassfall.agreement import core as deciding
from brassfall.agreement import document, pace
from brassfall.agreement.core import Agreement, Event, Kept, Reported, Timing
from brassfall.agreement.document import DocumentError, Edition, HarmfulError
from brassfall.agreement.edges import Edge, Fleet, Report, ReportError
from brassfall.errors import Missing, Stale, Unavailable
from brassfall.logs import faults, logger
from brassfall.registry import calls, entries
from brassfall.registry.calls import answer
from brassfall.registry.entries import INSTANCES
from brassfall.registry.reports import read_report
from brassfall.registry.tasks import Tasks
from brassfall.registry.watches import Channel, Lines
from brassfall.settings import AgreementSettings
from brassfall.table.core import Delete, Put
from brassfall.table.store import NotWritten, Store

RULES, ROSTER = "rules", "edges"
STATE = "state"
PLACE = "/rules"  # among the channels of watches
TICK_S = 0.05
LIST_OLD_MS = 10_000.0  # a watch brings a word every 2 s, and is opened anew after 4.5 s of silence
SWEEP_S = 60.0

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


class UnwrittenError(Unavailable):
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
    channel: Lines = field(init=False)
    core: Agreement = field(init=False)
    figures: Figures = field(default_factory=Figures)
    barred: dict[str, str] = field(default_factory=dict)  # sidecars without permission, and why
    riders: list[Rider] = field(default_factory=list)  # what else reports carry
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
        row = store.table.get(RULES, STATE)
        kept = msgspec.convert(row.value, Kept) if row is not None else Kept()
        fleet = Fleet(life=store.life, names={row.key for row in store.table.rows(ROSTER)})
        timing = Timing(agree_ms=self.settings.agree_ms)
        self._started = self._now()
        self.core = Agreement(timing, self._started, kept, fleet, barred=self.barred)
        self.channel = Lines(self.line, watch_bytes, stuck_s)
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
            web.get("/edges", self._edges),
        ]

    # --- the core ---------------------------------------------------------------------

    @staticmethod
    def _now() -> float:
        return time.monotonic() * 1000.0

    def step(self, event: Event) -> None:
        """Give the core an event, and do what it says."""
        for action in self.core.step(self._now(), event):
            match action:
                case deciding.Persist(kept):
                    self._tasks.spawn(self._persist(kept))
                case deciding.Enrol(name, on):
                    self._enrol(name, on)
                    if not on:
                        for rider in self.riders:
                            rider.gone(name)
                case deciding.Granted(ticket):
                    self._granted[ticket] = action
                case deciding.Published(ticket, edition):
                    self._settle(ticket, edition)
                case deciding.Conflict(ticket, newest):
                    self._settle(ticket, Stale("not published", f"the newest edition is {newest}"))
                case deciding.Unwritten(ticket):
                    self._settle(ticket, UnwrittenError("not published", "the disk refused it"))
                case deciding.Told():
                    self._encoded = None
                    self.channel.poke()

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
        except NotWritten as error:
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
        except NotWritten as error:
            log.warning("roster not durable", name=name, reason=str(error))
        finally:
            self._enrolling.discard(name)

    async def _tick(self) -> None:
        swept = self._now()
        while True:
            await asyncio.sleep(TICK_S)
            with faults(log):
                self.step(deciding.Tick())
                if self._now() - swept > SWEEP_S * 1000.0:
                    swept = self._now()
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
                for rider in self.riders:
                    rider.gone(name)

    # --- /rules -----------------------------------------------------------------------

    def line(self) -> bytes:
        """The state as it is told: the edition that matters most now, and the one in force beside it."""
        if self._encoded is None or self._encoded[0] is not self.core.kept:
            self._encoded = (self.core.kept, _encode(self.state()))
        return self._encoded[1]

    def state(self) -> dict[str, Any]:
        """The same as plain values."""
        kept = self.core.kept
        if kept.pending is not None:
            return self._told(kept.pending, "prepared") | {"committed": self._plain(kept.committed)}
        if kept.halted is not None and kept.halted.edition.number > kept.committed.number:
            told = self._told(kept.halted.edition, "halted", kept.halted.objections)
            return told | {"committed": self._plain(kept.committed)}
        return self._told(kept.committed, "committed")

    def _told(self, edition: Edition, state: str, objections: dict[str, str] | None = None) -> dict[str, Any]:
        reasons = [{"edge": name, "reason": why} for name, why in (objections or {}).items()]
        more = {"life": self.core.fleet.life, "state": state, "objections": reasons}
        return {**self._plain(edition), **more, "newest": self.core.kept.newest}

    @staticmethod
    def _plain(edition: Edition) -> dict[str, Any]:
        return {
            "edition": edition.number,
            "follows": edition.follows,
            "list_index": edition.list_index,
            "settings": edition.settings,
            "plan": edition.plan,
            "plan_edition": edition.plan_edition,
            "overrides": edition.overrides,
        }

    async def _get(self, request: web.Request) -> web.StreamResponse:
        if request.query.get("watch", "0") not in ("0", ""):
            return await self.host.watch(request, PLACE)
        asked = request.query.get("edition")
        if asked is None:
            return answer(self.line())
        return answer(_encode(self._one(calls.number(asked, "edition"))))

    def _one(self, number: int) -> dict[str, Any]:
        """What became of one edition."""
        kept = self.core.kept
        if number == kept.committed.number:
            return self._told(kept.committed, "committed")
        for edition in (kept.pending, kept.waiting):
            if edition is not None and edition.number == number:
                return self._told(edition, "prepared")
        if kept.halted is not None and kept.halted.edition.number == number:
            return self._told(kept.halted.edition, "halted", kept.halted.objections)
        if number in self.core.outcomes:
            was = self.core.outcomes[number]
            state = "committed" if was == "committed" else "halted"
            reasons = [] if state == "committed" else [{"edge": "", "reason": was}]
            return {"edition": number, "life": self.core.fleet.life, "state": state, "objections": reasons}
        raise Missing(
            "no such edition", f"{number} is neither in force nor among the last that were published"
        )

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
        others = [edition.settings for edition in self.core.current(self._now())]
        harm = document.harm(settings, self._regions(), others)
        if harm and not forced:
            self.figures.harmful += 1
            raise HarmfulError("edition refused", harm)
        self.figures.forced += bool(harm)

    def _regions(self) -> frozenset[str]:
        rows = self.host.store.table.rows(INSTANCES)
        return frozenset(row.value["zone"] for row in rows if row.value["status"] == "active")

    def publish(self, **layers: Any) -> asyncio.Future[int]:
        """Have an edition published; its number, once that is durable."""
        ticket = next(self._tickets)
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = future
        self.step(deciding.Publish(ticket, list_index=self.host.store.table.last(INSTANCES), **layers))
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
        if name not in self.core.fleet.edges and len(self.core.fleet.edges) >= self.settings.edges_most:
            self.figures.refused_reports += 1
            raise Unavailable("no place", f"all {self.settings.edges_most} sidecars are known", retry_s=10.0)
        return calls.Brief(body=_encode(self._permission(name, report)))

    def _permission(self, name: str, report: Report) -> dict[str, Any]:
        more: dict[str, Any] = {}
        for rider in () if report.leaving else self.riders:  # it says nothing of what it acted on
            more |= rider.reported(name, report)
        ticket = next(self._tickets)
        self.step(Reported(ticket, name, report))
        granted = self._granted.pop(ticket)
        self.figures.reports += 1
        self.figures.granted += granted.permission_ms > 0.0
        kept, index = self.core.kept, self.host.store.table.last(INSTANCES)
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
            **pace.told(len(self.core.fleet.edges), len(self.core.fleet.names)),
            **more,
        }

    async def _forget(self, request: web.Request) -> web.Response:
        name = entries.name(request.match_info["name"])
        if name not in self.core.fleet.names and name not in self.core.fleet.edges:
            raise Missing("no such sidecar", f"{name} has not reported to this service")
        self.step(deciding.Forget(name))
        for rider in self.riders:
            rider.gone(name)
        return answer(_encode({"name": name}))

    async def _edges(self, request: web.Request) -> web.Response:
        return answer(_encode(self.edges()))

    def edges(self) -> dict[str, Any]:
        """Every sidecar, by its newest report, and the spread of their lists."""
        now, fleet, index = self._now(), self.core.fleet, self.host.store.table.last(INSTANCES)
        rows = [self._edge(name, now) for name in sorted(fleet.edges.keys() | fleet.names)]
        found = [rider.findings() for rider in self.riders]
        for row in rows:
            more = [line for each in found for line in each.get(row["name"], ())]
            row["behind"] = "; ".join([*([row["behind"]] if row["behind"] else []), *more])
        fresh = [
            row for row in rows if row["age_ms"] is not None and row["age_ms"] <= self.core.timing.over_ms
        ]
        lists = [row["list_index"] for row in fresh]
        ages = [row["list_age_ms"] for row in fresh if row["list_age_ms"] is not None]
        return {
            "edges": rows,
            "edition": self.core.kept.committed.number,
            "permits": self.core.may_permit(now) or "yes",
            "list": {
                "index": index,
                "oldest": min(lists, default=index),
                "newest": max(lists, default=index),
                "oldest_age_ms": max(ages, default=None),
            },
        }

    def _edge(self, name: str, now: float) -> dict[str, Any]:
        edge = self.core.fleet.edges.get(name)
        if edge is None:
            told = dict.fromkeys(("held", "prepared", "acting", "age_ms", "list_index", "list_age_ms"))
            return {
                "name": name,
                **told,
                "overrides": [],
                "behind": "has not reported since the service began",
            }
        report = edge.report
        return {
            "name": name,
            "held": report.held,
            "prepared": report.prepared,
            "acting": report.acting,
            "age_ms": round(now - edge.last_ms),
            "list_index": report.list_index,
            "list_age_ms": report.list_age_ms,
            "overrides": report.overrides or [],
            "group": report.group,
            "region": report.region,
            "behind": self._behind(edge, now),
        }

    def _behind(self, edge: Edge, now: float) -> str:
        """In what a sidecar lags, as a line; empty where it does not."""
        report, kept = edge.report, self.core.kept
        if now - edge.last_ms > self.core.timing.over_ms:
            return "silent: it acts on safe rules, or is gone"
        if report.objection is not None and report.objection.edition >= kept.committed.number:
            return f"objects to edition {report.objection.edition}: {report.objection.reason}"
        if report.held < kept.committed.number:
            return f"does not hold edition {kept.committed.number}"
        if report.of not in (None, 0, self.core.fleet.life):
            return f"takes the word of another life of the service, {report.of}"
        age = report.list_age_ms
        if age is not None and age > LIST_OLD_MS:
            return f"its list may be {age / 1000.0:.1f} s old: it keeps it, and asks on"
        if report.acting != kept.committed.number:
            return "acts on safe rules" if report.acting == "safe" else f"acts on edition {report.acting}"
        return ""

    def status(self) -> dict[str, Any]:
        """For `/status`."""
        kept, now = self.core.kept, self._now()
        return {
            "edition": kept.committed.number,
            "prepared": kept.pending.number if kept.pending is not None else 0,
            "permits": self.core.may_permit(now) or "yes",
            "edges": len(self.core.fleet.names),
            "may_act": len(self.core.fleet.holding(now)),
            "reports": self.figures.reports,
            "reports_refused": self.figures.refused_reports + self.core.fleet.stale,
            "harmful_refused": self.figures.harmful,
            "harmful_forced": self.figures.forced,
        }
