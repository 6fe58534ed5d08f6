"""Key affinity: the more often a key occurs among recent arrivals, the more servers get its requests."""

from __future__ import annotations

from collections import deque

# Servers for a key, as a multiple of the key's share of arrivals times the number of servers.
KEY_SPREAD = 3.0
MIN_KEY_SERVERS = 2  # Smallest number of servers for a key
KEY_MEMORY = 128  # Number of recent arrivals whose keys are counted


class KeyAffinity:
    """Counter of how often each key occurs among the last `KEY_MEMORY` arrivals."""

    __slots__ = ("_counts", "_recent")

    def __init__(self) -> None:
        """Create the counter without any arrival."""
        self._recent: deque[int] = deque()
        self._counts: dict[int, int] = {}

    def count_arrival(self, key: int) -> None:
        """Count the key of an arrival; drop the oldest arrival once there are more than `KEY_MEMORY`."""
        self._recent.append(key)
        self._counts[key] = self._counts.get(key, 0) + 1
        if len(self._recent) > KEY_MEMORY:
            oldest_key = self._recent.popleft()
            self._counts[oldest_key] -= 1
            if not self._counts[oldest_key]:
                del self._counts[oldest_key]

    def server_count(self, key: int, servers: int) -> int:
        """Return how many of `servers` servers should get the requests of a key."""
        share = (self._counts.get(key, 1) - 1) / KEY_MEMORY
        return max(MIN_KEY_SERVERS, round(KEY_SPREAD * share * servers))
