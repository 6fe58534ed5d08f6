"""`lab capacity`: measures the parts that were asked for, and writes `figures.json` and `capacity.md`."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from brassfall.errors import UsageError
from brassfall.lab.capacity import (
    durable,
    events,
    geo,
    lists,
    machine,
    measurements,
    overrides,
    page,
    reports,
    revisions,
    tier,
)
from brassfall.lab.capacity.environment import MeasurementError
from brassfall.lab.capacity.measurements import Measurement
from brassfall.lab.capacity.part import Options, Part, Recorder


async def _datapath(options: Options, recorder: Recorder, size: int) -> None:
    """What a sidecar adds to a call. It has sizes of its own: entries on the list."""
    from brassfall.lab.capacity import datapath

    if size == min(options.sizes):
        recorder.take(await datapath.measure(datapath.DatapathOptions(), options.progress))


PARTS: dict[str, Part] = {
    "reports": reports.measure,
    "revisions": revisions.measure,
    "tier": tier.measure,
    "region": tier.measure_region,
    "events": events.measure,
    "tier-events": events.measure_tier,
    "lists": lists.measure,
    "overrides": overrides.measure,
    "geo": geo.measure,
    "durable": durable.measure,
    "datapath": _datapath,
}
SIZE_LEAST, SIZE_MOST = 3, 6000
PART_S = 600.0  # no part takes longer at one size
MEASUREMENTS, TABLES = "figures.json", "capacity.md"


def chosen_parts(text: str) -> list[str]:
    """Names of parts with commas, all of them for an empty text; `UsageError` names one that is none."""
    names = text.split(",") if text else list(PARTS)
    for name in names:
        if name not in PARTS:
            raise UsageError(f"--parts: {name!r} is none", f"there are {', '.join(PARTS)}")
    return names


def chosen_sizes(text: str) -> list[int]:
    """Numbers of sidecars with commas, in order; `UsageError` where that is none."""
    parts = text.split(",")
    if not all(part.isdecimal() and SIZE_LEAST <= int(part) <= SIZE_MOST for part in parts):
        raise UsageError(
            f"--sizes: {text!r}", f"numbers from {SIZE_LEAST} to {SIZE_MOST} with commas are wanted"
        )
    return sorted({int(part) for part in parts})


async def run(names: list[str], options: Options) -> None:
    """Measure part after part, size after size; what each found is written at once.

    Stopped by a signal or by a failure, it ends what it started, writes what it has, and raises."""
    machine.check(machine.look(), options.sizes)
    options.out.mkdir(parents=True, exist_ok=True)
    task = asyncio.current_task()
    assert task is not None
    stopped: list[int] = []

    def stop(number: int) -> None:
        stopped.append(number)
        task.cancel()

    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop, number)
    for name in names:
        for size in options.sizes:
            try:
                await _measure(name, options, size)
            except asyncio.CancelledError:
                if not stopped:
                    raise
                raise MeasurementError(f"part {name} at {size}", "told to stop") from None


async def _measure(name: str, options: Options, size: int) -> None:
    recorder = Recorder()
    options.progress(f"part {name}, size {size}")
    try:
        async with asyncio.timeout(PART_S):
            await PARTS[name](options, recorder, size)
    except TimeoutError:
        raise MeasurementError(f"part {name} at {size}", f"took longer than {PART_S:g} s") from None
    finally:
        _keep(options.out, recorder.measurements())


def _keep(out: Path, found: list[Measurement]) -> None:
    path = out / MEASUREMENTS
    stored = measurements.read(path) if path.exists() else []
    rows = measurements.merged(stored, found)
    measurements.write(path, rows)
    (out / TABLES).write_text(page.document(rows))


def write_page(out: Path, path: Path, say: Callable[[str], None]) -> None:
    """Write the tables of a page anew from the figures of a folder."""
    rows = measurements.read(out / MEASUREMENTS)
    path.write_text(page.filled(path.read_text(encoding="utf-8"), rows))
    say(f"{path}: tables from {len(rows)} figures")
