"""The times and limits of an aggregator."""

from __future__ import annotations

from brassfall.controlplane.revisions.timing import LeaseTiming


class AggregatorTiming(LeaseTiming, frozen=True):
    """Durations in ms. `agree_ms` and `drift` have to be the service's."""

    children_most: int = 2000  # child processes at the same time
    newcomers_per_s: float = 300.0  # children without a lease that are admitted per second
    newcomers_burst: int = 100  # admitted at once, after a time without any
    commit_message_wait_ms: float = 500.0  # after which children are notified of a commit at the latest
    elsewhere_after_ms: float = 1000.0  # without an answer, until children are redirected
    late_ms: float = 1500.0  # for which a child's overrides may differ before it is reported
