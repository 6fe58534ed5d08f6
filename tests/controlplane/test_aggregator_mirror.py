"""The mirror of the list: never back, changes by the service's own indices, and an honest age."""

from __future__ import annotations

import asyncio
import random
from copy import deepcopy

import msgspec
import pytest

from brassfall.controlplane.registry import entries
from brassfall.controlplane.registry.aggregator.addresses import Addresses
from brassfall.controlplane.registry.aggregator.channels import FRESH_MS, ListChannel
from brassfall.controlplane.registry.aggregator.mirror import (
    DOUBT_MS,
    ListLine,
    Mirror,
    MirrorError,
    parse_line,
)
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.watches import EMPTY_LINE
from brassfall.controlplane.store.commands import Delete, Put
from brassfall.controlplane.store.state import State
from tests.support.loopback import bounded, until


def endpoint(name, weight=1.0):
    return {"name": name, "address": "127.0.0.1:7001", "status": "active", "weight": weight}


def whole(index, *names):
    return ListLine(index, True, [endpoint(name) for name in names])


class Above:
    """The list service's table, and what it tells who asks from an index."""

    def __init__(self, ring):
        self.state = State(ring)

    def restart(self, copy=None):
        """Begin a life above all indices told so far, on the disk as it is or an older copy."""
        floor = self.state.index + 1000
        if copy is not None:
            self.state = deepcopy(copy)
        self.state.apply([self.state.begin_incarnation(floor, 0)])

    def write(self, *commands):
        transaction = self.state.begin(0)
        for command in commands:
            transaction.run(command)
        self.state.apply(transaction.records)

    def line(self, index):
        changes = self.state.changes_since(INSTANCES, index)
        told = (
            entries.list_entries(self.state.rows(INSTANCES))
            if changes is None
            else entries.change_entries(changes)
        )
        return ListLine(self.state.last_index(INSTANCES), changes is None, told)


def taken(held, line):
    """What a sidecar holds that takes in a line: its index, and its entries by name."""
    index, rows = held
    rows = {} if line.snapshot else dict(rows)
    for entry in line.endpoints:
        if entry["status"] == "left":
            rows.pop(entry["name"], None)
        else:
            rows[entry["name"]] = entry
    assert line.snapshot or line.index >= index
    return line.index, rows


def told(mirror, index):
    """What the mirror tells who asks from an index."""
    made = Above(1)
    made.state = mirror.state
    return made.line(index)


@pytest.mark.parametrize("seed", range(40))
def test_who_moves_between_service_and_mirrors_holds_what_the_service_lists(seed):
    rng = random.Random(seed)
    above = Above(ring=rng.choice((3, 50)))
    above.write(Put(table=INSTANCES, key="s0", value=endpoint("s0")))
    mirrors = [Mirror(rng.choice((2, 50))) for _ in range(2)]
    held = [(0, {}) for _ in range(3)]
    wholes, copies = 0, []
    open_watches = [False, False]  # of the mirrors, since the service was started
    for step in range(300):
        key = f"s{rng.randrange(8)}"
        if rng.random() < 0.02:
            copies.append(deepcopy(above.state))
        if rng.random() < 0.02:
            above.restart(rng.choice([None, *copies]))
            open_watches = [False, False]
        elif rng.random() < 0.6:
            above.write(Put(table=INSTANCES, key=key, value=endpoint(key, rng.random())))
        elif above.state.count(INSTANCES) > 1:
            above.write(Delete(table=INSTANCES, key=key))
        above.write(Put(table="other", key="k", value=step))  # indices are of all tables
        if rng.random() < 0.5:
            which = rng.randrange(2)
            mirror = mirrors[which]
            line = above.line(mirror.index if mirror.holds_list else 0)
            mirror.apply_line(0.0, line, first=not open_watches[which])
            open_watches[which] = True
        at = rng.randrange(len(held))
        index, rows = held[at]
        source = rng.choice([above, *(m for m in mirrors if m.holds_list and m.index >= index)])
        line = above.line(index) if source is above else told(source, index)
        wholes += line.snapshot
        held[at] = taken((index, rows), line)
        # What it holds now is the service's list at that index, from wherever it came.
        if held[at][0] == above.state.last_index(INSTANCES):
            assert held[at][1] == {row.key: row.value for row in above.state.rows(INSTANCES)}
    assert wholes < 150  # the others went on from where they were


def test_changes_since_an_index_come_from_the_ring_and_the_whole_list_only_once_that_is_gone():
    mirror = Mirror(ring=4)
    mirror.apply_line(0.0, whole(100, "a", "b"))
    for index in range(101, 104):
        mirror.apply_line(0.0, ListLine(index, False, [endpoint("a", index)]))
    line = told(mirror, 101)
    assert (line.index, line.snapshot, [e["weight"] for e in line.endpoints]) == (103, False, [103])
    assert not told(mirror, 100).snapshot and told(mirror, 99).snapshot  # never told by this one
    for index in range(104, 110):
        mirror.apply_line(
            0.0, ListLine(index, False, [{**endpoint("b"), "status": "left"}, endpoint(f"n{index}")])
        )
    assert told(mirror, 106).snapshot and not told(mirror, 107).snapshot


def test_a_whole_list_amid_a_watch_is_told_as_changes_but_not_to_who_was_told_what_came_between():
    mirror = Mirror(ring=50)
    mirror.apply_line(0.0, whole(100, "a", "b"))
    changes = mirror.apply_line(0.0, whole(200, "b", "c")).changes
    assert sorted((change.row.key, change.gone) for change in changes) == [("a", True), ("c", False)]
    assert not told(mirror, 100).snapshot and told(mirror, 150).snapshot


@pytest.mark.parametrize("line", [whole(99, "a"), whole(300)])
def test_a_list_that_is_older_or_empty_is_held_off_and_then_believed(line):
    mirror = Mirror(ring=50)
    mirror.apply_line(0.0, whole(100, "a"))
    mirror.confirm(5.0)
    with pytest.raises(MirrorError):
        mirror.apply_line(10.0, line)
    mirror.confirm(20.0)
    assert (mirror.index, mirror.count, mirror.confirmed_ms) == (100, 1, 5.0)  # nor is it fresh meanwhile
    with pytest.raises(MirrorError):
        mirror.apply_line(9.0 + DOUBT_MS, line)
    assert mirror.apply_line(11.0 + DOUBT_MS, line).replaced == (line.index < 100)
    assert mirror.index == line.index


def test_a_service_that_was_started_again_lists_the_same_by_a_higher_index():
    above, mirror = Above(ring=50), Mirror(50)
    above.write(*(Put(table=INSTANCES, key=key, value=endpoint(key)) for key in ("s0", "s1")))
    mirror.apply_line(0.0, above.line(0))
    before = mirror.index
    above.restart()
    line = above.line(before)
    assert (line.snapshot, line.endpoints, line.index > before) == (False, [], True)
    assert mirror.apply_line(1.0, line).changes == ()
    assert mirror.index == line.index  # else it would be catching up for ever, and grant nothing
    assert told(mirror, before) == line  # whoever holds what came before lacks nothing
    assert taken((0, {}), told(mirror, 0)) == (line.index, {key: endpoint(key) for key in ("s0", "s1")})


def test_who_was_told_what_a_restored_copy_has_forgotten_gets_the_whole_list():
    above, mirror = Above(ring=50), Mirror(50)
    above.write(Put(table=INSTANCES, key="s0", value=endpoint("s0")))
    mirror.apply_line(0.0, above.line(0), first=True)
    above.write(Put(table=INSTANCES, key="s1", value=endpoint("s1")))
    copy = deepcopy(above.state)
    above.write(Put(table=INSTANCES, key="s2", value=endpoint("s2")))
    held = taken((0, {}), above.line(0))
    above.restart(copy)
    line = above.line(mirror.index)
    assert not line.snapshot and mirror.apply_line(0.0, line, first=True).index_grew
    assert set(taken(held, told(mirror, held[0]))[1]) == {"s0", "s1"}


def test_a_good_line_ends_the_doubt():
    mirror = Mirror(ring=50)
    mirror.apply_line(0.0, whole(100, "a"))
    with pytest.raises(MirrorError):
        mirror.apply_line(0.0, whole(90, "a"))
    mirror.apply_line(1.0, ListLine(101, False, []))
    with pytest.raises(MirrorError):
        mirror.apply_line(2.0 + DOUBT_MS, whole(90, "a"))


@pytest.mark.parametrize(
    "raw",
    [
        {"index": 0, "snapshot": True, "endpoints": []},
        {"index": 1, "endpoints": []},
        {"index": 1, "snapshot": True, "endpoints": [{"status": "active"}]},
        {"index": 1, "snapshot": True, "endpoints": [{"name": "a/b", "status": "active"}]},
        [1],
    ],
)
def test_what_is_no_list_is_refused(raw):
    with pytest.raises(MirrorError):
        parse_line(msgspec.json.encode(raw))
    with pytest.raises(MirrorError):
        parse_line(b"[" * 5000)
    with pytest.raises(MirrorError):
        Mirror(4).apply_line(0.0, ListLine(5, False, [endpoint("a")]))  # changes, of what?


def test_the_age_is_counted_from_the_asking_and_from_empty_lines():
    mirror = Mirror(ring=50)
    mirror.apply_line(1000.0, whole(100, "a"))
    mirror.confirm_by_watch(900.0, 1000.0, 0)
    assert mirror.age_ms(1000.0) == 100.0
    mirror.confirm_by_watch(900.0, 5000.0, 2)  # sent 2 * 1.98 s after the asking, or later
    assert mirror.age_ms(5000.0) == pytest.approx(140.0)
    mirror.confirm_by_answer(6000.0, 101)  # the service has a newer one
    mirror.confirm_by_watch(900.0, 6100.0, 2)
    assert mirror.age_ms(6000.0) == pytest.approx(1140.0)
    mirror.confirm_by_answer(6000.0, 100)
    assert mirror.age_ms(6250.0) == 250.0


def test_no_empty_line_makes_an_old_list_look_fresh():
    mirror, clock = Mirror(ring=50), [0.0]
    channel = ListChannel(mirror, lambda: clock[0], 65536, 10.0)
    mirror.apply_line(0.0, whole(100, "a"))
    mirror.confirm(0.0)
    clock[0] = FRESH_MS
    assert (channel.heartbeat(), channel.promised_age_ms()) == (EMPTY_LINE, FRESH_MS)
    clock[0] = FRESH_MS + 1500.0
    line = msgspec.json.decode(channel.heartbeat().split(b"\r\n")[1])
    assert line == {"index": 100, "snapshot": False, "endpoints": [], "age_ms": 3500}
    assert channel.promised_age_ms() == 3500
    mirror.confirm(clock[0])
    beats = [channel.heartbeat() for _ in range(60)]
    fresh = [beat for beat in beats if beat != EMPTY_LINE]
    assert (
        len(fresh) == 41 and beats[:41] == fresh
    )  # each watch is told once or twice, on its part of the beat
    assert msgspec.json.decode(fresh[0].split(b"\r\n")[1])["age_ms"] == FRESH_MS


class Transport:
    """Takes what is written to a watch."""

    def __init__(self):
        self.written = []

    def write(self, data):
        self.written.append(data)

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False


@bounded(10.0)
async def test_watches_are_told_that_the_index_grew_without_a_change():
    mirror, transport = Mirror(ring=50), Transport()
    channel = ListChannel(mirror, lambda: 0.0, 65536, 10.0)
    mirror.apply_line(0.0, whole(100, "a"))
    channel.add_watch(transport, 100, asyncio.get_running_loop().create_future())
    assert mirror.apply_line(0.0, ListLine(200, False, []), first=True).index_grew
    channel.flush_soon()
    await until(lambda: transport.written)
    line = msgspec.json.decode(transport.written[0].split(b"\r\n")[1])
    assert line == {"index": 200, "snapshot": False, "endpoints": []}


def test_the_next_address_is_asked_after_a_failure_but_who_is_told_a_time_comes_back_there():
    addresses = Addresses(("a", "b"), random.Random(1))
    first = addresses.current
    assert 2.0 <= addresses.record_failure(2.0) <= 2.5 and addresses.current == first
    assert 0.05 <= addresses.record_failure() <= 0.15 and addresses.current != first
    waits = [addresses.record_failure() for _ in range(40)]
    assert 0.5 <= max(waits) <= 1.5
    addresses.record_success()
    assert addresses.record_failure() <= 0.15
