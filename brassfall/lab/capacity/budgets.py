"""What the operators allow, and which measured quantity is held against it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Budget:
    """A limit on one quantity, and what carries it."""

    role: str
    quantity: str
    limit: float  # in the unit of the quantity
    of: str  # the operators' words
    mechanism: str


BYTES = "control: 14 KB a second of a sidecar"
CORE = "control: 4.7% of a core of a sidecar"
FORCE = "a change in force everywhere within 6 s"
MACHINES = "7 machines for control: one core of one process"
SIDECAR = "sidecar's control path"
ONE = "list service, one for all sidecars"
ONE_AGREES = "agreement, one list service"
REACHED = "publish to acted on by all that can be reached"

BUDGETS = (
    Budget(SIDECAR, "processor time", 4.7, CORE, "short reports on a kept connection, 0.75 s apart"),
    Budget(SIDECAR, "bytes out", 14.0, BYTES, "reports leave out what is as before"),
    Budget(SIDECAR, "bytes in", 14.0, BYTES, "answers leave out what is as usual; watches send changes"),
    Budget(ONE, "processor time", 1.0, MACHINES, "one process, one thread: it ends where its core is full"),
    Budget(ONE_AGREES, f"{REACHED}, healthy, p99", 6.0, FORCE, "watch, report, commit, report; each spread"),
    Budget(ONE_AGREES, f"{REACHED}, one sidecar stopped, last", 6.0, FORCE, "its lease runs out (2.75 s)"),
    Budget(ONE_AGREES, f"{REACHED}, service killed, last", 6.0, FORCE, "none: one service decides"),
)
