"""An event loop whose time moves only while nothing is to be done."""

from __future__ import annotations

import asyncio
import selectors

START_S = 1000.0
TURNS_MOST = 50_000  # of a day that ends
STEP_S, TURNS_WITHOUT_TIME_MOST = 1e-6, 100


class JumpingSelector(selectors.SelectSelector):
    """Waits for nothing: the time goes on to the next timer."""

    loop: DayLoop
    turns_without_time = 0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("no timer is left")
        self.loop.turns += 1
        if self.loop.turns > TURNS_MOST:
            raise RuntimeError("a day without an end")
        # Work takes some time: a wait that is too short to count would never be over.
        self.turns_without_time = 0 if timeout > 0.0 else self.turns_without_time + 1
        stuck = self.turns_without_time > TURNS_WITHOUT_TIME_MOST
        self.loop.at += max(timeout, STEP_S if stuck else 0.0)
        return []


class DayLoop(asyncio.SelectorEventLoop):
    """A loop with a time of its own, whose connections are made by `connect(protocol_factory, port)`."""

    def __init__(self):
        self.at, self.turns = START_S, 0
        selector = JumpingSelector()
        selector.loop = self
        super().__init__(selector)
        self.connect = None

    def time(self):
        return self.at

    async def create_connection(self, factory, host, port):
        return await self.connect(factory, port)
