"""What an experiment on revisions is made of: TOML to typed values."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal, TypeGuard, get_args

import msgspec

from brassfall.settings import SettingsError, read_toml

KIND = "editions"
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Few = Annotated[int, msgspec.Meta(ge=2, le=64)]
Seconds = Annotated[float, msgspec.Meta(ge=0.0, le=3600.0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]

Publish = Literal["hold", "free", "objected", "two", "ten", "pin"]  # pin: a tenant, by an override
Fault = Literal[
    "kill",  # of the service
    "kills",  # several in a row
    "lost-disk",
    "old-copy",  # of the disk
    "second",  # a second service on a copy, and half of the sidecars there
    "stop",  # of sidecars, SIGSTOP
    "crash",  # of sidecars, SIGKILL, and new processes
    "roll",  # SIGTERM to all, one after the other
    "cut-reports",  # on their way to the service
    "cut-answers",  # to reports
    "cut-editions",  # the watch of revisions; reports pass, the watch does not
    "cut-lists",
    "cut-off",  # from the service, in all ways
    "slow-service",  # too slow to be of use
    "slow-links",  # to the servers of one region
    "lost-answers",  # of the servers of one region: each third, and its connection
]
TierFault = Literal[
    "aggregator-kill",  # SIGKILL, and a new process
    "aggregator-leave",  # SIGTERM, and a new process
    "aggregator-stop",  # SIGSTOP, SIGCONT
    "aggregator-twin",  # a new process of its name, and the old one goes on beside it
    "aggregator-cut-reports",  # on their way to the service; watches pass
    "aggregator-cut-answers",  # of the service to it, all of them
    "aggregator-cut-off",  # from the service, in all ways
    "aggregator-cut-children",  # its children's calls, and its answers
]
TIER_FAULTS: tuple[TierFault, ...] = get_args(TierFault)


def is_tier_fault(name: str) -> TypeGuard[TierFault]:
    """Return whether a step is a fault of an aggregator."""
    return name in TIER_FAULTS


class Step(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"action": "do", "targets": "who", "duration_s": "lasts", "value": "by"},
):
    """A publish or a fault at a time of the play; the file has shorter keys."""

    at: Seconds
    action: Publish | Fault | TierFault
    targets: list[int] = []  # sidecars; of a fault of the tier: aggregators
    duration_s: Seconds = 0.0
    value: float = 0.0  # a figure that the step needs: a delay in s, a place among regions


class Experiment(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The file. Spans in seconds where no unit is named."""

    kind: Literal["editions"]
    mode: Literal["real"] = "real"
    schedules: Count = 1
    first_seed: int = 1
    side_by_side: Count = 3
    seconds: Annotated[float, msgspec.Meta(ge=12.0, le=3600.0)] = 32.0
    sidecars: Few = 8
    servers: Few = 6
    aggregators: Annotated[int, msgspec.Meta(ge=0, le=16)] = 0  # between sidecars and service; 0: no tier
    direct: Annotated[int, msgspec.Meta(ge=0, le=64)] = 0  # sidecars that report to the service all the same
    regions: Annotated[list[Name], msgspec.Meta(min_length=2)] = msgspec.field(
        default_factory=lambda: ["a", "b", "c"]
    )
    delay_ms: list[float] = msgspec.field(default_factory=lambda: [2.0, 8.0, 20.0])  # one way, by region
    rate: Annotated[float, msgspec.Meta(gt=0.0, le=1000.0)] = 12.0  # requests a second to each sidecar
    agree_ms: Annotated[float, msgspec.Meta(ge=1000.0, le=60_000.0)] = 3000.0
    faults: Annotated[int, msgspec.Meta(ge=0, le=100)] = 4
    exclusive: bool = True  # judge held regions
    steps: list[Step] = []  # in place of those sampled by seed


def is_one(path: Path) -> bool:
    """Return whether a file is such an experiment.

    Raises `SettingsError` if it can't be read.
    """
    return read_toml(path).get("kind") == KIND


def load(path: Path) -> Experiment:
    """Read a file; `SettingsError` says what is wrong with it."""
    try:
        experiment = msgspec.convert(read_toml(path), Experiment)
    except msgspec.ValidationError as error:
        raise SettingsError(str(path), str(error)) from error
    if len(experiment.delay_ms) != len(experiment.regions):
        where, reason = f"{path}: delay_ms", f"{len(experiment.regions)} figures are wanted, one a region"
        raise SettingsError(where, reason)
    for step in experiment.steps:
        known, kind = experiment.sidecars, "sidecar"
        if is_tier_fault(step.action):
            known, kind = experiment.aggregators, "aggregator"
        if any(not 0 <= number < known for number in step.targets):
            where, reason = f"{path}: steps", f"{step.action} at {step.at:g} s names no {kind}"
            raise SettingsError(where, reason)
    return experiment
