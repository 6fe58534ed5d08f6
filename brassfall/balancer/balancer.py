"""Load balancer of one sidecar: it receives events and returns the actions to carry out.

Before each attempt, the client-side throttle may refuse the request (modules `throttle` and `load_shedding`).
Otherwise the server with the fewest of this sidecar's own attempts in flight is chosen from a few servers
that are sampled at random (module `selection`). `docs/design.md` lists the exceptions from this path and
their conditions. All times are in milliseconds of one clock, whose time is passed with each event.
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
    NO_SERVER,
    OK,
    QUEUED_TOO_LONG,
    REJECTED,
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

NEVER_RAN = frozenset((REJECTED, CONNECT_FAILED, ABANDONED))  # Outcomes after which the request did not run
# Outcomes after which the request may still be running.
MAY_STILL_RUN = frozenset((TIMEOUT, RESET, CANCELLED))
# Outcomes after which the connection of the attempt becomes idle and can be reused.
CONNECTION_KEPT = frozenset((OK, ERROR, REJECTED))

# Milliseconds by which the timer at the latency objective precedes a time-out at the objective, so that the
# timer is due first however the sums of times are rounded.
OBJECTIVE_ROUNDING_MS = 1.0
# Reasons counted by the balancer. TOO_MANY_OPEN is counted by the process before a request reaches the
# balancer.
LOCAL_REFUSALS: tuple[RefusalReason, ...] = tuple(
    reason for reason in RefusalReason if reason is not TOO_MANY_OPEN
)
# Under overload, a request is refused if its expected time exceeds this multiple of its latency objective.
MAX_OVERRUN = 1.25


class Balancer:
    """Load balancer of one sidecar.

    The same settings, events and seed always give the same actions.
    """

    def __init__(self, now: float, settings: Settings, seed: int) -> None:
        """Create the balancer without servers; `seed` is the seed of the random number generator."""
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
        # The handlers are functions, because bound methods would create a reference cycle, which only the
        # garbage collector could free.
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
            events.HealthCheckEnded: Balancer._ignore_event,
            events.PeerMessageReceived: Balancer._ignore_event,
            events.SettingsReloaded: Balancer._settings_reloaded,
            events.SteeringChanged: Balancer._steering_changed,
        }

    @property
    def refusals(self) -> Mapping[RefusalReason, int]:
        """The number of requests that were answered without a server since the start, by reason."""
        return dict(self._refusals)

    @property
    def open_requests(self) -> Collection[int]:
        """The numbers of the requests that have no final answer or have an attempt in flight."""
        return self._requests.keys()

    @property
    def key_queues(self) -> KeyQueues:
        """The queues of the idempotency keys whose requests run one at a time."""
        return self._key_queues

    def step(self, now: float, event: events.Event) -> list[model.Action]:
        """Process an event that happened at `now`; return the actions to carry out, in this order.

        Raise `ValueError` for the arrival of a request of an unknown class.
        """
        self._handlers[type(event)](self, now, event)
        actions, self._actions = self._actions, []
        return actions

    # --- settings and steering ----------------------------------------------

    def _settings_reloaded(self, now: float, event: events.SettingsReloaded) -> None:
        """Apply new settings; open requests keep the settings in force at their arrival.

        What was learned is kept, except about classes that are not retained, because another class may have
        their index now.
        """
        self.settings = settings = event.settings
        self.components.reload(settings, event.retained)
        self._selector.reload(settings)
        self._discovery.reload(settings)
        for server in self._endpoints.servers.values():
            self._actions += self._connections.close_if_draining(server)

    def _steering_changed(self, now: float, event: events.SteeringChanged) -> None:
        if self._steering.apply(now, event.steer):
            self._rebuild_ring()

    def _ignore_event(self, now: float, event: events.Event) -> None:
        """Ignore the event: the balancer starts no health checks and sends no peer messages."""

    # --- requests -------------------------------------------------------------

    def _request_arrived(self, now: float, event: events.RequestArrived) -> None:
        """Refuse a request immediately, add it to the queue of its key, or send it."""
        if not 0 <= event.request_class < len(self.settings.profiles):
            message = f"request {event.request}: no class {event.request_class}"
            raise ValueError(message)
        request = self._requests[event.request] = self._new_request(now, event)
        self._paces.count_arrival(request.work)
        request.over_quota = self._shedder.count_arrival(
            request.request_class,
            request.profile.priority_weight,
            request.work,
            request.tenant,
            self._rng.random(),
        )
        key = request.key
        if key is not None and self.settings.warm_keys:
            self.components.affinity.count_arrival(key)
        if self._is_too_heavy(now, request):
            self._answer_without_server(now, request, TOO_HEAVY)
        elif key is not None and request.profile.ordered:
            self._enqueue(now, request, key)
        else:
            self._refuse_or_send(now, request)

    def _new_request(self, now: float, event: events.RequestArrived) -> Request:
        profile = self.settings.profiles[event.request_class]
        # If the client states no finite time, the deadline of the class applies: a time-out has to be finite.
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
        """Return whether, under overload, a request would use a server's capacity and still end too late."""
        if request.profile.late_weight > 0.0 or self._shedder.probability(now) <= SHED_THRESHOLD:
            return False
        work = request.work if request.work_known else None
        expected_ms = self._paces.expected_ms(request.request_class, work)
        return expected_ms > MAX_OVERRUN * request.profile.objective

    def _refuse_or_send(self, now: float, request: Request) -> None:
        """Refuse a request by the throttle, the load shedder or a cap, or send it to the best candidate."""
        throttled = self._throttle.refusal_probability(now)
        probability = self._shedder.class_refusal_probability(
            now, throttled, request.request_class, over_quota=request.over_quota
        )
        if probability > 0.0 and self._rng.random() < probability:
            self._refuse_locally(now, request, throttled)
            return
        caps = self._steering.steer.caps
        if caps and not request.attempts and self._steering.exceeds_cap(now, request.request_class):
            self._answer_without_server(now, request, NO_SERVER)
            return
        candidates = self._selector.candidates(now, request)
        if candidates:
            self._send(now, request, self._selector.least_loaded(now, candidates))
        else:
            self._slow_start.refused_requests += 1
            self._answer_without_server(now, request, NO_SERVER)

    def _refuse_locally(self, now: float, request: Request, throttled: float) -> None:
        """Refuse a request because of the throttle or because of the shed probability.

        `throttled` is the refusal probability of the throttle. Requests refused because the shed probability
        is higher are not counted by the throttle, because they tell nothing about the servers and the
        throttle would continue to refuse requests only because of refusals.
        """
        if throttled >= self._shedder.probability(now) - SHED_THRESHOLD:
            self._throttle.count_request(now, 0.0)
            self._answer_without_server(now, request, THROTTLED)
        else:
            self._answer_without_server(now, request, SHED)

    def _send(self, now: float, request: Request, server: Server) -> None:
        """Start an attempt; close the idle connections of the server first if they were idle for too long."""
        profile, binding = request.profile, request.binding_attempt()
        timeout = retries.attempt_timeout_ms(
            now, request, self._overload, self._ejector.silent_at, self._paces.usual_ms()
        )
        sent_at, stalls_at = now, now + retries.STALL_SHARE * profile.objective
        idle_for = now - server.used_at if server.used_at and not server.in_flight else 0.0
        attempt = Attempt(server, sent_at, stalls_at, idle_for, server.group(profile.key_scope))
        if idle_for > self._connections.max_idle_ms(now):
            self._actions.append(model.CloseIdleConnections(server.name))
            server.idle_connections = 0
        attempt.new_connection = server.idle_connections == 0
        if not attempt.new_connection:
            server.idle_connections -= 1
        server.used_at = now
        request.attempts.append(attempt)
        if not request.large:
            # A large body takes long to send, so the time since the send does not show whether the server
            # stalls.
            server.outstanding[attempt] = None
            self._set_objective_timer(request, min(profile.objective, timeout - OBJECTIVE_ROUNDING_MS))
        request.outstanding += 1
        self._rate.count_send(now)
        server.budget -= 1.0
        server.in_flight += 1
        self._endpoints.in_flight += 1
        self._actions.append(
            model.SendAttempt(request.id, server.name, timeout, retries.write_deadline(request, binding))
        )

    def _set_objective_timer(self, request: Request, delay: float) -> None:
        """Start a timer at the objective of the newest attempt, unless its time-out comes earlier."""
        if delay > request.profile.objective - 2.0 * OBJECTIVE_ROUNDING_MS:
            token = model.ObjectiveTimer(request.id, len(request.attempts) - 1)
            self._actions.append(model.StartTimer(delay, token, request.id))

    # --- attempts -------------------------------------------------------------

    def _attempt_ended(self, now: float, event: events.AttemptEnded) -> None:
        """Learn from the outcome of an attempt; then answer or retry its request, or await other attempts."""
        request = self._requests.get(event.request)
        attempt = request.attempt(event.attempt) if request is not None else None
        if request is None or attempt is None or not attempt.outstanding:
            return
        outcome, server = event.outcome, attempt.server
        elapsed_ms = event.elapsed if math.isfinite(event.elapsed) else now - attempt.sent_at
        self._count_attempt_end(now, request, attempt, outcome)
        if event.report and self._overload.has_load_reports:
            self._overload.observe_report(now, server, event.report)
        if request.queue is not None and outcome in MAY_STILL_RUN:
            settle_ms = max(request.limits.settle_after_doubt, self.settings.settle_after_doubt)
            request.queue.pause(now + settle_ms)
        self._learner.learn(now, request, attempt, outcome, elapsed_ms)
        self._actions += self._connections.close_if_draining(server)
        if event.request_ended:
            self._end_request(request)
        elif not request.ended and request.outstanding == 0:
            if retries.may_retry(now, request):
                self._refuse_or_send(now, request)
            else:
                self._answer_without_server(now, request, ATTEMPTS_FAILED)
        self._forget_if_finished(now, request)

    def _count_attempt_end(self, now: float, request: Request, attempt: Attempt, outcome: Outcome) -> None:
        """Record that an attempt is no longer in flight and that its connection became idle or was lost."""
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
        """Allow the request one more attempt, because the withdrawn attempt does not count."""
        if request := self._requests.get(event.request):
            request.limits = request.limits.with_one_more_attempt()
            request.attempts[event.attempt].excused = True

    def _answer_started(self, now: float, event: events.AnswerStarted) -> None:
        """Cancel the other attempts of a request whose answer has started.

        From now on, the time of the answer depends on its size and on how fast the client reads it, so the
        server no longer counts as possibly stalled.
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
            case model.ObjectiveTimer(request_id, index):
                self._objective_reached(now, request_id, index)
            case model.QueueDeadlineTimer(request_id):
                request = self._requests.get(request_id)
                if request is not None and not request.attempts:
                    self._answer_without_server(now, request, QUEUED_TOO_LONG)
            case model.KeyPauseTimer(key):
                self._advance_queue(now, key)
            case model.IdleCloseTimer(name):
                server = self._endpoints.servers.get(name)
                if server is not None:
                    self._actions += self._connections.close_again(server)
            case model.DiscoveryRetryTimer():
                if self._discovery.take_scheduled_call():
                    self._actions.append(model.WatchEndpointList(on=True))

    def _objective_reached(self, now: float, request_id: int, index: int) -> None:
        request = self._requests.get(request_id)
        if request is None:
            return
        attempt = request.attempts[index]
        if attempt.outstanding and not attempt.answering:
            self._learner.observe_overdue(now, request, attempt)

    # --- order per idempotency key --------------------------------------------

    def _enqueue(self, now: float, request: Request, key: int) -> None:
        """Add a request to the queue of its key, or refuse it if it would leave the queue too late."""
        deadline_ms = self._key_queues.enqueue(now, request, key, self._paces.usual_ms())
        if deadline_ms is None:
            self._answer_without_server(now, request, QUEUED_TOO_LONG)
            return
        self._advance_queue(now, key)
        if not request.ended and not request.attempts:
            token = model.QueueDeadlineTimer(request.id)
            self._actions.append(model.StartTimer(deadline_ms, token, request.id))

    def _advance_queue(self, now: float, key: int) -> None:
        pause_ms = self._key_queues.start_next(now, key, self._refuse_or_send)
        if pause_ms is not None:
            self._actions.append(model.StartTimer(pause_ms, model.KeyPauseTimer(key)))

    # --- ends -----------------------------------------------------------------

    def _client_left(self, now: float, event: events.ClientLeft) -> None:
        request = self._requests.get(event.request)
        if request is not None and not request.ended:
            self._end_request(request)
            self._forget_if_finished(now, request)

    def _answer_without_server(self, now: float, request: Request, reason: RefusalReason) -> None:
        """Refuse or fail a request that has no attempt in flight, and count the reason."""
        if request.ended or request.outstanding:
            return
        self._refusals[reason] += 1
        if retries.may_refuse(request):
            self._actions.append(model.RefuseRequest(request.id, retries.retry_after_ms(now, request)))
        else:
            self._actions.append(model.FailRequest(request.id))
        self._end_request(request)
        self._forget_if_finished(now, request)

    def _end_request(self, request: Request) -> None:
        request.ended = True
        self._cancel_attempts(request)

    def _cancel_attempts(self, request: Request, retained: int | None = None) -> None:
        """Cancel the attempts of a request in flight, except the one with the index `retained`."""
        if request.limits.may_cancel:
            for index, attempt in enumerate(request.attempts):
                if attempt.outstanding and index != retained:
                    self._actions.append(model.CancelAttempt(request.id, index))

    def _forget_if_finished(self, now: float, request: Request) -> None:
        """Drop the record of a finished request, and start the next request in the queue of its key."""
        if request.ended and request.outstanding == 0:
            self._requests.pop(request.id, None)
            if request.profile.ordered and request.key is not None:
                self._advance_queue(now, request.key)

    # --- the endpoint list ----------------------------------------------------

    def _endpoints_listed(self, now: float, event: events.EndpointListReceived) -> None:
        """Apply an endpoint list; servers that are missing in a complete list count as gone."""
        entries = event.entries
        if event.form is ListForm.CONFIGURED:
            self._call_discovery_after(self._discovery.schedule_first_call())
        else:
            self._discovery.reset()
        if event.form is not ListForm.CHANGES:
            entries = list(entries)
            for server in self._endpoints.mark_others_gone(now, {entry.server for entry in entries}):
                self._actions += self._connections.close_if_draining(server)
        for entry in entries:
            server = self._endpoints.update_entry(now, entry, self._paces, self._rng)
            self._actions += self._connections.close_if_draining(server)
        self._ejector.forget_servers(self._endpoints.forget_gone(now))
        self._rebuild_ring()

    def _discovery_failed(self, now: float, event: events.DiscoveryFailed) -> None:
        self._call_discovery_after(self._discovery.schedule_retry())

    def _call_discovery_after(self, delay_ms: float | None) -> None:
        if delay_ms is not None:
            self._actions.append(model.StartTimer(delay_ms, model.DiscoveryRetryTimer()))

    def _rebuild_ring(self) -> None:
        """Rebuild the ring after a change of the servers or of their exclusions."""
        self._endpoints.rebuild_ring(self._steering.steer)
        self._steering.update_zones([server.zone for server in self._endpoints.ring])
