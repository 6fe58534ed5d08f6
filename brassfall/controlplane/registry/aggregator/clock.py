"""The one clock of an aggregator, for the core, the mirror and all leases."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0
