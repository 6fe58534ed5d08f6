"""The length of leases, and how long a service waits until a lease has certainly ended. Pure code."""

from __future__ import annotations

import msgspec

CLOCK_DRIFT = 0.01  # Largest error of the rate of a machine's monotonic clock, as a fraction of 1


def expiry_bound_ms(length_ms: float, drift: float) -> float:
    """Return how long, on the clock of the granting service, a lease of `length_ms` may last at its client.

    The rates of both clocks are within `drift` of true time. The client counts from before the grant.
    """
    return length_ms * (1.0 + drift) / (1.0 - drift)


class LeaseTiming(msgspec.Struct, frozen=True):
    """The durations on which leases are based, in ms.

    `agree_ms` bounds how long two processes may act on contradicting revisions; the service, its aggregators
    and the sidecars have to use the same value. `drift` is the largest error of a clock's rate; see
    `CLOCK_DRIFT`.
    """

    agree_ms: float = 3000.0
    drift: float = CLOCK_DRIFT

    @property
    def lease_ms(self) -> float:
        """The length of a lease; a process counts it on its own clock from when it sent its report."""
        return 0.9 * self.agree_ms

    @property
    def expiry_bound_ms(self) -> float:
        """The time after which a lease has certainly ended, on the clock of the service that granted it."""
        return expiry_bound_ms(self.lease_ms, self.drift)

    @property
    def epoch_wait_ms(self) -> float:
        """The time for which a node has to follow an epoch before it counts towards that epoch's majority.

        After this time the node no longer counts at another service, and the last lease granted there has
        ended.
        """
        return 2.0 * self.expiry_bound_ms
