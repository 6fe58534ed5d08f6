"""What a sidecar adds to a call: turns through it and direct, in alternation, and the figures of both."""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from statistics import median

import numpy

from brassfall.lab.capacity.datapath import calls, wire
from brassfall.lab.capacity.datapath.client import Outcome, Turn
from brassfall.lab.capacity.datapath.options import DatapathOptions
from brassfall.lab.capacity.datapath.scene import Scene, Sidecar, Used, scene
from brassfall.lab.capacity.datapath.server import Routes
from brassfall.lab.capacity.measurements import Measurement
from brassfall.lab.real.child import raise_descriptors
from brassfall.lab.real.process_group import MemberProcess, PlayError

ROLE = "sidecar data path"
PERCENTILES = (("p50", 50.0), ("p99", 99.0), ("p99.9", 99.9))
FIRST_RATE = 185.0  # calls a second to a sidecar that has just started
FIRST_S = 1.0


@dataclass(slots=True)
class Spell:
    """One spell of calls by one way."""

    outcome: Outcome
    used: Used | None = None  # by the sidecars on the way

    @property
    def count(self) -> int:
        """The calls that are counted."""
        return sum(self.outcome.statuses.values())


@dataclass(slots=True)
class Pairs:
    """The spells of all turns, and what the sidecar refused meanwhile."""

    direct: list[Spell] = field(default_factory=list)
    through: list[Spell] = field(default_factory=list)
    refused: dict[str, int] = field(default_factory=dict)
    load: list[float] = field(default_factory=list)  # load average of the machine, a figure a turn


async def measure(options: DatapathOptions, say: Callable[[str], None]) -> list[Measurement]:
    """Measure all that the options name; `PlayError` if a process fails. Ends what it starts."""
    raise_descriptors()
    measurements: list[Measurement] = []
    for entries in options.entries:
        measurements += await _with_list(options, entries, say)
    if options.chain:
        measurements += await _chain(options, say)
    return measurements


async def _with_list(options: DatapathOptions, entries: int, say: Callable[[str], None]) -> list[Measurement]:
    """Calls at each rate, and to sidecars that have just started, with so many entries on the list."""
    measurements: list[Measurement] = []
    async with scene() as stage:
        _, addresses = await stage.start_servers(min(options.sockets, entries))
        await stage.start_list(addresses, entries)
        sidecar, client = await stage.start_sidecar(), await stage.start_client()
        for rate in options.rates:
            say(f"data path: {rate:g} calls/s, {entries} entries, {options.turns} turns")
            pairs = await _pairs(options, rate, client, addresses, sidecar, [sidecar], 0)
            measurements += _measurements(pairs, f"at {rate:g}/s, entries", entries)
        if options.starts:
            say(f"data path: first second of {options.starts} sidecars, {entries} entries")
            measurements += await _first_second(options, entries, stage, client)
    return measurements


async def _chain(options: DatapathOptions, say: Callable[[str], None]) -> list[Measurement]:
    """Calls that pass a sidecar before each of several servers, all processes of their own."""
    rate = options.rates[0]
    say(f"data path: a chain of {options.chain}, {rate:g} calls/s, {options.turns} turns")
    async with scene() as stage:
        servers = [await stage.start_servers(1) for _ in range(options.chain)]
        addresses = [listens[0] for _, listens in servers]
        await stage.start_list(addresses, options.chain)
        sidecars = [await stage.start_sidecar() for _ in range(options.chain)]
        for (member, _), onward in zip(servers, sidecars, strict=True):
            member.send(Routes(onward.listen, addresses))
        client = await stage.start_client()
        pairs = await _pairs(options, rate, client, addresses, sidecars[0], sidecars, options.chain - 1)
        return _measurements(pairs, f"in a chain at {rate:g}/s, sidecars", options.chain)


async def _first_second(
    options: DatapathOptions, entries: int, stage: Scene, client: MemberProcess
) -> list[Measurement]:
    """The first second of sidecars that have only just started."""
    spells: list[Spell] = []
    ready: list[float] = []
    for number in range(options.starts):
        sidecar = await stage.start_sidecar()
        ready.append(sidecar.start_ms)
        turn = Turn([sidecar.listen], FIRST_RATE, FIRST_S, 0.0, 1, 0, calls.SIDECAR, options.seed + number)
        spells.append(await _spell(client, turn, [sidecar]))
    where, repeats = "in a sidecar's first second, entries", options.starts
    firsts = [spell.outcome.from_send[0] / 1000.0 for spell in spells if spell.outcome.from_send]
    return [
        Measurement(ROLE, f"from start to ready, {where}", "ms", entries, round(median(ready), 1), repeats),
        Measurement(
            ROLE, f"time of the first call, {where}", "ms", entries, round(median(firsts), 3), repeats
        ),
        *_percentiles(spells, f"time of a call, {where}", entries),
        *_costs(spells, where, entries),
    ]


async def _pairs(
    options: DatapathOptions,
    rate: float,
    client: MemberProcess,
    addresses: list[str],
    entry: Sidecar,
    sidecars: Sequence[Sidecar],
    hops: int,
) -> Pairs:
    """Spells in alternation; of a turn, both have the same arrivals."""
    pairs, before = Pairs(), await _refusals(sidecars)
    for number in range(options.turns):
        seed = options.seed * 1000 + number
        plan = (rate, options.seconds, options.skip_seconds, options.connections, hops)
        direct = Turn(addresses, *plan, calls.DIRECT, seed)
        through = Turn([entry.listen], *plan, calls.SIDECAR, seed)
        pairs.load.append(os.getloadavg()[0])
        if number % 2:
            pairs.through.append(await _spell(client, through, sidecars))
        pairs.direct.append(await _spell(client, direct, ()))
        if not number % 2:
            pairs.through.append(await _spell(client, through, sidecars))
    after = await _refusals(sidecars)
    pairs.refused = {reason: count - before.get(reason, 0) for reason, count in after.items()}
    return pairs


async def _spell(client: MemberProcess, turn: Turn, sidecars: Sequence[Sidecar]) -> Spell:
    before = [sidecar.used() for sidecar in sidecars]
    client.send(turn)
    outcome = await client.report("played", Outcome)
    if not outcome.from_plan:
        raise PlayError(f"none of the calls by way of {turn.route} was answered with 200: {outcome.statuses}")
    if not sidecars:
        return Spell(outcome)
    used = [sidecar.used().since(then) for sidecar, then in zip(sidecars, before, strict=True)]
    # The calls that are skipped cost as well: what was used counts for the same part as the calls.
    part = (turn.seconds - turn.skip_seconds) / turn.seconds
    return Spell(
        outcome,
        Used(
            part * sum(one.cpu_s for one in used),
            round(part * sum(one.sleeps for one in used)),
            part * sum(one.in_line_s for one in used),
            sum(one.connections for one in used),
        ),
    )


async def _refusals(sidecars: Sequence[Sidecar]) -> dict[str, int]:
    found: dict[str, int] = {}
    for sidecar in sidecars:
        for reason, count in (await sidecar.refusals()).items():
            found[reason] = found.get(reason, 0) + count
    return found


# --- figures --------------------------------------------------------------------


def _measurements(pairs: Pairs, where: str, size: int) -> list[Measurement]:
    """All figures of one kind of turns."""
    repeats = len(pairs.direct)
    measurements = [
        *_added(pairs, where, size),
        *_percentiles(pairs.direct, f"time of a call direct {where}", size),
        *_percentiles(pairs.through, f"time of a call through it {where}", size),
        *_costs(pairs.through, where, size),
        *_late(pairs, where, size),
        Measurement(ROLE, f"load average {where}", "processes", size, round(median(pairs.load), 2), repeats),
    ]
    for reason, count in pairs.refused.items():
        if count:
            measurements.append(
                Measurement(ROLE, f"refused for {reason} {where}", "calls", size, float(count), repeats)
            )
    return measurements


def _added(pairs: Pairs, where: str, size: int) -> list[Measurement]:
    """Time added: of p50 and p99 the median of the turns' differences; of p99.9 that of all turns at once,
    since one turn has too few calls for it."""
    measurements = []
    for name, share in PERCENTILES[:2]:
        gaps = [
            _share(through.outcome.from_plan, share) - _share(direct.outcome.from_plan, share)
            for through, direct in zip(pairs.through, pairs.direct, strict=True)
        ]
        measurements.append(_figure(f"added {name} {where}", size, median(gaps), len(gaps)))
        measurements.append(_figure(f"added {name}, least of the turns, {where}", size, min(gaps), len(gaps)))
        measurements.append(_figure(f"added {name}, most of the turns, {where}", size, max(gaps), len(gaps)))
    name, share = PERCENTILES[2]
    gap = _share(_all(pairs.through), share) - _share(_all(pairs.direct), share)
    measurements.append(_figure(f"added {name} {where}", size, gap, len(pairs.direct)))
    return measurements


def _percentiles(spells: Sequence[Spell], what: str, size: int) -> list[Measurement]:
    """Latencies from the planned arrival: medians over the spells; p99.9 of all calls at once."""
    measurements = [
        _figure(
            f"{name} {what}", size, median(_share(s.outcome.from_plan, share) for s in spells), len(spells)
        )
        for name, share in PERCENTILES[:2]
    ]
    name, share = PERCENTILES[2]
    return [*measurements, _figure(f"{name} {what}", size, _share(_all(spells), share), len(spells))]


def _costs(spells: Sequence[Spell], where: str, size: int) -> list[Measurement]:
    """What the sidecars used a call: processor, sleeps (each ends in a wake-up), time in line for a core."""
    rows = [(spell.used, max(1, spell.count)) for spell in spells if spell.used is not None]
    unsent = sum(spell.outcome.statuses.get(wire.UNSENT, 0) for spell in spells)
    bad = sum(spell.count - len(spell.outcome.from_plan) for spell in spells) - unsent

    def a_call(quantity: str, unit: str, values: list[float]) -> Measurement:
        return Measurement(
            ROLE, f"{quantity} a call {where}", unit, size, round(median(values), 3), len(values)
        )

    return [
        a_call("processor time", "us", [used.cpu_s * 1e6 / count for used, count in rows]),
        a_call("wake-ups", "wake-ups", [used.sleeps / count for used, count in rows]),
        a_call("time in line for a core", "us", [used.in_line_s * 1e6 / count for used, count in rows]),
        Measurement(ROLE, f"calls not answered with 200 {where}", "calls", size, float(bad), len(spells)),
        Measurement(
            ROLE,
            f"calls not sent, all client connections busy, {where}",
            "calls",
            size,
            float(unsent),
            len(spells),
        ),
        Measurement(
            ROLE, f"calls {where}", "calls", size, float(sum(count for _, count in rows)), len(spells)
        ),
    ]


def _late(pairs: Pairs, where: str, size: int) -> list[Measurement]:
    """What the client's own loop adds, from planned to sent, and what the client itself uses."""
    spells = [*pairs.direct, *pairs.through]
    measurements = [
        _figure(
            f"client late by {name} {where}",
            size,
            median(_share(spell.outcome.send_late, share) for spell in spells),
            len(spells),
        )
        for name, share in PERCENTILES
    ]
    cost = median(spell.outcome.cpu_s * 1e6 / max(1, spell.count) for spell in spells)
    return [
        *measurements,
        Measurement(ROLE, f"client's processor time a call {where}", "us", size, round(cost, 1), len(spells)),
    ]


def _figure(quantity: str, size: int, us: float, repeats: int) -> Measurement:
    return Measurement(ROLE, quantity, "ms", size, round(us / 1000.0, 3), repeats)


def _share(values: Sequence[int], share: float) -> float:
    return float(numpy.percentile(values, share)) if values else float("nan")


def _all(spells: Sequence[Spell]) -> list[int]:
    return [value for spell in spells for value in spell.outcome.from_plan]
