"""Limits on callers: shares of a capacity, a rate of calls for each, and a common rate of joins. No I/O."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass

MAX_CALLERS = 4096  # maximum number of callers whose token buckets are kept
BURST_S = 0.25  # size of the burst of joins that is admitted at once, in seconds' worth of the steady rate
# A rejected caller waits for its place in the queue, plus MIN_RETRY_S, plus a random part of RETRY_SPAN_S.
MIN_RETRY_S, RETRY_SPAN_S = 0.25, 0.5


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that gains `rate` tokens a second up to `capacity`.

    `filled_at_s` is the time at which `tokens` was last brought up to date.
    """

    rate: float
    capacity: float
    tokens: float
    filled_at_s: float

    def admission_wait_s(self, now_s: float) -> float:
        """Take one token and return 0.0; without a token return the time until there is one, in s."""
        self.tokens = min(self.capacity, self.tokens + max(0.0, now_s - self.filled_at_s) * self.rate)
        self.filled_at_s = now_s
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate


class CallRateLimiter:
    """Limits the rate of calls of each caller by a token bucket.

    Beyond `MAX_CALLERS` the caller without a call for longest is forgotten; it restarts with a full bucket.
    """

    def __init__(self, per_s: float) -> None:
        self._rate = per_s
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def admission_wait_s(self, caller: str, now_s: float) -> float:
        """Admit a call and return 0.0, or return the time that the caller has to wait, in s."""
        if not self._rate:
            return 0.0
        bucket = self._buckets.get(caller)
        if bucket is None:
            # The bucket holds the calls of one second, since clients start with a few calls in a row.
            bucket = self._buckets[caller] = TokenBucket(self._rate, self._rate, self._rate, now_s)
            if len(self._buckets) > MAX_CALLERS:
                self._buckets.popitem(last=False)
        else:
            self._buckets.move_to_end(caller)
        return bucket.admission_wait_s(now_s)


class JoinLimiter:
    """Admits joins at a steady rate, and spreads the retries of rejected callers.

    A join is a request for a complete list or a new watch. A rejected caller gets the next free place in a
    virtual queue, so that callers that respect `Retry-After` come back at the admitted rate, not all at once.
    """

    def __init__(self, per_s: float) -> None:
        self._rate = per_s
        burst = max(1.0, per_s * BURST_S)  # a bucket for less than one token would admit no caller
        self._bucket = TokenBucket(per_s, burst, burst, 0.0)
        self._queue_end_s = 0.0

    def admission_wait_s(self, now_s: float, chance: float) -> float:
        """Admit a join and return 0.0, or return the time that the caller has to wait before a retry, in s.

        `chance` is a random number from 0 to 1 that spreads the retries.
        """
        if not self._bucket.admission_wait_s(now_s):
            return 0.0
        self._queue_end_s = max(self._queue_end_s, now_s) + 1.0 / self._rate
        return self._queue_end_s - now_s + MIN_RETRY_S + RETRY_SPAN_S * chance


class CallerQuotas:
    """A limited number of places, of which no caller may use more than a share."""

    def __init__(self, capacity: int, share: float) -> None:
        self._capacity = capacity
        self._quota = max(1, int(capacity * share))
        self._in_use: Counter[str] = Counter()
        self.total = 0

    def acquire(self, caller: str) -> str:
        """Take a place for a caller; return the reason if there is none, empty if the place was taken."""
        if self.total >= self._capacity:
            return f"all {self._capacity} places are taken"
        if self._in_use[caller] >= self._quota:
            return f"{caller} holds its share of {self._quota} places"
        self._in_use[caller] += 1
        self.total += 1
        return ""

    def release(self, caller: str) -> None:
        """Release a place of a caller."""
        self.total -= 1
        self._in_use[caller] -= 1
        if not self._in_use[caller]:
            del self._in_use[caller]
