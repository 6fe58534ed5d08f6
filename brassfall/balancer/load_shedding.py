"""Load shedding: under overload, requests with the least priority weight per work are refused first."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from brassfall.balancer.settings import Settings

# Time constant in milliseconds of the exponential decay of the shed probability. It has to be short: if the
# probability outlasted an overload, the retries of refused clients would keep it up.
SHED_FADE_MS = 1000.0
# Increase of the shed probability for each rejected attempt, scaled so that the steady state does not depend
# on the time constant.
SHED_GAIN = 500.0 / SHED_FADE_MS
SHED_THRESHOLD = 0.1  # A shed probability up to this value may be accidental and sheds no requests
MIX_MEMORY = 0.98  # Weight of the past in the mix of arrivals, which covers about the last fifty arrivals
MIN_QUOTA_ARRIVALS = 10.0  # Smallest number of arrivals by which tenants are compared with their quotas


@dataclass(slots=True)
class MixEntry:
    """Recent arrivals of one request class that are either within or over their tenants' quotas."""

    work: float = 0.0  # Exponentially decaying sum of the work of the requests
    requests: float = 0.0  # Exponentially decaying number of requests
    weight: float = 0.0  # Priority weight of one request, or of one unit of work


class LoadShedder:
    """The shed probability, and the mix of recent arrivals among which the shed requests are chosen.

    A tenant's quota applies to the whole fleet, while one sidecar sees only a part of the tenant's requests.
    Therefore the tenant's share of this sidecar's arrivals is compared with its share of all quotas.
    """

    __slots__ = (
        "weight_by_work",
        "_probability",
        "_mix",
        "over_quota_weight",
        "quotas",
        "_arrivals_by_tenant",
        "_arrivals",
        "_updated_at",
        "worst_class",
    )

    def __init__(self, settings: Settings) -> None:
        """Create the component with a shed probability of 0."""
        self._arrivals_by_tenant = [0.0] * len(settings.allowances)
        self._arrivals = 0.0
        # Recent arrivals by request class and by whether they are over the quota of their tenant.
        self._mix: dict[tuple[int, bool], MixEntry] = {}
        self._probability = 0.0
        self._updated_at = 0.0
        self.reload(settings, ())

    def reload(self, settings: Settings, retained: Collection[int]) -> None:
        """Apply new settings and forget the arrivals of request classes that are not `retained`."""
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
        """The request classes of the recent arrivals."""
        return {request_class for request_class, _ in self._mix}

    def count_arrival(
        self, request_class: int, weight: float, work: float, tenant: int, chance: float
    ) -> bool:
        """Count an arrival; return whether it counts as over its tenant's quota.

        `chance` is a random number from 0 to 1 that decides which of the tenant's requests are over the
        quota.
        """
        over = False
        self._arrivals = self._arrivals * MIX_MEMORY + 1.0
        if tenant < len(self.quotas):
            self._arrivals_by_tenant = [arrivals * MIX_MEMORY for arrivals in self._arrivals_by_tenant]
            self._arrivals_by_tenant[tenant] += 1.0
            within_share = self.quotas[tenant] * self._arrivals / self._arrivals_by_tenant[tenant]
            over = self._arrivals >= MIN_QUOTA_ARRIVALS and chance > within_share
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
        """Update the shed probability by a signal of overload: 1 for a rejection, 0 for an answer in time."""
        self._probability = min(1.0, self.probability(now) + SHED_GAIN * overload)
        self._updated_at = now

    def probability(self, now: float) -> float:
        """Return the shed probability, which is the share of the work that should be refused, from 0 to 1."""
        return self._probability * math.exp((self._updated_at - now) / SHED_FADE_MS)

    def class_refusal_probability(
        self, now: float, throttled: float, request_class: int, *, over_quota: bool
    ) -> float:
        """Return the probability of refusing a request of a class that is within or over its tenant's quota.

        Altogether the share `throttled` of the work is refused, or the share that the shed probability
        demands if that is larger. Requests over their tenants' quotas are refused first, then requests of the
        classes with the lowest priority weight per unit of work, evenly among these classes. The number of
        such classes minimizes the loss for the goal, which counts the worst class separately from the total
        lost weight.
        """
        refused_share = max(throttled, self.probability(now) - SHED_THRESHOLD)
        if refused_share <= 0.0:
            return 0.0
        weights = self._weights()
        excess_work = refused_share * sum(entry.work for entry in self._mix.values())
        kinds = sorted((not k[1], weights[k] / entry.work, k[0]) for k, entry in self._mix.items())
        for within, _, class_over_quota in kinds:
            if within:
                break
            work = self._mix[class_over_quota, True].work
            if class_over_quota == request_class and over_quota:
                return excess_work / work
            excess_work -= work
            if excess_work <= 0.0:
                return 0.0
        classes = [class_within for within, _, class_within in kinds if within]
        return self._probability_within_quota(
            excess_work, classes, weights, -1 if over_quota else request_class
        )

    def _weights(self) -> dict[tuple[int, bool], float]:
        """Return the priority weight of the recent arrivals, by class and by whether they are over quota."""
        return {
            kind: entry.weight
            * (entry.work if self.weight_by_work else entry.requests)
            * (self.over_quota_weight if kind[1] else 1.0)
            for kind, entry in self._mix.items()
        }

    def _probability_within_quota(
        self,
        excess_work: float,
        classes: list[int],
        weights: dict[tuple[int, bool], float],
        request_class: int,
    ) -> float:
        """Return the probability of refusing a request of a class that is within its tenant's quota.

        The work `excess_work` is refused evenly from the first few of `classes`, which are in the order of
        their priority weight per unit of work.
        """
        probability, lowest_cost, covered_work, lost_weight = 0.0, math.inf, 0.0, 0.0
        all_weights = sum(weights.values()) or 1.0  # Avoids a division by 0 if no request has a weight
        included = False
        for refused_class in classes:
            covered_work += self._mix[refused_class, False].work
            lost_weight += weights[refused_class, False]
            included = included or refused_class == request_class
            refused_share = excess_work / covered_work
            cost = refused_share * ((1.0 - self.worst_class) * lost_weight / all_weights + self.worst_class)
            if cost < lowest_cost and (refused_share <= 1.0 or refused_class == classes[-1]):
                lowest_cost, probability = cost, refused_share if included else 0.0
        return probability
