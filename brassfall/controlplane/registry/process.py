"""Running a control-plane process: it starts, serves until a signal arrives, and shuts down gracefully."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from typing import Protocol

from structlog.typing import FilteringBoundLogger

from brassfall.errors import BrassfallError, ListenError
from brassfall.logs import logger

SWITCH_INTERVAL_S = 0.0002  # interval at which the interpreter may switch between threads


class Process(Protocol):
    """A process that `run` starts, and closes at SIGTERM or SIGINT."""

    async def start(self) -> str:
        """Start to serve calls; return the address as HOST:PORT. Raise `OSError` if it can't be bound."""

    async def close(self) -> None:
        """Stop serving calls, and release all resources."""


async def run(process: Process, listen: str, log_name: str, **ready_fields: str) -> int:
    """Run a process until SIGTERM or SIGINT, which may also end its start; return the exit status.

    `listen` is the configured address, `log_name` is the name of the process in its log, and `ready_fields`
    are logged with the event `ready`.
    """
    # The thread of the store's log needs the interpreter several times per commit. With the default switch
    # interval it would wait 5 ms each time.
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    process_log = logger(log_name)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    try:
        address = await _start_unless_stopped(process, stop)
    except BrassfallError as error:
        return _log_start_failure(process_log, error)
    except OSError as error:
        return _log_start_failure(process_log, ListenError(listen, error.strerror or str(error)))
    if address is not None:
        process_log.info("ready", listen=address, **ready_fields)
        await stop.wait()
    process_log.info("stopping")
    await process.close()
    return 0


def _log_start_failure(log: FilteringBoundLogger, error: BrassfallError) -> int:
    """Log why the process can't start; return its exit status."""
    log.error("can't start", reason=error.summary, action=error.action)
    return error.exit_status


async def _start_unless_stopped(process: Process, stop: asyncio.Event) -> str | None:
    """Start a process; return its address, or None if a signal arrived before the start was complete."""
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
