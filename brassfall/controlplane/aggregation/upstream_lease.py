"""The lease that an aggregator has from the service, and the length of its children's leases. Pure code.

The lease counts from when the aggregator sent its report, on its own monotonic clock, so it ends here before
the service counts it as ended. A child counts its lease from when it sent its own report, before the
aggregator answered. With P the length of a lease, `asked_ms` the true time of the aggregator's report, and
clocks whose rates are within `drift` of true time, a child's lease ends by `asked + P / (1 - drift)`: the
time left here when it is granted is P less the time since `asked` on a clock with a rate of at least `1 -
drift`, and the child counts it on such a clock. The service waits P * (1 + drift) / (1 - drift) on its own
clock, which is at least that long. So a chain of two leases has the bound of one.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassfall.controlplane.aggregation.timing import AggregatorTiming


@dataclass(slots=True)
class UpstreamLease:
    """The lease of one aggregator process; times in ms of its monotonic clock."""

    timing: AggregatorTiming
    revision: int = 0
    until_ms: float = -math.inf
    renewed_ms: float = -math.inf  # when the last report was begun whose answer renewed it

    def renew(self, asked_ms: float, revision: int, length_ms: float) -> None:
        """Store a lease on a revision that counts from `asked_ms`, of at most the usual length."""
        self.revision = revision
        self.until_ms = asked_ms + min(length_ms, self.timing.lease_ms)
        self.renewed_ms = asked_ms

    def drop(self) -> None:
        """End the lease, since another epoch of the service is followed."""
        self.until_ms = self.renewed_ms = -math.inf

    def left_ms(self, now: float) -> float:
        """Return how long the lease still runs."""
        return max(0.0, self.until_ms - now)

    def child_lease_ms(self, now: float) -> float:
        """Return the length of a child lease granted now, which never ends after this one."""
        return min(self.timing.lease_ms, self.left_ms(now))

    def stale(self, now: float) -> bool:
        """Return whether the service has not answered for `elsewhere_after_ms`: children should move on."""
        return now - self.renewed_ms > self.timing.elsewhere_after_ms
