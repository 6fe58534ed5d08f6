"""Failures found on the deployments' simulated days, each by a test that fails without its answer."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, ClientLeft, EndpointsListed, RequestArrived, TimerDue
from brassfall.balancer.model import (
    CloseIdle,
    IdleCloseTimer,
    ListForm,
    Listing,
    Outcome,
    QueueDeadlineTimer,
    Refuse,
    Send,
    Timer,
)
from tests.support.helpers import answered, arrival, balancer, listing, of_type, raw_settings

TURNS = {"Semantics": "pure", "Objective": 200.0, "Deadline": 1000.0, "LateWorth": 0.5, "InTurn": True}


def in_turn(settle=100.0, **changes):
    return balancer(servers=4, Profiles=[dict(TURNS)], Rules={"SettleAfterDoubt": settle}, **changes)


def keyed(number, now=0.0, key=7, left=1000.0):
    return RequestArrived(number, 0, now + left, key=key)


def test_requests_of_one_key_run_one_at_a_time_in_order():
    made = in_turn()
    assert of_type(made.step(0.0, keyed(1)), Send)
    assert not of_type(made.step(1.0, keyed(2)), Send)
    assert not of_type(made.step(2.0, keyed(3)), Send)
    assert of_type(made.step(3.0, keyed(4, key=8)), Send)
    (second,) = of_type(made.step(20.0, answered(1, 20.0)), Send)
    assert second.request == 2
    started = of_type(made.step(30.0, ClientLeft(2)), Send)
    assert not started, "the attempt of a client that left may still be running"
    (third,) = of_type(made.step(40.0, answered(2, 20.0)), Send)
    assert third.request == 3


def test_a_key_pauses_after_an_attempt_that_may_still_run_and_leaves_no_record():
    made = in_turn()
    made.step(0.0, keyed(1))
    made.step(1.0, keyed(2))
    made.step(5.0, ClientLeft(1))
    actions = made.step(10.0, AttemptEnded(1, 0, Outcome.CANCELLED, 10.0, request_ended=True))
    (timer,) = of_type(actions, Timer)
    assert not of_type(actions, Send) and timer.delay == 100.0
    (send,) = of_type(made.step(110.0, TimerDue(timer.token)), Send)
    made.step(120.0, answered(send.request, 10.0))
    assert not made.key_queues and not made.open_requests


def test_a_queued_request_is_refused_at_its_deadline():
    made = in_turn()
    made.step(0.0, keyed(1))
    (deadline,) = of_type(made.step(1.0, keyed(2, 1.0, left=300.0)), Timer)
    assert deadline.token == QueueDeadlineTimer(request=2) and deadline.delay <= 300.0
    assert of_type(made.step(1.0 + deadline.delay, TimerDue(deadline.token)), Refuse)


def test_a_request_is_refused_at_once_if_its_queue_is_too_long():
    made = in_turn()
    for number in range(5):
        made.step(0.0, keyed(100 + number, key=number))
        made.step(150.0, answered(100 + number, 150.0))
    refused = [n for n in range(40) if of_type(made.step(200.0, keyed(n, 200.0, key=99)), Refuse)]
    assert refused and refused[0] < 10 and made.key_queues.length(99) < 10


def test_idle_connections_to_a_draining_server_are_closed_also_after_a_late_outcome():
    made = balancer("safe", servers=1, Rules={"ReleaseWithin": 1000.0})
    made.step(0.0, arrival(1))
    leaving = [Listing("s0", state="leaving")]
    actions = made.step(10.0, EndpointsListed(ListForm.CHANGES, leaving))
    assert of_type(actions, CloseIdle)
    (timer,) = [t for t in of_type(actions, Timer) if isinstance(t.token, IdleCloseTimer)]
    assert of_type(made.step(700.0, answered(1, 690.0)), CloseIdle)
    closings, now = 0, 10.0
    while timer is not None:
        now += timer.delay
        actions = made.step(now, TimerDue(timer.token))
        closings += len(of_type(actions, CloseIdle))
        timer = next(iter(of_type(actions, Timer)), None)
    assert 1 <= closings <= 4 and now > 700.0


def test_the_only_server_known_is_not_overloaded_in_slow_start():
    rules = {"ColdFrom": 0.2, "WarmUp": 20_000.0, "FallMultiple": 2.0, "OverloadFor": 1000.0}
    sent, number = 0, 0
    for me in range(100):
        made = Balancer(0.0, Settings.parse(raw_settings("safe", Me=me, Balancers=100, Rules=rules)), me)
        made.step(0.0, EndpointsListed(ListForm.COMPLETE, listing(10)))
        for step in range(20):
            number += 1
            made.step(500.0 * step, arrival(number, 500.0 * step))
            made.step(500.0 * step + 20.0, answered(number, 20.0))
        gone = [Listing(f"s{i}", state="left") for i in range(1, 10)]
        made.step(10_000.0, EndpointsListed(ListForm.CHANGES, [*gone, Listing("s0", started=10_000.0)]))
        for step in range(2):
            number += 1
            now = 10_010.0 + 500.0 * step
            sent += len(of_type(made.step(now, arrival(number, now)), Send))
    # Of 200 requests a second a warm server's share is a tenth; this one collapses at two fifths of that.
    assert sent < 0.1 * 200 * 0.2 * 2.0 * 1.5


ZONED = {"Prices": {"CrossZone": 0.2}}


def zoned():
    made = balancer("unsafe", servers=0, **ZONED)
    made.step(0.0, EndpointsListed(ListForm.COMPLETE, [Listing(f"s{i}", zone=i % 2) for i in range(8)]))
    return made


def cross_zone_share(made, count, near_status, now=0.0):
    """Return the share of sends to the other zone; `near_status(number)` is the outcome in the own one."""
    met = Counter()
    for number in range(count):
        at = now + 100.0 * number
        for send in of_type(made.step(at, arrival(int(at), at)), Send):
            near = int(send.server[1:]) % 2 == 0
            met[near] += 1
            status = near_status(number) if near else Outcome.OK
            made.step(at + 20.0, AttemptEnded(int(at), 0, status, 20.0, request_ended=status == Outcome.OK))
    return met[False] / max(1, sum(met.values()))


def test_priced_zones_get_requests_only_while_the_own_zone_fails():
    made = zoned()
    assert cross_zone_share(made, 100, lambda n: Outcome.OK) == 0.0
    assert cross_zone_share(made, 300, lambda n: Outcome.ERROR if n % 2 else Outcome.OK, now=50_000.0) > 0.2


def test_lost_answers_shed_no_load_while_answers_are_quick():
    # Lost answers say nothing of the capacity of servers that answer quickly.
    made = balancer("unsafe", servers=8)
    for number in range(200):
        now = 100.0 * number
        made.step(now, arrival(number, now))
        lost = number % 6 == 0
        status = Outcome.TIMEOUT if lost else Outcome.OK
        made.step(
            now + 50.0, AttemptEnded(number, 0, status, 200.0 if lost else 30.0, request_ended=not lost)
        )
    assert made.components.shedder.probability(20_000.0) < 0.05


def test_a_silent_server_is_ejected_although_others_fail_as_well():
    # Faults elsewhere must not keep a server from being blamed for its own.
    made = balancer("unsafe", servers=4)
    picks = Counter()
    for number in range(400):
        now = 50.0 * number
        for send in of_type(made.step(now, arrival(number, now)), Send):
            picks[send.server] += now > 5_000.0
            bad = send.server == "s0" or number % 4 == 0
            status = Outcome.TIMEOUT if bad else Outcome.OK
            made.step(now + 10.0, AttemptEnded(number, 0, status, 10.0, request_ended=not bad))
    assert picks["s0"] < 0.5 * sum(picks.values()) / 4


def test_after_a_silent_server_idempotent_requests_get_a_short_time_out():
    made = balancer("safe", servers=4, Profiles=[{**TURNS, "InTurn": False}])
    (before,) = of_type(made.step(0.0, arrival(1)), Send)
    assert before.timeout == 1000.0
    made.step(30.0, answered(1, 30.0))
    for number in range(10, 40):
        made.step(100.0, arrival(number, 100.0))
        made.step(130.0, answered(number, 30.0))
    (silent,) = of_type(made.step(200.0, arrival(50, 200.0)), Send)
    made.step(1200.0, AttemptEnded(50, 0, Outcome.TIMEOUT, 1000.0))
    (once,) = of_type(made.step(1300.0, arrival(51, 1300.0)), Send)
    assert once.timeout == 1000.0, "a single silence may be a burst of one's own"
    made.step(1330.0, answered(51, 30.0))
    for _ in range(2):
        made.components.ejector.blame(1400.0, made.components.endpoints.servers[silent.server], silent=True)
    (after,) = of_type(made.step(1500.0, arrival(2, 1500.0)), Send)
    assert after.timeout < 300.0


def test_a_stall_of_the_process_itself_blames_no_server():
    made = balancer(servers=4, Profiles=[{**TURNS, "InTurn": False}])
    actions = made.step(0.0, arrival(1))
    (due,) = of_type(actions, Timer)
    made.step(due.delay + 500.0, TimerDue(due.token))
    assert made.components.shedder.probability(700.0) == 0.0
    assert all(server.fault_share == 0.0 for server in made.components.endpoints.servers.values())


def test_a_connection_dropped_while_idle_blames_no_server_and_later_ones_are_closed():
    # Middle boxes drop idle connections without a word.
    made = balancer("safe", servers=1)
    made.step(0.0, arrival(1))
    made.step(20.0, answered(1, 20.0))
    made.step(2000.0, arrival(2, 2000.0))
    actions = made.step(2001.0, AttemptEnded(2, 0, Outcome.RESET, 1.0))
    assert made.components.endpoints.servers["s0"].fault_share == 0.0
    (retry,) = of_type(actions, Send)  # over a new connection
    made.step(2020.0, answered(2, 20.0, attempt=1))
    assert retry.server == "s0"
    soon = made.step(2500.0, arrival(3, 2500.0))
    assert of_type(soon, Send) and not of_type(soon, CloseIdle)
    made.step(2520.0, answered(3, 20.0))
    later = made.step(4500.0, arrival(4, 4500.0))
    assert [type(a) for a in later if isinstance(a, CloseIdle | Send)] == [CloseIdle, Send]


def test_a_retry_with_a_key_finds_its_group_in_a_large_fleet():
    # Random samples of the whole fleet would seldom contain a server of the group.
    found = 0
    for seed in range(20):
        made = balancer("keyed", servers=60, seed=seed)
        (send,) = of_type(made.step(0.0, arrival(1)), Send)
        retries = of_type(made.step(5.0, AttemptEnded(1, 0, Outcome.ERROR, 5.0)), Send)
        assert all(int(a.server[1:]) // 2 == int(send.server[1:]) // 2 for a in retries)
        found += len(retries)
    assert found == 20


def test_servers_with_idle_connections_are_preferred_while_new_ones_fail():
    made = balancer("unsafe", servers=8)
    known = set()
    for number in range(4):
        (send,) = of_type(made.step(500.0 * number, arrival(number, 500.0 * number)), Send)
        known.add(send.server)
        made.step(500.0 * number + 20.0, answered(number, 20.0))
    made.components.ejector.connect_failures = 0.9
    sends = [of_type(made.step(3000.0 + n, arrival(50 + n, 3000.0)), Send)[0].server for n in range(2)]
    assert set(sends) <= known


def test_reported_queues_decide_between_equal_servers():
    made = balancer("safe", servers=2, Report={"How": "inline", "Fields": ["queue", "util"]})
    for number in range(6):
        now = 10.0 * number
        (send,) = of_type(made.step(now, arrival(number, now)), Send)
        report = {"queue": 9.0 if send.server == "s0" else 0.0, "util": 0.5}
        made.step(now + 5.0, AttemptEnded(number, 0, Outcome.OK, 5.0, request_ended=True, report=report))
    fresh = {of_type(made.step(70.0, arrival(100 + i, 70.0)), Send)[0].server for i in range(2)}
    assert fresh == {"s1"}


def test_a_server_that_rejects_all_requests_gets_longer_and_longer_pauses():
    # A server that rejects at once has no requests in flight and would be preferred.
    made = balancer("unsafe", servers=4)
    full = Counter()
    for number in range(400):
        now = 50.0 * number
        for send in of_type(made.step(now, arrival(number, now)), Send):
            full[send.server] += 1
            status = Outcome.FULL if send.server == "s0" else Outcome.OK
            made.step(now + 2.0, AttemptEnded(number, 0, status, 2.0, request_ended=status == Outcome.OK))
    assert full["s0"] < 20


def test_recent_faults_decide_between_equal_servers():
    made = balancer("safe", servers=3)
    made.components.endpoints.servers["s0"].fault_share = made.components.endpoints.servers[
        "s1"
    ].fault_share = 0.3
    sends = []
    for number in range(10):
        (send,) = of_type(made.step(10.0 * number, arrival(number, 10.0 * number)), Send)
        sends.append(send.server)
        made.step(10.0 * number + 5.0, answered(number, 5.0))
    assert sends.count("s2") >= 8


def test_a_retry_may_go_to_a_server_in_slow_start_that_has_capacity():
    # After a mass restart retries would otherwise overload the few warm servers.
    rules = {"ColdFrom": 0.2, "WarmUp": 60_000.0, "FallMultiple": 3.0, "OverloadFor": 1000.0}
    made = balancer("safe", servers=0, now=0.0, Rules=rules)
    made.step(
        0.0,
        EndpointsListed(
            ListForm.COMPLETE, [Listing("warm"), *[Listing(f"c{i}", started=1.0) for i in range(5)]]
        ),
    )
    retries = 0
    for number in range(100):
        now = 10_000.0 + 500.0 * number
        made.components.endpoints.servers["warm"].consecutive_rejections = 0
        for server in made.components.endpoints.servers.values():
            server.budget = 1.0
        for first in of_type(made.step(now, arrival(number, now)), Send):
            ok = first.server != "warm"
            status = Outcome.OK if ok else Outcome.FULL
            retries += len(
                of_type(made.step(now + 2.0, AttemptEnded(number, 0, status, 2.0, request_ended=ok)), Send)
            )
            made.step(now + 20.0, answered(number, 18.0, attempt=1))
    assert retries > 0


def test_load_reports_count_by_their_mean_and_not_by_their_number():
    # A busy sidecar receives more load reports of the same load.
    levels = []
    for step in (500.0, 50.0):
        made = balancer("safe", servers=4, Report={"How": "inline", "Fields": ["inflight"]})
        now = 0.0
        while now < 20_000.0:
            number = int(now)
            if of_type(made.step(now, arrival(number, now)), Send):
                made.step(
                    now + 20.0,
                    answered(number, 20.0, in_flight=4.0),
                )
            now += step
        levels.append(made.components.shedder.probability(now))
    assert levels[1] < 2.0 * levels[0] and levels[1] < 0.5


@pytest.mark.parametrize(("in_flight", "strained"), [(0.0, False), (20.0, True)])
def test_rejections_by_servers_with_few_requests_in_flight_signal_no_overload(in_flight, strained):
    # Servers that reject one class while they are idle must not have all classes refused.
    made = balancer("unsafe", servers=8, Report={"How": "inline", "Fields": ["inflight"]})
    most = 0.0
    for number in range(400):
        now = 10.0 * number
        actions, hop = made.step(now, arrival(number, now)), 0
        while sends := of_type(actions, Send):
            rejects = hop == 0 and sends[0].server in ("s0", "s1")
            status, report = (Outcome.FULL, in_flight) if rejects else (Outcome.OK, 1.0)
            actions = made.step(
                now + 5.0,
                AttemptEnded(
                    number, hop, status, 5.0, request_ended=not rejects, report={"inflight": report}
                ),
            )
            hop += 1
        most = max(most, made.components.shedder.probability(now))
    assert most > 0.1 if strained else most == 0.0


@pytest.mark.parametrize("answers", [True, False])
def test_a_time_out_blames_a_server_only_if_it_has_not_answered_since_the_send(answers):
    # A burst of long requests must not eject servers that go on answering.
    made = balancer("unsafe", servers=1)
    for number in range(0, 20, 2):
        now = 300.0 * number
        made.step(now, arrival(number, now))
        if answers:
            made.step(now + 20.0, arrival(number + 1, now + 20.0))
            made.step(now + 50.0, answered(number + 1, 30.0))
        made.step(now + 200.0, AttemptEnded(number, 0, Outcome.TIMEOUT, 200.0))
        made.step(now + 200.0, ClientLeft(number))
    assert bool(made.components.endpoints.servers["s0"].consecutive_failures) != answers


def test_local_refusals_do_not_excuse_a_server_that_fails():
    # If local refusals counted as faults of the service, a faulty server would not stand out.
    made = balancer("safe", servers=4)
    picks = Counter()
    for number in range(300):
        now = 20.0 * number
        if number % 2:
            made.components.throttle.add(now, 0.0)
        for send in of_type(made.step(now, arrival(number, now)), Send):
            picks[send.server] += number >= 50
            bad = send.server == "s0" and number % 5
            status = Outcome.ERROR if bad else Outcome.OK
            made.step(now + 10.0, AttemptEnded(number, 0, status, 10.0, request_ended=not bad))
            made.step(now + 10.0, ClientLeft(number))
    assert picks["s0"] < 0.25 * sum(picks.values()) / 4


def test_a_load_report_signals_no_more_overload_to_a_new_sidecar():
    # The rate of sends is little known just after a start, and the weight of a report rests on it.
    levels = []
    for quiet in (0, 40):  # requests before the load, ten a second
        made = balancer("safe", servers=8, Report={"How": "inline", "Fields": ["inflight"]})
        for step in range(quiet + 20):
            now, in_flight = 100.0 * step, 0.0 if step < quiet else 4.5
            if of_type(made.step(now, arrival(step, now)), Send):
                made.step(
                    now + 20.0,
                    answered(step, 20.0, in_flight=in_flight),
                )
        levels.append(made.components.shedder.probability(now))
    assert levels[0] < 1.5 * levels[1]
    assert max(levels) < 0.5  # the mean of the signals: (4.5 - 3) / 3


def test_a_fleet_that_is_mostly_in_slow_start_is_used_but_not_overloaded():
    # Each server is in the subsets of few sidecars: a budget for all of them would leave it idle.
    rules = {"ColdFrom": 0.12, "WarmUp": 22_000.0, "FallMultiple": 4.0, "OverloadFor": 2000.0}
    sidecars, servers, joiners = 40, 60, 36
    reports = {"How": "inline", "Fields": ["inflight"]}
    names = [f"s{i}" for i in range(servers)]
    joined = set(random.Random(3).sample(names, joiners))
    sent: Counter[tuple[str, int]] = Counter()
    for me in range(sidecars):
        raw = raw_settings("safe", Me=me, Balancers=sidecars, Rules=rules, Report=reports)
        made = Balancer(0.0, Settings.parse(raw), me)
        made.step(0.0, EndpointsListed(ListForm.COMPLETE, [Listing(name) for name in names]))
        for step in range(300):  # twenty requests a second for each sidecar
            now = 50.0 * step + me
            if step == 200:
                made.step(
                    now,
                    EndpointsListed(ListForm.CHANGES, [Listing(name, started=10_000.0) for name in joined]),
                )
            for send in of_type(made.step(now, arrival(step, now)), Send):
                sent[send.server, int(now // 1000.0)] += 1
                in_flight = 1.0 if send.server in joined and step >= 200 else 2.5
                made.step(
                    now + 20.0,
                    answered(step, 20.0, in_flight=in_flight),
                )
    # Between 2 s and 4 s after the start each has a fifth to a quarter of a warm server's capacity.
    window = {name: sent[name, 12] + sent[name, 13] for name in names}
    warm = sum(window[name] for name in names if name not in joined) / (servers - joiners)
    mean = sum(window[name] for name in joined) / joiners
    assert mean > 0.17 * warm
    full = 2 * sidecars * 20 / servers  # requests to a server in two seconds while all are warm
    assert max(window[name] for name in joined) < 4.0 * 0.2 * full


def test_a_first_answer_that_took_no_time_is_learned_from():
    # An answer may begin before its request has ended; the pace must not be divided by zero then.
    made = balancer()
    made.step(0.0, arrival(1))
    made.step(0.0, answered(1, 0.0))
    assert not made.open_requests
    assert of_type(made.step(1.0, arrival(2)), Send)
