"""The one clock of an aggregator: the core, the mirror and all leases are counted on it."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Monotonic milliseconds."""
    return time.monotonic() * 1000.0
