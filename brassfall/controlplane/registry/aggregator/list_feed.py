"""The endpoint list at an aggregator, which mirrors it from the list service for its children."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from brassfall.controlplane.aggregation.messages import AggregatorLease
from brassfall.controlplane.registry import calls
from brassfall.controlplane.registry.aggregator.channels import AGE, ListChannel
from brassfall.controlplane.registry.aggregator.clock import now_ms
from brassfall.controlplane.registry.aggregator.mirror import DOUBT_MS, Mirror, parse_line
from brassfall.controlplane.registry.aggregator.upstream import Line, Upstream, WatchState
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.front import Front, WatchRequest
from brassfall.controlplane.registry.http_errors import AskElsewhereError
from brassfall.controlplane.registry.limits import JoinLimiter
from brassfall.controlplane.registry.lists import KNOWN_INDEX
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.logs import logger

PATH = "/registry/instances"
NO_LIST, NO_LATER_LIST = "no list", "no list that late"
LATE_MS = 2000.0  # for which the service may be ahead; a watch that works brings changes far sooner

BEGAN_ANEW = "Look at the list service, which lost its list or runs twice; sidecars reject the list for 30 s."
LATE = "Nothing if it does not repeat; else look at the network to the list service. It is watched anew."

log = logger("aggregator")


@dataclass(frozen=True, slots=True)
class LaterIndex:
    """An index that a caller has and that is later than the mirror's."""

    since_ms: float
    index: int


class ListFeed:
    """Mirrors the list, and answers the children's calls for it.

    `confirmed` is called when the list was confirmed as the newest; `lists_per_s` limits how many complete
    lists are sent.
    """

    def __init__(  # noqa: PLR0913 - the parts that it joins
        self,
        mirror: Mirror,
        upstream: Upstream,
        front: Front,
        tasks: Tasks,
        confirmed: Callable[[], None],
        lists_per_s: float,
    ) -> None:
        self.mirror = mirror
        self.watch_state = WatchState(upstream.addresses[0])
        self._upstream = upstream
        self._front = front
        self._tasks = tasks
        self._confirmed = confirmed
        self._rng = random.Random()
        self._join_limiter = JoinLimiter(lists_per_s)
        self._late_since_ms: float | None = None
        self._later: LaterIndex | None = None
        self._watching: asyncio.Task[None] | None = None
        self._channel = self._new_channel()

    def start(self) -> None:
        """Start to watch the list service's list."""
        self._front.channels[INSTANCES] = self._channel
        self._open_watch()

    def _new_channel(self) -> ListChannel:
        limits = self._front.limits
        return ListChannel(self.mirror, now_ms, limits.watch_bytes, limits.watch_stuck_ms / 1000.0)

    @property
    def missing(self) -> str:
        """Why there is no list yet; empty if there is one."""
        return "" if self.mirror.holds_list else self.watch_state.failing or "not received yet"

    @property
    def age_ms(self) -> int | None:
        """An upper bound on the list's age in ms; None without a list."""
        return round(self.mirror.age_ms(now_ms())) if self.mirror.holds_list else None

    # --- from the list service --------------------------------------------------------------

    def _open_watch(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
        work = self._upstream.keep_watch(self._watch_path, self._receive, self.watch_state)
        self._watching = self._tasks.spawn(work)

    def _watch_path(self) -> str:
        return f"{PATH}?watch=1&from={self.mirror.index}"

    def _receive(self, line: Line) -> None:
        if line.text:
            self._take(line)
        if line.lines:
            self.mirror.confirmed_by_watch(line.asked, line.heard, line.empties)
            self._confirmed()

    def _take(self, line: Line) -> None:
        taken = self.mirror.take(line.heard, parse_line(line.text), first=line.lines == 1)
        if taken.replaced:
            log.warning("list began anew", index=self.mirror.index, action=BEGAN_ANEW)
            self._channel.end()
            self._channel = self._front.channels[INSTANCES] = self._new_channel()
        for change in taken.changes:
            self._channel.changed(change)
        if taken.index_grew:
            self._channel.flush_soon()
        if self._later is not None and self._later.index <= self.mirror.index:
            self._later = None

    def answered(self, asked: float, lease: AggregatorLease) -> None:
        """Apply the list's index in the answer to a report sent at `asked`; it shows a watch that is late."""
        self.mirror.confirmed_by_answer(asked, lease.list_index)
        self._confirmed()
        if lease.list_index <= self.mirror.index:
            self._late_since_ms = None
        elif self._late_since_ms is None:
            self._late_since_ms = now_ms()
        elif now_ms() - self._late_since_ms > LATE_MS:
            log.warning("list is late", index=self.mirror.index, above=lease.list_index, action=LATE)
            self._late_since_ms = None
            self._open_watch()

    # --- to the children --------------------------------------------------------------------

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Return the answer to `GET /registry/instances`: the complete list, or a watch on it.

        Raise `AskElsewhereError` if there is no list, or only an older one than the caller's.
        """
        watches = calls.is_watch(request)
        if watches:
            index = calls.number(request.query.get("from", "0"), "from")
        else:
            index = calls.number(request.headers.get(KNOWN_INDEX, "0"), KNOWN_INDEX)
        self._check_index(index)
        return await self._watch(request, index) if watches else self._complete_list()

    def _check_index(self, index: int) -> None:
        """Raise `AskElsewhereError` if this index is later than the mirror's, while that may be a fault."""
        if not self.mirror.holds_list:
            raise AskElsewhereError(NO_LIST, self.missing)
        if index <= self.mirror.index:
            return
        if self._later is None:
            self._later = LaterIndex(now_ms(), index)
        if now_ms() - self._later.since_ms < DOUBT_MS:
            why = f"the caller has index {index}, this aggregator {self.mirror.index}"
            raise AskElsewhereError(NO_LATER_LIST, why)

    async def _watch(self, request: web.Request, index: int) -> web.StreamResponse:
        if self.mirror.state.changes_since(INSTANCES, index) is None:
            rejection = self._admit_complete_list()
            if rejection is not None:
                return rejection
        channel = self._channel
        headers = {AGE: str(channel.promised_age_ms())}
        return await self._front.watch(request, WatchRequest(index, lambda: channel, headers=headers))

    def _complete_list(self) -> web.Response:
        rejection = self._admit_complete_list()
        if rejection is not None:
            return rejection
        response = answer(self._channel.snapshot())
        response.headers[AGE] = str(round(self.mirror.age_ms(now_ms())))
        return response

    def _admit_complete_list(self) -> web.Response | None:
        """Count a complete list; return the answer to send instead if there are too many at once."""
        wait_s = self._join_limiter.wait(now_ms() / 1000.0, self._rng.random())
        return self._front.reject("too many take the whole list at once", wait_s) if wait_s else None
