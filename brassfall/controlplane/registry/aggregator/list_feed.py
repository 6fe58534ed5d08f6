"""The endpoint list at an aggregator: it is mirrored from the list service, and served to children."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web

from brassfall.controlplane.aggregation.messages import AggregatorLease
from brassfall.controlplane.registry import calls
from brassfall.controlplane.registry.aggregator.channels import AGE_HEADER, ListChannel
from brassfall.controlplane.registry.aggregator.clock import now_ms
from brassfall.controlplane.registry.aggregator.mirror import DOUBT_MS, Mirror, parse_line
from brassfall.controlplane.registry.aggregator.upstream import Upstream, WatchLine, WatchState
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.front import HttpServer, WatchRequest
from brassfall.controlplane.registry.http_errors import TryOtherAddressError
from brassfall.controlplane.registry.limits import JoinLimiter
from brassfall.controlplane.registry.lists import KNOWN_INDEX_HEADER
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.logs import logger

PATH = "/registry/instances"
NO_LIST, LIST_TOO_OLD = "no list", "no list that late"
# Time for which the mirror may lag behind the list service before its watch is opened again. A working watch
# brings changes far sooner.
MAX_LAG_MS = 2000.0

LIST_REPLACED_ACTION = (
    "Check the list service, which lost its list or runs twice. Sidecars reject the new list for 30 s."
)
LATE_LIST_ACTION = "If this repeats, check the network to the list service. The watch is opened again."

log = logger("aggregator")


@dataclass(frozen=True, slots=True)
class LaterIndex:
    """An index of a caller that is later than the mirror's, and when it was first seen."""

    since_ms: float
    index: int


class ListFeed:
    """Mirrors the endpoint list, and answers children's calls for it.

    `on_confirmed` is called each time the mirrored list was confirmed as the newest; `lists_per_s` limits the
    rate at which complete lists are sent.
    """

    def __init__(  # noqa: PLR0913 - it connects these parts
        self,
        mirror: Mirror,
        upstream: Upstream,
        http_server: HttpServer,
        tasks: Tasks,
        on_confirmed: Callable[[], None],
        lists_per_s: float,
    ) -> None:
        self.mirror = mirror
        self.watch_state = WatchState(upstream.addresses[0])
        self._upstream = upstream
        self._http_server = http_server
        self._tasks = tasks
        self._on_confirmed = on_confirmed
        self._rng = random.Random()
        self._join_limiter = JoinLimiter(lists_per_s)
        self._lagging_since_ms: float | None = None
        self._later_index: LaterIndex | None = None
        self._watching: asyncio.Task[None] | None = None
        self._channel = self._new_channel()

    def start(self) -> None:
        """Start to watch the endpoint list of the list service."""
        self._http_server.channels[INSTANCES] = self._channel
        self._open_watch()

    def _new_channel(self) -> ListChannel:
        limits = self._http_server.limits
        return ListChannel(self.mirror, now_ms, limits.watch_bytes, limits.watch_stuck_ms / 1000.0)

    @property
    def missing_reason(self) -> str:
        """The reason why no list has been mirrored yet; empty if there is a list."""
        return "" if self.mirror.holds_list else self.watch_state.failing or "not received yet"

    @property
    def age_ms(self) -> int | None:
        """An upper bound on the age of the mirrored list, in ms; None without a list."""
        return round(self.mirror.age_ms(now_ms())) if self.mirror.holds_list else None

    # --- from the list service --------------------------------------------------------------

    def _open_watch(self) -> None:
        if self._watching is not None:
            self._watching.cancel()
        work = self._upstream.keep_watch(self._watch_path, self._receive, self.watch_state)
        self._watching = self._tasks.spawn(work)

    def _watch_path(self) -> str:
        return f"{PATH}?watch=1&from={self.mirror.index}"

    def _receive(self, line: WatchLine) -> None:
        if line.text:
            self._apply(line)
        if line.content_lines:
            self.mirror.confirm_by_watch(line.opened_ms, line.received_ms, line.heartbeats)
            self._on_confirmed()

    def _apply(self, line: WatchLine) -> None:
        update = self.mirror.apply_line(
            line.received_ms, parse_line(line.text), first=line.content_lines == 1
        )
        if update.replaced:
            log.warning(
                "mirrored list replaced by one with a lower index",
                index=self.mirror.index,
                action=LIST_REPLACED_ACTION,
            )
            self._channel.abort_all()
            self._channel = self._http_server.channels[INSTANCES] = self._new_channel()
        for change in update.changes:
            self._channel.queue_change(change)
        if update.index_grew:
            self._channel.flush_soon()
        if self._later_index is not None and self._later_index.index <= self.mirror.index:
            self._later_index = None

    def apply_lease(self, sent_ms: float, lease: AggregatorLease) -> None:
        """Compare the mirror with the list index in the answer to a report that was sent at `sent_ms`.

        If the mirror lags for longer than `MAX_LAG_MS`, the watch on the list service is opened again.
        """
        self.mirror.confirm_by_answer(sent_ms, lease.list_index)
        self._on_confirmed()
        if lease.list_index <= self.mirror.index:
            self._lagging_since_ms = None
        elif self._lagging_since_ms is None:
            self._lagging_since_ms = now_ms()
        elif now_ms() - self._lagging_since_ms > MAX_LAG_MS:
            log.warning(
                "mirrored list is behind the list service, watch reopened",
                index=self.mirror.index,
                above=lease.list_index,
                action=LATE_LIST_ACTION,
            )
            self._lagging_since_ms = None
            self._open_watch()

    # --- to the children --------------------------------------------------------------------

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Answer `GET /registry/instances`: the complete list, or a watch on it.

        Raise `TryOtherAddressError` without a list, or if the caller has a later one than the mirror's.
        """
        watches = calls.is_watch(request)
        if watches:
            index = calls.parse_whole_number(request.query.get("from", "0"), "from")
        else:
            index = calls.parse_whole_number(request.headers.get(KNOWN_INDEX_HEADER, "0"), KNOWN_INDEX_HEADER)
        self._check_index(index)
        return await self._watch(request, index) if watches else self._complete_list()

    def _check_index(self, index: int) -> None:
        """Raise `TryOtherAddressError` for a caller's index that is later than the mirror's.

        After `DOUBT_MS` such an index is accepted, since by then the list service's list must have restarted.
        """
        if not self.mirror.holds_list:
            raise TryOtherAddressError(NO_LIST, self.missing_reason)
        if index <= self.mirror.index:
            return
        if self._later_index is None:
            self._later_index = LaterIndex(now_ms(), index)
        if now_ms() - self._later_index.since_ms < DOUBT_MS:
            why = f"the caller has index {index}, this aggregator {self.mirror.index}"
            raise TryOtherAddressError(LIST_TOO_OLD, why)

    async def _watch(self, request: web.Request, index: int) -> web.StreamResponse:
        if self.mirror.state.changes_since(INSTANCES, index) is None:
            rejection = self._admit_complete_list()
            if rejection is not None:
                return rejection
        channel = self._channel
        headers = {AGE_HEADER: str(channel.promised_age_ms())}
        return await self._http_server.watch(request, WatchRequest(index, lambda: channel, headers=headers))

    def _complete_list(self) -> web.Response:
        rejection = self._admit_complete_list()
        if rejection is not None:
            return rejection
        response = answer(self._channel.snapshot())
        response.headers[AGE_HEADER] = str(round(self.mirror.age_ms(now_ms())))
        return response

    def _admit_complete_list(self) -> web.Response | None:
        """Count a complete list; return the rejection to send if there are too many, else None."""
        wait_s = self._join_limiter.admission_wait_s(now_ms() / 1000.0, self._rng.random())
        return self._http_server.reject("too many take the whole list at once", wait_s) if wait_s else None
