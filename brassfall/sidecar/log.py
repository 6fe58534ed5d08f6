"""The log of a sidecar, which has one line on standard error for each event.

A line has a level, the event as a constant phrase, the values as fields, and for warnings and errors what an
operator can do, for example `ERROR peers: message not sent, peer=3 bytes=257; report it as a defect`. The
page `docs/operations.md` lists the events.
"""

from __future__ import annotations

import contextlib
import sys


def info(event: str, **fields: object) -> None:
    """Log an event of normal operation."""
    _write("INFO", event, fields)


def warning(event: str, *, action: str, **fields: object) -> None:
    """Log a fault outside of the sidecar, which goes on serving; `action` is what an operator can do."""
    _write("WARNING", event, fields, action)


def error(event: str, *, action: str, traceback: str = "", **fields: object) -> None:
    """Log a defect of the sidecar or why it can't start; `action` is what an operator can do."""
    _write("ERROR", event, fields, action, traceback)


def _write(level: str, event: str, fields: dict[str, object], action: str = "", traceback: str = "") -> None:
    """Write one log line, and the traceback after it, if any.

    Errors in writing the log are ignored, so that requests are not affected.
    """
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
