"""The clock of an aggregator, which its core, its mirror and all leases share."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0
