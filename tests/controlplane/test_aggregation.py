"""Tests of the aggregator's state machine: leases, children, admission, merged delays and overrides."""

from __future__ import annotations

import importlib
import itertools
import random

import msgspec
import pytest

from brassfall.controlplane.aggregation import events
from brassfall.controlplane.aggregation.actions import (
    AnswerChild,
    FetchState,
    NotifyChildren,
    RejectChild,
    ReportNow,
)
from brassfall.controlplane.aggregation.admission import Admission
from brassfall.controlplane.aggregation.aggregator import Aggregator
from brassfall.controlplane.aggregation.merged_delays import MAX_CHILD_SAMPLES, RANKS, MergedDelays, thinned
from brassfall.controlplane.aggregation.messages import (
    EXCEPTIONS_MOST,
    LAGGING_MOST,
    MEMBERS_MOST,
    AggregatorLease,
    ChildOrder,
    Member,
    Place,
    PlaceDigest,
    parse_report,
)
from brassfall.controlplane.aggregation.override_times import OverrideTimes
from brassfall.controlplane.aggregation.report_builder import Identity
from brassfall.controlplane.aggregation.timing import AggregatorTiming
from brassfall.controlplane.geo.evidence import MAX_POINTS, validate_rows
from brassfall.controlplane.revisions.reports import Objection, Report

EPOCH = 1 << 50
OLD, NEXT, LATER = EPOCH, EPOCH + 1, EPOCH + 2  # revisions in order of their numbers
TIMING = AggregatorTiming()


class AggregatorHarness:
    """An aggregator with a lease on `OLD`, driven by messages of the service and reports of children."""

    def __init__(self, timing=TIMING):
        self.now = 1e6
        self.aggregator = Aggregator(timing, Identity("p1", "g", "r", "g:1"), self.now)
        self.child_seqs = itertools.count(1)
        self.notified_lines = []
        self.receive_state(OLD, "committed", OLD)
        self.report_and_answer()
        self.report_requested = False

    def step(self, event):
        actions = self.aggregator.step(self.now, event)
        self.notified_lines += [action.line for action in actions if isinstance(action, NotifyChildren)]
        self.report_requested = any(isinstance(action, ReportNow) for action in actions)
        self.fetch_requested = FetchState() in actions
        return actions

    def receive_state(self, revision, state, committed, epoch=EPOCH):
        line = f"{epoch}/{revision} {state} {committed}".encode()
        return self.step(events.StateReceived(epoch, revision, state, committed, line))

    def build_report(self):
        (action,) = self.step(events.ReportDue())
        assert parse_report(msgspec.json.encode(action.report)) == action.report
        return action.report

    def answer_report(self, seq, sent_ms=None, **fields):
        fields = {"epoch": EPOCH, "revision": OLD, "lease_ms": TIMING.lease_ms, **fields}
        answer = AggregatorLease(seq=seq, **fields)
        return self.step(events.UpstreamAnswered(self.now if sent_ms is None else sent_ms, answer))

    def report_and_answer(self, **fields):
        """Build a report and answer it at the same time; return the report."""
        report = self.build_report()
        self.answer_report(report.seq, **fields)
        return report

    def child_report(self, name="s", process_id="p", **fields):
        """Pass a child's report to the aggregator; return the action that answers it."""
        fields = {
            "seq": next(self.child_seqs),
            "epoch": EPOCH,
            "newest_revision": OLD,
            "acting": OLD,
            **fields,
        }
        actions = self.step(events.ChildReported(0, name, Report(process_id=process_id, **fields)))
        return next(action for action in actions if isinstance(action, AnswerChild | RejectChild))


# --- leases ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("rates", list(itertools.product((0.99, 1.01), repeat=3)))
def test_child_lease_ends_before_the_service_and_the_aggregator_count_it_as_ended(rates):
    service_rate, aggregator_rate, child_rate = rates
    harness = AggregatorHarness()
    sent_ms = harness.now
    for elapsed_ms in (0.0, 1.0, 1500.0, 2690.0, 2699.9):  # ms of the aggregator's clock since its report
        harness.now = sent_ms + elapsed_ms
        answer = harness.child_report()
        assert 0.0 < answer.lease_ms == pytest.approx(TIMING.lease_ms - elapsed_ms)
        # All times are true ms since the aggregator's report; the child reports just before its answer.
        child_end = elapsed_ms / aggregator_rate + answer.lease_ms / child_rate
        assert child_end <= TIMING.expiry_bound_ms / service_rate + 1e-6
        end_bound = harness.aggregator.child_leases_until_ms
        assert child_end <= (end_bound - sent_ms) / aggregator_rate + 1e-6
    harness.now = sent_ms + TIMING.lease_ms
    answer = harness.child_report()
    assert (answer.lease_ms, answer.elsewhere) == (0.0, True) and answer.why


def test_late_answer_does_not_extend_the_lease_and_lower_epoch_is_ignored():
    harness = AggregatorHarness()
    first_report, sent_ms = harness.build_report(), harness.now
    harness.now += 1000.0
    second_report = harness.build_report()
    harness.answer_report(second_report.seq, revision=OLD)
    left_ms = harness.aggregator.lease_left_ms(harness.now)
    harness.answer_report(first_report.seq, sent_ms, pending=NEXT)
    assert (harness.aggregator.lease_left_ms(harness.now), harness.aggregator.pending) == (left_ms, 0)
    harness.answer_report(harness.build_report().seq, epoch=EPOCH - 1, revision=LATER)
    assert (harness.aggregator.epoch, harness.aggregator.committed) == (EPOCH, OLD)
    # An answer to a report that was never built is ignored.
    harness.answer_report(harness.build_report().seq + 1, revision=NEXT)
    assert harness.aggregator.committed == OLD


def test_later_epoch_ends_the_lease_and_permanently_lost_epoch_is_replaced_by_a_lower_one():
    harness = AggregatorHarness()
    harness.receive_state(OLD, "committed", OLD, epoch=EPOCH + 5)
    assert harness.aggregator.epoch == EPOCH + 5 and not harness.aggregator.lease_left_ms(harness.now)
    assert not harness.child_report().lease_ms
    for _ in range(49):
        harness.now += 250.0
        assert harness.aggregator.epoch == EPOCH + 5
        harness.answer_report(harness.build_report().seq)
    assert harness.aggregator.epoch == EPOCH and harness.aggregator.lease_left_ms(harness.now)


def test_after_a_lost_lease_grants_wait_for_the_newest_revision_and_endpoint_list():
    harness = AggregatorHarness()
    harness.now += 5000.0
    harness.report_and_answer(revision=NEXT, list_index=7)
    assert "catching up" in harness.child_report().why
    harness.receive_state(NEXT, "committed", NEXT)
    assert "catching up" in harness.child_report().why
    harness.step(events.ListReceived(7, harness.now))
    assert harness.child_report().lease_ms
    assert harness.build_report().list_index == 7
    # A newer endpoint list is not required as long as the lease goes on.
    harness.report_and_answer(revision=NEXT, list_index=9)
    assert harness.child_report().lease_ms


def test_revision_named_by_an_answer_and_not_received_is_fetched():
    harness = AggregatorHarness()
    actions = harness.answer_report(harness.build_report().seq, pending=NEXT)
    assert FetchState() in actions and harness.aggregator.pending == NEXT
    # The state was fetched just before, so no second fetch is due.
    assert FetchState() not in harness.answer_report(harness.build_report().seq, pending=NEXT)
    harness.receive_state(NEXT, "prepared", OLD)
    harness.now += 500.0
    assert FetchState() not in harness.answer_report(harness.build_report().seq, pending=NEXT)
    # The revision was halted, but no state of the halt was received. The answer no longer names the revision,
    # although the report stated it as pending.
    harness.answer_report(harness.build_report().seq, pending=0)
    assert harness.aggregator.pending == 0
    # A late state of the halted revision is ignored.
    assert not harness.receive_state(NEXT, "prepared", OLD) and harness.aggregator.pending == 0


def test_answer_without_lease_keeps_the_pending_revision():
    harness = AggregatorHarness()
    harness.receive_state(NEXT, "prepared", OLD)
    harness.report_and_answer(pending=NEXT)
    harness.now += 500.0
    actions = harness.answer_report(
        harness.build_report().seq, lease_ms=0.0, why="a newer process of its name reports"
    )
    assert harness.aggregator.pending == NEXT and FetchState() in actions
    assert harness.child_report(prepared=NEXT).pending == NEXT
    harness.report_and_answer()
    assert harness.aggregator.pending == 0


def test_children_are_redirected_when_the_service_stops_answering():
    harness = AggregatorHarness()
    assert not harness.child_report().elsewhere
    harness.now += TIMING.elsewhere_after_ms + 1.0
    answer = harness.child_report()
    assert answer.lease_ms > 1000.0 and answer.elsewhere


# --- pending revisions ----------------------------------------------------------------------------


def test_revision_is_reported_as_prepared_once_each_child_with_a_lease_has_acknowledged_it():
    harness = AggregatorHarness()
    for name in ("a", "b", "c"):
        assert harness.child_report(name).lease_ms
    harness.receive_state(NEXT, "prepared", OLD)
    report = harness.build_report()
    assert (report.acknowledged, report.prepared, sorted(report.lagging)) == (NEXT, 0, ["a", "b", "c"])
    assert harness.child_report("a", prepared=NEXT).lease_ms and not harness.report_requested
    assert "not acknowledged" in harness.child_report("b").why
    # An acknowledgement of a new child, or of another process of a lagging sidecar, replaces no missing one.
    assert (
        harness.child_report("d", prepared=NEXT).lease_ms
        and harness.child_report("b", "p2", prepared=NEXT).lease_ms
    )
    harness.child_report("c", prepared=NEXT)
    assert harness.build_report().prepared == 0
    harness.child_report("b", prepared=NEXT)
    assert harness.report_requested and harness.build_report().prepared == NEXT
    assert not harness.child_report("e").lease_ms and harness.build_report().prepared == NEXT


def test_acknowledgement_of_a_silent_or_migrated_child_is_needed_until_its_lease_ends():
    harness = AggregatorHarness()
    harness.child_report("a")
    harness.child_report("b")
    harness.receive_state(NEXT, "prepared", OLD)
    harness.child_report("a", prepared=NEXT)
    harness.now += 100.0
    harness.report_and_answer(pending=NEXT, migrated=[Member("b", "p")])
    assert "b" not in [row.name for row in harness.aggregator.children(harness.now)]
    for _ in range(10):
        harness.now += 250.0
        harness.child_report("a", prepared=NEXT)
        assert harness.report_and_answer(pending=NEXT).prepared == 0
    harness.now = 1e6 + TIMING.expiry_bound_ms + 1.0
    harness.step(events.Tick())
    assert harness.report_requested and harness.build_report().prepared == NEXT


def test_children_are_notified_of_a_commit_with_a_lease_on_it_or_after_a_bounded_wait():
    harness = AggregatorHarness()
    harness.receive_state(NEXT, "prepared", OLD)
    assert harness.notified_lines[-1] == f"{EPOCH}/{NEXT} prepared {OLD}".encode()  # sent at once
    harness.receive_state(NEXT, "committed", NEXT)
    assert harness.report_requested and b"committed" not in harness.notified_lines[-1]
    assert not harness.child_report(prepared=NEXT).lease_ms  # the lease is on the previous revision
    harness.report_and_answer(revision=NEXT)
    assert harness.notified_lines[-1] == f"{EPOCH}/{NEXT} committed {NEXT}".encode()
    assert harness.child_report(prepared=NEXT).lease_ms
    harness.receive_state(LATER, "committed", LATER)
    harness.now += TIMING.commit_message_wait_ms
    harness.step(events.Tick())
    assert harness.notified_lines[-1] == f"{EPOCH}/{LATER} committed {LATER}".encode()


@pytest.mark.parametrize(
    ("ahead", "pending"),
    [
        ({"prepared": NEXT}, NEXT),
        ({"acting": NEXT}, 0),
        ({"epoch": EPOCH + 1}, 0),
        ({"prepared": NEXT, "epoch": 0}, NEXT),
    ],
)
def test_child_ahead_of_the_aggregator_gets_no_lease_and_keeps_its_promise(ahead, pending):
    harness = AggregatorHarness()
    answer = harness.child_report(**ahead)
    assert (answer.lease_ms, answer.pending) == (0.0, pending)
    assert (answer.elsewhere, harness.fetch_requested) == (
        (True, False) if ahead.get("epoch") else (False, True)
    )
    harness.now += 600.0  # the aggregator still lacks the revision or the epoch
    assert harness.child_report(**ahead).elsewhere
    harness.receive_state(NEXT, "prepared", OLD)
    harness.report_and_answer(pending=NEXT)
    answer = harness.child_report(prepared=NEXT)
    assert answer.lease_ms and not answer.elsewhere


def test_acknowledgement_of_an_unknown_revision_counts_once_the_revision_is_received():
    harness = AggregatorHarness()
    harness.child_report()
    assert not harness.child_report(prepared=NEXT).lease_ms
    harness.receive_state(NEXT, "prepared", OLD)
    assert harness.report_requested and harness.build_report().prepared == NEXT


def test_acknowledged_revision_of_an_earlier_epoch_does_not_prevent_a_lease():
    assert AggregatorHarness().child_report(prepared=EPOCH - 7, epoch=EPOCH - 9, acting="safe").lease_ms


def test_objection_is_reported_at_once_with_the_name_of_the_child():
    harness = AggregatorHarness()
    harness.child_report("a")
    harness.receive_state(NEXT, "prepared", OLD)
    answer = harness.child_report("a", objection=Objection(NEXT, "no such class"))
    assert not answer.lease_ms and harness.report_requested
    assert harness.build_report().objections == {"a": "no such class"}
    harness.receive_state(NEXT, "halted", OLD)
    assert harness.build_report().objections == {} and harness.child_report("a").lease_ms


# --- children -------------------------------------------------------------------------------------


def test_arrivals_and_departures_are_repeated_until_a_report_with_them_is_answered():
    harness = AggregatorHarness()
    harness.child_report("a")
    assert harness.build_report().joined == harness.build_report().joined == [Member("a", "p")]
    harness.report_and_answer()
    assert harness.build_report().joined == []
    harness.now += TIMING.expiry_bound_ms + 1.0
    harness.step(events.Tick())
    assert harness.build_report().departed == [Member("a", "p")]
    harness.child_report("a")  # the child returns before its departure was confirmed
    assert (harness.build_report().departed, harness.build_report().joined) == ([], [Member("a", "p")])
    harness.child_report("a", leaving=True)
    report = harness.report_and_answer()
    assert (report.departed, harness.build_report().departed) == ([Member("a", "p")], [])


def test_returned_child_is_not_removed_by_an_answer_that_names_it_as_migrated():
    harness = AggregatorHarness()
    harness.child_report("a")
    harness.report_and_answer()
    sent_ms = harness.now
    seq = harness.build_report().seq
    harness.now += 50.0
    harness.child_report("a")
    harness.answer_report(seq, sent_ms, migrated=[Member("a", "p")])
    assert harness.build_report().joined == [Member("a", "p")]


def test_lists_in_reports_are_bounded_and_resync_repeats_all_arrivals():
    harness = AggregatorHarness(msgspec.structs.replace(TIMING, children_most=5000))
    for number in range(600):
        harness.child_report(f"s{number}", digest="1-x", overrides=["x"], group=f"g{number % 100}")
    harness.receive_state(NEXT, "prepared", OLD)
    joined = []
    for _ in range(3):
        report = harness.report_and_answer(pending=NEXT)
        assert len(report.joined) <= MEMBERS_MOST and len(report.lagging) == LAGGING_MOST
        assert report.children.known == report.children.leased == report.children.lagging == 600
        joined += report.joined
    assert len(set(joined)) == 600 and not harness.build_report().joined
    harness.report_and_answer(resync=True)
    assert len(harness.build_report().joined) == MEMBERS_MOST


def test_two_processes_of_one_name_are_two_children_and_one_sidecar():
    harness = AggregatorHarness()
    harness.child_report("a", "old")
    harness.child_report("a", "new")
    report = harness.build_report()
    assert (report.children.known, report.joined) == (1, [Member("a", "old"), Member("a", "new")])


def test_repeated_or_late_report_of_a_child_gets_no_lease():
    harness = AggregatorHarness()
    harness.child_report("a", seq=5)
    assert not harness.child_report("a", seq=5).lease_ms and not harness.child_report("a", seq=4).lease_ms
    harness.report_and_answer(migrated=[Member("a", "p")])
    assert harness.child_report("a", seq=4).why  # the lease still stores the number of its newest report


def test_child_of_an_older_version_without_process_id_gets_leases():
    harness = AggregatorHarness()
    answer = harness.child_report("a", "", seq=0, epoch=None, newest_revision=OLD, prepared=0, acting=OLD)
    assert answer.lease_ms and answer.order is None and answer.times_left == {}
    # Reports without a process id are accepted with repeated numbers.
    assert harness.child_report("a", "", seq=0, epoch=None).lease_ms


def test_aggregator_leaves_once_all_child_leases_have_ended():
    harness = AggregatorHarness()
    harness.child_report("a")
    harness.step(events.Leave())
    answer = harness.child_report("a")
    assert (answer.lease_ms, answer.elsewhere) == (0.0, True)
    assert not harness.report_and_answer().leaving and not harness.aggregator.may_end()
    harness.now += TIMING.expiry_bound_ms + 1.0
    assert harness.report_and_answer().leaving and harness.aggregator.may_end()


# --- admission ------------------------------------------------------------------------------------


def test_many_newcomers_are_admitted_at_the_configured_rate_and_none_is_starved():
    admission, rng = Admission(TIMING), random.Random(5)
    due = [(1e6, f"s{number}") for number in range(1800)]
    admitted = []
    while due:
        now, name = due.pop(due.index(min(due)))
        wait_ms = admission.retry_ms(now, name, holds_lease=False, known=len(admitted))
        if wait_ms:
            due.append((now + wait_ms * rng.uniform(1.0, 1.05), name))
        else:
            admitted.append(now)
    duration_ms = admitted[-1] - admitted[0]
    least_duration_ms = (1800 - TIMING.newcomers_burst) / TIMING.newcomers_per_s * 1000.0
    assert least_duration_ms - 100.0 <= duration_ms <= least_duration_ms * 1.1
    admitted_per_second = [
        sum(start <= other < start + 1000.0 for other in admitted) for start in admitted[::50]
    ]
    assert max(admitted_per_second) <= (TIMING.newcomers_per_s + TIMING.newcomers_burst) * 1.05


def test_child_with_a_lease_is_admitted_at_once_and_the_number_of_children_is_bounded():
    timing = msgspec.structs.replace(TIMING, newcomers_burst=1, children_most=3)
    harness = AggregatorHarness(timing)
    assert harness.child_report("a", acting="safe").lease_ms
    rejected = harness.child_report("b", acting="safe")
    assert isinstance(rejected, RejectChild) and 0.0 < rejected.retry_ms < 10.0
    # Children that act on a revision have leases of another aggregator, and are admitted at once.
    assert harness.child_report("c").lease_ms and harness.child_report("d").lease_ms
    assert isinstance(harness.child_report("e"), RejectChild)
    assert harness.child_report("a", acting="safe").lease_ms  # already a child, so always admitted
    assert len(harness.aggregator.children(harness.now)) == 3


# --- merged delays, overrides ---------------------------------------------------------------------


def test_histograms_of_children_are_added_and_no_child_outweighs_the_others():
    merged = MergedDelays()
    row = {"region": "r", "window": 1, "span_ms": 1000, "first": {"40": 2, "50": 4}}
    for number in range(10):
        merged.add(0.0, f"s{number}", "g", {"delays": [row, {"region": 5}]})
    merged.add(0.0, "loud", "g", {"delays": [{**row, "first": {"60": 99_999}}]})
    merged.add(0.0, "old", "g", {"delays": "none"})
    assert merged.take(100.0) == {}
    (row,) = merged.take(6000.0)["delays"]
    assert row["first"] == {"40": 20, "50": 40, "60": MAX_CHILD_SAMPLES} and row["children"] == 11
    assert validate_rows([row]).rows and merged.rejected == 11
    assert merged.take(20_000.0) == {}


def test_thinned_histogram_keeps_its_sum_and_its_low_quantiles():
    counts = {bucket: 1 + bucket % 5 for bucket in range(200)}
    thinned_counts = thinned(counts)
    assert len(thinned_counts) <= len(RANKS) == MAX_POINTS and sum(thinned_counts.values()) == sum(
        counts.values()
    )
    assert list(thinned_counts)[:3] == sorted(thinned_counts)[:3] and min(thinned_counts) < 10


@pytest.mark.parametrize("seed", range(20))
def test_child_never_acts_on_an_override_after_its_end_nor_counts_it_as_ended_before(seed):
    """Guard the bounds on an end that is sent over two connections, to clocks of different rates.

    Messages are delayed by up to 900 ms in each direction.
    """
    deadlines = importlib.import_module("brassfall.sidecar.agent.deadlines")
    rng = random.Random(seed)
    end, now = 60_000.0, 0.0  # true time in ms
    rates = [rng.choice((0.99, 1.0, 1.01)) for _ in range(3)]
    override_times, child, child_knows_end = OverrideTimes(), deadlines.Deadlines(), False
    while now < end * 1.1:
        delays = [rng.choice((1.0, rng.uniform(1.0, 900.0))) for _ in range(4)]
        left = int((end - now) * rates[0])
        if left > 0 and (override_times.newest == 0 or override_times.known_for_report(now * rates[1]) == 0):
            override_times.receive(
                (now - delays[0]) * rates[1],
                (now + delays[1]) * rates[1],
                {"o": {"rev": 1, "same_from": 1, "left_ms": left}},
            )
        child_answer_ms = now + delays[1] + delays[2]
        if child.newest_revision == 0 or child.refresh_due(child_answer_ms * rates[2] / 1000.0):
            rows = override_times.for_child(child_answer_ms * rates[1], 0)
            sent_s, received_s = (
                (child_answer_ms - delays[2]) * rates[2] / 1000.0,
                (child_answer_ms + delays[3]) * rates[2] / 1000.0,
            )
            child.receive(sent_s, rows, received_s)
            child_knows_end = child_knows_end or bool(rows)
        now = child_answer_ms + delays[3] + rng.uniform(0.0, 3000.0)
        phase = child.phase("o", 1, now * rates[2] / 1000.0)
        if now >= end:
            assert phase is not deadlines.Phase.IN_FORCE
        elif child.newest_revision:
            assert phase is not deadlines.Phase.OVER  # another sidecar may still act on the override
        row = override_times.for_child(now * rates[1], 0).get("o")
        if row is not None:  # the true end is between the bounds sent to the child
            true_left = (end - now) * rates[1]
            assert row["left_ms"] <= max(0.0, true_left) + 1.0
            assert row["left_ms"] + row["slack_ms"] >= true_left
        else:
            assert now >= end or not override_times.newest
    assert child_knows_end


def test_child_is_reported_when_its_overrides_differ_for_too_long_and_once_more_when_they_match():
    harness = AggregatorHarness()
    place = Place("g", "r")
    place_fields = {"group": "g", "region": "r", "overrides": []}
    harness.child_report("a", digest="0-00000000", **place_fields)
    harness.child_report("old", group="g", region="r")
    assert harness.build_report().places == [place]
    harness.report_and_answer(digests=[PlaceDigest(place, "1-new")])
    for _ in range(3):
        harness.child_report("a", digest="1-new", **place_fields)
        harness.child_report("b", digest="0-00000000", **place_fields)
        assert harness.build_report().exceptions == []
        harness.now += 700.0
    harness.report_and_answer(
        digests=[PlaceDigest(place, "1-new")], orders=[ChildOrder("b", list_overrides=True)]
    )
    answer = harness.child_report("b", digest="0-00000000", **place_fields)
    assert answer.order.list_overrides
    assert [(row.name, row.digest) for row in harness.build_report().exceptions] == [("b", "0-00000000")]
    answer = harness.child_report("b", digest="1-new", acted_overrides={"o": 1}, **place_fields)
    last_rows = harness.build_report().exceptions
    assert [(row.name, row.acted_overrides) for row in last_rows] == [
        ("b", {"o": 1})
    ] and not harness.build_report().exceptions
    assert harness.child_report("b", digest="1-new", **place_fields).order is None


def test_override_exceptions_are_bounded_and_a_blocked_child_gets_no_lease():
    harness = AggregatorHarness()
    place = Place("g", "r")
    for digests in ([], [PlaceDigest(place, "1-new")], []):
        for number in range(100):
            harness.child_report(f"s{number}", digest="x", overrides=[], group="g", region="r")
        harness.now += 1600.0
        harness.report_and_answer(
            digests=digests, orders=[ChildOrder("s1", blocked="it acts on other overrides than are due")]
        )
    assert len(harness.build_report().exceptions) == EXCEPTIONS_MOST
    assert "overrides" in harness.child_report("s1").why
    harness.report_and_answer(orders=[ChildOrder("s1")])
    assert harness.child_report("s1").lease_ms
