"""The runner of attempts: it starts them, limits their time, cancels them and reports their outcomes.

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

# Margin before the end of an idempotency key's window, in milliseconds. A retry must reach its server within
# the window even if this process pauses; the 50 ms that the protocol adds to each limit cover the transit.
KEY_MARGIN_MS = MAX_PROCESS_PAUSE_MS
# Age of a request, in milliseconds, from which on its client's socket is checked before the request is
# written to a server: if this process paused, the client may have disconnected without the event loop having
# read it.
CHECK_CLIENT_AFTER_MS = 10.0

# Enum members as module names: looking a member up on the enum class costs more than a comparison.
_, UPLOADING, AWAITING_ANSWER, STREAMING_ANSWER, STOPPED, ENDED = AttemptState


class AttemptObserver(Protocol):
    """The component of the driver that handles the answers and outcomes of attempts."""

    def answer_begun(self, attempt: Attempt, answer: Answer, flow: FlowControl) -> bool:
        """Handle the beginning of a large answer; return False if the request was answered before."""

    def attempt_withdrawn(self, attempt: Attempt) -> None:
        """Handle that the connection pool abandoned an attempt before its request was sent."""

    def attempt_ended(self, attempt: Attempt, result: ExchangeResult, elapsed: float) -> None:
        """Handle the result of an attempt, of which there is exactly one.

        `elapsed` is the time from the start of the attempt to the answer, in milliseconds. It starts at the
        request's last byte if that was read later.
        """


class AttemptRunner:
    """Starts attempts on connections to servers and tracks each one until its outcome."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Clock, observer: AttemptObserver) -> None:
        self._loop = loop
        self._clock = clock
        self._observer = observer
        self._upstreams: Upstreams

    def connect(self, upstreams: Upstreams) -> None:
        """Set the server connections that attempts are sent on; required before the first attempt."""
        self._upstreams = upstreams

    # --- decisions of the balancer ------------------------------------------------

    def start(self, request: Request, send: model.SendAttempt, revision_header: bytes) -> None:
        """Start an attempt of a request.

        `revision_header` is the header line of the configuration revision that the decision was based on. The
        attempt ends as abandoned, in a later turn of the event loop, if the request is already answered or
        has no time or attempts left.
        """
        now, call = self._clock.now(), request.call
        uploading = call.reading
        left = call.budget - call.read_lag if uploading else request.give_up_at - now
        time_limit = min(send.timeout, left) if send.timeout > 0.0 else left
        expires = now + time_limit
        if uploading:
            # The balancer counts from the request's arrival, but this limit from when the request is written.
            time_limit = min(time_limit + now - request.read_at, call.budget)
        number = len(request.attempts)
        write_by = send.write_by - KEY_MARGIN_MS
        attempt = Attempt(self, request, number, now, time_limit, revision_header, send.server, write_by)
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if not self._may_start(attempt, send, left, now):
            self._stop(attempt, Outcome.ABANDONED)
            return
        if uploading:
            attempt.enter(UPLOADING)
        else:
            attempt.enter(AWAITING_ANSWER)
            self._set_time_limit(attempt, expires)
        if write_by < math.inf:
            attempt.key_window_timer = self._loop.call_at(
                self._clock.to_loop_time_s(write_by), self.drop_unwritten, attempt
            )
        attempt.exchange = self._upstreams.send(send.server, request.call, expires, attempt)

    @staticmethod
    def _may_start(attempt: Attempt, send: model.SendAttempt, left: float, now: float) -> bool:
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
        """Cancel an attempt that has no outcome yet, and close its connection."""
        if attempt.state in IN_EXCHANGE and attempt.exchange is not None:
            attempt.exchange.abandon()
            # The outcome is reported in a later turn: the balancer accepts no event while it handles one.
            self._stop(attempt, Outcome.CANCELLED)

    def drop_unwritten(self, attempt: Attempt) -> None:
        """Stop an attempt unless its request has been written completely.

        The setting `MayCancel` does not matter here, since no server has begun to work on the request.
        """
        if (
            attempt.state in UNANSWERED
            and attempt.exchange is not None
            and attempt.exchange.abandon_unless_written()
        ):
            self._stop(attempt, Outcome.ABANDONED)

    def limit_uploads(self, request: Request) -> None:
        """End the attempts of a request at its deadline at the latest, once its body has arrived completely.

        An attempt whose request is not written completely has no other time limit, because its connection may
        still be opening.
        """
        for attempt in request.attempts:
            if attempt.state in UNANSWERED:
                self._set_time_limit(attempt, request.give_up_at)

    def expire(self, attempt: Attempt) -> None:
        """End an attempt whose time limit has passed.

        The outcome is `TIMEOUT`, or `ABANDONED` if this machine could not open a connection.
        """
        exchange, outcome = attempt.exchange, Outcome.TIMEOUT
        if exchange is not None:
            exchange.abandon()
            outcome = Outcome.ABANDONED if exchange.failed_locally else outcome
        attempt.exchange_ended(ExchangeResult(outcome))

    # --- events of the attempts' exchanges (`AttemptOwner`) ---------------------------

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt's request should still be sent; stop the attempt if not.

        This is checked just before each write. When a connection was slow to open or a body slow to arrive,
        the request may already be answered or out of time although the timer for that has not fired yet.
        """
        if attempt.state is STREAMING_ANSWER:
            return True
        if attempt.state in UNANSWERED:
            if self._still_needed(attempt):
                return True
            self._stop(attempt, Outcome.ABANDONED)
        return False

    def _still_needed(self, attempt: Attempt) -> bool:
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
        """Start the time limit of an attempt whose large request has just been written completely."""
        limit = min(self._clock.now() + attempt.time_limit, attempt.request.give_up_at)
        self._set_time_limit(attempt, limit)
        attempt.enter(AWAITING_ANSWER)

    def answer_begun(self, attempt: Attempt, answer: Answer, flow: FlowControl) -> Callable[[bytes], None]:
        """Start to stream a large answer to the client; the attempt has no time limit from now on.

        Return the function that takes the remaining parts of the answer's body.
        """
        request = attempt.request
        if self._observer.answer_begun(attempt, answer, flow):
            return request.call.continue_answer
        # The attempt is cancelled in a later turn, because its connection is now in the middle of a read.
        self._loop.call_soon(self.cancel, attempt)
        return _discard

    def stream(self, attempt: Attempt) -> None:
        """Record that an attempt's answer is the final one and is being streamed to the client."""
        attempt.enter(STREAMING_ANSWER)
        attempt.answer_began_at = self._clock.now()
        if attempt.timeout is not None:
            attempt.timeout.cancel()

    def withdrawn(self, attempt: Attempt) -> None:
        """Allow a request one more attempt in place of one that the connection pool abandoned unsent.

        The pool abandons an attempt if the configuration revision or the server has changed since the
        decision.
        """
        attempt.request.max_attempts += 1
        self._observer.attempt_withdrawn(attempt)

    def ended(self, attempt: Attempt, result: ExchangeResult) -> None:
        """Handle the result of an attempt; do nothing if the attempt has ended before."""
        if attempt.state is ENDED:
            return
        request = attempt.request
        answered_at = attempt.answer_began_at or self._clock.now()
        attempt.enter(ENDED)
        for timer in (attempt.timeout, attempt.key_window_timer):
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

    def _set_time_limit(self, attempt: Attempt, until: float) -> None:
        """Set the end of an attempt's time limit; a time limit that already runs is never extended."""
        at, timeout = self._clock.to_loop_time_s(until), attempt.timeout
        if timeout is not None:
            timeout.cancel()
            if attempt.state is not UPLOADING:
                at = min(at, timeout.when())
        attempt.timeout = self._loop.call_at(at, self.expire, attempt)


def _discard(data: bytes) -> None:
    """Ignore a part of an answer that is not streamed to the client."""
