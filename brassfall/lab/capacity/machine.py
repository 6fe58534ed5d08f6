"""What this machine has to give, looked at before anything is started."""

from __future__ import annotations

import contextlib
import os
import resource
from dataclasses import dataclass
from pathlib import Path

import psutil

from brassfall.errors import UsageError

CONNECTIONS_EACH = 3  # of a sidecar: its reports, the watch on the rules, the watch on the list
DESCRIPTORS_SPARE = 400
SIDECAR_BYTES = 700_000  # of a hollow sidecar, and of what the services hold for it; a generous bound
SPARE_BYTES = 600 * 2**20
MEMORY_PART = 0.5  # of the machine's memory, at most
PROCESSES_MOST = 200


class MachineTooSmallError(UsageError):
    """A limit of this machine is too low for the sizes that were asked for; nothing was started."""

    action = "Ask for smaller sizes with --sizes, or raise the limit."


@dataclass(frozen=True, slots=True)
class Machine:
    """The limits that count."""

    descriptors: int
    memory_bytes: int
    available_bytes: int


def look() -> Machine:
    """The limits of this process and of the machine; its own soft limit of descriptors is raised first."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    memory = psutil.virtual_memory()
    return Machine(resource.getrlimit(resource.RLIMIT_NOFILE)[0], memory.total, memory.available)


def descriptors_needed(sidecars: int) -> int:
    """How many descriptors one service needs for a fleet of this size."""
    return CONNECTIONS_EACH * sidecars + DESCRIPTORS_SPARE


def memory_needed(sidecars: int) -> int:
    """An upper bound on the bytes that all processes take together."""
    return SIDECAR_BYTES * sidecars + SPARE_BYTES


def check(machine: Machine, sizes: list[int]) -> None:
    """Raise `MachineTooSmallError` where the largest size does not fit."""
    largest = max(sizes)
    needed = descriptors_needed(largest)
    if 0 <= machine.descriptors < needed:
        raise MachineTooSmallError(
            f"{largest} sidecars", f"{needed} descriptors are needed, the limit is {machine.descriptors}"
        )
    needed = memory_needed(largest)
    allowed = min(machine.available_bytes, int(machine.memory_bytes * MEMORY_PART))
    if allowed < needed:
        raise MachineTooSmallError(
            f"{largest} sidecars",
            f"{needed // 2**20} MiB are needed, {allowed // 2**20} MiB may be taken",
        )


def load_average() -> float:
    """Processes that ran or waited for a core, over the last minute."""
    return os.getloadavg()[0]


def cpu_s(pid: int) -> float:
    """Processor time of a process's threads so far, as the scheduler counts it."""
    return sum(
        float(path.read_text().split()[0]) / 1e9 for path in Path(f"/proc/{pid}/task").glob("*/schedstat")
    )


def uss_mib(pid: int) -> float:
    """Memory that is the process's own."""
    return float(psutil.Process(pid).memory_full_info().uss) / 2**20
