"""HTTP calls of aggregators: `POST /aggregators/NAME` takes a report, `GET /aggregators` lists them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.child_orders import ChildOrders
from brassfall.controlplane.aggregation.directory import AggregatorNameError, ReceivedReport
from brassfall.controlplane.aggregation.messages import (
    UNREADABLE,
    AggregatorLease,
    AggregatorReport,
    AggregatorReportError,
    parse_report,
)
from brassfall.controlplane.registry import calls, entries
from brassfall.controlplane.registry.aggregator_rows import AggregatorListing, AggregatorRow, aggregator_row
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.fleet import Fleet
from brassfall.controlplane.registry.geo import Geo
from brassfall.controlplane.registry.overrides import Overrides
from brassfall.controlplane.registry.revision_service import RevisionService
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.controlplane.revisions.leases import ProcessKey
from brassfall.controlplane.revisions.reports import Objection, Report
from brassfall.logs import faults, logger

SWEEP_S = 1.0  # interval at which forgotten and migrated children are removed
MAX_NAME_LENGTH = 128  # maximum length of a child's name in a report, in characters
SUPERSEDED = "a newer process of its name reports"  # on the wire, as the reason to grant no lease

log = logger("aggregators")
_encode = msgspec.json.Encoder().encode


class AggregatorsStatus(msgspec.Struct, frozen=True):
    """The part of `/status` about aggregators; counts of events run since the start of the process."""

    known: int  # number of known aggregators
    live: int  # number of aggregators that have reported recently
    children: int  # number of children of all aggregators
    children_unplaced: int  # number of arrivals of children beyond the maximum that is kept
    reports: int
    reports_malformed: int
    name_conflicts: int  # number of reports refused because another node has the aggregator's name
    reports_superseded: int  # number of reports of processes replaced by a newer one of the same name


@dataclass(slots=True)
class AggregatorStatistics:
    """Counts of aggregators' reports since the start of the process."""

    reports: int = 0
    malformed: int = 0
    name_conflicts: int = 0
    superseded: int = 0


class Aggregators:
    """Answers the reports of the aggregators below one list service, and lists these aggregators."""

    def __init__(self, service: RevisionService, fleet: Fleet, overrides: Overrides, geo: Geo) -> None:
        self._service = service
        self._fleet = fleet
        self._overrides = overrides
        self._geo = geo
        self._statistics = AggregatorStatistics()
        self._child_orders: dict[
            ProcessKey, ChildOrders
        ] = {}  # orders for the children of each aggregator process
        self._tasks = Tasks()

    def start(self) -> None:
        """Start to remove migrated and forgotten children; call it after `RevisionService.start`."""
        self._tasks.spawn(self._sweep())

    async def close(self) -> None:
        """Cancel the removal of children, and wait until it has ended."""
        await self._tasks.end()

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes below `/aggregators`."""
        return [web.post("/aggregators/{name}", self._report), web.get("/aggregators", self._list)]

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            with faults(log):
                self._service.remove_migrated()
                directory = self._service.directory
                self._forget_moved_sidecars(directory.sweep(self._service.now()))
                live = {
                    ProcessKey(name, process.report.process_id)
                    for name, process in directory.aggregators.items()
                }
                self._child_orders = {
                    key: orders for key, orders in self._child_orders.items() if key in live
                }

    # --- reports --------------------------------------------------------------------------------

    async def _report(self, request: web.Request) -> web.Response:
        name = entries.check_name(request.match_info["name"])
        try:
            report = parse_report(await self._service.host.body(request))
            _check_consistent(report)
        except AggregatorReportError:
            self._statistics.malformed += 1
            raise
        try:
            lease = self.receive_report(name, report)
        except AggregatorNameError as error:
            self._statistics.name_conflicts += 1
            log.warning(
                "aggregator report refused, its name belongs to another aggregator",
                name=name,
                reason=error.summary,
                action=error.action,
            )
            raise
        return calls.MinimalResponse(body=_encode(lease))

    def receive_report(self, name: str, report: AggregatorReport) -> AggregatorLease:
        """Apply the report of the aggregator `name`; return the answer to it.

        Raise `AggregatorNameError` if a sidecar or another aggregator has the name, and `UnavailableError`
        if the maximum number of aggregators is known.
        """
        now, service = self._service.now(), self._service
        self._check_name(now, name)
        received = service.directory.receive_report(now, service.coordinator.epoch, name, report)
        self._statistics.reports += 1
        if received.superseded:
            self._statistics.superseded += 1
            return self._superseded_answer(report)
        if not received.stale:
            self._forget_moved_sidecars(received.departed)
            self._forget_moved_sidecars(received.arrived)
            self._geo.receive_aggregator_report(name, report)
        return self._lease_answer(now, name, report, received)

    def _check_name(self, now: float, name: str) -> None:
        coordinator = self._service.coordinator
        node = coordinator.membership.nodes.get(name)
        if node is None or self._service.directory.knows(name):
            return
        if now - node.reported_ms <= coordinator.timing.expiry_bound_ms:
            aggregator = f"aggregator {name}"
            raise AggregatorNameError(aggregator, "a sidecar that reports here has this name")

    def _superseded_answer(self, report: AggregatorReport) -> AggregatorLease:
        """Return the answer to a process that a newer process of the same name has replaced.

        The answer names the pending revision. Without it the process would take that revision for decided,
        and would end promises of children whose leases still run.
        """
        coordinator = self._service.coordinator
        return AggregatorLease(
            coordinator.epoch,
            coordinator.state.committed.number,
            pending=coordinator.state.pending_number,
            seq=report.seq,
            why=SUPERSEDED,
        )

    def _lease_answer(
        self, now: float, name: str, report: AggregatorReport, received: ReceivedReport
    ) -> AggregatorLease:
        service = self._service
        epoch, directory = service.coordinator.epoch, service.directory
        granted = service.answer_report(name, _as_node_report(report), _objections(report))
        orders = self._child_orders.setdefault(ProcessKey(name, report.process_id), ChildOrders())
        rows = [] if received.stale else report.exceptions
        owned = [row for row in rows if directory.owner(row.name) == name]
        overrides = self._overrides.receive_aggregator_report(now, owned, report, orders)
        return AggregatorLease(
            epoch=epoch,
            revision=granted.revision,
            lease_ms=granted.lease_ms,
            pending=granted.pending,
            why=granted.why,
            seq=report.seq,
            list_index=service.host.store.state.last_index(INSTANCES),
            members=max(1, self._fleet.count()),
            migrated=directory.take_migrated(received.process),
            resync=directory.resync(epoch, received.process),
            times_left=overrides.left,
            digests=overrides.digests,
            orders=overrides.orders,
        )

    def _forget_moved_sidecars(self, sidecars: list[str]) -> None:
        """Close the findings about sidecars that changed their aggregator; later reports may reopen them."""
        for name in sidecars:
            self._overrides.forget_moved_sidecar(name)

    # --- views ----------------------------------------------------------------------------------

    async def _list(self, _request: web.Request) -> web.Response:
        return answer(_encode(AggregatorListing(self.rows())))

    def rows(self) -> list[AggregatorRow]:
        """Return the rows of `GET /aggregators`, one for each aggregator."""
        now, expected, directory = self._service.now(), self._fleet.expected(), self._service.directory
        return [
            aggregator_row(name, process, directory.former(name), now, expected)
            for name, process in directory.aggregators.items()
        ]

    def status(self) -> AggregatorsStatus:
        """Return the part of `/status` about aggregators."""
        now, directory, statistics = self._service.now(), self._service.directory, self._statistics
        return AggregatorsStatus(
            known=len(directory.aggregators),
            live=sum(directory.live(now, name) for name in directory.aggregators),
            children=directory.count(),
            children_unplaced=directory.unplaced,
            reports=statistics.reports,
            reports_malformed=statistics.malformed,
            name_conflicts=statistics.name_conflicts,
            reports_superseded=statistics.superseded,
        )


def _as_node_report(report: AggregatorReport) -> Report:
    """Convert an aggregator's report into the form of a sidecar's, which the coordinator reads."""
    return Report(
        process_id=report.process_id,
        seq=report.seq,
        epoch=report.epoch,
        newest_revision=report.newest_revision,
        prepared=report.prepared,
        acknowledged=report.acknowledged,
        acting=report.newest_revision,
        list_index=report.list_index,
        list_age_ms=report.list_age_ms,
        region=report.region,
        # An aggregator that leaves keeps its lease while one of its children still holds one.
        leaving=report.leaving and not report.children.leased,
    )


def _objections(report: AggregatorReport) -> dict[str, Objection]:
    return {name: Objection(report.acknowledged, reason) for name, reason in report.objections.items()}


def _check_consistent(report: AggregatorReport) -> None:
    """Raise `AggregatorReportError` for a report with a malformed child name or contradictory fields."""
    names = [member.name for member in (*report.joined, *report.departed)]
    names += [*report.lagging, *report.objections, *(row.name for row in report.exceptions)]
    if any(not 0 < len(name) <= MAX_NAME_LENGTH for name in names):
        raise AggregatorReportError(UNREADABLE, f"the name of a child: 1 to {MAX_NAME_LENGTH} characters")
    lagging = report.children.lagging or len(report.lagging)
    if lagging and report.prepared and report.prepared == report.acknowledged:
        raise AggregatorReportError(
            UNREADABLE,
            f"prepared says that all have acknowledged {report.prepared}, lagging that some have not",
        )
