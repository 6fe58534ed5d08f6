"""Model of the servers: their processes, the connections to them, and their reactions to requests."""

from __future__ import annotations

import asyncio
import errno
import re
from dataclasses import dataclass, field

from brassfall.balancer.model import EndpointEntry, ListForm
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.endpoint_list import ServerList

# Reactions of a server that answer a request. "ok" is a complete answer. "halves" and "last" are complete
# answers in two parts, and the connection is closed after "last". With "second" and "more", another answer
# follows, later or at once. "error" is a status 500, "full" is a 503 whose mark proves that the request did
# not run, and "unmarked" is a 503 without this mark. "spoilt" is input that is not HTTP.
ANSWERS = ("ok", "ok", "halves", "last", "second", "more", "error", "full", "full", "unmarked", "spoilt")
# Reactions of a server to a request. In addition to `ANSWERS`, "reset" and "eof" end the connection, and
# "hang" does nothing. "open" and "cut" are answers without a length, after which the connection is closed or
# reset. "large" is a large answer, "torn" one that breaks off, and "endless" one whose rest never comes.
REACTIONS = (*ANSWERS, "reset", "eof", "hang", "open", "cut", "large", "torn", "endless")
# Results of opening a connection. "soon" and "late" are delays, "refused" and "full" are errors, "never"
# takes 10 s, and "closed" is a connection that the server closes at once.
CONNECT_RESULTS = ("at once", "at once", "soon", "late", "late", "refused", "full", "never", "closed")
# On mostly healthy days, few faults prevent retries, so that the oracle has more retries to judge.
HEALTHY_REACTIONS = (*("ok",) * 10, "error", "error", "spoilt", "reset", "eof", "hang")
HEALTHY_CONNECT_RESULTS = (*("at once",) * 8, "soon", "late", "closed")
REQUEST_NUMBER = re.compile(rb"X-Id: (\d+)\r\n")
HEAD = b"HTTP/1.1 %b\r\nX-Load-Report: inflight=2\r\n"


@dataclass(eq=False)
class Incarnation:
    """Process of a server, from its start to its end."""

    name: str
    zone: int
    cell: int
    port: int
    started: float
    state: str = "active"
    # Time at which the program was notified that this process leaves or is replaced, in ms.
    leaving_known_at: float = float("inf")
    grace_ms: float = 0.0  # grace period of the settings at that time, in ms
    connections: list = field(default_factory=list)

    @property
    def entry(self):
        return EndpointEntry(self.name, self.zone, 0, self.cell, self.state, 1.0, self.started)


@dataclass(eq=False)
class Write:
    """Attempt as its server sees it."""

    connection: ServerConnection
    at: float
    head: bytes
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False
    never_ran: bool = False  # True if the server's rejection proves that the request did not run
    over: bool = False  # True if the attempt is answered completely, or its connection is closed


class ServerConnection(asyncio.Transport):
    """Connection to one process; written bytes arrive at once, or are buffered for some time."""

    def __init__(self, servers, protocol, server):
        super().__init__()
        self.servers, self.chance, self.protocol, self.server = servers, servers.chance, protocol, server
        self.current: Write | None = None
        self.buffered = bytearray()
        self.inbox: list = []
        self.reading_paused = self.closed = self.writing_paused = self.blocked = False
        server.connections.append(self)

    # --- called by the program

    def write(self, data):
        if self.closed or not data:
            return
        suspended_ms = self.chance.suspend()
        if self.current is None or self.current.over:
            number = REQUEST_NUMBER.search(data)
            if number is None:
                self.servers.oracle.breach("bytes on a connection that belong to no request")
                return
            head, _, rest = data.partition(b"\r\n\r\n")
            self.current = Write(self, self.servers.oracle.now, head)
            self.servers.attempt_written(int(number[1]), self.current, suspended_ms)
            self.buffered += rest
            self.blocked = self.chance.rng.random() < self.chance.blocked_share
            if self.blocked:
                self.chance.call_later((0.01, 0.05, 0.1, 0.3), self.unblock)
        else:
            self.buffered += data
        if not self.blocked:
            self.flush()
        elif not self.writing_paused:
            self.writing_paused = True
            self.protocol.pause_writing()

    def get_write_buffer_size(self):
        return len(self.buffered) + self.blocked

    def flush(self):
        write, call = self.current, self.servers.call_of_write[self.current]
        write.body += self.buffered
        self.buffered.clear()
        if not write.complete and call.is_complete(write.body):
            write.complete = True
            self.servers.attempt_complete(write, call)

    def unblock(self):
        if self.closed or not self.blocked:
            return
        if self.chance.rng.random() < 0.3:
            self.reset()  # the connection ends before the last byte has arrived
            return
        self.blocked = self.writing_paused = False
        self.flush()
        self.protocol.resume_writing()

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def is_closing(self):
        return self.closed

    def get_extra_info(self, name, default=None):
        return default

    def pause_reading(self):
        self.reading_paused = True

    def resume_reading(self):
        if self.reading_paused:
            self.reading_paused = False
            self.servers.loop.call_soon(self.read)

    def abort(self):
        self._close(None)

    close = abort

    def _close(self, error):
        if self.closed:
            return
        self.closed = True
        self.buffered.clear()
        if self.current is not None:
            self.current.over = True
        self.servers.loop.call_soon(self.protocol.connection_lost, error)

    # --- called by the model of the server

    def deliver(self, item):
        """Deliver `item`, which the program reads in the next turn of the event loop.

        An item is bytes, None for an ordinary close, or an exception for a broken connection.
        """
        self.inbox.append(item)
        self.servers.loop.call_soon(self.read)

    def read(self):
        while self.inbox and not self.reading_paused and not self.closed:
            item = self.inbox.pop(0)
            if item is None:
                self.protocol.eof_received()
                self._close(None)
            elif isinstance(item, Exception):
                self._close(item)
            else:
                self.protocol.data_received(item)

    def reset(self):
        self.inbox.clear()
        self.reading_paused = False
        self.deliver(ConnectionResetError())


class Servers:
    """All servers: which start, drain and leave, what discovery reports of it, and how requests are answered.

    `settings` provides the current grace period, and `clients` provides the requests by number and clients
    that read a large answer slowly. Endpoint lists go to `driver`, which has to be set first.
    """

    def __init__(self, loop, chance, oracle, settings, clients):
        self.loop, self.chance, self.oracle, self.settings = loop, chance, oracle, settings
        self.clients = clients
        self.driver = None
        self.call_of_write: dict[Write, object] = {}
        self.by_port: dict[int, Incarnation] = {}
        self.listed: dict[str, Incarnation] = {}
        self.version = 1

    # --- processes and lists --------------------------------------------------------------

    def list_to_program(self, form, entries):
        """Send an endpoint list with `entries` to the program, and record which processes leave by it."""
        named = {server.name: server for server in entries}
        for name, old in self.listed.items():
            replaced_or_omitted = named.get(name, old) is not old or (
                form is ListForm.COMPLETE and name not in named
            )
            if replaced_or_omitted or old.state != "active":
                if old.leaving_known_at == float("inf"):
                    old.leaving_known_at, old.grace_ms = self.oracle.now, self.settings.grace_ms
            else:
                old.leaving_known_at = float("inf")
        if form is ListForm.COMPLETE:
            self.listed = {}
        self.listed |= named
        self.version += 1
        self.oracle.note(
            f"list {form.value} {[(server.name, server.port, server.state) for server in entries]}"
        )
        addresses = {server.name: Address("127.0.0.1", server.port) for server in entries}
        rows = [server.entry for server in entries]
        update = ServerList(self.version, form is not ListForm.CHANGES, rows, addresses)
        self.driver.endpoints_listed(form, update)
        self.listed = {name: server for name, server in self.listed.items() if server.state != "left"}

    def start(self, name, port=None):
        number = int(name[1:])
        port = port or 1000 + len(self.by_port)
        incarnation = Incarnation(name, number % 2, number // 3, port, self.oracle.now)
        self.by_port[incarnation.port] = incarnation
        return incarnation

    def change(self):
        """Let a random server start, drain, leave or restart, or send a complete list that omits some."""
        rng = self.chance.rng
        name = f"s{rng.randrange(9)}"
        old = self.listed.get(name)
        change = rng.choice(["leave", "leave", "left", "restart", "restart", "here", "back", "complete"])
        if change == "complete":
            listed = [server for server in self.listed.values() if rng.random() < 0.8]
            self.list_to_program(ListForm.COMPLETE, listed)
        elif old is None:
            self.list_to_program(ListForm.CHANGES, [self.start(name)])
        elif change in ("restart", "here"):
            restarted = self.start(name, old.port if change == "here" else None)
            if rng.random() < 0.5:
                for connection in old.connections:
                    self.chance.call_later((0.0, 0.0, 0.01, 0.1), connection.reset)
            self.list_to_program(ListForm.CHANGES, [restarted])
        else:
            old.state = {"leave": "leaving", "left": "left", "back": "active"}[change]
            self.list_to_program(ListForm.CHANGES, [old])

    def drain_one(self):
        active = [server for server in self.listed.values() if server.state == "active"]
        if active:
            self.chance.rng.choice(active).state = "leaving"
            self.list_to_program(ListForm.CHANGES, active)

    def close_some(self):
        """Close up to two random connections, which need not be idle."""
        open_connections = [
            connection
            for server in self.by_port.values()
            for connection in server.connections
            if not connection.closed
        ]
        for connection in self.chance.rng.sample(open_connections, min(len(open_connections), 2)):
            self._close(connection, self.chance.rng.random() < 0.5)

    # --- connections ----------------------------------------------------------------------

    async def connect(self, factory, port):
        """Open a connection to the process at a port, with a random result of `CONNECT_RESULTS`."""
        rng = self.chance.rng
        result = (
            "late"
            if self.chance.drains
            else rng.choice(HEALTHY_CONNECT_RESULTS if self.chance.mostly_healthy else CONNECT_RESULTS)
        )
        if result in ("soon", "late"):
            await asyncio.sleep(rng.choice((0.0, 0.01) if result == "soon" else (0.03, 0.06, 0.1, 0.2)))
        elif result == "never":
            await asyncio.sleep(10.0)
        elif result == "refused":
            raise ConnectionRefusedError
        elif result == "full":
            raise OSError(errno.EMFILE, "no descriptor is free")
        protocol = factory()
        connection = ServerConnection(self, protocol, self.by_port[port])
        protocol.connection_made(connection)
        if result == "closed":
            connection.deliver(None)
        return connection, protocol

    # --- requests -------------------------------------------------------------------------

    def attempt_written(self, number, write, suspended_ms):
        """Record the first byte of an attempt; the program had read its clock `suspended_ms` before."""
        call = self.clients.calls[number]
        server = write.connection.server
        self.oracle.note(f"write {number} to {server.name} at {server.port}")
        call.writes.append(write)
        self.call_of_write[write] = call
        self.oracle.attempt_written(call, write, suspended_ms=suspended_ms, grace_ms=self.settings.grace_ms)

    def attempt_complete(self, write, call):
        """Record the last byte of an attempt, and react to it later."""
        self.oracle.attempt_complete(call, write)
        self.chance.call_later((0.0, 0.0, 0.01, 0.02, 0.05, 0.1, 0.12, 0.3), self._react, write, call)

    def _react(self, write, call):
        connection = write.connection
        if connection.closed or write.over:
            return
        reaction = self.chance.rng.choice(HEALTHY_REACTIONS if self.chance.mostly_healthy else REACTIONS)
        self.oracle.note(f"react {call.number} {reaction}")
        body = b"ok %d" % call.number
        complete = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        if reaction in ("ok", "second", "more", "halves", "last"):
            self._answer_well(write, reaction, complete)
        elif reaction in ("error", "full", "unmarked"):
            self._answer_badly(write, reaction)
        elif reaction in ("large", "torn", "endless"):
            self._answer_large(write, call, reaction)
        elif reaction in ("open", "cut"):
            connection.deliver(HEAD % b"200 OK" + b"\r\n" + body)
            self.chance.call_later((0.0, 0.05, 0.1, 0.2), self._close, connection, reaction == "open")
        elif reaction == "spoilt":
            connection.deliver(b"no HTTP at all\r\n\r\n")
        elif reaction == "reset":
            connection.reset()
        elif reaction == "eof":
            connection.deliver(None)

    def _answer_well(self, write, reaction, complete):
        connection = write.connection
        if reaction in ("halves", "last"):
            cut = self.chance.rng.randrange(1, len(complete))
            connection.deliver(complete[:cut])
            self.chance.call_later(
                (0.0, 0.01, 0.1), self._send_rest, write, complete[cut:], reaction == "last"
            )
            return
        write.over = True
        connection.deliver(complete + (complete if reaction == "more" else b""))
        if reaction == "second":
            self.chance.call_later((0.0, 0.01), self._send_second, write, complete)

    def _answer_badly(self, write, reaction):
        write.over = True
        write.never_ran = reaction == "full"
        status, marks = {
            "error": (b"500 Broken", b""),
            "full": (b"503 Full", b"X-Rejected: 1\r\n"),
            "unmarked": (b"503 Busy", b""),
        }[reaction]
        write.connection.deliver(HEAD % status + marks + b"Content-Length: 0\r\n\r\n")

    def _answer_large(self, write, call, reaction):
        write.connection.deliver(HEAD % b"200 OK" + b"Content-Length: 80000\r\n\r\n" + b"x" * 70000)
        if self.chance.rng.random() < 0.3:
            self.chance.call_later((0.0, 0.01), self.clients.read_slowly, call)
        if reaction == "large":
            self.chance.call_later((0.0, 0.02, 0.4), self._send_rest, write, b"x" * 10000, False)
        elif reaction == "torn":
            self.chance.call_later((0.0, 0.02, 0.4), self._close, write.connection, False)

    def _send_second(self, write, answer):
        if not write.connection.closed and write.connection.current is write:
            write.connection.deliver(answer)

    def _send_rest(self, write, rest, close):
        """Deliver the rest of an answer, and with `close` the close of the connection after it."""
        if not write.connection.closed:
            write.over = True
            write.connection.deliver(rest)
            if close:
                write.connection.deliver(None)

    def _close(self, connection, orderly):
        if not connection.closed:
            if orderly:
                connection.deliver(None)
            else:
                connection.reset()
