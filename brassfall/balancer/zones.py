"""Zone spillover: the share of each request class that goes to other zones, where that has a price."""

from __future__ import annotations

from collections.abc import Collection

from brassfall.balancer.settings import Settings

MIN_CROSS_ZONE_PRICE = 0.05  # below this price the queues that a preference builds cost more
PRICE_SHARE = 0.5  # of the price has to be missed: a request that leaves also shortens the local queue
SPILL_GAIN = 0.15  # per outcome
MISS_MEMORY = 0.9  # weight of the past in the misses of other zones, of which few are seen


class ZoneSpillover:
    """The share of each request class that goes to other zones.

    Requests stay in the sidecar's own zone until that misses more objectives than sending elsewhere costs.
    """

    __slots__ = ("_far_missed", "_locality", "active", "spill_margins", "spill_shares")

    def __init__(self, settings: Settings) -> None:
        """Begin with all requests in the sidecar's own zone."""
        self.spill_shares = [0.0] * len(settings.profiles)  # by class, 0 to 1
        self._far_missed = 0.0  # fading share of the outcomes in other zones that miss their objective
        self._price(settings)

    def reload(self, settings: Settings, retained: Collection[int]) -> None:
        """Apply other settings; what was learned of classes that are not `retained` is forgotten."""
        slots = range(len(settings.profiles))
        self.spill_shares = [self.spill_shares[slot] if slot in retained else 0.0 for slot in slots]
        self._price(settings)

    def _price(self, settings: Settings) -> None:
        """Work out what sending to another zone costs, by class, as a share of the priority weight."""
        weights = [profile.priority_weight for profile in settings.profiles]
        price = settings.prices.get("CrossZone", 0.0)
        self.active = settings.zones > 1 and price >= MIN_CROSS_ZONE_PRICE
        self._locality = settings.locality
        self.spill_margins = [PRICE_SHARE * price * max(weights) / (weight or 1.0) for weight in weights]

    def learn(self, zone: int, request_class: int, missed: float) -> None:
        """Count an outcome in a zone: `missed` is 1 if it was not served within the objective, else 0."""
        if zone != self._locality:
            self._far_missed += (1.0 - MISS_MEMORY) * (missed - self._far_missed)
            return
        gap = missed - self._far_missed - self.spill_margins[request_class]
        spill = self.spill_shares[request_class] + SPILL_GAIN * gap
        self.spill_shares[request_class] = min(1.0, max(0.0, spill))
