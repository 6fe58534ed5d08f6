"""The graceful shutdown, which answers every request that the sidecar has read."""

from __future__ import annotations

import asyncio

from brassfall.sidecar.clients.inbound import Inbound
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.driver import Driver

# The protocol of a shutdown: clients open new connections for up to 0.4 s after SIGTERM. SIGKILL follows at
# the earliest 0.7 s after the longest deadline, where a deadline counts as at most 3 s.
LISTEN_S = 0.5  # Seconds after SIGTERM in which new connections are accepted
# Last part of `LISTEN_S`, in seconds, in which each answer announces the end of its connection. Closing
# without an announcement could cross with a request that the client is just sending; an announced end can't.
LAST_ANSWERS_S = 0.1
MAX_DEADLINE_MS = 3000.0  # Longest deadline that counts for the time of a shutdown, in milliseconds
# Milliseconds after the longest deadline by which all requests are answered; 0.25 s remain until SIGKILL for
# slow writes.
ANSWERED_MS = 450.0
POLL_S = 0.02  # Interval between two checks for requests during the shutdown, in seconds
QUIET_S = 0.3  # Seconds without a request after which the remaining connections are closed


async def drain(
    clock: Clock, inbound: Inbound, driver: Driver, *, longest_deadline_ms: float, inherited: bool
) -> None:
    """Answer the requests of all clients, and close all client connections.

    `longest_deadline_ms` is the longest deadline of a request class. An `inherited` listening socket is no
    longer used from the start, since another process takes over. If this coroutine is cancelled, the shutdown
    stops and open connections stay open.
    """
    loop = asyncio.get_running_loop()
    driver.answer_all_by(clock.now() + min(longest_deadline_ms, MAX_DEADLINE_MS) + ANSWERED_MS)
    if inherited:
        inbound.stop_listening()
    await asyncio.sleep(LISTEN_S - LAST_ANSWERS_S)
    inbound.close_after_answers()
    await asyncio.sleep(LAST_ANSWERS_S)
    inbound.stop_listening()
    inbound.close_idle(keep_just_opened=True)
    # Each request that is read on an open connection restarts the wait for a time without requests.
    quiet_since = loop.time()
    while not (inbound.all_connections_closed and driver.idle):
        await asyncio.sleep(POLL_S)
        inbound.close_idle(keep_just_opened=True)
        if not driver.idle or inbound.transferring:
            quiet_since = loop.time()
        elif loop.time() - quiet_since >= QUIET_S:
            break
    # The connections close in the same turn of the event loop as the last check, because a request that is
    # read between the two would get no answer.
    inbound.close()
