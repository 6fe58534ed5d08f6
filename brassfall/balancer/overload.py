"""Estimate of how strongly outcomes and load reports signal an overload of the service."""

from __future__ import annotations

import math
from collections.abc import Mapping

from brassfall.balancer.load_shedding import SHED_FADE_MS, SHED_GAIN
from brassfall.balancer.model import OK, REJECTED, TIMEOUT, Outcome
from brassfall.balancer.rates import RATE_MS, SendRate
from brassfall.balancer.records import Server
from brassfall.balancer.settings import ReportMode, Settings

MAX_OVERDUE_SIGNAL = 1.0  # Largest signal of an attempt that reaches its latency objective without an answer
# Factor of the signal of an attempt that passes its latency objective or is rejected without a load report.
# The shed probability settles at this multiple of the share of such attempts.
SHARE_GAIN = 8.0

OVERLOAD_IN_FLIGHT = 3.0  # Reported requests in flight at which a load report starts to signal overload
# Increase of the reported requests in flight that raises the signal from 0 to 1.
OVERLOAD_IN_FLIGHT_SPAN = 3.0
# Mean time of answers, as a share of the latency objective, from which a missing answer signals overload. An
# overload makes all answers slow, whereas lost answers and hung servers do not.
SLOW_SHARE = 0.3
SLOW_SHARE_SPAN = 0.3  # Increase of the mean time of answers that raises the signal of a missing answer to 1
SLOWNESS_MEMORY = 0.9  # Weight of the past in the mean time of answers
# Requests in flight assumed on fully utilized cores, for servers that report only their waiting requests.
BUSY_IN_FLIGHT = 2.0
# Time constant in milliseconds with which the newest load report of a server decays to the mean of its
# reports, because other sidecars send requests to the server meanwhile.
REPORT_FADE_MS = 300.0
REPORT_GAIN = 0.2  # Weight of the newest load report in the mean of the reports


class OverloadEstimator:
    """Estimator of overload from load reports and the times of answers."""

    __slots__ = ("_in_flight_reported", "_mean_reported_load", "_rate", "has_load_reports", "slowness")

    def __init__(self, settings: Settings, rate: SendRate) -> None:
        """Create the estimator without load reports; `rate` is the send rate of the same balancer."""
        self._rate = rate
        usable_fields = {"inflight", "queue"} & set(settings.report_fields)
        # True if answers contain load reports with at least one usable field.
        self.has_load_reports = settings.report_how == ReportMode.INLINE and bool(usable_fields)
        self._mean_reported_load = 0.0  # Moving average of the load reports of all servers
        self.slowness = SLOW_SHARE  # Mean time of answers, as a share of their latency objective
        self.reload(settings)

    def reload(self, settings: Settings) -> None:
        """Apply new settings, except whether answers contain load reports, which is fixed at the start."""
        self._in_flight_reported = "inflight" in settings.report_fields

    @property
    def answers_are_quick(self) -> bool:
        """True if answers come so quickly that a missing answer is no sign of overload."""
        return self.slowness < SLOW_SHARE

    def observe_answer(self, elapsed_ms: float, objective: float) -> None:
        """Count an answer that took `elapsed_ms` milliseconds, relative to its latency objective."""
        taken = min(1.0, elapsed_ms / objective)
        self.slowness += (1.0 - SLOWNESS_MEMORY) * (taken - self.slowness)

    def observe_report(self, now: float, server: Server, report: Mapping[str, float]) -> None:
        """Update the reported load of a server by a load report; ignore values that are not finite."""
        waiting = report.get("queue", math.nan) + BUSY_IN_FLIGHT * report.get("util", 0.0)
        load = report.get("inflight", waiting)
        if math.isfinite(load):
            server.reported_load = max(0.0, load)
            self._mean_reported_load += REPORT_GAIN * (server.reported_load - self._mean_reported_load)
            server.mean_reported_load += REPORT_GAIN * (server.reported_load - server.mean_reported_load)
            server.reported_at = now

    def reported_load(self, now: float, server: Server) -> float:
        """Return the number of requests in flight at a server according to its load reports, plus one."""
        mean = server.mean_reported_load
        fade = math.exp((server.reported_at - now) / REPORT_FADE_MS)
        return 1.0 + mean + (server.reported_load - mean) * fade

    def assumed_load(self, server: Server) -> float:
        """Return the mean load of all servers for a server that never reported its load, 0 for the others."""
        return self._mean_reported_load if server.reported_at == -math.inf else 0.0

    def overload_signal(self, now: float, server: Server, outcome: Outcome) -> float:
        """Return how strongly an outcome signals overload, from 0 to 1.

        Load reports count by their mean and not by their sum, because a busy sidecar receives more of them.
        """
        if outcome is REJECTED and self.has_load_reports and server.reported_at != now:
            # A rejection without a load report is a weak signal: the server may be draining or starting.
            return min(1.0, SHARE_GAIN * self._signal_weight(now))
        if (outcome is OK or outcome is REJECTED) and self._in_flight_reported and server.reported_at == now:
            # A server that rejects requests while few are in flight is faulty and not overloaded.
            overload = min(
                1.0, max(0.0, (server.reported_load - OVERLOAD_IN_FLIGHT) / OVERLOAD_IN_FLIGHT_SPAN)
            )
            return overload if outcome is REJECTED else overload * self._signal_weight(now)
        if outcome is not TIMEOUT:
            return 1.0 if outcome is REJECTED else 0.0
        # Lost answers must not cause load shedding. If an overloaded service drops requests, this signal is
        # late.
        return MAX_OVERDUE_SIGNAL * min(1.0, max(0.0, (self.slowness - SLOW_SHARE) / SLOW_SHARE_SPAN))

    def overdue_signal(self, now: float) -> float:
        """Return how strongly an attempt still in flight at its objective signals overload, from 0 to 1."""
        return min(MAX_OVERDUE_SIGNAL, SHARE_GAIN * self._signal_weight(now))

    def _signal_weight(self, now: float) -> float:
        """Return the weight of each signal with which the shed probability settles at the mean of all."""
        return min(1.0, 1.0 / (SHED_GAIN * SHED_FADE_MS * max(self._rate.sends_per_ms(now), 1.0 / RATE_MS)))
