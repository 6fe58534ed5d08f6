"""Experiment files: TOML to immutable typed values. Every error names file, key and reason.

The defaults are those of the operators' brief for their largest site. Keys that read badly have another
name in the code: `field(name=...)` gives the key.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec

from brassfall.lab.quantities import Ms, Rate, Span, Spread, read
from brassfall.settings import SettingsError, read_toml

Part = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Some = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
MAX_LASTS_MS = 86_400_000.0
MAX_RATE = 1e6  # requests/s
MAX_LOAD_SHARE = 20.0  # of what the fleet can do
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A table of an experiment file."""


class Kind(Table, frozen=True, kw_only=True):
    """One kind of machine."""

    name: Name
    share: Part
    cores: Some = 4
    speed: Spread = Spread((0.85, 1.1))  # work of a standard core that each core does in its time
    slots_per_core: Spread = Spread((2.0, 6.0))  # requests that run at once
    queue_per_core: Spread = Spread((1.0, 4.0))  # requests that wait; more are rejected
    warmup_start: Spread = msgspec.field(
        name="cold_from", default=Spread((0.12, 0.35))
    )  # part of its capacity after a start
    warmup: Span = msgspec.field(
        name="cold", default=Span((10_000.0, 22_000.0))
    )  # until it has all of its capacity
    error_rate: Spread = Spread((0.0, 0.002))


class OverloadSettings(Table, frozen=True, kw_only=True):
    """When an overloaded server becomes slow, and for how long."""

    servers: Part = 0.6  # of days; 0 for never
    in_flight_per_core: Spread = msgspec.field(name="held_per_core", default=Spread((4.0, 7.0)))
    after: Span = Span((1500.0, 2500.0))
    slower: Spread = Spread((2.2, 3.4))
    rest_below: Spread = Spread((0.25, 0.4))  # in flight per core: mostly idle
    rest: Span = Span((2700.0, 4700.0))
    most: Span = Span((16_000.0, 34_000.0))


class Report(Table, frozen=True, kw_only=True):
    """The load reports in answers."""

    every: Span = Span((460.0, 1200.0))
    late: Span = Span((100.0, 490.0))
    noise: Spread = Spread((0.0072, 0.072))


class Connections(Table, frozen=True, kw_only=True):
    """What connections between sidecars and servers cost."""

    handshake: Span = Span((2.2, 4.0))  # work of the server
    round_trips: Spread = Spread((1.0, 2.0))
    per_core: Spread = Spread((600.0, 900.0))
    full_tax: Spread = Spread((0.17, 0.39))  # of the capacity, when the table is full
    idle: Ms = Ms(60_000.0)
    timeout: Ms = Ms(200.0)


class Fleet(Table, frozen=True, kw_only=True):
    """The servers, the sidecars, and how they behave."""

    sidecars: Some = 4
    servers: Some = 12
    zones: list[Name] = msgspec.field(default_factory=lambda: ["rennes", "brest"])
    kinds: list[Kind] = msgspec.field(
        default_factory=lambda: [
            Kind(name="fast-box", share=0.52, speed=Spread((1.3, 1.7)), queue_per_core=Spread((1.1, 3.5))),
            Kind(name="std-box", share=0.48),
        ]
    )
    overload: OverloadSettings = msgspec.field(name="crowding", default=OverloadSettings())
    report: Report = Report()
    connections: Connections = Connections()
    fall_multiple: float = 4.0  # of its present capacity: so much makes a server that warms up collapse
    fall_after: Ms = Ms(2000.0)


class Network(Table, frozen=True, kw_only=True):
    """Delays one way."""

    same: Span = Span((0.2, 0.34))
    cross: Span = Span((0.42, 0.78))
    client: Span = Span((0.03, 0.08))
    jitter: Spread = Spread((0.13, 0.33))


class Group(Table, frozen=True, kw_only=True):
    """The applications of one site."""

    name: Name
    zone: Name  # where their sidecars stand
    delays: dict[str, Span]  # one way, to the servers of each zone


class Change(Table, frozen=True, kw_only=True):
    """From a time on a group has other delays to some zones."""

    at: Ms
    group: Name
    delays: dict[str, Span]


class Geography(Table, frozen=True, kw_only=True):
    """How far each group of applications is from each zone, in place of `network.same` and `cross`."""

    groups: list[Group]
    changes: list[Change] = []
    lag: Ms = Ms(3000.0)  # until a plan by the true delays follows a change
    fill: Part = 0.65  # of a zone's capacity, that such a plan may use
    min_spread: Part = msgspec.field(
        name="floor", default=0.02
    )  # of every group, that it leaves to each zone


class Clients(Table, frozen=True, kw_only=True):
    """How applications behave."""

    retries: Spread = Spread((2.0, 3.99))
    try_share: Spread = Spread((0.5, 0.6))  # of a class's time, after which a try is given up
    backoff: Span = Span((0.0, 160.0))
    honour: Spread = Spread((0.33, 0.71))  # chance that Retry-After is followed
    uneven: Spread = Spread((0.3, 0.8))  # how far the load of applications differs (cv)
    zone_skew: Spread = Spread((0.15, 0.45))


class RequestClass(Table, frozen=True, kw_only=True):
    """One class of requests."""

    name: Name
    share: Part
    work: Span
    wanted: Ms
    deadline: Ms
    weight: Annotated[float, msgspec.Meta(gt=0.0)] = msgspec.field(name="worth")
    effect: Literal["safe", "keyed", "unsafe"]
    key_ttl: Ms = msgspec.field(name="key_life", default=Ms(0.0))
    cv: Spread = Spread((0.75, 1.5))  # of its work
    noise: Spread = Spread((0.1, 0.56))  # of the work from one attempt to the next


def _class(
    name: str, share: float, work: tuple[float, float], times: tuple[float, float], **more: Any
) -> RequestClass:
    return RequestClass(
        name=name, share=share, work=Span(work), wanted=Ms(times[0]), deadline=Ms(times[1]), **more
    )


CLASSES = (
    _class("get-transcript", 0.31, (61.0, 110.0), (400.0, 1200.0), weight=2.0, effect="safe"),
    _class("save-correction", 0.27, (65.0, 120.0), (400.0, 1000.0), weight=2.0, effect="safe"),
    _class("send-notice", 0.27, (110.0, 210.0), (800.0, 2500.0), weight=10.0, effect="unsafe"),
    _class(
        "new-message", 0.15, (120.0, 210.0), (600.0, 1200.0), weight=8.0, effect="keyed", key_ttl=Ms(750.0)
    ),
)


class Step(Table, frozen=True, kw_only=True):
    """From a time on the load is so many times the usual."""

    at: Ms
    times: Annotated[float, msgspec.Meta(ge=0.0)]


class Burst(Table, frozen=True, kw_only=True):
    """For a time the load is so many times the usual."""

    at: Ms
    lasts: Ms = msgspec.field(name="for")
    times: Annotated[float, msgspec.Meta(ge=0.0)]


class Wander(Table, frozen=True, kw_only=True):
    """The load varies at random between these multiples of the usual."""

    between: Spread = Spread((0.9, 1.1))
    every: Ms = Ms(4000.0)


class Load(Table, frozen=True, kw_only=True):
    """How much applications ask for."""

    share: Spread | None = None  # of what the fleet can do
    rate: Rate | None = None
    swing: Spread = Spread((0.0, 0.0))  # a wave of this height
    wave: Ms = Ms(20_000.0)
    steps: list[Step] = []
    bursts: list[Burst] = []
    wander: Wander | None = None
    replay: str | None = None  # an arrivals file, beside the experiment


class ListService(Table, frozen=True, kw_only=True):
    """The list service."""

    ttl: Ms = Ms(6000.0)
    delay: Span = Span((1.0, 3.0))  # of a call to it and of its messages


class Fault(Table, frozen=True, kw_only=True):
    """One fault at a stated time."""

    kind: str
    at: Span
    lasts: Span = msgspec.field(name="for", default=Span((0.0, 0.0)))
    part: Spread | None = None  # of the servers, or of the sidecars
    servers: list[str] | None = None
    zone: str | None = None
    size: Spread | None = None
    batch: Spread = Spread((0.05, 0.18))  # of a release: share of the fleet at a time
    drain: Span = Span((2900.0, 5700.0))  # of a release: what an old server has to finish
    swing: Span = Span((1900.0, 4500.0))  # of a neighbour: so long on, and so long off
    disk: Literal["kept", "lost"] = "kept"


BRIEF: dict[str, dict[str, Any]] = {
    "registry-down": {"lasts": Span((7100.0, 24_000.0))},
    "kill": {"lasts": Span((8500.0, 25_000.0)), "part": Spread((0.053, 0.24))},
    "slow": {
        "lasts": Span((14_000.0, 29_000.0)),
        "part": Spread((0.056, 0.25)),
        "size": Spread((3.8, 9.4)),
    },
    "neighbour": {
        "lasts": Span((17_000.0, 39_000.0)),
        "part": Spread((0.16, 0.42)),
        "size": Spread((0.31, 0.65)),
    },
    "release": {"lasts": Span((21_000.0, 39_000.0)), "part": Spread((0.61, 0.98))},
}


class SampledFaults(Table, frozen=True, kw_only=True):
    """Faults sampled by the seed, with the values of the operators' brief."""

    count: Spread = Spread((2.0, 4.0))
    kinds: list[str] = msgspec.field(default_factory=lambda: list(BRIEF))


class Measure(Table, frozen=True, kw_only=True):
    """A span of time, for all classes or one, whose service is reported separately."""

    name: Name
    begin: Ms = msgspec.field(name="from", default=Ms(0.0))
    end: Ms = msgspec.field(name="to")
    cls: str | None = msgspec.field(name="class", default=None)


class Hold(Table, frozen=True, kw_only=True):
    """A zone that sidecars are steered away from for a time."""

    zone: Name
    begin: Ms = msgspec.field(name="from")
    end: Ms = msgspec.field(name="to")


class Version(Table, frozen=True, kw_only=True):
    """One of the versions to compare: a revision, other settings, an injected defect, or other steering."""

    name: Name
    revision: str | None = None
    settings: dict[str, Any] = {}  # laid over the settings of the site
    defect: str | None = msgspec.field(name="flaw", default=None)
    steer: Literal["off", "true", "fixed"] = "off"  # by the true delays, or by the shares given here
    shares: dict[str, dict[str, float]] = {}  # by group and zone
    look: Part = 0.0
    holds: list[Hold] = []


class Head(Table, frozen=True, kw_only=True):
    """What is played."""

    name: Annotated[str, msgspec.Meta(pattern=r"^[^\r\n]{1,120}$")]
    mode: Literal["simulated", "real"]
    lasts: Ms = msgspec.field(name="for")
    repeats: Some = 1
    first_seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    workers: Annotated[int, msgspec.Meta(ge=0)] = 0  # plays at the same time; 0 for one each core
    compiled: bool = False  # a simulated one in machine code, with the same results


class Experiment(Table, frozen=True, kw_only=True):
    """A complete file."""

    head: Head = msgspec.field(name="experiment")
    load: Load
    fleet: Fleet = Fleet()
    network: Network = Network()
    geography: Geography | None = None
    clients: Clients = Clients()
    lists: ListService = ListService()
    classes: list[RequestClass] = msgspec.field(default_factory=lambda: list(CLASSES))
    faults: list[Fault] = []
    sampled_faults: SampledFaults | None = msgspec.field(name="drawn", default=None)
    measure: list[Measure] = []
    versions: list[Version] = msgspec.field(default_factory=lambda: [Version(name="now")])


# What each fault needs beside its time: its targets, how long it lasts, and its size.
SERVERS, ZONE, LENGTH, SIZE, ANYONE = "servers", "zone", "for", "size", "sidecars"
NEEDS: dict[str, tuple[str, ...]] = {
    "kill": (SERVERS, LENGTH),
    "stop": (SERVERS, LENGTH),
    "slow": (SERVERS, LENGTH, SIZE),
    "neighbour": (SERVERS, LENGTH, SIZE),
    "errors": (SERVERS, LENGTH, SIZE),
    "release": (SERVERS, LENGTH),
    "reset": (SERVERS,),
    "black-hole": (SERVERS, LENGTH),
    "lose-answers": (SERVERS, LENGTH),
    "slow-link": (SERVERS, LENGTH, SIZE),
    "cut": (ZONE, LENGTH),
    "registry-down": (LENGTH,),
    "sidecar-kill": (ANYONE, LENGTH),
}


def is_experiment(path: Path) -> bool:
    """Whether a file has the table that only experiments have; `SettingsError` if it can't be read."""
    return "experiment" in read_toml(path)


def load(path: Path) -> Experiment:
    """Read a file; `SettingsError` says what is wrong with it, and where."""
    raw = read_toml(path)
    try:
        return check(msgspec.convert(raw, Experiment, strict=True, dec_hook=read))
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(str(path), str(error)) from error


def check(experiment: Experiment) -> Experiment:
    """The same experiment, if its values make sense together; `ValueError` names the first that does not."""
    _check_head(experiment.head)
    _check_load(experiment.load)
    _check_shares(experiment)
    _check_names(experiment)
    _check_geography(experiment)
    for number, version in enumerate(experiment.versions):
        _check_steering(f"versions[{number}]", version, experiment)
    for number, measure in enumerate(experiment.measure):
        _check_measure(f"measure[{number}]", measure, experiment)
    for number, fault in enumerate(experiment.faults):
        _check_fault(f"faults[{number}]", fault, experiment)
    for kind in experiment.sampled_faults.kinds if experiment.sampled_faults is not None else ():
        if kind not in BRIEF:
            raise ValueError(f"drawn.kinds: {kind!r} is none of {', '.join(BRIEF)}")
    return experiment


def _check_head(head: Head) -> None:
    if head.lasts <= 0.0:
        raise ValueError("experiment.for: nothing is played in no time")
    if head.lasts > MAX_LASTS_MS:
        raise ValueError("experiment.for: a day is the most")


def _check_load(load: Load) -> None:
    if (load.share is None) + (load.rate is None) + (load.replay is None) != 2:
        raise ValueError("load: one of share, rate and replay is wanted")
    if load.rate is not None and load.rate > MAX_RATE:
        raise ValueError(f"load.rate: {load.rate:g} a second is out of range")
    if load.share is not None and not 0.0 < load.share[1] <= MAX_LOAD_SHARE:
        raise ValueError(f"load.share: {load.share[1]:g} is not above 0 and up to 20")


def _check_shares(experiment: Experiment) -> None:
    for part, rows in (("fleet.kinds", experiment.fleet.kinds), ("classes", experiment.classes)):
        total = sum(row.share for row in rows)
        if not 0.99 <= total <= 1.01:
            raise ValueError(f"{part}: the shares sum to {total:g}, not to 1")


def _check_names(experiment: Experiment) -> None:
    for part, names in (
        ("fleet.zones", experiment.fleet.zones),
        ("fleet.kinds", [kind.name for kind in experiment.fleet.kinds]),
        ("classes", [row.name for row in experiment.classes]),
        ("versions", [version.name for version in experiment.versions]),
        ("measure", ["all", *(measure.name for measure in experiment.measure)]),
    ):
        if not names or len(set(names)) != len(names):
            raise ValueError(f"{part}: names are wanted, each once")


def _check_geography(experiment: Experiment) -> None:
    zones, geography = set(experiment.fleet.zones), experiment.geography
    if geography is None:
        return
    groups = [group.name for group in geography.groups]
    if not groups or len(set(groups)) != len(groups):
        raise ValueError("geography.groups: names are wanted, each once")
    for number, group in enumerate(geography.groups):
        if group.zone not in zones or set(group.delays) != zones:
            raise ValueError(
                f"geography.groups[{number}]: a zone and delays to {', '.join(zones)} are wanted"
            )
    if experiment.head.mode == "real" and {group.zone for group in geography.groups} != zones:
        raise ValueError("geography.groups: in real mode a group stands in each zone")
    for number, change in enumerate(geography.changes):
        if change.group not in groups or not set(change.delays) <= zones or change.at <= 0.0:
            raise ValueError(f"geography.changes[{number}]: a time, a group and delays to zones are wanted")


def _check_steering(at: str, version: Version, experiment: Experiment) -> None:
    geography = experiment.geography
    groups = {group.name for group in geography.groups} if geography is not None else set()
    if version.steer != "off" or version.holds:
        is_possible = geography is not None and experiment.head.mode != "real" and version.revision is None
        if not is_possible:
            raise ValueError(f"{at}: steered are simulated plays of this program that have a geography")
    named = {zone for row in version.shares.values() for zone in row} | {h.zone for h in version.holds}
    if not named <= set(experiment.fleet.zones) or not set(version.shares) <= groups:
        raise ValueError(f"{at}: shares and holds name groups and zones that there are")


def _check_measure(at: str, measure: Measure, experiment: Experiment) -> None:
    if not measure.begin < measure.end <= experiment.head.lasts:
        lasts = experiment.head.lasts / 1000.0
        raise ValueError(f"{at}: from and to are no span within the {lasts:g} s played")
    if measure.cls not in (None, *(row.name for row in experiment.classes)):
        raise ValueError(f"{at}.class: {measure.cls!r} is none of the classes")


def _check_fault(at: str, fault: Fault, experiment: Experiment) -> None:
    needs = NEEDS.get(fault.kind)
    if needs is None:
        raise ValueError(f"{at}.kind: {fault.kind!r} is none of {', '.join(NEEDS)}")
    if fault.at[1] >= experiment.head.lasts:
        begin_s, end_s = fault.at[1] / 1000.0, experiment.head.lasts / 1000.0
        raise ValueError(f"{at}.at: {begin_s:g} s is after the end, {end_s:g} s")
    _check_targets(at, fault, needs)
    _check_places(at, fault, needs, experiment.fleet)
    if LENGTH in needs and fault.lasts[0] <= 0.0:
        raise ValueError(f"{at}.for: {fault.kind} wants to last for some time")
    if SIZE in needs and fault.size is None:
        raise ValueError(f"{at}.size: {fault.kind} wants a size")
    known = {f"s{number}" for number in range(experiment.fleet.servers)}
    for name in fault.servers or ():
        if name not in known:
            raise ValueError(f"{at}.servers: {name!r} is not between s0 and s{experiment.fleet.servers - 1}")


def _check_targets(at: str, fault: Fault, needs: tuple[str, ...]) -> None:
    named = [part for part in (fault.part, fault.servers, fault.zone) if part is not None]
    if SERVERS in needs and len(named) != 1:
        raise ValueError(f"{at}: {fault.kind} wants one of part, servers and zone")
    if ANYONE in needs and fault.part is None:
        raise ValueError(f"{at}.part: {fault.kind} wants the part of the sidecars that it strikes")
    if fault.part is not None and fault.part[1] > 1.0:
        raise ValueError(f"{at}.part: {fault.part[1]:g} is more than all, 1.0")


def _check_places(at: str, fault: Fault, needs: tuple[str, ...], fleet: Fleet) -> None:
    if fault.zone is not None and fault.zone not in fleet.zones:
        raise ValueError(f"{at}.zone: {fault.zone!r} is none of {', '.join(fleet.zones)}")
    if ZONE in needs and fault.zone is None:
        raise ValueError(f"{at}.zone: {fault.kind} wants the zone that it strikes")
