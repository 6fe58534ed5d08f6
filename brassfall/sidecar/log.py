"""Log of a sidecar: one line for each event on standard error.

A line has a level, an event that is a constant phrase, the values as fields, and for warnings and errors what
an operator can do: `WARNING peers: message not sent, peer=3 bytes=257; report it`. `docs/operations.md` lists
the events.
"""

from __future__ import annotations

import contextlib
import sys


def info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    _write("INFO", event, fields)


def warning(event: str, *, action: str, **fields: object) -> None:
    """Log a fault of something outside, and what an operator can do; the sidecar goes on serving."""
    _write("WARNING", event, fields, action)


def error(event: str, *, action: str, traceback: str = "", **fields: object) -> None:
    """Log a defect, or a reason for not starting, and what an operator can do."""
    _write("ERROR", event, fields, action, traceback)


def _write(level: str, event: str, fields: dict[str, object], action: str = "", traceback: str = "") -> None:
    """Write one line, and a traceback behind it; errors in writing are ignored, so that requests go on."""
    values = " ".join(f"{name}={value}" for name, value in fields.items())
    line = f"{level} {event}"
    if values:
        line += f", {values}"
    if action:
        line += f"; {action}"
    if traceback:
        line += f"\n{traceback.rstrip()}"
    with contextlib.suppress(OSError):
        print(line, file=sys.stderr, flush=True)
