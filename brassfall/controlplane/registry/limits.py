"""Limits of callers: quotas by address, rates of calls, and a steady rate of joins. Pure code."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass

MAX_CALLERS = 4096  # addresses whose rate is kept
BURST_S = 0.25  # the time whose joins are admitted at once
MIN_RETRY_S, RETRY_SPAN_S = 0.25, 0.5  # added to the place of a rejected caller in the queue


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that fills at `rate` a second up to `most`; `at` is when it was last filled, in s."""

    rate: float
    most: float
    tokens: float
    at: float

    def take(self, now: float) -> float:
        """Take one token; return 0.0, or the time in s until there is one."""
        self.tokens = min(self.most, self.tokens + max(0.0, now - self.at) * self.rate)
        self.at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate


class CallRateLimiter:
    """A token bucket for each caller.

    Beyond `MAX_CALLERS`, the one that has not called for longest is forgotten: it begins with a full bucket.
    """

    def __init__(self, per_s: float) -> None:
        self._rate = per_s
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def wait(self, caller: str, now: float) -> float:
        """Count a call; return 0.0, or the time in s that its caller has to wait."""
        if not self._rate:
            return 0.0
        bucket = self._buckets.get(caller)
        if bucket is None:
            # The calls of a second at once: clients start with a few calls in a row.
            bucket = self._buckets[caller] = TokenBucket(self._rate, self._rate, self._rate, now)
            if len(self._buckets) > MAX_CALLERS:
                self._buckets.popitem(last=False)
        else:
            self._buckets.move_to_end(caller)
        return bucket.take(now)


class JoinLimiter:
    """Admits joins at a steady rate, and spreads the retries of rejected callers.

    A rejected caller gets the next free place in a queue: callers that keep their `Retry-After` come back at
    the admitted rate, and not all at once.
    """

    def __init__(self, per_s: float) -> None:
        self._rate = per_s
        burst = max(1.0, per_s * BURST_S)  # with less than one, no caller would be admitted
        self._bucket = TokenBucket(per_s, burst, burst, 0.0)
        self._queue_ends = 0.0

    def wait(self, now: float, chance: float) -> float:
        """Admit one; return 0.0, or the wait in s before a retry, which `chance` from 0 to 1 spreads."""
        if not self._bucket.take(now):
            return 0.0
        self._queue_ends = max(self._queue_ends, now) + 1.0 / self._rate
        return self._queue_ends - now + MIN_RETRY_S + RETRY_SPAN_S * chance


class CallerQuotas:
    """A limited capacity, of which no caller may use more than its share."""

    def __init__(self, capacity: int, share: float) -> None:
        self._capacity = capacity
        self._quota = max(1, int(capacity * share))
        self._in_use: Counter[str] = Counter()
        self.total = 0

    def take(self, caller: str) -> str:
        """Take one place; return why that is refused, empty if it was taken."""
        if self.total >= self._capacity:
            return f"all {self._capacity} places are taken"
        if self._in_use[caller] >= self._quota:
            return f"{caller} holds its share of {self._quota} places"
        self._in_use[caller] += 1
        self.total += 1
        return ""

    def give_back(self, caller: str) -> None:
        """Release one place."""
        self.total -= 1
        self._in_use[caller] -= 1
        if not self._in_use[caller]:
            del self._in_use[caller]
