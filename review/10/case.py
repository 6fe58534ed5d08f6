"""Clients that send many commands at once and go, and the memory of the sidecar."""
# ruff: noqa

import asyncio
import signal
from pathlib import Path

from rig import BREIZH, BROKEN, HELD, HOST, TROUBLE, Client, Discovery, Sidecar, Transcriber
from rig import main, now, request_bytes, settings

LIMITS = {"cores": 1.0, "memory_mb": 80, "sockets": 384}
CLIENTS, COMMANDS = 25, 400  # 400 commands are about 60 kB
APART_S, STAY_S = 0.12, 2.0
ANSWER_BYTES = 60_000


async def case(record, folder):
    discovery = Discovery(record)
    await discovery.start()
    names = ("s-5be2a07c", "s-7a01cc10", "s-11aa42d9")
    transcribers = [Transcriber(name, record, 0.02, ANSWER_BYTES) for name in names]
    for transcriber in transcribers:
        await transcriber.start()
        discovery.put(transcriber.name, address=transcriber.address)
    known = list(discovery.entries.values())
    sidecar = Sidecar(record, folder, "n1", settings(BREIZH), discovery.address, known, limits=LIMITS)
    await sidecar.start()
    record.say(f"memory at the start: {sidecar.anonymous_mb():.1f} MB of {LIMITS['memory_mb']}")
    most, killed = 0.0, False

    async def platform():
        nonlocal most, killed
        while True:
            memory = sidecar.anonymous_mb()
            most = max(most, memory)
            record("memory", f"{memory:.1f} MB")
            if memory > LIMITS["memory_mb"]:
                killed = True
                sidecar.signal(signal.SIGKILL)
                return
            await asyncio.sleep(0.05)

    async def at_once(number):
        """Send many commands at once, and go without having read the answers."""
        await asyncio.sleep(number * APART_S)
        _, writer = await asyncio.open_connection(HOST, sidecar.port, limit=2**12)
        writer.transport.pause_reading()
        ids = [f"{number:04x}{count:012x}" for count in range(COMMANDS)]
        writer.write(b"".join(request_bytes("get-transcript", call_id, 1200) for call_id in ids))
        record("a client has sent", COMMANDS, "commands at once")
        await asyncio.sleep(STAY_S)
        writer.transport.abort()
        record("a client has gone")

    async def one_by_one(number):
        """Send as many commands, one at a time, and read the answers, as long as the others would stay."""
        await asyncio.sleep(number * APART_S)
        client, until = Client(sidecar.port, record), now() + STAY_S
        for count in range(COMMANDS):
            if now() > until:
                break
            await client.call("get-transcript", f"{number:04x}{count:012x}", 1200)
        client.close()

    watch = asyncio.create_task(platform())
    kind = at_once if TROUBLE else one_by_one
    clients = [asyncio.create_task(kind(number)) for number in range(CLIENTS)]
    while not killed and not all(client.done() for client in clients):
        await asyncio.sleep(0.05)
    for task in (watch, *clients):
        task.cancel()
    await asyncio.gather(watch, *clients, return_exceptions=True)
    if not killed and sidecar.process.returncode is not None:
        record.say("the sidecar has ended by itself")
        return BROKEN
    ran = sum(len(transcriber.runs) for transcriber in transcribers)
    record.say(f"most memory: {most:.1f} MB of {LIMITS['memory_mb']}, {ran} attempts run, killed: {killed}")
    if not killed and ran < 100:
        raise RuntimeError(f"only {ran} attempts ran")
    return BROKEN if killed else HELD


main(case, Path(__file__).parent)
