"""Key affinity: the more popular a key is among the last arrivals, the more servers should have it cached."""

from __future__ import annotations

from collections import deque

KEY_SPREAD = 3.0  # servers for a key, as a multiple of its share of all servers
MIN_KEY_SERVERS = 2
KEY_MEMORY = 128  # arrivals whose keys are counted


class KeyAffinity:
    """The keys of the last arrivals, counted."""

    __slots__ = ("_counts", "_recent")

    def __init__(self) -> None:
        """Begin without arrivals."""
        self._recent: deque[int] = deque()
        self._counts: dict[int, int] = {}

    def count(self, key: int) -> None:
        """Count the key of an arrival and drop the oldest one."""
        self._recent.append(key)
        self._counts[key] = self._counts.get(key, 0) + 1
        if len(self._recent) > KEY_MEMORY:
            old = self._recent.popleft()
            self._counts[old] -= 1
            if not self._counts[old]:
                del self._counts[old]

    def width(self, key: int, servers: int) -> int:
        """Return how many of so many servers should have a key."""
        share = (self._counts.get(key, 1) - 1) / KEY_MEMORY
        return max(MIN_KEY_SERVERS, round(KEY_SPREAD * share * servers))
