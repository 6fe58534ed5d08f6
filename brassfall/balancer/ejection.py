"""Outlier ejection: servers whose faults are their own are not sent to for a while."""

from __future__ import annotations

import math
import random
from collections.abc import Collection

from brassfall.balancer.endpoints import Endpoints
from brassfall.balancer.load_shedding import LoadShedder
from brassfall.balancer.model import CONNECT_FAILED, OK, Outcome
from brassfall.balancer.pace import PACE_MEMORY
from brassfall.balancer.records import EVIDENCE, Server

EJECTION_MS = 2000.0  # the first; doubles with each further failure
MAX_EJECTION_MS = 16000.0
EJECTION_JITTER = 0.5  # the ejection time varies by this part of it in all
REJECTION_PAUSE_MS = (
    100.0  # doubles while a server rejects all, as one does that drains before it is listed so
)
MAX_REJECTION_DOUBLINGS = 5
MAX_EJECTED_SHARE = 0.5  # of the servers; if more look faulty, the fault is not their own

# A fault counts as the server's own if its share of faults exceeds the service's by this much.
FAULT_MEMORY = 0.7  # weight of the past in a server's share of faults; the newest fault weighs the rest
FAULT_MULTIPLE = 1.5  # of the service's share of faults
FAULT_MARGIN = 0.35  # more than a single fault brings: one says nothing of a server


class OutlierEjector:
    """The servers that are ejected, and the faults by which the others are judged."""

    __slots__ = (
        "_ejected",
        "_endpoints",
        "_rng",
        "_shedder",
        "connect_failures",
        "not_accepted",
        "silent_at",
    )

    def __init__(self, endpoints: Endpoints, shedder: LoadShedder, rng: random.Random) -> None:
        """Begin with no server ejected; the arguments are parts of the same balancer."""
        self._ejected: dict[str, Server] = {}
        self._endpoints = endpoints
        self._shedder = shedder
        self._rng = rng
        self.silent_at = -math.inf  # when a server was last ejected for silence
        self.connect_failures = 0.0  # fading share of new connections that fail
        self.not_accepted = 0.0  # fading share of sends that got no good answer; local refusals are no sends

    @property
    def ejected(self) -> Collection[str]:
        """The servers that were ejected, until another one is ejected after the end of their time."""
        return self._ejected.keys()

    def forget(self, names: list[str]) -> None:
        """Drop the records of these servers."""
        for name in names:
            self._ejected.pop(name, None)

    def zones(self, now: float) -> list[int]:
        """Return the zone of each ejected server."""
        return [server.zone for server in self._ejected.values() if server.ejected_until > now]

    def count(self, outcome: Outcome) -> None:
        """Count an outcome for the service; it has to be one of `EVIDENCE`."""
        self.not_accepted += (1.0 - PACE_MEMORY) * ((outcome is not OK) - self.not_accepted)

    def count_connection(self, outcome: Outcome) -> None:
        """Count the outcome of an attempt that opened a connection."""
        if outcome in EVIDENCE:
            failed = outcome is CONNECT_FAILED
            self.connect_failures += (1.0 - FAULT_MEMORY) * (failed - self.connect_failures)

    def answered(self, now: float, server: Server) -> None:
        """Count an answer: it ends a server's series of failures and rejections."""
        server.consecutive_failures = server.consecutive_rejections = 0
        server.answered_at = now
        server.fault_share *= FAULT_MEMORY

    def rejected(self, now: float, server: Server) -> None:
        """Count a rejection: the server is not sent to for a moment."""
        pause = REJECTION_PAUSE_MS * 2.0**server.consecutive_rejections
        server.ejected_until = max(server.ejected_until, now + pause)
        server.consecutive_rejections = min(server.consecutive_rejections + 1, MAX_REJECTION_DOUBLINGS)

    def blame(self, now: float, server: Server, *, silent: bool) -> None:
        """Count a fault; a server whose faults exceed the service's by far is ejected."""
        server.fault_share += (1.0 - FAULT_MEMORY) * (1.0 - server.fault_share)
        usual = self.not_accepted
        if silent:  # under overload all servers are slow
            usual = max(usual, self._shedder.probability(now))
        if server.fault_share > FAULT_MARGIN + FAULT_MULTIPLE * usual:
            self._eject(now, server)
            if silent and server.consecutive_failures > 1:
                self.silent_at = now

    def _eject(self, now: float, server: Server) -> None:
        """Eject a server for a while, unless too many are ejected for the fault to be theirs."""
        self._ejected = {name: s for name, s in self._ejected.items() if s.ejected_until > now}
        if len(self._ejected) >= MAX_EJECTED_SHARE * len(self._endpoints.ring):
            return
        ejection_ms = min(EJECTION_MS * 2.0**server.consecutive_failures, MAX_EJECTION_MS)
        server.ejected_until = now + ejection_ms * (0.75 + EJECTION_JITTER * self._rng.random())
        server.consecutive_failures += 1
        self._ejected[server.name] = server
