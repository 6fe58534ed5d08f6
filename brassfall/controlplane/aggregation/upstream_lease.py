"""Lease that an aggregator has from the service, and the length of the leases that it grants to children.

The lease counts from when the aggregator sent its report, on its own monotonic clock, so it ends at the
aggregator before the service counts it as ended. A child counts its lease from when it sent its own report,
which was before the aggregator answered.

Let P be the length of a lease, `asked` the true time at which the aggregator sent its report, and let the
rates of all clocks be within `drift` of true time. Then a child's lease ends by `asked + P / (1 - drift)`: it
is granted for P less the time that has passed since `asked` on the aggregator's clock, which has a rate of at
least `1 - drift`, and the child measures it on a clock that also has at least this rate. The service waits
`P * (1 + drift) / (1 - drift)` on its own clock, which is at least as long. So the bound on the end of the
service's lease also holds for the leases granted within it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassfall.controlplane.aggregation.timing import AggregatorTiming


@dataclass(slots=True)
class UpstreamLease:
    """Lease of one aggregator process; times are ms of its monotonic clock."""

    timing: AggregatorTiming
    revision: int = 0  # the revision that the lease permits to act on
    until_ms: float = -math.inf  # when the lease from the service ends
    renewed_ms: float = -math.inf  # when the report was begun whose answer renewed the lease last

    def renew(self, asked_ms: float, revision: int, length_ms: float) -> None:
        """Store a lease on a revision that counts from `asked_ms` and lasts `length_ms`.

        A length above `lease_ms` of the timing is reduced to it.
        """
        self.revision = revision
        self.until_ms = asked_ms + min(length_ms, self.timing.lease_ms)
        self.renewed_ms = asked_ms

    def drop(self) -> None:
        """End the lease at once, since it was granted in another epoch of the service."""
        self.until_ms = self.renewed_ms = -math.inf

    def left_ms(self, now: float) -> float:
        """Return how many ms the lease still runs at `now`; 0 if it has ended."""
        return max(0.0, self.until_ms - now)

    def child_lease_ms(self, now: float) -> float:
        """Return the length in ms of a child lease granted at `now`, which never ends after this lease."""
        return min(self.timing.lease_ms, self.left_ms(now))

    def stale(self, now: float) -> bool:
        """Return whether the lease is `elsewhere_after_ms` old, so that children are to be redirected.

        This is so if no answer of the service has renewed it since.
        """
        return now - self.renewed_ms > self.timing.elsewhere_after_ms
