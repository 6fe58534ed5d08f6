"""Reports of the sidecars that are children of an aggregator, and the answers to them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.actions import Action, AnswerChild, RejectChild
from brassfall.controlplane.aggregation.aggregator import Aggregator
from brassfall.controlplane.aggregation.events import ChildReported, Event
from brassfall.controlplane.registry import calls, entries
from brassfall.controlplane.registry.callers import Connection
from brassfall.controlplane.registry.front import HttpServer
from brassfall.controlplane.registry.http_errors import TryOtherAddressError
from brassfall.controlplane.registry.report_answer import ReportAnswer
from brassfall.controlplane.registry.reports import read_report
from brassfall.controlplane.revisions.reports import Report, ReportError

# Number of reports in a row on a connection that are answered with `elsewhere` and without a lease. The next
# such report gets an error.
MAX_REPORTS_AFTER_REDIRECT = 1
NO_LEASE, FULL, NO_ANSWER = "no lease", "no place", "no answer"  # summaries of errors for children

Step = Callable[[Event], list[Action]]

_encode = msgspec.json.Encoder().encode


@dataclass(slots=True)
class ChildStatistics:
    """Counts of children's reports since the start of the process."""

    reports: int = 0
    refused: int = 0  # number of malformed reports
    granted: int = 0  # number of reports answered with a lease
    rejected: int = 0  # number of new children's reports beyond their rate or the maximum of children


@dataclass(slots=True)
class ChildReports:
    """Answers children's reports as the aggregator's core decides.

    `newest` returns the number of the newest revision that children can read here, and `list_index` the
    index of the mirrored list.
    """

    core: Aggregator
    http_server: HttpServer
    step: Step
    newest: Callable[[], int]
    list_index: Callable[[], int]
    statistics: ChildStatistics = field(default_factory=ChildStatistics)
    _tickets: count[int] = field(default_factory=count)

    async def report(self, request: web.Request) -> web.Response:
        """Answer `POST /edges/NAME`, the report of a child."""
        name = entries.check_name(request.match_info["name"])
        try:
            report = read_report(request, name, await self.http_server.body(request))
        except ReportError:
            self.statistics.refused += 1
            raise
        decision = self.answer_report(name, report)
        if not isinstance(decision, AnswerChild):
            return decision
        self._check_redirect(request, decision)
        return self._encoded_answer(report, decision)

    @staticmethod
    def _check_redirect(request: web.Request, decision: AnswerChild) -> None:
        """Raise `TryOtherAddressError` for a sidecar that was redirected and still reports here.

        Older versions of the sidecar ignore the field `elsewhere`, but move to the next address after an
        error.
        """
        connection = request.protocol
        assert isinstance(connection, Connection)
        redirected = decision.elsewhere and not decision.lease_ms
        connection.reports_after_redirect = connection.reports_after_redirect + 1 if redirected else 0
        if connection.reports_after_redirect > MAX_REPORTS_AFTER_REDIRECT:
            connection.reports_after_redirect = 0
            raise TryOtherAddressError(NO_LEASE, decision.why)

    def answer_report(self, name: str, report: Report) -> AnswerChild | web.Response:
        """Return the core's answer to the report of the child `name`, or a rejection with `Retry-After`.

        Raise `TryOtherAddressError` while no epoch of the list service is known, or if the maximum number of
        children is reached.
        """
        core = self.core
        if not core.epoch:
            raise TryOtherAddressError(NO_LEASE, "the list service has not answered this aggregator yet")
        self.statistics.reports += 1
        for action in self.step(ChildReported(next(self._tickets), name, report)):
            match action:
                case AnswerChild():
                    return action
                case RejectChild(_, retry_ms, why):
                    self.statistics.rejected += 1
                    if len(core.membership.children) >= core.timing.children_most:
                        why = f"all {core.timing.children_most} children are known"
                        raise TryOtherAddressError(FULL, why)
                    return self.http_server.reject(why, retry_ms / 1000.0)
        raise TryOtherAddressError(NO_ANSWER, "the report was not answered by the core")

    def _encoded_answer(self, report: Report, granted: AnswerChild) -> web.Response:
        core, index = self.core, self.list_index()
        self.statistics.granted += granted.lease_ms > 0.0
        answer = ReportAnswer(
            revision=granted.revision,
            lease_ms=granted.lease_ms,
            list_index=index,
            has_changes=self.newest() > report.newest_revision or index > report.list_index,
            epoch=granted.epoch if report.epoch != granted.epoch else None,
            pending=granted.pending,
            why=granted.why,
            every_ms=core.every_ms(),
            spread_ms=core.spread_ms(),
            members=core.members,
            times_left=granted.times_left,
            list_overrides=granted.order is not None and granted.order.list_overrides,
            elsewhere=granted.elsewhere,
        )
        return calls.MinimalResponse(body=_encode(answer))
