"""Event loop with simulated time, which advances only when nothing is left to do."""

from __future__ import annotations

import asyncio
import selectors

START_S = 1000.0  # time of the event loop at the start of a day, in seconds
MAX_TURNS = 50_000  # number of turns of the event loop after which a day counts as endless
# After this many turns in a row in which the time does not advance, it advances by `STEP_S` seconds a turn.
STEP_S, MAX_TURNS_WITHOUT_TIME = 1e-6, 100


class JumpingSelector(selectors.SelectSelector):
    """Selector that does not wait, but advances the loop's time to the next timer."""

    loop: DayLoop
    turns_without_time = 0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("the event loop has no timer left, so the day can't go on")
        self.loop.turns += 1
        if self.loop.turns > MAX_TURNS:
            raise RuntimeError("the day has not ended after MAX_TURNS turns of the event loop")
        # A wait that is too short to change the time would never end. Time advances a little in this case, as
        # it does in a real process, whose work takes time.
        self.turns_without_time = 0 if timeout > 0.0 else self.turns_without_time + 1
        stuck = self.turns_without_time > MAX_TURNS_WITHOUT_TIME
        self.loop.at += max(timeout, STEP_S if stuck else 0.0)
        return []


class DayLoop(asyncio.SelectorEventLoop):
    """Event loop with simulated time, whose connections are made by `connect(protocol_factory, port)`."""

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
