"""Loopback partners for the sidecar's tests: an upstream server, discovery and the application."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import gc
import json
import os
import socket
from dataclasses import dataclass, field

from brassfall.balancer import events
from brassfall.balancer.model import FailRequest, ListForm, SendAttempt
from brassfall.sidecar import config
from brassfall.sidecar.discovery import endpoint_list
from brassfall.sidecar.lifecycle.sidecar import Sidecar
from tests.support.balancer_records import leaked_counts

PATIENCE_S = 15.0
# A loopback address for the servers of this process. On 127.0.0.1 a server may get the port that discovery
# had in a test of another process, whose sidecar goes on calling it.
SERVER_HOST = f"127.1.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}"
BUDGET = "4000m"

SETTINGS = {
    "Profiles": [
        {"Name": "look", "Semantics": "pure", "Objective": 2000.0, "Deadline": 5000.0},
        {
            "Name": "book",
            "Semantics": "token",
            "Group": "zone",
            "KeyTtl": 1200.0,
            "Objective": 2000.0,
            "Deadline": 5000.0,
        },
        {"Name": "pay", "Semantics": "side_effect", "Objective": 2000.0, "Deadline": 5000.0},
    ],
    "FailureDomains": ["east", "west"],
    "Kinds": ["big", "small"],
    "Tenants": [{"Name": "acme", "AllowancePerS": 5.0}, {"Name": "globex", "AllowancePerS": 5.0}],
    "Discovery": "automatic",
    "PolicyLimits": {
        "MaxAttempts": 3,
        "MayCancel": True,
        "MayProbe": True,
        "PeerMessages": True,
        "ConnectTimeout": 5000.0,  # far over what a busy machine may stand still for
        "IdleClose": 5000.0,
    },
    "Rules": {"StopSendingWithin": 500.0},
    "Report": {"How": "inline", "Fields": ["inflight", "queue"]},
    "Me": 0,
    "Balancers": 2,
}

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Load-Report: inflight=1,queue=0\r\n\r\ndone"


async def close_streams():
    """Cancel the tasks that are left in this event loop, and close the streams that are still open.

    A stream that outlives its loop raises an error when it is collected, at any time in a later test. The
    report of that error parses source, and if the later test does so too, CPython 3.11 ends it with a
    SystemError.
    """
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    if tasks:
        await asyncio.wait(tasks)
    for made in gc.get_objects():
        if type(made) is asyncio.StreamWriter and not made.transport.is_closing():
            with contextlib.suppress(RuntimeError):  # a stream of another loop, which is closed
                made.transport.abort()
    await asyncio.sleep(0)  # the lost connections are told to their protocols
    gc.collect()
    await asyncio.sleep(0)


def run_bounded(work, limit_s, loop_factory=None):
    """Run a coroutine in an event loop of its own, with a time limit in seconds; leave no stream open."""
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        try:
            runner.run(asyncio.wait_for(work, limit_s))
        finally:
            runner.run(close_streams())


def bounded(limit_s):
    """Run an async test in an event loop of its own, with a time limit in seconds."""

    def wrap(test):
        @functools.wraps(test)
        def run(*args, **kwargs):
            run_bounded(test(*args, **kwargs), limit_s)

        return run

    return wrap


loopback = bounded(2 * PATIENCE_S)


async def until(condition):
    """Wait until a condition holds; fail the test after `PATIENCE_S`."""
    async with asyncio.timeout(PATIENCE_S):
        while not condition():
            await asyncio.sleep(0.002)


def small_buffers(*transports):
    """Give the sockets of transports small buffers, whatever the defaults of this machine."""
    for transport in transports:
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, option, 65_536)


@dataclass
class Seen:
    """A message as a server or client of the test read it."""

    start: str
    headers: dict[str, str]
    body: bytes
    connection: int = 0

    @property
    def status(self):
        """The status of an answer."""
        return int(self.start.split(" ")[1])


async def read_message(reader):
    """Read one HTTP message with a Content-Length; return None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        start, *rows = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (row.partition(":") for row in rows)}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Seen(start, headers, body)


@dataclass
class Upstream:
    """A server; `replies` has its answer to each request, and the last one is repeated."""

    replies: list = field(default_factory=lambda: [OK])
    seen: list[Seen] = field(default_factory=list)
    writers: list = field(default_factory=list)
    address: str = ""

    async def start(self):
        self._server = await asyncio.start_server(self._serve, SERVER_HOST, 0)
        self.address = f"{SERVER_HOST}:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        number = len(self.writers)
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while (message := await read_message(reader)) is not None:
                message.connection = number
                self.seen.append(message)
                reply = self.replies.pop(0) if len(self.replies) > 1 else self.replies[0]
                if callable(reply):
                    reply = await reply(reader, writer)
                if reply is None:
                    break
                writer.write(reply)
        writer.close()

    def stop(self):
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()


async def hang(reader, writer):
    """Answer nothing until the sidecar closes the connection."""
    await reader.read()


async def break_off(reader, writer):
    """Reset the connection after the request."""
    writer.transport.abort()


class Registry:
    """Discovery: every watch and list call is kept, watches are written to by the test; one that is
    `current` tells each at once that it has nothing newer."""

    def __init__(self, listed=(), current=False):
        self.current = current
        self.headers = b""  # of each answer to a watch
        self.asked = []
        self.watches = []
        self.listed = listed

    async def start(self, port=0, sock=None):
        place = {"sock": sock} if sock is not None else {"host": "127.0.0.1", "port": port}
        self._server = await asyncio.start_server(self._serve, **place)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader, writer):
        message = await read_message(reader)
        if message is None:
            return
        target = message.start.split(" ")[1]
        self.asked.append(target)
        if "watch=1" in target:
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%b\r\n" % self.headers)
            self.watches.append(writer)
            if self.current:
                self.tell(int(target.rpartition("=")[2]))
            await reader.read()
        else:
            body = json.dumps(self.listed).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        writer.close()

    def write(self, data):
        """Write one chunk to the newest watch."""
        self.watches[-1].write(b"%x\r\n%b\r\n" % (len(data), data))

    def tell(self, index, *entries, snapshot=False):
        """Write one line to the newest watch."""
        self.write(json.dumps(listed(index, *entries, snapshot=snapshot)).encode() + b"\n")

    def stop(self):
        self._server.close()


def listed(index, *entries, snapshot=True):
    """Return a list in the form that discovery sends."""
    return {"index": index, "snapshot": snapshot, "endpoints": list(entries)}


def entry(name, address="127.0.0.1:9", **changes):
    """Return one entry of a list."""
    row = {"name": name, "address": address, "zone": "west", "type": "small", "group": 3, "status": "active"}
    return {**row, "weight": 1.0, "since_ms": 0, **changes}


SHORT_NAMES = {
    events.AttemptEnded: "outcome",
    events.AttemptWithdrawn: "unsent",
    events.AnswerStarted: "answer_started",
    events.BodyDiscarded: "body_gone",
    events.ClientLeft: "client_gone",
    events.TimerDue: "timer",
    events.HealthCheckEnded: "probe_result",
    events.PeerMessageReceived: "peer_message",
    events.SettingsReloaded: "reload",
    events.SteeringChanged: "steer",
}


class ScriptedBalancer:
    """Stand-in for the balancer that records events and answers each with the actions of a script.

    A script has the short name of its event, and takes the time and the event's fields."""

    def __init__(self, **scripts):
        self.events, self.refusals = [], {}
        self.scripts = {"request": lambda now, arrival: [SendAttempt(arrival.request, "s0", 0.0)], **scripts}

    def step(self, now, event):
        """Record an event; return the actions of its script, or none."""
        name, args = self._short(event)
        self.events.append((name, *args))
        return self.scripts.get(name, lambda now, *args: [])(now, *args)

    def _short(self, event):
        match event:
            case events.RequestArrived():
                return "request", (event,)
            case events.EndpointListReceived(form, entries):
                return "server_list", (form.value, entries)
            case events.DiscoveryFailed():
                return "server_list", ("refused", ())
        return SHORT_NAMES[type(event)], tuple(event)

    def named(self, name):
        """Return the fields of the events with this short name."""
        return [rest for found, *rest in self.events if found == name]

    def outcomes(self):
        """Return attempt, outcome and whether the request ended, for each ended attempt."""
        return [(hop, status, last) for _, hop, status, _, last, _ in self.named("outcome")]


def sidecar_config(upstreams=(), registry="127.0.0.1:9", raw=None, **settings):
    """Return a configuration whose known list has these servers, named s0, s1 and so on."""
    known = listed(41, *(entry(f"s{i}", upstream.address) for i, upstream in enumerate(upstreams)))
    base = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": registry,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": {**SETTINGS, **settings},
    }
    return config.parse({**base, **(raw or {})}, {})


@contextlib.asynccontextmanager
async def running(*upstreams, balancer=None, registry=None, raw=None, **settings):
    """Run a sidecar in this process; stop it and its servers at the end."""
    own = registry is None
    registry = await Registry(current=True).start() if own else registry
    configuration = sidecar_config(upstreams, registry=registry.address, raw=raw, **settings)
    made = Sidecar(asyncio.get_running_loop(), configuration, balancer=balancer)
    if not registry.current:
        made.discovery.skip_first_call()  # this test's watches tell nothing before it has started
    made.address = await made.start()
    try:
        yield made
    finally:
        made.close()
        if own:
            registry.stop()
        for upstream in upstreams:
            upstream.stop()


class App:
    """One connection of the application to its sidecar."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, address):
        return cls(*await asyncio.open_connection(*address))

    def send(self, method="GET", target="/look", body=b"", **headers):
        self.writer.write(request(method, target, body, **headers))

    async def answer(self):
        async with asyncio.timeout(PATIENCE_S):
            return await read_message(self.reader)

    async def ask(self, *args, **headers):
        self.send(*args, **headers)
        return await self.answer()

    def close(self):
        self.writer.transport.abort()


def request(method="GET", target="/look", body=b"", **headers):
    """Return a request as the application writes it; a header of None is left out."""
    sent = {
        "Host": "api.internal",
        "X-Call-Id": "9b1f03aa5c7e2d41",
        "X-Call-Class": target.split("/")[1].split("?")[0],
        "X-Caller": "globex",
        "X-Budget": BUDGET,
        "Content-Length": str(len(body)) if body or method == "POST" else None,
        "Idempotency-Key": "k1" if target.startswith("/book") else None,
    }
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    rows = "".join(f"{name}: {value}\r\n" for name, value in sent.items() if value is not None)
    return f"{method} {target} HTTP/1.1\r\n{rows}\r\n".encode() + body


# --- builders for tests of an attempt and its outcome


class Gate:
    """Delays connections to servers, but for the first `free`, until the test opens it."""

    def __init__(self, monkeypatch, upstreams, free=0):
        self.open = asyncio.Event()
        self.waiting = 0
        loop = asyncio.get_running_loop()
        connect = loop.create_connection
        gated = {upstream.address for upstream in upstreams}

        async def late(factory, host=None, port=None, **more):
            if f"{host}:{port}" in gated:
                self.waiting += 1
                if self.waiting > free:
                    await self.open.wait()
            return await connect(factory, host, port, **more)

        monkeypatch.setattr(loop, "create_connection", late)


def nothing_left(sidecar):
    """Return whether the driver and the balancer hold nothing, and each open connection is an idle one."""
    driver, pool = sidecar.driver, sidecar.pool
    if any(driver.counts) or not driver.idle or pool.opening_count:
        return False
    if not isinstance(driver.balancer, ScriptedBalancer) and any(leaked_counts(driver.balancer).values()):
        return False
    idle = pool.idle_connections
    free = not any(connection.busy for connection in idle)
    return free and set(idle) == pool.connections and len(set(idle)) == len(idle)


@contextlib.asynccontextmanager
async def running_until_idle(*upstreams, **settings):
    """Run a sidecar, and wait at the end until no request, attempt or busy connection is left."""
    async with running(*upstreams, **settings) as sidecar:
        yield sidecar
        await until(lambda: nothing_left(sidecar))
        balancer = sidecar.driver.balancer
        if isinstance(balancer, ScriptedBalancer):
            ends = [(number, hop) for number, hop, *_ in balancer.named("outcome")]
            assert len(ends) == len(set(ends))


class ManualClock:
    """The clock of a sidecar, advanced by the test; timers of the loop do not run for it."""

    def __init__(self, sidecar):
        self.clock = sidecar.driver.clock

    def advance(self, ms):
        self.clock.offset_ms += ms


def never_cancels():
    """Return settings without cancelling and with a long connect time-out."""
    return {"PolicyLimits": {"MaxAttempts": 3, "ParallelTries": True, "ConnectTimeout": 9000.0}}


async def start_request(sidecar, target="/look", method="GET", **headers):
    """Send a request; return its client once the driver has accepted it."""
    app = await App.connect(sidecar.address)
    before = len(sidecar.driver.requests)
    app.send(method, target, **headers)
    await until(lambda: len(sidecar.driver.requests) > before)
    return app


@dataclass
class Waiting:
    """A sidecar whose one request waits for its connection until the test opens the gate."""

    sidecar: Sidecar
    upstream: Upstream | list[Upstream]
    gate: Gate
    app: App


@contextlib.asynccontextmanager
async def request_that_waits(monkeypatch, balancer=None, **settings):
    """Run a sidecar with one request that was sent to a server whose connection is not up."""
    upstream = await Upstream([OK]).start()
    gate = Gate(monkeypatch, [upstream])
    async with running_until_idle(upstream, balancer=balancer, **never_cancels(), **settings) as sidecar:
        app = await start_request(sidecar)
        await until(lambda: gate.waiting)
        yield Waiting(sidecar, upstream, gate, app)


def list_changes(sidecar, *entries):
    """Let discovery report changes of the list."""
    sidecar.driver.endpoints_listed(
        ListForm.CHANGES,
        endpoint_list.parse_list(listed(42, *entries, snapshot=False), sidecar_config().names),
    )


def failing(now, number, hop, status, spent, last, report):
    """Decide on an outcome: fail the request unless it is answered."""
    return [] if last else [FailRequest(number)]
