"""`brassfall registry bench`: the throughput and latency of one list service on this machine.

The service runs in a process of its own, and so does each load generator. Each value is of one round; the
table has the median of all rounds, the least and the most.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import sys
import tempfile
from collections.abc import Callable, Iterator
from pathlib import Path

import psutil

from brassfall.lab.registry_benchmark import measurements
from brassfall.lab.registry_benchmark.service import DEFAULT_BATCH
from brassfall.lab.registry_benchmark.table import Table

WRITERS = (1, 16, 64)
WATCHES = (100, 1000, 5000)
CHANGES = 10  # of the list, that each watch receives
ENTRIES = (1000, 20_000)


async def run(rounds: int, seconds: float, say: Callable[[str], None]) -> str:
    """Measure everything `rounds` times; return the table. `seconds` is the length of a load of writes.

    Cancelling ends the processes that it has started.
    """
    table = Table()
    for number in range(rounds):
        await _measure_writes(table, seconds)
        say(f"round {number + 1} of {rounds}: writes done")
        await _measure_watches(table)
        say(f"round {number + 1} of {rounds}: watches done")
        await _measure_starts(table)
        say(f"round {number + 1} of {rounds}: starts done")
    memory_gib = psutil.virtual_memory().total / 2**30
    machine = f"{os.cpu_count()} cores, {memory_gib:.0f} GiB, Python {sys.version.split()[0]}"
    return f"{machine}; {rounds} rounds of {seconds:g} s\n\n{table.markdown()}"


async def _measure_writes(table: Table, seconds: float) -> None:
    for writers in WRITERS:
        for batch in (DEFAULT_BATCH, 1):
            with _temporary_folder() as folder:
                writes = await measurements.measure_writes(folder, writers, batch, seconds)
            name = f"{writers} writers" + ("" if batch > 1 else ", a sync for each write")
            table.add(f"acknowledged writes, {name}", "1/s", writes.per_s)
            table.add(f"p99 of a write, {name}", "ms", writes.p99_ms)
            if batch > 1:
                table.add(f"processor time of the service, {name}", "cores", writes.cores)
    with _temporary_folder() as folder:
        per_s = await asyncio.to_thread(measurements.syncs_per_s, folder, seconds)
        table.add("syncs of 4 KiB on this disk, one after the other", "1/s", per_s)


async def _measure_watches(table: Table) -> None:
    for count in WATCHES:
        with _temporary_folder() as folder:
            watches = await measurements.measure_watches(folder, count, CHANGES)
        name = f"{count} watches"
        table.add(f"from write to watcher, p50, {name}", "ms", watches.p50_ms)
        table.add(f"from write to watcher, p99, {name}", "ms", watches.p99_ms)
        table.add(f"from write to the last watcher, {name}", "ms", watches.most_ms)
        table.add(f"memory of each watch, {name}", "KiB", watches.kib)
        table.add(f"a write while all watches open, p99, {name}", "ms", watches.opening_write_p99_ms)


async def _measure_starts(table: Table) -> None:
    for entries in ENTRIES:
        with _temporary_folder() as folder:
            starts = await measurements.measure_starts(folder, entries)
        table.add(f"start with {entries} entries", "s", starts.full_s)
    table.add("start with none", "s", starts.empty_s)


@contextlib.contextmanager
def _temporary_folder() -> Iterator[Path]:
    """Create a folder in the current one, on the disk to be measured, and remove it at the end."""
    folder = Path(tempfile.mkdtemp(prefix="brassfall-bench-", dir="."))
    try:
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)
