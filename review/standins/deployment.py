"""A small deployment for the cases: stand-ins for discovery, transcribers and clients, and one real sidecar.

The sidecar is started with the `run` command of the deploy file. Everything listens on 127.0.0.1 and lives
in one temporary folder, which is removed at the end; all processes that were started are ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Coroutine
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
SERVER = Path(__file__).resolve().with_name("server.py")
# Exit statuses of the Python part of a case. A traceback ends it with 1, so a broken rule has another status,
# which `run.sh` turns into 1.
HELD, NOT_RUN, BROKEN = 0, 2, 3
READY_LIMIT_S = 30.0
HEARTBEAT_S = 2.0

# The settings of the wire page's example, which are those of a small deployment.
SETTINGS = {
    "Balancers": 2,
    "Clients": {"MarksRetry": True},
    "Discovery": "subscribe",
    "Domain": {"WarmKeys": False},
    "FailureDomains": ["rennes", "brest"],
    "Family": "mesh",
    "Goal": {"Whole": 0.75, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.05},
    "Kinds": ["fast-box", "std-box"],
    "Layer": 0,
    "Layers": ["skrivan"],
    "Locality": 1,
    "Me": 1,
    "OverShareWorth": 0.1,
    "PolicyLimits": {
        "ConnectTimeout": 200.0,
        "CpuUsPerRequest": 0.0,
        "CpuUsPerS": 100000,
        "IdleClose": 60000.0,
        "MaxAttempts": 4,
        "MaxOpen": 20000,
        "MaxRetryAfter": 2000.0,
        "MayCancel": True,
        "MayProbe": True,
        "ParallelTries": True,
        "PeerMessages": False,
        "RetryAfter": True,
        "StreamsPerConn": 1,
    },
    "Prices": {
        "Connection": 0.0,
        "CrossZone": 0.03,
        "Discovery": 0.02,
        "Handshake": 0.0,
        "LateFail": 0.05,
        "Moves": 0.0,
        "Origin": 0.0,
        "Peer": 0.0,
        "Probe": 0.0067,
        "Waste": 0.015,
    },
    "Profiles": [
        {
            "Deadline": deadline,
            "Group": "all",
            "KeyTtl": ttl,
            "LateWorth": 0.0,
            "Name": name,
            "Objective": objective,
            "Semantics": semantics,
            "Streaming": False,
            "Worth": worth,
        }
        for name, semantics, objective, deadline, ttl, worth in (
            ("get-transcript", "pure", 400.0, 1200.0, 5000.0, 2.0),
            ("save-correction", "pure", 400.0, 1000.0, 5000.0, 2.0),
            ("send-notice", "side_effect", 800.0, 2500.0, 5000.0, 10.0),
            ("new-message", "token", 600.0, 1200.0, 750.0, 8.0),
        )
    ],
    "Report": {"Fields": ["inflight"], "How": "inline"},
    "Rules": {
        "AnswerSlack": 20.0,
        "AskWithin": 10000.0,
        "ColdFrom": 0.12,
        "FallMultiple": 4.0,
        "OverloadFor": 2000.0,
        "StopSendingWithin": 500.0,
        "WarmUp": 22000.0,
    },
    "Tenants": [],
    "Tick": 5.0,
    "WeightKind": "off",
    "WorthBy": "request",
}


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """The record of one run, with times in seconds since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", buffering=1, encoding="utf-8")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")


class Discovery:
    """A stand-in for discovery, which serves one list and sends heartbeats on watches."""

    def __init__(self) -> None:
        self.index = 1
        self.endpoints: list[dict[str, object]] = []
        self.port = 0

    @property
    def known(self) -> dict[str, object]:
        """The whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": self.endpoints}

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                body = json.dumps(self.known).encode() + b"\n"
                if b"watch=1" not in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                while not writer.is_closing():
                    writer.write(b"%x\r\n%b\r\n" % (len(body), body))
                    await writer.drain()
                    await asyncio.sleep(HEARTBEAT_S)
                    body = b"\n"
        writer.close()


@dataclass
class Reply:
    """What a client got for one request. Times are of the monotonic clock, in seconds."""

    call_id: str
    status: int = 0  # 0 if no head of an answer came
    body: bytes = b""
    whole: bool = False  # True if the answer came whole
    closes: bool = False  # True if the answer announced the close of the connection
    unsent: bool = False  # True if the connection failed before the last byte was written
    began_at: float = 0.0
    last_byte_at: float = 0.0  # When the last byte of the request was written to the connection
    answered_at: float = 0.0  # When the last byte of the answer arrived
    ended_at: float = 0.0  # When the connection ended without a whole answer


class Client:
    """One connection of the application, which carries one request at a time."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection unless it is open."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
            self._writer.transport.set_write_buffer_limits(0)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def call(
        self,
        request_class: str,
        budget_ms: float,
        *,
        body: bytes | None = None,
        into: Reply | None = None,
    ) -> Reply:
        """Send one request, a POST if it has a body, and read its answer; `into` shows what came so far."""
        reply = Reply("") if into is None else into
        reply.call_id, reply.began_at = secrets.token_hex(8), time.monotonic()
        lines = [
            f"{'GET' if body is None else 'POST'} /{request_class} HTTP/1.1",
            "Host: api.internal",
            f"X-Call-Id: {reply.call_id}",
            f"X-Call-Class: {request_class}",
            f"X-Budget: {budget_ms:g}m",
            *([] if body is None else [f"Content-Length: {len(body)}"]),
        ]
        try:
            await self.connect()
            assert self._reader is not None
            assert self._writer is not None
            self._writer.write("\r\n".join([*lines, "", ""]).encode() + (body or b""))
            await self._writer.drain()  # Returns once the system has taken the last byte
            reply.last_byte_at = time.monotonic()
            await self._read_answer(self._reader, reply)
        except (OSError, EOFError) as error:
            reply.unsent, reply.ended_at = not reply.last_byte_at, time.monotonic()
            reply.body += f" <{error!r}>".encode()
        if not reply.whole or reply.closes:
            self.close()
        return reply

    @staticmethod
    async def _read_answer(reader: asyncio.StreamReader, reply: Reply) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        reply.status = int(first.split(" ")[1])
        reply.closes = headers.get("connection", "").lower() == "close"
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                reply.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            left = int(headers["content-length"])
            parts = []
            while left:
                part = await reader.read(min(left, 1 << 18))
                if not part:
                    reply.body = b"".join(parts)[:200]
                    raise EOFError
                left -= len(part)
                parts.append(part)
            reply.body = b"".join(parts)
        reply.whole, reply.answered_at = True, time.monotonic()


@dataclass
class Deployment:
    """The processes of one run."""

    folder: Path
    record: Record
    discovery: Discovery = field(default_factory=Discovery)
    servers: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    sidecar: subprocess.Popen[bytes] | None = None
    port: int = 0

    async def start(self, count: int, settings: dict[str, object], *options: str) -> None:
        """Start discovery, `count` transcribers with `options`, and the sidecar; wait until it is ready."""
        await self.discovery.start()
        for number in range(1, count + 1):
            await until_open(self._start_server(f"s-{number:08x}", ["--seed", str(number), *options]))
        self._start_sidecar(settings)
        await self._wait_until_ready()
        self.record(f"sidecar ready on 127.0.0.1:{self.port}, with {count} transcribers")

    def _start_server(self, name: str, options: list[str]) -> int:
        """Start one transcriber, add it to the list, and return its port."""
        port = free_port()
        command = [sys.executable, str(SERVER), "--name", name, "--port", str(port)]
        command += ["--ledger", str(self.folder / f"{name}.ledger"), *options]
        self.servers[name] = subprocess.Popen(command)
        self.discovery.endpoints.append(
            {
                "name": name,
                "address": f"127.0.0.1:{port}",
                "zone": "brest",
                "type": "std-box",
                "group": 0,
                "status": "active",
                "weight": 1.0,
                "since_ms": 0,
            }
        )
        return port

    def _start_sidecar(self, settings: dict[str, object]) -> None:
        self.port = free_port()
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": self.discovery.known,
            "settings": settings,
        }
        path = self.folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        private = self.folder / "tmp"
        private.mkdir()
        environment = os.environ | {
            "NODE_NAME": "n1",
            "NODE_LISTEN": f"127.0.0.1:{self.port}",
            "NODE_DISCOVERY": f"127.0.0.1:{self.discovery.port}",
            "NODE_CONFIG": str(path),
            "TMPDIR": str(private),
        }
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        with (self.folder / "sidecar.log").open("wb") as log:
            self.sidecar = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def _wait_until_ready(self) -> None:
        limit = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < limit:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: n1\r\nConnection: close\r\n\r\n")
                line = await reader.readuntil(b"\r\n")
                writer.close()
                if b" 200 " in line:
                    return
            await asyncio.sleep(0.1)
        message = "the sidecar was not ready in time"
        raise CannotRunError(message)

    def signal_sidecar(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.sidecar is not None
        self.record(f"{number.name} to the sidecar")
        self.sidecar.send_signal(number)

    def signal_server(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a transcriber."""
        self.record(f"{number.name} to {name}")
        self.servers[name].send_signal(number)

    def ledger(self) -> list[dict[str, object]]:
        """Return the events at all transcribers, in the order of their times."""
        lines = [line for path in self.folder.glob("*.ledger") for line in path.read_text().splitlines()]
        return sorted((json.loads(line) for line in lines), key=lambda event: event["t"])

    def arrivals(self) -> dict[str, list[str]]:
        """Return, for each request id, the transcribers at which it arrived."""
        arrived: dict[str, list[str]] = {}
        for event in self.ledger():
            if event["event"] == "arrived":
                arrived.setdefault(str(event["id"]), []).append(str(event["server"]))
        return arrived

    def end(self) -> None:
        """End all processes, and copy the sidecar's log and the ledgers into the record."""
        processes = [*self.servers.values(), *([self.sidecar] if self.sidecar else [])]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for event in self.ledger():
            self.record(f"ledger {json.dumps(event)}")
        log = self.folder / "sidecar.log"
        for line in log.read_text(errors="replace").splitlines() if log.exists() else []:
            self.record(f"sidecar log: {line}")


async def until_open(port: int) -> None:
    """Wait until something listens on a port of 127.0.0.1."""
    limit = time.monotonic() + 10.0
    while time.monotonic() < limit:
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        await asyncio.sleep(0.05)
    message = f"nothing listens on port {port}"
    raise CannotRunError(message)


def settings() -> dict[str, object]:
    """Return a copy of the settings."""
    return json.loads(json.dumps(SETTINGS))


def run(folder: Path, play: object, *, trouble: bool, limit_s: float = 110.0) -> int:
    """Play one case in a temporary folder; return its exit status.

    `play` is a coroutine function that takes the deployment and returns the breaches as lines of text.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # So that all processes are ended then, too
    record = Record(folder / "record.txt")
    place = Path(tempfile.mkdtemp(prefix="review-"))
    deployment = Deployment(place, record)
    record(f"trouble: {'yes' if trouble else 'no'}")
    status = NOT_RUN
    try:
        breaches = asyncio.run(_bounded(play(deployment), limit_s))  # type: ignore[operator]
    except Exception as error:  # noqa: BLE001 - whatever fails in a stand-in says nothing about the rule
        print(f"the case could not run: {error!r}")
        record(f"the case could not run: {error!r}")
    else:
        status = BROKEN if breaches else HELD
        for line in breaches or ["the rule held"]:
            record(f"RESULT {line}")
            print(line)
    finally:
        deployment.end()
        shutil.rmtree(place, ignore_errors=True)
    return status


async def _bounded(play: Coroutine[object, object, list[str]], limit_s: float) -> list[str]:
    async with asyncio.timeout(limit_s):
        return await play
