"""Tests of slow start: a recently started server gets only as many requests as it can take."""

from __future__ import annotations

import random
from collections import Counter

from brassfall.balancer import Balancer, Settings
from brassfall.balancer.events import AttemptEnded, EndpointListReceived
from brassfall.balancer.model import EndpointEntry, ListForm, Outcome, SendAttempt
from tests.support.helpers import (
    attempt_answered,
    endpoint_entries,
    make_balancer,
    of_type,
    raw_settings,
    request_arrival,
)


def test_a_server_in_slow_start_gets_requests_in_proportion_to_its_capacity():
    balancer = make_balancer("safe", servers=10, Rules={"ColdFrom": 0.2, "WarmUp": 1000.0})
    balancer.step(1000.0, EndpointListReceived(ListForm.CHANGES, [EndpointEntry("s0", started=1000.0)]))
    sends = Counter()
    for number in range(2000):
        now = 1001.0 + 0.1 * number  # 2,000 requests within 200 ms, in which the capacity hardly changes
        (send,) = of_type(balancer.step(now, request_arrival(number, now)), SendAttempt)
        sends[send.server] += 1
        balancer.step(now, attempt_answered(number, 0.1))
    assert 0 < sends["s0"] < 0.4 * 2000 / 10
    assert (
        balancer.components.slow_start.capacity_share(3000.0, balancer.components.endpoints.servers["s0"])
        == 1.0
    )


def warm(servers=30, me=0, seed=1, **changes):
    balancer = make_balancer(
        "safe", servers=0, seed=seed, Domain={"WarmKeys": True}, Me=me, Balancers=40, **changes
    )
    balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, endpoint_entries(servers)))
    return balancer


def test_the_only_known_server_is_not_overloaded_in_slow_start():
    rules = {"ColdFrom": 0.2, "WarmUp": 20_000.0, "FallMultiple": 2.0, "OverloadFor": 1000.0}
    sent, number = 0, 0
    for me in range(100):
        balancer = Balancer(0.0, Settings.parse(raw_settings("safe", Me=me, Balancers=100, Rules=rules)), me)
        balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, endpoint_entries(10)))
        for step in range(20):
            number += 1
            balancer.step(500.0 * step, request_arrival(number, 500.0 * step))
            balancer.step(500.0 * step + 20.0, attempt_answered(number, 20.0))
        gone = [EndpointEntry(f"s{i}", state="left") for i in range(1, 10)]
        balancer.step(
            10_000.0, EndpointListReceived(ListForm.CHANGES, [*gone, EndpointEntry("s0", started=10_000.0)])
        )
        for step in range(2):
            number += 1
            now = 10_010.0 + 500.0 * step
            sent += len(of_type(balancer.step(now, request_arrival(number, now)), SendAttempt))
    # A warmed-up server would get a tenth of 200 requests per second. This server has a fifth of that
    # capacity and collapses at twice its capacity.
    assert sent < 0.1 * 200 * 0.2 * 2.0 * 1.5


def test_a_retry_may_go_to_a_server_in_slow_start_that_has_capacity():
    # Otherwise retries would overload the few warmed-up servers after a mass restart.
    rules = {"ColdFrom": 0.2, "WarmUp": 60_000.0, "FallMultiple": 3.0, "OverloadFor": 1000.0}
    balancer = make_balancer("safe", servers=0, now=0.0, Rules=rules)
    balancer.step(
        0.0,
        EndpointListReceived(
            ListForm.COMPLETE,
            [EndpointEntry("warm"), *[EndpointEntry(f"c{i}", started=1.0) for i in range(5)]],
        ),
    )
    retries = 0
    for number in range(100):
        now = 10_000.0 + 500.0 * number
        balancer.components.endpoints.servers["warm"].consecutive_rejections = 0
        for server in balancer.components.endpoints.servers.values():
            server.budget = 1.0
        for first in of_type(balancer.step(now, request_arrival(number, now)), SendAttempt):
            is_ok = first.server != "warm"
            outcome = Outcome.OK if is_ok else Outcome.REJECTED
            retries += len(
                of_type(
                    balancer.step(now + 2.0, AttemptEnded(number, 0, outcome, 2.0, request_ended=is_ok)),
                    SendAttempt,
                )
            )
            balancer.step(now + 20.0, attempt_answered(number, 18.0, attempt=1))
    assert retries > 0


def test_a_fleet_that_is_mostly_in_slow_start_is_used_but_not_overloaded():
    # Each server is in the subsets of few sidecars. A budget divided among all sidecars would leave it idle.
    rules = {"ColdFrom": 0.12, "WarmUp": 22_000.0, "FallMultiple": 4.0, "OverloadFor": 2000.0}
    sidecars, servers, joined_count = 40, 60, 36
    reports = {"How": "inline", "Fields": ["inflight"]}
    names = [f"s{i}" for i in range(servers)]
    joined = set(random.Random(3).sample(names, joined_count))
    sent: Counter[tuple[str, int]] = Counter()
    for me in range(sidecars):
        raw = raw_settings("safe", Me=me, Balancers=sidecars, Rules=rules, Report=reports)
        balancer = Balancer(0.0, Settings.parse(raw), me)
        balancer.step(0.0, EndpointListReceived(ListForm.COMPLETE, [EndpointEntry(name) for name in names]))
        for step in range(300):  # Each sidecar gets 20 requests per second
            now = 50.0 * step + me
            if step == 200:
                balancer.step(
                    now,
                    EndpointListReceived(
                        ListForm.CHANGES, [EndpointEntry(name, started=10_000.0) for name in joined]
                    ),
                )
            for send in of_type(balancer.step(now, request_arrival(step, now)), SendAttempt):
                sent[send.server, int(now // 1000.0)] += 1
                in_flight = 1.0 if send.server in joined and step >= 200 else 2.5
                balancer.step(now + 20.0, attempt_answered(step, 20.0, in_flight=in_flight))
    # Between 2 s and 4 s after its start, a server has a fifth to a quarter of its full capacity.
    requests_in_window = {name: sent[name, 12] + sent[name, 13] for name in names}
    warm_mean = sum(requests_in_window[name] for name in names if name not in joined) / (
        servers - joined_count
    )
    joined_mean = sum(requests_in_window[name] for name in joined) / joined_count
    assert joined_mean > 0.17 * warm_mean
    full = 2 * sidecars * 20 / servers  # Requests per server in two seconds if all servers are warmed up
    assert max(requests_in_window[name] for name in joined) < 4.0 * 0.2 * full
