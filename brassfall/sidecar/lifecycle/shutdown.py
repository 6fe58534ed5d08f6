"""The graceful shutdown: every request that was read is answered."""

from __future__ import annotations

import asyncio

from brassfall.sidecar.clients.inbound import Inbound
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.driver import Driver

# The protocol: clients open connections for up to 0.4 s after SIGTERM. SIGKILL follows no sooner than 0.7 s
# after the longest deadline, of which 3 s count at most.
LISTEN_S = 0.5  # from SIGTERM, in which connections are accepted
# Last part of `LISTEN_S`, in which answers announce the end of their connections: a request can't cross an
# announced end, but it may cross a close.
LAST_ANSWERS_S = 0.1
MAX_DEADLINE_MS = 3000.0
# From the longest deadline until all requests are answered; leaves 0.25 s until SIGKILL for slow writes.
ANSWERED_MS = 450.0
POLL_S = 0.02
QUIET_S = 0.3  # without a request, after which the connections that are left are closed


async def drain(
    clock: Clock, inbound: Inbound, driver: Driver, *, longest_deadline_ms: float, inherited: bool
) -> None:
    """Answer the requests of all clients, and close their connections.

    Returns with all client connections closed. An `inherited` listening socket is left at once to the process
    that takes over. Cancelling stops the shutdown: connections that are open stay open.
    """
    loop = asyncio.get_running_loop()
    driver.stopping(clock.now() + min(longest_deadline_ms, MAX_DEADLINE_MS) + ANSWERED_MS)
    if inherited:
        inbound.stop_listening()
    await asyncio.sleep(LISTEN_S - LAST_ANSWERS_S)
    inbound.close_after_answers()
    await asyncio.sleep(LAST_ANSWERS_S)
    inbound.stop_listening()
    inbound.close_idle(keep_just_opened=True)
    # A request that is read on a connection that is still open starts the wait anew.
    quiet_since = loop.time()
    while not (inbound.all_connections_closed and driver.idle):
        await asyncio.sleep(POLL_S)
        inbound.close_idle(keep_just_opened=True)
        if not driver.idle or inbound.transferring:
            quiet_since = loop.time()
        elif loop.time() - quiet_since >= QUIET_S:
            break
    # In the same turn of the loop as the last check: a request that is read later would be cut off.
    inbound.close()
