"""How often a fleet of a size reports, and over what span it reports at once: pure, in ms.

A report in time costs the service about 0.1 to 0.2 ms of one core, whoever sends it. So the steady rate is
bounded from `EVERY_FLEET` sidecars on, and what an edition makes all report at once is spread.
"""

from __future__ import annotations

EVERY_MS, EVERY_MOST_MS, EVERY_FLEET = 750.0, 1500.0, 1000  # reports thin out from so many sidecars on
SPREAD_EACH_MS, SPREAD_LEAST_MS = 0.5, 100.0


def every_ms(sidecars: int) -> float:
    """The mean time between two reports of one of so many sidecars."""
    return min(EVERY_MOST_MS, EVERY_MS * max(1.0, sidecars / EVERY_FLEET))


def spread_ms(sidecars: int) -> float:
    """Over what span their reports are spread when an edition makes all of them report soon: so that no more
    than two in a ms come in, however many there are."""
    return min(EVERY_MOST_MS, max(SPREAD_LEAST_MS, SPREAD_EACH_MS * sidecars))


def told(sidecars: int, enrolled: int) -> dict[str, float]:
    """What an answer to a report tells of it; what a sidecar takes for granted is left out."""
    found = {"every_ms": every_ms(sidecars), "spread_ms": spread_ms(sidecars), "edges": max(1, enrolled)}
    usual = {"every_ms": EVERY_MS, "spread_ms": SPREAD_LEAST_MS, "edges": 1}
    return {name: value for name, value in found.items() if value != usual[name]}
