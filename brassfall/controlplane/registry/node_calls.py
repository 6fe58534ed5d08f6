"""HTTP calls `POST /edges/NAME`, a sidecar's report, and `DELETE /edges/NAME`, its removal by an operator."""

from __future__ import annotations

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.directory import AggregatorNameError
from brassfall.controlplane.registry import calls, entries
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.fleet import Fleet
from brassfall.controlplane.registry.report_answer import ReportAnswer
from brassfall.controlplane.registry.reports import read_report
from brassfall.controlplane.registry.revision_service import AnswerFields, RevisionService
from brassfall.controlplane.revisions import messages, pace
from brassfall.controlplane.revisions.reports import Report, ReportError
from brassfall.errors import NotFoundError, UnavailableError

# Error and `Retry-After`, in s, for a report of a new sidecar when the maximum number of nodes is known.
NO_PLACE, NO_PLACE_RETRY_S = "no place", 10.0

_encode = msgspec.json.Encoder().encode


class RemovedAnswer(msgspec.Struct, frozen=True):
    """The answer to `DELETE /edges/NAME`."""

    name: str


class NodeCalls:
    """Answers the reports of sidecars that report to the list service directly."""

    def __init__(self, service: RevisionService, fleet: Fleet) -> None:
        self._service = service
        self._fleet = fleet

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes below `/edges/`."""
        return [web.post("/edges/{name}", self._report), web.delete("/edges/{name}", self._remove)]

    async def _report(self, request: web.Request) -> web.Response:
        name = entries.check_name(request.match_info["name"])
        try:
            report = read_report(request, name, await self._service.host.body(request))
        except ReportError:
            self._service.statistics.refused_reports += 1
            raise
        try:
            self._check_place(name)
        except (AggregatorNameError, UnavailableError):
            self._service.statistics.refused_reports += 1
            raise
        return calls.MinimalResponse(body=_encode(self.answer(name, report)))

    def _check_place(self, name: str) -> None:
        """Check that a report of the sidecar `name` can be accepted.

        Raise `AggregatorNameError` if a live aggregator has the name, and `UnavailableError` if the name is
        new and the maximum number of nodes is known.
        """
        service = self._service
        if service.directory.live(service.now(), name):
            sidecar = f"sidecar {name}"
            raise AggregatorNameError(sidecar, "an aggregator has this name")
        nodes, most = service.coordinator.membership.nodes, service.settings.members_most
        if name not in nodes and len(nodes) >= most:
            raise UnavailableError(NO_PLACE, f"all {most} sidecars are known", retry_s=NO_PLACE_RETRY_S)

    def answer(self, name: str, report: Report) -> ReportAnswer:
        """Apply the report of the sidecar `name`; return the answer to it."""
        service = self._service
        fields: AnswerFields = {}
        if not report.leaving:  # the last report of a sidecar lacks the fields that extensions read
            for extension in service.extensions:
                fields |= extension.receive_report(name, report)
        lease, coordinator = service.answer_report(name, report), service.coordinator
        state, index = coordinator.state, service.host.store.state.last_index(INSTANCES)
        newest = state.pending_number or state.committed.number
        nodes = len(coordinator.membership.nodes)
        return ReportAnswer(
            revision=lease.revision,
            lease_ms=lease.lease_ms,
            list_index=index,
            has_changes=newest > report.newest_revision or index > report.list_index,
            epoch=coordinator.epoch if report.epoch != coordinator.epoch else None,
            pending=lease.pending,
            why=lease.why,
            every_ms=pace.report_interval_ms(nodes),
            spread_ms=pace.urgent_report_spread_ms(nodes),
            members=max(1, self._fleet.count()),
            times_left=fields.get("left", {}),
            list_overrides=fields.get("list_overrides", False),
        )

    async def _remove(self, request: web.Request) -> web.Response:
        name, service = entries.check_name(request.match_info["name"]), self._service
        membership = service.coordinator.membership
        if name not in membership.names and name not in membership.nodes:
            via = service.directory.owner(name)
            why = f"reports to aggregator {via}: end it there" if via else "has not reported to this service"
            message = "no such member"
            raise NotFoundError(message, f"{name} {why}")
        service.step(messages.RemoveMember(name))
        service.forget(name)
        return answer(_encode(RemovedAnswer(name)))
