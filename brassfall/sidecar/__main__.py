"""The program that runs one sidecar and is controlled by signals."""

from __future__ import annotations

import brassfall.sidecar.without_openssl  # noqa: F401 - must be the first import

# isort: split
import asyncio
import gc
import os
import signal
import sys

from brassfall.sidecar import config, log, memory
from brassfall.sidecar.config import Config, ConfigError
from brassfall.sidecar.lifecycle.sidecar import Sidecar

ADDRESS_ADVICE = "stop the process that uses the address or configure another address, and start again"
INVALID_CONFIGURATION_STATUS = 2  # Exit status after an invalid configuration
START_FAILED_STATUS = 1  # Exit status if the sidecar can't listen on an address


async def serve(configuration: Config) -> None:
    """Run one sidecar until SIGTERM or SIGINT, and then shut it down gracefully.

    SIGHUP reloads the configuration file. Raise `OSError` if the sidecar can't listen on an address.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    sidecar = Sidecar(loop, configuration)
    sidecar.process_size = memory.resident_bytes
    loop.add_signal_handler(signal.SIGHUP, sidecar.reload, os.environ)
    if await _started(sidecar, stop):
        # Objects created during startup live as long as the process. Excluding them from garbage collection
        # shortens the pauses of the event loop by later collections.
        gc.collect()
        gc.freeze()
        await stop.wait()
        await sidecar.drain()
    if sidecar.member is not None:
        await sidecar.member.agent.leave()
    # The signals are blocked, because the event loop removes its handlers as it closes and a signal would
    # then kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    sidecar.close()


async def _started(sidecar: Sidecar, stop: asyncio.Event) -> bool:
    """Start the sidecar; return False if `stop` is set before it accepts clients."""
    start_task, stop_task = asyncio.create_task(sidecar.start()), asyncio.create_task(stop.wait())
    await asyncio.wait((start_task, stop_task), return_when=asyncio.FIRST_COMPLETED)
    stop_task.cancel()
    if start_task.done():
        await start_task
        return True
    start_task.cancel()
    await asyncio.wait((start_task,))
    log.info("SIGTERM during startup, exiting")
    return False


def main() -> int:
    """Run one sidecar with the configuration that the environment names; return the exit status."""
    try:
        configuration = config.load(os.environ)
    except ConfigError as error:
        log.error("can't start", reason=error, action=error.action)
        return INVALID_CONFIGURATION_STATUS
    try:
        asyncio.run(serve(configuration))
    except OSError as error:
        log.error("can't start", reason=error, action=ADDRESS_ADVICE)
        return START_FAILED_STATUS
    return 0


if __name__ == "__main__":
    sys.exit(main())
