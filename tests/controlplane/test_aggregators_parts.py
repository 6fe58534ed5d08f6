"""Tests of the service in this process: cost of aggregators' reports, removal of aggregators, and demand."""

from __future__ import annotations

import sys

import pytest

from brassfall.controlplane.aggregation.merged_delays import EVERY_MS, MergedDelays
from brassfall.controlplane.aggregation.messages import AggregatorReport, ChildCounts, Member
from brassfall.controlplane.revisions.coordinator import RevisionCoordinator
from tests.controlplane.test_revisions_shell import service
from tests.support.loopback import bounded, until

GROUPS, REGIONS = ("g", "h"), ("a", "b")


def _report(seq, **report_fields):
    return AggregatorReport("p", seq, "a", listen="127.0.0.1:1", **report_fields)


def _executed_bytecodes(work):
    """Return how many bytecodes a call of `work` executes.

    Unlike a duration, this measure of its cost does not depend on the load of the machine.
    """
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
async def test_cost_of_a_report_does_not_depend_on_the_number_of_children(tmp_path):
    node, costs = service(tmp_path), []
    await node.start()
    try:
        seq = 0
        for children in (10, 3000):
            for first_child in range(0, children, 200):
                joined = [
                    Member(f"c{number}", "1")
                    for number in range(first_child, min(children, first_child + 200))
                ]
                seq += 1
                node.aggregators.receive_report("x", _report(seq, joined=joined))
            assert node.revisions.directory.count() == children
            counts = ChildCounts(known=children, leased=children)
            bytecode_counts = []
            for _ in range(3):
                seq += 1
                report = _report(seq, epoch=node.revisions.coordinator.epoch, children=counts)
                bytecode_counts.append(
                    _executed_bytecodes(lambda report=report: node.aggregators.receive_report("x", report))
                )
            costs.append(min(bytecode_counts))
        assert costs[0] > 300 and costs[1] < 1.1 * costs[0], costs
    finally:
        await node.close()


@bounded(30.0)
async def test_departed_aggregator_is_removed_from_all_parts_of_the_service(tmp_path, monkeypatch):
    node = service(tmp_path)
    await node.start()
    try:
        revisions, row = (
            node.revisions,
            {"region": "a", "window": 1, "span_ms": 5000.0, "answers": 5, "first": {"100": 5}},
        )
        delays = {"delays": [{**row, "group": "g"}]}
        for name in ("x", "y"):
            node.aggregators.receive_report(
                name, _report(1, joined=[Member(f"c-{name}", "1")], measures=delays)
            )
        await until(lambda: revisions.coordinator.membership.names == {"x", "y"})
        revisions.sweep(revisions.now())
        assert set(revisions.directory.aggregators) == {"x", "y"}
        monkeypatch.setattr(RevisionCoordinator, "grant_refusal", lambda *_: None)
        node.aggregators.receive_report("y", _report(2, leaving=True, children=ChildCounts(leased=1)))
        # The lease of a child may still run, so the aggregator stays a member.
        assert not revisions.coordinator.departing
        node.aggregators.receive_report("y", _report(3, leaving=True))
        assert revisions.coordinator.departing == ["y"]
        revisions.sweep(revisions.now() + revisions.settings.forget_ms + 1.0)
        await until(lambda: not revisions.coordinator.membership.names)
        assert (revisions.directory.aggregators, revisions.directory.count(), node.geo.demand) == ({}, 0, {})
    finally:
        await node.close()


@bounded(30.0)
async def test_demand_is_the_sum_of_the_answers_to_all_children(tmp_path):
    """Guard the demand against the sample limit of merged histograms and against rows in several reports.

    Each child reports more samples than a merged histogram counts of one child.
    """
    node, merged = service(tmp_path), MergedDelays()
    await node.start()
    try:
        for child in range(3):
            for group in GROUPS:
                rows = [
                    {"region": region, "window": 1, "span_ms": 1000, "first": {"90": 900, "95": 100}}
                    for region in REGIONS
                ]
                merged.add(0.0, f"c{child}", group, {"delays": rows})
        merged_rows = merged.take(EVERY_MS)["delays"]
        for seq, row in enumerate(merged_rows):
            node.geo.receive_aggregator_report("x", _report(seq, measures={"delays": [row]}))
        rates = {key: rate for key, (_, rate, _) in node.geo.demand.items()}
        assert rates == {f"x/{g}/{r}": pytest.approx(600.0) for g in GROUPS for r in REGIONS}
        assert node.geo.rejected_rows == 0
        malformed_rows = [
            {**merged_rows[0], name: value}
            for name, value in (("answers", -1), ("answers", "x"), ("span_ms", 0))
        ]
        node.geo.forget_sidecar("x")
        node.geo.receive_aggregator_report("x", _report(9, measures={"delays": malformed_rows}))
        assert node.geo.demand == {}
    finally:
        await node.close()
