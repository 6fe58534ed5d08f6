"""Attempts: each is started, limited in time, perhaps cancelled or dropped, and has one outcome.

Times are in milliseconds of the sidecar's clock.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from brassfall.balancer import model
from brassfall.balancer.model import Outcome
from brassfall.sidecar.core.attempts import IN_EXCHANGE, UNANSWERED, Attempt, AttemptState, Request
from brassfall.sidecar.core.clock import MAX_PROCESS_PAUSE_MS, Clock
from brassfall.sidecar.core.interfaces import Answer, ExchangeResult, FlowControl, Upstreams

# A retry under an idempotency key has to have reached its server within the key's window, also where this
# process is held up. Its transit is covered by the 50 ms that the protocol adds to each limit.
KEY_MARGIN_MS = MAX_PROCESS_PAUSE_MS
# From this age of a request on, its client's socket is checked before a write: the process may have been
# held up meanwhile, with the end of the client's connection not read yet.
CHECK_CLIENT_AFTER_MS = 10.0

# The members as names of this module: a look-up on the enumeration costs more than a comparison.
_, UPLOADING, AWAITING_ANSWER, STREAMING_ANSWER, STOPPED, ENDED = AttemptState


class AttemptObserver(Protocol):
    """The part of the driver that acts on what attempts bring."""

    def answer_begun(self, attempt: Attempt, answer: Answer, flow: FlowControl) -> bool:
        """Take the beginning of a large answer; return False if the request was answered before."""

    def attempt_withdrawn(self, attempt: Attempt) -> None:
        """Take note that the pool abandoned an attempt before it was sent."""

    def attempt_ended(self, attempt: Attempt, result: ExchangeResult, elapsed: float) -> None:
        """Take the one outcome of an attempt; `elapsed` runs from the request's last byte to the answer."""


class AttemptRunner:
    """Starts attempts on the servers' connections and follows each until its outcome."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, observer: AttemptObserver) -> None:
        self._loop = loop
        self._clock = clock
        self._observer = observer
        self._upstreams: Upstreams

    def connect(self, upstreams: Upstreams) -> None:
        """Send attempts through these connections from now on."""
        self._upstreams = upstreams

    # --- what the balancer decides ------------------------------------------------

    def start(self, request: Request, send: model.Send, revision_header: bytes) -> None:
        """Start an attempt, decided under the revision of `revision_header`.

        It ends as abandoned, in a later turn, if the request is answered or out of time or attempts.
        """
        now = self._clock.now()
        uploading = request.call.reading
        left = request.call.budget if uploading else request.give_up_at - now
        number = len(request.attempts)
        time_limit = min(send.timeout, left) if send.timeout > 0.0 else left
        write_by = send.write_by - KEY_MARGIN_MS
        attempt = Attempt(self, request, number, now, time_limit, revision_header, write_by)
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if not self._may_start(attempt, send, left, now):
            self._stop(attempt, Outcome.ABANDONED)
            return
        expires = now + time_limit
        if uploading:
            attempt.enter(UPLOADING)
        else:
            attempt.enter(AWAITING_ANSWER)
            self._limit(attempt, expires)
        if write_by < math.inf:
            attempt.window = self._loop.call_at(
                self._clock.to_loop_time_s(write_by), self.drop_unwritten, attempt
            )
        attempt.exchange = self._upstreams.send(send.server, request.call, expires, attempt)

    @staticmethod
    def _may_start(attempt: Attempt, send: model.Send, left: float, now: float) -> bool:
        request = attempt.request
        body = request.call.body
        return not (
            request.answered
            or left <= 0.0
            or send.timeout < 0.0
            or (body is not None and body.beginning_discarded)
            or now >= attempt.write_by
            or attempt.number >= request.max_attempts
        )

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt at any point before its outcome: its connection is closed."""
        if attempt.state in IN_EXCHANGE and attempt.exchange is not None:
            attempt.exchange.abandon()
            # Later: the balancer takes no event while it handles one.
            self._stop(attempt, Outcome.CANCELLED)

    def drop_unwritten(self, attempt: Attempt) -> None:
        """Stop an attempt unless its request has been written completely.

        This needs no `MayCancel` in the settings: no server has begun to work on the request.
        """
        if (
            attempt.state in UNANSWERED
            and attempt.exchange is not None
            and attempt.exchange.abandon_unless_written()
        ):
            self._stop(attempt, Outcome.ABANDONED)

    def limit_uploads(self, request: Request) -> None:
        """Bound the attempts of a request whose body is complete by the time that its client has left.

        One that is not written has no other limit: its connection may still be coming up.
        """
        for attempt in request.attempts:
            if attempt.state in UNANSWERED:
                self._limit(attempt, request.give_up_at)

    def expire(self, attempt: Attempt) -> None:
        """End an attempt whose time is over; as abandoned if this machine could not open its connection."""
        exchange, outcome = attempt.exchange, Outcome.TIMEOUT
        if exchange is not None:
            exchange.abandon()
            outcome = Outcome.ABANDONED if exchange.failed_locally else outcome
        attempt.exchange_ended(ExchangeResult(outcome))

    # --- what its exchange tells (`AttemptOwner`) ------------------------------------

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt whose bytes are due is still wanted; stop it if not.

        A connection that came up late, or a body that came slowly, may find that the request is answered or
        its time over before the timer for that has run.
        """
        if attempt.state is STREAMING_ANSWER:
            return True
        if attempt.state in UNANSWERED:
            if self._wanted(attempt):
                return True
            self._stop(attempt, Outcome.ABANDONED)
        return False

    def _wanted(self, attempt: Attempt) -> bool:
        request, timeout, now = attempt.request, attempt.timeout, self._clock.now()
        if (
            request.answered
            or (timeout is not None and timeout.when() <= self._loop.time())
            or now >= attempt.write_by
            or now >= request.give_up_at
        ):
            return False
        check_client = now - request.read_at >= CHECK_CLIENT_AFTER_MS and not request.call.reading
        return not (check_client and request.call.client_left())

    def uploaded(self, attempt: Attempt) -> None:
        """Start the time limit of a large request's attempt, now that all is written."""
        limit = min(self._clock.now() + attempt.time_limit, attempt.request.give_up_at)
        self._limit(attempt, limit)
        attempt.enter(AWAITING_ANSWER)

    def answer_begun(self, attempt: Attempt, answer: Answer, flow: FlowControl) -> Callable[[bytes], None]:
        """Begin to pass a large answer on; the attempt has no time limit from here on."""
        request = attempt.request
        if self._observer.answer_begun(attempt, answer, flow):
            return request.call.continue_answer
        # Later: its connection is in the middle of a read.
        self._loop.call_soon(self.cancel, attempt)
        return _discard

    def stream(self, attempt: Attempt) -> None:
        """Take note that an attempt gives its request the final answer, which is passed on."""
        attempt.enter(STREAMING_ANSWER)
        attempt.answer_began_at = self._clock.now()
        if attempt.timeout is not None:
            attempt.timeout.cancel()

    def withdrawn(self, attempt: Attempt) -> None:
        """Give the request another attempt for one that the pool abandoned before it was sent.

        The pool does so where the revision or the server changed since the decision.
        """
        attempt.request.max_attempts += 1
        self._observer.attempt_withdrawn(attempt)

    def ended(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Take the outcome of an attempt; without effect if it has one."""
        if attempt.state is ENDED:
            return
        request = attempt.request
        answered_at = attempt.answer_began_at or self._clock.now()
        attempt.enter(ENDED)
        for timer in (attempt.timeout, attempt.window):
            if timer is not None:
                timer.cancel()
        attempt.exchange = None
        request.attempts_in_flight -= 1
        elapsed = max(0.0, answered_at - max(attempt.started_at, request.read_at))
        self._observer.attempt_ended(attempt, result, elapsed)

    def _stop(self, attempt: Attempt, outcome: Outcome) -> None:
        attempt.exchange = None
        attempt.enter(STOPPED)
        self._loop.call_soon(self.ended, attempt, ExchangeResult(outcome))

    def _limit(self, attempt: Attempt, until: float) -> None:
        """Set the time limit of an attempt; never later than one that is running."""
        at, timeout = self._clock.to_loop_time_s(until), attempt.timeout
        if timeout is not None:
            timeout.cancel()
            if attempt.state is not UPLOADING:
                at = min(at, timeout.when())
        attempt.timeout = self._loop.call_at(at, self.expire, attempt)


def _discard(data: bytes) -> None:
    """Take a part of an answer that is not passed on."""
