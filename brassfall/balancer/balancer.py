"""The decisions of one sidecar balancer: each event is passed to the parts that learn or decide from it.

The ordinary path of a request is a client-side throttle before each send (`throttle`, `load_shedding`), then
the server with fewest of this balancer's own requests in flight among a few sampled at random (`selection`).
`docs/design.md` tells the departures and when each one acts. The interface is in `model` (events and actions)
and `settings`. All times are in milliseconds of one clock, which the events bring.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Mapping

from brassfall.balancer import events, model, retries
from brassfall.balancer.affinity import KeyAffinity
from brassfall.balancer.connections import CLOSINGS, IdleConnections
from brassfall.balancer.ejection import OutlierEjector
from brassfall.balancer.endpoints import Endpoints
from brassfall.balancer.load_shedding import SHED_IDLE, LoadShedder
from brassfall.balancer.overload import OverloadEstimator
from brassfall.balancer.pace import PaceTracker
from brassfall.balancer.rates import SendRate
from brassfall.balancer.records import (
    ABANDONED,
    CANCELLED,
    CONNECT_FAILED,
    ERROR,
    FULL,
    OK,
    RESET,
    TIMEOUT,
    Attempt,
    KeyQueue,
    Request,
    Server,
)
from brassfall.balancer.selection import Selector
from brassfall.balancer.settings import Settings
from brassfall.balancer.slow_start import SlowStart
from brassfall.balancer.steering import Steering
from brassfall.balancer.throttle import Throttle
from brassfall.balancer.zones import ZoneSpillover

Report = Mapping[str, float] | None

NEVER_RAN = frozenset((FULL, CONNECT_FAILED, ABANDONED))
MAY_RUN_STILL = frozenset((TIMEOUT, RESET, CANCELLED))
FAULTS = frozenset((ERROR, TIMEOUT, CONNECT_FAILED, RESET))

LATE_ACCEPT = 0.5  # an answer past its objective shows a service that is falling behind
OBJECTIVE_ROUNDING_MS = (
    1.0  # sums are rounded: an attempt that ends at its objective is looked at before that
)
STOOD_STILL_MS = 100.0  # a timer later than this shows a stall of one's own; a tick is far less
MIN_SPENT_MS = 1e-3  # an answer that began before its request's end took no time: no pace is without any
OVERRUN = 1.25  # under overload, work of so many objectives is not begun where late earns nothing

WATCH_SPREAD_MS = 2500.0
WATCH_RETRY_MS, WATCH_RETRY_PART = 500.0, 0.2  # doubled up to this share of what may pass without a call
# Why a request is given up: the formula; the shed probability beyond it; work too heavy to end in time; no
# server that may be sent to; its key's queue too long; no attempt left after a failure.
REASONS = ("formula", "level", "heavy", "room", "line", "failed")
# What a timer's token begins with; it ends with the request, key or server that it is about.
WATCH = "watch"
DUE = "due:"
LATE = "late:"
TURN = "turn:"
CLOSE = "close:"


class Balancer:
    """The decisions of one sidecar: events in, actions out.

    Each event method takes the time first and returns the actions to carry out, in their order, at that
    same time. Given the same events and the same seed, the actions are the same.
    """

    def __init__(self, now: float, settings: Settings, seed: int) -> None:
        """An instance that knows no server yet; `seed` is that of its random numbers."""
        self.settings = settings
        self.given_up = dict.fromkeys(REASONS, 0)  # what was answered without a server, by reason
        self._rng = random.Random(seed)
        self._requests: dict[int, Request] = {}
        self._key_queues: dict[int, KeyQueue] = {}
        self._throttle = Throttle()
        self._shedder = LoadShedder(settings)
        self._rate = SendRate(now)
        self._paces = PaceTracker()
        self._affinity = KeyAffinity()
        self._connections = IdleConnections(now, settings)
        self._overload = OverloadEstimator(settings, self._rate)
        self._endpoints = Endpoints(settings)
        self._zones = ZoneSpillover(settings)
        self._steering = Steering(self._rng)
        self._ejector = OutlierEjector(self._endpoints, self._shedder, self._rng)
        self._slow_start = SlowStart(now, settings, self._endpoints, self._zones, self._steering, self._rate)
        self._selector = Selector(
            settings,
            self._rng,
            self._endpoints,
            self._zones,
            self._steering,
            self._slow_start,
            self._ejector,
            self._overload,
            self._paces,
            self._affinity,
        )
        self._watch_pending = False
        self._watch_retry_ms = WATCH_RETRY_MS
        self._actions: list[model.Action] = []

    @property
    def refusals(self) -> Mapping[model.RefusalReason, int]:
        """How many requests got an answer that no server gave, by reason, since the start."""
        return {model.RefusalReason(reason): count for reason, count in self.given_up.items()}

    # --- events -----------------------------------------------------------

    def step(self, now: float, event: events.Event) -> list[model.Action]:  # noqa: C901 - a case an event
        """Take in what happened at `now`; return the actions to carry out, in their order."""
        match event:
            case events.RequestArrived():
                return self.request(now, model.Arrival(*event))
            case events.AttemptEnded():
                return self.outcome(now, *event)
            case events.AttemptWithdrawn():
                return self.unsent(now, *event)
            case events.AnswerStarted():
                return self.answer_started(now, *event)
            case events.BodyDiscarded():
                return self.body_gone(now, *event)
            case events.ClientLeft():
                return self.client_gone(now, *event)
            case events.TimerDue():
                return self.timer(now, *event)
            case events.EndpointsListed():
                return self.server_list(now, event.form.value, event.entries)
            case events.DiscoveryFailed():
                return self.server_list(now, "refused", ())
            case events.HealthCheckEnded():
                return self.probe_result(now, *event)
            case events.PeerMessageReceived():
                return self.peer_message(now, *event)
            case events.SettingsReloaded():
                return self.reload(now, *event)
            case events.SteeringChanged():
                return self.steer(now, event.steer)

    def reload(self, now: float, settings: Settings, retained: Collection[int]) -> list[model.Action]:
        """Other settings from now on; requests in flight keep theirs. What was learned stays, but
        for the classes that are not retained: their slots may be another's now."""
        self.settings = settings
        self._paces.keep_classes(retained)
        self._shedder.reload(settings, retained)
        self._zones.reload(settings, retained)
        self._connections.reload(settings)
        self._overload.reload(settings)
        self._endpoints.reload(settings)
        self._slow_start.reload(settings)
        self._selector.reload(settings)
        for server in self._endpoints.servers.values():
            self._release(server)
        return self._take_actions()

    def steer(self, now: float, steer: model.Steer) -> list[model.Action]:
        """Another plan and other overrides from now on; the change is eased in."""
        if self._steering.replace(now, steer):
            self._rebuild()
        return self._take_actions()

    def request(self, now: float, arrival: model.Arrival) -> list[model.Action]:
        """A client's request: refuse it at once or send it. `ValueError` if there is no such class."""
        if not 0 <= arrival.request_class < len(self.settings.profiles):
            raise ValueError(f"request {arrival.request}: no class {arrival.request_class}")
        request = self._requests[arrival.request] = self._taken(now, arrival)
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
            self._affinity.count(key)
        if self._too_heavy(now, request):
            self._give_up(now, request, "heavy")
        elif key is not None and request.profile.ordered:
            self._enqueue(now, request, key)
        else:
            self._attempt(now, request)
        return self._take_actions()

    def outcome(
        self,
        now: float,
        request_id: int,
        hop: int,
        status: int,
        spent: float = 0.0,
        last: bool = False,
        report: Report = None,
    ) -> list[model.Action]:
        """The end of an attempt: learn from it, then answer, retry or wait.

        `hop` is its number within the request, `status` an `Outcome`, `spent` milliseconds; `last` says that
        the request has ended."""
        request = self._requests.get(request_id)
        if request is None or not 0 <= hop < len(request.attempts) or not request.attempts[hop].outstanding:
            return []
        attempt = request.attempts[hop]
        if not math.isfinite(spent):
            spent = now - attempt.sent_at
        self._ended(now, request, attempt, status)
        server = attempt.server
        if report and self._overload.reports:
            self._overload.observe_report(now, server, report)
        if request.queue is not None and status in MAY_RUN_STILL:
            # Its key pauses, whatever becomes of the request.
            pause = max(request.limits.settle_after_doubt, self.settings.settle_after_doubt)
            request.queue.paused_until = now + pause
        self._learn(now, request, attempt, status, spent)
        self._release(server)
        if last:
            self._close(request)
        elif not request.ended and request.outstanding == 0:
            if retries.may_retry(now, request):
                self._attempt(now, request)
            else:
                self._give_up(now, request, "failed")
        self._forget(now, request)
        return self._take_actions()

    def unsent(self, now: float, request_id: int, hop: int) -> list[model.Action]:
        """An attempt whose end follows was never sent, since the rules changed: it counts as none."""
        if request := self._requests.get(request_id):
            request.limits = request.limits.one_more_attempt()
            request.attempts[hop].excused = True
        return self._take_actions()

    def answer_started(self, now: float, request_id: int, hop: int) -> list[model.Action]:
        """An answer has begun: it belongs to the client, other attempts are cancelled. How long it takes
        from here on tells of its size and its reader, not of a server that has stalled."""
        request = self._requests.get(request_id)
        if request is not None and 0 <= hop < len(request.attempts):
            attempt = request.attempts[hop]
            attempt.answering = True
            attempt.server.outstanding.pop(attempt, None)
            self._cancel_others(request, hop)
        return self._take_actions()

    def body_gone(self, now: float, request_id: int) -> list[model.Action]:
        """More of a large body has been forwarded than is retained: it can't be sent again."""
        request = self._requests.get(request_id)
        if request is not None:
            request.body_forwarded = True
        return self._take_actions()

    def timer(self, now: float, token: str) -> list[model.Action]:
        """A timer of this balancer's own has come due."""
        kind, colon, about = token.partition(":")
        kind += colon
        if kind == DUE:
            self._overdue(now, about)
        elif kind == LATE:
            request = self._requests.get(int(about))
            if request is not None and not request.attempts:
                self._give_up(now, request, "line")
        elif kind == TURN:
            self._advance(now, int(about))
        elif kind == CLOSE:
            server = self._endpoints.servers.get(about)
            if server is not None and server.closings_left:
                closings, server.closings_left = server.closings_left - 1, 0
                self._release(server, closings)
        elif kind == WATCH and self._watch_pending:
            self._watch_pending = False
            self._actions.append(model.Watch(on=True))
        return self._take_actions()

    def server_list(self, now: float, form: str, entries: Iterable[model.Listing]) -> list[model.Action]:
        """What discovery says of the servers; `form` is "changes", "all", "remembered" or "refused"."""
        if form == "refused":
            self._watch_later(self._watch_retry_ms * (1.0 + self._rng.random()))
            longest = min(model.MAX_POLL_BACKOFF_MS, WATCH_RETRY_PART * self.settings.ask_within)
            self._watch_retry_ms = min(2.0 * self._watch_retry_ms, longest)
            return self._take_actions()
        if form == "remembered":
            if self.settings.discovery == "subscribe":
                spread = min(WATCH_SPREAD_MS, self.settings.ask_within / 4.0)
                self._watch_later(self._rng.random() * spread)
        else:
            self._watch_retry_ms = WATCH_RETRY_MS
        if form != "changes":
            entries = list(entries)
            for server in self._endpoints.remove_others(now, {entry.server for entry in entries}):
                self._release(server)
        for entry in entries:
            self._release(self._endpoints.update(now, entry, self._paces, self._rng))
        self._ejector.forget(self._endpoints.forget_gone(now))
        self._rebuild()
        return self._take_actions()

    def probe_result(
        self, now: float, server: str, status: int, spent: float = 0.0, report: Report = None
    ) -> list[model.Action]:
        """What a health check found; none are sent: one before each send cost more than it told."""
        return self._take_actions()

    def peer_message(self, now: float, peer: int, data: bytes) -> list[model.Action]:
        """A message from a peer; none are used yet."""
        return self._take_actions()

    def client_gone(self, now: float, request_id: int) -> list[model.Action]:
        """The client has left: nothing more is owed."""
        request = self._requests.get(request_id)
        if request is not None and not request.ended:
            self._close(request)
            self._forget(now, request)
        return self._take_actions()

    # --- the ordinary path ------------------------------------------------

    def _taken(self, now: float, arrival: model.Arrival) -> Request:
        """The record of a request that arrives."""
        profile = self.settings.profiles[arrival.request_class]
        # A figure that is not finite must not reach a time-out: the class's own serves.
        until = arrival.give_up_at if math.isfinite(arrival.give_up_at) else now + profile.deadline
        request = Request(
            arrival.request, arrival.request_class, arrival.key, profile, self.settings, now, until
        )
        if arrival.work and 0.0 < arrival.work < math.inf:
            request.work, request.work_known = arrival.work, True
        request.tenant = arrival.tenant
        request.large = arrival.large
        return request

    def _too_heavy(self, now: float, request: Request) -> bool:
        """Whether, under overload, a request would take a server and still come too late."""
        if request.profile.late_weight > 0.0 or self._shedder.probability(now) <= SHED_IDLE:
            return False
        work = request.work if request.work_known else None
        return self._paces.expected_ms(request.request_class, work) > OVERRUN * request.profile.objective

    def _attempt(self, now: float, request: Request) -> None:
        """Throttle, sample candidates, then send to the least loaded of them."""
        drop = self._throttle.drop_chance(now)
        chance = self._shedder.refusal_chance(now, drop, request.request_class, over=request.over_quota)
        if chance > 0.0 and self._rng.random() < chance:
            self._refuse_locally(now, request, drop)
            return
        caps = self._steering.steer.caps
        if caps and not request.attempts and self._steering.over_cap(now, request.request_class):
            self._give_up(now, request, "room")
            return
        candidates = self._selector.candidates(now, request)
        if candidates:
            self._send(now, request, self._selector.least_loaded(now, candidates))
        else:
            self._slow_start.refused += 1
            self._give_up(now, request, "room")

    def _refuse_locally(self, now: float, request: Request, drop: float) -> None:
        """Refuse a request by the throttle's formula or by the shed probability.

        What that refuses beyond the formula tells nothing of the callee: counted as a request it would close
        the window, which then refuses by itself, on no evidence but its own."""
        if drop >= self._shedder.probability(now) - SHED_IDLE:
            self._throttle.add(now, 0.0)
            self._give_up(now, request, "formula")
        else:
            self._give_up(now, request, "level")

    def _send(self, now: float, request: Request, server: Server) -> None:
        profile, bound = request.profile, request.bound()
        objective = profile.objective
        timeout = retries.timeout(
            now, request, self._overload, self._ejector.silent_at, self._paces.usual_ms()
        )
        idle_for = now - server.used_at if server.used_at and not server.in_flight else 0.0
        stalls_at = now + retries.STALL * objective
        attempt = Attempt(server, now, stalls_at, idle_for, server.group(profile.group))
        if idle_for > self._connections.safe_ms(now):
            self._actions.append(model.CloseIdle(server.name))
            server.idle_connections = 0
        attempt.new_connection = server.idle_connections == 0
        if not attempt.new_connection:
            server.idle_connections -= 1
        server.used_at = now
        request.attempts.append(attempt)
        if not request.large:
            # A large body is long on its way: time since its send shows no stalled server.
            server.outstanding[attempt] = None
            self._look_at_objective(request, min(objective, timeout - OBJECTIVE_ROUNDING_MS))
        request.outstanding += 1
        self._rate.count(now)
        server.budget -= 1.0
        server.in_flight += 1
        self._endpoints.in_flight += 1
        self._actions.append(model.Send(request.id, server.name, timeout, retries.write_by(request, bound)))

    def _look_at_objective(self, request: Request, due: float) -> None:
        """Ask for a timer at the objective of the newest attempt, if it may be out until then."""
        if due > request.profile.objective - 2.0 * OBJECTIVE_ROUNDING_MS:
            token = f"{DUE}{request.id}:{len(request.attempts) - 1}"
            self._actions.append(model.Timer(due, token, request.id))

    # --- learning ---------------------------------------------------------

    def _ended(self, now: float, request: Request, attempt: Attempt, status: int) -> None:
        """Count an attempt as over."""
        server = attempt.server
        attempt.outstanding = False
        attempt.may_have_run = status not in NEVER_RAN
        server.in_flight -= 1
        server.used_at = now
        if status in (OK, ERROR, FULL):
            server.idle_connections += 1
        elif status == RESET:
            server.idle_connections = 0
        if attempt.new_connection:
            self._ejector.count_connection(status)
        server.outstanding.pop(attempt, None)
        self._endpoints.in_flight -= 1
        request.outstanding -= 1

    def _learn(self, now: float, request: Request, attempt: Attempt, status: int, spent: float) -> None:
        """Charge an outcome to the server's own health or to the service."""
        if status >= CANCELLED:  # or never sent: it tells nothing
            return
        server, objective = attempt.server, request.profile.objective
        self._ejector.count(status)
        if status in (OK, FULL, TIMEOUT):
            self._shedder.observe(now, self._overload.signal(now, server, status))
            least = MIN_SPENT_MS if status == OK else objective
            self._paces.learn(server.pace, server.kind_pace, max(spent, least), request.work)
        missed = float(status != OK or spent > objective)
        if self._steering.on:
            self._steering.learn(now, server.zone, missed)
        if self._zones.active:
            self._zones.learn(server.zone, request.request_class, missed)
        if status == OK:
            self._overload.observe_answer(spent, objective)
            if not request.work_known:
                self._paces.learn_class(request.request_class, spent)
            self._ejector.answered(now, server)
            self._throttle.add(now, 1.0 if spent <= objective else LATE_ACCEPT)
        elif status == FULL:
            self._ejector.rejected(now, server)
            self._throttle.add(now, 0.0)
        elif not self._connections.was_dropped(now, attempt, status, spent):
            silent = status == TIMEOUT
            if not silent or (not attempt.blamed and server.answered_at < attempt.sent_at):
                self._ejector.blame(now, server, silent=silent)
            self._throttle.add(now, 0.0)

    def _overdue(self, now: float, about: str) -> None:
        """An attempt still out at its objective is a signal of overload then, not at its end: where it
        may go on, a service that has stalled would be noticed only as clients give up."""
        request_id, _, hop = about.partition(":")
        request = self._requests.get(int(request_id))
        if request is None:
            return
        attempt = request.attempts[int(hop)]
        if not attempt.outstanding or attempt.answering:
            return
        if now - attempt.sent_at - request.profile.objective > STOOD_STILL_MS:
            return  # this sidecar stood still itself: that tells nothing of the servers
        self._shedder.observe(now, self._overload.late_signal(now))
        if self._overload.quick and attempt.server.answered_at < attempt.sent_at:
            attempt.blamed = True
            self._ejector.blame(now, attempt.server, silent=True)

    # --- order per key ------------------------------------------------------

    def _enqueue(self, now: float, request: Request, key: int) -> None:
        """Take a request into its key's queue, unless it can't be served in time from there."""
        queue = request.queue = self._key_queues.setdefault(key, KeyQueue())
        usual = self._paces.usual_ms()
        left = request.useful_until() - usual - now
        if left < usual * len(queue.requests) and queue.requests:
            self._give_up(now, request, "line")
            return
        queue.requests.append(request)
        self._advance(now, key)
        if not request.ended and not request.attempts:
            self._actions.append(model.Timer(max(left, 0.0), f"{LATE}{request.id}", request.id))

    def _advance(self, now: float, key: int) -> None:
        """Start the request whose turn it is: all before it are over, and the key pauses no more."""
        queue = self._key_queues.get(key)
        if queue is None or queue.advancing:
            return
        queue.advancing = True  # a refusal below ends a request and would come here again
        while (request := queue.next_ready(now)) is not None:
            self._attempt(now, request)
            if not request.ended:
                break
        queue.advancing = False
        if queue.requests and not queue.waits:
            return
        if now < queue.paused_until:
            self._actions.append(model.Timer(queue.paused_until - now, f"{TURN}{key}"))
        elif not queue.requests:
            del self._key_queues[key]

    # --- ends ---------------------------------------------------------------

    def _give_up(self, now: float, request: Request, why: str) -> None:
        """The final answer where no attempt has served."""
        if request.ended or request.outstanding:
            return
        self.given_up[why] += 1
        if retries.may_refuse(request):
            self._actions.append(model.Refuse(request.id, retries.retry_after(now, request)))
        else:
            self._actions.append(model.Fail(request.id))
        self._close(request)
        self._forget(now, request)

    def _close(self, request: Request) -> None:
        request.ended = True
        self._cancel_others(request, -1)

    def _cancel_others(self, request: Request, retained: int) -> None:
        """Cancel what is out of a request, but for one attempt."""
        if request.limits.may_cancel:
            for hop, attempt in enumerate(request.attempts):
                if attempt.outstanding and hop != retained:
                    self._actions.append(model.Cancel(request.id, hop))

    def _forget(self, now: float, request: Request) -> None:
        """Drop the record of a request that is over, and start the next one of its key."""
        if request.ended and request.outstanding == 0:
            self._requests.pop(request.id, None)
            if request.profile.ordered and request.key is not None:
                self._advance(now, request.key)

    # --- the endpoint list ----------------------------------------------------

    def _rebuild(self) -> None:
        self._endpoints.rebuild(self._steering.steer)
        self._steering.listed([server.zone for server in self._endpoints.ring])

    def _release(self, server: Server, closings: int = CLOSINGS) -> None:
        """Close idle connections to a server that drains: now, and again before the time is up."""
        if self._connections.releases(server):
            self._actions.append(model.CloseIdle(server.name))
            delay = self._connections.schedule_closing(server, closings)
            if delay is not None:
                self._actions.append(model.Timer(delay, CLOSE + server.name))

    def _watch_later(self, delay: float) -> None:
        """Call discovery again later; with jitter, since every sidecar does."""
        if not self._watch_pending:
            self._watch_pending = True
            self._actions.append(model.Timer(delay, WATCH))

    def _take_actions(self) -> list[model.Action]:
        actions, self._actions = self._actions, []
        return actions
