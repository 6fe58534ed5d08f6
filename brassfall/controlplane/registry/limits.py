"""What callers may use: quotas by address, rates of calls, and a steady rate for a herd. Pure code."""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass

CALLERS_MOST = 4096  # addresses whose rate is remembered
BURST_S = 0.25  # a herd may use the rate of so long a time at once
RETRY_LEAST_S, RETRY_SPAN_S = 0.25, 0.5  # what a rejected caller waits beside its place in the line


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that fills at `rate` a second up to `most`; `at` is when it was last filled, in s."""

    rate: float
    most: float
    tokens: float
    at: float

    def take(self, now: float) -> float:
        """Take one token: 0.0, or how long until there is one, in s."""
        self.tokens = min(self.most, self.tokens + max(0.0, now - self.at) * self.rate)
        self.at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate


class CallRateLimiter:
    """A token bucket for each caller. Beyond `CALLERS_MOST`, the one that has not called for longest is
    forgotten: it begins with a full bucket again."""

    def __init__(self, per_s: float) -> None:
        self._rate = per_s
        self._buckets: OrderedDict[str, TokenBucket] = OrderedDict()

    def wait(self, caller: str, now: float) -> float:
        """Count a call: 0.0, or how long its caller has to wait, in s."""
        if not self._rate:
            return 0.0
        bucket = self._buckets.get(caller)
        if bucket is None:
            # A second's worth at once: clients start with a few calls in a row.
            bucket = self._buckets[caller] = TokenBucket(self._rate, self._rate, self._rate, now)
            if len(self._buckets) > CALLERS_MOST:
                self._buckets.popitem(last=False)
        else:
            self._buckets.move_to_end(caller)
        return bucket.take(now)


class JoinLimiter:
    """Admits a herd at a steady rate, and spreads the retries of those it rejects.

    Whoever is rejected gets the next free place of a line that is as long as the herd: callers that wait as
    their `Retry-After` says come back at the rate that is admitted, and not all at once."""

    def __init__(self, per_s: float) -> None:
        self._rate = per_s
        burst = max(1.0, per_s * BURST_S)  # with less than one, nobody would ever be admitted
        self._bucket = TokenBucket(per_s, burst, burst, 0.0)
        self._line_ends = 0.0

    def wait(self, now: float, chance: float) -> float:
        """Admit one: 0.0, or how long to wait before the retry, in s; `chance`, from 0 to 1, spreads it."""
        if not self._bucket.take(now):
            return 0.0
        self._line_ends = max(self._line_ends, now) + 1.0 / self._rate
        return self._line_ends - now + RETRY_LEAST_S + RETRY_SPAN_S * chance


class CallerQuotas:
    """How much of a bounded capacity is in use, by caller: none may have more than its share."""

    def __init__(self, capacity: int, share: float) -> None:
        self._capacity = capacity
        self._quota = max(1, int(capacity * share))
        self._in_use: Counter[str] = Counter()
        self.total = 0

    def take(self, caller: str) -> str:
        """Use one more; or why not: empty where it was taken."""
        if self.total >= self._capacity:
            return f"all {self._capacity} places are taken"
        if self._in_use[caller] >= self._quota:
            return f"{caller} holds its share of {self._quota} places"
        self._in_use[caller] += 1
        self.total += 1
        return ""

    def give_back(self, caller: str) -> None:
        """Use one less."""
        self.total -= 1
        self._in_use[caller] -= 1
        if not self._in_use[caller]:
            del self._in_use[caller]
