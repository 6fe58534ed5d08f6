"""One schedule with real processes, in a process of its own: `python -m brassfall.lab.revision_chaos.play`.

Its order is a line on standard input, and it ends, with all that it started, when that input does.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import signal
import sys
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path

import msgspec

from brassfall.errors import BrassfallError
from brassfall.lab.real.child import Lateness
from brassfall.lab.real.process_group import ProcessGroup
from brassfall.lab.revision_chaos import clients, judge, schedule, spec
from brassfall.lab.revision_chaos.environment import KEY_MS, Environment
from brassfall.lab.revision_chaos.faults import Event, Faults
from brassfall.lab.revision_chaos.publisher import Publisher, now
from brassfall.lab.revision_chaos.spec import Experiment, Step

END_S = 12.0  # for an orderly end
OLD_COPY_S = 6.5  # when the copy is taken that "old-copy" restores


class Order(msgspec.Struct, frozen=True):
    """What to play."""

    experiment: str
    seed: int
    folder: str


class Result(msgspec.Struct, frozen=True):
    """What came of one schedule."""

    seed: int
    verdict: judge.Verdict
    events: list[Event]
    published: dict[str, int]
    states: dict[str, int]  # how many revisions ended in each state
    late_ms: float
    crashes: list[str]
    # Stored under the names of earlier results.
    held_regions: dict[int, tuple[str, ...]] = msgspec.field(name="held")  # by revision
    delayed: int = msgspec.field(name="cut")  # how many messages a partition delayed

    @property
    def passed(self) -> bool:
        """True if no rule was broken and no process ended unexpectedly."""
        return not self.verdict.findings and not self.crashes


class LedgerRow(msgspec.Struct, frozen=True):
    """One line of a server's ledger."""

    id: str
    server: str
    zone: str
    at: float
    ran: bool
    call_class: str = msgspec.field(name="class")
    key: str | None
    revision: str | None = msgspec.field(name="edition", default=None)


Script = Callable[[Faults], Awaitable[None]]


async def play(experiment: Experiment, seed: int, folder: Path, script: Script | None = None) -> Result:
    """Start everything, play the schedule, end everything, and judge.

    A `script` takes the place of the schedule: the play is over when it is, and after `experiment.seconds` at
    the latest.
    """
    group, lateness = ProcessGroup(folder / "logs"), Lateness()
    environment, publisher = Environment(experiment, folder, group), Publisher(experiment.regions)
    faults = Faults(environment, publisher)
    async with _running(environment, publisher, lateness):
        begun = now()
        answers = await _perform(environment, faults, script, seed, begun)
        crashes = environment.unexpected_ends()
    verdict = judge.judge(
        [call for call in _calls(folder) if call.at >= begun],
        [request for client_requests in answers for request in client_requests],
        environment.absences,
        _terms(environment, publisher, late_ms=lateness.most, slowest_s=_slowest(experiment, seed)),
    )
    return Result(
        seed=seed,
        verdict=verdict,
        events=faults.events,
        published=publisher.outcomes,
        states=_states(publisher),
        late_ms=lateness.most,
        crashes=crashes,
        held_regions=publisher.held_regions,
        delayed=sum(proxy.delayed for proxy in environment.all_proxies()),
    )


@contextlib.asynccontextmanager
async def _running(environment: Environment, publisher: Publisher, lateness: Lateness) -> AsyncIterator[None]:
    """Start all processes and observers, and end them on the way out."""
    await environment.group.open()
    await publisher.open()
    helpers: list[asyncio.Task[None]] = []
    try:
        await environment.start()
        helpers = [
            asyncio.create_task(lateness.measure()),
            asyncio.create_task(publisher.observe(environment.endpoint("main"))),
        ]
        yield
    finally:
        for task in helpers:
            task.cancel()
        await publisher.close()
        environment.close()
        await environment.group.close()


def _terms(
    environment: Environment, publisher: Publisher, *, late_ms: float, slowest_s: float
) -> judge.Terms:
    """Return what a play is judged against, by what was published in it."""
    experiment = environment.experiment
    return judge.Terms(
        agree_s=experiment.agree_ms / 1000.0,
        key_s=KEY_MS / 1000.0,
        held_regions=publisher.held_regions,
        homes=publisher.homes,
        pins=publisher.pins,
        exclusive=experiment.exclusive,
        committed={
            number: sent
            for number, sent in publisher.sent.items()
            if publisher.states.get(number) == "committed"
        },
        link_s=max(proxy.delay_s for proxy in environment.server_proxies) + slowest_s,
        late_s=late_ms / 1000.0,
    )


def _slowest(experiment: Experiment, seed: int) -> float:
    """Return the largest added delay of links, in seconds."""
    return max(
        (step.value for step in schedule.sample(experiment, seed) if step.action == "slow-links"), default=0.0
    )


def _states(publisher: Publisher) -> dict[str, int]:
    found: dict[str, int] = {}
    for state in publisher.states.values():
        found[state] = found.get(state, 0) + 1
    return found


async def _perform(
    environment: Environment, faults: Faults, script: Script | None, seed: int, begun: float
) -> list[list[judge.ClientRequest]]:
    """Run the clients throughout, and each step when it is due."""
    experiment = environment.experiment
    applications = [
        clients.Client(number, listen, experiment.rate, seed)
        for number, listen in enumerate(environment.listens)
    ]
    try:
        async with asyncio.TaskGroup() as group:
            for application in applications:
                group.create_task(application.play(begun + experiment.seconds))
            if script is not None:
                await script(faults)
                for application in applications:
                    application.stop()
                return [application.answers for application in applications]
            group.create_task(_copy(environment, begun))
            for step in schedule.sample(experiment, seed):
                group.create_task(_step(faults, step, begun))
    except ExceptionGroup as errors:
        raise errors.exceptions[0] from errors
    return [application.answers for application in applications]


async def _copy(environment: Environment, begun: float) -> None:
    await asyncio.sleep(max(0.0, begun + OLD_COPY_S - now()))
    environment.copy("main", environment.folder / "old")


async def _step(faults: Faults, step: Step, begun: float) -> None:
    await asyncio.sleep(max(0.0, begun + step.at - now()))
    await faults.carry_out(step)


def _calls(folder: Path) -> list[judge.Call]:
    """Read the ledgers of all servers; a line cut short by a server's end is left out."""
    rows = []
    for path in sorted(folder.glob("ledger-*.jsonl")):
        for line in path.read_bytes().splitlines():
            with contextlib.suppress(msgspec.DecodeError):
                rows.append(msgspec.json.decode(line))
    return [_call(msgspec.convert(row, LedgerRow)) for row in rows]


def _call(row: LedgerRow) -> judge.Call:
    stamp = row.revision
    return judge.Call(
        id=row.id,
        sidecar=clients.sidecar_of(row.id),
        server=row.server,
        zone=row.zone,
        revision=int(stamp) if stamp is not None and stamp.isdigit() else stamp,
        at=row.at,
        unsafe=row.call_class == "pay",
        key=row.key or "",
        ran=row.ran,
        tenant=clients.tenant_of(row.id),
    )


def _end_with(source: int, loop: asyncio.AbstractEventLoop, task: asyncio.Task[Result]) -> None:
    """Cancel the play when the process that started it is gone."""

    def wait() -> None:
        while os.read(source, 4096):
            pass
        loop.call_soon_threadsafe(task.cancel)
        time.sleep(END_S)
        os._exit(1)  # it hangs: the supervisor ends what it started

    threading.Thread(target=wait, daemon=True).start()


async def _run(order: Order) -> Result:
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    _end_with(sys.stdin.fileno(), loop, task)
    return await play(spec.load(Path(order.experiment)), order.seed, Path(order.folder))


def main() -> int:
    """Carry out one order and return the exit status."""
    order = msgspec.json.decode(sys.stdin.buffer.readline(), type=Order)
    folder = Path(order.folder)
    try:
        result = asyncio.run(_run(order))
    except BrassfallError as error:
        print(error, file=sys.stderr)
        return 2
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130
    part = folder / "result.part"
    part.write_bytes(msgspec.json.encode(result))
    part.replace(folder / "result.json")
    if result.passed:
        for path in folder.iterdir():
            if path.is_dir():
                shutil.rmtree(path, ignore_errors=True)  # of a good schedule the figures are enough
    return 0


if __name__ == "__main__":
    sys.exit(main())
