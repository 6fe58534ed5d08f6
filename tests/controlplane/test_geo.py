"""Delays out of what passes anyway: the sidecar's sketch, evidence, the model, the plan and its publisher."""

from __future__ import annotations

import heapq
import itertools
import json
import math
import random
from dataclasses import replace
from types import MappingProxyType

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassfall.controlplane.geo import evidence, levels, model, plan, planner, positions, publisher, sketches
from brassfall.lab import geo
from brassfall.lab.models import delays as worlds
from brassfall.lab.models import steered
from brassfall.sidecar.agent import delays

# --- the sidecar's sketch ---------------------------------------------------------------------------------


def test_buckets_are_the_same_on_both_sides():
    assert (delays.BUCKET_RATIO, delays.MIN_DELAY_MS, delays.BUCKETS) == (
        evidence.BUCKET_WIDTH,
        evidence.MIN_DELAY_MS,
        evidence.BUCKETS,
    )
    for ms in (0.05, 1.0, 33.3, 59_999.0):
        assert evidence.bucket_middle_ms(delays.bucket(ms)) == pytest.approx(ms, rel=0.026)


def test_a_sketch_leaves_out_what_says_nothing_of_the_network():
    sketch = delays.DelaySketches("west-1")
    sketch.count_handshake("a", 300.0, cold=True)
    for ms, spent in ((math.nan, 0.0), (5.0, 9.0), (1e9, 0.0), (math.inf, 0.0), (5.0, math.nan)):
        sketch.count_first_byte("a", ms, spent)
    assert sketch.take_rows(1.0) == []
    sketch.count_first_byte("a", 30.0, 10.0)
    (row,) = sketch.take_rows(1.0 + delays.MIN_ROW_INTERVAL_S)
    assert not evidence.validate_rows([row]).rejected
    assert row == {
        "region": "a",
        "window": 2,
        "span_ms": round(delays.MIN_ROW_INTERVAL_S * 1000.0),
        "first": {str(delays.bucket(20.0)): 1},
    }


def test_the_first_window_of_a_process_on_any_clock_is_good():
    sketch = delays.DelaySketches("west-1")
    sketch.count_first_byte("a", 30.0, 10.0)
    assert not evidence.validate_rows(sketch.take_rows(9e9)).rejected


def test_reports_are_small_and_what_waits_is_reported_later():
    sketch = delays.DelaySketches("west-1")
    reported: set[str] = set()
    for turn in range(6):
        for region, k in itertools.product("abcdefghijkl", range(40)):
            sketch.count_first_byte(region, 5.0 * 1.1**k, 0.0)
        rows = sketch.take_rows((turn + 1.0) * delays.MIN_ROW_INTERVAL_S)
        assert len(json.dumps(rows, separators=(",", ":"))) <= delays.REPORT_BYTES
        assert not evidence.validate_rows(rows).rejected
        reported |= {str(row["region"]) for row in rows}
    assert reported == set("abcdefghijkl")


def test_thinning_keeps_the_low_quantiles_and_all_counts():
    counts = {k: 1 + k % 7 for k in range(20, 140)}
    thin = {int(k): n for k, n in delays.thinned(counts).items()}
    assert len(thin) <= 4 and sum(thin.values()) == sum(counts.values())

    def low(points, part):
        return sketches.quantile([(k, float(n)) for k, n in sorted(points.items())], part)

    assert low(thin, 0.05) == pytest.approx(low(counts, 0.05), rel=0.05)


# --- evidence ----------------------------------------------------------------------------------------------

sketch_counts = st.dictionaries(st.integers(0, 286).map(str), st.integers(1, 9), min_size=1, max_size=3)
reports = st.lists(
    st.tuples(
        st.sampled_from("ef"), st.sampled_from("12"), st.sampled_from("ab"), st.integers(0, 40), sketch_counts
    ),
    max_size=25,
    unique_by=lambda reported: reported[:4],
)


NOTHING = evidence.State()


GROUP_OF = {"e": "g", "f": "h"}


def merged(reported, state=NOTHING, now=5.0):
    for node, incarnation, region, window, sketch in reported:
        row = {"region": region, "window": window, "span_ms": 900, "shake": {}, "first": sketch}
        state = evidence.merge(state, node, incarnation, GROUP_OF[node], [row], now)
    return state


@settings(max_examples=150, deadline=None)
@given(reports, st.randoms(use_true_random=False))
def test_evidence_does_not_depend_on_order_or_repetition(reported, rng):
    once = merged(reported)
    again = [*reported, *rng.choices(reported, k=5)] if reported else []
    rng.shuffle(again)
    assert merged(again) == once
    assert merged(reported, once, now=99.0) == once  # a replay later is not fresh


def test_a_node_that_reports_more_has_no_more_rows_and_an_old_window_does_not_come_back():
    rows = [("e", "1", "a", window, {"100": 1}) for window in range(40)]
    state = merged(rows)
    assert list(state.nodes["e"]["1", "g"]["a"]) == list(range(24, 40))
    assert merged(rows[:20], state, now=9.0) == state


@settings(max_examples=100, deadline=None)
@given(reports)
def test_no_node_outweighs_the_others(reported):
    for each in levels.node_levels(evidence.by_pair(merged(reported))).values():
        assert all(level.weight <= 1.0 for level in each.values())


GOOD = {"region": "a", "window": 1, "span_ms": 1000, "shake": {}, "first": {"100": 3}}


@pytest.mark.parametrize(
    ("row", "reason"),
    [
        (None, "row"),
        ({}, "region"),
        (GOOD | {"region": 7}, "region"),
        (GOOD | {"region": "x" * 999}, "region"),
        (GOOD | {"window": -1}, "window"),
        (GOOD | {"window": 2**60}, "window"),
        (GOOD | {"window": True}, "window"),
        (GOOD | {"span_ms": math.nan}, "span_ms"),
        (GOOD | {"span_ms": math.inf}, "span_ms"),
        (GOOD | {"first": [1]}, "first"),
        (GOOD | {"first": {"287": 1}}, "first"),
        (GOOD | {"first": {"-1": 1}}, "first"),
        (GOOD | {"first": {"1": math.nan}}, "first"),
        (GOOD | {"first": {"1": 10**9}}, "first"),
        (GOOD | {"shake": {str(k): 1 for k in range(200)}}, "shake"),
        (GOOD | {"first": {}}, "empty"),
    ],
)
def test_a_malformed_row_is_refused_by_reason_and_the_others_count(row, reason):
    validated = evidence.validate_rows([row, GOOD])
    assert validated.rejected == {reason: 1} and len(validated.rows) == 1
    state = evidence.merge(evidence.State(), "e", "1", "g", [row], 1.0)
    assert state == evidence.State()


@pytest.mark.parametrize("rows", [None, 3, "rows", {"a": 1}, [GOOD] * 5000])
def test_a_report_of_any_shape_is_survived(rows):
    assert sum(evidence.validate_rows(rows).rejected.values()) > 0
    evidence.merge(evidence.State(), "e", "1", "g", rows, math.nan)


# --- the model ---------------------------------------------------------------------------------------------

SMALL = worlds.WorldTerms(groups=12, regions=6, measured=0.5, nonsense=0.0)


def observed(world, pairs, start, until, state):
    """The state after so many seconds of requests, a report a second."""
    for second in range(start, until):
        worlds.send_requests(world, pairs, 1.0)
        for node, incarnation, group, rows in worlds.reports(world, second + 1.0):
            state = evidence.merge(state, node, incarnation, group, rows, second + 1.0)
    return state


def pair_of(pairs, names):
    return next(pair for pair in pairs if (pair.group, pair.region) == names)


def sampled(seed, **terms):
    return worlds.sample_world(seed, replace(SMALL, **terms), delays.DelaySketches)


def errors(world, pairs, measured):
    return sorted(
        abs(p.delay_ms / world.true_ms[p.group, p.region] - 1.0) for p in pairs if p.measured == measured
    )


@pytest.mark.parametrize("seed", [3])
def test_delays_are_found_though_a_third_of_the_nodes_report_nonsense(seed):
    world = worlds.sample_world(
        seed, worlds.WorldTerms(), delays.DelaySketches
    )  # a third of the pairs and of the nodes
    pairs = model.estimate(
        observed(world, world.measured, 0, 12, evidence.State()), 12.0, world.groups, world.regions
    )
    measured, unmeasured = errors(world, pairs, True), errors(world, pairs, False)
    assert measured[len(measured) // 2] < 0.10
    assert unmeasured[len(unmeasured) // 2] < 0.25
    inside = [p.low_ms <= world.true_ms[p.group, p.region] <= p.high_ms for p in pairs]
    assert sum(inside) / len(inside) > 0.8


@pytest.mark.parametrize("times", [1.5, 0.6])
def test_a_change_by_half_is_seen_within_10_s_and_a_pair_that_did_not_change_stays(times):
    world = sampled(6, groups=5, regions=4)
    changed, same = world.measured[0], world.measured[-1]
    state = observed(world, world.measured, 0, 30, evidence.State())
    world.true_ms[changed] *= times
    made = None
    for now in range(30, 55):
        state = observed(world, world.measured, now, now + 1, state)
        made = model.update_estimate(state, now + 1.0, before=made)
        for names in (changed, same) if now >= 36 else ():  # and it is not lost again
            assert pair_of(made.pairs, names).delay_ms == pytest.approx(world.true_ms[names], rel=0.12)


@pytest.mark.parametrize("handshakes", [0.3, 0.02])  # many connections are opened meanwhile, or hardly any
def test_a_queue_ten_times_as_long_as_the_delay_is_not_distance(handshakes):
    world = sampled(5, handshakes=0.3)
    region = world.regions[0]
    state = observed(world, world.measured, 0, 20, evidence.State())
    world.load[region], world.reports_work[region] = 0.97, False
    world.terms = replace(world.terms, handshakes=handshakes)
    for start, end in ((20, 24), (24, 32)):
        state = observed(world, world.measured, start, end, state)
        pairs = model.estimate(state, float(end))
        for names in (pair for pair in world.measured if pair[1] == region):
            assert pair_of(pairs, names).delay_ms == pytest.approx(world.true_ms[names], rel=0.12)


def test_a_pair_that_is_no_longer_measured_grows_uncertain_and_older():
    world = sampled(6)
    state = observed(world, world.measured, 0, 12, evidence.State())
    widths, ages = [], []
    for now in (12.0, 120.0, 1200.0):
        pair = pair_of(model.estimate(state, now), world.measured[0])
        widths.append(pair.high_ms / pair.low_ms)
        ages.append(pair.age_ms)
    assert widths == sorted(widths) and widths[-1] > 1.2 * widths[0]
    assert ages[-1] == pytest.approx(ages[0] + 1_188_000.0)


def test_a_group_of_one_node_with_ten_requests_a_minute_has_its_estimate():
    world = sampled(7)
    names = world.measured[0]
    world.nodes[names[0]] = world.nodes[names[0]][:1]
    others = [pair for pair in world.measured if pair[0] != names[0]]
    state = observed(world, others, 0, 4, evidence.State())
    sketch = delays.DelaySketches(names[0])
    for number in range(10):
        sketch.count_first_byte(names[1], world.true_ms[names] * (1.0 + 0.02 * number), 0.0)
        state = evidence.merge(state, "lone", "1", names[0], sketch.take_rows(6.0 * number), 6.0 * number)
    pair = pair_of(model.estimate(state, 60.0), names)
    assert pair.nodes == 1
    assert pair.low_ms <= world.true_ms[names] <= pair.high_ms * 1.02


def test_a_region_and_a_group_that_nobody_measured_are_guessed_with_wide_intervals():
    world = sampled(8)
    state = observed(world, world.measured, 0, 12, evidence.State())
    pairs = model.estimate(state, 12.0, [*world.groups, "new"], [*world.regions, "far"])
    new = pair_of(pairs, (world.measured[0][0], "far"))
    known = [pair for pair in pairs if pair.group == new.group and pair.region != "far"]
    assert not new.measured and new.age_ms is None
    assert sum(new.low_ms <= pair.delay_ms <= new.high_ms for pair in known) >= 0.8 * len(known)
    assert pair_of(pairs, ("new", "far")).nodes == 0
    assert model.estimate(evidence.State(), 0.0, ["new"], ["far"]) == []


@settings(max_examples=40, deadline=None)
@given(reports, st.floats(0, 1e6))
def test_any_evidence_at_all_gives_estimates_that_can_be_used(reported, now):
    state = merged(reported)
    pairs = model.estimate(state, now)
    for pair in pairs:
        assert 0.0 < pair.low_ms <= pair.delay_ms <= pair.high_ms < math.inf
    assert {p.region for p in model.estimate(state, now, regions=["a"])} <= {"a"}  # no name is made up
    made = None
    for closed in ((), ("a",), ()):
        inputs = planner.PlanInputs(pairs, {"g": 5.0, "h": 1.0}, {"a": 10.0, "b": 1.0}, closed=closed)
        made = planner.make_plan(inputs, planner.PlanPolicy(0.1, 0.1, 0.01), made)
        for row in made.shares.values():
            assert sum(row.values()) == pytest.approx(1.0) or not any(row.values())
            assert all(0.0 <= share <= 1.0 + 1e-9 for share in row.values())


def test_what_was_never_measured_is_guessed_like_its_siblings():
    reported = {
        (g, r): (math.log(ms), 0.05) for g in "gh" for r, ms in zip("abc", (10.0, 30.0, 90.0), strict=True)
    }
    guesses = positions.fit_positions(reported, ["g", "h", "new"], ["a", "b", "c", "far"]).predictions
    for names in (("g", "far"), ("new", "far")):
        assert math.exp(guesses[names].log_ms) == pytest.approx(30.0, rel=0.3)
        assert guesses[names].sd > 0.5
    assert math.exp(guesses["new", "c"].log_ms) > 2.0 * math.exp(guesses["new", "a"].log_ms)


# --- the plan ----------------------------------------------------------------------------------------------


NOTHING_RAMPED = MappingProxyType({})


def plans(loop, before, count, ramps=NOTHING_RAMPED, closed=()):
    """So many plans, each on what the one before it caused."""
    made = []
    for _ in range(count):
        capacity = {r: each * ramps.get(r, 1.0) for r, each in loop.open_capacity().items()}
        inputs = planner.PlanInputs(loop.observe(before), loop.demand, capacity, closed=closed)
        before = planner.make_plan(inputs, planner.PlanPolicy(0.05, 0.1, 0.01), before)
        made.append(before)
    return made


def sums(made):
    return [sum(row.values()) for row in made.shares.values()]


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
@pytest.mark.parametrize("load", [0.4, 0.75])
def test_a_plan_does_not_swing_though_delay_follows_load(seed, load):
    loop = steered.sample_loop(seed, load=load)
    made = plans(loop, None, 50)
    assert sums(made[-1]) == pytest.approx([1.0] * 6)
    assert all(max(loop.load(each.shares).values()) <= 0.86 for each in made)
    assert max(each.shift for each in made[1:]) <= 0.1 + 1e-6
    assert sum(each.shift for each in made[-20:]) < 0.1


def test_a_group_that_all_moves_moves_by_steps_and_stays():
    loop = steered.sample_loop(1, load=0.3)
    made = plans(loop, None, 20)
    group = "g0"
    best = max(made[-1].shares[group], key=made[-1].shares[group].get)
    loop.network_ms[group, best] += 500.0
    after = plans(loop, made[-1], 40)
    shares = [each.shares[group][best] for each in after]
    assert all(0.0 <= a - b <= 0.1 + 1e-6 for a, b in itertools.pairwise(shares))  # never back
    assert shares[-1] == pytest.approx(0.0, abs=0.01)


def test_a_lost_region_loses_all_at_once_and_pushes_no_other_over():
    loop = steered.sample_loop(2, groups=8, regions=4, load=0.5)
    made = plans(loop, None, 20)
    loads = loop.load(made[-1].shares)
    lost = max(loads, key=lambda r: loads[r] * loop.capacity[r])
    loop.down.add(lost)
    after = plans(loop, made[-1], 10)
    assert all(row[lost] == 0.0 for row in after[0].shares.values())
    assert all(max(loop.load(each.shares).values()) <= 0.86 for each in after)
    assert sums(after[0]) == pytest.approx([1.0] * 8)
    loop.down.clear()
    back = []
    for turn in range(15):  # it returns cold: an edition every 3 s
        ramps = {lost: plan.capacity_ramp(3.0 * turn)}
        back += plans(loop, back[-1] if back else after[-1], 1, ramps=ramps)
        assert loop.load(back[-1].shares)[lost] <= 0.86 * ramps[lost]
    assert loop.load(back[0].shares)[lost] <= 0.1
    assert loop.load(back[-1].shares)[lost] == pytest.approx(loads[lost], abs=0.15)


def test_a_region_is_eased_in_only_after_it_was_away():
    first = plan.open_since({}, {"a": 5.0, "b": 5.0}, 100.0)
    assert [plan.capacity_ramp(100.0 - first[region]) for region in "ab"] == [
        1.0,
        1.0,
    ]  # a service that has just started
    away = plan.open_since(first, {"a": 5.0, "b": 0.0}, 110.0)
    back = plan.open_since(away, {"a": 5.0, "b": 5.0}, 120.0)
    assert plan.open_since(back, {"a": 5.0, "b": 5.0}, 125.0) == back
    assert plan.capacity_ramp(125.0 - back["a"]) == 1.0
    assert plan.capacity_ramp(125.0 - back["b"]) == pytest.approx(0.25)


def test_closed_regions_get_nothing_and_with_none_open_there_are_no_shares():
    loop = steered.sample_loop(3)
    made = plans(loop, None, 2, closed=("r0",))
    assert all(row["r0"] == 0.0 for row in made[-1].shares.values())
    nothing = plans(loop, made[-1], 1, closed=("r0", "r1", "r2"))[0]
    assert not any(share for row in nothing.shares.values() for share in row.values())
    assert sums(plans(loop, nothing, 1)[0]) == pytest.approx([1.0] * 6)


def test_a_new_region_that_nobody_measured_is_looked_at_and_not_pushed_over():
    loop = steered.sample_loop(4)
    made = plans(loop, None, 10)
    assert made[-1].exploration == 0.0  # all is known
    loop.unmeasured.add("r2")
    after = plans(loop, made[-1], 10)
    assert after[-1].exploration == 0.01
    assert max(loop.load(after[-1].shares).values()) <= 0.86


def test_price_floor_and_capacity_are_kept():
    loop = steered.sample_loop(5, load=0.2)
    pairs = loop.observe(None)
    prices = {(f"g{i}", "r0"): 1e4 for i in range(6)}
    policy = planner.PlanPolicy(0.1, 0.1, 0.01)
    free = planner.make_plan(planner.PlanInputs(pairs, loop.demand, loop.capacity), policy, None)
    priced = planner.PlanInputs(pairs, loop.demand, loop.capacity, prices=prices)
    dear = planner.make_plan(priced, policy, None)
    assert max(share for row in free.shares.values() for share in row.values()) <= 0.9 + 1e-6
    assert loop.load(dear.shares)["r0"] < 0.01 < loop.load(free.shares)["r0"]
    short = {r: each / 8.0 for r, each in loop.capacity.items()}  # 1.6 times what there is: all suffer alike
    inputs = planner.PlanInputs(pairs, loop.demand, short)
    loads = loop.load(planner.make_plan(inputs, planner.PlanPolicy(0.0, 0.1, 0.01), None).shares)
    assert max(loads.values()) / min(loads.values()) < 1.05


@pytest.mark.parametrize(
    ("age_ms", "counts"), [(0, 1.0), (15_000, 1.0), (22_500, 0.5), (30_000, 0.0), (1e9, 0.0), (math.nan, 0.0)]
)
def test_an_old_plan_fades_in_bounded_time(age_ms, counts):
    assert plan.plan_weight(age_ms) == pytest.approx(counts)


@pytest.mark.parametrize(
    "change",
    [
        {"look": 2},
        {"look": math.nan},
        {"age_limit_ms": 0},
        {"shares": []},
        {"shares": {"g": {"r": 0.5}}},
        {"shares": {"g": {"r": -1, "s": 2}}},
        {"more": 1},
    ],
)
def test_a_plan_layer_is_checked_as_a_whole(change):
    good = plan.Plan({"g": {"r": 0.7, "s": 0.3}}, 0.01).as_json()
    assert plan.plan_from_json(good).as_json() == good
    with pytest.raises(plan.PlanError, match="plan"):
        plan.plan_from_json(good | change)


@pytest.mark.parametrize("event", sorted(geo.EVENTS))
def test_no_event_in_the_closed_loop_swings_or_pushes_a_region_over(event):
    found = geo.measure_steering(2, event, 1.0)
    assert found.most_load <= 0.86
    assert found.largest_move <= 0.1 + 1e-6
    assert found.late_shift < 0.15
    assert found.mean_ms < found.even_ms


# --- who publishes -----------------------------------------------------------------------------------------


class Service:
    """The row of the duty and the editions, as the list service keeps them."""

    def __init__(self):
        self.version = self.row = 0
        self.ends = -math.inf
        self.editions = [(0, plan.Plan({}))]  # the fence of each, and its plan

    def answer(self, now, action):
        if isinstance(action, publisher.AcquireLease | publisher.RenewLease):
            if now >= self.ends:
                self.row = 0
            if isinstance(action, publisher.AcquireLease) and self.row == 0:
                self.version += 1
                self.row = self.version
            elif isinstance(action, publisher.AcquireLease) or action.version != self.row or self.row == 0:
                return publisher.LeaseDenied(action.asked_s)
            self.ends = now + 6.0
            return publisher.LeaseGranted(action.asked_s, self.row)
        if isinstance(action, publisher.ReadNewest):
            return publisher.NewestRead(self.editions[-1][1], len(self.editions) - 1)
        if action.follows != len(self.editions) - 1 or (now >= self.ends or action.fencing_token != self.row):
            return publisher.PublicationRejected()
        self.editions.append((action.fencing_token, action.plan))
        return publisher.Published(len(self.editions) - 1)


def published(seed, until, stops=0.0, shift=0.05):
    """Three publishers on one service: calls take up to 1.5 s each way, some are lost, processes stop."""
    rng = random.Random(seed)
    service, states, stopped = Service(), [publisher.State() for _ in range(3)], [0.0] * 3
    serial = itertools.count()
    queue = [(0.1 * i, next(serial), i, publisher.Tick()) for i in range(3)]
    reported, sure = [], []
    while queue:
        now, _, who, what = heapq.heappop(queue)
        if now > until:
            break
        if who < 0:  # a call that reached the service
            heapq.heappush(
                queue, (now + rng.uniform(0, 1.5), next(serial), -who - 1, service.answer(now, what))
            )
            continue
        if now < stopped[who]:
            heapq.heappush(queue, (stopped[who], next(serial), who, what))
            continue
        if isinstance(what, publisher.Tick):
            heapq.heappush(queue, (now + 0.2, next(serial), who, what))
            if rng.random() < stops:
                stopped[who] = now + rng.uniform(0, 15)
        states[who], actions = publisher.step(states[who], now, what)
        for action in actions:
            if isinstance(action, publisher.ComputePlan):
                share = rng.random()
                made = plan.Plan({"g": {"a": share, "b": 1 - share}}, shift=shift)
                heapq.heappush(
                    queue, (now + 0.1, next(serial), who, publisher.PlanComputed(made, action.follows))
                )
                continue
            if isinstance(action, publisher.PublishPlan):
                reported.append((now, who, action))
                sure.append(sum(state.holds_lease(now) for state in states))
            if rng.random() > 0.05:
                heapq.heappush(queue, (now + rng.uniform(0, 1.5), next(serial), -who - 1, action))
    return service, reported, sure


@pytest.mark.parametrize("seed", range(25))
def test_one_publishes_at_a_time_and_never_after_its_successor(seed):
    service, _, sure = published(seed, 120.0, stops=0.01)
    fences = [fence for fence, _ in service.editions]
    assert fences == sorted(fences) and len(set(fences)) > 1
    assert set(sure) <= {1}  # never two that believe they hold the row, whatever the delays
    assert len(fences) > 10


def test_publishers_are_sparing_and_keep_a_plan_fresh():
    reported = published(7, 90.0, shift=0.0)[1]
    times = [now for now, _, _ in reported]
    gaps = [b - a for a, b in itertools.pairwise(times)]
    timing = publisher.PublisherTiming()
    assert min(gaps) >= timing.interval_s
    assert max(gaps) < plan.AGE_LIMIT_MS / 1000.0
    busy = published(7, 90.0, shift=0.5)[1]
    assert len(reported) < len(busy) <= 90.0 / timing.interval_s + 1
