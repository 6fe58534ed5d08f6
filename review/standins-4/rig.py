"""Parts of the cases: stand-ins of discovery, transcribers and clients, and the start of the sidecar.

The stand-ins follow PROTOCOL-brassfall.md. They run in the process of the case, on loopback addresses and on
the real clock. The sidecar runs as a process of its own, with the command `run` of `deploy/balancer.toml`.
Times are in seconds of the monotonic clock.
"""
# ruff: noqa

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# The script of a case turns this status into 1: the interpreter itself ends with 1 after an error.
STATUSES = {HELD: 0, BROKEN: 10, CANNOT_RUN: 2}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 110.0

now = time.monotonic


def free_port():
    """Return a port that is free at the moment, below those that the system gives to connections."""
    low = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    start = 10_000 + (os.getpid() * 7919 + free_port.calls * 131) % max(1, low - 12_000)
    for port in range(start, start + 1500):
        free_port.calls += 1
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


free_port.calls = 0


class Record:
    """The file `record.txt` of a case: what was sent, answered and run, a line each."""

    def __init__(self, folder):
        self.began = now()
        self._file = open(Path(folder) / "record.txt", "w")

    def __call__(self, *words, **fields):
        text = " ".join([*map(str, words), *(f"{key}={value}" for key, value in fields.items())])
        self._file.write(f"{(now() - self.began) * 1000.0:10.1f} ms  {text}\n")
        self._file.flush()

    def say(self, *words):
        self(*words)
        print(*words, flush=True)


class Message:
    """The head and the body of a request or an answer."""

    def __init__(self, first, headers, body, first_byte_at, last_byte_at):
        self.first, self.headers, self.body = first, headers, body
        self.first_byte_at, self.last_byte_at = first_byte_at, last_byte_at

    def header(self, name):
        return self.headers.get(name.lower())


async def read_message(reader, *, answer=False):
    """Read one message; return None at the end of the connection. An incomplete one raises an error."""
    first = await reader.read(1)
    if not first:
        return None
    first_byte_at = now()
    head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            body += chunk[:-2]
        body = bytes(body)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif answer and not lines[0].startswith("HTTP/1.1 1"):
        body = await reader.read(-1)
    else:
        body = b""
    return Message(lines[0], headers, body, first_byte_at, now())


class Listener:
    """A listening socket whose connections are all closed when it stops."""

    def __init__(self):
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**26, backlog=1024, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Close the listening socket and reset all connections, as when a process dies."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            with contextlib.suppress(OSError, AttributeError):
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
                )
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(OSError):
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort() if writer.transport.is_closing() else writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Discovery(Listener):
    """Discovery: the list of transcribers, its changes, and watches on it."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.index = 40
        self.entries = {}
        self.changes = []
        self.watches = set()
        self.calls = 0

    def put(self, name, status="active", **fields):
        """Change an entry, and tell all watches."""
        self.index += 1
        entry = self.entries.get(
            name, {"name": name, "zone": "rennes", "type": "fast-box", "group": 0, "weight": 1.0}
        )
        entry = {**entry, "since_ms": entry.get("since_ms", 0), **fields, "status": status}
        if status == "left":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self.changes.append((self.index, entry))
        self.record("discovery", name, status, index=self.index)
        for watch in list(self.watches):
            self._write(watch, {"index": self.index, "snapshot": False, "endpoints": [entry]})

    def whole(self):
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    @staticmethod
    def _write(writer, value):
        data = (json.dumps(value) if value is not None else "").encode() + b"\n"
        with contextlib.suppress(OSError):
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def refuse(self, writer):
        """Answer a call with an error; return True if it was refused. A case may replace this."""
        return False

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            self.calls += 1
            self.record("discovery gets", request.first)
            if await self.refuse(writer):
                return
            if "watch=1" not in request.first:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                continue
            known = int(request.first.split("from=")[1].split()[0].split("&")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if not known or known > self.index or known < 40:
                self._write(writer, self.whole())
            else:
                rows = [entry for index, entry in self.changes if index > known]
                self._write(writer, {"index": self.index, "snapshot": False, "endpoints": rows})
            self.watches.add(writer)
            try:
                while not writer.is_closing():
                    await asyncio.sleep(2.0)
                    self._write(writer, None)
            finally:
                self.watches.discard(writer)


class Transcriber(Listener):
    """A transcriber, which answers each request after its work."""

    def __init__(self, name, record, work_s=0.02, size=0):
        super().__init__()
        self.name, self.record, self.work_s, self.size = name, record, work_s, size
        self.runs = []  # (id, key, class, time of the first byte, time of the last byte, budget in ms)
        self.inflight = 0

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            await self.run(request, reader, writer)

    def note(self, request):
        path = request.first.split()[1]
        if path.startswith("/health") or path.startswith("/stats"):
            return None
        call_id = request.header("x-call-id")
        budget = request.header("x-budget")
        self.runs.append(
            (
                call_id,
                request.header("idempotency-key"),
                request.header("x-call-class"),
                request.first_byte_at,
                request.last_byte_at,
                budget,
            )
        )
        self.record("run", self.name, id=call_id, budget=budget, body=len(request.body))
        return call_id

    def body_for(self, call_id):
        text = f"{self.name} made this for {call_id}\n".encode()
        return text + b"." * max(0, self.size - len(text))

    def answer_to(self, call_id):
        body = self.body_for(call_id)
        return b"HTTP/1.1 200 OK\r\nX-Load-Report: inflight=%d\r\nContent-Length: %d\r\n\r\n%b" % (
            self.inflight,
            len(body),
            body,
        )

    async def run(self, request, reader, writer):
        call_id = self.note(request)
        self.inflight += 1
        await asyncio.sleep(self.work_s)
        self.inflight -= 1
        writer.write(self.answer_to(call_id))
        await writer.drain()


class Answer:
    """What a client got: a status and a body, or an error."""

    def __init__(self, call_id, sent_at, at, status=0, body=b"", error="", headers=None):
        self.id, self.sent_at, self.at = call_id, sent_at, at
        self.status, self.body, self.error, self.headers = status, body, error, headers or {}

    @property
    def ms(self):
        return (self.at - self.sent_at) * 1000.0


def request_bytes(cls, call_id, budget_ms, *, method="GET", key="", body=b"", extra=""):
    lines = [
        f"{method} /{cls} HTTP/1.1",
        "Host: api.internal",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {cls}",
        f"X-Budget: {budget_ms:g}m",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + f"\r\n{extra}\r\n").encode() + body


class Client:
    """One connection of the application to its sidecar, which is opened anew when it was closed."""

    def __init__(self, port, record):
        self.port, self.record = port, record
        self.reader = self.writer = None

    async def call(self, cls, call_id, budget_ms, *, wait_s=None, **kind):
        """Send one request, and read its answer until the time of the client, plus a second, is over."""
        data = request_bytes(cls, call_id, budget_ms, **kind)
        wait_s = wait_s if wait_s is not None else budget_ms / 1000.0 + 1.0
        sent_at = now()
        for attempt in range(2):
            fresh = self.writer is None
            try:
                if fresh:
                    self.reader, self.writer = await asyncio.open_connection(HOST, self.port, limit=2**26)
                self.writer.write(data)
                message = await asyncio.wait_for(read_message(self.reader, answer=True), wait_s)
                if message is None:
                    raise EOFError("closed without an answer")
            except (OSError, EOFError, asyncio.IncompleteReadError, TimeoutError) as error:
                self.close()
                if not fresh and not isinstance(error, TimeoutError):
                    continue
                answer = Answer(call_id, sent_at, now(), error=repr(error))
                break
            status = int(message.first.split()[1])
            answer = Answer(call_id, sent_at, message.last_byte_at, status, message.body, "", message.headers)
            if (message.header("connection") or "").lower() == "close":
                self.close()
            break
        self.record(
            "answer", id=call_id, cls=cls, status=answer.status, ms=f"{answer.ms:.1f}", error=answer.error
        )
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Sidecar:
    """A process of the sidecar, started by the command of the deploy file."""

    def __init__(self, record, folder, name, settings, discovery, known=(), **config):
        self.record, self.folder, self.name = record, Path(folder), name
        self.port = free_port()
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery,
            "seed": f"{time.time_ns():x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"index": 0, "snapshot": True, "endpoints": list(known)},
            "settings": settings,
            **config,
        }
        self.process = None
        self.started_at = 0.0

    def write_config(self):
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.config))
        return path

    async def start(self, limit_s=15.0):
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = self.write_config()
        tmp = self.folder / f"tmp-{self.name}"
        tmp.mkdir(exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        environment |= {
            "NODE_NAME": self.name,
            "NODE_LISTEN": self.config["listen"],
            "NODE_DISCOVERY": self.config["discovery"],
            "NODE_CONFIG": str(path),
            "TMPDIR": str(tmp),
        }
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        PROCESSES.append(self.process)
        self.started_at = now()
        self.record("start", self.name, pid=self.process.pid, port=self.port)
        until = now() + limit_s
        while not await self.ready():
            if self.process.returncode is not None or now() > until:
                raise RuntimeError(f"the sidecar {self.name} does not become ready")
            await asyncio.sleep(0.03)
        self.record("ready", self.name)

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.port)
        except OSError:
            return False
        try:
            writer.write(b"GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader, answer=True), 1.0)
            return message is not None and message.first.split()[1] == "200"
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            writer.close()

    def signal(self, number):
        self.record("signal", self.name, signal.Signals(number).name)
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def anonymous_mb(self):
        """Return the memory of the process without the files that it maps, which others may share."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
        return int(fields["RssAnon"].split()[0]) / 1024.0

    def log_text(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


PROCESSES = []


async def end_processes():
    for process in PROCESSES:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
    for process in PROCESSES:
        await process.wait()


def settings(profiles, **changes):
    """Return the settings of the site `breizh-main`, as WIRE-brassfall.md shows them."""
    base = {
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
        "Locality": 0,
        "Me": 0,
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
        "Profiles": profiles,
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
    for key, value in changes.items():
        base[key] = {**base[key], **value} if isinstance(value, dict) else value
    return base


def profile(name, semantics, objective, deadline, worth=2.0, key_ttl=5000.0, group="all"):
    return {
        "Deadline": deadline,
        "Group": group,
        "KeyTtl": key_ttl,
        "LateWorth": 0.0,
        "Name": name,
        "Objective": objective,
        "Semantics": semantics,
        "Streaming": False,
        "Worth": worth,
    }


BREIZH = [
    profile("get-transcript", "pure", 400.0, 1200.0),
    profile("save-correction", "pure", 400.0, 1000.0),
    profile("send-notice", "side_effect", 800.0, 2500.0, 10.0),
    profile("new-message", "token", 600.0, 1200.0, 8.0, 750.0),
]


def main(case, folder):
    """Run a case within its time; end with its status and end all processes that it started."""
    record = Record(folder)

    async def run():
        with tempfile.TemporaryDirectory() as scratch:
            playing = asyncio.ensure_future(case(record, Path(scratch)))
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
            try:
                return await asyncio.wait_for(playing, LIMIT_S)
            except asyncio.CancelledError:
                raise RuntimeError("the case was stopped") from None
            finally:
                await end_processes()

    try:
        status = asyncio.run(run())
    except Exception as error:
        record.say("the case could not run:", repr(error))
        status = CANNOT_RUN
    record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", CANNOT_RUN: "could not run"}[status])
    sys.exit(STATUSES[status])
