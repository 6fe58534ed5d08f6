"""Overrides under simulated time: a list service, sidecars, operators, and what is drawn to go wrong.

The service's side is the real store, clock and reconciler; a sidecar's side is handed in, since the house
does not import it. Clocks run at rates of their own, wall clocks are up to an hour off and jump. The lease of
a revision is left out: that nothing is acted on past its end has to hold without it.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Mapping
from itertools import count
from typing import Any

from brassfall.controlplane.overrides import document as doc
from brassfall.controlplane.overrides import events
from brassfall.controlplane.overrides import reconciler as rec
from brassfall.controlplane.overrides.document import Document, Override, layer, times_left
from brassfall.controlplane.overrides.history import HistoryRing, WriteEntry
from brassfall.errors import BrassfallError
from brassfall.lab.overrides.judge import Judge, Outcome
from brassfall.lab.overrides.parts import Disk, Edge, Parts

HOUR_MS = 3_600_000.0
EPOCH_MS = 1.8e12
RATES = (0.99, 1.01, 1.0)  # of monotonic clocks: the worst, and a good one
REGIONS, TENANTS, CLASSES = ("a", "b", "c"), ("t1", "t2"), ("c1", "c2")
IDS = tuple(f"o{number}" for number in range(6))
TICK_MS = 100.0
DISK_MS = (1.0, 40.0)
WAY_MS = (1.0, 60.0)
SLOW_SHARE, SLOW_MS = 0.06, (60.0, 6000.0)
COMMIT_MS = (20.0, 400.0)  # from publication until sidecars can fetch the edition
QUIET_MS = 8000.0  # at the end nothing is drawn any more


class Service:
    """The list service's process and machine, as far as overrides go."""

    def __init__(self, world: World, parts: Parts) -> None:
        self.world, self.parts, self.disk = world, parts, Disk()
        rng = world.rng
        self.rate = rng.choice(RATES)
        self.wall_off = rng.uniform(-HOUR_MS, HOUR_MS)
        self.boot, self.booted_at, self.editions = 0, 0.0, 0
        self.up, self.stopped_until, self.life, self.disk_free = False, 0.0, 0, 0.0
        self.start()

    def mono(self) -> float:
        """The machine's monotonic clock."""
        return (self.world.now - self.booted_at) * self.rate + 1e6

    def unix(self) -> int:
        """The service's time; while it is down, what it would be."""
        return self.clock.now(self.mono())

    def start(self) -> None:
        """A life begins, with what the disk has."""
        mark, at, boot = self.disk.mark
        wall = lambda: EPOCH_MS + self.world.now + self.wall_off  # noqa: E731
        self.clock = self.parts.clock(wall, self.mono(), mark, at if boot == self.boot else None)
        self.life += 1
        # Durable before anything is answered, or a kill right after it would leave the wall clock to decide.
        self.disk.mark = (float(self.unix()), self.mono(), self.boot)
        self.disk.marked_true = self.world.now
        self.up, self.ring = True, HistoryRing()
        self.ring.restore(self.disk.history)
        self.store, self.reconciler = self.parts.store(self.ring), rec.Reconciler(self.ring)
        rows = self.parts.loaded(self.disk.rows.items(), self.unix())
        entries = [self.disk.history[key] for key in sorted(self.disk.history)]
        self.store.restore(rows, entries)
        self.reconciler.restore(entries)
        self.edition: tuple[int, list[dict[str, Any]]] | None = None
        self.in_force: tuple[Override, ...] = ()
        self.world.judge.began(self.world.now, self)
        self.world.at(0.0, self.tick, self.life)

    def alive(self, life: int, again: Callable[..., None], *args: Any) -> bool:
        """Whether this life still runs; what comes while it is stopped comes when it goes on."""
        if not self.up or life != self.life:
            return False
        if self.world.now < self.stopped_until:
            self.world.at(self.stopped_until - self.world.now, again, *args)
            return False
        return True

    def tick(self, life: int) -> None:
        """Time went on."""
        if not self.alive(life, self.tick, life):
            return
        mark = self.clock.mark(self.mono())
        if mark is not None:
            self.world.at(self.world.draw(DISK_MS), self.marked, life, mark, self.mono(), self.world.now)
        self.act(self.store.step(self.unix(), events.Tick()))
        self.heed(self.reconciler.step(self.unix(), rec.Tick()))
        self.world.at(TICK_MS, self.tick, life)

    def marked(self, life: int, mark: int, mono: float, true: float) -> None:
        """The mark is durable."""
        if self.up and life == self.life:
            self.disk.mark, self.disk.marked_true = (float(mark), mono, self.boot), true

    def act(self, actions: list[events.Action]) -> None:
        """The shell: writes of one step are one commit; answers and editions go out."""
        writes: list[events.WriteRow | events.DeleteRow | WriteEntry] = []
        for action in actions:
            match action:
                case events.Answer():
                    self.world.answered(action.call, action.override, action.error)
                case events.Publish():
                    self.in_force = action.overrides
                    self.heed(self.reconciler.step(self.unix(), rec.Published(action.overrides)))
                    self.editions += 1
                    found = (self.editions, layer(action.overrides))
                    self.world.at(self.world.draw(COMMIT_MS), self.committed, self.life, found)
                case _:
                    writes.append(action)
        if writes:
            self.commit(writes)

    def committed(self, life: int, found: tuple[int, list[dict[str, Any]]]) -> None:
        """An edition that sidecars can fetch."""
        if self.up and life == self.life and (self.edition is None or found[0] > self.edition[0]):
            self.edition = found

    def commit(self, writes: list[events.WriteRow | events.DeleteRow | WriteEntry]) -> None:
        """Begin a commit; the disk does one after the other."""
        self.disk_free = max(self.world.now, self.disk_free) + self.world.draw(DISK_MS)
        self.world.at(self.disk_free - self.world.now, self.durable, self.life, writes)

    def durable(self, life: int, writes: list[events.WriteRow | events.DeleteRow | WriteEntry]) -> None:
        """A commit is on the disk, or fails as a whole; a kill before it leaves nothing of it."""
        if not self.up or life != self.life:
            return
        why = "the disk is full" if self.world.rng.random() < self.world.bad_disk else ""
        tickets = []
        expired = {w.entry.id for w in writes if isinstance(w, WriteEntry) and w.entry.kind == "expired"}
        for write in writes:
            if not isinstance(write, WriteEntry):
                tickets.append(write.ticket)
            if why:
                continue
            if isinstance(write, events.WriteRow):
                self.disk.rows[write.override.id] = write.value
                self.world.judge.stored(self.world.now, self, write.override)
            elif isinstance(write, events.DeleteRow):
                self.disk.rows.pop(write.id, None)
                self.world.judge.dropped(self.world.now, write.id, write.id in expired)
            else:
                self.disk.history[write.key] = write.value
                self.disk.history.pop(write.drop, None)
        self.confirm(life, tickets, why)

    def confirm(self, life: int, tickets: list[int], why: str) -> None:
        """The process hears of its commit."""
        if self.alive(life, self.confirm, life, tickets, why):
            for ticket in tickets:
                self.act(self.store.step(self.unix(), events.Written(ticket, why)))

    def call(self, event: events.Put | events.End) -> None:
        """An operator's call has come in."""
        self.act(self.store.step(self.unix(), event))

    def heed(self, actions: Iterable[rec.Action]) -> None:
        """What the reconciler wants; answers are told all that differs anyway."""
        writes: list[events.WriteRow | events.DeleteRow | WriteEntry] = []
        for action in actions:
            if isinstance(action, rec.RequestDetails):
                self.world.nodes[int(action.node)].asked = True
            elif isinstance(action, rec.Resend):
                self.world.nodes[int(action.node)].tell = True
            elif isinstance(action, WriteEntry):
                writes.append(action)
                if action.entry.kind == "found":
                    self.world.judge.found(self.world.now, int(action.entry.node), action.entry.why)
        if writes:
            self.commit(writes)

    def reported(self, life: int, node: Node, run: int, asked: float, said: dict[str, Any]) -> None:
        """A report has come; the answer goes out."""
        if not self.alive(life, self.reported, life, node, run, asked, said):
            return
        now, name = self.unix(), str(node.number)
        self.heed(self.reconciler.step(now, rec.Reported(name, str(run), "", node.region, said["digest"])))
        if "acted" in said:
            self.heed(self.reconciler.step(now, rec.Details(name, said["acted"])))
        answer: dict[str, Any] = {"ask": node.asked}
        node.asked = False
        due = [found for found in self.store.active(now) if found.places.holds("", node.region)]
        told = times_left(due, now, 0 if said["tell"] or node.tell else said["newest"])
        node.tell = False
        if told:
            answer["times"] = told
        if self.edition is not None and self.edition[0] != said["edition"]:
            answer["edition"] = self.edition
        if "times" in answer and node.copied():
            # A second service, on a copy of the disk, whose wall clock is an hour behind, has the node's ear.
            known = {
                key: row for key, row in answer.pop("times").items() if node.heard.get(key) == row["rev"]
            }
            answer["times"] = {
                key: {**row, "left_ms": row["left_ms"] + HOUR_MS} for key, row in known.items()
            }
        if not node.cut("down"):
            self.world.at(self.world.way(), node.answered, run, asked, answer)


class Node:
    """A sidecar: its clock, its process, its way to the service."""

    def __init__(self, world: World, number: int, make: Callable[[str], Edge]) -> None:
        self.world, self.number, self.make = world, number, make
        self.rate, self.zero = world.rng.choice(RATES), world.rng.uniform(0.0, 1e6)
        self.region = world.rng.choice(REGIONS)
        self.run, self.stopped_until, self.asked, self.tell = 0, 0.0, False, False
        self.cuts, self.copy_until = {"up": 0.0, "down": 0.0}, 0.0
        self.well_since, self.touched = 0.0, False
        self.start()

    def clock(self) -> float:
        """Its monotonic clock, in s."""
        return (self.zero + self.world.now * self.rate) / 1000.0

    def cut(self, way: str) -> bool:
        """Whether nothing passes one way."""
        return self.world.now < self.cuts[way]

    def copied(self) -> bool:
        """Whether another service answers this time."""
        return self.world.now < self.copy_until and self.world.rng.random() < 0.5

    def start(self) -> None:
        """A new process, which knows nothing."""
        self.run += 1
        self.edge, self.edition = self.make(self.region), 0
        self.raw: Mapping[str, Any] = {}
        self.heard: dict[str, int] = {}  # id and revision
        self.details = False
        for what in (self.decide, self.timer, self.report):
            self.world.at(self.world.rng.uniform(0.0, 300.0), what, self.run)

    def disturbed(self, until: float) -> None:
        """A fault that lasts until then: it is well from then on only."""
        self.well_since, self.touched = max(self.well_since, until), True

    def runs(self, run: int, again: Callable[..., None], *args: Any) -> bool:
        """As `Service.alive`."""
        if run != self.run:
            return False
        if self.world.now < self.stopped_until:
            self.world.at(self.stopped_until - self.world.now, again, *args)
            return False
        return True

    def decide(self, run: int) -> None:
        """A request comes: what is acted on is looked at from outside."""
        if self.runs(run, self.decide, run):
            self.world.judge.decided(self.world.now, self, self.edge.decide(self.clock()))
            self.world.at(self.world.rng.expovariate(1.0 / 300.0), self.decide, run)

    def timer(self, run: int) -> None:
        """The process's loop comes round."""
        if self.runs(run, self.timer, run):
            self.edge.timer(self.clock())
            self.world.at(100.0, self.timer, run)

    def report(self, run: int) -> None:
        """Tell the service, and ask."""
        if not self.runs(run, self.report, run):
            return
        word, tell, newest = self.edge.report(self.clock())
        said: dict[str, Any] = {"digest": word, "tell": tell, "newest": newest, "edition": self.edition}
        if self.details:
            said["acted"], self.details = dict(self.edge.decide(self.clock()).acted), False
        service = self.world.service
        if not self.cut("up") and service.up:
            self.world.at(self.world.way(), service.reported, service.life, self, run, self.clock(), said)
        self.world.at(self.world.rng.uniform(500.0, 1000.0) / self.rate, self.report, run)

    def answered(self, run: int, asked: float, answer: dict[str, Any]) -> None:
        """The answer to a report that was sent then."""
        if not self.runs(run, self.answered, run, asked, answer):
            return
        self.details = self.details or answer["ask"]
        if "times" in answer:
            self.heard |= {key: row["rev"] for key, row in answer["times"].items()}
            self.edge.told(asked, self.clock(), answer["times"])
        if "edition" in answer and answer["edition"][0] > self.edition:
            self.edition, rows = answer["edition"]
            self.raw = {row["id"]: row for row in rows}
            self.edge.layer(rows)


class World:
    """One play: everything is drawn from the seed, and judged as it goes."""

    def __init__(
        self,
        seed: int,
        nodes: int,
        length_ms: float,
        make: Callable[[str], Edge],
        parts: Parts | None = None,
        bad_disk: float = 0.01,
    ) -> None:
        self.rng, self.now, self.bad_disk = random.Random(seed), 0.0, bad_disk
        self.length = length_ms
        self._order, self._events = count(), list[tuple[float, int, Callable[..., None], tuple[Any, ...]]]()
        self._call = 0
        self._calls: dict[int, tuple[str, Document | None]] = {}
        self.judge = Judge(REGIONS)
        self.nodes: list[Node] = []
        self.service = Service(self, parts or Parts())
        self.nodes = [Node(self, number, make) for number in range(nodes)]
        self.at(500.0, self.operate)
        self.at(self.rng.uniform(0.0, 4000.0), self.fault)

    def at(self, wait: float, what: Callable[..., None], *args: Any) -> None:
        """Have something happen after so many ms."""
        heapq.heappush(self._events, (self.now + max(0.0, wait), next(self._order), what, args))

    def draw(self, span: tuple[float, float]) -> float:
        """A time out of a span."""
        return self.rng.uniform(*span)

    def way(self) -> float:
        """How long a message takes; each takes its own time, so that they overtake each other."""
        return self.draw(SLOW_MS if self.rng.random() < SLOW_SHARE else WAY_MS)

    def play(self) -> Outcome:
        """From the start to the end."""
        while self._events and self._events[0][0] <= self.length:
            self.now, _, what, args = heapq.heappop(self._events)
            what(*args)
        self.judge.ended(self.service, self.nodes)
        return self.judge.outcome

    # --- operators ------------------------------------------------------------------------------

    def operate(self) -> None:
        """Start, extend, change or end an override, often in the moment of an end."""
        wait = self.rng.expovariate(1.0 / 700.0)
        service, key = self.service, self.rng.choice(IDS)
        if service.up and self.now >= service.stopped_until:
            self._call += 1
            now = service.unix()
            held = service.store.get(key, now)
            if held is not None and self.rng.random() < 0.15:
                self._calls[self._call] = (key, None)
                service.call(events.End(self._call, key, "op", "enough"))
            else:
                document = self.document(now, held)
                self._calls[self._call] = (key, document)
                service.call(events.Put(self._call, key, document))
            held = service.store.get(key, now)
            if held is not None and held.until_ms - now < 20_000 and self.rng.random() < 0.3:
                wait = max(0.0, (held.until_ms - now) / service.rate - self.rng.uniform(0.0, 60.0))
                self.at(wait, self.extend, key)
        self.at(wait, self.operate)

    def extend(self, key: str) -> None:
        """The same again with a later end, about when it ends."""
        service = self.service
        held = service.store.get(key, service.unix())
        if service.up and self.now >= service.stopped_until and held is not None:
            self._call += 1
            until = service.unix() + int(self.rng.uniform(5000.0, 30_000.0))
            fields = {name: getattr(held, name) for name in Document.__struct_fields__}
            document = Document(**{**fields, "until_ms": until})
            self._calls[self._call] = (key, document)
            service.call(events.Put(self._call, key, document))

    def document(self, now: int, held: Override | None) -> Document:
        """What an operator writes, drawn."""
        rng, match = self.rng, doc.Match()
        kind = rng.choice(("hold", "hold", "pin", "pin", "shift", "cap", "freeze"))
        if kind == "hold":
            action = doc.Action(hold=doc.Hold(region=rng.choice(REGIONS)))
        elif kind == "pin":
            action, match = (
                doc.Action(pin=doc.Pin(rng.choice(REGIONS))),
                doc.Match(tenant=rng.choice(TENANTS)),
            )
        elif kind == "shift":
            action, match = doc.Action(shift=doc.Shift({rng.choice(REGIONS): 1.0})), doc.Match(tenant="t1")
        elif kind == "cap":
            action, match = (
                doc.Action(cap=doc.Cap(rng.choice((50.0, 80.0)))),
                doc.Match(cls=rng.choice(CLASSES)),
            )
        else:
            action = doc.Action(freeze=True)
        if held is not None and rng.random() < 0.6:
            action, match = held.action, held.match
        places = doc.Places(regions=(rng.choice(REGIONS),)) if rng.random() < 0.2 else doc.Places()
        until = now + int(rng.choice((800.0, 4000.0, 15_000.0, 60_000.0)) * rng.uniform(0.5, 1.5))
        return Document(action=action, match=match, places=places, by="op", why="drawn", until_ms=until,
                        priority=rng.choice((0, 0, 5)))  # fmt: skip

    def answered(self, call: int, override: Override | None, error: BrassfallError | None) -> None:
        """An operator hears."""
        key, document = self._calls.pop(call)
        if error is None:
            self.judge.acknowledged(key, override if document is not None else None)

    # --- faults ---------------------------------------------------------------------------------

    def fault(self) -> None:
        """One of them, and the time of the next."""
        if self.now > self.length - QUIET_MS:
            return
        most = self.length - QUIET_MS - self.now
        rng, span = self.rng, min(most, self.rng.choice((300.0, 2000.0, 10_000.0, 60_000.0)))
        node = rng.choice(self.nodes)
        kind = rng.choice(
            ("stop", "cut", "up", "down", "restart", "kill", "kill", "reboot", "pause", "jump", "copy")
        )
        self.judge.outcome.faults[kind] = self.judge.outcome.faults.get(kind, 0) + 1
        if kind == "stop":
            node.stopped_until = self.now + span
            self.at(span, node.decide, node.run)  # what comes first when it goes on
            node.disturbed(self.now + span)
        elif kind in ("cut", "up", "down"):
            for way in ("up", "down"):
                if kind in ("cut", way):
                    node.cuts[way] = max(node.cuts[way], self.now + span)
            node.disturbed(self.now + span)
        elif kind == "restart":
            node.start()
            node.disturbed(self.now)
        elif kind == "copy":
            node.copy_until = self.now + span
            node.disturbed(self.now + span)
        elif kind == "jump":
            self.service.wall_off = rng.uniform(-HOUR_MS, HOUR_MS)
        elif kind == "pause":
            self.service.stopped_until = self.now + min(span, 10_000.0)
            self.judge.disturbed(self.service.stopped_until)
        elif self.service.up:
            self.kill(min(span, 20_000.0), kind == "reboot")
        self.at(rng.expovariate(1.0 / 4000.0), self.fault)

    def kill(self, down: float, reboot: bool) -> None:
        """The service's process is killed, perhaps with its machine, and comes back."""
        self.service.up, self.service.stopped_until = False, 0.0
        self.judge.disturbed(self.now + down)
        self.at(down, self.back, reboot)

    def back(self, reboot: bool) -> None:
        """It starts again, with a wall clock that is wrong in another way."""
        service = self.service
        self.judge.about_to_begin(self.now, service, reboot)
        service.wall_off = self.rng.uniform(-HOUR_MS, HOUR_MS)
        if reboot:
            service.boot, service.booted_at = service.boot + 1, self.now
        service.start()
