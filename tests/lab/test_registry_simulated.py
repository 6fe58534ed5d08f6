"""The cores of the list service and its callers, under simulated time: many seeds, drawn faults."""

from __future__ import annotations

import heapq
import random
from itertools import count

import pytest

from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.membership import RegistrationState, ServerRegistration
from brassfall.lab.sim.listing import ListService

TTL = 3000
GRACE = 5000.0
KEEP = 20_000.0


class World:
    """Members, the service, and what is drawn to go wrong between them."""

    def __init__(self, seed):
        self.rng, self.now, self.order = random.Random(seed), 0.0, count()
        self.events, self.service = [], ListService(keep_ms=KEEP)
        self.members, self.dead, self.cut = {}, set(), set()
        self.wrong, self.disturbed_at = [], {}
        self.service.start(0.0)
        for number in range(self.rng.randint(3, 14)):
            self.join(f"s{number}", 0)
        self.at(0.0, self.beat)

    def at(self, when, what, *args):
        heapq.heappush(self.events, (when, next(self.order), what, args))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, what, args = heapq.heappop(self.events)
            what(*args)

    def join(self, name, since):
        entry = {"name": name, "address": f"127.0.0.1:{7000 + since}", "since_ms": since}
        self.members[name, since] = member = ServerRegistration(entry, TTL)
        self.at(self.now + self.rng.random() * 200.0, self.speak, name, since)
        return member

    def beat(self):
        if self.service.up and not self.service.stalled:
            for key in self.service.expire(self.now):
                # Whoever lives and could speak for longer than a lease may not be dropped.
                quiet = self.now - self.disturbed_at.get(key, 0.0)
                if key not in self.dead and key not in self.cut and quiet > TTL + 2000.0:
                    self.wrong.append((self.now, key))
        self.at(self.now + 100.0, self.beat)

    def speak(self, name, since):
        member = self.members[name, since]
        if (name, since) in self.dead or member.is_finished:
            return
        if member.due_ms > self.now:
            self.at(member.due_ms, self.speak, name, since)
            return
        call, way = member.next_call(self.now), self.rng.uniform(1.0, 40.0)
        self.at(self.now + way, self.arrive, name, since, call, way)

    def arrive(self, name, since, call, way):
        reachable = name not in self.cut and self.service.up and not self.service.stalled
        status = self.service.call(self.now, call) if reachable else 0
        lost = status and self.rng.random() < 0.02  # the answer, after the call was carried out
        wait = way if status and not lost else self.members[name, since].call_timeout_ms
        self.at(self.now + wait, self.answered, name, since, 0 if lost else status)

    def answered(self, name, since, status):
        if (name, since) not in self.dead:
            self.members[name, since].apply_result(self.now, status, self.rng.random())
            self.speak(name, since)

    # --- faults: each is over by the time it names ---------------------------------------------

    def service_down(self, until, lost):
        self.service.up = False
        self.at(until, self.service_up, lost)

    def service_up(self, lost):
        self.service.start(self.now, disk_lost=lost)

    def stall(self, until):
        self.service.stalled = True
        self.at(until, self.go_on)

    def go_on(self):
        self.service.stalled = False

    def cut_off(self, until, names):
        self.cut |= names
        self.at(until, self.mend, names)

    def mend(self, names):
        self.cut -= names
        for name in names:
            self.disturbed_at[name] = self.now

    def kill(self, name, since):
        self.dead |= {name, (name, since)}

    def replace(self, name, since):
        """A newer process takes the name, while the older one may live on."""
        self.join(name, since)

    def drain(self, name, since):
        member = self.members[name, since]
        member.request_status(self.now, "leaving")
        self.at(self.now + 600.0, member.request_status, self.now + 600.0, "left")
        self.at(self.now + 600.0, self.speak, name, since)
        self.dead.add(name)  # it may leave the list from now on


def play(seed):
    """One drawn world: its service, and what was wrong."""
    world = World(seed)
    rng = world.rng
    names = [name for name, _ in world.members]
    rng.shuffle(names)
    gone, renewed = names[:1], names[1:2]
    world.run(5000.0)
    for _ in range(rng.randint(1, 3)):
        begin = rng.uniform(6000.0, 20_000.0)
        until = begin + rng.choice((500.0, 4000.0, 15_000.0))
        fault = rng.randrange(4)
        if fault == 0:
            world.at(begin, world.service_down, until, rng.random() < 0.4)
        elif fault == 1:
            world.at(begin, world.stall, until)
        else:
            part = set(rng.sample(names, max(1, len(names) // rng.randint(1, 4))))
            world.at(begin, world.cut_off, until, part)
    world.at(rng.uniform(6000.0, 25_000.0), world.drain if rng.random() < 0.5 else world.kill, gone[0], 0)
    if rng.random() < 0.5:
        world.at(rng.uniform(6000.0, 25_000.0), world.replace, renewed[0], 5)
    # The last fault is over at 35 s; a suspect is kept for 20 s past its lease.
    world.run(35_000.0)
    world.run(35_000.0 + KEEP + TTL + GRACE + 2000.0)
    return world, set(gone), renewed[0] if (renewed[0], 5) in world.members else None


@pytest.mark.parametrize("part", range(4))
def test_after_any_drawn_faults_the_list_is_true_again(part):
    doubted = lives = 0
    for seed in range(part * 500, part * 500 + 500):
        world, gone, renewed = play(seed)
        service = world.service
        listed = {row.key: row.fence for row in service.state.rows(INSTANCES)}
        alive = {name for name, _ in world.members} - gone
        assert set(listed) == alive, seed
        assert world.wrong == [], seed  # nobody was dropped who lived and could speak
        assert service.announced == sorted(service.announced), seed
        assert len({record.index for record in service.disk if record.kind in ("put", "delete")}) == sum(
            record.kind in ("put", "delete") for record in service.disk
        ), seed
        if renewed is not None:
            assert listed[renewed] == 5, seed
            assert world.members[renewed, 0].state is RegistrationState.REPLACED, seed
        lives += service.announced[-1] > service.announced[0] + 2**20
        doubted += bool(world.cut or world.disturbed_at)
    assert lives > 50 and doubted > 50  # the faults were there
