"""Controller of a real play: starts the fleet, plays the day with its faults, and merges the ledgers."""

from __future__ import annotations

import asyncio
import resource
import time
from collections.abc import Sequence
from dataclasses import dataclass

from brassfall.lab import ledger
from brassfall.lab.geography import Route
from brassfall.lab.real import gather
from brassfall.lab.real.child import LATE_MS, clock, raise_descriptors
from brassfall.lab.real.environment import DESCRIPTORS, Environment, Play
from brassfall.lab.real.faults import Faults
from brassfall.lab.real.messages import Begin, ChangeDelays, Done
from brassfall.lab.real.process_group import (
    LAB,
    LIST_SERVICE,
    ROOT,
    SIDECAR,
    MemberProcess,
    PlayError,
    ProcessGroup,
    lend_environment,
)

BEGIN_MS = 300.0  # between the last process being ready and the first request
AFTER_S = 1.0  # how long servers work on after the last answer
ANSWERS_MS = 10_000.0  # after the last deadline, until which the clients have to be done
PROGRESS_S = 1.0
WATCH_S = 0.1
LATE_SHARE = 0.01  # of what is due in one process; beyond it a play does not count
LATE_MOST_MS = 250.0


@dataclass(frozen=True, slots=True)
class PlayCost:
    """Processor time by role and the times of a play, in seconds."""

    cpu_lab_s: float
    cpu_sidecars_s: float
    cpu_list_s: float
    lab_share: float  # of all processor time
    play_s: float
    start_s: float


@dataclass(frozen=True, slots=True)
class PlayResult:
    """The result of a play beside its ledger."""

    invalid_reason: str  # why the play does not count; empty where it does
    crashes: list[str]
    cost: PlayCost
    events: list[ledger.Event]


async def _play_day(environment: Environment, senders: list[MemberProcess]) -> list[Done]:
    """Play the day; return the reports of the clients at its end."""
    day = environment.play.day
    environment.start_ms = clock() + BEGIN_MS
    for member in senders:
        member.send(Begin(environment.start_ms))
    faults = Faults(environment)
    changes = [asyncio.create_task(faults.play(fault)) for fault in day.faults]
    changes += [asyncio.create_task(_change_route(environment, route)) for route in day.routes[1:]]
    watchers = [
        asyncio.create_task(_report_progress(environment)),
        asyncio.create_task(_watch_sidecars(environment)),
    ]
    try:
        limit = day.lasts + max(row.deadline for row in day.classes) + ANSWERS_MS
        async with asyncio.timeout(limit / 1000.0):
            reports = [await member.report("done", Done, limit_s=None) for member in senders]
            await asyncio.sleep(AFTER_S)
    except TimeoutError:
        message = "the clients did not come to an end"
        raise PlayError(message) from None
    finally:
        for task in (*changes, *watchers):
            task.cancel()
    _raise_failed(changes)
    return reports


def _raise_failed(changes: Sequence[asyncio.Task[None]]) -> None:
    """Raise `PlayError` if a fault or a change of delays failed."""
    for task in changes:
        error = task.exception() if task.done() and not task.cancelled() else None
        if error is not None:
            message = f"a fault could not be played: {error!r}"
            raise PlayError(message)


async def _change_route(environment: Environment, route: Route) -> None:
    await environment.until(route.at)
    environment.command_networks(ChangeDelays(route.delays))


async def _report_progress(environment: Environment) -> None:
    while True:
        environment.play.progress(environment.now())
        await asyncio.sleep(PROGRESS_S)


async def _watch_sidecars(environment: Environment) -> None:
    """Record as a crash each sidecar that ends without an order to end."""
    seen: set[int] = set()
    while True:
        for name, member in environment.sidecars.items():
            if not member.alive and member.process.pid not in seen and not member.ending:
                seen.add(member.process.pid)
                environment.crashes.append(
                    f"sidecar {name} ended with {member.process.returncode}: {member.last}"
                )
        await asyncio.sleep(WATCH_S)


def lateness(reports: Sequence[Done]) -> str:
    """Return why a play does not count, if a process of the lab was late or out of descriptors, else "".

    Each report has how many of the things that were due (requests, or probes of the event loop) came late.
    """
    starved = sum(report.get("starved", 0) for report in reports)
    if starved:
        return f"the lab ran out of descriptors: {starved} tries failed for it"
    worst = max(reports, key=lambda report: report["late"] / max(1, report["due"]), default=None)
    if worst is not None and worst["late"] > LATE_SHARE * max(1, worst["due"]):
        return f"the lab ran late: {worst['late']} of {worst['due']} came more than {LATE_MS:.0f} ms late"
    most = max((report["late_ms"] for report in reports), default=0.0)
    return f"the lab ran late, by {most:.0f} ms at the most" if most > LATE_MOST_MS else ""


async def run_play(play: Play) -> PlayResult:
    """Play a day with real processes and write its ledger; raise `PlayError` if that fails.

    All processes have ended on return. Cancelling ends them too.
    """
    available = raise_descriptors()
    if available < DESCRIPTORS:
        message = f"{available} descriptors a process are too few: {DESCRIPTORS} are wanted"
        raise PlayError(message)
    if play.code != ROOT:
        lend_environment(play.code)
    group = ProcessGroup(play.folder / "logs")
    environment = Environment(play, group)
    await group.open()
    begun = time.monotonic()
    try:
        senders = await environment.start()
        started = time.monotonic()
        group.begin_cpu_count()
        cpu_before_s = _own_cpu_s()
        reports = await _play_day(environment, senders)
        played = time.monotonic()
        reports += await environment.end()
    finally:
        await group.close()
    cost = _cost(group, own_s=_own_cpu_s() - cpu_before_s, play_s=played - started, start_s=started - begun)
    gather.gather(environment)
    return PlayResult(lateness(reports), environment.crashes, cost, environment.events)


def _own_cpu_s() -> float:
    """Return the processor time of this process."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def _cost(group: ProcessGroup, *, own_s: float, play_s: float, start_s: float) -> PlayCost:
    """Return the cost of a play; the controller's own processor time is part of the lab's."""
    by_role: dict[str, float] = {LAB: own_s, SIDECAR: 0.0, LIST_SERVICE: 0.0}
    for member in group.members:
        by_role[member.role] += member.cpu_s
    total = sum(by_role.values())
    return PlayCost(
        cpu_lab_s=by_role[LAB],
        cpu_sidecars_s=by_role[SIDECAR],
        cpu_list_s=by_role[LIST_SERVICE],
        lab_share=by_role[LAB] / total if total else 0.0,
        play_s=play_s,
        start_s=start_s,
    )
