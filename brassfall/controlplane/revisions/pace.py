"""The interval between the reports of a node, and the time over which urgent ones are spread. Pure code.

The service's load grows with the reports. Their steady rate is therefore bounded from `EVERY_FLEET` nodes on,
and the reports that a revision makes urgent at all nodes at once are spread. Times are in ms.
"""

from __future__ import annotations

EVERY_MS, EVERY_MOST_MS = 750.0, 1500.0  # the mean interval between the reports of one node
EVERY_FLEET = 1000  # nodes from which on reports become rarer
SPREAD_EACH_MS, SPREAD_LEAST_MS = 0.5, 100.0


def every_ms(nodes: int) -> float:
    """Return the mean interval between the reports of one of so many nodes."""
    return min(EVERY_MOST_MS, EVERY_MS * max(1.0, nodes / EVERY_FLEET))


def spread_ms(nodes: int) -> float:
    """Return the time over which urgent reports of so many nodes are spread: at most two per ms arrive."""
    return min(EVERY_MOST_MS, max(SPREAD_LEAST_MS, SPREAD_EACH_MS * nodes))
