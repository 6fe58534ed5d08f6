"""Case 9: after SIGTERM a further request is taken on a kept connection, and SIGKILL finds it unanswered."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from client_standin import Answer, read_answer, request_bytes
from discovery_standin import Discovery
from platform_standin import CaseError, Record, Sidecar, play
from transcriber_standin import Transcriber, Writer

SERVERS = 9
CONNECTIONS = 4
CLASS, BUDGET_MS = "get-transcript", 660.0
ANSWER_BYTES = 8 * 1024 * 1024  # of the 32 MB that answers reach
PART_BYTES, PART_EVERY_S = 200 * 1024, 0.1  # a transcriber gives 2 MB a second: 4.1 s an answer
SIGTERM_AT_S = 2.7  # after the first requests, in the middle of their answers
SIGKILL_AFTER_S = 2.5 + 0.7  # the longest deadline and 0.7 s
LATE_ARRIVAL_S = 0.7  # what arrives later than this after SIGTERM, and is unanswered at SIGKILL, is lost
CALM_S = 9.0  # without the signals clients begin no further request after this time


async def give_long_answer(server: Transcriber, writer: Writer, call_id: str, body: bytes) -> None:
    """Give a long answer steadily, as fast as this transcriber can and the sidecar takes it."""
    del body
    data = (call_id.encode() + b" ") * (ANSWER_BYTES // 17)
    writer.write(server.head(b"Content-Length: %d\r\n" % len(data)))
    for begin in range(0, len(data), PART_BYTES):
        writer.write(data[begin : begin + PART_BYTES])
        await writer.drain()
        await asyncio.sleep(PART_EVERY_S)
    server.record.add(f"{server.name}: {call_id} answered, {len(data)} bytes")


async def use(sidecar: Sidecar, record: Record, number: int, answers: list[Answer], until: float) -> None:
    """Fetch long answers, one after the other on one connection, as long as the sidecar keeps it open."""
    reader, writer = await asyncio.open_connection(sidecar.host, sidecar.port, limit=1 << 20)
    while time.monotonic() < until:
        answer = Answer(f"{number:08x}{len(answers):08x}", CLASS, BUDGET_MS)
        writer.write(request_bytes(answer.call_id, CLASS, BUDGET_MS))
        answer.sent_at = time.monotonic()
        answers.append(answer)
        record.add(f"client: {answer.call_id} sent on connection {number}")
        await read_answer(reader, answer)
        record.add(
            f"client: {answer.call_id} answered {answer.status}, {len(answer.body)} bytes, "
            f"{answer.headers.get('connection', 'connection kept')} {answer.broken}"
        )
        if answer.broken or answer.headers.get("connection", "").lower() == "close":
            break
    writer.close()


async def restart(sidecar: Sidecar, record: Record) -> float:
    """Send SIGTERM, and SIGKILL as early as the platform may; return when SIGTERM was sent."""
    sent_at = time.monotonic()
    assert sidecar.process is not None
    sidecar.process.send_signal(signal.SIGTERM)
    record.add("platform: SIGTERM")
    while sidecar.running and time.monotonic() < sent_at + SIGKILL_AFTER_S:  # noqa: ASYNC110
        await asyncio.sleep(0.005)
    took = time.monotonic() - sent_at
    record.add(f"platform: {took:.2f} s later {'SIGKILL' if sidecar.running else 'the process has ended'}")
    if sidecar.running:
        sidecar.process.kill()
    return sent_at


async def case(record: Record, trouble: bool) -> bool:  # noqa: FBT001 - called by `play`
    """Return whether no request that arrived over 0.7 s after SIGTERM was left unanswered."""
    servers = [
        Transcriber(f"s-{number}", ("rennes", "brest")[number % 2], record, number, give_long_answer)
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    discovery = Discovery([server.entry() for server in servers])
    await discovery.start()
    sidecar = Sidecar(record, discovery.address, discovery.whole())
    answers: list[Answer] = []
    terminated_at = float("inf")
    try:
        await sidecar.start()
        until = time.monotonic() + (60.0 if trouble else CALM_S)
        uses = [
            asyncio.create_task(use(sidecar, record, number, answers, until)) for number in range(CONNECTIONS)
        ]
        if trouble:
            await asyncio.sleep(SIGTERM_AT_S)
            terminated_at = await restart(sidecar, record)
        await asyncio.wait_for(asyncio.gather(*uses), 30.0)
        crashed = not trouble and not sidecar.running
    finally:
        sidecar.end()
    forwarded = {call_id for server in servers for call_id in server.runs}
    whole = sum(answer.ended_at > 0.0 for answer in answers)
    lost = [
        answer
        for answer in answers
        if not answer.ended_at
        and answer.call_id in forwarded  # one that met a close unread may be sent once more
        and (not trouble or answer.sent_at > terminated_at + LATE_ARRIVAL_S)
    ]
    for answer in lost:
        record.add(f"lost: {answer.call_id}, sent {answer.sent_at - terminated_at:.2f} s after SIGTERM")
    record.add(
        f"requests {len(answers)}, answered whole {whole}, forwarded over 0.7 s after SIGTERM and unanswered "
        f"at SIGKILL {len(lost)}, crashed {crashed}",
        show=True,
    )
    if not whole:
        message = "no request was answered"
        raise CaseError(message)
    return not lost and not crashed


play(Path(__file__).resolve().parent, case)
