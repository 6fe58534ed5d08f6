"""Configuration revisions at an aggregator: lines of the list service, published when the core decides so."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from brassfall.controlplane.aggregation.actions import Action
from brassfall.controlplane.aggregation.events import Event
from brassfall.controlplane.registry import calls
from brassfall.controlplane.registry.aggregator.state_lines import StateError, read_state
from brassfall.controlplane.registry.aggregator.upstream import Upstream, UpstreamError, WatchLine, WatchState
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.channels import StateChannel
from brassfall.controlplane.registry.front import HttpServer, WatchRequest
from brassfall.controlplane.registry.http_errors import TryOtherAddressError
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.logs import logger

PATH = "/rules"
NO_RULES = "no rules"

log = logger("aggregator")
Step = Callable[[Event], list[Action]]


class Configuration:
    """Watches the list service's revision state, and serves it to children.

    `step` passes an event to the core, which decides by its actions which line `publish` sends to children.
    """

    def __init__(self, upstream: Upstream, http_server: HttpServer, step: Step, tasks: Tasks) -> None:
        self.line = b""  # line of the list service that children get; empty before the first
        self.newest = 0  # number of the revision in `line`
        self.watch_state = WatchState(upstream.addresses[0])
        self._upstream = upstream
        self._http_server = http_server
        self._step = step
        self._tasks = tasks
        self._fetching = False
        limits = http_server.limits
        self._channel = StateChannel(lambda: self.line, limits.watch_bytes, limits.watch_stuck_ms / 1000.0)

    def start(self) -> None:
        """Start to watch the revision state of the list service."""
        self._http_server.channels[PATH] = self._channel
        path = f"{PATH}?watch=1&from=0"
        self._tasks.spawn(self._upstream.keep_watch(lambda: path, self._receive, self.watch_state))

    def _receive(self, line: WatchLine) -> None:
        if line.text:
            self._step(read_state(line.text))

    def publish(self, line: bytes) -> None:
        """Send a line to all watches of children, and from now on to new watches."""
        self.line, self.newest = line, read_state(line).revision
        self._channel.state_changed()

    def fetch_state(self, address: str) -> None:
        """Start to fetch the revision state, unless a fetch is under way, in case the watch is late.

        `address` is that of the list service to ask.
        """
        if not self._fetching:
            self._fetching = True
            self._tasks.spawn(self._fetch_state(address))

    async def _fetch_state(self, address: str) -> None:
        try:
            state_answer = await self._upstream.call(address, "GET", PATH)
            if state_answer.status == 200:
                self._step(read_state(state_answer.body))
        except (UpstreamError, StateError) as error:
            log.warning(
                "revision state not fetched from the list service", reason=error.summary, action=error.action
            )
        finally:
            self._fetching = False

    @property
    def missing_reason(self) -> str:
        """The reason why no line has been published yet; empty if one has."""
        return "" if self.line else self.watch_state.failing or "not received yet"

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Answer `GET /rules` with the published line, or with a watch.

        Raise `TryOtherAddressError` before the first line.
        """
        if not self.line:
            raise TryOtherAddressError(NO_RULES, self.missing_reason)
        if not calls.is_watch(request):
            return answer(self.line)
        return await self._http_server.watch(request, WatchRequest(0, lambda: self._channel))
