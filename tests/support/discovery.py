"""A stub of discovery without sockets; a test decides its answer to each call.

The event loop has simulated time, which jumps to the next timer. Tests of time limits are therefore exact,
and don't wait in real time.
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

# Time limits in seconds for a change of the list to be in force: after discovery has it and can be reached,
# and after the address of discovery has changed with SIGHUP. `SPARE_S` of both is left over for an event loop
# that lags.
NOTIFIED_S = 6.0
SPARE_S = 0.5
ADDRESS_CHANGE_NOTIFIED_S = 4.0
CALL_WAIT_S = 1.0  # Wait of a call at discovery, which handles calls one after the other, in seconds
HEARTBEAT_S = 2.0  # Interval of the heartbeats of a watch, in seconds
MAX_WAIT_S = 60.0  # Longest wait of a test for a list, in seconds of the loop's time
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

STRATEGIES = ("automatic", "subscribe")  # Values of the setting `Discovery` for pushed and for polled lists

# The ways in which a call fails. Each but the first two is the name of a method of `RegistryStub`.
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
    """Decorate an async test to run in an event loop whose time jumps to the next timer."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(test(*args, **kwargs))

    return run


def now():
    return asyncio.get_running_loop().time()


def chunk(data):
    """Return the data as one chunk of a chunked transfer coding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def list_line(version):
    """Return a line with a complete list of one server, whose name contains the version."""
    return json.dumps(listed(version, entry(f"s{version}"))).encode() + b"\n"


class StubConnection(asyncio.Transport):
    """A connection to `RegistryStub`; data passed to `feed` arrives at once while the connection is open."""

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
    """A stub of discovery, which looks up the answer to a call when the call arrives.

    While `failure` is set to one of `FAILURES`, each call fails in that way. The calls after that get
    `next_answers`, one each, and all further calls get a list of `version`.
    """

    def __init__(self, version=45, failure=None, next_answers=()):
        self.version, self.failure, self.next_answers = version, failure, list(next_answers)
        self.calls, self.connections, self.tasks = [], [], []

    async def connect(self, factory, host, port):
        self.calls.append(now())
        answer = self.failure or (self.next_answers.pop(0) if self.next_answers else "current_list")
        if answer == "refused":
            raise ConnectionRefusedError
        if answer == "lost":
            await asyncio.get_running_loop().create_future()
        connection = StubConnection(factory())
        self.connections.append(connection)
        self.tasks.append(asyncio.create_task(getattr(self, answer)(connection)))
        return connection, connection.channel

    def silence_connections(self):
        """Send no more on the open connections, which stay open."""
        for task in self.tasks:
            task.cancel()

    def reset_connections(self):
        """Reset all connections."""
        for connection in self.connections:
            connection.abort()

    def end_answers(self):
        """End the answers on all connections."""
        for connection in self.connections:
            connection.feed(LAST_CHUNK)

    # --- answers --------------------------------------------------------------------------

    async def current_list(self, connection):
        await asyncio.sleep(CALL_WAIT_S)
        complete = b"watch=1" not in connection.request
        connection.feed(HEAD + chunk(list_line(self.version)))
        if complete:
            connection.feed(LAST_CHUNK)
        await connection.heartbeats()

    async def no_answer(self, connection):
        pass

    async def head_only(self, connection):
        await asyncio.sleep(CALL_WAIT_S)
        connection.feed(HEAD)

    async def half_a_line(self, connection):
        await asyncio.sleep(CALL_WAIT_S)
        connection.feed(HEAD + chunk(list_line(50)[:40]))

    async def endless_line(self, connection):
        await self.half_a_line(connection)
        await connection.feed_every(0.3, chunk(b" "))

    async def endless_object(self, connection):
        """Send a JSON object that is spread over many lines and never ends."""
        await asyncio.sleep(CALL_WAIT_S)
        connection.feed(HEAD + chunk(b'{"index": 50,\n'))
        await connection.feed_every(0.3, chunk(b' "more": 1,\n'))

    async def endless_head(self, connection):
        connection.feed(b"HTTP/1.1 200 OK\r\n")
        await connection.feed_every(0.3, b"X-More: 1\r\n")

    async def rejected(self, connection):
        await asyncio.sleep(CALL_WAIT_S)
        connection.feed(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")

    async def rejected_at_once(self, connection):
        connection.feed(b"HTTP/1.1 503 No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n")

    async def reset(self, connection):
        await asyncio.sleep(CALL_WAIT_S)
        connection.abort()

    async def empty_answer(self, connection):
        connection.feed(HEAD + LAST_CHUNK)

    async def invalid_list(self, connection):
        connection.feed(HEAD + chunk(b'{"index": 50, "endpoints": 7}\n'))


class RecordingSidecar(Sidecar):
    """A sidecar that records each notification of discovery: the version of a list, or None for a failure."""

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
    """A sidecar that calls a stub of discovery; its client of discovery, driver and balancer are real."""

    def __init__(self, registry, strategy="subscribe", seed=0, ask_within_ms=10_000.0, **rules):
        loop = asyncio.get_running_loop()
        loop.create_connection = self._connect
        self.registry, self._registries_by_port = registry, {}
        rules = {"AskWithin": ask_within_ms, "StopSendingWithin": 500.0, **rules}
        configuration = sidecar_config(raw={"seed": str(seed)}, Discovery=strategy, Rules=rules)
        self.sidecar = RecordingSidecar(loop, configuration)
        self.discovery = self.sidecar.discovery
        self.sidecar.driver.connect(self.sidecar.pool, self.discovery, self.sidecar.peers)
        self.discovery.start()

    @property
    def notified(self):
        """The versions of the lists that the sidecar was notified of, and None for each failure."""
        return self.sidecar.notified

    async def _connect(self, factory, host, port, **_):
        return await self._registries_by_port.get(port, self.registry).connect(factory, host, port)

    def change_address(self, registry):
        """Change the address of discovery to that of another stub, as a reload after SIGHUP does."""
        address = Address("127.0.0.1", 10 + len(self._registries_by_port))
        self._registries_by_port[address.port] = registry
        self.discovery.change_address(address)

    async def wait_for_list(self, version):
        """Wait until the balancer and the pool use the list of `version`; return the time of the loop."""
        async with asyncio.timeout(MAX_WAIT_S):
            while self.discovery.version != version:
                self.sidecar.notification.clear()
                await self.sidecar.notification.wait()
        assert set(pool_servers(self.sidecar)) == {f"s{version}"}
        assert set(balancer_active_servers(self.sidecar)) == {f"s{version}"}
        return now()

    def close(self):
        self.discovery.close()
        for registry in (self.registry, *self._registries_by_port.values()):
            registry.silence_connections()
