"""The life of a process: it starts, serves until a signal comes, and shuts down gracefully."""

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
    """A process that is started, and closed when SIGTERM or SIGINT comes."""

    async def start(self) -> str:
        """Begin, and take calls; where. `OSError` where the address can't be had."""

    async def close(self) -> None:
        """Take no more calls, and end what was begun."""


async def run(process: Process, listen: str, part: str, **ready_fields: str) -> int:
    """Run until SIGTERM or SIGINT, also while it starts; the exit status.

    `listen` is the address that it is to have, `part` names its log, `ready_fields` go into the log with the
    event `ready`."""
    # Threads of a log ask for the interpreter several times in each commit, and would wait 5 ms
    # for it each time while calls come in.
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
    """Log why it can't start; the exit status."""
    log.error("can't start", reason=error.summary, action=error.action)
    return error.exit_status


async def _started(process: Process, stop: asyncio.Event) -> str | None:
    """Where it listens; None where it was told to end before it had started."""
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
