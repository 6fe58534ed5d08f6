"""The client-side throttle: refuses requests before any send while the service accepts too few of them."""

from __future__ import annotations

from collections import deque

WINDOW_MS = 10000.0  # short, so that the evidence does not outlast an overload
MAX_WINDOW_REQUESTS = 60
ACCEPTS_MULTIPLIER = 2.0  # K of the formula: requests beyond this multiple of the accepts are refused
FREE_REQUESTS = 3.0  # that count before any is refused


class Throttle:
    """The requests and accepts of the recent past, limited by age and by number."""

    __slots__ = ("_entries", "_max_requests", "_window_ms", "accepts", "requests")

    def __init__(self, window_ms: float = WINDOW_MS, max_requests: int = MAX_WINDOW_REQUESTS) -> None:
        """Begin with an empty window."""
        self.requests = 0
        self.accepts = 0.0
        self._window_ms = window_ms
        self._max_requests = max_requests
        self._entries: deque[tuple[float, float]] = deque()

    def add(self, now: float, accepted: float) -> None:
        """Count one request; `accepted` is 1 for an accept, 0 for none, or a value between."""
        self._entries.append((now, accepted))
        self.requests += 1
        self.accepts += accepted
        self.trim(now)

    def trim(self, now: float) -> None:
        """Forget the requests beyond the window's age and number."""
        entries = self._entries
        while entries and (len(entries) > self._max_requests or entries[0][0] <= now - self._window_ms):
            self.accepts -= entries.popleft()[1]
            self.requests -= 1

    def refusal_probability(self, now: float) -> float:
        """Return the chance, 0 to 1, with which the next request is to be refused."""
        self.trim(now)
        return max(
            0.0, (self.requests - FREE_REQUESTS - ACCEPTS_MULTIPLIER * self.accepts) / (self.requests + 1)
        )
