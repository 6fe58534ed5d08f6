"""The length of leases, and how long the service waits until one has surely ended. Pure code."""

from __future__ import annotations

import msgspec

CLOCK_DRIFT = 0.01  # the rate of any machine's monotonic clock is within this part of true time


def expiry_bound_ms(length_ms: float, drift: float) -> float:
    """Return how long the granter of a lease waits, on its own clock, until it has ended on the client's.

    Both clocks' rates are within `drift` of true time; the client counts from before the grant.
    """
    return length_ms * (1.0 + drift) / (1.0 - drift)


class LeaseTiming(msgspec.Struct, frozen=True):
    """The durations that leases rest on, in ms.

    `agree_ms` bounds how long two processes may act on contradicting revisions; service, aggregators and
    sidecars need the same. `drift` is the bound that `CLOCK_DRIFT` states.
    """

    agree_ms: float = 3000.0
    drift: float = CLOCK_DRIFT

    @property
    def lease_ms(self) -> float:
        """The length of a lease, which a process counts on its clock from when it sent its report."""
        return 0.9 * self.agree_ms

    @property
    def expiry_bound_ms(self) -> float:
        """The time after which a lease has surely ended, on the clock of the service that granted it."""
        return expiry_bound_ms(self.lease_ms, self.drift)

    @property
    def epoch_wait_ms(self) -> float:
        """The time that a node has to follow this epoch before it counts towards its majority.

        By then it no longer counts at another service, and the last lease granted there has ended.
        """
        return 2.0 * self.expiry_bound_ms
