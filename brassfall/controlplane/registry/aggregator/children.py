"""Reports of an aggregator's children, and their answers: the busiest path, some 1,200 calls a second."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

import msgspec
from aiohttp import web

from brassfall.controlplane.aggregation.core import (
    Action,
    Aggregator,
    AnswerChild,
    ChildReported,
    Event,
    TurnAway,
)
from brassfall.controlplane.registry import calls, entries
from brassfall.controlplane.registry.callers import Connection, Elsewhere
from brassfall.controlplane.registry.front import Front
from brassfall.controlplane.registry.reports import read_report
from brassfall.controlplane.revisions import pace
from brassfall.controlplane.revisions.reports import Report, ReportError

STAYS_MOST = 1  # reports after one that was answered with `elsewhere`, and without a lease

Step = Callable[[Event], list[Action]]

_encode = msgspec.json.Encoder().encode


class ChildAnswer(msgspec.Struct, omit_defaults=True):
    """The answer to a report. What is left out is as a sidecar takes it to be."""

    edition: int
    permission_ms: float
    list_index: int
    news: bool
    life: int | None = None  # left out where it is the one that the report named
    pending: int = 0
    why: str = ""
    every_ms: float = pace.EVERY_MS
    spread_ms: float = pace.SPREAD_LEAST_MS
    edges: int = 1
    left: dict[str, dict[str, int]] = {}
    list_overrides: bool = False
    elsewhere: bool = False  # another address may have a lease to give


@dataclass(slots=True)
class Figures:
    """What has come since the start."""

    reports: int = 0
    refused: int = 0  # said nothing usable
    granted: int = 0
    turned_away: int = 0


@dataclass(slots=True)
class Children:
    """Takes reports, and answers them by the core. `newest` is the newest revision whose document children
    can be told, `list_index` that of the list."""

    core: Aggregator
    front: Front
    step: Step
    newest: Callable[[], int]
    list_index: Callable[[], int]
    figures: Figures = field(default_factory=Figures)
    _tickets: count[int] = field(default_factory=count)

    async def report(self, request: web.Request) -> web.Response:
        """`POST /edges/NAME`."""
        name = entries.name(request.match_info["name"])
        try:
            report = read_report(request, name, await self.front.body(request))
        except ReportError:
            self.figures.refused += 1
            raise
        made = self.answer(name, report)
        if isinstance(made, AnswerChild):
            self._send_on(request, made)
            return self._encoded(report, made)
        return made

    @staticmethod
    def _send_on(request: web.Request, made: AnswerChild) -> None:
        """Refuse a sidecar that stays here although it was told to ask elsewhere: one of an older version
        does not read that, but goes to the next address after a refusal."""
        connection = request.protocol
        assert isinstance(connection, Connection)
        connection.stayed = connection.stayed + 1 if made.elsewhere and not made.lease_ms else 0
        if connection.stayed > STAYS_MOST:
            connection.stayed = 0
            raise Elsewhere("no lease", made.why)

    def answer(self, name: str, report: Report) -> AnswerChild | web.Response:
        """Take a report in: the core's answer, or that of one which is told to come again; `Elsewhere` while
        there is nothing to answer it with."""
        core = self.core
        if not core.epoch:
            raise Elsewhere("no lease", "the list service has not answered this aggregator yet")
        self.figures.reports += 1
        for action in self.step(ChildReported(next(self._tickets), name, report)):
            match action:
                case AnswerChild():
                    return action
                case TurnAway(_, retry_ms, why):
                    self.figures.turned_away += 1
                    if len(core.membership.children) >= core.settings.children_most:
                        raise Elsewhere("no place", f"all {core.settings.children_most} children are known")
                    return self.front.turn_away(why, retry_ms / 1000.0)
        raise Elsewhere("no answer", "the report was not taken in")

    def _encoded(self, report: Report, granted: AnswerChild) -> web.Response:
        core, index = self.core, self.list_index()
        self.figures.granted += granted.lease_ms > 0.0
        answer = ChildAnswer(
            edition=granted.revision,
            permission_ms=granted.lease_ms,
            list_index=index,
            news=self.newest() > report.held or index > report.list_index,
            life=granted.epoch if report.epoch != granted.epoch else None,
            pending=granted.pending,
            why=granted.why,
            every_ms=core.every_ms(),
            spread_ms=core.spread_ms(),
            edges=core.members,
            left=granted.left,
            list_overrides=granted.order is not None and granted.order.list_overrides,
            elsewhere=granted.elsewhere,
        )
        return calls.Brief(body=_encode(answer))
