"""The only caller of the balancer: events in, actions out.

The driver owns the timers, the requests and their attempts, and knows no sockets: what carries requests,
lists and messages is handed in, behind the protocols of `interfaces`. All runs on one event loop, without
awaiting. Times and spans are in ms of the sidecar's clock where no other unit is named.
"""

from __future__ import annotations

import asyncio
import math
import traceback
from collections.abc import Callable

from brassfall.balancer import Balancer, events, model
from brassfall.balancer.model import Outcome
from brassfall.sidecar.config import Config
from brassfall.sidecar.console import log
from brassfall.sidecar.core.attempts import FORGOTTEN, Attempt, Request
from brassfall.sidecar.core.clock import HOLD_UP_MS, Clock
from brassfall.sidecar.core.interfaces import Answer, Call, Flow, Gossip, Registry, Result, Upstreams
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.discovery.start_times import StartTimes

# The client counts from its send and we from the read: transit, and what the loop lags.
DEADLINE_MARGIN_MS = 8.0
# The balancer answers at the deadline; what it left unanswered for so long is failed in its place.
GUARD_MS = 25.0
# A retry under an idempotency key has to have reached its server within the key's window, also where this
# process is held up. Its transit is covered by the 50 ms that the protocol adds to each limit.
KEY_MARGIN_MS = HOLD_UP_MS
# An attempt that is due so long after its request was read looks for its client's leaving first: the process
# may have stood still meanwhile, with the end of the client's connection not read yet.
LOOK_AFTER_MS = 10.0
PROBE_TIMEOUT_MS = 1000.0


class Driver:
    """Runs one balancer: passes each event to it and carries out the actions that it returns."""

    revision_stamp: Callable[[], bytes] | None = None  # asked before each decision: what is acted on

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, config: Config) -> None:
        self._loop = loop
        self._clock = clock
        self._settings = config.settings
        self._max_open = config.max_open
        self._requests: dict[int, Request] = {}
        self._open = 0  # requests without a final answer
        self._flowing = 0  # answers that are passed on as they come
        self._last_answer = math.inf  # by when all has to be answered, once the process ends
        self._decided = b""  # the stamp of the decision that is carried out
        self._rejected_full = 0  # requests rejected since too many were open
        self._next_id = config.seed % 2**32
        self._starts = StartTimes()
        self._balancer = Balancer(clock.now(), config.settings, config.seed)
        self._upstreams: Upstreams
        self._registry: Registry
        self._gossip: Gossip

    def connect(self, upstreams: Upstreams, registry: Registry, gossip: Gossip) -> None:
        """Hand in what carries the actions out."""
        self._upstreams, self._registry, self._gossip = upstreams, registry, gossip

    @property
    def idle(self) -> bool:
        """Whether every request taken has its complete answer."""
        return self._open == 0 and self._flowing == 0

    @property
    def in_flight(self) -> int:
        """How many requests have no complete answer."""
        return self._open + self._flowing

    @property
    def refusals(self) -> str:
        """How many requests got an answer that no server gave, by reason, since the start."""
        counts = {**self._balancer.refusals, model.RefusalReason.TOO_MANY_OPEN: self._rejected_full}
        return " ".join(f"{why}={count}" for why, count in counts.items())

    @property
    def request_classes(self) -> set[int]:
        """The slots of the classes that open requests name."""
        return {request.call.request_class for request in self._requests.values()}

    # --- events -----------------------------------------------------------

    def reload(self, config: Config, unchanged: frozenset[int]) -> None:
        """Use other settings for the requests that come from now on; `unchanged` are the slots of classes
        that are the same as before."""
        self._settings, self._max_open = config.settings, config.max_open
        self._ask(None, events.SettingsReloaded(config.settings, unchanged))

    def steer(self, steer: model.Steer) -> None:
        """Use another steering plan and other overrides from now on."""
        self._ask(None, events.SteeringChanged(steer))

    def arrive(self, call: Call, now: float) -> Request | None:
        """Take a request; its `call` gets one final answer.

        Its time runs from its last byte, which was read at `now`, or of which `body_read` tells. Return what
        the driver keeps of it, or None where it was rejected since too many requests are open."""
        if self._open >= self._max_open:
            self._rejected_full += 1
            call.refused(0.0)
            return None
        reading = call.reading
        give_up_at = self._give_up_at(call, now)
        until = math.inf if reading else give_up_at
        request = Request(self._new_id(), call, until, self._settings.max_attempts, now)
        self._requests[request.id] = request
        self._open += 1
        if not reading:
            self._guard(request)
        arrival = events.RequestArrived(
            request.id,
            call.request_class,
            give_up_at,
            call.tenant,
            call.key,
            call.work,
            call.client_retry,
            call.mutates,
            reading,
        )
        self._ask(request, arrival)
        return request

    def _give_up_at(self, call: Call, now: float) -> float:
        return min(now + call.budget - DEADLINE_MARGIN_MS, self._last_answer)

    def _guard(self, request: Request) -> None:
        """Guard against a balancer that forgets a request: a safety net, not a decision."""
        at = self._clock.to_loop(request.give_up_at + GUARD_MS)
        request.guard = self._loop.call_at(at, self._overdue, request)

    def body_gone(self, request: Request) -> None:
        """More of its body has flowed on than is buffered: it can't be sent again."""
        self._ask(request, events.BodyDiscarded(request.id))

    def body_read(self, request: Request, now: float) -> None:
        """The last byte of a large request was read at `now`."""
        if not request.ended:
            request.read_at = now
            request.give_up_at = self._give_up_at(request.call, now)
            self._guard(request)
            for attempt in request.attempts:
                # An attempt that is not written has no other end: its connection may be yet to come up.
                if attempt.out and attempt.begun_at is None:
                    self._expire_at(attempt, request.give_up_at)
            if now >= request.give_up_at and self._end(request):  # so late only while the process ends
                request.call.failed(late=True)
                self._ask(request, events.ClientLeft(request.id))

    def stopping(self, until: float) -> None:
        """The process ends: answer all that is taken from now on by then."""
        self._last_answer = until

    def client_gone(self, request: Request) -> None:
        """The client closed its connection before the answer was whole."""
        flowing = any(attempt.out and attempt.begun_at is not None for attempt in request.attempts)
        if self._end(request) or flowing:
            self._ask(request, events.ClientLeft(request.id))
        if request.call.reading or flowing:
            # No server can answer half a request, and nobody reads the rest of an answer.
            for hop in range(len(request.attempts)):
                self._cancel(request.id, hop)

    def discovery_failed(self) -> None:
        """A call to discovery failed, was rejected, or its watch ended."""
        self._ask(None, events.DiscoveryFailed())

    def endpoints_listed(self, form: model.ListForm, update: ServerList) -> None:
        """Take in an endpoint list."""
        now = self._clock.now()
        update = self._starts.bounded(now, self._clock.from_loop(update.fresh_at), update)
        self._upstreams.update(now, update, complete=form is not model.ListForm.CHANGES)
        self._ask(None, events.EndpointsListed(form, update.entries))

    def peer_message(self, peer: int, data: bytes) -> None:
        """Take a message of another sidecar."""
        self._ask(None, events.PeerMessageReceived(peer, data))

    def _new_id(self) -> int:
        while self._next_id in self._requests:
            self._next_id = (self._next_id + 1) % 2**32
        number = self._next_id
        self._next_id = (number + 1) % 2**32
        return number

    def _overdue(self, request: Request) -> None:
        if self._end(request):
            log(f"request {request.id}: no answer at its deadline; report it")
            request.call.failed(late=True)
            self._ask(request, events.ClientLeft(request.id))

    def attempt_due(self, attempt: Attempt) -> bool:
        """Return whether an attempt whose bytes are due is still wanted.

        A connection that came up late, or a body that came slowly, may find that nobody wants it any more or
        that its time is over, though the timer for that is yet to run."""
        request, timeout = attempt.request, attempt.timeout
        if attempt.begun_at is not None:
            return True  # its answer has begun already
        over = timeout is not None and timeout.when() <= self._loop.time()
        now = self._clock.now()
        over = over or now >= min(attempt.write_by, request.give_up_at)
        if attempt.out and not request.ended and not over:
            late = now - request.read_at >= LOOK_AFTER_MS and not request.call.reading
            if not (late and request.call.client_left()):
                return True
        self._never_sent(attempt)
        return False

    def attempt_written(self, attempt: Attempt) -> None:
        """All of a large request is written: from here its server's time runs."""
        if attempt.out and attempt.filling and attempt.begun_at is None:
            self._expire_at(attempt, min(self._clock.now() + attempt.wait, attempt.request.give_up_at))
            attempt.filling = False

    def attempt_begun(self, attempt: Attempt, answer: Answer, flow: Flow) -> Callable[[bytes], None]:
        """Begin to pass a large answer on as it comes: nothing here ends it any more."""
        request = attempt.request
        if not self._end(request, attempt):
            # Another answer was first: nobody reads this one.
            self._loop.call_soon(self._cancel, request.id, attempt.hop)
            return _discard
        attempt.begun_at = self._clock.now()
        self._flowing += 1
        if attempt.timeout is not None:
            attempt.timeout.cancel()
        request.call.begun(answer, flow)
        self._ask(request, events.AnswerStarted(request.id, attempt.hop))
        return request.call.more

    def attempt_unsent(self, attempt: Attempt) -> None:
        """An attempt was abandoned before it was sent, since the revision or its server changed: it does not
        count against those that its request may have."""
        if attempt.out:
            attempt.request.max_attempts += 1
            self._ask(None, events.AttemptWithdrawn(attempt.request.id, attempt.hop))

    def attempt_ended(self, attempt: Attempt, result: Result) -> None:
        """Take the one outcome of an attempt; the first OK answers its request."""
        if not attempt.out:
            return
        request = attempt.request
        now = self._clock.now()
        # What is timed is the answer's beginning, from the request's last byte.
        spent = max(0.0, (attempt.begun_at or now) - max(attempt.sent, request.read_at))
        attempt.out = False
        for timer in (attempt.timeout, attempt.window):
            if timer is not None:
                timer.cancel()
        attempt.exchange = None
        request.out -= 1
        if attempt.begun_at is not None:
            self._flowing -= 1
            if result.outcome == Outcome.OK:
                request.call.finished()
            else:
                request.call.broken()
        elif result.outcome == Outcome.OK and result.answer is not None and self._end(request):
            request.call.served(result.answer)
        ended = events.AttemptEnded(
            request.id, attempt.hop, result.outcome, spent, request.ended, result.report
        )
        self._ask(request, ended)
        self._forget(request)

    def _expire_at(self, attempt: Attempt, until: float) -> None:
        at, timeout = self._clock.to_loop(until), attempt.timeout
        if timeout is not None:
            timeout.cancel()
            at = at if attempt.filling else min(at, timeout.when())
        attempt.timeout = self._loop.call_at(at, self._expire, attempt)

    def _expire(self, attempt: Attempt) -> None:
        exchange, outcome = attempt.exchange, Outcome.TIMEOUT
        if exchange is not None:
            exchange.abandon()
            outcome = Outcome.ABANDONED if exchange.failed_here else outcome
        attempt.ended(Result(outcome))

    def _timer(self, token: model.TimerToken) -> None:
        self._ask(None, events.TimerDue(token))

    def _probed(self, server: str, sent: float, result: Result) -> None:
        spent = self._clock.now() - sent
        self._ask(None, events.HealthCheckEnded(server, result.outcome, spent, result.report))

    # --- actions ------------------------------------------------------------

    def _ask(self, request: Request | None, event: events.Event) -> None:
        """Give the balancer an event and carry out what it decides.

        Guards against a fault in it: that fails the request at hand, never the process."""
        decided = b"" if self.revision_stamp is None else self.revision_stamp()
        try:
            for action in self._balancer.step(self._clock.now(), event):
                self._decided = decided  # a send may have taken up another revision meanwhile
                self._act(action)
        except Exception:  # noqa: BLE001 - whatever it raises, the other requests go on
            log(traceback.format_exc())
            if request is not None and self._end(request):
                request.call.failed(late=False)
                self._ask(None, events.ClientLeft(request.id))
        if request is not None:
            self._forget(request)

    def _act(self, action: model.Action) -> None:
        match action:
            case model.Send():
                self._send(action)
            case model.Timer():
                self._arm(action)
            case model.Refuse(number, retry_after):
                request = self._requests.get(number)
                if request is not None and self._end(request):
                    request.call.refused(retry_after)
                    self._forget_soon(request)
            case model.Fail(number):
                request = self._requests.get(number)
                if request is not None and self._end(request):
                    request.call.failed(late=self._clock.now() >= request.give_up_at)
                    self._forget_soon(request)
            case model.Cancel(number, hop):
                self._cancel(number, hop)
            case model.CloseIdle(server):
                self._upstreams.close_idle(server)
            case _:
                self._act_rarely(action)

    def _act_rarely(self, action: model.Action) -> None:
        match action:
            case model.Watch(on):
                self._registry.watch(on=on)
            case model.Fetch():
                self._registry.fetch()
            case model.Probe(server):
                self._probe(server)
            case model.Tell(peer, data):
                self._gossip.tell(peer, data)
            case model.Log(text):
                log(text)

    def _arm(self, action: model.Timer) -> None:
        timer = self._loop.call_later(max(0.0, action.delay) / 1000.0, self._timer, action.token)
        if action.request is not None and (request := self._requests.get(action.request)) is not None:
            request.timers.append(timer)

    def _send(self, action: model.Send) -> None:
        """Begin an attempt, unless its request or its time is over by now."""
        request = self._requests.get(action.request)
        if request is None:
            log(f"a send for request {action.request}, which is not held; report it")
            return
        now = self._clock.now()
        left = request.call.budget if request.call.reading else request.give_up_at - now
        wait = min(action.timeout, left) if action.timeout > 0.0 else left
        write_by = action.write_by - KEY_MARGIN_MS
        attempt = Attempt(self, request, len(request.attempts), now, wait, self._decided, write_by)
        request.attempts.append(attempt)
        request.out += 1
        gone = request.call.body is not None and request.call.body.gone
        over = request.ended or left <= 0.0 or action.timeout < 0.0 or gone or now >= write_by
        if over or attempt.hop >= request.max_attempts:
            self._loop.call_soon(self.attempt_ended, attempt, Result(Outcome.ABANDONED))
            return
        expires = now + wait
        attempt.filling = request.call.reading
        if not attempt.filling:
            self._expire_at(attempt, expires)
        if write_by < math.inf:
            attempt.window = self._loop.call_at(self._clock.to_loop(write_by), self._drop, attempt)
        attempt.exchange = self._upstreams.send(action.server, request.call, expires, attempt)

    def _cancel(self, number: int, hop: int) -> None:
        request = self._requests.get(number)
        if request is None or not 0 <= hop < len(request.attempts):
            return
        attempt = request.attempts[hop]
        if attempt.exchange is not None:
            attempt.exchange.abandon()
            attempt.exchange = None
            # Later: the balancer hears of nothing while it is being asked.
            self._loop.call_soon(self.attempt_ended, attempt, Result(Outcome.CANCELLED))

    def _drop(self, attempt: Attempt) -> None:
        """Drop an attempt that nobody wants any more, or whose key's window is over.

        What no server has can be dropped whatever the settings say of cancelling: no work is stopped."""
        exchange = attempt.exchange if attempt.begun_at is None else None
        if exchange is not None and exchange.drop():
            self._never_sent(attempt)

    def _never_sent(self, attempt: Attempt) -> None:
        attempt.exchange = None
        self._loop.call_soon(self.attempt_ended, attempt, Result(Outcome.ABANDONED))

    def _probe(self, server: str) -> None:
        sent = self._clock.now()

        def done(result: Result) -> None:
            limit.cancel()
            self._probed(server, sent, result)

        def expire() -> None:
            exchange.abandon()
            self._probed(server, sent, Result(Outcome.TIMEOUT))

        exchange = self._upstreams.probe(server, done)
        limit = self._loop.call_later(PROBE_TIMEOUT_MS / 1000.0, expire)

    def _end(self, request: Request, by: Attempt | None = None) -> bool:
        """Mark a request as answered, `by` an attempt or without; return whether it was not before."""
        if request.ended:
            return False
        request.ended = True
        for attempt in request.attempts:
            if attempt is not by:
                self._drop(attempt)
        self._open -= 1
        if request.guard is not None:
            request.guard.cancel()
        return True

    def _forget_soon(self, request: Request) -> None:
        """Forget a request that a timer or another request's end may have answered. Later: an action for it
        may follow."""
        self._loop.call_soon(self._forget, request)

    def _forget(self, request: Request) -> None:
        """Forget a request that has its answer and no attempt out."""
        if request.ended and request.out == 0 and self._requests.pop(request.id, None) is not None:
            # Each would wake the process for nothing, half a second after most requests are over.
            for timer in request.timers:
                timer.cancel()
            # Each names its request: a circle that only the garbage collector would free.
            for attempt in request.attempts:
                attempt.request = FORGOTTEN


def _discard(data: bytes) -> None:
    """Take a part of an answer that nobody reads."""
