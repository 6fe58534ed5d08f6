"""Running a process: it starts, serves until a signal is received, and shuts down gracefully."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from typing import Protocol

from structlog.typing import FilteringBoundLogger

from brassfall.errors import BrassfallError, ListenError
from brassfall.logs import logger

SWITCH_INTERVAL_S = 0.0002  # of the interpreter, between threads


class Process(Protocol):
    """A process that is started, and closed at SIGTERM or SIGINT."""

    async def start(self) -> str:
        """Start to serve calls; return the address. Raise `OSError` if it can't be bound."""

    async def close(self) -> None:
        """Stop serving calls, and release everything."""


async def run(process: Process, listen: str, part: str, **ready_fields: str) -> int:
    """Run until SIGTERM or SIGINT, also during the start; return the exit status.

    `listen` is the configured address, `part` names its log, `ready_fields` are logged with the event
    `ready`.
    """
    # The thread of a log needs the interpreter several times per commit, and would wait 5 ms each time.
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    own = logger(part)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        at = await _started(process, stop)
    except BrassfallError as error:
        return _failed(own, error)
    except OSError as error:
        return _failed(own, ListenError(listen, error.strerror or str(error)))
    if at is not None:
        own.info("ready", listen=at, **ready_fields)
        await stop.wait()
    own.info("stopping")
    await process.close()
    return 0


def _failed(log: FilteringBoundLogger, error: BrassfallError) -> int:
    """Log why the process can't start; return the exit status."""
    log.error("can't start", reason=error.summary, action=error.action)
    return error.exit_status


async def _started(process: Process, stop: asyncio.Event) -> str | None:
    """Return the address of the started process; None if a signal was received before."""
    start = asyncio.ensure_future(process.start())
    stopped = asyncio.ensure_future(stop.wait())
    await asyncio.wait({start, stopped}, return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    await asyncio.wait({stopped})
    if start.done():
        return await start
    start.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await start
    return None
