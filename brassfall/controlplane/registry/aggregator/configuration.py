"""The configuration at an aggregator: the list service's own lines, forwarded when the core decides so."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from brassfall.controlplane.aggregation.actions import Action
from brassfall.controlplane.aggregation.events import Event
from brassfall.controlplane.registry import calls
from brassfall.controlplane.registry.aggregator.state_lines import StateError, read_state
from brassfall.controlplane.registry.aggregator.upstream import Line, Upstream, UpstreamError, WatchState
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.channels import StateChannel
from brassfall.controlplane.registry.front import Front, WatchRequest
from brassfall.controlplane.registry.http_errors import AskElsewhereError
from brassfall.controlplane.registry.tasks import Tasks
from brassfall.logs import logger

PATH = "/rules"
NO_RULES = "no rules"

log = logger("aggregator")
Step = Callable[[Event], list[Action]]


class Configuration:
    """The configuration that children can read.

    `step` passes an event to the core, which decides which line is published by `publish`.
    """

    def __init__(self, upstream: Upstream, front: Front, step: Step, tasks: Tasks) -> None:
        self.line = b""  # as sent to children; empty before the first
        self.newest = 0  # the revision that it names
        self.watch_state = WatchState(upstream.addresses[0])
        self._upstream = upstream
        self._front = front
        self._step = step
        self._tasks = tasks
        self._fetching = False
        limits = front.limits
        self._channel = StateChannel(lambda: self.line, limits.watch_bytes, limits.watch_stuck_ms / 1000.0)

    def start(self) -> None:
        """Start to watch the list service's configuration."""
        self._front.channels[PATH] = self._channel
        path = f"{PATH}?watch=1&from=0"
        self._tasks.spawn(self._upstream.keep_watch(lambda: path, self._receive, self.watch_state))

    def _receive(self, line: Line) -> None:
        if line.text:
            self._step(read_state(line.text))

    def publish(self, line: bytes) -> None:
        """Send a line to all watches, and to new ones from now on."""
        self.line, self.newest = line, read_state(line).revision
        self._channel.state_changed()

    def fetch(self, address: str) -> None:
        """Fetch the state from the list service, unless that is under way: the watch may be late."""
        if not self._fetching:
            self._fetching = True
            self._tasks.spawn(self._fetch(address))

    async def _fetch(self, address: str) -> None:
        try:
            made = await self._upstream.call(address, "GET", PATH)
            if made.status == 200:
                self._step(read_state(made.body))
        except (UpstreamError, StateError) as error:
            log.warning("state not fetched", reason=error.summary, action=error.action)
        finally:
            self._fetching = False

    @property
    def missing(self) -> str:
        """Why there is no line yet; empty if there is one."""
        return "" if self.line else self.watch_state.failing or "not received yet"

    async def read(self, request: web.Request) -> web.StreamResponse:
        """Return the answer to `GET /rules`, or a watch; raise `AskElsewhereError` before the first line."""
        if not self.line:
            raise AskElsewhereError(NO_RULES, self.missing)
        if not calls.is_watch(request):
            return answer(self.line)
        return await self._front.watch(request, WatchRequest(0, lambda: self._channel))
