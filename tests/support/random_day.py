"""A random day for the driver, the module and the pool on a controlled clock, and an oracle that judges it.

The oracle knows the protocol alone: what came, what was written to which process, what was answered. The
pool is the real one; its connections are stand-ins that hold bytes and answers until the day says so. Times
lie on a coarse grid, so that what may cross does cross, in the same turn of the loop."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import re
import selectors
from dataclasses import dataclass, field
from unittest import mock

from brassfall.balancer.model import ListForm, Listing, Steer
from brassfall.sidecar import config, framing, reload
from brassfall.sidecar.body import Body
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.core import clock, driver
from brassfall.sidecar.discovery.endpoint_list import ServerList
from brassfall.sidecar.servers import pool as outbound

GRID_S = 0.01
DAY_S, REST_S = 2.0, 45.0  # the rest outlasts each guard against what has stalled
ROUNDING_MS = 1e-3
HOLD_UPS_S = (0.02, 0.08, 0.15)  # between reading the clock and writing
HOLD_UPS_APART_S = 0.1
UNREAD_S = (0.05, 0.13, 0.2)
BEGIN_MOST_MS = 100.0  # after its client has closed, until an attempt begins
BUDGET_SLACK_MS = 150.0
TURNS_MOST = 50_000
STEP_S, STILL_MOST = 1e-6, 100
ANSWERS = ("ok", "ok", "halves", "last", "second", "more", "error", "full", "full", "unmarked", "spoilt")
REACTIONS = (*ANSWERS, "reset", "eof", "hang", "open", "cut", "large", "torn", "endless")
CONNECTS = ("at once", "at once", "soon", "late", "late", "refused", "full", "never", "closed")
# On mild days few repeats are kept back, so that more of them are there to be judged.
MILD_REACTIONS = (*("ok",) * 10, "error", "error", "spoilt", "reset", "eof", "hang")
MILD_CONNECTS = (*("at once",) * 8, "soon", "late", "closed")
EFFECTS = ("pure", "token", "side_effect")
ID = re.compile(rb"X-Id: (\d+)\r\n")
LEFT = re.compile(rb"X-Left: (-?[\d.]+)\r\n")


class Jumping(selectors.SelectSelector):
    """Waits for nothing: the time goes on to what is due next."""

    loop: Loop
    still = 0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is due any more")
        self.loop.turns += 1
        if self.loop.turns > TURNS_MOST:
            raise RuntimeError("a day without an end")
        # Work takes time, if little: what waits for a rest too small to be counted would wait for ever.
        self.still = 0 if timeout > 0.0 else self.still + 1
        self.loop.at += max(timeout, STEP_S if self.still > STILL_MOST else 0.0)
        return []


class Loop(asyncio.SelectorEventLoop):
    """A loop whose clock moves only while nothing is to be done."""

    def __init__(self):
        self.at, self.turns = 1000.0, 0
        selector = Jumping()
        selector.loop = self
        super().__init__(selector)
        self.connect = None

    def time(self):
        return self.at

    async def create_connection(self, factory, host, port):
        return await self.connect(factory, port)


class Clock(clock.Clock):
    """The loop's time itself."""

    def __init__(self, loop):
        self._loop, self._offset = loop, 0.0


@dataclass(eq=False)
class Incarnation:
    """One process of a server, from its start to its end."""

    name: str
    zone: int
    cell: int
    port: int
    started: float
    state: str = "active"
    out_at: float = float("inf")  # when it was told that it leaves, or that another took its place
    grace: float = 0.0  # that held then
    wires: list = field(default_factory=list)

    @property
    def entry(self):
        return Listing(self.name, self.zone, 0, self.cell, self.state, 1.0, self.started)


@dataclass(eq=False)
class Write:
    """An attempt as its server sees it."""

    wire: Wire
    at: float
    head: bytes
    body: bytearray = field(default_factory=bytearray)
    whole: bool = False
    never_ran: bool = False  # proven by a refusal of the server
    over: bool = False  # answered whole, or its connection is gone


class Wire(asyncio.Transport):
    """A connection to one process; what is written arrives at once, or is held for a while."""

    def __init__(self, world, protocol, server):
        super().__init__()
        self.world, self.protocol, self.server = world, protocol, server
        self.write_now: Write | None = None
        self.held = bytearray()
        self.inbox: list = []
        self.stopped = self.closed = self.silent = self.choked = False
        server.wires.append(self)

    # --- for the program

    def write(self, data):
        if self.closed or not data:
            return
        held_ms = self.world.hold_up()
        if self.write_now is None or self.write_now.over:
            number = ID.search(data)
            if number is None:
                self.world.breach("bytes of no request on a connection")
                return
            head, _, rest = data.partition(b"\r\n\r\n")
            self.write_now = Write(self, self.world.now, head)
            self.world.wrote(self, int(number[1]), self.write_now, held_ms)
            self.held += rest
            self.choked = self.world.rng.random() < self.world.clogged
            if self.choked:
                self.world.later((0.01, 0.05, 0.1, 0.3), self.unchoke)
        else:
            self.held += data
        if not self.choked:
            self.flush()
        elif not self.silent:
            self.silent = True
            self.protocol.pause_writing()

    def get_write_buffer_size(self):
        return len(self.held) + self.choked

    def flush(self):
        write, call = self.write_now, self.world.carried[self.write_now]
        write.body += self.held
        self.held.clear()
        if not write.whole and call.is_whole(write.body):
            write.whole = True
            self.world.whole(self, write, call)

    def unchoke(self):
        if self.closed or not self.choked:
            return
        if self.world.rng.random() < 0.3:
            self.die()  # before its last byte
            return
        self.choked = self.silent = False
        self.flush()
        self.protocol.resume_writing()

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def is_closing(self):
        return self.closed

    def get_extra_info(self, name, default=None):
        return default

    def pause_reading(self):
        self.stopped = True

    def resume_reading(self):
        if self.stopped:
            self.stopped = False
            self.world.loop.call_soon(self.read)

    def abort(self):
        self._close(None)

    close = abort

    def _close(self, error):
        if self.closed:
            return
        self.closed = True
        self.held.clear()
        if self.write_now is not None:
            self.write_now.over = True
        self.world.loop.call_soon(self.protocol.connection_lost, error)

    # --- for the day

    def deliver(self, what):
        """Bytes or the end: there to be read, and read a turn later."""
        self.inbox.append(what)
        self.world.loop.call_soon(self.read)

    def read(self):
        while self.inbox and not self.stopped and not self.closed:
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
        self.stopped = False
        self.deliver(ConnectionResetError())


class Source:
    """The client's side of a body."""

    paused = False

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False


class Call:
    """A request, and what the oracle knows of it."""

    client_retry = mutates = False
    work = None

    def __init__(self, world, number, name, request_class, row, limits, budget, body):
        self.world, self.number, self.name, self.request_class = world, number, name, request_class
        self.row, self.limits, self.budget, self.body = row, limits, budget, body
        self.arrived = world.now
        self.sent = bytearray() if body is None else bytearray(body._buffer)
        self.ended = body is None  # its last byte has been read
        self.read_at, self.until = world.now, world.until
        self.key, self.tenant = world.rng.choice([None, 1, 2]), world.rng.randrange(2)
        self.request = None
        self.final: str | None = None
        self.flow_over = self.gone = False
        self.closed_at = None  # when its client closed, of which the program may be told later
        self.flow = None
        self.passed = 0
        self.writes: list[Write] = []
        self.decided: list[tuple[float, str]] = []

    @property
    def reading(self):
        return self.body is not None and not self.body.complete

    @property
    def give_up_at(self):
        return min(self.read_at + self.budget - driver.DEADLINE_MARGIN_MS, self.until)

    def client_left(self):
        return self.closed_at is not None

    def wire(self, left):
        framing_of = b"" if self.body is None else self.body.header
        return b"POST /x HTTP/1.1\r\nX-Id: %d\r\nX-Left: %.3f\r\n%b\r\n" % (
            self.number,
            left,
            framing_of,
        )

    def is_whole(self, body):
        """Whether a server that has read so much has all; what it has must be what the client sent."""
        if self.body is None:
            return True
        if self.body.length is None:
            plain = b"".join(re.findall(rb"[0-9a-f]+\r\n([^\r]+)\r\n", body))
            done = body.endswith(b"0\r\n\r\n")
        else:
            plain, done = bytes(body), len(body) == self.body.length
        if not self.sent.startswith(plain):
            self.world.breach(f"request {self.number}: not the body that its client sent")
        return done and self.ended

    # --- the program's answers

    def served(self, answer):
        if answer.body != b"ok %d" % self.number:
            self.world.breach(f"request {self.number}: served with what is no answer to it")
        self.world.answered(self, "served")

    def refused(self, retry_after):
        self.world.answered(self, "refused")
        effect, ran = self.row["Semantics"], any(w.whole and not w.never_ran for w in self.writes)
        if ran and (effect == "side_effect" or (effect == "token" and self.row["Group"] != "all")):
            self.world.breach(f"request {self.number}: refused though it may have run")

    def failed(self, late):
        self.world.answered(self, "failed")

    def begun(self, answer, flow):
        self.flow = flow
        self.passed = len(answer.body)
        self.world.answered(self, "begun")

    def more(self, data):
        self.passed += len(data)
        if self.flow_over:
            self.world.breach(f"request {self.number}: more of an answer that was over")

    def finished(self):
        self._over()

    def broken(self):
        self._over()

    def _over(self):
        if self.final != "begun" or self.flow_over:
            self.world.breach(f"request {self.number}: the end of an answer that had not begun, or a second")
        self.flow_over = True


class Recorder:
    """The pool, with a note of when each attempt was decided."""

    def __init__(self, pool, world):
        self._pool, self._world = pool, world

    def __getattr__(self, name):
        return getattr(self._pool, name)

    def send(self, server, call, *args, **kwargs):
        self._world.say(f"send {call.number} to {server}")
        call.decided.append((self._world.now, server))
        return self._pool.send(server, call, *args, **kwargs)


class World:
    """One random day. `told` changes what the program is told, apart from what the oracle holds it to."""

    def __init__(self, seed, told=lambda raw: raw):
        self.rng = random.Random(seed)
        self.told = told
        self.loop = Loop()
        self.loop.connect = self.connect
        self.loop.set_exception_handler(lambda loop, context: self.breach(f"a fault: {context}"))
        self.clock = Clock(self.loop)
        self.trace: list[str] = []
        self.breaches: list[str] = []
        self.calls: dict[int, Call] = {}
        self.carried: dict[Write, Call] = {}
        self.at_port: dict[int, Incarnation] = {}
        self.listed: dict[str, Incarnation] = {}
        self.until = float("inf")
        # Drawn apart, so that a day with hold-ups is the same otherwise.
        self.hold_ups = random.Random(f"hold-ups {seed}")
        self.held_up = self.hold_ups.choice([0.0, 0.1, 0.5])  # how often a write is
        self.held_until = 0.0
        self.mild = self.rng.random() < 0.5
        self.clogged = self.rng.choice([0.05, 0.15, 0.6])  # how often bytes are held on their way
        self.drains = self.rng.random() < 0.15  # servers leave, one by one, while connections come up late
        self.sockets = self.rng.choice([30, 36, 256])  # so few that connections run out, or enough
        self.stamp = b""
        self.version = 1
        self.raw = self.settings()
        self.raw_at = self.now
        self.running = self.parse(self.raw)
        self.told_names = [(self.running.names, self.raw)]  # newest first
        self.driver = driver.Driver(self.loop, self.clock, self.running)
        self.pool = outbound.Pool(self.loop, self.clock, self.running)
        self.driver.connect(Recorder(self.pool, self), self, self)
        if self.rng.random() < 0.25:
            self.driver.revision_stamp = self.pool.stamp = lambda: self.stamp

    @property
    def now(self):
        return self.clock.now()

    def say(self, text):
        self.trace.append(f"{self.now - 1e6:9.3f} {text}")

    def breach(self, text):
        self.say(f"BREACH {text}")
        self.breaches.append(text)

    def log(self, text):
        if "Traceback" in text or "report it" in text:
            self.breach(f"a line in the log: {text}")

    def hold_up(self):
        """The process may stand still between reading its clock and writing; for how many ms it did."""
        if self.hold_ups.random() >= self.held_up or self.loop.at < self.held_until + HOLD_UPS_APART_S:
            return 0.0
        length = self.hold_ups.choice(HOLD_UPS_S)
        self.loop.at = self.held_until = self.loop.at + length
        return length * 1000.0

    def later(self, delays, what, *args):
        self.loop.call_later(self.rng.choice(delays), what, *args)

    # --- what the program is told -------------------------------------------------

    def settings(self):
        rng = self.rng
        rows = []
        for name in rng.sample("abcdefgh", rng.randrange(2, 6)):
            deadline = rng.choice([120.0, 300.0, 600.0])
            effect, group = rng.choice(EFFECTS), rng.choice(["all", "cell", "zone"])
            aim, window = deadline / rng.choice([1.0, 2.0]), rng.choice([30.0, 60.0, 300.0])
            late, worth = rng.choice([0.0, 0.5]), rng.choice([1.0, 10.0])
            rows.append(
                {
                    "Name": name, "Semantics": effect, "Group": group, "KeyTtl": window,
                    "Objective": aim, "Deadline": deadline, "LateWorth": late, "Worth": worth,
                    "InTurn": rng.random() < 0.15,
                }
            )  # fmt: skip
        limits = {
            "MaxAttempts": rng.randrange(1, 5), "MayCancel": rng.random() < 0.5,
            "MaxOpen": rng.choice([4, 40]), "ParallelTries": rng.random() < 0.3,
            "ConnectTimeout": rng.choice([30.0, 100.0, 250.0]),
            "IdleClose": rng.choice([100.0, 1000.0]), "RetryAfter": True, "MaxRetryAfter": 100.0,
        }  # fmt: skip
        return {
            "Profiles": rows, "PolicyLimits": limits, "FailureDomains": ["east", "west"],
            "Kinds": ["big"], "Discovery": "subscribe", "Me": 0, "Balancers": 2,
            "Rules": {
                "StopSendingWithin": rng.choice([0.0, 100.0, 300.0]), "AskWithin": 2000.0,
                "ReleaseWithin": rng.choice([0.0, 100.0]), "SettleAfterDoubt": rng.choice([0.0, 40.0]),
                "WarmUp": rng.choice([0.0, 1000.0]), "ColdFrom": 0.2, "OverloadFor": 500.0,
            },
            "Report": {"How": "inline", "Fields": ["inflight"]},
            "Prices": {"CrossZone": rng.choice([0.0, 0.2]), "Connection": rng.choice([0.0, 0.1])},
            "Domain": {"WarmKeys": rng.random() < 0.2}, "OverShareWorth": rng.choice([0.1, 1.0]),
            "Tenants": [{"Name": "one", "AllowancePerS": 5.0}, {"Name": "two", "AllowancePerS": 9.0}],
        }  # fmt: skip

    def parse(self, raw):
        return config.parse(
            {
                "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "1",
                "limits": {"memory_mb": 64, "sockets": self.sockets}, "known": {"index": 1, "endpoints": []},
                "settings": self.told(raw),
            },
            {},
        )  # fmt: skip

    @property
    def grace(self):
        return self.raw["Rules"]["StopSendingWithin"]

    def reload(self):
        raw = self.settings()
        slots = {kind.slot for names, _ in self.told_names for kind in names.classes.values()}
        news = reload.successor(self.running, self.parse(raw), self.driver.request_classes | slots)
        self.say(f"reload {[(row['Name'], row['Semantics']) for row in raw['Profiles']]}")
        self.raw, self.running = raw, news.config
        self.told_names.insert(0, (news.config.names, raw))
        self.driver.reload(news.config, news.same_classes)
        self.pool.reload(news.config)

    def list_news(self, form, entries):
        """Entries are incarnations; what they are told of is noted before the program knows."""
        named = {server.name: server for server in entries}
        for name, old in self.listed.items():
            gone = named.get(name, old) is not old or (form == "all" and name not in named)
            if gone or old.state != "active":
                if old.out_at == float("inf"):
                    old.out_at, old.grace = self.now, self.grace
            else:
                old.out_at = float("inf")
        if form == "all":
            self.listed = {}
        self.listed |= named
        self.version += 1
        self.say(f"list {form} {[(s.name, s.port, s.state) for s in entries]}")
        addresses = {server.name: Address("127.0.0.1", server.port) for server in entries}
        rows = [server.entry for server in entries]
        update = ServerList(self.version, form != "changes", rows, addresses)
        self.driver.endpoints_listed(ListForm(form), update)
        self.listed = {name: server for name, server in self.listed.items() if server.state != "left"}

    def start_server(self, name, port=None):
        number = int(name[1:])
        made = Incarnation(name, number % 2, number // 3, port or 1000 + len(self.at_port), self.now)
        self.at_port[made.port] = made
        return made

    def change_servers(self):
        rng = self.rng
        name = f"s{rng.randrange(9)}"
        old = self.listed.get(name)
        what = rng.choice(["leave", "leave", "left", "restart", "restart", "here", "back", "whole"])
        if what == "whole":
            kept = [server for server in self.listed.values() if rng.random() < 0.8]
            self.list_news("all", kept)
        elif old is None:
            self.list_news("changes", [self.start_server(name)])
        elif what in ("restart", "here"):
            made = self.start_server(name, old.port if what == "here" else None)
            if rng.random() < 0.5:
                for wire in old.wires:
                    self.later((0.0, 0.0, 0.01, 0.1), wire.die)
            self.list_news("changes", [made])
        else:
            old.state = {"leave": "leaving", "left": "left", "back": "active"}[what]
            self.list_news("changes", [old])

    def drain_one(self):
        active = [server for server in self.listed.values() if server.state == "active"]
        if active:
            self.rng.choice(active).state = "leaving"
            self.list_news("changes", active)

    # --- the registry and the peers, as the driver sees them

    def watch(self, on):
        self.later((0.0, 0.05), self.ask_answered)

    def fetch(self):
        pass

    def tell(self, peer, data):
        pass

    def ask_answered(self):
        if self.rng.random() < 0.5:
            self.driver.discovery_failed()
        else:
            self.change_servers()

    # --- clients ------------------------------------------------------------------

    def arrive(self):
        rng = self.rng
        # A client may name a class of before, whose figures are the last that its slot had.
        names, raw = rng.choice(self.told_names) if rng.random() < 0.3 else self.told_names[0]
        kind = names.classes[rng.choice(raw["Profiles"])["Name"]]
        name = next(name for name, other in names.classes.items() if other is kind)
        newest = next(raw for names, raw in self.told_names if names.classes.get(name) == kind)
        row = next(row for row in newest["Profiles"] if row["Name"] == name)
        limits = self.raw["PolicyLimits"]
        budget = rng.choice([0.3, 1.0, 1.0]) * row["Deadline"]
        number, body = len(self.calls) + 1, None
        if rng.random() < 0.25:
            parts = rng.randrange(4)
            body = Body(Source(), b"part0", 5 * (parts + 1) if rng.random() < 0.5 else None)
        call = self.calls[number] = Call(self, number, row["Name"], kind.slot, row, limits, budget, body)
        call.budget += driver.DEADLINE_MARGIN_MS  # so that its end lies on the grid
        large = "" if body is None else " large"
        self.say(f"arrive {number} {row['Name']} {row['Semantics']} {row['Group']} {budget}{large}")
        if body is not None:
            body.on_gone = lambda: call.request is not None and self.driver.body_gone(call.request)
        call.request = self.driver.arrive(call, self.now)
        if body is not None:
            self.later((0.0, 0.02, 0.1), self.feed, call, 1, parts)
            self.loop.call_later(1.0, self.cut_off, call)
        if rng.random() < 0.25:
            self.later((0.0, 0.01, 0.02, 0.05, 0.1, 0.2), self.leave, call)

    def feed(self, call, number, parts):
        if call.gone or call.flow_over or call.final not in (None, "begun"):
            return
        if call.body._source.paused:
            self.loop.call_later(GRID_S, self.feed, call, number, parts)
        elif number <= parts:
            call.sent += b"part%d" % number
            call.body.feed(b"part%d" % number)
            self.later((0.0, 0.02, 0.1), self.feed, call, number + 1, parts)
        else:
            self.say(f"body read {call.number}")
            call.ended, call.read_at, call.until = True, self.now, self.until
            call.body.end()
            if call.request is not None:
                self.driver.body_read(call.request, self.now)

    def cut_off(self, call):
        if not call.ended and call.final in (None, "begun") and not call.flow_over:
            self.leave(call)

    def leave(self, call):
        if call.closed_at is not None or not self.open(call):
            return
        self.say(f"closed {call.number}")
        call.closed_at = self.now
        if self.held_up and self.hold_ups.random() < 0.5:
            # The end of its connection lies unread for as long as the process may stand still.
            self.loop.call_later(self.hold_ups.choice(UNREAD_S), self.gone, call)
        else:
            self.gone(call)

    def open(self, call):
        return call.request is not None and not call.flow_over and call.final in (None, "begun")

    def gone(self, call):
        if call.gone or not self.open(call):
            return
        self.say(f"gone {call.number}")
        call.gone = True
        self.driver.client_gone(call.request)

    def read_slowly(self, call):
        if call.flow is not None and not call.flow_over and not call.gone:
            call.flow.pause()
            self.later((0.01, 0.1), self.read_on, call)

    def read_on(self, call):
        if not call.flow_over and not call.gone:
            call.flow.resume()

    # --- servers --------------------------------------------------------------------

    async def connect(self, factory, port):
        rng = self.rng
        how = "late" if self.drains else rng.choice(MILD_CONNECTS if self.mild else CONNECTS)
        if how in ("soon", "late"):
            await asyncio.sleep(rng.choice((0.0, 0.01) if how == "soon" else (0.03, 0.06, 0.1, 0.2)))
        elif how == "never":
            await asyncio.sleep(10.0)
        elif how == "refused":
            raise ConnectionRefusedError
        elif how == "full":
            raise OSError(errno.EMFILE, "no descriptor is free")
        protocol = factory()
        wire = Wire(self, protocol, self.at_port[port])
        protocol.connection_made(wire)
        if how == "closed":
            wire.deliver(None)
        return wire, protocol

    def wrote(self, wire, number, write, held_ms):
        """The first byte of an attempt: judged by the rules. The program last read its clock `held_ms` ago:
        windows and graces have to cover that, as has the slack of the budget that is told."""
        call = self.calls[number]
        self.say(f"write {number} to {wire.server.name} at {wire.server.port}")
        earlier = list(call.writes)
        call.writes.append(write)
        self.carried[write] = call
        what = f"request {number}"
        if call.gone:
            self.breach(f"{what}: written after its client had gone")
        if call.closed_at is not None and self.now - held_ms > call.closed_at + BEGIN_MOST_MS + ROUNDING_MS:
            self.breach(f"{what}: begun long after its client had closed")
        if call.final is not None:
            self.breach(f"{what}: written after its final answer")
        if call.ended and self.now - held_ms >= call.give_up_at + ROUNDING_MS:
            self.breach(f"{what}: written after its time")
        left = call.read_at + call.budget - self.now if call.ended else call.budget
        if float(LEFT.search(write.head + b"\r\n")[1]) > left + BUDGET_SLACK_MS + ROUNDING_MS:
            self.breach(f"{what}: tells its server more time than the client has left")
        if len(call.writes) > call.limits["MaxAttempts"]:
            self.breach(f"{what}: more attempts than allowed")
        if not call.limits["ParallelTries"] and any(not other.over for other in earlier):
            self.breach(f"{what}: two copies at once")
        self._judge_repeat(call, write, [other for other in earlier if not other.never_ran])
        server, (decided_at, name) = wire.server, call.decided[-1]
        if name != server.name:
            self.breach(f"{what}: written to another server than decided")
        if decided_at > server.out_at:
            self.breach(f"{what}: sent to a process that was known to have left")
        if self.now > server.out_at + max(server.grace, self.grace) + ROUNDING_MS:
            self.breach(f"{what}: written past the grace of a process that leaves")

    def _judge_repeat(self, call, write, earlier):
        ran = [other for other in earlier if other.whole or not other.over]
        if not ran or call.row["Semantics"] == "pure":
            return
        if call.row["Semantics"] == "side_effect":
            self.breach(f"request {call.number}: an unsafe request sent again")
            return
        if write.at - ran[0].at > call.row["KeyTtl"] + ROUNDING_MS:
            self.breach(f"request {call.number}: sent again past its window")
        place, first = write.wire.server, ran[0].wire.server
        same = {"all": True, "zone": place.zone == first.zone, "cell": place.cell == first.cell}
        if not same[call.row["Group"]]:
            self.breach(f"request {call.number}: sent again outside its group")

    def whole(self, wire, write, call):
        """Its last byte has arrived: the server decides what becomes of it."""
        if call.gone:
            self.breach(f"request {call.number}: whole after its client had gone")
        if call.final not in (None, "begun"):
            self.breach(f"request {call.number}: whole after its final answer")
        if call.row["Semantics"] == "token":
            earlier = call.writes[: call.writes.index(write)]
            ran = [other for other in earlier if other.whole and not other.never_ran]
            if ran and self.now - ran[0].at > call.row["KeyTtl"] + ROUNDING_MS:
                self.breach(f"request {call.number}: whole past its window")
        self.later((0.0, 0.0, 0.01, 0.02, 0.05, 0.1, 0.12, 0.3), self.react, wire, write, call)

    def react(self, wire, write, call):
        if wire.closed or write.over:
            return
        how = self.rng.choice(MILD_REACTIONS if self.mild else REACTIONS)
        self.say(f"react {call.number} {how}")
        good = b"ok %d" % call.number
        head = b"HTTP/1.1 %b\r\nX-Load-Report: inflight=2\r\n"
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(good), good)
        if how in ("ok", "second", "more"):
            write.over = True
            wire.deliver(whole + (whole if how == "more" else b""))
            if how == "second":
                self.later((0.0, 0.01), self.second, wire, write, whole)
        elif how in ("halves", "last"):
            cut = self.rng.randrange(1, len(whole))
            wire.deliver(whole[:cut])
            self.later((0.0, 0.01, 0.1), self.rest, wire, write, whole[cut:], how == "last")
        elif how == "error":
            write.over = True
            wire.deliver(head % b"500 Broken" + b"Content-Length: 0\r\n\r\n")
        elif how == "full":
            write.over = write.never_ran = True
            wire.deliver(head % b"503 Full" + b"X-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        elif how == "unmarked":
            write.over = True
            wire.deliver(head % b"503 Busy" + b"Content-Length: 0\r\n\r\n")
        elif how == "spoilt":
            wire.deliver(b"no HTTP at all\r\n\r\n")
        elif how == "reset":
            wire.die()
        elif how == "eof":
            wire.deliver(None)
        elif how in ("open", "cut"):
            wire.deliver(head % b"200 OK" + b"\r\n" + good)
            self.later((0.0, 0.05, 0.1, 0.2), self.close, wire, how == "open")
        elif how in ("large", "torn", "endless"):
            wire.deliver(head % b"200 OK" + b"Content-Length: 80000\r\n\r\n" + b"x" * 70000)
            if self.rng.random() < 0.3:
                self.later((0.0, 0.01), self.read_slowly, call)
            if how == "large":
                self.later((0.0, 0.02, 0.4), self.finish, wire, write)
            elif how == "torn":
                self.later((0.0, 0.02, 0.4), self.close, wire, False)

    def second(self, wire, write, whole):
        if not wire.closed and wire.write_now is write:
            wire.deliver(whole)

    def rest(self, wire, write, rest, last):
        if not wire.closed:
            write.over = True
            wire.deliver(rest)
            if last:
                wire.deliver(None)

    def finish(self, wire, write):
        if not wire.closed:
            write.over = True
            wire.deliver(b"x" * 10000)

    def close(self, wire, well):
        if not wire.closed:
            wire.deliver(None) if well else wire.die()

    def close_some(self):
        """A server closes connections, idle ones or not."""
        wires = [wire for server in self.at_port.values() for wire in server.wires if not wire.closed]
        for wire in self.rng.sample(wires, min(len(wires), 2)):
            self.close(wire, self.rng.random() < 0.5)

    # --- the day ----------------------------------------------------------------------

    def answered(self, call, how):
        self.say(f"answer {call.number} {how}")
        if call.gone:
            self.breach(f"request {call.number}: answered after its client had gone")
        if call.final is not None:
            self.breach(f"request {call.number}: a second final answer")
        call.final = call.final or how
        slack = driver.GUARD_MS + ROUNDING_MS + (HOLD_UPS_S[-1] * 1000.0 if self.held_up else 0.0)
        if call.ended and self.now > max(call.give_up_at, call.read_at) + slack:
            self.breach(f"request {call.number}: answered after its time")

    def change_stamp(self):
        self.stamp = b"X-Edition: %d\r\n" % self.rng.randrange(1000)

    def share(self):
        """Another process of this sidecar comes or goes."""
        self.pool.share(self.rng.choice([0.5, 1.0]))

    def steer(self):
        draw, zones = self.rng.choice, range(2)
        self.driver.steer(
            Steer(
                shares={zone: draw([0.0, 0.3, 1.0]) for zone in zones},
                excluded_zones=frozenset(zone for zone in zones if self.rng.random() < 0.3),
                excluded_servers=frozenset({f"s{draw(range(9))}"}),
                caps={draw(range(5)): draw([0.0, 3.0])},
                explore=draw([0.0, 0.5]),
                pins=draw([{}, {}, {0: 1}, {1: -1}]),
            )
        )

    def stop(self):
        if self.rng.random() < 0.2:
            self.until = self.now + 100.0
            self.driver.stopping(self.until)

    def plan(self):
        """What happens when, on a grid; much of it in the same turn."""
        servers = [self.start_server(f"s{number}") for number in range(self.rng.choice([1, 2, 4, 6, 9]))]
        self.list_news("remembered", servers)
        steps = [self.arrive] * self.rng.randrange(8, 26) + [self.change_servers] * self.rng.randrange(3, 12)
        steps += [self.reload] * self.rng.randrange(4) + [self.close_some] * 3 + [self.change_stamp] * 2
        steps += [self.share] * self.rng.randrange(3) + [self.steer] * (self.rng.random() < 0.2)
        for slot in range(20, 30, 3) if self.drains else ():
            self.loop.call_later(slot * GRID_S, self.drain_one)
        for step in steps:
            slot = self.rng.randrange(int(DAY_S / GRID_S) // 4) * 4 if self.rng.random() < 0.5 else 20
            self.loop.call_later(slot * GRID_S, step)
        self.loop.call_later(DAY_S, self.stop)

    async def day(self):
        self.plan()
        await asyncio.sleep(DAY_S + REST_S)
        self.pool.close()
        await asyncio.sleep(GRID_S)

    def play(self):
        """The whole day; the breaches found."""
        with contextlib.ExitStack() as patches:
            patches.enter_context(mock.patch.object(driver, "log", self.log))
            patches.enter_context(mock.patch.object(framing, "readable", lambda wire: bool(wire.inbox)))
            try:
                self.loop.run_until_complete(self.day())
                self.check_end()
            except RuntimeError as error:
                self.breach(f"{error}")
            finally:
                self.loop.close()
        return self.breaches

    def check_end(self):
        for call in self.calls.values():
            if not call.gone and call.final is None:
                self.breach(f"request {call.number}: never answered")
            if not call.gone and call.final == "begun" and not call.flow_over:
                self.breach(f"request {call.number}: an answer begun and never ended")
        made = self.driver
        servers = made._balancer._endpoints.servers.values()
        left = {
            "driver._open": made._open,
            "driver._flowing": made._flowing,
            "driver._requests": len(made._requests),
            "balancer._requests": len(made._balancer._requests),
            "balancer._endpoints.in_flight": made._balancer._endpoints.in_flight,
            "balancer._key_queues": len(made._balancer._key_queues),
            "server.in_flight": sum(server.in_flight for server in servers),
            "server.outstanding": sum(len(server.outstanding) for server in servers),
            "pool._connections": len(self.pool._connections),
            "pool.opening": self.pool.opening,
        }
        for name, count in left.items():
            if count:
                self.breach(f"{name} is {count} at the end")


def play(seed, told=lambda raw: raw):
    """The breaches of one day, and its trace."""
    world = World(seed, told)
    return world.play(), world.trace
