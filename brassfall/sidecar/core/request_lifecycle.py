"""Requests: each arrives, has attempts, gets one final answer and is released.

Times are in milliseconds of the sidecar's clock.
"""

from __future__ import annotations

import asyncio
import math

from brassfall.balancer import events
from brassfall.balancer.model import Outcome
from brassfall.sidecar import log
from brassfall.sidecar.core.attempt_runner import AttemptRunner
from brassfall.sidecar.core.attempts import Attempt, Request, RequestState
from brassfall.sidecar.core.balancer_timers import BalancerTimers
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.event_sink import EventSink
from brassfall.sidecar.core.interfaces import Answer, Call, ExchangeResult, FlowControl
from brassfall.sidecar.core.request_table import RequestTable

# Covers the transit of the answer and the lag of the loop: the client counts its budget from its send.
DEADLINE_MARGIN_MS = 8.0
# The balancer answers at the deadline; a request without an answer so long after it is failed.
DEADLINE_GUARD_MS = 25.0

OK = Outcome.OK  # a look-up on the enumeration costs more than a comparison


class RequestLifecycle:
    """Accepts requests, gives each its final answer and reports to the balancer what happens to it."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        events_to: EventSink,
        timers: BalancerTimers,
        first_number: int,
    ) -> None:
        self.table = RequestTable(first_number, timers.cancel)
        self.attempts = AttemptRunner(loop, clock, self)
        self._loop = loop
        self._clock = clock
        self._events = events_to
        self._answer_by = math.inf  # set while the process shuts down

    # --- what clients do -------------------------------------------------------------

    def accept(self, call: Call, now: float, max_attempts: int) -> Request:
        """Accept a request whose last byte, or head if its body is still being read, was read at `now`."""
        reading = call.reading
        give_up_at = self._give_up_at(call, now)
        request = self.table.add(call, now, give_up_at, max_attempts)
        if not reading:
            self._guard_deadline(request)
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
        self._events.notify(arrival, request)
        return request

    def body_discarded(self, request: Request) -> None:
        """Take note that more of a body has been forwarded than is buffered: it can't be sent again."""
        self._events.notify(events.BodyDiscarded(request.id), request)

    def body_read(self, request: Request, now: float) -> None:
        """Take note that the last byte of a large request was read at `now`."""
        if request.answered:
            return
        request.read_at = now
        request.give_up_at = self._give_up_at(request.call, now)
        self._guard_deadline(request)
        self.attempts.limit_uploads(request)
        if now >= request.give_up_at:  # so late only during a shutdown
            self.fail(request, late=True)

    def client_disconnected(self, request: Request) -> None:
        """Take note that the client closed its connection before it had the complete answer."""
        streaming = request.state is RequestState.STREAMING_ANSWER
        if not request.answered:
            self._end(request)
            self._events.notify(events.ClientLeft(request.id), request)
        elif streaming:
            self._events.notify(events.ClientLeft(request.id), request)
        if streaming or request.call.reading:
            # Also without `MayCancel`: no server can answer an incomplete request, and the rest of an answer
            # has no reader.
            for attempt in request.attempts:
                self.attempts.cancel(attempt)

    def answer_all_by(self, until: float) -> None:
        """Answer all requests that arrive from now on by `until` at the latest."""
        self._answer_by = until

    # --- what the balancer decides -----------------------------------------------------

    def refuse(self, number: int, retry_after: float) -> None:
        """Reject a request; without effect if it is answered or released."""
        request = self.table.by_number.get(number)
        if request is not None and not request.answered:
            self._end(request)
            request.call.send_rejection(retry_after)
            self._release_soon(request)

    def fail_by_number(self, number: int) -> None:
        """Fail a request; without effect if it is answered or released."""
        request = self.table.by_number.get(number)
        if request is not None and not request.answered:
            self._end(request)
            request.call.send_failure(late=self._clock.now() >= request.give_up_at)
            self._release_soon(request)

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Stop one attempt; without effect if it is over."""
        request = self.table.by_number.get(number)
        if request is not None and 0 <= attempt < len(request.attempts):
            self.attempts.cancel(request.attempts[attempt])

    # --- what the balancer didn't decide -----------------------------------------------

    def fail(self, request: Request, *, late: bool) -> None:
        """Fail a request in the balancer's place; without effect if it is answered."""
        if not request.answered:
            self._end(request)
            request.call.send_failure(late=late)
            self._events.notify(events.ClientLeft(request.id), request)

    def fail_overdue(self, request: Request) -> None:
        """Fail a request that the balancer left without an answer past its deadline."""
        if not request.answered:
            log.error("no decision by the deadline, request failed", request=request.id, action="report it")
            self.fail(request, late=True)

    # --- what attempts bring (`AttemptObserver`) -------------------------------------------

    def answer_begun(self, attempt: Attempt, answer: Answer, flow: FlowControl) -> bool:
        """Give the client the beginning of a large answer; return False if it has another answer."""
        request = attempt.request
        if request.answered:
            return False
        self.table.start_answer(request)
        self.attempts.stream(attempt)
        self._stop_waiting(request)
        request.call.start_answer(answer, flow)
        self._events.notify(events.AnswerStarted(request.id, attempt.number), request)
        return True

    def attempt_withdrawn(self, attempt: Attempt) -> None:
        """Report an attempt that was abandoned before it was sent; its end follows."""
        self._events.notify(events.AttemptWithdrawn(attempt.request.id, attempt.number))

    def attempt_ended(self, attempt: Attempt, result: ExchangeResult, elapsed: float) -> None:
        """Report an attempt's outcome; the first that is OK answers the request."""
        request = attempt.request
        if attempt.answer_began_at is not None:
            self.table.end(request)
            if result.outcome == OK:
                request.call.finish_answer()
            else:
                request.call.abort_answer()
        elif result.outcome == OK and result.answer is not None and not request.answered:
            self._end(request)
            request.call.send_answer(result.answer)
        ended = events.AttemptEnded(
            request.id, attempt.number, result.outcome, elapsed, request.answered, result.report
        )
        self._events.notify(ended, request)

    # --- the end ----------------------------------------------------------------------------

    def _end(self, request: Request) -> None:
        """Owe no more answer: nothing that is not yet written to a server is written."""
        self.table.end(request)
        self._stop_waiting(request)

    def _stop_waiting(self, request: Request) -> None:
        for attempt in request.attempts:
            self.attempts.drop_unwritten(attempt)
        if request.deadline_guard is not None:
            request.deadline_guard.cancel()

    def _release_soon(self, request: Request) -> None:
        """Release a request in the next turn: further actions for it may follow in this one."""
        self._loop.call_soon(self.table.release_if_over, request)

    def _give_up_at(self, call: Call, now: float) -> float:
        return min(now + call.budget - DEADLINE_MARGIN_MS, self._answer_by)

    def _guard_deadline(self, request: Request) -> None:
        """Fail the request after its deadline if the balancer forgets it: a safety net, not a decision."""
        at = self._clock.to_loop_time_s(request.give_up_at + DEADLINE_GUARD_MS)
        request.deadline_guard = self._loop.call_at(at, self.fail_overdue, request)
