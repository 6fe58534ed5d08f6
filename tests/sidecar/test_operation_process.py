"""Drain, reload, large bodies and slow clients on the real program."""

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

LARGE = 32 * 1000 * 1000
PART = b"x" * 65_536


async def health(address):
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

    async def more():
        answered = load.answered
        await until(lambda: load.answered > answered + 50)

    await more()
    assert await ask_door(admin, b"LAMEDUCK\n") == b"done lame duck\n"
    assert await health(sidecar.address) == "503"
    await more()  # what still comes is served
    path = tmp_path / "config.json"
    raw = json.loads(path.read_text())
    raw["settings"]["Profiles"].append({**raw["settings"]["Profiles"][0], "Name": "view"})
    for text in ("{", json.dumps(raw)):
        path.write_text(text)
        sidecar.process.send_signal(signal.SIGHUP)
        await more()
    assert await ask_door(admin, b"REJOIN\n") == b"done serving\n"
    assert await health(sidecar.address) == "200"
    app = await App.connect(sidecar.address)
    assert (await app.ask("GET", "/view")).body == b"done"
    await more()
    load.going = False
    await asyncio.gather(*clients)
    assert load.wrong == [] and load.crossed == 0  # answers end connections, nothing else does
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    upstream.stop()


def peak_mb(pid):
    """The most memory that a process has held."""
    return int(re.search(r"VmHWM:\s+(\d+)", Path(f"/proc/{pid}/status").read_text())[1]) / 1024


class Mirror:
    """A server that takes any body and gives as much back, without holding either."""

    def __init__(self):
        self.taken = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(re.search(rb"(?i)content-length: (\d+)", head)[1])
        left = length
        while left:
            left -= len(await reader.read(min(left, len(PART))))
        self.taken.append(length)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length)
        for _ in range(length // len(PART)):
            writer.write(PART)
            await writer.drain()
        writer.write(PART[: length % len(PART)])
        await writer.drain()

    def stop(self):
        self._server.close()


@loopback
async def test_bodies_of_32_mb_are_passed_on_in_both_directions_without_being_buffered(tmp_path):
    mirror = await Mirror().start()
    sidecar = await Process.start(tmp_path, mirror)
    assert (await sidecar.app.ask("GET", "/health/ready", X_Call_Class=None)).start.split(" ")[1] == "200"
    before = peak_mb(sidecar.process.pid)

    async def client():
        app = await App.connect(sidecar.address)
        head = partners.request("POST", "/pay", X_Budget="10000m", Content_Length=str(LARGE))
        app.writer.write(head)
        for _ in range(LARGE // len(PART)):
            app.writer.write(PART)
            await app.writer.drain()
        app.writer.write(PART[: LARGE % len(PART)])
        head = await app.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200") and b"%d" % LARGE in head
        left = LARGE
        while left:
            data = await app.reader.read(min(left, len(PART)))
            assert data, "cut off"
            left -= len(data)
        app.close()

    await asyncio.gather(*(client() for _ in range(4)))
    assert mirror.taken == [LARGE] * 4
    assert peak_mb(sidecar.process.pid) - before < 8.0  # of 256 MB that went through
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    mirror.stop()


@loopback
async def test_requests_are_served_beside_many_silent_and_slow_clients(tmp_path):
    upstream = await Upstream([OK]).start()
    admin = Address("127.0.0.1", free_port())
    limits = {"sockets": 128, "memory_mb": 40}
    sidecar = await Process.start(tmp_path, upstream, operator=f"{admin.host}:{admin.port}", limits=limits)
    await yes(admin)
    whole = partners.request("POST", "/pay", b"hello")
    slow = await App.connect(sidecar.address)
    slow.writer.write(whole[:60])
    crowd = []
    for number in range(400):
        stranger = await App.connect(sidecar.address)
        if number % 3 == 0:
            stranger.writer.write(whole[:40])
        crowd.append(stranger)
        if number % 10 == 0:
            app = await App.connect(sidecar.address)  # each true request has a new connection
            assert (await app.ask()).body == b"done"
            crowd.append(app)
            slow.writer.write(whole[60 + number // 10 : 61 + number // 10])
    slow.writer.write(whole[100:])
    assert (await slow.answer()).body == b"done"
    assert await ask_door(admin, b"PING\n") == b"done serving\n"
    assert await health(sidecar.address) == "200"
    sidecar.process.terminate()
    assert await sidecar.process.wait() == 0
    for stranger in crowd:
        stranger.close()
    upstream.stop()
