"""The aggregator's mirror of the endpoint list: doubt about older lists, changes by index, and its age."""

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


def complete_list(index, *names):
    return ListLine(index, True, [endpoint(name) for name in names])


class ListServiceTable:
    """The list service's table of instances, and the lines that it sends to readers with an index."""

    def __init__(self, ring):
        self.state = State(ring)

    def restart(self, copy=None):
        """Begin an incarnation above all indices sent so far, on the present disk or an older copy of it."""
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
        listed = (
            entries.list_entries(self.state.rows(INSTANCES))
            if changes is None
            else entries.change_entries(changes)
        )
        return ListLine(self.state.last_index(INSTANCES), changes is None, listed)


def apply_to_sidecar(sidecar_list, line):
    """Return a sidecar's list after a line, as its index and its entries by name."""
    index, rows = sidecar_list
    rows = {} if line.snapshot else dict(rows)
    for entry in line.endpoints:
        if entry["status"] == "left":
            rows.pop(entry["name"], None)
        else:
            rows[entry["name"]] = entry
    assert line.snapshot or line.index >= index
    return line.index, rows


def line_from_mirror(mirror, index):
    """Return the line that a mirror sends to a reader with an index."""
    table = ListServiceTable(1)
    table.state = mirror.state
    return table.line(index)


@pytest.mark.parametrize("seed", range(40))
def test_a_sidecar_that_switches_between_service_and_mirrors_has_the_list_of_the_service(seed):
    rng = random.Random(seed)
    table = ListServiceTable(ring=rng.choice((3, 50)))
    table.write(Put(table=INSTANCES, key="s0", value=endpoint("s0")))
    mirrors = [Mirror(rng.choice((2, 50))) for _ in range(2)]
    sidecar_lists = [(0, {}) for _ in range(3)]
    complete_lists, disk_copies = 0, []
    watch_is_open = [False, False]  # for each mirror: True after a line since the service's last start
    for step in range(300):
        key = f"s{rng.randrange(8)}"
        if rng.random() < 0.02:
            disk_copies.append(deepcopy(table.state))
        if rng.random() < 0.02:
            table.restart(rng.choice([None, *disk_copies]))
            watch_is_open = [False, False]
        elif rng.random() < 0.6:
            table.write(Put(table=INSTANCES, key=key, value=endpoint(key, rng.random())))
        elif table.state.count(INSTANCES) > 1:
            table.write(Delete(table=INSTANCES, key=key))
        table.write(Put(table="other", key="k", value=step))  # writes to other tables raise the index, too
        if rng.random() < 0.5:
            mirror_number = rng.randrange(2)
            mirror = mirrors[mirror_number]
            line = table.line(mirror.index if mirror.holds_list else 0)
            mirror.apply_line(0.0, line, first=not watch_is_open[mirror_number])
            watch_is_open[mirror_number] = True
        at = rng.randrange(len(sidecar_lists))
        index, rows = sidecar_lists[at]
        source = rng.choice(
            [table, *(mirror for mirror in mirrors if mirror.holds_list and mirror.index >= index)]
        )
        line = table.line(index) if source is table else line_from_mirror(source, index)
        complete_lists += line.snapshot
        sidecar_lists[at] = apply_to_sidecar((index, rows), line)
        # A sidecar at the service's newest index has the service's list, whichever source it came from.
        if sidecar_lists[at][0] == table.state.last_index(INSTANCES):
            assert sidecar_lists[at][1] == {row.key: row.value for row in table.state.rows(INSTANCES)}
    assert complete_lists < 150  # the remaining lines were changes since the sidecar's index


def test_changes_are_sent_from_the_ring_and_a_complete_list_only_before_its_start():
    mirror = Mirror(ring=4)
    mirror.apply_line(0.0, complete_list(100, "a", "b"))
    for index in range(101, 104):
        mirror.apply_line(0.0, ListLine(index, False, [endpoint("a", index)]))
    line = line_from_mirror(mirror, 101)
    assert (line.index, line.snapshot, [e["weight"] for e in line.endpoints]) == (103, False, [103])
    # The mirror's first list had index 100, so that it does not know changes since 99.
    assert not line_from_mirror(mirror, 100).snapshot and line_from_mirror(mirror, 99).snapshot
    for index in range(104, 110):
        mirror.apply_line(
            0.0, ListLine(index, False, [{**endpoint("b"), "status": "left"}, endpoint(f"n{index}")])
        )
    assert line_from_mirror(mirror, 106).snapshot and not line_from_mirror(mirror, 107).snapshot


def test_a_complete_list_within_a_watch_is_sent_as_changes_except_from_an_index_in_between():
    mirror = Mirror(ring=50)
    mirror.apply_line(0.0, complete_list(100, "a", "b"))
    changes = mirror.apply_line(0.0, complete_list(200, "b", "c")).changes
    assert sorted((change.row.key, change.deleted) for change in changes) == [("a", True), ("c", False)]
    assert not line_from_mirror(mirror, 100).snapshot and line_from_mirror(mirror, 150).snapshot


@pytest.mark.parametrize("line", [complete_list(99, "a"), complete_list(300)])
def test_an_older_or_empty_list_is_accepted_only_after_the_doubt_time(line):
    mirror = Mirror(ring=50)
    mirror.apply_line(0.0, complete_list(100, "a"))
    mirror.confirm(5.0)
    with pytest.raises(MirrorError):
        mirror.apply_line(10.0, line)
    mirror.confirm(20.0)
    # A doubted line confirms nothing.
    assert (mirror.index, mirror.count, mirror.confirmed_ms) == (
        100,
        1,
        5.0,
    )
    with pytest.raises(MirrorError):
        mirror.apply_line(9.0 + DOUBT_MS, line)
    assert mirror.apply_line(11.0 + DOUBT_MS, line).replaced == (line.index < 100)
    assert mirror.index == line.index


def test_a_restart_of_the_service_raises_the_index_without_changes():
    table, mirror = ListServiceTable(ring=50), Mirror(50)
    table.write(*(Put(table=INSTANCES, key=key, value=endpoint(key)) for key in ("s0", "s1")))
    mirror.apply_line(0.0, table.line(0))
    before = mirror.index
    table.restart()
    line = table.line(before)
    assert (line.snapshot, line.endpoints, line.index > before) == (False, [], True)
    assert mirror.apply_line(1.0, line).changes == ()
    # A lower index would make the aggregator lag for ever, and grant no lease.
    assert mirror.index == line.index
    # A sidecar with the index before the restart gets no changes.
    assert line_from_mirror(mirror, before) == line
    assert apply_to_sidecar((0, {}), line_from_mirror(mirror, 0)) == (
        line.index,
        {key: endpoint(key) for key in ("s0", "s1")},
    )


def test_a_sidecar_with_changes_that_a_restored_disk_copy_lacks_gets_the_complete_list():
    table, mirror = ListServiceTable(ring=50), Mirror(50)
    table.write(Put(table=INSTANCES, key="s0", value=endpoint("s0")))
    mirror.apply_line(0.0, table.line(0), first=True)
    table.write(Put(table=INSTANCES, key="s1", value=endpoint("s1")))
    copy = deepcopy(table.state)
    table.write(Put(table=INSTANCES, key="s2", value=endpoint("s2")))
    sidecar_list = apply_to_sidecar((0, {}), table.line(0))
    table.restart(copy)
    line = table.line(mirror.index)
    assert not line.snapshot and mirror.apply_line(0.0, line, first=True).index_grew
    assert set(apply_to_sidecar(sidecar_list, line_from_mirror(mirror, sidecar_list[0]))[1]) == {"s0", "s1"}


def test_a_plausible_line_restarts_the_doubt_time():
    mirror = Mirror(ring=50)
    mirror.apply_line(0.0, complete_list(100, "a"))
    with pytest.raises(MirrorError):
        mirror.apply_line(0.0, complete_list(90, "a"))
    mirror.apply_line(1.0, ListLine(101, False, []))
    with pytest.raises(MirrorError):
        mirror.apply_line(2.0 + DOUBT_MS, complete_list(90, "a"))


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
def test_malformed_lines_are_refused(raw):
    with pytest.raises(MirrorError):
        parse_line(msgspec.json.encode(raw))
    with pytest.raises(MirrorError):
        parse_line(b"[" * 5000)
    with pytest.raises(MirrorError):
        Mirror(4).apply_line(0.0, ListLine(5, False, [endpoint("a")]))  # changes before a complete list


def test_the_age_counts_from_the_time_of_the_call_and_its_heartbeats():
    mirror = Mirror(ring=50)
    mirror.apply_line(1000.0, complete_list(100, "a"))
    mirror.confirm_by_watch(900.0, 1000.0, 0)
    assert mirror.age_ms(1000.0) == 100.0
    # The second heartbeat is sent 2 * 1.98 s after the call, or later.
    mirror.confirm_by_watch(900.0, 5000.0, 2)
    assert mirror.age_ms(5000.0) == pytest.approx(140.0)
    mirror.confirm_by_answer(6000.0, 101)  # the service has a newer list, so that this confirms nothing
    mirror.confirm_by_watch(900.0, 6100.0, 2)
    assert mirror.age_ms(6000.0) == pytest.approx(1140.0)
    mirror.confirm_by_answer(6000.0, 100)
    assert mirror.age_ms(6250.0) == 250.0


def test_heartbeats_of_an_old_list_state_its_age():
    mirror, clock = Mirror(ring=50), [0.0]
    channel = ListChannel(mirror, lambda: clock[0], 65536, 10.0)
    mirror.apply_line(0.0, complete_list(100, "a"))
    mirror.confirm(0.0)
    clock[0] = FRESH_MS
    assert (channel.heartbeat(), channel.promised_age_ms()) == (EMPTY_LINE, FRESH_MS)
    clock[0] = FRESH_MS + 1500.0
    line = msgspec.json.decode(channel.heartbeat().split(b"\r\n")[1])
    assert line == {"index": 100, "snapshot": False, "endpoints": [], "age_ms": 3500}
    assert channel.promised_age_ms() == 3500
    mirror.confirm(clock[0])
    heartbeats = [channel.heartbeat() for _ in range(60)]
    stated_fresh = [heartbeat for heartbeat in heartbeats if heartbeat != EMPTY_LINE]
    # Each watch gets one or two heartbeats that state a fresh list, in its slot.
    assert len(stated_fresh) == 41 and heartbeats[:41] == stated_fresh
    assert msgspec.json.decode(stated_fresh[0].split(b"\r\n")[1])["age_ms"] == FRESH_MS


class Transport:
    """A transport that records what is written to a watch."""

    def __init__(self):
        self.written = []

    def write(self, data):
        self.written.append(data)

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False


@bounded(10.0)
async def test_watches_get_a_line_when_the_index_grows_without_changes():
    mirror, transport = Mirror(ring=50), Transport()
    channel = ListChannel(mirror, lambda: 0.0, 65536, 10.0)
    mirror.apply_line(0.0, complete_list(100, "a"))
    channel.add_watch(transport, 100, asyncio.get_running_loop().create_future())
    assert mirror.apply_line(0.0, ListLine(200, False, []), first=True).index_grew
    channel.flush_soon()
    await until(lambda: transport.written)
    line = msgspec.json.decode(transport.written[0].split(b"\r\n")[1])
    assert line == {"index": 200, "snapshot": False, "endpoints": []}


def test_a_failure_switches_to_the_next_address_but_retry_after_keeps_the_address():
    addresses = Addresses(("a", "b"), random.Random(1))
    first = addresses.current
    assert 2.0 <= addresses.record_failure(2.0) <= 2.5 and addresses.current == first
    assert 0.05 <= addresses.record_failure() <= 0.15 and addresses.current != first
    waits = [addresses.record_failure() for _ in range(40)]
    assert 0.5 <= max(waits) <= 1.5
    addresses.record_success()
    assert addresses.record_failure() <= 0.15
