"""Tests of the service's directory of aggregators and sidecars, and of its orders about children."""

from __future__ import annotations

import random

import pytest

from brassfall.controlplane.aggregation.child_orders import REPEATED_MS, ChildOrders
from brassfall.controlplane.aggregation.directory import (
    MIGRATION_NOTICES,
    ORPHANS_MS,
    AggregatorNameError,
    Directory,
)
from brassfall.controlplane.aggregation.messages import AggregatorReport, ChildCounts, Member

EPOCH, LIVE_MS = 9, 3000.0


class DirectoryHarness:
    """A directory that receives numbered reports, one ms apart."""

    def __init__(self):
        self.directory, self.now, self.seq = Directory(LIVE_MS, 100), 0.0, 0

    def report(self, name, process_id="p", joined=(), departed=(), **report_fields):
        self.seq, self.now = self.seq + 1, self.now + 1.0
        fields = {"region": "a", "listen": name, "epoch": EPOCH, "seq": self.seq, **report_fields}
        members = {"joined": _members(joined), "departed": _members(departed)}
        return self.directory.receive_report(
            self.now, EPOCH, name, AggregatorReport(process_id=process_id, **fields, **members)
        )

    def owners(self, *names):
        return [self.directory.owner(name) for name in names]


def _members(names):
    return [Member(*name.split("/")) if "/" in name else Member(name, "1") for name in names]


def test_sidecar_is_counted_once_and_its_previous_owner_is_notified_of_the_migration():
    harness = DirectoryHarness()
    assert harness.report("x", joined="cd").arrived == ["c", "d"]
    assert harness.report("x", joined="cd").arrived == []  # the arrivals are repeated, as after a lost answer
    assert harness.report("y", joined="d").arrived == ["d"]
    assert harness.owners("c", "d") == ["x", "y"] and harness.directory.count() == 2
    assert harness.report("x", departed="d").departed == []  # y owns the sidecar d now
    x = harness.report("x").process
    assert harness.directory.take_migrated(x) == []  # x has reported the departure itself
    harness.report("y", joined="c")
    notices = [harness.directory.take_migrated(x) for _ in range(MIGRATION_NOTICES + 1)]
    assert notices == [[Member("c", "1")]] * MIGRATION_NOTICES + [[]]
    assert harness.report("y", departed=["c/0"]).departed == []  # an earlier process of the sidecar
    assert harness.report("y", joined=["c/2"], departed="c").arrived == ["c"]
    assert harness.report("y", departed=["c/2"]).departed == ["c"]


def test_late_report_is_ignored():
    harness = DirectoryHarness()
    harness.report("x", joined="c", seq=7)
    assert harness.report("x", departed="c", seq=7).stale and harness.owners("c") == ["x"]


def test_resync_is_requested_from_an_aggregator_whose_children_are_unknown():
    harness = DirectoryHarness()
    resync = harness.directory.resync
    assert resync(EPOCH, harness.report("x", epoch=None).process)  # x has received no answer in this epoch
    assert resync(EPOCH, harness.report("x", epoch=EPOCH - 1).process)
    assert not resync(EPOCH, harness.report("x").process)
    harness.report("x", joined="c")
    assert harness.directory.remove("x") == ["c"]
    assert resync(EPOCH, harness.report("x").process)  # x was removed, and reports again
    assert not resync(EPOCH, harness.report("x", joined="c").process)
    # Until an aggregator has reported all its children, the number that it states is counted, in addition to
    # the children of other aggregators.
    harness.report("y", epoch=EPOCH - 1, children=ChildCounts(known=40))
    assert harness.directory.count() == 41
    harness.report("y", joined=[f"m{n}" for n in range(30)], children=ChildCounts(known=40))
    assert harness.directory.count() == 31


def test_sidecar_known_to_two_aggregators_is_counted_once():
    harness = DirectoryHarness()
    for _ in range(3):
        harness.report("x", joined="c", children=ChildCounts(known=1))
        assert harness.directory.count() == 1
        harness.report("y", joined="c", children=ChildCounts(known=1))
        assert harness.directory.count() == 1


@pytest.mark.parametrize("other", [{"region": "b"}, {"listen": "z"}])
def test_name_of_a_live_aggregator_is_refused_to_another_one(other):
    harness = DirectoryHarness()
    harness.report("x")
    with pytest.raises(AggregatorNameError, match="in use"):
        harness.report("x", process_id="q", **other)
    harness.now += LIVE_MS + 1.0
    assert not harness.report("x", process_id="q", **other).superseded


def test_new_process_of_a_name_supersedes_the_older_one_while_it_is_alive():
    harness = DirectoryHarness()
    harness.report("x", joined="cd")
    harness.report("x", process_id="q", joined="c")
    older_report = harness.report("x", process_id="p", joined="e")
    assert older_report.superseded and harness.owners("c", "d", "e") == ["x", "x", None]
    assert list(harness.directory.aggregators["x"].children) == ["c"]
    harness.now += LIVE_MS + 1.0  # the newer process is not alive any more, so the older one is accepted
    assert not harness.report("x", process_id="p").superseded
    assert harness.report("x", process_id="q").superseded
    harness.now += ORPHANS_MS + 1.0
    harness.report("x", process_id="p")
    assert harness.directory.sweep(harness.now) == ["c"] and harness.directory.count() == 1


def test_each_sidecar_has_one_owner_after_random_reports():
    for seed in range(30):
        rng, harness = random.Random(seed), DirectoryHarness()
        for _ in range(200):
            joined = rng.sample("abcdefghij", rng.randrange(4))
            departed = rng.sample("abcdefghij", rng.randrange(3))
            name, process_id = rng.choice("xyz"), rng.choice("pq")
            harness.now += rng.choice((0.0, 0.0, LIVE_MS))
            harness.report(name, process_id, joined, departed)
            if rng.random() < 0.05:
                harness.directory.remove(rng.choice("xyz"))
            harness.directory.sweep(harness.now)
        owned_sidecars = [
            child
            for name, process in harness.directory.aggregators.items()
            for each_process in (process, *harness.directory.former(name))
            for child in each_process.children
        ]
        assert len(owned_sidecars) == len(set(owned_sidecars)) == harness.directory.count()
        assert all(harness.directory.owner(child) for child in owned_sidecars)


def test_order_about_a_blocked_child_is_repeated_until_some_time_after_the_block_ends():
    orders, blocked = ChildOrders(), {"c": "acts on others"}
    (order,) = orders.due(0.0, ["c"], blocked, {"c"}, set())
    assert (order.blocked, order.list_overrides, order.refresh_times) == ("acts on others", True, False)
    assert [order.blocked for order in orders.due(60_000.0, [], blocked, set(), set())] == ["acts on others"]
    assert [order.blocked for order in orders.due(60_001.0, [], {}, set(), set())] == [""]
    assert orders.due(60_001.0 + REPEATED_MS, [], {}, set(), set()) == []
