"""The interval between the reports of a node, and the time over which urgent ones are spread. Pure code.

The load of the service grows with the number of reports. Their steady rate is therefore bounded from
`RARER_REPORTS_FROM_NODES` nodes on. A new revision makes a report urgent at all nodes at once, so these
reports are spread over time. Times are in ms.
"""

from __future__ import annotations

# Mean interval between two reports of one node in ms: in a small fleet, and in the largest one.
REPORT_INTERVAL_MS, MAX_REPORT_INTERVAL_MS = 750.0, 1500.0
RARER_REPORTS_FROM_NODES = 1000  # Number of nodes from which on each node reports less often
# Time over which urgent reports are spread, in ms: for each node of the fleet, and at least. 0.5 ms for each
# node makes two reports per ms.
SPREAD_PER_NODE_MS, MIN_SPREAD_MS = 0.5, 100.0


def report_interval_ms(nodes: int) -> float:
    """Return the mean interval between two reports of one node in a fleet of this many nodes, in ms."""
    return min(MAX_REPORT_INTERVAL_MS, REPORT_INTERVAL_MS * max(1.0, nodes / RARER_REPORTS_FROM_NODES))


def urgent_report_spread_ms(nodes: int) -> float:
    """Return the time over which the urgent reports of this many nodes are spread, in ms.

    At most two of them arrive per ms, up to the number of nodes at which `MAX_REPORT_INTERVAL_MS` is reached.
    """
    return min(MAX_REPORT_INTERVAL_MS, max(MIN_SPREAD_MS, SPREAD_PER_NODE_MS * nodes))
