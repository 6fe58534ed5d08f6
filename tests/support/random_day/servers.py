"""The model of the servers: their processes, connections to them, and how they react to requests."""

from __future__ import annotations

import asyncio
import errno
import re
from dataclasses import dataclass, field

from brassfall.balancer.model import EndpointEntry, ListForm
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.endpoint_list import ServerList

ANSWERS = ("ok", "ok", "halves", "last", "second", "more", "error", "full", "full", "unmarked", "spoilt")
REACTIONS = (*ANSWERS, "reset", "eof", "hang", "open", "cut", "large", "torn", "endless")
CONNECTS = ("at once", "at once", "soon", "late", "late", "refused", "full", "never", "closed")
# On mild days few retries are prevented, so that more of them are there to be judged.
MILD_REACTIONS = (*("ok",) * 10, "error", "error", "spoilt", "reset", "eof", "hang")
MILD_CONNECTS = (*("at once",) * 8, "soon", "late", "closed")
REQUEST_NUMBER = re.compile(rb"X-Id: (\d+)\r\n")
HEAD = b"HTTP/1.1 %b\r\nX-Load-Report: inflight=2\r\n"


@dataclass(eq=False)
class Incarnation:
    """One process of a server, from its start to its end."""

    name: str
    zone: int
    cell: int
    port: int
    started: float
    state: str = "active"
    out_at: float = float("inf")  # when the program was notified that it leaves, or was replaced
    grace: float = 0.0  # in force then
    connections: list = field(default_factory=list)

    @property
    def entry(self):
        return EndpointEntry(self.name, self.zone, 0, self.cell, self.state, 1.0, self.started)


@dataclass(eq=False)
class Write:
    """An attempt as its server sees it."""

    connection: ServerConnection
    at: float
    head: bytes
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False
    never_ran: bool = False  # proven by a rejection of the server
    over: bool = False  # answered completely, or its connection is gone


class ServerConnection(asyncio.Transport):
    """A connection to one process; what is written arrives at once, or is buffered for a while."""

    def __init__(self, servers, protocol, server):
        super().__init__()
        self.servers, self.chance, self.protocol, self.server = servers, servers.chance, protocol, server
        self.current: Write | None = None
        self.buffered = bytearray()
        self.inbox: list = []
        self.reading_paused = self.closed = self.writing_paused = self.choked = False
        server.connections.append(self)

    # --- for the program

    def write(self, data):
        if self.closed or not data:
            return
        hold_up_ms = self.chance.hold_up()
        if self.current is None or self.current.over:
            number = REQUEST_NUMBER.search(data)
            if number is None:
                self.servers.oracle.breach("bytes of no request on a connection")
                return
            head, _, rest = data.partition(b"\r\n\r\n")
            self.current = Write(self, self.servers.oracle.now, head)
            self.servers.attempt_written(int(number[1]), self.current, hold_up_ms)
            self.buffered += rest
            self.choked = self.chance.rng.random() < self.chance.clogged
            if self.choked:
                self.chance.later((0.01, 0.05, 0.1, 0.3), self.unchoke)
        else:
            self.buffered += data
        if not self.choked:
            self.flush()
        elif not self.writing_paused:
            self.writing_paused = True
            self.protocol.pause_writing()

    def get_write_buffer_size(self):
        return len(self.buffered) + self.choked

    def flush(self):
        write, call = self.current, self.servers.carried[self.current]
        write.body += self.buffered
        self.buffered.clear()
        if not write.complete and call.is_complete(write.body):
            write.complete = True
            self.servers.attempt_complete(write, call)

    def unchoke(self):
        if self.closed or not self.choked:
            return
        if self.chance.rng.random() < 0.3:
            self.die()  # before its last byte
            return
        self.choked = self.writing_paused = False
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

    # --- for the server

    def deliver(self, what):
        """Deliver bytes, or the end as None or an error; they are read a turn later."""
        self.inbox.append(what)
        self.servers.loop.call_soon(self.read)

    def read(self):
        while self.inbox and not self.reading_paused and not self.closed:
            what = self.inbox.pop(0)
            if what is None:
                self.protocol.eof_received()
                self._close(None)
            elif isinstance(what, Exception):
                self._close(what)
            else:
                self.protocol.data_received(what)

    def die(self):
        self.inbox.clear()
        self.reading_paused = False
        self.deliver(ConnectionResetError())


class Servers:
    """All servers: who starts, drains and leaves, what discovery says of it, and how requests are met.

    `settings` has the grace in force, `calls` the requests by number; `read_slowly` is called with a call
    whose client shall read its large answer slowly. The driver takes the lists once it is set.
    """

    def __init__(self, loop, chance, oracle, settings, clients):
        self.loop, self.chance, self.oracle, self.settings = loop, chance, oracle, settings
        self.clients = clients
        self.driver = None
        self.carried: dict[Write, object] = {}
        self.at_port: dict[int, Incarnation] = {}
        self.listed: dict[str, Incarnation] = {}
        self.version = 1

    # --- processes and lists --------------------------------------------------------------

    def list_to_program(self, form, entries):
        """Send an endpoint list with these incarnations; who leaves is noted before the program knows."""
        named = {server.name: server for server in entries}
        for name, old in self.listed.items():
            gone = named.get(name, old) is not old or (form is ListForm.COMPLETE and name not in named)
            if gone or old.state != "active":
                if old.out_at == float("inf"):
                    old.out_at, old.grace = self.oracle.now, self.settings.grace_ms
            else:
                old.out_at = float("inf")
        if form is ListForm.COMPLETE:
            self.listed = {}
        self.listed |= named
        self.version += 1
        self.oracle.note(f"list {form.value} {[(s.name, s.port, s.state) for s in entries]}")
        addresses = {server.name: Address("127.0.0.1", server.port) for server in entries}
        rows = [server.entry for server in entries]
        update = ServerList(self.version, form is not ListForm.CHANGES, rows, addresses)
        self.driver.endpoints_listed(form, update)
        self.listed = {name: server for name, server in self.listed.items() if server.state != "left"}

    def start(self, name, port=None):
        number = int(name[1:])
        port = port or 1000 + len(self.at_port)
        made = Incarnation(name, number % 2, number // 3, port, self.oracle.now)
        self.at_port[made.port] = made
        return made

    def change(self):
        """Let a server start, drain, leave or restart; or list all, with some left out."""
        rng = self.chance.rng
        name = f"s{rng.randrange(9)}"
        old = self.listed.get(name)
        what = rng.choice(["leave", "leave", "left", "restart", "restart", "here", "back", "complete"])
        if what == "complete":
            listed = [server for server in self.listed.values() if rng.random() < 0.8]
            self.list_to_program(ListForm.COMPLETE, listed)
        elif old is None:
            self.list_to_program(ListForm.CHANGES, [self.start(name)])
        elif what in ("restart", "here"):
            made = self.start(name, old.port if what == "here" else None)
            if rng.random() < 0.5:
                for connection in old.connections:
                    self.chance.later((0.0, 0.0, 0.01, 0.1), connection.die)
            self.list_to_program(ListForm.CHANGES, [made])
        else:
            old.state = {"leave": "leaving", "left": "left", "back": "active"}[what]
            self.list_to_program(ListForm.CHANGES, [old])

    def drain_one(self):
        active = [server for server in self.listed.values() if server.state == "active"]
        if active:
            self.chance.rng.choice(active).state = "leaving"
            self.list_to_program(ListForm.CHANGES, active)

    def close_some(self):
        """Close connections, idle ones or not."""
        found = [it for server in self.at_port.values() for it in server.connections if not it.closed]
        for connection in self.chance.rng.sample(found, min(len(found), 2)):
            self._close(connection, self.chance.rng.random() < 0.5)

    # --- connections ----------------------------------------------------------------------

    async def connect(self, factory, port):
        """Open a connection to the process at a port; in time, late, never or in vain."""
        rng = self.chance.rng
        how = "late" if self.chance.drains else rng.choice(MILD_CONNECTS if self.chance.mild else CONNECTS)
        if how in ("soon", "late"):
            await asyncio.sleep(rng.choice((0.0, 0.01) if how == "soon" else (0.03, 0.06, 0.1, 0.2)))
        elif how == "never":
            await asyncio.sleep(10.0)
        elif how == "refused":
            raise ConnectionRefusedError
        elif how == "full":
            raise OSError(errno.EMFILE, "no descriptor is free")
        protocol = factory()
        connection = ServerConnection(self, protocol, self.at_port[port])
        protocol.connection_made(connection)
        if how == "closed":
            connection.deliver(None)
        return connection, protocol

    # --- requests -------------------------------------------------------------------------

    def attempt_written(self, number, write, hold_up_ms):
        """Take the first byte of an attempt; the program read its clock `hold_up_ms` before."""
        call = self.clients.calls[number]
        server = write.connection.server
        self.oracle.note(f"write {number} to {server.name} at {server.port}")
        call.writes.append(write)
        self.carried[write] = call
        self.oracle.attempt_written(call, write, hold_up_ms=hold_up_ms, grace_ms=self.settings.grace_ms)

    def attempt_complete(self, write, call):
        """Take the last byte of an attempt, and react to it later."""
        self.oracle.attempt_complete(call, write)
        self.chance.later((0.0, 0.0, 0.01, 0.02, 0.05, 0.1, 0.12, 0.3), self._react, write, call)

    def _react(self, write, call):
        connection = write.connection
        if connection.closed or write.over:
            return
        how = self.chance.rng.choice(MILD_REACTIONS if self.chance.mild else REACTIONS)
        self.oracle.note(f"react {call.number} {how}")
        good = b"ok %d" % call.number
        complete = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(good), good)
        if how in ("ok", "second", "more", "halves", "last"):
            self._answer_well(write, how, complete)
        elif how in ("error", "full", "unmarked"):
            self._answer_badly(write, how)
        elif how in ("large", "torn", "endless"):
            self._answer_large(write, call, how)
        elif how in ("open", "cut"):
            connection.deliver(HEAD % b"200 OK" + b"\r\n" + good)
            self.chance.later((0.0, 0.05, 0.1, 0.2), self._close, connection, how == "open")
        elif how == "spoilt":
            connection.deliver(b"no HTTP at all\r\n\r\n")
        elif how == "reset":
            connection.die()
        elif how == "eof":
            connection.deliver(None)

    def _answer_well(self, write, how, complete):
        connection = write.connection
        if how in ("halves", "last"):
            cut = self.chance.rng.randrange(1, len(complete))
            connection.deliver(complete[:cut])
            self.chance.later((0.0, 0.01, 0.1), self._rest, write, complete[cut:], how == "last")
            return
        write.over = True
        connection.deliver(complete + (complete if how == "more" else b""))
        if how == "second":
            self.chance.later((0.0, 0.01), self._second, write, complete)

    def _answer_badly(self, write, how):
        write.over = True
        write.never_ran = how == "full"
        status, marks = {
            "error": (b"500 Broken", b""),
            "full": (b"503 Full", b"X-Rejected: 1\r\n"),
            "unmarked": (b"503 Busy", b""),
        }[how]
        write.connection.deliver(HEAD % status + marks + b"Content-Length: 0\r\n\r\n")

    def _answer_large(self, write, call, how):
        write.connection.deliver(HEAD % b"200 OK" + b"Content-Length: 80000\r\n\r\n" + b"x" * 70000)
        if self.chance.rng.random() < 0.3:
            self.chance.later((0.0, 0.01), self.clients.read_slowly, call)
        if how == "large":
            self.chance.later((0.0, 0.02, 0.4), self._rest, write, b"x" * 10000, False)
        elif how == "torn":
            self.chance.later((0.0, 0.02, 0.4), self._close, write.connection, False)

    def _second(self, write, answer):
        if not write.connection.closed and write.connection.current is write:
            write.connection.deliver(answer)

    def _rest(self, write, rest, last):
        """Deliver the rest of an answer, and the connection's end after it if it is the `last`."""
        if not write.connection.closed:
            write.over = True
            write.connection.deliver(rest)
            if last:
                write.connection.deliver(None)

    def _close(self, connection, well):
        if not connection.closed:
            if well:
                connection.deliver(None)
            else:
                connection.die()
