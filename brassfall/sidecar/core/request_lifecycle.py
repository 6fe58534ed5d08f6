"""The lifecycle of requests: arrival, attempts, one final answer and release.

Times are in milliseconds of the sidecar's clock.
"""

from __future__ import annotations

import asyncio
import math

from brassfall.balancer import events
from brassfall.balancer.model import Outcome
from brassfall.sidecar import log
from brassfall.sidecar.core.attempt_runner import AttemptRunner
from brassfall.sidecar.core.attempts import UNANSWERED, Attempt, Request, RequestState
from brassfall.sidecar.core.balancer_timers import BalancerTimers
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.event_sink import EventSink
from brassfall.sidecar.core.interfaces import Answer, Call, ExchangeResult, FlowControl
from brassfall.sidecar.core.request_table import RequestTable

# Margin, in milliseconds, by which a request's deadline is earlier than the end of its budget. The client
# counts its budget from when it sends the request; the margin covers the answer's transit and event loop lag.
DEADLINE_MARGIN_MS = 8.0
# Milliseconds after its deadline at which a request is failed that the balancer should have answered by then.
DEADLINE_GUARD_MS = 25.0

OK = Outcome.OK  # Module name of an enum member: a look-up on the enum class costs more than a comparison


class RequestLifecycle:
    """Accepts requests, gives each its final answer and reports the events of requests to the balancer."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Clock,
        event_sink: EventSink,
        timers: BalancerTimers,
        first_number: int,
    ) -> None:
        self.table = RequestTable(first_number, timers.cancel)
        self.attempts = AttemptRunner(loop, clock, self)
        self._loop = loop
        self._clock = clock
        self._event_sink = event_sink
        self._answer_by = math.inf  # Latest deadline of new requests; finite once the process shuts down

    # --- events of clients -----------------------------------------------------------

    def accept(self, call: Call, now: float, max_attempts: int) -> Request:
        """Accept a request and report it to the balancer.

        `now` is when the last byte of the request was read, or its head if the body is still being read.
        """
        reading = call.reading
        give_up_at = self._give_up_at(call, now)
        request = self.table.add(call, now, give_up_at, max_attempts)
        if reading:
            self._limit_reading(request, give_up_at)
        else:
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
        self._event_sink.notify(arrival, request)
        return request

    def body_discarded(self, request: Request) -> None:
        """Report that a request's body can't be sent again, since its beginning is discarded."""
        self._event_sink.notify(events.BodyDiscarded(request.id), request)

    def body_read(self, request: Request, now: float) -> None:
        """Handle that the last byte of a large request was read at `now`."""
        if request.answered:
            return
        request.read_at = now
        self._set_deadline(request, self._give_up_at(request.call, now - request.call.read_lag))
        if now >= request.give_up_at:  # The deadline can have passed during a shutdown or a pause in reading
            self.fail(request, late=True)

    def client_disconnected(self, request: Request) -> None:
        """Handle that the client closed its connection before it had the complete answer."""
        streaming = request.state is RequestState.STREAMING_ANSWER
        if not request.answered:
            self._end(request)
            self._event_sink.notify(events.ClientLeft(request.id), request)
        elif streaming:
            self._event_sink.notify(events.ClientLeft(request.id), request)
        if streaming or request.call.reading:
            # The attempts are cancelled even without `MayCancel`: no server can answer an incomplete request,
            # and no client reads the rest of a streamed answer.
            for attempt in request.attempts:
                self.attempts.cancel(attempt)

    def answer_all_by(self, until: float) -> None:
        """Limit the deadlines of the requests that arrive from now on to `until`."""
        self._answer_by = until

    # --- decisions of the balancer -----------------------------------------------------

    def refuse(self, number: int, retry_after: float) -> None:
        """Reject a request; do nothing if it is already answered or released."""
        request = self.table.by_number.get(number)
        if request is not None and not request.answered:
            self._end(request)
            request.call.send_rejection(retry_after)
            self._release_soon(request)

    def fail_by_number(self, number: int) -> None:
        """Fail a request; do nothing if it is already answered or released."""
        request = self.table.by_number.get(number)
        if request is not None and not request.answered:
            self._end(request)
            request.call.send_failure(late=self._clock.now() >= request.give_up_at)
            self._release_soon(request)

    def cancel_attempt(self, number: int, attempt: int) -> None:
        """Cancel one attempt of a request; do nothing if the attempt has ended."""
        request = self.table.by_number.get(number)
        if request is not None and 0 <= attempt < len(request.attempts):
            self.attempts.cancel(request.attempts[attempt])

    # --- failures without a decision of the balancer -----------------------------------

    def fail(self, request: Request, *, late: bool) -> None:
        """Fail a request without a decision of the balancer; do nothing if it is already answered."""
        if not request.answered:
            self._end(request)
            request.call.send_failure(late=late)
            self._event_sink.notify(events.ClientLeft(request.id), request)

    def fail_overdue(self, request: Request) -> None:
        """Fail a request that the balancer has not answered by its deadline."""
        if not request.answered:
            log.error(
                "balancer did not answer a request by its deadline, request failed",
                request=request.id,
                action="report it as a defect",
            )
            self.fail(request, late=True)

    # --- events of attempts (`AttemptObserver`) --------------------------------------------

    def answer_begun(self, attempt: Attempt, answer: Answer, flow: FlowControl) -> bool:
        """Start to stream a large answer to the client.

        Return False, without an effect, if the request is already answered.
        """
        request = attempt.request
        if request.answered:
            return False
        self.table.start_answer(request)
        self.attempts.stream(attempt)
        self._drop_unwritten_attempts(request)
        request.call.start_answer(answer, flow)
        self._event_sink.notify(events.AnswerStarted(request.id, attempt.number), request)
        return True

    def attempt_withdrawn(self, attempt: Attempt) -> None:
        """Report to the balancer that an attempt was abandoned unsent; `attempt_ended` follows."""
        self._event_sink.notify(events.AttemptWithdrawn(attempt.request.id, attempt.number))

    def attempt_ended(self, attempt: Attempt, result: ExchangeResult, elapsed: float) -> None:
        """Report an attempt's outcome to the balancer; the first `OK` outcome answers the request."""
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
        self._event_sink.notify(ended, request)

    # --- end and release of requests --------------------------------------------------------

    def _end(self, request: Request) -> None:
        """Record that a request needs no further answer, and drop its attempts that are not yet written."""
        self.table.end(request)
        self._drop_unwritten_attempts(request)

    def _drop_unwritten_attempts(self, request: Request) -> None:
        for attempt in request.attempts:
            self.attempts.drop_unwritten(attempt)
        if request.deadline_guard is not None:
            request.deadline_guard.cancel()

    def _release_soon(self, request: Request) -> None:
        """Release a request in the next turn of the event loop; more actions may follow in this one."""
        self._loop.call_soon(self.table.release_if_over, request)

    def _give_up_at(self, call: Call, now: float) -> float:
        return min(now + call.budget - DEADLINE_MARGIN_MS, self._answer_by)

    def _set_deadline(self, request: Request, give_up_at: float) -> None:
        """Set the deadline of a large request, whose attempts then end at the latest."""
        request.give_up_at = give_up_at
        self._guard_deadline(request)
        self.attempts.limit_uploads(request)

    def _limit_reading(self, request: Request, until: float) -> None:
        """Arm a timer that checks at `until` whether the body of a request is read in time."""
        at = self._clock.to_loop_time_s(until)
        request.deadline_guard = self._loop.call_at(at, self._check_reading, request)

    def _check_reading(self, request: Request) -> None:
        """End the attempts of a request whose client may have written all of it and waited for its budget.

        The body is read as fast as the server takes it. If a server takes nothing, the client's last byte
        waits in the socket buffers, where it can't be seen.
        """
        now, call = self._clock.now(), request.call
        give_up_at = self._give_up_at(call, now - call.read_lag)
        if now < give_up_at:
            self._limit_reading(request, give_up_at)
            return
        servers = [attempt.server for attempt in request.attempts if attempt.state in UNANSWERED]
        log.warning(
            "large request not read by its deadline, its attempts end",
            request=request.id,
            servers=",".join(servers),
            read_lag_ms=round(call.read_lag),
            action="look at these servers: they do not take the body in time",
        )
        self._set_deadline(request, now)

    def _guard_deadline(self, request: Request) -> None:
        """Arm a timer that fails the request if the balancer does not answer it by its deadline."""
        if request.deadline_guard is not None:
            request.deadline_guard.cancel()
        overdue_at = self._clock.to_loop_time_s(request.give_up_at + DEADLINE_GUARD_MS)
        request.deadline_guard = self._loop.call_at(overdue_at, self.fail_overdue, request)
