"""Durations and limits of an aggregator."""

from __future__ import annotations

from brassfall.controlplane.revisions.timing import LeaseTiming


class AggregatorTiming(LeaseTiming, frozen=True):
    """Durations (in ms) and limits of an aggregator.

    `agree_ms` and `drift` must have the same values as at the service.
    """

    children_most: int = 2000  # the maximum number of child processes at the same time
    newcomers_per_s: float = 300.0  # admitted children without a lease, per second
    newcomers_burst: int = 100  # children without a lease admitted at once after a time without any
    # How long a commit may be withheld from children until the aggregator has a lease on it.
    commit_message_wait_ms: float = 500.0
    # How long the service may fail to answer until children are redirected to another aggregator.
    elsewhere_after_ms: float = 1000.0
    # How long the overrides of a child may differ from the expected ones until the child is reported.
    late_ms: float = 1500.0
