"""The reports of an aggregator's children, and their answers."""

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
from brassfall.controlplane.registry.front import Front
from brassfall.controlplane.registry.http_errors import AskElsewhereError
from brassfall.controlplane.registry.report_answer import ReportAnswer
from brassfall.controlplane.registry.reports import read_report
from brassfall.controlplane.revisions.reports import Report, ReportError

MAX_REPORTS_AFTER_REDIRECT = 1  # after one that was answered with `elsewhere` and without a lease
NO_LEASE, FULL, NO_ANSWER = "no lease", "no place", "no answer"

Step = Callable[[Event], list[Action]]

_encode = msgspec.json.Encoder().encode


@dataclass(slots=True)
class ChildStatistics:
    """Reports since the start."""

    reports: int = 0
    refused: int = 0  # malformed
    granted: int = 0
    rejected: int = 0  # newcomers over the rate, and over the limit of children


@dataclass(slots=True)
class Children:
    """Answers reports as the core decides.

    `newest` returns the newest revision whose document children can be sent, `list_index` the index of the
    list.
    """

    core: Aggregator
    front: Front
    step: Step
    newest: Callable[[], int]
    list_index: Callable[[], int]
    statistics: ChildStatistics = field(default_factory=ChildStatistics)
    _tickets: count[int] = field(default_factory=count)

    async def report(self, request: web.Request) -> web.Response:
        """Answer `POST /edges/NAME`."""
        name = entries.check_name(request.match_info["name"])
        try:
            report = read_report(request, name, await self.front.body(request))
        except ReportError:
            self.statistics.refused += 1
            raise
        decided = self.answer(name, report)
        if not isinstance(decided, AnswerChild):
            return decided
        self._check_redirect(request, decided)
        return self._encoded(report, decided)

    @staticmethod
    def _check_redirect(request: web.Request, decided: AnswerChild) -> None:
        """Raise `AskElsewhereError` for a sidecar that was redirected and still reports here.

        An older version does not read `elsewhere`, but moves to the next address after an error.
        """
        connection = request.protocol
        assert isinstance(connection, Connection)
        redirected = decided.elsewhere and not decided.lease_ms
        connection.reports_after_redirect = connection.reports_after_redirect + 1 if redirected else 0
        if connection.reports_after_redirect > MAX_REPORTS_AFTER_REDIRECT:
            connection.reports_after_redirect = 0
            raise AskElsewhereError(NO_LEASE, decided.why)

    def answer(self, name: str, report: Report) -> AnswerChild | web.Response:
        """Return the core's answer to a report, or a rejection with `Retry-After`.

        Raise `AskElsewhereError` while there is no epoch to answer for, or no room for the child.
        """
        core = self.core
        if not core.epoch:
            raise AskElsewhereError(NO_LEASE, "the list service has not answered this aggregator yet")
        self.statistics.reports += 1
        for action in self.step(ChildReported(next(self._tickets), name, report)):
            match action:
                case AnswerChild():
                    return action
                case RejectChild(_, retry_ms, why):
                    self.statistics.rejected += 1
                    if len(core.membership.children) >= core.timing.children_most:
                        why = f"all {core.timing.children_most} children are known"
                        raise AskElsewhereError(FULL, why)
                    return self.front.reject(why, retry_ms / 1000.0)
        raise AskElsewhereError(NO_ANSWER, "the report was not answered by the core")

    def _encoded(self, report: Report, granted: AnswerChild) -> web.Response:
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
        return calls.Brief(body=_encode(answer))
