"""A stand-in for discovery without sockets, whose answer to each call the test decides.

Time is the loop's own and jumps to the next timer, so that each bound is exact and costs no seconds.
"""

from __future__ import annotations

import asyncio
import functools
import json

import looptime

from brassfall.sidecar.config_values import Address
from brassfall.sidecar.lifecycle.sidecar import Sidecar
from tests.support.loopback import entry, listed, sidecar_config
from tests.support.sidecar_views import balancer_active_servers, pool_servers

NOTIFIED_S = 6.0  # after discovery had a change and could be reached
SPARE_S = 0.5  # of it stays free for a loop that lags
MOVED_S = 4.0  # after SIGHUP
TURN_S = 1.0  # that a call waits at discovery, which handles calls in turn
HEARTBEAT_S = 2.0
PATIENCE_S = 60.0  # of the loop's time
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

STRATEGIES = ("automatic", "subscribe")  # the values of the setting `Discovery`: pushed, polled

# How a call fails; each but the first two is a method of `RegistryStub`.
FAILURES = (
    "refused",
    "lost",
    "no_answer",
    "head_only",
    "half_a_line",
    "endless_line",
    "endless_object",
    "endless_head",
    "rejected",
    "rejected_at_once",
    "reset",
    "empty_answer",
    "invalid_list",
)
ANSWERED_FAILURES = tuple(failure for failure in FAILURES if failure not in ("refused", "lost"))


def simulated_time(test):
    """Run an async test in a loop whose time jumps to the next timer."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(test(*args, **kwargs))

    return run


def now():
    return asyncio.get_running_loop().time()


def chunk(data):
    """A chunk of an answer in chunked coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def list_line(version):
    """A complete list of one server, which has the version in its name, as one line."""
    return json.dumps(listed(version, entry(f"s{version}"))).encode() + b"\n"


class StubConnection(asyncio.Transport):
    """A connection to the stand-in; what is fed to it arrives at once while it is open."""

    def __init__(self, channel):
        super().__init__()
        self.channel, self.open, self.request = channel, True, b""
        channel.connection_made(self)

    def write(self, data):
        self.request += data

    def abort(self):
        if self.open:
            self.open = False
            asyncio.get_running_loop().call_soon(self.channel.connection_lost, None)

    close = abort

    def feed(self, data):
        if self.open:
            self.channel.data_received(data)

    async def feed_every(self, interval_s, data):
        while self.open:
            await asyncio.sleep(interval_s)
            self.feed(data)

    async def heartbeats(self):
        await self.feed_every(HEARTBEAT_S, chunk(b"\n"))


class RegistryStub:
    """Discovery; the answer to a call is looked up when the call comes.

    While `down` is set, each call fails so; `next_answers` are those to the first calls after that, and every
    other call gets a list of `version`."""

    def __init__(self, version=45, down=None, next_answers=()):
        self.version, self.down, self.next_answers = version, down, list(next_answers)
        self.calls, self.connections, self.tasks = [], [], []

    async def connect(self, factory, host, port):
        self.calls.append(now())
        answer = self.down or (self.next_answers.pop(0) if self.next_answers else "current_list")
        if answer == "refused":
            raise ConnectionRefusedError
        if answer == "lost":
            await asyncio.get_running_loop().create_future()
        connection = StubConnection(factory())
        self.connections.append(connection)
        self.tasks.append(asyncio.create_task(getattr(self, answer)(connection)))
        return connection, connection.channel

    def silence_all(self):
        """Let nothing more come on open connections."""
        for task in self.tasks:
            task.cancel()

    def reset_all(self):
        """Reset each connection."""
        for connection in self.connections:
            connection.abort()

    def end_all(self):
        """End each answer."""
        for connection in self.connections:
            connection.feed(LAST_CHUNK)

    # --- answers --------------------------------------------------------------------------

    async def current_list(self, connection):
        await asyncio.sleep(TURN_S)
        complete = b"watch=1" not in connection.request
        connection.feed(HEAD + chunk(list_line(self.version)))
        if complete:
            connection.feed(LAST_CHUNK)
        await connection.heartbeats()

    async def no_answer(self, connection):
        pass

    async def head_only(self, connection):
        await asyncio.sleep(TURN_S)
        connection.feed(HEAD)

    async def half_a_line(self, connection):
        await asyncio.sleep(TURN_S)
        connection.feed(HEAD + chunk(list_line(50)[:40]))

    async def endless_line(self, connection):
        await self.half_a_line(connection)
        await connection.feed_every(0.3, chunk(b" "))

    async def endless_object(self, connection):
        """An object over many lines that never ends."""
        await asyncio.sleep(TURN_S)
        connection.feed(HEAD + chunk(b'{"index": 50,\n'))
        await connection.feed_every(0.3, chunk(b' "more": 1,\n'))

    async def endless_head(self, connection):
        connection.feed(b"HTTP/1.1 200 OK\r\n")
        await connection.feed_every(0.3, b"X-More: 1\r\n")

    async def rejected(self, connection):
        await asyncio.sleep(TURN_S)
        connection.feed(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

    async def rejected_at_once(self, connection):
        connection.feed(b"HTTP/1.1 503 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")

    async def reset(self, connection):
        await asyncio.sleep(TURN_S)
        connection.abort()

    async def empty_answer(self, connection):
        connection.feed(HEAD + LAST_CHUNK)

    async def invalid_list(self, connection):
        connection.feed(HEAD + chunk(b'{"index": 50, "endpoints": 7}\n'))


class RecordingSidecar(Sidecar):
    """A sidecar that records the version of each list, and None for each failure, of discovery."""

    def __init__(self, loop, configuration):
        self.notified, self.notification = [], asyncio.Event()
        super().__init__(loop, configuration)

    def endpoints_listed(self, form, update):
        super().endpoints_listed(form, update)
        self._record(update.version)

    def discovery_failed(self):
        super().discovery_failed()
        self._record(None)

    def _record(self, version):
        self.notified.append(version)
        self.notification.set()


class SidecarWithoutSockets:
    """A sidecar at a stand-in for discovery; its discovery, driver and balancer are real."""

    def __init__(self, registry, strategy="subscribe", seed=0, ask_within_ms=10_000.0, **rules):
        loop = asyncio.get_running_loop()
        loop.create_connection = self._connect
        self.registry, self._moved_to = registry, {}
        rules = {"AskWithin": ask_within_ms, "StopSendingWithin": 500.0, **rules}
        configuration = sidecar_config(raw={"seed": str(seed)}, Discovery=strategy, Rules=rules)
        self.sidecar = RecordingSidecar(loop, configuration)
        self.discovery = self.sidecar.discovery
        self.sidecar.driver.connect(self.sidecar.pool, self.discovery, self.sidecar.peers)
        self.discovery.start()

    @property
    def notified(self):
        """The versions of the lists that discovery has passed on, and None for each failure."""
        return self.sidecar.notified

    async def _connect(self, factory, host, port, **_):
        return await self._moved_to.get(port, self.registry).connect(factory, host, port)

    def move(self, registry):
        """Discovery is at another address from now on, as after SIGHUP."""
        address = Address("127.0.0.1", 10 + len(self._moved_to))
        self._moved_to[address.port] = registry
        self.discovery.change_address(address)

    async def has(self, version):
        """Wait until the balancer and the pool have that list; return when that was."""
        async with asyncio.timeout(PATIENCE_S):
            while self.discovery.version != version:
                self.sidecar.notification.clear()
                await self.sidecar.notification.wait()
        assert set(pool_servers(self.sidecar)) == {f"s{version}"}
        assert set(balancer_active_servers(self.sidecar)) == {f"s{version}"}
        return now()

    def close(self):
        self.discovery.close()
        for registry in (self.registry, *self._moved_to.values()):
            registry.silence_all()
