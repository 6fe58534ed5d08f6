"""Zone spillover: the share of each request class that is sent to other zones, if that has a price."""

from __future__ import annotations

from collections.abc import Collection

from brassfall.balancer.settings import Settings

# Smallest price of sending to another zone for which the own zone is preferred. Below this price, the queues
# that the preference causes in the own zone cost more than the price.
MIN_CROSS_ZONE_PRICE = 0.05
# Share of the price by which the own zone's share of missed objectives has to be higher before requests are
# sent to other zones. It is below 1 because a request that is sent elsewhere also shortens the local queue.
PRICE_SHARE = 0.5
# Change of a spill share for each outcome in the own zone, per unit of difference in misses.
SPILL_GAIN = 0.15
# Weight of the past in the share of missed objectives of other zones, which get few requests.
MISS_MEMORY = 0.9


class ZoneSpillover:
    """Shares of the request classes that are sent to other zones.

    Requests stay in the sidecar's own zone until missed objectives there cost more than sending to other
    zones.
    """

    __slots__ = ("_remote_miss_share", "_locality", "active", "spill_margins", "spill_shares")

    def __init__(self, settings: Settings) -> None:
        """Create the component with all requests in the sidecar's own zone."""
        self.spill_shares = [0.0] * len(settings.profiles)  # Share sent to other zones by class, from 0 to 1
        self._remote_miss_share = 0.0  # Moving average of the share of missed objectives in other zones
        self._update_margins(settings)

    def reload(self, settings: Settings, retained: Collection[int]) -> None:
        """Apply new settings and forget the spill shares of request classes that are not `retained`."""
        indexes = range(len(settings.profiles))
        self.spill_shares = [self.spill_shares[index] if index in retained else 0.0 for index in indexes]
        self._update_margins(settings)

    def _update_margins(self, settings: Settings) -> None:
        """Compute the cost of sending to another zone by class, as a share of the class's priority weight."""
        weights = [profile.priority_weight for profile in settings.profiles]
        price = settings.prices.get("CrossZone", 0.0)
        self.active = settings.zones > 1 and price >= MIN_CROSS_ZONE_PRICE
        self._locality = settings.locality
        self.spill_margins = [PRICE_SHARE * price * max(weights) / (weight or 1.0) for weight in weights]

    def count_outcome(self, zone: int, request_class: int, missed: float) -> None:
        """Count an outcome in a zone; `missed` is 1 if the request missed its latency objective, else 0."""
        if zone != self._locality:
            self._remote_miss_share += (1.0 - MISS_MEMORY) * (missed - self._remote_miss_share)
            return
        gap = missed - self._remote_miss_share - self.spill_margins[request_class]
        spill = self.spill_shares[request_class] + SPILL_GAIN * gap
        self.spill_shares[request_class] = min(1.0, max(0.0, spill))
