"""Structured logs: one JSON object a line, on standard error."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Iterator

import msgspec
import structlog

REPORT = "Report it with the traceback: a defect of the program."


class _StandardError:
    """Sink that looks up standard error at each line, since cached loggers outlive a redirection."""

    def msg(self, line: str) -> None:
        """Write one line and flush it."""
        sys.stderr.write(f"{line}\n")
        sys.stderr.flush()

    log = debug = info = warn = warning = error = err = critical = fatal = exception = failure = msg


def set_up() -> None:
    """Configure logging for this process; times are of the wall clock, in UTC."""
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
    """Return the logger of one part of the program."""
    made: structlog.typing.FilteringBoundLogger = structlog.get_logger(part=part)
    return made


@contextlib.contextmanager
def faults(log: structlog.typing.FilteringBoundLogger) -> Iterator[None]:
    """Log an exception raised within with its traceback and suppress it, for tasks that nothing awaits."""
    try:
        yield
    except Exception:
        log.exception("unexpected exception in this program", action=REPORT)
