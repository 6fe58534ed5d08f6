"""Random numbers of a day: its general properties, delays, and suspensions of the process."""

from __future__ import annotations

import random

# Lengths of a suspension of the process between reading the clock and writing, in seconds.
SUSPENSIONS_S = (0.02, 0.08, 0.15)
SUSPENSIONS_APART_S = 0.1  # shortest time between two suspensions, in seconds


class Chance:
    """Random draws of one day, all from one seed.

    The order of the draws is part of the day: another order changes the day of a seed.
    """

    def __init__(self, seed, loop):
        self._loop = loop
        self.rng = random.Random(seed)
        # Suspensions have their own generator, so that they do not change the rest of the day.
        self.suspensions = random.Random(f"hold-ups {seed}")
        self.suspension_rate = self.suspensions.choice([0.0, 0.1, 0.5])  # share of writes with a suspension
        self._suspension_ended_at = 0.0
        self.mostly_healthy = self.rng.random() < 0.5  # servers and connections rarely fail
        self.blocked_share = self.rng.choice([0.05, 0.15, 0.6])  # share of attempts that are blocked at first
        # True if servers drain one after the other, and connections are established late.
        self.drains = self.rng.random() < 0.15
        # Number of descriptors of the sidecar: 30 or 36 are so few that connections run out.
        self.sockets = self.rng.choice([30, 36, 256])

    def call_later(self, delays, callback, *args):
        """Call `callback` after one of the `delays`, in seconds, which is drawn at random."""
        self._loop.call_later(self.rng.choice(delays), callback, *args)

    def suspend(self):
        """Suspend the process at random between reading its clock and writing; return for how many ms."""
        if (
            self.suspensions.random() >= self.suspension_rate
            or self._loop.at < self._suspension_ended_at + SUSPENSIONS_APART_S
        ):
            return 0.0
        length_s = self.suspensions.choice(SUSPENSIONS_S)
        self._loop.at = self._suspension_ended_at = self._loop.at + length_s
        return length_s * 1000.0
