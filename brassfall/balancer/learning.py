"""Distribution of each outcome to the components that learn from it."""

from __future__ import annotations

from brassfall.balancer.components import Components
from brassfall.balancer.model import OK, REJECTED, TIMEOUT, Outcome
from brassfall.balancer.records import EVIDENCE, Attempt, Request

# Part of an accept that the throttle counts for an answer after its latency objective, which shows that the
# service cannot keep up.
LATE_ACCEPT = 0.5
# Smallest time of an answer in milliseconds. An answer may begin before its request has ended, and the pace
# of a server divides by the time of its answers.
MIN_ELAPSED_MS = 1e-3
# A timer that expires more than this many milliseconds late shows that this process was stalled; a lagging
# event loop delays timers by far less.
OWN_STALL_MS = 100.0


class OutcomeLearner:
    """Distributor of outcomes to the components that learn from them."""

    __slots__ = (
        "_connections",
        "_ejector",
        "_overload",
        "_paces",
        "_shedder",
        "_steering",
        "_throttle",
        "_zones",
    )

    def __init__(self, components: Components) -> None:
        """Create the distributor for the components of one balancer."""
        self._connections = components.connections
        self._ejector = components.ejector
        self._overload = components.overload
        self._paces = components.pace_tracker
        self._shedder = components.shedder
        self._steering = components.steering
        self._throttle = components.throttle
        self._zones = components.zone_spillover

    def learn(
        self, now: float, request: Request, attempt: Attempt, outcome: Outcome, elapsed_ms: float
    ) -> None:
        """Learn from an outcome about the server that the attempt was sent to and about the service."""
        if outcome not in EVIDENCE:
            return
        server, objective = attempt.server, request.profile.objective
        self._ejector.count_outcome(outcome)
        if outcome is OK or outcome is REJECTED or outcome is TIMEOUT:
            self._shedder.observe(now, self._overload.overload_signal(now, server, outcome))
            min_elapsed_ms = MIN_ELAPSED_MS if outcome is OK else objective
            self._paces.count_answer(
                server.pace, server.kind_pace, max(elapsed_ms, min_elapsed_ms), request.work
            )
        missed = float(outcome is not OK or elapsed_ms > objective)
        if self._steering.is_active:
            self._steering.count_outcome(now, server.zone, missed)
        if self._zones.active:
            self._zones.count_outcome(server.zone, request.request_class, missed)
        if outcome is OK:
            self._learn_answer(now, request, attempt, elapsed_ms)
        elif outcome is REJECTED:
            self._ejector.count_rejection(now, server)
            self._throttle.count_request(now, 0.0)
        else:
            self._learn_fault(now, attempt, outcome, elapsed_ms)

    def _learn_answer(self, now: float, request: Request, attempt: Attempt, elapsed_ms: float) -> None:
        objective = request.profile.objective
        self._overload.observe_answer(elapsed_ms, objective)
        if not request.work_known:
            self._paces.count_class_answer(request.request_class, elapsed_ms)
        self._ejector.count_answer(now, attempt.server)
        self._throttle.count_request(now, 1.0 if elapsed_ms <= objective else LATE_ACCEPT)

    def _learn_fault(self, now: float, attempt: Attempt, outcome: Outcome, elapsed_ms: float) -> None:
        """Count a fault for the throttle, and for the server unless it is not at fault or already blamed."""
        if self._connections.excuse_if_dropped(now, attempt, outcome, elapsed_ms):
            return
        silent = outcome is TIMEOUT
        if not silent or (not attempt.blamed and attempt.server.answered_at < attempt.sent_at):
            self._ejector.count_fault(now, attempt.server, silent=silent)
        self._throttle.count_request(now, 0.0)

    def observe_overdue(self, now: float, request: Request, attempt: Attempt) -> None:
        """Count an attempt that is still in flight at its latency objective as a signal of overload.

        Counting it only when it ends would be too late: where attempts may take long, a stalled service would
        be noticed only when clients give up.
        """
        if now - attempt.sent_at - request.profile.objective > OWN_STALL_MS:
            return
        self._shedder.observe(now, self._overload.overdue_signal(now))
        if self._overload.answers_are_quick and attempt.server.answered_at < attempt.sent_at:
            attempt.blamed = True
            self._ejector.count_fault(now, attempt.server, silent=True)
