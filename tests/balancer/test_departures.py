"""Each departure from the plain mechanism, by the failure it guards against."""

from __future__ import annotations

from collections import Counter

import pytest

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, DiscoveryFailed, EndpointsListed, RequestArrived, TimerDue
from brassfall.balancer.load_shedding import LoadShedder
from brassfall.balancer.model import (
    ListForm,
    Listing,
    ObjectiveTimer,
    Outcome,
    Probe,
    Refuse,
    Send,
    Timer,
    Watch,
)
from tests.support.helpers import answered, arrival, balancer, listing, of_type, raw_settings, selector

LOOKING = {
    "PolicyLimits": {"MaxAttempts": 4, "MayProbe": True},
    "Report": {"How": "on_probe", "Fields": ["inflight"]},
    "WeightKind": "nominal",
}


def serve(made, count, answer, now=0.0, step=50.0):
    """Serve `count` requests; return the sends by server. `answer(server)` gives an outcome and a time."""
    picks = Counter()
    for number in range(count):
        now += step
        actions, attempt = made.step(now, RequestArrived(number, 0, now + 1000.0, work=10.0)), 0
        while sends := of_type(actions, Send):
            (send,) = sends
            picks[send.server] += 1
            status, spent = answer(send.server)
            ended = status == Outcome.OK
            actions = made.step(now, AttemptEnded(number, attempt, status, spent, request_ended=ended))
            attempt += 1
    return picks


def test_a_server_that_fails_quickly_is_not_preferred():
    made = balancer("safe", servers=8)
    picks = serve(made, 200, lambda s: (Outcome.ERROR, 1.0) if s == "s0" else (Outcome.OK, 20.0))
    assert picks["s0"] < 0.25 * 200 / 8
    assert made.components.throttle.drop_chance(10_000.0) == 0.0


def test_if_all_servers_fail_at_most_half_of_them_are_ejected():
    made = balancer("unsafe", servers=8)
    serve(made, 40, lambda s: (Outcome.ERROR, 1.0))
    ejected = [s for s in made.components.endpoints.servers.values() if s.ejected_until > 2000.0]
    assert len(ejected) <= 4


@pytest.mark.parametrize("status", [Outcome.TIMEOUT, Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED])
def test_a_single_fault_at_each_server_ejects_none(status):
    # Requests of mixed length soon bring each server one time-out.
    made = balancer("unsafe", servers=8)
    faulty = set()

    def once(server):
        first = server not in faulty
        faulty.add(server)
        return (status, 200.0) if first else (Outcome.OK, 20.0)

    serve(made, 80, once)
    assert len(faulty) == 8
    assert not [
        s for s in made.components.endpoints.servers.values() if s.consecutive_failures or s.ejected_until
    ]


def test_a_server_gets_one_request_at_a_time_after_its_ejection():
    made = balancer("safe", servers=1)
    serve(made, 2, lambda s: (Outcome.ERROR, 1.0), now=0.0)
    made.step(0.0, EndpointsListed(ListForm.CHANGES, []))
    server = made.components.endpoints.servers["s0"]
    assert server.consecutive_failures
    after = server.ejected_until + 1.0
    assert of_type(made.step(after, arrival(50, after)), Send)
    assert not of_type(made.step(after, arrival(51, after)), Send)


def test_a_slow_kind_of_machine_gets_fewer_requests():
    made = balancer("safe", servers=0)
    entries = [Listing(f"s{i}", kind=i % 2) for i in range(8)]
    made.step(0.0, EndpointsListed(ListForm.COMPLETE, entries))
    slow = {e.server for e in entries if e.kind == 1}
    picks = serve(made, 400, lambda s: (Outcome.OK, 60.0 if s in slow else 20.0))
    assert sum(picks[s] for s in slow) < 0.4 * 400


def test_a_server_in_slow_start_gets_requests_by_its_warmth():
    made = balancer("safe", servers=10, Rules={"ColdFrom": 0.2, "WarmUp": 1000.0})
    made.step(1000.0, EndpointsListed(ListForm.CHANGES, [Listing("s0", started=1000.0)]))
    picks = Counter()
    for number in range(2000):
        now = 1001.0 + 0.1 * number  # within 200 ms, in which its warmth hardly changes
        (send,) = of_type(made.step(now, arrival(number, now)), Send)
        picks[send.server] += 1
        made.step(now, answered(number, 0.1))
    assert 0 < picks["s0"] < 0.4 * 2000 / 10
    assert made.components.slow_start.warmth(3000.0, made.components.endpoints.servers["s0"]) == 1.0


def test_no_health_check_is_sent_before_a_request():
    made = balancer("safe", **LOOKING)
    actions = made.step(0.0, arrival(1))
    assert of_type(actions, Send) and not of_type(actions, Probe)


def test_discovery_is_called_with_jitter_and_retried_after_a_failure():
    raw = raw_settings("safe", Discovery="subscribe", Rules={"AskWithin": 10_000.0})
    delays = set()
    for seed in range(20):
        made = Balancer(0.0, Settings.parse(raw), seed)
        (timer,) = of_type(made.step(0.0, EndpointsListed(ListForm.REMEMBERED, listing(3))), Timer)
        delays.add(timer.delay)
        assert made.step(timer.delay, TimerDue(timer.token)) == [Watch(True)]
        (again,) = of_type(made.step(3000.0, DiscoveryFailed()), Timer)
        assert 0.0 < again.delay < 10_000.0
        assert made.step(3000.0 + again.delay, TimerDue(again.token)) == [Watch(True)]
    assert len(delays) == 20
    assert max(delays) < 10_000.0


def test_after_a_long_outage_discovery_is_called_in_time_for_its_changes():
    raw = raw_settings("safe", Discovery="subscribe", Rules={"AskWithin": 10_000.0})
    for seed in range(20):
        made = Balancer(0.0, Settings.parse(raw), seed)
        (first,) = of_type(made.step(0.0, EndpointsListed(ListForm.REMEMBERED, listing(3))), Timer)
        now, token = 0.0, first.token
        for _ in range(10):
            assert made.step(now, TimerDue(token)) == [Watch(True)]
            (again,) = of_type(made.step(now, DiscoveryFailed()), Timer)
            assert again.delay < 5_000.0
            now, token = now + again.delay, again.token


def test_a_sidecar_keeps_to_a_small_subset_and_sidecars_cover_the_fleet():
    met = Counter()
    for me in range(30):
        made = Balancer(0.0, Settings.parse(raw_settings("safe", Me=me, Balancers=30)), me)
        made.step(0.0, EndpointsListed(ListForm.REMEMBERED, listing(40)))
        picks = serve(made, 60, lambda s: (Outcome.OK, 20.0), step=500.0)
        assert len(picks) <= 12
        met.update(picks)
    assert len(met) >= 38
    assert max(met.values()) < 3 * sum(met.values()) / 40


def test_a_retry_may_go_beyond_the_subset():
    made = balancer("safe", servers=40)
    small = set(serve(made, 60, lambda s: (Outcome.OK, 20.0), step=500.0))
    wide = serve(
        made,
        30,
        lambda s: (Outcome.FULL, 1.0) if s in small else (Outcome.OK, 20.0),
        now=100_000.0,
        step=500.0,
    )
    assert set(wide) - small


def test_a_sidecar_does_not_overload_the_servers_of_its_own_zone():
    # A zone may have more traffic than its servers have capacity.
    made = balancer("safe", servers=0)
    entries = [Listing(f"s{i}", zone=0 if i < 2 else 1) for i in range(8)]
    made.step(0.0, EndpointsListed(ListForm.COMPLETE, entries))
    picks = serve(made, 400, lambda s: (Outcome.OK, 20.0))
    assert picks["s0"] + picks["s1"] < 0.4 * 400


def warm(servers=30, me=0, seed=1, **changes):
    made = balancer("safe", servers=0, seed=seed, Domain={"WarmKeys": True}, Me=me, Balancers=40, **changes)
    made.step(0.0, EndpointsListed(ListForm.COMPLETE, listing(servers)))
    return made


def sends_for(made, key, count=20, now=0.0, first=0):
    """Return the servers that get a key's requests, each of which is served at once."""
    picks = Counter()
    for number in range(first, first + count):
        now += 500.0
        (send,) = of_type(made.step(now, RequestArrived(number, 0, now + 1000.0, key=key)), Send)
        picks[send.server] += 1
        made.step(now + 20.0, answered(number, 20.0))
    return picks


def test_all_sidecars_send_a_key_to_the_same_few_servers():
    met = Counter()
    for me in range(20):
        met.update(sends_for(warm(me=me, seed=me), key=77, count=2))
    assert len(met) <= 3


def test_a_popular_key_is_spread_by_its_share_and_rare_keys_cover_the_fleet():
    made = warm()
    assert len(sends_for(made, key=5, count=300)) > 10
    made, met = warm(), Counter()
    for key in range(600):
        met.update(sends_for(made, key=key * 7919, count=1, now=600.0 * key, first=key))
    assert len(met) == 30 and max(met.values()) < 3 * 600 / 30


def homes(key, gone=()):
    """Return the servers that a dozen sidecars send a key to, without those that are `gone`."""
    met = set()
    for seed in range(12):
        made = warm(seed=seed)
        made.step(0.0, EndpointsListed(ListForm.CHANGES, [Listing(name, state="left") for name in gone]))
        met |= set(sends_for(made, key=key, count=1))
    return met


def test_only_the_keys_of_a_lost_server_move():
    before = {key: homes(key) for key in range(12)}
    lost = min(before[0])
    for key, servers in before.items():
        after = homes(key, [lost])
        assert lost not in after
        assert after == servers if lost not in servers else after & servers == servers - {lost}


def test_a_server_with_a_stalled_attempt_is_chosen_last():
    made = balancer("safe", servers=2)
    (stuck,) = of_type(made.step(0.0, arrival(1)), Send)
    for number in range(2, 5):
        (send,) = of_type(made.step(150.0 + number, arrival(number, 150.0)), Send)
        assert send.server != stuck.server


REPORTS = {"Report": {"How": "inline", "Fields": ["inflight"]}}


def test_load_reports_decide_between_equal_servers_and_fade_towards_the_mean():
    made = balancer("safe", servers=2, **REPORTS)
    held = {"s0": 9.0, "s1": 0.0}
    for number in range(6):
        (send,) = of_type(made.step(10.0 * number, arrival(number)), Send)
        report = {"inflight": held[send.server]}
        made.step(
            10.0 * number + 5.0, AttemptEnded(number, 0, Outcome.OK, 5.0, request_ended=True, report=report)
        )
    fresh = {of_type(made.step(70.0, arrival(100 + i, 70.0)), Send)[0].server for i in range(2)}
    assert fresh == {"s1"}
    aged = selector(made).load(10_000.0, made.components.endpoints.servers["s0"])
    assert aged < selector(made).load(70.0, made.components.endpoints.servers["s0"])


def test_a_load_report_that_is_not_a_number_is_ignored():
    made = balancer("safe", servers=2, **REPORTS)
    made.step(0.0, arrival(1))
    made.step(5.0, answered(1, 5.0, in_flight=float("nan")))
    assert of_type(made.step(6.0, arrival(2, 6.0)), Send)
    assert made.components.shedder.probability(6.0) == 0.0


def test_time_outs_shed_little_while_load_reports_show_no_overload():
    # Time-outs at a few slow servers must not refuse requests that others could serve.
    calm, crowded = (balancer("safe", servers=8, **REPORTS) for _ in range(2))
    for number in range(60):
        now = 100.0 * number
        for made, held in ((calm, 0.0), (crowded, 9.0)):
            if not of_type(made.step(now, arrival(number, now)), Send):
                continue
            late = number % 6 == 0
            status = Outcome.TIMEOUT if late else Outcome.OK
            report = None if late else {"inflight": held}
            made.step(now + 50.0, AttemptEnded(number, 0, status, 50.0, request_ended=True, report=report))
    assert calm.components.shedder.probability(6000.0) < 0.2
    assert crowded.components.shedder.probability(6000.0) > 0.5


def shed_chances(worths, share, worst_class):
    """Return the chance of refusing each class if `share` of the work is to be shed."""
    raw = raw_settings(*["safe"] * len(worths), Goal={"Whole": 1 - worst_class, "WorstClass": worst_class})
    shed = LoadShedder(Settings.parse(raw))
    for _ in range(100):
        for band, worth in enumerate(worths):
            shed.arrive(band, worth, 1.0, 0, 1.0)
    return [shed.refusal_chance(0.0, share, band, over=False) for band in range(len(worths))]


def test_the_least_priority_weight_is_shed_first_where_only_the_total_counts():
    assert shed_chances([1.0, 5.0], 0.3, 0.0) == pytest.approx([0.6, 0.0], abs=0.02)


def test_the_worst_class_is_not_starved_where_the_goal_counts_it():
    # If the cheapest class were refused completely, its part of the goal would be lost.
    low, middle, high = shed_chances([2.0, 3.0, 8.0], 0.3, 0.2)
    assert low == pytest.approx(middle) and 0.4 < low < 0.5 and high == 0.0


def test_requests_over_a_tenants_quota_are_shed_first():
    raw = raw_settings("safe", Tenants=[{"AllowancePerS": 5.0}] * 2, OverShareWorth=0.1)
    shed = LoadShedder(Settings.parse(raw))
    over = [shed.arrive(0, 1.0, 1.0, int(i % 5 == 0), i % 7 / 7.0) for i in range(200)]
    assert any(over)
    assert (
        shed.refusal_chance(0.0, 0.2, 0, over=True)
        > 0.5
        > 0.05
        > shed.refusal_chance(0.0, 0.2, 0, over=False)
    )


def test_under_overload_work_that_cannot_end_in_time_is_refused():
    # Heavy requests would take the servers' time and end too late anyway.
    made = balancer("safe", servers=4)
    serve(made, 20, lambda s: (Outcome.OK, 100.0))
    heavy = RequestArrived(500, 0, 3000.0, work=100.0)
    assert of_type(made.step(2000.0, heavy), Send)
    for _ in range(20):
        made.components.shedder.observe(2001.0, 1.0)
    assert of_type(made.step(2002.0, heavy._replace(request=501)), Refuse)


def test_an_attempt_in_flight_at_its_objective_signals_overload_at_once():
    # Otherwise a stalled service is noticed only as clients give up.
    late_counts = {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "LateWorth": 0.5}
    made = balancer(servers=4, Profiles=[late_counts])
    timers = [of_type(made.step(0.0, arrival(number)), Timer) for number in range(6)]
    for (due,) in timers:
        assert due.delay == 200.0 and not made.step(200.0, TimerDue(due.token))
    assert made.components.shedder.probability(200.0) > 0.1
    assert not made.step(200.0, TimerDue(ObjectiveTimer(request=999, attempt=0)))


@pytest.mark.parametrize(
    ("limits", "wait"),
    [
        ({"RetryAfter": True, "MaxRetryAfter": 2000.0}, 20.0),
        ({"RetryAfter": True, "MaxRetryAfter": 5.0}, 5.0),
        ({"RetryAfter": False, "MaxRetryAfter": 2000.0}, 0.0),
    ],
)
def test_a_refusal_is_immediate_and_has_a_retry_after(limits, wait):
    made = balancer("safe", servers=0, PolicyLimits={"MaxAttempts": 3, **limits})
    assert made.step(0.0, arrival(1)) == [Refuse(1, wait)]


def test_a_client_whose_retry_would_come_too_late_gets_the_longest_retry_after():
    made = balancer("safe", servers=4, PolicyLimits={"RetryAfter": True, "MaxRetryAfter": 2000.0})
    made.step(0.0, arrival(1))
    assert made.step(200.0, AttemptEnded(1, 0, Outcome.TIMEOUT, 200.0)) == [Refuse(1, 2000.0)]
    (send,) = of_type(made.step(300.0, arrival(2, 300.0)), Send)
    made.step(310.0, EndpointsListed(ListForm.COMPLETE, []))
    # A retry can still be served in time here.
    assert made.step(320.0, AttemptEnded(send.request, 0, Outcome.FULL, 20.0)) == [Refuse(2, 20.0)]


@pytest.mark.parametrize("now", [0.0, 1e6 / 7.0, 1.7e12 / 3.0, 1.7e12 + 1.0 / 3.0])
def test_an_attempt_that_ends_at_its_objective_counts_once_whatever_the_rounding(now):
    # Rounding must not let the time-out come before the timer: the attempt would be blamed twice.
    made = balancer("safe", servers=8, now=now)
    actions = made.step(now, RequestArrived(1, 0, now + 1000.0))
    (send,), (timer,) = of_type(actions, Send), of_type(actions, Timer)
    assert timer.delay < send.timeout
    made.step(now + timer.delay, TimerDue(timer.token))
    assert made.components.shedder.probability(now + timer.delay) > 0.0
    made.step(now + send.timeout, AttemptEnded(1, 0, Outcome.TIMEOUT, send.timeout))
    assert made.components.endpoints.servers[send.server].fault_share == pytest.approx(0.3)
    assert made.components.endpoints.servers[send.server].ejected_until <= now


def test_time_outs_signal_no_more_overload_to_a_busy_sidecar_than_to_a_quiet_one():
    # Counted in full, the few time-outs of a busy sidecar would add up to an overload.
    levels = []
    for step in (20.0, 8.0):
        seen = []  # the shed probability changes with each event, so its mean is compared
        made = balancer("safe", servers=8, Report={"How": "inline", "Fields": ["inflight"]})
        for number in range(int(10_000.0 / step)):
            now = step * number
            actions = made.step(now, arrival(number, now))
            if sends := of_type(actions, Send):
                late = number % 25 == 0
                for timer in of_type(actions, Timer) if late else ():
                    made.step(now + timer.delay, TimerDue(timer.token))
                spent = sends[0].timeout if late else 20.0
                status = Outcome.TIMEOUT if late else Outcome.OK
                made.step(
                    now + spent,
                    AttemptEnded(number, 0, status, spent, request_ended=not late, report={"inflight": 1.0}),
                )
            seen.append(made.components.shedder.probability(now))
        levels.append(sum(seen) / len(seen))
    assert 0.0 < levels[1] < 0.45 and levels[1] == pytest.approx(levels[0], rel=0.3)


@pytest.mark.parametrize(
    ("how", "report", "strained"),
    [
        ("inline", {"inflight": 9.0}, True),  # it is overloaded
        ("inline", {"inflight": 1.0}, False),  # it is at fault itself
        ("off", None, True),  # without load reports a rejection is the only signal
    ],
)
def test_a_rejection_signals_overload_as_far_as_its_load_report_shows_it(how, report, strained):
    made = balancer("safe", Report={"How": how, "Fields": ["inflight"]})
    made.step(0.0, arrival(1))
    made.step(5.0, AttemptEnded(1, 0, Outcome.FULL, 5.0, request_ended=True, report=report))
    assert (made.components.shedder.probability(5.0) > 0.0) == strained
    assert made.components.throttle.requests == 1 and made.components.throttle.accepts == 0.0


@pytest.mark.parametrize(("each", "least", "most"), [(100, 0.0, 0.2), (3, 0.4, 1.0)])
def test_rejections_without_a_load_report_count_by_their_share(each, least, most):
    # A few servers that drain during an upgrade must not have requests refused.
    made = balancer("safe", Report={"How": "inline", "Fields": ["inflight"]})
    for number in range(1000):
        now = 4.0 * number
        actions, hop = made.step(now, arrival(number, now)), 0
        while of_type(actions, Send):
            turned = hop == 0 and number % each == 0
            status, report = (Outcome.FULL, None) if turned else (Outcome.OK, {"inflight": 1.0})
            actions = made.step(
                now + 2.0, AttemptEnded(number, hop, status, 2.0, request_ended=not turned, report=report)
            )
            hop += 1
    assert least <= made.components.shedder.probability(4000.0) <= most
