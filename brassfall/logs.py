"""Structured logs: one JSON object a line, on standard error."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterator

import msgspec
import structlog


class _StandardError:
    """Writes to standard error as it is at the time: loggers are kept, and it may be another by then."""

    def msg(self, line: str) -> None:
        """Write a line, whole."""
        sys.stderr.write(f"{line}\n")
        sys.stderr.flush()

    log = debug = info = warn = warning = error = err = critical = fatal = exception = failure = msg


def set_up() -> None:
    """Write logs from now on; times are of the wall clock, for people."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(
                serializer=lambda event, **_: msgspec.json.encode(event).decode()
            ),
        ],
        logger_factory=lambda *_: _StandardError(),
        cache_logger_on_first_use=True,
    )


def logger(part: str) -> structlog.typing.FilteringBoundLogger:
    """The log of one part of the program."""
    made: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=part)
    return made


@contextlib.contextmanager
def faults(log: structlog.typing.FilteringBoundLogger) -> Iterator[None]:
    """Log what is raised within, and go on: for tasks whose end nobody would see."""
    try:
        yield
    except Exception:
        log.exception("fault")
