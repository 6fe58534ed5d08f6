"""The aggregator's core by itself: leases, membership, admission, what it merges and what it tells."""

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
OLD, NEXT, LATER = EPOCH, EPOCH + 1, EPOCH + 2
TIMING = AggregatorTiming()


class Chain:
    """An aggregator with a lease on `OLD`, what it sends, and what its children are answered."""

    def __init__(self, timing=TIMING):
        self.now = 1e6
        self.core = Aggregator(timing, Identity("p1", "g", "r", "g:1"), self.now)
        self.seqs = itertools.count(1)
        self.lines = []
        self.line(OLD, "committed", OLD)
        self.lease()
        self.urgent = False

    def step(self, event):
        actions = self.core.step(self.now, event)
        self.lines += [action.line for action in actions if isinstance(action, NotifyChildren)]
        self.urgent = any(isinstance(action, ReportNow) for action in actions)
        self.fetches = FetchState() in actions
        return actions

    def line(self, revision, state, committed, epoch=EPOCH):
        line = f"{epoch}/{revision} {state} {committed}".encode()
        return self.step(events.StateReceived(epoch, revision, state, committed, line))

    def report(self):
        (sent,) = self.step(events.ReportDue())
        assert parse_report(msgspec.json.encode(sent.report)) == sent.report
        return sent.report

    def answer(self, seq, asked=None, **fields):
        fields = {"epoch": EPOCH, "revision": OLD, "lease_ms": TIMING.lease_ms, **fields}
        answer = AggregatorLease(seq=seq, **fields)
        return self.step(events.UpstreamAnswered(self.now if asked is None else asked, answer))

    def lease(self, **fields):
        """One report and its answer, at once."""
        report = self.report()
        self.answer(report.seq, **fields)
        return report

    def child(self, name="s", process_id="p", **fields):
        """A child's report; the answer to it."""
        fields = {"seq": next(self.seqs), "epoch": EPOCH, "newest_revision": OLD, "acting": OLD, **fields}
        actions = self.step(events.ChildReported(0, name, Report(process_id=process_id, **fields)))
        return next(action for action in actions if isinstance(action, AnswerChild | RejectChild))


# --- leases ---------------------------------------------------------------------------------------


@pytest.mark.parametrize("rates", list(itertools.product((0.99, 1.01), repeat=3)))
def test_a_childs_lease_is_over_before_the_service_and_the_aggregator_take_it_for_over(rates):
    service, aggregator, child = rates
    chain = Chain()
    asked = chain.now
    for elapsed in (0.0, 1.0, 1500.0, 2690.0, 2699.9):  # of the aggregator's clock, since its asking
        chain.now = asked + elapsed
        made = chain.child()
        assert 0.0 < made.lease_ms == pytest.approx(TIMING.lease_ms - elapsed)
        # True times from the aggregator's asking; the child asked just before it was answered.
        over = elapsed / aggregator + made.lease_ms / child
        assert over <= TIMING.expiry_bound_ms / service + 1e-6
        bound = chain.core.child_leases_until_ms
        assert over <= (bound - asked) / aggregator + 1e-6
    chain.now = asked + TIMING.lease_ms
    made = chain.child()
    assert (made.lease_ms, made.elsewhere) == (0.0, True) and made.why


def test_an_overtaken_answer_prolongs_nothing_and_a_lower_epoch_is_not_heeded():
    chain = Chain()
    first, asked = chain.report(), chain.now
    chain.now += 1000.0
    second = chain.report()
    chain.answer(second.seq, revision=OLD)
    left = chain.core.lease_left_ms(chain.now)
    chain.answer(first.seq, asked, pending=NEXT)
    assert (chain.core.lease_left_ms(chain.now), chain.core.pending) == (left, 0)
    chain.answer(chain.report().seq, epoch=EPOCH - 1, revision=LATER)
    assert (chain.core.epoch, chain.core.committed) == (EPOCH, OLD)
    chain.answer(chain.report().seq + 1, revision=NEXT)  # to a report that was never made
    assert chain.core.committed == OLD


def test_a_later_epoch_ends_the_lease_and_one_that_is_gone_for_good_is_left():
    chain = Chain()
    chain.line(OLD, "committed", OLD, epoch=EPOCH + 5)
    assert chain.core.epoch == EPOCH + 5 and not chain.core.lease_left_ms(chain.now)
    assert not chain.child().lease_ms
    for _ in range(49):
        chain.now += 250.0
        assert chain.core.epoch == EPOCH + 5
        chain.answer(chain.report().seq)
    assert chain.core.epoch == EPOCH and chain.core.lease_left_ms(chain.now)


def test_after_a_gap_it_catches_up_with_revision_and_list_before_it_grants():
    chain = Chain()
    chain.now += 5000.0
    chain.lease(revision=NEXT, list_index=7)
    assert "catching up" in chain.child().why
    chain.line(NEXT, "committed", NEXT)
    assert "catching up" in chain.child().why
    chain.step(events.ListReceived(7, chain.now))
    assert chain.child().lease_ms
    assert chain.report().list_index == 7
    chain.lease(revision=NEXT, list_index=9)  # the list goes on while the lease is held
    assert chain.child().lease_ms


def test_what_an_answer_names_and_is_not_here_is_fetched():
    chain = Chain()
    actions = chain.answer(chain.report().seq, pending=NEXT)
    assert FetchState() in actions and chain.core.pending == NEXT
    assert FetchState() not in chain.answer(chain.report().seq, pending=NEXT)  # asked a moment ago
    chain.line(NEXT, "prepared", OLD)
    chain.now += 500.0
    assert FetchState() not in chain.answer(chain.report().seq, pending=NEXT)
    # A halt that no line told: the service knew that it is known here, and names it no more.
    chain.answer(chain.report().seq, pending=0)
    assert chain.core.pending == 0
    assert not chain.line(NEXT, "prepared", OLD) and chain.core.pending == 0  # a line that was late


def test_an_answer_without_a_lease_ends_nothing_that_is_pending():
    chain = Chain()
    chain.line(NEXT, "prepared", OLD)
    chain.lease(pending=NEXT)
    chain.now += 500.0
    actions = chain.answer(chain.report().seq, lease_ms=0.0, why="a newer process of its name reports")
    assert chain.core.pending == NEXT and FetchState() in actions
    assert chain.child(prepared=NEXT).pending == NEXT
    chain.lease()
    assert chain.core.pending == 0


def test_children_are_sent_on_in_time_where_answers_stop():
    chain = Chain()
    assert not chain.child().elsewhere
    chain.now += TIMING.elsewhere_after_ms + 1.0
    made = chain.child()
    assert made.lease_ms > 1000.0 and made.elsewhere


# --- what is pending ------------------------------------------------------------------------------


def test_a_revision_is_claimed_once_all_that_may_act_have_acknowledged_it_by_name():
    chain = Chain()
    for name in ("a", "b", "c"):
        assert chain.child(name).lease_ms
    chain.line(NEXT, "prepared", OLD)
    report = chain.report()
    assert (report.acknowledged, report.prepared, sorted(report.lagging)) == (NEXT, 0, ["a", "b", "c"])
    assert chain.child("a", prepared=NEXT).lease_ms and not chain.urgent
    assert "not acknowledged" in chain.child("b").why
    # Two newcomers that acknowledge stand for none of those that lag; nor does another process of one.
    assert chain.child("d", prepared=NEXT).lease_ms and chain.child("b", "p2", prepared=NEXT).lease_ms
    chain.child("c", prepared=NEXT)
    assert chain.report().prepared == 0
    chain.child("b", prepared=NEXT)
    assert chain.urgent and chain.report().prepared == NEXT
    assert not chain.child("e").lease_ms and chain.report().prepared == NEXT


def test_one_that_is_silent_or_has_migrated_is_waited_for_until_its_lease_is_over():
    chain = Chain()
    chain.child("a")
    chain.child("b")
    chain.line(NEXT, "prepared", OLD)
    chain.child("a", prepared=NEXT)
    chain.now += 100.0
    chain.lease(pending=NEXT, migrated=[Member("b", "p")])
    assert "b" not in [row.name for row in chain.core.children(chain.now)]
    for _ in range(10):
        chain.now += 250.0
        chain.child("a", prepared=NEXT)
        assert chain.lease(pending=NEXT).prepared == 0
    chain.now = 1e6 + TIMING.expiry_bound_ms + 1.0
    chain.step(events.Tick())
    assert chain.urgent and chain.report().prepared == NEXT


def test_children_are_notified_of_a_commit_with_a_lease_on_it_or_after_a_bounded_wait():
    chain = Chain()
    chain.line(NEXT, "prepared", OLD)
    assert chain.lines[-1] == f"{EPOCH}/{NEXT} prepared {OLD}".encode()  # at once
    chain.line(NEXT, "committed", NEXT)
    assert chain.urgent and b"committed" not in chain.lines[-1]
    assert not chain.child(prepared=NEXT).lease_ms  # the lease on the one before is good for nothing now
    chain.lease(revision=NEXT)
    assert chain.lines[-1] == f"{EPOCH}/{NEXT} committed {NEXT}".encode()
    assert chain.child(prepared=NEXT).lease_ms
    chain.line(LATER, "committed", LATER)
    chain.now += TIMING.commit_message_wait_ms
    chain.step(events.Tick())
    assert chain.lines[-1] == f"{EPOCH}/{LATER} committed {LATER}".encode()


@pytest.mark.parametrize(
    ("ahead", "pending"),
    [
        ({"prepared": NEXT}, NEXT),
        ({"acting": NEXT}, 0),
        ({"epoch": EPOCH + 1}, 0),
        ({"prepared": NEXT, "epoch": 0}, NEXT),
    ],
)
def test_a_child_that_knows_more_gets_no_lease_and_keeps_its_promise(ahead, pending):
    chain = Chain()
    made = chain.child(**ahead)
    assert (made.lease_ms, made.pending) == (0.0, pending)
    assert (made.elsewhere, chain.fetches) == ((True, False) if ahead.get("epoch") else (False, True))
    chain.now += 600.0  # it does not catch up
    assert chain.child(**ahead).elsewhere
    chain.line(NEXT, "prepared", OLD)
    chain.lease(pending=NEXT)
    made = chain.child(prepared=NEXT)
    assert made.lease_ms and not made.elsewhere


def test_a_promise_of_what_is_not_known_yet_counts_once_it_is():
    chain = Chain()
    chain.child()
    assert not chain.child(prepared=NEXT).lease_ms
    chain.line(NEXT, "prepared", OLD)
    assert chain.urgent and chain.report().prepared == NEXT


def test_a_promise_of_an_epoch_that_is_over_is_no_reason():
    assert Chain().child(prepared=EPOCH - 7, epoch=EPOCH - 9, acting="safe").lease_ms


def test_an_objection_goes_up_at_once_by_the_childs_name():
    chain = Chain()
    chain.child("a")
    chain.line(NEXT, "prepared", OLD)
    made = chain.child("a", objection=Objection(NEXT, "no such class"))
    assert not made.lease_ms and chain.urgent
    assert chain.report().objections == {"a": "no such class"}
    chain.line(NEXT, "halted", OLD)
    assert chain.report().objections == {} and chain.child("a").lease_ms


# --- children -------------------------------------------------------------------------------------


def test_arrivals_and_departures_are_repeated_until_a_report_with_them_is_answered():
    chain = Chain()
    chain.child("a")
    assert chain.report().joined == chain.report().joined == [Member("a", "p")]
    chain.lease()
    assert chain.report().joined == []
    chain.now += TIMING.expiry_bound_ms + 1.0
    chain.step(events.Tick())
    assert chain.report().departed == [Member("a", "p")]
    chain.child("a")  # it is back before that was answered
    assert (chain.report().departed, chain.report().joined) == ([], [Member("a", "p")])
    chain.child("a", leaving=True)
    lease = chain.lease()
    assert (lease.departed, chain.report().departed) == ([Member("a", "p")], [])


def test_one_that_came_back_is_not_dropped_by_an_answer_that_knows_it_elsewhere():
    chain = Chain()
    chain.child("a")
    chain.lease()
    asked = chain.now
    seq = chain.report().seq
    chain.now += 50.0
    chain.child("a")
    chain.answer(seq, asked, migrated=[Member("a", "p")])
    assert chain.report().joined == [Member("a", "p")]


def test_reports_are_bounded_and_a_service_that_knows_nothing_hears_all_children_anew():
    chain = Chain(msgspec.structs.replace(TIMING, children_most=5000))
    for number in range(600):
        chain.child(f"s{number}", digest="1-x", overrides=["x"], group=f"g{number % 100}")
    chain.line(NEXT, "prepared", OLD)
    joined = []
    for _ in range(3):
        report = chain.lease(pending=NEXT)
        assert len(report.joined) <= MEMBERS_MOST and len(report.lagging) == LAGGING_MOST
        assert report.children.known == report.children.leased == report.children.lagging == 600
        joined += report.joined
    assert len(set(joined)) == 600 and not chain.report().joined
    chain.lease(resync=True)
    assert len(chain.report().joined) == MEMBERS_MOST


def test_two_processes_of_one_name_are_two_children_and_one_sidecar():
    chain = Chain()
    chain.child("a", "old")
    chain.child("a", "new")
    report = chain.report()
    assert (report.children.known, report.joined) == (1, [Member("a", "old"), Member("a", "new")])


def test_a_repeated_or_overtaken_report_of_a_child_gets_nothing():
    chain = Chain()
    chain.child("a", seq=5)
    assert not chain.child("a", seq=5).lease_ms and not chain.child("a", seq=4).lease_ms
    chain.lease(migrated=[Member("a", "p")])
    assert chain.child("a", seq=4).why  # its lease is known still, and with it its newest report


def test_a_child_of_an_older_version_gets_what_it_understands():
    chain = Chain()
    made = chain.child("a", "", seq=0, epoch=None, newest_revision=OLD, prepared=0, acting=OLD)
    assert made.lease_ms and made.order is None and made.times_left == {}
    assert chain.child("a", "", seq=0, epoch=None).lease_ms  # without a process id, each report counts


def test_it_leaves_once_nothing_that_it_granted_runs():
    chain = Chain()
    chain.child("a")
    chain.step(events.Leave())
    made = chain.child("a")
    assert (made.lease_ms, made.elsewhere) == (0.0, True)
    assert not chain.lease().leaving and not chain.core.may_end()
    chain.now += TIMING.expiry_bound_ms + 1.0
    assert chain.lease().leaving and chain.core.may_end()


# --- admission ------------------------------------------------------------------------------------


def test_a_flood_of_newcomers_is_admitted_at_the_rate_set_and_nobody_is_starved():
    admission, rng = Admission(TIMING), random.Random(5)
    due = [(1e6, f"s{number}") for number in range(1800)]
    admitted = []
    while due:
        now, name = due.pop(due.index(min(due)))
        retry = admission.retry_ms(now, name, holds_lease=False, known=len(admitted))
        if retry:
            due.append((now + retry * rng.uniform(1.0, 1.05), name))
        else:
            admitted.append(now)
    spread = admitted[-1] - admitted[0]
    least = (1800 - TIMING.newcomers_burst) / TIMING.newcomers_per_s * 1000.0
    assert least - 100.0 <= spread <= least * 1.1
    in_a_second = [sum(at <= other < at + 1000.0 for other in admitted) for at in admitted[::50]]
    assert max(in_a_second) <= (TIMING.newcomers_per_s + TIMING.newcomers_burst) * 1.05


def test_who_holds_a_lease_goes_first_and_the_number_of_children_is_bounded():
    timing = msgspec.structs.replace(TIMING, newcomers_burst=1, children_most=3)
    chain = Chain(timing)
    assert chain.child("a", acting="safe").lease_ms
    rejected = chain.child("b", acting="safe")
    assert isinstance(rejected, RejectChild) and 0.0 < rejected.retry_ms < 10.0
    assert chain.child("c").lease_ms and chain.child("d").lease_ms  # from another aggregator
    assert isinstance(chain.child("e"), RejectChild)
    assert chain.child("a", acting="safe").lease_ms  # known
    assert len(chain.core.children(chain.now)) == 3


# --- measures, overrides --------------------------------------------------------------------------


def test_histograms_of_children_add_up_and_none_outweighs_others():
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


def test_a_wide_histogram_keeps_its_sum_and_its_low_quantiles():
    counts = {bucket: 1 + bucket % 5 for bucket in range(200)}
    found = thinned(counts)
    assert len(found) <= len(RANKS) == MAX_POINTS and sum(found.values()) == sum(counts.values())
    assert list(found)[:3] == sorted(found)[:3] and min(found) < 10


@pytest.mark.parametrize("seed", range(20))
def test_no_child_acts_on_an_override_after_its_end_nor_takes_it_for_over_before(seed):
    """The service's time left through two clocks of any rate, and ways of up to a second."""
    deadlines = importlib.import_module("brassfall.sidecar.agent.deadlines")
    rng = random.Random(seed)
    end, now = 60_000.0, 0.0  # true ms
    rates = [rng.choice((0.99, 1.0, 1.01)) for _ in range(3)]
    times, child, knows = OverrideTimes(), deadlines.Deadlines(), False
    while now < end * 1.1:
        delays = [rng.choice((1.0, rng.uniform(1.0, 900.0))) for _ in range(4)]
        left = int((end - now) * rates[0])
        if left > 0 and (times.newest == 0 or times.known_for_report(now * rates[1]) == 0):
            times.receive(
                (now - delays[0]) * rates[1],
                (now + delays[1]) * rates[1],
                {"o": {"rev": 1, "same_from": 1, "left_ms": left}},
            )
        at = now + delays[1] + delays[2]
        if child.newest_revision == 0 or child.refresh_due(at * rates[2] / 1000.0):
            rows = times.for_child(at * rates[1], 0)
            asked, heard = ((at - delays[2]) * rates[2] / 1000.0, (at + delays[3]) * rates[2] / 1000.0)
            child.receive(asked, rows, heard)
            knows = knows or bool(rows)
        now = at + delays[3] + rng.uniform(0.0, 3000.0)
        phase = child.phase("o", 1, now * rates[2] / 1000.0)
        if now >= end:
            assert phase is not deadlines.Phase.IN_FORCE
        elif child.newest_revision:
            assert phase is not deadlines.Phase.OVER  # another may act on it still
        row = times.for_child(now * rates[1], 0).get("o")
        if row is not None:  # the true end lies between the two bounds that are told
            true_left = (end - now) * rates[1]
            assert row["left_ms"] <= max(0.0, true_left) + 1.0
            assert row["left_ms"] + row["slack_ms"] >= true_left
        else:
            assert now >= end or not times.newest
    assert knows


def test_only_children_that_differ_for_too_long_are_named_and_once_more_when_they_do_not():
    chain = Chain()
    place = Place("g", "r")
    place_fields = {"group": "g", "region": "r", "overrides": []}
    chain.child("a", digest="0-00000000", **place_fields)
    chain.child("old", group="g", region="r")
    assert chain.report().places == [place]
    chain.lease(digests=[PlaceDigest(place, "1-new")])
    for _ in range(3):
        chain.child("a", digest="1-new", **place_fields)
        chain.child("b", digest="0-00000000", **place_fields)
        assert chain.report().exceptions == []
        chain.now += 700.0
    chain.lease(digests=[PlaceDigest(place, "1-new")], orders=[ChildOrder("b", list_overrides=True)])
    made = chain.child("b", digest="0-00000000", **place_fields)
    assert made.order.list_overrides
    assert [(row.name, row.digest) for row in chain.report().exceptions] == [("b", "0-00000000")]
    made = chain.child("b", digest="1-new", acted_overrides={"o": 1}, **place_fields)
    last = chain.report().exceptions
    assert [(row.name, row.acted_overrides) for row in last] == [
        ("b", {"o": 1})
    ] and not chain.report().exceptions
    assert chain.child("b", digest="1-new", **place_fields).order is None


def test_exceptions_are_bounded_and_a_blocked_child_gets_no_lease():
    chain = Chain()
    place = Place("g", "r")
    for digests in ([], [PlaceDigest(place, "1-new")], []):
        for number in range(100):
            chain.child(f"s{number}", digest="x", overrides=[], group="g", region="r")
        chain.now += 1600.0
        chain.lease(
            digests=digests, orders=[ChildOrder("s1", blocked="it acts on other overrides than are due")]
        )
    assert len(chain.report().exceptions) == EXCEPTIONS_MOST
    assert "overrides" in chain.child("s1").why
    chain.lease(orders=[ChildOrder("s1")])
    assert chain.child("s1").lease_ms
