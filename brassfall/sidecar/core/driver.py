"""The driver of the balancer, and its only caller: it passes events in and carries out the actions returned.

The driver uses no sockets: client connections, server connections, discovery and gossip are passed in through
the protocols of the module `interfaces`. Separate modules run requests, attempts, health checks and timers,
and report their events to the driver; the module `actions` dispatches the balancer's actions. All code runs
on one event loop and never awaits. Times and time spans are in milliseconds of the sidecar's clock unless
stated.
"""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

from brassfall.balancer import Balancer, events, model
from brassfall.sidecar import log
from brassfall.sidecar.config import Config
from brassfall.sidecar.core.actions import ActionDispatcher
from brassfall.sidecar.core.attempts import Request
from brassfall.sidecar.core.balancer_timers import BalancerTimers
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.health_checks import HealthChecks
from brassfall.sidecar.core.interfaces import Call, DiscoveryClient, Gossip, Upstreams
from brassfall.sidecar.core.request_lifecycle import RequestLifecycle
from brassfall.sidecar.core.request_table import RequestTable
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.discovery.start_times import StartTimes


class DecisionMaker(Protocol):
    """The interface of the balancer, which `Balancer` implements; tests may use another implementation."""

    @property
    def refusals(self) -> Mapping[model.RefusalReason, int]:
        """The number of requests that were refused locally since the start, by reason."""

    def step(self, now: float, event: events.Event) -> Iterable[model.Action]:
        """Process an event that happened at `now`; return the actions to carry out, in order."""


class DriverCounts(NamedTuple):
    """Counts of the requests, attempts and timers in a driver; all are 0 if no request is in progress."""

    awaiting_answer: int  # Number of requests whose final answer has not begun
    streaming_answer: int  # Number of requests whose answer is being streamed to the client
    requests: int  # Number of requests in any state that are not released
    attempts_in_flight: int
    armed_timers: int  # Number of timers that the balancer has armed for requests


class Driver:
    """Runs one balancer: passes each event to it and carries out the actions that it returns.

    `balancer` defaults to a `Balancer` with the settings of the configuration. `revision_header`, if set,
    returns the header line of the configuration revision that the balancer's decisions are based on now.
    """

    revision_header: Callable[[], bytes] | None = None

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        config: Config,
        balancer: DecisionMaker | None = None,
    ) -> None:
        self._clock = clock
        self._settings = config.settings
        self._max_open_requests = config.max_open_requests
        self._rejected_full = 0  # Number of requests rejected because `max_open_requests` were open
        self._start_times = StartTimes()
        if balancer is None:
            balancer = Balancer(clock.now(), config.settings, config.seed)
        self._balancer = balancer
        self._timers = BalancerTimers(loop, self)
        self._health_checks = HealthChecks(loop, clock, self)
        self.request_lifecycle = RequestLifecycle(loop, clock, self, self._timers, first_number=config.seed)
        self._requests = self.request_lifecycle.table
        self._upstreams: Upstreams
        self._actions: ActionDispatcher

    def connect(self, upstreams: Upstreams, registry: DiscoveryClient, gossip: Gossip) -> None:
        """Set the components that carry out the balancer's actions; required before the first event."""
        self._upstreams = upstreams
        self.request_lifecycle.attempts.connect(upstreams)
        self._health_checks.connect(upstreams)
        self._actions = ActionDispatcher(
            requests=self.request_lifecycle,
            timers=self._timers,
            health_checks=self._health_checks,
            upstreams=upstreams,
            registry=registry,
            gossip=gossip,
        )

    # --- state --------------------------------------------------------------------------

    @property
    def clock(self) -> Clock:
        """The sidecar's clock."""
        return self._clock

    @property
    def balancer(self) -> DecisionMaker:
        """The balancer that this driver runs."""
        return self._balancer

    @property
    def requests(self) -> RequestTable:
        """The requests that lack a complete answer or have an attempt in flight."""
        return self._requests

    @property
    def idle(self) -> bool:
        """True if every request has its complete answer."""
        return self._requests.incomplete == 0

    @property
    def in_flight(self) -> int:
        """The number of requests without a complete answer."""
        return self._requests.incomplete

    @property
    def counts(self) -> DriverCounts:
        """The current counts; computing them takes time in proportion to the number of requests."""
        return DriverCounts(
            awaiting_answer=self._requests.awaiting,
            streaming_answer=self._requests.streaming,
            requests=len(self._requests),
            attempts_in_flight=sum(request.attempts_in_flight for request in self._requests),
            armed_timers=self._timers.armed,
        )

    @property
    def refusals(self) -> str:
        """The number of local refusals since the start, by reason, as `reason=count` text."""
        counts = {**self._balancer.refusals, model.RefusalReason.TOO_MANY_OPEN: self._rejected_full}
        return " ".join(f"{reason}={count}" for reason, count in counts.items())

    @property
    def request_classes(self) -> set[int]:
        """The profile slots of the request classes that occur in `requests`."""
        return {request.call.request_class for request in self._requests}

    # --- events of the configuration -------------------------------------------------------

    def reload(self, config: Config, unchanged: frozenset[int]) -> None:
        """Apply a new configuration to the requests that arrive from now on.

        `unchanged` has the profile slots of the request classes that the new configuration keeps.
        """
        self._settings, self._max_open_requests = config.settings, config.max_open_requests
        self.notify(events.SettingsReloaded(config.settings, unchanged))

    def steer(self, steer: model.SteeringDirectives) -> None:
        """Apply a new steering plan and new overrides from now on."""
        self.notify(events.SteeringChanged(steer))

    def answer_all_by(self, until: float) -> None:
        """Limit the deadlines of requests that arrive from now on to `until`; used during the shutdown."""
        self.request_lifecycle.answer_all_by(until)

    # --- events of clients --------------------------------------------------------------------

    def accept_request(self, call: Call, now: float) -> Request | None:
        """Accept a request, and give `call` exactly one final answer.

        The request's budget starts when its last byte is read: at `now`, or when `body_read` is called if the
        body is still being read. Return the record of the request, or None if it was rejected at once because
        too many requests are open.
        """
        if self._requests.awaiting >= self._max_open_requests:
            self._rejected_full += 1
            call.send_rejection(0.0)
            return None
        return self.request_lifecycle.accept(call, now, self._settings.max_attempts)

    def body_discarded(self, request: Request) -> None:
        """Handle that a request's body can't be sent again, since its beginning is no longer buffered."""
        self.request_lifecycle.body_discarded(request)

    def body_read(self, request: Request, now: float) -> None:
        """Handle that the last byte of a large request was read at `now`."""
        self.request_lifecycle.body_read(request, now)

    def client_disconnected(self, request: Request) -> None:
        """Handle that the client closed its connection before it had the complete answer."""
        self.request_lifecycle.client_disconnected(request)

    # --- events of discovery and of other sidecars -----------------------------------------------

    def discovery_failed(self) -> None:
        """Handle that a call to discovery failed or was rejected, or that the watch on it ended."""
        self.notify(events.DiscoveryFailed())

    def endpoints_listed(self, form: model.ListForm, update: ServerList) -> None:
        """Apply an endpoint list, which is complete or has only the entries that changed."""
        now = self._clock.now()
        update = self._start_times.with_bounded_starts(
            now, self._clock.from_loop_time_s(update.previous_list_fresh_at), update
        )
        self._upstreams.update_servers(now, update, complete=form is not model.ListForm.CHANGES)
        self.notify(events.EndpointListReceived(form, update.entries))

    def peer_message(self, peer: int, data: bytes) -> None:
        """Handle a gossip message from another sidecar."""
        self.notify(events.PeerMessageReceived(peer, data))

    # --- the balancer ---------------------------------------------------------------------------

    def notify(self, event: events.Event, request: Request | None = None) -> None:
        """Pass an event to the balancer and carry out the actions that the balancer returns.

        `request` is the request that the event concerns, if any. An exception that the balancer raises is
        logged and fails only that request, not the process.
        """
        revision_header = b"" if self.revision_header is None else self.revision_header()
        try:
            for action in self._balancer.step(self._clock.now(), event):
                self._actions.perform(action, revision_header)
        except Exception:  # noqa: BLE001 - a defect of the balancer must not affect the other requests
            log.error(
                "balancer raised an exception, event not handled",
                action="report it as a defect",
                traceback=traceback.format_exc(),
            )
            if request is not None:
                self.request_lifecycle.fail(request, late=False)
        if request is not None:
            self._requests.release_if_over(request)

    def perform(self, action: model.Action) -> None:
        """Carry out one action as if the balancer had returned it now."""
        self._actions.perform(action, b"" if self.revision_header is None else self.revision_header())
