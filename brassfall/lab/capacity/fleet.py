"""The controller of a hollow fleet: starts its processes, spreads the sidecars over them, and asks them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from statistics import quantiles

import msgspec

from brassfall.lab.capacity import control
from brassfall.lab.capacity.environment import Environment, MeasurementError

EACH_MOST = 150  # sidecars of one process: it works them one after the other, so they wait for each other
ANSWER_S = 60.0
LEASED_S = 60.0  # for all to act on a revision, beside their start
POLL_S = 0.5

_decoder = msgspec.json.Decoder(control.Answer)


@dataclass(slots=True)
class Worker:
    """One hollow process and the sidecars that it was told to start."""

    process: asyncio.subprocess.Process
    first: int
    number: int
    source: str
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def ask(self, command: control.Command) -> control.Answer:
        """Send a command and wait for its answer."""
        stdin, stdout = self.process.stdin, self.process.stdout
        assert stdin is not None
        assert stdout is not None
        async with self.lock:
            stdin.write(msgspec.json.encode(command) + b"\n")
            try:
                async with asyncio.timeout(ANSWER_S + getattr(command, "over_s", 0.0)):
                    line = await stdout.readline()
            except TimeoutError:
                raise MeasurementError("a hollow process does not answer", repr(command)) from None
        if not line:
            raise MeasurementError("a hollow process has ended", "its log is lost with its folder")
        return _decoder.decode(line)

    def stop(self) -> None:
        """Stop the whole process, as a machine that hangs."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, signal.SIGCONT)


@dataclass(frozen=True, slots=True)
class Spread:
    """How long after a moment the sidecars got somewhere, in seconds; those that did not are counted."""

    sidecars: int
    reached: int
    p50_s: float
    p99_s: float
    last_s: float


def spread(since_s: float, moments: list[control.Moments]) -> Spread:
    """The times of several processes as one."""
    after = sorted(at - since_s for each in moments for at in each.times_s)
    sidecars = sum(each.sidecars for each in moments)
    if len(after) < 2:
        only = after[0] if after else float("inf")
        return Spread(sidecars, len(after), only, only, only)
    parts = quantiles(after, n=100, method="inclusive")
    return Spread(sidecars, len(after), parts[49], parts[98], after[-1])


class HollowFleet:
    """All hollow processes of one measurement."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self.workers: list[Worker] = []
        self._indices = count()
        self._next = 0  # the number of the next sidecar

    @property
    def sidecars(self) -> int:
        """How many were started."""
        return sum(worker.number for worker in self.workers)

    async def start(
        self, number: int, addresses: list[str], region: str = "", per_s: float = 400.0, alone: bool = False
    ) -> list[Worker]:
        """Start so many more, at this rate over all; `alone`: in one process. The workers that hold them."""
        each = number if alone else EACH_MOST
        made = []
        for begin in range(0, number, each):
            worker = await self._worker(min(each, number - begin))
            made.append(worker)
        starts = [
            control.Start(worker.first, worker.number, addresses, region, number / per_s) for worker in made
        ]
        # All processes at once, each over the whole time: together that is the rate.
        await asyncio.gather(*(worker.ask(start) for worker, start in zip(made, starts, strict=True)))
        return made

    async def _worker(self, number: int) -> Worker:
        # Taken before anything is awaited: several are started at once.
        index, first = next(self._indices), self._next
        self._next += number
        source = f"127.0.0.{2 + index}"
        command = ("brassfall.lab.capacity.hollow", source)
        process = await self._environment.python(f"hollow{index}", *command, piped=True)
        worker = Worker(process, first, number, source)
        self.workers.append(worker)
        return worker

    async def snapshots(self, among: list[Worker] | None = None) -> list[control.Snapshot]:
        """How all processes stand."""
        answers = await self._ask(control.AskSnapshot(), among)
        return [answer for answer in answers if isinstance(answer, control.Snapshot)]

    async def acted(self, revision: int, since_s: float, among: list[Worker] | None = None) -> Spread:
        """How long after a moment the sidecars acted on a revision or a later one."""
        return spread(since_s, await self._moments(control.AskActed(revision), among))

    async def listed(self, version: int, since_s: float) -> Spread:
        """How long after a moment the sidecars held a version of the list or a later one."""
        return spread(since_s, await self._moments(control.AskListed(version), None))

    async def _moments(self, command: control.Command, among: list[Worker] | None) -> list[control.Moments]:
        answers = await self._ask(command, among)
        return [answer for answer in answers if isinstance(answer, control.Moments)]

    async def _ask(self, command: control.Command, among: list[Worker] | None) -> list[control.Answer]:
        workers = self.workers if among is None else among
        return list(await asyncio.gather(*(worker.ask(command) for worker in workers)))

    async def leased(self, limit_s: float = LEASED_S, among: list[Worker] | None = None) -> float:
        """Wait until all act on a revision; seconds that it took. `MeasurementError` where they do not."""
        begun = time.monotonic()
        while True:
            found = await self.snapshots(among)
            leased, sidecars = sum(each.leased for each in found), sum(each.sidecars for each in found)
            if leased == sidecars:
                return time.monotonic() - begun
            if time.monotonic() - begun > limit_s:
                raise MeasurementError(f"{leased} of {sidecars} sidecars got a lease in {limit_s} s")
            await asyncio.sleep(POLL_S)


def servers(found: list[control.Snapshot]) -> Counter[str]:
    """Connections open to each server."""
    count: Counter[str] = Counter()
    for each in found:
        count.update(each.by_server)
    return count


@dataclass(frozen=True, slots=True)
class Rates:
    """What a sidecar costs in a second, as the mean over all, between two looks at them."""

    seconds: float
    reports: float
    core: float  # processor time of its share of a hollow process, in cores
    sent_bytes: float
    received_bytes: float
    report_sent_bytes: float
    report_received_bytes: float


def rates(before: list[control.Snapshot], after: list[control.Snapshot]) -> Rates:
    """From two looks at the same processes."""
    seconds = sum(each.at_s for each in after) / len(after) - sum(each.at_s for each in before) / len(before)
    each = 1.0 / seconds / sum(one.sidecars for one in after)

    sent = {kind: (_sent(after, kind) - _sent(before, kind)) * each for kind in control.KINDS}
    received = {kind: (_received(after, kind) - _received(before, kind)) * each for kind in control.KINDS}
    return Rates(
        seconds,
        (sum(one.reports for one in after) - sum(one.reports for one in before)) * each,
        (sum(one.cpu_s for one in after) - sum(one.cpu_s for one in before)) * each,
        sum(sent.values()),
        sum(received.values()),
        sent[control.REPORTS],
        received[control.REPORTS],
    )


def _sent(found: list[control.Snapshot], kind: str) -> int:
    return sum(one.traffic[kind].sent for one in found)


def _received(found: list[control.Snapshot], kind: str) -> int:
    return sum(one.traffic[kind].received for one in found)
