"""The program: one sidecar, controlled by signals."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

from brassfall.sidecar import config, log
from brassfall.sidecar.config import Config, ConfigError
from brassfall.sidecar.lifecycle.sidecar import Sidecar

ADDRESS_ADVICE = "stop the process that has that address or configure another one, and start again"
BAD_CONFIGURATION = 2  # exit status
CANNOT_START = 1  # exit status


async def serve(configuration: Config) -> None:
    """Run one sidecar until SIGTERM or SIGINT, and then its graceful shutdown; SIGHUP reloads the file.

    Raises `OSError` if an address can't be had.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    sidecar = Sidecar(loop, configuration)
    loop.add_signal_handler(signal.SIGHUP, sidecar.reload, os.environ)
    if await _started(sidecar, stop):
        # Objects of the startup live on: without them, later collections stop the loop for less time.
        gc.collect()
        gc.freeze()
        await stop.wait()
        await sidecar.drain()
    if sidecar.member is not None:
        await sidecar.member.agent.leave()
    # While the loop closes, their handlers are gone and a signal would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    sidecar.close()


async def _started(sidecar: Sidecar, stop: asyncio.Event) -> bool:
    """Start the sidecar; return False if `stop` was set first, before any client was accepted."""
    start, stopped = asyncio.create_task(sidecar.start()), asyncio.create_task(stop.wait())
    await asyncio.wait((start, stopped), return_when=asyncio.FIRST_COMPLETED)
    stopped.cancel()
    if start.done():
        await start
        return True
    start.cancel()
    await asyncio.wait((start,))
    log.info("SIGTERM during startup, exiting")
    return False


def main() -> int:
    """Run one sidecar that is configured by the environment; return the exit status."""
    try:
        configuration = config.load(os.environ)
    except ConfigError as error:
        log.error("can't start", reason=error, action=error.action)
        return BAD_CONFIGURATION
    try:
        asyncio.run(serve(configuration))
    except OSError as error:
        log.error("can't start", reason=error, action=ADDRESS_ADVICE)
        return CANNOT_START
    return 0


if __name__ == "__main__":
    sys.exit(main())
