"""Idle clients, in a process of their own: `python -m tests.support.idle_clients HOST PORT COUNT LIMIT_S`.

They share no event loop with the test, whose own client they would delay. The process writes a line once each
of them has been connected, and ends after `LIMIT_S` seconds at the latest.
"""

from __future__ import annotations

import asyncio
import signal
import sys

CONNECTED = b"connected\n"  # the line that the process writes


async def stay_connected_idle(address, connected):
    """Run a client that connects, sends nothing, and connects again whenever it is disconnected."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
            try:
                connected.set()
                await reader.read()
            finally:
                writer.transport.abort()
        except OSError:
            await asyncio.sleep(0)  # a refused connection lets the other clients run, too


async def run(address, count):
    """Run so many clients without an end."""
    connected = [asyncio.Event() for _ in range(count)]
    async with asyncio.TaskGroup() as clients:
        for event in connected:
            clients.create_task(stay_connected_idle(address, event))
        for event in connected:
            await event.wait()
        sys.stdout.buffer.write(CONNECTED)
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    _, host, port, count, limit_s = sys.argv
    signal.setitimer(signal.ITIMER_REAL, float(limit_s))  # the signal ends the process
    asyncio.run(run((host, int(port)), int(count)))
