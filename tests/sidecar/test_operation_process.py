"""The real program in operation: drain, reload, large bodies and slow clients."""

from __future__ import annotations

import asyncio
import json
import re
import signal
from pathlib import Path

from brassfall.sidecar.config_values import Address
from tests.support import loopback as partners
from tests.support.loopback import OK, App, Upstream, loopback, until
from tests.support.processes import Load, Process, ask_door, free_port, yes

LARGE = 32 * 1000 * 1000  # Size of a large body, in bytes
PART = b"x" * 65_536


async def readiness_status(address):
    """Return the status code of the readiness check, which is sent on a new connection."""
    app = await App.connect(address)
    answer = await app.ask("GET", "/health/ready", X_Call_Class=None)
    app.close()
    return answer.start.split(" ")[1]


@loopback
async def test_a_process_drains_rejoins_and_reloads_under_load(tmp_path):
    upstream = await Upstream([OK]).start()
    admin = Address("127.0.0.1", free_port())
    sidecar = await Process.start(tmp_path, upstream, operator=f"{admin.host}:{admin.port}")
    await yes(admin)
    load = Load(sidecar.address)
    clients = [asyncio.create_task(load.client()) for _ in range(6)]

    async def more_answers():
        """Wait until 50 more requests are answered."""
        answered = load.answered
        await until(lambda: load.answered > answered + 50)

    await more_answers()
    assert await ask_door(admin, b"LAMEDUCK\n") == b"done lame duck\n"
    assert await readiness_status(sidecar.address) == "503"
    await more_answers()  # New requests are still served
    path = tmp_path / "config.json"
    raw = json.loads(path.read_text())
    raw["settings"]["Profiles"].append({**raw["settings"]["Profiles"][0], "Name": "view"})
    for text in ("{", json.dumps(raw)):
        path.write_text(text)
        sidecar.process.send_signal(signal.SIGHUP)
        await more_answers()
    assert await ask_door(admin, b"REJOIN\n") == b"done serving\n"
    assert await readiness_status(sidecar.address) == "200"
    app = await App.connect(sidecar.address)
    assert (await app.ask("GET", "/view")).body == b"done"
    await more_answers()
    load.going = False
    await asyncio.gather(*clients)
    assert load.wrong == [] and load.crossed == 0  # Connections end only where an answer announces it
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    upstream.stop()


def peak_memory_mb(pid):
    """Return the largest resident memory that a process has had, in MiB."""
    return int(re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())[1]) / 1024


class MirrorServer:
    """A server that answers each request with a body of the same length, and buffers neither body."""

    def __init__(self):
        self.lengths = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
        remaining = length
        while remaining:
            remaining -= len(await reader.read(min(remaining, len(PART))))
        self.lengths.append(length)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        for _ in range(length // len(PART)):
            writer.write(PART)
            await writer.drain()
        writer.write(PART[: length % len(PART)])
        await writer.drain()

    def stop(self):
        self._server.close()


@loopback
async def test_bodies_of_32_mb_are_streamed_in_both_directions_without_being_buffered(tmp_path):
    mirror = await MirrorServer().start()
    sidecar = await Process.start(tmp_path, mirror)
    assert (await sidecar.app.ask("GET", "/health/ready", X_Call_Class=None)).start.split(" ")[1] == "200"
    peak_before_mb = peak_memory_mb(sidecar.process.pid)

    async def client(call_id):
        app = await App.connect(sidecar.address)
        headers = {"X_Call_Id": call_id, "X_Budget": "10000m", "Content_Length": str(LARGE)}
        head = partners.request("POST", "/pay", **headers)
        app.writer.write(head)
        for _ in range(LARGE // len(PART)):
            app.writer.write(PART)
            await app.writer.drain()
        app.writer.write(PART[: LARGE % len(PART)])
        head = await app.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200") and b"%d" % LARGE in head
        remaining = LARGE
        while remaining:
            data = await app.reader.read(min(remaining, len(PART)))
            assert data, "the answer was cut off"
            remaining -= len(data)
        app.close()

    await asyncio.gather(*(client(f"large-{number}") for number in range(4)))
    assert mirror.lengths == [LARGE] * 4
    assert peak_memory_mb(sidecar.process.pid) - peak_before_mb < 8.0  # While 256 MB were streamed
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    mirror.stop()


@loopback
async def test_requests_are_served_while_many_other_clients_are_silent_or_slow(tmp_path):
    upstream = await Upstream([OK]).start()
    admin = Address("127.0.0.1", free_port())
    limits = {"sockets": 128, "memory_mb": 40}
    sidecar = await Process.start(tmp_path, upstream, operator=f"{admin.host}:{admin.port}", limits=limits)
    await yes(admin)
    message = partners.request("POST", "/pay", b"hello")
    slow = await App.connect(sidecar.address)
    slow.writer.write(message[:60])
    connections = []
    for number in range(400):
        client = await App.connect(sidecar.address)
        if number % 3 == 0:
            client.writer.write(message[:40])
        connections.append(client)
        if number % 10 == 0:
            app = await App.connect(sidecar.address)  # Each complete request is sent on a new connection
            assert (await app.ask()).body == b"done"
            connections.append(app)
            slow.writer.write(message[60 + number // 10 : 61 + number // 10])
    slow.writer.write(message[100:])
    assert (await slow.answer()).body == b"done"
    assert await ask_door(admin, b"PING\n") == b"done serving\n"
    assert await readiness_status(sidecar.address) == "200"
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    for client in connections:
        client.close()
    upstream.stop()
