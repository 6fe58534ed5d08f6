"""The random numbers of a day: its character, delays, and hold-ups of the process."""

from __future__ import annotations

import random

HOLD_UPS_S = (0.02, 0.08, 0.15)  # between reading the clock and writing
HOLD_UPS_APART_S = 0.1


class Chance:
    """Draws by one seed; the order of the draws is part of a day."""

    def __init__(self, seed, loop):
        self._loop = loop
        self.rng = random.Random(seed)
        # A generator of its own, so that a day with hold-ups is the same otherwise.
        self.hold_ups = random.Random(f"hold-ups {seed}")
        self.hold_up_rate = self.hold_ups.choice([0.0, 0.1, 0.5])  # share of the writes
        self._hold_up_ended = 0.0
        self.mild = self.rng.random() < 0.5
        self.clogged = self.rng.choice([0.05, 0.15, 0.6])  # share of requests whose bytes are held back
        self.drains = self.rng.random() < 0.15  # servers drain one by one, and connections come up late
        self.sockets = self.rng.choice([30, 36, 256])  # so few that connections run out, or enough

    def later(self, delays, call, *args):
        """Call back after one of these delays, in seconds."""
        self._loop.call_later(self.rng.choice(delays), call, *args)

    def hold_up(self):
        """Hold the process up between reading its clock and writing, perhaps; return for how many ms."""
        if (
            self.hold_ups.random() >= self.hold_up_rate
            or self._loop.at < self._hold_up_ended + HOLD_UPS_APART_S
        ):
            return 0.0
        length = self.hold_ups.choice(HOLD_UPS_S)
        self._loop.at = self._hold_up_ended = self._loop.at + length
        return length * 1000.0
