"""Kills the processes of a play whose controller has ended: `python -m brassfall.lab.real.supervisor`.

It reads process ids from standard input, one a line, and kills those that still run when it ends. A process
is identified by its id and its start time, so that another process that got the same id is left alone.
"""

from __future__ import annotations

import contextlib
import sys

import psutil

START_TOLERANCE_S = 0.5


def kill(pid: int, started: float) -> None:
    """Kill one process, unless its id now belongs to one that started at another time."""
    with contextlib.suppress(psutil.NoSuchProcess):
        process = psutil.Process(pid)
        if abs(process.create_time() - started) < START_TOLERANCE_S:
            process.kill()


def main() -> None:
    """Read process ids until standard input ends, then kill what still runs."""
    process_starts: dict[int, float] = {}
    # Ctrl-C reaches the controller too, which ends its processes itself, or exits.
    with contextlib.suppress(KeyboardInterrupt):
        for line in sys.stdin:
            pid = int(line)
            with contextlib.suppress(psutil.NoSuchProcess):
                process_starts[pid] = psutil.Process(pid).create_time()
    for pid, started in process_starts.items():
        kill(pid, started)


if __name__ == "__main__":
    main()
