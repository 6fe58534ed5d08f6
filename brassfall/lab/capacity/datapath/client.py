"""The client: `python -m brassfall.lab.capacity.datapath.client`. Open loop, with Poisson arrivals.

Planned arrivals do not depend on answers, and a call's latency runs from its planned arrival. How late the
client itself sends is told for each call. The loop waits with `select`, whose time-outs are in
microseconds: with `epoll` each timer is up to 1 ms late, as much as is to be measured.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import selectors
import time

import msgspec

from brassfall.lab.capacity.datapath import calls, wire
from brassfall.lab.real import child

LEAD_S = 0.05  # from the command to the first planned arrival
ANSWERS_S = 2.0  # how long answers are waited for after the last call


class Order(msgspec.Struct):
    """What to be: `name` is part of each call's id."""

    name: str


class Turn(msgspec.Struct):
    """One turn of calls, to addresses in rotation."""

    addresses: list[str]
    rate: float  # calls a second
    seconds: float
    skip_seconds: float  # calls planned before that are sent and not counted
    connections: int  # opened before the first call, over all addresses
    hops: int  # that follow the first
    route: str
    seed: int


class Outcome(msgspec.Struct):
    """What became of a turn; times in microseconds, one of each call that was answered with 200."""

    from_plan: list[int]
    from_send: list[int]
    send_late: list[int]
    statuses: dict[
        int, int
    ]  # of all calls; `wire.BROKEN` where no answer came, `wire.UNSENT` where none could
    opened: int  # connections
    cpu_s: float  # of this process


class Play:
    """One turn on its way."""

    def __init__(self, turn: Turn, pools: list[wire.Pool], name: str) -> None:
        self.turn = turn
        self.outcome = Outcome([], [], [], {}, 0, 0.0)
        self._pools = pools
        self._name = name
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(turn.seed)
        self._sent = 0
        self._out: dict[int, float] = {}  # calls without an answer, and when they were due
        self._finished = asyncio.Event()
        self._all_sent = False

    async def run(self) -> Outcome:
        """Send everything as it becomes due; wait for answers for a bounded time."""
        before, opened = time.process_time(), sum(pool.opened for pool in self._pools)
        self._begun = self._loop.time() + LEAD_S
        self._counted_from = self._begun + self.turn.skip_seconds
        self._plan(self._begun)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAD_S + self.turn.seconds + ANSWERS_S):
                await self._finished.wait()
        unanswered = sum(due >= self._counted_from for due in self._out.values())
        if unanswered:
            self._count(wire.BROKEN, unanswered)
        self._out.clear()
        self.outcome.cpu_s = time.process_time() - before
        self.outcome.opened = sum(pool.opened for pool in self._pools) - opened
        return self.outcome

    def _plan(self, before: float) -> None:
        due = before + self._rng.expovariate(self.turn.rate)
        if due > self._begun + self.turn.seconds:
            self._all_sent = True
            self._look_finished()
        else:
            self._loop.call_at(due, self._send, due)

    def _send(self, due: float) -> None:
        number = self._sent
        self._sent += 1
        self._out[number] = due
        self._plan(due)  # before the call, which may end at once
        pool = self._pools[number % len(self._pools)]
        target = calls.Target(self.turn.hops, self.turn.route)
        message = calls.message(f"{self._name}-{self.turn.seed}-{number}", target)
        sent = self._loop.time()

        def answered(status: int) -> None:
            self._note(number, sent, status)

        pool.ask(message, answered)

    def _note(self, number: int, sent: float, status: int) -> None:
        now = self._loop.time()
        due = self._out.pop(number, None)
        if due is None:
            return  # it came after the end of its turn
        if due >= self._counted_from:
            self._count(status, 1)
            if status == 200:
                outcome = self.outcome
                outcome.from_plan.append(round((now - due) * 1e6))
                outcome.from_send.append(round((now - sent) * 1e6))
                outcome.send_late.append(round((sent - due) * 1e6))
        self._look_finished()

    def _count(self, status: int, calls_ended: int) -> None:
        self.outcome.statuses[status] = self.outcome.statuses.get(status, 0) + calls_ended

    def _look_finished(self) -> None:
        if self._all_sent and not self._out:
            self._finished.set()


class Client:
    """The turns of one process; connections stay open from one turn to the next."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._pools: dict[str, wire.Pool] = {}

    async def play(self, turn: Turn) -> Outcome:
        """Play one turn. Nothing is collected as garbage meanwhile."""
        pools = [self._pools.setdefault(address, wire.Pool(address)) for address in turn.addresses]
        for pool in pools:
            await pool.warm(turn.connections // len(pools))
        gc.collect()
        gc.disable()
        try:
            return await Play(turn, pools, self._name).run()
        finally:
            gc.enable()


def loop() -> asyncio.AbstractEventLoop:
    """A loop whose timers are as exact as the system's."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


async def work(order: Order, commands: child.Commands[Turn], lateness: child.Lateness) -> None:
    """Play turns until the starter is gone."""
    client = Client(order.name)
    child.report("ready")
    async for command in commands:
        child.report("played", await client.play(command))


if __name__ == "__main__":
    child.main(work, Order, msgspec.json.Decoder(Turn), loop)
