"""How strongly outcomes and load reports signal an overload of the service."""

from __future__ import annotations

import math
from collections.abc import Mapping

from brassfall.balancer.load_shedding import SHED_FADE_MS, SHED_GAIN
from brassfall.balancer.model import REJECTED, OK, TIMEOUT, Outcome
from brassfall.balancer.rates import RATE_MS, SendRate
from brassfall.balancer.records import Server
from brassfall.balancer.settings import ReportMode, Settings

MAX_LATE_SIGNAL = 1.0  # signal of an attempt that reaches its objective without an answer, at most
SHARE_GAIN = 8.0  # times the share of attempts past their objective, or rejected without a load report

# Where answers report requests in flight, the signal rises from 0 to 1 over this span.
OVERLOAD_IN_FLIGHT = 3.0
OVERLOAD_IN_FLIGHT_SPAN = 3.0
# An overload makes all answers slow; lost answers and hung servers do not. As the mean of the answers' times
# rises over this span of the objective, silence becomes a signal of overload.
SLOW_SHARE = 0.3
SLOW_SHARE_SPAN = 0.3
SLOWNESS_MEMORY = 0.9  # weight of the past in that mean
BUSY_IN_FLIGHT = 2.0  # requests in flight on fully used cores, where only waiting ones are reported
REPORT_FADE_MS = 300.0  # a load report fades to its server's mean, since others send there meanwhile
REPORT_GAIN = 0.2  # weight of the newest report in that mean


class OverloadEstimator:
    """The newest load reports and times of answers, and the overload signals made from them."""

    __slots__ = ("_in_flight_reported", "_mean_reported_load", "_rate", "reports", "slowness")

    def __init__(self, settings: Settings, rate: SendRate) -> None:
        """Begin without load reports; `rate` is that of the same balancer."""
        self._rate = rate
        known = {"inflight", "queue"} & set(settings.report_fields)
        self.reports = settings.report_how == ReportMode.INLINE and bool(known)  # True if answers report load
        self._mean_reported_load = 0.0  # of the newest load reports
        self.slowness = SLOW_SHARE  # mean share of the objective that answers take
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply other settings; whether answers report load at all is fixed at the start."""
        self._in_flight_reported = "inflight" in settings.report_fields

    @property
    def quick(self) -> bool:
        """True if answers are so quick that silence is no sign of overload."""
        return self.slowness < SLOW_SHARE

    def observe_answer(self, elapsed_ms: float, objective: float) -> None:
        """Count the time that an answer took, against its objective, both in milliseconds."""
        taken = min(1.0, elapsed_ms / objective)
        self.slowness += (1.0 - SLOWNESS_MEMORY) * (taken - self.slowness)

    def observe_report(self, now: float, server: Server, report: Mapping[str, float]) -> None:
        """Take in a load report; values that are not finite are ignored."""
        waiting = report.get("queue", math.nan) + BUSY_IN_FLIGHT * report.get("util", 0.0)
        load = report.get("inflight", waiting)
        if math.isfinite(load):
            server.reported_load = max(0.0, load)
            self._mean_reported_load += REPORT_GAIN * (server.reported_load - self._mean_reported_load)
            server.mean_reported_load += REPORT_GAIN * (server.reported_load - server.mean_reported_load)
            server.reported_at = now

    def reported_load(self, now: float, server: Server) -> float:
        """Return the requests in flight at a server by its load reports, plus one."""
        mean = server.mean_reported_load
        fade = math.exp((server.reported_at - now) / REPORT_FADE_MS)
        return 1.0 + mean + (server.reported_load - mean) * fade

    def assumed_load(self, server: Server) -> float:
        """Return the load to assume for a server that has never reported: the mean of the others."""
        return self._mean_reported_load if server.reported_at == -math.inf else 0.0

    def signal(self, now: float, server: Server, outcome: Outcome) -> float:
        """Return how strongly an outcome signals overload, 0 to 1.

        Load reports count by their mean and not by their sum: a busy sidecar receives more of them.
        """
        if outcome is REJECTED and self.reports and server.reported_at != now:
            # Without a load report a rejection is a weak signal: the server may be draining or starting.
            return min(1.0, SHARE_GAIN * self._weight(now))
        if (outcome is OK or outcome is REJECTED) and self._in_flight_reported and server.reported_at == now:
            # A server that rejects requests while it has few in flight is at fault itself.
            overload = min(
                1.0, max(0.0, (server.reported_load - OVERLOAD_IN_FLIGHT) / OVERLOAD_IN_FLIGHT_SPAN)
            )
            return overload if outcome is REJECTED else overload * self._weight(now)
        if outcome is not TIMEOUT:
            return 1.0 if outcome is REJECTED else 0.0
        # Lost answers must shed no load. Where an overloaded service drops requests, this comes late.
        return MAX_LATE_SIGNAL * min(1.0, max(0.0, (self.slowness - SLOW_SHARE) / SLOW_SHARE_SPAN))

    def late_signal(self, now: float) -> float:
        """Return how strongly an attempt without an answer at its objective signals overload, 0 to 1."""
        return min(MAX_LATE_SIGNAL, SHARE_GAIN * self._weight(now))

    def _weight(self, now: float) -> float:
        """Return the weight of a signal with which the shed probability settles at the mean of all."""
        return min(1.0, 1.0 / (SHED_GAIN * SHED_FADE_MS * max(self._rate.per_ms(now), 1.0 / RATE_MS)))
