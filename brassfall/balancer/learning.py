"""What outcomes teach: of one server, of the service, or nothing."""

from __future__ import annotations

from brassfall.balancer.components import Components
from brassfall.balancer.model import REJECTED, OK, TIMEOUT, Outcome
from brassfall.balancer.records import EVIDENCE, Attempt, Request

LATE_ACCEPT = 0.5  # an answer past its objective counts as half an accept: the service is falling behind
MIN_ELAPSED_MS = 1e-3  # an answer may begin before its request has ended; a pace divides by the time it took
# A timer that is later than this shows that the process itself stood still: a lagging loop is later by far
# less.
OWN_STALL_MS = 100.0


class OutcomeLearner:
    """Passes each outcome to the parts that learn from it."""

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
        """Use the parts of one balancer."""
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
        """Charge an outcome to the server's own health or to the service."""
        if outcome not in EVIDENCE:
            return
        server, objective = attempt.server, request.profile.objective
        self._ejector.count(outcome)
        if outcome is OK or outcome is REJECTED or outcome is TIMEOUT:
            self._shedder.observe(now, self._overload.signal(now, server, outcome))
            least_ms = MIN_ELAPSED_MS if outcome is OK else objective
            self._paces.learn(server.pace, server.kind_pace, max(elapsed_ms, least_ms), request.work)
        missed = float(outcome is not OK or elapsed_ms > objective)
        if self._steering.on:
            self._steering.learn(now, server.zone, missed)
        if self._zones.active:
            self._zones.learn(server.zone, request.request_class, missed)
        if outcome is OK:
            self._learn_answer(now, request, attempt, elapsed_ms)
        elif outcome is REJECTED:
            self._ejector.rejected(now, server)
            self._throttle.add(now, 0.0)
        else:
            self._learn_fault(now, attempt, outcome, elapsed_ms)

    def _learn_answer(self, now: float, request: Request, attempt: Attempt, elapsed_ms: float) -> None:
        objective = request.profile.objective
        self._overload.observe_answer(elapsed_ms, objective)
        if not request.work_known:
            self._paces.learn_class(request.request_class, elapsed_ms)
        self._ejector.answered(now, attempt.server)
        self._throttle.add(now, 1.0 if elapsed_ms <= objective else LATE_ACCEPT)

    def _learn_fault(self, now: float, attempt: Attempt, outcome: Outcome, elapsed_ms: float) -> None:
        """Blame the server, unless it is not at fault or was blamed already; the throttle counts it."""
        if self._connections.was_dropped(now, attempt, outcome, elapsed_ms):
            return
        silent = outcome is TIMEOUT
        if not silent or (not attempt.blamed and attempt.server.answered_at < attempt.sent_at):
            self._ejector.blame(now, attempt.server, silent=silent)
        self._throttle.add(now, 0.0)

    def observe_overdue(self, now: float, request: Request, attempt: Attempt) -> None:
        """Count an attempt that is in flight at its objective as a signal of overload.

        It counts then and not at its end: where an attempt may go on for long, a stalled service would be
        noticed only as clients give up.
        """
        if now - attempt.sent_at - request.profile.objective > OWN_STALL_MS:
            return
        self._shedder.observe(now, self._overload.late_signal(now))
        if self._overload.quick and attempt.server.answered_at < attempt.sent_at:
            attempt.blamed = True
            self._ejector.blame(now, attempt.server, silent=True)
