"""Load shedding: under overload, requests of the least priority weight per unit of work are refused first."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from brassfall.balancer.settings import Settings

# Time constant with which the shed probability fades. It has to be short: a probability that outlasts an
# overload is kept up by the retries of the clients that were refused.
SHED_FADE_MS = 1000.0
SHED_GAIN = 500.0 / SHED_FADE_MS  # per rejected outcome; the steady state does not depend on the fading
SHED_THRESHOLD = 0.1  # a lower shed probability may be an accident and sheds nothing
MIX_MEMORY = 0.98  # weight of the past in the mix of arrivals: about the last fifty
MIN_QUOTA_ARRIVALS = 10.0  # fewer arrivals say nothing of a tenant's quota


@dataclass(slots=True)
class MixEntry:
    """Recent arrivals of one request class, within or over their tenants' quotas."""

    work: float = 0.0  # fading sum
    requests: float = 0.0  # fading count
    weight: float = 0.0  # priority weight of one request, or of one unit of work


class LoadShedder:
    """The shed probability, and the mix of recent arrivals that it is spread over.

    A tenant's allowance is for the whole fleet, and one sidecar sees a part of it. So the tenant's share of
    this sidecar's arrivals is compared with its share of all allowances.
    """

    __slots__ = (
        "weight_by_work",
        "_probability",
        "_mix",
        "over_quota_weight",
        "quotas",
        "_seen",
        "_seen_all",
        "_updated_at",
        "worst_class",
    )

    def __init__(self, settings: Settings) -> None:
        """Begin with a shed probability of 0."""
        self._seen = [0.0] * len(settings.allowances)
        self._seen_all = 0.0
        self._mix: dict[tuple[int, bool], MixEntry] = {}  # by class, and whether over the tenant's quota
        self._probability = 0.0
        self._updated_at = 0.0
        self.reload(settings, ())

    def reload(self, settings: Settings, retained: Collection[int]) -> None:
        """Apply other settings; arrivals of classes that are not `retained` are forgotten."""
        self.weight_by_work = settings.weight_by_work
        self.over_quota_weight = settings.over_quota_weight
        self.worst_class = settings.worst_class
        total = sum(settings.allowances) or 1.0
        self.quotas = [allowance / total for allowance in settings.allowances]
        self._mix = {kind: entry for kind, entry in self._mix.items() if kind[0] in retained}
        for (request_class, _), entry in self._mix.items():
            entry.weight = settings.profiles[request_class].priority_weight

    @property
    def request_classes(self) -> set[int]:
        """The classes of the recent arrivals."""
        return {request_class for request_class, _ in self._mix}

    def count_arrival(self, request_class: int, weight: float, work: float, tenant: int, chance: float) -> bool:
        """Count an arrival; return whether it counts as over its tenant's quota, by a random `chance`."""
        over = False
        self._seen_all = self._seen_all * MIX_MEMORY + 1.0
        if tenant < len(self.quotas):
            self._seen = [seen * MIX_MEMORY for seen in self._seen]
            self._seen[tenant] += 1.0
            within = self.quotas[tenant] * self._seen_all / self._seen[tenant]
            over = self._seen_all >= MIN_QUOTA_ARRIVALS and chance > within
        for entry in self._mix.values():
            entry.work *= MIX_MEMORY
            entry.requests *= MIX_MEMORY
        kind = (request_class, over)
        if kind not in self._mix:
            self._mix[kind] = MixEntry()
        entry = self._mix[kind]
        entry.work += work
        entry.requests += 1.0
        entry.weight = weight
        return over

    def observe(self, now: float, overload: float) -> None:
        """Learn from a signal of overload: 1 for a rejection, 0 for an answer in time."""
        self._probability = min(1.0, self.probability(now) + SHED_GAIN * overload)
        self._updated_at = now

    def probability(self, now: float) -> float:
        """Return the shed probability, 0 to 1: the share of the work that should be refused."""
        return self._probability * math.exp((self._updated_at - now) / SHED_FADE_MS)

    def class_refusal_probability(self, now: float, drop: float, request_class: int, *, over_quota: bool) -> float:
        """Return the chance of refusing such a request.

        In all, the share `drop` of the work is refused, or what the shed probability asks if that is more:
        first the requests over their tenants' quotas, then evenly those of the classes with the least
        priority weight per work. How many classes is weighed by the goal, which counts the worst class by
        itself beside the weight lost in all.
        """
        part = max(drop, self.probability(now) - SHED_THRESHOLD)
        if part <= 0.0:
            return 0.0
        weights = self._weights()
        need = part * sum(entry.work for entry in self._mix.values())
        kinds = sorted((not k[1], weights[k] / entry.work, k[0]) for k, entry in self._mix.items())
        for within, _, kind in kinds:
            if within:
                break
            work = self._mix[kind, True].work
            if kind == request_class and over_quota:
                return need / work
            need -= work
            if need <= 0.0:
                return 0.0
        order = [kind for within, _, kind in kinds if within]
        return self._chance_within_quota(need, order, weights, -1 if over_quota else request_class)

    def _weights(self) -> dict[tuple[int, bool], float]:
        """Return the priority weight of all recent requests of each kind."""
        return {
            kind: entry.weight
            * (entry.work if self.weight_by_work else entry.requests)
            * (self.over_quota_weight if kind[1] else 1.0)
            for kind, entry in self._mix.items()
        }

    def _chance_within_quota(
        self, need: float, order: list[int], weights: dict[tuple[int, bool], float], request_class: int
    ) -> float:
        """Return the chance for one class, where `need` work is refused from the first few of `order`."""
        chance, least, taken, lost = 0.0, math.inf, 0.0, 0.0
        all_weights = sum(weights.values()) or 1.0  # all of it may have no weight
        included = False
        for kind in order:
            taken += self._mix[kind, False].work
            lost += weights[kind, False]
            included = included or kind == request_class
            part = need / taken
            cost = part * ((1.0 - self.worst_class) * lost / all_weights + self.worst_class)
            if cost < least and (part <= 1.0 or kind == order[-1]):
                least, chance = cost, part if included else 0.0
        return chance
