"""The log of a sidecar: lines on standard error."""

from __future__ import annotations

import contextlib
import sys


def log(text: str) -> None:
    """Write a line, or the lines of a traceback; errors in writing are ignored, so that requests go on."""
    with contextlib.suppress(OSError):
        print(text.rstrip(), file=sys.stderr, flush=True)
