"""Client-side throttle: refuses requests before any attempt while the service accepts too few of them."""

from __future__ import annotations

from collections import deque

WINDOW_MS = 10000.0  # Length of the window in milliseconds; longer windows remember an overload after its end
MAX_WINDOW_REQUESTS = 60  # Largest number of requests in the window
# Requests beyond this multiple of the accepts are refused (K of the throttle's formula).
ACCEPTS_MULTIPLIER = 2.0
# Number of requests that the formula subtracts, so that a few requests without an accept cause no refusal.
FREE_REQUESTS = 3.0


class Throttle:
    """Window of the recent requests and accepts, limited by age and by number."""

    __slots__ = ("_entries", "_max_requests", "_window_ms", "accepts", "requests")

    def __init__(self, window_ms: float = WINDOW_MS, max_requests: int = MAX_WINDOW_REQUESTS) -> None:
        """Create the throttle with an empty window."""
        self.requests = 0
        self.accepts = 0.0
        self._window_ms = window_ms
        self._max_requests = max_requests
        self._entries: deque[tuple[float, float]] = deque()

    def count_request(self, now: float, accepted: float) -> None:
        """Count one request; `accepted` is 1 if the service accepted it, 0 if not, or a value between."""
        self._entries.append((now, accepted))
        self.requests += 1
        self.accepts += accepted
        self.drop_old_requests(now)

    def drop_old_requests(self, now: float) -> None:
        """Drop the requests that exceed the age limit or the maximum number of the window."""
        entries = self._entries
        while entries and (len(entries) > self._max_requests or entries[0][0] <= now - self._window_ms):
            self.accepts -= entries.popleft()[1]
            self.requests -= 1

    def refusal_probability(self, now: float) -> float:
        """Return the probability, from 0 to 1, with which the next request is refused."""
        self.drop_old_requests(now)
        return max(
            0.0, (self.requests - FREE_REQUESTS - ACCEPTS_MULTIPLIER * self.accepts) / (self.requests + 1)
        )
