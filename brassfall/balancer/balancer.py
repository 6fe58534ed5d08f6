"""The decisions of one sidecar: events go in, actions come out.

Before each send the client-side throttle may refuse a request (`throttle`, `load_shedding`). Then the server
with fewest of this sidecar's own requests in flight is chosen from a few that are sampled at random
(`selection`). `docs/design.md` lists the departures from this path and when each one acts. All times are in
milliseconds of one clock, whose time comes with each event.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from typing import Any

from brassfall.balancer import events, model, retries
from brassfall.balancer.components import Components
from brassfall.balancer.discovery_backoff import DiscoveryBackoff
from brassfall.balancer.key_queues import KeyQueues
from brassfall.balancer.learning import OutcomeLearner
from brassfall.balancer.load_shedding import SHED_THRESHOLD
from brassfall.balancer.model import (
    ABANDONED,
    ATTEMPTS_FAILED,
    CANCELLED,
    CONNECT_FAILED,
    ERROR,
    REJECTED,
    NO_SERVER,
    OK,
    QUEUED_TOO_LONG,
    RESET,
    SHED,
    THROTTLED,
    TIMEOUT,
    TOO_HEAVY,
    TOO_MANY_OPEN,
    ListForm,
    Outcome,
    RefusalReason,
)
from brassfall.balancer.records import Attempt, Request, Server
from brassfall.balancer.selection import Selector
from brassfall.balancer.settings import Settings

NEVER_RAN = frozenset((REJECTED, CONNECT_FAILED, ABANDONED))
MAY_STILL_RUN = frozenset((TIMEOUT, RESET, CANCELLED))
CONNECTION_KEPT = frozenset((OK, ERROR, REJECTED))  # after these the attempt's connection becomes idle

# An attempt's timer is due before a time-out at its objective, however the sums of times are rounded.
OBJECTIVE_ROUNDING_MS = 1.0
# Every reason but the one that the process counts before a request reaches the balancer.
LOCAL_REFUSALS: tuple[RefusalReason, ...] = tuple(
    reason for reason in RefusalReason if reason is not TOO_MANY_OPEN
)
MAX_OVERRUN = 1.25  # under overload, requests that take this multiple of their objective are refused


class Balancer:
    """The decisions of one sidecar.

    With the same events and the same seed the actions are the same.
    """

    def __init__(self, now: float, settings: Settings, seed: int) -> None:
        """Begin without servers; `seed` is that of the random numbers."""
        self.settings = settings
        self.components = components = Components(now, settings, seed)
        self._rng = components.rng
        self._throttle = components.throttle
        self._shedder = components.shedder
        self._rate = components.send_rate
        self._paces = components.pace_tracker
        self._connections = components.connections
        self._overload = components.overload
        self._endpoints = components.endpoints
        self._steering = components.steering
        self._ejector = components.ejector
        self._slow_start = components.slow_start
        self._selector = Selector(settings, components)
        self._learner = OutcomeLearner(components)
        self._discovery = DiscoveryBackoff(settings, components.rng)
        self._requests: dict[int, Request] = {}
        self._key_queues = KeyQueues()
        self._refusals: dict[RefusalReason, int] = dict.fromkeys(LOCAL_REFUSALS, 0)
        self._actions: list[model.Action] = []
        # Functions and not bound methods: those would make a cycle, which only a garbage collection frees.
        self._handlers: dict[type[events.Event], Callable[[Balancer, float, Any], None]] = {
            events.RequestArrived: Balancer._request_arrived,
            events.AttemptEnded: Balancer._attempt_ended,
            events.AttemptWithdrawn: Balancer._attempt_withdrawn,
            events.AnswerStarted: Balancer._answer_started,
            events.BodyDiscarded: Balancer._body_discarded,
            events.ClientLeft: Balancer._client_left,
            events.TimerDue: Balancer._timer_due,
            events.EndpointListReceived: Balancer._endpoints_listed,
            events.DiscoveryFailed: Balancer._discovery_failed,
            events.HealthCheckEnded: Balancer._ignored,
            events.PeerMessageReceived: Balancer._ignored,
            events.SettingsReloaded: Balancer._settings_reloaded,
            events.SteeringChanged: Balancer._steering_changed,
        }

    @property
    def refusals(self) -> Mapping[RefusalReason, int]:
        """The number of requests that got an answer which no server gave, by reason, since the start."""
        return dict(self._refusals)

    @property
    def open_requests(self) -> Collection[int]:
        """The numbers of the requests that have no final answer or still have an attempt in flight."""
        return self._requests.keys()

    @property
    def key_queues(self) -> KeyQueues:
        """The queues of the idempotency keys whose requests run one at a time."""
        return self._key_queues

    def step(self, now: float, event: events.Event) -> list[model.Action]:
        """Take in what happened at `now`; return the actions to carry out, in their order.

        `ValueError` for a request of an unknown class.
        """
        self._handlers[type(event)](self, now, event)
        actions, self._actions = self._actions, []
        return actions

    # --- settings and steering ----------------------------------------------

    def _settings_reloaded(self, now: float, event: events.SettingsReloaded) -> None:
        """Apply other settings; requests in flight keep those of their arrival.

        What was learned stays, except of classes that are not retained: another class may have their place.
        """
        self.settings = settings = event.settings
        self.components.reload(settings, event.retained)
        self._selector.reload(settings)
        self._discovery.reload(settings)
        for server in self._endpoints.servers.values():
            self._actions += self._connections.close_if_draining(server)

    def _steering_changed(self, now: float, event: events.SteeringChanged) -> None:
        if self._steering.replace(now, event.steer):
            self._rebuild()

    def _ignored(self, now: float, event: events.Event) -> None:
        """Do nothing: no health checks and no messages to peers are sent, so none are expected."""

    # --- requests -------------------------------------------------------------

    def _request_arrived(self, now: float, event: events.RequestArrived) -> None:
        """Refuse a request at once, queue it behind others of its key, or send it."""
        if not 0 <= event.request_class < len(self.settings.profiles):
            message = f"request {event.request}: no class {event.request_class}"
            raise ValueError(message)
        request = self._requests[event.request] = self._record(now, event)
        self._paces.arrive(request.work)
        request.over_quota = self._shedder.arrive(
            request.request_class,
            request.profile.priority_weight,
            request.work,
            request.tenant,
            self._rng.random(),
        )
        key = request.key
        if key is not None and self.settings.warm_keys:
            self.components.affinity.count(key)
        if self._is_too_heavy(now, request):
            self._give_up(now, request, TOO_HEAVY)
        elif key is not None and request.profile.ordered:
            self._enqueue(now, request, key)
        else:
            self._attempt(now, request)

    def _record(self, now: float, event: events.RequestArrived) -> Request:
        profile = self.settings.profiles[event.request_class]
        # A time that is not finite must not become a time-out.
        give_up_at = event.give_up_at if math.isfinite(event.give_up_at) else now + profile.deadline
        limits, arrived_at = self.settings, now
        request = Request(
            event.request, event.request_class, event.key, profile, limits, arrived_at, give_up_at
        )
        request.tenant = event.tenant
        request.large = event.large
        if event.work and 0.0 < event.work < math.inf:
            request.work, request.work_known = event.work, True
        return request

    def _is_too_heavy(self, now: float, request: Request) -> bool:
        """Return whether, under overload, a request would take a server's time and still end too late."""
        if request.profile.late_weight > 0.0 or self._shedder.probability(now) <= SHED_THRESHOLD:
            return False
        work = request.work if request.work_known else None
        expected_ms = self._paces.expected_ms(request.request_class, work)
        return expected_ms > MAX_OVERRUN * request.profile.objective

    def _attempt(self, now: float, request: Request) -> None:
        """Refuse a request by the throttle or a cap, or send it to the least loaded candidate."""
        drop = self._throttle.refusal_probability(now)
        chance = self._shedder.class_refusal_probability(now, drop, request.request_class, over_quota=request.over_quota)
        if chance > 0.0 and self._rng.random() < chance:
            self._refuse_locally(now, request, drop)
            return
        caps = self._steering.steer.caps
        if caps and not request.attempts and self._steering.over_cap(now, request.request_class):
            self._give_up(now, request, NO_SERVER)
            return
        candidates = self._selector.candidates(now, request)
        if candidates:
            self._send(now, request, self._selector.least_loaded(now, candidates))
        else:
            self._slow_start.refused += 1
            self._give_up(now, request, NO_SERVER)

    def _refuse_locally(self, now: float, request: Request, drop: float) -> None:
        """Refuse a request by the throttle's formula or by the shed probability.

        What the shed probability refuses beyond the formula is not counted by the throttle: it says nothing
        of the servers, and the throttle would go on to refuse because of its own refusals.
        """
        if drop >= self._shedder.probability(now) - SHED_THRESHOLD:
            self._throttle.add(now, 0.0)
            self._give_up(now, request, THROTTLED)
        else:
            self._give_up(now, request, SHED)

    def _send(self, now: float, request: Request, server: Server) -> None:
        """Start an attempt, over an idle connection if there is one that may be trusted."""
        profile, bound = request.profile, request.bound()
        timeout = retries.timeout(
            now, request, self._overload, self._ejector.silent_at, self._paces.usual_ms()
        )
        sent_at, stalls_at = now, now + retries.STALL_SHARE * profile.objective
        idle_for = now - server.used_at if server.used_at and not server.in_flight else 0.0
        attempt = Attempt(server, sent_at, stalls_at, idle_for, server.group(profile.group))
        if idle_for > self._connections.safe_ms(now):
            self._actions.append(model.CloseIdleConnections(server.name))
            server.idle_connections = 0
        attempt.new_connection = server.idle_connections == 0
        if not attempt.new_connection:
            server.idle_connections -= 1
        server.used_at = now
        request.attempts.append(attempt)
        if not request.large:
            # Sending a large body takes long: the time since the send does not show a stalled server.
            server.outstanding[attempt] = None
            self._set_objective_timer(request, min(profile.objective, timeout - OBJECTIVE_ROUNDING_MS))
        request.outstanding += 1
        self._rate.count(now)
        server.budget -= 1.0
        server.in_flight += 1
        self._endpoints.in_flight += 1
        self._actions.append(model.SendAttempt(request.id, server.name, timeout, retries.write_by(request, bound)))

    def _set_objective_timer(self, request: Request, delay: float) -> None:
        """Ask for a timer at the objective of the newest attempt, if it may be in flight until then."""
        if delay > request.profile.objective - 2.0 * OBJECTIVE_ROUNDING_MS:
            token = model.ObjectiveTimer(request.id, len(request.attempts) - 1)
            self._actions.append(model.StartTimer(delay, token, request.id))

    # --- attempts -------------------------------------------------------------

    def _attempt_ended(self, now: float, event: events.AttemptEnded) -> None:
        """Learn from an outcome, then answer or retry its request, or wait for its other attempts."""
        request = self._requests.get(event.request)
        attempt = request.attempt(event.attempt) if request is not None else None
        if request is None or attempt is None or not attempt.outstanding:
            return
        outcome, server = event.outcome, attempt.server
        elapsed_ms = event.elapsed if math.isfinite(event.elapsed) else now - attempt.sent_at
        self._count_ended(now, request, attempt, outcome)
        if event.report and self._overload.reports:
            self._overload.observe_report(now, server, event.report)
        if request.queue is not None and outcome in MAY_STILL_RUN:
            settle_ms = max(request.limits.settle_after_doubt, self.settings.settle_after_doubt)
            request.queue.pause(now + settle_ms)
        self._learner.learn(now, request, attempt, outcome, elapsed_ms)
        self._actions += self._connections.close_if_draining(server)
        if event.request_ended:
            self._close(request)
        elif not request.ended and request.outstanding == 0:
            if retries.may_retry(now, request):
                self._attempt(now, request)
            else:
                self._give_up(now, request, ATTEMPTS_FAILED)
        self._forget_if_over(now, request)

    def _count_ended(self, now: float, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Count an attempt as no longer in flight, and its connection as idle or lost."""
        server = attempt.server
        attempt.outstanding = False
        attempt.may_have_run = outcome not in NEVER_RAN
        server.in_flight -= 1
        server.used_at = now
        if outcome in CONNECTION_KEPT:
            server.idle_connections += 1
        elif outcome is RESET:
            server.idle_connections = 0
        if attempt.new_connection:
            self._ejector.count_connection(outcome)
        server.outstanding.pop(attempt, None)
        self._endpoints.in_flight -= 1
        request.outstanding -= 1

    def _attempt_withdrawn(self, now: float, event: events.AttemptWithdrawn) -> None:
        """Allow one more attempt: this one does not count, and its server is not at fault."""
        if request := self._requests.get(event.request):
            request.limits = request.limits.one_more_attempt()
            request.attempts[event.attempt].excused = True

    def _answer_started(self, now: float, event: events.AnswerStarted) -> None:
        """Cancel the other attempts of a request.

        From here on the time that the answer takes depends on its size and its reader: the server no longer
        counts as possibly stalled.
        """
        request = self._requests.get(event.request)
        attempt = request.attempt(event.attempt) if request is not None else None
        if request is None or attempt is None:
            return
        attempt.answering = True
        attempt.server.outstanding.pop(attempt, None)
        self._cancel_attempts(request, retained=event.attempt)

    def _body_discarded(self, now: float, event: events.BodyDiscarded) -> None:
        request = self._requests.get(event.request)
        if request is not None:
            request.body_forwarded = True

    # --- timers ---------------------------------------------------------------

    def _timer_due(self, now: float, event: events.TimerDue) -> None:
        match event.token:
            case model.ObjectiveTimer(request_id, number):
                self._objective_reached(now, request_id, number)
            case model.QueueDeadlineTimer(request_id):
                request = self._requests.get(request_id)
                if request is not None and not request.attempts:
                    self._give_up(now, request, QUEUED_TOO_LONG)
            case model.KeyPauseTimer(key):
                self._advance_queue(now, key)
            case model.IdleCloseTimer(name):
                server = self._endpoints.servers.get(name)
                if server is not None:
                    self._actions += self._connections.close_again(server)
            case model.DiscoveryRetryTimer():
                if self._discovery.take_due():
                    self._actions.append(model.WatchEndpointList(on=True))

    def _objective_reached(self, now: float, request_id: int, number: int) -> None:
        request = self._requests.get(request_id)
        if request is None:
            return
        attempt = request.attempts[number]
        if attempt.outstanding and not attempt.answering:
            self._learner.observe_overdue(now, request, attempt)

    # --- order per idempotency key --------------------------------------------

    def _enqueue(self, now: float, request: Request, key: int) -> None:
        """Take a request into its key's queue, or refuse it if it can't be served in time from there."""
        deadline_ms = self._key_queues.join(now, request, key, self._paces.usual_ms())
        if deadline_ms is None:
            self._give_up(now, request, QUEUED_TOO_LONG)
            return
        self._advance_queue(now, key)
        if not request.ended and not request.attempts:
            token = model.QueueDeadlineTimer(request.id)
            self._actions.append(model.StartTimer(deadline_ms, token, request.id))

    def _advance_queue(self, now: float, key: int) -> None:
        pause_ms = self._key_queues.advance(now, key, self._attempt)
        if pause_ms is not None:
            self._actions.append(model.StartTimer(pause_ms, model.KeyPauseTimer(key)))

    # --- ends -----------------------------------------------------------------

    def _client_left(self, now: float, event: events.ClientLeft) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.ended:
            self._close(request)
            self._forget_if_over(now, request)

    def _give_up(self, now: float, request: Request, reason: RefusalReason) -> None:
        """Give a request its final answer without a server, unless an attempt is in flight."""
        if request.ended or request.outstanding:
            return
        self._refusals[reason] += 1
        if retries.may_refuse(request):
            self._actions.append(model.RefuseRequest(request.id, retries.retry_after(now, request)))
        else:
            self._actions.append(model.FailRequest(request.id))
        self._close(request)
        self._forget_if_over(now, request)

    def _close(self, request: Request) -> None:
        request.ended = True
        self._cancel_attempts(request)

    def _cancel_attempts(self, request: Request, retained: int | None = None) -> None:
        """Cancel the attempts of a request that are in flight, except the one to be retained."""
        if request.limits.may_cancel:
            for number, attempt in enumerate(request.attempts):
                if attempt.outstanding and number != retained:
                    self._actions.append(model.CancelAttempt(request.id, number))

    def _forget_if_over(self, now: float, request: Request) -> None:
        """Drop the record of a request that is over, and start the next one of its key."""
        if request.ended and request.outstanding == 0:
            self._requests.pop(request.id, None)
            if request.profile.ordered and request.key is not None:
                self._advance_queue(now, request.key)

    # --- the endpoint list ----------------------------------------------------

    def _endpoints_listed(self, now: float, event: events.EndpointListReceived) -> None:
        """Take over an endpoint list; servers that a complete one does not name are gone."""
        entries = event.entries
        if event.form is ListForm.CONFIGURED:
            self._call_discovery_after(self._discovery.started())
        else:
            self._discovery.succeeded()
        if event.form is not ListForm.CHANGES:
            entries = list(entries)
            for server in self._endpoints.remove_others(now, {entry.server for entry in entries}):
                self._actions += self._connections.close_if_draining(server)
        for entry in entries:
            server = self._endpoints.update(now, entry, self._paces, self._rng)
            self._actions += self._connections.close_if_draining(server)
        self._ejector.forget(self._endpoints.forget_gone(now))
        self._rebuild()

    def _discovery_failed(self, now: float, event: events.DiscoveryFailed) -> None:
        self._call_discovery_after(self._discovery.failed())

    def _call_discovery_after(self, delay_ms: float | None) -> None:
        if delay_ms is not None:
            self._actions.append(model.StartTimer(delay_ms, model.DiscoveryRetryTimer()))

    def _rebuild(self) -> None:
        """Make the ring anew: other servers may be sent to."""
        self._endpoints.rebuild(self._steering.steer)
        self._steering.listed([server.zone for server in self._endpoints.ring])
