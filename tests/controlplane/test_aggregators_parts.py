"""The deciding service within this process: what reports of aggregators cost it, and what it forgets."""

from __future__ import annotations

import sys

import pytest

from brassfall.controlplane.aggregation.merged_delays import EVERY_MS, MergedDelays
from brassfall.controlplane.aggregation.messages import AggregatorReport, ChildCounts, Member
from brassfall.controlplane.revisions.coordinator import RevisionCoordinator
from tests.controlplane.test_revisions_shell import service
from tests.support.loopback import bounded, until

GROUPS, REGIONS = ("g", "h"), ("a", "b")


def _report(seq, **more):
    return AggregatorReport("p", seq, "a", listen="127.0.0.1:1", **more)


def _steps(work):
    """How many bytecodes a call carries out: a measure of its cost that no other work disturbs."""
    count = [0]

    def trace(frame, event, _):
        frame.f_trace_opcodes, frame.f_trace_lines = True, False
        count[0] += event == "opcode"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count[0]


@bounded(30.0)
async def test_a_report_costs_the_same_however_many_children_there_are(tmp_path):
    made, costs = service(tmp_path), []
    await made.start()
    try:
        seq = 0
        for children in (10, 3000):
            for first in range(0, children, 200):
                joined = [Member(f"c{number}", "1") for number in range(first, min(children, first + 200))]
                seq += 1
                made.aggregators.receive_report("x", _report(seq, joined=joined))
            assert made.revisions.directory.count() == children
            counts = ChildCounts(known=children, leased=children)
            several = []
            for _ in range(3):
                seq += 1
                report = _report(seq, epoch=made.revisions.coordinator.epoch, children=counts)
                several.append(_steps(lambda report=report: made.aggregators.receive_report("x", report)))
            costs.append(min(several))
        assert costs[0] > 300 and costs[1] < 1.1 * costs[0], costs
    finally:
        await made.close()


@bounded(30.0)
async def test_an_aggregator_that_is_gone_for_good_is_forgotten_by_all_parts(tmp_path, monkeypatch):
    made = service(tmp_path)
    await made.start()
    try:
        revisions, row = (
            made.revisions,
            {"region": "a", "window": 1, "span_ms": 5000.0, "answers": 5, "first": {"100": 5}},
        )
        delays = {"delays": [{**row, "group": "g"}]}
        for name in ("x", "y"):
            made.aggregators.receive_report(
                name, _report(1, joined=[Member(f"c-{name}", "1")], measures=delays)
            )
        await until(lambda: revisions.coordinator.membership.names == {"x", "y"})
        revisions.sweep(revisions.now())
        assert set(revisions.directory.aggregators) == {"x", "y"}
        monkeypatch.setattr(RevisionCoordinator, "grant_refusal", lambda *_: None)
        made.aggregators.receive_report("y", _report(2, leaving=True, children=ChildCounts(leased=1)))
        assert not revisions.coordinator.departing  # a child of it may act: it is no end yet
        made.aggregators.receive_report("y", _report(3, leaving=True))
        assert revisions.coordinator.departing == ["y"]
        revisions.sweep(revisions.now() + revisions.settings.forget_ms + 1.0)
        await until(lambda: not revisions.coordinator.membership.names)
        assert (revisions.directory.aggregators, revisions.directory.count(), made.geo.demand) == ({}, 0, {})
    finally:
        await made.close()


@bounded(30.0)
async def test_demand_is_what_all_children_asked_for(tmp_path):
    """Some ask for more than the histograms hold of one child, and rows come in different reports."""
    made, merged = service(tmp_path), MergedDelays()
    await made.start()
    try:
        for child in range(3):
            for group in GROUPS:
                rows = [
                    {"region": region, "window": 1, "span_ms": 1000, "first": {"90": 900, "95": 100}}
                    for region in REGIONS
                ]
                merged.add(0.0, f"c{child}", group, {"delays": rows})
        told = merged.take(EVERY_MS)["delays"]
        for seq, row in enumerate(told):
            made.geo.receive_aggregator_report("x", _report(seq, measures={"delays": [row]}))
        rates = {key: rate for key, (_, rate, _) in made.geo.demand.items()}
        assert rates == {f"x/{g}/{r}": pytest.approx(600.0) for g in GROUPS for r in REGIONS}
        assert made.geo.rejected_rows == 0
        bad = [
            {**told[0], name: value} for name, value in (("answers", -1), ("answers", "x"), ("span_ms", 0))
        ]
        made.geo.forget_sidecar("x")
        made.geo.receive_aggregator_report("x", _report(9, measures={"delays": bad}))
        assert made.geo.demand == {}
    finally:
        await made.close()
