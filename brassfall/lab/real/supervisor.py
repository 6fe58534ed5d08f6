"""Ends processes whose starter is gone: `python -m brassfall.lab.real.supervisor`.

It is told process ids, one a line, and kills those that still live when its standard input ends. An id
counts only with the time at which its process was started, so that nobody else's is ever struck.
"""

from __future__ import annotations

import sys

import psutil


def end(pid: int, started: float) -> None:
    """Kill one process, if it is still the one that was meant."""
    try:
        process = psutil.Process(pid)
        if abs(process.create_time() - started) < 0.5:
            process.kill()
    except psutil.NoSuchProcess:
        pass


def main() -> None:
    """Read until the end, and clear up."""
    process_starts: dict[int, float] = {}
    try:
        for line in sys.stdin:
            pid = int(line)
            try:
                process_starts[pid] = psutil.Process(pid).create_time()
            except psutil.NoSuchProcess:
                continue
    except KeyboardInterrupt:
        pass  # a Ctrl-C goes to the lab too, which then ends all by itself, or dies
    for pid, started in process_starts.items():
        end(pid, started)


if __name__ == "__main__":
    main()
