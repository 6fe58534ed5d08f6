"""Case 2: a large request gets no answer if the transcriber that it is sent to hangs."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))
import deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # False: the same without the disruption

SERVERS, UPLOADS = 4, 24
# Sizes of the bodies in bytes. The pages allow up to 32 MB.
BODY_BYTES = (4_000_000, 5_000_000, 6_000_000)
BUDGET_MS = 1400.0  # A try is given up after 50 to 60% of the 2.5 s of `send-notice`
# How long after its time a request may get its final answer before it is lost, in seconds: half a second, and
# the 50 ms that every time limit is longer on sockets.
SLACK_S = 0.5 + 0.05
HANG_S = 6.0  # How long the transcriber hangs
WATCH_S = 12.0  # How long the clients wait in all, to see when an answer comes


async def upload(place: deployment.Deployment, replies: list[deployment.Reply], size: int) -> None:
    """Send one large request on a new connection, and wait for its answer."""
    connection = deployment.Client(place.port)
    reply = deployment.Reply("")
    try:
        async with asyncio.timeout(WATCH_S):
            reply = await connection.call("send-notice", BUDGET_MS, body=random.randbytes(size), into=reply)
    except TimeoutError:
        place.record(f"client {reply.call_id} stops waiting")
    replies.append(reply)
    connection.close()


async def play(place: deployment.Deployment) -> list[str]:
    """Return one line for each large request that got no final answer in time."""
    await place.start(SERVERS, deployment.settings())
    for _ in range(40):  # All transcribers are known and have served requests before the trouble
        connection = deployment.Client(place.port)
        await connection.call("get-transcript", 660.0)
        connection.close()
    if TROUBLE:
        hung = next(iter(place.servers))
        place.signal_server(hung, signal.SIGSTOP)
        asyncio.get_running_loop().call_later(HANG_S, place.signal_server, hung, signal.SIGCONT)
    replies: list[deployment.Reply] = []
    began = time.monotonic()
    async with asyncio.TaskGroup() as group:
        for number in range(UPLOADS):
            group.create_task(upload(place, replies, BODY_BYTES[number % len(BODY_BYTES)]))
            await asyncio.sleep(0.1)
    breaches = []
    for reply in sorted(replies, key=lambda reply: reply.began_at):
        written = f"{reply.last_byte_at - began:.3f}" if reply.last_byte_at else "never"
        answered = f"{reply.answered_at - began:.3f}" if reply.whole else "never"
        place.record(
            f"client {reply.call_id} began {reply.began_at - began:.3f}, last byte {written}, "
            f"answer {reply.status} {answered}"
        )
        if not reply.last_byte_at:
            continue  # Its last byte was not written, so the sidecar has not taken it
        # A connection that the sidecar ends in time has failed and is not lost, as the first request on it.
        over_at = reply.answered_at if reply.whole else reply.ended_at or time.monotonic()
        late_s = over_at - reply.last_byte_at
        if late_s > BUDGET_MS / 1000.0 + SLACK_S:
            what = f"answered {reply.status}" if reply.whole else "not answered"
            breaches.append(
                f"request {reply.call_id} was {what} {late_s:.1f} s after its last byte was written"
            )
    if not any(reply.whole and reply.status == 200 for reply in replies):
        message = "no large request was served"
        raise deployment.CannotRunError(message)
    return breaches


if __name__ == "__main__":
    sys.exit(deployment.run(Path(__file__).resolve().parent, play, trouble=TROUBLE))
