"""`lab capacity`: measures the parts that were asked for, and writes `figures.json` and `capacity.md`."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from brassfall.errors import UsageError
from brassfall.lab.capacity import (
    durable,
    figures,
    geo,
    lists,
    machine,
    overrides,
    page,
    reports,
    revisions,
    tier,
)
from brassfall.lab.capacity.environment import MeasurementError
from brassfall.lab.capacity.figures import Figure
from brassfall.lab.capacity.part import Options, Part

PARTS: dict[str, Part] = {
    "reports": reports.measure,
    "revisions": revisions.measure,
    "tier": tier.measure,
    "lists": lists.measure,
    "overrides": overrides.measure,
    "geo": geo.measure,
    "durable": durable.measure,
}
SIZE_LEAST, SIZE_MOST = 3, 6000
PART_S = 1500.0  # no part takes longer
FIGURES, TABLES = "figures.json", "capacity.md"


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
    """Measure part after part; what each found is written at once."""
    machine.check(machine.look(), options.sizes)
    options.out.mkdir(parents=True, exist_ok=True)
    task = asyncio.current_task()
    assert task is not None
    told_to_stop: list[int] = []

    def stop(number: int) -> None:
        """All that was started is ended on the way out."""
        told_to_stop.append(number)
        task.cancel()

    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop, number)
    for name in names:
        options.progress(f"part {name}")
        try:
            async with asyncio.timeout(PART_S):
                found = await PARTS[name](options)
        except TimeoutError:
            raise MeasurementError(f"part {name}", f"took longer than {PART_S:g} s") from None
        except asyncio.CancelledError:
            if not told_to_stop:
                raise
            raise MeasurementError(f"part {name}", "told to stop") from None
        _keep(options.out, found)


def _keep(out: Path, found: list[Figure]) -> None:
    path = out / FIGURES
    held = figures.read(path) if path.exists() else []
    rows = figures.merged(held, found)
    figures.write(path, rows)
    (out / TABLES).write_text(page.document(rows))


def write_page(out: Path, path: Path, say: Callable[[str], None]) -> None:
    """Write the tables of a page anew from the figures of a folder."""
    rows = figures.read(out / FIGURES)
    (out / TABLES).write_text(page.document(rows))
    path.write_text(page.filled(path.read_text(encoding="utf-8"), rows))
    say(f"{path}: tables from {len(rows)} figures")
