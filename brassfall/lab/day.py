"""One day, sampled from an experiment by a seed: the fleet, the load and the faults. Pure code.

All plays of a day, simulated or real and of whatever version, have the same fleet, load and faults. Times
are ms, work is ms of a standard core. Sums and functions whose last digits depend on the processor or on the
numeric library are taken from `math`, since a last digit can change the course of a day.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

import numpy as np

from brassfall.errors import UsageError
from brassfall.lab import geography
from brassfall.lab.quantities import Span
from brassfall.lab.spec import ANYONE, BRIEF, NEEDS, SERVERS, Experiment, Fault, Kind, RequestClass

GRID_MS = 100.0  # the load is constant for so long
GOLDEN_PART = 0.6180339887  # spreads kinds of servers evenly over their numbers
MIN_WORK = 0.1

Floats = np.ndarray[Any, np.dtype[np.float64]]
Integers = np.ndarray[Any, np.dtype[np.int64]]


@dataclass(frozen=True, slots=True)
class Overload:
    """When a server becomes overloaded, and how that ends."""

    in_flight: float  # requests, from which it is overloaded
    after: float  # ms with so many
    slower: float  # how many times
    rest_below: float  # requests in flight, for it to recover
    rest: float  # ms with so few
    most: float  # ms after which it recovers in any case


@dataclass(frozen=True, slots=True)
class Machine:
    """One server as it is; sidecars know only what they can measure."""

    name: str
    zone: int
    kind: int  # index of the experiment's kinds
    cores: int
    speed: float  # work that each core does in a ms
    slots: int  # requests that run at once
    queue: int  # requests that wait
    warmup_start: float  # the part of its capacity that it has after a start
    warmup_ms: float  # until it has all of it
    error_rate: float
    report_every: float  # ms between samples of its load
    report_late: float  # ms until a sample is reported
    report_noise: float  # relative
    handshake: float  # work of a new connection
    round_trips: float  # of a new connection
    connections: int  # at most
    full_tax: float  # the part of its capacity that as many connections cost
    fall_multiple: float  # times its present capacity: so much work makes it collapse while it warms up
    fall_after: float  # ms in which that work counts
    overload: Overload | None  # None: it is never overloaded
    seed: int

    @property
    def capacity(self) -> float:
        """The work that it does in a ms once it has warmed up."""
        return self.cores * self.speed


@dataclass(frozen=True, slots=True)
class Application:
    """One application and the sidecar beside it."""

    name: str
    zone: int
    group: int
    share: float  # of all requests
    client_ms: float  # one way between application and sidecar
    seed: int


@dataclass(frozen=True, slots=True)
class NetworkDelays:
    """Delays one way from groups of sidecars to zones, and the zone in which each group is."""

    between: geography.Delays
    jitter: float  # at most, as a part of the delay
    homes: tuple[int, ...]  # zone by group


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """How clients behave on this day."""

    retries: int  # at most
    try_share: float  # of a class's deadline, after which a call is given up
    backoff: float  # ms before a retry
    honour: float  # the probability that Retry-After is followed


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault with its targets named. Times are ms from the start; see `spec.Fault` for its fields."""

    kind: str
    at: float
    until: float
    targets: tuple[str, ...] = ()  # names of servers or sidecars
    size: float = 0.0
    zone: int = -1
    batch: int = 1  # servers
    drain: float = 0.0
    swing: float = 0.0
    disk: str = "kept"


@dataclass(frozen=True, slots=True)
class Arrivals:
    """The requests of all applications in order of time; each array is a column (requests,)."""

    at: Floats  # ms from the start
    app: Integers  # index of the application
    cls: Integers  # index of the class
    work: Floats


@dataclass(frozen=True, slots=True)
class Day:
    """Everything that a play depends on."""

    seed: int
    lasts: float
    servers: tuple[Machine, ...]
    apps: tuple[Application, ...]
    classes: tuple[RequestClass, ...]
    noise: tuple[float, ...]  # by class
    delays: NetworkDelays
    routes: tuple[geography.Route, ...]  # the first has `delays.between`
    client_behaviour: ClientBehaviour
    faults: tuple[ScheduledFault, ...]
    arrivals: Arrivals
    list_delay: tuple[float, float]  # least and most, of a call to the list service
    ttl: float  # of a registration


class DayError(UsageError):
    """An experiment whose day can't be sampled; its text is one line."""

    action = "Mend the experiment there, or the arrivals file that it names."


def sample_day(
    experiment: Experiment, seed: int, recorded: Sequence[tuple[float, str, int, float]] = ()
) -> Day:
    """The day of a seed; `recorded` has the rows of an arrivals file. `DayError` if they don't fit."""
    # Each part has a random source of its own, so that a change to one part leaves the others the same.
    fleet, load, chance, clients = (np.random.default_rng([seed, part]) for part in range(4))
    servers = tuple(_machines(experiment, fleet))
    apps = tuple(_applications(experiment, clients))
    client_behaviour = ClientBehaviour(
        int(experiment.clients.retries.at(clients.random())),
        experiment.clients.try_share.at(clients.random()),
        experiment.clients.backoff.at(clients.random()),
        experiment.clients.honour.at(clients.random()),
    )
    classes, cvs = [], []
    for row in experiment.classes:
        mean = row.work.at(load.random())
        classes.append(mean)
        cvs.append(row.cv.at(load.random()))
    noise = tuple(row.noise.at(load.random()) for row in experiment.classes)
    if recorded:
        arrivals = _replayed(experiment, recorded, classes)
    else:
        arrivals = _arrivals(experiment, load, servers, apps, classes, cvs)
    delays = _network_delays(experiment, clients)
    routes = [geography.Route(0.0, delays.between)]
    if experiment.geography is not None:
        routes = geography.routes(experiment, experiment.geography, np.random.default_rng([seed, 4]))
        delays = replace(delays, between=routes[0].delays)
    return Day(
        seed=seed,
        lasts=float(experiment.head.lasts),
        servers=servers,
        apps=apps,
        classes=tuple(experiment.classes),
        noise=noise,
        delays=delays,
        routes=tuple(routes),
        client_behaviour=client_behaviour,
        faults=tuple(
            sorted(_scheduled_faults(experiment, chance, servers, apps), key=lambda t: (t.at, t.kind))
        ),
        arrivals=arrivals,
        list_delay=experiment.lists.delay,
        ttl=float(experiment.lists.ttl),
    )


def _machines(experiment: Experiment, rng: np.random.Generator) -> list[Machine]:
    """Servers of each kind by its share, spread over zones."""
    fleet = experiment.fleet
    overload_settings, links, report = fleet.overload, fleet.connections, fleet.report
    overloads = rng.random() < overload_settings.servers
    round_trips, tax = links.round_trips.at(rng.random()), links.full_tax.at(rng.random())
    handshake = links.handshake.at(rng.random())
    per_kind = {kind.name: _per_kind(kind, rng) for kind in fleet.kinds}
    made = []
    for number in range(fleet.servers):
        index = _by_share([kind.share for kind in fleet.kinds], number, fleet.servers)
        kind = fleet.kinds[index]
        values = per_kind[kind.name]
        overload = Overload(
            overload_settings.in_flight_per_core.at(rng.random()) * kind.cores,
            overload_settings.after.at(rng.random()),
            overload_settings.slower.at(rng.random()),
            overload_settings.rest_below.at(rng.random()) * kind.cores,
            overload_settings.rest.at(rng.random()),
            overload_settings.most.at(rng.random()),
        )
        made.append(
            Machine(
                name=f"s{number}",
                zone=number % len(fleet.zones),
                kind=index,
                cores=kind.cores,
                speed=values.speed * float(rng.uniform(0.9, 1.1)),
                slots=max(kind.cores, round(values.slots * kind.cores)),
                queue=max(1, round(values.queue * kind.cores)),
                warmup_start=values.warmup_start,
                warmup_ms=values.warmup_ms,
                error_rate=values.error_rate,
                report_every=report.every.at(rng.random()),
                report_late=report.late.at(rng.random()),
                report_noise=report.noise.at(rng.random()),
                handshake=handshake,
                round_trips=round_trips,
                connections=round(links.per_core.at(rng.random()) * kind.cores),
                full_tax=tax,
                fall_multiple=fleet.fall_multiple,
                fall_after=float(fleet.fall_after),
                overload=overload if overloads else None,
                seed=int(rng.integers(2**32)),
            )
        )
    return made


class _KindValues(NamedTuple):
    """What all servers of a kind have in common on a day; slots and queue are for each core."""

    slots: float
    queue: float
    warmup_start: float
    warmup_ms: float
    speed: float
    error_rate: float


def _per_kind(kind: Kind, rng: np.random.Generator) -> _KindValues:
    return _KindValues(
        kind.slots_per_core.at(rng.random()),
        kind.queue_per_core.at(rng.random()),
        kind.warmup_start.at(rng.random()),
        kind.warmup.at(rng.random()),
        kind.speed.at(rng.random()),
        kind.error_rate.at(rng.random()),
    )


def _by_share(shares: Sequence[float], number: int, count: int) -> int:
    """The index of the share that a number falls to; neighbouring numbers differ, so that zones are alike."""
    place = (number * GOLDEN_PART + 0.5) % 1.0 if count > 2 else (number + 0.5) / count
    for index, share in enumerate(shares):
        place -= share
        if place < 0.0:
            return index
    return len(shares) - 1


def _applications(experiment: Experiment, rng: np.random.Generator) -> list[Application]:
    count, zones, homes = experiment.fleet.sidecars, len(experiment.fleet.zones), geography.homes(experiment)
    cv = experiment.clients.uneven.at(rng.random())
    skew = experiment.clients.zone_skew.at(rng.random())
    sigma = math.sqrt(math.log1p(cv * cv))
    loads = rng.lognormal(-sigma * sigma / 2.0, sigma, count)
    loads *= [1.0 + skew * (1.0 if n % zones == 0 else -1.0 / max(1, zones - 1)) for n in range(count)]
    loads /= math.fsum(loads)
    return [
        Application(
            f"n{n}",
            homes[n % len(homes)],
            n % len(homes),
            float(loads[n]),
            experiment.network.client.at(rng.random()),
            int(rng.integers(2**32)),
        )
        for n in range(count)
    ]


def _network_delays(experiment: Experiment, rng: np.random.Generator) -> NetworkDelays:
    zones = range(len(experiment.fleet.zones))
    same, cross = experiment.network.same.at(rng.random()), experiment.network.cross.at(rng.random())
    between = tuple(tuple(same if a == b else cross for b in zones) for a in zones)
    return NetworkDelays(between, experiment.network.jitter.at(rng.random()), geography.homes(experiment))


# --- load --------------------------------------------------------------------------------------


def _level(experiment: Experiment, rng: np.random.Generator) -> Floats:
    """The load on a grid of `GRID_MS`, as a multiple of the usual load."""
    load, lasts = experiment.load, experiment.head.lasts
    at = np.arange(0.0, lasts, GRID_MS)
    swing, phase = load.swing.at(rng.random()), rng.random()
    swings = [math.sin(2.0 * math.pi * (each / load.wave + phase)) for each in at.tolist()]
    level = 1.0 + swing * np.array(swings, dtype=np.float64)
    for step in sorted(load.steps, key=lambda step: step.at):
        level[at >= step.at] = step.times
    for burst in load.bursts:
        level[(at >= burst.at) & (at < burst.at + burst.lasts)] *= burst.times
    if load.wander is not None:
        knots = np.arange(0.0, lasts + 2.0 * load.wander.every, load.wander.every)
        low, high = load.wander.between
        level = level * np.interp(at, knots, rng.uniform(low, high, len(knots)))
    return np.maximum(level, 0.0)


def _arrivals(
    experiment: Experiment,
    rng: np.random.Generator,
    servers: Sequence[Machine],
    apps: Sequence[Application],
    works: Sequence[float],
    cvs: Sequence[float],
) -> Arrivals:
    """Open-loop arrivals: a Poisson process whose rate follows the level, whatever is answered."""
    shares = np.array([row.share for row in experiment.classes])
    shares = shares / math.fsum(shares)
    if experiment.load.rate is not None:
        usual = experiment.load.rate / 1000.0
    else:
        assert experiment.load.share is not None
        capacity = math.fsum(server.capacity for server in servers)
        mean_work = math.fsum(share * work for share, work in zip(shares.tolist(), works, strict=True))
        usual = experiment.load.share.at(rng.random()) * capacity / mean_work
    expected = np.concatenate(([0.0], np.cumsum(_level(experiment, rng) * usual * GRID_MS)))
    count = int(rng.poisson(expected[-1]))
    at = np.interp(np.sort(rng.random(count)) * expected[-1], expected, np.arange(len(expected)) * GRID_MS)
    at = np.minimum(at, experiment.head.lasts)
    app = rng.choice(len(apps), size=count, p=[a.share for a in apps])
    cls = rng.choice(len(shares), size=count, p=shares)
    work = np.empty(count)
    for index, (mean, cv) in enumerate(zip(works, cvs, strict=True)):
        mine = cls == index
        work[mine] = rng.gamma(1.0 / cv**2, mean * cv**2, int(mine.sum()))
    return Arrivals(at, app, cls, np.maximum(work, MIN_WORK))


def _replayed(
    experiment: Experiment, rows: Sequence[tuple[float, str, int, float]], works: Sequence[float]
) -> Arrivals:
    names = {row.name: index for index, row in enumerate(experiment.classes)}
    lasts = experiment.head.lasts
    rows_played = sorted((row for row in rows if row[0] < lasts), key=lambda row: row[0])
    for at, name, _, _ in rows_played:
        if name not in names:
            raise DayError("load.replay", f"class {name!r} at {at:g} ms is none of {', '.join(names)}")
    cls = np.array([names[row[1]] for row in rows_played], dtype=np.int64)
    return Arrivals(
        np.array([row[0] for row in rows_played], dtype=np.float64),
        np.array([row[2] % experiment.fleet.sidecars for row in rows_played], dtype=np.int64),
        cls,
        np.array(
            [row[3] or works[int(c)] for row, c in zip(rows_played, cls, strict=True)], dtype=np.float64
        ),
    )


# --- faults -------------------------------------------------------------------------------------


def _scheduled_faults(
    experiment: Experiment, rng: np.random.Generator, servers: Sequence[Machine], apps: Sequence[Application]
) -> list[ScheduledFault]:
    faults = list(experiment.faults)
    if experiment.sampled_faults is not None:
        lasts = experiment.head.lasts
        for _ in range(round(experiment.sampled_faults.count.at(rng.random()))):
            kind = experiment.sampled_faults.kinds[int(rng.integers(len(experiment.sampled_faults.kinds)))]
            at = lasts * (0.05 + 0.65 * rng.random())
            faults.append(Fault(kind=kind, at=Span((at, at)), **BRIEF[kind]))
    return [_scheduled(experiment, fault, rng, servers, apps) for fault in faults]


def _scheduled(
    experiment: Experiment,
    fault: Fault,
    rng: np.random.Generator,
    servers: Sequence[Machine],
    apps: Sequence[Application],
) -> ScheduledFault:
    at = fault.at.at(rng.random())
    until = at + fault.lasts.at(rng.random())
    size = fault.size.at(rng.random()) if fault.size is not None else 0.0
    part = fault.part.at(rng.random()) if fault.part is not None else 0.0
    targets: tuple[str, ...] = ()
    if fault.servers is not None:
        targets = tuple(fault.servers)
    elif SERVERS in NEEDS[fault.kind] and fault.zone is not None:
        zone = experiment.fleet.zones.index(fault.zone)
        targets = tuple(server.name for server in servers if server.zone == zone)
    elif SERVERS in NEEDS[fault.kind] or ANYONE in NEEDS[fault.kind]:
        names = [x.name for x in (apps if ANYONE in NEEDS[fault.kind] else servers)]
        chosen = rng.choice(len(names), size=max(1, round(part * len(names))), replace=False)
        targets = tuple(names[int(index)] for index in chosen)
    return ScheduledFault(
        kind=fault.kind,
        at=at,
        until=until,
        targets=targets,
        size=size,
        zone=experiment.fleet.zones.index(fault.zone) if fault.zone is not None else -1,
        batch=max(1, round(fault.batch.at(rng.random()) * len(servers))),
        drain=fault.drain.at(rng.random()),
        swing=fault.swing.at(rng.random()),
        disk=fault.disk,
    )


def wire_settings(experiment: Experiment, number: int, overlay: dict[str, Any]) -> dict[str, Any]:
    """The settings of a sidecar, in the form of the wire's `Setup`; `overlay` replaces some of them."""
    effects = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
    links, homes = experiment.fleet.connections, geography.homes(experiment)
    settings: dict[str, Any] = {
        "Balancers": experiment.fleet.sidecars,
        "Clients": {"MarksRetry": True},
        "Discovery": "subscribe",
        "Domain": {"WarmKeys": False},
        "FailureDomains": experiment.fleet.zones,
        "Goal": {"Whole": 0.75, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.05},
        "Kinds": [kind.name for kind in experiment.fleet.kinds],
        "Locality": homes[number % len(homes)],
        "Me": number,
        "OverShareWorth": 0.1,
        "PolicyLimits": {
            "ConnectTimeout": links.timeout,
            "IdleClose": links.idle,
            "MaxAttempts": 4,
            "MaxOpen": 20_000,
            "MaxRetryAfter": 2000.0,
            "MayCancel": True,
            "MayProbe": True,
            "ParallelTries": True,
            "PeerMessages": False,
            "RetryAfter": True,
            "StreamsPerConn": 1,
        },
        "Prices": {"CrossZone": 0.03, "Discovery": 0.02, "LateFail": 0.05, "Probe": 0.0067, "Waste": 0.015},
        "Profiles": [
            {
                "Name": row.name,
                "Objective": row.wanted,
                "Deadline": row.deadline,
                "Semantics": effects[row.effect],
                "Group": "all",
                "KeyTtl": row.key_ttl,
                "LateWorth": 0.0,
                "Streaming": False,
                "Worth": row.weight,
            }
            for row in experiment.classes
        ],
        "Report": {"Fields": ["inflight"], "How": "inline"},
        "Rules": {
            "AnswerSlack": 20.0,
            "AskWithin": 10_000.0,
            "ColdFrom": min(kind.warmup_start[0] for kind in experiment.fleet.kinds),
            "FallMultiple": experiment.fleet.fall_multiple,
            "OverloadFor": experiment.fleet.fall_after,
            "StopSendingWithin": 500.0,
            "WarmUp": max(kind.warmup[1] for kind in experiment.fleet.kinds),
        },
        "Tenants": [],
        "Tick": 5.0,
        "WeightKind": "off",
        "WorthBy": "request",
    }
    return overlaid(settings, overlay)


def overlaid(settings: dict[str, Any], overlay: dict[str, Any]) -> dict[str, Any]:
    """Settings with some of them replaced, in nested tables too."""
    merged = dict(settings)
    for name, value in overlay.items():
        old = merged.get(name)
        merged[name] = overlaid(old, value) if isinstance(old, dict) and isinstance(value, dict) else value
    return merged
