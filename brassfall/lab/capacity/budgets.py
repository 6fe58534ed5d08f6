"""What the operators allow, and which measured quantity is held against it."""

from __future__ import annotations

from dataclasses import dataclass

from brassfall.lab.capacity.roles import AGGREGATOR, CHILDREN, ONE, TIER


@dataclass(frozen=True, slots=True)
class Budget:
    """A limit on one quantity, and what carries it."""

    role: str
    quantity: str
    limit: float  # in the unit of the quantity
    of: str  # the operators' words
    mechanism: str
    at: int | None = None  # the size that counts, where it is not the role's


BYTES = "control: 14 KB a second of a sidecar"
CORE = "control: 4.7% of a core of a sidecar"
FORCE = "a change in force everywhere within 6 s"
MACHINES = "7 machines for control: one core of one process"
REACHED = "publish to acted on by all that can be reached"

FAULTS = {
    "healthy, p99": "watch, report, commit, report; each spread",
    "one sidecar stopped, last": "its lease runs out (2.75 s)",
    "one aggregator killed, last": "its lease runs out (2.75 s), its children go to the other",
    "one aggregator not heard, last": "its lease runs out (2.75 s), its children go to the other",
    "one aggregator not told, last": "its lease runs out (2.75 s), its children go to the other",
    "a region cut off, last": "the leases of its aggregators run out (2.75 s)",
    "service killed, last": "none: one service decides",
}
ONE_FAULTS = ("healthy, p99", "one sidecar stopped, last", "service killed, last")


def _control(role: str) -> tuple[Budget, ...]:
    return (
        Budget(role, "processor time", 4.7, CORE, "short reports on a kept connection, 0.75 s apart"),
        Budget(role, "bytes out", 14.0, BYTES, "reports leave out what is as before"),
        Budget(role, "bytes in", 14.0, BYTES, "answers leave out what is as usual; watches send changes"),
    )


def _in_force(role: str, names: tuple[str, ...]) -> tuple[Budget, ...]:
    return tuple(Budget(role, f"{REACHED}, {name}", 6.0, FORCE, FAULTS[name]) for name in names)


DATA_PATH, SIDECAR = "sidecar data path", "whole sidecar, by entries"
ADDED = "0.89 ms added to a call for 99 in 100"
CONNECTED = "kept connections, one decision a call, no lock or file on the way"
ONE_CORE = "one process, one thread: it ends where its core is full"
BUDGETS = (
    Budget(DATA_PATH, "added p99 at 185/s, entries", 0.89, ADDED, CONNECTED),
    Budget(DATA_PATH, "added p99 at 1850/s, entries", 0.89, ADDED, CONNECTED),
    Budget(
        SIDECAR,
        "memory (USS)",
        122.0,
        "control: 128 MB of a sidecar, data path included",
        "one entry a server",
    ),
    Budget(
        SIDECAR,
        "processor time at 20 changed entries a second",
        4.7,
        CORE,
        "each change rebuilds the picks",
    ),
    Budget(
        "list, by its entries", "whole list at 14 KB/s", 6.0, FORCE, "only for who lacks too many changes"
    ),
    *_control(ONE.sidecar),
    Budget(ONE.service, "processor time", 1.0, MACHINES, ONE_CORE),
    *_in_force(ONE.agreement, ONE_FAULTS),
    *_control(TIER.sidecar),
    Budget(
        TIER.service, "processor time", 1.0, MACHINES, "six reports a quarter of a second, not one a sidecar"
    ),
    Budget(TIER.service, "processor time", 0.1, "aim of the tier", "six reports a quarter of a second"),
    Budget(AGGREGATOR, "processor time", 0.5, "aim of the tier", "a report of each child in 0.75 s"),
    Budget(AGGREGATOR, "processor time", 0.9, "aim of the tier, one of two lost", "the same", 2 * CHILDREN),
    Budget(TIER.agreement, f"{REACHED}, healthy, p99", 1.5, "aim of the tier", FAULTS["healthy, p99"]),
    *_in_force(TIER.agreement, tuple(FAULTS)),
)
