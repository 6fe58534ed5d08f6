"""The memory of a real process while many clients make it keep as much as they can.

The process has the least memory that the platform names, and the most descriptors.
"""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from pathlib import Path

import pytest

from brassfall.sidecar import memory
from tests.support.loopback import OK, PATIENCE_S, App, Upstream, bounded, request
from tests.support.processes import ROOT, Process, ask_door, free_port

MEMORY_MB, SOCKETS = 32, 1024
CLIENTS = 400
STAY_S = 2.0  # time for which each client stays connected, in seconds
LIMITS = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
LONG_BUDGET = "5000m"
ANSWER_BYTES = 8_000_000
LONG_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES + b"x" * ANSWER_BYTES
SHORT_HEADERS = {f"x_{number:04}": "a3" for number in range(1800)}


def most_memory_mb(process):
    """Return the most resident memory that a process has had, with mapped files, in MB."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024.0


async def send_and_stay(address, data):
    """Send `data`, read nothing, and stay connected until the sidecar closes or `STAY_S` is over."""
    with contextlib.suppress(OSError):
        _, writer = await asyncio.open_connection(*address, limit=1024)
        writer.transport.pause_reading()
        writer.write(data)
        await asyncio.sleep(STAY_S)
        writer.transport.abort()


BEHAVIOURS = {
    "stopped half way through a large request": (request("POST", "/pay", b"x" * 200_000)[:100_000], OK),
    "stopped in a head of very many short fields": (request(**SHORT_HEADERS)[:-2], OK),
    "stopped behind a head of very many short fields": (
        request("POST", "/pay", b"x" * 1000, **SHORT_HEADERS)[:-1],
        OK,
    ),
    "sent a body of 60 kB": (request("POST", "/pay", b"x" * 60_000, X_Budget=LONG_BUDGET), None),
    "read nothing of a long answer": (request(X_Budget=LONG_BUDGET), LONG_ANSWER),
    "sent many requests and read no answer": (
        200 * request(X_Budget=LONG_BUDGET),
        b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000,
    ),
}


@pytest.mark.parametrize("behaviour", BEHAVIOURS)
@bounded(4 * PATIENCE_S)
async def test_many_clients_do_not_take_a_process_over_its_memory_limit(behaviour, tmp_path):
    """Guards against memory that grows with the clients: four of these once got the process killed."""
    data, answer = BEHAVIOURS[behaviour]
    upstreams = [await Upstream([answer]).start() for _ in range(4)]
    sidecar = await Process.start(tmp_path, *upstreams, limits=LIMITS)
    try:
        async with asyncio.TaskGroup() as clients:
            for _ in range(CLIENTS):
                clients.create_task(send_and_stay(sidecar.address, data))
                await asyncio.sleep(0.004)
        assert most_memory_mb(sidecar.process) <= MEMORY_MB
        async with asyncio.timeout(PATIENCE_S):
            while (await (await App.connect(sidecar.address)).ask("GET", "/health/ready")).status != 200:
                await asyncio.sleep(0.05)
    finally:
        sidecar.process.kill()
        await sidecar.process.wait()
        for upstream in upstreams:
            upstream.stop()


def test_a_process_has_no_memory_for_openssl():
    """Guards against 5 MB in each process for a library that the sidecar does not use."""
    program = "import brassfall.sidecar.__main__; print(open('/proc/self/maps').read())"
    command = [sys.executable, "-c", program]
    mapped = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    assert "libc" in mapped
    assert "libcrypto" not in mapped and "libssl" not in mapped


@pytest.mark.parametrize(
    ("limit_mb", "process_mb", "expected"),
    [
        (192, 0, 48 * 2**20),  # a quarter of the limit
        (80, 20, 20 * 2**20),
        (32, 20, (12 * 2**20 - 400 * 8192 - 300 * 8192) // 2),  # half of what is free
        (16, 20, memory.MIN_MESSAGE_BYTES),
    ],
)
def test_the_memory_for_messages_follows_from_the_limit_and_the_size_of_the_process(
    limit_mb, process_mb, expected
):
    limit = memory.message_limit(
        limit_mb * 2**20, process_mb * 2**20, client_connections=400, open_requests=300
    )
    assert limit == expected


@bounded(2 * PATIENCE_S)
async def test_operators_see_the_memory_for_messages(tmp_path):
    """Guards against a limit that does not leave the process its own memory."""
    admin = "127.0.0.1", free_port()
    sidecar = await Process.start(tmp_path, limits=LIMITS, operator=f"{admin[0]}:{admin[1]}")
    try:
        reply = (await ask_door(admin, b"MEMORY\n")).decode().split()
        metrics = {name: int(value) for name, _, value in (pair.partition("=") for pair in reply[1:])}
        assert reply[0] == "done" and metrics["used"] == 0
        assert 8 * 2**20 < metrics["process"] < MEMORY_MB * 2**20
        assert metrics["limit"] <= (MEMORY_MB * 2**20 - metrics["process"]) // 2
    finally:
        sidecar.process.kill()
        await sidecar.process.wait()
