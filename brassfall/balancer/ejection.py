"""Outlier ejection: a server that fails more often than the service gets no requests for a limited time."""

from __future__ import annotations

import math
import random
from collections.abc import Collection

from brassfall.balancer.endpoints import Endpoints
from brassfall.balancer.load_shedding import LoadShedder
from brassfall.balancer.model import CONNECT_FAILED, OK, Outcome
from brassfall.balancer.pace import PACE_MEMORY
from brassfall.balancer.records import EVIDENCE, Server

EJECTION_MS = 2000.0  # Duration of the first ejection in milliseconds, doubled by each further failure
MAX_EJECTION_MS = 16000.0  # Longest ejection in milliseconds, without jitter
EJECTION_JITTER = 0.5  # Width of the random variation of an ejection, as a share of its duration
# Pause in milliseconds after a server has rejected a request. The pause doubles while the server rejects all
# requests, as a draining server does before the endpoint list shows that it drains.
REJECTION_PAUSE_MS = 100.0
MAX_REJECTION_DOUBLINGS = 5  # Number of consecutive rejections after which the pause no longer doubles
# Largest share of the servers that may be ejected; if more servers look faulty, the cause is not in the
# servers.
MAX_EJECTED_SHARE = 0.5

# Weight of the past in a server's share of faults; the newest fault has the remaining weight.
FAULT_MEMORY = 0.7
# A server is ejected if its share of faults exceeds `FAULT_MARGIN` plus `FAULT_MULTIPLE` times the share of
# the whole service.
FAULT_MULTIPLE = 1.5
# Larger than the share of faults that a single fault causes, because one fault gives no evidence about a
# server.
FAULT_MARGIN = 0.35


class OutlierEjector:
    """Record of the faults of servers, which ejects servers whose share of faults is too high."""

    __slots__ = (
        "_ejected",
        "_endpoints",
        "_rng",
        "_shedder",
        "connect_failure_share",
        "unaccepted_share",
        "silent_at",
    )

    def __init__(self, endpoints: Endpoints, shedder: LoadShedder, rng: random.Random) -> None:
        """Create the component without ejected servers; the arguments belong to the same balancer."""
        self._ejected: dict[str, Server] = {}
        self._endpoints = endpoints
        self._shedder = shedder
        self._rng = rng
        self.silent_at = -math.inf  # Time when a server was last ejected because it did not answer
        self.connect_failure_share = 0.0  # Moving average of the share of new connections that fail
        # Moving average of the share of attempts without a successful answer. Local refusals are not
        # attempts.
        self.unaccepted_share = 0.0

    @property
    def ejected(self) -> Collection[str]:
        """Names of the ejected servers; those whose ejection has ended remain until the next ejection."""
        return self._ejected.keys()

    def forget_servers(self, names: list[str]) -> None:
        """Remove the servers with these names."""
        for name in names:
            self._ejected.pop(name, None)

    def ejected_zones(self, now: float) -> list[int]:
        """Return the zone of each server that is ejected at the time `now`."""
        return [server.zone for server in self._ejected.values() if server.ejected_until > now]

    def count_outcome(self, outcome: Outcome) -> None:
        """Count an outcome for the service as a whole; the outcome has to be one of `EVIDENCE`."""
        self.unaccepted_share += (1.0 - PACE_MEMORY) * ((outcome is not OK) - self.unaccepted_share)

    def count_connection(self, outcome: Outcome) -> None:
        """Count the outcome of an attempt that had to open a connection."""
        if outcome in EVIDENCE:
            failed = outcome is CONNECT_FAILED
            self.connect_failure_share += (1.0 - FAULT_MEMORY) * (failed - self.connect_failure_share)

    def count_answer(self, now: float, server: Server) -> None:
        """Count an answer, which ends the server's series of consecutive failures and rejections."""
        server.consecutive_failures = server.consecutive_rejections = 0
        server.answered_at = now
        server.fault_share *= FAULT_MEMORY

    def count_rejection(self, now: float, server: Server) -> None:
        """Count a rejection, after which the server gets no requests for a short pause."""
        pause = REJECTION_PAUSE_MS * 2.0**server.consecutive_rejections
        server.ejected_until = max(server.ejected_until, now + pause)
        server.consecutive_rejections = min(server.consecutive_rejections + 1, MAX_REJECTION_DOUBLINGS)

    def count_fault(self, now: float, server: Server, *, silent: bool) -> None:
        """Count a fault of a server, and eject it if its share of faults exceeds the service's by far."""
        server.fault_share += (1.0 - FAULT_MEMORY) * (1.0 - server.fault_share)
        service_share = self.unaccepted_share
        if silent:  # Under overload, all servers answer slowly
            service_share = max(service_share, self._shedder.probability(now))
        if server.fault_share > FAULT_MARGIN + FAULT_MULTIPLE * service_share:
            self._eject(now, server)
            if silent and server.consecutive_failures > 1:
                self.silent_at = now

    def _eject(self, now: float, server: Server) -> None:
        """Eject a server for a limited time, unless `MAX_EJECTED_SHARE` of all servers are ejected."""
        self._ejected = {name: s for name, s in self._ejected.items() if s.ejected_until > now}
        if len(self._ejected) >= MAX_EJECTED_SHARE * len(self._endpoints.ring):
            return
        ejection_ms = min(EJECTION_MS * 2.0**server.consecutive_failures, MAX_EJECTION_MS)
        server.ejected_until = now + ejection_ms * (0.75 + EJECTION_JITTER * self._rng.random())
        server.consecutive_failures += 1
        self._ejected[server.name] = server
