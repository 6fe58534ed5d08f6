"""The shell of the tier at the deciding service: reports of aggregators, their listing, and who asks down."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.directory import AggregatorNameError, AggregatorProcess, Heard
from brassfall.controlplane.aggregation.messages import (
    AggregatorLease,
    AggregatorReport,
    AggregatorReportError,
    ChildCounts,
    parse_report,
)
from brassfall.controlplane.aggregation.orders import Orders
from brassfall.controlplane.registry import calls, children_listing, entries, sidecar_rows
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.children_listing import Gathered
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.geo import Geo
from brassfall.controlplane.registry.overrides import Overrides
from brassfall.controlplane.registry.rules import Host, Rules
from brassfall.controlplane.registry.sidecar_rows import SidecarRow
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.revisions.edges import Objection, Report
from brassfall.logs import faults, logger

SWEEP_S = 1.0
NAME_MOST = 128
REPLACED = "a newer process of its name reports"

log = logger("aggregators")
_encode = msgspec.json.Encoder().encode


class AggregatorRow(msgspec.Struct):
    """One aggregator in `GET /aggregators`; ages in ms; `members`: its children, as counted here."""

    name: str
    region: str
    listen: str
    age_ms: int
    life: str
    epoch: int | None
    held: int
    acknowledged: int
    prepared: int
    list_index: int
    list_age_ms: float | None
    children: ChildCounts
    members: int
    lagging: list[str]
    objections: dict[str, str]
    behind: str


class Listing(msgspec.Struct):
    """The answer to `GET /edges`. `unanswered`: aggregators that did not tell of their children, and why."""

    edges: list[SidecarRow]
    edition: int
    permits: str
    list: sidecar_rows.Spread
    unanswered: dict[str, str] = {}


@dataclass(slots=True)
class Figures:
    """What has come since the start."""

    reports: int = 0
    malformed: int = 0
    name_conflicts: int = 0
    superseded: int = 0  # reports of processes that another of their name has followed


@dataclass(slots=True)
class Aggregators:
    """All aggregators of one deciding service."""

    host: Host
    rules: Rules
    overrides: Overrides
    geo: Geo
    figures: Figures = field(default_factory=Figures)
    _orders: dict[tuple[str, str], Orders] = field(default_factory=dict)  # by name and process id
    _tasks: Tasks = field(default_factory=Tasks)
    _session: aiohttp.ClientSession | None = None
    _gathering: asyncio.Task[Gathered] | None = None  # that all who ask meanwhile share

    def start(self) -> None:
        """Look after the children from now on. The rules have to be started."""
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._tasks.spawn(self._tick())

    async def close(self) -> None:
        """Ask nobody any more."""
        await self._tasks.end()
        if self._gathering is not None:
            self._gathering.cancel()
            await asyncio.gather(self._gathering, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def routes(self) -> list[web.RouteDef]:
        """The paths."""
        return [
            web.post("/aggregators/{name}", self._report),
            web.get("/aggregators", self._list),
            web.get("/edges", self._edges),
        ]

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            with faults(log):
                self.rules.leave_roster()
                self._part(self.rules.directory.sweep(self.rules.now()))
                live = {
                    (name, process.report.life) for name, process in self.rules.directory.aggregators.items()
                }
                self._orders = {key: orders for key, orders in self._orders.items() if key in live}

    # --- reports --------------------------------------------------------------------------------

    async def _report(self, request: web.Request) -> web.Response:
        name = entries.name(request.match_info["name"])
        try:
            report = parse_report(await self.host.body(request))
            _check_sound(report)
        except AggregatorReportError:
            self.figures.malformed += 1
            raise
        try:
            lease = self.reported(name, report)
        except AggregatorNameError as error:
            self.figures.name_conflicts += 1
            log.warning("name conflict", name=name, reason=error.summary, action=error.action)
            raise
        return calls.Brief(body=_encode(lease))

    def reported(self, name: str, report: AggregatorReport) -> AggregatorLease:
        """Take in a report of an aggregator; its lease, and what else it is told."""
        now, rules = self.rules.now(), self.rules
        edge, live_ms = rules.core.fleet.edges.get(name), rules.core.timing.over_ms
        if edge is not None and not rules.directory.knows(name) and now - edge.last_ms <= live_ms:
            raise AggregatorNameError(f"aggregator {name}", "a sidecar that reports here has this name")
        heard = rules.directory.heard(now, rules.core.fleet.life, name, report)
        self.figures.reports += 1
        if heard.superseded:
            self.figures.superseded += 1
            return self._replaced(report)
        if not heard.stale:
            self._part(heard.departed)
            self._part(heard.arrived)
            self.geo.merged(name, report)
        return self._answer(now, name, report, heard)

    def _replaced(self, report: AggregatorReport) -> AggregatorLease:
        """The answer to a process that another of its name has followed. It names what is pending: else it
        would take that for decided, and end what its children have promised under leases that still run."""
        kept, epoch = self.rules.core.kept, self.rules.core.fleet.life
        pending = kept.pending.number if kept.pending is not None else 0
        return AggregatorLease(epoch, kept.committed.number, pending=pending, seq=report.seq, why=REPLACED)

    def _answer(self, now: float, name: str, report: AggregatorReport, heard: Heard) -> AggregatorLease:
        rules, process = self.rules, heard.process
        granted = rules.report(name, _as_member(report), _objections(report))
        orders = self._orders.setdefault((name, report.life), Orders())
        rows = [] if heard.stale else report.exceptions
        owned = [row for row in rows if rules.directory.owner(row.name) == name]
        told = self.overrides.merged(now, owned, report, orders)
        return AggregatorLease(
            epoch=rules.core.fleet.life,
            revision=granted.edition,
            lease_ms=granted.permission_ms,
            pending=granted.pending,
            why=granted.why,
            seq=report.seq,
            list_index=self.host.store.state.last_index(INSTANCES),
            members=max(1, rules.sidecars()),
            moved=rules.directory.moved(process),
            resync=rules.directory.resync(rules.core.fleet.life, process),
            left=told.left,
            digests=told.digests,
            orders=told.orders,
        )

    def _part(self, sidecars: list[str]) -> None:
        """What was found wrong with a sidecar goes with its aggregator: the next one finds it anew."""
        for name in sidecars:
            self.overrides.parted(name)

    # --- listings -------------------------------------------------------------------------------

    async def _list(self, request: web.Request) -> web.Response:
        return answer(_encode({"aggregators": self.rows()}))

    def rows(self) -> list[AggregatorRow]:
        """All aggregators, by their newest reports."""
        now = self.rules.now()
        return [self._row(now, *found) for found in self.rules.directory.aggregators.items()]

    def _row(self, now: float, name: str, process: AggregatorProcess) -> AggregatorRow:
        report = process.report
        return AggregatorRow(
            name=name,
            region=report.region,
            listen=report.listen,
            age_ms=round(now - process.heard_ms),
            life=report.life,
            epoch=report.epoch,
            held=report.held,
            acknowledged=report.acknowledged,
            prepared=report.prepared,
            list_index=report.list_index,
            list_age_ms=report.list_age_ms,
            children=report.children,
            members=len(process.children),
            lagging=report.lagging,
            objections=report.objections,
            behind=self._behind(now, name, process),
        )

    def _behind(self, now: float, name: str, process: AggregatorProcess) -> str:
        report, core = process.report, self.rules.core
        if now - process.heard_ms > core.timing.over_ms:
            return "silent: its children act on safe rules, or have moved"
        older = sum(now - each.heard_ms <= core.timing.over_ms for each in self.rules.directory.former(name))
        if older:
            return f"{older} older processes of its name still report; they get no lease"
        if report.epoch not in (None, 0, core.fleet.life):
            return f"follows another epoch of the service, {report.epoch}"
        if report.held < core.kept.committed.number:
            return f"does not hold revision {core.kept.committed.number}"
        if report.list_age_ms is not None and report.list_age_ms > sidecar_rows.LIST_OLD_MS:
            return f"its list may be {report.list_age_ms / 1000.0:.1f} s old: it keeps it, and asks on"
        if report.children.lagging:
            return f"{report.children.lagging} children have not acknowledged revision {report.acknowledged}"
        return ""

    async def _edges(self, request: web.Request) -> web.Response:
        return answer(_encode(await self.listing()))

    async def listing(self) -> Listing:
        """Every sidecar: those that report here, and the children of aggregators as these tell them."""
        rules = self.rules
        gathered = await self._gathered()
        rows = {row.name: row for row in rules.rows()}
        rows |= self._children(gathered)
        view, found = rules.view(), [rows[name] for name in sorted(rows)]
        sidecar_rows.add_findings(found, [rider.findings() for rider in rules.riders])
        return Listing(
            edges=found,
            edition=view.committed,
            permits=rules.core.may_permit(rules.now()) or "yes",
            list=sidecar_rows.spread(found, self.host.store.state.last_index(INSTANCES), view.silent_ms),
            unanswered=gathered.unanswered,
        )

    async def _gathered(self) -> Gathered:
        listens = {name: each.report.listen for name, each in self.rules.directory.aggregators.items()}
        if not listens or self._session is None:
            return Gathered()
        if self._gathering is None or self._gathering.done():
            work = children_listing.gather(self._session, listens, self.rules.view())
            self._gathering = asyncio.create_task(work)
        return await asyncio.shield(self._gathering)

    def _children(self, gathered: Gathered) -> dict[str, SidecarRow]:
        """Rows of children, each from the aggregator that has it; without one where that does not answer."""
        made: dict[str, SidecarRow] = {}
        directory = self.rules.directory
        for name, process in directory.aggregators.items():
            why = "does not answer" if name in gathered.unanswered else "does not list it"
            for child in process.children:
                made[child] = SidecarRow(name=child, behind=f"aggregator {name} {why}", via=name)
        for name, rows in gathered.rows.items():
            for row in rows:
                has = directory.owner(row.name)
                if has == name or (has is None and row.name not in self.rules.core.fleet.edges):
                    made[row.name] = row
        return made

    def status(self) -> dict[str, Any]:
        """For `/status`."""
        now, directory = self.rules.now(), self.rules.directory
        return {
            "known": len(directory.aggregators),
            "live": sum(directory.live(now, name) for name in directory.aggregators),
            "children": directory.count(),
            "children_unplaced": directory.unplaced,
            "reports": self.figures.reports,
            "reports_malformed": self.figures.malformed,
            "name_conflicts": self.figures.name_conflicts,
            "reports_superseded": self.figures.superseded,
        }


def _as_member(report: AggregatorReport) -> Report:
    """An aggregator as one member of the agreement."""
    return Report(
        life=report.life,
        seq=report.seq,
        of=report.epoch,
        held=report.held,
        prepared=report.prepared,
        acknowledged=report.acknowledged,
        acting=report.held,
        list_index=report.list_index,
        list_age_ms=report.list_age_ms,
        region=report.region,
        # While a child may act, the lease counts on: it is released by none but the last.
        leaving=report.leaving and not report.children.leased,
    )


def _objections(report: AggregatorReport) -> dict[str, Objection]:
    return {name: Objection(report.acknowledged, reason) for name, reason in report.objections.items()}


def _check_sound(report: AggregatorReport) -> None:
    """What no aggregator says that is as it should be."""
    names = [member.name for member in (*report.joined, *report.departed)]
    names += [*report.lagging, *report.objections, *(row.name for row in report.exceptions)]
    if any(not 0 < len(name) <= NAME_MOST for name in names):
        raise AggregatorReportError("no report of an aggregator", "the name of a child: 1 to 128 characters")
    lagging = report.children.lagging or len(report.lagging)
    if lagging and report.prepared and report.prepared == report.acknowledged:
        raise AggregatorReportError(
            "no report of an aggregator",
            f"prepared says that all have acknowledged {report.prepared}, lagging that some have not",
        )
