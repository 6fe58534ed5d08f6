"""What callers may take up: shares by address, calls a second, a steady way in for a herd. Pure code."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass

FORGET = 4096  # addresses whose rate is remembered


@dataclass(slots=True)
class Bucket:
    """A token bucket; times in s."""

    rate: float
    most: float
    tokens: float
    at: float

    def take(self, now: float) -> float:
        """Take one token: 0.0, or how long until there is one."""
        self.tokens = min(self.most, self.tokens + max(0.0, now - self.at) * self.rate)
        self.at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate


class Rates:
    """A bucket for each caller; those that have called least recently are forgotten, with full buckets."""

    def __init__(self, per_s: float) -> None:
        self._rate = per_s
        self._buckets: OrderedDict[str, Bucket] = OrderedDict()

    def wait(self, caller: str, now: float) -> float:
        """Count a call: 0.0, or how long its caller has to wait."""
        if not self._rate:
            return 0.0
        bucket = self._buckets.get(caller)
        if bucket is None:
            # A second's worth at once: clients start with a few calls in a row.
            bucket = self._buckets[caller] = Bucket(self._rate, self._rate, self._rate, now)
            if len(self._buckets) > FORGET:
                self._buckets.popitem(last=False)
        else:
            self._buckets.move_to_end(caller)
        return bucket.take(now)


class Door:
    """Lets a herd in at a steady rate, and spreads those who must come again.

    Whoever is turned away is given the next free second of a line that is as long as the herd: callers
    that do as told come back at the rate that is let in, and not all at once."""

    def __init__(self, per_s: float) -> None:
        self._rate = per_s
        burst = max(1.0, per_s / 4.0)  # with less than one, nobody would ever be let in
        self._bucket = Bucket(per_s, burst, burst, 0.0)
        self._line_ends = 0.0

    def wait(self, now: float, chance: float) -> float:
        """Let one in: 0.0, or when to come again, in s; `chance` from 0 to 1 spreads it further."""
        if not self._bucket.take(now):
            return 0.0
        self._line_ends = max(self._line_ends, now) + 1.0 / self._rate
        return self._line_ends - now + 0.25 + 0.5 * chance


class Shares:
    """How much of something each caller holds, of a bounded whole."""

    def __init__(self, most: int, share: float) -> None:
        self._most = most
        self._each = max(1, int(most * share))
        self._held: Counter[str] = Counter()
        self.total = 0

    def take(self, caller: str) -> str:
        """Hold one more; or why not."""
        if self.total >= self._most:
            return f"all {self._most} places are taken"
        if self._held[caller] >= self._each:
            return f"{caller} holds its share of {self._each} places"
        self._held[caller] += 1
        self.total += 1
        return ""

    def give(self, caller: str) -> None:
        """Hold one less."""
        self.total -= 1
        self._held[caller] -= 1
        if not self._held[caller]:
            del self._held[caller]
