"""What is published and what breaks, when: sampled by seed. Pure."""

from __future__ import annotations

import random
from typing import get_args

from brassfall.lab.revision_chaos.spec import (
    TIER_FAULTS,
    Experiment,
    Fault,
    Publish,
    Step,
    TierFault,
    is_tier_fault,
)

SETTLED_S = 8.5  # a service that starts permits nothing for 5.5 s; then the first revision takes effect
REST_S = 3.5  # at the end nothing new breaks
EVERY_S = (0.6, 2.4)  # between publishes
MEETS_S = 0.8  # a fault begins at most so long after a revision was published
TIER_SHARE = 3  # each fault of the tier is as likely as so many others
PUBLISHES: tuple[Publish, ...] = ("hold", "hold", "hold", "free", "free", "objected", "two", "ten")


def sample(experiment: Experiment, seed: int) -> list[Step]:
    """Return the steps of one schedule, in order of time."""
    if experiment.steps:
        return sorted(experiment.steps, key=lambda step: step.at)
    rng = random.Random(seed * 1_000_003 + 17)
    steps = [*_publishes(experiment, rng), *_pins(experiment, rng)]
    kinds: list[Fault | TierFault] = list(get_args(Fault))
    if experiment.aggregators:
        kinds += TIER_FAULTS * TIER_SHARE
    rng.shuffle(kinds)
    room = experiment.seconds - SETTLED_S - REST_S
    for number in range(experiment.faults):
        at = SETTLED_S + room * (number + rng.random()) / experiment.faults
        fault = _fault(experiment, rng, kinds[number % len(kinds)], at)
        steps.append(fault)
        if at > SETTLED_S + MEETS_S:
            steps.append(_hold(experiment, rng, at - rng.uniform(0.01, MEETS_S)))
    return sorted(steps, key=lambda step: step.at)


def _hold(experiment: Experiment, rng: random.Random, at: float) -> Step:
    """Return a step that holds one region, or none."""
    return Step(at=at, action="hold", value=float(rng.randrange(-1, len(experiment.regions))))


def _publishes(experiment: Experiment, rng: random.Random) -> list[Step]:
    steps, at = [], 0.2
    while at < experiment.seconds - REST_S / 2.0:
        kind: Publish = rng.choice(PUBLISHES) if at > SETTLED_S else "hold"
        value = float(rng.randrange(-1, len(experiment.regions)))
        steps.append(Step(at=at, action=kind, value=value))
        at += rng.uniform(*EVERY_S) + (2.0 if at < SETTLED_S else 0.0)
    return steps


def _pins(experiment: Experiment, rng: random.Random) -> list[Step]:
    """Return overrides in turn; some are extended before their end."""
    steps, at = [], SETTLED_S + rng.uniform(0.0, 2.0)
    while (duration_s := rng.uniform(2.0, 7.0)) + at < experiment.seconds - 1.0:
        value = float(rng.randrange(1, len(experiment.regions)))
        steps.append(Step(at=at, action="pin", duration_s=duration_s, value=value))
        at += duration_s + rng.uniform(1.5, 4.0)
    return steps


def _tier_fault(experiment: Experiment, rng: random.Random, kind: TierFault, at: float) -> Step:
    """Return a fault of one aggregator, or of all."""
    left = experiment.seconds - at - 1.0
    targets = (
        [rng.randrange(experiment.aggregators)] if rng.random() < 0.8 else list(range(experiment.aggregators))
    )
    if kind in ("aggregator-kill", "aggregator-leave"):
        duration_s = rng.choice((0.0, rng.uniform(0.2, 2.0), rng.uniform(2.0, 8.0)))
    else:
        duration_s = rng.uniform(2.0, 10.0)
    return Step(at=at, action=kind, targets=targets, duration_s=min(left, duration_s))


def _link_fault(experiment: Experiment, rng: random.Random, kind: Fault, at: float) -> Step:
    """Return a fault of the links to the servers of one region."""
    left = experiment.seconds - at - 1.0
    duration_s, value = min(left, rng.uniform(3.0, 9.0)), 0.15 if kind == "slow-links" else 0.0
    return Step(
        at=at,
        action=kind,
        targets=[rng.randrange(len(experiment.regions))],
        duration_s=duration_s,
        value=value,
    )


def _service_fault(experiment: Experiment, rng: random.Random, kind: Fault, at: float) -> Step:
    """Return a restart of the service, or several in a row."""
    if kind == "kills":
        return Step(at=at, action=kind, duration_s=0.25, value=float(rng.randint(2, 4)))
    left = experiment.seconds - at - 1.0
    return Step(at=at, action=kind, duration_s=min(left, rng.choice((0.0, 0.0, rng.uniform(0.2, 4.0)))))


def _fault(experiment: Experiment, rng: random.Random, kind: Fault | TierFault, at: float) -> Step:
    if is_tier_fault(kind):
        return _tier_fault(experiment, rng, kind, at)
    left = experiment.seconds - at - 1.0
    targets = sorted(rng.sample(range(experiment.sidecars), rng.randint(1, max(1, experiment.sidecars // 2))))
    match kind:
        case "kills" | "kill" | "lost-disk" | "old-copy":
            return _service_fault(experiment, rng, kind, at)
        case "second":
            half = sorted(rng.sample(range(experiment.sidecars), experiment.sidecars // 2))
            return Step(at=at, action=kind, targets=half, duration_s=min(left, rng.uniform(4.0, 12.0)))
        case "stop":
            return Step(at=at, action=kind, targets=targets, duration_s=min(left, rng.uniform(2.0, 10.0)))
        case "crash":
            return Step(at=at, action=kind, targets=targets, duration_s=rng.uniform(0.0, 2.0))
        case "roll":
            return Step(at=at, action=kind, targets=list(range(experiment.sidecars)))
        case "slow-service":
            return Step(
                at=at, action=kind, duration_s=min(left, rng.uniform(3.0, 9.0)), value=rng.uniform(0.4, 4.0)
            )
        case "slow-links" | "lost-answers":
            return _link_fault(experiment, rng, kind, at)
    targets = list(range(experiment.sidecars)) if rng.random() < 0.3 else targets
    return Step(at=at, action=kind, targets=targets, duration_s=min(left, rng.uniform(2.0, 9.0)))
