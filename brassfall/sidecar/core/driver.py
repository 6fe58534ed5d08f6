"""The only caller of the balancer: events in, actions out.

The driver knows no sockets: what carries requests, lists and messages is handed in, behind the protocols of
`interfaces`. Modules of their own run requests, attempts, health checks and timers, and report events here;
`actions` dispatches what the balancer decides. All runs on one event loop, without awaiting. Times and spans
are in milliseconds of the sidecar's clock where no other unit is named.
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
from brassfall.sidecar.core.interfaces import Call, Gossip, Registry, Upstreams
from brassfall.sidecar.core.request_lifecycle import RequestLifecycle
from brassfall.sidecar.core.request_table import RequestTable
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.discovery.start_times import StartTimes


class DecisionMaker(Protocol):
    """What decides; `Balancer` is the real one."""

    @property
    def refusals(self) -> Mapping[model.RefusalReason, int]:
        """The number of requests that got an answer of no server, by reason, since the start."""

    def step(self, now: float, event: events.Event) -> Iterable[model.Action]:
        """Take in what happened at `now`; return the actions to carry out, in their order."""


class DriverCounts(NamedTuple):
    """What a driver holds at one moment; all are 0 when nothing is under way."""

    awaiting_answer: int  # requests without a final answer
    streaming_answer: int  # requests whose answer is being passed on
    requests: int  # of any state, until no attempt of them is in flight
    attempts_in_flight: int
    armed_timers: int  # of the balancer, about requests


class Driver:
    """Runs one balancer: passes each event to it and carries out the actions that it returns.

    `balancer` is the real one, made from the configuration, if none is given. `revision_stamp`, if set, gives
    the header line of the configuration revision under which the balancer decides.
    """

    revision_stamp: Callable[[], bytes] | None = None

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        config: Config,
        balancer: DecisionMaker | None = None,
    ) -> None:
        self._clock = clock
        self._settings = config.settings
        self._max_open = config.max_open
        self._rejected_full = 0  # requests rejected because `max_open` were open
        self._start_times = StartTimes()
        if balancer is None:
            balancer = Balancer(clock.now(), config.settings, config.seed)
        self._balancer = balancer
        self._timers = BalancerTimers(loop, self)
        self._health_checks = HealthChecks(loop, clock, self)
        self.lifecycle = RequestLifecycle(loop, clock, self, self._timers, first_number=config.seed)
        self._requests = self.lifecycle.table
        self._upstreams: Upstreams
        self._actions: ActionDispatcher

    def connect(self, upstreams: Upstreams, registry: Registry, gossip: Gossip) -> None:
        """Hand in the parts that carry out actions; required before the first event."""
        self._upstreams = upstreams
        self.lifecycle.attempts.connect(upstreams)
        self._health_checks.connect(upstreams)
        self._actions = ActionDispatcher(
            requests=self.lifecycle,
            timers=self._timers,
            health_checks=self._health_checks,
            upstreams=upstreams,
            registry=registry,
            gossip=gossip,
        )

    # --- views --------------------------------------------------------------------------

    @property
    def clock(self) -> Clock:
        """The sidecar's clock."""
        return self._clock

    @property
    def balancer(self) -> DecisionMaker:
        """The balancer that decides."""
        return self._balancer

    @property
    def requests(self) -> RequestTable:
        """The requests that are not answered or have attempts in flight."""
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
        """What the driver holds now; it walks all requests."""
        return DriverCounts(
            awaiting_answer=self._requests.awaiting,
            streaming_answer=self._requests.streaming,
            requests=len(self._requests),
            attempts_in_flight=sum(request.attempts_in_flight for request in self._requests),
            armed_timers=self._timers.armed,
        )

    @property
    def refusals(self) -> str:
        """The number of requests that got an answer of no server, by reason, since the start."""
        counts = {**self._balancer.refusals, model.RefusalReason.TOO_MANY_OPEN: self._rejected_full}
        return " ".join(f"{why}={count}" for why, count in counts.items())

    @property
    def request_classes(self) -> set[int]:
        """The slots of the classes that `requests` name."""
        return {request.call.request_class for request in self._requests}

    # --- events of the configuration -------------------------------------------------------

    def reload(self, config: Config, unchanged: frozenset[int]) -> None:
        """Use other settings for the requests that arrive from now on.

        `unchanged` are the slots of classes that are the same as before.
        """
        self._settings, self._max_open = config.settings, config.max_open
        self.notify(events.SettingsReloaded(config.settings, unchanged))

    def steer(self, steer: model.Steer) -> None:
        """Use another steering plan and other overrides from now on."""
        self.notify(events.SteeringChanged(steer))

    def stopping(self, until: float) -> None:
        """Answer all requests that arrive from now on by `until`: the process shuts down."""
        self.lifecycle.answer_all_by(until)

    # --- events of clients --------------------------------------------------------------------

    def arrive(self, call: Call, now: float) -> Request | None:
        """Accept a request, whose `call` gets one final answer.

        Its budget runs from its last byte, which was read at `now`, or of which `body_read` tells. Return its
        record, or None if it was rejected because too many requests are open.
        """
        if self._requests.awaiting >= self._max_open:
            self._rejected_full += 1
            call.refused(0.0)
            return None
        return self.lifecycle.arrive(call, now, self._settings.max_attempts)

    def body_gone(self, request: Request) -> None:
        """Take note that more of a body has been forwarded than is buffered: it can't be sent again."""
        self.lifecycle.body_discarded(request)

    def body_read(self, request: Request, now: float) -> None:
        """Take note that the last byte of a large request was read at `now`."""
        self.lifecycle.body_read(request, now)

    def client_gone(self, request: Request) -> None:
        """Take note that the client closed its connection before it had the complete answer."""
        self.lifecycle.client_gone(request)

    # --- events of discovery and of other sidecars -----------------------------------------------

    def discovery_failed(self) -> None:
        """Take note that a call to discovery failed or was rejected, or that its watch ended."""
        self.notify(events.DiscoveryFailed())

    def endpoints_listed(self, form: model.ListForm, update: ServerList) -> None:
        """Take an endpoint list: complete, or the entries that changed."""
        now = self._clock.now()
        update = self._start_times.with_bounded_starts(
            now, self._clock.from_loop(update.previous_list_fresh_at), update
        )
        self._upstreams.update(now, update, complete=form is not model.ListForm.CHANGES)
        self.notify(events.EndpointsListed(form, update.entries))

    def peer_message(self, peer: int, data: bytes) -> None:
        """Take a message of another sidecar."""
        self.notify(events.PeerMessageReceived(peer, data))

    # --- the balancer ---------------------------------------------------------------------------

    def notify(self, event: events.Event, request: Request | None = None) -> None:
        """Give the balancer an event, about `request` if one is named, and carry out its actions.

        An exception of the balancer is logged and fails that request, never the process.
        """
        stamp = b"" if self.revision_stamp is None else self.revision_stamp()
        try:
            for action in self._balancer.step(self._clock.now(), event):
                self._actions.perform(action, stamp)
        except Exception:  # noqa: BLE001 - any defect of it: the other requests go on
            log.error("decision failed", action="report it", traceback=traceback.format_exc())
            if request is not None:
                self.lifecycle.fail(request, late=False)
        if request is not None:
            self._requests.release_if_over(request)

    def perform(self, action: model.Action) -> None:
        """Carry out one action as if the balancer had decided on it now."""
        self._actions.perform(action, b"" if self.revision_stamp is None else self.revision_stamp())
