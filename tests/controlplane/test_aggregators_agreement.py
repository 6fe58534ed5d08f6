"""Tests of aggregators as members of the revision protocol: conditions for their leases and for commits."""

from __future__ import annotations

import json

import pytest

from brassfall.controlplane.revisions.coordinator import RevisionCoordinator
from brassfall.controlplane.revisions.document import Revision
from brassfall.controlplane.revisions.membership import Membership
from brassfall.controlplane.revisions.messages import LeaseAnswer, Persist, Persisted, Publish, ReportReceived
from brassfall.controlplane.revisions.reports import Objection, Report, parse_report
from brassfall.controlplane.revisions.state import DurableState
from brassfall.controlplane.revisions.timing import LeaseTiming

EPOCH = 1 << 50
START = 1e6
NEXT = EPOCH  # the number of the first revision of this epoch


class CoordinatorHarness:
    """A coordinator that grants leases, with revision 1 committed and revision `NEXT` pending."""

    def __init__(self, names):
        self.now = START
        self.seq = 0
        state = DurableState(committed=Revision(1), newest=1)
        self.coordinator = RevisionCoordinator(LeaseTiming(), START, state, Membership(EPOCH, set(names)))
        for _ in range(20):
            for name in names:
                self.report(name, 1, None)
            self.now += 500.0
        self.coordinator.step(self.now, Publish(1, settings={}))
        self.coordinator.step(self.now, Persisted())
        assert self.coordinator.state.pending.number == NEXT and len(
            self.coordinator.leases.active(self.now)
        ) == len(names)

    def report(self, name, prepared, acknowledged, objections=None):
        self.seq += 1
        self.now += 1.0  # reports with the same time are handled together
        newest = self.coordinator.state.newest
        report = Report(
            "p", self.seq, EPOCH, newest_revision=newest, prepared=prepared, acknowledged=acknowledged
        )
        actions = self.coordinator.step(self.now, ReportReceived(0, name, report, objections or {}))
        if any(isinstance(action, Persist) for action in actions):
            self.coordinator.step(self.now, Persisted())
        return next(action for action in actions if isinstance(action, LeaseAnswer))


@pytest.mark.parametrize(
    ("prepared", "acknowledged", "granted"),
    [(1, None, False), (NEXT, None, True), (1, NEXT, True), (1, 1, False), (NEXT, 0, False)],
)
def test_lease_needs_the_acknowledged_revision_or_else_the_prepared_one(prepared, acknowledged, granted):
    harness = CoordinatorHarness(["a", "b"])
    assert bool(harness.report("a", prepared, acknowledged).lease_ms) is granted


def test_commit_waits_until_an_aggregator_with_a_renewed_lease_reports_the_revision_as_prepared():
    harness = CoordinatorHarness(["a", "b"])
    harness.report("a", NEXT, NEXT)
    for _ in range(8):  # longer than any lease: a child of b is suspended, and acknowledges nothing
        harness.now += 500.0
        harness.report("a", NEXT, NEXT)
        assert harness.report("b", 1, NEXT).lease_ms > 0.0
        assert harness.coordinator.state.committed.number == 1
    harness.report("b", NEXT, NEXT)
    assert harness.coordinator.state.committed.number == NEXT


def test_aggregator_that_never_reports_a_revision_as_prepared_delays_its_commit_for_a_bounded_time():
    harness, refusal_texts = CoordinatorHarness(["a", "b"]), set()
    started_ms, bound_ms = harness.now, harness.coordinator.timing.expiry_bound_ms
    while harness.coordinator.state.committed.number == 1:
        harness.now += 250.0
        harness.report("a", NEXT, NEXT)
        refusal_texts.add(harness.report("b", 1, NEXT).why)
    assert any("longer than what it granted" in refusal_text for refusal_text in refusal_texts)
    assert 3.0 * bound_ms < harness.now - started_ms < 3.0 * bound_ms + 1000.0


def test_objection_of_a_child_has_its_own_name_and_counts_only_for_the_pending_revision():
    harness = CoordinatorHarness(["a", "b"])
    harness.report("a", 1, NEXT, {"c": Objection(1, "to what is in force")})
    assert harness.coordinator.state.halted is None and harness.coordinator.state.pending.number == NEXT
    assert harness.report("a", 1, NEXT, {"c": Objection(NEXT, "why")}).lease_ms > 0.0
    assert (
        harness.coordinator.state.halted.objections == {"c": "why"}
        and harness.coordinator.state.pending is None
    )


def test_field_acknowledged_is_ignored_in_the_report_of_a_sidecar():
    assert parse_report(json.dumps({"prepared": 1, "acknowledged": NEXT}).encode()).acknowledged is None
